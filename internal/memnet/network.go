package memnet

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// Path describes the path between two hosts for a packet that is sent now.
type Path struct {
	Delay   time.Duration // one-way delay
	PerByte time.Duration // additional delay for each byte, the inverse of the bandwidth
	Hold    time.Duration // packets are held for this time, and then delivered in order
	Lost    bool          // packets are lost, and neither end is notified
}

// Net is a network. A host is identified by its name, and an address is any string that a listener chooses. Its methods
// are safe for concurrent use.
type Net struct {
	path        func(from, to string) Path
	seed        uint64
	killedHosts map[string]bool

	mu        sync.Mutex
	listeners map[string]*Listener
	conns     []*Conn // both ends of open connections, in the order in which they were opened
}

// New returns a network without hosts. Any goroutine may call path, at any time.
func New(seed uint64, path func(from, to string) Path) *Net {
	return &Net{path: path, seed: seed, listeners: map[string]*Listener{}, killedHosts: map[string]bool{}}
}

const (
	sendWindow = 256 << 10 // bytes that may be in flight or unread at the other end
	maxOffset  = 9973      // largest result of timeOffset, in nanoseconds
)

// timeOffset returns a delay that depends on the id of a connection, so that packets of different connections arrive at
// different times.
func (n *Net) timeOffset(id string) time.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, n.seed, id)
	return time.Duration(h.Sum64()%maxOffset) + 1
}

// Chance returns a pseudorandom number in [0, 1) that depends only on the seed of the network and on the name.
func (n *Net) Chance(name string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, "chance", n.seed, name)
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Addr is an address in a Net. It implements net.Addr.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "memory" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }

// Conns returns a host's ends of open connections, in the order in which they were opened.
func (n *Net) Conns(host string) (all []*Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.host == host && !c.closing && c.connErr == nil {
			all = append(all, c)
		}
	}
	return all
}

// Kill closes all listeners of a host and its ends of connections. The other ends see a reset, or nothing if silently
// is set. The host cannot dial any more.
func (n *Net) Kill(host string, silently bool) {
	n.mu.Lock()
	// Whether a goroutine of the host would dial before it ends depends on the scheduler, so every dial from now on
	// fails.
	n.killedHosts[host] = true
	var listeners []*Listener
	for _, l := range n.listeners {
		if l.host == host {
			listeners = append(listeners, l)
		}
	}
	for _, c := range n.conns {
		if c.host == host {
			c.abort(silently)
		}
	}
	n.removeClosed()
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
}

// Shutdown kills every host. No connection sees a reset.
func (n *Net) Shutdown() {
	n.mu.Lock()
	hosts := map[string]bool{}
	for _, l := range n.listeners {
		hosts[l.host] = true
	}
	for _, c := range n.conns {
		hosts[c.host] = true
	}
	n.mu.Unlock()
	for h := range hosts {
		n.Kill(h, true)
	}
}

// removeClosed drops the ends that are closed or broken. It is called with n.mu held.
func (n *Net) removeClosed() {
	open := n.conns[:0]
	for _, c := range n.conns {
		if !c.closed && c.connErr == nil {
			open = append(open, c)
		}
	}
	clear(n.conns[len(open):])
	n.conns = open
}
