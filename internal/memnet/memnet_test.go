package memnet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/synctesting"
)

// testNetwork is a network of two hosts. It records what each end of a connection observes, with the time in
// milliseconds.
type testNetwork struct {
	t     *testing.T
	net   *Net
	path  Path
	start time.Time
	mu    sync.Mutex
	lines []outputLine
}

type outputLine struct {
	at   time.Duration
	text string
}

func (n *testNetwork) print(end, format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, outputLine{time.Since(n.start).Truncate(time.Millisecond), end + " " + fmt.Sprintf(format, args...)})
}

// String returns the recorded lines by time. Lines of the same millisecond are sorted by their text, since the two ends
// record them from goroutines of their own.
func (n *testNetwork) String() string {
	slices.SortStableFunc(n.lines, func(x, y outputLine) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.text, y.text)) })
	s := ""
	for _, l := range n.lines {
		s += fmt.Sprintf("    -> %v %s\n", l.at, l.text)
	}
	return s
}

func reason(err error) string {
	for _, known := range []error{io.EOF, net.ErrClosed, os.ErrDeadlineExceeded, context.Canceled, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return fmt.Sprint(err)
}

// readAll records everything that arrives at an end, until the connection ends.
func (b *testNetwork) readAll(end string, c net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			b.print(end, "reads no more: %s", reason(err))
			return
		}
		b.print(end, "reads %d bytes", n)
	}
}

func (b *testNetwork) writes(end string, c net.Conn, bytes int) {
	n, err := c.Write(make([]byte, bytes))
	if err != nil {
		b.print(end, "writes %d of %d: %s", n, bytes, reason(err))
		return
	}
	b.print(end, "writes %d", n)
}

// writeAll writes a text, and fails the test if it cannot.
func (n *testNetwork) writeAll(c net.Conn, text string) {
	n.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		n.t.Errorf("sending %q: %v", text, err)
	}
}

// TestConnections checks what both ends of a connection observe under each kind of fault.
func TestConnections(t *testing.T) {
	var all strings.Builder
	for _, c := range []struct {
		name string
		play func(b *testNetwork, here, there *Conn)
	}{
		{"both directions", func(b *testNetwork, here, there *Conn) {
			b.writes("here", here, 1000)
			time.Sleep(50 * time.Millisecond)
			b.writes("there", there, 1)
			time.Sleep(50 * time.Millisecond)
			here.Close()
		}},
		{"bandwidth, and order", func(b *testNetwork, here, there *Conn) {
			b.path.PerByte = time.Microsecond
			b.writes("here", here, 60000)
			b.writes("here", here, 1)
			time.Sleep(time.Second)
			there.Close()
		}},
		{"delayed in transit", func(b *testNetwork, here, there *Conn) {
			b.path.Hold = 500 * time.Millisecond
			b.writes("here", here, 10)
			b.path.Hold = 0
			b.writes("here", here, 20)
			time.Sleep(time.Second)
			here.Close()
		}},
		{"half closed", func(b *testNetwork, here, there *Conn) {
			here.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			b.writes("here", here, 1)
			b.writes("there", there, 5)
			time.Sleep(20 * time.Millisecond)
			there.Close()
			here.Close()
		}},
		{"reset", func(b *testNetwork, here, there *Conn) {
			b.writes("here", here, 10)
			here.Reset()
			b.writes("here", here, 10)
		}},
		{"breaks in the middle of a write", func(b *testNetwork, here, there *Conn) {
			here.BreakAtWrite(BreakPartial)
			b.writes("here", here, 1000)
		}},
		{"breaks after a write that is lost", func(b *testNetwork, here, there *Conn) {
			here.BreakAtWrite(BreakLost)
			b.writes("here", here, 1000)
		}},
		{"breaks after a write that is delivered", func(b *testNetwork, here, there *Conn) {
			here.BreakAtWrite(BreakDelivered)
			b.writes("here", here, 1000)
		}},
		{"packets lost in one direction", func(b *testNetwork, here, there *Conn) {
			here.DropIncoming()
			b.writes("here", here, 10)
			time.Sleep(20 * time.Millisecond)
			b.writes("there", there, 10)
			time.Sleep(time.Second)
			here.Close()
		}},
		{"send window full", func(b *testNetwork, here, there *Conn) {
			there.DropOutgoing()
			b.path.Lost = true
			here.SetWriteDeadline(time.Now().Add(time.Second))
			b.writes("here", here, sendWindow+1)
			here.Close()
		}},
		{"read deadline", func(b *testNetwork, here, there *Conn) {
			here.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			time.Sleep(time.Second)
			here.SetReadDeadline(time.Time{})
			go b.readAll("here", here)
			b.writes("there", there, 3)
			time.Sleep(20 * time.Millisecond)
			here.Close()
		}},
		{"a write to a closed end", func(b *testNetwork, here, there *Conn) {
			there.Close()
			b.writes("here", here, 10)
			time.Sleep(30 * time.Millisecond)
			b.writes("here", here, 10)
		}},
		{"the other host is killed", func(b *testNetwork, here, there *Conn) { b.net.Kill("there", false) }},
		{"the other host is killed silently", func(b *testNetwork, here, there *Conn) {
			b.net.Kill("there", true)
			time.Sleep(time.Second)
			b.writes("here", here, 10)
			here.Close()
		}},
	} {
		synctesting.Test(t, func(t *testing.T) {
			b := &testNetwork{t: t, start: time.Now(), path: Path{Delay: 10 * time.Millisecond}}
			b.net = New(1, func(_, _ string) Path { return b.path })
			l, err := b.net.Listen("there", "there:1")
			if err != nil {
				t.Fatal(err)
			}
			accepted := make(chan net.Conn)
			go func() {
				if c, err := l.Accept(); err == nil {
					accepted <- c
				}
			}()
			here, err := b.net.Dial(t.Context(), "here", "1", "there:1")
			if err != nil {
				t.Fatal(err)
			}
			there := (<-accepted).(*Conn)
			go b.readAll("here", here)
			go b.readAll("there", there)
			time.Sleep(time.Millisecond)
			c.play(b, here, there)
			time.Sleep(time.Second)
			b.net.Shutdown()
			l.Close()
			synctest.Wait()
			fmt.Fprintf(&all, "%s\n%s", c.name, b)
		})
	}
	golden.Compare(t, "connections.txt", all.String())
}

// TestPeerEnded checks that PeerEnded reports the end of the stream once it has arrived, even if bytes before it are
// unread, and neither for bytes alone nor for an end that is still in flight.
func TestPeerEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *testNetwork, here, there *Conn)
		want bool
	}{
		{"nothing", func(*testNetwork, *Conn, *Conn) {}, false},
		{"bytes", func(b *testNetwork, _, there *Conn) { b.writeAll(there, "ab") }, false},
		{"its side is closed", func(_ *testNetwork, _, there *Conn) { there.CloseWrite() }, true},
		{"its end, after unread bytes", func(b *testNetwork, _, there *Conn) { b.writeAll(there, "ab"); there.Close() }, true},
		{"a reset", func(_ *testNetwork, _, there *Conn) { there.Reset() }, true},
		{"its end, delayed in transit", func(b *testNetwork, _, there *Conn) { b.path.Hold = time.Hour; there.Close() }, false},
	} {
		synctesting.Test(t, func(t *testing.T) {
			b := &testNetwork{t: t, path: Path{Delay: 10 * time.Millisecond}}
			b.net = New(1, func(_, _ string) Path { return b.path })
			l, err := b.net.Listen("there", "there:1")
			if err != nil {
				t.Fatal(err)
			}
			here, err := b.net.Dial(t.Context(), "here", "1", "there:1")
			if err != nil {
				t.Fatal(err)
			}
			there, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.do(b, here, there.(*Conn))
			if here.PeerEnded() {
				t.Errorf("%s: PeerEnded before anything has arrived", c.name)
			}
			time.Sleep(time.Second) // on the virtual clock
			if got := here.PeerEnded(); got != c.want {
				t.Errorf("%s: PeerEnded is %v", c.name, got)
			}
			b.net.Shutdown()
			l.Close()
			time.Sleep(2 * time.Hour)
		})
	}
}

// TestDials checks the results of dials, and how long they take.
func TestDials(t *testing.T) {
	var out strings.Builder
	synctesting.Test(t, func(t *testing.T) {
		path := Path{Delay: 10 * time.Millisecond}
		n := New(1, func(_, _ string) Path { return path })
		dial := func(id string, timeout time.Duration) {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			c, err := n.Dial(ctx, "here", id, "there:1")
			verdict := "up"
			if err != nil {
				verdict = reason(err)
			} else {
				c.Close()
			}
			fmt.Fprintf(&out, "%s: %s after %v\n", id, verdict, time.Since(start).Truncate(time.Millisecond))
		}
		dial("no listener", time.Second)
		l, err := n.Listen("there", "there:1")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.Listen("other", "there:1"); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("listening on an address in use: %v", err)
		}
		dial("listener", time.Second)
		path.Hold = 300 * time.Millisecond
		dial("delayed beyond the timeout", 100*time.Millisecond)
		dial("delayed", time.Second)
		path = Path{Lost: true}
		dial("lost", 200*time.Millisecond)
		path = Path{Delay: 10 * time.Millisecond}
		n.Kill("there", false)
		dial("killed", time.Second)
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept on a host that was killed: %v", err)
		}
		time.Sleep(time.Second)
	})
	golden.Compare(t, "dials.txt", out.String())
}
