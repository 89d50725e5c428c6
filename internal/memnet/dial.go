package memnet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Dial opens a connection from a host to an address. The id must differ from those of the host's other open
// connections. Dial fails with ECONNREFUSED if there is no listener, with os.ErrDeadlineExceeded if the deadline of ctx
// passes, and with os.ErrClosed if the host was killed.
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
	to := addr // without a listener, the address stands for the host that the path leads to
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

// transit waits until a packet has arrived, and returns false if ctx is done first.
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

// contextError returns the error of a context as package net reports it.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return ctx.Err()
}
