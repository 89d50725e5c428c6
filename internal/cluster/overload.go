package cluster

import (
	"cmp"
	"slices"
	"time"

	"birchstair/policy"
)

// How the fleet's rates are estimated from the reports of peers.
const (
	// maxPeerMultiple bounds what one peer counts for, as a multiple of the larger of this node's own rates and, from
	// minPeersForMedian peers on, their median: a node that reports nonsense can move the threshold only within that.
	maxPeerMultiple = 8
	// minPeersForMedian is the number of peers from which on a median is meaningful.
	minPeersForMedian = 3
	// minDivisor keeps ratios finite when a rate is zero.
	minDivisor = 1e-9
)

// When the threshold begins and ceases to reject jobs. Utilization is completed work as a share of the executors' capacity;
// pressure is 1 when the fleet loses or delays as much work as is tolerated.
const (
	// overloadedExpiredShare is the share of work expired above which the fleet is overloaded.
	overloadedExpiredShare = 0.03
	// utilizationToStart is the utilization that an overload must have. Below it work is lost to something other than want of
	// capacity, which rejecting jobs does not cure.
	utilizationToStart = 0.75
	// utilizationToStop and pressureToStop: at or below either of them, rejections end.
	utilizationToStop = 0.6
	pressureToStop    = 0.25
	// confirmingShare is the share of the known nodes that must see losses themselves, minConfirming the least number. A
	// single node can't make the fleet reject jobs by reporting losses that nobody else has.
	confirmingShare = 0.25
	minConfirming   = 2
)

// How much work is admitted while the threshold rejects jobs.
const (
	// toleratedExpiredShare is the share of work expired at which pressure is 1.
	toleratedExpiredShare = 0.05
	// toleratedWait is the share of the time it has left that work may wait; pressure is 1 there.
	toleratedWait = 0.4
	// admitHeadroom is the share by which more work is admitted than is completed when there is no pressure.
	admitHeadroom = 0.25
	// minAdmitFactor is the share of the completed work that is admitted under any pressure.
	minAdmitFactor = 0.8
	// admittedCapacityShare is the share of the executors' capacity that is always admitted: rejected work can't show that it
	// could have been completed.
	admittedCapacityShare = 0.8
	// negligibleShare is the share of the offered work below which a group of priority levels is ignored.
	negligibleShare = 0.02
)

// migrationBudget is the share of the completed work that may be migrated.
const migrationBudget = 0.1

// fleetRates estimates the rates of the whole fleet: this node's own, and those of the fresh peers scaled up to all living
// ones.
func (f *State) fleetRates(now time.Duration) Rates {
	var peers []Rates
	var magnitudes []float64
	for _, name := range f.peers.fresh(now, f.settings.PeerStateTTL) {
		rates := f.peers.states[name].rates
		peers = append(peers, rates)
		magnitudes = append(magnitudes, rates.magnitude())
	}
	sum := Rates{Offered: map[int]float64{}}
	sum.add(f.own.rates, 1)
	if len(peers) == 0 {
		return sum
	}
	scale := max(1, float64(len(f.peers.alive))/float64(len(peers)))
	limit := f.magnitudeLimit(magnitudes)
	for i, rates := range peers {
		sum.add(rates, scale*min(1, cmp.Or(limit, minDivisor)/max(magnitudes[i], minDivisor)))
	}
	return sum
}

// magnitudeLimit is the most that a single peer's rates may add up to.
func (f *State) magnitudeLimit(magnitudes []float64) float64 {
	limit := maxPeerMultiple * f.own.rates.magnitude()
	if len(magnitudes) >= minPeersForMedian {
		sorted := slices.Sorted(slices.Values(magnitudes))
		limit = max(limit, maxPeerMultiple*sorted[len(sorted)/2])
	}
	return limit
}

// updateThreshold computes the admission threshold. While the fleet is overloaded, the work that it can admit goes to the
// highest priority levels. Rejections start when the fleet is overloaded and end when all that is offered is admissible.
func (f *State) updateThreshold(now time.Duration) {
	fleet := f.fleetRates(now)
	f.threshold = policy.AdmissionThreshold{MigrationDelay: fleet.migrationDelay()}
	admissible := fleet.admissible(f.own.capacity)
	f.shedding = fleet.offered() > admissible && f.overloaded(now, fleet)
	if f.shedding {
		f.threshold.Level, f.threshold.AdmitFraction = fleet.thresholdLevel(admissible)
	}
}

// overloaded reports whether jobs should be rejected, by a higher bar if none are rejected now.
func (f *State) overloaded(now time.Duration, fleet Rates) bool {
	utilization := 0.0
	if f.own.capacity > 0 {
		utilization = fleet.Completed / f.own.capacity
	}
	if f.shedding && utilization > utilizationToStop && fleet.pressure() > pressureToStop {
		return true
	}
	return fleet.expiredShare() > overloadedExpiredShare && utilization > utilizationToStart && f.confirmed(now)
}

// confirmed reports whether enough nodes see losses themselves.
func (f *State) confirmed(now time.Duration) bool {
	confirming, known := 0, 1
	if f.own.rates.seesLosses() {
		confirming++
	}
	for _, name := range f.peers.fresh(now, f.settings.PeerStateTTL) {
		known++
		if f.peers.states[name].rates.seesLosses() {
			confirming++
		}
	}
	return confirming >= min(known, minConfirming) && float64(confirming) >= confirmingShare*float64(known)
}

// seesLosses reports whether a node alone loses enough work to be overloaded.
func (r Rates) seesLosses() bool { return r.Expired > overloadedExpiredShare*(r.Completed+r.Expired) }

// expiredShare is the share of the finished work that expired.
func (r Rates) expiredShare() float64 {
	if r.Completed+r.Expired > 0 {
		return r.Expired / (r.Completed + r.Expired)
	}
	return 0
}

// pressure is how much work is lost or delayed, as a multiple of what is tolerated.
func (r Rates) pressure() float64 {
	return max(r.expiredShare()/toleratedExpiredShare, r.Waiting/max(r.Completed, minDivisor)/toleratedWait)
}

// admissible is how much work the fleet can admit, given the capacity of its executors.
//
// The base is the admitted work while pressure is tolerable, and the completed work beyond that: admitted work that ends
// otherwise must not lower the base. Spare capacity is added while there is little pressure, or a fleet that once rejected jobs
// would never see that it could do more.
func (r Rates) admissible(capacity float64) float64 {
	pressure := r.pressure()
	base := r.Completed + max(0, r.Admitted-r.Completed)*min(1, max(0, 2-pressure))
	spare := max(0, capacity-r.Completed) * max(0, 1-pressure)
	work := base*max(minAdmitFactor, 1+admitHeadroom*(1-pressure)) + spare
	return max(work, admittedCapacityShare*capacity)
}

// thresholdLevel distributes the admissible work over the priority levels, highest first. It returns the level that gets only
// a part, and that part. If this level is practically all that is offered, it returns level 0: the policy can tell better which
// jobs of one level to reject, by what can still be completed in time.
func (r Rates) thresholdLevel(admissible float64) (level int, admitFraction float64) {
	offered := r.offered()
	higher := 0.0
	for level := policy.PriorityLevels - 1; level >= 0; level-- {
		rate := r.Offered[level]
		if rate > admissible {
			if higher+rate < (1-negligibleShare)*offered || higher > negligibleShare*offered {
				return level, max(0, admissible/rate)
			}
			return 0, 0
		}
		admissible -= rate
		higher += rate
	}
	return 0, 0
}

// migrationDelay is how long an attempt waits before it may be migrated, as a share of the time it has left. It keeps the
// migrations of the fleet within their budget, and is zero while all that nodes want is within it. It depends on what nodes
// want, not on what they did, so it doesn't oscillate.
func (r Rates) migrationDelay() float64 {
	if r.Migrations <= migrationBudget*r.Completed {
		return 0
	}
	return 1 - migrationBudget*r.Completed/r.Migrations
}
