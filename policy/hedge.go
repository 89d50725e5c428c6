package policy

import "time"

// wantsHedge says whether a second allocation of j may still earn something.
func (d *Dispatcher) wantsHedge(j *job, now time.Duration) bool {
	return !j.finished && len(j.attempts) == 1 && j.attemptCount < j.class.maxAttempts && d.shedding.threshold.Level == 0 &&
		now < j.deadlineAt-d.config.quantum && (!d.isLate(j, now) || j.class.lateValue > 0)
}
