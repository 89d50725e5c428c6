// Package socket queries the state of a connection's socket without consuming any data.
package socket

import (
	"errors"
	"net"
	"syscall"
	"unsafe"
)

// peerEnder is a connection that knows without a socket whether its peer has ended it. An example is memnet.Conn.
type peerEnder interface{ PeerEnded() bool }

// Pending returns whether a read from a connection would return at once, because data, the peer's close or an error has
// arrived. It is safe to call Pending while another goroutine reads from the connection. known is false if the state
// cannot be determined, for example because the connection is not a socket.
func Pending(c net.Conn) (pending, known bool) {
	raw := rawConn(c)
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		data, end, ok := peek(fd)
		pending, known = data || end, ok
	})
	return pending, known && err == nil
}

// Ended returns whether the peer has closed, half-closed or reset a connection, even if data that arrived earlier is
// still unread. Ended does not block, and is safe to call while another goroutine reads from the connection. known is
// false if the state cannot be determined.
func Ended(c net.Conn) (ended, known bool) {
	if c, ok := c.(peerEnder); ok {
		return c.PeerEnded(), true
	}
	raw := rawConn(c)
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		var data bool
		data, ended, known = peek(fd)
		if data {
			ended = inCloseWait(fd)
		}
	})
	return ended, known && err == nil
}

// rawConn returns the raw socket of a connection, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// peek looks at the next byte of a socket without reading it. data is true if a read would return data, and end is true
// if a read would return the end of the connection or an error. known is false if neither can be determined.
func peek(fd uintptr) (data, end, known bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == nil:
		return n > 0, n <= 0, true
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ETIMEDOUT):
		return false, true, true
	}
	return false, false, errors.Is(err, syscall.EAGAIN)
}

// inCloseWait returns whether the TCP state of the socket shows that the peer has closed its sending side. If the state
// cannot be read, it returns false, because a batch job must not be canceled unless its client has certainly left.
func inCloseWait(fd uintptr) bool {
	const tcpCloseWait = 8 // TCP_CLOSE_WAIT, as a value of tcpi_state, the first byte of struct tcp_info
	var info [8]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && size > 0 && info[0] == tcpCloseWait
}
