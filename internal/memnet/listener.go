package memnet

import (
	"net"
	"sync"
	"syscall"
)

// Listener accepts connections at an address. It implements net.Listener.
type Listener struct {
	net     *Net
	host    string
	addr    Addr
	arrived *sync.Cond // signals a new connection, or that the listener is closed
	backlog []*Conn    // connections that have not been accepted
	closed  bool
}

// Listen listens at an address on a host. It fails with EADDRINUSE if the address is in use.
func (n *Net) Listen(host, addr string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: Addr(addr), Err: syscall.EADDRINUSE}
	}
	l := &Listener{net: n, host: host, addr: Addr(addr), arrived: sync.NewCond(&n.mu)}
	n.listeners[addr] = l
	return l, nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for len(l.backlog) == 0 && !l.closed {
		l.arrived.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "memory", Addr: l.addr, Err: net.ErrClosed}
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil
}

// Close implements net.Listener. Connections that have not been accepted are reset.
func (l *Listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.net.listeners[string(l.addr)] == l {
		delete(l.net.listeners, string(l.addr))
	}
	for _, c := range l.backlog {
		c.abort(false)
	}
	l.backlog = nil
	l.arrived.Broadcast()
	return nil
}
