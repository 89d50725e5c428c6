package cluster

import (
	"maps"
	"math"
	"time"

	"birchstair/policy"
)

// AveragingTimeConstant is the time constant of the exponential moving averages in Rates.
const AveragingTimeConstant = 1500 * time.Millisecond

const (
	// maxRate is the largest plausible rate, in seconds of work per second. No node could be offered that much work.
	maxRate = 1e7
	// minRate is the smallest offered rate of a priority level that is kept, in seconds of work per second. A level
	// with a lower rate is removed from Rates.Offered.
	minRate = 1e-6
)

// Rates are the load of one node, or the sum over several nodes. Except for Waiting, the fields are moving averages in
// seconds of work on a standard core per second.
type Rates struct {
	Offered   map[int]float64 // work of the jobs that arrived, by priority level, without jobs of low slack
	Admitted  float64         // work of the jobs that arrived and were not shed, without jobs of low slack
	Completed float64         // work of the jobs that were completed
	// Work of the jobs that were given up although they had attempts left, after a wait at the node or at an executor.
	Expired    float64
	Migrations float64 // work of the attempts that would be migrated if migrations were not limited
	// Work of the jobs that wait now, each divided by the job's slack, as a sum. It is neither a rate nor an average.
	Waiting float64
}

// Clone returns a deep copy.
func (r Rates) Clone() Rates {
	r.Offered = maps.Clone(r.Offered)
	return r
}

// valid reports whether all rates are plausible for a node.
func (r Rates) valid() bool {
	plausible := func(rate float64) bool { return rate >= 0 && rate <= maxRate } // false for NaN
	for level, rate := range r.Offered {
		if level < 0 || level >= policy.PriorityLevels || !plausible(rate) {
			return false
		}
	}
	return plausible(r.Admitted) && plausible(r.Completed) && plausible(r.Expired) && plausible(r.Migrations) && plausible(r.Waiting)
}

// offered returns the offered rate, summed over all priority levels. The levels are always added in the same order,
// because the rounding of a sum of floats depends on the order.
func (r Rates) offered() float64 {
	sum := 0.0
	for level := range policy.PriorityLevels {
		sum += r.Offered[level]
	}
	return sum
}

// magnitude returns a single number for the amount of load that a node reports.
func (r Rates) magnitude() float64 { return r.offered() + r.Completed + r.Expired }

// add adds the rates of another node, multiplied by a weight.
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

// ownLoad holds the averaged load of this node.
type ownLoad struct {
	rates        Rates
	averagedOver time.Duration // time that the averages cover, since the start or the last reset
	// Capacity of all available executors on this node's endpoint list, in seconds of work per second.
	capacity float64
}

// reset discards the averages and begins new ones.
func (l *ownLoad) reset() {
	l.averagedOver = 0
	l.rates = Rates{Offered: map[int]float64{}}
}

// add updates the averages with the load since the last call. elapsed is the time since that call.
func (l *ownLoad) add(load policy.LoadSummary, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	averagedBefore := l.averagedOver
	l.averagedOver += elapsed
	oldWeight := weightOfOldAverage(averagedBefore, elapsed)
	average := func(old, sum float64) float64 { return old*oldWeight + sum/elapsed.Seconds()*(1-oldWeight) }
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

// weightOfOldAverage returns the weight that the old average keeps when the value for the elapsed time is added. Soon
// after the start, this weight is smaller than the plain exponential decay. With the plain decay, averages that began
// at zero would stay too low for a while.
func weightOfOldAverage(averagedOver, elapsed time.Duration) float64 {
	decay := func(d time.Duration) float64 { return math.Exp(-float64(d) / float64(AveragingTimeConstant)) }
	return decay(elapsed) * (1 - decay(averagedOver)) / (1 - decay(averagedOver+elapsed))
}
