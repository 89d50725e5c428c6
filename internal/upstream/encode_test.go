package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// requestFields are the values of an attempt that are text on the wire, as functions that set one of them.
var requestFields = map[string]func(r *node.Request, value string){
	"request target":  func(r *node.Request, value string) { r.URI = "/" + value },
	"Host":            func(r *node.Request, value string) { r.Host = value },
	"X-Call-Id":       func(r *node.Request, value string) { r.ID = policy.JobID(value) },
	"Idempotency-Key": func(r *node.Request, value string) { r.IdempotencyKey = value },
	"Content-Type":    func(r *node.Request, value string) { r.ContentType = value },
}

// TestValuesThatEndTheirField guards against a request that nobody sent: a value with a line break in it becomes a header or a
// whole request of its own at the executor. No byte of such an attempt may be written, and its job must end, not wait until its
// deadline.
func TestValuesThatEndTheirField(t *testing.T) {
	for field, set := range requestFields {
		for _, value := range []string{"a\r\nX-Call-Id: b", "a\nb", "a\rb", "a\x00b", "a\x7fb"} {
			attempt := attempt("j")
			set(attempt.Request, value)
			request, err := encodeRequest(attempt)
			var invalid *fieldError
			if !errors.As(err, &invalid) || invalid.field != field || request != nil {
				t.Errorf("%s %q: encoded %q, error %v, want a fieldError", field, value, request, err)
			}
			checkNotSent(t, attempt)
		}
	}
}

// TestIDThatResponsesCantName guards against an attempt that runs in vain: a durable job that an earlier version accepted can have an
// ID that is not UTF-8, which no response line can name.
func TestIDThatResponsesCantName(t *testing.T) {
	checkNotSent(t, attempt("caf\xe9"))
}

// TestHealthCheckValues guards against a health check with a header that nobody sent: the address of an executor comes from
// discovery, and its zone can hold any characters.
func TestHealthCheckValues(t *testing.T) {
	for _, c := range []struct{ path, addr string }{{"/load", "[fe80::1%a\r\nX-A: 1]:80"}, {"/load\x00", "10.0.0.1:80"}, {"/a b", "10.0.0.1:80"}} {
		if request, err := encodeHealthCheck(c.path, c.addr); err == nil {
			t.Errorf("a health check of %q at %q is encoded: %q", c.path, c.addr, request)
		}
	}
}

// checkNotSent writes an attempt on a connection, and checks that no byte is sent and that the pool reports an invalid request and
// then the end of the connection.
func checkNotSent(t *testing.T, attempt node.Attempt) {
	t.Helper()
	events, received := make(chan node.Event, 4), make(chan []byte, 1)
	dial := func(context.Context, node.ConnID, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			b, _ := io.ReadAll(there) //nolint:errcheck // the connection ends with the attempt
			received <- b
		}()
		return here, nil
	}
	pool := New(dial, false, HealthCheckConfig{}, func(event node.Event) { events <- event })
	next := func() node.Event {
		select {
		case event := <-events:
			return event
		case <-time.After(20 * time.Second):
			t.Fatalf("%+v: no event", attempt.Request)
			return nil
		}
	}
	pool.Dial(1, "e")
	if event, ok := next().(node.ConnReady); !ok {
		t.Fatalf("%+v", event)
	}
	pool.Write(1, attempt)
	if ended, ok := next().(node.AttemptEnded); !ok || ended.Outcome != policy.InvalidRequest || ended.Detail == "" {
		t.Errorf("%+v: event %+v, want an invalid request", attempt.Request, ended)
	}
	if closed, ok := next().(node.ConnClosed); !ok {
		t.Errorf("%+v: event %+v, want the end of the connection", attempt.Request, closed)
	}
	if b := <-received; len(b) > 0 {
		t.Errorf("%+v: the executor received %q", attempt.Request, b)
	}
}

// FuzzEncodeRequest checks that whatever is encoded is read as one request with the same values.
func FuzzEncodeRequest(f *testing.F) {
	f.Add("job-1", "/x?q=%20", "backend.local", "key-1", "text/plain; name=\"J\xf5gi\"", []byte("body\r\n"), uint32(1))
	f.Add("job-1\r\nX-A: 1", "/ HTTP/1.1\r\n\r\nPOST /", "h", "", "", []byte("GET / HTTP/1.1\r\n\r\n"), uint32(0))
	f.Fuzz(func(t *testing.T, id, target, host, key, contentType string, body []byte, epoch uint32) {
		attempt := node.Attempt{Request: &node.Request{ID: policy.JobID(id), Method: "POST", URI: "/" + target, Host: host, ContentType: contentType,
			IdempotencyKey: key, Body: body, Epoch: epoch}, Budget: time.Second}
		encoded, err := encodeRequest(attempt)
		if err != nil {
			return
		}
		in := bufio.NewReader(strings.NewReader(string(encoded)))
		request, err := http.ReadRequest(in)
		if err != nil {
			return // such as an invalid escape in the target: an executor refuses the whole request
		}
		read, err := io.ReadAll(request.Body)
		if err != nil || string(read) != string(body) || in.Buffered() > 0 {
			t.Errorf("%q: body %q, error %v, %d more bytes, want body %q alone", encoded, read, err, in.Buffered(), body)
		}
		for name, want := range map[string]string{"X-Call-Id": id, "Idempotency-Key": key, "Content-Type": contentType} {
			want = strings.Trim(want, " \t") // spaces around a value are no part of it
			if values := request.Header[name]; len(values) > 1 || request.Header.Get(name) != want {
				t.Errorf("%q: %s %q, want %q", encoded, name, values, want)
			}
		}
		if request.RequestURI != attempt.URI {
			t.Errorf("%q: request target %q, want %q", encoded, request.RequestURI, attempt.URI)
		}
	})
}
