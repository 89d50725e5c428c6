package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/frontend"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/policy"
)

// testNode is a complete node on real connections, with one executor. The test sets the state in which discovery lists it.
type testNode struct {
	t             *testing.T
	listen        string
	pendingDials  chan chan struct{}        // each dial to the executor sends a channel, and blocks until that is closed
	endpointState chan policy.EndpointState // the next state in which discovery lists the executor
	halts         emulator.Breakpoints      // stop calls of the clients' connections
	loopStop      atomic.Pointer[loopStop]
	runTime       atomic.Int64 // how long the executor takes for an attempt, in nanoseconds

	mu                                    sync.Mutex
	runs                                  map[policy.JobID]int
	clientsLeft, listUpdates, connsOpened int // numbers of events that the state machine has processed
	attemptsSent                          int // attempts that the state machine has sent
	attemptsNotSent                       int // of those, attempts that were not written because the client had left
	ended                                 chan error
	stop                                  context.CancelFunc
}

// listener returns a listener on a free port.
func listener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// startNode starts a node and waits until it is ready. first is the first state of the executor, repeat the setting of the only
// job class that says how often its jobs may run.
func startNode(t *testing.T, first policy.EndpointState, repeat string) *testNode {
	w := &testNode{t: t, runs: map[policy.JobID]int{}, ended: make(chan error, 1), endpointState: make(chan policy.EndpointState, 1), pendingDials: make(chan chan struct{}, 10)}
	at := listener(t)
	w.runTime.Store(int64(time.Millisecond))
	go (&platform.Executor{ID: "e", RunTime: func() time.Duration { return time.Duration(w.runTime.Load()) }, OnEffect: func(job policy.JobID) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.runs[job]++
	}}).Serve(at)
	list := listener(t)
	go w.serveDiscovery(list, emulator.Entry{Addr: at.Addr().String(), Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true, State: first}})
	s, err := config.ReadSettings([]byte(`{"balancers":1,"areas":["z"],"flavors":["plain"],"caps":{"max-allocations":3},"domain":{"tells-start":true},
		"tracks":[{"name":"page","quoted-time-s":20,"outer-limit-s":40,"late-earnings":0.5,"repeat":"` + repeat + `","earnings":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l := listener(t)
	w.listen = l.Addr().String()
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	t.Cleanup(w.stop)
	tcp := net.Dialer{}
	go func() {
		w.ended <- service.Run(ctx, service.Options{Settings: s, StartTime: time.Now(), Listener: w.halts.Listener(l), DiscoveryAddr: list.Addr().String(), Log: zerolog.Nop(),
			ClientLimits: frontend.ConnLimits{Max: 300, MaxShared: 150}, Policy: policy.New(s.Policy),
			DialExecutor: func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
				proceed := make(chan struct{})
				select {
				case w.pendingDials <- proceed:
					<-proceed
				default:
				}
				return tcp.DialContext(ctx, "tcp", addr)
			},
			Observer: func(_ time.Duration, ev node.Event, effects []node.Effect) {
				if slices.ContainsFunc(effects, func(e node.Effect) bool { _, ok := e.(node.WriteAttempt); return ok }) {
					if l := w.loopStop.Swap(nil); l != nil {
						close(l.reached)
						<-l.proceed
					}
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				switch ev.(type) {
				case node.ClientLeft:
					w.clientsLeft++
				case node.EndpointsUpdated:
					w.listUpdates++
				case node.ConnReady:
					w.connsOpened++
				case node.AttemptNotSent:
					w.attemptsNotSent++
				}
				for _, e := range effects {
					if _, ok := e.(node.WriteAttempt); ok {
						w.attemptsSent++
					}
				}
			},
			Limits: node.Limits{Quantum: time.Millisecond, MaxIdle: time.Minute, DialTimeout: 10 * time.Second, MaxConns: 100, MaxConnsShared: 50, MaxBodyBytes: 1 << 20,
				MaxWork: time.Hour, LameDuckPeriod: 10 * time.Millisecond, ShutdownTimeout: 10 * time.Second}}, nil)
	}()
	w.waitUntil("the node is ready", func() bool {
		a, err := http.Get("http://" + w.listen + "/-/ready")
		if err != nil {
			return false
		}
		a.Body.Close()
		return a.StatusCode == http.StatusOK
	})
	return w
}

// serveDiscovery serves an endpoint list with one executor. A watch is answered when the test changes the executor's state.
func (w *testNode) serveDiscovery(l net.Listener, e emulator.Entry) {
	seq := 1
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		for {
			ask, err := platform.ReadWatch(in)
			if err != nil {
				break
			}
			entries := []emulator.Entry{e}
			if !ask.Complete {
				select {
				case e.State = <-w.endpointState:
					seq++
					entries = []emulator.Entry{e}
				case <-time.After(ask.Hold):
					entries = nil
				}
			}
			if _, err := c.Write(platform.AppendList(nil, seq, ask.Complete, entries, []string{"z"}, time.Now())); err != nil {
				break
			}
		}
		c.Close()
	}
}

// waitUntil waits until a condition holds.
func (w *testNode) waitUntil(what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatalf("timeout while waiting until %s", what)
		}
	}
}

// submit sends a batch job on a new connection.
func (w *testNode) submit(id string) net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.listen)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: %s\r\nX-Call-Class: page\r\nX-Budget-Ms: 40000\r\nContent-Length: 0\r\n\r\n", id)
	return c
}

// awaitResult reads the answer to a batch job, which must be a result.
func (w *testNode) awaitResult(c net.Conn) {
	w.t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || a.StatusCode != http.StatusOK {
		w.t.Fatalf("answer %v, error %v, want status 200", a, err)
	}
}

// checkRanOnly checks that no batch job but this one ran, and that it ran at most once.
func (w *testNode) checkRanOnly(id policy.JobID) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for job, n := range w.runs {
		if job != id || n != 1 {
			w.t.Errorf("%s ran %d times, want only %s to run, and once", job, n, id)
		}
	}
}

// awaitClientsLeft waits until the state machine has processed that n clients have left.
func (w *testNode) awaitClientsLeft(n int) {
	w.t.Helper()
	w.waitUntil("the node has noticed that its clients left", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.clientsLeft == n
	})
}

// TestClientsLeaveWhileQueued has a hundred clients leave at once while their batch jobs are queued. Only the batch job of a
// client that stays may be sent.
func TestClientsLeaveWhileQueued(t *testing.T) {
	// leave sends more on each connection and then closes all of them.
	leave := func(conns []net.Conn, more string) {
		for _, c := range conns {
			if more != "" {
				if _, err := c.Write([]byte(more)); err != nil {
					t.Error(err)
				}
			}
		}
		for _, c := range conns {
			c.Close()
		}
	}
	for _, more := range []string{"", "P", strings.Repeat("POST /y HTTP/1.1\r\n", 300)} {
		w := startNode(t, policy.Draining, "repeatable")
		var leaving []net.Conn
		for i := range 100 {
			leaving = append(leaving, w.submit(fmt.Sprint("leaves-", i)))
		}
		stays := w.submit("stays")
		leave(leaving, more)
		w.awaitClientsLeft(100)
		w.endpointState <- policy.Available
		go func() {
			for proceed := range w.pendingDials {
				close(proceed)
			}
		}()
		w.awaitResult(stays)
		w.checkRanOnly("stays")
		w.stop()
		if err := <-w.ended; err != nil {
			t.Error(err)
		}
	}
}

// lateDetections are two ways for a client to leave that the state machine processes late.
var lateDetections = []struct {
	name  string
	leave func(*testNode, net.Conn) (after func())
}{
	{"the server does not read the close", func(w *testNode, c net.Conn) func() {
		stop := w.halts.At(emulator.AfterRead, 0) // only this client's connection reads now
		c.Close()
		w.awaitStop(stop)
		return stop.Release
	}},
	{"the client half-closes its connection and reads the failure", func(w *testNode, c net.Conn) func() {
		w.halfClose(c)
		return func() {}
	}},
}

// awaitStop waits until a call has reached a stop.
func (w *testNode) awaitStop(s *emulator.Breakpoint) {
	w.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		w.t.Fatal("no call reaches the stop")
	}
}

// halfClose has a client half-close its connection and read the failure. The server has then posted that the client has left.
func (w *testNode) halfClose(c net.Conn) {
	w.t.Helper()
	c.(*net.TCPConn).CloseWrite()
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode < 500 {
		w.t.Fatalf("answer %v, error %v, want a status of at least 500", a, err)
	}
}

// loopStop stops the event loop before it carries out the next effect that writes an attempt.
type loopStop struct{ reached, proceed chan struct{} }

// stopLoopBeforeWrite makes the event loop stop before its next write of an attempt.
func (w *testNode) stopLoopBeforeWrite() *loopStop {
	l := &loopStop{make(chan struct{}), make(chan struct{})}
	w.loopStop.Store(l)
	return l
}

// awaitLoopStop waits until the event loop has stopped.
func (w *testNode) awaitLoopStop(l *loopStop) {
	w.t.Helper()
	select {
	case <-l.reached:
	case <-time.After(20 * time.Second):
		w.t.Fatal("no attempt is to be written")
	}
}

// TestClientLeavesBeforeWrite has a client leave after the state machine has decided to write its batch job, and before that is
// carried out. No byte may be sent, and the next batch job must use the same connection.
func TestClientLeavesBeforeWrite(t *testing.T) {
	for _, l := range lateDetections {
		t.Run(l.name, func(t *testing.T) {
			w := startNode(t, policy.Available, "once")
			loop := w.stopLoopBeforeWrite()
			leaves := w.submit("leaves")
			close(<-w.pendingDials)
			w.awaitLoopStop(loop)
			after := l.leave(w, leaves)
			close(loop.proceed)
			w.awaitResult(w.submit("stays"))
			after()
			w.awaitClientsLeft(1)
			w.checkRanOnly("stays")
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.attemptsNotSent != 1 || w.connsOpened != 1 {
				t.Errorf("%d attempts not sent and %d connections opened, want one each", w.attemptsNotSent, w.connsOpened)
			}
		})
	}
}

// TestClientsLeaveWhileLoopIsStopped has clients leave while the event loop is stopped before the first write. None of their
// batch jobs may be sent.
func TestClientsLeaveWhileLoopIsStopped(t *testing.T) {
	w := startNode(t, policy.Available, "once")
	loop := w.stopLoopBeforeWrite()
	var leaving []net.Conn
	for i := range 100 {
		leaving = append(leaving, w.submit(fmt.Sprint("leaves-", i)))
	}
	go func() {
		for proceed := range w.pendingDials {
			close(proceed)
		}
	}()
	w.awaitLoopStop(loop)
	for _, c := range leaving {
		w.halfClose(c)
	}
	close(loop.proceed)
	w.awaitResult(w.submit("stays"))
	w.awaitClientsLeft(100)
	w.checkRanOnly("stays")
}

// TestClientLeavesUnnoticedWhileDialing has the connection to the executor open after the client has left, while the server has not
// read the client's close. Nothing may be sent.
func TestClientLeavesUnnoticedWhileDialing(t *testing.T) {
	w := startNode(t, policy.Available, "once")
	leaves := w.submit("leaves")
	proceed := <-w.pendingDials
	stop := w.halts.At(emulator.AfterRead, 0)
	leaves.Close()
	w.awaitStop(stop)
	close(proceed)
	w.awaitResult(w.submit("stays"))
	stop.Release()
	w.awaitClientsLeft(1)
	w.checkRanOnly("stays")
}

// TestClientLeavesWhileDialing has a client leave while the connection for its batch job is dialed. Nothing may be sent.
func TestClientLeavesWhileDialing(t *testing.T) {
	w := startNode(t, policy.Available, "once")
	leaves := w.submit("leaves")
	proceed := <-w.pendingDials
	leaves.Close()
	w.awaitClientsLeft(1)
	close(proceed)
	go func() {
		for proceed := range w.pendingDials {
			close(proceed)
		}
	}()
	w.awaitResult(w.submit("stays"))
	w.checkRanOnly("stays")
}

// TestDrainWhileDialing has discovery list the executor as draining while a connection to it is dialed. Nothing may be sent to it
// until it is available again, and the batch job must be sent then.
func TestDrainWhileDialing(t *testing.T) {
	w := startNode(t, policy.Available, "once")
	stays := w.submit("stays")
	proceed := <-w.pendingDials
	w.mu.Lock()
	lists := w.listUpdates
	w.mu.Unlock()
	w.endpointState <- policy.Draining
	w.waitUntil("the state machine has processed the drain", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.listUpdates > lists
	})
	close(proceed)
	w.waitUntil("the connection is open", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.connsOpened > 0
	})
	w.mu.Lock()
	if w.attemptsSent > 0 {
		t.Error("an attempt was sent to a draining executor")
	}
	w.mu.Unlock()
	go func() {
		for proceed := range w.pendingDials {
			close(proceed)
		}
	}()
	w.endpointState <- policy.Available
	w.awaitResult(stays)
	w.checkRanOnly("stays")
}
