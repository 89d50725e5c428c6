package frontend

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// newHaltableNode returns a ready fakeNode and the halts of its listener and connections.
func newHaltableNode(t *testing.T, conns int) (*fakeNode, *emulator.Breakpoints) {
	halts := &emulator.Breakpoints{}
	c := newFakeNodeWithHalts(t, conns, halts)
	c.server.SetReady(true)
	return c, halts
}

// awaitStop waits until a call has reached a stop.
func (c *fakeNode) awaitStop(s *emulator.Breakpoint) {
	c.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no call reaches the stop after:\n%s", c.out.String())
	}
}

// waitUntil waits until a condition holds.
func (c *fakeNode) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timeout while waiting until %s", what)
		}
	}
}

// counts returns the numbers of open, idle and closing connections.
func (t *connTable) counts() (open, idle, closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.idleConns.Len(), t.closingConns.Len()
}

// eachConn calls inspect for each connection, with the connection's lock held.
func (c *fakeNode) eachConn(inspect func(*clientConn)) {
	c.server.conns.mu.Lock()
	defer c.server.conns.mu.Unlock()
	for _, e := range c.server.conns.entries {
		e.conn.mu.Lock()
		inspect(e.conn)
		e.conn.mu.Unlock()
	}
}

func (c *fakeNode) printf(format string, args ...any) { fmt.Fprintf(&c.out, format+"\n", args...) }

// TestCloseWithUnreadRequest starts to close a connection on which an unread request has arrived. The request must be answered.
func TestCloseWithUnreadRequest(t *testing.T) {
	for _, cause := range []struct {
		name       string
		startClose func(*fakeNode)
	}{
		{"shutdown", func(c *fakeNode) { c.server.conns.enterLameDuck() }},
		{"client drain", func(c *fakeNode) {
			c.server.conns.setDraining(true)
			c.server.conns.closeDrained()
		}},
		{"connection limit", func(c *fakeNode) { c.server.HalveLimits(true) }},
	} {
		c, halts := newHaltableNode(t, 2)
		c.printf("%s", cause.name)
		first := c.dial()
		first.send(jobRequest("handled-1"))
		c.printEvent()
		c.printAnswer(first)
		c.waitUntil("the connection is idle", func() bool { _, idle, _ := c.server.conns.counts(); return idle == 1 })
		if cause.name == "connection limit" {
			second := c.dial()
			second.send(jobRequest("handled-0"))
			c.printEvent()
			c.printAnswer(second)
			c.waitUntil("both are idle", func() bool { _, idle, _ := c.server.conns.counts(); return idle == 2 })
		}
		// The pending read returns the first byte alone, and the next read is stopped.
		pendingRead := halts.OnConn(1, emulator.AfterRead, 0)
		first.send(jobRequest("handled-2")[:1])
		c.awaitStop(pendingRead)
		stop := halts.OnConn(1, emulator.BeforeRead, 0)
		pendingRead.Release()
		c.awaitStop(stop)
		first.send(jobRequest("handled-2")[1:])
		interrupted := halts.InterruptedReads()
		cause.startClose(c)
		if halts.InterruptedReads() != interrupted {
			t.Errorf("%s: a read is interrupted in the middle of a request", cause.name)
		}
		stop.Release()
		c.printEvent()
		c.printAnswer(first)
		c.server.http.Close()
		golden.Compare(t, "unread-request-"+strings.ReplaceAll(cause.name, " ", "-")+".txt", c.out.String())
	}
}

// TestRequestAtFinalRead sends a request on a closing connection after the deadline has interrupted its reader, and before the
// final check for an unread request. The request must be answered.
func TestRequestAtFinalRead(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	first := c.dial()
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first)
	c.waitUntil("the connection is idle", func() bool { _, idle, _ := c.server.conns.counts(); return idle == 1 })
	stop := halts.At(emulator.AfterRead, 0)
	c.server.conns.enterLameDuck()
	c.awaitStop(stop) // the deadline has interrupted the read, which returned no bytes
	first.send(jobRequest("handled-2"))
	stop.Release()
	c.printEvent()
	c.printAnswer(first)
	golden.Compare(t, "request-at-final-read.txt", c.out.String())
}

// TestRequestWhenServerCloses closes the server while an unread request has arrived on a closing connection. The request must be
// answered first.
func TestRequestWhenServerCloses(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	c.server.closeTimeout = 20 * time.Second // the test must not depend on time
	first := c.dial()
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first)
	c.waitUntil("the connection is idle", func() bool { _, idle, _ := c.server.conns.counts(); return idle == 1 })
	late := halts.OnConn(1, emulator.AfterRead, 0)
	closes := halts.OnConn(1, emulator.BeforeClose, 0)
	c.server.conns.enterLameDuck()
	c.awaitStop(late) // the deadline has interrupted the read, which returned no bytes
	first.send(jobRequest("handled-2"))
	c.server.Close()
	c.waitUntil("the server waits for the connection, or closes it", func() bool {
		select {
		case <-closes.Reached:
			t.Error("the connection is closed in the middle of a request")
			return true
		default:
		}
		c.server.conns.mu.Lock()
		defer c.server.conns.mu.Unlock()
		return c.server.conns.shuttingDown
	})
	closes.Release()
	late.Release()
	c.printEvent()
	c.printAnswer(first)
	c.printEvent()
	golden.Compare(t, "request-when-server-closes.txt", c.out.String())
}

// TestIdleAtShutdown begins a shutdown when the answer to a request is written but its connection is not idle yet. When
// the connection becomes idle, the next request has already arrived, and must be answered.
func TestIdleAtShutdown(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	first := c.dial()
	stop := halts.At(emulator.AfterWrite, 0)
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first) // without Connection: close
	c.awaitStop(stop)
	c.server.conns.enterLameDuck()
	first.send(jobRequest("handled-2"))
	stop.Release()
	c.printEvent()
	c.printAnswer(first)
	golden.Compare(t, "idle-at-shutdown.txt", c.out.String())
}

// TestDrainDuringBody drains clients while half of a request's body has arrived on a new connection. The server must wait for
// the rest.
func TestDrainDuringBody(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	from := c.dial()
	text := jobRequest("handled-1", "Content-Length: 4") + "bo"
	from.send(text)
	c.waitUntil("the header and half of the body are read", func() bool {
		half := false
		c.eachConn(func(conn *clientConn) { half = conn.framer.completeHeads == 1 && conn.framer.bodyRemaining == 2 })
		return half
	})
	c.server.conns.mu.Lock()
	for _, e := range c.server.conns.entries {
		e.openedAt = time.Now().Add(-newConnGrace)
	}
	c.server.conns.mu.Unlock()
	interrupted := halts.InterruptedReads()
	c.server.conns.setDraining(true)
	for range 3 {
		c.server.conns.closeDrained()
	}
	if halts.InterruptedReads() != interrupted {
		t.Error("a read is interrupted in the middle of a request")
	}
	from.send("dy")
	c.printEvent()
	c.printAnswer(from)
	golden.Compare(t, "drain-during-body.txt", c.out.String())
}

// TestClientLeavesAfterNextRequest has clients send part of their next request or more while an answer is pending, and then leave.
// The server must notice that they leave, and serve nothing more of their connections. A client that stays must get all answers.
func TestClientLeavesAfterNextRequest(t *testing.T) {
	c, _ := newHaltableNode(t, 10)
	// sentWith is sent together with the pending request, sentLater after it has been posted.
	leaves := func(title, sentWith, sentLater string) {
		c.printf("%s", title)
		from := c.dial()
		from.send(jobRequest("wait-"+title[:1]) + sentWith)
		c.printEvent()
		from.send(sentLater)
		from.Close()
		c.printEvent()
		c.waitUntil("the connection is closed", func() bool { open, _, _ := c.server.conns.counts(); return open == 0 })
	}
	leaves("a: a byte of the next request, sent later", "", "P")
	leaves("b: a byte of the next request sent with the first, and more sent later", "P", "OST")
	leaves("c: a complete next request sent with the first, and another one sent later", jobRequest("never-1"), jobRequest("never-2"))
	leaves("d: more bytes than one read returns", "", jobRequest("never", "X-A: "+strings.Repeat("a", 9000))+jobRequest("never"))

	c.printf("a client that half-closes its connection reads the failure")
	from := c.dial()
	from.send(jobRequest("wait-h") + "PO")
	c.printEvent()
	from.Conn.(*net.TCPConn).CloseWrite()
	c.printEvent()
	c.printAnswer(from)

	c.printf("a client that stays")
	from = c.dial()
	next := jobRequest("handled-2", "Content-Length: 6000") + strings.Repeat("b", 6000)
	from.send(jobRequest("wait-s"))
	c.printEvent()
	from.send(next[:3])
	c.waitUntil("the connection is read ahead", func() bool {
		ahead := false
		c.eachConn(func(conn *clientConn) { ahead = ahead || conn.readAhead.running })
		return ahead
	})
	from.send(next[3:5000])
	c.server.Answer(node.Answer{Job: "wait-s", Result: []byte("at last")})
	c.printAnswer(from)
	from.send(next[5000:] + jobRequest("handled-3"))
	c.printEvent()
	c.printAnswer(from)
	c.printEvent()
	c.printAnswer(from)
	golden.Compare(t, "client-leaves-after-next-request.txt", c.out.String())
}

// nextJob returns the next batch job that the server posts.
func (c *fakeNode) nextJob() node.Job {
	c.t.Helper()
	select {
	case ev := <-c.events:
		if ev, ok := ev.(node.JobArrived); ok {
			return ev.Job
		}
		c.t.Fatalf("the server posts %T, not a batch job", ev)
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no batch job is posted after:\n%s", c.out.String())
	}
	return node.Job{}
}

// TestGoneBeforeRead has a client leave while the reader of its connection is stopped. State must report that by the state of the
// socket, also after more bytes than are read ahead, and the server must post ClientLeft exactly once.
func TestGoneBeforeRead(t *testing.T) {
	for _, leave := range []struct {
		title string
		early string // what the client sends before it leaves
		end   func(*net.TCPConn)
	}{
		{"closes", "", func(c *net.TCPConn) { c.Close() }},
		{"resets", "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"half-closes", "", func(c *net.TCPConn) { c.CloseWrite() }},
		{"closes after a byte of its next request", "P", func(c *net.TCPConn) { c.Close() }},
		{"closes after a complete next request", jobRequest("never-1"), func(c *net.TCPConn) { c.Close() }},
		{"closes after more bytes than one connection may read ahead", strings.Repeat("a", minReadAhead+8<<10), func(c *net.TCPConn) { c.Close() }},
		{"closes after far more bytes, while no other connection reads ahead", strings.Repeat("a", 1<<20), func(c *net.TCPConn) { c.Close() }},
	} {
		t.Run(leave.title, func(t *testing.T) {
			c, halts := newHaltableNode(t, 10)
			from := c.dial()
			from.send(jobRequest("wait-1"))
			client := c.nextJob().Client
			if client.State() == node.ClientGone {
				t.Fatal("State is that of a client that has left before it leaves")
			}
			stop := halts.OnConn(1, emulator.AfterRead, 0)
			far := len(leave.early) >= 1<<20
			if len(leave.early) > minReadAhead {
				stop.Release()
			}
			if !far {
				c.server.conns.readAhead.setLimit(0) // as if other connections had reserved all of it
			}
			from.send(leave.early)
			switch {
			case far:
			case len(leave.early) > minReadAhead:
				c.waitUntil("the read-ahead limit is reached", func() bool {
					done := false
					c.eachConn(func(conn *clientConn) { done = conn.readAhead.limited })
					return done
				})
			case leave.early != "":
				c.awaitStop(stop)
			}
			if client.State() == node.ClientGone {
				t.Error("State is that of a client that has left after it sent more, before it leaves")
			}
			leave.end(from.Conn.(*net.TCPConn))
			c.waitUntil("State reports that the client has left", func() bool { return client.State() == node.ClientGone })
			c.printEvent()
			stop.Release()
			c.waitUntil("the connection is closed", func() bool { open, _, _ := c.server.conns.counts(); return open == 0 })
			if got, want := c.out.String(), "  left: wait-1\n"; got != want || len(c.events) > 0 {
				t.Errorf("the server posts %q and %d more events, want %q", got, len(c.events), want)
			}
			if far {
				c.waitUntil("the reserved bytes are released", func() bool { return c.server.conns.readAhead.used.Load() == 0 })
			}
		})
	}
}

// TestNotGoneWhileClientWaits checks that State is not "gone" for a client that sends part of its next request early, until its own
// answer is written, and that it stays true for the first batch job while the second one is pending.
func TestNotGoneWhileClientWaits(t *testing.T) {
	c, _ := newHaltableNode(t, 10)
	from := c.dial()
	from.send(jobRequest("wait-1") + jobRequest("wait-2")[:20])
	first := c.nextJob().Client
	if first.State() != node.ClientWaits {
		t.Error("State is that of a client that has left after it sent part of its next request")
	}
	c.server.Answer(node.Answer{Job: "wait-1", Result: []byte("one")})
	c.printAnswer(from)
	if first.State() != node.ClientGone {
		t.Error("State is not that of a client that has left, for one that has its answer")
	}
	from.send(jobRequest("wait-2")[20:])
	second := c.nextJob().Client
	if second.State() != node.ClientWaits || first.State() != node.ClientGone {
		t.Errorf("State of the second batch job: %v, want waiting; of the first: %v, want gone", second.State(), first.State())
	}
	c.server.Answer(node.Answer{Job: "wait-2", Result: []byte("two")})
	c.printAnswer(from)
	if got, want := c.out.String(), "  answer: 200 \"one\"\n  answer: 200 \"two\"\n"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestReadAheadManyRequests has a client send more requests while an answer is pending than one connection may always read ahead.
// Each must be answered, in order.
func TestReadAheadManyRequests(t *testing.T) {
	c, _ := newHaltableNode(t, 10)
	from := c.dial()
	from.send(jobRequest("wait-0"))
	if c.nextJob().Client.State() != node.ClientWaits {
		t.Fatal("State is that of a client that has left")
	}
	const next = 40
	go func() {
		for i := range next {
			from.send(jobRequest(fmt.Sprint("handled-", i+1), "Content-Length: 30000") + strings.Repeat("b", 30000))
		}
	}()
	c.waitUntil("the connection has read far ahead", func() bool { return c.server.conns.readAhead.used.Load() >= 10*30000 })
	c.server.Answer(node.Answer{Job: "wait-0", Result: []byte("the result")})
	c.printAnswer(from)
	for i := range next {
		if j := c.nextJob(); string(j.ID) != fmt.Sprint("handled-", i+1) || len(j.Body) != 30000 {
			t.Fatalf("batch job %s with a body of %d bytes follows handled-%d", j.ID, len(j.Body), i)
		}
		c.printAnswer(from)
	}
	if got := strings.Count(c.out.String(), "answer: 200 \"the result\"\n"); got != next+1 {
		t.Errorf("%d answers, want %d", got, next+1)
	}
	from.Close()
	c.waitUntil("the reserved bytes are released", func() bool { return c.server.conns.readAhead.used.Load() == 0 })
}

// TestStop checks that after the event loop has ended, a pending batch job is rejected, and so is one that arrives on a connection
// that was not read before.
func TestStop(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	stop := halts.OnConn(2, emulator.BeforeRead, 0)
	pending := c.dial()
	pending.send(jobRequest("wait-1"))
	c.printEvent() // not answered, as if the event loop had ended
	late := c.dial()
	c.awaitStop(stop)
	late.send(jobRequest("wait-2"))
	over := make(chan struct{})
	go func() {
		c.server.Stop()
		close(over)
	}()
	c.printAnswer(pending)
	stop.Release()
	c.printEvent() // posted, but not processed: the event loop has ended
	c.printAnswer(late)
	<-over
	golden.Compare(t, "stop.txt", c.out.String())
}

// TestNewRequestWhenServerCloses closes the server after the first request of a new connection has been read, and before net/http goes on
// with it. The request must be answered.
func TestNewRequestWhenServerCloses(t *testing.T) {
	c, halts := newHaltableNode(t, 10)
	c.server.closeTimeout = 20 * time.Second // the test must not depend on time
	read := halts.OnConn(1, emulator.AfterRead, 0)
	from := c.dial()
	from.send(jobRequest("handled-1"))
	c.awaitStop(read)
	c.server.Close()
	c.waitUntil("the server accepts no more connections", func() bool {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	read.Release()
	c.printAnswer(from)
	if got, want := c.out.String(), "  answer: 200 \"the result\", closing\n"; got != want {
		t.Errorf("got %swant %s", got, want)
	}
}
