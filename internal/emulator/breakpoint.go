package emulator

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Step is a point in a call of a connection or listener at which a Breakpoint can stop the call.
type Step int

// The points at which a call can be stopped.
const (
	BeforeRead   Step = iota // a read is about to begin
	AfterRead                // a read has ended, and has not returned to its caller
	BeforeWrite              // a write is about to begin
	AfterWrite               // a write has ended, and has not returned to its caller
	BeforeClose              // a close is about to begin
	AfterClose               // a close has ended, and has not returned to its caller
	BeforeAccept             // an accept is about to begin
	AfterAccept              // an accept has ended, and has not returned to its caller
)

// Breakpoints stops calls of connections and listeners at chosen points until the test releases them. A test uses it to
// force the order of two events that may otherwise happen in either order.
type Breakpoints struct {
	mu               sync.Mutex
	pending          []*Breakpoint // breakpoints that no call has reached, in the order in which they were set
	interruptedReads int
	conns            int // number of connections so far
}

// InterruptedReads returns how often a read deadline in the past was set, which interrupts a pending read.
func (h *Breakpoints) InterruptedReads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.interruptedReads
}

// Breakpoint stops one call at one point.
type Breakpoint struct {
	// Reached is closed when a call has stopped at the breakpoint.
	Reached chan struct{}

	step     Step
	conn     int           // number of the connection, from 1; 0 for any
	skip     int           // how many more calls pass the step before one is stopped
	released chan struct{} // closed by Release
	once     sync.Once
}

// At sets a breakpoint for the calls of all connections and listeners. It lets as many calls pass the step as skip
// says, and stops the next one.
func (h *Breakpoints) At(step Step, skip int) *Breakpoint { return h.OnConn(0, step, skip) }

// OnConn sets a breakpoint for the calls of one connection. It lets as many calls pass the step as skip says, and stops
// the next one. Connections are numbered from 1 in the order of their creation.
func (h *Breakpoints) OnConn(conn int, step Step, skip int) *Breakpoint {
	s := &Breakpoint{Reached: make(chan struct{}), step: step, conn: conn, skip: skip, released: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, s)
	return s
}

// Release lets the call that has stopped at the breakpoint continue. If no call has reached it yet, the call will not
// stop.
func (s *Breakpoint) Release() { s.once.Do(func() { close(s.released) }) }

// reach is called when a call reaches a step. If a breakpoint stops the call, reach blocks until Release.
func (h *Breakpoints) reach(conn int, step Step) {
	h.mu.Lock()
	var at *Breakpoint
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

// Conn wraps a connection whose calls can be stopped.
func (h *Breakpoints) Conn(c net.Conn) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns++
	return &breakpointConn{c, h, h.conns}
}

// Listener wraps a listener whose calls, and those of its connections, can be stopped.
func (h *Breakpoints) Listener(l net.Listener) net.Listener { return &breakpointListener{l, h} }

type breakpointConn struct {
	net.Conn
	halts  *Breakpoints
	number int
}

// Read implements net.Conn.
func (c *breakpointConn) Read(b []byte) (int, error) {
	c.halts.reach(c.number, BeforeRead)
	n, err := c.Conn.Read(b)
	c.halts.reach(c.number, AfterRead)
	return n, err
}

// Write implements net.Conn.
func (c *breakpointConn) Write(b []byte) (int, error) {
	c.halts.reach(c.number, BeforeWrite)
	n, err := c.Conn.Write(b)
	c.halts.reach(c.number, AfterWrite)
	return n, err
}

// SetReadDeadline implements net.Conn. It counts deadlines in the past, see InterruptedReads.
func (c *breakpointConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.halts.mu.Lock()
		c.halts.interruptedReads++
		c.halts.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *breakpointConn) Close() error {
	c.halts.reach(c.number, BeforeClose)
	err := c.Conn.Close()
	c.halts.reach(c.number, AfterClose)
	return err
}

// SyscallConn implements syscall.Conn, if the connection has a socket.
func (c *breakpointConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

type breakpointListener struct {
	net.Listener
	halts *Breakpoints
}

// Accept implements net.Listener.
func (l *breakpointListener) Accept() (net.Conn, error) {
	l.halts.reach(0, BeforeAccept)
	c, err := l.Listener.Accept()
	l.halts.reach(0, AfterAccept)
	if err != nil {
		return nil, err
	}
	return l.halts.Conn(c), nil
}
