package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"birchstair/internal/socket"
)

// finalReadTimeout bounds the last read before a close. It is used only where the operating system can't tell whether
// unread bytes have arrived.
const finalReadTimeout = time.Millisecond

// clientConn is a connection from a client. It does two things that net/http does not:
//
//   - closeWhenSafe closes the connection without losing a request that has arrived.
//   - Read-ahead (read_ahead.go) notices that a client leaves while its answer is pending. It does so even if the client has
//     already sent part of its next request.
//
// Only one goroutine reads a connection at a time. Usually that is net/http's goroutine, which calls Read and also closes the
// connection. While an answer is pending, it can be the read-ahead goroutine. Any goroutine can call the other methods.
type clientConn struct {
	net.Conn

	mu             sync.Mutex
	framer         requestFramer
	requestCount   int         // number of requests passed to the handler
	answeredCount  int         // number of requests that are answered
	arrivals       []time.Time // when the last bytes of the requests arrived that are complete and not passed to the handler yet
	arrivalCount   int         // number of requests that are complete, as far as the framer finds their ends
	deadline       time.Time   // the read deadline that net/http has set; zero if it has set none
	closeMode      closeMode
	finalCheckDone bool // the last read before a close has started, and has not returned a byte
	readTimedOut   bool // net/http's deadline has ended a read

	client          *waitingClient // the client whose answer is pending; nil if no answer is pending
	gotFirstByte    bool           // net/http's background read has returned one byte; net/http does not notice a close after it
	readAhead       readAhead
	readAheadBudget *byteBudget // memory for what all connections read ahead beyond minReadAhead
	closed          bool        // net/http has closed the connection

	hasWriteDeadline atomic.Bool // a handler has set a deadline for writes

	// The fields below are used only by the goroutine of the handler (pacing.go).
	cheapAnswers *rate.Limiter // answers that needed no attempt; nil before the first one
	pausedUntil  time.Time     // the next request is not handled before; zero if it need not wait
}

// closeMode says whether a connection must be closed, and whether a request that has arrived only in part keeps it open.
type closeMode int

const (
	stayOpen          closeMode = iota
	closeIfIdle                 // close the connection unless at least a part of a request has arrived
	closeIfIncomplete           // close the connection unless a complete request has arrived
)

// closeWhenSafe starts to close the connection, which then closes as soon as that loses no request. To interrupt the goroutine
// that reads the connection, it moves the read deadline into the past. That goroutine reads what has arrived, and closes the
// connection if no request is among it.
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

// keepOpen cancels a call of closeWhenSafe that has not closed the connection yet.
func (c *clientConn) keepOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeMode = stayOpen
}

// canClose reports whether a close would lose none of the requests that have been read so far. In mode closeIfIncomplete, a
// request that has been read only in part does not count.
func (c *clientConn) canClose() bool {
	f := &c.framer
	switch {
	case f.stopped && f.completeHeads > c.answeredCount: // the framer can't find the end of the request that is being read
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

// observe has the framer parse bytes that arrived at this time, and returns how many of them net/http may read. It notes when requests
// were complete. It is called with the lock held.
func (c *clientConn) observe(b []byte, at time.Time) (readable int) {
	readable = c.framer.observe(b)
	for ; c.arrivalCount < c.framer.completeRequests; c.arrivalCount++ {
		c.arrivals = append(c.arrivals, at)
	}
	return readable
}

// waited returns how long ago the last byte of the request that is being handled arrived. The request can have waited for the
// answers to earlier ones. If the framer does not know the end of the request, the result is 0.
func (c *clientConn) waited() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) == 0 || c.firstArrival() != c.requestCount {
		return 0
	}
	return time.Since(c.arrivals[0])
}

// firstArrival returns the number of the request whose arrival is the first one in arrivals. It is called with the lock held.
func (c *clientConn) firstArrival() int { return c.arrivalCount - len(c.arrivals) + 1 }

// dropEarlierArrivals drops the arrivals of the requests before the one that is being handled. It is called with the lock held.
func (c *clientConn) dropEarlierArrivals() {
	earlier := min(max(0, c.requestCount-c.firstArrival()), len(c.arrivals))
	c.arrivals = c.arrivals[earlier:]
}

// framing is what the bytes of a request tell that net/http does not.
type framing struct {
	chunksOnly    bool // the request has a chunked body and no Content-Length header
	tooManyFields bool // the header was cut off, and neither the rest of it nor a body can be read
}

// countRequest counts a request that is passed to the handler, and returns its framing.
func (c *clientConn) countRequest() framing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestCount++
	c.dropEarlierArrivals()
	f := &c.framer
	if f.completeHeads != c.requestCount {
		return framing{}
	}
	return framing{chunksOnly: f.chunked && !f.hasContentLength, tooManyFields: f.tooManyFields}
}

// timedOut reports whether net/http's deadline has ended a read.
func (c *clientConn) timedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readTimedOut
}

// markClosed records that net/http has closed the connection, and releases the bytes that read-ahead has reserved.
func (c *clientConn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if !c.readAhead.running {
		c.releaseReadAhead()
	}
}

// SetReadDeadline implements net.Conn. While the reader is being interrupted, the deadline is only stored, and takes effect
// after the interruption.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// applyReadDeadline sets the deadline that readDeadline returns. It is called with the lock held, after each change of a
// field that readDeadline depends on.
func (c *clientConn) applyReadDeadline() { c.Conn.SetReadDeadline(c.readDeadline()) }

// readDeadline returns the deadline for reads. It is in the past while the reader must be interrupted: to stop reading ahead,
// or to check whether the connection can be closed. Otherwise it is net/http's deadline.
func (c *clientConn) readDeadline() time.Time {
	stopping := c.readAhead.running && c.readAhead.stopping
	if stopping || c.closeMode != stayOpen && c.canClose() && !c.finalCheckDone {
		return pastDeadline
	}
	return c.deadline
}

// Read implements net.Conn. It first returns the bytes that were read ahead. If closeWhenSafe has interrupted a read and the
// connection can't be closed after all, Read reads again.
func (c *clientConn) Read(b []byte) (int, error) {
	if n, err, ok := c.takeReadAhead(b); ok {
		return n, err
	}
	for {
		n, err := c.Conn.Read(b)
		if readable, done := c.afterRead(b, n, err); done {
			return readable, err
		}
	}
}

// afterRead processes the result of a read into b. If done is true, Read returns this result, with the number of bytes that net/http
// may read; otherwise Read reads again.
func (c *clientConn) afterRead(b []byte, n int, err error) (readable int, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	readable = c.observe(b[:n], time.Now())
	if n > 0 {
		if c.closeMode != stayOpen {
			c.finalCheckDone = false
			c.applyReadDeadline()
		}
		c.gotFirstByte = len(b) == 1
		c.startReadAhead()
		return readable, true
	}
	ownDeadline := errors.Is(err, os.ErrDeadlineExceeded) && (c.deadline.IsZero() || c.deadline.After(time.Now()))
	if !ownDeadline {
		// net/http ends its background read by a deadline far in the past.
		c.readTimedOut = c.readTimedOut || errors.Is(err, os.ErrDeadlineExceeded) && time.Since(c.deadline) < idleTimeout
		return readable, true
	}
	if c.closeMode == stayOpen || !c.canClose() {
		c.applyReadDeadline()
		return 0, false
	}
	return 0, c.finalCheckDone || !c.finalCheck()
}

// finalCheck checks whether bytes of a request are unread after closeWhenSafe has interrupted a read. The check is needed
// because a read whose deadline has passed returns nothing even if bytes have arrived. readAgain reports whether Read must
// read once more. finalCheck is called with the lock held.
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

// SetWriteDeadline implements net.Conn.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Without a deadline of the handler it has the time limit for writing an answer: a client that reads nothing
// must not hold its connection.
func (c *clientConn) Write(b []byte) (int, error) {
	if !c.hasWriteDeadline.Load() {
		c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return c.Conn.Write(b)
}

// CloseWrite half-closes the connection, as net/http does before it closes one.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
