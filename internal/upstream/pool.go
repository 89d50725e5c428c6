// Package upstream communicates with executors: it opens connections, sends attempts on them and decodes the responses.
//
// The node's state machine decides which connections are opened, used and closed, and Pool (pool.go) carries out these decisions.
// Each connection (conn.go) has a goroutine that reads responses (exchange.go) and reports the connection's end. Each attempt is
// written by a goroutine of its own. Health checks (health_check.go) use separate connections. All headers and texts of the
// protocol are in codec.go.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
)

// Pool holds the connections to executors, by the IDs that the state machine assigns to them. It implements node.Upstream. Its
// methods return at once, and their results are posted as events.
type Pool struct {
	post        func(node.Event)
	dial        Dialer
	usesReports bool // whether load reports in responses to attempts are decoded
	healthCheck HealthCheckConfig

	mu    sync.Mutex
	conns map[node.ConnID]*executorConn
}

// Dialer opens a connection to an executor. id is the connection's id in the pool, or 0 for the connection of a health
// check. A Dialer must return at the latest when the context ends.
type Dialer func(ctx context.Context, id node.ConnID, addr string) (net.Conn, error)

// TCP returns a Dialer for TCP with this timeout. TCP keep-alives are off, because the timeouts of attempts already detect a
// broken connection.
func TCP(timeout time.Duration) Dialer {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// New returns an empty pool. usesReports says whether load reports in responses to attempts are decoded. post can block while the
// event queue is full.
func New(dial Dialer, usesReports bool, healthCheck HealthCheckConfig, post func(node.Event)) *Pool {
	return &Pool{post: post, dial: dial, usesReports: usesReports, healthCheck: healthCheck, conns: map[node.ConnID]*executorConn{}}
}

// Dial opens a connection in the background. When the connection is open, node.ConnReady is posted. node.ConnClosed is the
// connection's last event, even if the connection was never open.
func (p *Pool) Dial(id node.ConnID, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &executorConn{id: id, pool: p, cancel: cancel}
	p.mu.Lock()
	p.conns[id] = c
	p.mu.Unlock()
	go c.run(ctx, addr)
}

// Write sends an attempt in the background. One of these events follows:
//
//   - node.AttemptEnded if a byte of the attempt may have been sent, or with policy.InvalidRequest if the request can't be encoded
//   - node.AttemptNotSent if the client has left, or it is not known whether it has
//   - node.ConnClosed if the connection closed before a byte was sent
//
// If the connection is already closed, Write does nothing. node.ConnClosed has then reported the close, or will report it.
func (p *Pool) Write(id node.ConnID, a node.Attempt) {
	if c := p.conn(id); c != nil && c.claim(a) {
		go c.write(a)
	}
}

// Close closes a connection. An attempt that is in flight on the connection ends as if the connection had broken.
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

func (p *Pool) remove(id node.ConnID) {
	p.mu.Lock()
	delete(p.conns, id)
	p.mu.Unlock()
}
