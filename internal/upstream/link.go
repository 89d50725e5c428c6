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
	maxHeadBytes    = 16 << 10  // bytes of an answer's head
	maxLineBytes    = 128 << 10 // bytes of one object: a full body, escaped
	trailingTimeout = time.Second

	// A second answer to an allocation may come some milliseconds after the first, by the operators' page.
	staleWindow = 20 * time.Millisecond
)

// executorConn is one connection.
type executorConn struct {
	id     node.ConnID
	pool   *Pool
	cancel context.CancelFunc

	mu             sync.Mutex
	conn           net.Conn
	closed         bool             // by us or by the executor: nothing more is begun on it
	job            policy.JobID     // empty while it rests
	atMostOnce     bool             // and that must not run again unless it provably never ran
	writeStarted   bool             // a byte of it may have left
	writeDone      bool             // its last one has
	written        chan writeResult // of the allocation it carries
	idleSince      time.Time        // when the last answer had come whole; zero for a new connection
	writeStartedAt time.Time        // when this allocation was begun
}

// writeResult says how writing an allocation ended.
type writeResult struct {
	started  bool // a byte of it may have left
	complete bool // its last one, too
}

// claim claims the connection for an allocation, unless it is closed already.
func (l *executorConn) claim(a node.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn == nil || l.job != "" {
		return false
	}
	l.job, l.atMostOnce, l.written = a.ID, a.AtMostOnce, make(chan writeResult, 1)
	return true
}

// write sends an attempt, after a last look at both ends. The decision may be old by now, through a dial that came up late, a
// loop that was late or a process that stood still.
func (l *executorConn) write(a node.Attempt) {
	text := encodeRequest(a)
	disturbed := l.hasUnreadInput()
	gone := a.Client != nil && a.Client.Gone() // the last thing before the first byte
	l.mu.Lock()
	l.closed = l.closed || disturbed
	switch {
	case l.closed:
		l.mu.Unlock()
		l.written <- writeResult{}
		l.close()
		return
	case gone:
		l.job = ""
		l.mu.Unlock()
		l.pool.post(node.AttemptNotSent{Conn: l.id})
		return
	}
	l.writeStarted, l.writeStartedAt = true, time.Now()
	l.mu.Unlock()
	n, err := l.conn.Write(text)
	l.mu.Lock()
	l.writeDone = err == nil
	l.mu.Unlock()
	l.written <- writeResult{started: n > 0, complete: err == nil}
	if err != nil {
		l.close()
	}
}

// hasUnreadInput says whether something has come on a connection at rest. Guards against an executor's close, or something that
// nothing asked for, that its reader has not come to: what is written then may have run, for all this node would know, or
// gets an answer that is not its own.
func (l *executorConn) hasUnreadInput() bool {
	l.mu.Lock()
	used := !l.idleSince.IsZero()
	l.mu.Unlock()
	any := false
	if used {
		any, _ = socket.Pending(l.conn)
	}
	return any
}

func (l *executorConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.cancel()
	if l.conn != nil {
		l.conn.Close()
	}
}

// run dials, reads until the end and gives the connection back.
func (l *executorConn) run(ctx context.Context, addr string) {
	detail := ""
	defer func() {
		l.close()
		l.pool.forget(l.id)
		l.pool.post(node.ConnClosed{Conn: l.id, Detail: detail})
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
	l.pool.post(node.ConnReady{Conn: l.id})
	limited := &io.LimitedReader{R: conn}
	r := bufio.NewReaderSize(limited, 4<<10)
	for l.exchange(r, limited) {
		l.pool.post(node.ConnIdle{Conn: l.id})
	}
}

// exchange waits for an allocation and reads what comes back. It says whether the connection can carry another.
func (l *executorConn) exchange(r *bufio.Reader, limited *io.LimitedReader) bool {
	limited.N = maxHeadBytes
	_, err := r.Peek(1)
	l.mu.Lock()
	job := l.job
	unasked := job == "" || err == nil && !l.writeStarted // it comes before anything has asked for it
	l.closed = l.closed || err != nil || unasked
	l.mu.Unlock()
	if unasked {
		return false
	}
	end := node.AttemptEnded{Conn: l.id}
	var rest io.Reader
	if err == nil {
		if rest, err = l.readOutcome(r, limited, job, &end); err == nil && end.Outcome == policy.ExecutorFull && l.mayBeStale() {
			err = l.confirmRejection(r, rest)
		}
	} else {
		err = fmt.Errorf("no answer: %w", err)
	}
	if err != nil {
		// Whether its last byte left is known once writing has ended, which closing brings about.
		l.close()
		how := <-l.written
		if !how.started {
			return false // nothing left: it is as if this connection had never been taken
		}
		end.Outcome, end.ConnBroken, end.Detail = policy.ConnectionLost, true, err.Error()
		if !how.complete {
			end.Outcome = policy.ConnectFailed
		}
	}
	l.pool.post(end)
	return err == nil && rest != nil && l.finishResponse(rest)
}

// mayBeStale says whether a head that came could be a second answer to the allocation before, and would let a batch job run
// twice: a head names none. A line does.
func (l *executorConn) mayBeStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.atMostOnce && !l.idleSince.IsZero() && (!l.writeDone || l.writeStartedAt.Sub(l.idleSince) < staleWindow)
}

// confirmRejection waits whether another answer follows: then the one that was turned away is not this allocation.
func (l *executorConn) confirmRejection(r *bufio.Reader, rest io.Reader) error {
	if rest == nil {
		return errors.New("an answer that may be to the allocation before, on a connection that ends")
	}
	l.conn.SetReadDeadline(time.Now().Add(staleWindow))
	_, err := io.Copy(io.Discard, io.LimitReader(rest, maxHeadBytes))
	if err == nil {
		_, err = r.Peek(1)
	}
	l.conn.SetReadDeadline(time.Time{})
	l.mu.Lock()
	sent := l.writeDone
	l.mu.Unlock()
	// A deadline ends a read that would find something, too.
	if more, _ := socket.Pending(l.conn); sent && !more && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("an answer that may be to the allocation before: %v", err) //nolint:errorlint // nil where another answer follows
}

// finishResponse reads what follows an outcome to its end, or the connection is of no more use.
func (l *executorConn) finishResponse(rest io.Reader) bool {
	l.conn.SetDeadline(time.Now().Add(trailingTimeout))
	if n, err := io.Copy(io.Discard, io.LimitReader(rest, maxHeadBytes)); err != nil || n == maxHeadBytes {
		return false
	}
	if how := <-l.written; !how.complete {
		return false
	}
	l.conn.SetDeadline(time.Time{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.job, l.writeStarted, l.writeDone, l.idleSince = "", false, false, time.Now()
	return !l.closed
}

// readOutcome takes an answer in up to its outcome, and gives what is left of it, or nil where nothing can follow it on
// its connection. An error means that the connection broke or brought what makes no sense.
func (l *executorConn) readOutcome(r *bufio.Reader, limited *io.LimitedReader, job policy.JobID, end *node.AttemptEnded) (io.Reader, error) {
	answer, err := http.ReadResponse(r, nil)
	for err == nil && answer.StatusCode < http.StatusOK {
		answer, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, fmt.Errorf("an answer without a head: %w", err)
	}
	limited.N = math.MaxInt64 // what follows is bounded line by line
	end.Load = l.pool.loadFromHeader(answer.Header.Get("X-Load-Report"))
	if answer.StatusCode == http.StatusOK {
		err = l.readLines(answer.Body, job, end)
	} else {
		end.Outcome, end.Detail = outcomeOfStatus(answer)
	}
	if err != nil || answer.Close {
		return nil, err
	}
	return answer.Body, nil
}

// readLines takes in objects up to the one that ends the allocation.
func (l *executorConn) readLines(body io.Reader, job policy.JobID, end *node.AttemptEnded) error {
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 1<<10), maxLineBytes)
	for in.Scan() {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		object, err := l.pool.decodeLine(in.Bytes(), job)
		switch {
		case err != nil:
			return err
		case object.ended:
			end.Outcome, end.Result = object.outcome, object.result
			if object.load.Known {
				end.Load = object.load
			}
			return nil
		case object.progressed:
			l.pool.post(node.AttemptProgressed{Conn: l.id, Progress: object.progress, Load: object.load})
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("an answer without an end: %w", err)
	}
	return errors.New("an answer without an end")
}
