package policy

import (
	"slices"
	"time"
)

// retryAllowed is rule 2 for a further allocation.
func (d *Dispatcher) retryAllowed(j *job, now time.Duration) bool {
	return j.mayHaveRun == nil || j.class.idempotency == Idempotent ||
		j.class.idempotency == IdempotentWithKey && now < j.mayHaveRun.sentAt+j.class.dedupWindow-d.config.quantum
}

// rejectionAllowed reports whether j may be answered with a rejection, which invites its client to try again: no attempt
// may have run, or a further one is harmless wherever it runs.
func (j *job) rejectionAllowed() bool {
	return j.mayHaveRun == nil || j.class.idempotency == Idempotent ||
		j.class.idempotency == IdempotentWithKey && j.class.dedupGroup == DedupAllExecutors
}

// inDedupGroup reports whether e is in the dedup group of j's attempt that may have run, so that a retry there has no
// second effect. It always is where no attempt may have run and where retries are harmless.
func (j *job) inDedupGroup(e *executor) bool {
	if j.mayHaveRun == nil || j.class.idempotency == Idempotent {
		return true
	}
	switch j.class.dedupGroup {
	case DedupAllExecutors:
		return true
	case DedupZone:
		return e.zone == j.mayHaveRun.zone
	case DedupCell:
		return e.cell == j.mayHaveRun.cell
	}
	return false
}

// boundToDedupGroup says whether j may only be repeated in its dedup group.
func (d *Dispatcher) boundToDedupGroup(j *job) bool {
	return j.mayHaveRun != nil && j.class.idempotency == IdempotentWithKey && j.class.dedupGroup != DedupAllExecutors
}

// AttemptEnded says what to do after an allocation's outcome. Final: the batch job is over by it or before it.
func (d *Dispatcher) AttemptEnded(now time.Duration, id JobID, n AttemptID, how Outcome, final bool) Decision {
	d.beginTurn(now)
	s := d.findAttempt(id, n)
	if s == nil {
		return Decision{}
	}
	j := s.job
	j.attempts = slices.DeleteFunc(j.attempts, func(o *attempt) bool { return o == s })
	s.generation++
	d.recordOutcome(s, how, now)
	if final || j.finished {
		d.finish(j, now)
		return Decision{}
	}
	if !how.NeverRan() && j.mayHaveRun == nil {
		j.mayHaveRun = s
	}
	if len(j.attempts) > 0 { // the other one goes on
		return Decision{}
	}
	j.generation++
	d.leases.wanted = true
	return d.Place(now, id)
}
