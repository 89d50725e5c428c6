package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"birchstair/internal/node"
	"birchstair/internal/socket"
	"birchstair/policy"
)

const (
	longestHead = 16 << 10  // bytes of an answer's head
	longestLine = 128 << 10 // bytes of one object: a full body, escaped
	tailSpell   = time.Second

	// A second answer to an allocation may come some milliseconds after the first, by the operators' page.
	straySpell = 20 * time.Millisecond
)

// link is one connection.
type link struct {
	id     node.ConnID
	pool   *Pool
	cancel context.CancelFunc

	mu      sync.Mutex
	conn    net.Conn
	closed  bool         // by us or by the executor: nothing more is begun on it
	carries policy.JobID // empty while it rests
	once    bool         // and that must not run again unless it provably never ran
	sending bool         // a byte of it may have left
	sent    bool         // its last one has
	written chan written // of the allocation it carries
	readAt  time.Time    // when the last answer had come whole; zero for a new connection
	sentAt  time.Time    // when this allocation was begun
}

// written says how writing an allocation ended.
type written struct {
	any bool // a byte of it may have left
	all bool // its last one, too
}

// begin claims the connection for an allocation, unless it is closed already.
func (l *link) begin(a node.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn == nil || l.carries != "" {
		return false
	}
	l.carries, l.once, l.written = a.ID, a.AtMostOnce, make(chan written, 1)
	return true
}

// write sends an attempt, after a last look at both ends. The decision may be old by now, through a dial that came up late, a
// loop that was late or a process that stood still.
func (l *link) write(a node.Attempt) {
	text := encode(a)
	disturbed := l.disturbed()
	gone := a.Client != nil && a.Client.Gone() // the last thing before the first byte
	l.mu.Lock()
	l.closed = l.closed || disturbed
	switch {
	case l.closed:
		l.mu.Unlock()
		l.written <- written{}
		l.close()
		return
	case gone:
		l.carries = ""
		l.mu.Unlock()
		l.pool.tell(node.AttemptNotSent{Conn: l.id})
		return
	}
	l.sending, l.sentAt = true, time.Now()
	l.mu.Unlock()
	n, err := l.conn.Write(text)
	l.mu.Lock()
	l.sent = err == nil
	l.mu.Unlock()
	l.written <- written{any: n > 0, all: err == nil}
	if err != nil {
		l.close()
	}
}

// disturbed says whether something has come on a connection at rest. Guards against an executor's close, or something that
// nothing asked for, that its reader has not come to: what is written then may have run, for all this node would know, or
// gets an answer that is not its own.
func (l *link) disturbed() bool {
	l.mu.Lock()
	used := !l.readAt.IsZero()
	l.mu.Unlock()
	any := false
	if used {
		any, _ = socket.Pending(l.conn)
	}
	return any
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cancel()
	if l.conn != nil {
		l.conn.Close()
	}
}

// run dials, reads until the end and gives the connection back.
func (l *link) run(ctx context.Context, addr string) {
	detail := ""
	defer func() {
		l.close()
		l.pool.forget(l.id)
		l.pool.tell(node.ConnClosed{Conn: l.id, Detail: detail})
	}()
	conn, err := l.pool.dial(ctx, l.id, addr)
	if err != nil {
		detail = "no connection: " + err.Error()
		return
	}
	l.mu.Lock()
	l.conn = conn
	gone := l.closed
	l.mu.Unlock()
	if gone {
		return
	}
	l.pool.tell(node.ConnReady{Conn: l.id})
	limited := &io.LimitedReader{R: conn}
	r := bufio.NewReaderSize(limited, 4<<10)
	for l.answer(r, limited) {
		l.pool.tell(node.ConnIdle{Conn: l.id})
	}
}

// answer waits for an allocation and reads what comes back. It says whether the connection can carry another.
func (l *link) answer(r *bufio.Reader, limited *io.LimitedReader) bool {
	limited.N = longestHead
	_, err := r.Peek(1)
	l.mu.Lock()
	job := l.carries
	unasked := job == "" || err == nil && !l.sending // it comes before anything has asked for it
	l.closed = l.closed || err != nil || unasked
	l.mu.Unlock()
	if unasked {
		return false
	}
	end := node.AttemptEnded{Conn: l.id}
	var rest io.Reader
	if err == nil {
		if rest, err = l.read(r, limited, job, &end); err == nil && end.Outcome == policy.ExecutorFull && l.mayBeStray() {
			err = l.alone(r, rest)
		}
	} else {
		err = fmt.Errorf("no answer: %w", err)
	}
	if err != nil {
		// Whether its last byte left is known once writing has ended, which closing brings about.
		l.close()
		how := <-l.written
		if !how.any {
			return false // nothing left: it is as if this connection had never been taken
		}
		end.Outcome, end.ConnBroken, end.Detail = policy.ConnectionLost, true, err.Error()
		if !how.all {
			end.Outcome = policy.ConnectFailed
		}
	}
	l.pool.tell(end)
	return err == nil && rest != nil && l.readOut(rest)
}

// mayBeStray says whether a head that came could be a second answer to the allocation before, and would let a batch job run
// twice: a head names none. A line does.
func (l *link) mayBeStray() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.once && !l.readAt.IsZero() && (!l.sent || l.sentAt.Sub(l.readAt) < straySpell)
}

// alone waits whether another answer follows: then the one that was turned away is not this allocation.
func (l *link) alone(r *bufio.Reader, rest io.Reader) error {
	if rest == nil {
		return errors.New("an answer that may be to the allocation before, on a connection that ends")
	}
	l.conn.SetReadDeadline(time.Now().Add(straySpell))
	_, err := io.Copy(io.Discard, io.LimitReader(rest, longestHead))
	if err == nil {
		_, err = r.Peek(1)
	}
	l.conn.SetReadDeadline(time.Time{})
	l.mu.Lock()
	sent := l.sent
	l.mu.Unlock()
	// A deadline ends a read that would find something, too.
	if more, _ := socket.Pending(l.conn); sent && !more && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("an answer that may be to the allocation before: %v", err) //nolint:errorlint // nil where another answer follows
}

// readOut reads what follows an outcome to its end, or the connection is of no more use.
func (l *link) readOut(rest io.Reader) bool {
	l.conn.SetDeadline(time.Now().Add(tailSpell))
	if n, err := io.Copy(io.Discard, io.LimitReader(rest, longestHead)); err != nil || n == longestHead {
		return false
	}
	if how := <-l.written; !how.all {
		return false
	}
	l.conn.SetDeadline(time.Time{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carries, l.sending, l.sent, l.readAt = "", false, false, time.Now()
	return !l.closed
}

// read takes an answer in up to its outcome, and gives what is left of it, or nil where nothing can follow it on
// its connection. An error means that the connection broke or brought what makes no sense.
func (l *link) read(r *bufio.Reader, limited *io.LimitedReader, job policy.JobID, end *node.AttemptEnded) (io.Reader, error) {
	answer, err := http.ReadResponse(r, nil)
	for err == nil && answer.StatusCode < http.StatusOK {
		answer, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, fmt.Errorf("an answer without a head: %w", err)
	}
	limited.N = math.MaxInt64 // what follows is bounded line by line
	end.Load = l.pool.loadOf(answer.Header.Get("X-Load-Report"))
	if answer.StatusCode == http.StatusOK {
		err = l.lines(answer.Body, job, end)
	} else {
		end.Outcome, end.Detail = outcomeOf(answer)
	}
	if err != nil || answer.Close {
		return nil, err
	}
	return answer.Body, nil
}

// lines takes in objects up to the one that ends the allocation.
func (l *link) lines(body io.Reader, job policy.JobID, end *node.AttemptEnded) error {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 1<<10), longestLine)
	for in.Scan() {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		object, err := l.pool.decode(in.Bytes(), job)
		switch {
		case err != nil:
			return err
		case object.ended:
			end.Outcome, end.Result = object.outcome, object.result
			if object.load.Known {
				end.Load = object.load
			}
			return nil
		case object.news:
			l.pool.tell(node.AttemptProgressed{Conn: l.id, Progress: object.share, Load: object.load})
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("an answer without an end: %w", err)
	}
	return errors.New("an answer without an end")
}
