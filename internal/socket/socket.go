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

// State returns whether data is unread on a connection, and whether the peer has closed, half-closed or reset it, even if
// data that arrived earlier is still unread. While data is unread, a close of the peer can have been sent and not have
// arrived, because the peer's system keeps it back behind data for which there is no room. State does not block, and is
// safe to call while another goroutine reads from the connection. known is false if the state cannot be determined.
func State(c net.Conn) (unread, ended, known bool) {
	if c, ok := c.(peerEnder); ok {
		return false, c.PeerEnded(), true
	}
	raw := rawConn(c)
	if raw == nil {
		return false, false, false
	}
	err := raw.Control(func(fd uintptr) {
		unread, ended, known = peek(fd)
		if unread {
			ended = peerClosed(fd)
		}
	})
	return unread, ended, known && err == nil
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
// if a read would return the end of the connection or an error of the connection. known is false if neither can be
// determined.
func peek(fd uintptr) (data, end, known bool) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			return n > 0, n <= 0, true
		case errors.Is(err, syscall.EINTR):
			continue
		case isConnectionError(err):
			return false, true, true
		}
		return false, false, errors.Is(err, syscall.EAGAIN)
	}
}

// isConnectionError reports whether an error of a read means that the connection is broken. Other errors are about the
// call or the machine, such as ENOMEM.
func isConnectionError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENETRESET, syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ENOTCONN, syscall.ESHUTDOWN,
		syscall.EPROTO:
		return true
	}
	return false
}

// States of a TCP connection, as values of tcpi_state, the first byte of struct tcp_info. In these states the peer has
// closed its sending side or has reset the connection. After a reset, data that arrived before can still be read.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// peerClosed returns whether the TCP state of the socket shows that the peer has closed or reset the connection. If the
// state cannot be read, it returns false, because a batch job must not be canceled unless its client has certainly left.
func peerClosed(fd uintptr) bool {
	var info [8]byte
	size := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || size == 0 {
		return false
	}
	switch info[0] {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
