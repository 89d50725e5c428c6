package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/node"
	"birchstair/policy"
)

// TestReasons checks that a job's way to a failure can be read from the log, by its ID.
func TestReasons(t *testing.T) {
	var out bytes.Buffer
	l := New(zerolog.New(&out))
	request := &node.Request{ID: "job-1"}
	l.Observe(0, nil, []node.Effect{node.WriteAttempt{Conn: 1, Executor: "e1", Attempt: node.Attempt{Request: request}}})
	l.Observe(0, node.AttemptEnded{Conn: 1, Outcome: policy.ConnectionLost}, []node.Effect{
		node.WriteAttempt{Conn: 2, Executor: "e2", Number: 1, Attempt: node.Attempt{Request: request}}})
	l.Observe(0, node.AttemptEnded{Conn: 2, Outcome: policy.ExecutorFull}, []node.Effect{
		node.Answer{Job: "job-1", Final: node.Failed, Reason: node.ReasonPolicy}})
	l.Observe(0, node.AttemptEnded{Conn: 2, Outcome: policy.ExecutorFull}, nil) // no attempt is in flight any more
	l.Observe(0, node.ClientLeft{Job: "job-2"}, nil)
	l.ConnectionClosed("127.0.0.1:9", "over the connection limit")
	want := `{"level":"info","batch_job":"job-1","executor":"e1","reason":"connection lost","total":1,"message":"attempt failed"}
{"level":"info","batch_job":"job-1","executor":"e2","attempt":2,"total":1,"message":"job retried"}
{"level":"info","batch_job":"job-1","executor":"e2","reason":"executor full","attempt":2,"total":2,"message":"attempt failed"}
{"level":"info","batch_job":"job-1","reason":"policy","total":1,"message":"job failed"}
{"level":"info","batch_job":"job-2","total":1,"message":"client left"}
{"level":"info","client":"127.0.0.1:9","reason":"over the connection limit","total":1,"message":"client connection closed"}
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// TestLimit checks that lines with the same message are left out beyond the limit, and counted.
func TestLimit(t *testing.T) {
	var out bytes.Buffer
	l := New(zerolog.New(&out))
	for range 100 {
		l.RequestRefused("", "127.0.0.1:9", "malformed")
	}
	if n := strings.Count(out.String(), "\n"); n != linesPerInterval {
		t.Errorf("%d lines, want %d", n, linesPerInterval)
	}
	limit := limiter{byMessage: map[string]*messageCount{}}
	start := time.Now()
	for range 100 {
		limit.allow("a", start)
	}
	if allowed, leftOut, total := limit.allow("a", start.Add(limitInterval)); !allowed || leftOut != 100-linesPerInterval || total != 101 {
		t.Errorf("after the interval: %v, %d left out, %d in total", allowed, leftOut, total)
	}
}
