package socket

import (
	"io"
	"net"
	"strings"
	"testing"
)

// benchPair is a connection of which the far end does nothing.
func benchPair(b *testing.B, early string) net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { near.Close(); far.Close() })
	io.WriteString(far, early)
	return near
}

// What the last look costs an attempt: one call of the system, two behind bytes that nobody has read.
func BenchmarkEnded(b *testing.B) {
	for _, early := range []string{"", "P"} {
		b.Run("early="+early, func(b *testing.B) {
			near := benchPair(b, early)
			b.ReportAllocs()
			for b.Loop() {
				if ended, _ := Ended(near); ended {
					b.Fatal("it has not ended")
				}
			}
		})
	}
}

// Nothing, bytes, an end and a break are told apart from nothing without being taken; what is no socket can't say.
func TestPending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name string
		do   func(*net.TCPConn)
		want bool
	}{
		{"nothing", func(*net.TCPConn) {}, false},
		{"bytes", func(c *net.TCPConn) { io.WriteString(c, "ab") }, true},
		{"its end", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"a break", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
	} {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.do(far.(*net.TCPConn))
		for range 2 { // the first took nothing of it
			if any, known := Pending(near); any != c.want || !known {
				t.Errorf("%s: %v, known %v", c.name, any, known)
			}
		}
		if b := make([]byte, 2); c.name == "bytes" {
			if _, err := io.ReadFull(near, b); err != nil || string(b) != "ab" {
				t.Errorf("read %q, %v", b, err)
			}
		}
		near.Close()
		far.Close()
	}
	a, _ := net.Pipe()
	if any, known := Pending(a); any || known {
		t.Error("a pipe's end says something")
	}
}

// The other side's end is seen, also behind bytes, and bytes alone are none; nothing is taken.
func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name string
		do   func(*net.TCPConn)
		want bool
	}{
		{"nothing", func(*net.TCPConn) {}, false},
		{"bytes", func(c *net.TCPConn) { io.WriteString(c, "ab") }, false},
		{"the end of its sending", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"its end", func(c *net.TCPConn) { c.Close() }, true},
		{"a break", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		{"bytes, and its end", func(c *net.TCPConn) { io.WriteString(c, "ab"); c.Close() }, true},
	} {
		near, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.do(far.(*net.TCPConn))
		for range 2 { // the first took nothing of it
			if ended, known := Ended(near); ended != c.want || !known {
				t.Errorf("%s: %v, known %v", c.name, ended, known)
			}
		}
		if b := make([]byte, 2); strings.HasPrefix(c.name, "bytes") {
			if _, err := io.ReadFull(near, b); err != nil || string(b) != "ab" {
				t.Errorf("read %q, %v", b, err)
			}
		}
		near.Close()
		far.Close()
	}
	a, _ := net.Pipe()
	if ended, known := Ended(a); ended || known {
		t.Error("a pipe's end says something")
	}
}
