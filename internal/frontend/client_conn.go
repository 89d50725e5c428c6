package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"birchstair/internal/socket"
)

// lastReadTimeout bounds the last read before a close, where the system cannot tell whether a request has arrived.
const lastReadTimeout = time.Millisecond

// clientConn is a connection from a client. It does two things that net/http does not: it is closed only where that
// loses no request that has arrived (closeWhenSafe), and it notices that the client has left also where part of the next
// request lies before the end (read_ahead.go).
//
// A connection has one reader at a time: the goroutine that is in Read (net/http's, which also closes the connection), or
// the one that reads ahead while an answer is pending. All other methods may be called from any goroutine.
type clientConn struct {
	net.Conn

	mu        sync.Mutex
	framer    requestFramer
	requests  int       // passed to the handler
	answered  int       // of those
	deadline  time.Time // net/http's read deadline; zero for none
	closeMode closeMode
	probed    bool // the last read before a close has found nothing

	client          *waitingClient // that waits for an answer, or nil
	gotFirstByte    bool           // net/http's background read has returned its one byte; it will not see the client leave
	readAhead       *readAhead     // or nil
	sharedReadAhead *atomic.Int64  // bytes left of maxSharedReadAhead, for all connections together
	closed          bool           // nobody reads it any more
}

// closeMode is whether a connection is to be closed, and what may be lost by it.
type closeMode int

const (
	staysOpen         closeMode = iota
	closeIfIdle                 // close it unless part of a request has arrived
	closeIfIncomplete           // close it unless a complete request has arrived
)

// closeWhenSafe has the goroutine that reads the connection close it, by cutting its read deadline short, as soon as no
// request is lost by that. What has arrived is read first.
func (c *clientConn) closeWhenSafe(mode closeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeMode == staysOpen {
		c.probed = false
	}
	c.closeMode = max(c.closeMode, mode)
	if c.canClose() && !c.probed {
		c.applyReadDeadline()
	}
}

// keepOpen calls a close off that has not happened yet.
func (c *clientConn) keepOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeMode = staysOpen
}

// canClose returns whether a close loses no request of what has been read.
func (c *clientConn) canClose() bool {
	f := &c.framer
	switch {
	case f.stopped && f.completeHeads > c.answered: // in chunks, the end of which is not known
		return false
	case c.closeMode == closeIfIncomplete:
		return f.completeHeads == c.answered || f.completeHeads == c.answered+1 && f.bodyRemaining > 0
	}
	return f.completeHeads == c.answered && !f.inHead && len(f.line) == 0
}

// becameIdle notes that all requests so far are answered.
func (c *clientConn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.requests
}

// nextRequest counts a request that the handler gets. chunksOnly: its body is in chunks, and it has no Content-Length
// beside them.
func (c *clientConn) nextRequest() (chunksOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	f := &c.framer
	return f.chunked && !f.hasLength && f.completeHeads == c.requests
}

// markClosed notes that nobody reads the connection any more.
func (c *clientConn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.readAhead != nil && c.readAhead.done {
		c.release(c.readAhead)
	}
}

// SetReadDeadline implements net.Conn. The deadline is cut short while the reader is to stop.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// applyReadDeadline applies the read deadline after a change of what it follows from. It is called with the lock held.
func (c *clientConn) applyReadDeadline() { c.Conn.SetReadDeadline(c.readDeadline()) }

// readDeadline returns the past where the reader is to stop or to look whether it can close, else net/http's deadline.
func (c *clientConn) readDeadline() time.Time {
	stopping := c.readAhead != nil && c.readAhead.stopping && !c.readAhead.done
	if stopping || c.closeMode != staysOpen && c.canClose() && !c.probed {
		return pastDeadline
	}
	return c.deadline
}

// Read implements net.Conn. It returns what was read ahead first. Where a deadline of closeWhenSafe's ends a read and the
// connection cannot be closed after all, it reads again.
func (c *clientConn) Read(b []byte) (int, error) {
	if n, err, ok := c.takeReadAhead(b); ok {
		return n, err
	}
	for {
		n, err := c.Conn.Read(b)
		if c.afterRead(b, n, err) {
			return n, err
		}
	}
}

// afterRead notes the result of a read into b. It returns whether Read returns with it, rather than reading again.
func (c *clientConn) afterRead(b []byte, n int, err error) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.observe(b[:n])
	if n > 0 {
		if c.closeMode != staysOpen {
			c.probed = false
			c.applyReadDeadline()
		}
		c.gotFirstByte = len(b) == 1
		c.startReadAhead()
		return true
	}
	ownDeadline := errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || c.deadline.After(time.Now()))
	if !ownDeadline {
		return true
	}
	if c.closeMode == staysOpen || !c.canClose() {
		c.applyReadDeadline()
		return false
	}
	return c.probed || !c.probe()
}

// probe looks for a request that has arrived when a read was ended by closeWhenSafe's deadline: such a read returns
// nothing also where something could be read. It returns whether to read once more. It is called with the lock held.
func (c *clientConn) probe() (readAgain bool) {
	c.probed = true
	arrived, known := socket.Pending(c.Conn)
	switch {
	case arrived:
		c.applyReadDeadline()
	case known:
		return false
	default:
		c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
	return true
}

// CloseWrite half-closes the connection, as net/http does before it closes one.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
