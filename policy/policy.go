// Package policy decides for one node which executor gets which batch job, and when.
//
// The front tells what it sees (Listed, Arrived, Started, Progressed, Reported, Probed, Heard, Left, Closing)
// and asks three things: Place (where to send this batch job, or not yet, or never), Ended (what to do after
// this outcome) and Wait (how long to wait, or what has fallen due). Plain values come back; their types
// stand in types.go. Times are spans since the start. What is kept in mind stands in state.go, its upkeep in
// books.go and seen.go, the start in setup.go, and in index.go in what order executors are looked at.
//
// The design decides the ordinary path: batch jobs are held until an executor has a free token under its
// quota, they take the oldest free token of their slice, and quotas move by single steps. Beside it stand six
// mechanisms, each the answer to a way in which that breaks:
//  1. cold cap: a fresh executor has a cap in flight that grows with its answers, and a budget of work that a
//     few nodes carry for all.
//  2. hold-back: errors, breaks and silence hold an executor's tokens back, until it answers a probe where it
//     may be probed; it returns under a cap of one.
//  3. pace: a token is passed over where what is seen of its executor can't meet the quoted time, and ages
//     the slower the less the executor can take.
//  4. move: an allocation that does not start, or crawls, is stopped and sent elsewhere where rule 2 allows;
//     its token stays taken until its work would be over. With copies it goes on beside the other.
//  5. early pushback: a batch job that can earn nothing more, or is below the cut line where nodes talk, gets
//     its final answer at once.
//  6. keepers: where many nodes may talk, one of them keeps an executor's places for all and lends them.
package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// The matters that the design leaves open, as plain ratios.
const (
	executorQueuingThreshold = 0.3  // worker-side share of queuing above which the executor's queue is to blame
	emptyQueueThreshold      = 0.5  // over this r, what waits here counts as an empty held queue at the tail
	slackTargetFraction      = 0.5  // slowdown target: this part of the slack in the quoted time spent queuing
	initialQuota             = 2    // the design's start
	maxQuota                 = 8    // the design's finite cap
	intervalFraction         = 0.4  // the interval, as a part of the shortest outer limit
	lateQueueFraction        = 0.5  // part of the outer limit that a late batch job is held
	lateSubsetSharers        = 2    // nodes that send an executor their late batch jobs
	subsetMinNodes           = 6    // from so many on a node uses a part of the executors
	subsetSharers            = 3    // nodes whose slices an executor is in, while that leaves a node leastSlice of them
	minSubsetSize            = 3    // executors of each zone side and bound kind in a slice at least; with keepers twice
	zoneFullLoad             = 1.3  // batch jobs held a core from which a zone counts as full, where the list tells
	zoneFullLateStarts       = 0.3  // part of allocations that do not start at once from which a zone counts as full
	zoneFullWait             = 2.0  // and elsewhere: what starts take there, in shortest quoted times
	maxMigrationCost         = 0.1  // part of a batch job's value that the price of moving it may be
	smoothing                = 0.85 // weight that an older observation keeps when a new one comes
	slowProgressFactor       = 2.0  // times the usual pace from which an executor counts as crawling
	hintedMargin             = 1.1  // what a prediction leaves over for a hinted batch job
	unhintedMargin           = 1.25 // and for one without a hint, and for work sent to a cold executor
	waitedFactor             = 5.0  // times its foretold running time from which one without a start notice had to wait
	maxLateStarts            = 0.1  // part of starts that may be late where a keeper lends one place more
	maxBackoffFactor         = 8    // times the usual span at most until one that is silent, or errs, is tried again
	leaseQuotaCooldown       = 4    // intervals that a keeper leaves a lowered quota
	fullTokenRest            = 2.0  // running times that a full executor's token rests, for each turned away in a row
	dedupReplyFraction       = 0.1  // of what is foretold: a tagged batch job done in less was done before
	budgetMarginStep         = 0.05 // by which a try that was too short teaches
	maxShortBudgetRatio      = 0.3  // part of a tenant's first tries with short budgets from which budgets tell nothing
	minTenantArrivals        = 2.0  // batch jobs of a tenant by which chance may bring it over its part here
	maxClientRetries         = 3.0  // times that a batch job which was turned away comes again, here and elsewhere
)

// usesSubset says whether the nodes are so many that one can't use all executors: then it uses a part of them.
func (d *Dispatcher) usesSubset() bool { return d.config.nodeCount >= subsetMinNodes }

// ---- The list ----

// spreadPolls lets many nodes ask one after another: the list's service doesn't grow with them. Until then the
// copy at hand serves; the last asks while that still counts.
func (d *Dispatcher) spreadPolls(within time.Duration) {
	d.poll.interval = within / 8
	if d.usesSubset() {
		d.poll.nextAt = scaled(within/2, float64(d.config.nodeID)/float64(d.config.nodeCount))
	}
}

// UpdateEndpoints tells what discovery brought.
func (d *Dispatcher) UpdateEndpoints(now time.Duration, what EndpointUpdateKind, entries []Endpoint) {
	d.poll.outstanding = false
	if what == WatchFailed {
		// Calls load a service that all nodes share: ask again after a spell that differs by node.
		d.poll.watching = false
		d.poll.nextAt = now + scaled(d.poll.interval, 0.5+d.rng.next())
		return
	}
	d.poll.watching = d.poll.watching || what != CachedUpdate
	d.endpoints.updates++
	for _, n := range entries {
		d.updateEndpoint(now, n)
	}
	d.insertRanked()
	d.dropRemoved(what != IncrementalUpdate)
	d.subset.stale, d.subset.changed, d.queue.tokenFreed = true, true, true
	d.updateZoneLoads(now)
}

func (d *Dispatcher) updateEndpoint(now time.Duration, n Endpoint) {
	e := d.endpoints.byID[n.Executor]
	fresh := e == nil
	if fresh {
		e = &executor{id: n.Executor, started: n.StartedAt, rank: d.rankOf(n.Executor)}
		e.health.lastSeen = now
		e.indexed.subsetRank = -1
		e.hash = ExecutorHash(crc32.ChecksumIEEE([]byte(n.Executor)))
		e.lease.holder = d.leaseHolderOf(e.hash)
		// The nodes that carry a cold executor follow its number: all reckon the same ones, without asking.
		place := (int(d.config.nodeID) + d.config.nodeCount - int(e.hash%ExecutorHash(d.config.nodeCount))) % d.config.nodeCount
		e.slowStart.sender = place < d.slowStart.senders
		d.endpoints.unranked = append(d.endpoints.unranked, e)
		d.endpoints.byID[e.id], d.endpoints.byHash[e.hash] = e, e
	}
	d.markDirty(e)
	d.subset.rezoned = d.subset.rezoned || e.indexed.subsetRank >= 0 && (e.zone != n.Zone || e.kind != n.Kind)
	d.addKind(n.Kind, max(n.Weight, 1e-3))
	restarted := !n.StartedLongAgo && (fresh || n.StartedAt > e.started)
	e.zone, e.kind, e.cell, e.listedIn = n.Zone, n.Kind, n.Cell, d.endpoints.updates
	e.available, e.removed = n.State == Available, n.State == Removed
	d.endpoints.anyRemoved = d.endpoints.anyRemoved || e.removed
	d.recordWeight(e, max(n.Weight, 1e-3))
	if !restarted {
		return
	}
	e.started = n.StartedAt
	if until := n.StartedAt + d.slowStart.duration; until > now {
		// A fresh executor can do part of its work only, and what we knew of it no longer holds.
		if e.slowStart.sender && now >= e.slowStart.until {
			d.slowStart.executors = append(d.slowStart.executors, e)
		}
		e.slowStart.until, e.health.inFlightCap, e.health.ejectedUntil, e.estimate.startWait, e.slowStart.spent = until, 1, 0, 0, e.slowStart.spent[:0]
	}
}

// rebuildSubset picks the executors that this node uses: where it can't use all, those that rank highest, in its
// own zone and beyond it, for each bound kind. Guards against many nodes, whose least quotas add up to a jam.
func (d *Dispatcher) rebuildSubset(now time.Duration) {
	size := len(d.endpoints.ranked)
	if d.subset.stale = false; !d.subset.changed && now < d.subset.validUntil { // it would come out the same
		return
	}
	d.subset.lateSize = max(1, (lateSubsetSharers*size+d.config.nodeCount-1)/d.config.nodeCount)
	if d.usesSubset() {
		size = max(minSubsetSize, (subsetSharers*size+d.config.nodeCount-1)/d.config.nodeCount)
		if d.config.canLease {
			size = max(size, 2*minSubsetSize)
		}
	}
	was := d.beginSubset()
	defer func() { d.finishSubset(was) }()
	// Cold ones that this node carries stand beside the others, whatever their rank: they do part of their work.
	d.slowStart.executors = slices.DeleteFunc(d.slowStart.executors, func(e *executor) bool { return e.removed || now >= e.slowStart.until })
	means := map[KindID]meanQuota{}
	for _, e := range d.slowStart.executors {
		if d.limitSubsetValidity(e, now); d.isUsable(e, now) {
			d.addToSubset(e, now, means)
		}
	}
	counts := make([]int, 2*len(d.classes.requiredKinds))
	missing := len(counts)
	for _, e := range d.endpoints.ranked {
		if missing == 0 {
			break
		}
		near := false
		d.limitSubsetValidity(e, now)
		for i, need := range d.classes.requiredKinds {
			n := &counts[d.remoteSide(e)*len(d.classes.requiredKinds)+i]
			if now < e.slowStart.until || !d.isUsable(e, now) || need != AnyKind && need != e.kind || *n >= size {
				continue
			}
			near = true
			if *n++; *n == size {
				missing--
			}
		}
		if near {
			d.addToSubset(e, now, means)
		}
	}
}

// addToSubset takes an executor into the slice and gives it its first tokens: its slice's mean quota, or the
// design's start. Their ages are strewn so that nodes don't start on the same one.
func (d *Dispatcher) addToSubset(e *executor, now time.Duration, means map[KindID]meanQuota) {
	d.subset.members = append(d.subset.members, e)
	if e.tokens.quota > 0 {
		return
	}
	d.meanQuotas(means)
	m := means[e.kind]
	e.tokens.quota = cmp.Or(e.tokens.inheritedQuota, m.of(initialQuota))
	means[e.kind] = m.with(e.tokens.quota)
	d.addWithTokens(e)
	for range e.tokens.quota {
		e.tokens.free = append(e.tokens.free, now-scaled(d.classes.quotaInterval, d.rng.next()))
	}
	slices.Sort(e.tokens.free)
}

// ---- What an executor can take ----

// pace is the running time that e needs for a unit of work: what was seen, and what running batch jobs that
// are over their time already show (guards against executors slowed or stalled since their last answer).
func (d *Dispatcher) pace(e *executor, now time.Duration) float64 {
	runs, works := e.estimate.runTime+d.endpoints.kinds[e.kind].pace, e.estimate.work+1
	for _, j := range e.attempts {
		if !j.running {
			continue
		}
		ran := now - j.startedAt
		if j.progress > 0.02 {
			ran = max(scaled(j.progressAt-j.startedAt, 1/j.progress), ran)
		}
		if w := j.work.Seconds(); ran.Seconds() > w*runs/works {
			runs += ran.Seconds()
			works += w
		}
	}
	return runs / works
}

// expectedWait is how long a batch job sent to e now would wait there: what starts were seen to take, or, where
// ours alone fill as many places as its kind was seen to have, until the first of those is done.
func (d *Dispatcher) expectedWait(e *executor, pace float64, now time.Duration) time.Duration {
	places := d.endpoints.kinds[e.kind].concurrency
	wait, first, queued := e.estimate.startWait, time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range e.attempts {
		left := scaled(o.work, pace)
		if !o.running {
			queued += left
			if out := now - o.sentAt; d.config.startNotices && out > e.estimate.startWait+d.classes.checkInterval {
				// One of ours that has not begun there yet shows that the others have filled it.
				wait = max(wait, out+left/time.Duration(places))
			}
			continue
		}
		// One that is over its time already is taken to need as long again as it is over.
		left -= now - o.startedAt
		first = min(first, max(left, -left))
	}
	if len(e.attempts) < places {
		return wait
	}
	if first == math.MaxInt64 {
		first = e.estimate.startWait
	}
	return max(e.estimate.startWait, first+queued/time.Duration(places))
}

// isUsable says whether e takes anything new at all, free token or not.
func (d *Dispatcher) isUsable(e *executor, now time.Duration) bool {
	return e.available && !e.health.unresponsive && e.health.ejectedUntil <= now && (e.slowStart.sender && now >= d.slowStart.reservedUntil || now >= e.slowStart.until)
}

// canAccept says whether e may take j now: a free token, the cap in flight and rule 4.
func (d *Dispatcher) canAccept(e *executor, j *job, now time.Duration) bool {
	return len(e.tokens.free) > 0 && (e.health.inFlightCap == 0 || e.tokens.taken < e.health.inFlightCap) &&
		(now >= e.slowStart.until || d.withinSlowStartBudget(e, j, now))
}

// deriveSlowStart derives this node's part of the cold budget. Divided among many nodes it would be less than a
// batch job: so the same few carry it all, as many as could each send something to one place of it.
func (d *Dispatcher) deriveSlowStart(multiple float64) {
	d.slowStart.senders = int(multiple * d.slowStart.capacity * d.slowStart.overloadWindow.Seconds() / d.classes.shortestObjective.Seconds())
	d.slowStart.senders = max(1, min(d.slowStart.senders, d.config.nodeCount))
	d.slowStart.budget = multiple * d.slowStart.overloadWindow.Seconds() / float64(d.slowStart.senders)
}

// slowStartFraction is the least part of its work that e can do at its age, while it is cold.
func (d *Dispatcher) slowStartFraction(e *executor, now time.Duration) float64 {
	return d.slowStart.capacity + (1-d.slowStart.capacity)*min(1, max(0, float64(now-e.started)/float64(d.slowStart.duration)))
}

// withinSlowStartBudget is rule 4: this node's part of the budget of work for a cold executor, judged by what warm
// executors of its kind take and the least it can do at its age.
func (d *Dispatcher) withinSlowStartBudget(e *executor, j *job, now time.Duration) bool {
	k := d.endpoints.kinds[e.kind]
	// One that is smaller than its kind, or was slower before its start, takes less.
	part := d.slowStartFraction(e, now) * min(1, max(e.size, e.weight)/k.size)
	budget := d.slowStart.budget * part * k.safeSlots() / max(k.pace, d.pace(e, now))
	if e.started < 0 && now < d.slowStart.overloadWindow { // Guards against a process that starts again:
		budget *= unhintedMargin - 1 // the one before may have spent all but what the margin on work leaves over.
	}
	e.slowStart.spent = slices.DeleteFunc(e.slowStart.spent, func(s spend) bool { return s.at+d.slowStart.overloadWindow <= now })
	for _, s := range e.slowStart.spent {
		budget -= s.work.Seconds()
	}
	return j.slowStartWork().Seconds() <= budget
}

// slowStartWork is what j counts for at a cold executor: more than it is thought to be, the more so without a hint
// the fewer of its track are known.
func (j *job) slowStartWork() time.Duration {
	m := unhintedMargin
	if !j.hinted {
		m *= 1 + 2/float64(1+j.class.samples)
	}
	return scaled(j.work, m)
}

// ---- What a batch job may do and is worth ----

// isEligible says whether e is of the bound kind and, after an allocation that may have run, in the dedup group.
func (d *Dispatcher) isEligible(e *executor, j *job, now time.Duration) bool {
	if j.class.kind != AnyKind && j.class.kind != e.kind {
		return false
	}
	group := j.mayHaveRun == nil || j.class.idempotency == Idempotent || j.class.dedupGroup == DedupAllExecutors ||
		j.class.dedupGroup == DedupZone && e.zone == j.mayHaveRun.zone || j.class.dedupGroup == DedupCell && e.cell == j.mayHaveRun.cell
	return group && d.retryAllowed(j, now)
}

// retryAllowed is rule 2 for a further allocation.
func (d *Dispatcher) retryAllowed(j *job, now time.Duration) bool {
	return j.mayHaveRun == nil || j.class.idempotency == Idempotent ||
		j.class.idempotency == IdempotentWithKey && now < j.mayHaveRun.sentAt+j.class.dedupWindow-d.config.quantum
}

func (d *Dispatcher) isLate(j *job, now time.Duration) bool { return j.objectiveAt < now+j.work/2 }

// marginalValue is what handling j in its quoted time adds to the operators' measure, in mean batch jobs: its part
// of all earnings, and, in the track that fares worst, its part of that track's.
func (d *Dispatcher) marginalValue(j *job) float64 {
	e := d.valueOf(j)
	v := d.config.totalWeight * e / d.values.mean
	if j.class == d.values.worstClass {
		v += d.config.worstClassWeight * e / d.values.worstClassUnit
	}
	return max(v*d.tenantFactor(j.tenant), 1e-9)
}

// crossZoneDelay is how long j waits for its own zone before another zone's tokens open to it: the part of its
// slack that the price of crossing is of its value. Below its price it never crosses.
func (d *Dispatcher) crossZoneDelay(j *job) time.Duration {
	if part := d.config.crossZoneCost / d.marginalValue(j); part < 1 {
		return scaled(max(0, j.objectiveAt-j.queuedAt-j.work), part)
	}
	return Forever / 4
}

// crossesNow says whether j goes to another zone at once: so many of those that gain by it as bring the loads
// together, each by a chance of its own, so that nodes don't turn with one list. Guards against a zone with
// far more traffic than executors, where a token is always free.
func (d *Dispatcher) crossesNow(j *job) bool {
	return d.config.crossZoneCost > 0 && d.zoneLoad.local > 1 &&
		j.crossChance < (d.zoneLoad.local-d.zoneLoad.remote)/d.zoneLoad.local-d.config.crossZoneCost/d.marginalValue(j)
}

// ---- Placing ----

// JobArrived tells of a batch job that this node has taken. A work of 0 means that no hint came.
func (d *Dispatcher) JobArrived(now time.Duration, in Arrival) {
	d.beginTurn(now)
	t := d.classes.all[min(max(0, int(in.Class)), len(d.classes.all)-1)]
	j := &job{id: in.Job, class: t, tenantID: in.Tenant, work: in.Work, hinted: in.Work > 0, predictionMargin: hintedMargin,
		startMargin: 1, arrivedAt: now, deadlineAt: now + in.Budget, crossChance: d.rng.next()}
	if !j.hinted {
		j.work, j.predictionMargin = t.meanWork, unhintedMargin
	} else {
		t.meanWork = scaled(t.meanWork, smoothing) + scaled(in.Work, 1-smoothing)
	}
	if in.Tenant >= 0 && int(in.Tenant) < len(d.tenants) {
		j.tenant = &d.tenants[in.Tenant]
		j.tenant.arrivals++
	}
	// What a budget lacks was spent before: by tries until this one, or while this node stood still. But no
	// budget tells what is spent where clients mark their repeats and first tries lack much as well: those
	// clients lose patience early, and a try that can't be done by then is not to be sent.
	t.fullBudget = max(t.fullBudget, in.Budget)
	lacks, spent := t.fullBudget-in.Budget, time.Duration(0)
	first := !in.ClientRetry && lacks > d.clock.turnGap
	t.recordArrival(lacks > d.config.quantum)
	curt := d.config.clientsMarkRetries && (j.tenant.recordFirstTry(in.ClientRetry, first) > maxShortBudgetRatio || first)
	switch {
	case lacks <= d.config.quantum:
	case !d.config.clientsMarkRetries && lacks > d.maxQueueTime(j)+d.config.retryAfter+max(0, d.clock.stalledFor) && t.shortBudgets > minTenantArrivals+maxClientRetries*t.rejectedFirstTries:
		// One try before can't have spent so much, and more such come than were turned away: clients wait for less.
	case !curt:
		spent = max(0, t.deadline-in.Budget)
	case j.tenant != nil && in.Budget < t.deadline/2:
		j.shortBudget, j.startMargin = true, 1+j.tenant.budgetMargin
		j.predictionMargin = max(j.predictionMargin, j.startMargin)
	}
	j.objectiveAt = min(now-spent+j.latencyObjective(), j.deadlineAt)
	d.capToShutdown(j)
	j.firstTry = spent == 0 && !in.ClientRetry
	d.recordRequested(j, j.firstTry)
	j.shed = d.shedding.reportsLoad && d.belowThreshold(j)
	d.jobs[in.Job] = j
	d.queueJob(j, now)
	d.schedule(now, j, nil)
	d.leases.wanted = true // it has its own look; of those held none can go that could not before
}

// maxQueueTime is how long a node keeps a batch job at most for want of a token, before its client may come again.
func (d *Dispatcher) maxQueueTime(j *job) time.Duration {
	if j.class.lateValue > 0 {
		return scaled(j.class.deadline, lateQueueFraction)
	}
	return j.latencyObjective()
}

// queueJob puts j among the held ones: least slack to the quoted time over what is earned for the work goes
// first, late ones after all others.
func (d *Dispatcher) queueJob(j *job, now time.Duration) {
	slack := j.objectiveAt - now - j.work
	if j.isQueued && j.queuedLate == (slack < 0) {
		return
	}
	if !j.isQueued {
		j.queuedAt = now
	}
	d.dequeue(j)
	density := d.marginalValue(j) / j.work.Seconds() / d.values.meanDensity
	j.isQueued, j.queuedLate = true, slack < 0
	if j.queuedLate {
		slack = scaled(j.class.deadline, 1/max(j.class.lateValue, 1e-3))
	}
	j.queueKey = now + scaled(slack, 1/max(density, 1e-3))
	d.enqueue(j)
}

// Place says where to send a batch job, or not yet, or never.
func (d *Dispatcher) Place(now time.Duration, id JobID) Decision {
	j := d.jobs[id]
	if j == nil || j.finished || len(j.attempts) > 0 && !j.hedgeWanted {
		return Decision{}
	}
	if len(j.attempts) > 0 {
		if e := d.pickExecutor(j, now, false); e != nil {
			return d.dispatch(j, e, now)
		}
		return Decision{}
	}
	d.queueJob(j, now)
	// In the fleet's overload a further allocation of what never ran and is below the line by now is too much.
	j.shed = j.shed || j.attemptCount > 0 && j.mayHaveRun == nil && d.shedding.threshold.Level > d.priorityLevel(j)
	if j.shed || now >= j.deadlineAt-d.config.quantum || j.attemptCount >= j.class.maxAttempts || !d.retryAllowed(j, now) {
		return d.rejectOrFail(j)
	}
	to, lastStart := d.pickExecutor(j, now, false), time.Duration(0)
	if to != nil {
		lastStart = d.latestStart(j, d.pace(to, now))
	}
	if to == nil || now > lastStart { // else there is time for the quickest as well
		if lastStart = d.latestStart(j, d.bestPaceFor(j, now)); now > lastStart {
			return d.rejectOrFail(j)
		}
	}
	if to != nil {
		return d.dispatch(j, to, now)
	}
	d.queue.usedThisInterval = d.queue.usedThisInterval || !j.queuedLate
	next := min(max(lastStart, now)+d.config.quantum, j.deadlineAt-d.config.quantum)
	for _, turn := range [...]time.Duration{j.queuedAt + d.crossZoneDelay(j), j.objectiveAt - j.work + d.config.quantum} {
		if turn > now {
			next = min(next, turn)
		}
	}
	j.generation++
	d.schedule(max(next, now+d.config.quantum), j, nil)
	return Decision{Action: Enqueue}
}

// latestStart is when an executor of that pace must begin on j at the latest.
func (d *Dispatcher) latestStart(j *job, pace float64) time.Duration {
	end := j.objectiveAt
	if j.class.lateValue > 0 {
		// Not to the outer limit: who has waited half of it with nothing out is told to come back instead.
		end = min(j.deadlineAt, j.queuedAt+d.maxQueueTime(j))
	}
	return end - scaled(j.work, pace*j.startMargin)
}

// belowThreshold says whether j earns less for its work than the cut line: what the fleet has no capacity for.
// Guards against low earners taken here while dearer ones find no token elsewhere.
func (d *Dispatcher) belowThreshold(j *job) bool {
	rung, line := d.recordOffered(j), d.shedding.threshold
	marginal := rung == line.Level && !j.lowSlack && d.rng.next() < line.AdmitFraction
	return !d.recordAdmitted(j, line.Level == 0 || rung > line.Level || marginal)
}

// rejectOrFail answers at once. A pushback says that nothing happened or that trying again is harmless: rule 2.
func (d *Dispatcher) rejectOrFail(j *job) Decision {
	d.removeJob(j)
	j.class.rejectedFirstTries += oneIf(j.firstTry)
	if j.shed { // they come back at times of their own, not all together
		return Decision{Action: Reject, RetryAfter: scaled(d.config.retryAfter, (1+d.rng.next())/2)}
	}
	d.recordExpired(j)
	if j.mayHaveRun == nil || j.class.idempotency == Idempotent || j.class.idempotency == IdempotentWithKey && j.class.dedupGroup == DedupAllExecutors {
		return Decision{Action: Reject, RetryAfter: d.config.retryAfter}
	}
	return Decision{Action: Fail}
}

// boundToDedupGroup says whether j may only be repeated in its dedup group.
func (d *Dispatcher) boundToDedupGroup(j *job) bool {
	return j.mayHaveRun != nil && j.class.idempotency == IdempotentWithKey && j.class.dedupGroup != DedupAllExecutors
}

// pickExecutor finds the executor with the oldest free token that j may take now, or, asking, whose keeper is to be
// asked for a place. A token is passed over where its executor can't answer in time, unless j is late anyway,
// and ages at its weight in the list, over its pace and the wait there: many nodes have one token at least
// each.
func (d *Dispatcher) pickExecutor(j *job, now time.Duration, asking bool) *executor {
	if !d.retryAllowed(j, now) || !d.anyTokenFor(j, now, asking) {
		return nil
	}
	late, crosses := d.isLate(j, now), d.crossesNow(j)
	w := query{job: j, now: now, late: late, forLease: asking, maxPace: j.maxPace(now, late)}
	if !d.boundToDedupGroup(j) && d.paceLowerBound(j.class.kind, now) > w.maxPace {
		return nil
	}
	for side := range 2 {
		if side > 0 && !crosses && now-j.queuedAt < d.crossZoneDelay(j) && d.anyLocalUsable(j, now) {
			return nil
		}
		var best *executor
		w.remote, w.minAge = side > 0 != crosses, -1
		for e := range d.candidates(&w) {
			age := d.tokenAge(e, &w)
			if age > w.minAge || age == w.minAge && best != nil && d.ranksBefore(e, best, j) {
				best, w.minAge = e, age
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// tokenAge is that of e's oldest free token, or -1 where w's batch job may not take it now.
func (d *Dispatcher) tokenAge(e *executor, w *query) float64 {
	j, now := w.job, w.now
	d.index.evaluated++
	if !d.isUsable(e, now) || !d.isEligible(e, j, now) {
		return -1
	}
	// Late ones must not fill the places of those still to come: they go where nothing of ours is out, and,
	// where they may be held for long, where few nodes send theirs.
	if w.late && (len(e.attempts) > 0 || j.class.lateValue > 0 && d.rankAmong(e, j) >= d.subset.lateSize) {
		return -1
	}
	if len(j.attempts) > 0 && j.attempts[0].executor == e || !d.leaseAllows(e, now, w.forLease) || !d.canAccept(e, j, now) {
		return -1
	}
	pace := d.pace(e, now)
	wait := d.expectedWait(e, pace, now)
	queue := wait
	if j.class.idempotency == AtMostOnce {
		// What can't be taken back counts the list's news as well: its like, held over one a core, go first.
		queue = max(wait, scaled(j.class.meanWork, (e.listedLoad-1)*pace))
	}
	if !w.late && now+scaled(queue+scaled(j.work, pace), j.predictionMargin) > j.objectiveAt {
		return -1
	}
	return e.weight * float64(now-e.tokens.free[0]) / (pace * (d.classes.shortestObjective + wait).Seconds())
}

// ---- News of allocations ----

// AttemptEnded says what to do after an allocation's outcome. Final: the batch job is over by it or before it.
func (d *Dispatcher) AttemptEnded(now time.Duration, id JobID, n AttemptID, how Outcome, final bool) Decision {
	d.beginTurn(now)
	s := d.findAttempt(id, n)
	if s == nil {
		return Decision{}
	}
	j := s.job
	j.attempts = slices.DeleteFunc(j.attempts, func(o *attempt) bool { return o == s })
	s.generation++
	d.recordOutcome(s, how, now)
	if final || j.finished {
		d.finish(j, now)
		return Decision{}
	}
	if !how.NeverRan() && j.mayHaveRun == nil {
		j.mayHaveRun = s
	}
	if len(j.attempts) > 0 { // the other one goes on
		return Decision{}
	}
	j.generation++
	d.leases.wanted = true
	return d.Place(now, id)
}

// recordOutcome draws from an outcome what it says of the executor, and frees the token now or later.
func (d *Dispatcher) recordOutcome(j *attempt, how Outcome, now time.Duration) {
	e := j.executor
	if j.tokenReleased { // its token is free already
		return
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == j })
	d.markDirty(e)
	est := scaled(j.work, d.pace(e, now))
	switch how {
	case Succeeded:
		d.recordSuccess(j, e, now)
	case ExecutorFull, ExecutorError, InvalidRequest, ConnectFailed, ConnectionLost:
		if how == ExecutorFull {
			// Full counts as queuing at the executor, unless only one tenant meets it.
			e.queuing.fullForMany = e.queuing.fullForMany || e.queuing.sawFull && e.queuing.fullTenant != j.tenantID
			e.queuing.sawFull, e.queuing.fullTenant, e.queuing.fullWait, j.startedLate = true, j.tenantID, e.queuing.fullWait+est, true
		}
		if d.config.canProbe && (how == ConnectFailed || how == ConnectionLost) {
			d.markUnresponsive(e, max(1, e.health.timeouts)) // until it answers
			d.requestProbe(e, now, 0)
		}
		// One may be the network's or the batch job's; a second, with no sign of life between, is the executor's.
		if how == ExecutorError || e.health.suspect && (how != ExecutorFull || j.tenant == nil || e.queuing.fullForMany) {
			d.eject(e, now, "after an outcome that was no result")
			e.health.consecutiveErrors += int(oneIf(how == ExecutorError))
		}
		e.health.suspect = true
	case TimedOut, Canceled:
		if j.shortBudget && how == TimedOut {
			j.tenant.budgetMargin = min(j.tenant.budgetMargin+4*budgetMarginStep, 1.5)
		}
		// The executor may still be on it: the token stays taken until the work would be over.
		begun := now
		if j.running {
			begun = j.startedAt
		} else {
			d.returnLease(e, now, true)
			if d.config.startNotices {
				d.recordZoneWait(e, d.elapsed(j))
			}
		}
		d.schedule(max(now, begun+est), nil, e)
		return
	}
	if how == ExecutorFull { // guards against a token that is turned away again and again, in overload by the hundred
		d.returnLease(e, now, true)
		e.health.rejections++
		d.schedule(now+scaled(est, fullTokenRest*float64(e.health.rejections)), nil, e)
		return
	}
	d.releaseToken(e, now, j.startedLate)
}

func (d *Dispatcher) recordSuccess(j *attempt, e *executor, now time.Duration) {
	d.recordAlive(e, now)
	if j.shortBudget {
		j.tenant.budgetMargin = max(j.tenant.budgetMargin-budgetMarginStep, 0)
	}
	d.recordCompletion(j, now)
	if e.health.inFlightCap > 0 {
		if e.health.inFlightCap++; e.health.inFlightCap > e.tokens.quota {
			e.health.inFlightCap = 0
		}
	}
	ran := now - j.startedAt
	if !j.running {
		// Without start notices: latency against what the pace foretells.
		ran = min(d.elapsed(j), scaled(j.work, d.pace(e, now)))
		if !j.hinted { // of what waiting does not explain half is running time, or a low guess would never rise
			ran += max(0, d.elapsed(j)-ran-e.estimate.startWait) / 2
		}
		d.recordStartWait(e, j, d.elapsed(j)-ran)
		j.startedLate = d.elapsed(j) > scaled(ran, waitedFactor) // hints are rough
	}
	d.recordRunTime(j.job, e, ran)
}

// eject holds an executor's tokens back for as long as a batch job takes: a quick error frees a token at
// once and would draw more. After that it is tried with one in flight.
func (d *Dispatcher) eject(e *executor, now time.Duration, why string) {
	if e.health.ejectedUntil > now {
		return
	}
	span := d.longestMeanWork() * time.Duration(max(1+e.health.timeouts, min(1<<min(e.health.consecutiveErrors, maxBackoffFactor), maxBackoffFactor)))
	if e.health.inFlightCap == 0 {
		d.logf("%s held back for %v %s", e.id, span.Round(time.Millisecond), why)
	}
	e.health.ejectedUntil, e.health.inFlightCap = now+span, 1
	d.subset.stale, d.subset.changed = true, true
	d.markDirty(e)
	d.schedule(e.health.ejectedUntil, nil, nil)
}

// shouldCancel says whether to stop waiting for an allocation: the client has left, it has not started and another
// token is open to it, or the executor crawls and another token would answer sooner.
func (d *Dispatcher) shouldCancel(j *attempt, now time.Duration) bool {
	if j.canceling || !d.config.canCancel {
		return false
	}
	e := j.executor
	quiet := scaled(j.work, d.endpoints.kinds[e.kind].pace)
	if !j.running { // how long it is left there anyway, where moves have a budget
		quiet = max(quiet, scaled(j.objectiveAt-j.sentAt-j.work, d.shedding.threshold.MigrationDelay))
	}
	if !e.health.unresponsive && now-max(e.health.lastSeen, j.sentAt) > quiet {
		d.requestProbe(e, now, d.classes.shortestObjective)
	}
	if j.finished {
		return !j.running || j.class.idempotency == Idempotent // it may be stopped at no cost
	}
	usual, left := d.endpoints.kinds[e.kind].pace, time.Duration(0)
	if j.running { // it can't crawl sooner
		left = scaled(j.work, slowProgressFactor*usual) - (now - j.startedAt)
	}
	d.scheduleCheck(now+max(left, d.classes.checkInterval), j)
	pace := (e.estimate.runTime + usual) / (e.estimate.work + 1)
	if j.hinted { // without a hint, its own long run tells nothing of the executor
		pace = d.pace(e, now)
	}
	crawls := (e.health.ejectedUntil > now || j.tokenReleased || pace >= slowProgressFactor*usual) && left < 0 || e.health.unresponsive
	begun, repeatable := j.running || !d.config.startNotices, j.class.idempotency == Idempotent
	if repeatable && (e.health.unresponsive || !begun) && j.class.lateValue == 0 && now > j.objectiveAt-scaled(j.work, pace) {
		return true // it can earn nothing more
	}
	if j.attemptCount >= j.class.maxAttempts || len(j.job.attempts) > 1 || begun && !crawls {
		return false
	}
	if begun && repeatable && d.config.canHedge {
		if !j.hedgeWanted && d.wantsHedge(j.job, now) {
			j.hedgeWanted, d.queue.tokenFreed, d.leases.wanted, d.queue.hedges = true, true, true, append(d.queue.hedges, j.job)
		}
		return false
	}
	to := d.migrationTarget(j, now)
	if to != nil && !j.running && !e.health.unresponsive && e.health.ejectedUntil <= now {
		// Where nodes talk, more moves than their budget wait for some of their slack: most start by themselves.
		d.countMigration(j)
		slack := j.objectiveAt - j.sentAt - scaled(j.work, pace)
		blind := oneIf(!d.config.loadAdjustedWeights && d.endpoints.kinds[to.kind].reportedSlots == 0) // nothing tells that another has less to do
		from := j.sentAt + max(scaled(slack, d.shedding.threshold.MigrationDelay), scaled(d.longestMeanWork(), pace*blind))
		if now < from {
			d.scheduleCheck(from, j)
			return false
		}
	}
	if to == nil || !j.running {
		// A move pays the price of crossing again, so it must be small change.
		return to != nil && (d.remoteSide(to) == 0 || d.config.crossZoneCost < maxMigrationCost*d.marginalValue(j.job))
	}
	left = now - j.startedAt
	if j.progress > 0.02 {
		left = scaled(j.progressAt-j.startedAt, (1-j.progress)/j.progress)
	}
	return left > 2*scaled(j.work, d.pace(to, now))
}

// wantsHedge says whether a second allocation of j may still earn something.
func (d *Dispatcher) wantsHedge(j *job, now time.Duration) bool {
	return !j.finished && len(j.attempts) == 1 && j.attemptCount < j.class.maxAttempts && d.shedding.threshold.Level == 0 &&
		now < j.deadlineAt-d.config.quantum && (!d.isLate(j, now) || j.class.lateValue > 0)
}

// migrationTarget is the executor that j would go to if it were stopped now, as one that may have run.
func (d *Dispatcher) migrationTarget(j *attempt, now time.Duration) *executor {
	if j.mayHaveRun == nil {
		j.mayHaveRun = j
		defer func() { j.mayHaveRun = nil }()
	}
	return d.pickExecutor(j.job, now, false)
}

// ---- Keepers ----

// Where nodes are many and may talk, one keeps each executor's places for all: a place is asked for before a
// token there is used, and given back with it. A keeper that does not answer is done without for a while.

func (d *Dispatcher) leaseHolderOf(sum ExecutorHash) NodeID {
	return NodeID(sum % ExecutorHash(d.config.nodeCount))
}

// leaseAllows says whether e's keeper has given a place there, or, asking, may be asked for one.
func (d *Dispatcher) leaseAllows(e *executor, now time.Duration, asking bool) bool {
	switch {
	case !d.config.canLease || !d.usesSubset():
		return !asking
	case asking:
		return !e.lease.granted && !e.lease.requested && e.lease.bypassUntil <= now
	}
	return e.lease.granted || e.lease.bypassUntil > now
}

// exchangeLeases gives back places that nothing wants any more, and asks for one for each batch job that waits.
func (d *Dispatcher) exchangeLeases(now time.Duration) {
	for _, e := range d.leases.unused {
		if e.lease.granted {
			e.lease.granted = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseReturn, e.hash)
		}
	}
	d.leases.unused = d.leases.unused[:0]
	for _, e := range d.pendingLeaseRequests() {
		if e.indexed.subsetRank >= 0 && e.lease.queued && len(d.queue.onTime)+len(d.queue.late)+len(d.queue.hedges) == 0 {
			e.lease.requested = false
			d.markDirty(e)
			d.sendLease(now, e.lease.holder, LeaseCancel, e.hash)
		}
	}
	if !d.leases.wanted || !d.config.canLease || !d.usesSubset() {
		return
	}
	d.leases.wanted = false
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		for _, j := range list[:min(len(list), len(d.subset.members))] {
			if j.leaseRequestedFrom == nil || !j.leaseRequestedFrom.lease.requested || j.leaseRequestedFrom.lease.queued {
				d.requestLease(j, d.pickExecutor(j, now, true), now)
			}
		}
	}
}

func (d *Dispatcher) requestLease(j *job, e *executor, now time.Duration) {
	if e == nil {
		return
	} else if now >= e.lease.primaryRetryAt && e.lease.held == 0 {
		e.lease.holder = d.leaseHolderOf(e.hash)
	}
	j.leaseRequestedFrom, e.lease.requested, e.lease.queued, e.lease.requestedAt = e, true, false, now
	d.addLeaseRequest(e)
	d.schedule(now+d.classes.shortestObjective/4, nil, nil)
	word := LeaseRequest
	if d.isLate(j, now) {
		word = LeaseRequestLate
	}
	d.sendLease(now, e.lease.holder, word, e.hash)
}

// checkUnanswered finds the executors and keepers that have not answered. A silent executor is asked again, the
// more rarely the longer; for a keeper the next node in line stands in, then none does.
func (d *Dispatcher) checkUnanswered(now time.Duration) {
	for _, e := range d.awaitingReplies() {
		if e.tokens.joined == 0 {
			continue
		} else if e.health.probeOut && now-e.health.probedAt-d.clock.stalledFor >= d.classes.shortestObjective {
			if e.health.probeOut = false; !e.health.unresponsive {
				d.logf("%s held back until it answers a probe", e.id)
			}
			d.markUnresponsive(e, min(e.health.timeouts+1, maxBackoffFactor))
			d.schedule(now+d.longestMeanWork()*time.Duration(e.health.timeouts), nil, nil)
		} else if e.health.unresponsive {
			d.requestProbe(e, now, d.longestMeanWork()*time.Duration(e.health.timeouts))
		}
	}
	for _, e := range d.pendingLeaseRequests() {
		if e.indexed.subsetRank < 0 || e.lease.queued || now-e.lease.requestedAt < d.classes.shortestObjective/4 {
			continue
		}
		e.lease.requested, e.lease.held = false, 0
		d.markDirty(e)
		if first := d.leaseHolderOf(e.hash); e.lease.holder == first {
			e.lease.holder, e.lease.primaryRetryAt = d.leaseHolderOf((e.hash^e.hash>>16)*0x9e3779b1>>8), now+2*d.classes.quotaInterval
		} else {
			e.lease.bypassUntil = now + d.classes.quotaInterval
		}
	}
}

// ReceiveLeaseMessage tells of a word from another node about an executor's places.
func (d *Dispatcher) ReceiveLeaseMessage(now time.Duration, from NodeID, word LeaseMessage, sum ExecutorHash) {
	switch word {
	case LeaseGrant, LeaseWait:
		e := d.endpoints.byHash[sum]
		if e == nil || !e.lease.requested || e.lease.holder != from {
			if word == LeaseGrant {
				d.sendLease(now, from, LeaseReturn, sum)
			}
			return
		}
		d.queue.tokenFreed, d.leases.wanted, e.lease.queued = true, true, word == LeaseWait
		if word == LeaseGrant {
			e.lease.requested, e.lease.granted = false, true
			d.markDirty(e)
			d.leases.unused = append(d.leases.unused, e)
		}
	case LeaseRequest, LeaseRequestLate:
		k := d.ledgerFor(sum)
		k.addWaiting(from, word == LeaseRequestLate)
		if d.grantLeases(k, k.quota, now); k.isWaiting(from) {
			k.shortage = true
			d.sendLease(now, from, LeaseWait, sum)
			if e := d.endpoints.byHash[sum]; e != nil {
				d.requestProbe(e, now, d.classes.shortestObjective)
			}
		}
	case LeaseCancel:
		d.ledgerFor(sum).removeWaiting(from)
	case LeaseReturn, LeaseReturnLate:
		k := d.ledgerFor(sum)
		k.recordReturn(from, word == LeaseReturnLate)
		d.grantLeases(k, k.quota, now)
	}
}

// grantLeases gives free places to the nodes that have waited longest. A place that does not come back within two
// intervals is free again: its node is dead or its word was lost.
func (d *Dispatcher) grantLeases(k *leaseLedger, most int, now time.Duration) {
	k.granted = slices.DeleteFunc(k.granted, func(l lease) bool { return l.expiresAt <= now })
	for len(k.waiting)+len(k.waitingLate) > 0 && len(k.granted) < most {
		to := k.popWaiting()
		k.grantedAt = now
		k.granted = append(k.granted, lease{to, now + 2*d.classes.quotaInterval})
		d.sendLease(now, to, LeaseGrant, k.hash)
	}
}

// adjustLeaseQuotas is the design's single step for the places that this node keeps.
func (d *Dispatcher) adjustLeaseQuotas(now time.Duration) {
	for _, k := range d.leases.ledgerList {
		k.cooldown--
		switch r := float64(k.lateStarts) / max(float64(k.returns), 1); {
		case r > executorQueuingThreshold && k.quota > 1:
			k.quota--
			k.cooldown = leaseQuotaCooldown
		case r < maxLateStarts && k.shortage && k.quota < maxQuota && k.cooldown <= 0 && (!d.config.canProbe || k.spareSeen):
			k.quota++
		}
		k.lateStarts, k.returns, k.shortage, k.spareSeen = 0, 0, len(k.waiting) > 0, false
		d.grantLeases(k, k.quota, now)
	}
}

// ---- The interval ----

func (d *Dispatcher) onInterval(now time.Duration) {
	d.dropRemovedWithTokens()
	for _, e := range d.quota.executors {
		d.markDirty(e) // what was seen grows old
		for _, j := range e.attempts {
			if !j.running && d.config.startNotices {
				e.queuing.atExecutor += max(0, now-max(j.sentAt, now-d.classes.quotaInterval)-d.config.quantum)
			}
		}
		if e.queuing.fullForMany || e.queuing.sawFull && !e.queuing.startedOthers {
			e.queuing.atExecutor += e.queuing.fullWait
			e.queuing.overTarget = true
		}
		d.adjustQuota(e, now)
		d.detectSilence(e, now)
		e.decay()
		e.lease.requested = e.lease.requested && now-e.lease.requestedAt <= d.classes.quotaInterval
	}
	d.adjustLeaseQuotas(now)
	d.resetMaxConcurrency()
	d.queue.usedThisInterval, d.queue.tokenFreed, d.subset.stale, d.leases.wanted = len(d.queue.onTime) > 0, true, true, true
	d.decayAverages()
}

// adjustQuota is the design's single step.
func (d *Dispatcher) adjustQuota(e *executor, now time.Duration) {
	r := 0.0
	if sum := e.queuing.atExecutor + e.queuing.here; sum > 0 {
		r = float64(e.queuing.atExecutor) / float64(sum)
	}
	switch {
	case e.queuing.overTarget && r > executorQueuingThreshold && (!d.queue.usedThisInterval || r > emptyQueueThreshold) && e.tokens.quota > 1:
		d.stepQuota(e, -1, now)
	case d.queue.usedThisInterval && e.queuing.outOfTokens && r < executorQueuingThreshold && e.tokens.quota < maxQuota:
		d.stepQuota(e, 1, now)
	}
}

// detectSilence guards against an executor that takes batch jobs and tells nothing for longer than all that is
// out there should take, and against a connection that falls silent: an allocation of which as long nothing
// is told shows nothing of its executor any more; its token comes free, or it would shut it out for long.
func (d *Dispatcher) detectSilence(e *executor, now time.Duration) {
	if len(e.attempts) == 0 || !e.available {
		return
	}
	pace := (e.estimate.runTime + d.endpoints.kinds[e.kind].pace) / (e.estimate.work + 1)
	span := 2*scaled(e.longestWork(), pace) + 2*e.estimate.startWait + d.classes.shortestObjective
	if now-e.health.lastSeen > span && e.health.ejectedUntil <= now {
		d.eject(e, now, fmt.Sprintf("after silence of %v", (now-e.health.lastSeen).Round(time.Millisecond)))
		e.health.timeouts++ // each try costs a batch job: the next comes later
	}
	// Where its executor was held back one missing notice is enough, or the next try would find no token free.
	notices := d.config.progressInterval * time.Duration(2-min(e.health.timeouts, 1))
	e.attempts = slices.DeleteFunc(e.attempts, func(j *attempt) bool {
		j.tokenReleased = d.config.progressInterval > 0 && now-max(j.sentAt, j.progressAt) > max(span, notices)
		if j.tokenReleased {
			d.releaseToken(e, now, true)
		}
		return j.tokenReleased
	})
}

// ---- Due times ----

// NextTask says what has fallen due, or until when nothing will.
func (d *Dispatcher) NextTask(now time.Duration) DueTask {
	d.beginTurn(now)
	for now >= d.quota.intervalEnd {
		d.quota.intervalEnd += d.classes.quotaInterval
		d.onInterval(now)
	}
	mustSubscribe := d.config.endpointsPolled && !d.poll.watching && !d.poll.outstanding
	if mustSubscribe && now >= d.poll.nextAt {
		d.poll.outstanding = true
		return DueTask{Task: WatchEndpoints}
	}
	if j := d.nextPlaceable(now); j != nil {
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	for len(d.timers.heap) > 0 && d.timers.heap[0].at <= now {
		it := heap.Pop(&d.timers.heap).(timer)
		j, s := it.job, it.attempt
		switch {
		case it.tokenOf != nil:
			d.releaseToken(it.tokenOf, now, false)
		case s != nil && s.generation == it.generation && d.shouldCancel(s, now):
			s.canceling = true
			return DueTask{Task: CancelAttempt, Job: s.id, Attempt: s.number}
		case j != nil && j.generation == it.generation && len(j.attempts) == 0:
			return DueTask{Task: PlaceJob, Job: j.id}
		case s == nil && j == nil:
			d.checkUnanswered(now)
			d.subset.stale, d.queue.tokenFreed, d.leases.wanted = true, true, true
		}
	}
	if j := d.nextPlaceable(now); j != nil {
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	d.exchangeLeases(now)
	if len(d.outbox) > 0 {
		w := d.outbox[0]
		d.outbox = d.outbox[1:]
		return w
	}
	at := d.quota.intervalEnd
	if len(d.timers.heap) > 0 {
		at = min(at, d.timers.heap[0].at)
	}
	if mustSubscribe {
		at = min(at, d.poll.nextAt)
	}
	d.clock.wakeAt = at
	return DueTask{At: at}
}

// nextPlaceable is the first in the release order that a free token is open to, copies last. It is asked once after
// each change that may have opened a token, and looks at no more batch jobs than the slice has tokens for.
func (d *Dispatcher) nextPlaceable(now time.Duration) *job {
	if d.subset.stale {
		d.rebuildSubset(now)
	}
	d.queue.hedges = slices.DeleteFunc(d.queue.hedges, func(j *job) bool {
		j.hedgeWanted = d.wantsHedge(j, now)
		return !j.hedgeWanted
	})
	d.queue.tokenFreed = d.queue.tokenFreed && len(d.queue.onTime)+len(d.queue.late)+len(d.queue.hedges) > 0 && d.anyTokenOpen(now)
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		list = list[:min(len(list), int(oneIf(d.queue.tokenFreed))*2*len(d.subset.members))]
		d.findCandidates(list, now)
		for _, j := range list {
			if d.mayBePlaced(j, now) && d.pickExecutor(j, now, false) != nil {
				return j
			}
		}
	}
	d.queue.tokenFreed = false
	return nil
}
