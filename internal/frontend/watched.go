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
	lookSpell  = time.Millisecond          // a last read, where the system can't say whether a message has arrived
	longestRun = longestHead + longestBody // bytes that are read ahead while an answer is due, on each connection
	spareRun   = 2 << 20                   // and beyond that on all together
	aheadPiece = 4 << 10
)

// watched is a client's connection. It follows the framing of what is read, is let go without a message being lost that
// has come, and sees its client leave also where that has sent part of its next message.
//
// net/http has one reader of a connection at a time, and so has this: whoever is in Read, or the goroutine that reads
// ahead while an answer is due.
type watched struct {
	net.Conn

	mu       sync.Mutex
	framing  framing
	messages int       // that the handler has seen
	answered int       // of those
	due      time.Time // when net/http waits no longer; zero for never
	going    going
	looked   bool // nothing came in the last look

	waits *caller // for its answer; nil while none is due
	early bool    // net/http asked for one byte, to see the client leave, got it, and looks no further
	ahead *ahead
	spare *atomic.Int64 // what is left of spareRun
	ended bool          // it is closed: nobody reads it any more
}

// going says whether a connection is let go.
type going int

const (
	stays   going = iota
	resting       // it ends if it rests
	silent        // it ends as well if only a part of a message has come on it
)

// ahead is what was read while an answer was due.
type ahead struct {
	bytes []byte
	err   error
	over  chan struct{} // closed when nobody reads ahead any more
	stop  bool          // it is to end,
	done  bool          // and has; both under the connection's lock
	spare int64         // taken of what all connections have together; until done the reader's own
}

// mayGo says whether no batch job can be lost with the connection.
func (c *watched) mayGo() bool {
	f := &c.framing
	switch {
	case f.ended && f.heads > c.answered: // in chunks: nobody follows where they end
		return false
	case c.going == silent:
		return f.heads == c.answered || f.heads == c.answered+1 && f.skip > 0
	}
	return f.heads == c.answered && !f.begun && len(f.line) == 0
}

// SetReadDeadline notes how long net/http waits, and cuts that short for a connection that is let go.
func (c *watched) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = t
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// limit applies the read deadline after a change of what it follows from.
func (c *watched) limit() { c.Conn.SetReadDeadline(c.readDeadline()) }

// readDeadline is how long the reader waits now: not at all where it is to stop, else as long as net/http does.
func (c *watched) readDeadline() time.Time {
	stopping := c.ahead != nil && c.ahead.stop && !c.ahead.done
	if stopping || c.going != stays && c.mayGo() && !c.looked {
		return past
	}
	return c.due
}

var past = time.Unix(1, 0)

// letGo has the connection's owner close it as soon as that loses nothing: what has arrived is read first. Guards against
// a message that waits to be read, or whose body is under way, and would be answered by a close.
func (c *watched) letGo(how going) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.going == stays {
		c.looked = false
	}
	c.going = max(c.going, how)
	if c.mayGo() && !c.looked {
		c.limit()
	}
}

// stay takes that back: a batch job has come.
func (c *watched) stay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.going = stays
}

// rested notes that all messages so far have their answers.
func (c *watched) rested() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.messages
}

// next counts a message that the handler is given, and says whether it has chunks and nothing beside them.
func (c *watched) next() (onlyChunks bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	f := &c.framing
	return f.chunks && !f.length && f.heads == c.messages
}

// Read reads what was read ahead first. A deadline of ours in the past only asks whether the connection may go.
func (c *watched) Read(b []byte) (int, error) {
	if n, err, any := c.readAhead(b); any {
		return n, err
	}
	for {
		n, err := c.Conn.Read(b)
		if c.took(b, n, err) {
			return n, err
		}
	}
}

// took takes in what a read into b brought; false: it is to be read again.
func (c *watched) took(b []byte, n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.follow(b[:n])
	if n > 0 {
		if c.going != stays {
			c.looked = false
			c.limit()
		}
		c.early = len(b) == 1
		c.lookAhead()
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.due.IsZero() && !c.due.After(time.Now()) {
		return true
	}
	switch {
	case c.going == stays || !c.mayGo():
		c.limit()
	case !c.looked:
		// The deadline says nothing of what has arrived: it ends a read that would find something, too.
		c.looked = true
		switch any, known := socket.Pending(c.Conn); {
		case any:
			c.limit()
		case known:
			return true
		default:
			c.Conn.SetReadDeadline(time.Now().Add(lookSpell))
		}
	default:
		return true
	}
	return false
}

// caller is a client that waits for its batch job's answer on a connection.
type caller struct {
	conn *watched
	left chan struct{} // closed when it ends its sending before the answer
	over atomic.Bool   // nobody waits any more: it has its answer, or has left
}

// Gone is the last look before an attempt's first byte. Guards against an attempt for a client that has left and whose end
// lies unread in the system: its reader may be late, or the whole process have stood still. What it finds the front learns
// as well, so that it tells of the leaving also where no reader would come to it.
func (w *caller) Gone() bool {
	if w.over.Load() {
		return true
	}
	if ended, _ := socket.Ended(w.conn.Conn); !ended {
		return false
	}
	w.conn.leaves(w)
	return true
}

// leaves notes that the client of a batch job has gone, unless it has its answer.
func (c *watched) leaves(w *caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits == w {
		close(w.left)
		c.waits = nil
	}
}

// awaits begins to follow the client of a batch job until the answer is written.
func (c *watched) awaits() *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &caller{conn: c, left: make(chan struct{})}
	c.waits = w
	c.lookAhead()
	return w
}

// replied ends that. What was read ahead is net/http's now.
func (c *watched) replied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = nil
	if c.ahead != nil && !c.ahead.stop {
		c.ahead.stop = true
		c.limit()
	}
}

// lookAhead begins to read ahead, where an answer is due and net/http looks no further.
func (c *watched) lookAhead() {
	if c.early && c.waits != nil && c.ahead == nil {
		c.ahead = &ahead{over: make(chan struct{})}
		go c.runAhead(c.ahead)
	}
}

// runAhead reads on while an answer is due, so that a client is seen to leave that has sent more than its message. Guards
// against batch jobs that wait for nobody, and against the next one of the same connection, which would be sent on later.
func (c *watched) runAhead(a *ahead) {
	defer close(a.over)
	piece := make([]byte, aheadPiece)
	for a.err == nil && (len(a.bytes) < longestRun || c.takeSpare(a)) {
		n, err := c.Conn.Read(piece)
		a.bytes, a.err = append(a.bytes, piece[:n]...), err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.done = true
	if c.ended {
		c.giveBack(a)
	}
	c.limit()
	switch {
	case a.stop && errors.Is(a.err, os.ErrDeadlineExceeded):
		a.err = nil
	case a.err != nil && c.waits != nil:
		close(c.waits.left)
		c.waits = nil
	}
}

// readAhead gives what was read ahead, once nobody reads ahead any more.
func (c *watched) readAhead(b []byte) (n int, err error, any bool) {
	c.mu.Lock()
	a := c.ahead
	c.early = false
	c.mu.Unlock()
	if a == nil {
		return 0, nil, false
	}
	<-a.over
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(b, a.bytes)
	a.bytes = a.bytes[n:]
	c.framing.follow(b[:n])
	if n > 0 {
		return n, nil, true
	}
	if a.err != nil {
		return 0, a.err, true
	}
	c.giveBack(a)
	c.ahead = nil
	return 0, nil, false
}

// takeSpare lets one more piece be read ahead beyond what each connection may. Guards against a client that sends much at once and
// goes: its end comes behind all that, and what nobody reads may fill the socket before it.
func (c *watched) takeSpare(a *ahead) bool {
	if c.spare.Add(-aheadPiece) < 0 {
		c.spare.Add(aheadPiece)
		return false
	}
	a.spare += aheadPiece
	return true
}

// giveBack gives back what was taken of it. It is called with the lock, once the reading ahead is done.
func (c *watched) giveBack(a *ahead) {
	c.spare.Add(a.spare)
	a.spare = 0
}

// closed notes that nobody reads the connection any more.
func (c *watched) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.ahead != nil && c.ahead.done {
		c.giveBack(c.ahead)
	}
}

// CloseWrite ends the sending, as net/http does before it closes.
func (c *watched) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
