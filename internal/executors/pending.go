package executors

import (
	"errors"
	"net"
	"syscall"
)

// pending says whether something has arrived on a connection that nobody has read yet: bytes, its end or a break. Where
// the system can't say, nothing has.
func pending(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	any := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		any = err == nil && n >= 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return any
}
