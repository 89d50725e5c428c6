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

// finalReadTimeout bounds the last read before a close, if the system can't tell whether unread bytes have arrived.
const finalReadTimeout = time.Millisecond

// clientConn is a connection from a client. It does two things that net/http does not: closeWhenSafe closes it without losing
// a request that has arrived, and read-ahead (read_ahead.go) notices that a client leaves while its answer is pending, even if
// the client has sent part of its next request before.
//
// A connection has one reader at a time: net/http's goroutine, which calls Read and also closes the connection, or the
// goroutine that reads ahead while an answer is pending. All other methods may be called from any goroutine.
type clientConn struct {
	net.Conn

	mu             sync.Mutex
	framer         requestFramer
	requestCount   int       // requests passed to the handler
	answeredCount  int       // of those, the requests that are answered
	deadline       time.Time // the read deadline that net/http has set; zero for none
	closeMode      closeMode
	finalCheckDone bool // the last read before a close has started, and has found no request so far

	client          *waitingClient // the client while its answer is pending, else nil
	gotFirstByte    bool           // net/http's background read has returned a byte, and can no longer see a close
	readAhead       *readAhead     // bytes read while an answer was pending; nil if there are none
	sharedReadAhead *atomic.Int64  // bytes of maxSharedReadAhead that no connection has reserved
	closed          bool           // net/http has closed the connection and no longer reads it
}

// closeMode says whether a connection is to be closed, and which part of a request may be lost by that.
type closeMode int

const (
	stayOpen          closeMode = iota
	closeIfIdle                 // to be closed unless at least part of a request has arrived
	closeIfIncomplete           // to be closed unless a complete request has arrived
)

// closeWhenSafe has the connection closed as soon as that loses no request. It moves the read deadline into the past, so
// that the goroutine that reads the connection reads what has arrived, and then ends and closes the connection.
func (c *clientConn) closeWhenSafe(mode closeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeMode == stayOpen {
		c.finalCheckDone = false
	}
	c.closeMode = max(c.closeMode, mode)
	if c.canClose() && !c.finalCheckDone {
		c.applyReadDeadline()
	}
}

// keepOpen cancels a closeWhenSafe that has not taken effect.
func (c *clientConn) keepOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeMode = stayOpen
}

// canClose reports whether a close would lose none of the requests that have been read so far. The parts of requests that
// may be lost depend on closeMode.
func (c *clientConn) canClose() bool {
	f := &c.framer
	switch {
	case f.stopped && f.completeHeads > c.answeredCount: // the request has a chunked body, whose end the framer can't find
		return false
	case c.closeMode == closeIfIncomplete:
		return f.completeHeads == c.answeredCount || f.completeHeads == c.answeredCount+1 && f.bodyRemaining > 0
	}
	return f.completeHeads == c.answeredCount && !f.inHead && len(f.line) == 0
}

// markIdle records that all requests so far are answered.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredCount = c.requestCount
}

// countRequest counts a request that is passed to the handler. chunksOnly reports that the request has a chunked body and
// no Content-Length header besides.
func (c *clientConn) countRequest() (chunksOnly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestCount++
	f := &c.framer
	return f.chunked && !f.hasContentLength && f.completeHeads == c.requestCount
}

// markClosed records that net/http has closed the connection, and releases what read-ahead has reserved.
func (c *clientConn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.readAhead != nil && c.readAhead.done {
		c.release(c.readAhead)
	}
}

// SetReadDeadline implements net.Conn. The deadline takes effect later while the reader is being interrupted.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// applyReadDeadline sets the deadline that readDeadline returns. It is called with the lock held, after each change of a
// field that readDeadline depends on.
func (c *clientConn) applyReadDeadline() { c.Conn.SetReadDeadline(c.readDeadline()) }

// readDeadline returns a deadline in the past while the reader is to stop reading ahead or to check whether the connection
// can be closed, and net/http's deadline otherwise.
func (c *clientConn) readDeadline() time.Time {
	stopping := c.readAhead != nil && c.readAhead.stopping && !c.readAhead.done
	if stopping || c.closeMode != stayOpen && c.canClose() && !c.finalCheckDone {
		return pastDeadline
	}
	return c.deadline
}

// Read implements net.Conn. It returns first what was read ahead. If closeWhenSafe has interrupted a read and the connection
// can't be closed after all, it reads again.
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

// afterRead processes the result of a read into b. done reports that Read returns this result; otherwise Read reads again.
func (c *clientConn) afterRead(b []byte, n int, err error) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.observe(b[:n])
	if n > 0 {
		if c.closeMode != stayOpen {
			c.finalCheckDone = false
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
	if c.closeMode == stayOpen || !c.canClose() {
		c.applyReadDeadline()
		return false
	}
	return c.finalCheckDone || !c.finalCheck()
}

// finalCheck checks for an unread request after closeWhenSafe has interrupted a read: a read whose deadline has passed
// returns nothing even if bytes have arrived. It reports whether to read once more. It is called with the lock held.
func (c *clientConn) finalCheck() (readAgain bool) {
	c.finalCheckDone = true
	arrived, known := socket.Pending(c.Conn)
	switch {
	case arrived:
		c.applyReadDeadline()
	case known:
		return false
	default:
		c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
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
