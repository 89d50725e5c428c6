package harness

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// hub is where neighbours reach a node: all words to it, TCP and UDP, pass here. Who sends is told by the loopback address that it comes from.
type hub struct {
	r    *Rig
	to   *proc
	addr string
	tcp  net.Listener
	udp  *net.UDPConn
	out  *net.UDPConn

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

func newHub(r *Rig, to *proc, addr string) (*hub, error) {
	h := &hub{r: r, to: to, addr: addr, conns: map[net.Conn]bool{}}
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
	r.waits.Go(h.serveTCP)
	r.waits.Go(h.serveUDP)
	return h, nil
}

// passes says whether what comes from an address gets through now, and in how many copies, each with how late. A node that is apart reaches those that are
// apart as well, and nobody else.
func (h *hub) passes(from net.IP) (late []time.Duration) {
	r := h.r
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || h.apart(from) {
		return nil
	}
	copies := 1
	if r.rand.Float64() < r.wordsDouble {
		copies = 2
	}
	for range copies {
		if r.rand.Float64() < r.wordsLost {
			continue
		}
		d := time.Duration(0)
		if r.wordsLate > 0 {
			d = time.Duration(r.rand.Int64N(int64(r.wordsLate)))
		}
		late = append(late, d)
	}
	return late
}

// apart says whether a cut lies between a sender and this node.
func (h *hub) apart(from net.IP) bool {
	for _, p := range h.r.nodes {
		if p.own.Equal(from) {
			return p.apart != h.to.apart
		}
	}
	return true
}

func (h *hub) serveUDP() {
	to, err := net.ResolveUDPAddr("udp", h.to.fleet)
	if err != nil {
		return
	}
	for b := make([]byte, 65536); ; {
		n, from, err := h.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		for _, late := range h.passes(from.IP) {
			text := append([]byte(nil), b[:n]...)
			if late == 0 {
				h.out.WriteToUDP(text, to)
				continue
			}
			time.AfterFunc(late, func() { h.out.WriteToUDP(text, to) })
		}
	}
}

func (h *hub) serveTCP() {
	for {
		c, err := h.tcp.Accept()
		if err != nil {
			return
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP
		h.r.mu.Lock()
		apart := h.apart(from)
		h.r.mu.Unlock()
		if apart || !h.keep(c) {
			c.Close()
			continue
		}
		h.r.waits.Go(func() { h.relay(c, from) })
	}
}

func (h *hub) keep(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.conns[c] = true
	}
	return !h.ended
}

func (h *hub) drop(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	c.Close()
}

// relay carries a connection, both ways, until it ends or a cut comes: then it is silent until one side gives it up.
func (h *hub) relay(c net.Conn, from net.IP) {
	defer h.drop(c)
	d, err := net.DialTimeout("tcp", h.to.fleet, time.Second)
	if err != nil || !h.keep(d) {
		return
	}
	defer h.drop(d)
	var wait sync.WaitGroup
	for _, way := range [][2]net.Conn{{c, d}, {d, c}} {
		wait.Go(func() {
			b := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(b)
				h.r.mu.Lock()
				silent := h.apart(from)
				h.r.mu.Unlock()
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

func (h *hub) close() {
	h.tcp.Close()
	h.udp.Close()
	h.out.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for c := range h.conns {
		c.Close()
	}
}
