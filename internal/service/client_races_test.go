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

// testNode is a complete node on real connections, with one executor that discovery lists in a state that the test sets.
type testNode struct {
	t        *testing.T
	listen   string
	dials    chan chan struct{} // each dial to the executor stops until its channel is closed
	state    chan policy.EndpointState
	halts    emulator.Halts // of clients' connections
	loopStop atomic.Pointer[loopStop]

	mu              sync.Mutex
	ran             map[policy.JobID]int
	left, lists, up int // events that the reducer has handled
	writes          int // attempts that it has sent
	unsent          int // of those, not sent as the client had gone
	over            chan error
	stop            context.CancelFunc
}

func listener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func start(t *testing.T, first policy.EndpointState, repeat string) *testNode {
	w := &testNode{t: t, ran: map[policy.JobID]int{}, over: make(chan error, 1), state: make(chan policy.EndpointState, 1), dials: make(chan chan struct{}, 10)}
	at := listener(t)
	go (&platform.Executor{ID: "e", RunTime: func() time.Duration { return time.Millisecond }, OnEffect: func(job policy.JobID) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ran[job]++
	}}).Serve(at)
	list := listener(t)
	go w.discovery(list, emulator.Entry{Addr: at.Addr().String(), Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true, State: first}})
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
		w.over <- service.Run(ctx, service.Options{Settings: s, StartTime: time.Now(), Listener: w.halts.Listener(l), DiscoveryAddr: list.Addr().String(), Log: zerolog.Nop(),
			ClientLimits: frontend.ConnLimits{Max: 300, MaxShared: 150}, Policy: policy.New(s.Policy),
			DialExecutor: func(ctx context.Context, _ node.ConnID, addr string) (net.Conn, error) {
				goOn := make(chan struct{})
				select {
				case w.dials <- goOn:
					<-goOn
				default:
				}
				return tcp.DialContext(ctx, "tcp", addr)
			},
			Observer: func(_ time.Duration, ev node.Event, effects []node.Effect) {
				if slices.ContainsFunc(effects, func(e node.Effect) bool { _, ok := e.(node.WriteAttempt); return ok }) {
					if l := w.loopStop.Swap(nil); l != nil {
						close(l.reached)
						<-l.goOn
					}
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				switch ev.(type) {
				case node.ClientLeft:
					w.left++
				case node.EndpointsUpdated:
					w.lists++
				case node.ConnReady:
					w.up++
				case node.AttemptNotSent:
					w.unsent++
				}
				for _, e := range effects {
					if _, ok := e.(node.WriteAttempt); ok {
						w.writes++
					}
				}
			},
			Limits: node.Limits{Quantum: time.Millisecond, MaxIdle: time.Minute, DialTimeout: 10 * time.Second, MaxConns: 100, MaxConnsShared: 50, MaxBodyBytes: 1 << 20,
				MaxWork: time.Hour, LameDuckPeriod: 10 * time.Millisecond, ShutdownTimeout: 10 * time.Second}}, nil)
	}()
	w.until("it is ready", func() bool {
		a, err := http.Get("http://" + w.listen + "/-/ready")
		if err != nil {
			return false
		}
		a.Body.Close()
		return a.StatusCode == http.StatusOK
	})
	return w
}

// discovery lists one executor; a watch waits for its next state.
func (w *testNode) discovery(l net.Listener, e emulator.Entry) {
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
				case e.State = <-w.state:
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

func (w *testNode) until(what string, so func() bool) {
	w.t.Helper()
	for by := time.Now().Add(20 * time.Second); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

// submit writes a batch job on a connection of its own.
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

// awaitHandled waits for the answer.
func (w *testNode) awaitHandled(c net.Conn) {
	w.t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || a.StatusCode != http.StatusOK {
		w.t.Fatalf("no result: %v, %v", a, err)
	}
}

// ranOnly checks that nothing ran but the batch jobs of clients that still waited.
func (w *testNode) ranOnly(id policy.JobID) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for job, n := range w.ran {
		if job != id || n != 1 {
			w.t.Errorf("%s ran %d times", job, n)
		}
	}
}

func (w *testNode) awaitLeft(n int) {
	w.t.Helper()
	w.until("the node has heard that its clients left", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.left == n
	})
}

// TestClientsLeaveWhileQueued has a hundred clients leave at once while their batch jobs are queued: none of those is sent, the
// one of a client that stays is.
func TestClientsLeaveWhileQueued(t *testing.T) {
	end := func(conns []net.Conn, more string) {
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
		w := start(t, policy.Draining, "repeatable")
		var leave []net.Conn
		for i := range 100 {
			leave = append(leave, w.submit(fmt.Sprint("leaves-", i)))
		}
		stays := w.submit("stays")
		end(leave, more)
		w.awaitLeft(100)
		w.state <- policy.Available
		go func() {
			for goOn := range w.dials {
				close(goOn)
			}
		}()
		w.awaitHandled(stays)
		w.ranOnly("stays")
		w.stop()
		if err := <-w.over; err != nil {
			t.Error(err)
		}
	}
}

// leaving are the ways in which a node may learn late that a client has left.
var leaving = []struct {
	name  string
	leave func(*testNode, net.Conn) (after func())
}{
	{"the front does not come to its end, which lies unread", func(w *testNode, c net.Conn) func() {
		stop := w.halts.At(emulator.AfterRead, 0) // nobody else sends anything now
		c.Close()
		w.awaitStop(stop)
		return stop.Go
	}},
	{"it only ends its sending, and has read that it is broken off", func(w *testNode, c net.Conn) func() {
		w.endsSending(c)
		return func() {}
	}},
}

func (w *testNode) awaitStop(s *emulator.Stop) {
	w.t.Helper()
	select {
	case <-s.Reached:
	case <-time.After(20 * time.Second):
		w.t.Fatal("a call never came where it was to stop")
	}
}

// endsSending has a client half-close its connection and read the failure: the server has posted the event by then.
func (w *testNode) endsSending(c net.Conn) {
	w.t.Helper()
	c.(*net.TCPConn).CloseWrite()
	if a, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || a.StatusCode < 500 {
		w.t.Fatalf("not broken off: %v, %v", a, err)
	}
}

// loopStop stops the reducer's loop before it carries out the next write.
type loopStop struct{ reached, goOn chan struct{} }

func (w *testNode) stopLoopBeforeWrite() *loopStop {
	l := &loopStop{make(chan struct{}), make(chan struct{})}
	w.loopStop.Store(l)
	return l
}

func (w *testNode) awaitLoopStop(l *loopStop) {
	w.t.Helper()
	select {
	case <-l.reached:
	case <-time.After(20 * time.Second):
		w.t.Fatal("nothing was to be written")
	}
}

// TestClientLeavesUnderWrite has a client leave when the write of its batch job is decided and not carried out: no byte is
// sent, and the next batch job goes out on the same connection.
func TestClientLeavesUnderWrite(t *testing.T) {
	for _, l := range leaving {
		t.Run(l.name, func(t *testing.T) {
			w := start(t, policy.Available, "once")
			loop := w.stopLoopBeforeWrite()
			leaves := w.submit("leaves")
			close(<-w.dials)
			w.awaitLoopStop(loop)
			after := l.leave(w, leaves)
			close(loop.goOn)
			w.awaitHandled(w.submit("stays"))
			after()
			w.awaitLeft(1)
			w.ranOnly("stays")
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.unsent != 1 || w.up != 1 {
				t.Errorf("%d attempts were called off, %d connections came up, not one", w.unsent, w.up)
			}
		})
	}
}

// TestClientsLeaveUnderStoppedLoop has clients leave at once while the loop is stopped before the first write: none of their
// batch jobs is sent.
func TestClientsLeaveUnderStoppedLoop(t *testing.T) {
	w := start(t, policy.Available, "once")
	loop := w.stopLoopBeforeWrite()
	var leave []net.Conn
	for i := range 100 {
		leave = append(leave, w.submit(fmt.Sprint("leaves-", i)))
	}
	go func() {
		for goOn := range w.dials {
			close(goOn)
		}
	}()
	w.awaitLoopStop(loop)
	for _, c := range leave {
		w.endsSending(c)
	}
	close(loop.goOn)
	w.awaitHandled(w.submit("stays"))
	w.awaitLeft(100)
	w.ranOnly("stays")
}

// TestClientLeavesUnreadWhileDialling has a connection open after the client has left, which the server has not read: nothing is
// sent.
func TestClientLeavesUnreadWhileDialling(t *testing.T) {
	w := start(t, policy.Available, "once")
	leaves := w.submit("leaves")
	goOn := <-w.dials
	stop := w.halts.At(emulator.AfterRead, 0)
	leaves.Close()
	w.awaitStop(stop)
	close(goOn)
	w.awaitHandled(w.submit("stays"))
	stop.Go()
	w.awaitLeft(1)
	w.ranOnly("stays")
}

// TestClientLeavesWhileDialling has a client leave while the connection for its batch job is dialed: nothing is sent.
func TestClientLeavesWhileDialling(t *testing.T) {
	w := start(t, policy.Available, "once")
	leaves := w.submit("leaves")
	goOn := <-w.dials
	leaves.Close()
	w.awaitLeft(1)
	close(goOn)
	go func() {
		for goOn := range w.dials {
			close(goOn)
		}
	}()
	w.awaitHandled(w.submit("stays"))
	w.ranOnly("stays")
}

// TestDrainWhileDialling has discovery list the executor as draining while the connection is dialed: nothing is sent on it, and
// the batch job goes there once the executor is available again.
func TestDrainWhileDialling(t *testing.T) {
	w := start(t, policy.Available, "once")
	stays := w.submit("stays")
	goOn := <-w.dials
	w.mu.Lock()
	lists := w.lists
	w.mu.Unlock()
	w.state <- policy.Draining
	w.until("the drain is taken in", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.lists > lists
	})
	close(goOn)
	w.until("the connection is up", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.up > 0
	})
	w.mu.Lock()
	if w.writes > 0 {
		t.Error("an allocation went out to an executor that drains")
	}
	w.mu.Unlock()
	go func() {
		for goOn := range w.dials {
			close(goOn)
		}
	}()
	w.state <- policy.Available
	w.awaitHandled(stays)
	w.ranOnly("stays")
}
