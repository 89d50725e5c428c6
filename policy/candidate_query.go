package policy

import (
	"iter"
	"math"
	"slices"
	"time"
)

// query describes which executors are wanted as candidates for a job.
type query struct {
	*job
	now      time.Duration
	remote   bool    // true: executors with remoteSide 1 (other zones) are wanted; false: those with remoteSide 0
	late     bool    // the job counts as late (isLate)
	forLease bool    // the candidates are wanted for a lease request, not for an attempt
	maxPace  float64 // executors with a higher pace are of no use to the job
	// minAge is the lowest weighted age of a token that is of use to the job. The caller can raise minAge at any time.
	minAge float64
}

// candidates iterates over executors with a token for the query's job. It starts with the bucket that has the highest
// upper bound of a token's age. Every omitted executor is of no use to the job. A yielded executor can be of no use
// too, so the caller evaluates each one by tokenAge.
func (d *Dispatcher) candidates(q *query) iter.Seq[*executor] {
	return func(yield func(*executor) bool) {
		if d.boundToDedupGroup(q.job) && q.class.dedupGroup != DedupZone {
			d.scanRanked(q, yield)
			return
		}
		d.reindexDirty(q.now)
		first := d.mostPromising(q)
		if first == nil || !d.walkBucket(first, 0, q, yield) {
			return
		}
		for g := range d.matchingGroups(q) {
			scale := g.rateScale()
			for i, head := range g.heads {
				b := g.buckets[i]
				if b == first || scale*head.maxAge(q.now) < q.minAge {
					continue
				}
				if !d.walkBucket(b, 0, q, yield) {
					return
				}
			}
		}
	}
}

// scanRanked yields all executors on the query's side (this node's zone or the other zones) in the order of their rank.
// It does not use the index. It serves jobs bound to the dedup group of a cell: the few executors of the cell can be
// outside the subset. The caller skips the executors of other cells (isEligible). Jobs bound to a zone use the index.
func (d *Dispatcher) scanRanked(q *query, yield func(*executor) bool) {
	for _, e := range d.endpoints.ranked {
		d.index.visited++
		if (d.remoteSide(e) > 0) == q.remote && !yield(e) {
			return
		}
	}
}

// mostPromising returns the bucket with the highest upper bound of a token's age, among the groups that match the
// query. It returns nil if no matching group has an executor.
func (d *Dispatcher) mostPromising(q *query) *rateBucket {
	var first *rateBucket
	highest := -1.0
	for g := range d.matchingGroups(q) {
		scale := g.rateScale()
		d.index.bounded += len(g.heads)
		for i, head := range g.heads {
			if age := scale * head.maxAge(q.now); !(age <= highest) { // a bound that is not a number counts as the highest
				first, highest = g.buckets[i], age
			}
		}
	}
	return first
}

// maxPace returns the highest pace at which an executor can still complete j by its objective. It assumes that j starts
// without a wait. For a late job the result is infinite. To allow for rounding errors, the result is slightly too high,
// so tokenAge has to check the executors of lower pace too.
func (j *job) maxPace(now time.Duration, late bool) float64 {
	if late {
		return math.Inf(1)
	}
	return (float64(max(0, j.objectiveAt-now)+2)/j.predictionMargin + 2) / float64(max(1, j.work)) * roundingUp
}

// matchingGroups iterates over the non-empty token groups whose kind and key match the query.
func (d *Dispatcher) matchingGroups(q *query) iter.Seq[*tokenGroup] {
	return func(yield func(*tokenGroup) bool) {
		for _, kind := range d.index.kinds {
			if !q.class.runsOn(kind.id) {
				continue
			}
			for _, g := range kind.groups {
				if len(g.buckets) > 0 && d.matches(g, q) && !yield(g) {
					return
				}
			}
		}
	}
}

// matches reports whether the key of a token group matches the query. It does not check the group's executor kind.
func (d *Dispatcher) matches(g *tokenGroup, q *query) bool {
	lease := leaseReady
	if q.forLease {
		lease = leaseNeeded
	}
	if g.remote != q.remote || g.lease != lease {
		return false
	}
	if d.boundToDedupGroup(q.job) {
		return !q.late || g.load != loadBusy
	}
	if !g.inSubset {
		return false
	}
	return !q.late || g.load == loadIdleOpen || g.load == loadIdleRestricted && q.class.lateValue == 0
}

// walkBucket yields the candidates in a bucket's heap: the executor at index i and its descendants. The oldest token of
// a descendant has been free for at most as long as the executor's. If the executor's token would be below the query's
// minAge even at the bucket's maxRate, so would theirs. The walk then leaves out the executor and its descendants.
// Executors above the query's maxPace are skipped. The result is false if the caller has stopped the iteration.
func (d *Dispatcher) walkBucket(b *rateBucket, i int, q *query, yield func(*executor) bool) bool {
	if i >= len(b.executors) {
		return true
	}
	d.index.visited++
	e := b.executors[i]
	kindPace := b.group.kind.stats.pace
	freeFor := float64(max(0, q.now-e.tokens.free[0]))
	scale := b.group.rateScale()
	if scale*b.maxRate*freeFor < q.minAge {
		return true
	}
	rate := e.currentRate(kindPace)
	if scale*e.indexed.agingRate > rate*(1+3*rateTolerance) {
		d.markDirty(e) // the kind's pace has drifted so far that agingRate is no longer a tight bound
	}
	tooYoung := rate*freeFor < q.minAge
	tooSlow := (e.estimate.runTime+kindPace)/(e.estimate.work+1)*roundingDown > q.maxPace
	if !tooYoung && !tooSlow && !yield(e) {
		return false
	}
	return d.walkBucket(b, 2*i+1, q, yield) && d.walkBucket(b, 2*i+2, q, yield)
}

// anyTokenFor returns false only if the index has no token for j. With forLease, only tokens count for which a lease
// must still be requested. Without forLease, only tokens count that need no lease or have one. For a job bound to a
// dedup group, the result is always true, because executors outside the subset can serve the job too.
func (d *Dispatcher) anyTokenFor(j *job, now time.Duration, forLease bool) bool {
	if d.boundToDedupGroup(j) {
		return true
	}
	d.reindexDirty(now)
	for _, kind := range d.index.kinds {
		if !j.class.runsOn(kind.id) {
			continue
		}
		for _, g := range kind.groups {
			if len(g.buckets) > 0 && g.inSubset && (g.lease == leaseNeeded) == forLease && g.lease != leasePending {
				return true
			}
		}
	}
	return false
}

// anyTokenUsable reports whether any executor has a usable token that needs no lease request.
func (d *Dispatcher) anyTokenUsable(now time.Duration) bool {
	d.reindexDirty(now)
	return slices.ContainsFunc(d.index.kinds, func(kind *kindIndex) bool {
		return slices.ContainsFunc(kind.groups, func(g *tokenGroup) bool { return len(g.buckets) > 0 && g.lease == leaseReady })
	})
}

// runsOn reports whether the jobs of the class can run on executors of the given kind.
func (c *jobClass) runsOn(kind KindID) bool { return c.kind == AnyKind || c.kind == kind }
