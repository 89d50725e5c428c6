package policy

import (
	"fmt"
	"slices"
	"time"
)

// Dispatcher decides for one node which executor gets which job, and when. It is not safe for concurrent use: only the
// goroutine of the node's event loop may call it. The fields of the second group hold the state of one rule each, and
// their types are declared in the files of those rules.
type Dispatcher struct {
	config config
	clock  clock
	rng    randomSource
	timers timerQueue
	outbox []DueTask // lease messages, health checks and log lines that NextTask returns next
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
	d.timers.checkAll(d.slowStart.overloadWindow) // the end of the reduced slow-start budget of a restarted process
	for _, t := range settings.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(settings.Nodes)})
	}
	return d
}

// JobArrived queues a job that a client has sent to this node. NextTask asks for its first Place in the same turn.
func (d *Dispatcher) JobArrived(now time.Duration, arrival Arrival) {
	d.beginTurn(now)
	j := d.newJob(now, arrival)
	spent := d.spentBudget(j, arrival)
	j.objectiveAt = min(now-spent+j.latencyObjective(), j.deadlineAt)
	d.capToShutdown(j)
	j.firstTry = spent == 0 && !arrival.ClientRetry
	d.recordRequested(j, j.firstTry)
	j.shed = d.shedding.reportsLoad && d.belowThreshold(j)
	d.jobs[j.id] = j
	d.queueJob(j, now)
	// The queue need not be scanned: the timer places this job, and the arrival frees no token for another job.
	d.timers.placeJob(now, j)
	d.leases.requestWanted()
}

// Place decides to send a job to an executor, to queue it, to reject it or to fail it. The caller calls it when NextTask has
// returned PlaceJob for the job. It returns NoAction for a job that is finished, and for one that has an attempt in flight
// and gets no hedge.
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
		// No executor has a token, or the one that has is now too slow. The job waits as long as the fastest executor
		// could still complete it in time.
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

// placeHedge sends a second attempt of j if a hedge is wanted and an executor has a token for it.
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

// schedulePlacement sets a timer for the next time at which Place may decide differently for a queued job even if no token
// is released: when the job may use other zones, becomes late, is past its latest start, or reaches its deadline.
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

// AttemptEnded records an attempt's outcome and decides what becomes of the job. If final is set, the job is finished, by this
// outcome or before it, and nothing more is sent for it.
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
		return Decision{} // the other attempt is still in flight
	}
	j.generation++
	d.leases.requestWanted()
	return d.Place(now, id)
}

// ClientLeft records that a job's client no longer waits, so that the job needs no answer.
func (d *Dispatcher) ClientLeft(now time.Duration, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.finish(j, now)
	}
}

// NextTask returns the next task that is due. If none is, it returns Sleep with the time at which the next one will be. The
// caller calls it until it returns Sleep, and then again at that time and after each event that it reports.
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
	if j := d.nextPlaceable(now); j != nil { // a timer may have released a token
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

// runTimers handles the timers that are due, in order, and stops at the first one that results in a task for the caller.
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

// ShutDownBy records that the node shuts down, and that all jobs must have their answers by the given time. Queued jobs that
// can't be completed by then are rejected or fail at once.
func (d *Dispatcher) ShutDownBy(now, by time.Duration) {
	d.clock.shutdownBy = by
	for _, j := range d.jobs {
		d.capToShutdown(j)
	}
	for _, j := range slices.Concat(d.queue.onTime, d.queue.late) {
		d.timers.placeJob(now, j)
	}
}

// capToShutdown moves a job's objective and deadline to the end of the shutdown if they are later, once the node shuts down.
func (d *Dispatcher) capToShutdown(j *job) {
	if d.clock.shutdownBy > 0 {
		j.deadlineAt = min(j.deadlineAt, d.clock.shutdownBy)
		j.objectiveAt = min(j.objectiveAt, d.clock.shutdownBy)
	}
}

// beginTurn records the time of a call, and whether the node stalled before it.
func (d *Dispatcher) beginTurn(now time.Duration) { d.clock.beginTurn(now, d.classes.checkInterval) }

// logf queues a log line, which NextTask returns as a task.
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
