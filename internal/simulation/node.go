package simulation

import (
	"cmp"
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

// simNode is a node in the world: the reducer, and what stands around it in a process.
type simNode struct {
	world            *World
	id               invariants.NodeID
	name             string
	zone             policy.ZoneID
	trafficShare     float64 // of its zone's traffic, against the others'
	reducer          *node.Node
	incarnation      int // its starts so far
	up               bool
	ready            bool
	frontendClosed   bool // the front takes nothing any more
	activeDownFaults int  // faults that keep it down
	started          time.Duration
	diedAt           time.Duration
	conns            map[node.ConnID]*executorConn
	requests         map[policy.JobID]*clientRequest
	endpoints        map[policy.ExecutorID]invariants.Seen // what it was told last of each
	excluded         map[policy.ExecutorID]invariants.Seen // taken out by operators, with what the list says of them
	timerSeq         int                                   // the last Wake; older ones are void
	openJobs         int
	attemptsOut      int
	maxQueued        int
	process          *nodeProcess // its process, where the world is wired
	dialed           map[node.ConnID]*executor

	alivePeers    []cluster.NodeName // neighbours that it holds for alive, where nodes talk
	peerReachedAt map[invariants.NodeID]time.Duration
	workRate      workRate     // of what it does, to check what it tells
	corruption    int          // words told while it tells nonsense; 0 while it does not
	partitioned   bool         // no words pass between it and those that are not
	watchCut      bool         // it hears nothing from discovery
	suspended     bool         // its process stands still
	pendingEvents []node.Event // and this waits for it
}

// settings are what a node is told at its start.
func (n *simNode) settings() (policy.Settings, node.Limits) {
	f := &n.world.scenario.Fleet
	p := policy.Settings{Seed: uint32(permute(n.world.seed + uint64(n.id)<<20 + uint64(n.incarnation))), Node: int(n.id), Nodes: f.Nodes, Zone: n.zone,
		ValuePerWork: f.PerWork, CrossZoneCost: f.CrossPrice, TotalWeight: 0.8, WorstClassWeight: 0.2, MaxAttempts: f.Allocations,
		MayCancel: true, MaxRetryAfter: time.Duration(f.ComeBack), Quantum: 4 * time.Millisecond, LoadAdjustedWeights: f.WeightsEvery > 0,
		SlowStartCapacity: f.ColdShare, SlowStartDuration: time.Duration(f.WarmWithin), OverloadMultiple: f.FallMultiple,
		OverloadWindow: time.Duration(f.FallWindow), StartNotices: f.TellsStart, ProgressInterval: time.Duration(f.TellsEvery),
		MayLease: f.Talk && f.Keepers && n.world.wired == nil, MayHedge: f.Copies, ClientsMarkRetries: n.world.scenario.Load.MarksAgain && n.world.wired == nil, MayProbe: f.Probes && n.world.wired == nil}
	longest := time.Duration(0)
	for _, t := range n.world.jobClasses {
		t.DedupWindow = max(0, t.DedupWindow-time.Duration(f.DialLimit)) // as config does
		p.JobClasses = append(p.JobClasses, t)
		longest = max(longest, t.Deadline)
	}
	return p, node.Limits{Quantum: p.Quantum, MaxIdle: time.Duration(f.IdleLimit) * 4 / 5, DialTimeout: time.Duration(f.DialLimit),
		MaxConns: f.NodeConns, MaxBodyBytes: f.NodeBodies, RetryAfter: p.MaxRetryAfter, MaxWork: 4 * longest, LameDuckPeriod: config.LameDuckPeriod,
		ShutdownTimeout: min(longest, 3*time.Second) + 700*time.Millisecond - config.LameDuckPeriod}
}

// start starts a node: it has an old copy of the list, and asks for the list.
func (n *simNode) start() {
	n.incarnation++
	n.up, n.ready, n.frontendClosed, n.started = true, false, false, n.world.now
	n.conns, n.requests, n.endpoints = map[node.ConnID]*executorConn{}, map[policy.JobID]*clientRequest{}, map[policy.ExecutorID]invariants.Seen{}
	n.corruption, n.suspended, n.pendingEvents = 0, false, nil
	n.openJobs, n.attemptsOut, n.excluded = 0, 0, map[policy.ExecutorID]invariants.Seen{}
	n.world.observe(invariants.Seen{What: invariants.NodeStarted, Node: n.id})
	p, limits := n.settings()
	if n.world.defects.settings != nil {
		n.world.defects.settings(&p)
	}
	module := n.newPolicy(p)
	if n.world.defects.policy != nil {
		module = n.world.defects.policy(n.world, n, module)
	}
	if n.world.wired != nil {
		n.dialed = map[node.ConnID]*executor{}
		n.world.wired.startNode(n, p, limits, module)
		return
	}
	var tracks []node.JobClass
	for i, t := range p.JobClasses {
		tracks = append(tracks, node.JobClass{Name: strconv.Itoa(i), JobClass: t})
	}
	n.reducer = node.New(&policyRecorder{Policy: module, simNode: n}, limits, tracks)
	if n.world.scenario.Fleet.Talk {
		n.joinFleet()
	}
	n.deliver(n.endpointsUpdate(policy.CachedUpdate, n.world.discovery.Copy(n.world.now-cachedListAge)))
	n.later(firstWatchDelay, func() {
		n.world.discovery.Watch(n.id)
		n.deliverEndpoints()
	})
}

const (
	cachedListAge   = 10 * time.Second // how old the copy of the list is that a node starts with
	firstWatchDelay = 20 * time.Millisecond
)

// later does something at a node, unless it has ended by then.
func (n *simNode) later(span time.Duration, what func()) {
	run := n.incarnation
	n.world.after(span, func() {
		if n.up && n.incarnation == run {
			what()
		}
	})
}

// deliver hands an event to the reducer and carries out its effects.
func (n *simNode) deliver(ev node.Event) {
	if !n.up {
		return
	}
	if n.suspended {
		n.pendingEvents = append(n.pendingEvents, ev)
		return
	}
	events := []node.Event{ev}
	if n.world.defects.event != nil {
		events = n.world.defects.event(n.world, n, ev)
	}
	for _, ev := range events {
		effects := n.reducer.Step(n.world.now-n.started, ev)
		n.recordAdminCall(ev, effects)
		n.recordPeerDrains(effects)
		for _, e := range effects {
			if n.world.defects.effect == nil {
				n.execute(e)
				continue
			}
			for _, e := range n.world.defects.effect(n.world, n, e) {
				n.execute(e)
			}
		}
	}
}

func (n *simNode) execute(e node.Effect) {
	switch e := e.(type) {
	case node.Answer:
		n.answer(e)
	case node.Dial:
		n.dial(e)
	case node.WriteAttempt:
		n.writeAttempt(e)
	case node.CloseConn:
		n.closeConn(e.Conn)
	case node.ProbeExecutor:
		n.probe(e)
	case node.SetReady:
		n.later(time.Millisecond, func() { n.ready = e.Yes })
	case node.DrainClients:
		n.later(time.Millisecond, func() { n.ready = !e.On && !n.frontendClosed })
	case node.CloseFrontend:
		n.frontendClosed = true
		n.later(5*time.Millisecond, func() { n.deliver(node.FrontendClosed{}) })
	case node.WatchEndpoints:
		n.later(5*time.Millisecond, n.deliverEndpoints)
	case node.SendGossip:
		n.sendGossip(e.Envelope)
	case node.SendLeaseMessage:
		n.sendLeaseMessage(e)
	case node.SetTimer:
		n.timerSeq++
		mine := n.timerSeq
		n.later(n.started+e.At-n.world.now, func() {
			if n.timerSeq == mine {
				n.deliver(node.TimerFired{})
			}
		})
	case node.Log:
		n.recordLog(e)
	case node.Exit:
		n.exit()
	}
}

// recordLog takes in a line of the node's log.
func (n *simNode) recordLog(e node.Log) {
	if strings.HasPrefix(e.Text, node.PolicyPanicked) {
		n.world.result.Panics++
	}
	if n.world.traceFunc != nil {
		text, _, _ := strings.Cut(e.Text, "\n") // a stack has addresses, which differ
		n.world.observe(invariants.Seen{What: invariants.Note, Node: n.id, Job: e.Job, Executor: e.Executor, Text: text})
	}
}

// shutDown tells a node to end.
func (n *simNode) shutDown() {
	if n.process != nil {
		n.process.stop()
		return
	}
	n.deliver(node.ShutdownRequested{})
}

// kill ends a node without a word.
func (n *simNode) kill() {
	if !n.up {
		return
	}
	n.world.observe(invariants.Seen{What: invariants.NodeKilled, Node: n.id})
	if n.process != nil {
		n.process.kill()
	}
	n.exit()
}

// exit ends a node's process: its connections go, both ways. What is in flight to executors still comes.
func (n *simNode) exit() {
	n.up, n.ready, n.diedAt = false, false, n.world.now
	n.world.result.recordMaxQueued(n)
	for _, x := range sortedByID(n.conns) {
		if x.state != connClosed {
			x.state = connClosed
			x.closeAtExecutor()
		}
	}
	n.loseClients()
}

// endDownFault ends one fault that keeps a node down.
func (n *simNode) endDownFault() {
	if n.activeDownFaults--; n.activeDownFaults > 0 {
		return
	}
	n.activeDownFaults = 0
	if n.up { // it is still on its way out
		n.activeDownFaults = 1
		n.later(100*time.Millisecond, n.endDownFault)
		n.world.after(100*time.Millisecond, func() {
			if !n.up && n.activeDownFaults == 1 {
				n.endDownFault()
			}
		})
		return
	}
	n.start()
}

// suspend stops a node's process for a while, as SIGSTOP does: what comes meanwhile waits unread.
func (n *simNode) suspend(f emulator.Fault) {
	if !n.up || n.suspended {
		return
	}
	n.suspended = true
	n.world.observe(invariants.Seen{What: invariants.StoodStill, Node: n.id})
	n.later(f.For, func() {
		n.suspended = false
		n.workRate.suspendedUntil = n.world.now + suspendGrace
		n.world.observe(invariants.Seen{What: invariants.WentOn, Node: n.id})
		waiting := n.pendingEvents
		n.pendingEvents = nil
		for _, ev := range waiting {
			n.deliver(ev)
		}
		n.deliverEndpoints()
	})
}

// policyRecorder sees what the module decides.
type policyRecorder struct {
	node.Policy
	simNode *simNode
	process *nodeProcess // its process, where the world is wired
}

func (m *policyRecorder) recordDecision(id policy.JobID, d policy.Decision) policy.Decision {
	if d.Action == policy.Reject || d.Action == policy.Fail {
		gave := invariants.Seen{What: invariants.GaveUp, Node: m.simNode.id, Job: id}
		if l := m.process; l != nil {
			l.gaveUp = append(l.gaveUp, gave) // the step's tap sees it
		} else {
			m.simNode.world.observe(gave)
		}
	}
	return d
}

func (m *policyRecorder) Place(now time.Duration, id policy.JobID) policy.Decision {
	return m.recordDecision(id, m.Policy.Place(now, id))
}

func (m *policyRecorder) AttemptEnded(now time.Duration, id policy.JobID, a policy.AttemptID, how policy.Outcome, final bool) policy.Decision {
	if t := m.simNode.requests[id]; how == policy.Succeeded && t != nil {
		m.simNode.workRate.add(m.simNode.world.now, cmp.Or(t.work.Hint, m.simNode.world.classes[t.work.Track].Mean))
	}
	return m.recordDecision(id, m.Policy.AttemptEnded(now, id, a, how, final))
}
