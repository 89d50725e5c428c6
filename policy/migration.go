package policy

import "time"

const (
	// An attempt or executor counts as slow if its pace is at least this multiple of the pace of the executor's kind.
	slowProgressFactor = 2.0
	// A job is migrated to another zone only if the cost of crossing zones is below this fraction of its marginal
	// value.
	maxMigrationCost = 0.1
	// A started attempt is migrated if its expected remaining time is more than this multiple of its running time at
	// the other executor.
	migrationGain = 2
)

// reviewAttempt reports whether to cancel an attempt: its job is finished, the attempt can't yield value any more, or
// the job is to be migrated to another executor. If necessary, it also requests a health check of the executor, or a
// hedge for the job. As long as the job is not finished, it schedules the attempt's next review.
func (d *Dispatcher) reviewAttempt(a *attempt, now time.Duration) bool {
	if a.canceling || !d.config.canCancel {
		return false
	}
	d.checkInactiveExecutor(a, now)
	idempotent := a.class.idempotency == Idempotent
	if a.finished {
		// A started job that is not idempotent is not canceled, because its client may rely on its effect.
		return !a.running || idempotent
	}
	remaining := d.remainingAtSlowPace(a, now)
	d.timers.checkAttempt(now+max(remaining, d.classes.checkInterval), a)
	mayHaveStarted := a.running || !d.config.startNotices
	pace := d.paceForCheck(a, now)
	stuck := d.isStuck(a, pace, remaining, now)
	if idempotent && (a.executor.health.unresponsive || !mayHaveStarted) && d.missesObjective(a, pace, now) {
		return true
	}
	j := a.job
	if j.attemptCount >= j.class.maxAttempts || len(j.attempts) > 1 || mayHaveStarted && !stuck {
		return false
	}
	if mayHaveStarted && idempotent && d.config.canHedge {
		d.requestHedge(j, now)
		return false
	}
	return d.shouldMigrate(a, pace, now)
}

// checkInactiveExecutor requests a health check of an attempt's executor if nothing has arrived from the executor for
// longer than the attempt should take. For an attempt that has not started, this inactivity timeout is at least
// MigrationDelay times the slack that the job had when the attempt was sent.
func (d *Dispatcher) checkInactiveExecutor(a *attempt, now time.Duration) {
	e := a.executor
	inactivityTimeout := scaled(a.work, d.endpoints.kinds[e.kind].pace)
	if !a.running {
		slack := a.objectiveAt - a.sentAt - a.work
		inactivityTimeout = max(inactivityTimeout, scaled(slack, d.shedding.threshold.MigrationDelay))
	}
	if !e.health.unresponsive && now-max(e.health.lastSeen, a.sentAt) > inactivityTimeout {
		d.requestHealthCheck(e, now, d.classes.shortestObjective)
	}
}

// remainingAtSlowPace returns the time until a started attempt counts as slow. An attempt counts as slow when it has
// run for slowProgressFactor times the running time that is usual for its work at executors of that kind. The result is
// negative if the attempt counts as slow already, and 0 if the attempt has not started.
func (d *Dispatcher) remainingAtSlowPace(a *attempt, now time.Duration) time.Duration {
	if !a.running {
		return 0
	}
	usualPace := d.endpoints.kinds[a.executor.kind].pace
	return scaled(a.work, slowProgressFactor*usualPace) - (now - a.startedAt)
}

// paceForCheck returns the pace of an attempt's executor for the review of the attempt. Attempts that are still running
// are included in the pace only if the client estimated the work of the reviewed attempt. Otherwise a long running time
// may be due to the job and not to the executor.
func (d *Dispatcher) paceForCheck(a *attempt, now time.Duration) float64 {
	if a.hasClientEstimate {
		return d.pace(a.executor, now)
	}
	return a.executor.estimate.meanPace(d.endpoints.kinds[a.executor.kind].pace)
}

// isStuck reports whether an attempt makes no progress or slow progress. Every attempt at an unresponsive executor is
// stuck. An attempt that counts as slow (remainingAtSlowPace) is stuck if its executor is ejected or slow, or if no
// progress notice of the attempt has come for too long.
func (d *Dispatcher) isStuck(a *attempt, pace float64, remaining, now time.Duration) bool {
	e := a.executor
	if e.health.unresponsive {
		return true
	}
	slow := pace >= slowProgressFactor*d.endpoints.kinds[e.kind].pace
	return remaining < 0 && (e.health.isEjected(now) || a.tokenReleased || slow)
}

// missesObjective reports whether an attempt that started now would yield no value, because it would end after its
// objective. If its class yields value even then (lateValue), the result is false.
func (d *Dispatcher) missesObjective(a *attempt, pace float64, now time.Duration) bool {
	return a.class.lateValue == 0 && now > a.objectiveAt-scaled(a.work, pace)
}

// shouldMigrate reports whether to cancel an attempt because another executor has a token for the job. A started
// attempt is migrated only if its expected remaining time is more than migrationGain times its running time at the
// other executor. An attempt that has not started is migrated after migrationStart, or at once if its executor is
// ejected or unresponsive. Its migration to another zone also requires that the cost of crossing zones is small
// compared with the job's value (maxMigrationCost).
func (d *Dispatcher) shouldMigrate(a *attempt, pace float64, now time.Duration) bool {
	target := d.migrationTarget(a, now)
	if target == nil {
		return false
	}
	if a.running {
		return a.remaining(now) > migrationGain*scaled(a.work, d.pace(target, now))
	}
	if e := a.executor; !e.health.unresponsive && !e.health.isEjected(now) {
		d.shedding.recordMigration(a)
		if start := d.migrationStart(a, target, pace); now < start {
			d.timers.checkAttempt(start, a)
			return false
		}
	}
	return d.remoteSide(target) == 0 || d.config.crossZoneCost < maxMigrationCost*d.marginalValue(a.job)
}

// migrationStart returns the earliest time at which an attempt that has not started is migrated. Most attempts start
// without a migration, so the attempt first waits for a fraction of its slack, which the cluster sets as
// MigrationDelay. If nothing is known about the load of the target, the attempt waits for at least the longest mean
// running time of a job class.
func (d *Dispatcher) migrationStart(a *attempt, target *executor, pace float64) time.Duration {
	slack := a.objectiveAt - a.sentAt - scaled(a.work, pace)
	delay := max(0, scaled(slack, d.shedding.threshold.MigrationDelay))
	loadUnknown := !d.config.loadAdjustedWeights && d.endpoints.kinds[target.kind].reportedSlots == 0
	if loadUnknown {
		delay = max(delay, scaled(d.longestMeanWork(), pace))
	}
	return a.sentAt + delay
}

// migrationTarget returns the executor that the job would be sent to if the attempt were canceled now, or nil if there
// is none. A canceled attempt may have run, so the target must be an executor at which a retry has no duplicate effect.
func (d *Dispatcher) migrationTarget(a *attempt, now time.Duration) *executor {
	if a.mayHaveRun == nil {
		a.mayHaveRun = a
		defer func() { a.mayHaveRun = nil }()
	}
	return d.pickExecutor(a.job, now, false)
}

// remaining returns how much longer a started attempt is expected to run. If its last progress notice shows more than
// minProgress, the result is the remaining time that this notice predicted. Otherwise the attempt is expected to run on
// for as long as it has run until now.
func (a *attempt) remaining(now time.Duration) time.Duration {
	if a.progress > minProgress {
		return scaled(a.progressAt-a.startedAt, (1-a.progress)/a.progress)
	}
	return now - a.startedAt
}
