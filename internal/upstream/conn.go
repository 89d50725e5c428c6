package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"birchstair/internal/node"
	"birchstair/internal/socket"
	"birchstair/policy"
)

// executorConn is a connection to an executor. It carries one attempt at a time.
type executorConn struct {
	id     node.ConnID
	pool   *Pool
	cancel context.CancelFunc // of the dial

	mu     sync.Mutex
	conn   net.Conn // nil until it is open
	closed bool     // by either side: no attempt starts on it any more

	// The attempt that it carries.
	job            policy.JobID     // empty while the connection is idle
	notIdempotent  bool             // the job must not run again unless the attempt provably never ran
	writeStarted   bool             // a byte of it may have been sent
	writeDone      bool             // its last byte has been sent
	written        chan writeResult // gets how its write ended, once
	writeStartedAt time.Time

	idleSince time.Time // when the last response was complete; zero for a connection that is not used yet
}

// writeResult is how the write of an attempt ended.
type writeResult struct {
	started  bool // a byte of it may have been sent
	complete bool // so was its last one
}

// run opens the connection, reads responses until its end, and reports that.
func (c *executorConn) run(ctx context.Context, addr string) {
	detail := ""
	defer func() {
		c.close()
		c.pool.forget(c.id)
		c.pool.post(node.ConnClosed{Conn: c.id, Detail: detail})
	}()
	conn, err := c.pool.dial(ctx, c.id, addr)
	if err != nil {
		detail = "no connection: " + err.Error()
		return
	}
	c.mu.Lock()
	c.conn = conn
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	c.pool.post(node.ConnReady{Conn: c.id})
	limited := &io.LimitedReader{R: conn}
	r := bufio.NewReaderSize(limited, 4<<10)
	for c.exchange(r, limited) {
		c.pool.post(node.ConnIdle{Conn: c.id})
	}
}

// claim takes the connection for an attempt. It returns false where it is closed or taken.
func (c *executorConn) claim(a node.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conn == nil || c.job != "" {
		return false
	}
	c.job, c.notIdempotent, c.written = a.ID, a.NotIdempotent, make(chan writeResult, 1)
	return true
}

// write sends the attempt that the connection was claimed for. The decision to send it may be old by now, after a dial or
// while the process stood still, so both ends are checked right before the first byte: the executor may have closed the
// connection, and the client may have left.
func (c *executorConn) write(a node.Attempt) {
	request := encodeRequest(a)
	unusable := c.hasUnreadInput()
	clientGone := a.Client != nil && a.Client.Gone() // the last check before the first byte
	c.mu.Lock()
	c.closed = c.closed || unusable
	switch {
	case c.closed:
		c.mu.Unlock()
		c.written <- writeResult{}
		c.close()
		return
	case clientGone:
		c.job = ""
		c.mu.Unlock()
		c.pool.post(node.AttemptNotSent{Conn: c.id})
		return
	}
	c.writeStarted, c.writeStartedAt = true, time.Now()
	c.mu.Unlock()
	n, err := c.conn.Write(request)
	c.mu.Lock()
	c.writeDone = err == nil
	c.mu.Unlock()
	c.written <- writeResult{started: n > 0, complete: err == nil}
	if err != nil {
		c.close()
	}
}

// hasUnreadInput returns whether anything has arrived on an idle connection that its reader has not come to: the
// executor's close, or a response that nothing asked for. An attempt that is written then may have run for all this node
// would know, or be taken for answered by a response that is not its own.
func (c *executorConn) hasUnreadInput() bool {
	c.mu.Lock()
	used := !c.idleSince.IsZero()
	c.mu.Unlock()
	unread := false
	if used {
		unread, _ = socket.Pending(c.conn)
	}
	return unread
}

// close closes the connection or gives up its dial. It may be called more than once.
func (c *executorConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
}
