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
	tell    func(node.Event)
	dial    Dialer
	reports bool // load reports hold what the module wants
	probing Probing

	mu    sync.Mutex
	links map[node.ConnID]*link
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
func New(dial Dialer, reports bool, probing Probing, tell func(node.Event)) *Pool {
	return &Pool{tell: tell, dial: dial, reports: reports, probing: probing, links: map[node.ConnID]*link{}}
}

// Dial opens a connection in the background.
func (p *Pool) Dial(id node.ConnID, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{id: id, pool: p, cancel: cancel}
	p.mu.Lock()
	p.links[id] = l
	p.mu.Unlock()
	go l.run(ctx, addr)
}

// Write sends an allocation in the background.
func (p *Pool) Write(id node.ConnID, a node.Attempt) {
	if l := p.link(id); l != nil && l.begin(a) {
		go l.write(a)
	}
}

// Close ends a connection; what it carried ends with it.
func (p *Pool) Close(id node.ConnID) {
	if l := p.link(id); l != nil {
		l.close()
	}
}

func (p *Pool) link(id node.ConnID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[id]
}

func (p *Pool) forget(id node.ConnID) {
	p.mu.Lock()
	delete(p.links, id)
	p.mu.Unlock()
}
