package policy

import "time"

// retryAllowed is rule 2: it reports whether another attempt of j can have no second effect. That holds while no attempt
// may have run, for idempotent jobs, and, for those with an idempotency key, while executors remember the key. An
// at-most-once job that may have run is never retried.
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

// boundToDedupGroup reports whether j may be retried in the dedup group of its earlier attempt only.
func (d *Dispatcher) boundToDedupGroup(j *job) bool {
	return j.mayHaveRun != nil && j.class.idempotency == IdempotentWithKey && j.class.dedupGroup != DedupAllExecutors
}
