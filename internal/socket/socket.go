// Package socket asks the system about a connection's socket.
package socket

import (
	"net"
	"syscall"
	"unsafe"
)

// Pending says whether something has arrived on a connection that nobody has read yet: bytes, its end or a break. It takes
// nothing of it, and may be asked beside a reader. Known is false where the system can't say.
func Pending(c net.Conn) (any, known bool) {
	raw := rawOf(c)
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		bytes, end, ok := peek(fd)
		any, known = bytes || end, ok
	})
	return any, known && err == nil
}

// Ended says whether the other side has ended its sending on a connection, or broken it, also behind bytes that nobody has
// read yet. It neither takes anything nor waits, and may be asked beside a reader. What is no socket may answer by itself.
func Ended(c net.Conn) (ended, known bool) {
	if c, ok := c.(interface{ PeerEnded() bool }); ok {
		return c.PeerEnded(), true
	}
	raw := rawOf(c)
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		var bytes bool
		bytes, ended, known = peek(fd)
		if bytes {
			ended = closeWait(fd)
		}
	})
	return ended, known && err == nil
}

func rawOf(c net.Conn) syscall.RawConn {
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

// peek says what a read would find: bytes, or the end or a break. Known is false where it can't say.
func peek(fd uintptr) (bytes, end, known bool) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n > 0, n <= 0, true
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT:
		return false, true, true
	}
	return false, false, err == syscall.EAGAIN
}

// closeWait says whether a socket's other side has ended its sending, by the state that the system has it in. One that it
// says nothing of counts as open: only what is certain may call a batch job off.
func closeWait(fd uintptr) bool {
	const state = 8 // TCP_CLOSE_WAIT, in the first byte of struct tcp_info
	var info [8]byte
	size := uint32(len(info))
	_, _, failed := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
	return failed == 0 && size > 0 && info[0] == state
}
