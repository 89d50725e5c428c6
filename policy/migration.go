package policy

import "time"

const (
	slowProgressFactor = 2.0 // an attempt or executor is slow if its pace is at least this multiple of the executor kind's pace
	maxMigrationCost   = 0.1 // largest cost of a migration to another zone, as a fraction of the job's value
	migrationGain      = 2   // a started attempt is migrated if it needs more than this multiple of the running time elsewhere
)

// reviewAttempt reports whether to cancel an attempt: its job is finished, it can't yield value any more, or the job is
// migrated to another executor. It also requests health checks of inactive executors and hedges, and schedules the
// attempt's next review.
func (d *Dispatcher) reviewAttempt(a *attempt, now time.Duration) bool {
	if a.canceling || !d.config.canCancel {
		return false
	}
	d.checkInactiveExecutor(a, now)
	idempotent := a.class.idempotency == Idempotent
	if a.finished {
		return !a.running || idempotent // the client may rely on a started job that is not idempotent
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

// checkInactiveExecutor requests a health check of the executor of an attempt if nothing has arrived from it for longer
// than the attempt should take. For an attempt that has not started, the inactivity timeout is at least the time for
// which it waits before it is migrated (MigrationDelay).
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

// remainingAtSlowPace returns how long a started attempt may still run before it counts as slow, which is when it has run
// for slowProgressFactor times the usual running time of its executor's kind. The result is negative if it has run
// longer, and 0 if it has not started.
func (d *Dispatcher) remainingAtSlowPace(a *attempt, now time.Duration) time.Duration {
	if !a.running {
		return 0
	}
	usualPace := d.endpoints.kinds[a.executor.kind].pace
	return scaled(a.work, slowProgressFactor*usualPace) - (now - a.startedAt)
}

// paceForCheck returns the executor's pace in the review of an attempt. Without the client's estimate of the work, a long
// running time may be due to the job and not to the executor, so attempts that are still running are not counted.
func (d *Dispatcher) paceForCheck(a *attempt, now time.Duration) float64 {
	if a.hasClientEstimate {
		return d.pace(a.executor, now)
	}
	return a.executor.estimate.meanPace(d.endpoints.kinds[a.executor.kind].pace)
}

// isStuck reports whether an attempt makes no or slow progress: its executor is unresponsive, or the attempt has run longer
// than remainingAtSlowPace allows and the executor is ejected, is slow, or sent no progress notices for too long.
func (d *Dispatcher) isStuck(a *attempt, pace float64, remaining, now time.Duration) bool {
	e := a.executor
	if e.health.unresponsive {
		return true
	}
	slow := pace >= slowProgressFactor*d.endpoints.kinds[e.kind].pace
	return remaining < 0 && (e.health.isEjected(now) || a.tokenReleased || slow)
}

// missesObjective reports whether an attempt that starts now would end after its objective, and its class has no late
// value.
func (d *Dispatcher) missesObjective(a *attempt, pace float64, now time.Duration) bool {
	return a.class.lateValue == 0 && now > a.objectiveAt-scaled(a.work, pace)
}

// shouldMigrate reports whether to cancel an attempt because another executor has a token for the job. An attempt that has
// started is migrated only if it would need much longer where it is. An attempt that has not started is migrated only after
// migrationStart, or at once if its executor is ejected or unresponsive, and to another zone only if the cost of crossing
// zones is small compared with the job's value.
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

// migrationStart returns the earliest time at which an attempt that has not started may be migrated. Most attempts start
// without a migration, so it first waits for the fraction of its slack that the cluster sets as MigrationDelay. If there is
// no information on whether the target is less loaded, it waits for at least the longest mean running time.
func (d *Dispatcher) migrationStart(a *attempt, target *executor, pace float64) time.Duration {
	slack := a.objectiveAt - a.sentAt - scaled(a.work, pace)
	delay := max(0, scaled(slack, d.shedding.threshold.MigrationDelay))
	loadUnknown := !d.config.loadAdjustedWeights && d.endpoints.kinds[target.kind].reportedSlots == 0
	if loadUnknown {
		delay = max(delay, scaled(d.longestMeanWork(), pace))
	}
	return a.sentAt + delay
}

// migrationTarget returns the executor that the job would be sent to if the attempt were canceled now, or nil. A canceled
// attempt may have run, so the executor must be eligible for such a retry.
func (d *Dispatcher) migrationTarget(a *attempt, now time.Duration) *executor {
	if a.mayHaveRun == nil {
		a.mayHaveRun = a
		defer func() { a.mayHaveRun = nil }()
	}
	return d.pickExecutor(a.job, now, false)
}

// remaining returns how much longer a started attempt is expected to run: as its last progress notice predicts, or, without
// one, as long as it has run until now.
func (a *attempt) remaining(now time.Duration) time.Duration {
	if a.progress > minProgress {
		return scaled(a.progressAt-a.startedAt, (1-a.progress)/a.progress)
	}
	return now - a.startedAt
}
