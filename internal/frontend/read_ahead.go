package frontend

import (
	"errors"
	"os"
)

const (
	maxReadAhead       = maxHeaderBytes + maxBodyBytes // bytes that each connection may read ahead
	maxSharedReadAhead = 2 << 20                       // bytes that all together may read ahead beyond that
	readAheadChunk     = 4 << 10                       // bytes a read
)

// readAhead is what is read from a connection while an answer is pending on it.
//
// net/http reads one byte then, to see the client leave. Where that byte is the first of the next request, it looks no
// further, and a close behind it goes unseen: the batch job would be sent for nobody, and the next request after it. So
// the connection reads on by itself, and Read returns those bytes later.
type readAhead struct {
	buffered []byte
	err      error
	finished chan struct{} // closed when the goroutine has ended
	stopping bool          // the goroutine is to end; under the connection's lock
	done     bool          // and has; under the connection's lock
	reserved int64         // bytes of maxSharedReadAhead; the goroutine's own until done
}

// startReadAhead starts to read ahead where an answer is pending and net/http looks no further. It is called with the
// lock held.
func (c *clientConn) startReadAhead() {
	if c.gotFirstByte && c.client != nil && c.readAhead == nil {
		c.readAhead = &readAhead{finished: make(chan struct{})}
		go c.runReadAhead(c.readAhead)
	}
}

// runReadAhead reads until endWait stops it, the connection ends or there is no room for more.
func (c *clientConn) runReadAhead(a *readAhead) {
	defer close(a.finished)
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

// takeReadAhead waits for the goroutine to end and moves what it read into b. ok is false where there is nothing left.
func (c *clientConn) takeReadAhead(b []byte) (n int, err error, ok bool) {
	c.mu.Lock()
	a := c.readAhead
	c.gotFirstByte = false
	c.mu.Unlock()
	if a == nil {
		return 0, nil, false
	}
	<-a.finished
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

// reserve takes room for one more chunk of what all connections share. A client may send much and close: its close comes
// behind all that, and what is not read may fill the socket before it.
func (c *clientConn) reserve(a *readAhead) bool {
	if c.sharedReadAhead.Add(-readAheadChunk) < 0 {
		c.sharedReadAhead.Add(readAheadChunk)
		return false
	}
	a.reserved += readAheadChunk
	return true
}

// release gives the reserved room back. It is called with the lock held, once the goroutine is done.
func (c *clientConn) release(a *readAhead) {
	c.sharedReadAhead.Add(a.reserved)
	a.reserved = 0
}
