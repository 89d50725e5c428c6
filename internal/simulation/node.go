package simulation

import (
	"strconv"
	"strings"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/config"
	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// simNode is a simulated node: its state machine, and a model of the process that runs it.
type simNode struct {
	sim          *Simulation
	id           invariants.NodeID
	name         string
	zone         policy.ZoneID
	trafficShare float64 // relative share of the node in the traffic that the front layer spreads, if Load.NodeSkew is set

	stateMachine *node.Node
	incarnation  int // number of times that the process has started
	startedAt    time.Duration
	diedAt       time.Duration
	timerSeq     int // number of the current timer; timers with smaller numbers are ignored

	up               bool
	ready            bool
	frontendClosed   bool         // the process does not accept new requests any more
	activeDownFaults int          // number of current faults that keep the process down
	suspended        bool         // the process is suspended, as by SIGSTOP
	pendingEvents    []node.Event // events that arrived while the process was suspended

	conns     map[node.ConnID]*executorConn
	requests  map[policy.JobID]*clientRequest
	endpoints map[policy.ExecutorID]invariants.Event // last update of each executor that the node has received
	// Executors that operators excluded at the node, with their last update from the endpoint list.
	excluded  map[policy.ExecutorID]invariants.Event
	watchLost bool // updates from discovery do not reach the node

	jobsInFlight     int
	attemptsInFlight int
	maxQueued        int

	// Used in a networked simulation.
	process *nodeProcess
	dialed  map[node.ConnID]*executor

	// Used in a simulation with gossip.
	alivePeers    []cluster.NodeName
	peerReachedAt map[invariants.NodeID]time.Duration
	partitioned   bool     // the node exchanges messages only with other partitioned nodes
	corruption    int      // 0 if messages are sent unchanged; otherwise 1 plus the number of corrupted messages sent
	workRate      workRate // true work rate, to check the rates that the node sends
}

// Settings of all nodes and timing of their processes.
const (
	// The policy maximizes a weighted sum, in which the earned fraction of the total value is multiplied by this.
	totalWeight = 0.8
	// The policy maximizes a weighted sum, in which the earned fraction of the worst job class is multiplied by this.
	worstClassWeight  = 0.2
	quantum           = 4 * time.Millisecond
	maxShutdown       = 3 * time.Second
	shutdownMargin    = 700 * time.Millisecond
	cachedListAge     = 10 * time.Second      // age of the cached endpoint list with which a node starts
	firstWatchDelay   = 20 * time.Millisecond // time from the start of a node until it watches discovery
	readinessDelay    = time.Millisecond      // time until the front layer notices a change of readiness
	nodeIODelay       = 5 * time.Millisecond  // time until an I/O operation of the node's process takes effect
	restartPollPeriod = 100 * time.Millisecond
)

// settings returns the policy settings and limits with which the node starts.
func (n *simNode) settings() (policy.Settings, node.Limits) {
	fleet := &n.sim.scenario.Fleet
	networked := n.sim.networked != nil
	settings := policy.Settings{
		Seed:                uint32(permute(n.sim.seed + uint64(n.id)<<20 + uint64(n.incarnation))),
		Node:                int(n.id),
		Nodes:               fleet.Nodes,
		Zone:                n.zone,
		ValuePerWork:        fleet.ValuePerWork,
		CrossZoneCost:       fleet.CrossZoneCost,
		TotalWeight:         totalWeight,
		WorstClassWeight:    worstClassWeight,
		MaxAttempts:         fleet.MaxAttempts,
		MayCancel:           true,
		MaxRetryAfter:       time.Duration(fleet.MaxRetryAfter),
		Quantum:             quantum,
		LoadAdjustedWeights: fleet.WeightInterval > 0,
		SlowStartCapacity:   fleet.SlowStartCapacity,
		SlowStartDuration:   time.Duration(fleet.SlowStartDuration),
		OverloadMultiple:    fleet.OverloadMultiple,
		OverloadWindow:      time.Duration(fleet.OverloadWindow),
		StartNotices:        fleet.StartNotices,
		ProgressInterval:    time.Duration(fleet.ProgressInterval),
		MayLease:            fleet.Gossip && fleet.Leases && !networked,
		MayHedge:            fleet.MayHedge,
		ClientsMarkRetries:  n.sim.scenario.Load.MarksRetries && !networked,
		MayCheckHealth:      fleet.MayCheckHealth && !networked,
	}
	longest := time.Duration(0)
	for _, class := range n.sim.jobClasses {
		class.DedupWindow = max(0, class.DedupWindow-time.Duration(fleet.DialTimeout)) // internal/config reduces DedupWindow in the same way
		settings.JobClasses = append(settings.JobClasses, class)
		longest = max(longest, class.Deadline)
	}
	return settings, node.Limits{
		Quantum:         settings.Quantum,
		MaxIdle:         time.Duration(fleet.IdleTimeout) * 4 / 5,
		DialTimeout:     time.Duration(fleet.DialTimeout),
		MaxConns:        fleet.MaxNodeConns,
		MaxBodyBytes:    fleet.MaxBodyBytes,
		RetryAfter:      settings.MaxRetryAfter,
		MaxWork:         4 * longest,
		LameDuckPeriod:  config.LameDuckPeriod,
		ShutdownTimeout: min(longest, maxShutdown) + shutdownMargin - config.LameDuckPeriod,
	}
}

// start starts the node's process with a cached endpoint list. The process watches discovery after firstWatchDelay.
func (n *simNode) start() {
	n.reset()
	n.sim.observe(invariants.Event{Kind: invariants.NodeStarted, Node: n.id})
	settings, limits := n.settings()
	if n.sim.defects.settings != nil {
		n.sim.defects.settings(&settings)
	}
	decider := n.newPolicy(settings)
	if n.sim.defects.policy != nil {
		decider = n.sim.defects.policy(n.sim, n, decider)
	}
	if n.sim.networked != nil {
		n.dialed = map[node.ConnID]*executor{}
		n.sim.networked.startNode(n, settings, limits, decider)
		return
	}
	var classes []node.JobClass
	for i, class := range settings.JobClasses {
		classes = append(classes, node.JobClass{Name: strconv.Itoa(i), JobClass: class})
	}
	n.stateMachine = node.New(&policyRecorder{Policy: decider, node: n}, limits, classes)
	if n.sim.scenario.Fleet.Gossip {
		n.joinCluster()
	}
	n.deliver(n.endpointsUpdate(policy.CachedUpdate, n.sim.discovery.ListAt(n.sim.now-cachedListAge)))
	n.after(firstWatchDelay, func() {
		n.sim.discovery.Watch(n.id)
		n.deliverEndpoints()
	})
}

// reset clears the state of the previous process.
func (n *simNode) reset() {
	n.incarnation++
	n.startedAt = n.sim.now
	n.up, n.ready, n.frontendClosed = true, false, false
	n.suspended, n.pendingEvents = false, nil
	n.corruption = 0
	n.jobsInFlight, n.attemptsInFlight = 0, 0
	n.conns = map[node.ConnID]*executorConn{}
	n.requests = map[policy.JobID]*clientRequest{}
	n.endpoints = map[policy.ExecutorID]invariants.Event{}
	n.excluded = map[policy.ExecutorID]invariants.Event{}
}

// after runs a function after a delay, unless the current process of the node has ended by then.
func (n *simNode) after(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.sim.after(delay, func() {
		if n.up && n.incarnation == incarnation {
			run()
		}
	})
}

// deliver steps the state machine with an event and executes the resulting effects. While the process is suspended,
// events are kept and delivered when it resumes.
func (n *simNode) deliver(event node.Event) {
	if !n.up {
		return
	}
	if n.suspended {
		n.pendingEvents = append(n.pendingEvents, event)
		return
	}
	events := []node.Event{event}
	if n.sim.defects.event != nil {
		events = n.sim.defects.event(n.sim, n, event)
	}
	for _, event := range events {
		effects := n.stateMachine.Step(n.sim.now-n.startedAt, event)
		n.recordAdminCall(event, effects)
		n.recordPeerDrains(effects)
		for _, effect := range effects {
			n.executeWithDefects(effect)
		}
	}
}

func (n *simNode) executeWithDefects(effect node.Effect) {
	if n.sim.defects.effect == nil {
		n.execute(effect)
		return
	}
	for _, effect := range n.sim.defects.effect(n.sim, n, effect) {
		n.execute(effect)
	}
}

// execute executes an effect that the state machine returned.
func (n *simNode) execute(effect node.Effect) {
	switch effect := effect.(type) {
	case node.Answer:
		n.answer(effect)
	case node.Dial:
		n.dial(effect)
	case node.WriteAttempt:
		n.writeAttempt(effect)
	case node.CloseConn:
		n.closeConn(effect.Conn)
	case node.CheckHealth:
		n.checkHealth(effect)
	case node.SetReady:
		n.after(readinessDelay, func() { n.ready = effect.Ready })
	case node.DrainClients:
		n.after(readinessDelay, func() { n.ready = !effect.On && !n.frontendClosed })
	case node.CloseFrontend:
		n.frontendClosed = true
		n.after(nodeIODelay, func() { n.deliver(node.FrontendClosed{}) })
	case node.WatchEndpoints:
		n.after(nodeIODelay, n.deliverEndpoints)
	case node.SendGossip:
		n.sendGossip(effect.Envelope)
	case node.SendLeaseMessage:
		n.sendLeaseMessage(effect)
	case node.SetTimer:
		n.setTimer(effect)
	case node.Log:
		n.recordLog(effect)
	case node.Exit:
		n.exit()
	}
}

// setTimer sets the node's timer. A timer that was set before no longer fires.
func (n *simNode) setTimer(effect node.SetTimer) {
	n.timerSeq++
	seq := n.timerSeq
	n.after(n.startedAt+effect.At-n.sim.now, func() {
		if n.timerSeq == seq {
			n.deliver(node.TimerFired{})
		}
	})
}

// recordLog counts panics of the policy, and writes the first line of a log message to the trace. It omits the other
// lines, because they can be a stack trace with addresses that differ from run to run.
func (n *simNode) recordLog(message node.Log) {
	if strings.HasPrefix(message.Text, node.PolicyPanicked) {
		n.sim.result.Panics++
	}
	if n.sim.traceFunc != nil {
		text, _, _ := strings.Cut(message.Text, "\n")
		n.sim.observe(invariants.Event{Kind: invariants.Note, Node: n.id, Job: message.Job, Executor: message.Executor, Text: text})
	}
}

// shutDown requests a graceful shutdown.
func (n *simNode) shutDown() {
	if n.process != nil {
		n.process.stop()
		return
	}
	n.deliver(node.ShutdownRequested{})
}

// kill ends the process at once, as SIGKILL does.
func (n *simNode) kill() {
	if !n.up {
		return
	}
	n.sim.observe(invariants.Event{Kind: invariants.NodeKilled, Node: n.id})
	if n.process != nil {
		n.process.kill()
	}
	n.exit()
}

// exit ends the process and closes its connections. Attempts that are on their way to executors still arrive.
func (n *simNode) exit() {
	n.up, n.ready, n.diedAt = false, false, n.sim.now
	n.sim.result.recordMaxQueued(n)
	for _, conn := range sortedByID(n.conns) {
		if conn.state != connClosed {
			conn.state = connClosed
			conn.closeAtExecutor()
		}
	}
	n.loseClients()
}

// endDownFault ends one of the faults that keep the node down. When the last of them ends, the node starts a new
// process. If the old process is still shutting down, endDownFault tries again every restartPollPeriod until the old
// process has ended.
func (n *simNode) endDownFault() {
	if n.activeDownFaults--; n.activeDownFaults > 0 {
		return
	}
	n.activeDownFaults = 0
	if !n.up {
		n.start()
		return
	}
	n.activeDownFaults = 1
	n.after(restartPollPeriod, n.endDownFault)
	n.sim.after(restartPollPeriod, func() {
		if !n.up && n.activeDownFaults == 1 {
			n.endDownFault()
		}
	})
}

// suspend suspends the process for the duration of the fault, as SIGSTOP does. Events are kept until the process resumes.
func (n *simNode) suspend(fault emulator.Fault) {
	if !n.up || n.suspended {
		return
	}
	n.suspended = true
	n.sim.observe(invariants.Event{Kind: invariants.NodePaused, Node: n.id})
	n.after(fault.For, n.resume)
}

// resume resumes a suspended process and delivers the events that arrived meanwhile.
func (n *simNode) resume() {
	n.suspended = false
	n.workRate.suspendedUntil = n.sim.now + suspendGrace
	n.sim.observe(invariants.Event{Kind: invariants.NodeResumed, Node: n.id})
	events := n.pendingEvents
	n.pendingEvents = nil
	for _, event := range events {
		n.deliver(event)
	}
	n.deliverEndpoints()
}
