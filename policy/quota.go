package policy

import (
	"slices"
	"time"
)

// The RAIN design prescribes executorQueuingThreshold, initialQuota, maxQuota and the rule of adjustQuota.
const (
	// An executor counts as the cause of delays if more than this fraction of its jobs' waiting time was spent at the
	// executor and not in this node's queue. For a lease quota, the fraction of jobs that had to wait at the executor is
	// compared with this instead.
	executorQueuingThreshold = 0.3
	// This node's queue counts as empty if more than this fraction of the waiting time was spent at the executor.
	emptyQueueThreshold = 0.5
	// An executor counts as over its target if a job waited for more than this fraction of the job's slack.
	slackTargetFraction = 0.5
	initialQuota        = 2   // quota, in attempts in flight, of an executor of which nothing is known
	maxQuota            = 8   // largest quota of an executor, in attempts in flight
	intervalFraction    = 0.4 // interval of quota adjustments, as a fraction of the shortest deadline of a job class
	// Time for which a token stays taken after its attempt was rejected as full, in predicted running times. The time is
	// multiplied by the number of rejections in a row.
	fullTokenDelay = 2.0
)

// quotaState holds the executors whose quotas are adjusted, and the end of the current quota interval.
type quotaState struct {
	executors   []*executor // executors that have tokens: those that are or were in the subset
	joined      int         // number of executors that have been added so far
	intervalEnd time.Duration
}

// endIntervalBy makes the current quota interval end at the given time, unless it ends earlier.
func (q *quotaState) endIntervalBy(at time.Duration) { q.intervalEnd = min(q.intervalEnd, at) }

// add adds an executor that gets its first tokens, and records its position in the order in which executors got tokens.
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

// tokens holds the quota and the tokens of an executor. The quota is the number of attempts that this node is allowed
// to have in flight at the executor. An attempt takes a token when it is sent, and the token is released when the
// attempt ends. If the executor is full or may still be running the job, the token is released later.
type tokens struct {
	// Maximum number of this node's attempts in flight at the executor; 0: the executor has not been in the subset yet.
	quota          int
	inheritedQuota int             // quota of the executor in the learned state of the predecessor process; 0: none
	free           []time.Duration // for each free token, the time since which it has been free; oldest first
	// Number of tokens of attempts in flight, and of ended attempts whose token is released later.
	taken     int
	joinOrder int // position in the order in which executors got tokens, from 1; 0: not in quotaState.executors
}

// inherit records the quota that another process of this node had for the executor. The quota is used when the executor
// joins the subset of this process.
func (t *tokens) inherit(quota int) { t.inheritedQuota = min(quota, maxQuota) }

// begin sets the first quota. For each of the given times, there is one token that counts as free since that time.
func (t *tokens) begin(freeSince []time.Duration) {
	t.quota = len(freeSince)
	t.free = freeSince
	slices.Sort(t.free)
}

// total returns the number of tokens, free and taken. After the quota was lowered, this number may exceed the quota for
// a time.
func (t *tokens) total() int { return t.taken + len(t.free) }

// take takes the oldest free token.
func (t *tokens) take() {
	t.free = t.free[1:]
	t.taken++
}

// release frees a taken token. If the other tokens already reach the quota, because the quota was lowered, the token is
// dropped instead.
func (t *tokens) release(now time.Duration) {
	t.taken--
	if t.total() < t.quota {
		t.free = append(t.free, now)
	}
}

// raise increases the quota by one, and reports whether a free token was added. None is added while there are still more
// tokens than the old quota, after the quota was lowered.
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

// queuing holds the waiting times of one executor's jobs in the current quota interval. adjustQuota derives the
// executor's next quota from them.
type queuing struct {
	atExecutor     time.Duration // total time that attempts waited at the executor
	inQueue        time.Duration // total time that jobs waited in this node's queue before they were sent to the executor
	overTarget     bool          // a job waited beyond slackTargetFraction of its slack, or rejections were charged
	outOfTokens    bool          // at some time in the interval, no token of the executor was free
	sawFull        bool          // the executor rejected an attempt as full
	fullTenant     TenantID      // tenant of the last attempt that was rejected as full
	fullForSeveral bool          // attempts of more than one tenant were rejected as full
	fullWait       time.Duration // sum of the predicted running times of the attempts that were rejected as full
	// The executor started an attempt before it rejected any as full, or started one of a tenant other than fullTenant. So
	// it still had room for some tenant. Set by recordStart.
	startedOthers bool
}

// recordQueued adds the time that a job waited in this node's queue before it was sent to the executor.
func (q *queuing) recordQueued(wait time.Duration) { q.inQueue += wait }

// recordStartWait adds the time that an attempt waited at the executor. overTarget says whether the job waited for more
// than slackTargetFraction of its slack.
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

// recordStart records that the executor started an attempt of the given tenant. If no attempt was rejected as full
// earlier in this interval, or the last rejected one was another tenant's, the executor is not full for all tenants. A
// rejection then only shows that the rejected tenant's quota at the executor is used up.
func (q *queuing) recordStart(tenant TenantID) {
	q.startedOthers = q.startedOthers || !q.sawFull || tenant != q.fullTenant
}

// chargeRejections adds the predicted running times of the attempts rejected as full to atExecutor, as if the attempts
// had waited there. It adds nothing if the executor rejected only one tenant's attempts while it started other
// attempts.
func (q *queuing) chargeRejections() {
	if q.fullForSeveral || q.sawFull && !q.startedOthers {
		q.atExecutor += q.fullWait
		q.overTarget = true
	}
}

// executorFraction returns the fraction of the total waiting time that was spent at the executor and not in this node's
// queue. The RAIN design calls it r.
func (q *queuing) executorFraction() float64 {
	total := q.atExecutor + q.inQueue
	if total <= 0 {
		return 0
	}
	return float64(q.atExecutor) / float64(total)
}

// takeToken takes e's oldest free token for an attempt. If a lease of e is granted, the attempt uses the lease.
func (d *Dispatcher) takeToken(e *executor, a *attempt) {
	e.tokens.take()
	e.queuing.outOfTokens = e.queuing.outOfTokens || len(e.tokens.free) == 0
	e.lease.use()
	e.attempts = append(e.attempts, a)
	j := a.job
	j.attempts = append(j.attempts, a)
	d.markDirty(e)
}

// releaseToken releases a token of e. If an attempt used a lease of e, a lease is also returned to the node that grants
// e's leases. The message says whether the job had to wait at e (waitedAtExecutor).
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

// meanQuota holds the sum and the number of quotas, to compute their mean.
type meanQuota struct{ sum, count int }

// or returns the rounded mean of the quotas that were added, or the given quota if none was added.
func (m meanQuota) or(quota int) int {
	if m.count == 0 {
		return quota
	}
	return (m.sum + m.count/2) / m.count
}

// with returns a copy of m to which another quota was added.
func (m meanQuota) with(quota int) meanQuota { return meanQuota{m.sum + quota, m.count + 1} }

// fillMeanQuotas computes the mean quota of each executor kind, unless means is filled already. Executors that join the
// subset together thus share one computation.
func (d *Dispatcher) fillMeanQuotas(means map[KindID]meanQuota) {
	if len(means) > 0 {
		return
	}
	means[AnyKind] = meanQuota{} // marks means as filled, even if no executor is available
	for _, e := range d.quota.executors {
		if e.available {
			means[e.kind] = means[e.kind].with(e.tokens.quota)
		}
	}
}

// adjustQuota changes e's quota by at most one, by the rule of the RAIN design. The rule compares the fraction of the
// waiting time that was spent at e with executorQueuingThreshold. Above the threshold, the quota is lowered if a job
// waited too long and this node's queue was unused or counts as empty. Below the threshold, the quota is raised if jobs
// waited in this node's queue and e ran out of tokens. The quota stays between 1 and maxQuota.
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

// onInterval ends a quota interval. It adjusts quotas, ejects inactive executors and lets averages decay.
func (d *Dispatcher) onInterval(now time.Duration) {
	d.quota.dropRemoved()
	for _, e := range d.quota.executors {
		d.markDirty(e) // e's estimate and waiting times change below
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

// chargeUnstarted adds the time for which unstarted attempts have waited at e in this interval.
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

// decay resets e's waiting times for a new interval, and lowers the weight of past observations in the estimate of e's
// speed. Otherwise an executor that was once measured as slow would never be tried again.
func (e *executor) decay() {
	e.queuing = queuing{outOfTokens: len(e.tokens.free) == 0}
	e.estimate.decay()
}

// recordStartWait records how long an attempt waited at e before it started. The quantum, which is the resolution of
// the node's clock, is subtracted.
func (d *Dispatcher) recordStartWait(e *executor, a *attempt, wait time.Duration) {
	wait = max(0, wait-d.config.quantum)
	e.estimate.observeStartWait(wait)
	d.recordZoneWait(e, wait)
	totalWait := a.sentAt - a.queuedAt + wait
	slack := a.objectiveAt - a.arrivedAt - a.work
	e.queuing.recordStartWait(wait, totalWait > scaled(slack, slackTargetFraction))
}
