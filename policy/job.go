package policy

import "time"

// minSlackSeconds keeps workOverSlack from dividing by zero or by a negative slack. A slack of fewer seconds counts as
// this number of seconds.
const minSlackSeconds = 1e-3

// job is a batch job that has arrived at this node. It exists as long as it is queued or has attempts in flight.
type job struct {
	id                JobID
	class             *jobClass
	tenant            *tenant // tenant that the job belongs to; nil: the job belongs to no tenant
	tenantID          TenantID
	work              time.Duration // estimated running time on a standard core
	hasClientEstimate bool          // work is the client's estimate; otherwise it is the mean work of the class

	arrivedAt   time.Duration
	objectiveAt time.Duration // time by which the job must end to meet its latency objective
	deadlineAt  time.Duration // time by which the client must have its answer
	finished    bool          // the client has its answer or has left

	firstTry         bool    // the client did not mark a retry, and the job's budget does not indicate an earlier try
	shortBudget      bool    // the client's timeout left a budget below half of the class's deadline (spentBudget)
	startMargin      float64 // safety factor for the running time in latestStart
	predictionMargin float64 // safety factor for the predicted wait and running time in tokenAge
	lowSlack         bool    // the job arrived with less than half of its slack left
	shed             bool    // the job was below the admission threshold, at its arrival or before a retry

	isQueued            bool
	queuedPastObjective bool          // the job is in the queue's list of late jobs
	queuedAt            time.Duration // time at which the job last entered the queue
	queueKey            time.Duration // queued jobs are placed in the order of their queueKey, lowest first
	crossZoneDraw       float64       // random number from 0 to 1 by which prefersOtherZones decides for the job

	attempts           []*attempt // attempts in flight; a second one is a hedge
	attemptCount       int        // number of attempts sent so far
	mayHaveRun         *attempt   // first ended attempt that has possibly run; nil: certainly no ended attempt has run
	hedgeWanted        bool       // the job is queued for a second attempt
	leaseRequestedFrom *executor  // executor for which a lease was last requested for this job
	generation         int32      // incremented to disable the job's earlier timers
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
	running          bool          // the executor has notified this node of the attempt's start
	waitedAtExecutor bool          // the attempt had a long wait at the executor before it started
	progress         float64       // completed fraction of the attempt, from the last progress notice
	progressAt       time.Duration // time of the last progress notice; before the first one, time of the start notice
	canceling        bool          // a cancellation of the attempt was sent to the executor
	migrationCounted bool          // the load summary counts the attempt as a migration
	tokenReleased    bool          // the token was released early, because no progress notice came for too long
	generation       int32         // incremented to disable the attempt's earlier timers
}

// start records that the executor has started the attempt.
func (a *attempt) start(now time.Duration) {
	a.running = true
	a.startedAt = now
	a.progressAt = now
}

// removeJob removes a job that needs no answer any more and has no attempt in flight.
func (d *Dispatcher) removeJob(j *job) {
	d.queue.remove(j)
	j.finished = true
	j.generation++
	delete(d.jobs, j.id)
}

// findAttempt returns the attempt of the given job with the given number. It returns nil if that attempt is not in
// flight.
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

// finish ends a job that has its answer or whose client has left. The job's attempts in flight are reviewed at once,
// because an attempt of a finished job can be canceled.
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

// elapsed returns the time since an attempt was sent, minus the time for which this node stalled before this turn. The
// stall is subtracted because the event that is handled now has possibly waited for that long.
func (d *Dispatcher) elapsed(a *attempt) time.Duration {
	return max(0, d.clock.now-a.sentAt-d.clock.stalledFor)
}

// latencyObjective returns the time within which j should be completed. It counts from the first try of j's client.
func (j *job) latencyObjective() time.Duration {
	return min(j.class.latencyObjective+scaled(j.work, j.class.runTimeFactor), j.class.deadline)
}

// slack returns j's latency objective minus its work.
func (j *job) slack() time.Duration { return j.latencyObjective() - j.work }

// workOverSlack returns j's work divided by its slack, or by minSlackSeconds if the slack is smaller.
func (j *job) workOverSlack() float64 {
	return j.work.Seconds() / max(j.slack().Seconds(), minSlackSeconds)
}
