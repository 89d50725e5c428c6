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
	fullTokenRest            = 2.0 // running times that the token of a full executor rests, for each rejection in a row
)

// quotaState is what the step of the quotas needs of all executors.
type quotaState struct {
	executors   []*executor // that have tokens: those that have been in the subset
	joined      int         // executors that ever got tokens
	intervalEnd time.Duration
}

// tokens are an executor's quota and the tokens under it.
type tokens struct {
	quota          int             // 0: it has not been in the subset yet
	inheritedQuota int             // what a predecessor of this process gave it; 0 for none
	free           []time.Duration // since when each free token is free, oldest first
	taken          int             // by attempts that are out, and by those canceled that may still run
	joined         int             // its number among those that got tokens; 0: it has none
}

// queuing is what this interval showed of waiting for an executor, for the step of its quota.
type queuing struct {
	atExecutor    time.Duration // waiting at the executor
	here          time.Duration // waiting in this node's queue
	overTarget    bool          // some job waited longer than its slack allows
	outOfTokens   bool          // no token was free at some moment
	sawFull       bool          // an attempt was rejected as full
	fullTenant    TenantID      // whose attempt that was
	fullForMany   bool          // attempts of several tenants were
	fullWait      time.Duration // running times of the rejected attempts
	startedOthers bool          // others were started meanwhile
}

// decay lets what was seen of an executor grow old at an interval's end, or one passed over would never be tried again.
func (e *executor) decay() {
	e.queuing.atExecutor, e.queuing.here, e.queuing.overTarget, e.queuing.outOfTokens = 0, 0, false, len(e.tokens.free) == 0
	e.estimate.startWait = scaled(e.estimate.startWait, smoothing)
	e.estimate.runTime, e.estimate.work = e.estimate.runTime*smoothing, e.estimate.work*smoothing
	e.queuing.sawFull, e.queuing.fullForMany, e.queuing.startedOthers, e.queuing.fullWait = false, false, false, 0
}

// takeToken uses the oldest free token.
func (d *Dispatcher) takeToken(e *executor, s *attempt) {
	e.tokens.free = e.tokens.free[1:]
	e.tokens.taken++
	e.queuing.outOfTokens = e.queuing.outOfTokens || len(e.tokens.free) == 0
	if e.lease.granted {
		e.lease.granted = false
		e.lease.held++
	}
	e.attempts = append(e.attempts, s)
	s.job.attempts = append(s.job.attempts, s)
	d.markDirty(e)
}

// releaseToken frees a token. Late: the batch job did not start there at once.
func (d *Dispatcher) releaseToken(e *executor, now time.Duration, late bool) {
	d.returnLease(e, now, late)
	e.tokens.taken--
	if e.tokens.taken+len(e.tokens.free) < e.tokens.quota {
		e.tokens.free = append(e.tokens.free, now)
	}
	d.queue.tokenFreed = true
	d.markDirty(e)
}

// meanQuota is that of quotas.
type meanQuota struct{ sum, count int }

func (m meanQuota) of(none int) int {
	if m.count == 0 {
		return none
	}
	return (m.sum + m.count/2) / m.count
}

func (m meanQuota) with(quota int) meanQuota { return meanQuota{m.sum + quota, m.count + 1} }

// meanQuotas reckons the kinds' mean quotas, once for all executors that come into the slice together.
func (d *Dispatcher) meanQuotas(means map[KindID]meanQuota) {
	if len(means) > 0 {
		return
	}
	means[AnyKind] = meanQuota{} // reckoned, though none is met yet
	for _, e := range d.quota.executors {
		if e.available {
			means[e.kind] = means[e.kind].with(e.tokens.quota)
		}
	}
}

// addWithTokens takes an executor among those met.
func (d *Dispatcher) addWithTokens(e *executor) {
	d.quota.joined++
	e.tokens.joined = d.quota.joined
	d.quota.executors = append(d.quota.executors, e)
	d.markDirty(e)
}

// dropRemovedWithTokens takes those that are gone from among those met, once nothing of ours is there.
func (d *Dispatcher) dropRemovedWithTokens() {
	d.quota.executors = slices.DeleteFunc(d.quota.executors, func(e *executor) bool {
		drop := e.removed && e.tokens.taken == 0
		if drop {
			e.tokens.joined = 0
		}
		return drop
	})
}

// stepQuota moves a quota.
func (d *Dispatcher) stepQuota(e *executor, by int, now time.Duration) {
	e.tokens.quota += by
	d.markDirty(e)
	if by > 0 {
		if e.tokens.taken+len(e.tokens.free) < e.tokens.quota {
			e.tokens.free = append(e.tokens.free, now)
			d.queue.tokenFreed = true
		}
	} else if e.tokens.taken+len(e.tokens.free) > e.tokens.quota && len(e.tokens.free) > 0 {
		e.tokens.free = e.tokens.free[:len(e.tokens.free)-1]
	}
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
