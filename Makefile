# Everything is built into bin/, which the repository leaves out.

CONFIG ?= deploy/node.example.json

.PHONY: build test lint run lab

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# The lab plays some of its worlds in part, or fewer of them, while the race detector watches: all of them without it.
test:
	go test -race ./...
	go test ./internal/simulation

lint:
	@test -z "$$(gofmt -l cmd internal lab policy)" || { gofmt -l cmd internal lab policy; echo 'not gofmt-formatted'; exit 1; }
	go vet ./...

# The kept scenarios, each played once.
lab: build
	@for s in lab/scenarios/*.toml; do bin/birchstair-sim run $$s || exit 1; done

# One node, in the foreground; CONFIG names its configuration file.
run: build
	ROUTER_CONFIG=$(CONFIG) bin/birchstair serve
