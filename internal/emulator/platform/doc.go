// Package platform speaks the platform's protocol from the other side of a node: as executors, as discovery, and as clients. codec.go has
// all of the protocol's words; executor.go and discovery.go are servers for tests that run a node on sockets. The models of package
// emulator decide what a simulated executor sends, and this package gives it its form on the wire.
package platform
