package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptTimeout bounds an accept on an inherited socket that should not block at all.
const acceptTimeout = 50 * time.Millisecond

// listen returns the listener for clients: the socket that the process inherited, or one of its own.
func listen(c nodeConfig) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	inherited := os.NewFile(uintptr(c.ListenFD), "ROUTER_LISTEN_FD")
	defer inherited.Close() //nolint:errcheck // the listener has a descriptor of its own
	// Whether a socket blocks is common to all processes that hold it, and another may have made it blocking. A thread
	// that waits in accept for good would take one more connection when this process accepts none any more.
	timeout := syscall.Timeval{Usec: int64(acceptTimeout / time.Microsecond)}
	if err := syscall.SetsockoptTimeval(c.ListenFD, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket: %w", c.ListenFD, err)
	}
	l, err := net.FileListener(inherited)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket that listens: %w", c.ListenFD, err)
	}
	return l, nil
}
