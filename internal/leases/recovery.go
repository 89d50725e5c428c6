package leases

import (
	"time"

	"birchstair/policy"
)

// Recover takes in a job that the disk holds at the start of the node, with its attempts and, if it has one, its final answer.
// last is the latest time on the disk: if the clock is behind it, it was set back, and no dedup window is counted on it.
func (b *JobTable) Recover(now, last time.Duration, in Job, sends []Attempt, final *Outcome, result []byte, finalAt time.Duration) []Effect {
	j := b.add(in)
	j.attempts = sends
	if final != nil {
		j.final, j.result = *final, result
		b.retain(j, max(now, finalAt+b.settings.AnswerTTL))
		return b.finish(now)
	}
	if now < last && j.Class.Idempotency == policy.IdempotentWithKey {
		j.Class.DedupWindow = 0
	}
	switch {
	case now >= j.Deadline && (!b.settings.QueryExecutors || j.firstPossibleRun() == nil):
		b.expire(j)
	case j.retryUntil() > now:
		b.enqueue(j)
	default:
		b.query(now, j)
	}
	return b.finish(now)
}

// query asks the executor of the first attempt that may have run what became of it. If executors don't take part in leases, that
// can't be found out, and the job has failed.
func (b *JobTable) query(now time.Duration, j *job) {
	if !b.settings.QueryExecutors {
		b.finalize(j, Failed, nil)
		return
	}
	first := j.firstPossibleRun()
	j.state, j.queryInFlight = Querying, true
	j.cancelTimers()
	b.schedule(max(j.Deadline, now+b.settings.QueryInterval), j) // a job recovered after its deadline is asked about once as well
	b.emit(QueryAttempt{j.ID, first.Epoch, first.Executor})
}

// AttemptQueried reports what an executor said of an epoch.
func (b *JobTable) AttemptQueried(now time.Duration, id ID, e Epoch, found QueryResult, result []byte) []Effect {
	j := b.jobs[id]
	if j == nil || j.state != Querying || !j.queryInFlight {
		return b.finish(now)
	}
	j.queryInFlight = false
	switch found {
	case QueryFinished:
		b.finalize(j, Succeeded, result)
	case QueryNeverRan:
		j.markNeverRan(e)
		b.emit(StoreNeverRan{id, e})
		b.resume(now, j)
	case QueryUnsupported, QueryLost:
		b.finalize(j, Failed, nil)
	case QueryUnanswered, QueryRunning:
		b.queryLater(now, j)
	}
	return b.finish(now)
}

// resume goes on with a job after one of its attempts has turned out not to have run: it is sent again, or the next attempt
// that may have run is asked about.
func (b *JobTable) resume(now time.Duration, j *job) {
	switch {
	case now >= j.Deadline:
		b.expire(j)
	case j.retryUntil() > now:
		b.enqueue(j)
	default:
		b.query(now, j)
	}
}

// queryLater asks again after an interval, unless the deadline has passed.
func (b *JobTable) queryLater(now time.Duration, j *job) {
	if now >= j.Deadline {
		b.finalize(j, Failed, nil)
		return
	}
	j.cancelTimers()
	b.schedule(min(j.Deadline, now+b.settings.QueryInterval), j)
}
