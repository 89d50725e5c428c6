package policy

import (
	"slices"
	"time"
)

const (
	zoneFullLoad       = 1.3 // jobs a core from which on a zone counts as full, where the list's weights tell the load
	zoneFullLateStarts = 0.3 // fraction of attempts that do not start at once from which on it does, where starts are told
	zoneFullWait       = 2.0 // start wait from which on it does elsewhere, in shortest objectives
	zoneLoadStep       = 0.1 // weight of a new observation of a zone's load
)

// zoneLoad is how full this node's zone and the others are; 1 is full.
type zoneLoad struct {
	local, remote float64
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

// isUsable says whether e takes anything new at all, free token or not.
func (d *Dispatcher) isUsable(e *executor, now time.Duration) bool {
	return e.available && !e.health.unresponsive && e.health.ejectedUntil <= now && (e.slowStart.sender && now >= d.slowStart.reservedUntil || now >= e.slowStart.until)
}

// canAccept says whether e may take j now: a free token, the cap in flight and rule 4.
func (d *Dispatcher) canAccept(e *executor, j *job, now time.Duration) bool {
	return len(e.tokens.free) > 0 && (e.health.inFlightCap == 0 || e.tokens.taken < e.health.inFlightCap) &&
		(now >= e.slowStart.until || d.withinSlowStartBudget(e, j, now))
}

// isEligible says whether e is of the bound kind and, after an allocation that may have run, in the dedup group.
func (d *Dispatcher) isEligible(e *executor, j *job, now time.Duration) bool {
	if j.class.kind != AnyKind && j.class.kind != e.kind {
		return false
	}
	group := j.mayHaveRun == nil || j.class.idempotency == Idempotent || j.class.dedupGroup == DedupAllExecutors ||
		j.class.dedupGroup == DedupZone && e.zone == j.mayHaveRun.zone || j.class.dedupGroup == DedupCell && e.cell == j.mayHaveRun.cell
	return group && d.retryAllowed(j, now)
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

// updateZoneLoads books how full the list shows this zone and the others.
func (d *Dispatcher) updateZoneLoads(now time.Duration) {
	if !d.config.loadAdjustedWeights {
		return
	}
	held, size := [2]float64{}, [2]float64{1e-9, 1e-9}
	for _, e := range d.endpoints.ranked {
		if side := d.remoteSide(e); d.isUsable(e, now) {
			held[side] += e.listedLoad * e.size
			size[side] += e.size
		}
	}
	d.zoneLoad.local, d.zoneLoad.remote = held[0]/size[0]/zoneFullLoad, held[1]/size[1]/zoneFullLoad
}

// recordZoneWait books how full a start that took so long shows a zone.
func (d *Dispatcher) recordZoneWait(e *executor, wait time.Duration) {
	if d.config.loadAdjustedWeights {
		return
	}
	load := &d.zoneLoad.local
	if d.remoteSide(e) > 0 {
		load = &d.zoneLoad.remote
	}
	if d.config.startNotices {
		*load += (oneIf(wait > d.classes.checkInterval)/zoneFullLateStarts - *load) * zoneLoadStep
	} else {
		*load += (wait.Seconds()/d.classes.shortestObjective.Seconds()/zoneFullWait - *load) * zoneLoadStep
	}
}

// dispatch books that an allocation of j goes out to e.
func (d *Dispatcher) dispatch(j *job, e *executor, now time.Duration) Decision {
	d.dequeue(j)
	// A late batch job waits because others go first, not for want of tokens: its time until then counts.
	e.queuing.here += max(0, min(now, j.objectiveAt-j.work)-j.queuedAt)
	if len(e.attempts) == 0 {
		e.health.lastSeen = now
	}
	s := &attempt{job: j, number: AttemptID(j.attemptCount), executor: e, zone: e.zone, cell: e.cell, sentAt: now}
	d.takeToken(e, s)
	if now < e.slowStart.until {
		e.slowStart.spent = append(e.slowStart.spent, spend{now, j.slowStartWork()})
	}
	j.attemptCount++
	j.generation++
	d.scheduleCheck(now+d.classes.checkInterval, s)
	return Decision{Action: Send, Executor: e.id}
}

// anyLocalUsable says whether some executor of the own zone that j may use takes something new, free token or not.
func (d *Dispatcher) anyLocalUsable(j *job, now time.Duration) bool {
	near := func(e *executor) bool {
		d.index.visited++
		return d.remoteSide(e) == 0 && d.isUsable(e, now) && d.isEligible(e, j, now)
	}
	if d.boundToDedupGroup(j) || d.subset.rezoned {
		return slices.ContainsFunc(d.eligibleExecutors(j), near)
	}
	for _, s := range d.index.kinds {
		if (j.class.kind == AnyKind || j.class.kind == s.id) && slices.ContainsFunc(s.localSubset, near) {
			return true
		}
	}
	return false
}

// ranksBefore says whether a stands before b among j's candidates.
func (d *Dispatcher) ranksBefore(a, b *executor, j *job) bool {
	if d.boundToDedupGroup(j) {
		return byRank(a, b) < 0
	}
	return a.indexed.subsetRank < b.indexed.subsetRank
}

// rankAmong is e's place among j's candidates.
func (d *Dispatcher) rankAmong(e *executor, j *job) int {
	if d.boundToDedupGroup(j) {
		i, _ := slices.BinarySearchFunc(d.endpoints.ranked, e, byRank)
		return i
	}
	return e.indexed.subsetRank
}

// eligibleExecutors are the slice's executors, or, for what may only be repeated in its dedup group, all of them.
func (d *Dispatcher) eligibleExecutors(j *job) []*executor {
	if d.boundToDedupGroup(j) {
		return d.endpoints.ranked
	}
	return d.subset.members
}
