# Everything is built into bin/, which the repository leaves out.

CONFIG ?= deploy/node.example.json

.PHONY: build test lint run sim

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# Under the race detector the simulation plays fewer worlds, and some in part: all of them without it.
# The soak and the flood on many connections measure times between busy processes, so they are played when no other test runs; beside
# others the soak has no seeds, and the flood comes on one connection.
# testgate passes over the tests that KNOWN-RED.txt lists, and prints them.
test:
	SOAK_SEEDS=0 FLOOD_CONNS=1 go run ./internal/testgate -race ./...
	go run ./internal/testgate ./internal/simulation
	SOAK_SEEDS=12 go run ./internal/testgate ./cmd/birchstair -run '^(TestSoakWithHostileClients|TestOthersDuringRequestFlood)$$'

lint:
	@test -z "$$(gofmt -l cmd docs internal lab policy)" || { gofmt -l cmd docs internal lab policy; echo 'not gofmt-formatted'; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

# All scenarios, each played once.
sim: build
	@for s in lab/scenarios/*.toml; do bin/birchstair-sim run $$s || exit 1; done

# One node, in the foreground; CONFIG names its configuration file.
run: build
	ROUTER_CONFIG=$(CONFIG) bin/birchstair serve
