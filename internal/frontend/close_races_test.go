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

// newHaltable returns a fake reducer behind a listener whose calls can be stopped.
func newHaltable(t *testing.T, conns int) (*fakeNode, *emulator.Halts) {
	h := &emulator.Halts{}
	c := newFakeNodeWithHalts(t, conns, h)
	c.server.SetReady(true)
	return c, h
}

func (c *fakeNode) awaitStop(s *emulator.Stop) {
	c.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		c.t.Fatalf("a call never came where it was to stop, after:\n%s", c.out.String())
	}
}

// until waits until a condition holds that another goroutine brings about.
func (c *fakeNode) until(what string, so func() bool) {
	c.t.Helper()
	for by := time.Now().Add(20 * time.Second); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			c.t.Fatalf("never: %s", what)
		}
	}
}

func (g *connTable) counts() (open, resting, leaving int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.idleConns.Len(), g.closingConns.Len()
}

// eachConn calls look for each connection, with its lock held.
func (c *fakeNode) eachConn(look func(*clientConn)) {
	c.server.conns.mu.Lock()
	defer c.server.conns.mu.Unlock()
	for _, p := range c.server.conns.entries {
		p.conn.mu.Lock()
		look(p.conn)
		p.conn.mu.Unlock()
	}
}

func (c *fakeNode) printf(format string, args ...any) { fmt.Fprintf(&c.out, format+"\n", args...) }

// TestCloseUnderRequest has a connection closed on which a request has arrived that is not read yet: it is answered.
func TestCloseUnderRequest(t *testing.T) {
	for _, let := range []struct {
		name string
		let  func(*fakeNode)
	}{
		{"the node ends", func(c *fakeNode) { c.server.conns.enterLameDuck() }},
		{"clients are sent away", func(c *fakeNode) {
			c.server.conns.setDraining(true)
			c.server.conns.closeDrained()
		}},
		{"over the budget", func(c *fakeNode) { c.server.HalveLimits(true) }},
	} {
		c, h := newHaltable(t, 2)
		c.printf("%s", let.name)
		first := c.dial()
		first.send(jobRequest("handled-1"))
		c.printEvent()
		c.printAnswer(first)
		c.until("it rests", func() bool { _, resting, _ := c.server.conns.counts(); return resting == 1 })
		if strings.HasPrefix(let.name, "over") {
			second := c.dial()
			second.send(jobRequest("handled-0"))
			c.printEvent()
			c.printAnswer(second)
			c.until("both rest", func() bool { _, resting, _ := c.server.conns.counts(); return resting == 2 })
		}
		// The waiting read returns the first byte alone, and the next read is stopped.
		waits := h.On(1, emulator.AfterRead, 0)
		first.send(jobRequest("handled-2")[:1])
		c.awaitStop(waits)
		stop := h.On(1, emulator.BeforeRead, 0)
		waits.Go()
		c.awaitStop(stop)
		first.send(jobRequest("handled-2")[1:])
		cut := h.InterruptedReads()
		let.let(c)
		if h.InterruptedReads() != cut {
			t.Errorf("%s: its read is cut short under a message", let.name)
		}
		stop.Go()
		c.printEvent()
		c.printAnswer(first)
		c.server.http.Close()
		golden.Compare(t, "let-go-"+strings.Fields(let.name)[0]+".txt", c.out.String())
	}
}

// TestRequestAtLastRead sends a request between the deadline that wakes the reader of a closing connection and its probe.
func TestRequestAtLastRead(t *testing.T) {
	c, h := newHaltable(t, 10)
	first := c.dial()
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first)
	c.until("it rests", func() bool { _, resting, _ := c.server.conns.counts(); return resting == 1 })
	stop := h.At(emulator.AfterRead, 0)
	c.server.conns.enterLameDuck()
	c.awaitStop(stop) // the read has ended by the deadline, with nothing
	first.send(jobRequest("handled-2"))
	stop.Go()
	c.printEvent()
	c.printAnswer(first)
	golden.Compare(t, "last-look.txt", c.out.String())
}

// TestRequestWhenServerCloses closes the server while a request lies unread on a closing connection: it is answered first.
func TestRequestWhenServerCloses(t *testing.T) {
	c, h := newHaltable(t, 10)
	c.server.closeTimeout = 20 * time.Second // the test must not depend on time
	first := c.dial()
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first)
	c.until("it rests", func() bool { _, resting, _ := c.server.conns.counts(); return resting == 1 })
	late := h.On(1, emulator.AfterRead, 0)
	closes := h.On(1, emulator.BeforeClose, 0)
	c.server.conns.enterLameDuck()
	c.awaitStop(late) // the read has ended by the deadline, with nothing
	first.send(jobRequest("handled-2"))
	c.server.Close()
	c.until("the front waits for it, or closes it", func() bool {
		select {
		case <-closes.Reached:
			t.Error("its connection is closed under a message")
			return true
		default:
		}
		c.server.conns.mu.Lock()
		defer c.server.conns.mu.Unlock()
		return c.server.conns.shuttingDown
	})
	closes.Go()
	late.Go()
	c.printEvent()
	c.printAnswer(first)
	c.printEvent()
	golden.Compare(t, "front-closes.txt", c.out.String())
}

// TestIdleAtShutdown shuts the node down while a connection becomes idle whose next request has arrived already.
func TestIdleAtShutdown(t *testing.T) {
	c, h := newHaltable(t, 10)
	first := c.dial()
	stop := h.At(emulator.AfterWrite, 0)
	first.send(jobRequest("handled-1"))
	c.printEvent()
	c.printAnswer(first) // without Connection: close
	c.awaitStop(stop)
	c.server.conns.enterLameDuck()
	first.send(jobRequest("handled-2"))
	stop.Go()
	c.printEvent()
	c.printAnswer(first)
	golden.Compare(t, "rest-at-end.txt", c.out.String())
}

// TestDrainUnderBody drains clients while half of a request has come on a new connection: the rest is waited for.
func TestDrainUnderBody(t *testing.T) {
	c, h := newHaltable(t, 10)
	from := c.dial()
	text := jobRequest("handled-1", "Content-Length: 4") + "bo"
	from.send(text)
	c.until("its head is read", func() bool {
		half := false
		c.eachConn(func(w *clientConn) { half = w.framer.completeHeads == 1 && w.framer.bodyRemaining == 2 })
		return half
	})
	c.server.conns.mu.Lock()
	for _, p := range c.server.conns.entries {
		p.openedAt = time.Now().Add(-newConnGrace)
	}
	c.server.conns.mu.Unlock()
	cut := h.InterruptedReads()
	c.server.conns.setDraining(true)
	for range 3 {
		c.server.conns.closeDrained()
	}
	if h.InterruptedReads() != cut {
		t.Error("its read is cut short under a message")
	}
	from.send("dy")
	c.printEvent()
	c.printAnswer(from)
	golden.Compare(t, "sent-away-body.txt", c.out.String())
}

// TestClientLeavesBehindNextRequest has clients leave that have sent part of their next requests, at once or later: they are
// seen to leave, and nothing more of their connection is served. One that stays gets all its answers.
func TestClientLeavesBehindNextRequest(t *testing.T) {
	c, _ := newHaltable(t, 10)
	leaves := func(title, together, later string) {
		c.printf("%s", title)
		from := c.dial()
		from.send(jobRequest("wait-"+title[:1]) + together)
		c.printEvent()
		from.send(later)
		from.Close()
		c.printEvent()
		c.until("its connection is closed", func() bool { open, _, _ := c.server.conns.counts(); return open == 0 })
	}
	leaves("a byte of the next, later", "", "P")
	leaves("both: a byte together and more later", "P", "OST")
	leaves("c: the next message whole, and one more", jobRequest("never-1"), jobRequest("never-2"))
	leaves("d: more than is read at a time", "", jobRequest("never", "X-A: "+strings.Repeat("a", 9000))+jobRequest("never"))

	c.printf("one that only ends its sending reads that it is broken off")
	from := c.dial()
	from.send(jobRequest("wait-h") + "PO")
	c.printEvent()
	from.Conn.(*net.TCPConn).CloseWrite()
	c.printEvent()
	c.printAnswer(from)

	c.printf("one that stays")
	from = c.dial()
	next := jobRequest("handled-2", "Content-Length: 6000") + strings.Repeat("b", 6000)
	from.send(jobRequest("wait-s"))
	c.printEvent()
	from.send(next[:3])
	c.until("it is read ahead", func() bool {
		ahead := false
		c.eachConn(func(w *clientConn) { ahead = ahead || w.readAhead != nil })
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
	golden.Compare(t, "left-behind-more.txt", c.out.String())
}

// nextJob returns the next batch job that the server posts.
func (c *fakeNode) nextJob() node.Job {
	c.t.Helper()
	select {
	case ev := <-c.events:
		if ev, ok := ev.(node.JobArrived); ok {
			return ev.Job
		}
		c.t.Fatalf("told of %T", ev)
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no batch job came after:\n%s", c.out.String())
	}
	return node.Job{}
}

// TestGoneUnread has a client leave while the reader of its connection is stopped: Gone sees it by the state of the socket,
// also behind more bytes than are read ahead, and the server posts ClientLeft once.
func TestGoneUnread(t *testing.T) {
	for _, leave := range []struct {
		title string
		early string
		end   func(*net.TCPConn)
	}{
		{"it closes", "", func(c *net.TCPConn) { c.Close() }},
		{"it resets", "", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"it only ends its sending", "", func(c *net.TCPConn) { c.CloseWrite() }},
		{"it closes behind a byte of its next message", "P", func(c *net.TCPConn) { c.Close() }},
		{"it closes behind a whole one", jobRequest("never-1"), func(c *net.TCPConn) { c.Close() }},
		{"it closes behind more than is read ahead", strings.Repeat("a", maxReadAhead+8<<10), func(c *net.TCPConn) { c.Close() }},
		{"it closes behind far more, and nobody else does so", strings.Repeat("a", 1<<20), func(c *net.TCPConn) { c.Close() }},
	} {
		t.Run(leave.title, func(t *testing.T) {
			c, h := newHaltable(t, 10)
			from := c.dial()
			from.send(jobRequest("wait-1"))
			client := c.nextJob().Client
			if client.Gone() {
				t.Fatal("it has gone before it left")
			}
			stop := h.On(1, emulator.AfterRead, 0)
			far := len(leave.early) >= 1<<20
			if len(leave.early) > maxReadAhead {
				stop.Go()
			}
			if !far {
				c.server.conns.sharedReadAhead.Store(0) // as if other connections had taken it
			}
			from.send(leave.early)
			switch {
			case far:
			case len(leave.early) > maxReadAhead:
				c.until("all that is read ahead is", func() bool {
					done := false
					c.eachConn(func(w *clientConn) { done = w.readAhead != nil && w.readAhead.done })
					return done
				})
			case leave.early != "":
				c.awaitStop(stop)
			}
			if client.Gone() {
				t.Error("it has gone by what it sent early")
			}
			leave.end(from.Conn.(*net.TCPConn))
			c.until("it is seen to have gone", client.Gone)
			c.printEvent()
			stop.Go()
			c.until("its connection is closed", func() bool { open, _, _ := c.server.conns.counts(); return open == 0 })
			if got, want := c.out.String(), "  left: wait-1\n"; got != want || len(c.events) > 0 {
				t.Errorf("told %q and %d more, not %q", got, len(c.events), want)
			}
			if far {
				c.until("what it took of the spare bytes is given back", func() bool { return c.server.conns.sharedReadAhead.Load() == maxSharedReadAhead })
			}
		})
	}
}

// TestGoneClientStays checks that a client that stays is not gone by what it sends early, nor by the answer to its next batch
// job. With its own answer it no longer waits.
func TestGoneClientStays(t *testing.T) {
	c, _ := newHaltable(t, 10)
	from := c.dial()
	from.send(jobRequest("wait-1") + jobRequest("wait-2")[:20])
	first := c.nextJob().Client
	if first.Gone() {
		t.Error("it has gone by what it sent early")
	}
	c.server.Answer(node.Answer{Job: "wait-1", Result: []byte("one")})
	c.printAnswer(from)
	if !first.Gone() {
		t.Error("it waits with its answer")
	}
	from.send(jobRequest("wait-2")[20:])
	second := c.nextJob().Client
	if second.Gone() || !first.Gone() {
		t.Errorf("the second has gone: %v, the first has not: %v", second.Gone(), !first.Gone())
	}
	c.server.Answer(node.Answer{Job: "wait-2", Result: []byte("two")})
	c.printAnswer(from)
	if got, want := c.out.String(), "  answer: 200 \"one\"\n  answer: 200 \"two\"\n"; got != want {
		t.Errorf("%s, not %s", got, want)
	}
}

// TestReadAheadClientStays has a client that stays send more requests than its connection may read ahead by itself: each is
// answered, in order.
func TestReadAheadClientStays(t *testing.T) {
	c, _ := newHaltable(t, 10)
	from := c.dial()
	from.send(jobRequest("wait-0"))
	if c.nextJob().Client.Gone() {
		t.Fatal("it has gone")
	}
	const next = 40
	go func() {
		for i := range next {
			from.send(jobRequest(fmt.Sprint("handled-", i+1), "Content-Length: 30000") + strings.Repeat("b", 30000))
		}
	}()
	c.until("it is read far ahead", func() bool { return c.server.conns.sharedReadAhead.Load() <= maxSharedReadAhead-10*30000 })
	c.server.Answer(node.Answer{Job: "wait-0", Result: []byte("the result")})
	c.printAnswer(from)
	for i := range next {
		if j := c.nextJob(); string(j.ID) != fmt.Sprint("handled-", i+1) || len(j.Body) != 30000 {
			t.Fatalf("%s with %d bytes is the next after %d", j.ID, len(j.Body), i)
		}
		c.printAnswer(from)
	}
	if got := strings.Count(c.out.String(), "answer: 200 \"the result\"\n"); got != next+1 {
		t.Errorf("%d answers of %d", got, next+1)
	}
	from.Close()
	c.until("what it took of the spare bytes is given back", func() bool { return c.server.conns.sharedReadAhead.Load() == maxSharedReadAhead })
}

// TestStop checks that once the reducer has ended a pending batch job is rejected, and one on a connection that was never
// read as well.
func TestStop(t *testing.T) {
	c, h := newHaltable(t, 10)
	stop := h.On(2, emulator.BeforeRead, 0)
	told := c.dial()
	told.send(jobRequest("wait-1"))
	c.printEvent() // nobody answers it: the reducer has ended
	late := c.dial()
	c.awaitStop(stop)
	late.send(jobRequest("wait-2"))
	over := make(chan struct{})
	go func() {
		c.server.Stop()
		close(over)
	}()
	c.printAnswer(told)
	stop.Go()
	c.printEvent() // nobody reads it
	c.printAnswer(late)
	<-over
	golden.Compare(t, "end.txt", c.out.String())
}
