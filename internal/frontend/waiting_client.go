package frontend

import (
	"sync/atomic"
	"time"

	"birchstair/internal/node"
	"birchstair/internal/socket"
)

const (
	// drainWait bounds how long State waits until the bytes that hide a client's state are read.
	drainWait = 20 * time.Millisecond
	// drainPoll is the pause between two looks at the socket.
	drainPoll = 200 * time.Microsecond
)

// waitingClient is a client that waits for the final answer to its batch job. It implements node.Client.
type waitingClient struct {
	conn         *clientConn
	disconnected chan struct{} // closed when the client closes or half-closes its connection before the answer
	finished     atomic.Bool   // the client has its answer or has left
}

// State implements node.Client. It is called right before an attempt's first byte is written. At that time the client's close can
// be unread, because the reader is late or the process was suspended. State therefore checks the state of the socket in the
// kernel. If the client has left, State also notifies the handler, because the reader may never reach the close.
//
// While bytes are unread, a close can be behind them, in the client's kernel. State then waits until the connection has read ahead
// as far as it may. If bytes are still unread, the state can't be known.
func (w *waitingClient) State() node.ClientState {
	for deadline := time.Now().Add(drainWait); ; time.Sleep(drainPoll) {
		if w.finished.Load() {
			return node.ClientGone
		}
		switch unread, ended, known := socket.State(w.conn.Conn); {
		case ended:
			w.conn.clientLeft(w)
			return node.ClientGone
		case !known || !unread:
			return node.ClientWaits
		case w.conn.readAheadLimited(), time.Now().After(deadline):
			return node.ClientUnknown
		}
	}
}

// beginWait returns the client of the batch job that has just been read, and starts to read ahead. endWait must be called after
// the answer to that job is written.
func (c *clientConn) beginWait() *waitingClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &waitingClient{conn: c, disconnected: make(chan struct{})}
	c.client = w
	c.readAhead.limited = false // what was read ahead for earlier requests may have made room
	c.startReadAhead()
	return w
}

// endWait ends the wait for an answer and stops reading ahead. Later calls of Read return the bytes that were read ahead.
func (c *clientConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client = nil
	if c.readAhead.running && !c.readAhead.stopping {
		c.readAhead.stopping = true
		c.applyReadDeadline()
	}
}

// clientLeft records that a client has left, unless it no longer waits for an answer.
func (c *clientConn) clientLeft(w *waitingClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == w {
		c.reportDisconnected()
	}
}

// readAheadLimited reports whether the connection may read no further ahead.
func (c *clientConn) readAheadLimited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.limited
}
