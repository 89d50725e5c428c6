package durable_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/frontend"
	"birchstair/internal/leases"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/internal/store"
	"birchstair/policy"
)

// scenario is what goes wrong in a world, and which fault is injected.
type scenario struct {
	leases     bool          // executors can be polled about attempts
	kills      int           // of the node
	stops      int           // graceful shutdowns of the node, after the kills
	restarts   int           // of executors
	lyingDisk  bool          // syncs do nothing
	forgetful  bool          // executors run an epoch that they have refused, and answer "never" to all polls
	jobs       int           // that clients submit
	interval   time.Duration // between submissions; 0 for 37 ms
	killAtSync int           // the node is killed before this sync counts, once; 0 for not
	syncTime   time.Duration // of the disk
	fault      durable.Fault // in the node
}

// world is one node, its disk, some executors, discovery, and clients that submit durable batch jobs, on a virtual clock.
type world struct {
	scenario
	t    *testing.T
	rand *rand.Rand
	net  *memnet.Net
	disk *emulator.Disk

	mu           sync.Mutex
	effects      map[string]int    // how often each job took effect
	finals       map[string]string // as clients received them
	acknowledged map[string]bool
	violations   []string
	incarnation  int    // of the node
	addr         string // of the node's latest incarnation
	over         bool
}

var classes = []policy.JobClass{
	{Idempotency: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
	{Idempotency: policy.AtMostOnce, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
}

var classNames = []string{"page", "order"}

// random is one under n, drawn from the seed.
func (w *world) random(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// startExecutor starts an executor, and restarts its process as often as the scenario says.
func (w *world) startExecutor(i int) {
	host, addr := fmt.Sprint("e", i), fmt.Sprintf("127.1.0.%d:9000", i+1)
	x := &platform.Executor{ID: policy.ExecutorID(host), Leases: w.leases, ForgetsLeases: w.forgetful,
		OnEffect: func(job policy.JobID) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.effects[strings.TrimPrefix(string(job), "durable-")]++
		},
		RunTime: func() time.Duration { return time.Duration(w.random(300)) * time.Millisecond }}
	listen := func() {
		l, err := w.net.Listen(host, addr)
		if err != nil {
			panic(err)
		}
		go x.Serve(l)
	}
	listen()
	for range w.restarts {
		at := time.Duration(w.random(6000)) * time.Millisecond
		go func() {
			time.Sleep(at)
			w.mu.Lock()
			over := w.over
			w.mu.Unlock()
			if over {
				return
			}
			w.net.Kill(host, false)
			x.Restart()
			listen()
		}()
	}
}

// startDiscovery serves a list of three executors that never changes.
func (w *world) startDiscovery() {
	l, err := w.net.Listen("discovery", discoveryAddr)
	if err != nil {
		panic(err)
	}
	var entries []emulator.Entry
	for i := range 3 {
		entries = append(entries, emulator.Entry{Addr: fmt.Sprintf("127.1.0.%d:9000", i+1),
			Endpoint: policy.Endpoint{Executor: policy.ExecutorID(fmt.Sprint("e", i)), Weight: 1, StartedLongAgo: true}})
	}
	go (&platform.Discovery{Entries: entries, Zones: []string{"z"}}).Serve(l)
}

// nodeProcess is one incarnation of the node.
type nodeProcess struct {
	world  *world
	host   string
	cancel context.CancelFunc
	events chan node.Event // into the reducer
	ended  chan struct{}   // closed when the node has ended
	polls  atomic.Uint64   // connections for lease polls
}

// firstPollConn keeps the ids of lease polls' connections apart from the reducer's.
const firstPollConn = 1 << 40

// kill ends the process and its connections at once; the disk loses what is not synced.
func (p *nodeProcess) kill() {
	if p == nil {
		return
	}
	p.world.disk.Crash()
	p.world.net.Kill(p.host, false)
	p.events <- node.FrontendClosed{}
	<-p.ended
	p.cancel()
	close(p.events)
}

// shutDown ends the process gracefully.
func (p *nodeProcess) shutDown() {
	if p == nil {
		return
	}
	p.cancel()
	<-p.ended
	close(p.events)
	p.world.net.Kill(p.host, false)
}

// dial opens a connection to an executor or to discovery.
func (p *nodeProcess) dial(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.world.net.Dial(ctx, p.host, fmt.Sprint(id, "-", addr), addr)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// dialApart opens a connection that is not the reducer's.
func (p *nodeProcess) dialApart(ctx context.Context, addr string) (net.Conn, error) {
	return p.dial(ctx, node.ConnID(firstPollConn+p.polls.Add(1)), addr)
}

const (
	dialTimeout   = 100 * time.Millisecond
	discoveryAddr = "127.0.0.1:8500"
	maxDeadline   = time.Hour
)

// startNode starts an incarnation of the node on the world's disk; nil where its store does not open.
func (w *world) startNode() *nodeProcess {
	w.mu.Lock()
	w.incarnation++
	incarnation := w.incarnation
	w.mu.Unlock()
	jobs, err := store.Open(w.disk, store.Options{SegmentBytes: 20000, MaxBytes: 10 << 20})
	if err != nil {
		w.violation("the store does not open: %v", err)
		return nil
	}
	p := &nodeProcess{world: w, host: fmt.Sprint("n#", incarnation), events: make(chan node.Event), ended: make(chan struct{})}
	options := durable.Options{MaxDeadline: maxDeadline, Leases: leases.Settings{MaxDispatched: 20, AnswerTTL: time.Hour, QueryExecutors: w.leases, QueryInterval: 300 * time.Millisecond}}
	manager := durable.New(options, jobs, classNames, classes, p.dialApart, zerolog.Nop())
	manager.InjectFault(w.fault)
	addr := fmt.Sprintf("127.2.0.1:%d", 8000+incarnation)
	listener, err := w.net.Listen(p.host, addr)
	if err != nil {
		panic(err)
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	setup := p.options(uint32(incarnation), listener, manager)
	go func() {
		defer close(p.ended)
		if err := service.Run(ctx, setup, p.events); err != nil {
			w.t.Log("the node ended with an error, as a killed one may: ", err)
		}
	}()
	w.mu.Lock()
	w.addr = addr
	w.mu.Unlock()
	return p
}

// options are the node's.
func (p *nodeProcess) options(seed uint32, listener net.Listener, manager *durable.Manager) service.Options {
	settings := durable.AddClasses(policy.Settings{
		Seed:              seed,
		Nodes:             1,
		TotalWeight:       1,
		MaxAttempts:       6,
		MayCancel:         true,
		MaxRetryAfter:     time.Second,
		Quantum:           time.Millisecond,
		StartNotices:      true,
		SlowStartCapacity: 1,
		OverloadMultiple:  4,
		OverloadWindow:    time.Second,
		JobClasses:        classes,
	}, maxDeadline)
	return service.Options{
		Settings: config.Settings{Policy: settings, JobClassNames: classNames, LoadFields: config.LoadFields{-1, -1, -1, -1, -1}, Zones: []string{"z"}},
		Limits: node.Limits{
			Quantum:         time.Millisecond,
			MaxIdle:         time.Minute,
			DialTimeout:     dialTimeout,
			MaxConns:        100,
			MaxBodyBytes:    10 << 20,
			MaxWork:         time.Hour,
			RetryAfter:      time.Second,
			LameDuckPeriod:  100 * time.Millisecond,
			ShutdownTimeout: 200 * time.Millisecond,
		},
		ClientLimits:  frontend.ConnLimits{Max: 300},
		DiscoveryAddr: discoveryAddr,
		StartTime:     time.Now(),
		Policy:        policy.New(settings),
		Listener:      listener,
		DialExecutor:  p.dial,
		DialDiscovery: func(ctx context.Context, _, addr string) (net.Conn, error) { return p.dialApart(ctx, addr) },
		Log:           zerolog.Nop(),
		Durable:       manager,
	}
}

// call makes a request to the node on a connection of that id; headers are whole lines. It gives the final answer where there is one.
func (w *world) call(id, method, path string, headers ...string) (status int, final string, err error) {
	w.mu.Lock()
	addr := w.addr
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	dialed, err := w.net.Dial(ctx, "client", id, addr)
	if err != nil {
		return 0, "", err
	}
	var c net.Conn = dialed
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	body := "body of " + strings.SplitN(path, "?", 2)[0]
	if method != http.MethodPut {
		body = ""
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", method, path, strings.Join(headers, ""), len(body), body)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	var text struct{ State, Final string }
	if answer.StatusCode < 300 {
		err = json.NewDecoder(answer.Body).Decode(&text)
	}
	return answer.StatusCode, text.Final, err
}

// runClient submits a job until it is acknowledged, then waits for its final answer, whatever happens to the node.
func (w *world) runClient(number int) {
	id := fmt.Sprint("job", number)
	if !w.submit(id, classNames[number%2]) {
		return
	}
	w.mu.Lock()
	w.acknowledged[id] = true
	w.mu.Unlock()
	w.awaitFinal(id)
}

// Attempts of clients.
const (
	maxSubmits = 200
	maxGets    = 400
)

// submit submits a job until it is acknowledged.
func (w *world) submit(id, class string) (acknowledged bool) {
	for try := range maxSubmits + 1 {
		status, _, err := w.call(fmt.Sprint(id, "-put", try), http.MethodPut, durable.Path+id, "X-Call-Class: "+class+"\r\n", "X-Budget-Ms: 60000\r\n")
		if err == nil && (status == http.StatusCreated || status == http.StatusOK) {
			return true
		}
		if err == nil && status != http.StatusServiceUnavailable {
			w.violation("%s: status %d", id, status)
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.violation("%s is never acknowledged", id)
	return false
}

// awaitFinal asks for a job's final answer until it has come, and once more 3 s later, perhaps of another incarnation.
func (w *world) awaitFinal(id string) {
	first := ""
	for try := range maxGets + 1 {
		status, final, err := w.call(fmt.Sprint(id, "-get", try), http.MethodGet, durable.Path+id+"?wait_ms=2000")
		switch {
		case err == nil && status == http.StatusNotFound:
			w.violation("%s was acknowledged and is lost", id)
			return
		case err == nil && final != "" && first == "":
			first = final
			w.mu.Lock()
			w.finals[id] = final
			w.mu.Unlock()
			time.Sleep(3 * time.Second)
		case err == nil && final != "":
			if final != first {
				w.violation("%s has two final answers, %s and %s", id, first, final)
			}
			return
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.violation("%s has no final answer", id)
}

// newWorld is a world with its executors and discovery, and no node yet.
func newWorld(t *testing.T, seed uint64, p scenario) *world {
	w := &world{scenario: p, t: t, rand: rand.New(rand.NewPCG(seed, 2)), effects: map[string]int{}, finals: map[string]string{}, acknowledged: map[string]bool{}}
	w.net = memnet.New(seed, func(_, _ string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
	w.disk = emulator.NewDisk(rand.New(rand.NewPCG(seed, 3)))
	for i := range 3 {
		w.startExecutor(i)
	}
	w.startDiscovery()
	return w
}
