package policy

import (
	"slices"
	"time"
)

// recordOutcome updates the state of an attempt's executor after the attempt's outcome, and releases its token: at once, or
// later if the executor may still be running the job or is full.
func (d *Dispatcher) recordOutcome(a *attempt, outcome Outcome, now time.Duration) {
	if a.tokenReleased {
		return // the attempt was already removed from its executor because no progress notice came
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
		d.delayTokenRelease(e, runTime, now)
		return
	case ExecutorError, InvalidRequest, ConnectFailed, ConnectionLost:
		d.recordFailure(a, outcome, now)
	case TimedOut, Canceled:
		d.recordAbandoned(a, outcome, runTime, now)
		return
	}
	d.releaseToken(e, now, a.waitedAtExecutor)
}

// recordFailure records a failed attempt, and ejects the executor if the failure is its fault. If the connection failed and
// executors answer health checks, the executor counts as unresponsive until it answers one.
func (d *Dispatcher) recordFailure(a *attempt, outcome Outcome, now time.Duration) {
	e := a.executor
	if d.config.canCheckHealth && (outcome == ConnectFailed || outcome == ConnectionLost) {
		d.markUnresponsive(e, max(1, e.health.timeouts))
		d.requestHealthCheck(e, now, 0)
	}
	if isExecutorFault(a, outcome) {
		d.eject(e, now, "after a failed attempt")
	}
	e.health.recordFailure(outcome)
}

// isExecutorFault reports whether a failure is attributed to the executor. An error always is. Any other failure may be
// caused by the network or the job, and is attributed to the executor only if an earlier attempt has failed and nothing
// has arrived from the executor since. A rejection as full is not attributed to the executor while it has rejected jobs of
// only one tenant, since it may limit that tenant.
func isExecutorFault(a *attempt, outcome Outcome) bool {
	e := a.executor
	if outcome == ExecutorError {
		return true
	}
	fullForOne := outcome == ExecutorFull && a.tenant != nil && !e.queuing.fullForSeveral
	return e.health.suspect && !fullForOne
}

// delayTokenRelease releases the token of an attempt that the executor rejected as full only after fullTokenDelay running
// times, multiplied by the number of consecutive rejections. During an overload, the token would otherwise be taken for
// one attempt after another that is rejected.
func (d *Dispatcher) delayTokenRelease(e *executor, runTime, now time.Duration) {
	d.returnLease(e, now, true)
	inRow := e.health.recordRejection()
	d.timers.releaseToken(now+scaled(runTime, fullTokenDelay*float64(inRow)), e)
}

// recordAbandoned records an attempt that timed out or was canceled. The executor may still be running it, so its token is
// released only when the predicted running time is over.
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

// recordSuccess records a completed attempt, and updates the executor's health, pace and start wait.
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

// inferRunTime returns the estimated running time of an attempt without a start notice: the time that its executor's pace
// predicts, limited to the time since it was sent. Without the client's estimate of the work, half of the time beyond the
// prediction and the usual start wait is added. Otherwise an initial estimate of the work that is too low would never rise.
func (d *Dispatcher) inferRunTime(a *attempt, now time.Duration) time.Duration {
	e := a.executor
	elapsed := d.elapsed(a)
	runTime := min(elapsed, scaled(a.work, d.pace(e, now)))
	if !a.hasClientEstimate {
		runTime += max(0, elapsed-runTime-e.estimate.startWait) / 2
	}
	return runTime
}

// removeAttempt removes an attempt that has ended from the executor's attempts in flight.
func (e *executor) removeAttempt(a *attempt) {
	e.attempts = slices.DeleteFunc(e.attempts, func(other *attempt) bool { return other == a })
}
