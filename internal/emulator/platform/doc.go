// Package platform implements the peers of a node in the platform's protocol: executors, discovery and clients.
//
//   - codec.go: encoding and decoding of all messages of the protocol; the models of package emulator decide what a
//     simulated executor sends, and this file gives it its form on the wire
//   - executor.go and discovery.go: servers for tests that run a node on sockets
//   - loopback.go: unused addresses for processes that tests start
package platform
