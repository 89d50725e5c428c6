package policy

import (
	"slices"
	"time"
)

// recordOutcome records what an attempt's outcome says of its executor, and releases the token: at once, or later if the
// executor may still be at work or is full.
func (d *Dispatcher) recordOutcome(a *attempt, outcome Outcome, now time.Duration) {
	if a.tokenReleased {
		return // the attempt was given up as silent, and nothing of it says more of the executor
	}
	e := a.executor
	e.removeAttempt(a)
	d.markDirty(e)
	runTime := scaled(a.work, d.pace(e, now))
	switch outcome {
	case Succeeded:
		d.recordSuccess(a, now)
	case ExecutorFull:
		e.queuing.recordFull(a.tenantID, runTime)
		d.recordFailure(a, outcome, now)
		d.restToken(e, runTime, now)
		return
	case ExecutorError, InvalidRequest, ConnectFailed, ConnectionLost:
		d.recordFailure(a, outcome, now)
	case TimedOut, Canceled:
		d.recordAbandoned(a, outcome, runTime, now)
		return
	}
	d.releaseToken(e, now, a.waitedAtExecutor)
}

// recordFailure ejects the executor of an attempt without a result, if the failure is the executor's. Where connections
// fail and executors answer health checks, the executor is unresponsive until it answers one.
func (d *Dispatcher) recordFailure(a *attempt, outcome Outcome, now time.Duration) {
	e := a.executor
	if d.config.canProbe && (outcome == ConnectFailed || outcome == ConnectionLost) {
		d.markUnresponsive(e, max(1, e.health.timeouts))
		d.requestHealthCheck(e, now, 0)
	}
	if blamesExecutor(a, outcome) {
		d.eject(e, now, "after a failed attempt")
	}
	e.health.recordFailure(outcome)
}

// blamesExecutor reports whether a failure shows a fault of the executor. An error does. Any other failure may come from
// the network or the job; a second one with no sign of life between does, unless the executor is full for one tenant.
func blamesExecutor(a *attempt, outcome Outcome) bool {
	e := a.executor
	if outcome == ExecutorError {
		return true
	}
	fullForOne := outcome == ExecutorFull && a.tenant != nil && !e.queuing.fullForSeveral
	return e.health.suspect && !fullForOne
}

// restToken keeps the token of an attempt that was rejected as full for fullTokenDelay running times, longer with each
// rejection in a row. In an overload it would otherwise be taken and rejected again and again.
func (d *Dispatcher) restToken(e *executor, runTime, now time.Duration) {
	d.returnLease(e, now, true)
	inRow := e.health.recordRejection()
	d.timers.releaseToken(now+scaled(runTime, fullTokenDelay*float64(inRow)), e)
}

// recordAbandoned records an attempt that this node stopped waiting for. The executor may still be at work on it, so its token
// stays taken until the work would be done.
func (d *Dispatcher) recordAbandoned(a *attempt, outcome Outcome, runTime, now time.Duration) {
	e := a.executor
	if a.shortBudget && outcome == TimedOut {
		a.tenant.raiseBudgetMargin()
	}
	startedAt := a.startedAt
	if !a.running {
		startedAt = now
		d.returnLease(e, now, true)
		if d.config.startNotices {
			d.recordZoneWait(e, d.elapsed(a))
		}
	}
	d.timers.releaseToken(max(now, startedAt+runTime), e)
}

// recordSuccess records a completed attempt: the executor lives, and its pace and start wait are updated.
func (d *Dispatcher) recordSuccess(a *attempt, now time.Duration) {
	e := a.executor
	d.recordAlive(e, now)
	if a.shortBudget {
		a.tenant.lowerBudgetMargin()
	}
	e.health.recordSuccess(e.tokens.quota)
	d.recordCompletion(a, now)
	runTime := now - a.startedAt
	if !a.running {
		runTime = d.inferRunTime(a, now)
		d.recordStartWait(e, a, d.elapsed(a)-runTime)
		a.waitedAtExecutor = d.elapsed(a) > scaled(runTime, waitedFactor)
	}
	d.recordRunTime(a.job, e, runTime)
}

// inferRunTime returns how long an attempt ran that sent no start notice: what its executor's pace predicts, at most the
// time since it was sent. Without the client's estimate of the work, half of what neither the prediction nor the usual
// start wait explains counts as running time too, or a first guess that is too low would never rise.
func (d *Dispatcher) inferRunTime(a *attempt, now time.Duration) time.Duration {
	e := a.executor
	elapsed := d.elapsed(a)
	runTime := min(elapsed, scaled(a.work, d.pace(e, now)))
	if !a.hinted {
		runTime += max(0, elapsed-runTime-e.estimate.startWait) / 2
	}
	return runTime
}

// removeAttempt removes an attempt that is over from those that are out.
func (e *executor) removeAttempt(a *attempt) {
	e.attempts = slices.DeleteFunc(e.attempts, func(other *attempt) bool { return other == a })
}
