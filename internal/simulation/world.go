package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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

// partition says until when nothing gets into a zone from others, and out of it.
type partition struct{ inboundUntil, outboundUntil time.Duration }

// Options say how a world is played.
type Options struct {
	Trace func(invariants.Seen) // told of everything that is seen; nil for nothing
	Most  int                   // broken rules after which it ends; 0 for 20
	// What decides at the nodes; the module where it is empty. Others are for worlds of events alone.
	Policy  Policy
	Account bool // keep an account of lost earnings, likewise
}

// slack is how long after an outer limit an answer still counts, and prompt what counts as at once.
const (
	slack  = 16 * time.Millisecond
	prompt = time.Millisecond
)

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

// stream is a source of chance of its own for each use, so that a fault taken out changes as little else as can be.
func stream(seed uint64, use string) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(use) {
		h = (h ^ uint64(use[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h))
}

// scheduledEvent is something that is to happen. Those of one instant go in an order that only the seed decides.
type scheduledEvent struct {
	at       time.Duration
	tieBreak uint64
	run      func()
}

func (a *scheduledEvent) before(b *scheduledEvent) bool {
	return a.at < b.at || a.at == b.at && a.tieBreak < b.tieBreak
}

// eventHeap is a binary heap, the next item first. It is not container/heap: that makes a value of each item and calls by interface,
// which costs a large part of a world.
type eventHeap []scheduledEvent

func (h *eventHeap) push(x scheduledEvent) {
	all := append(*h, x)
	i := len(all) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !x.before(&all[up]) {
			break
		}
		all[i], i = all[up], up
	}
	all[i] = x
	*h = all
}

func (h *eventHeap) pop() scheduledEvent {
	all := *h
	first, end := all[0], len(all)-1
	x := all[end]
	all[end] = scheduledEvent{}
	all = all[:end]
	*h = all
	if end == 0 {
		return first
	}
	i := 0
	for {
		next := 2*i + 1
		if next >= end {
			break
		}
		if next+1 < end && all[next+1].before(&all[next]) {
			next++
		}
		if !all[next].before(&x) {
			break
		}
		all[i], i = all[next], next
	}
	all[i] = x
	return first
}

// permute is a permutation of all numbers that looks like chance.
func permute(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (w *World) at(at time.Duration, what func()) {
	w.scheduled++
	w.events.push(scheduledEvent{max(at, w.now), permute(w.seed ^ w.scheduled*0x9e3779b97f4a7c15), what})
	if w.wired != nil {
		w.wired.eventScheduled()
	}
}

func (w *World) after(span time.Duration, what func()) { w.at(w.now+span, what) }

// observe hands on what is seen, to the rules and to the trace.
func (w *World) observe(s invariants.Seen) {
	s.At = w.now
	if w.wired == nil {
		w.report(s)
		return
	}
	by := "" // the script and what hangs on it come first
	switch {
	case s.What == invariants.Ran || s.What == invariants.Reached:
		by = "x" + string(s.Executor)
	case s.Node != invariants.Nobody:
		by = fmt.Sprintf("n%04d", s.Node)
	}
	w.wired.buffer(by, s)
}

// report hands a thing seen to the rules and to the trace.
func (w *World) report(s invariants.Seen) {
	if w.traceFunc != nil {
		w.traceFunc(s)
	}
	for _, b := range w.checker.See(s) {
		w.result.Broken = append(w.result.Broken, b)
		if w.traceFunc != nil {
			w.traceFunc(invariants.Seen{At: w.now, What: invariants.Note, Node: invariants.Nobody, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

func (w *World) note(format string, args ...any) {
	w.observe(invariants.Seen{What: invariants.Note, Node: invariants.Nobody, Text: fmt.Sprintf(format, args...)})
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

// advanceChecker lets the checker see what was due by now.
func (w *World) advanceChecker() {
	w.checker.Pass(w.now)
	w.result.Broken = append(w.result.Broken, w.checker.Broken()[len(w.result.Broken):]...)
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

// endpointsUpdate makes an event of the list, and books what it tells the node.
func (n *simNode) endpointsUpdate(kind policy.EndpointUpdateKind, entries []emulator.Entry) node.EndpointsUpdated {
	ev := node.EndpointsUpdated{Kind: kind}
	if kind == policy.WatchFailed {
		ev.Detail = "no answer"
		return ev
	}
	named := map[policy.ExecutorID]bool{}
	for _, e := range entries {
		named[e.Executor] = true
		if !e.StartedLongAgo {
			e.StartedAt -= n.started
		}
		ev.Endpoints = append(ev.Endpoints, node.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
		start := e.StartedAt + n.started
		if e.StartedLongAgo {
			start = -time.Hour
		}
		n.recordEndpoint(invariants.Seen{What: invariants.Told, Node: n.id, Executor: e.Executor, State: e.State, Start: start})
	}
	if kind == policy.CompleteUpdate {
		for _, was := range sortedSeen(n.endpoints) {
			if !named[was.Executor] && was.State != policy.Removed {
				was.State = policy.Removed
				n.recordEndpoint(was)
			}
		}
	}
	return ev
}

// adminCall has an operator call at a node.
func (n *simNode) adminCall(o node.AdminCommand, id policy.ExecutorID) {
	ev := node.AdminCalled{Command: o, Executor: id}
	switch {
	case !n.up:
	case n.process != nil:
		n.process.adminCall(ev)
	default:
		n.deliver(ev)
	}
}

// recordAdminCall books what the node is told by an operator, once it has said yes.
func (n *simNode) recordAdminCall(ev node.Event, effects []node.Effect) {
	c, ok := ev.(node.AdminCalled)
	if !ok || !slices.ContainsFunc(effects, func(e node.Effect) bool { r, ok := e.(node.AdminReply); return ok && r.Refusal == "" }) {
		return
	}
	raw, out := n.excluded[c.Executor]
	switch {
	case c.Command == node.ExcludeExecutor && !out:
		raw = n.endpoints[c.Executor]
		n.excluded[c.Executor] = raw
		n.recordEndpoint(raw)
	case c.Command == node.ReadmitExecutor && out:
		delete(n.excluded, c.Executor)
		n.recordEndpoint(raw)
	}
}

// recordEndpoint books what the node is told of an executor, unless it is what it was told before. One that operators have taken
// out drains, whatever the list says.
func (n *simNode) recordEndpoint(s invariants.Seen) {
	s.At = 0
	if _, out := n.excluded[s.Executor]; out {
		n.excluded[s.Executor] = s
		if s.State == policy.Available {
			s.State = policy.Draining
		}
	}
	if n.endpoints[s.Executor] != s {
		n.endpoints[s.Executor] = s
		n.world.observe(s)
	}
}

// deliverEndpoints hands a node what discovery has for it, unless its zone hears nothing.
func (n *simNode) deliverEndpoints() {
	if until := n.world.partitions[n.zone].inboundUntil; until > n.world.now {
		n.later(until-n.world.now+time.Millisecond, n.deliverEndpoints)
		return
	}
	if n.watchCut || n.suspended {
		return
	}
	kind, entries := n.world.discovery.News(n.world.now, n.id)
	if kind == policy.IncrementalUpdate && len(entries) == 0 {
		return
	}
	n.deliver(n.endpointsUpdate(kind, entries))
}

// updateEndpoint books a change of an executor's entry; nodes hear of it in time.
func (w *World) updateEndpoint(e emulator.Entry) {
	at := w.discovery.Change(w.now, e)
	w.checker.Listed(at, e.Executor, e.State)
	w.notifyNodes(at)
}

func (w *World) notifyNodes(at time.Duration) {
	if w.wired != nil {
		w.at(at, w.wired.notifyWatches)
		return
	}
	for _, n := range w.nodes {
		if n.up {
			n.later(at-w.now+time.Duration(w.networkRand.IntN(20000))*time.Microsecond, n.deliverEndpoints)
		}
	}
}

// updateWeights renews the live weights.
func (w *World) updateWeights() {
	at := time.Duration(0)
	for _, x := range w.executors {
		if e, ok := w.discovery.Entry(x.ID); ok {
			e.Weight = x.relativeCapacity() / (1 + float64(x.Held())/float64(x.Cores))
			at = w.discovery.Change(w.now, e)
		}
	}
	if at > 0 {
		w.notifyNodes(at)
	}
	w.after(time.Duration(w.scenario.Fleet.WeightsEvery), w.updateWeights)
}

func (x *executor) relativeCapacity() float64 { return float64(x.Cores) * x.Speed }

// dedupMemory is what remembers the tags of a track's batch jobs at an executor.
func (w *World) dedupMemory(x *executor, id policy.JobClassID) *emulator.Memory {
	return w.memories.Of(id, w.jobClasses[id].DedupGroup, x.ExecutorSpec)
}

func compareByExecutor(a, b invariants.Seen) int { return cmp.Compare(a.Executor, b.Executor) }
