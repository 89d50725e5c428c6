package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

// dateHeader matches the only part of an answer that differs from run to run.
var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// rawAnswer reads an answer, including informational (1xx) answers before it, and returns its bytes with the date replaced.
func rawAnswer(t *testing.T, c client, method string) string {
	t.Helper()
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c.Conn, &raw))
	a, err := http.ReadResponse(in, &http.Request{Method: method})
	for err == nil && a.StatusCode < http.StatusOK {
		a, err = http.ReadResponse(in, &http.Request{Method: method})
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		t.Fatal(err)
	}
	return dateHeader.ReplaceAllString(raw.String(), "Date: -\r\n")
}

// TestAnswerBytes pins each kind of answer to a client byte for byte, including all headers.
func TestAnswerBytes(t *testing.T) {
	c := newFakeNode(t, 100)
	c.server.HandlePrefix("/durable/", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
	}))
	var out strings.Builder
	send := func(name, request string) {
		t.Helper()
		conn := c.dial()
		conn.send(request)
		method, _, _ := strings.Cut(request, " ")
		fmt.Fprintf(&out, "%s:\n%s%q\n", name, golden.Arrow, rawAnswer(t, conn, method))
	}
	ready := " /-/ready HTTP/1.1\r\nHost: n\r\n\r\n"
	withHeaders := func(id string, headers ...string) string {
		return "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: " + id + "\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
	}
	send("not ready", "GET"+ready)
	c.server.SetReady(true)
	send("ready", "GET"+ready)
	send("ready, only the head", "HEAD"+ready)
	send("ready, by POST", "POST"+ready)
	send("succeeded", jobRequest("handled-1"))
	send("succeeded, and the client closes", jobRequest("handled-2", "Connection: close"))
	send("succeeded, sent in chunks", jobRequest("handled-3", "Transfer-Encoding: chunked")+"1\r\nx\r\n0\r\n\r\n")
	send("succeeded, with Expect", jobRequest("handled-4", "Expect: 100-continue", "Content-Length: 1")+"x")
	send("rejected, with Retry-After", jobRequest("rejected-1"))
	send("failed", jobRequest("failed-1"))
	send("another handler", "POST /durable/1 HTTP/1.1\r\nHost: n\r\n\r\n")
	send("another handler, in chunks", "POST /durable/1 HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	send("by GET", "GET /x HTTP/1.1\r\nHost: n\r\n\r\n")
	send("by HTTP/1.0", strings.Replace(jobRequest("handled-5"), "HTTP/1.1", "HTTP/1.0", 1))
	send("length and chunks", jobRequest("handled-6", "Content-Length: 1", "Transfer-Encoding: chunked")+"0\r\n\r\n")
	send("body too long", jobRequest("handled-7", "Content-Length: 65537"))
	send("a head twice", jobRequest("handled-8", "X-Call-Cost: 1", "X-Call-Cost: 2"))
	send("no path", strings.Replace(jobRequest("handled-9"), "/api/7f?q=%20", "http://n", 1))
	send("no id", withHeaders(""))
	send("id too long", withHeaders(strings.Repeat("x", 129)))
	send("unknown class", withHeaders("handled-10", "X-Call-Class: other"))
	send("key missing", withHeaders("handled-11", "X-Call-Class: split-record"))
	send("no budget", withHeaders("handled-12", "X-Call-Class: run-verify"))
	send("budget of nothing", withHeaders("handled-13", "X-Call-Class: run-verify", "X-Budget-Ms: 0"))
	send("cost below nothing", jobRequest("handled-14", "X-Call-Cost: -1"))
	send("no HTTP", "nonsense\r\n\r\n")
	c.dial().send(jobRequest("wait-1"))
	for ev := range c.events {
		if strings.Contains(fmt.Sprintf("%+v", ev), "wait-1") {
			break
		}
	}
	send("id in flight", jobRequest("wait-1"))
	c.server.DrainClients(true)
	send("not ready while clients are drained", "GET"+ready)
	send("succeeded while clients are drained", jobRequest("handled-15"))
	send("rejected while clients are drained", jobRequest("rejected-2"))
	golden.Compare(t, "answers.txt", out.String())
}
