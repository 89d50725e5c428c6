package policy

import (
	"iter"
	"math"
	"slices"
	"time"
)

// query is what candidates are wanted for.
type query struct {
	*job
	now      time.Duration
	remote   bool    // in other zones, not in the own one
	late     bool    // the job is past its objective
	forLease bool    // a lease is to be requested, not a token used
	maxPace  float64 // an executor with a higher pace is of no use
	minAge   float64 // nor is a token of a lower age; the caller may raise it while it goes through the candidates
}

// candidates gives the executors with an open token that the query's job may be able to use, the one with the highest
// bound first. What it leaves out is of no use by a bound; what it gives may be of no use, too.
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

// scanRanked gives all executors of the query's side: a dedup group may be anywhere, and is small.
func (d *Dispatcher) scanRanked(q *query, yield func(*executor) bool) {
	for _, e := range d.endpoints.ranked {
		d.index.visited++
		if (d.remoteSide(e) > 0) == q.remote && !yield(e) {
			return
		}
	}
}

// mostPromising is the bucket with the highest bound of a token's age, nil where none has an executor.
func (d *Dispatcher) mostPromising(q *query) *rateBucket {
	var first *rateBucket
	highest := -1.0
	for g := range d.matchingGroups(q) {
		scale := g.rateScale()
		d.index.bounded += len(g.heads)
		for i, head := range g.heads {
			if age := scale * head.maxAge(q.now); !(age <= highest) { // a NaN counts as the highest
				first, highest = g.buckets[i], age
			}
		}
	}
	return first
}

// maxPace is a pace with which no executor could answer j in time, however short the wait; for a job past its objective any
// pace is good enough. It leaves room for rounding: tokenAge says whether one really can.
func (j *job) maxPace(now time.Duration, late bool) float64 {
	if late {
		return math.Inf(1)
	}
	return (float64(max(0, j.objectiveAt-now)+2)/j.predictionMargin + 2) / float64(max(1, j.work)) * roundingUp
}

// matchingGroups gives the groups whose executors may be candidates.
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

// matches says whether a group's executors may be candidates.
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

// walkBucket gives the candidates of a bucket's heap from index i downwards. Below an executor whose token is too young all
// are; one that is too slow is left out. It returns false once the caller wants no more.
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
		d.markDirty(e) // its kind's pace has drifted: the bound would get looser and looser
	}
	tooYoung := rate*freeFor < q.minAge
	tooSlow := (e.estimate.runTime+kindPace)/(e.estimate.work+1)*roundingDown > q.maxPace
	if !tooYoung && !tooSlow && !yield(e) {
		return false
	}
	return d.walkBucket(b, 2*i+1, q, yield) && d.walkBucket(b, 2*i+2, q, yield)
}

// anyTokenFor says whether any token is open that j might use or, forLease, request a lease for.
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

// anyTokenUsable says whether any token is open at all, for whatever job.
func (d *Dispatcher) anyTokenUsable(now time.Duration) bool {
	d.reindexDirty(now)
	return slices.ContainsFunc(d.index.kinds, func(kind *kindIndex) bool {
		return slices.ContainsFunc(kind.groups, func(g *tokenGroup) bool { return len(g.buckets) > 0 && g.lease == leaseReady })
	})
}

// runsOn says whether the class's jobs may run on executors of a kind.
func (c *jobClass) runsOn(kind KindID) bool { return c.kind == AnyKind || c.kind == kind }
