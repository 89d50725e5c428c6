package cluster

import (
	"maps"
	"math"
	"time"

	"birchstair/policy"
)

// AveragingTimeConstant is the time constant of the exponential averages that rates are.
const AveragingTimeConstant = 1500 * time.Millisecond

const (
	// maxRate is more work a second than any node could be offered.
	maxRate = 1e7
	// minRate is the rate below which a priority level counts as not offered any more.
	minRate = 1e-6
)

// Rates are the load of one node, averaged, in seconds of work on a standard core per second.
type Rates struct {
	Offered    map[int]float64 // by priority level
	Admitted   float64
	Completed  float64
	Expired    float64 // given up after waiting for a token of an executor
	Migrations float64 // that would be migrated if migrations had no budget
	Waiting    float64 // not a rate: of the jobs that wait, the sum of work divided by slack
}

// Clone returns a copy that shares nothing with the original.
func (r Rates) Clone() Rates {
	r.Offered = maps.Clone(r.Offered)
	return r
}

// valid reports whether these can be the rates of a node.
func (r Rates) valid() bool {
	plausible := func(rate float64) bool { return rate >= 0 && rate <= maxRate } // false for NaN
	for level, rate := range r.Offered {
		if level < 0 || level >= policy.PriorityLevels || !plausible(rate) {
			return false
		}
	}
	return plausible(r.Admitted) && plausible(r.Completed) && plausible(r.Expired) && plausible(r.Migrations) && plausible(r.Waiting)
}

// offered is the sum over all priority levels. It is always added up in the same order, since sums of floats depend on it.
func (r Rates) offered() float64 {
	sum := 0.0
	for level := range policy.PriorityLevels {
		sum += r.Offered[level]
	}
	return sum
}

// magnitude is a single figure for how much load a node reports.
func (r Rates) magnitude() float64 { return r.offered() + r.Completed + r.Expired }

// add adds the rates of another node, times a weight.
func (r *Rates) add(other Rates, weight float64) {
	for level, rate := range other.Offered {
		r.Offered[level] += weight * rate
	}
	r.Admitted += weight * other.Admitted
	r.Completed += weight * other.Completed
	r.Expired += weight * other.Expired
	r.Migrations += weight * other.Migrations
	r.Waiting += weight * other.Waiting
}

// ownLoad is the load of this node.
type ownLoad struct {
	rates        Rates
	averagedOver time.Duration // since the start or the last reset
	capacity     float64       // of all executors, as this node sees them, in seconds of work per second
}

// reset starts the averages anew.
func (l *ownLoad) reset() {
	l.averagedOver = 0
	l.rates = Rates{Offered: map[int]float64{}}
}

// add takes the load of the time since the last call into the averages.
func (l *ownLoad) add(load policy.LoadSummary, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	before := l.averagedOver
	l.averagedOver += elapsed
	keep := weightOfOld(before, elapsed)
	average := func(old, sum float64) float64 { return old*keep + sum/elapsed.Seconds()*(1-keep) }
	l.rates.Admitted = average(l.rates.Admitted, load.Admitted)
	l.rates.Completed = average(l.rates.Completed, load.Completed)
	l.rates.Expired = average(l.rates.Expired, load.Expired)
	l.rates.Migrations = average(l.rates.Migrations, load.Migrations)
	l.rates.Waiting, l.capacity = load.Waiting, load.Capacity
	for level, sum := range load.Offered {
		rate := average(l.rates.Offered[level], sum)
		if rate < minRate {
			delete(l.rates.Offered, level)
		} else {
			l.rates.Offered[level] = rate
		}
	}
}

// weightOfOld is the weight that an exponential average over so long a time keeps when the figure of the elapsed time is added.
// Right after the start it is less than the plain decay: an average that started at zero would be too low.
func weightOfOld(averagedOver, elapsed time.Duration) float64 {
	decay := func(d time.Duration) float64 { return math.Exp(-float64(d) / float64(AveragingTimeConstant)) }
	return decay(elapsed) * (1 - decay(averagedOver)) / (1 - decay(averagedOver+elapsed))
}
