// Package socket asks the system about a connection's socket.
package socket

import (
	"net"
	"syscall"
)

// Pending says whether something has arrived on a connection that nobody has read yet: bytes, its end or a break. It takes
// nothing of it, and may be asked beside a reader. Known is false where the system can't say.
func Pending(c net.Conn) (any, known bool) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT:
			any, known = true, true
		case syscall.EAGAIN:
			known = true
		}
	})
	return any, known
}
