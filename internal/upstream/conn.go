package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"

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
	conn   net.Conn // the network connection; nil until it is open
	closed bool     // one side has closed the connection, so no further attempt starts on it

	// The fields from job to writeEnded describe the attempt that the connection carries.
	job           policy.JobID     // job of the attempt; empty while the connection is idle
	notIdempotent bool             // the job may be retried only if it is certain that this attempt never ran
	writeStarted  bool             // a byte of the attempt may have been sent
	writeEnded    chan writeResult // receives one value when the write of the attempt has ended

	used bool // the connection has carried an attempt that was answered
}

// writeResult is the result of writing an attempt.
type writeResult struct {
	started  bool // a byte of the attempt may have been sent
	complete bool // the last byte of the attempt has been sent
}

// run opens the connection, reads responses until the connection ends, and then posts node.ConnClosed.
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
	head := &headReader{from: limited}
	r := bufio.NewReaderSize(head, 4<<10)
	for c.handleResponse(r, limited, head) {
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

// write sends the attempt that the connection is claimed for. Right before the first byte it checks that the executor has not
// closed the connection and that the client has not left. Either can have happened since the state machine decided to send the
// attempt, in particular if the process was suspended in between.
func (c *executorConn) write(a node.Attempt) {
	request, err := encodeRequest(a)
	if err != nil {
		c.rejectAttempt(err)
		return
	}
	unusable := c.hasUnreadInput()
	client := node.ClientWaits
	if a.Client != nil {
		client = a.Client.State() // the client is checked last, right before the first byte is written
	}
	c.mu.Lock()
	c.closed = c.closed || unusable
	switch {
	case c.closed:
		c.mu.Unlock()
		c.writeEnded <- writeResult{}
		c.close()
		return
	case client != node.ClientWaits:
		c.job = ""
		c.mu.Unlock()
		c.pool.post(node.AttemptNotSent{Conn: c.id, Client: client})
		return
	}
	c.writeStarted = true
	c.mu.Unlock()
	n, err := c.conn.Write(request)
	c.writeEnded <- writeResult{started: n > 0, complete: err == nil}
	if err != nil {
		c.close()
	}
}

// rejectAttempt ends the claimed attempt without sending a byte of it, because no executor could decode the request. It closes the
// connection, so that nothing that arrives on it can be taken for a response to the attempt.
func (c *executorConn) rejectAttempt(err error) {
	c.pool.post(node.AttemptEnded{Conn: c.id, Outcome: policy.InvalidRequest, Detail: err.Error()})
	c.writeEnded <- writeResult{}
	c.close()
}

// hasUnreadInput reports whether a close or an unsolicited response of the executor has arrived on an idle connection and is
// not read yet. No attempt must be written in that case. After a close, the node could not tell whether the attempt ran. An
// unsolicited response would be mistaken for the response to the attempt. hasUnreadInput returns false for a connection that has
// carried no attempt yet.
func (c *executorConn) hasUnreadInput() bool {
	c.mu.Lock()
	used := c.used
	c.mu.Unlock()
	unread := false
	if used {
		unread, _ = socket.Pending(c.conn)
	}
	return unread
}

// close closes the connection or cancels its dial. It is safe to call more than once.
func (c *executorConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	if c.conn != nil {
		c.conn.Close()
	}
}
