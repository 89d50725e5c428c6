package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptTimeout bounds how long an accept on an inherited socket can block a thread.
const acceptTimeout = 50 * time.Millisecond

// listen returns the listener for clients. It uses the inherited socket if there is one, and a new socket otherwise.
func listen(c nodeConfig) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	inherited := os.NewFile(uintptr(c.ListenFD), "ROUTER_LISTEN_FD")
	defer inherited.Close() //nolint:errcheck // the listener has a descriptor of its own
	// All processes that hold a socket share the socket's blocking mode, so another process may have made this socket blocking.
	// Without a timeout, a thread that is blocked in accept would accept one more connection after this process has stopped
	// accepting.
	timeout := syscall.Timeval{Usec: int64(acceptTimeout / time.Microsecond)}
	if err := syscall.SetsockoptTimeval(c.ListenFD, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is not a socket: %w", c.ListenFD, err)
	}
	l, err := net.FileListener(inherited)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is not a listening socket: %w", c.ListenFD, err)
	}
	return l, nil
}
