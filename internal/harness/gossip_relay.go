package harness

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// gossipRelay forwards gossip to a node over TCP and UDP, unless a partition separates the node from the sender. It
// identifies the sender by its loopback address.
type gossipRelay struct {
	cluster *cluster
	node    *nodeProcess
	addr    string       // address that the node advertises to its peers
	tcp     net.Listener // accepts peers' connections at addr
	udp     *net.UDPConn // receives peers' datagrams at addr
	sender  *net.UDPConn

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newGossipRelay(r *cluster, to *nodeProcess, addr string) (*gossipRelay, error) {
	relay := &gossipRelay{cluster: r, node: to, addr: addr, conns: map[net.Conn]bool{}}
	var err error
	if relay.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if relay.udp, err = net.ListenUDP("udp", at); err != nil {
		relay.tcp.Close()
		return nil, err
	}
	if relay.sender, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP}); err != nil {
		relay.tcp.Close()
		relay.udp.Close()
		return nil, err
	}
	r.goroutines.Go(relay.serveTCP)
	r.goroutines.Go(relay.serveUDP)
	return relay, nil
}

// copyDelays returns the delay of each copy of a datagram that is to be forwarded. There are none if the datagram is
// lost or a partition stops it, and two if it is duplicated. The order of the draws must stay, or a seed would give
// other losses, copies and delays.
func (g *gossipRelay) copyDelays(from net.IP) (delays []time.Duration) {
	r := g.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || g.partitioned(from) {
		return nil
	}
	copies := 1
	if r.rand.Float64() < r.gossipDuplicated {
		copies = 2
	}
	for range copies {
		if r.rand.Float64() < r.gossipLost {
			continue
		}
		d := time.Duration(0)
		if r.gossipDelay > 0 {
			d = time.Duration(r.rand.Int64N(int64(r.gossipDelay)))
		}
		delays = append(delays, d)
	}
	return delays
}

// partitioned reports whether a partition separates a sender from the node. A sender that is not a node counts as
// separated. It is called with cluster.mu held.
func (g *gossipRelay) partitioned(from net.IP) bool {
	for _, p := range g.cluster.nodes {
		if p.address.Equal(from) {
			return p.partitioned != g.node.partitioned
		}
	}
	return true
}

func (g *gossipRelay) serveUDP() {
	to, err := net.ResolveUDPAddr("udp", g.node.gossipAddress)
	if err != nil {
		return
	}
	for b := make([]byte, 65536); ; {
		n, from, err := g.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		for _, delay := range g.copyDelays(from.IP) {
			text := append([]byte(nil), b[:n]...)
			if delay == 0 {
				g.sender.WriteToUDP(text, to)
				continue
			}
			time.AfterFunc(delay, func() { g.sender.WriteToUDP(text, to) })
		}
	}
}

func (g *gossipRelay) serveTCP() {
	for {
		c, err := g.tcp.Accept()
		if err != nil {
			return
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP
		g.cluster.mu.Lock()
		isolated := g.partitioned(from)
		g.cluster.mu.Unlock()
		if isolated || !g.add(c) {
			c.Close()
			continue
		}
		g.cluster.goroutines.Go(func() { g.relay(c, from) })
	}
}

// add registers a connection to be closed with the relay. It returns false if the relay is closed already.
func (g *gossipRelay) add(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.conns[c] = true
	}
	return !g.closed
}

func (g *gossipRelay) remove(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	c.Close()
}

// relay forwards the bytes of a connection in both directions until the connection ends. During a partition it drops
// the bytes and keeps the connection open.
func (g *gossipRelay) relay(client net.Conn, from net.IP) {
	defer g.remove(client)
	server, err := net.DialTimeout("tcp", g.node.gossipAddress, time.Second)
	if err != nil || !g.add(server) {
		return
	}
	defer g.remove(server)
	var wait sync.WaitGroup
	for _, direction := range [][2]net.Conn{{client, server}, {server, client}} {
		wait.Go(func() {
			b := make([]byte, 32<<10)
			for {
				n, err := direction[0].Read(b)
				g.cluster.mu.Lock()
				isolated := g.partitioned(from)
				g.cluster.mu.Unlock()
				if n > 0 && !isolated {
					if _, err := direction[1].Write(b[:n]); err != nil {
						break
					}
				}
				if err != nil {
					if errors.Is(err, io.EOF) && !isolated {
						if w, ok := direction[1].(*net.TCPConn); ok {
							w.CloseWrite()
							return
						}
					}
					break
				}
			}
			client.Close()
			server.Close()
		})
	}
	wait.Wait()
}

func (g *gossipRelay) close() {
	g.tcp.Close()
	g.udp.Close()
	g.sender.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for c := range g.conns {
		c.Close()
	}
}
