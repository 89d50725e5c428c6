package policy

import (
	"fmt"
	"slices"
	"time"
)

// Dispatcher decides for one node which executor gets which job, and when. It is not safe for concurrent use: one
// goroutine, the reducer's, owns it. Each field below belongs to one rule, in the file that
// declares its type.
type Dispatcher struct {
	config config
	clock  clock
	rng    randomSource
	timers timerQueue
	outbox []DueTask // lease messages, health checks and log lines for NextTask to return
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

// New makes a dispatcher from settings, which have been checked.
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
	d.timers.checkAll(d.slowStart.overloadWindow) // until then the slow-start budget of a restarted process is lower
	for _, t := range settings.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(settings.Nodes)})
	}
	return d
}

// JobArrived takes up a job that a client sent to this node: it is queued, and decided on by the Place that NextTask asks
// for in the same turn. A Work of 0 means that the client gave no estimate.
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
	// No scan of the queue is needed: the timer places this job, and no other became placeable.
	d.timers.placeJob(now, j)
	d.leases.requestWanted()
}

// Place decides where to send a job, or that it waits, is rejected or fails. The caller asks after NextTask returned
// PlaceJob for it; for a job that is over, or has an attempt out and wants no hedge,
// there is nothing to do.
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
		// No executor, or one that is too slow by now: the fastest one decides whether there is time left.
		latestStart = d.latestStart(j, d.bestPaceFor(j, now))
		if now > latestStart {
			return d.rejectOrFail(j)
		}
	}
	if e != nil {
		return d.dispatch(j, e, now)
	}
	d.queue.noteWait(j)
	d.schedulePlacement(j, latestStart, now)
	return Decision{Action: Enqueue}
}

// placeHedge sends a second attempt of j, if one is wanted and an executor has a token for it.
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

// schedulePlacement schedules the next time at which a queued job's answer may change though no token comes free: when
// it may cross zones, when it is past its objective, after its latest start, and at its deadline.
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

// AttemptStarted reports that an executor has started an attempt.
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

// AttemptProgressed reports which fraction of an attempt is done.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id JobID, number AttemptID, fraction float64) {
	a := d.findAttempt(id, number)
	if a == nil {
		return
	}
	a.progress = fraction
	a.progressAt = now
	d.recordAlive(a.executor, now)
}

// AttemptEnded records an attempt's outcome and decides what to do next. Final: the job is over by this outcome, or was
// before it.
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
		return Decision{} // the other attempt goes on
	}
	j.generation++
	d.leases.requestWanted()
	return d.Place(now, id)
}

// ClientLeft reports that a job's client has left: no answer is owed any more.
func (d *Dispatcher) ClientLeft(now time.Duration, id JobID) {
	if j := d.jobs[id]; j != nil {
		d.finish(j, now)
	}
}

// NextTask returns what has fallen due, or until when nothing will. The caller asks until the task is Sleep, and again
// at that time and after each call that reports an event.
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
	if j := d.nextPlaceable(now); j != nil { // a timer may have freed a token
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

// runTimers handles the timers that are due, up to the first that leaves a task for the caller.
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

// ShutDownBy reports that the node shuts down: all jobs must have their answers by then. Those that can't be completed in
// time get theirs at once.
func (d *Dispatcher) ShutDownBy(now, by time.Duration) {
	d.clock.shutdownBy = by
	for _, j := range d.jobs {
		d.capToShutdown(j)
	}
	for _, j := range slices.Concat(d.queue.onTime, d.queue.late) {
		d.timers.placeJob(now, j)
	}
}

// capToShutdown limits a job's objective and deadline to the end of a node that shuts down.
func (d *Dispatcher) capToShutdown(j *job) {
	if d.clock.shutdownBy > 0 {
		j.deadlineAt = min(j.deadlineAt, d.clock.shutdownBy)
		j.objectiveAt = min(j.objectiveAt, d.clock.shutdownBy)
	}
}

// beginTurn records the time of a call.
func (d *Dispatcher) beginTurn(now time.Duration) { d.clock.beginTurn(now, d.classes.checkInterval) }

// logf has NextTask return a line for the log.
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
