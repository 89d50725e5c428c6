package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// ReserveAddresses reserves the loopback addresses 127.SLOT.x.y for this run until the returned listener is closed.
// Runs in other processes pick another slot, since the listener's port is taken.
func ReserveAddresses() (slot byte, reservation net.Listener, err error) {
	for range 500 {
		slot = byte(2 + rand.IntN(250))
		if reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.2.1:%d", slot, relayPort)); err == nil {
			return slot, reservation, nil
		}
	}
	return 0, nil, err
}

// Ports of a node. The gossip relay of a node listens at relayPort, at an address of its own.
const (
	relayPort  = 7946
	gossipPort = 7947
	clientPort = 8081
	adminPort  = 8082
)
