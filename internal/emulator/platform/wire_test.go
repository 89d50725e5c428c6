package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/policy"
)

// section writes a title and the bytes of a message, a quoted line for each line.
func section(out *strings.Builder, title string, bytes []byte) {
	fmt.Fprintf(out, "%s\n", title)
	for line := range strings.Lines(string(bytes)) {
		fmt.Fprintf(out, "    %q\n", line)
	}
}

// TestRequestBytes pins what clients send to a node.
func TestRequestBytes(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		title   string
		message Request
	}{
		{"least", Request{Job: "a1/0", Class: "batch", Budget: 1500 * time.Millisecond}},
		{"everything set", Request{Job: "a1/0", Class: "batch", IdempotencyKey: "key", Budget: 1500 * time.Millisecond, StatedCost: 20 * time.Millisecond,
			Body: []byte("body"), Epoch: 3, LeaseQuery: true}},
	} {
		section(&out, c.title, c.message.Append(nil))
	}
	golden.Compare(t, "requests.txt", out.String())
}

// TestAttemptsRead pins how an executor parses the requests that nodes send.
func TestAttemptsRead(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ title, bytes string }{
		{"attempt", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"},
		{"attempt with a key", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 15\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"},
		{"attempt of a durable job", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 15\r\nX-Lease-Epoch: 7\r\nContent-Length: 0\r\n\r\n"},
		{"lease query", "GET /-/leases/a1?epoch=7 HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"lease query without an epoch", "GET /-/leases/a1 HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"no id", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 15\r\nContent-Length: 0\r\n\r\n"},
		{"no budget", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nContent-Length: 0\r\n\r\n"},
		{"epoch that is no number", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 15\r\nX-Lease-Epoch: x\r\nContent-Length: 0\r\n\r\n"},
		{"body cut short", "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 15\r\nContent-Length: 9\r\n\r\nbody"},
		{"end of connection", ""},
	} {
		m, err := ReadAttempt(bufio.NewReader(strings.NewReader(c.bytes)))
		fmt.Fprintf(&out, "%s\n    job %q key %q budget %v body %q epoch %d query %v, failed %v, end %v\n",
			c.title, m.Job, m.IdempotencyKey, m.Budget, m.Body, m.Epoch, m.LeaseQuery, err != nil, errors.Is(err, io.EOF))
	}
	golden.Compare(t, "attempts.txt", out.String())
}

// TestExecutorBytes pins every message of an executor, alone and after its answer has begun, with and without a load
// report.
func TestExecutorBytes(t *testing.T) {
	var out strings.Builder
	for _, load := range []emulator.Load{{}, {InFlight: 3, Queued: 1, FreeSlots: 2.5, Known: true}} {
		for _, kind := range []emulator.MessageKind{emulator.AttemptStarted, emulator.AttemptProgress, emulator.AttemptDone, emulator.AttemptFailed, emulator.AttemptRejected} {
			for _, begun := range []bool{false, true} {
				var answer Answer
				if begun {
					answer.Append(nil, emulator.Message{Job: "a1/0", Kind: emulator.AttemptStarted}, "e1", "")
				}
				bytes, ended := answer.Append(nil, emulator.Message{Job: "a1/0", Kind: kind, Progress: 0.25, Load: load}, "e1", "done a1")
				section(&out, fmt.Sprintf("message %d, begun %v, load %v, ended %v", kind, begun, load.Known, ended), bytes)
			}
		}
	}
	section(&out, "lease finished", AppendLeaseAnswer(nil, "finished", []byte("result")))
	section(&out, "lease unknown", AppendLeaseAnswer(nil, "never", nil))
	golden.Compare(t, "executor.txt", out.String())
}

// TestAnswersRead pins how a client parses the answers of a node.
func TestAnswersRead(t *testing.T) {
	var out strings.Builder
	for _, bytes := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone",
		"nonsense\r\n\r\n",
	} {
		f, err := ReadFinal(bufio.NewReader(strings.NewReader(bytes)))
		fmt.Fprintf(&out, "%q\n    end %d status %d result %q retry after %v last %v, failed %v\n", bytes, f.End, f.Status, f.Result, f.RetryAfter, f.Closes, err != nil)
	}
	golden.Compare(t, "answers.txt", out.String())
}

// TestDiscoveryBytes pins how discovery parses requests, and the bytes of its answers.
func TestDiscoveryBytes(t *testing.T) {
	var out strings.Builder
	for _, line := range []string{"GET /api/targets", "GET /api/targets?from=7&hold_ms=1500", "GET /api/targets?from=x&hold_ms=1", "GET /api/targets?from=7",
		"POST /api/targets", "GET /elsewhere"} {
		w, err := ReadWatch(bufio.NewReader(strings.NewReader(line + " HTTP/1.1\r\nHost: x\r\n\r\n")))
		fmt.Fprintf(&out, "%s\n    complete %v from %d hold %v, failed %v\n", line, w.Complete, w.From, w.Hold, err != nil)
	}
	var entries []emulator.Entry
	for i, state := range []policy.EndpointState{policy.Available, policy.Draining, policy.Removed} {
		entries = append(entries, emulator.Entry{Addr: fmt.Sprint("127.0.0.1:", 8000+i), Endpoint: policy.Endpoint{Executor: policy.ExecutorID(fmt.Sprint("e", i)),
			Zone: policy.ZoneID(i % 2), Cell: policy.CellID(i), State: state, Weight: 1.5, StartedAt: time.Duration(i) * time.Second, StartedLongAgo: i == 0}})
	}
	section(&out, "complete list", AppendList(nil, 7, true, entries, []string{"z0", "z1"}, time.UnixMilli(1_000_000)))
	section(&out, "no change", AppendList(nil, 8, false, nil, nil, time.UnixMilli(0)))
	golden.Compare(t, "discovery.txt", out.String())
}

// TestServersBytes pins what the executor and the discovery service of this package write to a connection.
func TestServersBytes(t *testing.T) {
	var out strings.Builder
	attempt := "POST /api/a1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\nX-Budget-Ms: 1500\r\nX-Lease-Epoch: 2\r\nContent-Length: 0\r\n\r\n"
	query := "GET /-/leases/%s?epoch=%d HTTP/1.1\r\nHost: x\r\n\r\n"
	executor := &Executor{ID: "e1", OnEffect: func(policy.JobID) {}, RunTime: func() time.Duration { return 0 }, Leases: true, Slots: 1, SendsLoad: true}
	section(&out, "attempt, the same again, and a query of its lease", talk(t, executor.Serve, attempt+attempt+fmt.Sprintf(query, "a1", 2)))
	section(&out, "query of a newer epoch", talk(t, executor.Serve, fmt.Sprintf(query, "a1", 3)))
	executor.Restart()
	section(&out, "query after a restart", talk(t, executor.Serve, fmt.Sprintf(query, "a1", 3)))
	plain := &Executor{ID: "e2", OnEffect: func(policy.JobID) {}, RunTime: func() time.Duration { return 0 }}
	section(&out, "attempt and query, no leases", talk(t, plain.Serve, attempt+fmt.Sprintf(query, "a1", 2)))

	entry := emulator.Entry{Addr: "127.0.0.1:8000", Endpoint: policy.Endpoint{Executor: "e1", Weight: 1, StartedLongAgo: true}}
	discovery := &Discovery{Entries: []emulator.Entry{entry}, Zones: []string{"z0"}, Epoch: time.UnixMilli(1_000_000)}
	watch := "GET /api/targets%s HTTP/1.1\r\nHost: x\r\n\r\n"
	section(&out, "complete list, and a poll without a change", talk(t, discovery.Serve, fmt.Sprintf(watch, "")+fmt.Sprintf(watch, "?from=1&hold_ms=1")))
	entry.State = policy.Draining
	discovery.Change(entry)
	section(&out, "poll after a drain", talk(t, discovery.Serve, fmt.Sprintf(watch, "?from=1&hold_ms=1000")))
	golden.Compare(t, "servers.txt", out.String())
}

// talk sends a text to a server on a new connection, and returns everything that the server sends.
func talk(t *testing.T, serve func(net.Listener), text string) []byte {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(l)
	}()
	defer func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		<-done
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	return answer
}
