package policy

import (
	"cmp"
	"time"
)

const (
	subsetMinNodes       = 6 // minimum number of nodes for subsetting; fewer nodes use all executors each
	nodesPerExecutor     = 3 // number of nodes that have the same executor in their subsets, if minSubsetSize allows it
	minSubsetSize        = 3 // minimum subset size per required kind, in the own zone and in other zones; doubled with leases
	lateNodesPerExecutor = 2 // number of nodes that send jobs past their objective to the same executor
)

// subset holds the executors that this node uses. Where nodes are many, it is a part of all executors.
type subset struct {
	members     []*executor   // executors in slow start first, then the others by rank, highest first
	previous    []*executor   // members before the last rebuild; their array is reused by the next one
	lateSize    int           // number of members, from the first on, that late jobs of classes with a late value may use
	stale       bool          // the next turn checks whether the subset must be rebuilt
	changed     bool          // something that the subset depends on has changed
	validUntil  time.Duration // time at which the subset is out of date though nothing has changed
	memberMoved bool          // the zone or kind of a member has changed since the last rebuild
}

// recheck makes the next turn rebuild the subset if it is out of date by then.
func (s *subset) recheck() { s.stale = true }

// invalidate makes the next turn rebuild the subset, because something that it depends on has changed.
func (s *subset) invalidate() {
	s.stale = true
	s.changed = true
}

// noteRecovery records that an executor has responded, which changes the subset if it was unresponsive.
func (s *subset) noteRecovery(wasUnresponsive bool) { s.changed = s.changed || wasUnresponsive }

// noteMoved records that the zone or kind of an executor has changed in the endpoint list.
func (s *subset) noteMoved(e *executor) {
	if e.indexed.subsetRank >= 0 {
		s.memberMoved = true
	}
}

// usesSubset reports whether there are enough nodes for each to use only a part of the executors.
func (d *Dispatcher) usesSubset() bool { return d.config.nodeCount >= subsetMinNodes }

// subsetSize returns how many executors this node uses per required kind in its own zone, and likewise in other zones. With
// few nodes that is all of them. Otherwise it is so many that each executor is in the subsets of nodesPerExecutor nodes. If
// crossing zones has no cost, all executors count as being in the own zone.
func (d *Dispatcher) subsetSize() int {
	executors := len(d.endpoints.ranked)
	if !d.usesSubset() {
		return executors
	}
	size := max(minSubsetSize, ceilDiv(nodesPerExecutor*executors, d.config.nodeCount))
	if d.config.canLease {
		size = max(size, 2*minSubsetSize)
	}
	return size
}

// rebuildSubset picks the executors that this node uses: those that rank highest here, per required kind in the own zone and
// in other zones. If many nodes all used all executors, even a quota of one per node would add up to overload.
func (d *Dispatcher) rebuildSubset(now time.Duration) {
	d.subset.stale = false
	if !d.subset.changed && now < d.subset.validUntil {
		return // a rebuild would not change it
	}
	d.subset.lateSize = max(1, ceilDiv(lateNodesPerExecutor*len(d.endpoints.ranked), d.config.nodeCount))
	previous := d.beginSubset()
	means := map[KindID]meanQuota{}
	d.addSlowStarters(now, means)
	d.addRanked(now, d.subsetSize(), means)
	d.finishSubset(previous)
}

// addSlowStarters adds the executors in slow start that this node may use. They are added whatever their rank and in addition
// to subsetSize others, since they do only a part of the work of an executor past slow start.
func (d *Dispatcher) addSlowStarters(now time.Duration, means map[KindID]meanQuota) {
	d.slowStart.dropEnded(now)
	for _, e := range d.slowStart.executors {
		d.limitSubsetValidity(e, now)
		if d.isUsable(e, now) {
			d.addToSubset(e, now, means)
		}
	}
}

// addRanked adds usable executors past slow start in the order of their ranks, until there are size of them per required kind
// in the own zone and in other zones. An executor counts for each required kind that it matches, AnyKind included.
func (d *Dispatcher) addRanked(now time.Duration, size int, means map[KindID]meanQuota) {
	required := d.classes.requiredKinds
	counts := make([]int, 2*len(required)) // counts per kind in the own zone, then counts per kind in other zones
	missing := len(counts)
	for _, e := range d.endpoints.ranked {
		if missing == 0 {
			break
		}
		d.limitSubsetValidity(e, now)
		if now < e.slowStart.until || !d.isUsable(e, now) {
			continue
		}
		added := false
		for i, kind := range required {
			count := &counts[d.remoteSide(e)*len(required)+i]
			if kind != AnyKind && kind != e.kind || *count >= size {
				continue
			}
			added = true
			*count++
			if *count == size {
				missing--
			}
		}
		if added {
			d.addToSubset(e, now, means)
		}
	}
}

// addToSubset adds an executor, and gives it its first tokens if it never had any. Their number is the quota inherited from
// the predecessor process, or else the mean quota of the executor's kind, or else initialQuota. The ages of the tokens are
// random within one interval, so that nodes do not all start with the same executor.
func (d *Dispatcher) addToSubset(e *executor, now time.Duration, means map[KindID]meanQuota) {
	d.subset.members = append(d.subset.members, e)
	if e.tokens.quota > 0 {
		return
	}
	d.fillMeanQuotas(means)
	mean := means[e.kind]
	quota := cmp.Or(e.tokens.inheritedQuota, mean.or(initialQuota))
	means[e.kind] = mean.with(quota)
	d.quota.add(e)
	d.markDirty(e)
	freeSince := make([]time.Duration, quota)
	for i := range freeSince {
		freeSince[i] = now - scaled(d.classes.quotaInterval, d.rng.next())
	}
	e.tokens.begin(freeSince)
}

// beginSubset empties the subset and returns its previous members.
func (d *Dispatcher) beginSubset() []*executor {
	previous := d.subset.members
	for _, e := range previous {
		e.indexed.subsetRank = -1
	}
	d.subset.members = d.subset.previous[:0]
	d.subset.previous = previous
	d.subset.changed = false
	d.subset.memberMoved = false
	d.subset.validUntil = Forever
	return previous
}

// limitSubsetValidity ends the subset's validity at the next time at which something that it depends on changes without an
// event: an ejection or the slow start of e ends, or this process may use executors in slow start.
func (d *Dispatcher) limitSubsetValidity(e *executor, now time.Duration) {
	for _, at := range [...]time.Duration{e.health.ejectedUntil, e.slowStart.until, d.slowStart.blockedUntil} {
		if at > now {
			d.subset.validUntil = min(d.subset.validUntil, at)
		}
	}
}

// finishSubset sets the members' positions, and marks the executors whose entries in the candidate index have to change:
// those that joined or left, and those that have become open or closed to late jobs.
func (d *Dispatcher) finishSubset(previous []*executor) {
	for _, kind := range d.index.kinds {
		kind.localSubset = kind.localSubset[:0]
	}
	for i, e := range d.subset.members {
		if e.indexed.subsetRank >= 0 {
			continue
		}
		e.indexed.subsetRank = i
		g := e.indexed.group
		if e.indexed.positions[keyPace].heap == nil || g == nil || !g.inSubset || (g.load == loadIdleOpen) != (len(e.attempts) == 0 && i < d.subset.lateSize) {
			d.markDirty(e)
		}
		if d.remoteSide(e) == 0 {
			s := d.endpoints.kinds[e.kind].index
			s.localSubset = append(s.localSubset, e)
		}
	}
	for _, e := range previous {
		if e.indexed.subsetRank < 0 {
			d.markDirty(e)
		}
	}
	clear(d.subset.previous[len(d.subset.previous):cap(d.subset.previous)]) // so that dropped executors can be garbage-collected
}

// ceilDiv returns a / b, rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }
