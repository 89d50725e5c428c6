package policy

import (
	"slices"
	"time"
)

const (
	executorQueuingThreshold = 0.3 // the executor's share of all waiting, above which its own queue is to blame (design)
	emptyQueueThreshold      = 0.5 // over this share, what waits here counts as an empty queue
	slackTargetFraction      = 0.5 // of a job's slack that may be spent waiting before the executor is over its target
	initialQuota             = 2   // the design's first quota
	maxQuota                 = 8   // the design's finite cap
	intervalFraction         = 0.4 // of the shortest deadline, between two steps of the quotas
	fullTokenDelay           = 2.0 // running times that the token of a full executor rests, for each rejection in a row
)

// quotaState is what the step of the quotas needs of all executors.
type quotaState struct {
	executors   []*executor // that have tokens: those that have been in the subset
	joined      int         // executors that ever got tokens
	intervalEnd time.Duration
}

// endIntervalBy lets the running interval end at that time, unless it ends before.
func (q *quotaState) endIntervalBy(at time.Duration) { q.intervalEnd = min(q.intervalEnd, at) }

// add gives an executor its number among those that got tokens.
func (q *quotaState) add(e *executor) {
	q.joined++
	e.tokens.joinOrder = q.joined
	q.executors = append(q.executors, e)
}

// dropRemoved drops the executors that were removed from the endpoint list, once no attempt of this node is there.
func (q *quotaState) dropRemoved() {
	q.executors = slices.DeleteFunc(q.executors, func(e *executor) bool {
		drop := e.removed && e.tokens.taken == 0
		if drop {
			e.tokens.joinOrder = 0
		}
		return drop
	})
}

// tokens are an executor's quota and the tokens under it.
type tokens struct {
	quota          int             // 0: it has not been in the subset yet
	inheritedQuota int             // what a predecessor of this process gave it; 0 for none
	free           []time.Duration // since when each free token is free, oldest first
	taken          int             // by attempts that are out, and by those canceled that may still run
	joinOrder      int             // its number among those that got tokens; 0: it has none
}

// inherit records the quota that another process gave the executor, for when it joins the subset here.
func (t *tokens) inherit(quota int) { t.inheritedQuota = min(quota, maxQuota) }

// begin sets the first quota: a token for each given time, since when it is free.
func (t *tokens) begin(freeSince []time.Duration) {
	t.quota = len(freeSince)
	t.free = freeSince
	slices.Sort(t.free)
}

// total returns the number of tokens, free and taken. It may exceed a quota that was lowered.
func (t *tokens) total() int { return t.taken + len(t.free) }

// take uses the oldest free token.
func (t *tokens) take() {
	t.free = t.free[1:]
	t.taken++
}

// release returns a taken token. It is dropped where the quota was lowered meanwhile.
func (t *tokens) release(now time.Duration) {
	t.taken--
	if t.total() < t.quota {
		t.free = append(t.free, now)
	}
}

// raise increases the quota by one and reports whether that gave a free token.
func (t *tokens) raise(now time.Duration) bool {
	t.quota++
	if t.total() >= t.quota {
		return false
	}
	t.free = append(t.free, now)
	return true
}

// lower reduces the quota by one, and drops the token that came free last if there is one too many.
func (t *tokens) lower() {
	t.quota--
	if t.total() > t.quota && len(t.free) > 0 {
		t.free = t.free[:len(t.free)-1]
	}
}

// queuing is what this interval showed of waiting for an executor, for the step of its quota.
type queuing struct {
	atExecutor     time.Duration // waiting at the executor
	inQueue        time.Duration // waiting in this node's queue
	overTarget     bool          // some job waited longer than its slack allows
	outOfTokens    bool          // no token was free at some moment
	sawFull        bool          // an attempt was rejected as full
	fullTenant     TenantID      // whose attempt that was
	fullForSeveral bool          // attempts of several tenants were
	fullWait       time.Duration // running times of the rejected attempts
	startedOthers  bool          // others were started meanwhile
}

// recordQueued adds the time that a job waited in this node's queue.
func (q *queuing) recordQueued(wait time.Duration) { q.inQueue += wait }

// recordStartWait adds the time that an attempt waited at the executor, and whether its job waited longer than its slack
// allows.
func (q *queuing) recordStartWait(wait time.Duration, overTarget bool) {
	q.atExecutor += wait
	q.overTarget = q.overTarget || overTarget
}

// recordFull records an attempt that the executor rejected as full, though it would have run for that long.
func (q *queuing) recordFull(tenant TenantID, runTime time.Duration) {
	q.fullForSeveral = q.fullForSeveral || q.sawFull && q.fullTenant != tenant
	q.sawFull = true
	q.fullTenant = tenant
	q.fullWait += runTime
}

// recordStart records an attempt that the executor started: after a rejection, one of another tenant shows that only
// the rejected tenant's quota there was full.
func (q *queuing) recordStart(tenant TenantID) {
	q.startedOthers = q.startedOthers || !q.sawFull || tenant != q.fullTenant
}

// chargeRejections counts the rejected attempts as waiting at the executor, unless only one tenant was rejected.
func (q *queuing) chargeRejections() {
	if q.fullForSeveral || q.sawFull && !q.startedOthers {
		q.atExecutor += q.fullWait
		q.overTarget = true
	}
}

// executorFraction returns the fraction of all waiting that was at the executor: the design's r.
func (q *queuing) executorFraction() float64 {
	total := q.atExecutor + q.inQueue
	if total <= 0 {
		return 0
	}
	return float64(q.atExecutor) / float64(total)
}

// takeToken uses e's oldest free token, and the lease if one is granted, for an attempt.
func (d *Dispatcher) takeToken(e *executor, a *attempt) {
	e.tokens.take()
	e.queuing.outOfTokens = e.queuing.outOfTokens || len(e.tokens.free) == 0
	e.lease.use()
	e.attempts = append(e.attempts, a)
	j := a.job
	j.attempts = append(j.attempts, a)
	d.markDirty(e)
}

// releaseToken returns an attempt's token and lease. The lease holder is notified whether the job had to wait at e.
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

// meanQuota is the mean of some quotas.
type meanQuota struct{ sum, count int }

// or returns the mean, rounded, or the given quota where there are none.
func (m meanQuota) or(quota int) int {
	if m.count == 0 {
		return quota
	}
	return (m.sum + m.count/2) / m.count
}

// with returns the mean with another quota added.
func (m meanQuota) with(quota int) meanQuota { return meanQuota{m.sum + quota, m.count + 1} }

// fillMeanQuotas computes the mean quota of each executor kind, once for all executors that join the subset together.
func (d *Dispatcher) fillMeanQuotas(means map[KindID]meanQuota) {
	if len(means) > 0 {
		return
	}
	means[AnyKind] = meanQuota{} // marks the means as computed, even if there are none
	for _, e := range d.quota.executors {
		if e.available {
			means[e.kind] = means[e.kind].with(e.tokens.quota)
		}
	}
}

// adjustQuota moves e's quota by one at most, by the design's rule: down if its own queue is to blame for slow jobs and
// nothing waits here, up if jobs waited here for its tokens and its own queue is short.
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

// onInterval ends an interval: each quota takes its step, silent executors are ejected, averages decay.
func (d *Dispatcher) onInterval(now time.Duration) {
	d.quota.dropRemoved()
	for _, e := range d.quota.executors {
		d.markDirty(e) // its estimate and its queuing change below
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

// chargeUnstarted counts what attempts that have not started waited at e in this interval.
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

// decay begins a new interval with no waiting counted and an older estimate. An estimate that stayed would keep an
// executor that is passed over from ever being tried again.
func (e *executor) decay() {
	e.queuing = queuing{outOfTokens: len(e.tokens.free) == 0}
	e.estimate.decay()
}

// recordStartWait records how long an attempt waited at e before it started. The quantum of the node's clock is no wait.
func (d *Dispatcher) recordStartWait(e *executor, a *attempt, wait time.Duration) {
	wait = max(0, wait-d.config.quantum)
	e.estimate.observeStartWait(wait)
	d.recordZoneWait(e, wait)
	totalWait := a.sentAt - a.queuedAt + wait
	slack := a.objectiveAt - a.arrivedAt - a.work
	e.queuing.recordStartWait(wait, totalWait > scaled(slack, slackTargetFraction))
}
