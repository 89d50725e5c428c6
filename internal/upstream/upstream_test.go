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

// fakeExecutor reads attempts and writes the next of its texts as the response to each. It closes the connection at the end
// of them, or where a text says so: "unread" after an attempt's first byte, "broken" after its last.
func fakeExecutor(t *testing.T, texts ...string) (addr string, got *[]string) {
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
		for _, text := range texts {
			switch text {
			case "unread":
				if _, err := r.Peek(1); err != nil {
					t.Errorf("no byte came: %v", err)
				}
				return
			case "unasked":
				if _, err := io.WriteString(c, text); err != nil {
					t.Errorf("what nobody asked for: %v", err)
				}
				continue
			}
			m, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(m.Body)
			*got = append(*got, fmt.Sprintf("%s %s %s id=%s tag=%s left=%s type=%s %q", m.Method, m.RequestURI, m.Host,
				m.Header.Get("X-Call-Id"), m.Header.Get("Idempotency-Key"), m.Header.Get("X-Budget-Ms"),
				m.Header.Get("Content-Type"), body))
			if text == "broken" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				t.Errorf("an answer: %v", err)
			}
		}
	}()
	return l.Addr().String(), got
}

// fullBacklog returns an address where a connection neither opens nor fails.
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
	t.Fatal("it takes all")
	return ""
}

// okResponse returns a complete response of these lines, in chunks.
func okResponse(objects ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, o := range objects {
		s += fmt.Sprintf("%x\r\n%s\n\r\n", len(o)+1, o)
	}
	return s + "0\r\n\r\n"
}

func emptyResponse(head string) string { return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n" }

var outcomes = map[policy.Outcome]string{policy.Succeeded: "handled", policy.ExecutorError: "errored",
	policy.InvalidRequest: "unfit", policy.ExecutorFull: "no room", policy.ConnectFailed: "no route", policy.ConnectionLost: "cut"}

// printer prints events up to the end of a connection.
type printer struct {
	events  chan node.Event
	out     strings.Builder
	details bool
}

func (p *printer) next(t *testing.T) node.Event {
	t.Helper()
	select {
	case ev := <-p.events:
		p.print(ev)
		return ev
	case <-time.After(20 * time.Second):
		t.Fatalf("nothing more comes after:\n%s", p.out.String())
		return nil
	}
}

func (p *printer) print(ev node.Event) {
	line, load := fmt.Sprintf("%T", ev), node.Load{}
	switch ev := ev.(type) {
	case node.AttemptProgressed:
		line, load = fmt.Sprintf("told: %v done", ev.Progress), ev.Load
	case node.AttemptEnded:
		load = ev.Load
		line = "ended: " + outcomes[ev.Outcome]
		if ev.Result != nil {
			line += fmt.Sprintf(" with %q", ev.Result)
		}
		if ev.ConnBroken {
			line += ", broken"
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
		line = "rested"
	case node.AttemptNotSent:
		line = "unsent"
	case node.ConnReady:
		line = "dialled"
	}
	if load.Known {
		line += fmt.Sprintf(", held %v waiting %v free %v", load.InFlight, load.Queued, load.FreeSlots)
	}
	p.out.WriteString("  " + line + "\n")
}

func attempt(id string) node.Attempt {
	return node.Attempt{Budget: 1500 * time.Millisecond, Request: &node.Request{ID: policy.JobID(id), Method: "POST",
		URI: "/api/a%20b?c=d&e", Host: "backend.local", IdempotencyKey: "tag-1", ContentType: "text/plain", Body: []byte("body")}}
}

// TestOutcomes checks which outcomes complete, incomplete and invalid responses stand for.
func TestOutcomes(t *testing.T) {
	done := `{"id":"j1","state":"done","result":"r"}`
	p := printer{details: true}
	for _, c := range []struct {
		name  string
		texts []string
	}{
		{"notices, a load report, and the connection carries another", []string{
			okResponse(`{"id":"j1","from":"s","state":"started"}`, `{"id":"j1","from":"s","state":"running","share":0.4}`, "",
				`{"id":"j1","from":"s","state":"done","result":"r\n\u00f5","load":{"inflight":3,"queue":1,"x0":2,"util":0.5}}`),
			strings.ReplaceAll(okResponse(done), "j1", "j2")}},
		{"a result that is no text", []string{okResponse(`{"id":"j1","state":"done","result":{"a":[1]}}`)}},
		{"a state that is not known yet", []string{okResponse(`{"id":"j1","state":"paused"}`, done)}},
		{"failed", []string{okResponse(`{"id":"j1","state":"failed"}`)}},
		{"returned", []string{okResponse(`{"id":"j1","state":"started"}`, `{"id":"j1","state":"returned"}`)}},
		{"lost", []string{okResponse(`{"id":"j1","state":"lost"}`)}},
		{"500", []string{emptyResponse("500 Internal Server Error\r\nX-Load-Report: TEXT inflight=7, queue=2, x0=0")}},
		{"503 turned away", []string{emptyResponse("503 Service Unavailable\r\nX-Rejected: 1\r\nX-Load-Report: TEXT queue=x")}},
		{"500 with a load that makes no sense", []string{emptyResponse("500 Internal Server Error\r\n" +
			"X-Load-Report: TEXT inflight=NaN, queue=2, x0=0")}},
		{"504 turned away", []string{emptyResponse("504 Gateway Timeout\r\nX-Rejected: 1")}},
		{"503 of something in between", []string{emptyResponse("503 Service Unavailable")}},
		{"404", []string{emptyResponse("404 Not Found")}},
		{"a notice that something else comes first", []string{"HTTP/1.1 102 Processing\r\n\r\n" + okResponse(done)}},
		{"the executor closes after its answer", []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + done + "\n"}},
		{"broken before an answer", []string{"broken"}},
		{"broken in the head", []string{"HTTP/1.1 200 O"}},
		{"broken in a line", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\n" + done[:20]}},
		{"an end without a last line", []string{okResponse(`{"id":"j1","state":"started"}`)}},
		{"a line that is no object", []string{okResponse(`{"id":`)}},
		{"a line about another batch job", []string{okResponse(`{"id":"j9","state":"done","result":"r"}`)}},
		{"done without a result", []string{okResponse(`{"id":"j1","state":"done"}`)}},
		{"a line without end", []string{"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxLineBytes+1)}},
		{"a head without end", []string{"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", maxHeaderBytes/8)}},
		{"no HTTP at all", []string{"SSH-2.0-x\r\n\r\n"}},
		{"closed while it rests", []string{okResponse(done)}},
		{"something that nothing asked for", []string{okResponse(done), "unasked"}},
	} {
		p.out.WriteString(c.name + "\n")
		p.events = make(chan node.Event, 100)
		addr, got := fakeExecutor(t, c.texts...)
		pool := New(TCP(10*time.Second), true, HealthCheckConfig{}, func(ev node.Event) { p.events <- ev })
		pool.Dial(1, addr)
		for id := 1; ; {
			ev := p.next(t)
			if _, ok := ev.(node.ConnClosed); ok {
				break
			}
			switch ev.(type) {
			case node.ConnReady, node.ConnIdle:
				if id <= len(c.texts) && c.texts[id-1] != "unasked" {
					pool.Write(1, attempt(fmt.Sprint("j", id)))
				}
				id++
			}
		}
		if c.name == "notices, a load report, and the connection carries another" {
			p.out.WriteString("  came: " + strings.Join(*got, "\n  came: ") + "\n")
		}
	}
	golden.Compare(t, "outcomes.txt", p.out.String())
}

// TestLastByte checks that an attempt whose last byte was not written counts as never run.
func TestLastByte(t *testing.T) {
	p := printer{events: make(chan node.Event, 100)}
	pool := New(TCP(10*time.Second), false, HealthCheckConfig{}, func(ev node.Event) { p.events <- ev })
	dial := func(id node.ConnID, addr, what string) {
		p.out.WriteString(what + "\n")
		pool.Dial(id, addr)
		p.next(t)
	}
	end := func() {
		for {
			if _, ok := p.next(t).(node.ConnClosed); ok {
				return
			}
		}
	}
	long := attempt("j1")
	long.Body = make([]byte, 64<<20) // more than the system buffers for a peer that does not read

	addr, _ := fakeExecutor(t, "unread")
	dial(1, addr, "broken by the executor before its last byte")
	pool.Write(1, long)
	end()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial(2, l.Addr().String(), "closed by this node before its last byte")
	pool.Write(2, long)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	pool.Close(2)
	end()

	dial(3, l.Addr().String(), "closed by this node after its last byte")
	pool.Write(3, attempt("j1"))
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	pool.Close(3)
	end()

	dial(4, l.Addr().String(), "closed before it was to carry anything")
	pool.Close(4)
	pool.Write(4, attempt("j1"))
	end()

	pool.dial = TCP(50 * time.Millisecond)
	dial(6, fullBacklog(t), "a connection that never comes up")
	pool.dial = TCP(10 * time.Second)

	l.Close()
	dial(5, l.Addr().String(), "no executor there")
	pool.Write(5, attempt("j1")) // does nothing: the connection has ended
	golden.Compare(t, "last-byte.txt", p.out.String())
}
