package emulator

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Step is a moment in a connection's or a listener's life at which it can be stopped.
type Step int

// The moments at which a call can be stopped.
const (
	BeforeRead   Step = iota // a read is about to begin
	AfterRead                // a read has ended, and its caller does not know yet
	BeforeWrite              // a write is about to begin
	AfterWrite               // a write has ended, and its caller does not know yet
	BeforeClose              // a close is about to begin
	AfterClose               // a close has ended, and its caller does not know yet
	BeforeAccept             // an accept is about to begin
	AfterAccept              // an accept has ended, and its caller does not know yet
)

// Halts stops the calls of connections and listeners at named moments, until they are let go. A test orders two events by
// it that would otherwise come in either order.
type Halts struct {
	mu               sync.Mutex
	pending          []*Stop
	interruptedReads int
	conns            int
}

// Cut is how often a read was told to end at once, by a deadline in the past.
func (h *Halts) Cut() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.interruptedReads
}

// Stop is one such moment; it stops one call.
type Stop struct {
	// Reached is closed once a call stands there.
	Reached chan struct{}

	step     Step
	conn     int // the connection's number, from 1; 0 for any
	skip     int
	released chan struct{}
	once     sync.Once
}

// At stops the next call that comes to a step, after skip of them have passed it.
func (h *Halts) At(step Step, skip int) *Stop { return h.On(0, step, skip) }

// On does so for the calls of one connection; they count from 1 in the order in which they were made.
func (h *Halts) On(conn int, step Step, skip int) *Stop {
	s := &Stop{Reached: make(chan struct{}), step: step, conn: conn, skip: skip, released: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, s)
	return s
}

// Go lets the call go on that stands there, or is to come.
func (s *Stop) Go() { s.once.Do(func() { close(s.released) }) }

func (h *Halts) reach(conn int, step Step) {
	h.mu.Lock()
	var at *Stop
	for i, s := range h.pending {
		if s.step != step || s.conn != 0 && s.conn != conn {
			continue
		}
		if s.skip--; s.skip < 0 {
			at = s
			h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
			break
		}
	}
	h.mu.Unlock()
	if at != nil {
		close(at.Reached)
		<-at.released
	}
}

// Conn is a connection that stops.
func (h *Halts) Conn(c net.Conn) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns++
	return &haltedConn{c, h, h.conns}
}

// Listener is a listener that stops, and whose connections do.
func (h *Halts) Listener(l net.Listener) net.Listener { return &haltedListener{l, h} }

type haltedConn struct {
	net.Conn
	halts  *Halts
	number int
}

func (c *haltedConn) Read(b []byte) (int, error) {
	c.halts.reach(c.number, BeforeRead)
	n, err := c.Conn.Read(b)
	c.halts.reach(c.number, AfterRead)
	return n, err
}

func (c *haltedConn) Write(b []byte) (int, error) {
	c.halts.reach(c.number, BeforeWrite)
	n, err := c.Conn.Write(b)
	c.halts.reach(c.number, AfterWrite)
	return n, err
}

func (c *haltedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.halts.mu.Lock()
		c.halts.interruptedReads++
		c.halts.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *haltedConn) Close() error {
	c.halts.reach(c.number, BeforeClose)
	err := c.Conn.Close()
	c.halts.reach(c.number, AfterClose)
	return err
}

// SyscallConn lets what looks at the socket itself pass.
func (c *haltedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

type haltedListener struct {
	net.Listener
	halts *Halts
}

func (l *haltedListener) Accept() (net.Conn, error) {
	l.halts.reach(0, BeforeAccept)
	c, err := l.Listener.Accept()
	l.halts.reach(0, AfterAccept)
	if err != nil {
		return nil, err
	}
	return l.halts.Conn(c), nil
}
