package policy

import "time"

const (
	slowProgressFactor = 2.0 // times the usual pace from which on an attempt counts as stuck
	maxMigrationCost   = 0.1 // of a job's value that sending it to another zone once more may cost
	migrationGain      = 2   // times the running time elsewhere that a started attempt must still need to be migrated
)

// reviewAttempt reports whether to stop waiting for an attempt: its job is over, it can earn nothing more, or it is
// migrated. It also has quiet executors checked, requests hedges, and schedules the attempt's next check.
func (d *Dispatcher) reviewAttempt(a *attempt, now time.Duration) bool {
	if a.canceling || !d.config.canCancel {
		return false
	}
	d.probeIfQuiet(a, now)
	idempotent := a.class.idempotency == Idempotent
	if a.finished {
		return !a.running || idempotent // then canceling it has no cost
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

// probeIfQuiet sends a health check to the executor of an attempt that gave no sign of life for longer than the attempt
// should take. An attempt that has not started may be quiet for as long as it is left there (MigrationDelay).
func (d *Dispatcher) probeIfQuiet(a *attempt, now time.Duration) {
	e := a.executor
	quietLimit := scaled(a.work, d.endpoints.kinds[e.kind].pace)
	if !a.running {
		slack := a.objectiveAt - a.sentAt - a.work
		quietLimit = max(quietLimit, scaled(slack, d.shedding.threshold.MigrationDelay))
	}
	if !e.health.unresponsive && now-max(e.health.lastSeen, a.sentAt) > quietLimit {
		d.requestHealthCheck(e, now, d.classes.shortestObjective)
	}
}

// remainingAtSlowPace returns how long a started attempt may still run before it counts as slow, by slowProgressFactor
// times its kind's pace. It is negative for one that has run longer, and 0 for one that has not started.
func (d *Dispatcher) remainingAtSlowPace(a *attempt, now time.Duration) time.Duration {
	if !a.running {
		return 0
	}
	usualPace := d.endpoints.kinds[a.executor.kind].pace
	return scaled(a.work, slowProgressFactor*usualPace) - (now - a.startedAt)
}

// paceForCheck returns the pace that an attempt's prospects are judged by. Without the client's estimate of the work, the
// attempt's own long run tells nothing of the executor, so what runs there now does not count.
func (d *Dispatcher) paceForCheck(a *attempt, now time.Duration) float64 {
	if a.hinted {
		return d.pace(a.executor, now)
	}
	return a.executor.estimate.meanPace(d.endpoints.kinds[a.executor.kind].pace)
}

// isStuck reports whether an attempt makes no or slow progress: its executor is unresponsive, or the attempt has run
// longer than it may and its executor is slow, ejected, or has not sent its progress notices.
func (d *Dispatcher) isStuck(a *attempt, pace float64, remaining, now time.Duration) bool {
	e := a.executor
	if e.health.unresponsive {
		return true
	}
	slow := pace >= slowProgressFactor*d.endpoints.kinds[e.kind].pace
	return remaining < 0 && (e.health.isEjected(now) || a.tokenReleased || slow)
}

// missesObjective reports whether an attempt that begins now would end past its objective, in a class that pays nothing
// then.
func (d *Dispatcher) missesObjective(a *attempt, pace float64, now time.Duration) bool {
	return a.class.lateValue == 0 && now > a.objectiveAt-scaled(a.work, pace)
}

// shouldMigrate reports whether to cancel an attempt because another executor has a token for it. One that has started
// must need much longer where it is. One that has not waits for migrationStart first, unless its executor is ejected or
// unresponsive. Crossing zones once more must be cheap for the job's value.
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

// migrationStart returns from when on an attempt that has not started may be migrated: after the part of its slack that
// the fleet's MigrationDelay says, as most attempts start by themselves, and, where nothing shows that the target has
// less to do, after a mean running time.
func (d *Dispatcher) migrationStart(a *attempt, target *executor, pace float64) time.Duration {
	slack := a.objectiveAt - a.sentAt - scaled(a.work, pace)
	delay := max(0, scaled(slack, d.shedding.threshold.MigrationDelay))
	loadUnknown := !d.config.loadAdjustedWeights && d.endpoints.kinds[target.kind].reportedSlots == 0
	if loadUnknown {
		delay = max(delay, scaled(d.longestMeanWork(), pace))
	}
	return a.sentAt + delay
}

// migrationTarget returns the executor that the job would go to if the attempt were canceled now, as one that may have
// run, or nil.
func (d *Dispatcher) migrationTarget(a *attempt, now time.Duration) *executor {
	if a.mayHaveRun == nil {
		a.mayHaveRun = a
		defer func() { a.mayHaveRun = nil }()
	}
	return d.pickExecutor(a.job, now, false)
}

// remaining returns how much longer a started attempt runs, by its last progress notice, or else, as long again as it
// has run.
func (a *attempt) remaining(now time.Duration) time.Duration {
	if a.progress > minProgress {
		return scaled(a.progressAt-a.startedAt, (1-a.progress)/a.progress)
	}
	return now - a.startedAt
}
