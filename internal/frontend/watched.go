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

const (
	lastReadTimeout     = time.Millisecond              // a last read, where the system can't say whether a message has arrived
	maxReadAhead        = maxHeaderBytes + maxBodyBytes // bytes that are read ahead while an answer is due, on each connection
	totalSpareReadAhead = 2 << 20                       // and beyond that on all together
	readAheadChunk      = 4 << 10
)

// clientConn is a client's connection. It follows the framing of what is read, is let go without a message being lost that
// has come, and sees its client leave also where that has sent part of its next message.
//
// net/http has one reader of a connection at a time, and so has this: whoever is in Read, or the goroutine that reads
// ahead while an answer is due.
type clientConn struct {
	net.Conn

	mu        sync.Mutex
	framer    requestFramer
	requests  int       // that the handler has seen
	answered  int       // of those
	deadline  time.Time // when net/http waits no longer; zero for never
	closeMode closeMode
	probed    bool // nothing came in the last look

	client         *waitingClient // for its answer; nil while none is due
	gotFirstByte   bool           // net/http asked for one byte, to see the client leave, got it, and looks no further
	readAhead      *readAhead
	spareReadAhead *atomic.Int64 // what is left of spareRun
	closed         bool          // it is closed: nobody reads it any more
}

// closeMode says whether a connection is let go.
type closeMode int

const (
	staysOpen         closeMode = iota
	closeIfIdle                 // it ends if it rests
	closeIfIncomplete           // it ends as well if only a part of a message has come on it
)

// readAhead is what was read while an answer was due.
type readAhead struct {
	buffered []byte
	err      error
	finished chan struct{} // closed when nobody reads ahead any more
	stopping bool          // it is to end,
	done     bool          // and has; both under the connection's lock
	reserved int64         // taken of what all connections have together; until done the reader's own
}

// canClose says whether no batch job can be lost with the connection.
func (c *clientConn) canClose() bool {
	f := &c.framer
	switch {
	case f.stopped && f.completeHeads > c.answered: // in chunks: nobody follows where they end
		return false
	case c.closeMode == closeIfIncomplete:
		return f.completeHeads == c.answered || f.completeHeads == c.answered+1 && f.bodyRemaining > 0
	}
	return f.completeHeads == c.answered && !f.inHead && len(f.line) == 0
}

// SetReadDeadline notes how long net/http waits, and cuts that short for a connection that is let go.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// applyReadDeadline applies the read deadline after a change of what it follows from.
func (c *clientConn) applyReadDeadline() { c.Conn.SetReadDeadline(c.readDeadline()) }

// readDeadline is how long the reader waits now: not at all where it is to stop, else as long as net/http does.
func (c *clientConn) readDeadline() time.Time {
	stopping := c.readAhead != nil && c.readAhead.stopping && !c.readAhead.done
	if stopping || c.closeMode != staysOpen && c.canClose() && !c.probed {
		return pastDeadline
	}
	return c.deadline
}

var pastDeadline = time.Unix(1, 0)

// closeWhenSafe has the connection's owner close it as soon as that loses nothing: what has arrived is read first. Guards against
// a message that waits to be read, or whose body is under way, and would be answered by a close.
func (c *clientConn) closeWhenSafe(how closeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeMode == staysOpen {
		c.probed = false
	}
	c.closeMode = max(c.closeMode, how)
	if c.canClose() && !c.probed {
		c.applyReadDeadline()
	}
}

// keepOpen takes that back: a batch job has come.
func (c *clientConn) keepOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeMode = staysOpen
}

// becameIdle notes that all messages so far have their answers.
func (c *clientConn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.requests
}

// nextRequest counts a message that the handler is given, and says whether it has chunks and nothing beside them.
func (c *clientConn) nextRequest() (onlyChunks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	f := &c.framer
	return f.chunked && !f.hasLength && f.completeHeads == c.requests
}

// Read reads what was read ahead first. A deadline of ours in the past only asks whether the connection may go.
func (c *clientConn) Read(b []byte) (int, error) {
	if n, err, any := c.takeReadAhead(b); any {
		return n, err
	}
	for {
		n, err := c.Conn.Read(b)
		if c.afterRead(b, n, err) {
			return n, err
		}
	}
}

// afterRead takes in what a read into b brought; false: it is to be read again.
func (c *clientConn) afterRead(b []byte, n int, err error) bool {
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
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
		return true
	}
	switch {
	case c.closeMode == staysOpen || !c.canClose():
		c.applyReadDeadline()
	case !c.probed:
		// The deadline says nothing of what has arrived: it ends a read that would find something, too.
		c.probed = true
		switch any, known := socket.Pending(c.Conn); {
		case any:
			c.applyReadDeadline()
		case known:
			return true
		default:
			c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
		}
	default:
		return true
	}
	return false
}

// waitingClient is a client that waits for its batch job's answer on a connection.
type waitingClient struct {
	conn         *clientConn
	disconnected chan struct{} // closed when it ends its sending before the answer
	finished     atomic.Bool   // nobody waits any more: it has its answer, or has left
}

// Gone is the last look before an attempt's first byte. Guards against an attempt for a client that has left and whose end
// lies unread in the system: its reader may be late, or the whole process have stood still. What it finds the front learns
// as well, so that it tells of the leaving also where no reader would come to it.
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

// clientLeft notes that the client of a batch job has gone, unless it has its answer.
func (c *clientConn) clientLeft(w *waitingClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == w {
		close(w.disconnected)
		c.client = nil
	}
}

// beginWait begins to follow the client of a batch job until the answer is written.
func (c *clientConn) beginWait() *waitingClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &waitingClient{conn: c, disconnected: make(chan struct{})}
	c.client = w
	c.startReadAhead()
	return w
}

// endWait ends that. What was read ahead is net/http's now.
func (c *clientConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client = nil
	if c.readAhead != nil && !c.readAhead.stopping {
		c.readAhead.stopping = true
		c.applyReadDeadline()
	}
}

// startReadAhead begins to read ahead, where an answer is due and net/http looks no further.
func (c *clientConn) startReadAhead() {
	if c.gotFirstByte && c.client != nil && c.readAhead == nil {
		c.readAhead = &readAhead{finished: make(chan struct{})}
		go c.runReadAhead(c.readAhead)
	}
}

// runReadAhead reads on while an answer is due, so that a client is seen to leave that has sent more than its message. Guards
// against batch jobs that wait for nobody, and against the next one of the same connection, which would be sent on later.
func (c *clientConn) runReadAhead(a *readAhead) {
	defer close(a.finished)
	piece := make([]byte, readAheadChunk)
	for a.err == nil && (len(a.buffered) < maxReadAhead || c.reserve(a)) {
		n, err := c.Conn.Read(piece)
		a.buffered, a.err = append(a.buffered, piece[:n]...), err
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

// takeReadAhead gives what was read ahead, once nobody reads ahead any more.
func (c *clientConn) takeReadAhead(b []byte) (n int, err error, any bool) {
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

// reserve lets one more piece be read ahead beyond what each connection may. Guards against a client that sends much at once and
// goes: its end comes behind all that, and what nobody reads may fill the socket before it.
func (c *clientConn) reserve(a *readAhead) bool {
	if c.spareReadAhead.Add(-readAheadChunk) < 0 {
		c.spareReadAhead.Add(readAheadChunk)
		return false
	}
	a.reserved += readAheadChunk
	return true
}

// release gives back what was taken of it. It is called with the lock, once the reading ahead is done.
func (c *clientConn) release(a *readAhead) {
	c.spareReadAhead.Add(a.reserved)
	a.reserved = 0
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

// CloseWrite ends the sending, as net/http does before it closes.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
