package policy

import "time"

const (
	// maxLateQueueFraction limits how long a job waits in the queue if its class has a late value. Such a job still
	// yields value after its objective. The limit is a fraction of the class's deadline.
	maxLateQueueFraction = 0.5

	// clientEstimateMargin is the safety margin of predictions for a job whose work the client estimated. The predicted
	// wait and running time are multiplied by it.
	clientEstimateMargin = 1.1

	// classEstimateMargin is the safety margin for a job whose work is only known as the mean of its class. The
	// predicted wait and running time are multiplied by it. The slow-start budget multiplies the work of every job by
	// it.
	classEstimateMargin = 1.25

	// A tenant's budgetMargin keeps attempts from ending after a client with a short timeout has given up. It is a
	// fraction of the predicted running time. When a job with a short budget succeeds, the margin falls by
	// budgetMarginStep. When such a job times out, the margin rises by budgetMarginRise times budgetMarginStep, up to
	// maxBudgetMargin.
	budgetMarginStep = 0.05
	budgetMarginRise = 4
	maxBudgetMargin  = 1.5

	// maxShortBudgetRatio identifies tenants whose clients have short timeouts. It is a fraction of a tenant's first
	// tries. If more of them have short budgets, a short budget of the tenant is no sign of an earlier try.
	maxShortBudgetRatio = 0.3

	// maxClientRetries is the largest number of short budgets that one rejected job explains. It is the assumed number
	// of times that a client retries a rejected job.
	maxClientRetries = 3.0

	// shortBudgetDivisor decides which jobs of clients with a short timeout get a start margin. The budget must be
	// below the class's deadline divided by this number.
	shortBudgetDivisor = 2
)

// newJob returns the job for an arrival. If the client did not estimate its work, the class's mean work is used.
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
		deadlineAt:        now - arrival.Waited + arrival.Budget,
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

// spentBudget returns how much time passed between the client's first try and j's arrival, in earlier tries or while
// this node stalled. The latency objective counts from the first try. The class and the tenant record the budget.
//
// A budget is short if it is more than a quantum below the largest budget seen of the class. A short budget is a sign
// of an earlier try: the result is then the class's deadline minus the budget. For a budget that is not short, the
// result is 0.
//
// A budget can also be short because the client's timeout is shorter than the deadline. Such a budget says nothing
// about earlier tries, and the result is 0. An attempt is wasted if it ends after its client has given up. To avoid
// that, the job can get a start margin. Three conditions must hold: the budget is less than half of the deadline, the
// job has a tenant, and clients mark their retries.
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

// shortTimeoutByMarks reports whether j's client has a timeout that is shorter than the deadline. It is used if clients
// mark their retries. The result is true if j is a first try with a short budget, or if the tenant's first tries often
// have short budgets (maxShortBudgetRatio). The shortfall is the class's full budget minus j's budget. A first try has
// possibly waited at this node since the previous turn. So its budget counts as short only if the shortfall is larger
// than the time between the two turns.
func (d *Dispatcher) shortTimeoutByMarks(j *job, arrival Arrival, shortfall time.Duration) bool {
	shortFirstTry := !arrival.ClientRetry && shortfall > d.clock.turnGap
	ratio := j.tenant.recordFirstTry(arrival.ClientRetry, shortFirstTry)
	return ratio > maxShortBudgetRatio || shortFirstTry
}

// shortTimeoutByCounts reports whether j's client has a timeout that is shorter than the deadline. It is used if
// clients don't mark their retries. The result is true if two conditions hold. First, the shortfall of j's budget is
// larger than the time that one earlier try can have taken. Second, more jobs of the class arrive with short budgets
// than retries of rejected jobs would explain.
func (d *Dispatcher) shortTimeoutByCounts(j *job, shortfall time.Duration) bool {
	return !d.config.clientsMarkRetries &&
		shortfall > d.maxQueueTime(j)+d.config.maxRetryAfter+max(0, d.clock.stalledFor) &&
		j.class.shortBudgets > minTenantArrivals+maxClientRetries*j.class.rejectedFirstTries
}

// rejectOrFail gives j its final answer without another attempt. A rejected client can retry, so j is rejected only if
// a retry can't have a duplicate effect (rejectionAllowed). Otherwise j fails. A shed job never ran, so it is always
// rejected.
//
// The Retry-After of a shed job is random, between half of the maximum and the maximum. Otherwise the retries of many
// shed jobs would arrive at the same time.
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

// maxQueueTime returns an upper bound of the time that j waits in the queue for a token. If j gets no token within that
// time, it is rejected or fails.
func (d *Dispatcher) maxQueueTime(j *job) time.Duration {
	if j.class.lateValue > 0 {
		return scaled(j.class.deadline, maxLateQueueFraction)
	}
	return j.latencyObjective()
}

// latestStart returns the latest time at which an executor of the given pace can start j and still complete it in time.
// The predicted running time is multiplied by j's start margin. A job must end by its objective. If j's class has a
// late value, j must instead end by its deadline and within maxQueueTime after it was queued.
func (d *Dispatcher) latestStart(j *job, pace float64) time.Duration {
	end := j.objectiveAt
	if j.class.lateValue > 0 {
		end = min(j.deadlineAt, j.queuedAt+d.maxQueueTime(j))
	}
	return end - scaled(j.work, pace*j.startMargin)
}

// isLate reports whether j counts as late in the choice of an executor. A job is late if less than half of its work
// fits into the time left until its objective.
func (d *Dispatcher) isLate(j *job, now time.Duration) bool { return j.objectiveAt < now+j.work/2 }

// outOfAttempts reports whether j can't have another attempt. One of three reasons is enough: j's deadline is at most a
// quantum away, j's class allows no more attempts, or a retry could have a duplicate effect.
func (d *Dispatcher) outOfAttempts(j *job, now time.Duration) bool {
	return now >= j.deadlineAt-d.config.quantum || j.attemptCount >= j.class.maxAttempts || !d.retryAllowed(j, now)
}
