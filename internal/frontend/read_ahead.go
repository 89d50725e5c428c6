package frontend

import (
	"errors"
	"os"
	"time"
)

const (
	minReadAhead     = 8 << 10 // bytes that each connection can always read ahead
	maxConnReadAhead = 2 << 20 // bytes that a connection can read ahead at the most

	// readAheadDivisor is what the node's memory is divided by to get the memory for what all connections read ahead.
	readAheadDivisor = 16
)

// readAhead holds the bytes that are read from a connection while an answer is pending on it, until net/http reads them.
//
// net/http detects that a client has left by reading one byte in the background. If that byte belongs to the client's next
// request, net/http reads no further and misses a close after that byte. The pending batch job, and then the next one, would be
// sent to executors although the client has left. A goroutine therefore reads on, and Read returns the bytes later.
//
// A client's close arrives after all bytes that the client has sent. The goroutine stops at maxConnReadAhead, and earlier if the
// connections' budget is used up. From then on a close can be behind the bytes that are not read (see waitingClient.State).
//
// The fields are guarded by the connection's lock. While running is set, buffered is used only by the goroutine.
type readAhead struct {
	buffered chunkBuffer   // bytes that Read has not returned yet
	reserved int64         // bytes taken from the budget
	err      error         // the error that ended the reads
	running  bool          // the goroutine reads
	stopping bool          // the goroutine must end
	ended    chan struct{} // closed when the goroutine has ended
	limited  bool          // the goroutine has ended because it may read no more bytes
}

// startReadAhead starts to read ahead if an answer is pending, and net/http's background read has ended or will end by a byte
// that was read ahead before. It is called with the lock held.
func (c *clientConn) startReadAhead() {
	a := &c.readAhead
	if c.client == nil || a.running || a.err != nil {
		return
	}
	if nextRequestBegun := c.gotFirstByte || !a.buffered.empty(); !nextRequestBegun {
		return
	}
	a.running, a.stopping, a.limited, a.ended = true, false, false, make(chan struct{})
	go c.runReadAhead()
}

// runReadAhead reads until endWait stops it, the connection ends or it may read no more bytes.
func (c *clientConn) runReadAhead() {
	a := &c.readAhead
	var err error
	for err == nil && c.mayReadAhead() {
		var n int
		n, err = c.Conn.Read(a.buffered.space())
		a.buffered.commit(n, time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.running = false
	close(a.ended)
	if c.closed {
		c.releaseReadAhead()
	}
	c.applyReadDeadline()
	switch {
	case err == nil:
		a.limited = true
	case a.stopping && errors.Is(err, os.ErrDeadlineExceeded):
	default:
		a.err = err
		c.reportDisconnected()
	}
}

// reportDisconnected notifies the handler that the client has left, if one waits for an answer. It is called with the lock held.
func (c *clientConn) reportDisconnected() {
	if c.client != nil {
		close(c.client.disconnected)
		c.client = nil
	}
}

// mayReadAhead reports whether the goroutine may read more bytes, and reserves memory for them.
func (c *clientConn) mayReadAhead() bool {
	a := &c.readAhead
	if !a.buffered.full() {
		return true
	}
	memory := int64(a.buffered.memory()) + chunkBytes
	if memory <= minReadAhead || memory <= a.reserved {
		return true
	}
	if memory > maxConnReadAhead || !c.readAheadBudget.reserve(chunkBytes) {
		return false
	}
	a.reserved += chunkBytes
	return true
}

// takeReadAhead waits until the read-ahead goroutine has ended. It then moves buffered bytes into b, or returns the error that
// ended the reads if no bytes are left. ok is false if there is neither.
func (c *clientConn) takeReadAhead(b []byte) (n int, err error, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.readAhead
	c.gotFirstByte = false
	for a.running {
		ended := a.ended
		c.mu.Unlock()
		<-ended
		c.mu.Lock()
	}
	n, at := a.buffered.read(b)
	if n > 0 {
		c.shrinkReadAhead()
		return c.observe(b[:n], at), nil, true
	}
	return 0, a.err, a.err != nil
}

// shrinkReadAhead returns the reserved bytes that the buffer no longer takes to the budget. It is called with the lock held.
func (c *clientConn) shrinkReadAhead() {
	a := &c.readAhead
	if excess := a.reserved - int64(a.buffered.memory()); excess > 0 {
		a.reserved -= excess
		c.readAheadBudget.release(excess)
	}
}

// releaseReadAhead drops the bytes that were read ahead, and returns what they have reserved to the budget. It is called with the
// lock held, while the goroutine does not run.
func (c *clientConn) releaseReadAhead() {
	c.readAhead.buffered = chunkBuffer{}
	c.shrinkReadAhead()
}
