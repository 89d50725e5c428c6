// Package hotrestart carries messages between the processes of one node while a successor takes over from its predecessor.
//
// Both processes use the same directory. The process that accepts clients' connections listens on a Unix socket in that directory.
// A successor dials the socket when it starts. When a link closes, the other process has ended, whether normally or by a crash.
//
// The meaning of the messages is defined in handoff.go of package node. In this package, transport.go contains the links to other
// processes, socket.go the socket, and codec.go the encoding of messages, which is the same in older and newer versions.
package hotrestart
