package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// fakeExecutor accepts one connection, reads attempts and responds to each with the next of these responses, then closes the
// connection. Three responses are special: "unread" closes the connection after the first byte of an attempt, "broken" after
// the last byte, and "unasked" is sent without reading an attempt. got describes the attempts.
func fakeExecutor(t *testing.T, responses ...string) (addr string, got *[]string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	got = &[]string{}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for _, response := range responses {
			switch response {
			case "unread":
				if _, err := r.Peek(1); err != nil {
					t.Errorf("no byte of an attempt arrives: %v", err)
				}
				return
			case "unasked":
				if _, err := io.WriteString(c, response); err != nil {
					t.Errorf("writing an unsolicited response: %v", err)
				}
				continue
			}
			m, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(m.Body)
			*got = append(*got, fmt.Sprintf("%s %s %s id=%s key=%s budget=%s type=%s %q", m.Method, m.RequestURI, m.Host,
				m.Header.Get("X-Call-Id"), m.Header.Get("Idempotency-Key"), m.Header.Get("X-Budget-Ms"),
				m.Header.Get("Content-Type"), body))
			if response == "broken" {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				t.Errorf("writing a response: %v", err)
			}
		}
	}()
	return l.Addr().String(), got
}

// fullBacklog returns an address with a full accept backlog, where a dial neither succeeds nor fails.
func fullBacklog(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	})
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
		syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the backlog does not fill up")
	return ""
}

// okResponse returns a complete response with status 200 and these lines, each in a chunk.
func okResponse(lines ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, line := range lines {
		s += fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
	}
	return s + "0\r\n\r\n"
}

// emptyResponse returns a response with this status and further headers, without a body.
func emptyResponse(statusAndHeaders string) string {
	return "HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: 0\r\n\r\n"
}

// outcomes are the names of outcomes in the golden files.
var outcomes = map[policy.Outcome]string{policy.Succeeded: "handled", policy.ExecutorError: "errored",
	policy.InvalidRequest: "unfit", policy.ExecutorFull: "no room", policy.ConnectFailed: "no route", policy.ConnectionLost: "cut",
	policy.RejectedUnproven: "no room, unproven"}

// printer prints the events of a connection.
type printer struct {
	events  chan node.Event
	out     strings.Builder
	details bool // print the detail of an event, up to the first colon
}

// printNext waits for the next event, prints and returns it.
func (p *printer) printNext(t *testing.T) node.Event {
	t.Helper()
	select {
	case ev := <-p.events:
		p.print(ev)
		return ev
	case <-time.After(20 * time.Second):
		t.Fatalf("no event is posted after:\n%s", p.out.String())
		return nil
	}
}

func (p *printer) print(ev node.Event) {
	line, load := fmt.Sprintf("%T", ev), node.Load{}
	switch ev := ev.(type) {
	case node.AttemptProgressed:
		line, load = fmt.Sprintf("progress: %v", ev.Progress), ev.Load
	case node.AttemptEnded:
		load = ev.Load
		line = "ended: " + outcomes[ev.Outcome]
		if ev.Result != nil {
			line += fmt.Sprintf(" with %q", ev.Result)
		}
		if ev.ConnBroken {
			line += ", connection broken"
		}
		if text, _, _ := strings.Cut(ev.Detail, ":"); text != "" && p.details {
			line += ", " + text
		}
	case node.ConnClosed:
		line = "closed"
		if text, _, _ := strings.Cut(ev.Detail, ":"); text != "" && p.details {
			line += ", " + text
		}
	case node.ConnIdle:
		line = "idle"
	case node.AttemptNotSent:
		line = "not sent"
	case node.ConnReady:
		line = "open"
	}
	if load.Known {
		line += fmt.Sprintf(", in flight %v, queued %v, free slots %v", load.InFlight, load.Queued, load.FreeSlots)
	}
	p.out.WriteString("  " + line + "\n")
}

// attempt returns an attempt of an idempotent job.
func attempt(id string) node.Attempt {
	return node.Attempt{Budget: 1500 * time.Millisecond, Request: &node.Request{ID: policy.JobID(id), Method: "POST",
		URI: "/api/a%20b?c=d&e", Host: "backend.local", IdempotencyKey: "tag-1", ContentType: "text/plain", Body: []byte("body")}}
}

// TestOutcomes checks the events and outcomes that follow complete, incomplete and invalid responses.
func TestOutcomes(t *testing.T) {
	done := `{"id":"j1","state":"done","result":"r"}`
	p := printer{details: true}
	for _, c := range []struct {
		name      string
		responses []string
	}{
		{"progress, a load report, and a second attempt on the connection", []string{
			okResponse(`{"id":"j1","from":"s","state":"started"}`, `{"id":"j1","from":"s","state":"running","share":0.4}`, "",
				`{"id":"j1","from":"s","state":"done","result":"r\n\u00f5","load":{"inflight":3,"queue":1,"x0":2,"util":0.5}}`),
			strings.ReplaceAll(okResponse(done), "j1", "j2")}},
		{"a result that is not a string", []string{okResponse(`{"id":"j1","state":"done","result":{"a":[1]}}`)}},
		{"an unknown state", []string{okResponse(`{"id":"j1","state":"paused"}`, done)}},
		{"failed", []string{okResponse(`{"id":"j1","state":"failed"}`)}},
		{"returned", []string{okResponse(`{"id":"j1","state":"started"}`, `{"id":"j1","state":"returned"}`)}},
		{"lost", []string{okResponse(`{"id":"j1","state":"lost"}`)}},
		{"500", []string{emptyResponse("500 Internal Server Error\r\nX-Load-Report: TEXT inflight=7, queue=2, x0=0")}},
		{"503, rejected", []string{emptyResponse("503 Service Unavailable\r\nX-Rejected: 1\r\nX-Load-Report: TEXT queue=x")}},
		{"500 with an invalid load report", []string{emptyResponse("500 Internal Server Error\r\n" +
			"X-Load-Report: TEXT inflight=NaN, queue=2, x0=0")}},
		{"504, rejected", []string{emptyResponse("504 Gateway Timeout\r\nX-Rejected: 1")}},
		{"503 of a proxy", []string{emptyResponse("503 Service Unavailable")}},
		{"404", []string{emptyResponse("404 Not Found")}},
		{"an informational response before the final one", []string{"HTTP/1.1 102 Processing\r\n\r\n" + okResponse(done)}},
		{"the executor closes after its response", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + done + "\n"}},
		{"connection broken before a response", []string{"broken"}},
		{"connection broken in the header", []string{"HTTP/1.1 200 O"}},
		{"connection broken in a line", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\n" + done[:20]}},
		{"a response without a final state", []string{okResponse(`{"id":"j1","state":"started"}`)}},
		{"a line that is not valid JSON", []string{okResponse(`{"id":`)}},
		{"a line of another batch job", []string{okResponse(`{"id":"j9","state":"done","result":"r"}`)}},
		{"done without a result", []string{okResponse(`{"id":"j1","state":"done"}`)}},
		{"a line over the limit", []string{"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxLineBytes+1)}},
		{"a header over the limit", []string{"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", maxHeaderBytes/8)}},
		{"not HTTP", []string{"SSH-2.0-x\r\n\r\n"}},
		{"closed while the connection is idle", []string{okResponse(done)}},
		{"an unsolicited response", []string{okResponse(done), "unasked"}},
	} {
		p.out.WriteString(c.name + "\n")
		p.events = make(chan node.Event, 100)
		addr, got := fakeExecutor(t, c.responses...)
		pool := New(TCP(10*time.Second), true, HealthCheckConfig{}, func(ev node.Event) { p.events <- ev })
		pool.Dial(1, addr)
		for id := 1; ; {
			ev := p.printNext(t)
			if _, ok := ev.(node.ConnClosed); ok {
				break
			}
			switch ev.(type) {
			case node.ConnReady, node.ConnIdle:
				if id <= len(c.responses) && c.responses[id-1] != "unasked" {
					pool.Write(1, attempt(fmt.Sprint("j", id)))
				}
				id++
			}
		}
		if c.name == "progress, a load report, and a second attempt on the connection" {
			p.out.WriteString("  request: " + strings.Join(*got, "\n  request: ") + "\n")
		}
	}
	golden.Compare(t, "outcomes.txt", p.out.String())
}

// TestIncompleteWrite checks that an attempt counts as never run if its last byte was not written, and as possibly run otherwise.
func TestIncompleteWrite(t *testing.T) {
	p := printer{events: make(chan node.Event, 100)}
	pool := New(TCP(10*time.Second), false, HealthCheckConfig{}, func(ev node.Event) { p.events <- ev })
	dial := func(id node.ConnID, addr, title string) {
		p.out.WriteString(title + "\n")
		pool.Dial(id, addr)
		p.printNext(t)
	}
	printUntilClosed := func() {
		for {
			if _, ok := p.printNext(t).(node.ConnClosed); ok {
				return
			}
		}
	}
	long := attempt("j1")
	long.Body = make([]byte, 64<<20) // more than the system buffers for a peer that does not read

	addr, _ := fakeExecutor(t, "unread")
	dial(1, addr, "closed by the executor before the attempt's last byte")
	pool.Write(1, long)
	printUntilClosed()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial(2, l.Addr().String(), "closed by the node before the attempt's last byte")
	pool.Write(2, long)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	pool.Close(2)
	printUntilClosed()

	dial(3, l.Addr().String(), "closed by the node after the attempt's last byte")
	pool.Write(3, attempt("j1"))
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	pool.Close(3)
	printUntilClosed()

	dial(4, l.Addr().String(), "closed before an attempt is written")
	pool.Close(4)
	pool.Write(4, attempt("j1"))
	printUntilClosed()

	pool.dial = TCP(50 * time.Millisecond)
	dial(6, fullBacklog(t), "a dial that times out")
	pool.dial = TCP(10 * time.Second)

	l.Close()
	dial(5, l.Addr().String(), "connection refused")
	pool.Write(5, attempt("j1")) // does nothing, because the connection is closed
	golden.Compare(t, "incomplete-write.txt", p.out.String())
}
