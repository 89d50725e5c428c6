package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"birchstair/internal/node"
	"birchstair/internal/socket"
	"birchstair/policy"
)

const (
	maxHeadBytes = 16 << 10  // of a response, and of what may follow its outcome
	maxLineBytes = 128 << 10 // of a response: a result as long as the longest body, escaped

	// trailingTimeout bounds how long what follows the outcome may take to come.
	trailingTimeout = time.Second

	// staleWindow is how long after a response a second one to the same attempt may come. The protocol's description
	// says some milliseconds.
	staleWindow = 20 * time.Millisecond
)

// exchange waits for a response, reads it and posts its outcome. It returns whether the connection can carry another
// attempt. limited is what r reads from; it bounds the head.
func (c *executorConn) exchange(r *bufio.Reader, limited *io.LimitedReader) bool {
	limited.N = maxHeadBytes
	_, err := r.Peek(1)
	c.mu.Lock()
	job := c.job
	unsolicited := job == "" || err == nil && !c.writeStarted
	c.closed = c.closed || err != nil || unsolicited
	c.mu.Unlock()
	if unsolicited {
		return false
	}
	ended := node.AttemptEnded{Conn: c.id}
	var rest io.Reader
	if err == nil {
		rest, err = c.readOutcome(r, limited, job, &ended)
		if err == nil && ended.Outcome == policy.ExecutorFull && c.mayBeStale() {
			err = c.confirmRejection(r, rest)
		}
	} else {
		err = fmt.Errorf("no response: %w", err)
	}
	if err != nil && !c.fail(err, &ended) {
		return false
	}
	c.pool.post(ended)
	return err == nil && rest != nil && c.finishResponse(rest)
}

// fail closes the connection and sets the outcome of the attempt on it. It returns false where no byte of the attempt was
// sent: node.ConnClosed tells that it never started.
func (c *executorConn) fail(err error, ended *node.AttemptEnded) (sent bool) {
	c.close() // ends the write, if it has not ended yet
	written := <-c.written
	if !written.started {
		return false
	}
	ended.Outcome, ended.ConnBroken, ended.Detail = policy.ConnectionLost, true, err.Error()
	if !written.complete {
		ended.Outcome = policy.ConnectFailed
	}
	return true
}

// readOutcome reads a response up to its outcome. It returns what is left of the response, or nil where nothing can
// follow it on the connection. An error means that the connection broke or the response is not valid.
func (c *executorConn) readOutcome(r *bufio.Reader, limited *io.LimitedReader, job policy.JobID, ended *node.AttemptEnded) (io.Reader, error) {
	response, err := http.ReadResponse(r, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, fmt.Errorf("malformed response head: %w", err)
	}
	limited.N = math.MaxInt64 // the body is bounded line by line
	ended.Load = c.pool.loadFromHeader(response.Header.Get(loadReportHeader))
	if response.StatusCode == http.StatusOK {
		err = c.readLines(response.Body, job, ended)
	} else {
		ended.Outcome, ended.Detail = outcomeOfStatus(response)
	}
	if err != nil || response.Close {
		return nil, err
	}
	return response.Body, nil
}

// readLines reads lines up to the one that ends the attempt, and posts progress.
func (c *executorConn) readLines(body io.Reader, job policy.JobID, ended *node.AttemptEnded) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 1<<10), maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		line, err := c.pool.decodeLine(scanner.Bytes(), job)
		switch {
		case err != nil:
			return err
		case line.ended:
			ended.Outcome, ended.Result = line.outcome, line.result
			if line.load.Known {
				ended.Load = line.load
			}
			return nil
		case line.progressed:
			c.pool.post(node.AttemptProgressed{Conn: c.id, Progress: line.progress, Load: line.load})
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("incomplete response: %w", err)
	}
	return errors.New("incomplete response")
}

// mayBeStale returns whether a rejection could be a second response to the attempt before this one; a head, unlike a
// line, names no job. Taken for this attempt's, it would let an at-most-once job run twice.
func (c *executorConn) mayBeStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notIdempotent && !c.idleSince.IsZero() && (!c.writeDone || c.writeStartedAt.Sub(c.idleSince) < staleWindow)
}

// confirmRejection waits whether another response follows. If so, the rejection was not this attempt's, and the error
// says that it may have run.
func (c *executorConn) confirmRejection(r *bufio.Reader, rest io.Reader) error {
	if rest == nil {
		return errors.New("response may belong to the previous attempt, and the connection ends")
	}
	c.conn.SetReadDeadline(time.Now().Add(staleWindow))
	_, err := io.Copy(io.Discard, io.LimitReader(rest, maxHeadBytes))
	if err == nil {
		_, err = r.Peek(1)
	}
	c.conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	writeDone := c.writeDone
	c.mu.Unlock()
	// A deadline also ends a read that would find something.
	if unread, _ := socket.Pending(c.conn); writeDone && !unread && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("response may belong to the previous attempt: %v", err) //nolint:errorlint // nil where another answer follows
}

// finishResponse reads what follows the outcome and makes the connection idle. It returns false where that does not come
// to its end, or the attempt was not written to its end.
func (c *executorConn) finishResponse(rest io.Reader) bool {
	c.conn.SetDeadline(time.Now().Add(trailingTimeout))
	if n, err := io.Copy(io.Discard, io.LimitReader(rest, maxHeadBytes)); err != nil || n == maxHeadBytes {
		return false
	}
	if written := <-c.written; !written.complete {
		return false
	}
	c.conn.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job, c.writeStarted, c.writeDone, c.idleSince = "", false, false, time.Now()
	return !c.closed
}
