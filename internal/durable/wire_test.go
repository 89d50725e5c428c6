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

// frontendStub is a frontend that ignores all calls.
type frontendStub struct{}

func (frontendStub) Answer(node.Answer)                    {}
func (frontendStub) SetReady(bool)                         {}
func (frontendStub) UpdateJobClasses([]node.NumberedClass) {}
func (frontendStub) DrainClients(bool)                     {}
func (frontendStub) AcceptConnections(bool)                {}
func (frontendStub) HalveLimits(bool)                      {}
func (frontendStub) Close()                                {}

// upstreamStub is an upstream that prints the attempts that are sent and the connections that are closed.
type upstreamStub struct{ *fixture }

func (e upstreamStub) Dial(node.ConnID, string)              {}
func (e upstreamStub) Close(c node.ConnID)                   { fmt.Fprintf(&e.out, "    to executors: close %d\n", c) }
func (e upstreamStub) CheckHealth(policy.ExecutorID, string) {}
func (e upstreamStub) Write(c node.ConnID, a node.Attempt) {
	e.budgets = append(e.budgets, a.Budget)
	e.sent = append(e.sent, a)
	fmt.Fprintf(&e.out, "    to executors: on %d, %s %s, host %q, content type %q, key %q, epoch %d, body %q\n",
		c, a.ID, a.URI, a.Host, a.ContentType, a.IdempotencyKey, a.Epoch, a.Body)
}

// fixture is a manager without a node: the test makes the calls of the node's state machine.
type fixture struct {
	t       *testing.T
	out     strings.Builder // responses, and what the manager sends to the state machine and to executors
	durable *durable.Manager
	front   node.Frontend   // the frontend that the state machine would call
	up      node.Upstream   // the upstream that the state machine would call
	events  chan node.Event // events that the manager posts
	budgets []time.Duration // budgets of the attempts that are sent to executors
	sent    []node.Attempt  // the attempts that are sent to executors
	leases  leaseExecutor   // the executor at leaseExecutorAddr
}

// fixtureClasses are the ordinary job classes page, order and bill of a fixture.
func fixtureClasses() []policy.JobClass {
	return append(classes[:2:2], policy.JobClass{
		Idempotency:      policy.IdempotentWithKey,
		DedupGroup:       policy.DedupAllExecutors,
		DedupWindow:      time.Minute,
		LatencyObjective: time.Second,
		Deadline:         5 * time.Second,
	})
}

// newFixture starts a manager of the jobs on a disk. maxBytes limits the size of its store.
func newFixture(t *testing.T, disk *emulator.Disk, maxBytes int64, options durable.Options) *fixture {
	t.Helper()
	return newFixtureWithClasses(t, disk, maxBytes, options, fixtureClasses())
}

func newFixtureWithClasses(t *testing.T, disk *emulator.Disk, maxBytes int64, options durable.Options, classes []policy.JobClass) *fixture {
	t.Helper()
	s, err := store.Open(disk, store.Options{SegmentBytes: 20000, MaxBytes: maxBytes})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, events: make(chan node.Event, 16)}
	dial := func(_ context.Context, addr string) (net.Conn, error) { return f.dial(addr) }
	f.durable = durable.New(options, s, []string{"page", "order", "bill"}, classes, dial, zerolog.Nop())
	f.front, f.up = f.durable.Start(func(event node.Event) { f.events <- event }, frontendStub{}, upstreamStub{f})
	return f
}

// dial opens a connection to an executor whose answer to a lease query is chosen by its address.
func (f *fixture) dial(addr string) (net.Conn, error) {
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		if addr == leaseExecutorAddr {
			f.leases.answerQuery(there)
			return
		}
		query, err := http.ReadRequest(bufio.NewReader(there))
		if err != nil {
			return
		}
		fmt.Fprintf(&f.out, "    asks %s: %s %s\n", addr, query.Method, query.URL)
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

// call makes a request and prints the response. Each header has the form "name: value".
func (f *fixture) call(title, method, target, body string, headers ...string) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	f.durable.ServeHTTP(answer, r)
	f.print(title, answer)
}

// print prints a response: status, headers and body.
func (f *fixture) print(title string, answer *httptest.ResponseRecorder) {
	fmt.Fprintf(&f.out, "%s: %d", title, answer.Code)
	headers := answer.Header()
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		fmt.Fprintf(&f.out, ", %s: %s", name, strings.Join(headers[name], " | "))
	}
	fmt.Fprintf(&f.out, ", %q\n", answer.Body.String())
}

// printNextJob prints the next batch job that the manager submits to the state machine.
func (f *fixture) printNextJob() {
	j := (<-f.events).(node.JobArrived).Job
	id, isDurable := durable.CallID(j.ID)
	if !isDurable {
		f.t.Errorf("job %q is submitted under the ID of an ordinary job", j.ID)
	}
	fmt.Fprintf(&f.out, "    to the reducer: class %d, work %v, budget %v, %s %s %s, host %q, content type %q, key %q, body %q\n",
		j.Class, j.Work, j.Budget, id, j.Method, j.URI, j.Host, j.ContentType, j.IdempotencyKey, j.Body)
}

// TestWire pins the responses of the HTTP handler, the jobs that are submitted to the state machine, and the attempts that are
// sent to executors.
func TestWire(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
		options := durable.Options{
			MaxDeadline: time.Hour,
			Leases: leases.Settings{
				MaxDispatched:  20,
				AnswerTTL:      time.Hour,
				QueryExecutors: true,
				QueryInterval:  300 * time.Millisecond,
			},
		}
		f := newFixture(t, disk, 10<<20, options)
		class, budget := "X-Call-Class: page", "X-Budget-Ms: 60000"
		f.call("before it is ready", http.MethodPut, "/-/jobs/a", "body", class, budget)
		f.front.SetReady(true)
		for _, c := range []struct {
			title, method, target, body string
			headers                     []string
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
			f.call(c.title, c.method, c.target, c.body, c.headers...)
		}
		truncated := httptest.NewRequest(http.MethodPut, "/-/jobs/a", io.LimitReader(strings.NewReader("body"), 2))
		truncated.ContentLength = 4
		truncated.Header.Set("X-Call-Class", "page")
		truncated.Header.Set("X-Budget-Ms", "1")
		answer := httptest.NewRecorder()
		f.durable.ServeHTTP(answer, truncated)
		f.print("a body that is cut", answer)

		for i, job := range []struct {
			id      string
			headers []string
			final   node.Final
		}{
			{"a", []string{class, budget}, node.Succeeded},
			{"b", []string{
				"X-Call-Class: bill", "X-Budget-Ms: 5000", "Idempotency-Key: k1",
				"X-Call-Cost: 1500", "Content-Type: text/x", "X-Path: /run?x=1",
			}, node.Rejected},
			{"c", []string{"X-Call-Class: order", budget}, node.Failed},
		} {
			target := "/-/jobs/" + job.id
			f.call("handed in", http.MethodPut, target, "body", job.headers...)
			f.printNextJob()
			f.call("the same again", http.MethodPut, target, "body", job.headers...)
			f.call("another body", http.MethodPut, target, "other", job.headers...)
			f.call("its state", http.MethodGet, target, "")
			f.call("let go too early", http.MethodDelete, target, "")
			f.up.Dial(node.ConnID(i+1), "never:1")
			request := node.Request{ID: f.durable.StateMachineID(job.id), URI: "/u", Host: "h", IdempotencyKey: "k", Body: []byte("body")}
			f.up.Write(node.ConnID(i+1), node.Attempt{Request: &request})
			time.Sleep(time.Second)
			synctest.Wait()
			f.durable.Observe(0, node.AttemptEnded{Conn: node.ConnID(i + 1), Outcome: policy.TimedOut}, nil)
			f.front.Answer(node.Answer{Job: f.durable.StateMachineID(job.id), Final: job.final, Result: []byte("result " + job.id)})
			f.call("its final answer", http.MethodGet, target+"?wait_ms=5000", "")
			f.call("let go", http.MethodDelete, target, "")
		}
		f.call("handed in", http.MethodPut, "/-/jobs/e", "body", class, budget)
		f.printNextJob()
		f.front.Answer(node.Answer{Job: f.durable.StateMachineID("e"), Final: node.Rejected})
		f.call("rejected, never sent", http.MethodGet, "/-/jobs/e?wait_ms=5000", "")
		f.call("waited for in vain", http.MethodPut, "/-/jobs/d", "", class, budget)
		f.printNextJob()
		f.call("its state after a wait", http.MethodGet, "/-/jobs/d?wait_ms=100", "")
		disk.SetSyncDelay(10 * time.Second)
		acknowledged := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			r := httptest.NewRequest(http.MethodPut, "/-/jobs/f", strings.NewReader("body"))
			r.Header.Set("X-Call-Class", "page")
			r.Header.Set("X-Budget-Ms", "60000")
			answer := httptest.NewRecorder()
			f.durable.ServeHTTP(answer, r)
			acknowledged <- answer
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		f.call("handed in again while it is written", http.MethodPut, "/-/jobs/f", "body", class, budget)
		f.call("its state while it is written", http.MethodGet, "/-/jobs/f", "")
		f.print("handed in, on a slow disk", <-acknowledged)
		f.printNextJob()
		if err := f.durable.Close(); err != nil {
			t.Error(err)
		}
		full := newFixture(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), 20, options)
		full.front.SetReady(true)
		full.call("the last that finds room", http.MethodPut, "/-/jobs/a", "body", class, budget)
		full.printNextJob()
		full.call("a store that is full", http.MethodPut, "/-/jobs/b", "body", class, budget)
		if err := full.durable.Close(); err != nil {
			t.Error(err)
		}
		failingDisk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
		failing := newFixture(t, failingDisk, 10<<20, options)
		failing.front.SetReady(true)
		failingDisk.FailSync = 1
		failing.call("a store that is broken", http.MethodPut, "/-/jobs/a", "body", class, budget)
		fmt.Fprintf(&failing.out, "its end: %v\n", failing.durable.Close())
		golden.Compare(t, "wire.txt", withoutLeaseSuffix(f.out.String()+full.out.String()+failing.out.String()))
	})
}

// TestLeaseWire pins the lease queries that a restarted node sends to executors, and the state of the job after each answer.
func TestLeaseWire(t *testing.T) {
	var out strings.Builder
	for _, addr := range []string{"never:1", "finished:1", "lost:1", "mute:1", "nothing:1"} {
		synctesting.Test(t, func(t *testing.T) {
			disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
			options := durable.Options{
				MaxDeadline: time.Hour,
				Leases: leases.Settings{
					MaxDispatched:  20,
					AnswerTTL:      time.Hour,
					QueryExecutors: true,
					QueryInterval:  30 * time.Second,
				},
			}
			f := newFixture(t, disk, 10<<20, options)
			endpoints := node.EndpointsUpdated{Endpoints: []node.Endpoint{{Endpoint: policy.Endpoint{Executor: "e0"}, Addr: addr}}}
			f.durable.Observe(0, endpoints, nil)
			f.front.SetReady(true)
			f.call("handed in", http.MethodPut, "/-/jobs/a", "body", "X-Call-Class: order", "X-Budget-Ms: 60000")
			f.printNextJob()
			f.up.Dial(1, addr)
			f.up.Write(1, node.Attempt{Request: &node.Request{ID: f.durable.StateMachineID("a"), URI: "/u"}})
			time.Sleep(time.Second)
			synctest.Wait()
			disk.Crash()
			fmt.Fprintf(&f.out, "its end after the crash: %v\n", f.durable.Close())
			restarted := newFixture(t, disk, 10<<20, options)
			restarted.durable.Observe(0, endpoints, nil)
			restarted.front.SetReady(true)
			time.Sleep(time.Second)
			synctest.Wait()
			restarted.call("its state after a restart", http.MethodGet, "/-/jobs/a", "")
			fmt.Fprintf(&out, "an executor at %s\n%s%s", addr, f.out.String(), restarted.out.String())
			if err := restarted.durable.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	golden.Compare(t, "lease-wire.txt", withoutLeaseSuffix(out.String()))
}
