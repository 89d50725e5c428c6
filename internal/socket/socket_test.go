package socket

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// pair returns the two ends of a TCP connection.
func pair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// send writes text to a connection, and reports a failure to the test.
func send(t testing.TB, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Errorf("sending %q: %v", text, err)
	}
}

// ended returns whether State reports that the peer has ended the connection.
func ended(c net.Conn) (ended, known bool) {
	_, ended, known = State(c)
	return ended, known
}

// BenchmarkEnded measures State: one system call, or two if there is unread data.
func BenchmarkEnded(b *testing.B) {
	for _, unread := range []string{"", "P"} {
		b.Run("unread="+unread, func(b *testing.B) {
			near, far := pair(b)
			send(b, far, unread)
			b.ReportAllocs()
			for b.Loop() {
				if ended, _ := ended(near); ended {
					b.Fatal("an open connection is reported as ended")
				}
			}
		})
	}
}

// peerAction is an action of the peer, and the result that the tested query must return after it.
type peerAction struct {
	name string
	do   func(testing.TB, *net.TCPConn)
	want bool
}

// checkQuery checks the result of a query, Pending or ended, after each action of the peer. It also checks that the
// query consumes no data, and that its result for a pipe, which has no socket, is unknown.
func checkQuery(t *testing.T, query func(net.Conn) (result, known bool), actions ...peerAction) {
	for _, action := range actions {
		near, far := pair(t)
		action.do(t, far)
		for range 2 { // the first query must not consume anything
			if result, known := query(near); result != action.want || !known {
				t.Errorf("%s: %v, known %v", action.name, result, known)
			}
		}
		if b := make([]byte, 2); strings.HasPrefix(action.name, "data") {
			if _, err := io.ReadFull(near, b); err != nil || string(b) != "ab" {
				t.Errorf("read %q, %v", b, err)
			}
		}
	}
	a, _ := net.Pipe()
	if result, known := query(a); result || known {
		t.Errorf("a pipe: %v, known %v", result, known)
	}
}

// TestPending checks that data, a half-close and a reset count as pending, and that an idle connection does not.
func TestPending(t *testing.T) {
	checkQuery(t, Pending,
		peerAction{"nothing", func(testing.TB, *net.TCPConn) {}, false},
		peerAction{"data", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab") }, true},
		peerAction{"half-close", func(_ testing.TB, c *net.TCPConn) { c.CloseWrite() }, true},
		peerAction{"reset", func(_ testing.TB, c *net.TCPConn) { c.SetLinger(0); c.Close() }, true})
}

// TestEnded checks that a close, half-close or reset by the peer is found, even behind unread data, and that data alone
// does not count as one.
func TestEnded(t *testing.T) {
	checkQuery(t, ended,
		peerAction{"nothing", func(testing.TB, *net.TCPConn) {}, false},
		peerAction{"data", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab") }, false},
		peerAction{"half-close", func(_ testing.TB, c *net.TCPConn) { c.CloseWrite() }, true},
		peerAction{"close", func(_ testing.TB, c *net.TCPConn) { c.Close() }, true},
		peerAction{"reset", func(_ testing.TB, c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		peerAction{"data, then close", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab"); c.Close() }, true},
		peerAction{"data, then half-close", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab"); c.CloseWrite() }, true})
}

// TestEndedByResetBehindUnreadData checks that a reset is found while data that arrived before it is unread, and that the data can
// still be read after that.
func TestEndedByResetBehindUnreadData(t *testing.T) {
	checkQuery(t, ended,
		peerAction{"data, then reset", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab"); c.SetLinger(0); c.Close() }, true})
}

// TestConnectionErrors checks which errors of a read mean that the connection is broken.
func TestConnectionErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.ENOTCONN} {
		if !isConnectionError(os.NewSyscallError("recvfrom", errno)) {
			t.Errorf("%v is no error of the connection", errno)
		}
	}
	for _, err := range []error{syscall.EAGAIN, syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS, syscall.EBADF, io.EOF} {
		if isConnectionError(err) {
			t.Errorf("%v is an error of the connection", err)
		}
	}
}
