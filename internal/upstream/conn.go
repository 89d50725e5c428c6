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
	cancel context.CancelFunc // cancels the dial

	mu     sync.Mutex
	conn   net.Conn // nil until the connection is open
	closed bool     // closed by either side; no attempt may start on it any more

	// The attempt that the connection carries.
	job            policy.JobID     // empty while the connection is idle
	notIdempotent  bool             // the job may be retried only if this attempt certainly never ran
	writeStarted   bool             // a byte of the attempt may have been sent
	writeDone      bool             // the last byte of the attempt has been sent
	writeEnded     chan writeResult // receives one value, when the write of the attempt has ended
	writeStartedAt time.Time

	idleSince time.Time // when the last response was complete; zero if the connection is unused
}

// writeResult is the result of writing an attempt.
type writeResult struct {
	started  bool // a byte may have been sent
	complete bool // the last byte has been sent
}

// run opens the connection, reads responses until the connection ends, and reports the end.
func (c *executorConn) run(ctx context.Context, addr string) {
	detail := ""
	defer func() {
		c.close()
		c.pool.remove(c.id)
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
	for c.handleResponse(r, limited) {
		c.pool.post(node.ConnIdle{Conn: c.id})
	}
}

// claim reserves the connection for an attempt. It returns false if the connection is closed or in use.
func (c *executorConn) claim(a node.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conn == nil || c.job != "" {
		return false
	}
	c.job, c.notIdempotent, c.writeEnded = a.ID, a.NotIdempotent, make(chan writeResult, 1)
	return true
}

// write sends the attempt that the connection is claimed for. Since the attempt was decided, the executor may have closed the
// connection and the client may have left, in particular if the process was suspended meanwhile. Both are therefore checked
// right before the first byte.
func (c *executorConn) write(a node.Attempt) {
	request := encodeRequest(a)
	unusable := c.hasUnreadInput()
	clientGone := a.Client != nil && a.Client.Gone() // the last check before the first byte
	c.mu.Lock()
	c.closed = c.closed || unusable
	switch {
	case c.closed:
		c.mu.Unlock()
		c.writeEnded <- writeResult{}
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
	c.writeEnded <- writeResult{started: n > 0, complete: err == nil}
	if err != nil {
		c.close()
	}
}

// hasUnreadInput reports whether a close or an unsolicited response of the executor has arrived on an idle connection and is
// not read yet. If an attempt were written then, the node could not tell whether it ran, or would mistake the unsolicited
// response for the attempt's. It returns false for a connection that has carried no attempt yet.
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

// close closes the connection or cancels its dial. It may be called more than once.
func (c *executorConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
}
