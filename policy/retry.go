package policy

import "time"

// retryAllowed reports whether another attempt of j can't have a duplicate effect (rule 2). That is so if no earlier attempt
// may have run, if j is idempotent, or, for a job with an idempotency key, while executors remember the key. An at-most-once
// job that may have run is never retried.
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

// rejectionAllowed reports whether j may be rejected, which invites its client to retry: no attempt may have run, or
// another one can't have a duplicate effect at any executor.
func (j *job) rejectionAllowed() bool {
	return j.mayHaveRun == nil || j.class.idempotency == Idempotent ||
		j.class.idempotency == IdempotentWithKey && j.class.dedupGroup == DedupAllExecutors
}

// inDedupGroup reports whether e is in the dedup group of j's attempt that may have run, so that a retry at e can't have a
// duplicate effect. It is true for every executor if no attempt may have run or if j is idempotent.
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

// boundToDedupGroup reports whether j may only be retried in the dedup group of its earlier attempt.
func (d *Dispatcher) boundToDedupGroup(j *job) bool {
	return j.mayHaveRun != nil && j.class.idempotency == IdempotentWithKey && j.class.dedupGroup != DedupAllExecutors
}
