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
	mu    sync.Mutex
	stops []*Stop
	cut   int
	conns int
}

// Cut is how often a read was told to end at once, by a deadline in the past.
func (h *Halts) Cut() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

// Stop is one such moment; it stops one call.
type Stop struct {
	// Reached is closed once a call stands there.
	Reached chan struct{}

	step  Step
	on    int // the connection's number, from 1; 0 for any
	skip  int
	letGo chan struct{}
	once  sync.Once
}

// At stops the next call that comes to a step, after skip of them have passed it.
func (h *Halts) At(step Step, skip int) *Stop { return h.On(0, step, skip) }

// On does so for the calls of one connection; they count from 1 in the order in which they were made.
func (h *Halts) On(conn int, step Step, skip int) *Stop {
	s := &Stop{Reached: make(chan struct{}), step: step, on: conn, skip: skip, letGo: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, s)
	return s
}

// Go lets the call go on that stands there, or is to come.
func (s *Stop) Go() { s.once.Do(func() { close(s.letGo) }) }

func (h *Halts) pass(conn int, step Step) {
	h.mu.Lock()
	var at *Stop
	for i, s := range h.stops {
		if s.step != step || s.on != 0 && s.on != conn {
			continue
		}
		if s.skip--; s.skip < 0 {
			at = s
			h.stops = append(h.stops[:i:i], h.stops[i+1:]...)
			break
		}
	}
	h.mu.Unlock()
	if at != nil {
		close(at.Reached)
		<-at.letGo
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
	h      *Halts
	number int
}

func (c *haltedConn) Read(b []byte) (int, error) {
	c.h.pass(c.number, BeforeRead)
	n, err := c.Conn.Read(b)
	c.h.pass(c.number, AfterRead)
	return n, err
}

func (c *haltedConn) Write(b []byte) (int, error) {
	c.h.pass(c.number, BeforeWrite)
	n, err := c.Conn.Write(b)
	c.h.pass(c.number, AfterWrite)
	return n, err
}

func (c *haltedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.h.mu.Lock()
		c.h.cut++
		c.h.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *haltedConn) Close() error {
	c.h.pass(c.number, BeforeClose)
	err := c.Conn.Close()
	c.h.pass(c.number, AfterClose)
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
	h *Halts
}

func (l *haltedListener) Accept() (net.Conn, error) {
	l.h.pass(0, BeforeAccept)
	c, err := l.Listener.Accept()
	l.h.pass(0, AfterAccept)
	if err != nil {
		return nil, err
	}
	return l.h.Conn(c), nil
}
