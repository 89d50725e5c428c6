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

// scenario configures a simulation: its load, its failures and the defect that is injected.
type scenario struct {
	leases           bool          // executors support lease queries
	nodeKills        int           // number of times that the node is killed
	nodeShutdowns    int           // number of graceful shutdowns of the node, after the kills
	executorRestarts int           // number of restarts of each executor
	lyingDisk        bool          // syncs of the disk do nothing
	forgetLeases     bool          // executors run an epoch that they have refused, and answer "never" to all lease queries
	jobs             int           // number of jobs that clients submit
	interval         time.Duration // time between submissions; 0 for 37 ms
	crashAtSync      int           // number of the sync before which the disk crashes and the node is killed; 0 for none
	syncTime         time.Duration // duration of a sync
	fault            durable.Fault // defect injected into the node
}

// simulation is one node with its disk, three executors, discovery, and clients that submit durable batch jobs, on a virtual
// clock.
type simulation struct {
	scenario
	t    *testing.T
	rand *rand.Rand
	net  *memnet.Net
	disk *emulator.Disk

	mu           sync.Mutex
	effects      map[string]int    // how often each job ran, by job ID
	finals       map[string]string // final answers that clients received, by job ID
	acknowledged map[string]bool   // IDs of the jobs that were acknowledged
	violations   []string          // guarantees that were not kept
	incarnation  int               // number of starts of the node
	addr         string            // address of the node's latest incarnation
	manager      *durable.Manager  // manager of the node's latest incarnation
	finished     bool              // the scenario has ended; executors no longer restart
}

// classes are the ordinary job classes of the node, which has a durable class for each.
var classes = []policy.JobClass{
	{Idempotency: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
	{Idempotency: policy.AtMostOnce, LatencyObjective: time.Second, Deadline: 5 * time.Second, Value: 1, Kind: policy.AnyKind},
}

var classNames = []string{"page", "order"}

// random returns a random number from 0 to n-1.
func (sim *simulation) random(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rand.IntN(n)
}

func (sim *simulation) violation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// startExecutor starts an executor, and schedules the restarts of its process at random times.
func (sim *simulation) startExecutor(i int) {
	host, addr := fmt.Sprint("e", i), fmt.Sprintf("127.1.0.%d:9000", i+1)
	x := &platform.Executor{ID: policy.ExecutorID(host), Leases: sim.leases, ForgetsLeases: sim.forgetLeases,
		OnEffect: func(job policy.JobID) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.effects[clientID(string(job))]++
		},
		RunTime: func() time.Duration { return time.Duration(sim.random(300)) * time.Millisecond }}
	listen := func() {
		l, err := sim.net.Listen(host, addr)
		if err != nil {
			panic(err)
		}
		go x.Serve(l)
	}
	listen()
	for range sim.executorRestarts {
		at := time.Duration(sim.random(6000)) * time.Millisecond
		go func() {
			time.Sleep(at)
			sim.mu.Lock()
			finished := sim.finished
			sim.mu.Unlock()
			if finished {
				return
			}
			sim.net.Kill(host, false)
			x.Restart()
			listen()
		}()
	}
}

// startDiscovery serves an endpoint list of the three executors, which never changes.
func (sim *simulation) startDiscovery() {
	l, err := sim.net.Listen("discovery", discoveryAddr)
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
	sim          *simulation
	host         string
	cancel       context.CancelFunc
	events       chan node.Event // further events for the state machine
	ended        chan struct{}   // closed when the node has ended
	outsideConns atomic.Uint64   // number of connections opened by dialOutsideUpstream
}

// firstOutsideConn keeps the IDs of connections opened by dialOutsideUpstream apart from those that the state machine assigns.
const firstOutsideConn = 1 << 40

// kill ends the process and its connections at once. The disk may lose or tear unsynced data.
func (p *nodeProcess) kill() {
	if p == nil {
		return
	}
	p.sim.disk.Crash()
	p.sim.net.Kill(p.host, false)
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
	p.sim.net.Kill(p.host, false)
}

// dial opens a connection to an executor or to discovery.
func (p *nodeProcess) dial(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.sim.net.Dial(ctx, p.host, fmt.Sprint(id, "-", addr), addr)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// dialOutsideUpstream opens a connection that the state machine doesn't know of: for a lease query, or to discovery.
func (p *nodeProcess) dialOutsideUpstream(ctx context.Context, addr string) (net.Conn, error) {
	return p.dial(ctx, node.ConnID(firstOutsideConn+p.outsideConns.Add(1)), addr)
}

const (
	dialTimeout   = 100 * time.Millisecond
	discoveryAddr = "127.0.0.1:8500"
	maxDeadline   = time.Hour
)

// startNode starts an incarnation of the node on the disk of the simulation. It returns nil if the store can't be opened.
func (sim *simulation) startNode() *nodeProcess {
	sim.mu.Lock()
	sim.incarnation++
	incarnation := sim.incarnation
	sim.mu.Unlock()
	jobs, err := store.Open(sim.disk, store.Options{SegmentBytes: 20000, MaxBytes: 10 << 20})
	if err != nil {
		sim.violation("the store can't be opened: %v", err)
		return nil
	}
	p := &nodeProcess{sim: sim, host: fmt.Sprint("n#", incarnation), events: make(chan node.Event), ended: make(chan struct{})}
	options := durable.Options{
		MaxDeadline: maxDeadline,
		Leases: leases.Settings{
			MaxDispatched:  20,
			AnswerTTL:      time.Hour,
			QueryExecutors: sim.leases,
			QueryInterval:  300 * time.Millisecond,
		},
	}
	manager := durable.New(options, jobs, classNames, classes, p.dialOutsideUpstream, zerolog.Nop())
	sim.mu.Lock()
	sim.manager = manager
	sim.mu.Unlock()
	manager.InjectFault(sim.fault)
	addr := fmt.Sprintf("127.2.0.1:%d", 8000+incarnation)
	listener, err := sim.net.Listen(p.host, addr)
	if err != nil {
		panic(err)
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	setup := p.options(uint32(incarnation), listener, manager)
	go func() {
		defer close(p.ended)
		if err := service.Run(ctx, setup, p.events); err != nil {
			sim.t.Log("the node ended with an error, which a killed node may: ", err)
		}
	}()
	sim.mu.Lock()
	sim.addr = addr
	sim.mu.Unlock()
	return p
}

// options returns the options of the node's process.
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
		Settings: config.Settings{
			Policy:        settings,
			JobClassNames: classNames,
			LoadFields:    config.LoadFields{-1, -1, -1, -1, -1},
			Zones:         []string{"z"},
		},
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
		DialDiscovery: func(ctx context.Context, _, addr string) (net.Conn, error) { return p.dialOutsideUpstream(ctx, addr) },
		Log:           zerolog.Nop(),
		Durable:       manager,
	}
}

// call makes a request to the node on a new connection with an ID. Headers are whole lines, with their line ends. final is the
// job's final answer, or empty if there is none.
func (sim *simulation) call(id, method, path string, headers ...string) (status int, final string, err error) {
	sim.mu.Lock()
	addr := sim.addr
	sim.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	dialed, err := sim.net.Dial(ctx, "client", id, addr)
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

// runClient submits a job until it is acknowledged, then waits for its final answer. It retries while the node is down.
func (sim *simulation) runClient(number int) {
	id := fmt.Sprint("job", number)
	if !sim.submit(id, classNames[number%2]) {
		return
	}
	sim.mu.Lock()
	sim.acknowledged[id] = true
	sim.mu.Unlock()
	sim.awaitFinal(id)
}

// Numbers of requests after which a client gives up.
const (
	maxSubmits = 200
	maxGets    = 400
)

// submit submits a job until it is acknowledged, and reports whether it was.
func (sim *simulation) submit(id, class string) (acknowledged bool) {
	for try := range maxSubmits + 1 {
		status, _, err := sim.call(fmt.Sprint(id, "-put", try), http.MethodPut, durable.Path+id,
			"X-Call-Class: "+class+"\r\n", "X-Budget-Ms: 60000\r\n")
		if err == nil && (status == http.StatusCreated || status == http.StatusOK) {
			return true
		}
		if err == nil && status != http.StatusServiceUnavailable {
			sim.violation("submission of %s was answered with status %d", id, status)
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	sim.violation("%s was not acknowledged in %d submissions", id, maxSubmits+1)
	return false
}

// awaitFinal requests a job's final answer until there is one, and again 3 s later. The two answers, perhaps of two
// incarnations of the node, must be the same.
func (sim *simulation) awaitFinal(id string) {
	first := ""
	for try := range maxGets + 1 {
		status, final, err := sim.call(fmt.Sprint(id, "-get", try), http.MethodGet, durable.Path+id+"?wait_ms=2000")
		switch {
		case err == nil && status == http.StatusNotFound:
			sim.violation("%s was acknowledged, but is not found", id)
			return
		case err == nil && final != "" && first == "":
			first = final
			sim.mu.Lock()
			sim.finals[id] = final
			sim.mu.Unlock()
			time.Sleep(3 * time.Second)
		case err == nil && final != "":
			if final != first {
				sim.violation("%s has two final answers, %q and %q", id, first, final)
			}
			return
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	sim.violation("%s has no final answer after %d requests", id, maxGets+1)
}

// newSimulation starts a simulation with its executors and discovery, but without a node.
func newSimulation(t *testing.T, seed uint64, p scenario) *simulation {
	sim := &simulation{
		scenario:     p,
		t:            t,
		rand:         rand.New(rand.NewPCG(seed, 2)),
		effects:      map[string]int{},
		finals:       map[string]string{},
		acknowledged: map[string]bool{},
	}
	sim.net = memnet.New(seed, func(_, _ string) memnet.Path { return memnet.Path{Delay: time.Millisecond} })
	sim.disk = emulator.NewDisk(rand.New(rand.NewPCG(seed, 3)))
	for i := range 3 {
		sim.startExecutor(i)
	}
	sim.startDiscovery()
	return sim
}

// end stops the node, and then all else that runs on the virtual clock.
func (sim *simulation) end(stopNode func()) {
	stopNode()
	sim.mu.Lock()
	sim.finished = true
	sim.mu.Unlock()
	sim.net.Shutdown()
	time.Sleep(10 * time.Second)
}
