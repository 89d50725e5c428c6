package policy

import "time"

// minSlackSeconds is the least slack that work is divided by, so that a job without slack has a finite quotient.
const minSlackSeconds = 1e-3

// job is a batch job that has arrived at this node and is not yet removed: it is queued or has attempts in flight.
type job struct {
	id                JobID
	class             *jobClass
	tenant            *tenant // tenant that the job belongs to; nil: none
	tenantID          TenantID
	work              time.Duration // estimated running time on a standard core
	hasClientEstimate bool          // work is the client's estimate, not the mean of the class

	arrivedAt   time.Duration
	objectiveAt time.Duration // time by which the job must end to meet its latency objective
	deadlineAt  time.Duration // time by which the client must have its answer
	finished    bool          // the client has its answer or has left

	firstTry         bool    // no earlier try of the client is known, and the budget indicates none
	shortBudget      bool    // the client's timeout, not an earlier try, makes the budget less than half of the deadline
	startMargin      float64 // factor for the running time that must be left at the latest start
	predictionMargin float64 // factor for the running time in the prediction whether an executor meets the objective
	lowSlack         bool    // the job arrived with less than half of its slack left
	shed             bool    // the job was below the admission threshold when it arrived or was to be retried

	isQueued            bool
	queuedPastObjective bool          // the job is in the queue's list of late jobs
	queuedAt            time.Duration // time at which the job entered the queue
	queueKey            time.Duration // position in the queue: jobs are ordered by it
	crossZoneDraw       float64       // random number from 0 to 1 that decides whether the job prefers other zones

	attempts           []*attempt // attempts in flight; a second one is a hedge
	attemptCount       int        // attempts sent so far
	mayHaveRun         *attempt   // first attempt that has ended and may have run
	hedgeWanted        bool       // the job is queued for a second attempt
	leaseRequestedFrom *executor  // executor for which a lease was requested from its lease holder, for this job
	generation         int32      // incremented to disable the job's timers
}

// attempt is one sending of a job to an executor, until its outcome is known.
type attempt struct {
	*job
	number           AttemptID
	executor         *executor
	zone             ZoneID // the executor's zone when the attempt was sent
	cell             CellID // the executor's cell when the attempt was sent
	sentAt           time.Duration
	startedAt        time.Duration
	running          bool          // a start notice has come
	waitedAtExecutor bool          // the attempt waited at the executor before it started
	progress         float64       // fraction of the attempt that is done, from the last progress notice
	progressAt       time.Duration // time of the last progress notice, or of the start
	canceling        bool          // a cancellation of the attempt was sent to the executor
	migrationCounted bool          // the load summary counts the attempt as a migration
	tokenReleased    bool          // the token was released because no progress notice came for too long
	generation       int32         // incremented to disable the attempt's timers
}

// start records that the executor has started the attempt.
func (a *attempt) start(now time.Duration) {
	a.running = true
	a.startedAt = now
	a.progressAt = now
}

// removeJob removes a job that has its answer and no attempt in flight.
func (d *Dispatcher) removeJob(j *job) {
	d.queue.remove(j)
	j.finished = true
	j.generation++
	delete(d.jobs, j.id)
}

// findAttempt returns the attempt of that number, or nil if it is not in flight.
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

// finish ends a job that has its answer or whose client has left. Attempts that are still in flight are reviewed at once,
// since they can be canceled now.
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

// elapsed returns the time since an attempt was sent, minus the time that this node stalled before this turn: the event that
// is handled now may have waited for that long.
func (d *Dispatcher) elapsed(a *attempt) time.Duration {
	return max(0, d.clock.now-a.sentAt-d.clock.stalledFor)
}

// latencyObjective returns the time within which j should be completed, counted from its client's first try.
func (j *job) latencyObjective() time.Duration {
	return min(j.class.latencyObjective+scaled(j.work, j.class.runTimeFactor), j.class.deadline)
}

// slack returns j's latency objective minus its work.
func (j *job) slack() time.Duration { return j.latencyObjective() - j.work }

// workOverSlack returns j's work divided by its slack.
func (j *job) workOverSlack() float64 {
	return j.work.Seconds() / max(j.slack().Seconds(), minSlackSeconds)
}
