// Package hotrestart carries messages between the processes of one node while a successor takes over from its predecessor.
//
// Both processes use the same directory. The process that accepts clients' connections also listens on a Unix socket in
// that directory. A successor dials this socket when it starts. A link usually closes because the process at its other
// end has ended, either normally or by a crash. It is also closed if that process sends an unreadable message or doesn't
// read its messages.
//
// The meaning of the messages is defined in handoff.go of package node. In this package, transport.go contains the
// links to other processes, socket.go contains the socket, and codec.go contains the encoding of messages. The
// encoding stays stable, because the two processes can run different versions of the program.
package hotrestart
