package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/node"
)

// haltableConn is the only connection of a pool, with halts on its calls, and the executor's end of it.
type haltableConn struct {
	printer
	t        *testing.T
	halts    emulator.Breakpoints
	pool     *Pool
	executor net.Conn
	in       *bufio.Reader
}

const (
	doneLine     = `{"id":"j1","state":"done","result":"r"}`
	rejectedHead = "503 Service Unavailable\r\nX-Rejected: 1"
)

// newUsedConn returns an idle connection that has carried one attempt. It calls onIdle, if not nil, when the connection becomes
// idle, before its reader goes on.
func newUsedConn(t *testing.T, title string, onIdle func(*haltableConn)) *haltableConn {
	u := newConn(t, title, onIdle)
	u.pool.Write(1, attempt("j1"))
	u.readAttempt()
	u.respond(okResponse(doneLine))
	u.printNext(t)
	u.printNext(t)
	return u
}

// newConn returns an open connection that has carried no attempt yet. It uses onIdle as newUsedConn does.
func newConn(t *testing.T, title string, onIdle func(*haltableConn)) *haltableConn {
	u := &haltableConn{t: t, printer: printer{events: make(chan node.Event, 100), details: true}}
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
		if _, idle := ev.(node.ConnIdle); idle && onIdle != nil {
			onIdle(u)
			onIdle = nil
		}
		u.events <- ev
	})
	u.pool.Dial(1, l.Addr().String())
	if u.executor, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.executor.Close() })
	u.in = bufio.NewReader(u.executor)
	u.printNext(t)
	return u
}

// readAttempt reads an attempt at the executor's end.
func (u *haltableConn) readAttempt() *http.Request {
	u.t.Helper()
	u.executor.SetReadDeadline(time.Now().Add(20 * time.Second))
	m, err := http.ReadRequest(u.in)
	if err != nil {
		u.t.Fatalf("no attempt arrives after:\n%s", u.out.String())
	}
	if _, err := io.Copy(io.Discard, m.Body); err != nil {
		u.t.Fatalf("reading the body of an attempt: %v", err)
	}
	return m
}

// respond writes a response at the executor's end.
func (u *haltableConn) respond(text string) {
	u.t.Helper()
	if _, err := io.WriteString(u.executor, text); err != nil {
		u.t.Errorf("writing a response: %v", err)
	}
}

// awaitStop waits until a call has reached a stop.
func (u *haltableConn) awaitStop(s *emulator.Breakpoint) {
	u.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		u.t.Fatalf("no call reaches the stop after:\n%s", u.out.String())
	}
}

// printUntilClosed prints events up to the end of the connection.
func (u *haltableConn) printUntilClosed() {
	u.t.Helper()
	for {
		if _, closed := u.printNext(u.t).(node.ConnClosed); closed {
			return
		}
	}
}

// atMostOnce returns an attempt of an at-most-once job.
func atMostOnce(id string) node.Attempt {
	a := attempt(id)
	a.NotIdempotent = true
	return a
}

// TestIdleConnDisturbed has the executor close or reset an idle connection or write on it, which is still unread when the next
// attempt is to be written. No byte of the attempt may be sent.
func TestIdleConnDisturbed(t *testing.T) {
	text := ""
	for _, c := range []struct {
		title string
		do    func(*haltableConn)
	}{
		{"the executor closes", func(u *haltableConn) { u.executor.Close() }},
		{"the executor resets", func(u *haltableConn) {
			u.executor.(*net.TCPConn).SetLinger(0)
			u.executor.Close()
		}},
		{"a second response", func(u *haltableConn) { u.respond(emptyResponse(rejectedHead)) }},
	} {
		var stop *emulator.Breakpoint
		u := newUsedConn(t, c.title, func(u *haltableConn) { stop = u.halts.OnConn(1, emulator.BeforeRead, 0) })
		u.awaitStop(stop)
		c.do(u)
		closes := u.halts.OnConn(1, emulator.BeforeClose, 0) // the writer closes the connection instead of writing
		u.pool.Write(1, atMostOnce("j2"))
		u.awaitStop(closes)
		closes.Release()
		stop.Release()
		u.printUntilClosed()
		text += u.out.String()
	}
	golden.Compare(t, "idle-conn-disturbed.txt", text)
}

// TestStaleResponse guards against a job that must not run twice and does: a rejection that arrives on a used connection may be a second
// response to an attempt before, so it does not prove that this attempt never ran. That holds whether or not another response follows:
// silence proves nothing, as the attempt's own response can take any time. Only if no byte of the attempt was sent did it never run.
func TestStaleResponse(t *testing.T) {
	beside := newUsedConn(t, "beside the write", nil)
	writes := beside.halts.OnConn(1, emulator.BeforeWrite, 0)
	beside.pool.Write(1, atMostOnce("j2"))
	beside.awaitStop(writes)
	beside.respond(emptyResponse(rejectedHead))
	for conn, closed := beside.pool.conn(1), false; !closed; time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		closed = conn.closed
		conn.mu.Unlock()
	}
	writes.Release()
	beside.printUntilClosed()
	text := beside.out.String()
	for _, follow := range []bool{true, false} {
		u := newUsedConn(t, fmt.Sprintf("after the write, another response follows: %t", follow), nil)
		u.pool.Write(1, atMostOnce("j2"))
		u.readAttempt()
		response := emptyResponse(rejectedHead)
		if follow {
			response += okResponse(`{"id":"j2","state":"started"}`)
		}
		u.respond(response)
		u.printUntilClosed()
		text += u.out.String()
	}
	golden.Compare(t, "stale-response.txt", text)
}

// TestRejectionProvesNeverRan has an attempt of an at-most-once job rejected where the rejection can belong to no other attempt: by a
// status on a connection that has carried none before, and by a line that names the job. The job may then be retried.
func TestRejectionProvesNeverRan(t *testing.T) {
	unused := newConn(t, "status on an unused connection", nil)
	unused.pool.Write(1, atMostOnce("j2"))
	unused.readAttempt()
	unused.respond(emptyResponse(rejectedHead))
	unused.printUntilClosed()
	used := newUsedConn(t, "line on a used connection", nil)
	used.pool.Write(1, atMostOnce("j2"))
	used.readAttempt()
	used.respond(okResponse(`{"id":"j2","state":"returned"}`))
	used.printUntilClosed()
	golden.Compare(t, "rejection-proves.txt", unused.out.String()+used.out.String())
}

// TestResponseBeforeAttempt has a response arrive on a connection that is claimed for an attempt, before the first byte of that is
// written. The response must not count as the attempt's, and no byte may be sent.
func TestResponseBeforeAttempt(t *testing.T) {
	u := newUsedConn(t, "claimed, and not written", nil)
	conn := u.pool.conn(1)
	if !conn.claim(atMostOnce("j2")) {
		t.Fatal("the connection can't be claimed")
	}
	u.respond(emptyResponse(rejectedHead))
	u.printUntilClosed()
	conn.write(atMostOnce("j2"))
	if result := <-conn.writeEnded; result.started {
		t.Error("a byte of the attempt was sent")
	}
	golden.Compare(t, "response-before-attempt.txt", u.out.String())
}

// fakeClient is a client that has left or not. It calls onCheck, if not nil, when it is asked for that.
type fakeClient struct {
	gone    bool
	onCheck func()
}

func (c fakeClient) State() node.ClientState {
	if c.onCheck != nil {
		c.onCheck()
	}
	if c.gone {
		return node.ClientGone
	}
	return node.ClientWaits
}

// TestClientGoneAtWrite has the client gone at the check before its attempt's first byte, on a new connection and on an idle one.
// No byte may be sent, and the connection must carry the next attempt, unless the executor has closed it meanwhile.
func TestClientGoneAtWrite(t *testing.T) {
	goneAttempt := func(id string, onCheck func()) node.Attempt {
		a := atMostOnce(id)
		a.Client = fakeClient{true, onCheck}
		return a
	}
	u := newUsedConn(t, "idle connection", nil)
	u.pool.Write(1, goneAttempt("j2", nil))
	u.printNext(t)
	stays := attempt("j3")
	stays.Client = fakeClient{}
	u.pool.Write(1, stays)
	if m := u.readAttempt(); m.Header.Get("X-Call-Id") != "j3" {
		t.Errorf("attempt of %s was sent, want j3", m.Header.Get("X-Call-Id"))
	}
	u.respond(okResponse(`{"id":"j3","state":"done","result":"r"}`))
	u.printNext(t)
	u.printNext(t)
	text := u.out.String()

	u.out.Reset()
	u.out.WriteString("idle connection, which the executor closes during the check\n")
	checking, proceed := make(chan struct{}), make(chan struct{})
	u.pool.Write(1, goneAttempt("j4", func() {
		close(checking)
		<-proceed
	}))
	<-checking
	stop := u.halts.OnConn(1, emulator.BeforeClose, 0)
	u.executor.Close()
	u.awaitStop(stop)
	stop.Release()
	close(proceed)
	u.printUntilClosed()
	text += u.out.String()

	u = newConn(t, "new connection", nil)
	u.pool.Write(1, goneAttempt("j1", nil))
	u.printNext(t)
	u.pool.Write(1, stays)
	if m := u.readAttempt(); m.Header.Get("X-Call-Id") != "j3" {
		t.Errorf("attempt of %s was sent, want j3", m.Header.Get("X-Call-Id"))
	}
	golden.Compare(t, "client-gone.txt", text+u.out.String())
}
