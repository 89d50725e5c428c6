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

// valueOf is what a batch job earns, by its work or whatever it is.
func (d *Dispatcher) valueOf(j *job) float64 {
	if d.config.valuePerWork {
		return j.class.value * j.work.Seconds()
	}
	return j.class.value
}

// tenantFactor is what a tenant's earnings count for: less over its share.
func (d *Dispatcher) tenantFactor(t *tenant) float64 {
	if t != nil && t.overQuota > 1 {
		return d.config.overQuotaValue + (1-d.config.overQuotaValue)/t.overQuota
	}
	return 1
}

// marginalValue is what handling j in its quoted time adds to the operators' measure, in mean batch jobs: its part
// of all earnings, and, in the track that fares worst, its part of that track's.
func (d *Dispatcher) marginalValue(j *job) float64 {
	e := d.valueOf(j)
	v := d.config.totalWeight * e / d.values.mean
	if j.class == d.values.worstClass {
		v += d.config.worstClassWeight * e / d.values.worstClassUnit
	}
	return max(v*d.tenantFactor(j.tenant), 1e-9)
}

// recordRequested books what a batch job that came is worth; first: it is not a repeat by the client.
func (d *Dispatcher) recordRequested(j *job, first bool) {
	e := d.valueOf(j)
	j.class.unitValue = j.class.unitValue*smoothing + e*(1-smoothing)
	if d.values.mean == 0 {
		d.values.mean = e
	}
	d.values.mean += (e - d.values.mean) * (1 - smoothing) / 4
	if first {
		j.class.requestedValue += e
	}
	density := d.marginalValue(j) / j.work.Seconds()
	if d.values.meanDensity == 0 {
		d.values.meanDensity = density
	}
	d.values.meanDensity += (density - d.values.meanDensity) * (1 - smoothing) / 4
}

// recordCompletion books an answer, in its quoted time or not.
func (d *Dispatcher) recordCompletion(s *attempt, now time.Duration) {
	s.executor.health.consecutiveErrors = 0
	d.shedding.summary.Completed += s.work.Seconds()
	if now <= s.objectiveAt {
		s.class.earnedValue += d.valueOf(s.job)
	}
}

// decayAverages fades the tracks' and tenants' figures, each interval.
func (d *Dispatcher) decayAverages() {
	if !d.config.loadAdjustedWeights {
		d.zoneLoad.decayRemote()
	}
	d.values.worstClass = nil
	least, came := math.Inf(1), 0.0
	for _, t := range d.classes.current {
		t.requestedValue *= valueDecay
		t.earnedValue *= valueDecay
		if part := t.earnedValue / t.requestedValue; t.requestedValue > 0 && part < least {
			least, d.values.worstClass = part, t
		}
		came += t.requestedValue / max(t.unitValue, 1e-9)
	}
	if d.values.worstClass != nil {
		part := d.values.worstClass.requestedValue / max(d.values.worstClass.unitValue, 1e-9) / came
		d.values.worstClassUnit = max(d.values.worstClass.unitValue, 1e-9) * max(part, minWorstClassPart)
	}
	rates, quotas := 0.0, 0.0
	for i := range d.tenants {
		t := &d.tenants[i]
		t.rate = t.rate*tenantRateDecay + float64(t.arrivals)/d.classes.quotaInterval.Seconds()*(1-tenantRateDecay)
		t.arrivals = 0
		rates += t.rate
		quotas += t.quotaPerSecond
	}
	// A node with more traffic than the others sees every tenant over its share of the nodes' mean: so a
	// tenant is measured against the others at this node.
	for i := range d.tenants {
		t := &d.tenants[i]
		part := t.quotaPerSecond * max(rates/max(quotas, 1e-9), 1)
		few := minTenantArrivals / (5 * d.classes.quotaInterval.Seconds()) // what a rate remembers
		t.overQuota = (t.rate + few) / (part + few)
	}
}

// recordFirstTry books whether a tenant's first try lacked budget, and gives the part of them that do.
func (t *tenant) recordFirstTry(again, lacks bool) float64 {
	if t == nil {
		return 0
	}
	if !again {
		t.shortBudgetRatio = t.shortBudgetRatio*smoothing + oneIf(lacks)*(1-smoothing)
	}
	return t.shortBudgetRatio
}
