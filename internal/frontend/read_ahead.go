package frontend

import (
	"errors"
	"os"
)

const (
	maxReadAhead       = maxHeaderBytes + maxBodyBytes // bytes that each connection can always read ahead
	maxSharedReadAhead = 2 << 20                       // bytes that all connections together can read ahead beyond maxReadAhead
	readAheadChunk     = 4 << 10                       // size of one read, in bytes
)

// readAhead holds the bytes that are read from a connection while an answer is pending on it.
//
// net/http detects that a client has left by reading one byte in the background. If that byte belongs to the client's next
// request, net/http reads no further and misses a close after that byte. The pending batch job, and then the next one, would be
// sent to executors although the client has left. A goroutine therefore reads on, and Read returns the bytes later.
type readAhead struct {
	buffered []byte        // bytes that Read has not returned yet
	err      error         // the error that ended the reads
	ended    chan struct{} // closed when the read-ahead goroutine has ended
	stopping bool          // the read-ahead goroutine must end; guarded by the connection's lock
	done     bool          // the read-ahead goroutine reads no more; guarded by the connection's lock
	reserved int64         // bytes taken from sharedReadAhead; until done is set, used only by the read-ahead goroutine
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

// takeReadAhead waits until the read-ahead goroutine has ended. It then moves buffered bytes into b, or returns the error that
// ended the reads if no bytes are left. ok is false if there is neither.
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
	if n > 0 {
		return c.framer.observe(b[:n]), nil, true
	}
	if a.err != nil {
		return 0, a.err, true
	}
	c.release(a)
	c.readAhead = nil
	return 0, nil, false
}

// reserve takes one more chunk from the bytes that all connections share, and reports whether enough bytes were left. A client's
// close arrives after all bytes that the client has sent. To notice the close of a client that has sent a lot, a connection must
// therefore read beyond maxReadAhead. Otherwise the unread bytes could fill the socket's buffer.
func (c *clientConn) reserve(a *readAhead) bool {
	if c.sharedReadAhead.Add(-readAheadChunk) < 0 {
		c.sharedReadAhead.Add(readAheadChunk)
		return false
	}
	a.reserved += readAheadChunk
	return true
}

// release returns the reserved bytes to the bytes that all connections share. It is called with the lock held, after the
// read-ahead goroutine is done.
func (c *clientConn) release(a *readAhead) {
	c.sharedReadAhead.Add(a.reserved)
	a.reserved = 0
}
