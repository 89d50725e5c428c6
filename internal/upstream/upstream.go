// Package upstream speaks to executors: connections, allocations written on them, and what comes back.
// Each connection is owned by the goroutine that reads it, which also gives it back.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

// Pool holds the connections by their names. What rests and what is used next the reducer says.
type Pool struct {
	post        func(node.Event)
	dial        Dialer
	usesReports bool // load reports hold what the module wants
	probe       ProbeConfig

	mu    sync.Mutex
	conns map[node.ConnID]*executorConn
}

// Dialer opens the connection that is to be called id.
type Dialer func(ctx context.Context, id node.ConnID, addr string) (net.Conn, error)

// TCP opens connections that are up within a limit, send at once and are not kept alive by probes: those notice nothing
// here.
func TCP(limit time.Duration) Dialer {
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	return func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// New makes an empty pool.
func New(dial Dialer, reports bool, probing ProbeConfig, tell func(node.Event)) *Pool {
	return &Pool{post: tell, dial: dial, usesReports: reports, probe: probing, conns: map[node.ConnID]*executorConn{}}
}

// Dial opens a connection in the background.
func (p *Pool) Dial(id node.ConnID, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &executorConn{id: id, pool: p, cancel: cancel}
	p.mu.Lock()
	p.conns[id] = l
	p.mu.Unlock()
	go l.run(ctx, addr)
}

// Write sends an allocation in the background.
func (p *Pool) Write(id node.ConnID, a node.Attempt) {
	if l := p.conn(id); l != nil && l.claim(a) {
		go l.write(a)
	}
}

// Close ends a connection; what it carried ends with it.
func (p *Pool) Close(id node.ConnID) {
	if l := p.conn(id); l != nil {
		l.close()
	}
}

func (p *Pool) conn(id node.ConnID) *executorConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[id]
}

func (p *Pool) forget(id node.ConnID) {
	p.mu.Lock()
	delete(p.conns, id)
	p.mu.Unlock()
}
