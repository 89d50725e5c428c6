// Package upstream speaks to executors: it opens connections, writes attempts on them and decodes the responses.
//
// The reducer decides which connection is opened, used and closed; Pool (pool.go) carries that out. Each connection
// (conn.go) is owned by the goroutine that reads it, which also reports its end; an attempt is written by a goroutine of
// its own beside it. The reading of a response is in exchange.go, load probes in health_check.go, and the protocol's text in
// codec.go alone.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

// Pool holds the connections to executors by the ids that the reducer gives them. It implements node.Upstream: its
// methods return at once, and what follows is posted as events.
type Pool struct {
	post        func(node.Event)
	dial        Dialer
	usesReports bool // load reports in responses have what the policy uses
	probe       HealthCheckConfig

	mu    sync.Mutex
	conns map[node.ConnID]*executorConn
}

// Dialer opens the connection that the pool knows as id; id is 0 for the connection of a load probe. It returns when the
// context ends at the latest.
type Dialer func(ctx context.Context, id node.ConnID, addr string) (net.Conn, error)

// TCP returns a Dialer for TCP with this timeout. TCP keep-alives are off: they would notice nothing here that an
// attempt's own timeout does not.
func TCP(timeout time.Duration) Dialer {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// New returns an empty pool. usesReports: responses are searched for load reports. post may block while the reducer's queue is full.
func New(dial Dialer, usesReports bool, probe HealthCheckConfig, post func(node.Event)) *Pool {
	return &Pool{post: post, dial: dial, usesReports: usesReports, probe: probe, conns: map[node.ConnID]*executorConn{}}
}

// Dial opens a connection in the background. It posts node.ConnReady where the connection is open, and node.ConnClosed as
// its last event.
func (p *Pool) Dial(id node.ConnID, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &executorConn{id: id, pool: p, cancel: cancel}
	p.mu.Lock()
	p.conns[id] = c
	p.mu.Unlock()
	go c.run(ctx, addr)
}

// Write sends an attempt in the background. It does nothing where the connection is closed, which node.ConnClosed has
// told or will tell. Otherwise it posts node.AttemptEnded or, where no byte was sent, node.AttemptNotSent or
// node.ConnClosed.
func (p *Pool) Write(id node.ConnID, a node.Attempt) {
	if c := p.conn(id); c != nil && c.claim(a) {
		go c.write(a)
	}
}

// Close closes a connection. An attempt on it ends as its writing and reading then end.
func (p *Pool) Close(id node.ConnID) {
	if c := p.conn(id); c != nil {
		c.close()
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
