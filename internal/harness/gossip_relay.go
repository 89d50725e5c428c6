package harness

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// gossipRelay forwards all gossip to a node, by TCP and UDP. It recognizes the sender by its loopback address.
type gossipRelay struct {
	cluster *cluster
	to      *nodeProcess
	addr    string
	tcp     net.Listener
	udp     *net.UDPConn
	out     *net.UDPConn

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newGossipRelay(r *cluster, to *nodeProcess, addr string) (*gossipRelay, error) {
	h := &gossipRelay{cluster: r, to: to, addr: addr, conns: map[net.Conn]bool{}}
	var err error
	if h.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	if h.udp, err = net.ListenUDP("udp", at); err != nil {
		h.tcp.Close()
		return nil, err
	}
	if h.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP}); err != nil {
		h.tcp.Close()
		h.udp.Close()
		return nil, err
	}
	r.goroutines.Go(h.serveTCP)
	r.goroutines.Go(h.serveUDP)
	return h, nil
}

// copies returns the delay of each copy of a datagram that gets through now: none, one or two. The order of draws is part of what a seed
// means.
func (h *gossipRelay) copies(from net.IP) (delays []time.Duration) {
	r := h.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || h.partitioned(from) {
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

// partitioned reports whether a partition separates a sender from the node. It is called with cluster.mu held.
func (h *gossipRelay) partitioned(from net.IP) bool {
	for _, p := range h.cluster.nodes {
		if p.address.Equal(from) {
			return p.partitioned != h.to.partitioned
		}
	}
	return true
}

func (h *gossipRelay) serveUDP() {
	to, err := net.ResolveUDPAddr("udp", h.to.gossipAddress)
	if err != nil {
		return
	}
	for b := make([]byte, 65536); ; {
		n, from, err := h.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		for _, delay := range h.copies(from.IP) {
			text := append([]byte(nil), b[:n]...)
			if delay == 0 {
				h.out.WriteToUDP(text, to)
				continue
			}
			time.AfterFunc(delay, func() { h.out.WriteToUDP(text, to) })
		}
	}
}

func (h *gossipRelay) serveTCP() {
	for {
		c, err := h.tcp.Accept()
		if err != nil {
			return
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP
		h.cluster.mu.Lock()
		apart := h.partitioned(from)
		h.cluster.mu.Unlock()
		if apart || !h.add(c) {
			c.Close()
			continue
		}
		h.cluster.goroutines.Go(func() { h.relay(c, from) })
	}
}

// add registers a connection to be closed with the relay. It fails if the relay is closed.
func (h *gossipRelay) add(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.conns[c] = true
	}
	return !h.closed
}

func (h *gossipRelay) remove(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	c.Close()
}

// relay forwards a connection both ways until it ends. During a partition it drops what arrives.
func (h *gossipRelay) relay(c net.Conn, from net.IP) {
	defer h.remove(c)
	d, err := net.DialTimeout("tcp", h.to.gossipAddress, time.Second)
	if err != nil || !h.add(d) {
		return
	}
	defer h.remove(d)
	var wait sync.WaitGroup
	for _, way := range [][2]net.Conn{{c, d}, {d, c}} {
		wait.Go(func() {
			b := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(b)
				h.cluster.mu.Lock()
				silent := h.partitioned(from)
				h.cluster.mu.Unlock()
				if n > 0 && !silent {
					if _, err := way[1].Write(b[:n]); err != nil {
						break
					}
				}
				if err != nil {
					if errors.Is(err, io.EOF) && !silent {
						if w, ok := way[1].(*net.TCPConn); ok {
							w.CloseWrite()
							return
						}
					}
					break
				}
			}
			c.Close()
			d.Close()
		})
	}
	wait.Wait()
}

func (h *gossipRelay) close() {
	h.tcp.Close()
	h.udp.Close()
	h.out.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for c := range h.conns {
		c.Close()
	}
}
