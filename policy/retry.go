package policy

import "time"

// retryAllowed reports whether another attempt of j certainly has no duplicate effect (rule 2). A job can always be
// retried if certainly no earlier attempt has run. After an attempt that has possibly run, an idempotent job can be
// retried, and a job with an idempotency key while the executors remember the key. An at-most-once job can't.
func (d *Dispatcher) retryAllowed(j *job, now time.Duration) bool {
	if j.mayHaveRun == nil {
		return true
	}
	switch j.class.idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now < j.mayHaveRun.sentAt+j.class.dedupWindow-d.config.quantum
	}
	return false
}

// rejectionAllowed reports whether it is safe to reject j. The client retries a rejected job, so a rejection is safe
// only if certainly no attempt of j has run, or if running j again at any executor has no duplicate effect.
func (j *job) rejectionAllowed() bool {
	return j.mayHaveRun == nil || j.class.idempotency == Idempotent ||
		j.class.idempotency == IdempotentWithKey && j.class.dedupGroup == DedupAllExecutors
}

// inDedupGroup reports whether j can be retried at e as far as the dedup group is concerned. After an attempt that has
// possibly run, the executors of its dedup group recognize a retry as a duplicate, so a retry at any of them has no
// duplicate effect. If certainly no attempt has run or if j is idempotent, the result is true for every executor.
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

// boundToDedupGroup reports whether j can be retried only in one zone or cell: the dedup group of an earlier attempt
// that has possibly run.
func (d *Dispatcher) boundToDedupGroup(j *job) bool {
	return j.mayHaveRun != nil && j.class.idempotency == IdempotentWithKey && j.class.dedupGroup != DedupAllExecutors
}
