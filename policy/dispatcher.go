package policy

import (
	"fmt"
	"slices"
	"time"
)

// Dispatcher decides for one node which executor gets which job, and when. It is not safe for concurrent use: only the
// goroutine of the node's event loop may call it. Each field of the second group holds the state of one scheduling
// rule. The type of such a field is declared in the file of its rule.
type Dispatcher struct {
	config config
	clock  clock
	rng    randomSource
	timers timerQueue
	outbox []DueTask // lease messages, health checks and log lines that NextTask still has to return
	jobs   map[JobID]*job

	classes      classTable
	tenants      []tenant
	values       valueAverages
	endpoints    endpointTable
	poll         endpointPoll
	subset       subset
	index        candidateIndex
	queue        jobQueue
	quota        quotaState
	zoneLoad     zoneLoad
	slowStart    slowStart
	healthChecks pendingHealthChecks
	leases       leaseTable
	shedding     loadShedding
}

// New returns a dispatcher with the given settings, which must be valid.
func New(settings Settings) *Dispatcher {
	d := &Dispatcher{
		config: newConfig(settings),
		rng:    randomSource{seed: settings.Seed},
		jobs:   map[JobID]*job{},
		endpoints: endpointTable{
			byID:   map[ExecutorID]*executor{},
			byHash: map[ExecutorHash]*executor{},
			kinds:  map[KindID]*kindStats{},
		},
		index:  candidateIndex{expiries: executorHeap{keyKind: keyExpiry}},
		leases: leaseTable{ledgers: map[ExecutorHash]*leaseLedger{}},
		slowStart: slowStart{
			initialCapacity: settings.SlowStartCapacity,
			duration:        settings.SlowStartDuration,
			overloadWindow:  settings.OverloadWindow,
		},
	}
	for i, class := range settings.JobClasses {
		d.addClass(JobClassUpdate{ID: JobClassID(i), Replaces: NoJobClass, JobClass: class})
	}
	d.classes.derive(d.config.quantum)
	d.quota.intervalEnd = d.classes.quotaInterval
	d.slowStart.derive(settings.OverloadMultiple, d.classes.shortestObjective, d.config.nodeCount)
	d.spreadPolls(settings.PollWithin)
	// After the first overload window, this process is no longer limited to a fraction of its slow-start budget
	// (restartedBudgetFraction). Jobs that didn't fit into the budget before can fit then.
	d.timers.checkAll(d.slowStart.overloadWindow)
	for _, t := range settings.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(settings.Nodes)})
	}
	return d
}

// JobArrived queues a job that a client has sent to this node. In the same turn, NextTask returns PlaceJob for this
// job.
func (d *Dispatcher) JobArrived(now time.Duration, arrival Arrival) {
	d.beginTurn(now)
	j := d.newJob(now, arrival)
	spent := d.spentBudget(j, arrival)
	j.objectiveAt = min(now-arrival.Waited-spent+j.latencyObjective(), j.deadlineAt)
	d.capToShutdown(j)
	j.firstTry = spent == 0 && !arrival.ClientRetry
	d.recordRequested(j, j.firstTry)
	j.shed = d.shedding.reportsLoad && d.belowThreshold(j)
	d.jobs[j.id] = j
	d.queueJob(j, now)
	// The queue is not scanned: a timer places this job, and its arrival frees no token for another job.
	d.timers.placeJob(now, j)
	d.leases.requestWanted()
}

// Place decides to send a job to an executor, to queue it, to reject it or to fail it. The caller calls Place when
// NextTask has returned PlaceJob for the job. The decision is NoAction for a finished job. It is also NoAction for a
// job with an attempt in flight that gets no hedge.
func (d *Dispatcher) Place(now time.Duration, id JobID) Decision {
	j := d.jobs[id]
	if j == nil || j.finished {
		return Decision{}
	}
	if len(j.attempts) > 0 {
		return d.placeHedge(j, now)
	}
	d.queueJob(j, now)
	j.shed = j.shed || d.shedsRetry(j)
	if j.shed || d.outOfAttempts(j, now) {
		return d.rejectOrFail(j)
	}
	e := d.pickExecutor(j, now, false)
	var latestStart time.Duration
	if e != nil {
		latestStart = d.latestStart(j, d.pace(e, now))
	}
	if e == nil || now > latestStart {
		// No executor has a token for the job, or the chosen executor would complete the job too late. The job stays
		// queued as long as the fastest executor could still complete it in time.
		latestStart = d.latestStart(j, d.bestPaceFor(j, now))
		if now > latestStart {
			return d.rejectOrFail(j)
		}
	}
	if e != nil {
		return d.dispatch(j, e, now)
	}
	d.queue.recordWait(j)
	d.schedulePlacement(j, latestStart, now)
	return Decision{Action: Enqueue}
}

// placeHedge sends a second attempt of j if j wants a hedge and an executor has a token for j.
func (d *Dispatcher) placeHedge(j *job, now time.Duration) Decision {
	if !j.hedgeWanted {
		return Decision{}
	}
	e := d.pickExecutor(j, now, false)
	if e == nil {
		return Decision{}
	}
	return d.dispatch(j, e, now)
}

// schedulePlacement sets a timer that has Place called again for a queued job. The timer is due when Place can first
// decide differently without a new free token. That is the earliest of four times: the job is allowed to use other
// zones, it becomes late, its latest start has passed, or its deadline is reached.
func (d *Dispatcher) schedulePlacement(j *job, latestStart, now time.Duration) {
	next := min(max(latestStart, now)+d.config.quantum, j.deadlineAt-d.config.quantum)
	crossesAt := j.queuedAt + d.crossZoneDelay(j)
	pastObjectiveAt := j.objectiveAt - j.work + d.config.quantum
	for _, at := range [...]time.Duration{crossesAt, pastObjectiveAt} {
		if at > now {
			next = min(next, at)
		}
	}
	j.generation++
	d.timers.placeJob(max(next, now+d.config.quantum), j)
}

// AttemptStarted records that an executor has started an attempt.
func (d *Dispatcher) AttemptStarted(now time.Duration, id JobID, number AttemptID) {
	d.beginTurn(now)
	a := d.findAttempt(id, number)
	if a == nil || a.running {
		return
	}
	e := a.executor
	a.start(now)
	d.recordAlive(e, now)
	d.markDirty(e)
	wait := d.elapsed(a)
	a.waitedAtExecutor = wait > d.classes.checkInterval
	d.recordStartWait(e, a, wait)
	if now >= e.slowStart.until {
		d.endpoints.kinds[e.kind].observeConcurrency(e.runningCount())
	}
	e.queuing.recordStart(a.tenantID)
}

// AttemptProgressed records an executor's progress notice, with the fraction of the attempt that is done.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id JobID, number AttemptID, fraction float64) {
	a := d.findAttempt(id, number)
	if a == nil {
		return
	}
	a.progress = fraction
	a.progressAt = now
	d.recordAlive(a.executor, now)
}

// AttemptEnded records an attempt's outcome and decides what to do with the job next. If final is set, this outcome or
// an earlier event has finished the job, and no further attempt is sent.
func (d *Dispatcher) AttemptEnded(now time.Duration, id JobID, number AttemptID, outcome Outcome, final bool) Decision {
	d.beginTurn(now)
	a := d.findAttempt(id, number)
	if a == nil {
		return Decision{}
	}
	j := a.job
	j.attempts = slices.DeleteFunc(j.attempts, func(other *attempt) bool { return other == a })
	a.generation++
	d.recordOutcome(a, outcome, now)
	if final || j.finished {
		d.finish(j, now)
		return Decision{}
	}
	if !outcome.NeverRan() && j.mayHaveRun == nil {
		j.mayHaveRun = a
	}
	if len(j.attempts) > 0 {
		return Decision{} // the job's other attempt is still in flight
	}
	j.generation++
	d.leases.requestWanted()
	return d.Place(now, id)
}

// ClientLeft records that a job's client no longer waits for the answer. The job then needs no answer.
func (d *Dispatcher) ClientLeft(now time.Duration, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.finish(j, now)
	}
}

// NextTask returns the next task that is due. If no task is due, it returns Sleep with the time at which the next task
// will be due. The caller calls NextTask until it returns Sleep, and calls it again at that time and after each event
// that the caller has reported.
func (d *Dispatcher) NextTask(now time.Duration) DueTask {
	d.beginTurn(now)
	for now >= d.quota.intervalEnd {
		d.quota.intervalEnd += d.classes.quotaInterval
		d.onInterval(now)
	}
	mustPoll := d.config.endpointsPolled && d.poll.wanted()
	if mustPoll && now >= d.poll.nextAt {
		d.poll.outstanding = true
		return DueTask{Task: WatchEndpoints}
	}
	if j := d.nextPlaceable(now); j != nil {
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	if task, found := d.runTimers(now); found {
		return task
	}
	if j := d.nextPlaceable(now); j != nil { // a timer has possibly released a token
		return DueTask{Task: PlaceJob, Job: j.id}
	}
	d.exchangeLeases(now)
	if len(d.outbox) > 0 {
		task := d.outbox[0]
		d.outbox = d.outbox[1:]
		return task
	}
	at := min(d.quota.intervalEnd, d.timers.next())
	if mustPoll {
		at = min(at, d.poll.nextAt)
	}
	d.clock.wakeAt = at
	return DueTask{At: at}
}

// runTimers handles the timers that are due, in the order of their times. It stops at the first timer that results in a
// task for the caller, and returns that task.
func (d *Dispatcher) runTimers(now time.Duration) (DueTask, bool) {
	for {
		due, found := d.timers.popDue(now)
		if !found {
			return DueTask{}, false
		}
		switch due.kind {
		case releaseTokenTimer:
			d.releaseToken(due.executor, now, false)
		case checkAttemptTimer:
			a := due.attempt
			if a.generation == due.generation && d.reviewAttempt(a, now) {
				a.canceling = true
				return DueTask{Task: CancelAttempt, Job: a.id, Attempt: a.number}, true
			}
		case placeJobTimer:
			j := due.job
			if j.generation == due.generation && len(j.attempts) == 0 {
				return DueTask{Task: PlaceJob, Job: j.id}, true
			}
		case checkAllTimer:
			d.checkUnanswered(now)
			d.subset.recheck()
			d.queue.rescan()
			d.leases.requestWanted()
		}
	}
}

// ShutDownBy records that the node shuts down. All jobs must have their answers by the given time. Queued jobs that no
// executor can complete by then are rejected or fail at once.
func (d *Dispatcher) ShutDownBy(now, by time.Duration) {
	d.clock.shutdownBy = by
	for _, j := range d.jobs {
		d.capToShutdown(j)
	}
	for _, j := range slices.Concat(d.queue.onTime, d.queue.late) {
		d.timers.placeJob(now, j)
	}
}

// capToShutdown limits a job's objective and deadline to the end of the shutdown. It does nothing unless the node is
// shutting down.
func (d *Dispatcher) capToShutdown(j *job) {
	if d.clock.shutdownBy > 0 {
		j.deadlineAt = min(j.deadlineAt, d.clock.shutdownBy)
		j.objectiveAt = min(j.objectiveAt, d.clock.shutdownBy)
	}
}

// beginTurn records the time of a call to the dispatcher, and for how long the node stalled before the call.
func (d *Dispatcher) beginTurn(now time.Duration) { d.clock.beginTurn(now, d.classes.checkInterval) }

// logf formats a log line and adds it to the outbox.
func (d *Dispatcher) logf(format string, args ...any) {
	d.outbox = append(d.outbox, DueTask{Task: WriteLog, Text: fmt.Sprintf(format, args...)})
}

// oneIf returns 1 for true and 0 for false.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
