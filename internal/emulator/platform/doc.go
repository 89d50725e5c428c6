// Package platform implements the peers of a node in the platform's protocol: executors, discovery and clients.
//
//   - codec.go: the messages of the protocol. The models of package emulator decide what a simulated executor sends, and the codec encodes it.
//   - executor.go and discovery.go: servers for tests that run a node on sockets
//   - loopback.go: unused addresses for processes that tests start
package platform
