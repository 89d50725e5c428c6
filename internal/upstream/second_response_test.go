package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// startEndedConn sends an attempt of each of these jobs in turn on one connection, whose executor answers with the response of the same
// index. It returns the outcome of the last attempt, whether the connection was closed when that outcome was posted, and the
// executor's end of the connection.
func startEndedConn(t *testing.T, attempts []node.Attempt, responses []string) (outcome policy.Outcome, closed bool, executor net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var pool *Pool
	ended, idle := make(chan bool, 1), make(chan struct{}, 1)
	pool = New(TCP(10*time.Second), false, HealthCheckConfig{}, func(ev node.Event) {
		switch ev := ev.(type) {
		case node.AttemptEnded:
			conn := pool.conn(1)
			conn.mu.Lock()
			outcome = ev.Outcome
			ended <- conn.closed
			conn.mu.Unlock()
		case node.ConnReady, node.ConnIdle:
			idle <- struct{}{}
		}
	})
	pool.Dial(1, l.Addr().String())
	if executor, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { executor.Close() })
	executor.SetDeadline(time.Now().Add(20 * time.Second))
	reader := &haltableConn{t: t, executor: executor, in: bufio.NewReader(executor)}
	for i, attempt := range attempts {
		awaitSignal(t, idle)
		pool.Write(1, attempt)
		reader.readAttempt()
		reader.respond(responses[i])
		select {
		case closed = <-ended:
		case <-time.After(20 * time.Second):
			t.Fatalf("attempt %d does not end", i)
		}
	}
	return outcome, closed, executor
}

func awaitSignal(t *testing.T, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection does not become idle")
	}
}

// TestOnlySuccessKeepsConn guards against a job that has two attempts out at once: an executor answers an attempt twice, and the second
// response arrives while the connection carries the next attempt, of the same job or of another, and is taken for the response to that. So a
// connection is closed after every response but a success, and before a retry can follow on that response.
func TestOnlySuccessKeepsConn(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		want     policy.Outcome
	}{
		{"503, rejected", emptyResponse(rejectedHead), policy.ExecutorFull},
		{"504, rejected", emptyResponse("504 Gateway Timeout\r\nX-Rejected: 1"), policy.ExecutorFull},
		{"503 of a proxy", emptyResponse("503 Service Unavailable"), policy.ExecutorError},
		{"500", emptyResponse("500 Internal Server Error"), policy.ExecutorError},
		{"400", emptyResponse("400 Bad Request"), policy.InvalidRequest},
		{"returned", okResponse(`{"id":"j1","state":"returned"}`), policy.ExecutorFull},
		{"failed", okResponse(`{"id":"j1","state":"failed"}`), policy.ExecutorError},
		{"lost", okResponse(`{"id":"j1","state":"lost"}`), policy.ConnectionLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			outcome, closed, executor := startEndedConn(t, []node.Attempt{attempt("j1")}, []string{c.response})
			if outcome != c.want || !closed {
				t.Fatalf("outcome %v, connection closed: %t; want %v on a closed connection", outcome, closed, c.want)
			}
			if n, err := executor.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the executor reads %d bytes, %v; want the end of the connection", n, err)
			}
		})
	}
}

// TestConnClosedBeforeRetry guards against two attempts of an idempotent job at once: a late second response to the attempt before is
// taken for the response to this one, which runs. The connection must be closed before the retry, which ends this attempt.
func TestConnClosedBeforeRetry(t *testing.T) {
	for _, second := range []string{rejectedHead, "500 Internal Server Error"} {
		_, closed, executor := startEndedConn(t, []node.Attempt{attempt("j1"), attempt("j2")},
			[]string{okResponse(doneLine), emptyResponse(second)})
		if !closed {
			t.Fatalf("%q: the outcome is posted while the connection is open", second)
		}
		if n, err := executor.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the executor reads %d bytes, %v; want the end of the connection", second, n, err)
		}
	}
}
