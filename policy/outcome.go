package policy

import (
	"slices"
	"time"
)

// recordOutcome draws from an outcome what it says of the executor, and frees the token now or later.
func (d *Dispatcher) recordOutcome(j *attempt, how Outcome, now time.Duration) {
	e := j.executor
	if j.tokenReleased { // its token is free already
		return
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(o *attempt) bool { return o == j })
	d.markDirty(e)
	est := scaled(j.work, d.pace(e, now))
	switch how {
	case Succeeded:
		d.recordSuccess(j, e, now)
	case ExecutorFull, ExecutorError, InvalidRequest, ConnectFailed, ConnectionLost:
		if how == ExecutorFull {
			// Full counts as queuing at the executor, unless only one tenant meets it.
			e.queuing.recordFull(j.tenantID, est)
			j.waitedAtExecutor = true
		}
		if d.config.canProbe && (how == ConnectFailed || how == ConnectionLost) {
			d.markUnresponsive(e, max(1, e.health.timeouts)) // until it answers
			d.requestProbe(e, now, 0)
		}
		// One may be the network's or the batch job's; a second, with no sign of life between, is the executor's.
		if how == ExecutorError || e.health.suspect && (how != ExecutorFull || j.tenant == nil || e.queuing.fullForMany) {
			d.eject(e, now, "after an outcome that was no result")
			e.health.consecutiveErrors += int(oneIf(how == ExecutorError))
		}
		e.health.suspect = true
	case TimedOut, Canceled:
		if j.shortBudget && how == TimedOut {
			j.tenant.budgetMargin = min(j.tenant.budgetMargin+budgetMarginRise*budgetMarginStep, maxBudgetMargin)
		}
		// The executor may still be on it: the token stays taken until the work would be over.
		begun := now
		if j.running {
			begun = j.startedAt
		} else {
			d.returnLease(e, now, true)
			if d.config.startNotices {
				d.recordZoneWait(e, d.elapsed(j))
			}
		}
		d.schedule(max(now, begun+est), nil, e)
		return
	}
	if how == ExecutorFull { // guards against a token that is turned away again and again, in overload by the hundred
		d.returnLease(e, now, true)
		e.health.rejections++
		d.schedule(now+scaled(est, fullTokenRest*float64(e.health.rejections)), nil, e)
		return
	}
	d.releaseToken(e, now, j.waitedAtExecutor)
}

func (d *Dispatcher) recordSuccess(j *attempt, e *executor, now time.Duration) {
	d.recordAlive(e, now)
	if j.shortBudget {
		j.tenant.budgetMargin = max(j.tenant.budgetMargin-budgetMarginStep, 0)
	}
	d.recordCompletion(j, now)
	if e.health.inFlightCap > 0 {
		if e.health.inFlightCap++; e.health.inFlightCap > e.tokens.quota {
			e.health.inFlightCap = 0
		}
	}
	ran := now - j.startedAt
	if !j.running {
		// Without start notices: latency against what the pace foretells.
		ran = min(d.elapsed(j), scaled(j.work, d.pace(e, now)))
		if !j.hinted { // of what waiting does not explain half is running time, or a low guess would never rise
			ran += max(0, d.elapsed(j)-ran-e.estimate.startWait) / 2
		}
		d.recordStartWait(e, j, d.elapsed(j)-ran)
		j.waitedAtExecutor = d.elapsed(j) > scaled(ran, waitedFactor) // hints are rough
	}
	d.recordRunTime(j.job, e, ran)
}
