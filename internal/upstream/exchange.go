package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	// maxHeaderBytes is the limit for the header of a response. The bytes that follow the outcome have the same limit.
	maxHeaderBytes = 16 << 10

	// maxLineBytes is the limit for a line of a response. The line can hold a result as long as the longest body, escaped as JSON.
	maxLineBytes = 128 << 10

	// trailingTimeout bounds how long the rest of a response can take after the line with the outcome.
	trailingTimeout = time.Second
)

// handleResponse waits for a response, reads it and posts its outcome. It returns true if the connection can carry another
// attempt. r reads from head, which bounds the number of fields of the response's header, and that from limited, which bounds its size.
//
// Only a success leaves the connection usable. An executor can send a second response to an attempt at any later time, and nothing in a
// response says to which attempt it belongs: a status names no job, and a line names a job, of which the next attempt may use the same
// connection. So the connection is closed after every other outcome, and before that outcome is posted, as a retry can follow at once.
func (c *executorConn) handleResponse(r *bufio.Reader, limited *io.LimitedReader, head *headReader) bool {
	limited.N = maxHeaderBytes
	head.begin()
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
		rest, err = c.readOutcome(r, limited, head, job, &ended)
	} else {
		err = fmt.Errorf("no response: %w", err)
	}
	sent := true
	switch {
	case err != nil:
		sent = c.fail(err, &ended)
	case ended.Outcome == policy.RejectedUnproven:
		sent = c.failUnproven(&ended)
	case ended.Outcome != policy.Succeeded:
		c.close()
	}
	if !sent {
		return false
	}
	c.pool.post(ended)
	return ended.Outcome == policy.Succeeded && rest != nil && c.finishResponse(rest)
}

// fail closes the connection and sets the outcome of the connection's attempt in ended. It returns false if no byte of the
// attempt was sent. In that case ended must not be posted: node.ConnClosed alone reports that the attempt never started.
func (c *executorConn) fail(err error, ended *node.AttemptEnded) (sent bool) {
	c.close() // also ends a write of the attempt that is still in progress
	written := <-c.writeEnded
	if !written.started {
		return false
	}
	ended.Outcome, ended.ConnBroken, ended.Detail = policy.ConnectionLost, true, err.Error()
	if !written.complete {
		ended.Outcome = policy.ConnectFailed
	}
	return true
}

var errUnproven = errors.New("rejection may belong to an earlier attempt on this connection")

// failUnproven closes the connection after a rejection that proves nothing, and returns false if no byte of the attempt was sent, as fail
// does. Unlike after fail, an attempt that was sent completely was rejected, or an earlier one was: the connection is not broken.
func (c *executorConn) failUnproven(ended *node.AttemptEnded) (sent bool) {
	rejected := *ended
	sent = c.fail(errUnproven, ended)
	if ended.Outcome == policy.ConnectionLost {
		rejected.Detail = errUnproven.Error()
		*ended = rejected
	}
	return sent
}

// readOutcome reads a response until the outcome of the attempt is known, and sets it in ended. It returns a reader for the rest
// of the response, or nil if the connection can't be used again because the executor closes it after this response. An error means that the connection broke or that the response is invalid.
func (c *executorConn) readOutcome(r *bufio.Reader, limited *io.LimitedReader, head *headReader, job policy.JobID, ended *node.AttemptEnded) (io.Reader, error) {
	response, err := http.ReadResponse(r, nil)
	for err == nil && response.StatusCode < http.StatusOK {
		head.begin()
		response, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, fmt.Errorf("malformed response head: %w", err)
	}
	limited.N = math.MaxInt64 // the header is read; readLines limits the length of lines in the body
	ended.Load = c.pool.loadFromHeader(response.Header.Get(loadReportHeader))
	if response.StatusCode == http.StatusOK {
		err = c.readLines(response.Body, job, ended)
	} else {
		ended.Outcome, ended.Detail = outcomeOfStatus(response)
		if ended.Outcome == policy.ExecutorFull && c.rejectionUnproven() {
			ended.Outcome = policy.RejectedUnproven
		}
	}
	if err != nil || response.Close {
		return nil, err
	}
	return response.Body, nil
}

// readLines reads the lines of a response up to the line that ends the attempt, and posts the progress that the lines report.
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

// rejectionUnproven reports whether a rejection by status does not prove that the connection's attempt never ran, and whether that
// matters, because the job may be retried only then. A status does not name its job, unlike a response line. On a connection that has
// carried an attempt before, it can be a second response to that one, however late it comes, and whether or not another one follows.
func (c *executorConn) rejectionUnproven() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notIdempotent && c.used
}

// finishResponse reads the rest of a response and makes the connection idle. It returns false if the rest is incomplete or too
// long, if the attempt was not written completely, or if the connection is closed.
func (c *executorConn) finishResponse(rest io.Reader) bool {
	c.conn.SetDeadline(time.Now().Add(trailingTimeout))
	if n, err := io.Copy(io.Discard, io.LimitReader(rest, maxHeaderBytes)); err != nil || n == maxHeaderBytes {
		return false
	}
	if written := <-c.writeEnded; !written.complete {
		return false
	}
	c.conn.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job, c.writeStarted, c.used = "", false, true
	return !c.closed
}
