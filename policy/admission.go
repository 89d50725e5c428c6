package policy

import "time"

const (
	maxLateQueueFraction = 0.5  // longest time in the queue as a fraction of the deadline, for classes with a late value
	clientEstimateMargin = 1.1  // margin on a predicted running time, as a factor, if the client gave an estimate of the work
	classEstimateMargin  = 1.25 // the same margin without the client's estimate, and for work sent to an executor in slow start
	budgetMarginStep     = 0.05 // decrease of a tenant's budgetMargin with each success
	budgetMarginRise     = 4    // increase of a tenant's budgetMargin with each timeout, in steps of budgetMarginStep
	maxBudgetMargin      = 1.5  // largest budgetMargin, which is a fraction of the predicted running time
	maxShortBudgetRatio  = 0.3  // fraction of first tries with short budgets above which a short budget shows no earlier try
	maxClientRetries     = 3.0  // estimate of how often a client retries a rejected job
	shortBudgetDivisor   = 2    // a job gets a start margin if its budget is below the deadline divided by this
)

// newJob returns the job of an arrival. Without the client's estimate, its work is the running average of its class.
func (d *Dispatcher) newJob(now time.Duration, arrival Arrival) *job {
	class := d.classes.lookup(arrival.Class)
	j := &job{
		id:                arrival.Job,
		class:             class,
		tenantID:          arrival.Tenant,
		work:              arrival.Work,
		hasClientEstimate: arrival.Work > 0,
		predictionMargin:  clientEstimateMargin,
		startMargin:       1,
		arrivedAt:         now,
		deadlineAt:        now + arrival.Budget,
		crossZoneDraw:     d.rng.next(),
	}
	if j.hasClientEstimate {
		class.recordClientEstimate(arrival.Work)
	} else {
		j.work = class.meanWork
		j.predictionMargin = classEstimateMargin
	}
	if arrival.Tenant >= 0 && int(arrival.Tenant) < len(d.tenants) {
		j.tenant = &d.tenants[arrival.Tenant]
		j.tenant.recordArrival()
	}
	return j
}

// spentBudget returns how much of j's time was spent before it arrived here, by earlier tries or while this node stalled:
// the objective counts from the first try. If the budget is short, which means more than a quantum below the largest budget
// seen of the class, the result is the class's deadline minus the budget. The class and the tenant record the budget.
//
// A budget can also be short because the client's timeout is shorter than the deadline. Then it says nothing about earlier
// tries, and 0 is returned. If such a budget is less than half of the deadline, the job has a tenant, and clients mark their
// retries, the job gets a start margin, since an attempt that can't end before its client gives up is wasted.
func (d *Dispatcher) spentBudget(j *job, arrival Arrival) time.Duration {
	class := j.class
	shortfall := class.recordBudget(arrival.Budget)
	isShort := shortfall > d.config.quantum
	class.recordArrival(isShort)
	shortTimeout := d.config.clientsMarkRetries && d.shortTimeoutByMarks(j, arrival, shortfall)
	switch {
	case !isShort || d.shortTimeoutByCounts(j, shortfall):
		return 0
	case !shortTimeout:
		return max(0, class.deadline-arrival.Budget)
	case j.tenant != nil && arrival.Budget < class.deadline/shortBudgetDivisor:
		j.shortBudget = true
		j.startMargin = 1 + j.tenant.budgetMargin
		j.predictionMargin = max(j.predictionMargin, j.startMargin)
	}
	return 0
}

// shortTimeoutByMarks reports whether the client's timeout is shorter than the deadline, where clients mark their retries:
// either this is a first try with a short budget, or first tries of the tenant often have short budgets. The shortfall is
// the full budget minus j's budget. A first try may have waited for this turn since the previous one, so a shortfall up to
// that time doesn't count.
func (d *Dispatcher) shortTimeoutByMarks(j *job, arrival Arrival, shortfall time.Duration) bool {
	shortFirstTry := !arrival.ClientRetry && shortfall > d.clock.turnGap
	ratio := j.tenant.recordFirstTry(arrival.ClientRetry, shortFirstTry)
	return ratio > maxShortBudgetRatio || shortFirstTry
}

// shortTimeoutByCounts reports whether the client's timeout is shorter than the deadline, where clients don't mark their
// retries: the shortfall of j's budget is larger than the time that one earlier try can have spent, and more jobs with short
// budgets arrive than retries of rejected jobs would explain.
func (d *Dispatcher) shortTimeoutByCounts(j *job, shortfall time.Duration) bool {
	return !d.config.clientsMarkRetries &&
		shortfall > d.maxQueueTime(j)+d.config.maxRetryAfter+max(0, d.clock.stalledFor) &&
		j.class.shortBudgets > minTenantArrivals+maxClientRetries*j.class.rejectedFirstTries
}

// rejectOrFail gives j its final answer without another attempt. A rejection invites the client to retry, so it is only
// used if a retry can't have a duplicate effect (rejectionAllowed). Any other job fails.
//
// The Retry-After of shed jobs is random, between half of the maximum and the maximum, so that their retries do not arrive
// at the same time.
func (d *Dispatcher) rejectOrFail(j *job) Decision {
	d.removeJob(j)
	j.class.recordRejected(j.firstTry)
	if j.shed {
		return Decision{Action: Reject, RetryAfter: scaled(d.config.maxRetryAfter, (1+d.rng.next())/2)}
	}
	d.recordExpired(j)
	if j.rejectionAllowed() {
		return Decision{Action: Reject, RetryAfter: d.config.maxRetryAfter}
	}
	return Decision{Action: Fail}
}

// maxQueueTime returns the longest time that j may wait for a token. After that it is rejected, and its client may retry.
func (d *Dispatcher) maxQueueTime(j *job) time.Duration {
	if j.class.lateValue > 0 {
		return scaled(j.class.deadline, maxLateQueueFraction)
	}
	return j.latencyObjective()
}

// latestStart returns the latest time at which an executor of the given pace must start j, so that j ends by its objective
// or, if its class has a late value, by its deadline and by maxQueueTime.
func (d *Dispatcher) latestStart(j *job, pace float64) time.Duration {
	end := j.objectiveAt
	if j.class.lateValue > 0 {
		end = min(j.deadlineAt, j.queuedAt+d.maxQueueTime(j))
	}
	return end - scaled(j.work, pace*j.startMargin)
}

// isLate reports whether j counts as past its objective in the choice of an executor: less than half of its work can be
// done before the objective.
func (d *Dispatcher) isLate(j *job, now time.Duration) bool { return j.objectiveAt < now+j.work/2 }

// outOfAttempts reports whether j can't have another attempt: its deadline is reached, its class allows no more attempts,
// or a retry could have a duplicate effect.
func (d *Dispatcher) outOfAttempts(j *job, now time.Duration) bool {
	return now >= j.deadlineAt-d.config.quantum || j.attemptCount >= j.class.maxAttempts || !d.retryAllowed(j, now)
}
