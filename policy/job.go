package policy

import "time"

// minSlack is the least slack that a job is taken to have, in seconds.
const minSlack = 1e-3

// job is a batch job that this node has in hand.
type job struct {
	id       JobID
	class    *jobClass
	tenant   *tenant // nil: none
	tenantID TenantID
	work     time.Duration // estimate, as time on a standard core
	hinted   bool          // the client gave the estimate

	arrivedAt   time.Duration
	objectiveAt time.Duration
	deadlineAt  time.Duration
	finished    bool // the client has its answer or has left

	firstTry         bool    // nothing of its budget was spent by earlier tries, as far as this node knows
	shortBudget      bool    // its client waits for less than the deadline leaves
	startMargin      float64 // factor of the running time that its latest start must leave
	predictionMargin float64 // factor of the running time that a prediction must leave
	lowSlack         bool    // it came with less than half of its slack
	shed             bool    // it was below the admission threshold when it came

	isQueued            bool
	queuedPastObjective bool // in the queue of those past their objective
	queuedAt            time.Duration
	queueKey            time.Duration // its place in the queue
	crossChance         float64       // its own random number, so that not all jobs cross zones at once

	attempts           []*attempt // that are out; a second one is a hedge
	attemptCount       int
	mayHaveRun         *attempt // the first attempt that is over and may have run
	hedgeWanted        bool
	leaseRequestedFrom *executor // whose holder was asked for a lease for it
	generation         int32     // timers of another generation are void
}

// attempt is one sending of a batch job to an executor, until its outcome.
type attempt struct {
	*job
	number           AttemptID
	executor         *executor
	zone             ZoneID
	cell             CellID
	sentAt           time.Duration
	startedAt        time.Duration
	running          bool
	waitedAtExecutor bool    // it had to wait at the executor
	progress         float64 // fraction done, by the last notice
	progressAt       time.Duration
	canceling        bool
	migrationCounted bool
	tokenReleased    bool  // it was silent for so long that its token was released
	generation       int32 // timers of another generation are void
}

// start records that the attempt runs from now on.
func (a *attempt) start(now time.Duration) {
	a.running = true
	a.startedAt = now
	a.progressAt = now
}

// removeJob ends a job that has its answer and no attempt out.
func (d *Dispatcher) removeJob(j *job) {
	d.queue.remove(j)
	j.finished = true
	j.generation++
	delete(d.jobs, j.id)
}

// findAttempt returns a job's attempt of that number, if it is out now, or nil.
func (d *Dispatcher) findAttempt(id JobID, number AttemptID) *attempt {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	for _, a := range j.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// finish ends a job that has its answer or whose client has left. Attempts that are still out are checked at once, since
// they may be canceled now.
func (d *Dispatcher) finish(j *job, now time.Duration) {
	if len(j.attempts) == 0 {
		d.removeJob(j)
		return
	}
	d.queue.remove(j)
	j.finished = true
	j.generation++
	for _, a := range j.attempts {
		d.timers.checkAttempt(now, a)
	}
}

// elapsed returns the time since an attempt was sent, without the time that this node stalled before its turn: what it is
// reported now may be that old.
func (d *Dispatcher) elapsed(a *attempt) time.Duration {
	return max(0, d.clock.now-a.sentAt-d.clock.stalledFor)
}

// latencyObjective returns the time from j's first try within which it should be completed.
func (j *job) latencyObjective() time.Duration {
	return min(j.class.latencyObjective+scaled(j.work, j.class.runTimeFactor), j.class.deadline)
}

// slack returns what the latency objective leaves beyond j's work.
func (j *job) slack() time.Duration { return j.latencyObjective() - j.work }

// workOverSlack returns j's work in seconds over its slack in seconds.
func (j *job) workOverSlack() float64 { return j.work.Seconds() / max(j.slack().Seconds(), minSlack) }
