// Package harness plays a scenario of the lab with real processes: nodes of the program on loopback, each with ports, a directory and files of its own, and in
// this process the stand-ins for executors, discovery and clients. All that goes between nodes passes links that can be cut, and the stand-ins can fall
// silent for some nodes alone. The rules are checked from both ends, by what clients got and what executors ran, over all processes. Draws and scripts
// repeat by their seed, the processes' own timing does not: what a run says are invariants and counts.
//
// rig.go holds a run and its end, proc.go the processes, link.go what lies between nodes, ends.go executors and discovery, front.go the clients, faults.go
// the script.
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

// Options say how a scenario is played.
type Options struct {
	Binary string // birchstair
	Dir    string // of its own, empty: logs, configurations and the timeline go there
	Seed   uint64

	injectDefect func(*cluster) // puts a defect in as the load begins; nil for none
}

// Result is what came of a run. Counts beyond Wrong are no verdict.
type Result struct {
	Seed        uint64         `json:"Seed"`
	Asked       float64        `json:"Asked"`  // earnings
	Earned      float64        `json:"Earned"` // of them, answered in the quoted time
	Best        float64        `json:"Best"`   // of them, what the capacity that was there could have earned at the most, dearest work first
	Works       int            `json:"Works"`
	Tries       map[string]int `json:"Tries"`       // by how they ended
	Allocations int            `json:"Allocations"` // that reached an executor
	Work        float64        `json:"Work"`        // seconds of work that reached executors
	Finished    float64        `json:"Finished"`    // and that they got done
	Fell        int            `json:"Fell"`        // executors that were pushed over while cold, whoever did
	ColdMost    float64        `json:"ColdMost"`    // the most work that came to a cold one, by the rules' checker and against its own budget
	Late        int            `json:"Late"`        // allocations to an executor that drains from nodes whose own list does not say so, long after another node was told
	WentWaiting int            `json:"WentWaiting"` // clients that left while their batch jobs waited with nothing out
	SentLate    int            `json:"SentLate"`    // attempts that reached an executor too long after their clients had left
	Views       [][]string     `json:"Views"`       // what each node said of its fleet at the end
	Wrong       []string       `json:"Wrong"`
}

// cluster is a run.
type cluster struct {
	scenario simulation.Scenario
	options  Options
	start    time.Time

	mu            sync.Mutex // guards all below; nothing that blocks is done under it
	over          bool
	closing       bool
	rand          *rand.Rand
	classes       []emulator.Track
	policyClasses []policy.JobClass
	checker       *invariants.Checker
	result        Result
	nodes         []*nodeProcess
	executors     []*executor
	discovery     *emulator.Discovery
	listChanged   chan struct{} // closed when discovery may have something new
	requests      map[policy.JobID]*request
	endedAt       map[policy.JobID]time.Duration // when a try ended
	clientLeftAt  map[policy.JobID]time.Duration // when a client left before its answer
	clients       []*zoneClients
	memories      emulator.Memories
	drainKnownAt  map[policy.ExecutorID]time.Duration // when any node was first told that it drains
	lastConn      emulator.ConnID
	timeline      *os.File
	offers        []simulation.Offer
	capacity      []float64    // what executors could do, by bins of the run
	addressClaim  net.Listener // the run's addresses are its own
	timers        []*time.Timer
	goroutines    sync.WaitGroup // clients' tries, and what serves connections

	lastTick    time.Duration // when this process had its turn last
	stall       time.Duration // for how long it stood still before
	stallSeenAt time.Duration

	gossipLost       float64
	gossipDuplicated float64
	gossipDelay      time.Duration
}

const (
	slack             = time.Second            // on a busy machine an answer may be so late
	observationDelay  = 150 * time.Millisecond // and this process so late to read what a node wrote; later ones count, and two do no harm
	gossipDrainWithin = 3 * time.Second        // within it every node of a fleet whose links are whole knows of a drain
	warmUp            = 500 * time.Millisecond // after all nodes are ready
	readyTimeout      = 20 * time.Second
	arrivalMargin     = 1.5             // what was sent in time may come in a rush on a busy machine: so much more counts as too much for a cold executor
	answerMargin      = 2 * time.Second // for answers beyond the last outer limit
	tickInterval      = 50 * time.Millisecond
	stallEffect       = 2 * time.Second // what came while this process stood still is read within it
)

// Play plays a run. An error means that it could not be played.
func Play(s simulation.Scenario, o Options) (result Result, err error) {
	r := &cluster{scenario: s, options: o, start: time.Now(), rand: rand.New(rand.NewPCG(o.Seed, 9)),
		discovery: emulator.NewDiscovery(time.Duration(s.Fleet.ListLag)), listChanged: make(chan struct{}), requests: map[policy.JobID]*request{}, endedAt: map[policy.JobID]time.Duration{}, clientLeftAt: map[policy.JobID]time.Duration{},
		memories: emulator.Memories{}, drainKnownAt: map[policy.ExecutorID]time.Duration{}, result: Result{Seed: o.Seed, Tries: map[string]int{}}}
	r.classes, r.policyClasses = s.Takes()
	r.checker = invariants.New(invariants.Settings{Tracks: r.policyClasses, Slack: slack, Grace: time.Duration(s.Fleet.DrainGrace) + slack, Prompt: time.Hour,
		WarmWithin: time.Duration(s.Fleet.WarmWithin), FallMultiple: arrivalMargin * s.Fleet.FallMultiple, FallWindow: time.Duration(s.Fleet.FallWindow), MeanWork: s.MeanWork(), Copies: s.Fleet.Copies})
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

// note writes a line of the timeline. It is called with r.mu held.
func (r *cluster) note(format string, args ...any) {
	fmt.Fprintf(r.timeline, "%10.3fs "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *cluster) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("WRONG: %s", text)
	r.result.Wrong = append(r.result.Wrong, text)
}

// observe hands a thing seen to the rules. It is called with r.mu held.
func (r *cluster) observe(s invariants.Seen) {
	s.At = r.now()
	for _, b := range r.checker.See(s) {
		r.fail("%s", b.String())
	}
}

// after does something later, with r.mu held, unless the run is over.
func (r *cluster) after(span time.Duration, what func()) {
	r.timers = append(r.timers, time.AfterFunc(span, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.over {
			what()
		}
	}))
}

func (r *cluster) setUp() error {
	f := &r.scenario.Fleet
	speeds := rand.New(rand.NewPCG(r.options.Seed, 10))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range f.Executors {
		x := r.newExecutor(fmt.Sprint("e", i), i, f.Speed*(1+f.Spread*(2*speeds.Float64()-1)))
		r.discovery.Change(-time.Hour+time.Duration(i), x.entry(policy.Available))
	}
	slot, held, err := Claim()
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

// awaitReady waits until all nodes say that they are ready, and, where they talk, know each other.
func (r *cluster) awaitReady() error {
	for _, p := range r.nodes {
		until := time.Now().Add(readyTimeout)
		for !p.isReady() || r.scenario.Fleet.Talk && !p.knowsAll(len(r.nodes)) {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready after %v; its log and the timeline are in %s", p.name, readyTimeout, r.options.Dir)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// run plays the load and the script.
func (r *cluster) run() {
	r.mu.Lock()
	r.note("all nodes are ready")
	r.gossipLost, r.gossipDuplicated, r.gossipDelay = r.scenario.Fleet.WordsLost, r.scenario.Fleet.WordsDoubled, time.Duration(r.scenario.Fleet.WordsLate)
	length := time.Duration(r.scenario.Length)
	r.after(warmUp, func() { r.buildClients(r.now() + length) })
	for _, f := range r.scenario.Faults {
		r.schedule(f.Standin())
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

// ticks notes when this process, which sees both ends, stands still itself: what it reads then came before.
func (r *cluster) ticks() {
	if stall := r.now() - r.lastTick - tickInterval; r.lastTick > 0 && (stall > r.stall || r.now() > r.stallSeenAt+stallEffect) {
		r.stall, r.stallSeenAt = max(0, stall), r.now()
	}
	r.lastTick = r.now()
	r.after(tickInterval, r.ticks)
}

// ownStall is for how long this process has stood still just now. Guards against times that it reads off itself: an end that it noted before
// and an allocation that it reads after standing still look as far apart as that.
func (r *cluster) ownStall() time.Duration {
	if r.lastTick == 0 {
		return 0
	}
	return max(r.stall, r.now()-r.lastTick-tickInterval, 0)
}

// sampleCapacity books what executors could do in this bin.
func (r *cluster) sampleCapacity() {
	can := 0.0
	for _, x := range r.executors {
		if t := x.Trouble(); x.Up && !x.Drains && !t.Mute {
			can += x.Capacity(r.now()) * (1 - t.Errors) / max(1, t.Slow)
		}
	}
	for len(r.capacity) <= int(r.now()/simulation.Bin) {
		r.capacity = append(r.capacity, can*simulation.Bin.Seconds())
	}
	r.after(simulation.Bin, r.sampleCapacity)
}

// finish ends the processes and says what came of the run.
func (r *cluster) finish() Result {
	for _, p := range r.nodes {
		r.result.Views = append(r.result.Views, p.fleetView())
	}
	r.mu.Lock()
	r.closing = true // who would come again stays away: the nodes end now
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
	r.checker.Pass(r.now())
	r.result.WentWaiting, r.result.ColdMost = r.checker.WentWaiting(), arrivalMargin*r.checker.ColdMost()
	for _, b := range r.checker.Broken() {
		if text := b.String(); !slices.Contains(r.result.Wrong, text) {
			r.fail("%s", text)
		}
	}
	r.result.Best = simulation.Best(r.offers, r.capacity)
	return r.result
}

// shutDown ends all that is left, by its id.
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
