package frontend

import (
	"sync/atomic"

	"birchstair/internal/socket"
)

// waitingClient is a client that waits for the final answer to its batch job. It implements node.Client.
type waitingClient struct {
	conn         *clientConn
	disconnected chan struct{} // closed when the client closes or half-closes its connection before the answer
	finished     atomic.Bool   // the client has its answer or has left
}

// Gone implements node.Client. It reports whether the client has left. It is called right before an attempt's first byte is
// written. At that time the client's close can be unread, because the reader is late or the process was suspended. Gone
// therefore checks the state of the socket in the kernel. If the client has left, Gone also notifies the handler, because the
// reader may never reach the close.
func (w *waitingClient) Gone() bool {
	if w.finished.Load() {
		return true
	}
	if ended, _ := socket.Ended(w.conn.Conn); !ended {
		return false
	}
	w.conn.clientLeft(w)
	return true
}

// beginWait returns the client of the batch job that has just been read, and starts to read ahead. endWait must be called after
// the answer to that job is written.
func (c *clientConn) beginWait() *waitingClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &waitingClient{conn: c, disconnected: make(chan struct{})}
	c.client = w
	c.startReadAhead()
	return w
}

// endWait ends the wait for an answer and stops reading ahead. Later calls of Read return the bytes that were read ahead.
func (c *clientConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client = nil
	if c.readAhead != nil && !c.readAhead.stopping {
		c.readAhead.stopping = true
		c.applyReadDeadline()
	}
}

// clientLeft records that a client has left, unless it no longer waits for an answer.
func (c *clientConn) clientLeft(w *waitingClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == w {
		close(w.disconnected)
		c.client = nil
	}
}
