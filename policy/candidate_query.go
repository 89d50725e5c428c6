package policy

import (
	"iter"
	"math"
	"slices"
	"time"
)

// query describes the candidates that are wanted for a job.
type query struct {
	*job
	now      time.Duration
	remote   bool    // candidates are in other zones; otherwise they are in the own zone
	late     bool    // the job is past its objective
	forLease bool    // candidates are wanted for a lease request, not for an attempt
	maxPace  float64 // executors with a higher pace are of no use to the job
	minAge   float64 // tokens with a lower weighted age are of no use to the job; the caller may raise it during the iteration
}

// candidates iterates over the executors with a token that the query's job may be able to use. It begins with the bucket that
// has the highest bound of a token's age. The executors that it omits are useless for the job; those that it yields may turn
// out to be.
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

// scanRanked yields all executors on the query's side: in this node's zone, or in the other zones. It is used for jobs
// bound to the dedup group of a cell. The executors of a cell may be outside the subset, and are few, so they are not
// searched for in the index. Jobs bound to a zone use the index.
func (d *Dispatcher) scanRanked(q *query, yield func(*executor) bool) {
	for _, e := range d.endpoints.ranked {
		d.index.visited++
		if (d.remoteSide(e) > 0) == q.remote && !yield(e) {
			return
		}
	}
}

// mostPromising returns the matching bucket with the highest bound of a token's age, or nil if no matching group has an
// executor.
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

// maxPace returns the pace above which an executor can't complete j by its objective even without a wait. It is infinite for a
// job past its objective. It allows for rounding errors, so tokenAge still has to check executors below it.
func (j *job) maxPace(now time.Duration, late bool) float64 {
	if late {
		return math.Inf(1)
	}
	return (float64(max(0, j.objectiveAt-now)+2)/j.predictionMargin + 2) / float64(max(1, j.work)) * roundingUp
}

// matchingGroups iterates over the non-empty groups whose executors may be candidates.
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

// matches reports whether a group's executors may be candidates, whatever their kind.
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

// walkBucket yields the candidates in a bucket's heap from index i downwards. It does not go below an executor for which even
// the bucket's maxRate gives too low a token age, as the tokens below are younger. Executors that are too slow are omitted. It
// returns false if the caller has stopped the iteration.
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
		d.markDirty(e) // the kind's pace has drifted so far that the bound of the rate is no longer tight
	}
	tooYoung := rate*freeFor < q.minAge
	tooSlow := (e.estimate.runTime+kindPace)/(e.estimate.work+1)*roundingDown > q.maxPace
	if !tooYoung && !tooSlow && !yield(e) {
		return false
	}
	return d.walkBucket(b, 2*i+1, q, yield) && d.walkBucket(b, 2*i+2, q, yield)
}

// anyTokenFor reports whether there may be a token that j can use or, with forLease, request a lease for.
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

// anyTokenUsable reports whether there is any usable token that needs no lease request.
func (d *Dispatcher) anyTokenUsable(now time.Duration) bool {
	d.reindexDirty(now)
	return slices.ContainsFunc(d.index.kinds, func(kind *kindIndex) bool {
		return slices.ContainsFunc(kind.groups, func(g *tokenGroup) bool { return len(g.buckets) > 0 && g.lease == leaseReady })
	})
}

// runsOn reports whether the class's jobs may run on executors of a kind.
func (c *jobClass) runsOn(kind KindID) bool { return c.kind == AnyKind || c.kind == kind }
