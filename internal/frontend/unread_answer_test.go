package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"birchstair/internal/node"
)

// pipeListener is a listener whose connections have no buffer: a write lasts until the other end reads.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestClientThatReadsNoAnswer has clients send requests that the server itself answers, and read no answer. Their connections must be
// closed after the time limit for writing an answer.
func TestClientThatReadsNoAnswer(t *testing.T) {
	t.Parallel()
	requests := []string{"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", "GET / HTTP/1.1\r\nHost: n\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 70000\r\n\r\n", "POST / HTTP/1.1\r\n" + headerLines(maxHeaderFields+1) + "\r\n"}
	server := New(nil, ConnLimits{Max: 10, MaxShared: 5}, func(node.Event) {})
	l := pipeListener{make(chan net.Conn)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	for _, request := range requests {
		here, there := net.Pipe()
		defer here.Close()
		l.conns <- there
		go io.WriteString(here, request) //nolint:errcheck // the server may close the connection before it has read everything
	}
	open := len(requests)
	for deadline := time.Now().Add(writeTimeout + 5*time.Second); open > 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		server.conns.mu.Lock()
		open = server.conns.open
		server.conns.mu.Unlock()
	}
	if open > 0 {
		t.Errorf("%d of %d connections are still open", open, len(requests))
	}
	server.http.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
