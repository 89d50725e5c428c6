package policy

import "time"

// requestHedge queues j for a second attempt while the first one is in flight, if wantsHedge allows it.
func (d *Dispatcher) requestHedge(j *job, now time.Duration) {
	if j.hedgeWanted || !d.wantsHedge(j, now) {
		return
	}
	d.queue.addHedge(j)
	d.leases.requestWanted()
}

// wantsHedge reports whether a second attempt of j can still yield value: exactly one attempt is in flight and j's class
// allows another one, j can meet its objective or its class has a late value, and the cluster is not overloaded.
func (d *Dispatcher) wantsHedge(j *job, now time.Duration) bool {
	return !j.finished && len(j.attempts) == 1 && j.attemptCount < j.class.maxAttempts && d.shedding.threshold.Level == 0 &&
		now < j.deadlineAt-d.config.quantum && (!d.isLate(j, now) || j.class.lateValue > 0)
}
