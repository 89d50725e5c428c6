package platform

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// The range of ports, without the first.
const (
	firstPort = 20000
	lastPort  = 60000
)

var usedPorts struct {
	mu   sync.Mutex
	port int
}

// FreeAddress returns a loopback address and port for a process that is started later. The address is derived from the id of this process, no
// connection goes out from it, and each port is returned once. So no other test, here or in another process, can take the port before
// it is used, and no client can reach the wrong node.
func FreeAddress() (string, error) {
	usedPorts.mu.Lock()
	defer usedPorts.mu.Unlock()
	id := os.Getpid()
	host := net.IPv4(127, byte(128+id>>16&63), byte(id>>8), byte(id))
	for usedPorts.port = max(usedPorts.port, firstPort); usedPorts.port < lastPort; {
		usedPorts.port++
		addr := fmt.Sprintf("%v:%d", host, usedPorts.port)
		if isFree(addr) { // else a process of an earlier test with this number has it
			return addr, nil
		}
	}
	return "", fmt.Errorf("no port of %v is free", host)
}

// isFree reports whether an address can be listened on. No child process is forked meanwhile: until its exec it would hold a copy of
// the socket, and the address would stay in use after this function has closed it.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
