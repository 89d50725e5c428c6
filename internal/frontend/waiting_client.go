package frontend

import (
	"sync/atomic"

	"birchstair/internal/socket"
)

// waitingClient is a client that waits for the answer to its batch job. It implements node.Client.
type waitingClient struct {
	conn         *clientConn
	disconnected chan struct{} // closed when the client closes or half-closes its connection before the answer
	finished     atomic.Bool   // the client has its answer or has left
}

// Gone implements node.Client: it returns whether the client has left, as the system knows it now. It is called right
// before an attempt's first byte is written: the client's close may lie unread in the system, behind a reader that is late
// or a process that stood still. The handler is notified as well, since no reader may come to see the close.
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

// beginWait returns the client of the batch job that has just been read. endWait is called once its answer is written.
func (c *clientConn) beginWait() *waitingClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &waitingClient{conn: c, disconnected: make(chan struct{})}
	c.client = w
	c.startReadAhead()
	return w
}

// endWait stops reading ahead; what was read ahead is left for Read.
func (c *clientConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client = nil
	if c.readAhead != nil && !c.readAhead.stopping {
		c.readAhead.stopping = true
		c.applyReadDeadline()
	}
}

// clientLeft notes that a client has left, unless it has its answer.
func (c *clientConn) clientLeft(w *waitingClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == w {
		close(w.disconnected)
		c.client = nil
	}
}
