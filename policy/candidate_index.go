package policy

import (
	"maps"
	"math"
	"time"
)

const (
	rateBucketsPerE = 256       // rate buckets for each factor of e
	roundingUp      = 1 + 1e-9  // room for rounding in an upper bound: an equal candidate must not be cut off
	roundingDown    = 1 - 1e-12 // likewise in the lower bound of a pace
	rateTolerance   = 1.0 / 512 // by which a rate may be too high as its kind's pace drifts
	maxPaceDrift    = 1.0 / 8   // by which that pace may drift before its executors are indexed anew
)

// How busy an executor is, as far as jobs past their objective are concerned.
const (
	loadSpare = iota // no attempt of ours is out, and late jobs may use it
	loadIdle         // no attempt of ours is out
	loadBusy
)

// Whether a lease allows a token to be used.
const (
	leaseNeeded  = iota // none was requested
	leaseReady          // it is granted, or none is needed
	leasePending        // it is requested
)

// indexEntry is where the candidate index has an executor.
type indexEntry struct {
	subsetRank int // among the subset's members; -1: not a member
	dirty      bool
	group      *tokenGroup
	positions  [keyKinds]heapPosition
	agingRate  float64 // the highest rate at which its tokens age, while its kind's pace keeps to paceLimit
	paceLimit  float64
}

// kindIndex is a kind's part of the index.
type kindIndex struct {
	id             KindID
	stats          *kindStats
	maxConcurrency int // the most places that bounds are reckoned with: no fewer than the kind has now
	groups         []*tokenGroup
	paceFloors     executorHeap                                           // whose rates hold while the kind's pace is not under a floor, the highest first
	paceCeilings   executorHeap                                           // and not over a top, the lowest first
	paceBuckets    [evenPaceBuckets + halvingPaceBuckets + 1]executorHeap // the last one's have no pace of their own
	localSubset    []*executor                                            // the slice's of the own zone, as it was picked last
}

// groupKey is what all of a group have alike.
type groupKey struct {
	remote     bool
	inSubset   bool
	load       int
	lease      int
	normalized bool // rates are for a pace of the kind of 1
}

// tokenGroup holds the open tokens of executors of one sort, by steps of their rates.
type tokenGroup struct {
	groupKey
	kind          *kindIndex
	bucketsByRate map[int]*rateBucket
	buckets       []*rateBucket // those that are not empty
	heads         []bucketHead  // and what a bound for each is reckoned from
}

// rateBucket is the executors of a group whose rates are nearly alike.
type rateBucket struct {
	executorHeap
	group    *tokenGroup
	maxRate  float64 // no rate is higher
	position int     // in the group's list; -1 while it is empty
}

type bucketHead struct {
	maxRate    float64
	oldestFree int64
}

// candidateIndex is what the dispatcher keeps of all kinds.
type candidateIndex struct {
	kinds           []*kindIndex
	expiries        executorHeap      // entries that hold for a while only, by when they cease to
	dirty           []*executor       // to be indexed anew
	classCandidates []classCandidates // of the part of the queue that is looked through

	// Work done, for tests.
	visited   int // executors looked at
	bounded   int // buckets whose bounds were
	evaluated int // executors evaluated in full
	reindexed int // times that an open token was indexed anew
}

// addKindIndex makes room in the index for a kind.
func (d *Dispatcher) addKindIndex(id KindID, k *kindStats) {
	s := &kindIndex{id: id, stats: k, maxConcurrency: k.concurrency, paceFloors: executorHeap{keyKind: keyPaceDrift}, paceCeilings: executorHeap{keyKind: keyPaceDrift}}
	for i := range s.paceBuckets {
		s.paceBuckets[i].keyKind = keyPace
	}
	k.index = s
	d.index.kinds = append(d.index.kinds, s)
}

// markDirty has an executor filed anew, as something changed that its place hangs on.
func (d *Dispatcher) markDirty(e *executor) {
	if !e.indexed.dirty {
		e.indexed.dirty = true
		d.index.dirty = append(d.index.dirty, e)
	}
}

func (d *Dispatcher) markAllDirty(list []*executor) {
	for _, e := range list {
		d.markDirty(e)
	}
}

// reindexDirty files what was touched, and what has stood longer than its bound holds.
func (d *Dispatcher) reindexDirty(now time.Duration) {
	for _, s := range d.index.kinds {
		if s.stats.concurrency > s.maxConcurrency {
			d.setMaxConcurrency(s)
		}
		for e := s.paceFloors.min(); e != nil && e.indexed.paceLimit > s.stats.pace; e = s.paceFloors.min() {
			d.reindex(e, now)
		}
		for e := s.paceCeilings.min(); e != nil && e.indexed.paceLimit < s.stats.pace; e = s.paceCeilings.min() {
			d.reindex(e, now)
		}
	}
	for e := d.index.expiries.min(); e != nil && e.indexed.positions[keyExpiry].key <= int64(now); e = d.index.expiries.min() {
		d.reindex(e, now)
	}
	for _, e := range d.index.dirty {
		e.indexed.dirty = false
		d.reindex(e, now)
	}
	d.index.dirty = d.index.dirty[:0]
}

// resetMaxConcurrency lets the most places of the kinds fall to what they are now, at an interval's end.
func (d *Dispatcher) resetMaxConcurrency() {
	for _, s := range d.index.kinds {
		if s.maxConcurrency != s.stats.concurrency {
			d.setMaxConcurrency(s)
		}
	}
}

// setMaxConcurrency takes the places of a kind as they are now, which all its bounds hang on.
func (d *Dispatcher) setMaxConcurrency(s *kindIndex) {
	s.maxConcurrency = s.stats.concurrency
	d.markAllDirty(s.paceFloors.executors)
	d.markAllDirty(s.paceCeilings.executors)
}

// reindex files an executor as it is now.
func (d *Dispatcher) reindex(e *executor, now time.Duration) {
	s := d.endpoints.kinds[e.kind].index
	d.indexPace(e, s)
	old := e.indexed.positions[keyTokenAge].heap
	if len(e.tokens.free) == 0 || e.removed || e.health.inFlightCap > 0 && e.tokens.taken >= e.health.inFlightCap {
		if old != nil {
			e.removeFrom(keyTokenAge)
			e.removeFrom(keyPaceDrift)
			e.removeFrom(keyExpiry)
			old.bucket.syncHead()
		}
		return
	}
	of := groupKey{remote: d.remoteSide(e) > 0, inSubset: e.indexed.subsetRank >= 0, load: loadBusy, lease: leaseReady, normalized: e.estimate.work <= 1 && len(e.attempts) < s.maxConcurrency}
	if len(e.attempts) == 0 {
		of.load = loadIdle
		if of.inSubset && e.indexed.subsetRank < d.subset.lateSize {
			of.load = loadSpare
		}
	}
	until := Forever
	if d.config.canLease && d.usesSubset() && !e.lease.granted {
		switch {
		case e.lease.bypassUntil > now:
			until = e.lease.bypassUntil
		case e.lease.requested:
			of.lease = leasePending
		default:
			of.lease = leaseNeeded
		}
	}
	k := s.stats.pace
	if old != nil && e.indexed.group.groupKey == of && e.indexed.group.kind == s && until == Forever && e.indexed.positions[keyExpiry].heap == nil &&
		e.indexed.positions[keyTokenAge].key == int64(e.tokens.free[0]) && (e.indexed.paceLimit <= k || of.normalized) && (e.indexed.paceLimit >= k || !of.normalized) {
		// What it was reckoned with still holds, and little has changed: most of those that only grow older stay.
		rate, to := d.maxAgingRate(e, s, now)
		if to == Forever && rate <= e.indexed.agingRate && rate >= e.indexed.agingRate*(1-rateTolerance) && e.tightRate(k)*(1+3*rateTolerance) >= e.indexed.agingRate*e.indexed.group.rateScale() {
			return
		}
	}
	d.index.reindexed++
	e.indexed.group = s.groupFor(of)
	if part := e.estimate.work / (e.estimate.work + 1); of.normalized {
		e.indexed.paceLimit = k * (1 + min(maxPaceDrift, rateTolerance/part))
		s.paceCeilings.update(e, floatKey(e.indexed.paceLimit))
	} else {
		e.indexed.paceLimit = k * (1 - min(maxPaceDrift, rateTolerance/(1-part)))
		s.paceFloors.update(e, -floatKey(e.indexed.paceLimit))
	}
	rate, to := d.maxAgingRate(e, s, now)
	e.indexed.agingRate, until = rate, min(until, to)
	t := e.indexed.group.bucketFor(e.indexed.agingRate)
	t.update(e, int64(e.tokens.free[0]))
	if t.syncHead(); old != nil && old != &t.executorHeap {
		old.bucket.syncHead()
	}
	if until < Forever {
		d.index.expiries.update(e, int64(until))
	} else {
		e.removeFrom(keyExpiry)
	}
}

// maxAgingRate is the rate at which e's tokens age at the most, until then, while its kind's pace keeps to the limit: where
// little of e's own pace was seen, for a pace of the kind of 1, as most of its pace goes up and down with that. Such
// ones are never full, so leastWait makes nothing of the pace.
func (d *Dispatcher) maxAgingRate(e *executor, s *kindIndex, now time.Duration) (rate float64, until time.Duration) {
	wait, until := d.minWait(e, e.limitPace(), s.maxConcurrency, now)
	return roundingUp * e.weight / (e.limitPace() * (d.classes.shortestObjective + wait).Seconds()), until
}

// limitPace is the pace that e's rate is reckoned with.
func (e *executor) limitPace() float64 {
	if e.indexed.group.normalized {
		return (1 + e.estimate.runTime/e.indexed.paceLimit) / (e.estimate.work + 1)
	}
	return (e.estimate.runTime + e.indexed.paceLimit) / (e.estimate.work + 1)
}

// tightRate is the bound of e's rate with its kind's pace as it is.
func (e *executor) tightRate(pace float64) float64 {
	return roundingUp * e.indexed.agingRate * e.limitPace() * (e.estimate.work + 1) / (e.estimate.runTime + pace)
}

// rateScale is what the group's rates are to be taken times.
func (g *tokenGroup) rateScale() float64 {
	if g.normalized {
		return roundingUp / g.kind.stats.pace
	}
	return 1
}

// minWait is the least that a batch job sent to e would wait there, until then. It follows waitAt: where as many
// are out as there are places, no less than what waits there needs, and what the first to end has left.
func (d *Dispatcher) minWait(e *executor, pace float64, places int, now time.Duration) (wait, until time.Duration) {
	if len(e.attempts) < places {
		return e.estimate.startWait, Forever
	}
	first, queued := Forever, time.Duration(0)
	for _, s := range e.attempts {
		if s.running {
			first = min(first, s.startedAt+scaled(s.work, pace))
		} else {
			queued += scaled(s.work, pace)
		}
	}
	wait = max(0, queued/time.Duration(places)-time.Duration(len(e.attempts)+2)) // each figure is cut to a whole one
	if left := first - now - 1; first < Forever && left > 0 {
		// It shrinks as time goes by: reckoned as what it will be by then, an eighth of all less.
		until = now + max(min(left, (d.classes.shortestObjective+wait+left)/8), 1)
		return max(e.estimate.startWait, wait+first-1-until), until
	}
	return max(e.estimate.startWait, wait), Forever
}

// groupFor is the kind's group of that sort.
func (s *kindIndex) groupFor(of groupKey) *tokenGroup {
	for _, g := range s.groups {
		if g.groupKey == of {
			return g
		}
	}
	g := &tokenGroup{groupKey: of, kind: s, bucketsByRate: map[int]*rateBucket{}}
	s.groups = append(s.groups, g)
	return g
}

// bucketFor is the group's step that a rate is in.
func (g *tokenGroup) bucketFor(rate float64) *rateBucket {
	at, top := 0, math.Inf(1)
	if log := math.Floor(math.Log(rate) * rateBucketsPerE); math.Abs(log) < 1e6 {
		at = int(log)
		top = roundingUp * math.Exp((log+1)/rateBucketsPerE)
	} else {
		at = 1e6
	}
	t := g.bucketsByRate[at]
	if t == nil {
		if len(g.bucketsByRate) > 2*len(g.buckets)+64 { // most are empty by now
			maps.DeleteFunc(g.bucketsByRate, func(_ int, t *rateBucket) bool { return t.position < 0 })
		}
		t = &rateBucket{executorHeap: executorHeap{keyKind: keyTokenAge}, group: g, maxRate: top, position: -1}
		t.executorHeap.bucket = t
		g.bucketsByRate[at] = t
	}
	return t
}

// syncHead keeps the group's list of steps as the step is now.
func (t *rateBucket) syncHead() {
	g := t.group
	switch e := t.min(); {
	case e == nil && t.position < 0:
	case e == nil:
		last := len(g.buckets) - 1
		g.buckets[t.position], g.heads[t.position] = g.buckets[last], g.heads[last]
		g.buckets[t.position].position = t.position
		g.buckets, g.heads, t.position = g.buckets[:last], g.heads[:last], -1
	case t.position < 0:
		t.position = len(g.buckets)
		g.buckets, g.heads = append(g.buckets, t), append(g.heads, bucketHead{t.maxRate, e.indexed.positions[keyTokenAge].key})
	default:
		g.heads[t.position].oldestFree = e.indexed.positions[keyTokenAge].key
	}
}

// maxAge is the most that a token's age can be by now.
func (h bucketHead) maxAge(now time.Duration) float64 {
	return h.maxRate * float64(max(0, int64(now)-h.oldestFree))
}
