package policy

import (
	"math"
	"time"
)

const (
	minTenantArrivals = 2.0  // jobs of a tenant within the span of its rate that say nothing of its share yet
	valueDecay        = 0.95 // of a class's requested and earned value, each interval
	minWorstClassPart = 0.05 // least part of all jobs that the worst class is taken to have
	tenantRateDecay   = 0.8  // of a tenant's rate, each interval
	minMarginalValue  = 1e-9 // least marginal value, in mean jobs, so that it can be divided by
	minUnitValue      = 1e-9 // least mean value of a class's job, likewise
	minTotalQuota     = 1e-9 // least sum of all tenants' quotas, likewise

	rateMemoryIntervals = 5 // intervals that a tenant's rate remembers, by tenantRateDecay
	valueMeanSlowdown   = 4 // times slower than other averages that the mean values follow
)

// valueAverages are what a job's value is measured against.
type valueAverages struct {
	mean           float64   // mean value of a job
	meanDensity    float64   // mean value of a job for its work
	worstClass     *jobClass // the class that earned least of what it was asked for; nil for none
	worstClassUnit float64   // its value for each job of any class
}

// tenant holds a tenant's quota and its traffic at this node.
type tenant struct {
	quotaPerSecond   float64 // this node's share of the tenant's quota
	rate             float64 // jobs a second, averaged
	arrivals         int     // jobs in this interval
	overQuota        float64 // share of this node's traffic over share of all quotas; over 1: the tenant is over its quota
	budgetMargin     float64 // what a try of its impatient clients must have over its predicted running time, as a fraction of that
	shortBudgetRatio float64 // fraction of its marked first tries that came with less than the full budget
}

// forgetWorstClass is for a change of the classes: until the next interval ends, no class counts as the worst.
func (v *valueAverages) forgetWorstClass() { v.worstClass = nil }

// adopt takes over the mean values that another process has learned, if there are any.
func (v *valueAverages) adopt(mean, meanDensity float64) {
	if mean > 0 && meanDensity > 0 {
		v.mean = mean
		v.meanDensity = meanDensity
	}
}

// valueOf returns the value of a job: its class's, times its work in seconds where value is paid for work.
func (d *Dispatcher) valueOf(j *job) float64 {
	if d.config.valuePerWork {
		return j.class.value * j.work.Seconds()
	}
	return j.class.value
}

// tenantFactor returns the factor that the value of a tenant's jobs counts with: below 1 for a tenant over its quota.
func (d *Dispatcher) tenantFactor(t *tenant) float64 {
	if t != nil && t.overQuota > 1 {
		return d.config.overQuotaValue + (1-d.config.overQuotaValue)/t.overQuota
	}
	return 1
}

// marginalValue returns what completing j within its objective adds to the operators' measure, in mean jobs: its part of
// the total value, and, in the class that fares worst, its part of that class's.
func (d *Dispatcher) marginalValue(j *job) float64 {
	value := d.valueOf(j)
	marginal := d.config.totalWeight * value / d.values.mean
	if j.class == d.values.worstClass {
		marginal += d.config.worstClassWeight * value / d.values.worstClassUnit
	}
	return max(marginal*d.tenantFactor(j.tenant), minMarginalValue)
}

// recordRequested records the value of a job that arrived. Only first tries count as requested.
func (d *Dispatcher) recordRequested(j *job, firstTry bool) {
	value := d.valueOf(j)
	j.class.unitValue = j.class.unitValue*smoothing + value*(1-smoothing)
	d.values.mean = slowMean(d.values.mean, value)
	if firstTry {
		j.class.requestedValue += value
	}
	density := d.marginalValue(j) / j.work.Seconds()
	d.values.meanDensity = slowMean(d.values.meanDensity, density)
}

// slowMean returns a running mean after another observation, which is the mean if it is the first.
func slowMean(mean, observed float64) float64 {
	if mean == 0 {
		mean = observed
	}
	return mean + (observed-mean)*(1-smoothing)/valueMeanSlowdown
}

// recordCompletion records a completed attempt. Its value is earned if it ended within the objective.
func (d *Dispatcher) recordCompletion(a *attempt, now time.Duration) {
	d.shedding.recordCompleted(a.job)
	if now <= a.objectiveAt {
		a.class.earnedValue += d.valueOf(a.job)
	}
}

// updateWorstClass ends an interval for the classes: it lets their requested and earned values decay, and finds the class
// that earned the least fraction of what was requested.
func (d *Dispatcher) updateWorstClass() {
	var worst *jobClass
	leastFraction := math.Inf(1)
	jobs := 0.0 // of all classes, by their requested values
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
		d.values.worstClassUnit = max(worst.unitValue, minUnitValue) * max(fraction, minWorstClassPart)
	}
}

// requestedJobs returns about how many jobs of a class were requested lately.
func (t *jobClass) requestedJobs() float64 { return t.requestedValue / max(t.unitValue, minUnitValue) }

// updateTenants ends an interval for the tenants: it updates their rates, and how far each is over its quota. A tenant is
// measured against the others at this node: a node with more traffic than others would see all of them over their quotas.
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
	fewArrivals := minTenantArrivals / (rateMemoryIntervals * interval) // a second; so few say nothing of a tenant
	for i := range d.tenants {
		t := &d.tenants[i]
		fairRate := t.quotaPerSecond * overload
		t.overQuota = (t.rate + fewArrivals) / (fairRate + fewArrivals)
	}
}

// recordArrival counts a job of the tenant.
func (t *tenant) recordArrival() { t.arrivals++ }

// updateRate updates a tenant's rate by its arrivals in an interval of that many seconds.
func (t *tenant) updateRate(interval float64) {
	t.rate = t.rate*tenantRateDecay + float64(t.arrivals)/interval*(1-tenantRateDecay)
	t.arrivals = 0
}

// raiseBudgetMargin gives the tenant's jobs of short budgets more room, after one that timed out.
func (t *tenant) raiseBudgetMargin() {
	t.budgetMargin = min(t.budgetMargin+budgetMarginRise*budgetMarginStep, maxBudgetMargin)
}

// lowerBudgetMargin gives them less room, after one that was completed.
func (t *tenant) lowerBudgetMargin() {
	t.budgetMargin = max(t.budgetMargin-budgetMarginStep, 0)
}

// recordFirstTry records whether a tenant's first try came with a short budget, and returns the fraction of them that do.
// A client's retry is not counted. There is none for a job without a tenant.
func (t *tenant) recordFirstTry(isRetry, isShort bool) float64 {
	if t == nil {
		return 0
	}
	if !isRetry {
		t.shortBudgetRatio = t.shortBudgetRatio*smoothing + oneIf(isShort)*(1-smoothing)
	}
	return t.shortBudgetRatio
}
