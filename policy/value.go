package policy

import (
	"math"
	"time"
)

const (
	minTenantArrivals     = 2.0  // number of recent jobs that is too small to judge a tenant's traffic by
	valueDecay            = 0.95 // factor for a class's requested and earned value, each interval
	minWorstClassFraction = 0.05 // least fraction of all jobs that the worst class is taken to have
	tenantRateDecay       = 0.8  // factor for a tenant's rate, each interval
	minMarginalValue      = 1e-9 // least marginal value, in mean jobs, to avoid a division by zero
	minMeanValue          = 1e-9 // least mean value of a class's jobs, to avoid a division by zero
	minTotalQuota         = 1e-9 // least sum of all tenants' quotas, to avoid a division by zero

	rateMemoryIntervals = 5 // number of intervals over which a tenant's rate is averaged: 1 / (1 - tenantRateDecay)
	valueMeanSlowdown   = 4 // factor by which the mean values change more slowly than other running averages
)

// valueAverages holds the averages that a job's value is compared with.
type valueAverages struct {
	mean                  float64   // mean value of a job
	meanDensity           float64   // mean of the jobs' marginal value per second of work
	worstClass            *jobClass // class that earned the lowest fraction of its requested value; nil: none
	worstClassValuePerJob float64   // value of worstClass's jobs, averaged over the jobs of all classes
}

// tenant holds a tenant's quota and its traffic at this node.
type tenant struct {
	quotaPerSecond   float64 // this node's part of the tenant's quota, in jobs per second
	rate             float64 // running average of the tenant's jobs per second at this node
	arrivals         int     // jobs in this interval
	overQuota        float64 // rate, relative to the tenant's fair share of this node's traffic; over 1: over its quota
	budgetMargin     float64 // extra time that a job with a short budget must have, as a fraction of its predicted running time
	shortBudgetRatio float64 // fraction of the tenant's first tries that came with less than the full budget
}

// forgetWorstClass is called when the classes change. No class counts as the worst until the current interval ends.
func (v *valueAverages) forgetWorstClass() { v.worstClass = nil }

// adopt takes over the mean values that another process of this node has learned, if it has.
func (v *valueAverages) adopt(mean, meanDensity float64) {
	if mean > 0 && meanDensity > 0 {
		v.mean = mean
		v.meanDensity = meanDensity
	}
}

// valueOf returns the value of a job: the value of its class, multiplied by its work in seconds with ValuePerWork.
func (d *Dispatcher) valueOf(j *job) float64 {
	if d.config.valuePerWork {
		return j.class.value * j.work.Seconds()
	}
	return j.class.value
}

// tenantFactor returns the factor for the value of a tenant's jobs. It is below 1 if the tenant is over its quota.
func (d *Dispatcher) tenantFactor(t *tenant) float64 {
	if t != nil && t.overQuota > 1 {
		return d.config.overQuotaValue + (1-d.config.overQuotaValue)/t.overQuota
	}
	return 1
}

// marginalValue returns the value of completing j within its objective, as a multiple of the mean value of a job. It has
// two terms, weighted by the operators' settings: j's contribution to the total value and, if j is of the class that
// earned the lowest fraction of its requested value, j's contribution to the value of that class.
func (d *Dispatcher) marginalValue(j *job) float64 {
	value := d.valueOf(j)
	marginal := d.config.totalWeight * value / d.values.mean
	if j.class == d.values.worstClass {
		marginal += d.config.worstClassWeight * value / d.values.worstClassValuePerJob
	}
	return max(marginal*d.tenantFactor(j.tenant), minMarginalValue)
}

// recordRequested updates the averages with the value of a job that arrived. Only first tries count as requested value.
func (d *Dispatcher) recordRequested(j *job, firstTry bool) {
	value := d.valueOf(j)
	j.class.meanValue = j.class.meanValue*smoothing + value*(1-smoothing)
	d.values.mean = slowMean(d.values.mean, value)
	if firstTry {
		j.class.requestedValue += value
	}
	density := d.marginalValue(j) / j.work.Seconds()
	d.values.meanDensity = slowMean(d.values.meanDensity, density)
}

// slowMean returns a running mean after another observation. The first observation becomes the mean.
func slowMean(mean, observed float64) float64 {
	if mean == 0 {
		mean = observed
	}
	return mean + (observed-mean)*(1-smoothing)/valueMeanSlowdown
}

// recordCompletion records a completed attempt. The job's value is earned if the attempt ended within its objective.
func (d *Dispatcher) recordCompletion(a *attempt, now time.Duration) {
	d.shedding.recordCompleted(a.job)
	if now <= a.objectiveAt {
		a.class.earnedValue += d.valueOf(a.job)
	}
}

// updateWorstClass is called at the end of each interval. It lets the requested and earned values of the classes decay, and
// finds the class that earned the lowest fraction of its requested value.
func (d *Dispatcher) updateWorstClass() {
	var worst *jobClass
	leastFraction := math.Inf(1)
	jobs := 0.0 // number of requested jobs of all classes
	for _, class := range d.classes.current {
		class.requestedValue *= valueDecay
		class.earnedValue *= valueDecay
		fraction := class.earnedValue / class.requestedValue
		if class.requestedValue > 0 && fraction < leastFraction {
			leastFraction = fraction
			worst = class
		}
		jobs += class.requestedJobs()
	}
	d.values.worstClass = worst
	if worst != nil {
		fraction := worst.requestedJobs() / jobs
		d.values.worstClassValuePerJob = max(worst.meanValue, minMeanValue) * max(fraction, minWorstClassFraction)
	}
}

// requestedJobs returns the approximate number of jobs of a class that were requested recently.
func (c *jobClass) requestedJobs() float64 { return c.requestedValue / max(c.meanValue, minMeanValue) }

// updateTenants is called at the end of each interval. It updates the tenants' rates, and how far each tenant is over its
// quota. If the total rate at this node exceeds the node's part of all quotas, each quota is raised in proportion:
// otherwise a node with more traffic than other nodes would take all its tenants for over their quotas.
func (d *Dispatcher) updateTenants() {
	interval := d.classes.quotaInterval.Seconds()
	totalRate := 0.0
	totalQuota := 0.0
	for i := range d.tenants {
		t := &d.tenants[i]
		t.updateRate(interval)
		totalRate += t.rate
		totalQuota += t.quotaPerSecond
	}
	overload := max(totalRate/max(totalQuota, minTotalQuota), 1)
	// Added to both rates, so that a tenant with few jobs does not count as over its quota.
	fewArrivals := minTenantArrivals / (rateMemoryIntervals * interval)
	for i := range d.tenants {
		t := &d.tenants[i]
		fairRate := t.quotaPerSecond * overload
		t.overQuota = (t.rate + fewArrivals) / (fairRate + fewArrivals)
	}
}

// recordArrival counts a job of the tenant that arrived.
func (t *tenant) recordArrival() { t.arrivals++ }

// updateRate updates the tenant's rate at the end of an interval with the given length in seconds.
func (t *tenant) updateRate(interval float64) {
	t.rate = t.rate*tenantRateDecay + float64(t.arrivals)/interval*(1-tenantRateDecay)
	t.arrivals = 0
}

// raiseBudgetMargin raises the margin for the tenant's jobs with short budgets, after one of them timed out.
func (t *tenant) raiseBudgetMargin() {
	t.budgetMargin = min(t.budgetMargin+budgetMarginRise*budgetMarginStep, maxBudgetMargin)
}

// lowerBudgetMargin lowers the margin for the tenant's jobs with short budgets, after one of them was completed.
func (t *tenant) lowerBudgetMargin() {
	t.budgetMargin = max(t.budgetMargin-budgetMarginStep, 0)
}

// recordFirstTry records whether a first try of the tenant came with a short budget, and returns the fraction of its first
// tries that do. A client's retry is not recorded. For a job without a tenant, where t is nil, the fraction is 0.
func (t *tenant) recordFirstTry(isRetry, isShort bool) float64 {
	if t == nil {
		return 0
	}
	if !isRetry {
		t.shortBudgetRatio = t.shortBudgetRatio*smoothing + oneIf(isShort)*(1-smoothing)
	}
	return t.shortBudgetRatio
}
