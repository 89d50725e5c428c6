package socket

import (
	"io"
	"net"
	"strings"
	"testing"
)

// pair returns both ends of a connection.
func pair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	taken, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); taken.Close() })
	return dialled.(*net.TCPConn), taken.(*net.TCPConn)
}

// send writes text, which must succeed.
func send(t testing.TB, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Errorf("sending %q: %v", text, err)
	}
}

// BenchmarkEnded measures the check before an attempt: one system call, or two where unread bytes lie before the end.
func BenchmarkEnded(b *testing.B) {
	for _, early := range []string{"", "P"} {
		b.Run("early="+early, func(b *testing.B) {
			near, far := pair(b)
			send(b, far, early)
			b.ReportAllocs()
			for b.Loop() {
				if ended, _ := Ended(near); ended {
					b.Fatal("it has not ended")
				}
			}
		})
	}
}

// peer is what the peer does, and whether that is to be seen.
type peer struct {
	name string
	do   func(testing.TB, *net.TCPConn)
	want bool
}

// looks checks what is seen of what the peer does, that it consumes nothing, and that a pipe is unknown.
func looks(t *testing.T, look func(net.Conn) (yes, known bool), peers ...peer) {
	for _, p := range peers {
		near, far := pair(t)
		p.do(t, far)
		for range 2 { // the first took nothing of it
			if yes, known := look(near); yes != p.want || !known {
				t.Errorf("%s: %v, known %v", p.name, yes, known)
			}
		}
		if b := make([]byte, 2); strings.HasPrefix(p.name, "bytes") {
			if _, err := io.ReadFull(near, b); err != nil || string(b) != "ab" {
				t.Errorf("read %q, %v", b, err)
			}
		}
	}
	a, _ := net.Pipe()
	if yes, known := look(a); yes || known {
		t.Error("a pipe's end says something")
	}
}

// TestPending checks that bytes, an end and a reset are pending and nothing else is.
func TestPending(t *testing.T) {
	looks(t, Pending,
		peer{"nothing", func(testing.TB, *net.TCPConn) {}, false},
		peer{"bytes", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab") }, true},
		peer{"its end", func(_ testing.TB, c *net.TCPConn) { c.CloseWrite() }, true},
		peer{"a break", func(_ testing.TB, c *net.TCPConn) { c.SetLinger(0); c.Close() }, true})
}

// TestEnded checks that the peer's end is seen, also behind bytes, and that bytes alone are no end.
func TestEnded(t *testing.T) {
	looks(t, Ended,
		peer{"nothing", func(testing.TB, *net.TCPConn) {}, false},
		peer{"bytes", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab") }, false},
		peer{"the end of its sending", func(_ testing.TB, c *net.TCPConn) { c.CloseWrite() }, true},
		peer{"its end", func(_ testing.TB, c *net.TCPConn) { c.Close() }, true},
		peer{"a break", func(_ testing.TB, c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		peer{"bytes, and its end", func(t testing.TB, c *net.TCPConn) { send(t, c, "ab"); c.Close() }, true})
}
