package policy

import "time"

// requestHedge queues j for a second attempt while its first attempt is in flight. It does nothing if wantsHedge is
// false, or if j is queued for a second attempt already.
func (d *Dispatcher) requestHedge(j *job, now time.Duration) {
	if j.hedgeWanted || !d.wantsHedge(j, now) {
		return
	}
	d.queue.addHedge(j)
	d.leases.requestWanted()
}

// wantsHedge reports whether a second attempt of j is useful. Exactly one attempt of j must be in flight, and j's class
// must allow another one. The deadline must be more than one quantum (the time resolution, config.quantum) away. A
// late job gets no hedge, unless its class has a late value. The cluster must not be overloaded, that is, its admission
// threshold must be at level 0.
func (d *Dispatcher) wantsHedge(j *job, now time.Duration) bool {
	return !j.finished && len(j.attempts) == 1 && j.attemptCount < j.class.maxAttempts && d.shedding.threshold.Level == 0 &&
		now < j.deadlineAt-d.config.quantum && (!d.isLate(j, now) || j.class.lateValue > 0)
}
