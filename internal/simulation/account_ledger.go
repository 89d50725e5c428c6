package simulation

import (
	"maps"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

const (
	// An attempt counts as queued if it starts more than this after its arrival. Setting up a new connection delays a
	// start by less.
	queuedAfter   = 5 * time.Millisecond
	slowCoreSpeed = 0.9 // a core slower than this counts as slow; a standard core has speed 1
)

// accountLedger records the data of an account during a simulation. It does not influence the simulation. A simulation
// without an account has a nil ledger; the methods of a nil ledger record nothing in an account.
type accountLedger struct {
	sim       *Simulation
	inFlight  map[invariants.WorkID]*jobHistory
	classes   []AccountRow
	nodes     []nodeRow
	unreached AccountRow // sums over the work items for which no node could be reached

	attemptsInTransit map[*executor]int     // number of attempts on their way to each executor
	workReceived      map[*executor]float64 // work of the attempts that arrived at each executor, in seconds on a standard core

	// attempts counts all attempts, and waited counts those that were queued at their executor. The others count the
	// queued attempts that were sent while a core was idle at another executor: one that the node had used, one in the
	// node's zone, or any.
	attempts, waited, idleUsed, idleZone, idleAny int

	// Value lost to NeverSent, SentTooLate and QueuedAtNode although a core was idle, in the node's zone or in any
	// zone, when the work item was submitted.
	queuedIdleZone, queuedIdleAny float64
}

func (l *accountLedger) init() {
	l.attemptsInTransit, l.workReceived = map[*executor]int{}, map[*executor]float64{}
	for _, class := range l.sim.scenario.Classes {
		l.classes = append(l.classes, AccountRow{Name: class.Name})
	}
	for _, n := range l.sim.nodes {
		l.nodes = append(l.nodes, nodeRow{AccountRow: AccountRow{Name: n.name}, attemptsTo: map[*executor]int{}})
	}
}

// recordSubmit records that a client submits a request for a work item to node n. n is nil if no node can be reached.
func (l *accountLedger) recordSubmit(work *emulator.Work, n *simNode) {
	if l == nil {
		return
	}
	history := l.inFlight[work.ID]
	if history == nil {
		history = &jobHistory{work: work}
		l.inFlight[work.ID] = history
	}
	if history.firstNode == nil && n != nil {
		history.firstNode, history.idleAtArrival = n, l.idleCores(n, nil)
	}
	history.requests = append(history.requests, newRequestHistory(l.sim.now))
}

// request returns the history of a request. The caller records times in it. If a later request of the same work item
// exists, the returned history is not part of the account.
func (l *accountLedger) request(request *clientRequest) *requestHistory {
	if l == nil || l.inFlight[request.work.ID] == nil || request.job != request.work.Job() {
		return &requestHistory{}
	}
	requests := l.inFlight[request.work.ID].requests
	return requests[len(requests)-1]
}

// recordSent records that the first byte of an attempt is sent, and returns the attempt's history.
func (l *accountLedger) recordSent(request *clientRequest, x *executor) *attemptHistory {
	attempt := newAttemptHistory(x)
	if l == nil {
		return attempt
	}
	n := request.node
	attempt.idleWhenSent = l.idleCores(n, x)
	l.nodes[n.id].attemptsTo[x]++
	l.attemptsInTransit[x]++
	l.attempts++
	if history := l.inFlight[request.work.ID]; history != nil {
		history.attempts = append(history.attempts, attempt)
	}
	return attempt
}

// idleCores states whether a core is idle at an executor that a node has used, at an executor in the node's zone, and
// at any executor.
type idleCores struct{ used, zone, any bool }

// idleCores returns where a core is idle now. Cores of ignored, which can be nil, do not count.
func (l *accountLedger) idleCores(n *simNode, ignored *executor) (idle idleCores) {
	for _, x := range l.sim.executors {
		if x == ignored || x.InFlight()+l.attemptsInTransit[x] >= x.Cores || !x.Up || x.unreachable || x.Draining {
			continue
		}
		idle.any = true
		idle.zone = idle.zone || x.Zone == n.zone
		idle.used = idle.used || l.nodes[n.id].attemptsTo[x] > 0
	}
	return idle
}

// recordArrived records the arrival of an attempt at its executor.
func (l *accountLedger) recordArrived(attempt *attemptHistory, work float64) {
	attempt.arrivedAt = attempt.executor.sim.now
	if l != nil {
		l.attemptsInTransit[attempt.executor]--
		l.workReceived[attempt.executor] += work
	}
}

// recordStarted records that the executor has started an attempt.
func (l *accountLedger) recordStarted(attempt *attemptHistory) {
	if attempt.startedAt != unsetTime {
		return
	}
	x := attempt.executor
	attempt.startedAt = x.sim.now
	attempt.onSlowCore = x.Speed/max(1, x.Faults().Slow) < slowCoreSpeed
	if l != nil && attempt.startedAt-attempt.arrivedAt > queuedAfter {
		l.waited++
		l.idleUsed += countTrue(attempt.idleWhenSent.used)
		l.idleZone += countTrue(attempt.idleWhenSent.zone)
		l.idleAny += countTrue(attempt.idleWhenSent.any)
	}
}

// recordAnswer records an executor's answer or notice for an attempt.
func (l *accountLedger) recordAnswer(attempt *attemptHistory, answer emulator.MessageKind) {
	switch answer {
	case emulator.AttemptStarted:
		l.recordStarted(attempt)
	case emulator.AttemptDone, emulator.AttemptFailed, emulator.AttemptRejected:
		attempt.endedAt = attempt.executor.sim.now
	}
}

// countTrue returns 1 for true and 0 for false.
func countTrue(value bool) int {
	if value {
		return 1
	}
	return 0
}

// recordEnded records that the node is notified of an attempt's end. An attempt that has not arrived yet counts as
// arrived from now on. Its message can still reach the executor, because a broken connection does not stop messages on
// their way.
func (l *accountLedger) recordEnded(attempt *attemptHistory, outcome policy.Outcome) {
	attempt.endedAtNode, attempt.outcome = attempt.executor.sim.now, outcome
	if attempt.canceled {
		attempt.outcome = policy.Canceled
	}
	if l != nil && attempt.arrivedAt == unsetTime {
		l.attemptsInTransit[attempt.executor]--
		attempt.arrivedAt = attempt.endedAtNode
	}
}

// recordFinished records that a work item has ended for its client, and the value that it earned.
func (l *accountLedger) recordFinished(work *emulator.Work, earned float64) {
	if l == nil {
		return
	}
	history := l.inFlight[work.ID]
	delete(l.inFlight, work.ID)
	cause, times := history.cause(l.sim.now)
	if cause <= QueuedAtNode && history.idleAtArrival.zone {
		l.queuedIdleZone += work.Value - earned
	}
	if cause <= QueuedAtNode && history.idleAtArrival.any {
		l.queuedIdleAny += work.Value - earned
	}
	rows := []*AccountRow{&l.classes[work.Class], &l.unreached}
	if history.firstNode != nil {
		rows[1] = &l.nodes[history.firstNode.id].AccountRow
	}
	for _, row := range rows {
		row.record(work, earned, cause, times)
		row.workSent += work.Cost * float64(len(history.attempts))
	}
}

// finish returns the account. Work items that have not ended count as having earned nothing.
func (l *accountLedger) finish() *Account {
	sim := l.sim
	for _, id := range slices.Sorted(maps.Keys(l.inFlight)) {
		l.recordFinished(l.inFlight[id].work, 0)
	}
	waited := float64(l.waited)
	a := &Account{
		Scenario:   sim.scenario.Name,
		Seed:       sim.seed,
		Policy:     sim.policy,
		Nodes:      len(sim.nodes),
		Executors:  len(sim.executors),
		Length:     sim.scenario.Length,
		Violations: len(sim.result.Violations),
		Worst:      sim.result.Worst,
		Attempts:   l.attempts,
		Crossings:  sim.result.Crossings,
		Waited:     ratio(waited, float64(l.attempts)),
		IdleUsed:   ratio(float64(l.idleUsed), waited),
		IdleZone:   ratio(float64(l.idleZone), waited),
		IdleAny:    ratio(float64(l.idleAny), waited),
	}
	l.addClasses(a)
	l.addNodes(a)
	for _, rows := range [][]AccountRow{a.Classes, a.Traffic, a.Subsets} {
		for i := range rows {
			rows[i].finish()
		}
	}
	a.All.finish()
	lostAtNodes := a.All.lostByCause[NeverSent] + a.All.lostByCause[SentTooLate] + a.All.lostByCause[QueuedAtNode]
	a.QueuedIdleZone, a.QueuedIdleAny = ratio(l.queuedIdleZone, lostAtNodes), ratio(l.queuedIdleAny, lostAtNodes)
	return a
}

// addClasses adds the row of all work items and the rows of the job classes.
func (l *accountLedger) addClasses(a *Account) {
	a.All.Name = "all"
	a.WorstClass = 1
	for _, class := range l.classes {
		a.All.add(class)
		a.Classes = append(a.Classes, class)
		a.WorstClass = min(a.WorstClass, ratio(class.Earned, class.Offered))
	}
}

// addNodes adds the rows of the nodes and the load of the executors.
func (l *accountLedger) addNodes(a *Account) {
	executors := l.sim.executors
	var busy []float64
	for _, x := range executors {
		capacity := float64(min(x.Cores, x.Slots)) * x.Speed * time.Duration(l.sim.scenario.Length).Seconds()
		busy = append(busy, l.workReceived[x]/capacity)
	}
	for i := range l.nodes {
		n := &l.nodes[i]
		n.subsetSize, n.subsetLoad = usedSubset(n.attemptsTo, executors, busy)
	}
	for _, n := range l.nodes {
		a.All.SubsetSize += n.subsetSize / float64(len(l.nodes))
		a.All.SubsetLoad += n.subsetLoad / float64(len(l.nodes))
	}
	a.Traffic = quarters(l.nodes, func(n nodeRow) float64 { return n.workOffered }, "nodes by traffic")
	a.Subsets = quarters(l.nodes, func(n nodeRow) float64 { return n.subsetLoad }, "nodes by slice")
	if l.unreached.Works > 0 {
		l.unreached.Name = "no node"
		a.Traffic, a.Subsets = append(a.Traffic, l.unreached), append(a.Subsets, l.unreached)
	}
	slices.Sort(busy)
	for quartile := range 5 {
		a.Busy = append(a.Busy, busy[quartile*(len(busy)-1)/4])
	}
}
