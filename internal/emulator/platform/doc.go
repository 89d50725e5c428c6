// Package platform implements the peers of a node in the platform's protocol: executors, discovery and clients.
//
//   - codec.go: encoding and decoding of the protocol's messages, also of those that the models of package emulator send
//   - executor.go and discovery.go: servers for tests that run a node on sockets
//   - loopback.go: unused addresses for processes that tests start
package platform
