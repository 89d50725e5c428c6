package policy

import (
	"slices"
	"time"
)

// The RAIN design prescribes executorQueuingThreshold, initialQuota, maxQuota and the rule of adjustQuota.
const (
	executorQueuingThreshold = 0.3 // executorFraction above which the executor's queue is taken as the cause of delays
	emptyQueueThreshold      = 0.5 // executorFraction above which this node's queue counts as empty
	slackTargetFraction      = 0.5 // fraction of its slack that a job may wait before its executor counts as over its target
	initialQuota             = 2   // quota of an executor of which nothing is known
	maxQuota                 = 8   // largest quota of an executor
	intervalFraction         = 0.4 // the interval between two adjustments is this fraction of the shortest deadline
	fullTokenDelay           = 2.0 // number of running times, per rejection in a row, for which a full executor's token stays taken
)

// quotaState holds the executors whose quotas are adjusted, and the end of the current interval.
type quotaState struct {
	executors   []*executor // executors that have tokens: those that are or were in the subset
	joined      int         // number of executors that have been added so far
	intervalEnd time.Duration
}

// endIntervalBy makes the current interval end at the given time, unless it ends earlier.
func (q *quotaState) endIntervalBy(at time.Duration) { q.intervalEnd = min(q.intervalEnd, at) }

// add adds an executor that gets its first tokens, and records its position in the order of joining.
func (q *quotaState) add(e *executor) {
	q.joined++
	e.tokens.joinOrder = q.joined
	q.executors = append(q.executors, e)
}

// dropRemoved drops the executors that were removed from the endpoint list and have no token taken.
func (q *quotaState) dropRemoved() {
	q.executors = slices.DeleteFunc(q.executors, func(e *executor) bool {
		drop := e.removed && e.tokens.taken == 0
		if drop {
			e.tokens.joinOrder = 0
		}
		return drop
	})
}

// tokens holds an executor's quota, which is the number of attempts that this node may have in flight there, and its tokens.
// An attempt takes a token and releases it at its end.
type tokens struct {
	quota          int             // most attempts in flight at the executor; 0: it has not been in the subset yet
	inheritedQuota int             // quota in the learned state of the predecessor process; 0: none
	free           []time.Duration // time since which each free token has been free, oldest first
	taken          int             // tokens of attempts in flight, and of ended ones whose token is released later
	joinOrder      int             // position in the order in which executors got tokens, from 1; 0: not in quotaState.executors
}

// inherit records the quota that another process of this node had for the executor. It is used when the executor joins
// the subset of this process.
func (t *tokens) inherit(quota int) { t.inheritedQuota = min(quota, maxQuota) }

// begin sets the first quota, with one free token for each given time.
func (t *tokens) begin(freeSince []time.Duration) {
	t.quota = len(freeSince)
	t.free = freeSince
	slices.Sort(t.free)
}

// total returns the number of tokens, free and taken. After the quota was lowered it may exceed the quota.
func (t *tokens) total() int { return t.taken + len(t.free) }

// take uses the oldest free token.
func (t *tokens) take() {
	t.free = t.free[1:]
	t.taken++
}

// release frees a taken token, or drops it if the quota was lowered meanwhile.
func (t *tokens) release(now time.Duration) {
	t.taken--
	if t.total() < t.quota {
		t.free = append(t.free, now)
	}
}

// raise increases the quota by one and reports whether that added a free token.
func (t *tokens) raise(now time.Duration) bool {
	t.quota++
	if t.total() >= t.quota {
		return false
	}
	t.free = append(t.free, now)
	return true
}

// lower reduces the quota by one and drops the most recently freed token if there are now more tokens than the quota.
func (t *tokens) lower() {
	t.quota--
	if t.total() > t.quota && len(t.free) > 0 {
		t.free = t.free[:len(t.free)-1]
	}
}

// queuing holds an executor's waiting times in the current interval, from which adjustQuota derives its next quota.
type queuing struct {
	atExecutor     time.Duration // total time that attempts waited at the executor
	inQueue        time.Duration // total time that jobs waited in this node's queue before they were sent to the executor
	overTarget     bool          // a job waited longer than slackTargetFraction of its slack
	outOfTokens    bool          // at some time no token was free
	sawFull        bool          // the executor rejected an attempt as full
	fullTenant     TenantID      // tenant of the last attempt rejected as full
	fullForSeveral bool          // attempts of more than one tenant were rejected as full
	fullWait       time.Duration // sum of the predicted running times of the rejected attempts
	startedOthers  bool          // the executor started an attempt that shows it is not full for all tenants (recordStart)
}

// recordQueued adds the time that a job waited in this node's queue before it was sent to the executor.
func (q *queuing) recordQueued(wait time.Duration) { q.inQueue += wait }

// recordStartWait adds the time that an attempt waited at the executor. overTarget says whether its job waited for too much
// of its slack.
func (q *queuing) recordStartWait(wait time.Duration, overTarget bool) {
	q.atExecutor += wait
	q.overTarget = q.overTarget || overTarget
}

// recordFull records an attempt that the executor rejected as full, with its predicted running time.
func (q *queuing) recordFull(tenant TenantID, runTime time.Duration) {
	q.fullForSeveral = q.fullForSeveral || q.sawFull && q.fullTenant != tenant
	q.sawFull = true
	q.fullTenant = tenant
	q.fullWait += runTime
}

// recordStart records an attempt that the executor started. If it did so before any rejection in this interval, or
// after it rejected another tenant's attempt, it is not full for all tenants: only the rejected tenant's quota there is
// used up.
func (q *queuing) recordStart(tenant TenantID) {
	q.startedOthers = q.startedOthers || !q.sawFull || tenant != q.fullTenant
}

// chargeRejections counts the running times of rejected attempts as waiting at the executor, unless only one tenant's
// attempts were rejected while the executor started others.
func (q *queuing) chargeRejections() {
	if q.fullForSeveral || q.sawFull && !q.startedOthers {
		q.atExecutor += q.fullWait
		q.overTarget = true
	}
}

// executorFraction returns the fraction of the total waiting time that was spent at the executor and not in this node's
// queue: the r of the RAIN design.
func (q *queuing) executorFraction() float64 {
	total := q.atExecutor + q.inQueue
	if total <= 0 {
		return 0
	}
	return float64(q.atExecutor) / float64(total)
}

// takeToken takes e's oldest free token for an attempt, and uses the lease if one is granted.
func (d *Dispatcher) takeToken(e *executor, a *attempt) {
	e.tokens.take()
	e.queuing.outOfTokens = e.queuing.outOfTokens || len(e.tokens.free) == 0
	e.lease.use()
	e.attempts = append(e.attempts, a)
	j := a.job
	j.attempts = append(j.attempts, a)
	d.markDirty(e)
}

// releaseToken releases an attempt's token and returns its lease. The lease holder is notified whether the job had to wait
// at e.
func (d *Dispatcher) releaseToken(e *executor, now time.Duration, waitedAtExecutor bool) {
	d.returnLease(e, now, waitedAtExecutor)
	e.tokens.release(now)
	d.queue.rescan()
	d.markDirty(e)
}

// raiseQuota increases e's quota by one.
func (d *Dispatcher) raiseQuota(e *executor, now time.Duration) {
	d.markDirty(e)
	if e.tokens.raise(now) {
		d.queue.rescan()
	}
}

// lowerQuota reduces e's quota by one.
func (d *Dispatcher) lowerQuota(e *executor) {
	d.markDirty(e)
	e.tokens.lower()
}

// meanQuota computes the mean of quotas.
type meanQuota struct{ sum, count int }

// or returns the rounded mean, or the given quota if no quota was added.
func (m meanQuota) or(quota int) int {
	if m.count == 0 {
		return quota
	}
	return (m.sum + m.count/2) / m.count
}

// with returns m with another quota added.
func (m meanQuota) with(quota int) meanQuota { return meanQuota{m.sum + quota, m.count + 1} }

// fillMeanQuotas computes the mean quota of each executor kind, unless means is already filled: executors that join the
// subset together share one computation.
func (d *Dispatcher) fillMeanQuotas(means map[KindID]meanQuota) {
	if len(means) > 0 {
		return
	}
	means[AnyKind] = meanQuota{} // a map that is not empty means that the means are computed
	for _, e := range d.quota.executors {
		if e.available {
			means[e.kind] = means[e.kind].with(e.tokens.quota)
		}
	}
}

// adjustQuota changes e's quota by at most one, by the rule of the RAIN design. The quota is lowered if jobs waited too
// long, mostly at e, while this node's queue was empty or hardly mattered. It is raised if jobs waited in this node's
// queue, e ran out of tokens, and there was little waiting at e.
func (d *Dispatcher) adjustQuota(e *executor, now time.Duration) {
	fraction := e.queuing.executorFraction()
	queueEmpty := !d.queue.usedThisInterval || fraction > emptyQueueThreshold
	switch {
	case e.queuing.overTarget && fraction > executorQueuingThreshold && queueEmpty && e.tokens.quota > 1:
		d.lowerQuota(e)
	case d.queue.usedThisInterval && e.queuing.outOfTokens && fraction < executorQueuingThreshold && e.tokens.quota < maxQuota:
		d.raiseQuota(e, now)
	}
}

// onInterval ends an interval: it adjusts quotas, ejects inactive executors and decays averages.
func (d *Dispatcher) onInterval(now time.Duration) {
	d.quota.dropRemoved()
	for _, e := range d.quota.executors {
		d.markDirty(e) // because its estimate and its queuing change below
		d.chargeUnstarted(e, now)
		e.queuing.chargeRejections()
		d.adjustQuota(e, now)
		d.detectInactivity(e, now)
		e.decay()
		e.lease.expireRequest(now, d.classes.quotaInterval)
	}
	d.adjustLeaseQuotas(now)
	d.resetMaxConcurrency()
	d.queue.startInterval()
	d.subset.recheck()
	d.leases.requestWanted()
	d.decayZoneLoad()
	d.updateWorstClass()
	d.updateTenants()
}

// chargeUnstarted adds the time that attempts not yet started have waited at e in this interval.
func (d *Dispatcher) chargeUnstarted(e *executor, now time.Duration) {
	if !d.config.startNotices {
		return
	}
	intervalStart := now - d.classes.quotaInterval
	for _, a := range e.attempts {
		if !a.running {
			e.queuing.atExecutor += max(0, now-max(a.sentAt, intervalStart)-d.config.quantum)
		}
	}
}

// decay resets the waiting times for a new interval and decays the estimate. Without the decay, an executor with a bad
// estimate would never be tried again.
func (e *executor) decay() {
	e.queuing = queuing{outOfTokens: len(e.tokens.free) == 0}
	e.estimate.decay()
}

// recordStartWait records how long an attempt waited at e before it started, less the quantum of the node's clock.
func (d *Dispatcher) recordStartWait(e *executor, a *attempt, wait time.Duration) {
	wait = max(0, wait-d.config.quantum)
	e.estimate.observeStartWait(wait)
	d.recordZoneWait(e, wait)
	totalWait := a.sentAt - a.queuedAt + wait
	slack := a.objectiveAt - a.arrivedAt - a.work
	e.queuing.recordStartWait(wait, totalWait > scaled(slack, slackTargetFraction))
}
