#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/second ./review/_standins/second
