package policy

import (
	"math"
	"time"
)

const (
	minTenantArrivals = 2.0 // number of recent jobs of a tenant or class that is too small to judge its traffic
	// Factor that lowers the weight of past jobs in a class's requested and earned values at the end of each interval.
	valueDecay = 0.95
	// Least fraction of all jobs that the worst class counts as in worstClassValuePerJob. Otherwise the jobs of a rare
	// class would get an extreme marginal value.
	minWorstClassFraction = 0.05
	tenantRateDecay       = 0.8 // a tenant's rate keeps this fraction of its previous value at the end of each interval
	// Least marginal value of a job, as a multiple of the mean value, to avoid a division by zero.
	minMarginalValue = 1e-9
	minMeanValue     = 1e-9 // least mean value of a class's jobs, to avoid a division by zero
	minTotalQuota    = 1e-9 // least sum of all tenants' quotas, in jobs per second, to avoid a division by zero

	rateMemoryIntervals = 5 // number of intervals over which a tenant's rate is averaged: 1 / (1 - tenantRateDecay)
	// The mean value and the mean density of jobs change this many times more slowly than other running averages.
	valueMeanSlowdown = 4
)

// valueAverages holds the averages that a job's value is compared with.
type valueAverages struct {
	mean                  float64   // mean value of a job
	meanDensity           float64   // mean marginal value of a job per second of work
	worstClass            *jobClass // class that earned the lowest fraction of its requested value; nil: none
	worstClassValuePerJob float64   // value of the jobs of worstClass divided by the number of jobs of all classes
}

// tenant holds a tenant's quota and its traffic at this node.
type tenant struct {
	quotaPerSecond float64 // this node's share of the tenant's quota, in jobs per second
	rate           float64 // running average of the tenant's jobs per second at this node
	arrivals       int     // number of jobs of the tenant that arrived in this interval
	// The tenant's rate divided by its fair share of this node's traffic; above 1: the tenant is over its quota.
	overQuota float64
	// Extra time that a job with a short budget must have, as a fraction of the predicted running time.
	budgetMargin     float64
	shortBudgetRatio float64 // fraction of the tenant's first tries that arrived with less than the full budget
}

// forgetWorstClass is called when the job classes change. After that, no class counts as the worst until the current
// interval ends.
func (v *valueAverages) forgetWorstClass() { v.worstClass = nil }

// adopt takes over the mean values that another process of this node has learned, if that process has learned any.
func (v *valueAverages) adopt(mean, meanDensity float64) {
	if mean > 0 && meanDensity > 0 {
		v.mean = mean
		v.meanDensity = meanDensity
	}
}

// valueOf returns the value of a job, which is the value of its class. With the setting ValuePerWork, it is that value
// times the job's work in seconds.
func (d *Dispatcher) valueOf(j *job) float64 {
	if d.config.valuePerWork {
		return j.class.value * j.work.Seconds()
	}
	return j.class.value
}

// tenantFactor returns the factor by which the value of a tenant's jobs is multiplied. It is below 1 if the tenant is
// over its quota.
func (d *Dispatcher) tenantFactor(t *tenant) float64 {
	if t != nil && t.overQuota > 1 {
		return d.config.overQuotaValue + (1-d.config.overQuotaValue)/t.overQuota
	}
	return 1
}

// marginalValue returns the value of completing j within its objective, as a multiple of the mean value of a job. It is
// the sum of two terms, which are weighted by TotalWeight and WorstClassWeight of the settings. The first term is j's
// contribution to the total value. The second is j's contribution to the value of the class that earned the lowest
// fraction of its requested value, if j is of that class. If j's tenant is over its quota, the sum is reduced.
func (d *Dispatcher) marginalValue(j *job) float64 {
	value := d.valueOf(j)
	marginal := d.config.totalWeight * value / d.values.mean
	if j.class == d.values.worstClass {
		marginal += d.config.worstClassWeight * value / d.values.worstClassValuePerJob
	}
	return max(marginal*d.tenantFactor(j.tenant), minMarginalValue)
}

// recordRequested updates the mean values with a job that arrived. The job's value is added to the class's
// requestedValue only if the client seems to submit the job for the first time (firstTry).
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

// slowMean returns a running mean after another observation was added. The first observation becomes the mean.
func slowMean(mean, observed float64) float64 {
	if mean == 0 {
		mean = observed
	}
	return mean + (observed-mean)*(1-smoothing)/valueMeanSlowdown
}

// recordCompletion records a completed attempt. The job's value counts as earned if the attempt ended within the job's
// objective.
func (d *Dispatcher) recordCompletion(a *attempt, now time.Duration) {
	d.shedding.recordCompleted(a.job)
	if now <= a.objectiveAt {
		a.class.earnedValue += d.valueOf(a.job)
	}
}

// updateWorstClass is called at the end of each interval. It lets the requested and earned values of the classes decay.
// It then finds the class that earned the lowest fraction of its requested value.
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

// updateTenants is called at the end of each interval. It updates the tenants' rates, and how far each tenant is over
// its quota. If the total rate at this node exceeds this node's share of all quotas, each quota is raised in
// proportion. Otherwise all tenants of a node with more traffic than other nodes would count as over their quotas.
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
	// fewArrivals is added to both rates, so that a tenant with few jobs does not count as over its quota.
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

// recordFirstTry records whether a first try of the tenant arrived with a short budget, and returns the fraction of the
// tenant's first tries that did. A client's retry is not recorded. For a job without a tenant, t is nil and the
// fraction is 0.
func (t *tenant) recordFirstTry(isRetry, isShort bool) float64 {
	if t == nil {
		return 0
	}
	if !isRetry {
		t.shortBudgetRatio = t.shortBudgetRatio*smoothing + oneIf(isShort)*(1-smoothing)
	}
	return t.shortBudgetRatio
}
