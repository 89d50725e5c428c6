// Package eventlog logs why jobs, attempts and clients' connections end in any way other than well: the reasons of rejections,
// failures, retries and closes, with the IDs of the jobs concerned.
//
// A Logger observes the steps of a node's state machine (observer.go) and gets reports from the frontend. Lines with the same message
// are limited to some a second; each line says how many were left out before it, and how many there were in total (limiter.go).
package eventlog

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Logger writes the lines. Its methods are safe for concurrent use.
type Logger struct {
	out zerolog.Logger

	mu       sync.Mutex
	limit    limiter
	attempts map[node.ConnID]attempt // attempts in flight, by connection
}

// attempt is an attempt in flight.
type attempt struct {
	job      policy.JobID
	executor policy.ExecutorID
	number   policy.AttemptID
}

// New returns a Logger that writes to out.
func New(out zerolog.Logger) *Logger {
	return &Logger{out: out, limit: limiter{byMessage: map[string]*messageCount{}}, attempts: map[node.ConnID]attempt{}}
}

// line describes a line of the log. Fields that are empty are left out.
type line struct {
	message  string
	job      policy.JobID
	executor policy.ExecutorID
	client   string // address of a client
	reason   string
	attempt  policy.AttemptID // number of the attempt, from 0
}

// write writes a line, unless there were too many with its message. It is called with the lock held.
func (l *Logger) write(line line) {
	allowed, leftOut, total := l.limit.allow(line.message, time.Now())
	if !allowed {
		return
	}
	event := l.out.Info()
	for _, field := range [...]struct{ name, value string }{
		{"batch_job", strings.TrimSpace(string(line.job))}, // the ID of a durable job ends in a space
		{"executor", string(line.executor)},
		{"client", line.client},
		{"reason", line.reason},
	} {
		if field.value != "" {
			event = event.Str(field.name, field.value)
		}
	}
	if line.attempt > 0 {
		event = event.Int("attempt", int(line.attempt)+1)
	}
	if leftOut > 0 {
		event = event.Int("left_out", leftOut)
	}
	event.Int("total", total).Msg(line.message)
}

// ConnectionClosed logs that the node has closed a client's connection, or has found it closed. client is the client's address.
func (l *Logger) ConnectionClosed(client, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(line{message: "client connection closed", client: client, reason: reason})
}

// AcceptFailed logs that a client's connection could not be accepted.
func (l *Logger) AcceptFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(line{message: "accept failed", reason: err.Error()})
}

// RequestRefused logs that the frontend itself has answered a request. id can be empty.
func (l *Logger) RequestRefused(id policy.JobID, client, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(line{message: "request refused", job: id, client: client, reason: reason})
}
