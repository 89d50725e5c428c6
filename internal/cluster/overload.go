package cluster

import (
	"cmp"
	"slices"
	"time"

	"birchstair/policy"
)

// Constants for estimating the rates of the whole cluster from the reports of peers.
const (
	// maxPeerMultiple limits the influence of a single peer, so that a node that reports nonsense can't move the
	// threshold far. The largest magnitude that counts for a peer is maxPeerMultiple times the magnitude of this node's
	// own rates. If at least minPeersForMedian peers report, the median of their magnitudes is used in place of this
	// node's own magnitude if it is larger.
	maxPeerMultiple = 8
	// minPeersForMedian is the smallest number of peers for which the median of their magnitudes is used.
	minPeersForMedian = 3
	// minDivisor is the smallest divisor of a ratio. It keeps the ratio finite when a rate is zero.
	minDivisor = 1e-9
)

// Conditions on which the threshold starts and stops rejecting jobs. Utilization is the completed work as a fraction of
// the executors' capacity. Finished work is the work that was completed or expired. Pressure measures how much work
// expires and how long work waits. It is 1 at the tolerated amount.
const (
	// Rejections start only if, in the cluster, expired work is more than overloadedExpiredFraction of the finished work.
	// A single node counts as reporting losses if its own expired work is more than the same fraction of its finished
	// work.
	overloadedExpiredFraction = 0.03
	// Rejections start only if utilization is above utilizationToStart. At lower utilization, work expires for another
	// reason than lack of capacity, and rejecting jobs would not help.
	utilizationToStart = 0.75
	// Rejections end when utilization falls to utilizationToStop, or pressure to pressureToStop.
	utilizationToStop = 0.6
	pressureToStop    = 0.25
	// Rejections start only if at least confirmingFraction of the known nodes report losses of their own, and at least
	// minConfirmingNodes of them. If fewer nodes than that are known, all must report losses. So a single node can't
	// make the cluster reject jobs by reporting losses that no other node has.
	confirmingFraction = 0.25
	minConfirmingNodes = 2
)

// Constants that determine how much work is admitted while the threshold rejects jobs.
const (
	// toleratedExpiredFraction is the tolerated amount of expired work, as a fraction of the finished work. Pressure is 1
	// when it is reached.
	toleratedExpiredFraction = 0.05
	// toleratedWait is the tolerated average waiting time of jobs, as a fraction of their slack: the time that the latency
	// objective leaves beyond the work. Pressure is 1 when it is reached.
	toleratedWait = 0.4
	// At pressure 0, the base of the estimate of the admissible work is multiplied by 1+admitHeadroom, so that the
	// admitted work can grow.
	admitHeadroom = 0.25
	// However high the pressure, the admissible work is at least minAdmitFactor times the completed work.
	minAdmitFactor = 0.8
	// Work for admittedCapacityFraction of the executors' capacity is always admitted, because rejected work gives no
	// evidence of whether it could have been completed.
	admittedCapacityFraction = 0.8
	// A group of priority levels is ignored if its jobs have at most negligibleFraction of the offered work.
	negligibleFraction = 0.02
)

// migrationBudget limits the work of migrated attempts to this fraction of the completed work.
const migrationBudget = 0.1

// clusterRates estimates the rates of the whole cluster: this node's own rates, plus those of the peers with fresh
// rates. The peers' rates are scaled up to stand for all living peers.
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

// magnitudeLimit returns the largest magnitude that counts for a single peer. The caller scales larger rates down to
// this magnitude.
func (s *State) magnitudeLimit(magnitudes []float64) float64 {
	limit := maxPeerMultiple * s.own.rates.magnitude()
	if len(magnitudes) >= minPeersForMedian {
		sorted := slices.Sorted(slices.Values(magnitudes))
		limit = max(limit, maxPeerMultiple*sorted[len(sorted)/2])
	}
	return limit
}

// updateThreshold computes the admission threshold. While the cluster is overloaded, the work that the cluster can
// admit is given to the highest priority levels. Rejections end when the overload ends, or when all the offered work is
// admissible.
func (s *State) updateThreshold(now time.Duration) {
	total := s.clusterRates(now)
	s.threshold = policy.AdmissionThreshold{MigrationDelay: total.migrationDelay()}
	admissible := total.admissible(s.own.capacity)
	s.shedding = total.offered() > admissible && s.overloaded(now, total)
	if s.shedding {
		s.threshold.Level, s.threshold.AdmitFraction = total.thresholdLevel(admissible)
	}
}

// overloaded reports whether the cluster is so overloaded that jobs should be rejected. Rejections start at a heavier
// overload than the one at which they end.
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

// confirmed reports whether enough of the known nodes report losses of their own. The known nodes are this one and the
// peers with fresh rates.
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

// reportsLosses reports whether a single node loses too much work: whether its expired work is more than
// overloadedExpiredFraction of its completed and expired work.
func (r Rates) reportsLosses() bool {
	return r.Expired > overloadedExpiredFraction*(r.Completed+r.Expired)
}

// expiredFraction returns the expired work as a fraction of the completed and expired work.
func (r Rates) expiredFraction() float64 {
	if r.Completed+r.Expired > 0 {
		return r.Expired / (r.Completed + r.Expired)
	}
	return 0
}

// pressure measures how much work expires and how long work waits. It is 1 at the tolerated amount, and is the larger
// of two ratios. One is expiredFraction, divided by toleratedExpiredFraction. The other is the average wait of jobs as
// a fraction of their slack, divided by toleratedWait.
func (r Rates) pressure() float64 {
	return max(r.expiredFraction()/toleratedExpiredFraction, r.Waiting/max(r.Completed, minDivisor)/toleratedWait)
}

// admissible returns how much work the cluster can admit, given the capacity of its executors.
//
// The estimate starts from a base. Up to pressure 1, the base is the admitted work, or the completed work if that is
// larger. From pressure 1 to 2 it falls linearly to the completed work. The completed work alone would be too low a
// base at low pressure, because admitted work can also end without completing or expiring. While pressure is below 1,
// unused capacity is added. Otherwise a cluster that once rejected jobs would never find out that it could complete
// more.
func (r Rates) admissible(capacity float64) float64 {
	pressure := r.pressure()
	base := r.Completed + max(0, r.Admitted-r.Completed)*min(1, max(0, 2-pressure))
	unusedCapacity := max(0, capacity-r.Completed) * max(0, 1-pressure)
	work := base*max(minAdmitFactor, 1+admitHeadroom*(1-pressure)) + unusedCapacity
	return max(work, admittedCapacityFraction*capacity)
}

// thresholdLevel distributes the admissible work over the priority levels, highest first. It returns the first level
// whose work is admissible only in part, and the admissible fraction of that work. If nearly all the offered work
// belongs to this one level, it returns level 0, which rejects nothing: among jobs of one level, the policy chooses
// better, because it knows which of them can still be completed in time.
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

// migrationDelay returns how long an attempt waits before it is migrated, as a fraction of the attempt's slack. The
// delay keeps the migrations of the cluster within migrationBudget. It is zero while the nodes want to migrate no more
// work than that. It is computed from the migrations that nodes want. Computed from the migrations carried out, it
// would oscillate, because a longer delay leads to fewer migrations.
func (r Rates) migrationDelay() float64 {
	if r.Migrations <= migrationBudget*r.Completed {
		return 0
	}
	return 1 - migrationBudget*r.Completed/r.Migrations
}
