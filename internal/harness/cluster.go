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

// cluster is a run: its processes, its emulated services, and what has been observed.
type cluster struct {
	scenario simulation.Scenario
	options  Options
	start    time.Time

	mu            sync.Mutex // guards all below; nothing under it blocks
	over          bool       // everything ends
	closing       bool       // nodes shut down: clients stop submitting
	rand          *rand.Rand
	classes       []emulator.JobClass // as clients use them
	policyClasses []policy.JobClass   // as nodes are configured
	checker       *invariants.Checker
	result        Result
	nodes         []*nodeProcess
	executors     []*executor
	discovery     *emulator.Discovery
	listChanged   chan struct{} // closed when there may be an update
	requests      map[policy.JobID]*request
	endedAt       map[policy.JobID]time.Duration // when a request ended
	clientLeftAt  map[policy.JobID]time.Duration // for clients that left before their answers
	clients       []*zoneClients
	memories      emulator.DedupMemories
	drainKnownAt  map[policy.ExecutorID]time.Duration // when any node was first notified that it drains
	lastConn      emulator.ConnID
	timeline      *os.File
	offers        []simulation.Offer
	capacity      []float64    // work that executors could do, in bins of the run
	addressClaim  net.Listener // reserves the addresses of the run
	timers        []*time.Timer
	goroutines    sync.WaitGroup // requests, and servers of connections

	lastTick    time.Duration // when this process ran last, to detect that it stalled
	stall       time.Duration // how long it stalled before that
	stallSeenAt time.Duration

	gossipLost       float64       // share of datagrams
	gossipDuplicated float64       // share of datagrams
	gossipDelay      time.Duration // at most
}

// Margins for a busy machine, and times of a run.
const (
	slack             = time.Second            // an answer may be so late
	observationDelay  = 150 * time.Millisecond // this process may read so late what a node wrote
	gossipDrainWithin = 3 * time.Second        // every node knows of a drain within it, if gossip is not partitioned
	warmUp            = 500 * time.Millisecond // after all nodes are ready
	readyTimeout      = 20 * time.Second
	arrivalMargin     = 1.5             // over the slow-start budget, since attempts that were sent in time may arrive in a burst
	answerMargin      = 2 * time.Second // for answers after the last deadline
	tickInterval      = 50 * time.Millisecond
	stallEffect       = 2 * time.Second // what arrived during a stall is read within it
)

// Play runs a scenario. It returns an error if the scenario could not be played; violations are in the result.
func Play(s simulation.Scenario, o Options) (result Result, err error) {
	r := &cluster{scenario: s, options: o, start: time.Now(), rand: rand.New(rand.NewPCG(o.Seed, 9)),
		discovery: emulator.NewDiscovery(time.Duration(s.Fleet.DiscoveryLag)), listChanged: make(chan struct{}), requests: map[policy.JobID]*request{}, endedAt: map[policy.JobID]time.Duration{}, clientLeftAt: map[policy.JobID]time.Duration{},
		memories: emulator.DedupMemories{}, drainKnownAt: map[policy.ExecutorID]time.Duration{}, result: Result{Seed: o.Seed, Requests: map[string]int{}}}
	r.classes, r.policyClasses = s.JobClasses()
	r.checker = invariants.New(invariants.Settings{Classes: r.policyClasses, AnswerSlack: slack, DrainGrace: time.Duration(s.Fleet.DrainGrace) + slack, PromptWithin: time.Hour,
		SlowStart: time.Duration(s.Fleet.SlowStartDuration), SlowStartMultiple: arrivalMargin * s.Fleet.OverloadMultiple, SlowStartWindow: time.Duration(s.Fleet.OverloadWindow), MeanWork: s.MeanWork(), Hedging: s.Fleet.MayHedge})
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
func (r *cluster) observe(s invariants.Event) {
	s.At = r.now()
	for _, b := range r.checker.Observe(s) {
		r.fail("%s", b.String())
	}
}

// after calls a function later, with r.mu held, unless the run is over by then.
func (r *cluster) after(span time.Duration, what func()) {
	r.timers = append(r.timers, time.AfterFunc(span, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.over {
			what()
		}
	}))
}

// setUp starts the emulated services and the nodes.
func (r *cluster) setUp() error {
	f := &r.scenario.Fleet
	speeds := rand.New(rand.NewPCG(r.options.Seed, 10))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range f.Executors {
		x := r.newExecutor(fmt.Sprint("e", i), i, f.Speed*(1+f.SpeedSpread*(2*speeds.Float64()-1)))
		r.discovery.Change(-time.Hour+time.Duration(i), x.entry(policy.Available))
	}
	slot, held, err := ReserveAddresses()
	if err != nil {
		return fmt.Errorf("no free loopback addresses for a fleet: %w", err)
	}
	r.addressClaim = held
	for i := range f.Nodes {
		p, err := r.newProc(i, slot)
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

// awaitReady waits until all nodes are ready and, if they gossip, know each other.
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

// run plays the load and the faults, and waits for the last answers.
func (r *cluster) run() {
	r.mu.Lock()
	r.note("all nodes are ready")
	r.gossipLost, r.gossipDuplicated, r.gossipDelay = r.scenario.Fleet.MessageLoss, r.scenario.Fleet.MessageDuplication, time.Duration(r.scenario.Fleet.MessageDelay)
	length := time.Duration(r.scenario.Length)
	r.after(warmUp, func() { r.buildClients(r.now() + length) })
	for _, f := range r.scenario.Faults {
		r.schedule(f.Emulated())
	}
	if r.options.injectDefect != nil {
		r.options.injectDefect(r)
	}
	r.sampleCapacity()
	r.ticks()
	longest := time.Duration(0)
	for _, t := range r.policyClasses {
		longest = max(longest, t.Deadline)
	}
	r.mu.Unlock()
	time.Sleep(warmUp + length)
	for until := time.Now().Add(longest + answerMargin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		open := len(r.requests)
		r.mu.Unlock()
		if open == 0 {
			break
		}
	}
}

// ticks detects stalls of this process, which observes both ends: what it reads after a stall arrived before.
func (r *cluster) ticks() {
	if stall := r.now() - r.lastTick - tickInterval; r.lastTick > 0 && (stall > r.stall || r.now() > r.stallSeenAt+stallEffect) {
		r.stall, r.stallSeenAt = max(0, stall), r.now()
	}
	r.lastTick = r.now()
	r.after(tickInterval, r.ticks)
}

// ownStall returns how long this process has just stalled. Times that it took before and after a stall look as far apart as that, though
// the events may have been close.
func (r *cluster) ownStall() time.Duration {
	if r.lastTick == 0 {
		return 0
	}
	return max(r.stall, r.now()-r.lastTick-tickInterval, 0)
}

// sampleCapacity records what executors can do in this bin.
func (r *cluster) sampleCapacity() {
	can := 0.0
	for _, x := range r.executors {
		if t := x.Faults(); x.Up && !x.Draining && !t.Unresponsive {
			can += x.Capacity(r.now()) * (1 - t.Errors) / max(1, t.Slow)
		}
	}
	for len(r.capacity) <= int(r.now()/simulation.Bin) {
		r.capacity = append(r.capacity, can*simulation.Bin.Seconds())
	}
	r.after(simulation.Bin, r.sampleCapacity)
}

// finish shuts down the nodes and returns the result.
func (r *cluster) finish() Result {
	for _, p := range r.nodes {
		r.result.FleetViews = append(r.result.FleetViews, p.fleetView())
	}
	r.mu.Lock()
	r.closing = true // no retries: the nodes shut down now
	for _, t := range r.requests {
		t.excused = true
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
	r.result.LeftWhileQueued, r.result.SlowStartPeak = r.checker.ClientsLeftWhileQueued(), arrivalMargin*r.checker.SlowStartPeak()
	for _, b := range r.checker.Violations() {
		if text := b.String(); !slices.Contains(r.result.Violations, text) {
			r.fail("%s", text)
		}
	}
	r.result.Best = simulation.Best(r.offers, r.capacity)
	return r.result
}

// shutDown ends everything that is left.
func (r *cluster) shutDown() {
	r.mu.Lock()
	r.over = true
	for _, t := range r.timers {
		t.Stop()
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
	for _, c := range closers {
		c()
	}
	if r.addressClaim != nil {
		r.addressClaim.Close()
	}
	r.goroutines.Wait()
}
