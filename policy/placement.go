package policy

import (
	"slices"
	"time"
)

const (
	zoneFullLoad          = 1.3  // jobs a core from which on a zone counts as full, where the endpoint list's weights show the load
	zoneFullDelayedStarts = 0.3  // fraction of attempts that do not start at once from which on it does, where there are start notices
	zoneFullWait          = 2.0  // start wait from which on it does elsewhere, in shortest latency objectives
	zoneLoadStep          = 0.1  // weight of a new observation of a zone's load
	minZoneSize           = 1e-9 // least total size of a zone's executors, so that an empty zone can be divided by
	notAUsableToken       = -1   // tokenAge of an executor that the job may not use now
)

// neverCross is a crossZoneDelay that is never over. It can still be added to a time.
const neverCross = Forever / 4

// zoneLoad is how full this node's zone and the other zones are, as a fraction: 1 is full.
type zoneLoad struct {
	local, remote float64
}

// of returns the load of one side, by remoteSide: 0 is this node's zone, 1 the other zones.
func (z *zoneLoad) of(side int) *float64 {
	if side > 0 {
		return &z.remote
	}
	return &z.local
}

// observe moves the load of one side toward a new observation.
func (z *zoneLoad) observe(side int, observed float64) {
	load := z.of(side)
	*load += (observed - *load) * zoneLoadStep
}

// decayRemote lowers the remote load after an interval: while no job crosses zones it is hardly observed.
func (z *zoneLoad) decayRemote() { z.remote *= smoothing }

// dispatch takes a token of e for a new attempt of j and schedules the attempt's first check.
func (d *Dispatcher) dispatch(j *job, e *executor, now time.Duration) Decision {
	d.queue.remove(j)
	// A job past its objective waits because others go first, not for lack of tokens: only the time before counts.
	waitedUntil := min(now, j.objectiveAt-j.work)
	e.queuing.recordQueued(max(0, waitedUntil-j.queuedAt))
	if len(e.attempts) == 0 {
		e.health.awaitResponse(now)
	}
	a := &attempt{job: j, number: AttemptID(j.attemptCount), executor: e, zone: e.zone, cell: e.cell, sentAt: now}
	d.takeToken(e, a)
	if now < e.slowStart.until {
		e.slowStart.spend(now, j.slowStartWork())
	}
	j.attemptCount++
	j.generation++
	d.timers.checkAttempt(now+d.classes.checkInterval, a)
	return Decision{Action: Send, Executor: e.id}
}

// pickExecutor returns the executor whose oldest free token has the highest tokenAge for j, or nil if j can't use any
// token now. With forLease it returns the executor whose lease holder is to be asked for a slot instead.
//
// Executors of this node's zone come first, unless j crosses zones at once (crossesNow). The other side is open to j
// after crossZoneDelay, or if no executor of the first side is usable. Ties go to the executor that ranks higher.
func (d *Dispatcher) pickExecutor(j *job, now time.Duration, forLease bool) *executor {
	if !d.retryAllowed(j, now) || !d.anyTokenFor(j, now, forLease) {
		return nil
	}
	late := d.isLate(j, now)
	crosses := d.crossesNow(j)
	wanted := query{job: j, now: now, late: late, forLease: forLease, maxPace: j.maxPace(now, late)}
	if !d.boundToDedupGroup(j) && d.paceLowerBound(j.class.kind, now) > wanted.maxPace {
		return nil
	}
	for pass := range 2 {
		if pass > 0 && !crosses && now-j.queuedAt < d.crossZoneDelay(j) && d.anyLocalUsable(j, now) {
			return nil
		}
		wanted.remote = pass > 0 != crosses
		if best := d.oldestToken(&wanted); best != nil {
			return best
		}
	}
	return nil
}

// oldestToken returns the candidate on the query's side with the highest tokenAge, or nil. It keeps the query's minAge
// at the best age so far, so that the candidate index can leave out what can't exceed it.
func (d *Dispatcher) oldestToken(wanted *query) *executor {
	var best *executor
	wanted.minAge = notAUsableToken
	for e := range d.candidates(wanted) {
		age := d.tokenAge(e, wanted)
		tied := age == wanted.minAge && best != nil
		if age > wanted.minAge || tied && d.ranksBefore(e, best, wanted.job) {
			best = e
			wanted.minAge = age
		}
	}
	return best
}

// tokenAge returns the weighted age of e's oldest free token, or notAUsableToken if the query's job may not use it now.
//
// The age is weighted by e's weight in the endpoint list, over its pace and the expected wait there: many nodes have at
// least one token each at every executor, so the unweighted age would load slow and small executors like the others.
// A token is not usable if e can't complete the job by its objective, unless the job is past it anyway.
func (d *Dispatcher) tokenAge(e *executor, wanted *query) float64 {
	j := wanted.job
	now := wanted.now
	d.index.evaluated++
	if !d.isUsable(e, now) || !d.isEligible(e, j, now) {
		return notAUsableToken
	}
	if wanted.late && !d.openToLate(e, j) {
		return notAUsableToken
	}
	alreadyThere := len(j.attempts) > 0 && j.attempts[0].executor == e
	if alreadyThere || !d.leaseAllows(e, now, wanted.forLease) || !d.canAccept(e, j, now) {
		return notAUsableToken
	}
	pace := d.pace(e, now)
	wait := d.expectedWait(e, pace, now)
	predictedWait := wait
	if j.class.idempotency == AtMostOnce {
		// A job that can't be migrated also counts the jobs of other nodes, by the load in the endpoint list.
		predictedWait = max(wait, scaled(j.class.meanWork, (e.listedLoad-1)*pace))
	}
	if !wanted.late && now+scaled(predictedWait+scaled(j.work, pace), j.predictionMargin) > j.objectiveAt {
		return notAUsableToken
	}
	return e.weight * float64(now-e.tokens.free[0]) / (pace * (d.classes.shortestObjective + wait).Seconds())
}

// openToLate reports whether a job past its objective may use e. It must not take slots from jobs that can still meet
// theirs: e must have no attempt of this node, and, if the class pays late and the job may thus wait for long, e must be
// one that few nodes send such jobs to.
func (d *Dispatcher) openToLate(e *executor, j *job) bool {
	if len(e.attempts) > 0 {
		return false
	}
	return j.class.lateValue <= 0 || d.rankAmong(e, j) < d.subset.lateSize
}

// isUsable reports whether e takes new attempts at all, whether or not it has a free token: it is available by the
// endpoint list, answers, is not ejected, and, in slow start, is open to this node.
func (d *Dispatcher) isUsable(e *executor, now time.Duration) bool {
	if !e.available || e.health.unresponsive || e.health.ejectedUntil > now {
		return false
	}
	return e.slowStart.sender && now >= d.slowStart.blockedUntil || now >= e.slowStart.until
}

// canAccept reports whether e may take j now: it has a free token, is below its cap in flight after an ejection, and,
// in slow start, within the budget of rule 4.
func (d *Dispatcher) canAccept(e *executor, j *job, now time.Duration) bool {
	return len(e.tokens.free) > 0 && (e.health.inFlightCap == 0 || e.tokens.taken < e.health.inFlightCap) &&
		(now >= e.slowStart.until || d.withinSlowStartBudget(e, j, now))
}

// isEligible reports whether e is of the kind that j's class is bound to and, if an earlier attempt may have run, is in
// the dedup group of that attempt (rule 2).
func (d *Dispatcher) isEligible(e *executor, j *job, now time.Duration) bool {
	if j.class.kind != AnyKind && j.class.kind != e.kind {
		return false
	}
	return j.inDedupGroup(e) && d.retryAllowed(j, now)
}

// crossZoneDelay returns how long j waits in the queue before it may use executors of other zones: the fraction of its
// slack that the cost of crossing is of its value. A job worth less than the cost never crosses.
func (d *Dispatcher) crossZoneDelay(j *job) time.Duration {
	costFraction := d.config.crossZoneCost / d.marginalValue(j)
	if costFraction < 1 {
		return scaled(max(0, j.objectiveAt-j.queuedAt-j.work), costFraction)
	}
	return neverCross
}

// crossesNow reports whether j prefers other zones from the start. When this zone is overloaded, the fraction of jobs
// that would bring the loads together does, less the cost of crossing; each job decides by its own random number, so
// that nodes do not all move at once. Without it a zone with far more traffic than executors would keep all its jobs,
// as some token there is always free.
func (d *Dispatcher) crossesNow(j *job) bool {
	return d.config.crossZoneCost > 0 && d.zoneLoad.local > 1 &&
		j.crossChance < (d.zoneLoad.local-d.zoneLoad.remote)/d.zoneLoad.local-d.config.crossZoneCost/d.marginalValue(j)
}

// updateZoneLoads sets the zone loads from the endpoint list, where its weights fall with the load: the mean jobs a core
// of the usable executors on each side, over zoneFullLoad.
func (d *Dispatcher) updateZoneLoads(now time.Duration) {
	if !d.config.loadAdjustedWeights {
		return
	}
	var load [2]float64
	size := [2]float64{minZoneSize, minZoneSize}
	for _, e := range d.endpoints.ranked {
		if !d.isUsable(e, now) {
			continue
		}
		side := d.remoteSide(e)
		load[side] += e.listedLoad * e.size
		size[side] += e.size
	}
	for side := range load {
		*d.zoneLoad.of(side) = load[side] / size[side] / zoneFullLoad
	}
}

// recordZoneWait updates the load of e's zone by an attempt that waited that long at e before it started. Where the
// endpoint list shows the load, updateZoneLoads sets it instead.
func (d *Dispatcher) recordZoneWait(e *executor, wait time.Duration) {
	if d.config.loadAdjustedWeights {
		return
	}
	var observed float64
	if d.config.startNotices {
		observed = oneIf(wait > d.classes.checkInterval) / zoneFullDelayedStarts
	} else {
		observed = wait.Seconds() / d.classes.shortestObjective.Seconds() / zoneFullWait
	}
	d.zoneLoad.observe(d.remoteSide(e), observed)
}

// decayZoneLoad ends an interval for the zone loads, where they are not taken from the endpoint list.
func (d *Dispatcher) decayZoneLoad() {
	if !d.config.loadAdjustedWeights {
		d.zoneLoad.decayRemote()
	}
}

// anyLocalUsable reports whether some executor of this node's zone that is eligible for j is usable, whether or not it
// has a free token.
func (d *Dispatcher) anyLocalUsable(j *job, now time.Duration) bool {
	isLocalUsable := func(e *executor) bool {
		d.index.visited++
		return d.remoteSide(e) == 0 && d.isUsable(e, now) && d.isEligible(e, j, now)
	}
	if d.boundToDedupGroup(j) || d.subset.memberMoved {
		return slices.ContainsFunc(d.eligibleExecutors(j), isLocalUsable)
	}
	for _, kind := range d.index.kinds {
		if (j.class.kind == AnyKind || j.class.kind == kind.id) && slices.ContainsFunc(kind.localSubset, isLocalUsable) {
			return true
		}
	}
	return false
}

// ranksBefore reports whether executor a ranks before b among j's candidates.
func (d *Dispatcher) ranksBefore(a, b *executor, j *job) bool {
	if d.boundToDedupGroup(j) {
		return byRank(a, b) < 0
	}
	return a.indexed.subsetRank < b.indexed.subsetRank
}

// rankAmong returns e's position among j's candidates, from 0.
func (d *Dispatcher) rankAmong(e *executor, j *job) int {
	if d.boundToDedupGroup(j) {
		position, _ := slices.BinarySearchFunc(d.endpoints.ranked, e, byRank)
		return position
	}
	return e.indexed.subsetRank
}

// eligibleExecutors returns the executors that j may be sent to: the subset, or all executors if j may be retried in its
// dedup group only.
func (d *Dispatcher) eligibleExecutors(j *job) []*executor {
	if d.boundToDedupGroup(j) {
		return d.endpoints.ranked
	}
	return d.subset.members
}
