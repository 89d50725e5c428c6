package policy

import (
	"slices"
	"time"
)

// recordOutcome updates the state of an attempt's executor after the attempt has ended, and releases the attempt's
// token. If the executor is full or may still be running the job, the token is released later.
func (d *Dispatcher) recordOutcome(a *attempt, outcome Outcome, now time.Duration) {
	if a.tokenReleased {
		// The attempt's token was already released, because no progress notice came.
		return
	}
	e := a.executor
	e.removeAttempt(a)
	d.markDirty(e)
	runTime := scaled(a.work, d.pace(e, now))
	switch outcome {
	case Succeeded:
		d.recordSuccess(a, now)
	case ExecutorFull, RejectedUnproven:
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

// recordFailure records a failed attempt, and ejects the executor if the failure is attributed to the executor. After a
// failed connection, the executor counts as unresponsive until it responds, if executors answer health checks.
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

// isExecutorFault reports whether a failed attempt is attributed to the executor. An error from the executor always is.
// The cause of any other failure may be the network or the job. Such a failure is attributed to the executor only if
// the executor is suspect: an earlier attempt has failed, and no attempt has started, progressed or completed since.
// Rejections as full are not attributed to the executor while all of them concern the same tenant. The executor may
// have a limit for that tenant.
func isExecutorFault(a *attempt, outcome Outcome) bool {
	e := a.executor
	if outcome == ExecutorError {
		return true
	}
	fullForOne := outcome.isRejection() && a.tenant != nil && !e.queuing.fullForSeveral
	return e.health.suspect && !fullForOne
}

// delayTokenRelease schedules the release of the token of an attempt that the executor rejected as full. The delay is
// the predicted running time, multiplied by fullTokenDelay and by the number of rejections in a row. Without the delay,
// the token would be taken for one rejected attempt after another during an overload.
func (d *Dispatcher) delayTokenRelease(e *executor, runTime, now time.Duration) {
	d.returnLease(e, now, true)
	inRow := e.health.recordRejection()
	d.timers.releaseToken(now+scaled(runTime, fullTokenDelay*float64(inRow)), e)
}

// recordAbandoned records an attempt that timed out or was canceled. The executor may still be running the job, so the
// attempt's token is released only when the predicted running time is over.
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

// inferRunTime estimates the running time of a completed attempt without a start notice. The estimate is the running
// time that the executor's pace predicts, but at most the time since the attempt was sent. If the client did not
// estimate the work, half of the time beyond the prediction and the usual start wait is added. Without this addition,
// an initial estimate of the work that is too low would never rise.
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
