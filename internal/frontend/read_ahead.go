package frontend

import (
	"errors"
	"os"
)

const (
	maxReadAhead       = maxHeaderBytes + maxBodyBytes // bytes that each connection may always read ahead
	maxSharedReadAhead = 2 << 20                       // bytes that all connections together may read ahead beyond that
	readAheadChunk     = 4 << 10                       // size of a read
)

// readAhead holds the bytes that are read from a connection while an answer is pending on it.
//
// net/http detects that a client has left by reading one byte in the background. If that byte belongs to the client's next
// request, net/http reads no further and misses a close after it: the pending batch job, and then the next one, would be
// sent to executors for a client that has left. So the connection reads on in a goroutine of its own, and Read returns the
// bytes later.
type readAhead struct {
	buffered []byte
	err      error
	ended    chan struct{} // closed when the read-ahead goroutine has ended
	stopping bool          // the goroutine has been asked to end; guarded by the connection's lock
	done     bool          // the goroutine reads no more; guarded by the connection's lock
	reserved int64         // bytes taken from sharedReadAhead; only the goroutine uses this field until done is set
}

// startReadAhead starts to read ahead if an answer is pending and net/http's background read has ended. It is called with
// the lock held.
func (c *clientConn) startReadAhead() {
	if c.gotFirstByte && c.client != nil && c.readAhead == nil {
		c.readAhead = &readAhead{ended: make(chan struct{})}
		go c.runReadAhead(c.readAhead)
	}
}

// runReadAhead reads until endWait stops it, the connection ends or the limit on bytes read ahead is reached.
func (c *clientConn) runReadAhead(a *readAhead) {
	defer close(a.ended)
	chunk := make([]byte, readAheadChunk)
	for a.err == nil && (len(a.buffered) < maxReadAhead || c.reserve(a)) {
		n, err := c.Conn.Read(chunk)
		a.buffered, a.err = append(a.buffered, chunk[:n]...), err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.done = true
	if c.closed {
		c.release(a)
	}
	c.applyReadDeadline()
	switch {
	case a.stopping && errors.Is(a.err, os.ErrDeadlineExceeded):
		a.err = nil
	case a.err != nil && c.client != nil:
		close(c.client.disconnected)
		c.client = nil
	}
}

// takeReadAhead waits until the read-ahead goroutine has ended and moves bytes that it read into b. ok is false if nothing
// is left of them.
func (c *clientConn) takeReadAhead(b []byte) (n int, err error, ok bool) {
	c.mu.Lock()
	a := c.readAhead
	c.gotFirstByte = false
	c.mu.Unlock()
	if a == nil {
		return 0, nil, false
	}
	<-a.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(b, a.buffered)
	a.buffered = a.buffered[n:]
	c.framer.observe(b[:n])
	if n > 0 {
		return n, nil, true
	}
	if a.err != nil {
		return 0, a.err, true
	}
	c.release(a)
	c.readAhead = nil
	return 0, nil, false
}

// reserve takes one more chunk from the bytes that all connections share, and reports whether enough were left. Reading
// beyond maxReadAhead is needed to notice the close of a client that has sent a lot: the unread bytes could fill the
// socket's buffer, and the close comes after them.
func (c *clientConn) reserve(a *readAhead) bool {
	if c.sharedReadAhead.Add(-readAheadChunk) < 0 {
		c.sharedReadAhead.Add(readAheadChunk)
		return false
	}
	a.reserved += readAheadChunk
	return true
}

// release gives the reserved bytes back. It is called with the lock held, after the goroutine is done.
func (c *clientConn) release(a *readAhead) {
	c.sharedReadAhead.Add(a.reserved)
	a.reserved = 0
}
