package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/policy"
)

// cluster is a running scenario: the node processes, the emulated services, and the state of the checks.
type cluster struct {
	scenario simulation.Scenario
	options  Options
	start    time.Time

	mu                 sync.Mutex // guards all fields below; not held across blocking calls
	stopped            bool       // set when everything is torn down: callbacks do nothing
	closing            bool       // set before the nodes are shut down: clients submit no more
	rand               *rand.Rand
	clientClasses      []emulator.JobClass // the job classes, as the emulated clients use them
	nodeClasses        []policy.JobClass   // the same job classes, as the nodes' policy has them
	checker            *invariants.Checker
	result             Result
	nodes              []*nodeProcess
	executors          []*executor
	discovery          *emulator.Discovery
	listChanged        chan struct{}                   // closed and replaced when watches should check for an update
	requests           map[policy.JobID]*clientRequest // requests in flight
	endedAt            map[policy.JobID]time.Duration  // when each request ended
	clientLeftAt       map[policy.JobID]time.Duration  // when a client disconnected before its answer
	clients            []*zoneClients
	memories           emulator.DedupMemories
	drainKnownAt       map[policy.ExecutorID]time.Duration // when the first node was notified of the executor's drain
	lastConn           emulator.ConnID
	timeline           *os.File
	offers             []simulation.Offer
	capacity           []float64    // work that the executors could do in each simulation.Bin, in seconds
	addressReservation net.Listener // keeps the loopback addresses reserved
	timers             []*time.Timer
	goroutines         sync.WaitGroup // clients' requests, log readers, accept loops and connection handlers

	lastTick    time.Duration // when detectStalls last ran
	stall       time.Duration // longest recent stall of this process
	stallSeenAt time.Duration // when that stall was detected

	gossipLost       float64       // fraction of the datagrams between nodes that is lost
	gossipDuplicated float64       // fraction of the datagrams between nodes that is duplicated
	gossipDelay      time.Duration // largest delay of a datagram between nodes
}

// Tolerances for a busy machine, and times of a run.
const (
	timingTolerance  = time.Second            // allowed lateness of an answer or of a node's reaction
	observationDelay = 150 * time.Millisecond // longest time until this process reads what a node has written
	drainGossipLimit = 3 * time.Second        // time in which gossip informs all nodes of a drain, if none is partitioned
	loadDelay        = 500 * time.Millisecond // time from when all nodes are ready until the load begins
	readyTimeout     = 20 * time.Second
	// Allowed multiple of the slow-start budget. Attempts that were sent within the budget can arrive in a burst.
	slowStartMargin = 1.5
	answerMargin    = 2 * time.Second // wait for outstanding answers after the last deadline
	tickInterval    = 50 * time.Millisecond
	stallAftermath  = 2 * time.Second // time after a stall in which this process reads what arrived during the stall
)

// Play plays a scenario. It returns an error if the scenario could not be played; violations of the rules are in the
// result.
func Play(s simulation.Scenario, o Options) (result Result, err error) {
	r := &cluster{scenario: s, options: o, start: time.Now(), rand: rand.New(rand.NewPCG(o.Seed, 9)),
		discovery: emulator.NewDiscovery(time.Duration(s.Fleet.DiscoveryLag)), listChanged: make(chan struct{}), requests: map[policy.JobID]*clientRequest{}, endedAt: map[policy.JobID]time.Duration{}, clientLeftAt: map[policy.JobID]time.Duration{},
		memories: emulator.DedupMemories{}, drainKnownAt: map[policy.ExecutorID]time.Duration{}, result: Result{Seed: o.Seed, Requests: map[string]int{}}}
	r.clientClasses, r.nodeClasses = s.JobClasses()
	r.checker = invariants.New(invariants.Settings{Classes: r.nodeClasses, AnswerSlack: timingTolerance, DrainGrace: time.Duration(s.Fleet.DrainGrace) + timingTolerance, PromptWithin: time.Hour,
		SlowStart: time.Duration(s.Fleet.SlowStartDuration), SlowStartMultiple: slowStartMargin * s.Fleet.OverloadMultiple, SlowStartWindow: time.Duration(s.Fleet.OverloadWindow), MeanWork: s.MeanWork(), Hedging: s.Fleet.MayHedge})
	if r.timeline, err = os.Create(filepath.Join(o.Dir, "timeline.txt")); err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, r.timeline.Close()) }()
	defer r.shutDown()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	if err := r.awaitReady(); err != nil {
		return Result{}, err
	}
	r.run()
	return r.finish(), nil
}

func (r *cluster) now() time.Duration { return time.Since(r.start) }

// note writes a line to the timeline. It is called with r.mu held.
func (r *cluster) note(format string, args ...any) {
	fmt.Fprintf(r.timeline, "%10.3fs "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

// fail records a violation. It is called with r.mu held.
func (r *cluster) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("WRONG: %s", text)
	r.result.Violations = append(r.result.Violations, text)
}

// observe passes an event to the checker. It is called with r.mu held.
func (r *cluster) observe(event invariants.Event) {
	event.At = r.now()
	for _, violation := range r.checker.Observe(event) {
		r.fail("%s", violation.String())
	}
}

// after calls a function after a delay, with r.mu held, unless the run has stopped by then. It is called with r.mu
// held.
func (r *cluster) after(delay time.Duration, call func()) {
	r.timers = append(r.timers, time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.stopped {
			call()
		}
	}))
}

// setUp starts the emulated executors, discovery, and the nodes.
func (r *cluster) setUp() error {
	f := &r.scenario.Fleet
	speeds := rand.New(rand.NewPCG(r.options.Seed, 10))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range f.Executors {
		x := r.newExecutor(fmt.Sprint("e", i), i, f.Speed*(1+f.SpeedSpread*(2*speeds.Float64()-1)))
		r.discovery.Change(-time.Hour+time.Duration(i), x.entry(policy.Available))
	}
	slot, reservation, err := ReserveAddresses()
	if err != nil {
		return fmt.Errorf("reserve loopback addresses: %w", err)
	}
	r.addressReservation = reservation
	for i := range f.Nodes {
		p, err := r.newNodeProcess(i, slot)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, p)
	}
	for _, p := range r.nodes {
		if err := p.writeFiles(); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready and, if they gossip, have discovered each other.
func (r *cluster) awaitReady() error {
	for _, p := range r.nodes {
		until := time.Now().Add(readyTimeout)
		for !p.isReady() || r.scenario.Fleet.Gossip && !p.knowsAll(len(r.nodes)) {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready after %v; its log and the timeline are in %s", p.name, readyTimeout, r.options.Dir)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// run applies the load and the faults, and waits for the last answers.
func (r *cluster) run() {
	r.mu.Lock()
	r.note("all nodes are ready")
	r.gossipLost, r.gossipDuplicated, r.gossipDelay = r.scenario.Fleet.MessageLoss, r.scenario.Fleet.MessageDuplication, time.Duration(r.scenario.Fleet.MessageDelay)
	length := time.Duration(r.scenario.Length)
	r.after(loadDelay, func() { r.buildClients(r.now() + length) })
	for _, f := range r.scenario.Faults {
		r.schedule(f.Emulated())
	}
	if r.options.injectDefect != nil {
		r.options.injectDefect(r)
	}
	r.sampleCapacity()
	r.detectStalls()
	longest := time.Duration(0)
	for _, class := range r.nodeClasses {
		longest = max(longest, class.Deadline)
	}
	r.mu.Unlock()
	time.Sleep(loadDelay + length)
	for until := time.Now().Add(longest + answerMargin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		inFlight := len(r.requests)
		r.mu.Unlock()
		if inFlight == 0 {
			break
		}
	}
}

// detectStalls records stalls of this process. An event gets the time at which the harness reads it, so an event that
// arrives during a stall is recorded too late. Checks that compare times add ownStall to their tolerance. It is called
// with r.mu held.
func (r *cluster) detectStalls() {
	if stall := r.now() - r.lastTick - tickInterval; r.lastTick > 0 && (stall > r.stall || r.now() > r.stallSeenAt+stallAftermath) {
		r.stall, r.stallSeenAt = max(0, stall), r.now()
	}
	r.lastTick = r.now()
	r.after(tickInterval, r.detectStalls)
}

// ownStall returns how long this process has just stalled, or 0. The recorded times of an event before a stall and of
// one after the stall are further apart than the events were, by at most this long. It is called with r.mu held.
func (r *cluster) ownStall() time.Duration {
	if r.lastTick == 0 {
		return 0
	}
	return max(r.stall, r.now()-r.lastTick-tickInterval, 0)
}

// sampleCapacity records the work that the executors can do in this bin, and schedules the next sample. It is called
// with r.mu held.
func (r *cluster) sampleCapacity() {
	capacity := 0.0
	for _, x := range r.executors {
		if faults := x.Faults(); x.Up && !x.Draining && !faults.Unresponsive {
			capacity += x.Capacity(r.now()) * (1 - faults.ErrorRate) / max(1, faults.Slow)
		}
	}
	for len(r.capacity) <= int(r.now()/simulation.Bin) {
		r.capacity = append(r.capacity, capacity*simulation.Bin.Seconds())
	}
	r.after(simulation.Bin, r.sampleCapacity)
}

// finish shuts the nodes down gracefully and returns the result.
func (r *cluster) finish() Result {
	for _, p := range r.nodes {
		r.result.ClusterViews = append(r.result.ClusterViews, p.clusterView())
	}
	r.mu.Lock()
	r.closing = true // clients must not retry while the nodes shut down
	for _, request := range r.requests {
		request.excused = true
	}
	r.mu.Unlock()
	for _, p := range r.nodes {
		if err := p.shutDown(); err != nil {
			r.mu.Lock()
			r.fail("node %s: a planned end: %v", p.name, err)
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.AdvanceTo(r.now())
	r.result.LeftWhileQueued, r.result.SlowStartPeak = r.checker.ClientsLeftWhileQueued(), slowStartMargin*r.checker.SlowStartPeak()
	for _, violation := range r.checker.Violations() {
		if text := violation.String(); !slices.Contains(r.result.Violations, text) {
			r.fail("%s", text)
		}
	}
	r.result.Best = simulation.Best(r.offers, r.capacity)
	return r.result
}

// shutDown stops all processes, emulated services and goroutines that are left.
func (r *cluster) shutDown() {
	r.mu.Lock()
	r.stopped = true
	for _, timer := range r.timers {
		timer.Stop()
	}
	r.wakeWatches()
	closers := []func(){}
	for _, p := range r.nodes {
		closers = append(closers, p.kill, p.close)
	}
	for _, x := range r.executors {
		closers = append(closers, x.close)
	}
	r.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	if r.addressReservation != nil {
		r.addressReservation.Close()
	}
	r.goroutines.Wait()
}
