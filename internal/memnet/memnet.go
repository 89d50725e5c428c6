// Package memnet is a network in memory: connections with delay, bandwidth, resets, half-closes, silence, partial writes
// and dials that are refused or lead nowhere. It reads time by package time only, so that it runs on a virtual clock
// where its caller does (testing/synctest), and in real time elsewhere.
//
// On a virtual clock no two things arrive at one instant: each connection has a few nanoseconds of its own. So what a
// single arrival brings about is over before the next, and the order never hangs on the Go scheduler.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Path is what lies between two hosts for what is sent now.
type Path struct {
	Delay   time.Duration // one way
	PerByte time.Duration
	Hold    time.Duration // for so long nothing gets through; then all does, in order
	Lost    bool          // nothing gets through, and nothing says so
}

// Net is a network. Hosts are names; addresses are what listeners say they are.
type Net struct {
	path        func(from, to string) Path
	seed        uint64
	killedHosts map[string]bool // hosts that were killed

	mu        sync.Mutex
	listeners map[string]*Listener
	conns     []*Conn // both ends of those that are open, in the order in which they came
}

// New makes a network; path may be asked at any time, by any goroutine.
func New(seed uint64, path func(from, to string) Path) *Net {
	return &Net{path: path, seed: seed, listeners: map[string]*Listener{}, killedHosts: map[string]bool{}}
}

const (
	sendWindow = 256 << 10 // bytes that may be on their way, or unread at the other end
	maxOffset  = 9973      // nanoseconds
)

// timeOffset is what sets a connection's times apart from all others'.
func (n *Net) timeOffset(id string) time.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, n.seed, id)
	return time.Duration(h.Sum64()%maxOffset) + 1
}

// Chance is a number from 0 to 1 that hangs on the seed and a name only.
func (n *Net) Chance(name string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, "chance", n.seed, name)
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Addr is an address.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "memory" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }

// Listener takes connections at an address.
type Listener struct {
	net     *Net
	host    string
	addr    Addr
	arrived *sync.Cond
	backlog []*Conn
	closed  bool
}

// Listen begins to take connections. An address that is taken is an error.
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

// Accept waits for a connection.
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

// Close ends it; those that wait to be taken are reset.
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

// Dial opens a connection from a host. The id is the caller's own and is not used twice at a time.
func (n *Net) Dial(ctx context.Context, host, id, addr string) (*Conn, error) {
	fail := func(err error) (*Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: Addr(addr), Err: err}
	}
	offset := n.timeOffset(host + id + addr)
	n.mu.Lock()
	l := n.listeners[addr]
	killed := n.killedHosts[host]
	n.mu.Unlock()
	if killed {
		return fail(os.ErrClosed)
	}
	to := addr // of an address where nobody is the path is that of its name
	if l != nil {
		to = l.host
	}
	if !transit(ctx, n.path(host, to), offset) {
		return fail(contextError(ctx))
	}
	n.mu.Lock()
	l = n.listeners[addr]
	if l == nil {
		n.mu.Unlock()
		if !transit(ctx, n.path(to, host), offset) {
			return fail(contextError(ctx))
		}
		return fail(syscall.ECONNREFUSED)
	}
	here := &Conn{net: n, host: host, local: Addr(host + "/" + id), remote: l.addr, offset: offset}
	there := &Conn{net: n, host: l.host, local: l.addr, remote: here.local, offset: offset + maxOffset/2, peer: here}
	here.peer = there
	here.changed, there.changed = sync.NewCond(&n.mu), sync.NewCond(&n.mu)
	n.conns = append(n.conns, here, there)
	l.backlog = append(l.backlog, there)
	l.arrived.Signal()
	n.mu.Unlock()
	if !transit(ctx, n.path(l.host, host), offset) {
		here.Close()
		return fail(contextError(ctx))
	}
	return here, nil
}

// transit lets a packet's time pass, or gives up with the context.
func transit(ctx context.Context, p Path, offset time.Duration) bool {
	if p.Lost {
		<-ctx.Done()
		return false
	}
	t := time.NewTimer(p.Hold + p.Delay + offset)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return ctx.Err()
}

// Conns are the ends at a host of the connections that are open, in the order in which they came.
func (n *Net) Conns(host string) (all []*Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.host == host && !c.closing && c.broken == nil {
			all = append(all, c)
		}
	}
	return all
}

// Kill ends a host: its listeners and its ends of all connections. The others see a reset, or, silently, nothing.
func (n *Net) Kill(host string, silently bool) {
	n.mu.Lock()
	// What is left of its goroutines dials nobody any more: whether they come to it hangs on the scheduler.
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

// Shut ends all of it.
func (n *Net) Shut() {
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

// removeClosed forgets the ends that are over.
func (n *Net) removeClosed() {
	open := n.conns[:0]
	for _, c := range n.conns {
		if !c.closed && c.broken == nil {
			open = append(open, c)
		}
	}
	clear(n.conns[len(open):])
	n.conns = open
}
