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

// Simulation runs a scenario with a seed. It is not safe for concurrent use. In a networked simulation, the lock of
// networkedSimulation guards it.
type Simulation struct {
	scenario   Scenario
	seed       uint64
	classes    []emulator.JobClass // job classes as the emulated clients know them
	jobClasses []policy.JobClass   // job classes as the nodes and the checker know them
	policy     Policy
	defects    injectedDefects

	// The clock and the event heap.
	now               time.Duration
	events            eventHeap
	scheduled         uint64 // number of events scheduled so far
	steps             int    // number of events that have run
	simultaneousSteps int    // number of events that ran at the same instant as the event before them
	maxViolations     int    // number of violations at which the simulation ends

	// Random streams, one for each use.
	networkRand    *rand.Rand
	gossipRand     *rand.Rand
	workNoiseRand  *rand.Rand
	frontLayerRand *rand.Rand // distributes traffic unequally over nodes, for Load.NodeSkew

	nodes         []*simNode
	executors     []*executor
	byAddr        map[string]*executor
	discovery     *emulator.Discovery
	clients       []*zoneClients // indexed by zone
	memories      emulator.DedupMemories
	lastConnID    emulator.ConnID
	lastAddr      int
	worksInFlight int                  // number of work items whose clients still wait
	networked     *networkedSimulation // nil unless the simulation is a networked one
	adminCalls    int                  // number of admin calls so far; used in networked simulations

	// Current faults of the network and of the whole simulation.
	partitions              []partition // indexed by zone
	gossipLoss              float64     // probability that a message between nodes is lost
	newConnResetRate        float64     // probability that a new connection breaks at its first use
	newConnUnresponsiveRate float64     // probability that a new connection delivers nothing to the node
	secondAnswerRate        float64     // probability that an executor sends a second answer; used in networked simulations
	clockOffset             time.Duration

	checker      *invariants.Checker
	gossipBounds gossipBounds
	traceFunc    func(invariants.Event) // nil if no trace is wanted
	account      *accountLedger         // nil if no account is wanted
	result       Result
}

// injectedDefects are defects that tests inject to verify that the checker finds them. The zero value injects no defects.
type injectedDefects struct {
	policy func(*Simulation, *simNode, node.Policy) node.Policy
	event  func(*Simulation, *simNode, node.Event) []node.Event
	effect func(*Simulation, *simNode, node.Effect) []node.Effect

	settings       func(*policy.Settings)
	cluster        func(*cluster.Settings)
	executor       func(*emulator.Executor)
	attempt        func(*emulator.Attempt)
	hideClientLeft bool // nodes are not notified when a client disconnects
	hideClientGone bool // the check right before an attempt does not detect that the client has disconnected
}

// Options configure a simulation.
type Options struct {
	Trace         func(invariants.Event) // called with each event of the trace; nil for no trace
	MaxViolations int                    // number of violations after which the simulation ends; 0 means 20
	Policy        Policy                 // policy of the nodes; "" stands for ModulePolicy, the only policy that networked simulations support
	Account       bool                   // record an Account of the lost value; not supported in networked simulations
}

// New creates a simulation of a scenario. Play or PlayNetworked runs it.
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
	settleTime           = 2 * time.Second // time that is simulated after the last answer, so that late effects are still observed
	defaultMaxViolations = 20              // default of Options.MaxViolations; further violations show nothing new
)

// Play runs the simulation until no client waits any more, or until the number of violations reaches
// Options.MaxViolations. It must not be called more than once.
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

// sampleCapacity samples the executors' capacity for all bins that begin at or before until. It is not called by
// scheduled events, because each scheduled event changes the order of later simultaneous events.
func (sim *Simulation) sampleCapacity(until time.Duration) {
	for at := time.Duration(len(sim.result.capacity)) * Bin; at <= until; at += Bin {
		sim.now = at
		sim.result.sampleCapacity(sim)
	}
}

// lastDeadline returns the time by which every client has given up.
func (sim *Simulation) lastDeadline() time.Duration {
	length := time.Duration(sim.scenario.Length)
	end := length
	for _, class := range sim.classes {
		end = max(end, length+class.Deadline+time.Second)
	}
	return end
}

// build creates the executors, the nodes and the clients, and schedules the faults. The executors are past their slow
// start, and the nodes have a cached endpoint list.
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
