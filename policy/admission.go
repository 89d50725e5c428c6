package policy

import "time"

const (
	lateQueueFraction   = 0.5  // of the deadline that a job whose class pays late is queued at most
	hintedMargin        = 1.1  // factor by which a predicted running time is exceeded, where the client gave an estimate
	unhintedMargin      = 1.25 // likewise without an estimate, and for work sent to an executor in slow start
	budgetMarginStep    = 0.05 // by which a tenant's budgetMargin falls with each success; it rises by four of them
	maxBudgetMargin     = 1.5
	maxShortBudgetRatio = 0.3 // of a tenant's first tries with short budgets, from which on a short budget tells of no earlier try
	maxClientRetries    = 3.0 // times that a rejected job is taken to come again
)

// JobArrived tells of a batch job that this node has taken. A work of 0 means that no hint came.
func (d *Dispatcher) JobArrived(now time.Duration, in Arrival) {
	d.beginTurn(now)
	t := d.classes.all[min(max(0, int(in.Class)), len(d.classes.all)-1)]
	j := &job{id: in.Job, class: t, tenantID: in.Tenant, work: in.Work, hinted: in.Work > 0, predictionMargin: hintedMargin,
		startMargin: 1, arrivedAt: now, deadlineAt: now + in.Budget, crossChance: d.rng.next()}
	if !j.hinted {
		j.work, j.predictionMargin = t.meanWork, unhintedMargin
	} else {
		t.meanWork = scaled(t.meanWork, smoothing) + scaled(in.Work, 1-smoothing)
	}
	if in.Tenant >= 0 && int(in.Tenant) < len(d.tenants) {
		j.tenant = &d.tenants[in.Tenant]
		j.tenant.arrivals++
	}
	// What a budget lacks was spent before: by tries until this one, or while this node stood still. But no
	// budget tells what is spent where clients mark their repeats and first tries lack much as well: those
	// clients lose patience early, and a try that can't be done by then is not to be sent.
	t.fullBudget = max(t.fullBudget, in.Budget)
	lacks, spent := t.fullBudget-in.Budget, time.Duration(0)
	first := !in.ClientRetry && lacks > d.clock.turnGap
	t.recordArrival(lacks > d.config.quantum)
	curt := d.config.clientsMarkRetries && (j.tenant.recordFirstTry(in.ClientRetry, first) > maxShortBudgetRatio || first)
	switch {
	case lacks <= d.config.quantum:
	case !d.config.clientsMarkRetries && lacks > d.maxQueueTime(j)+d.config.retryAfter+max(0, d.clock.stalledFor) && t.shortBudgets > minTenantArrivals+maxClientRetries*t.rejectedFirstTries:
		// One try before can't have spent so much, and more such come than were turned away: clients wait for less.
	case !curt:
		spent = max(0, t.deadline-in.Budget)
	case j.tenant != nil && in.Budget < t.deadline/2:
		j.shortBudget, j.startMargin = true, 1+j.tenant.budgetMargin
		j.predictionMargin = max(j.predictionMargin, j.startMargin)
	}
	j.objectiveAt = min(now-spent+j.latencyObjective(), j.deadlineAt)
	d.capToShutdown(j)
	j.firstTry = spent == 0 && !in.ClientRetry
	d.recordRequested(j, j.firstTry)
	j.shed = d.shedding.reportsLoad && d.belowThreshold(j)
	d.jobs[in.Job] = j
	d.queueJob(j, now)
	d.schedule(now, j, nil)
	d.leases.wanted = true // it has its own look; of those held none can go that could not before
}

// rejectOrFail answers at once. A pushback says that nothing happened or that trying again is harmless: rule 2.
func (d *Dispatcher) rejectOrFail(j *job) Decision {
	d.removeJob(j)
	j.class.rejectedFirstTries += oneIf(j.firstTry)
	if j.shed { // they come back at times of their own, not all together
		return Decision{Action: Reject, RetryAfter: scaled(d.config.retryAfter, (1+d.rng.next())/2)}
	}
	d.recordExpired(j)
	if j.mayHaveRun == nil || j.class.idempotency == Idempotent || j.class.idempotency == IdempotentWithKey && j.class.dedupGroup == DedupAllExecutors {
		return Decision{Action: Reject, RetryAfter: d.config.retryAfter}
	}
	return Decision{Action: Fail}
}

// maxQueueTime is how long a node keeps a batch job at most for want of a token, before its client may come again.
func (d *Dispatcher) maxQueueTime(j *job) time.Duration {
	if j.class.lateValue > 0 {
		return scaled(j.class.deadline, lateQueueFraction)
	}
	return j.latencyObjective()
}

// latestStart is when an executor of that pace must begin on j at the latest.
func (d *Dispatcher) latestStart(j *job, pace float64) time.Duration {
	end := j.objectiveAt
	if j.class.lateValue > 0 {
		// Not to the outer limit: who has waited half of it with nothing out is told to come back instead.
		end = min(j.deadlineAt, j.queuedAt+d.maxQueueTime(j))
	}
	return end - scaled(j.work, pace*j.startMargin)
}

// isLate reports whether j is past its objective for the choice of executors: less than half of its work fits before it.
func (d *Dispatcher) isLate(j *job, now time.Duration) bool { return j.objectiveAt < now+j.work/2 }

// outOfAttempts reports whether j can't have another attempt: its deadline is reached, its class allows no more attempts,
// or rule 2 refuses a retry.
func (d *Dispatcher) outOfAttempts(j *job, now time.Duration) bool {
	return now >= j.deadlineAt-d.config.quantum || j.attemptCount >= j.class.maxAttempts || !d.retryAllowed(j, now)
}
