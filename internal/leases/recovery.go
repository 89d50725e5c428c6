package leases

import (
	"time"

	"birchstair/policy"
)

// Recover takes in a job that the disk holds at the start of the node, with its attempts and, if it has one, its final answer.
// last is the latest time on the disk: if the clock is behind it, it was set back, and no dedup window is counted on it.
func (b *Book) Recover(now, last time.Duration, in Job, sends []Send, final *Final, result []byte, finalAt time.Duration) []Effect {
	j := b.add(in)
	j.sends = sends
	if final != nil {
		j.final, j.result = *final, result
		b.retain(j, max(now, finalAt+b.settings.Keep))
		return b.finish(now)
	}
	if now < last && j.Track.Idempotency == policy.IdempotentWithKey {
		j.Track.DedupWindow = 0
	}
	switch {
	case now >= j.Limit && (!b.settings.Leases || j.firstPossibleRun() == nil):
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
func (b *Book) query(now time.Duration, j *job) {
	if !b.settings.Leases {
		b.finalize(j, Failed, nil)
		return
	}
	first := j.firstPossibleRun()
	j.state, j.queryInFlight = Asking, true
	j.cancelTimers()
	b.schedule(max(j.Limit, now+b.settings.AskEvery), j) // a job recovered after its deadline is asked about once as well
	b.emit(Ask{j.ID, first.Epoch, first.Executor})
}

// Told reports what an executor said of an epoch.
func (b *Book) Told(now time.Duration, id ID, e Epoch, found Found, result []byte) []Effect {
	j := b.jobs[id]
	if j == nil || j.state != Asking || !j.queryInFlight {
		return b.finish(now)
	}
	j.queryInFlight = false
	switch found {
	case FoundFinished:
		b.finalize(j, Succeeded, result)
	case FoundNever:
		j.markNeverRan(e)
		b.emit(KeepOver{id, e})
		b.resume(now, j)
	case FoundMute, FoundLost:
		b.finalize(j, Failed, nil)
	case FoundNothing, FoundRunning:
		b.queryLater(now, j)
	}
	return b.finish(now)
}

// resume goes on with a job after one of its attempts has turned out not to have run: it is sent again, or the next attempt
// that may have run is asked about.
func (b *Book) resume(now time.Duration, j *job) {
	switch {
	case now >= j.Limit:
		b.expire(j)
	case j.retryUntil() > now:
		b.enqueue(j)
	default:
		b.query(now, j)
	}
}

// queryLater asks again after an interval, unless the deadline has passed.
func (b *Book) queryLater(now time.Duration, j *job) {
	if now >= j.Limit {
		b.finalize(j, Failed, nil)
		return
	}
	j.cancelTimers()
	b.schedule(min(j.Limit, now+b.settings.AskEvery), j)
}
