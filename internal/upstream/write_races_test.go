package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// usedConn is an idle connection that has carried one attempt; its calls can be stopped.
type usedConn struct {
	printer
	t        *testing.T
	halts    emulator.Halts
	pool     *Pool
	executor net.Conn
	in       *bufio.Reader
}

const (
	handled = `{"id":"j1","state":"done","result":"r"}`
	stray   = "503 Service Unavailable\r\nX-Rejected: 1"
)

// use makes one. What it is to do when the connection rests is done before its reader goes on.
func use(t *testing.T, title string, atRest func(*usedConn)) *usedConn {
	u := dialled(t, title, atRest)
	u.pool.Write(1, attempt("j1"))
	u.readAttempt()
	u.respond(okResponse(handled))
	u.next(t)
	u.next(t)
	return u
}

// dialled makes one that has just come up and carried nothing yet.
func dialled(t *testing.T, title string, atRest func(*usedConn)) *usedConn {
	u := &usedConn{t: t, printer: printer{events: make(chan node.Event, 100), details: true}}
	u.out.WriteString(title + "\n")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	tcp := TCP(10 * time.Second)
	u.pool = New(func(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
		c, err := tcp(ctx, id, addr)
		if err != nil {
			return nil, err
		}
		return u.halts.Conn(c), nil
	}, false, HealthCheckConfig{}, func(ev node.Event) {
		if _, rests := ev.(node.ConnIdle); rests && atRest != nil {
			atRest(u)
			atRest = nil
		}
		u.events <- ev
	})
	u.pool.Dial(1, l.Addr().String())
	if u.executor, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.executor.Close() })
	u.in = bufio.NewReader(u.executor)
	u.next(t)
	return u
}

// readAttempt reads an attempt.
func (u *usedConn) readAttempt() *http.Request {
	u.t.Helper()
	u.executor.SetReadDeadline(time.Now().Add(20 * time.Second))
	m, err := http.ReadRequest(u.in)
	if err != nil {
		u.t.Fatalf("no allocation came after:\n%s", u.out.String())
	}
	if _, err := io.Copy(io.Discard, m.Body); err != nil {
		u.t.Fatalf("the body of an allocation: %v", err)
	}
	return m
}

func (u *usedConn) respond(text string) {
	u.t.Helper()
	if _, err := io.WriteString(u.executor, text); err != nil {
		u.t.Errorf("the executor's answer: %v", err)
	}
}

func (u *usedConn) awaitStop(s *emulator.Stop) {
	u.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		u.t.Fatalf("a call never came where it was to stop, after:\n%s", u.out.String())
	}
}

// end prints events up to the end of the connection.
func (u *usedConn) end() {
	u.t.Helper()
	for {
		if _, over := u.next(u.t).(node.ConnClosed); over {
			return
		}
	}
}

func atMostOnce(id string) node.Attempt {
	a := attempt(id)
	a.NotIdempotent = true
	return a
}

// TestIdleConnDisturbed has the executor close, reset or write on an idle connection, unread, when the next attempt is to be
// written: no byte of it is sent.
func TestIdleConnDisturbed(t *testing.T) {
	text := ""
	for _, c := range []struct {
		title string
		do    func(*usedConn)
	}{
		{"the executor closes", func(u *usedConn) { u.executor.Close() }},
		{"the executor resets", func(u *usedConn) {
			u.executor.(*net.TCPConn).SetLinger(0)
			u.executor.Close()
		}},
		{"a second answer", func(u *usedConn) { u.respond(emptyResponse(stray)) }},
	} {
		var stop *emulator.Stop
		u := use(t, c.title, func(u *usedConn) { stop = u.halts.On(1, emulator.BeforeRead, 0) })
		u.awaitStop(stop)
		c.do(u)
		wrote := u.halts.On(1, emulator.BeforeClose, 0) // the writer gives up by closing
		u.pool.Write(1, atMostOnce("j2"))
		u.awaitStop(wrote)
		wrote.Go()
		stop.Go()
		u.end()
		text += u.out.String()
	}
	golden.Compare(t, "rest-disturbed.txt", text)
}

// TestStaleResponse has a second response to the previous attempt arrive when the next one is about to be written, or has just
// been: for an at-most-once job it proves nothing. Where nothing follows it, it is that attempt's own.
func TestStaleResponse(t *testing.T) {
	text := ""
	for _, c := range []struct {
		title  string
		follow bool
	}{{"the allocation's own answer follows", true}, {"nothing follows", false}} {
		u := use(t, c.title, nil)
		writes := u.halts.On(1, emulator.BeforeWrite, 0)
		u.pool.Write(1, atMostOnce("j2"))
		u.awaitStop(writes)
		reads := u.halts.On(1, emulator.BeforeRead, 0)
		u.respond(emptyResponse(stray))
		u.awaitStop(reads) // the response has been read, and the reader waits for more
		writes.Go()
		u.readAttempt()
		if c.follow {
			u.respond(okResponse(`{"id":"j2","state":"started"}`))
		}
		for l, sent := u.pool.conn(1), false; !sent; time.Sleep(time.Millisecond) {
			l.mu.Lock()
			sent = l.writeDone
			l.mu.Unlock()
		}
		reads.Go()
		if u.next(t); c.follow {
			u.end()
		} else {
			u.next(t)
		}
		text += u.out.String()
	}
	golden.Compare(t, "stray-answer.txt", text)
}

// TestResponseBeforeAttempt has a response come on a connection that is claimed for an attempt of which no byte is written: it
// answers nothing.
func TestResponseBeforeAttempt(t *testing.T) {
	u := use(t, "taken, and not begun", nil)
	l := u.pool.conn(1)
	if !l.claim(atMostOnce("j2")) {
		t.Fatal("it does not rest")
	}
	u.respond(emptyResponse(stray))
	u.end()
	l.write(atMostOnce("j2"))
	if how := <-l.writeEnded; how.started {
		t.Error("a byte of it left all the same")
	}
	golden.Compare(t, "answer-before.txt", u.out.String())
}

// caller is a client that has gone or not when it is checked, after what the test does at that moment.
type caller struct {
	gone bool
	look func()
}

func (c caller) Gone() bool {
	if c.look != nil {
		c.look()
	}
	return c.gone
}

// TestClientGoneAtWrite has a client be gone at the check before its attempt's first byte, on a new connection and on an idle
// one: no byte is sent, and the same connection carries the next attempt, unless the executor has closed it meanwhile.
func TestClientGoneAtWrite(t *testing.T) {
	left := func(id string, look func()) node.Attempt {
		a := atMostOnce(id)
		a.Client = caller{true, look}
		return a
	}
	u := use(t, "at rest", nil)
	u.pool.Write(1, left("j2", nil))
	u.next(t)
	stays := attempt("j3")
	stays.Client = caller{}
	u.pool.Write(1, stays)
	if m := u.readAttempt(); m.Header.Get("X-Call-Id") != "j3" {
		t.Errorf("%s went out", m.Header.Get("X-Call-Id"))
	}
	u.respond(okResponse(`{"id":"j3","state":"done","result":"r"}`))
	u.next(t)
	u.next(t)
	text := u.out.String()

	u.out.Reset()
	u.out.WriteString("at rest, and the executor closes it under the look\n")
	looks, goOn := make(chan struct{}), make(chan struct{})
	u.pool.Write(1, left("j4", func() {
		close(looks)
		<-goOn
	}))
	<-looks
	stop := u.halts.On(1, emulator.BeforeClose, 0)
	u.executor.Close()
	u.awaitStop(stop)
	stop.Go()
	close(goOn)
	u.end()
	text += u.out.String()

	u = dialled(t, "just come up", nil)
	u.pool.Write(1, left("j1", nil))
	u.next(t)
	u.pool.Write(1, stays)
	if m := u.readAttempt(); m.Header.Get("X-Call-Id") != "j3" {
		t.Errorf("%s went out", m.Header.Get("X-Call-Id"))
	}
	golden.Compare(t, "client-gone.txt", text+u.out.String())
}
