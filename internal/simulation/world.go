package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// World is a scenario being played with a seed.
type World struct {
	scenario       Scenario
	seed           uint64
	gossipBounds   gossipBounds
	now            time.Duration
	events         eventHeap
	scheduled      uint64
	networkRand    *rand.Rand // of the network
	gossipRand     *rand.Rand // of words between nodes
	workNoiseRand  *rand.Rand // of attempts' work
	frontLayerRand *rand.Rand // of the front layer, where nodes get unlike parts
	classes        []emulator.Track
	adminCalls     int // that operators have given to wired nodes
	jobClasses     []policy.JobClass
	policy         Policy
	account        *accountLedger // nil where none is kept

	nodes      []*simNode
	executors  []*executor
	byAddr     map[string]*executor
	discovery  *emulator.Discovery
	clients    []*zoneClients
	memories   emulator.Memories
	lastConnID emulator.ConnID
	openWorks  int // tries that clients wait for

	partitions        []partition // by zone
	gossipLoss        float64
	newConnResetRate  float64
	newConnSilentRate float64
	clockOffset       time.Duration

	checker          *invariants.Checker
	traceFunc        func(invariants.Seen)
	result           Result
	steps            int
	sameInstantSteps int         // steps at the instant of the step before
	wired            *wiredWorld // nil where reducers are stepped event by event
	lastAddr         int
	maxViolations    int // broken rules after which it ends
	defects          injectedDefects
}

// injectedDefects holds defects that tests plant to check the checker. All are nil in use.
type injectedDefects struct {
	policy func(*World, *simNode, node.Policy) node.Policy
	event  func(*World, *simNode, node.Event) []node.Event
	effect func(*World, *simNode, node.Effect) []node.Effect

	settings       func(*policy.Settings)
	fleet          func(*cluster.Settings)
	executor       func(*emulator.Executor)
	attempt        func(*emulator.Allocation)
	hideClientLeft bool // nodes are not told that a client has left
	hideClientGone bool // and don't see it at the last look before an attempt
}

// Options say how a world is played.
type Options struct {
	Trace func(invariants.Seen) // told of everything that is seen; nil for nothing
	Most  int                   // broken rules after which it ends; 0 for 20
	// What decides at the nodes; the module where it is empty. Others are for worlds of events alone.
	Policy  Policy
	Account bool // keep an account of lost earnings, likewise
}

// New makes a world in which nothing has happened yet.
func New(s Scenario, seed uint64, o Options) *World {
	w := &World{scenario: s, seed: seed, networkRand: stream(seed, "network"), gossipRand: stream(seed, "words"), workNoiseRand: stream(seed, "attempts"), frontLayerRand: stream(seed, "front"), byAddr: map[string]*executor{},
		memories: emulator.Memories{}, gossipBounds: gossipBounds{sentAt: map[cluster.MessageID]time.Duration{}}, traceFunc: o.Trace, partitions: make([]partition, len(s.Fleet.Zones)),
		discovery: emulator.NewDiscovery(time.Duration(s.Fleet.ListLag)), maxViolations: cmp.Or(o.Most, defaultMaxViolations), policy: cmp.Or(o.Policy, ModulePolicy)}
	if o.Account {
		w.account = &accountLedger{world: w, open: map[invariants.WorkID]*jobHistory{}}
	}
	w.classes, w.jobClasses = s.Takes()
	w.checker = invariants.New(invariants.Settings{Tracks: w.jobClasses, Slack: slack, Grace: time.Duration(s.Fleet.DrainGrace),
		Prompt: prompt, WarmWithin: time.Duration(s.Fleet.WarmWithin), FallMultiple: s.Fleet.FallMultiple,
		FallWindow: time.Duration(s.Fleet.FallWindow), MeanWork: s.MeanWork(), Copies: s.Fleet.Copies})
	w.result = newResult(s, seed)
	return w
}

// Play plays the world to its end: until all that clients wait for is over.
func (w *World) Play() Result {
	w.build()
	length, end := time.Duration(w.scenario.Length), w.lastDeadline()
	for len(w.events) > 0 && len(w.result.Broken) < w.maxViolations {
		it := w.events.pop()
		if it.at > end || w.openWorks == 0 && it.at > length+settleTime {
			break
		}
		if it.at == w.now {
			w.sameInstantSteps++
		}
		// Not by an item of its own: what falls on one instant goes by the count of items.
		for at := time.Duration(len(w.result.capacity)) * Bin; at <= it.at && at < end; at += Bin {
			w.now = at
			w.result.sampleCapacity(w)
		}
		w.now = it.at
		w.steps++
		it.run()
	}
	w.advanceChecker()
	w.result.finish(w)
	return w.result
}

// lastDeadline is when all that clients wait for is over at the latest.
func (w *World) lastDeadline() time.Duration {
	end := time.Duration(w.scenario.Length)
	for _, t := range w.classes {
		end = max(end, time.Duration(w.scenario.Length)+t.Deadline+time.Second)
	}
	return end
}

const (
	settleTime           = 2 * time.Second // what is left over after the last answer shows by then
	defaultMaxViolations = 20              // more say nothing new
)

// build sets all up: executors that have run for long, nodes that have the list, clients.
func (w *World) build() {
	f := &w.scenario.Fleet
	speeds := stream(w.seed, "speeds")
	for i := range f.Executors {
		w.addExecutor(fmt.Sprint("e", i), i, f.Speed*(1+f.Spread*(2*speeds.Float64()-1)))
	}
	for i, x := range w.executors {
		if w.defects.executor != nil {
			w.defects.executor(x.Executor)
		}
		w.discovery.Change(-time.Duration(f.ListLag)-time.Hour+time.Duration(i), x.entry(policy.Available))
		if w.wired != nil {
			w.wired.startExecutor(x)
		}
	}
	for i := range f.Nodes {
		n := &simNode{world: w, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: policy.ZoneID(i % len(f.Zones)), trafficShare: 1}
		if skew := w.scenario.Load.NodeSkew; skew > 0 {
			n.trafficShare = math.Exp(w.frontLayerRand.NormFloat64() * skew)
		}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	if w.account != nil {
		w.account.init()
	}
	if f.WeightsEvery > 0 {
		w.after(time.Duration(f.WeightsEvery), w.updateWeights)
	}
	w.buildClients()
	if w.wired != nil && w.scenario.Load.Bad > 0 {
		w.wired.startMalformedClients()
	}
	for _, f := range w.scenario.Faults {
		w.scheduleFault(f.Standin())
	}
}
