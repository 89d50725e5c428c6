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
	s       Scenario
	seed    uint64
	bounds  bounds
	now     time.Duration
	queue   itemHeap
	count   uint64
	rand    *rand.Rand // of the network
	talks   *rand.Rand // of words between nodes
	noise   *rand.Rand // of attempts' work
	front   *rand.Rand // of the front layer, where nodes get unlike parts
	tracks  []emulator.Track
	orders  int // that operators have given to wired nodes
	module  []policy.JobClass
	policy  Policy
	account *ledger // nil where none is kept

	nodes     []*sim
	executors []*executor
	byAddr    map[string]*executor
	discovery *emulator.Discovery
	clients   []*callers
	memories  emulator.Memories
	wires     emulator.ConnID
	open      int // tries that clients wait for

	cuts      []cut // by zone
	wordsLost float64
	resetNew  float64
	silentNew float64
	clockOff  time.Duration

	checker *invariants.Checker
	trace   func(invariants.Seen)
	result  Result
	steps   int
	ties    int    // steps at the instant of the step before
	wired   *wired // nil where reducers are stepped event by event
	addrs   int
	most    int // broken rules after which it ends
	plant   plant
}

// plant holds defects that tests plant to check the checker. All are nil in use.
type plant struct {
	module func(*World, *sim, node.Policy) node.Policy
	event  func(*World, *sim, node.Event) []node.Event
	effect func(*World, *sim, node.Effect) []node.Effect

	settings   func(*policy.Settings)
	fleet      func(*cluster.Settings)
	standin    func(*emulator.Executor)
	allocation func(*emulator.Allocation)
	unheard    bool // nodes are not told that a client has left
	blind      bool // and don't see it at the last look before an attempt
}

// cut says until when nothing gets into a zone from others, and out of it.
type cut struct{ in, out time.Duration }

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
	w := &World{s: s, seed: seed, rand: stream(seed, "network"), talks: stream(seed, "words"), noise: stream(seed, "attempts"), front: stream(seed, "front"), byAddr: map[string]*executor{},
		memories: emulator.Memories{}, bounds: bounds{told: map[cluster.MessageID]time.Duration{}}, trace: o.Trace, cuts: make([]cut, len(s.Fleet.Zones)),
		discovery: emulator.NewDiscovery(time.Duration(s.Fleet.ListLag)), most: cmp.Or(o.Most, mostBroken), policy: cmp.Or(o.Policy, ModulePolicy)}
	if o.Account {
		w.account = &ledger{w: w, open: map[invariants.WorkID]*history{}}
	}
	w.tracks, w.module = s.Takes()
	w.checker = invariants.New(invariants.Settings{Tracks: w.module, Slack: slack, Grace: time.Duration(s.Fleet.DrainGrace),
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

// item is something that is to happen. Those of one instant go in an order that only the seed decides.
type item struct {
	at   time.Duration
	tie  uint64
	what func()
}

func (a *item) before(b *item) bool { return a.at < b.at || a.at == b.at && a.tie < b.tie }

// itemHeap is a binary heap, the next item first. It is not container/heap: that makes a value of each item and calls by interface,
// which costs a large part of a world.
type itemHeap []item

func (h *itemHeap) push(x item) {
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

func (h *itemHeap) pop() item {
	all := *h
	first, end := all[0], len(all)-1
	x := all[end]
	all[end] = item{}
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

// mix is a permutation of all numbers that looks like chance.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (w *World) at(at time.Duration, what func()) {
	w.count++
	w.queue.push(item{max(at, w.now), mix(w.seed ^ w.count*0x9e3779b97f4a7c15), what})
	if w.wired != nil {
		w.wired.pushed()
	}
}

func (w *World) after(span time.Duration, what func()) { w.at(w.now+span, what) }

// see hands on what is seen, to the rules and to the trace.
func (w *World) see(s invariants.Seen) {
	s.At = w.now
	if w.wired == nil {
		w.check(s)
		return
	}
	by := "" // the script and what hangs on it come first
	switch {
	case s.What == invariants.Ran || s.What == invariants.Reached:
		by = "x" + string(s.Executor)
	case s.Node != invariants.Nobody:
		by = fmt.Sprintf("n%04d", s.Node)
	}
	w.wired.see(by, s)
}

// check hands a thing seen to the rules and to the trace.
func (w *World) check(s invariants.Seen) {
	if w.trace != nil {
		w.trace(s)
	}
	for _, b := range w.checker.See(s) {
		w.result.Broken = append(w.result.Broken, b)
		if w.trace != nil {
			w.trace(invariants.Seen{At: w.now, What: invariants.Note, Node: invariants.Nobody, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

func (w *World) note(format string, args ...any) {
	w.see(invariants.Seen{What: invariants.Note, Node: invariants.Nobody, Text: fmt.Sprintf(format, args...)})
}

// Play plays the world to its end: until all that clients wait for is over.
func (w *World) Play() Result {
	w.build()
	length, end := time.Duration(w.s.Length), w.longestEnd()
	for len(w.queue) > 0 && len(w.result.Broken) < w.most {
		it := w.queue.pop()
		if it.at > end || w.open == 0 && it.at > length+afterEnd {
			break
		}
		if it.at == w.now {
			w.ties++
		}
		// Not by an item of its own: what falls on one instant goes by the count of items.
		for at := time.Duration(len(w.result.capacity)) * Bin; at <= it.at && at < end; at += Bin {
			w.now = at
			w.result.sample(w)
		}
		w.now = it.at
		w.steps++
		it.what()
	}
	w.passTime()
	w.result.finish(w)
	return w.result
}

// passTime lets the checker see what was due by now.
func (w *World) passTime() {
	w.checker.Pass(w.now)
	w.result.Broken = append(w.result.Broken, w.checker.Broken()[len(w.result.Broken):]...)
}

// longestEnd is when all that clients wait for is over at the latest.
func (w *World) longestEnd() time.Duration {
	end := time.Duration(w.s.Length)
	for _, t := range w.tracks {
		end = max(end, time.Duration(w.s.Length)+t.Deadline+time.Second)
	}
	return end
}

const (
	afterEnd   = 2 * time.Second // what is left over after the last answer shows by then
	mostBroken = 20              // more say nothing new
)

// build sets all up: executors that have run for long, nodes that have the list, clients.
func (w *World) build() {
	f := &w.s.Fleet
	speeds := stream(w.seed, "speeds")
	for i := range f.Executors {
		w.addExecutor(fmt.Sprint("e", i), i, f.Speed*(1+f.Spread*(2*speeds.Float64()-1)))
	}
	for i, x := range w.executors {
		if w.plant.standin != nil {
			w.plant.standin(x.Executor)
		}
		w.discovery.Change(-time.Duration(f.ListLag)-time.Hour+time.Duration(i), x.entry(policy.Available))
		if w.wired != nil {
			w.wired.startExecutor(x)
		}
	}
	for i := range f.Nodes {
		n := &sim{w: w, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: policy.ZoneID(i % len(f.Zones)), part: 1}
		if skew := w.s.Load.NodeSkew; skew > 0 {
			n.part = math.Exp(w.front.NormFloat64() * skew)
		}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	if w.account != nil {
		w.account.build()
	}
	if f.WeightsEvery > 0 {
		w.after(time.Duration(f.WeightsEvery), w.weigh)
	}
	w.buildClients()
	if w.wired != nil && w.s.Load.Bad > 0 {
		w.wired.letBadCome()
	}
	for _, f := range w.s.Faults {
		w.script(f.Standin())
	}
}

// sim is a node in the world: the reducer, and what stands around it in a process.
type sim struct {
	w        *World
	id       invariants.NodeID
	name     string
	zone     policy.ZoneID
	part     float64 // of its zone's traffic, against the others'
	core     *node.Node
	run      int // its starts so far
	up       bool
	ready    bool
	closed   bool // the front takes nothing any more
	down     int  // faults that keep it down
	started  time.Duration
	diedAt   time.Duration
	wires    map[node.ConnID]*wire
	tries    map[policy.JobID]*try
	known    map[policy.ExecutorID]invariants.Seen // what it was told last of each
	outs     map[policy.ExecutorID]invariants.Seen // taken out by operators, with what the list says of them
	wake     int                                   // the last Wake; older ones are void
	inHand   int
	out      int
	mostHeld int
	life     *life // its process, where the world is wired
	dials    map[node.ConnID]*executor

	alive   []cluster.NodeName // neighbours that it holds for alive, where nodes talk
	reached map[invariants.NodeID]time.Duration
	pace    pace         // of what it does, to check what it tells
	lies    int          // words told while it tells nonsense; 0 while it does not
	apart   bool         // no words pass between it and those that are not
	noList  bool         // it hears nothing from discovery
	stopped bool         // its process stands still
	unread  []node.Event // and this waits for it
}

// settings are what a node is told at its start.
func (n *sim) settings() (policy.Settings, node.Limits) {
	f := &n.w.s.Fleet
	p := policy.Settings{Seed: uint32(mix(n.w.seed + uint64(n.id)<<20 + uint64(n.run))), Node: int(n.id), Nodes: f.Nodes, Zone: n.zone,
		ValuePerWork: f.PerWork, CrossZoneCost: f.CrossPrice, TotalWeight: 0.8, WorstClassWeight: 0.2, MaxAttempts: f.Allocations,
		MayCancel: true, MaxRetryAfter: time.Duration(f.ComeBack), Quantum: 4 * time.Millisecond, LoadAdjustedWeights: f.WeightsEvery > 0,
		SlowStartCapacity: f.ColdShare, SlowStartDuration: time.Duration(f.WarmWithin), OverloadMultiple: f.FallMultiple,
		OverloadWindow: time.Duration(f.FallWindow), StartNotices: f.TellsStart, ProgressInterval: time.Duration(f.TellsEvery),
		MayLease: f.Talk && f.Keepers && n.w.wired == nil, MayHedge: f.Copies, ClientsMarkRetries: n.w.s.Load.MarksAgain && n.w.wired == nil, MayProbe: f.Probes && n.w.wired == nil}
	longest := time.Duration(0)
	for _, t := range n.w.module {
		t.DedupWindow = max(0, t.DedupWindow-time.Duration(f.DialLimit)) // as config does
		p.JobClasses = append(p.JobClasses, t)
		longest = max(longest, t.Deadline)
	}
	return p, node.Limits{Quantum: p.Quantum, MaxIdle: time.Duration(f.IdleLimit) * 4 / 5, DialTimeout: time.Duration(f.DialLimit),
		MaxConns: f.NodeConns, MaxBodyBytes: f.NodeBodies, RetryAfter: p.MaxRetryAfter, MaxWork: 4 * longest, LameDuckPeriod: config.LameDuckPeriod,
		ShutdownTimeout: min(longest, 3*time.Second) + 700*time.Millisecond - config.LameDuckPeriod}
}

// start starts a node: it has an old copy of the list, and asks for the list.
func (n *sim) start() {
	n.run++
	n.up, n.ready, n.closed, n.started = true, false, false, n.w.now
	n.wires, n.tries, n.known = map[node.ConnID]*wire{}, map[policy.JobID]*try{}, map[policy.ExecutorID]invariants.Seen{}
	n.lies, n.stopped, n.unread = 0, false, nil
	n.inHand, n.out, n.outs = 0, 0, map[policy.ExecutorID]invariants.Seen{}
	n.w.see(invariants.Seen{What: invariants.NodeStarted, Node: n.id})
	p, limits := n.settings()
	if n.w.plant.settings != nil {
		n.w.plant.settings(&p)
	}
	module := n.module(p)
	if n.w.plant.module != nil {
		module = n.w.plant.module(n.w, n, module)
	}
	if n.w.wired != nil {
		n.dials = map[node.ConnID]*executor{}
		n.w.wired.startNode(n, p, limits, module)
		return
	}
	var tracks []node.JobClass
	for i, t := range p.JobClasses {
		tracks = append(tracks, node.JobClass{Name: strconv.Itoa(i), JobClass: t})
	}
	n.core = node.New(&witness{Policy: module, n: n}, limits, tracks)
	if n.w.s.Fleet.Talk {
		n.talk()
	}
	n.tell(n.listed(policy.CachedUpdate, n.w.discovery.Copy(n.w.now-copyAge)))
	n.later(firstList, func() {
		n.w.discovery.Watch(n.id)
		n.news()
	})
}

const (
	copyAge   = 10 * time.Second // how old the copy of the list is that a node starts with
	firstList = 20 * time.Millisecond
)

// witness sees what the module decides.
type witness struct {
	node.Policy
	n    *sim
	life *life // its process, where the world is wired
}

func (m *witness) gaveUp(id policy.JobID, d policy.Decision) policy.Decision {
	if d.Action == policy.Reject || d.Action == policy.Fail {
		gave := invariants.Seen{What: invariants.GaveUp, Node: m.n.id, Job: id}
		if l := m.life; l != nil {
			l.gave = append(l.gave, gave) // the step's tap sees it
		} else {
			m.n.w.see(gave)
		}
	}
	return d
}

func (m *witness) Place(now time.Duration, id policy.JobID) policy.Decision {
	return m.gaveUp(id, m.Policy.Place(now, id))
}

func (m *witness) AttemptEnded(now time.Duration, id policy.JobID, a policy.AttemptID, how policy.Outcome, final bool) policy.Decision {
	if t := m.n.tries[id]; how == policy.Succeeded && t != nil {
		m.n.pace.did(m.n.w.now, cmp.Or(t.work.Hint, m.n.w.tracks[t.work.Track].Mean))
	}
	return m.gaveUp(id, m.Policy.AttemptEnded(now, id, a, how, final))
}

// later does something at a node, unless it has ended by then.
func (n *sim) later(span time.Duration, what func()) {
	run := n.run
	n.w.after(span, func() {
		if n.up && n.run == run {
			what()
		}
	})
}

// tell hands an event to the reducer and carries out its effects.
func (n *sim) tell(ev node.Event) {
	if !n.up {
		return
	}
	if n.stopped {
		n.unread = append(n.unread, ev)
		return
	}
	events := []node.Event{ev}
	if n.w.plant.event != nil {
		events = n.w.plant.event(n.w, n, ev)
	}
	for _, ev := range events {
		effects := n.core.Step(n.w.now-n.started, ev)
		n.ordered(ev, effects)
		n.counts(effects)
		for _, e := range effects {
			if n.w.plant.effect == nil {
				n.carryOut(e)
				continue
			}
			for _, e := range n.w.plant.effect(n.w, n, e) {
				n.carryOut(e)
			}
		}
	}
}

func (n *sim) carryOut(e node.Effect) {
	switch e := e.(type) {
	case node.Answer:
		n.answer(e)
	case node.Dial:
		n.dial(e)
	case node.WriteAttempt:
		n.write(e)
	case node.CloseConn:
		n.close(e.Conn)
	case node.ProbeExecutor:
		n.probe(e)
	case node.SetReady:
		n.later(time.Millisecond, func() { n.ready = e.Yes })
	case node.DrainClients:
		n.later(time.Millisecond, func() { n.ready = !e.On && !n.closed })
	case node.CloseFrontend:
		n.closed = true
		n.later(5*time.Millisecond, func() { n.tell(node.FrontendClosed{}) })
	case node.WatchEndpoints:
		n.later(5*time.Millisecond, n.news)
	case node.SendGossip:
		n.say(e.Envelope)
	case node.SendLeaseMessage:
		n.sayPlace(e)
	case node.SetTimer:
		n.wake++
		mine := n.wake
		n.later(n.started+e.At-n.w.now, func() {
			if n.wake == mine {
				n.tell(node.TimerFired{})
			}
		})
	case node.Log:
		n.logged(e)
	case node.Exit:
		n.end()
	}
}

// logged takes in a line of the node's log.
func (n *sim) logged(e node.Log) {
	if strings.HasPrefix(e.Text, node.PolicyPanicked) {
		n.w.result.Panics++
	}
	if n.w.trace != nil {
		text, _, _ := strings.Cut(e.Text, "\n") // a stack has addresses, which differ
		n.w.see(invariants.Seen{What: invariants.Note, Node: n.id, Job: e.Job, Executor: e.Executor, Text: text})
	}
}

// stop tells a node to end.
func (n *sim) stop() {
	if n.life != nil {
		n.life.stop()
		return
	}
	n.tell(node.ShutdownRequested{})
}

// kill ends a node without a word.
func (n *sim) kill() {
	if !n.up {
		return
	}
	n.w.see(invariants.Seen{What: invariants.NodeKilled, Node: n.id})
	if n.life != nil {
		n.life.kill()
	}
	n.end()
}

// end ends a node's process: its connections go, both ways. What is in flight to executors still comes.
func (n *sim) end() {
	n.up, n.ready, n.diedAt = false, false, n.w.now
	n.w.result.held(n)
	for _, x := range sortedByID(n.wires) {
		if x.state != closed {
			x.state = closed
			x.hangup()
		}
	}
	n.loseClients()
}

// listed makes an event of the list, and books what it tells the node.
func (n *sim) listed(kind policy.EndpointUpdateKind, entries []emulator.Entry) node.EndpointsUpdated {
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
		n.told(invariants.Seen{What: invariants.Told, Node: n.id, Executor: e.Executor, State: e.State, Start: start})
	}
	if kind == policy.CompleteUpdate {
		for _, was := range sortedSeen(n.known) {
			if !named[was.Executor] && was.State != policy.Removed {
				was.State = policy.Removed
				n.told(was)
			}
		}
	}
	return ev
}

// order has an operator call at a node.
func (n *sim) order(o node.AdminCommand, id policy.ExecutorID) {
	ev := node.AdminCalled{Command: o, Executor: id}
	switch {
	case !n.up:
	case n.life != nil:
		n.life.order(ev)
	default:
		n.tell(ev)
	}
}

// ordered books what the node is told by an operator, once it has said yes.
func (n *sim) ordered(ev node.Event, effects []node.Effect) {
	c, ok := ev.(node.AdminCalled)
	if !ok || !slices.ContainsFunc(effects, func(e node.Effect) bool { r, ok := e.(node.AdminReply); return ok && r.Refusal == "" }) {
		return
	}
	raw, out := n.outs[c.Executor]
	switch {
	case c.Command == node.ExcludeExecutor && !out:
		raw = n.known[c.Executor]
		n.outs[c.Executor] = raw
		n.told(raw)
	case c.Command == node.ReadmitExecutor && out:
		delete(n.outs, c.Executor)
		n.told(raw)
	}
}

// told books what the node is told of an executor, unless it is what it was told before. One that operators have taken
// out drains, whatever the list says.
func (n *sim) told(s invariants.Seen) {
	s.At = 0
	if _, out := n.outs[s.Executor]; out {
		n.outs[s.Executor] = s
		if s.State == policy.Available {
			s.State = policy.Draining
		}
	}
	if n.known[s.Executor] != s {
		n.known[s.Executor] = s
		n.w.see(s)
	}
}

// news hands a node what discovery has for it, unless its zone hears nothing.
func (n *sim) news() {
	if until := n.w.cuts[n.zone].in; until > n.w.now {
		n.later(until-n.w.now+time.Millisecond, n.news)
		return
	}
	if n.noList || n.stopped {
		return
	}
	kind, entries := n.w.discovery.News(n.w.now, n.id)
	if kind == policy.IncrementalUpdate && len(entries) == 0 {
		return
	}
	n.tell(n.listed(kind, entries))
}

// change books a change of an executor's entry; nodes hear of it in time.
func (w *World) change(e emulator.Entry) {
	at := w.discovery.Change(w.now, e)
	w.checker.Listed(at, e.Executor, e.State)
	w.tellAll(at)
}

func (w *World) tellAll(at time.Duration) {
	if w.wired != nil {
		w.at(at, w.wired.changed)
		return
	}
	for _, n := range w.nodes {
		if n.up {
			n.later(at-w.now+time.Duration(w.rand.IntN(20000))*time.Microsecond, n.news)
		}
	}
}

// weigh renews the live weights.
func (w *World) weigh() {
	at := time.Duration(0)
	for _, x := range w.executors {
		if e, ok := w.discovery.Entry(x.ID); ok {
			e.Weight = x.size() / (1 + float64(x.Held())/float64(x.Cores))
			at = w.discovery.Change(w.now, e)
		}
	}
	if at > 0 {
		w.tellAll(at)
	}
	w.after(time.Duration(w.s.Fleet.WeightsEvery), w.weigh)
}

func (x *executor) size() float64 { return float64(x.Cores) * x.Speed }

// memory is what remembers the tags of a track's batch jobs at an executor.
func (w *World) memory(x *executor, id policy.JobClassID) *emulator.Memory {
	return w.memories.Of(id, w.module[id].DedupGroup, x.ExecutorSpec)
}

func compareIDs(a, b invariants.Seen) int { return cmp.Compare(a.Executor, b.Executor) }
