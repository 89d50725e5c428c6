package durable_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// frontendStub stands for the frontend of ordinary batch jobs; nothing that it is sent counts here.
type frontendStub struct{}

func (frontendStub) Answer(node.Answer)                    {}
func (frontendStub) SetReady(bool)                         {}
func (frontendStub) UpdateJobClasses([]node.NumberedClass) {}
func (frontendStub) DrainClients(bool)                     {}
func (frontendStub) AcceptConnections(bool)                {}
func (frontendStub) HalveLimits(bool)                      {}
func (frontendStub) Close()                                {}

// upstreamStub stands for the connections to executors, and prints what is written to them.
type upstreamStub struct{ out *strings.Builder }

func (e upstreamStub) Dial(node.ConnID, string)              {}
func (e upstreamStub) Close(c node.ConnID)                   { fmt.Fprintf(e.out, "    to executors: close %d\n", c) }
func (e upstreamStub) CheckHealth(policy.ExecutorID, string) {}
func (e upstreamStub) Write(c node.ConnID, a node.Attempt) {
	fmt.Fprintf(e.out, "    to executors: on %d, %s %s, host %q, content type %q, key %q, epoch %d, body %q\n",
		c, a.ID, a.URI, a.Host, a.ContentType, a.IdempotencyKey, a.Epoch, a.Body)
}

// fixture is a manager with nothing behind it that answers by itself.
type fixture struct {
	t       *testing.T
	out     strings.Builder
	durable *durable.Manager
	front   node.Frontend
	up      node.Upstream
	events  chan node.Event
}

func newFixture(t *testing.T, disk *emulator.Disk, most int64, o durable.Options) *fixture {
	t.Helper()
	s, err := store.Open(disk, store.Options{SegmentBytes: 20000, MaxBytes: most})
	if err != nil {
		t.Fatal(err)
	}
	w := &fixture{t: t, events: make(chan node.Event, 16)}
	keyed := policy.JobClass{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupAllExecutors, DedupWindow: time.Minute, LatencyObjective: time.Second, Deadline: 5 * time.Second}
	dial := func(_ context.Context, addr string) (net.Conn, error) { return w.dial(addr) }
	w.durable = durable.New(o, s, []string{"page", "order", "bill"}, append(classes[:2:2], keyed), dial, zerolog.Nop())
	w.front, w.up = w.durable.Start(func(ev node.Event) { w.events <- ev }, frontendStub{}, upstreamStub{&w.out})
	return w
}

// dial opens a connection to an executor that answers a lease poll as its address says.
func (w *fixture) dial(addr string) (net.Conn, error) {
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		call, err := http.ReadRequest(bufio.NewReader(there))
		if err != nil {
			return
		}
		fmt.Fprintf(&w.out, "    asks %s: %s %s\n", addr, call.Method, call.URL)
		answer := map[string]string{
			"never:1":    "200 OK\r\nContent-Length: 17\r\n\r\n{\"state\":\"never\"}",
			"finished:1": "200 OK\r\nContent-Length: 40\r\n\r\n{\"state\":\"finished\",\"result\":\"ZG9uZQ==\"}",
			"lost:1":     "200 OK\r\nContent-Length: 16\r\n\r\n{\"state\":\"lost\"}",
			"mute:1":     "404 Not Found\r\nContent-Length: 0\r\n\r\n",
		}[addr]
		fmt.Fprint(there, "HTTP/1.1 "+answer)
	}()
	return here, nil
}

// call makes a request and prints the response: status, headers and body.
func (w *fixture) call(title, method, target, body string, heads ...string) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for _, head := range heads {
		key, value, _ := strings.Cut(head, ": ")
		r.Header.Set(key, value)
	}
	answer := httptest.NewRecorder()
	w.durable.ServeHTTP(answer, r)
	w.print(title, answer)
}

func (w *fixture) print(title string, answer *httptest.ResponseRecorder) {
	fmt.Fprintf(&w.out, "%s: %d", title, answer.Code)
	heads := answer.Header()
	for _, key := range slices.Sorted(maps.Keys(heads)) {
		fmt.Fprintf(&w.out, ", %s: %s", key, strings.Join(heads[key], " | "))
	}
	fmt.Fprintf(&w.out, ", %q\n", answer.Body.String())
}

// arrived prints the batch job that the reducer is handed next.
func (w *fixture) arrived() {
	j := (<-w.events).(node.JobArrived).Job
	fmt.Fprintf(&w.out, "    to the reducer: class %d, work %v, budget %v, %s %s %s, host %q, content type %q, key %q, body %q\n",
		j.Class, j.Work, j.Budget, j.ID, j.Method, j.URI, j.Host, j.ContentType, j.IdempotencyKey, j.Body)
}

// The responses of the HTTP handler, each with status, headers and body, and what the reducer and executors are handed.
func TestWire(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
		options := durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{MaxDispatched: 20, AnswerTTL: time.Hour, QueryExecutors: true, QueryInterval: 300 * time.Millisecond}}
		w := newFixture(t, disk, 10<<20, options)
		class, budget := "X-Call-Class: page", "X-Budget-Ms: 60000"
		w.call("before it is ready", http.MethodPut, "/-/jobs/a", "body", class, budget)
		w.front.SetReady(true)
		for _, c := range []struct {
			title, method, target, body string
			heads                       []string
		}{
			{"no id", http.MethodPut, "/-/jobs/", "", nil},
			{"a long id", http.MethodPut, "/-/jobs/" + strings.Repeat("x", 101), "", nil},
			{"a slash in the id", http.MethodPut, "/-/jobs/a/b", "", nil},
			{"another method", http.MethodPost, "/-/jobs/a", "", nil},
			{"a path that is none", http.MethodPut, "/-/jobs/a", "", []string{class, budget, "X-Path: x y"}},
			{"no class", http.MethodPut, "/-/jobs/a", "", []string{budget}},
			{"no key", http.MethodPut, "/-/jobs/a", "", []string{"X-Call-Class: bill", budget}},
			{"a long key", http.MethodPut, "/-/jobs/a", "", []string{class, budget, "Idempotency-Key: " + strings.Repeat("x", 101)}},
			{"no budget", http.MethodPut, "/-/jobs/a", "", []string{class}},
			{"a budget over the limit", http.MethodPut, "/-/jobs/a", "", []string{class, "X-Budget-Ms: 3600001"}},
			{"a cost that is none", http.MethodPut, "/-/jobs/a", "", []string{class, budget, "X-Call-Cost: much"}},
			{"a cost under 0", http.MethodPut, "/-/jobs/a", "", []string{class, budget, "X-Call-Cost: -1"}},
			{"a long body", http.MethodPut, "/-/jobs/a", strings.Repeat("x", 64<<10+1), []string{class, budget}},
			{"a wait that is none", http.MethodGet, "/-/jobs/a?wait_ms=long", "", nil},
			{"a wait under 0", http.MethodGet, "/-/jobs/a?wait_ms=-1", "", nil},
			{"nobody's id", http.MethodGet, "/-/jobs/none", "", nil},
			{"nobody's id, let go", http.MethodDelete, "/-/jobs/none", "", nil},
		} {
			w.call(c.title, c.method, c.target, c.body, c.heads...)
		}
		cut := httptest.NewRequest(http.MethodPut, "/-/jobs/a", io.LimitReader(strings.NewReader("body"), 2))
		cut.ContentLength = 4
		cut.Header.Set("X-Call-Class", "page")
		cut.Header.Set("X-Budget-Ms", "1")
		answer := httptest.NewRecorder()
		w.durable.ServeHTTP(answer, cut)
		w.print("a body that is cut", answer)

		for i, job := range []struct {
			id    string
			heads []string
			final node.Final
		}{
			{"a", []string{class, budget}, node.Succeeded},
			{"b", []string{"X-Call-Class: bill", "X-Budget-Ms: 5000", "Idempotency-Key: k1", "X-Call-Cost: 1500", "Content-Type: text/x", "X-Path: /run?x=1"}, node.Rejected},
			{"c", []string{"X-Call-Class: order", budget}, node.Failed},
		} {
			target := "/-/jobs/" + job.id
			w.call("handed in", http.MethodPut, target, "body", job.heads...)
			w.arrived()
			w.call("the same again", http.MethodPut, target, "body", job.heads...)
			w.call("another body", http.MethodPut, target, "other", job.heads...)
			w.call("its state", http.MethodGet, target, "")
			w.call("let go too early", http.MethodDelete, target, "")
			w.up.Dial(node.ConnID(i+1), "never:1")
			w.up.Write(node.ConnID(i+1), node.Attempt{Request: &node.Request{ID: policy.JobID("durable-" + job.id), URI: "/u", Host: "h", IdempotencyKey: "k", Body: []byte("body")}})
			time.Sleep(time.Second)
			synctest.Wait()
			w.durable.Observe(0, node.AttemptEnded{Conn: node.ConnID(i + 1), Outcome: policy.TimedOut}, nil)
			w.front.Answer(node.Answer{Job: policy.JobID("durable-" + job.id), Final: job.final, Result: []byte("result " + job.id)})
			w.call("its final answer", http.MethodGet, target+"?wait_ms=5000", "")
			w.call("let go", http.MethodDelete, target, "")
		}
		w.call("handed in", http.MethodPut, "/-/jobs/e", "body", class, budget)
		w.arrived()
		w.front.Answer(node.Answer{Job: "durable-e", Final: node.Rejected})
		w.call("rejected, never sent", http.MethodGet, "/-/jobs/e?wait_ms=5000", "")
		w.call("waited for in vain", http.MethodPut, "/-/jobs/d", "", class, budget)
		w.arrived()
		w.call("its state after a wait", http.MethodGet, "/-/jobs/d?wait_ms=100", "")
		disk.Slow(10 * time.Second)
		acknowledged := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			r := httptest.NewRequest(http.MethodPut, "/-/jobs/f", strings.NewReader("body"))
			r.Header.Set("X-Call-Class", "page")
			r.Header.Set("X-Budget-Ms", "60000")
			answer := httptest.NewRecorder()
			w.durable.ServeHTTP(answer, r)
			acknowledged <- answer
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		w.call("handed in again while it is written", http.MethodPut, "/-/jobs/f", "body", class, budget)
		w.call("its state while it is written", http.MethodGet, "/-/jobs/f", "")
		w.print("handed in, on a slow disk", <-acknowledged)
		w.arrived()
		if err := w.durable.Close(); err != nil {
			t.Error(err)
		}
		full := newFixture(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), 20, options)
		full.front.SetReady(true)
		full.call("the last that finds room", http.MethodPut, "/-/jobs/a", "body", class, budget)
		full.arrived()
		full.call("a store that is full", http.MethodPut, "/-/jobs/b", "body", class, budget)
		if err := full.durable.Close(); err != nil {
			t.Error(err)
		}
		broken := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
		last := newFixture(t, broken, 10<<20, options)
		last.front.SetReady(true)
		broken.FailSync = 1
		last.call("a store that is broken", http.MethodPut, "/-/jobs/a", "body", class, budget)
		fmt.Fprintf(&last.out, "its end: %v\n", last.durable.Close())
		golden.Compare(t, "wire.txt", w.out.String()+full.out.String()+last.out.String())
	})
}

// How executors are polled about attempts of an earlier incarnation, and what their answers come to.
func TestLeaseWire(t *testing.T) {
	var out strings.Builder
	for _, addr := range []string{"never:1", "finished:1", "lost:1", "mute:1", "nothing:1"} {
		synctesting.Test(t, func(t *testing.T) {
			disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
			options := durable.Options{MaxDeadline: time.Hour, Leases: leases.Settings{MaxDispatched: 20, AnswerTTL: time.Hour, QueryExecutors: true, QueryInterval: 30 * time.Second}}
			w := newFixture(t, disk, 10<<20, options)
			endpoints := node.EndpointsUpdated{Endpoints: []node.Endpoint{{Endpoint: policy.Endpoint{Executor: "e0"}, Addr: addr}}}
			w.durable.Observe(0, endpoints, nil)
			w.front.SetReady(true)
			w.call("handed in", http.MethodPut, "/-/jobs/a", "body", "X-Call-Class: order", "X-Budget-Ms: 60000")
			w.arrived()
			w.up.Dial(1, addr)
			w.up.Write(1, node.Attempt{Request: &node.Request{ID: "durable-a", URI: "/u"}})
			time.Sleep(time.Second)
			synctest.Wait()
			disk.Crash()
			fmt.Fprintf(&w.out, "its end after the crash: %v\n", w.durable.Close())
			next := newFixture(t, disk, 10<<20, options)
			next.durable.Observe(0, endpoints, nil)
			next.front.SetReady(true)
			time.Sleep(time.Second)
			synctest.Wait()
			next.call("its state after a restart", http.MethodGet, "/-/jobs/a", "")
			fmt.Fprintf(&out, "an executor at %s\n%s%s", addr, w.out.String(), next.out.String())
			if err := next.durable.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	golden.Compare(t, "lease-wire.txt", out.String())
}
