package platform

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// Range of the ports that FreeAddress returns.
const (
	firstPort = 20000 // exclusive
	lastPort  = 60000 // inclusive
)

var usedPorts struct {
	mu   sync.Mutex
	port int // last port that was returned or in use
}

// FreeAddress returns a loopback address and port for a process that is started later. The address is derived from the
// id of this process, is not used for outgoing connections, and each port is returned once. So no other test, in this
// process or another, can take the port before it is used, and no client can reach the wrong node.
func FreeAddress() (string, error) {
	usedPorts.mu.Lock()
	defer usedPorts.mu.Unlock()
	id := os.Getpid()
	host := net.IPv4(127, byte(128+id>>16&63), byte(id>>8), byte(id))
	for usedPorts.port = max(usedPorts.port, firstPort); usedPorts.port < lastPort; {
		usedPorts.port++
		addr := fmt.Sprintf("%v:%d", host, usedPorts.port)
		if isFree(addr) { // otherwise a process that an earlier test with this process id started still uses it
			return addr, nil
		}
	}
	return "", fmt.Errorf("no port of %v is free", host)
}

// isFree reports whether an address can be listened on. It prevents the fork of a child process meanwhile: until its
// exec the child would hold a copy of the socket, and the address would stay in use after the socket is closed here.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
