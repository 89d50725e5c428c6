package policy

import "time"

const (
	lateQueueFraction   = 0.5  // of the deadline that a job whose class pays late is queued at most
	hintedMargin        = 1.1  // factor by which a predicted running time is exceeded, where the client gave an estimate
	unhintedMargin      = 1.25 // likewise without an estimate, and for work sent to an executor in slow start
	budgetMarginStep    = 0.05 // by which a tenant's budgetMargin falls with each success
	budgetMarginRise    = 4    // steps by which it rises with each timeout
	maxBudgetMargin     = 1.5  // of the predicted running time
	maxShortBudgetRatio = 0.3  // of a tenant's first tries with short budgets, from which on a short budget does not indicate an earlier try
	maxClientRetries    = 3.0  // times that a rejected job is taken to come again
	shortBudgetDivisor  = 2    // a budget under the deadline over this is short
)

// newJob makes a job of an arrival. Without the client's estimate its work is the class's running average.
func (d *Dispatcher) newJob(now time.Duration, arrival Arrival) *job {
	class := d.classes.lookup(arrival.Class)
	j := &job{
		id:               arrival.Job,
		class:            class,
		tenantID:         arrival.Tenant,
		work:             arrival.Work,
		hinted:           arrival.Work > 0,
		predictionMargin: hintedMargin,
		startMargin:      1,
		arrivedAt:        now,
		deadlineAt:       now + arrival.Budget,
		crossChance:      d.rng.next(),
	}
	if j.hinted {
		class.recordHint(arrival.Work)
	} else {
		j.work = class.meanWork
		j.predictionMargin = unhintedMargin
	}
	if arrival.Tenant >= 0 && int(arrival.Tenant) < len(d.tenants) {
		j.tenant = &d.tenants[arrival.Tenant]
		j.tenant.recordArrival()
	}
	return j
}

// spentBudget returns how much of j's time was spent before it arrived here, by earlier tries or while this node stood
// still, judged by what its budget lacks of the class's full one. The objective counts from the first try. The class and the
// tenant record the budget.
//
// A budget does not show what was spent where clients mark their retries and first tries lack as much: those clients
// wait for less than the deadline. The job then gets a start margin, since an attempt that can't end before its client
// gives up is wasted.
func (d *Dispatcher) spentBudget(j *job, arrival Arrival) time.Duration {
	class := j.class
	lacking := class.recordBudget(arrival.Budget)
	isShort := lacking > d.config.quantum
	class.recordArrival(isShort)
	impatient := d.config.clientsMarkRetries && d.fromImpatientClient(j, arrival, lacking)
	switch {
	case !isShort || d.shortByChoice(j, lacking):
		return 0
	case !impatient:
		return max(0, class.deadline-arrival.Budget)
	case j.tenant != nil && arrival.Budget < class.deadline/shortBudgetDivisor:
		j.shortBudget = true
		j.startMargin = 1 + j.tenant.budgetMargin
		j.predictionMargin = max(j.predictionMargin, j.startMargin)
	}
	return 0
}

// fromImpatientClient reports whether a budget that lacks that much does not indicate an earlier try, where clients mark their
// retries: this is a first try that lacks it, or the tenant's first tries often do.
func (d *Dispatcher) fromImpatientClient(j *job, arrival Arrival, lacking time.Duration) bool {
	shortFirstTry := !arrival.ClientRetry && lacking > d.clock.turnGap
	ratio := j.tenant.recordFirstTry(arrival.ClientRetry, shortFirstTry)
	return ratio > maxShortBudgetRatio || shortFirstTry
}

// shortByChoice reports whether j's client waits for less than the deadline, where clients don't mark their retries: one
// earlier try can't have spent that much, and more such jobs come than retries of rejected ones would.
func (d *Dispatcher) shortByChoice(j *job, lacking time.Duration) bool {
	return !d.config.clientsMarkRetries &&
		lacking > d.maxQueueTime(j)+d.config.retryAfter+max(0, d.clock.stalledFor) &&
		j.class.shortBudgets > minTenantArrivals+maxClientRetries*j.class.rejectedFirstTries
}

// rejectOrFail gives j its final answer without another attempt. A rejection tells the client that nothing happened or
// that trying again is harmless, so it is allowed by rule 2 only (rejectionAllowed); any other job fails.
//
// The Retry-After of shed jobs is spread over the upper half of its range, so that they do not come back together.
func (d *Dispatcher) rejectOrFail(j *job) Decision {
	d.removeJob(j)
	j.class.recordRejected(j.firstTry)
	if j.shed {
		return Decision{Action: Reject, RetryAfter: scaled(d.config.retryAfter, (1+d.rng.next())/2)}
	}
	d.recordExpired(j)
	if j.rejectionAllowed() {
		return Decision{Action: Reject, RetryAfter: d.config.retryAfter}
	}
	return Decision{Action: Fail}
}

// maxQueueTime returns how long j waits for a token at most: after that it is rejected and its client may try again.
func (d *Dispatcher) maxQueueTime(j *job) time.Duration {
	if j.class.lateValue > 0 {
		return scaled(j.class.deadline, lateQueueFraction)
	}
	return j.latencyObjective()
}

// latestStart returns when an executor of that pace must start j at the latest: early enough to end by its objective
// or, if its class pays late, by its deadline, but not after maxQueueTime.
func (d *Dispatcher) latestStart(j *job, pace float64) time.Duration {
	end := j.objectiveAt
	if j.class.lateValue > 0 {
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
