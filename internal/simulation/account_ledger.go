package simulation

import (
	"maps"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// accountLedger keeps what an account needs.
type accountLedger struct {
	world        *World
	open         map[invariants.WorkID]*jobHistory
	tracks       []AccountRow
	nodes        []nodeRow
	unreached    AccountRow            // of batch jobs that no node took
	approaching  map[*executor]int     // by executor, attempts on their way
	workReceived map[*executor]float64 // and the work that reached it

	attempts, waited, freeUsed, freeZone, freeAny int

	heldZone, heldAny float64
}

// nodeRow is a node's part.
type nodeRow struct {
	AccountRow
	attemptsTo map[*executor]int // attempts by executor
}

func (b *accountLedger) init() {
	b.approaching, b.workReceived = map[*executor]int{}, map[*executor]float64{}
	for _, t := range b.world.scenario.Tracks {
		b.tracks = append(b.tracks, AccountRow{Name: t.Name})
	}
	for _, n := range b.world.nodes {
		b.nodes = append(b.nodes, nodeRow{AccountRow: AccountRow{Name: n.name}, attemptsTo: map[*executor]int{}})
	}
}

// recordSubmit: a client hands a batch job in at a node; nil where there is none.
func (b *accountLedger) recordSubmit(work *emulator.Work, n *simNode) {
	if b == nil {
		return
	}
	h := b.open[work.ID]
	if h == nil {
		h = &jobHistory{work: work}
		b.open[work.ID] = h
	}
	if h.firstNode == nil && n != nil {
		h.firstNode, h.idleAtArrival = n, b.idleCores(n, nil)
	}
	h.requests = append(h.requests, &requestHistory{from: b.world.now, arrived: notSeen, answered: notSeen, done: notSeen})
}

// request is the present try of a batch job, where it is open still.
func (b *accountLedger) request(t *clientRequest) *requestHistory {
	if b == nil || b.open[t.work.ID] == nil || t.job != t.work.Job() {
		return &requestHistory{}
	}
	h := b.open[t.work.ID]
	return h.requests[len(h.requests)-1]
}

// recordSent: an attempt's first byte leaves. It gives what the rest is written into.
func (b *accountLedger) recordSent(t *clientRequest, x *executor) *attemptHistory {
	a := &attemptHistory{executor: x, sent: t.node.world.now, reached: notSeen, began: notSeen, ended: notSeen, endedAtNode: notSeen, dialedAt: notSeen, connUpAt: notSeen}
	if b == nil {
		return a
	}
	a.idle = b.idleCores(t.node, x)
	b.nodes[t.node.id].attemptsTo[x]++
	b.approaching[x]++
	b.attempts++
	if h := b.open[t.work.ID]; h != nil {
		h.attempts = append(h.attempts, a)
	}
	return a
}

// idleCores says where a core stood free at a moment: at an executor that the node had used, in its zone, anywhere.
type idleCores struct{ used, zone, any bool }

// idleCores says where a core stands free for a node now, but for one executor.
func (b *accountLedger) idleCores(n *simNode, but *executor) (f idleCores) {
	for _, x := range b.world.executors {
		if x == but || x.Held()+b.approaching[x] >= x.Cores || !x.Up || x.unreachable || x.Drains {
			continue
		}
		f.any = true
		f.zone = f.zone || x.Zone == n.zone
		f.used = f.used || b.nodes[n.id].attemptsTo[x] > 0
	}
	return f
}

// recordReached: it has come to its executor, with so much work.
func (b *accountLedger) recordReached(a *attemptHistory, work float64) {
	a.reached = a.executor.world.now
	if b != nil {
		b.approaching[a.executor]--
		b.workReceived[a.executor] += work
	}
}

// recordBegan: its executor has begun on it.
func (b *accountLedger) recordBegan(a *attemptHistory) {
	if a.began != notSeen {
		return
	}
	a.began = a.executor.world.now
	a.slow = a.executor.Speed/max(1, a.executor.Trouble().Slow) < slowUnder
	if b != nil && a.began-a.reached > attemptWaits {
		b.waited++
		b.freeUsed += countTrue(a.idle.used)
		b.freeZone += countTrue(a.idle.zone)
		b.freeAny += countTrue(a.idle.any)
	}
}

// recordAnswer: its executor says something of it.
func (b *accountLedger) recordAnswer(a *attemptHistory, word emulator.Word) {
	switch word {
	case emulator.Began:
		b.recordBegan(a)
	case emulator.Done, emulator.Errored, emulator.NoRoom:
		a.ended = a.executor.world.now
	}
}

func countTrue(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// recordEnded: its node is told that it is over.
func (b *accountLedger) recordEnded(a *attemptHistory, how policy.Outcome) {
	a.endedAtNode, a.outcome = a.executor.world.now, how
	if a.canceled {
		a.outcome = policy.Canceled
	}
	if b != nil && a.reached == notSeen {
		// It may still come there, as a break does not stop what is under way; then it is counted off once only.
		b.approaching[a.executor]--
		a.reached = a.endedAtNode
	}
}

// recordFinished: a batch job is over for its client, and earned so much.
func (b *accountLedger) recordFinished(work *emulator.Work, earned float64) {
	if b == nil {
		return
	}
	h := b.open[work.ID]
	delete(b.open, work.ID)
	cause, times := h.cause(b.world)
	if cause <= HeldAtNode && h.idleAtArrival.zone {
		b.heldZone += work.Earns - earned
	}
	if cause <= HeldAtNode && h.idleAtArrival.any {
		b.heldAny += work.Earns - earned
	}
	rows := []*AccountRow{&b.tracks[work.Track], &b.unreached}
	if h.firstNode != nil {
		rows[1] = &b.nodes[h.firstNode.id].AccountRow
	}
	for _, r := range rows {
		r.record(work, earned, cause, times)
		r.workSent += work.Cost * float64(len(h.attempts))
	}
}

// finish makes the account of all.
func (b *accountLedger) finish() *Account {
	w := b.world
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		b.recordFinished(b.open[id].work, 0)
	}
	a := &Account{Scenario: w.scenario.Name, Seed: w.seed, Policy: w.policy, Nodes: len(w.nodes), Executors: len(w.executors), Length: w.scenario.Length,
		Attempts: b.attempts, Crossings: w.result.Crossings, Waited: part(float64(b.waited), float64(b.attempts)),
		FreeUsed: part(float64(b.freeUsed), float64(b.waited)), FreeZone: part(float64(b.freeZone), float64(b.waited)),
		FreeAny: part(float64(b.freeAny), float64(b.waited)), Broken: len(w.result.Broken)}
	a.All.Name = "all"
	for _, t := range b.tracks {
		a.All.add(t)
		a.Tracks = append(a.Tracks, t)
	}
	var busy []float64
	for _, x := range w.executors {
		busy = append(busy, b.workReceived[x]/(float64(min(x.Cores, x.Places))*x.Speed*time.Duration(w.scenario.Length).Seconds()))
	}
	for i := range b.nodes {
		n := &b.nodes[i]
		n.subsetSize, n.subsetLoad = use(n.attemptsTo, w.executors, busy)
	}
	for _, n := range b.nodes {
		a.All.Slice += n.subsetSize / float64(len(b.nodes))
		a.All.Load += n.subsetLoad / float64(len(b.nodes))
	}
	a.Traffic = quarters(b.nodes, func(n nodeRow) float64 { return n.workOffered }, "nodes by traffic")
	a.Slices = quarters(b.nodes, func(n nodeRow) float64 { return n.subsetLoad }, "nodes by slice")
	if b.unreached.Works > 0 {
		b.unreached.Name = "no node"
		a.Traffic, a.Slices = append(a.Traffic, b.unreached), append(a.Slices, b.unreached)
	}
	slices.Sort(busy)
	for q := range 5 {
		a.Busy = append(a.Busy, busy[q*(len(busy)-1)/4])
	}
	a.All.finish()
	held := a.All.lostByCause[NeverSent] + a.All.lostByCause[SentTooLate] + a.All.lostByCause[HeldAtNode]
	a.HeldZone, a.HeldAny = part(b.heldZone, held), part(b.heldAny, held)
	a.Worst, a.WorstTrack = w.result.Worst, 1
	for _, t := range a.Tracks {
		a.WorstTrack = min(a.WorstTrack, part(t.Earned, t.Offered))
	}
	for _, rows := range [][]AccountRow{a.Tracks, a.Traffic, a.Slices} {
		for i := range rows {
			rows[i].finish()
		}
	}
	return a
}

// attemptWaits is from when on a start counts as having waited: new connections cost an executor as much.
const attemptWaits = 5 * time.Millisecond

// slowUnder is the speed, against a standard core, under which an executor counts as slow.
const slowUnder = 0.9
