package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// fakeNode replaces the node behind a server. It answers each batch job by the prefix of its id, and not at all for the
// prefix "wait", and prints the events that the server posts.
type fakeNode struct {
	t      *testing.T
	server *Server
	addr   string
	events chan node.Event
	out    strings.Builder
}

func newFakeNode(t *testing.T, conns int, change ...func(*http.Server)) *fakeNode {
	return newFakeNodeWithHalts(t, conns, &emulator.Breakpoints{}, change...)
}

// newFakeNodeWithHalts returns a fakeNode with halts on the calls of its listener and its connections.
func newFakeNodeWithHalts(t *testing.T, conns int, halts *emulator.Breakpoints, change ...func(*http.Server)) *fakeNode {
	c := &fakeNode{t: t, events: make(chan node.Event, 100)}
	c.server = New([]node.NumberedClass{{JobClass: node.JobClass{Name: "board-read"}}, {ID: 1, JobClass: node.JobClass{Name: "run-verify", JobClass: policy.JobClass{Deadline: time.Second}}},
		{ID: 2, JobClass: node.JobClass{Name: "split-record", JobClass: policy.JobClass{Idempotency: policy.IdempotentWithKey}}}}, ConnLimits{Max: conns, MaxShared: conns / 2}, func(ev node.Event) {
		if ev, ok := ev.(node.JobArrived); ok {
			switch name, _, _ := strings.Cut(string(ev.Job.ID), "-"); {
			case ev.Job.NearConnectionLimit:
				c.server.Answer(node.Answer{Job: ev.Job.ID, Final: node.Rejected})
			case name == "handled":
				c.server.Answer(node.Answer{Job: ev.Job.ID, Result: []byte("the result")})
			case name == "rejected":
				c.server.Answer(node.Answer{Job: ev.Job.ID, Final: node.Rejected, RetryAfter: 1500 * time.Millisecond})
			case name == "failed":
				c.server.Answer(node.Answer{Job: ev.Job.ID, Final: node.Failed})
			}
		}
		c.events <- ev
	})
	for _, change := range change {
		change(&c.server.http)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.addr = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- c.server.Serve(halts.Listener(l)) }()
	t.Cleanup(func() {
		c.server.http.Close()
		if err := <-served; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	return c
}

// printEvent waits for the next event of the server and prints it.
func (c *fakeNode) printEvent() {
	c.t.Helper()
	select {
	case ev := <-c.events:
		switch ev := ev.(type) {
		case node.JobArrived:
			j := ev.Job
			fmt.Fprintf(&c.out, "  arrived: %s class %d work %v budget %v, %s %s host %s type %q key %q body %d bytes",
				j.ID, j.Class, j.Work, j.Budget, j.Method, j.URI, j.Host, j.ContentType, j.IdempotencyKey, len(j.Body))
			if j.ClientRetry {
				c.out.WriteString(", client retry")
			}
			if j.NearConnectionLimit {
				c.out.WriteString(", near the connection limit")
			}
			c.out.WriteString("\n")
		case node.JobDeclined:
			fmt.Fprintf(&c.out, "  declined: class %d\n", ev.Class)
		case node.ClientLeft:
			fmt.Fprintf(&c.out, "  left: %s\n", ev.Job)
		default:
			fmt.Fprintf(&c.out, "  %T\n", ev)
		}
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no event is posted after:\n%s", c.out.String())
	}
}

// client is a client's connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

// send writes text, which must succeed.
func (c client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("sending %.40q: %v", text, err)
	}
}

func (c *fakeNode) dial() client {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return client{conn, bufio.NewReader(conn), c.t}
}

// printAnswer reads an answer, or the end of the connection, and prints it.
func (c *fakeNode) printAnswer(from client) {
	c.t.Helper()
	a, err := http.ReadResponse(from.in, nil)
	if err != nil {
		c.out.WriteString("  closed\n")
		return
	}
	body, _ := io.ReadAll(a.Body)
	fmt.Fprintf(&c.out, "  answer: %d %q", a.StatusCode, strings.TrimSpace(string(body)))
	if text := a.Header.Get("Retry-After"); text != "" {
		c.out.WriteString(", retry after " + text)
	}
	if a.Close {
		c.out.WriteString(", closing")
	}
	c.out.WriteString("\n")
}

// jobRequest returns a request with a batch job of class run-verify and with further headers, without a body.
func jobRequest(id string, headers ...string) string {
	s := "POST /api/7f?q=%20 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
		"\r\nX-Call-Class: run-verify\r\nX-Budget-Ms: 480\r\n"
	for _, header := range headers {
		s += header + "\r\n"
	}
	return s + "\r\n"
}

// TestRequests checks the events and answers that follow valid, incomplete and invalid requests.
func TestRequests(t *testing.T) {
	c := newFakeNode(t, 100)
	ask := func(title, text string, arrives bool) {
		c.out.WriteString(title + "\n")
		from := c.dial()
		from.send(text)
		if arrives {
			c.printEvent()
		}
		c.printAnswer(from)
	}
	ready := "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"
	ask("not ready", ready, false)
	c.server.SetReady(true)
	ask("ready", ready, false)
	ask("readiness by POST", strings.Replace(ready, "GET", "POST", 1), false)
	ask("a batch job", jobRequest("handled", "X-Call-Cost: 2500", "Idempotency-Key: k", "Content-Type: text/plain",
		"X-Call-Info: slots=1", "Content-Length: 4")+"body", true)
	ask("a client retry", jobRequest("handled", "X-Again: 1"), true)
	ask("X-Again: 0 is not a client retry", jobRequest("handled", "X-Again: 0"), true)
	ask("X-Again twice", jobRequest("handled", "X-Again: 1", "X-Again: 1"), false)
	chunks := "0\r\n\r\n" + jobRequest("handled-hidden")
	ask("a chunked body, after which nothing is read", jobRequest("handled", "Transfer-Encoding: chunked")+"2;x=1\r\nbo\r\n2\r\ndy\r\n"+chunks, true)
	ask("a chunked body over the limit", jobRequest("handled", "Transfer-Encoding: chunked")+"10001\r\n"+strings.Repeat("x", 65537)+"\r\n0\r\n\r\n", false)
	ask("invalid chunks", jobRequest("handled", "Transfer-Encoding: chunked")+"body\r\n", false)
	for _, odd := range []string{"content-length:4", "Content-Length: 4", "Content-Length:" + strings.Repeat(" ", 200) + "4", "Content-Length:\r\n 4"} {
		ask(fmt.Sprintf("chunked, followed by %.40q", odd), jobRequest("handled", "Transfer-Encoding: chunked", odd)+chunks, false)
	}
	c.out.WriteString("a chunked request after other requests, sent in pieces\n")
	slow := c.dial()
	for _, part := range []string{"OPTIONS * HTTP/1.1\r\nHost: n\r\n\r\n", jobRequest("handled-1", "Content-Length: 36") + "Content-Length: 4\r\n\r\nPOST / HTTP/1.1"} {
		slow.send(part)
		if strings.HasPrefix(part, "POST") {
			c.printEvent()
		}
		c.printAnswer(slow)
	}
	for _, part := range strings.SplitAfter(jobRequest("handled-2", "Transfer-Encoding: chunked")+"4\r\nbody\r\n0\r\n\r\n", "e") {
		slow.send(part)
	}
	c.printEvent()
	c.printAnswer(slow)
	ask("both Content-Length and chunked", jobRequest("handled", "Content-Length: 4", "Transfer-Encoding: chunked")+chunks, false)
	ask("both, to the readiness endpoint", strings.Replace(ready, "Host", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nHost", 1)+
		chunks, false)
	ask("both, by GET", strings.Replace(jobRequest("handled", "Content-Length: 4", "Transfer-Encoding: chunked"), "POST", "GET", 1)+
		chunks, false)
	ask("both, by HTTP/1.0", strings.Replace(jobRequest("handled", fmt.Sprint("Content-Length: ", len(chunks)),
		"Transfer-Encoding: chunked"), "1.1", "1.0", 1)+chunks, false)
	ask("two Content-Lengths", jobRequest("handled", "Content-Length: 4", "Content-Length: 5")+"bodyPOST", false)
	ask("a budget over the deadline of the class", strings.Replace(jobRequest("handled"), "480", "2000000000", 1), true)
	ask("rejected", jobRequest("rejected"), true)
	ask("failed", jobRequest("failed"), true)
	ask("no id", jobRequest(""), false)
	ask("an id over the limit", jobRequest(strings.Repeat("x", 200)), false)
	ask("an unknown class", strings.Replace(jobRequest("handled"), "run-verify", "render", 1), false)
	ask("no budget", strings.Replace(jobRequest("handled"), "X-Budget-Ms: 480", "X-Other: 1", 1), false)
	ask("a budget of zero", strings.Replace(jobRequest("handled"), "480", "0", 1), false)
	ask("an invalid budget", strings.Replace(jobRequest("handled"), "480", "1e9", 1), false)
	ask("an invalid cost", jobRequest("handled", "X-Call-Cost: NaN"), false)
	ask("no idempotency key where the class requires one", strings.Replace(jobRequest("handled"), "run-verify", "split-record", 1), false)
	ask("two ids", jobRequest("handled", "X-Call-Id: other"), false)
	ask("no path", strings.Replace(jobRequest("handled"), "/api", "http://other/api", 1), false)
	ask("by GET", strings.Replace(jobRequest("handled"), "POST", "GET", 1), false)
	ask("the longest valid body", jobRequest("handled", "Content-Length: 65536")+strings.Repeat("x", 65536), true)
	ask("a body over the limit", jobRequest("handled", "Content-Length: 65537")+strings.Repeat("x", 65537), false)
	ask("a header over the limit", jobRequest("handled", "X-Long: "+strings.Repeat("x", 30000)), false)
	ask("not HTTP", "SSH-2.0-x\r\n\r\n", false)

	c.out.WriteString("two requests on one connection, one after the other\n")
	from := c.dial()
	for range 2 {
		from.send(jobRequest("handled-again"))
		c.printEvent()
		c.printAnswer(from)
	}
	c.out.WriteString("an id that is in flight, whose client then leaves\n")
	first := c.dial()
	first.send(jobRequest("wait"))
	c.printEvent()
	from.send(jobRequest("wait"))
	c.printEvent()
	c.printAnswer(from)
	first.Close()
	c.printEvent()
	c.server.Answer(node.Answer{Job: "wait"})
	c.out.WriteString("a client that half-closes its connection\n")
	first = c.dial()
	first.send(jobRequest("wait"))
	c.printEvent()
	first.Conn.(*net.TCPConn).CloseWrite()
	c.printEvent()
	c.printAnswer(first)
	c.out.WriteString("an incomplete body\n")
	first = c.dial()
	first.send(jobRequest("handled", "Content-Length: 9") + "half")
	first.Conn.(*net.TCPConn).CloseWrite()
	c.printAnswer(first)
	golden.Compare(t, "requests.txt", c.out.String())
}

// TestCallIDThatExecutorsCantReturn guards against executors that are ejected, and jobs that run in vain, for a client's ID: an ID
// that is not UTF-8 can't be returned in an executor's JSON, so that every response to the job was taken for one to another job.
// IDs in UTF-8 and headers that executors don't return are accepted as they come.
func TestCallIDThatExecutorsCantReturn(t *testing.T) {
	for _, c := range []struct {
		title, request string
		status         int
		arrives        bool
	}{
		{"an id in ISO 8859-1", jobRequest("handled-caf\xe9"), http.StatusBadRequest, false},
		{"half of a surrogate pair", jobRequest("handled-\xed\xa0\x80"), http.StatusBadRequest, false},
		{"an id in UTF-8", jobRequest("handled-café"), http.StatusOK, true},
		{"a key in ISO 8859-1", jobRequest("handled", "Idempotency-Key: caf\xe9"), http.StatusOK, true},
		{"a content type in ISO 8859-1", jobRequest("handled", "Content-Type: caf\xe9"), http.StatusOK, true},
	} {
		n := newFakeNode(t, 100)
		from := n.dial()
		from.send(c.request)
		answer, err := http.ReadResponse(from.in, nil)
		if err != nil || answer.StatusCode != c.status || (len(n.events) == 1) != c.arrives {
			t.Errorf("%s: answer %+v, error %v, %d events, want status %d, arrives %v", c.title, answer, err, len(n.events), c.status, c.arrives)
		}
	}
}

// TestTimeouts checks that the read timeout ends incomplete requests, and neither a pending batch job nor an idle connection.
func TestTimeouts(t *testing.T) {
	c := newFakeNode(t, 100, func(s *http.Server) { s.ReadTimeout, s.ReadHeaderTimeout = time.Second, time.Second })
	idle, pending := c.dial(), c.dial()
	idle.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(idle)
	pending.send(jobRequest("wait", "Content-Length: 4") + "body")
	c.printEvent()
	incomplete := []string{"", "POST / HTTP/1.1\r\nX-Ca", jobRequest("handled-2", "Content-Length: 9") + "half",
		jobRequest("", "Content-Length: 9") + "half"}
	var conns []client
	for _, text := range incomplete {
		from := c.dial()
		from.send(text)
		conns = append(conns, from)
	}
	for i, from := range conns {
		fmt.Fprintf(&c.out, "%q\n", incomplete[i])
		c.printAnswer(from)
	}
	c.server.Answer(node.Answer{Job: "wait", Result: []byte("the result")})
	c.printAnswer(pending)
	idle.send(jobRequest("handled-3"))
	c.printEvent()
	c.printAnswer(idle)
	golden.Compare(t, "timeouts.txt", c.out.String())
}

// TestShutdown checks that a shutdown closes idle connections, answers pending batch jobs with Connection: close, and still
// serves new requests.
func TestShutdown(t *testing.T) {
	c := newFakeNode(t, 100)
	idle, pending := c.dial(), c.dial()
	idle.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(idle)
	pending.send(jobRequest("wait"))
	c.printEvent()
	c.out.WriteString("shutdown begins\n")
	c.server.BeginLameDuck()
	c.printAnswer(idle)
	late := c.dial()
	late.send(jobRequest("handled-2"))
	c.printEvent()
	c.printAnswer(late)
	c.server.Answer(node.Answer{Job: "wait", Result: []byte("in time")})
	c.printAnswer(pending)
	c.server.Close()
	c.printEvent()
	if _, err := net.Dial("tcp", c.addr); err == nil {
		t.Error("a connection is accepted after the shutdown")
	}
	golden.Compare(t, "shutdown.txt", c.out.String())
}

func (t *connTable) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// TestConnLimit checks that at the limit the connection that has been idle the longest is closed, that batch jobs are
// rejected where none is idle, and that further connections wait to be accepted.
func TestConnLimit(t *testing.T) {
	c := newFakeNode(t, 2)
	submit := func(from client, id string) {
		from.send(jobRequest(id))
		c.printEvent()
	}
	first, second := c.dial(), c.dial()
	c.out.WriteString("two connections, which is the limit\n")
	submit(first, "handled-1")
	c.printAnswer(first)
	submit(second, "wait-2")
	c.out.WriteString("a third connection: the idle one is evicted\n")
	third := c.dial()
	c.printAnswer(first)
	for c.server.conns.openCount() > 2 { // until the server has noticed the close
		time.Sleep(time.Millisecond)
	}
	submit(third, "wait-3")
	c.out.WriteString("a fourth connection: none is idle\n")
	fourth := c.dial()
	submit(fourth, "wait-4")
	c.printAnswer(fourth)
	golden.Compare(t, "connection-limit.txt", c.out.String())
}

// TestNewConns checks that many connections that send nothing, one readiness request or half a request don't evict the
// connections of other clients.
func TestNewConns(t *testing.T) {
	c := newFakeNode(t, 8)
	submit := func(from client, id string) {
		from.send(jobRequest(id))
		c.printEvent()
	}
	used, pending := c.dial(), c.dial()
	submit(used, "handled-1")
	c.printAnswer(used)
	submit(pending, "wait")
	for i := range 40 {
		c.dial().send([]string{"", "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", "POST /half"}[i%3])
	}
	for range 2 {
		submit(used, "handled-2")
		c.printAnswer(used)
	}
	newcomer := c.dial()
	submit(newcomer, "handled-3")
	c.printAnswer(newcomer)
	c.server.Answer(node.Answer{Job: "wait", Result: []byte("the result")})
	c.printAnswer(pending)
	golden.Compare(t, "new-connections.txt", c.out.String())
}
