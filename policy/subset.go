package policy

import (
	"cmp"
	"time"
)

const (
	subsetMinNodes = 6 // minimum number of nodes for subsetting; in a smaller cluster, each node uses all executors
	// Mean number of nodes that have the same executor in their subsets. The mean is higher if minSubsetSize makes the
	// subsets larger.
	nodesPerExecutor = 3
	// Minimum size of a subset: this number of executors per required kind in the own zone, and as many in other zones.
	// If slots are leased, both numbers are doubled.
	minSubsetSize = 3
	// Mean number of nodes that can send late jobs to the same executor. Jobs that yield nothing after their objective
	// (lateValue 0) are not limited by this.
	lateNodesPerExecutor = 2
)

// subset holds the executors that this node uses. In a large cluster, these are only some of all executors.
type subset struct {
	members  []*executor // members of the subset: executors in slow start first, then the others, highest rank first
	previous []*executor // members before the last rebuild; the next rebuild reuses the array of this slice
	// Number of members, counted from the first one, that late jobs can use. Jobs that yield nothing after their
	// objective (lateValue 0) are not limited by this.
	lateSize    int
	stale       bool          // the next turn checks whether the subset must be rebuilt
	changed     bool          // something that the subset depends on has changed since the last rebuild
	validUntil  time.Duration // time from which the subset is out of date even if no event has changed it
	memberMoved bool          // the zone or kind of a member has changed since the last rebuild
}

// recheck marks the subset as possibly out of date: the next turn checks it and rebuilds it if needed.
func (s *subset) recheck() { s.stale = true }

// invalidate marks the subset as out of date, because something that it depends on has changed: the next turn rebuilds
// it.
func (s *subset) invalidate() {
	s.stale = true
	s.changed = true
}

// noteRecovery records that an executor has responded. If the executor was unresponsive, the subset is out of date,
// because the executor is usable again.
func (s *subset) noteRecovery(wasUnresponsive bool) { s.changed = s.changed || wasUnresponsive }

// noteMoved records that the zone or kind of an executor has changed in the endpoint list.
func (s *subset) noteMoved(e *executor) {
	if e.indexed.subsetRank >= 0 {
		s.memberMoved = true
	}
}

// usesSubset reports whether there are enough nodes for subsetting: each node then uses only some of the executors.
func (d *Dispatcher) usesSubset() bool { return d.config.nodeCount >= subsetMinNodes }

// subsetSize returns how many executors this node uses per required kind in its own zone, and how many in other zones.
// In a small cluster, that is all executors. In a large one, each executor is in the subsets of nodesPerExecutor nodes on
// average. The result is at least minSubsetSize, or twice that if slots are leased. If crossing zones has no cost, all
// executors count as being in the own zone.
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

// rebuildSubset picks the executors that this node uses, if the subset is out of date. For each required kind, these
// are the executors that rank highest at this node, in the own zone and again in other zones. If each of many nodes
// used all executors, even a quota of one per node would add up to overload.
func (d *Dispatcher) rebuildSubset(now time.Duration) {
	d.subset.stale = false
	if !d.subset.changed && now < d.subset.validUntil {
		// A rebuild would not change the subset.
		return
	}
	d.subset.lateSize = max(1, ceilDiv(lateNodesPerExecutor*len(d.endpoints.ranked), d.config.nodeCount))
	previous := d.beginSubset()
	means := map[KindID]meanQuota{}
	d.addSlowStarters(now, means)
	d.addRanked(now, d.subsetSize(), means)
	d.finishSubset(previous)
}

// addSlowStarters adds the executors in slow start that this node is allowed to use, whatever their rank. They are not
// counted for subsetSize, because an executor in slow start does less work than one past slow start.
func (d *Dispatcher) addSlowStarters(now time.Duration, means map[KindID]meanQuota) {
	d.slowStart.dropEnded(now)
	for _, e := range d.slowStart.executors {
		d.limitSubsetValidity(e, now)
		if d.isUsable(e, now) {
			d.addToSubset(e, now, means)
		}
	}
}

// addRanked adds usable executors past slow start in the order of their ranks. It stops when it has found the given
// number of executors per required kind in the own zone, and the same number in other zones. An executor is counted for
// each required kind that it matches, AnyKind included.
func (d *Dispatcher) addRanked(now time.Duration, size int, means map[KindID]meanQuota) {
	required := d.classes.requiredKinds
	// Numbers of executors added: first per kind in the own zone, then per kind in other zones.
	counts := make([]int, 2*len(required))
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

// addToSubset adds an executor to the subset. If the executor never had tokens, it gets its first ones. Their number is
// the quota inherited from the predecessor process, or else the mean quota of the executor's kind, or else
// initialQuota. The ages of the tokens are random within one quota interval, so that nodes do not all start with the
// same executor.
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

// limitSubsetValidity limits the subset's validity to the next time at which it can change without an event. That is
// the end of e's ejection or slow start, or the time from which this process is allowed to use executors in slow start.
func (d *Dispatcher) limitSubsetValidity(e *executor, now time.Duration) {
	for _, at := range [...]time.Duration{e.health.ejectedUntil, e.slowStart.until, d.slowStart.blockedUntil} {
		if at > now {
			d.subset.validUntil = min(d.subset.validUntil, at)
		}
	}
}

// finishSubset sets the positions of the subset's members. It also marks the executors whose entries in the candidate
// index have to change. These are the executors that joined or left the subset, and those that became open to late jobs
// or are so no longer.
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
	// Clear the unused rest of the array, so that executors that left the subset can be garbage-collected.
	clear(d.subset.previous[len(d.subset.previous):cap(d.subset.previous)])
}

// ceilDiv returns a / b, rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }
