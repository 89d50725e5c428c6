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

// World is a scenario that is played with a seed. It is used by one goroutine, or in a wired world under the lock of wiredWorld.
type Simulation struct {
	scenario   Scenario
	seed       uint64
	classes    []emulator.JobClass // the scenario's job classes, as clients know them
	jobClasses []policy.JobClass   // the same, as nodes and the checker know them
	policy     Policy
	defects    injectedDefects

	// The clock and the event heap.
	now               time.Duration
	events            eventHeap
	scheduled         uint64 // events so far
	steps             int    // events that have run
	simultaneousSteps int    // of those, events at the instant of the one before
	maxViolations     int    // the world ends at this number of violations

	// Random streams, one a use.
	networkRand    *rand.Rand
	gossipRand     *rand.Rand
	workNoiseRand  *rand.Rand
	frontLayerRand *rand.Rand // of the front layer in front of nodes with unequal shares of the traffic

	nodes         []*simNode
	executors     []*executor
	byAddr        map[string]*executor
	discovery     *emulator.Discovery
	clients       []*zoneClients // by zone
	memories      emulator.DedupMemories
	lastConnID    emulator.ConnID
	lastAddr      int
	worksInFlight int                  // works whose clients still wait
	networked     *networkedSimulation // nil where state machines are stepped event by event
	adminCalls    int                  // to nodes of a wired world

	// Faults that are on the network or on everything.
	partitions              []partition // by zone
	gossipLoss              float64     // probability
	newConnResetRate        float64     // probability
	newConnUnresponsiveRate float64     // probability
	clockOffset             time.Duration

	checker      *invariants.Checker
	gossipBounds gossipBounds
	traceFunc    func(invariants.Event) // nil without a trace
	account      *accountLedger         // nil without an account
	result       Result
}

// injectedDefects are defects that tests inject to check the checker. All are zero in use.
type injectedDefects struct {
	policy func(*Simulation, *simNode, node.Policy) node.Policy
	event  func(*Simulation, *simNode, node.Event) []node.Event
	effect func(*Simulation, *simNode, node.Effect) []node.Effect

	settings       func(*policy.Settings)
	cluster        func(*cluster.Settings)
	executor       func(*emulator.Executor)
	attempt        func(*emulator.Attempt)
	hideClientLeft bool // nodes are not notified that a client has left
	hideClientGone bool // and don't see it when they check right before an attempt
}

// Options say how a world is played.
type Options struct {
	Trace         func(invariants.Event) // called with each observation; nil for no trace
	MaxViolations int                    // violations after which the world ends; 0 for 20
	Policy        Policy                 // what decides at the nodes; "" for ModulePolicy, the only one for wired worlds
	Account       bool                   // keep an account of the value that was not earned; not for wired worlds
}

// New makes a world in which nothing has happened yet.
func New(s Scenario, seed uint64, o Options) *Simulation {
	sim := &Simulation{
		scenario:       s,
		seed:           seed,
		policy:         cmp.Or(o.Policy, ModulePolicy),
		maxViolations:  cmp.Or(o.MaxViolations, defaultMaxViolations),
		networkRand:    stream(seed, networkStream),
		gossipRand:     stream(seed, gossipStream),
		workNoiseRand:  stream(seed, workNoiseStream),
		frontLayerRand: stream(seed, frontLayerStream),
		byAddr:         map[string]*executor{},
		discovery:      emulator.NewDiscovery(time.Duration(s.Fleet.DiscoveryLag)),
		memories:       emulator.DedupMemories{},
		partitions:     make([]partition, len(s.Fleet.Zones)),
		gossipBounds:   gossipBounds{sentAt: map[cluster.MessageID]time.Duration{}},
		traceFunc:      o.Trace,
		result:         newResult(s, seed),
	}
	if o.Account {
		sim.account = &accountLedger{sim: sim, inFlight: map[invariants.WorkID]*jobHistory{}}
	}
	sim.classes, sim.jobClasses = s.JobClasses()
	sim.checker = invariants.New(invariants.Settings{
		Classes:           sim.jobClasses,
		AnswerSlack:       answerTolerance,
		DrainGrace:        time.Duration(s.Fleet.DrainGrace),
		PromptWithin:      promptLimit,
		SlowStart:         time.Duration(s.Fleet.SlowStartDuration),
		SlowStartMultiple: s.Fleet.OverloadMultiple,
		SlowStartWindow:   time.Duration(s.Fleet.OverloadWindow),
		MeanWork:          s.MeanWork(),
		Hedging:           s.Fleet.MayHedge,
	})
	return sim
}

const (
	settleTime           = 2 * time.Second // after the last answer; whatever is left over shows by then
	defaultMaxViolations = 20              // more of them show nothing new
)

// Play plays the world until no client waits any more, or too many invariants are violated. A world is played once.
func (sim *Simulation) Play() Result {
	sim.build()
	length, end := time.Duration(sim.scenario.Length), sim.lastDeadline()
	for len(sim.events) > 0 && len(sim.result.Violations) < sim.maxViolations {
		event := sim.events.pop()
		if event.at > end || sim.worksInFlight == 0 && event.at > length+settleTime {
			break
		}
		if event.at == sim.now {
			sim.simultaneousSteps++
		}
		sim.sampleCapacity(min(event.at, end-1))
		sim.now = event.at
		sim.steps++
		event.run()
	}
	sim.advanceChecker()
	sim.result.finish(sim)
	return sim.result
}

// sampleCapacity samples all bins that begin by a time. This is not an event of its own, because the order of events at one instant
// depends on the number of events before them.
func (sim *Simulation) sampleCapacity(until time.Duration) {
	for at := time.Duration(len(sim.result.capacity)) * Bin; at <= until; at += Bin {
		sim.now = at
		sim.result.sampleCapacity(sim)
	}
}

// lastDeadline is when the last client has given up at the latest.
func (sim *Simulation) lastDeadline() time.Duration {
	length := time.Duration(sim.scenario.Length)
	end := length
	for _, class := range sim.classes {
		end = max(end, length+class.Deadline+time.Second)
	}
	return end
}

// build sets up executors that have run for long, nodes that have the endpoint list, clients and the script of faults.
func (sim *Simulation) build() {
	sim.buildExecutors()
	sim.buildNodes()
	if sim.account != nil {
		sim.account.init()
	}
	if every := time.Duration(sim.scenario.Fleet.WeightInterval); every > 0 {
		sim.after(every, sim.updateWeights)
	}
	sim.buildClients()
	if sim.networked != nil && sim.scenario.Load.MalformedRate > 0 {
		sim.networked.startMalformedClients()
	}
	for _, fault := range sim.scenario.Faults {
		sim.scheduleFault(fault.Emulated())
	}
}

func (sim *Simulation) buildExecutors() {
	fleet := &sim.scenario.Fleet
	speeds := stream(sim.seed, speedStream)
	for i := range fleet.Executors {
		sim.addExecutor(fmt.Sprint("e", i), i, fleet.Speed*(1+fleet.SpeedSpread*(2*speeds.Float64()-1)))
	}
	for i, x := range sim.executors {
		if sim.defects.executor != nil {
			sim.defects.executor(x.Executor)
		}
		sim.discovery.Change(-time.Duration(fleet.DiscoveryLag)-time.Hour+time.Duration(i), x.entry(policy.Available))
		if sim.networked != nil {
			sim.networked.startExecutor(x)
		}
	}
}

func (sim *Simulation) buildNodes() {
	fleet := &sim.scenario.Fleet
	for i := range fleet.Nodes {
		n := &simNode{sim: sim, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: policy.ZoneID(i % len(fleet.Zones)), trafficShare: 1}
		if skew := sim.scenario.Load.NodeSkew; skew > 0 {
			n.trafficShare = math.Exp(sim.frontLayerRand.NormFloat64() * skew)
		}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
}
