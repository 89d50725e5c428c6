package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	subsetMinNodes    = 6 // from so many nodes on, each uses a part of the executors
	subsetSharers     = 3 // nodes whose subsets an executor is in, where that leaves each node minSubsetSize of them
	minSubsetSize     = 3 // least executors of a subset, for each side (own zone, others) and required kind; twice as many with leases
	lateSubsetSharers = 2 // nodes that send an executor jobs past their objective
)

// subset is the executors that this node uses: where nodes are many, a part of all.
type subset struct {
	members    []*executor // highest rank first, those in slow start before them
	previous   []*executor // the members before, kept for its memory
	lateSize   int         // so many members may be used by jobs past their objective
	stale      bool        // it may have to be rebuilt
	changed    bool        // something that it depends on has changed
	validUntil time.Duration
	rezoned    bool // a member has another zone or kind than when it was picked
}

// recheck has the next turn rebuild the subset, if it may come out differently by now.
func (s *subset) recheck() { s.stale = true }

// invalidate has the next turn rebuild the subset: something that it depends on has changed.
func (s *subset) invalidate() {
	s.stale = true
	s.changed = true
}

// usesSubset says whether the nodes are so many that one can't use all executors: then it uses a part of them.
func (d *Dispatcher) usesSubset() bool { return d.config.nodeCount >= subsetMinNodes }

// rebuildSubset picks the executors that this node uses: where it can't use all, those that rank highest, in its
// own zone and beyond it, for each bound kind. Guards against many nodes, whose least quotas add up to a jam.
func (d *Dispatcher) rebuildSubset(now time.Duration) {
	size := len(d.endpoints.ranked)
	if d.subset.stale = false; !d.subset.changed && now < d.subset.validUntil { // it would come out the same
		return
	}
	d.subset.lateSize = max(1, (lateSubsetSharers*size+d.config.nodeCount-1)/d.config.nodeCount)
	if d.usesSubset() {
		size = max(minSubsetSize, (subsetSharers*size+d.config.nodeCount-1)/d.config.nodeCount)
		if d.config.canLease {
			size = max(size, 2*minSubsetSize)
		}
	}
	was := d.beginSubset()
	defer func() { d.finishSubset(was) }()
	// Cold ones that this node carries stand beside the others, whatever their rank: they do part of their work.
	d.slowStart.dropEnded(now)
	means := map[KindID]meanQuota{}
	for _, e := range d.slowStart.executors {
		if d.limitSubsetValidity(e, now); d.isUsable(e, now) {
			d.addToSubset(e, now, means)
		}
	}
	counts := make([]int, 2*len(d.classes.requiredKinds))
	missing := len(counts)
	for _, e := range d.endpoints.ranked {
		if missing == 0 {
			break
		}
		near := false
		d.limitSubsetValidity(e, now)
		for i, need := range d.classes.requiredKinds {
			n := &counts[d.remoteSide(e)*len(d.classes.requiredKinds)+i]
			if now < e.slowStart.until || !d.isUsable(e, now) || need != AnyKind && need != e.kind || *n >= size {
				continue
			}
			near = true
			if *n++; *n == size {
				missing--
			}
		}
		if near {
			d.addToSubset(e, now, means)
		}
	}
}

// addToSubset takes an executor into the slice and gives it its first tokens: its slice's mean quota, or the
// design's start. Their ages are strewn so that nodes don't start on the same one.
func (d *Dispatcher) addToSubset(e *executor, now time.Duration, means map[KindID]meanQuota) {
	d.subset.members = append(d.subset.members, e)
	if e.tokens.quota > 0 {
		return
	}
	d.fillMeanQuotas(means)
	m := means[e.kind]
	e.tokens.quota = cmp.Or(e.tokens.inheritedQuota, m.or(initialQuota))
	means[e.kind] = m.with(e.tokens.quota)
	d.quota.add(e)
	d.markDirty(e)
	for range e.tokens.quota {
		e.tokens.free = append(e.tokens.free, now-scaled(d.classes.quotaInterval, d.rng.next()))
	}
	slices.Sort(e.tokens.free)
}

// beginSubset begins the slice anew, and gives the one before.
func (d *Dispatcher) beginSubset() []*executor {
	was := d.subset.members
	for _, e := range was {
		e.indexed.subsetRank = -1
	}
	d.subset.members, d.subset.previous = d.subset.previous[:0], was
	d.subset.changed, d.subset.rezoned, d.subset.validUntil = false, false, Forever
	return was
}

// limitSubsetValidity books until when an executor that the slice was picked by stands as it does, if nothing else comes.
func (d *Dispatcher) limitSubsetValidity(e *executor, now time.Duration) {
	for _, at := range [...]time.Duration{e.health.ejectedUntil, e.slowStart.until, d.slowStart.reservedUntil} {
		if at > now {
			d.subset.validUntil = min(d.subset.validUntil, at)
		}
	}
}

// finishSubset gives the slice's executors their places, and files those that came, went or are for late ones no more.
func (d *Dispatcher) finishSubset(was []*executor) {
	for _, s := range d.index.kinds {
		s.localSubset = s.localSubset[:0]
	}
	for i, e := range d.subset.members {
		if e.indexed.subsetRank >= 0 {
			continue
		}
		e.indexed.subsetRank = i
		g := e.indexed.group
		if e.indexed.positions[keyPace].heap == nil || g == nil || !g.inSubset || (g.load == loadSpare) != (len(e.attempts) == 0 && i < d.subset.lateSize) {
			d.markDirty(e)
		}
		if d.remoteSide(e) == 0 {
			s := d.endpoints.kinds[e.kind].index
			s.localSubset = append(s.localSubset, e)
		}
	}
	for _, e := range was {
		if e.indexed.subsetRank < 0 {
			d.markDirty(e)
		}
	}
	clear(d.subset.previous[len(d.subset.previous):cap(d.subset.previous)]) // what is gone is not to be kept
}
