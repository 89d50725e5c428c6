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
	now            time.Duration
	remote         bool    // in another zone
	late, forLease bool    // it is late; a keeper is to be asked
	maxPace        float64 // a higher pace is no use
	minAge         float64 // nor is a lower age
}

// candidates gives executors with an open token that may be of use, by bounds alone: what it leaves out is of none.
func (d *Dispatcher) candidates(w *query) iter.Seq[*executor] {
	return func(yield func(*executor) bool) {
		if d.boundToDedupGroup(w.job) && w.class.dedupGroup != DedupZone {
			for _, e := range d.endpoints.ranked {
				d.index.visited++
				if (d.remoteSide(e) > 0) == w.remote && !yield(e) {
					return
				}
			}
			return
		}
		d.reindexDirty(w.now)
		var first *rateBucket
		oldest := -1.0
		for g := range d.matchingGroups(w) {
			scale := g.rateScale()
			d.index.bounded += len(g.heads)
			for i, h := range g.heads {
				if age := scale * h.maxAge(w.now); !(age <= oldest) {
					first, oldest = g.buckets[i], age
				}
			}
		}
		if first == nil || !d.walkBucket(first, 0, w, yield) {
			return
		}
		for g := range d.matchingGroups(w) {
			scale := g.rateScale()
			for i, h := range g.heads {
				if t := g.buckets[i]; t != first && !(scale*h.maxAge(w.now) < w.minAge) && !d.walkBucket(t, 0, w, yield) {
					return
				}
			}
		}
	}
}

// maxPace is the pace with which no executor could answer j in time, however short the wait; any is good for
// a late one. It has room for rounding: whether one can is judged by age.
func (j *job) maxPace(now time.Duration, late bool) float64 {
	if late {
		return math.Inf(1)
	}
	return (float64(max(0, j.objectiveAt-now)+2)/j.predictionMargin + 2) / float64(max(1, j.work)) * roundingUp
}

// matchingGroups gives the groups whose executors may be candidates at all.
func (d *Dispatcher) matchingGroups(w *query) iter.Seq[*tokenGroup] {
	return func(yield func(*tokenGroup) bool) {
		for _, s := range d.index.kinds {
			if w.class.kind != AnyKind && w.class.kind != s.id {
				continue
			}
			for _, g := range s.groups {
				if len(g.buckets) > 0 && d.matches(g, w) && !yield(g) {
					return
				}
			}
		}
	}
}

// matches says whether a group's executors may be candidates at all.
func (d *Dispatcher) matches(g *tokenGroup, w *query) bool {
	keeper := leaseReady
	if w.forLease {
		keeper = leaseNeeded
	}
	if g.remote != w.remote || g.lease != keeper {
		return false
	}
	if d.boundToDedupGroup(w.job) {
		return !w.late || g.load != loadBusy
	}
	return g.inSubset && (!w.late || g.load == loadSpare || g.load == loadIdle && w.class.lateValue == 0)
}

// walkBucket goes through a step from its i-th on, and leaves out what is too young, with all that is younger, or too slow.
func (d *Dispatcher) walkBucket(t *rateBucket, i int, w *query, yield func(*executor) bool) bool {
	if i >= len(t.executors) {
		return true
	}
	d.index.visited++
	e, k := t.executors[i], t.group.kind.stats.pace
	age := float64(max(0, w.now-e.tokens.free[0]))
	scale := t.group.rateScale()
	if scale*t.maxRate*age < w.minAge {
		return true
	}
	rate := e.tightRate(k)
	if scale*e.indexed.agingRate > rate*(1+3*rateTolerance) { // its kind's pace has drifted: guards against bounds that are ever looser
		d.markDirty(e)
	}
	if !(rate*age < w.minAge) && !((e.estimate.runTime+k)/(e.estimate.work+1)*roundingDown > w.maxPace) && !yield(e) {
		return false
	}
	return d.walkBucket(t, 2*i+1, w, yield) && d.walkBucket(t, 2*i+2, w, yield)
}

// anyTokenFor says whether any token is open that j may use: without one there is nothing to look for.
func (d *Dispatcher) anyTokenFor(j *job, now time.Duration, asks bool) bool {
	if d.boundToDedupGroup(j) {
		return true
	}
	d.reindexDirty(now)
	for _, s := range d.index.kinds {
		if j.class.kind != AnyKind && j.class.kind != s.id {
			continue
		}
		for _, g := range s.groups {
			if len(g.buckets) > 0 && g.inSubset && (g.lease == leaseNeeded) == asks && g.lease != leasePending {
				return true
			}
		}
	}
	return false
}

// anyTokenOpen says whether any token is open at all, to whatever is held.
func (d *Dispatcher) anyTokenOpen(now time.Duration) bool {
	d.reindexDirty(now)
	return slices.ContainsFunc(d.index.kinds, func(s *kindIndex) bool {
		return slices.ContainsFunc(s.groups, func(g *tokenGroup) bool { return len(g.buckets) > 0 && g.lease == leaseReady })
	})
}
