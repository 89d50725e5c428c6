#!/bin/sh
# Builds what the cases start beside the project's own programs.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in poison frame window; do
	go build -o "review/bin/$case" "./review/testdata/$case"
done
