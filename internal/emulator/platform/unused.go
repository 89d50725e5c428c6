package platform

import (
	"fmt"
	"net"
	"os"
	"sync"
)

var usedPorts struct {
	mu   sync.Mutex
	port int
}

// Unused is an address and port on loopback for a process that is started later. The address is this process's own, by its number,
// and no connection goes out from it; a port is given once. Guards against another test, here or in another process, that takes a
// port between its finding and its use: whoever calls there then speaks with the wrong node.
func Unused() (string, error) {
	usedPorts.mu.Lock()
	defer usedPorts.mu.Unlock()
	id := os.Getpid()
	host := net.IPv4(127, byte(128+id>>16&63), byte(id>>8), byte(id))
	for usedPorts.port = max(usedPorts.port, 20000); usedPorts.port < 60000; {
		usedPorts.port++
		addr := fmt.Sprintf("%v:%d", host, usedPorts.port)
		if l, err := net.Listen("tcp", addr); err == nil { // else a process of an earlier test with this number has it
			l.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no port of %v is free", host)
}
