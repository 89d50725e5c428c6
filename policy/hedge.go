package policy

import "time"

// requestHedge queues j for a second attempt beside the one that is out, if that may still earn something.
func (d *Dispatcher) requestHedge(j *job, now time.Duration) {
	if j.hedgeWanted || !d.wantsHedge(j, now) {
		return
	}
	d.queue.addHedge(j)
	d.leases.requestWanted()
}

// wantsHedge reports whether a second attempt of j may still earn something: one is out, the job can be in time or its
// class pays late, and the fleet is not overloaded.
func (d *Dispatcher) wantsHedge(j *job, now time.Duration) bool {
	return !j.finished && len(j.attempts) == 1 && j.attemptCount < j.class.maxAttempts && d.shedding.threshold.Level == 0 &&
		now < j.deadlineAt-d.config.quantum && (!d.isLate(j, now) || j.class.lateValue > 0)
}
