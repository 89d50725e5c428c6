package policy

import (
	"slices"
	"time"
)

const (
	// The next three constants say when a zone counts as full. Which one applies depends on what the node can observe.

	// Used if weights in the endpoint list fall with the load: number of jobs per core of a full zone.
	zoneFullLoad = 1.3
	// Used otherwise if executors send start notices: fraction of delayed starts in a full zone.
	zoneFullDelayedStarts = 0.3
	// Used if there are neither such weights nor start notices: wait before an attempt starts in a full zone, as a
	// multiple of the shortest latency objective. The wait is inferred from the running time.
	zoneFullWait = 2.0
	zoneLoadStep = 0.1 // weight of a new observation in the running average of a zone's load
	// Least total size of a zone's executors in the computation of its load, to avoid a division by zero.
	minZoneSize   = 1e-9
	unusableToken = -1 // tokenAge returns this for an executor whose tokens the job can't use now
)

// neverCross is a crossZoneDelay that never ends. It is below Forever, so that adding it to a time doesn't overflow.
const neverCross = Forever / 4

// zoneLoad holds the load of this node's zone (local) and of all other zones together (remote). A load of 1 means full.
type zoneLoad struct {
	local, remote float64
}

// loadOf returns the load of one side, numbered as by remoteSide: side 0 is this node's zone, side 1 all other zones.
func (z *zoneLoad) loadOf(side int) *float64 {
	if side > 0 {
		return &z.remote
	}
	return &z.local
}

// observe adds an observation to the running average of the load of one side: side 0 is this node's zone, side 1 all
// other zones.
func (z *zoneLoad) observe(side int, observed float64) {
	load := z.loadOf(side)
	*load += (observed - *load) * zoneLoadStep
}

// decayRemote lowers the load of the other zones at the end of an interval. While no job is sent there, their load is
// hardly observed and would otherwise stay high.
func (z *zoneLoad) decayRemote() { z.remote *= smoothing }

// dispatch takes a token of e for a new attempt of j, schedules the attempt's first review, and returns the decision to
// send it.
func (d *Dispatcher) dispatch(j *job, e *executor, now time.Duration) Decision {
	d.queue.remove(j)
	// A late job waits because other jobs have priority, not for lack of tokens, so only the time before it was late
	// counts.
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
// token now. With forLease, it considers only the tokens that can't be used before a lease is granted. The result is
// then the executor for which to request a lease.
//
// Executors of this node's zone are preferred. Other zones are used only after crossZoneDelay, or if no executor of
// this zone is usable. If j prefersOtherZones, the preference is reversed, and there is no delay. On a tie, the
// executor of higher rank is chosen.
func (d *Dispatcher) pickExecutor(j *job, now time.Duration, forLease bool) *executor {
	if !d.retryAllowed(j, now) || !d.anyTokenFor(j, now, forLease) {
		return nil
	}
	late := d.isLate(j, now)
	remoteFirst := d.prefersOtherZones(j)
	wanted := query{job: j, now: now, late: late, forLease: forLease, maxPace: j.maxPace(now, late)}
	if !d.boundToDedupGroup(j) && d.paceLowerBound(j.class.kind, now) > wanted.maxPace {
		return nil
	}
	for pass := range 2 {
		if pass > 0 && !remoteFirst && now-j.queuedAt < d.crossZoneDelay(j) && d.anyLocalUsable(j, now) {
			return nil
		}
		wanted.remote = pass > 0 != remoteFirst
		if best := d.oldestToken(&wanted); best != nil {
			return best
		}
	}
	return nil
}

// oldestToken returns the candidate with the highest tokenAge on the query's side (this zone or the others), or nil if
// there is none. During the search, it sets the query's minAge to the highest age so far. The candidate index then
// skips executors whose tokens can't have a higher age.
func (d *Dispatcher) oldestToken(wanted *query) *executor {
	var best *executor
	wanted.minAge = unusableToken
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

// tokenAge returns the weighted age of e's oldest free token, or unusableToken if the query's job can't use the token
// now.
//
// The age is multiplied by e's weight in the endpoint list. It is divided by e's pace, and by the sum of the shortest
// objective and the expected wait at e. Many nodes have at least one token each at every executor, so unweighted ages
// would give small and slow executors as many jobs as the others. A token is not usable if e is predicted to miss the
// job's objective, unless the job is late anyway.
func (d *Dispatcher) tokenAge(e *executor, wanted *query) float64 {
	j := wanted.job
	now := wanted.now
	d.index.evaluated++
	if !d.isUsable(e, now) || !d.isEligible(e, j, now) {
		return unusableToken
	}
	if wanted.late && !d.acceptsLate(e, j) {
		return unusableToken
	}
	alreadyThere := len(j.attempts) > 0 && j.attempts[0].executor == e
	if alreadyThere || !d.leaseAllows(e, now, wanted.forLease) || !d.canAccept(e, j, now) {
		return unusableToken
	}
	pace := d.pace(e, now)
	wait := d.expectedWait(e, pace, now)
	predictedWait := wait
	if j.class.idempotency == AtMostOnce {
		// An at-most-once job can't be migrated, so the prediction includes the jobs of other nodes at e, as shown by the
		// load in the endpoint list.
		predictedWait = max(wait, scaled(j.class.meanWork, (e.listedLoad-1)*pace))
	}
	if !wanted.late && now+scaled(predictedWait+scaled(j.work, pace), j.predictionMargin) > j.objectiveAt {
		return unusableToken
	}
	return e.weight * float64(now-e.tokens.free[0]) / (pace * (d.classes.shortestObjective + wait).Seconds())
}

// acceptsLate reports whether the late job j can use e. Late jobs must not take slots from jobs that can still meet
// their objective, so this node must have no attempt at e. A job that yields value even after its objective (lateValue)
// can wait for long. Only a few nodes send such jobs to the same executor. For such a job, e must therefore also be
// among the first lateSize executors.
func (d *Dispatcher) acceptsLate(e *executor, j *job) bool {
	if len(e.attempts) > 0 {
		return false
	}
	return j.class.lateValue <= 0 || d.rankAmong(e, j) < d.subset.lateSize
}

// isUsable reports whether e can get new attempts of this node, regardless of tokens. e must be available in the
// endpoint list, since a draining executor gets no new attempts (rule 3). e must be neither unresponsive nor ejected.
// If e is in slow start, this node must be one of the few nodes that use e during that time, and the slow-start budget
// must not be in use by another process of this node (blockedUntil).
func (d *Dispatcher) isUsable(e *executor, now time.Duration) bool {
	if !e.available || e.health.unresponsive || e.health.ejectedUntil > now {
		return false
	}
	return e.slowStart.sender && now >= d.slowStart.blockedUntil || now >= e.slowStart.until
}

// canAccept reports whether e can take j now: e has a free token and is below its cap on attempts in flight. If e is in
// slow start, j must also fit into the slow-start budget (rule 4).
func (d *Dispatcher) canAccept(e *executor, j *job, now time.Duration) bool {
	return len(e.tokens.free) > 0 && (e.health.inFlightCap == 0 || e.tokens.taken < e.health.inFlightCap) &&
		(now >= e.slowStart.until || d.withinSlowStartBudget(e, j, now))
}

// isEligible reports whether e is of the kind that j's class requires, and whether an attempt of j at e certainly has
// no duplicate effect (rule 2).
func (d *Dispatcher) isEligible(e *executor, j *job, now time.Duration) bool {
	if j.class.kind != AnyKind && j.class.kind != e.kind {
		return false
	}
	return j.inDedupGroup(e) && d.retryAllowed(j, now)
}

// crossZoneDelay returns how long j waits in the queue before it can use executors of other zones. The delay is a
// fraction of j's slack: the cost of crossing zones divided by j's marginal value. If the value is not above the cost,
// j never crosses zones.
func (d *Dispatcher) crossZoneDelay(j *job) time.Duration {
	costFraction := d.config.crossZoneCost / d.marginalValue(j)
	if costFraction < 1 {
		return scaled(max(0, j.objectiveAt-j.queuedAt-j.work), costFraction)
	}
	return neverCross
}

// prefersOtherZones reports whether j is sent to other zones rather than to this one. While this zone is overloaded, a
// random fraction of its jobs prefers other zones. This is the fraction that would make the loads equal, minus a
// fraction for the cost of crossing zones. Each job has its own random number. Otherwise the nodes, which see about the
// same loads and decide independently, would all send their jobs to other zones at once. Without this preference, a
// zone with far more traffic than executors would keep all its jobs, because some token there is always free.
func (d *Dispatcher) prefersOtherZones(j *job) bool {
	return d.config.crossZoneCost > 0 && d.zoneLoad.local > 1 &&
		j.crossZoneDraw < (d.zoneLoad.local-d.zoneLoad.remote)/d.zoneLoad.local-d.config.crossZoneCost/d.marginalValue(j)
}

// updateZoneLoads computes the loads of this zone and of the other zones from the endpoint list, if weights in the list
// fall with the load. A load is the mean number of jobs per core of the usable executors, divided by zoneFullLoad.
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
		*d.zoneLoad.loadOf(side) = load[side] / size[side] / zoneFullLoad
	}
}

// recordZoneWait updates the load of e's side (this zone or the others) after an attempt. The attempt waited at e for
// the given time before it started or was abandoned. If weights in the endpoint list fall with the load, nothing is
// done, because updateZoneLoads computes the loads from them.
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

// decayZoneLoad lowers the estimated load of the other zones at the end of an interval (see decayRemote). With
// loadAdjustedWeights, it does nothing: updateZoneLoads then computes the loads from the weights in the endpoint list.
func (d *Dispatcher) decayZoneLoad() {
	if !d.config.loadAdjustedWeights {
		d.zoneLoad.decayRemote()
	}
}

// anyLocalUsable reports whether this node's zone has a usable executor that is eligible for j. The executor need not
// have a free token.
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

// ranksBefore reports whether executor a comes before b in the ranking of j's candidates.
func (d *Dispatcher) ranksBefore(a, b *executor, j *job) bool {
	if d.boundToDedupGroup(j) {
		return byRank(a, b) < 0
	}
	return a.indexed.subsetRank < b.indexed.subsetRank
}

// rankAmong returns e's position in the ranking of j's candidates, from 0.
func (d *Dispatcher) rankAmong(e *executor, j *job) int {
	if d.boundToDedupGroup(j) {
		position, _ := slices.BinarySearchFunc(d.endpoints.ranked, e, byRank)
		return position
	}
	return e.indexed.subsetRank
}

// eligibleExecutors returns the executors among which j's executor is chosen. That is the subset. If j can be retried
// only in a dedup group, it is all executors, because those of the group may be outside the subset.
func (d *Dispatcher) eligibleExecutors(j *job) []*executor {
	if d.boundToDedupGroup(j) {
		return d.endpoints.ranked
	}
	return d.subset.members
}
