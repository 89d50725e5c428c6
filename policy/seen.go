package policy

import (
	"cmp"
	"math"
	"time"
)

// What is seen, written down: running figures without decisions.

// beginTurn books when this node has its turn, and for how long it stood still before it.
func (d *Dispatcher) beginTurn(now time.Duration) {
	if now == d.clock.now {
		return
	}
	d.clock.turnGap, d.clock.stalledFor = now-d.clock.now, now-d.clock.wakeAt
	if d.clock.stalledFor < d.classes.checkInterval {
		d.clock.stalledFor = 0
	}
	d.clock.now, d.clock.wakeAt = now, now
}

// elapsed is the time since an allocation was sent, without what this node stood still just now: its news may be that old.
func (d *Dispatcher) elapsed(s *attempt) time.Duration {
	return max(0, d.clock.now-s.sentAt-d.clock.stalledFor)
}

// AttemptStarted tells that an executor has begun on an allocation.
func (d *Dispatcher) AttemptStarted(now time.Duration, id JobID, n AttemptID) {
	d.beginTurn(now)
	s := d.findAttempt(id, n)
	if s == nil || s.running {
		return
	}
	e := s.executor
	s.running, s.startedAt, s.progressAt = true, now, now
	d.recordAlive(e, now)
	d.markDirty(e)
	s.startedLate = d.elapsed(s) > d.classes.checkInterval
	d.recordStartWait(e, s, d.elapsed(s))
	if k := d.endpoints.kinds[e.kind]; now >= e.slowStart.until {
		k.concurrency = max(k.concurrency, e.runningCount())
	}
	e.queuing.startedOthers = e.queuing.startedOthers || !e.queuing.sawFull || s.tenantID != e.queuing.fullTenant
}

// AttemptProgressed tells how much of an allocation is done.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id JobID, n AttemptID, share float64) {
	if s := d.findAttempt(id, n); s != nil {
		s.progress, s.progressAt = share, now
		d.recordAlive(s.executor, now)
	}
}

// recordAlive books a sign of life, which is as good as an answer to a probe.
func (d *Dispatcher) recordAlive(e *executor, now time.Duration) {
	d.subset.changed = d.subset.changed || e.health.unresponsive
	e.health.lastSeen, e.health.suspect, e.health.unresponsive, e.health.timeouts, e.health.rejections = now, false, false, 0, 0
}

// ClientLeft tells that the client has gone: nothing more is owed.
func (d *Dispatcher) ClientLeft(now time.Duration, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.finish(j, now)
	}
}

// LoadReported tells what an executor says of its load with an answer: batch jobs held, those that wait, and places free.
func (d *Dispatcher) LoadReported(id ExecutorID, load Load) {
	e, places := d.endpoints.byID[id], load.InFlight-load.Queued+load.FreeSlots
	if e == nil || places < 0.5 || min(load.InFlight, load.Queued, load.FreeSlots) < 0 {
		return
	}
	k := d.endpoints.kinds[e.kind]
	if k.reportedSlots == 0 {
		k.reportedSlots = places
	}
	k.reportedSlots += (places - k.reportedSlots) * (1 - smoothing)
	k.concurrency = max(1, int(k.reportedSlots+0.5))
	if load.Queued < 0.5 { // how many wait is told roughly: where many do, the rest swings
		k.exactSlots = cmp.Or(k.exactSlots, places)
		k.exactSlots += (places - k.exactSlots) * (1 - smoothing)
	}
}

// recordWeight books what the list weighs an executor.
func (d *Dispatcher) recordWeight(e *executor, weight float64) {
	e.weight = weight
	if d.config.loadAdjustedWeights {
		// Live weights are the size over one and the batch jobs held a core; an idle one shows its size.
		e.size = max(e.size, weight)
		e.listedLoad = e.size/weight - 1
	}
	k := d.endpoints.kinds[e.kind]
	k.size += (max(e.size, weight) - k.size) * (1 - smoothing)
}

// decay lets what was seen of an executor grow old at an interval's end, or one passed over would never be tried again.
func (e *executor) decay() {
	e.queuing.atExecutor, e.queuing.here, e.queuing.overTarget, e.queuing.outOfTokens = 0, 0, false, len(e.tokens.free) == 0
	e.estimate.startWait = scaled(e.estimate.startWait, smoothing)
	e.estimate.runTime, e.estimate.work = e.estimate.runTime*smoothing, e.estimate.work*smoothing
	e.queuing.sawFull, e.queuing.fullForMany, e.queuing.startedOthers, e.queuing.fullWait = false, false, false, 0
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

// recordStartWait books an allocation's wait at the executor.
func (d *Dispatcher) recordStartWait(e *executor, s *attempt, wait time.Duration) {
	wait = max(0, wait-d.config.quantum)
	e.estimate.startWait = (e.estimate.startWait + wait) / 2 // quick to follow: a jam must be seen before it is fed
	e.queuing.atExecutor += wait
	d.recordZoneWait(e, wait)
	if s.sentAt-s.queuedAt+wait > scaled(s.objectiveAt-s.arrivedAt-s.work, slackTargetFraction) {
		e.queuing.overTarget = true
	}
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
		*load += (oneIf(wait > d.classes.checkInterval)/zoneFullLateStarts - *load) * 0.1
	} else {
		*load += (wait.Seconds()/d.classes.shortestObjective.Seconds()/zoneFullWait - *load) * 0.1
	}
}

// recordFirstTry books whether a tenant's first try lacked budget, and gives the part of them that do.
func (t *tenant) recordFirstTry(again, lacks bool) float64 {
	if t == nil {
		return 0
	}
	if !again {
		t.shortBudgetRatio = t.shortBudgetRatio*smoothing + oneIf(lacks)*(1-smoothing)
	}
	return t.shortBudgetRatio
}

// recordArrival books a batch job, and whether it brought less than the full budget.
func (t *jobClass) recordArrival(short bool) {
	const keeps = 1 - (1-smoothing)/8
	t.shortBudgets, t.rejectedFirstTries = t.shortBudgets*keeps+oneIf(short), t.rejectedFirstTries*keeps
}

// recordRequested books what a batch job that came is worth; first: it is not a repeat by the client.
func (d *Dispatcher) recordRequested(j *job, first bool) {
	e := d.valueOf(j)
	j.class.unitValue = j.class.unitValue*smoothing + e*(1-smoothing)
	if d.values.mean == 0 {
		d.values.mean = e
	}
	d.values.mean += (e - d.values.mean) * (1 - smoothing) / 4
	if first {
		j.class.requestedValue += e
	}
	density := d.marginalValue(j) / j.work.Seconds()
	if d.values.meanDensity == 0 {
		d.values.meanDensity = density
	}
	d.values.meanDensity += (density - d.values.meanDensity) * (1 - smoothing) / 4
}

// recordRunTime books a running time.
func (d *Dispatcher) recordRunTime(j *job, e *executor, ran time.Duration) {
	if j.class.idempotency == IdempotentWithKey && ran < scaled(j.work, dedupReplyFraction*d.endpoints.kinds[e.kind].pace) {
		return // it was remembered there, not run: guards against executors that look quick, and are rushed while cold
	}
	if !j.hinted {
		// The first guess is the quoted time, which may be far off: the first outcomes count as much as it does.
		j.class.samples++
		new := max(0.05, 1/float64(1+j.class.samples))
		j.class.meanWork = scaled(j.class.meanWork, 1-new) + scaled(ran, new)
	}
	e.estimate.runTime = e.estimate.runTime*smoothing + ran.Seconds()
	e.estimate.work = e.estimate.work*smoothing + j.work.Seconds()
	k := d.endpoints.kinds[e.kind]
	with := 1
	for _, o := range e.attempts {
		if o.running && o.startedAt <= d.clock.now-ran/2 {
			with++
		}
	}
	k.observedConcurrency = max(k.observedConcurrency, with)
	k.pace += 0.05 * min(1, j.work.Seconds()) * (ran.Seconds()/j.work.Seconds() - k.pace)
	k.pace = max(k.pace, 0.05)
}

// runningCount counts our batch jobs that run at an executor.
func (e *executor) runningCount() (n int) {
	for _, j := range e.attempts {
		if j.running {
			n++
		}
	}
	return n
}

// longestWork is the most work that one of ours has at an executor.
func (e *executor) longestWork() (work time.Duration) {
	for _, j := range e.attempts {
		work = max(work, j.work)
	}
	return work
}

// longestMeanWork is the mean work of the track that has the most, or the shortest quoted time.
func (d *Dispatcher) longestMeanWork() time.Duration {
	work := d.classes.shortestObjective
	for _, t := range d.classes.current {
		work = max(work, t.meanWork)
	}
	return work
}

// bestPaceFor is the pace of the quickest executor that may take j at all, or a standard one's where there is none.
func (d *Dispatcher) bestPaceFor(j *job, now time.Duration) float64 {
	best := math.Inf(1)
	switch {
	case d.boundToDedupGroup(j):
		for _, e := range d.endpoints.ranked {
			if e.available && d.isEligible(e, j, now) {
				best = min(best, d.pace(e, now))
			}
		}
	case d.retryAllowed(j, now):
		best = d.lowestPace(j.class.kind, now)
	}
	if math.IsInf(best, 1) {
		return 1
	}
	return best
}

// decayAverages fades the tracks' and tenants' figures, each interval.
func (d *Dispatcher) decayAverages() {
	if !d.config.loadAdjustedWeights {
		d.zoneLoad.remote *= smoothing // seldom seen while nothing crosses
	}
	d.values.worstClass = nil
	least, came := math.Inf(1), 0.0
	for _, t := range d.classes.current {
		t.requestedValue *= 0.95
		t.earnedValue *= 0.95
		if part := t.earnedValue / t.requestedValue; t.requestedValue > 0 && part < least {
			least, d.values.worstClass = part, t
		}
		came += t.requestedValue / max(t.unitValue, 1e-9)
	}
	if d.values.worstClass != nil {
		part := d.values.worstClass.requestedValue / max(d.values.worstClass.unitValue, 1e-9) / came
		d.values.worstClassUnit = max(d.values.worstClass.unitValue, 1e-9) * max(part, 0.05)
	}
	rates, quotas := 0.0, 0.0
	for i := range d.tenants {
		t := &d.tenants[i]
		t.rate = t.rate*0.8 + float64(t.arrivals)/d.classes.quotaInterval.Seconds()*0.2
		t.arrivals = 0
		rates += t.rate
		quotas += t.quotaPerSecond
	}
	// A node with more traffic than the others sees every tenant over its share of the nodes' mean: so a
	// tenant is measured against the others at this node.
	for i := range d.tenants {
		t := &d.tenants[i]
		part := t.quotaPerSecond * max(rates/max(quotas, 1e-9), 1)
		few := minTenantArrivals / (5 * d.classes.quotaInterval.Seconds()) // what a rate remembers
		t.overQuota = (t.rate + few) / (part + few)
	}
}

// CountExcluded counts the executors on the list that get nothing new from this node now, whoever says so.
func (d *Dispatcher) CountExcluded(now time.Duration) (n int) {
	for _, e := range d.endpoints.ranked {
		if !e.removed && !d.isUsable(e, now) {
			n++
		}
	}
	return n
}

// ReserveSlowStartUntil tells from when on cold executors are this process's to use: another process of this node has their budget
// until then.
func (d *Dispatcher) ReserveSlowStartUntil(now, at time.Duration) {
	d.slowStart.reservedUntil, d.subset.stale, d.subset.changed, d.queue.tokenFreed = at, true, true, true
	if at != Forever {
		d.schedule(max(at, now), nil, nil)
	}
}

// ProbeEnded tells what came of a probe; load means something only where it was answered.
func (d *Dispatcher) ProbeEnded(now time.Duration, id ExecutorID, answered bool, load Load) {
	d.beginTurn(now)
	e := d.endpoints.byID[id]
	if e == nil {
		return
	}
	prompt := e.health.probeOut
	e.health.probeOut = false
	if !answered && prompt && e.health.suspect { // it is there, or its machine is: the next break will tell
		d.subset.changed = d.subset.changed || e.health.unresponsive
		e.health.unresponsive, d.subset.stale = false, true
	}
	if answered {
		d.subset.changed = d.subset.changed || e.health.unresponsive
		d.subset.stale, d.queue.tokenFreed = d.subset.stale || e.health.unresponsive, true
		e.health.lastSeen, e.health.unresponsive, e.health.timeouts = now, false, 0
		if k := d.leases.ledgers[e.hash]; k != nil && load.FreeSlots >= 0.5 && now-k.grantedAt >= d.classes.shortestObjective {
			k.spareSeen = k.spareSeen || len(k.granted) >= k.quota
			d.grantLeases(k, len(k.granted)+1, now)
		}
	}
}

// requestProbe has an executor asked for its load, unless it was within that span.
func (d *Dispatcher) requestProbe(e *executor, now, within time.Duration) {
	if d.config.canProbe && !e.health.probeOut && (e.health.probedAt == 0 || now-e.health.probedAt >= within) {
		e.health.probeOut, e.health.probedAt = true, now
		d.awaitReply(e)
		d.outbox = append(d.outbox, DueTask{Task: ProbeExecutor, Executor: e.id})
		d.schedule(now+d.classes.shortestObjective, nil, nil)
	}
}

// ---- For nodes that talk ----

// TakeLoadSummary is what this node saw since it was asked last; from the first asking on it is kept.
func (d *Dispatcher) TakeLoadSummary(now time.Duration) LoadSummary {
	t := d.shedding.summary
	d.shedding.reportsLoad, d.shedding.summary = true, LoadSummary{}
	for _, j := range d.queue.onTime {
		t.Waiting += j.pressure()
	}
	for _, e := range d.endpoints.ranked {
		if k := d.endpoints.kinds[e.kind]; e.available {
			part := 1.0
			if now < e.slowStart.until {
				part = d.slowStartFraction(e, now)
			}
			t.Capacity += part * float64(k.concurrency) * (e.estimate.work + 1) / max(e.estimate.runTime+k.pace, 1e-9)
		}
	}
	for _, e := range d.quota.executors {
		for _, s := range e.attempts {
			if !s.running && d.config.startNotices && !s.finished {
				t.Waiting += s.pressure()
			}
		}
	}
	return t
}

// SetAdmissionThreshold tells where the cut line of nodes that talk is from now on. Batch jobs in hand stay.
func (d *Dispatcher) SetAdmissionThreshold(line AdmissionThreshold) { d.shedding.threshold = line }

// priorityLevel is the step of what j earns for its work. A tenant over its share is weighed down as in value.
func (d *Dispatcher) priorityLevel(j *job) int {
	density := d.valueOf(j) / max(j.work.Seconds(), 1e-6) * d.tenantFactor(j.tenant)
	rung := PriorityLevels/2 + int(math.Round(2*math.Log2(max(density, 1e-9))))
	return min(max(0, rung), PriorityLevels-1)
}

// countMigration books, once, that an allocation would be moved if moves were free.
func (d *Dispatcher) countMigration(s *attempt) {
	if !s.migrationCounted {
		s.migrationCounted = true
		d.shedding.summary.Migrations += s.work.Seconds()
	}
}

// recordOffered books a batch job that came, and gives its rung. One that came with less than half of its slack, as repeats do, is
// no measure of what the fleet is short of: it may find no token in time where most are free.
func (d *Dispatcher) recordOffered(j *job) int {
	rung, work := d.priorityLevel(j), max(j.work.Seconds(), 1e-6)
	if j.lowSlack = j.objectiveAt-d.clock.now-j.work < j.slack()/2; !j.lowSlack {
		d.shedding.summary.Offered[rung] += work
	}
	return rung
}

// recordAdmitted books a batch job that is not below the cut line, and gives that on.
func (d *Dispatcher) recordAdmitted(j *job, yes bool) bool {
	if yes && !j.lowSlack {
		d.shedding.summary.Admitted += j.work.Seconds()
	}
	return yes
}

// slack is what j's quoted time leaves beyond its work, counted from its first try.
func (j *job) slack() time.Duration { return j.latencyObjective() - j.work }

// pressure is j's work against its slack.
func (j *job) pressure() float64 { return j.work.Seconds() / max(j.slack().Seconds(), 1e-3) }

// recordCompletion books an answer, in its quoted time or not.
func (d *Dispatcher) recordCompletion(s *attempt, now time.Duration) {
	s.executor.health.consecutiveErrors = 0
	d.shedding.summary.Completed += s.work.Seconds()
	if now <= s.objectiveAt {
		s.class.earnedValue += d.valueOf(s.job)
	}
}

// recordExpired books a batch job that is given up on. What could not be done when it came has not waited: a line that fell for
// it would cut more and more, to no end.
func (d *Dispatcher) recordExpired(j *job) {
	if !j.lowSlack && d.clock.now-j.arrivedAt > d.config.quantum && j.attemptCount < j.class.maxAttempts {
		d.shedding.summary.Expired += j.work.Seconds()
	}
}
