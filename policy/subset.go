package policy

import (
	"cmp"
	"time"
)

const (
	subsetMinNodes       = 6 // from so many nodes on, each uses a part of the executors
	nodesPerExecutor     = 3 // nodes whose subsets an executor is in, where that leaves each node minSubsetSize of them
	minSubsetSize        = 3 // least executors of a subset, for each side (own zone, others) and required kind; twice as many with leases
	lateNodesPerExecutor = 2 // nodes that send an executor jobs past their objective
)

// subset is the executors that this node uses: where nodes are many, a part of them.
type subset struct {
	members     []*executor // highest rank first, those in slow start before them
	previous    []*executor // the members before, kept for its memory
	lateSize    int         // so many members may be used by jobs past their objective
	stale       bool        // it may have to be rebuilt
	changed     bool        // something that it depends on has changed
	validUntil  time.Duration
	memberMoved bool // a member has another zone or kind than when it was picked
}

// recheck has the next turn rebuild the subset, if it may come out differently by now.
func (s *subset) recheck() { s.stale = true }

// invalidate has the next turn rebuild the subset: something that it depends on has changed.
func (s *subset) invalidate() {
	s.stale = true
	s.changed = true
}

// noteRecovery records that an executor shows a sign of life, which changes the subset if it was unresponsive.
func (s *subset) noteRecovery(wasUnresponsive bool) { s.changed = s.changed || wasUnresponsive }

// noteMoved records that an executor has another zone or kind by the endpoint list.
func (s *subset) noteMoved(e *executor) {
	if e.indexed.subsetRank >= 0 {
		s.memberMoved = true
	}
}

// usesSubset reports whether there are so many nodes that each uses a part of the executors.
func (d *Dispatcher) usesSubset() bool { return d.config.nodeCount >= subsetMinNodes }

// subsetSize returns how many executors of each side and required kind this node uses: all of them, or, where nodes are
// many, so many that each executor is in the subsets of nodesPerExecutor nodes.
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

// rebuildSubset picks the executors that this node uses: those that rank highest here, for each zone side and required
// kind. With many nodes that all used all executors, the least quotas alone would add up to overload.
func (d *Dispatcher) rebuildSubset(now time.Duration) {
	d.subset.stale = false
	if !d.subset.changed && now < d.subset.validUntil {
		return // it would come out the same
	}
	d.subset.lateSize = max(1, ceilDiv(lateNodesPerExecutor*len(d.endpoints.ranked), d.config.nodeCount))
	previous := d.beginSubset()
	means := map[KindID]meanQuota{}
	d.addSlowStarters(now, means)
	d.addRanked(now, d.subsetSize(), means)
	d.finishSubset(previous)
}

// addSlowStarters adds the executors in slow start that this node may use. They come beside the others, whatever their
// rank, since they do a part of their work only.
func (d *Dispatcher) addSlowStarters(now time.Duration, means map[KindID]meanQuota) {
	d.slowStart.dropEnded(now)
	for _, e := range d.slowStart.executors {
		d.limitSubsetValidity(e, now)
		if d.isUsable(e, now) {
			d.addToSubset(e, now, means)
		}
	}
}

// addRanked adds the usable executors past slow start in the order of their ranks, until there are that many on each
// zone side for each required kind. One executor counts for each kind that it is required for.
func (d *Dispatcher) addRanked(now time.Duration, size int, means map[KindID]meanQuota) {
	required := d.classes.requiredKinds
	counts := make([]int, 2*len(required)) // of the local side, then of the remote one
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

// addToSubset adds an executor, and gives it its first tokens if it never had any: as many as a predecessor of this
// process gave it, or the mean quota of its kind, or the design's first quota. The tokens' ages are spread at random over
// one interval, so that nodes do not all start with the same executor.
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

// beginSubset empties the subset and returns its members until now.
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

// limitSubsetValidity limits how long the subset holds to when something that it depends on changes by time alone: an
// ejection or a slow start of e ends, or this process may use executors in slow start.
func (d *Dispatcher) limitSubsetValidity(e *executor, now time.Duration) {
	for _, at := range [...]time.Duration{e.health.ejectedUntil, e.slowStart.until, d.slowStart.blockedUntil} {
		if at > now {
			d.subset.validUntil = min(d.subset.validUntil, at)
		}
	}
}

// finishSubset gives the members their ranks, and has the candidate index take up those that joined, left, or may be used
// by late jobs from now on or no more.
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
		if e.indexed.positions[keyPace].heap == nil || g == nil || !g.inSubset || (g.load == idleOpen) != (len(e.attempts) == 0 && i < d.subset.lateSize) {
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
	clear(d.subset.previous[len(d.subset.previous):cap(d.subset.previous)]) // or what left would be kept in memory
}

// ceilDiv returns a over b, rounded up.
func ceilDiv(a, b int) int { return (a + b - 1) / b }
