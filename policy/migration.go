package policy

import "time"

const (
	slowProgressFactor = 2.0 // times the usual pace from which on an attempt counts as stuck
	maxMigrationCost   = 0.1 // of a job's value that sending it to another zone once more may cost
)

// shouldCancel says whether to stop waiting for an allocation: the client has left, it has not started and another
// token is open to it, or the executor crawls and another token would answer sooner.
func (d *Dispatcher) shouldCancel(j *attempt, now time.Duration) bool {
	if j.canceling || !d.config.canCancel {
		return false
	}
	e := j.executor
	quiet := scaled(j.work, d.endpoints.kinds[e.kind].pace)
	if !j.running { // how long it is left there anyway, where moves have a budget
		quiet = max(quiet, scaled(j.objectiveAt-j.sentAt-j.work, d.shedding.threshold.MigrationDelay))
	}
	if !e.health.unresponsive && now-max(e.health.lastSeen, j.sentAt) > quiet {
		d.requestProbe(e, now, d.classes.shortestObjective)
	}
	if j.finished {
		return !j.running || j.class.idempotency == Idempotent // it may be stopped at no cost
	}
	usual, left := d.endpoints.kinds[e.kind].pace, time.Duration(0)
	if j.running { // it can't crawl sooner
		left = scaled(j.work, slowProgressFactor*usual) - (now - j.startedAt)
	}
	d.scheduleCheck(now+max(left, d.classes.checkInterval), j)
	pace := (e.estimate.runTime + usual) / (e.estimate.work + 1)
	if j.hinted { // without a hint, its own long run tells nothing of the executor
		pace = d.pace(e, now)
	}
	crawls := (e.health.ejectedUntil > now || j.tokenReleased || pace >= slowProgressFactor*usual) && left < 0 || e.health.unresponsive
	begun, repeatable := j.running || !d.config.startNotices, j.class.idempotency == Idempotent
	if repeatable && (e.health.unresponsive || !begun) && j.class.lateValue == 0 && now > j.objectiveAt-scaled(j.work, pace) {
		return true // it can earn nothing more
	}
	if j.attemptCount >= j.class.maxAttempts || len(j.job.attempts) > 1 || begun && !crawls {
		return false
	}
	if begun && repeatable && d.config.canHedge {
		if !j.hedgeWanted && d.wantsHedge(j.job, now) {
			j.hedgeWanted, d.queue.tokenFreed, d.leases.wanted, d.queue.hedges = true, true, true, append(d.queue.hedges, j.job)
		}
		return false
	}
	to := d.migrationTarget(j, now)
	if to != nil && !j.running && !e.health.unresponsive && e.health.ejectedUntil <= now {
		// Where nodes talk, more moves than their budget wait for some of their slack: most start by themselves.
		d.countMigration(j)
		slack := j.objectiveAt - j.sentAt - scaled(j.work, pace)
		blind := oneIf(!d.config.loadAdjustedWeights && d.endpoints.kinds[to.kind].reportedSlots == 0) // nothing tells that another has less to do
		from := j.sentAt + max(scaled(slack, d.shedding.threshold.MigrationDelay), scaled(d.longestMeanWork(), pace*blind))
		if now < from {
			d.scheduleCheck(from, j)
			return false
		}
	}
	if to == nil || !j.running {
		// A move pays the price of crossing again, so it must be small change.
		return to != nil && (d.remoteSide(to) == 0 || d.config.crossZoneCost < maxMigrationCost*d.marginalValue(j.job))
	}
	left = now - j.startedAt
	if j.progress > minProgress {
		left = scaled(j.progressAt-j.startedAt, (1-j.progress)/j.progress)
	}
	return left > 2*scaled(j.work, d.pace(to, now))
}

// migrationTarget is the executor that j would go to if it were stopped now, as one that may have run.
func (d *Dispatcher) migrationTarget(j *attempt, now time.Duration) *executor {
	if j.mayHaveRun == nil {
		j.mayHaveRun = j
		defer func() { j.mayHaveRun = nil }()
	}
	return d.pickExecutor(j.job, now, false)
}
