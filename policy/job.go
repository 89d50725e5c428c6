package policy

import "time"

// job is a batch job in hand.
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
	generation         int       // timers of another generation are void
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
	tokenReleased    bool // it was silent for so long that its token was released
	generation       int  // timers of another generation are void
}

func (d *Dispatcher) removeJob(j *job) {
	d.queue.remove(j)
	j.finished = true
	j.generation++
	delete(d.jobs, j.id)
}

// findAttempt is a batch job's allocation n, if it is out now.
func (d *Dispatcher) findAttempt(id JobID, n AttemptID) *attempt {
	if j := d.jobs[id]; j != nil {
		for _, s := range j.attempts {
			if s.number == n {
				return s
			}
		}
	}
	return nil
}

// finish books a batch job that is over: what is still out of it gets its look at once.
func (d *Dispatcher) finish(j *job, now time.Duration) {
	if len(j.attempts) == 0 {
		d.removeJob(j)
		return
	}
	d.queue.remove(j)
	j.finished = true
	j.generation++
	for _, s := range j.attempts {
		d.scheduleCheck(now, s)
	}
}

// ClientLeft tells that the client has gone: nothing more is owed.
func (d *Dispatcher) ClientLeft(now time.Duration, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.finish(j, now)
	}
}

// elapsed is the time since an allocation was sent, without what this node stood still just now: its news may be that old.
func (d *Dispatcher) elapsed(s *attempt) time.Duration {
	return max(0, d.clock.now-s.sentAt-d.clock.stalledFor)
}

// latencyObjective is the span of j's quoted time, counted from its first try.
func (j *job) latencyObjective() time.Duration {
	return min(j.class.latencyObjective+scaled(j.work, j.class.runTimeFactor), j.class.deadline)
}

// slack is what j's quoted time leaves beyond its work, counted from its first try.
func (j *job) slack() time.Duration { return j.latencyObjective() - j.work }

// pressure is j's work against its slack.
func (j *job) pressure() float64 { return j.work.Seconds() / max(j.slack().Seconds(), 1e-3) }
