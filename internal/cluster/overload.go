package cluster

import (
	"cmp"
	"slices"
	"time"

	"birchstair/policy"
)

// Constants for estimating the rates of the whole cluster from the reports of peers.
const (
	// maxPeerMultiple limits the influence of one peer, so that a node that reports nonsense can't move the threshold
	// far. It is a multiple of this node's own rates or, if that is larger and there are minPeersForMedian peers, of
	// the peers' median.
	maxPeerMultiple = 8
	// minPeersForMedian is the smallest number of peers whose median is meaningful.
	minPeersForMedian = 3
	// minDivisor is the smallest divisor of a ratio, which keeps the ratio finite when a rate is zero.
	minDivisor = 1e-9
)

// Conditions on which the threshold starts and stops rejecting jobs. Utilization is the fraction of the executors'
// capacity that goes into completed work. Pressure is 1 when the cluster loses or delays as much work as is tolerated.
const (
	// overloadedExpiredFraction is the fraction of the finished work that must expire for the cluster to count as
	// overloaded.
	overloadedExpiredFraction = 0.03
	// utilizationToStart is the utilization above which rejections can start. At lower utilization work expires for
	// another reason than lack of capacity, and rejecting jobs would not help.
	utilizationToStart = 0.75
	// utilizationToStop and pressureToStop: rejections end when utilization or pressure falls to its value here.
	utilizationToStop = 0.6
	pressureToStop    = 0.25
	// confirmingFraction is the fraction of the known nodes that must report losses of their own before rejections
	// start, and minConfirmingNodes is their least number. So a single node can't make the cluster reject jobs by
	// reporting losses that no other node has.
	confirmingFraction = 0.25
	minConfirmingNodes = 2
)

// Constants that determine how much work is admitted while the threshold rejects jobs.
const (
	// toleratedExpiredFraction is the tolerated fraction of the finished work that expires. Pressure is 1 when it is reached.
	toleratedExpiredFraction = 0.05
	// toleratedWait is the tolerated average waiting time of jobs, as a fraction of their slack: the time that the latency
	// objective leaves beyond the work. Pressure is 1 when it is reached.
	toleratedWait = 0.4
	// admitHeadroom is the fraction by which the admitted work may grow when there is no pressure.
	admitHeadroom = 0.25
	// minAdmitFactor is the fraction of the completed work that is admitted even under the highest pressure.
	minAdmitFactor = 0.8
	// admittedCapacityFraction is the fraction of the executors' capacity for which work is always admitted. Rejected
	// work gives no evidence of whether it could have been completed.
	admittedCapacityFraction = 0.8
	// negligibleFraction is the fraction of the offered work below which a group of priority levels is ignored.
	negligibleFraction = 0.02
)

// migrationBudget limits the migrated work to a fraction of the completed work.
const migrationBudget = 0.1

// clusterRates estimates the rates of the whole cluster: this node's own, plus those of the peers that reported
// recently, scaled up to the number of all living peers.
func (s *State) clusterRates(now time.Duration) Rates {
	var peers []Rates
	var magnitudes []float64
	for _, name := range s.peers.fresh(now, s.settings.PeerStateTTL) {
		rates := s.peers.states[name].rates
		peers = append(peers, rates)
		magnitudes = append(magnitudes, rates.magnitude())
	}
	sum := Rates{Offered: map[int]float64{}}
	sum.add(s.own.rates, 1)
	if len(peers) == 0 {
		return sum
	}
	scale := max(1, float64(len(s.peers.alive))/float64(len(peers)))
	limit := s.magnitudeLimit(magnitudes)
	for i, rates := range peers {
		sum.add(rates, scale*min(1, cmp.Or(limit, minDivisor)/max(magnitudes[i], minDivisor)))
	}
	return sum
}

// magnitudeLimit returns the largest magnitude for which a single peer's rates count. Larger rates are scaled down to it.
func (s *State) magnitudeLimit(magnitudes []float64) float64 {
	limit := maxPeerMultiple * s.own.rates.magnitude()
	if len(magnitudes) >= minPeersForMedian {
		sorted := slices.Sorted(slices.Values(magnitudes))
		limit = max(limit, maxPeerMultiple*sorted[len(sorted)/2])
	}
	return limit
}

// updateThreshold computes the admission threshold. While the cluster is overloaded, the work that it can admit goes to
// the highest priority levels. Rejections end when the overload ends or when all the offered work is admissible.
func (s *State) updateThreshold(now time.Duration) {
	total := s.clusterRates(now)
	s.threshold = policy.AdmissionThreshold{MigrationDelay: total.migrationDelay()}
	admissible := total.admissible(s.own.capacity)
	s.shedding = total.offered() > admissible && s.overloaded(now, total)
	if s.shedding {
		s.threshold.Level, s.threshold.AdmitFraction = total.thresholdLevel(admissible)
	}
}

// overloaded reports whether jobs should be rejected. Starting to reject takes a heavier overload than continuing to.
func (s *State) overloaded(now time.Duration, total Rates) bool {
	utilization := 0.0
	if s.own.capacity > 0 {
		utilization = total.Completed / s.own.capacity
	}
	if s.shedding && utilization > utilizationToStop && total.pressure() > pressureToStop {
		return true
	}
	return total.expiredFraction() > overloadedExpiredFraction && utilization > utilizationToStart && s.confirmed(now)
}

// confirmed reports whether enough nodes report losses of their own. Known nodes are this one and those that reported
// recently.
func (s *State) confirmed(now time.Duration) bool {
	confirming, known := 0, 1
	if s.own.rates.reportsLosses() {
		confirming++
	}
	for _, name := range s.peers.fresh(now, s.settings.PeerStateTTL) {
		known++
		if s.peers.states[name].rates.reportsLosses() {
			confirming++
		}
	}
	return confirming >= min(known, minConfirmingNodes) && float64(confirming) >= confirmingFraction*float64(known)
}

// reportsLosses reports whether the rates of a single node show enough expired work for an overload.
func (r Rates) reportsLosses() bool {
	return r.Expired > overloadedExpiredFraction*(r.Completed+r.Expired)
}

// expiredFraction returns the fraction of the finished work that expired.
func (r Rates) expiredFraction() float64 {
	if r.Completed+r.Expired > 0 {
		return r.Expired / (r.Completed + r.Expired)
	}
	return 0
}

// pressure returns how much work expires or how long work waits, whichever is worse, as a multiple of what is tolerated.
func (r Rates) pressure() float64 {
	return max(r.expiredFraction()/toleratedExpiredFraction, r.Waiting/max(r.Completed, minDivisor)/toleratedWait)
}

// admissible returns how much work the cluster can admit, given the capacity of its executors.
//
// The base of the estimate is the admitted work up to a pressure of 1. It falls to the completed work at a pressure of
// 2. The completed work alone would be too low a base, because admitted work can also end without completing or
// expiring. Unused capacity is added while pressure is below 1. Otherwise a cluster that once rejected jobs would never
// find out that it could complete more.
func (r Rates) admissible(capacity float64) float64 {
	pressure := r.pressure()
	base := r.Completed + max(0, r.Admitted-r.Completed)*min(1, max(0, 2-pressure))
	unusedCapacity := max(0, capacity-r.Completed) * max(0, 1-pressure)
	work := base*max(minAdmitFactor, 1+admitHeadroom*(1-pressure)) + unusedCapacity
	return max(work, admittedCapacityFraction*capacity)
}

// thresholdLevel distributes the admissible work over the priority levels, highest first. It returns the level whose
// work is admissible only in part, and the fraction of it that is. If nearly all the offered work is of this one level,
// it returns level 0, which rejects nothing: the policy chooses better among jobs of one level, by which of them can
// still be completed in time.
func (r Rates) thresholdLevel(admissible float64) (level int, admitFraction float64) {
	offered := r.offered()
	higher := 0.0
	for level := policy.PriorityLevels - 1; level >= 0; level-- {
		rate := r.Offered[level]
		if rate > admissible {
			if higher+rate < (1-negligibleFraction)*offered || higher > negligibleFraction*offered {
				return level, max(0, admissible/rate)
			}
			return 0, 0
		}
		admissible -= rate
		higher += rate
	}
	return 0, 0
}

// migrationDelay returns how long an attempt waits before it may be migrated, as a fraction of its slack. The delay
// keeps the migrations of the cluster within migrationBudget, and is zero while the nodes want to migrate no more than
// that. It is computed from the migrations that nodes want, not from those that they carried out, so it doesn't
// oscillate.
func (r Rates) migrationDelay() float64 {
	if r.Migrations <= migrationBudget*r.Completed {
		return 0
	}
	return 1 - migrationBudget*r.Completed/r.Migrations
}
