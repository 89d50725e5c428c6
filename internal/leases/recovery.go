package leases

import (
	"time"

	"birchstair/policy"
)

// Recover adds a job that was found on disk when the node started, with its attempts and, if there is one, its final
// answer. lastRecorded is the latest time in any record on disk. If now is before lastRecorded, the clock was set back,
// and it is unknown how long ago an attempt was sent. The executors may then have forgotten the job's idempotency key.
// Therefore a job that has such a key gets a dedup window of 0.
func (t *JobTable) Recover(now, lastRecorded time.Duration, recovered Job, attempts []Attempt, final *Outcome, finalAt time.Duration) []Effect {
	j := t.add(recovered)
	j.attempts = attempts
	if final != nil {
		j.final = *final
		t.retain(j, max(now, finalAt+t.settings.AnswerTTL))
		return t.finish(now)
	}
	if now < lastRecorded && j.Class.Idempotency == policy.IdempotentWithKey {
		j.Class.DedupWindow = 0
	}
	switch {
	case now >= j.Deadline && (!t.settings.QueryExecutors || j.firstPossibleRun() == nil):
		t.expire(j)
	case j.retryUntil() > now:
		t.enqueue(j)
	default:
		t.query(now, j)
	}
	return t.finish(now)
}

// query asks the executor for the state of the job's earliest attempt that may have run. It can't be found out whether
// that attempt ran if executors don't support leases, or if the attempt has no lease of its own: an earlier version named
// it by the job's ID, under which the executor can know another job's attempt. The job fails then. While the table is
// held, the query waits for Release.
func (t *JobTable) query(now time.Duration, j *job) {
	first := j.firstPossibleRun()
	if !t.settings.QueryExecutors || first.Lease == "" {
		t.finalize(j, Failed, nil)
		return
	}
	j.state, j.queryInFlight = Querying, !t.held
	j.cancelTimers()
	if t.held {
		if now < j.Deadline {
			t.schedule(j.Deadline, j)
		}
		return
	}
	// Even past its deadline, the job waits at least one QueryInterval for the answer to this query.
	t.schedule(max(j.Deadline, now+t.settings.QueryInterval), j)
	t.emit(QueryAttempt{j.ID, first.Lease, first.Epoch, first.Executor})
}

// AttemptQueried reports the result of a QueryAttempt effect.
func (t *JobTable) AttemptQueried(now time.Duration, id ID, epoch Epoch, answer QueryResult, result []byte) []Effect {
	j := t.jobs[id]
	if j == nil || j.state != Querying || !j.queryInFlight {
		return t.finish(now)
	}
	j.queryInFlight = false
	switch answer {
	case QueryFinished:
		t.finalize(j, Succeeded, result)
	case QueryNeverRan:
		j.markNeverRan(epoch)
		t.emit(StoreNeverRan{id, epoch})
		t.resume(now, j)
	case QueryUnsupported, QueryLost:
		t.finalize(j, Failed, nil)
	case QueryUnanswered, QueryRunning:
		t.queryLater(now, j)
	}
	return t.finish(now)
}

// resume continues a job after the attempt that was queried is known never to have run. Past its deadline the job
// expires. Before the deadline, the job is submitted again if it is still safe to send it (see retryUntil). If that is
// no longer safe, the next attempt that may have run is queried.
func (t *JobTable) resume(now time.Duration, j *job) {
	switch {
	case now >= j.Deadline:
		t.expire(j)
	case j.retryUntil() > now:
		t.enqueue(j)
	default:
		t.query(now, j)
	}
}

// queryLater queries again after Settings.QueryInterval. Past the deadline the job fails instead.
func (t *JobTable) queryLater(now time.Duration, j *job) {
	if now >= j.Deadline {
		t.finalize(j, Failed, nil)
		return
	}
	j.cancelTimers()
	t.schedule(min(j.Deadline, now+t.settings.QueryInterval), j)
}
