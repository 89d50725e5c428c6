// Package hotrestart carries messages between the processes of one node while a successor takes over from its predecessor.
//
// Both processes share a directory. The process that takes connections listens on a Unix socket in it; the successor dials that socket
// at its start. A link that closes tells that the other process has ended, however it did.
//
// What the messages mean is decided in package node (handoff.go there). Here transport.go holds the links, socket.go the socket, and
// codec.go the wire form, which older and newer versions share.
package hotrestart
