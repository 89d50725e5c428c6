package frontend

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/node"
)

// failingListener is a listener whose first calls of Accept fail with the given errors.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	errors []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	errno := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestAcceptErrors has accept fail in each way that Linux documents for a connection that is pending or for a machine that is short of
// something for a moment. The server must go on and serve the next connection, and it must end when it is closed.
func TestAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l, errors: []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ENONET, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EINTR, syscall.ETIMEDOUT}}
	server := New(nil, ConnLimits{Max: 10, MaxShared: 5}, func(node.Event) {})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(failing) }()
	conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte("GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		select {
		case err := <-ended:
			t.Fatalf("the server has ended: %v, with %d errors left", err, len(failing.errors))
		default:
			t.Fatalf("no answer: %v, with %d errors left", err, len(failing.errors))
		}
	}
	server.http.Close()
	if err := <-ended; err != nil {
		t.Errorf("the closed server ends with %v", err)
	}
}
