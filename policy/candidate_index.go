package policy

import (
	"maps"
	"math"
	"time"
)

// The candidate index finds executors for a job without a look at each of them. It decides nothing: it gives candidates,
// the most promising first, and leaves out only those of which a bound proves that they can't be chosen. What decides is
// tokenAge.
//
//	candidateIndex
//	├─ kindIndex             one for each executor kind
//	│  ├─ tokenGroup         executors with an open token that are alike by groupKey
//	│  │  └─ rateBucket      of nearly the same aging rate; a heap by the age of the oldest free token
//	│  ├─ paceBuckets        members of the subset, by how much of their pace was seen; heaps by that pace (pace_index.go)
//	│  └─ paceFloors, paceCeilings    when the kind's pace has drifted so far that an entry is out of date
//	├─ expiries              when an entry is out of date by the passing of time
//	└─ dirty                 executors whose entry is out of date by an event
//
// A token's age grows with time at its executor's aging rate: weight / (pace x (shortest objective + expected wait)). An
// entry holds an upper bound of that rate, and the invariants are
//
//	I1  agingRate x rateScale is no less than the true rate, as long as the entry is neither dirty nor expired and the
//	    kind's pace keeps to paceLimit;
//	I2  maxRate of a bucket is no less than agingRate of each executor in it;
//	I3  a bucket is in its group's list, with its head, exactly while it has executors;
//	I4  each change of what an entry depends on marks the executor dirty (markDirty).
//
// Entries are brought up to date when candidates are asked for next (reindexDirty). TestIndexGivesWhatScanDoes holds every
// answer against a scan of all executors.

const (
	rateBucketsPerE  = 256       // rate buckets for each factor of e
	maxRateBucket    = 1e6       // number of the bucket for rates that are out of the ordinary
	idleRateBuckets  = 64        // empty buckets that a group keeps beside as many as it uses
	roundingUp       = 1 + 1e-9  // room for rounding in an upper bound: an equal candidate must not be cut off
	roundingDown     = 1 - 1e-12 // likewise in the lower bound of a pace
	rateTolerance    = 1.0 / 512 // by which a rate may be too high as its kind's pace drifts
	maxPaceDrift     = 1.0 / 8   // by which that pace may drift before its executors are indexed anew
	waitBoundDivisor = 8         // a shrinking wait is bounded by what it will be after this part of it has passed
)

// executorLoad is how busy an executor is, as far as jobs past their objective are concerned.
type executorLoad int

const (
	idleOpen       executorLoad = iota // no attempt of ours is out, and all late jobs may use it
	idleRestricted                     // no attempt of ours is out; only late jobs of classes that don't pay late may use it
	busy
)

// leaseReadiness is whether a lease allows a token to be used.
type leaseReadiness int

const (
	leaseNeeded  leaseReadiness = iota // none was requested
	leaseReady                         // it is granted, or none is needed
	leasePending                       // it is requested
)

// indexEntry is where the candidate index has an executor.
type indexEntry struct {
	subsetRank int // among the subset's members; -1: not a member
	dirty      bool
	group      *tokenGroup
	positions  [heapKeys]heapPosition
	agingRate  float64 // the highest rate at which its tokens age, while its kind's pace keeps to paceLimit
	paceLimit  float64 // a floor of the kind's pace, or, in a normalized group, a ceiling
}

// candidateIndex is the whole index.
type candidateIndex struct {
	kinds           []*kindIndex
	expiries        executorHeap      // entries that hold for a while only, by when they cease to
	dirty           []*executor       // to be indexed anew
	classCandidates []classCandidates // of the part of the queue that is looked through (class_candidates.go)

	// Work done, for tests.
	visited   int // executors looked at
	bounded   int // bucket heads looked at
	evaluated int // executors evaluated in full
	reindexed int // times that an open token was indexed anew
}

// kindIndex is the part of the index for one executor kind.
type kindIndex struct {
	id             KindID
	stats          *kindStats
	maxConcurrency int // the concurrency that bounds are computed with: no less than the kind has now
	groups         []*tokenGroup
	paceFloors     executorHeap // entries that hold while the kind's pace is no lower than their paceLimit, the highest first
	paceCeilings   executorHeap // and those that hold while it is no higher, the lowest first
	paceBuckets    [evenPaceBuckets + halvingPaceBuckets + 1]executorHeap
	localSubset    []*executor // members of the subset in the own zone, as of its last rebuild
}

// groupKey is what the executors of a group have in common.
type groupKey struct {
	remote     bool
	inSubset   bool
	load       executorLoad
	lease      leaseReadiness
	normalized bool // aging rates are for a kind's pace of 1
}

// tokenGroup holds executors with an open token that are alike by groupKey.
type tokenGroup struct {
	groupKey
	kind          *kindIndex
	bucketsByRate map[int]*rateBucket
	buckets       []*rateBucket // those that are not empty
	heads         []bucketHead  // what a bound for each of them is computed from, side by side for speed
}

// rateBucket is the executors of a group whose aging rates are nearly the same, in a heap by the age of their oldest token.
type rateBucket struct {
	executorHeap
	group    *tokenGroup
	maxRate  float64 // no rate is higher
	position int     // in the group's list; -1 while it is empty
}

// bucketHead is what bounds the age of all tokens of a bucket.
type bucketHead struct {
	maxRate    float64
	oldestFree int64 // since when the oldest token is free
}

// maxAge is an upper bound of the age of the bucket's tokens.
func (h bucketHead) maxAge(now time.Duration) float64 {
	return h.maxRate * float64(max(0, int64(now)-h.oldestFree))
}

// addKindIndex makes the part of the index for a kind.
func (d *Dispatcher) addKindIndex(id KindID, stats *kindStats) {
	kind := &kindIndex{
		id:             id,
		stats:          stats,
		maxConcurrency: stats.concurrency,
		paceFloors:     executorHeap{keyKind: keyPaceDrift},
		paceCeilings:   executorHeap{keyKind: keyPaceDrift},
	}
	for i := range kind.paceBuckets {
		kind.paceBuckets[i].keyKind = keyPace
	}
	stats.index = kind
	d.index.kinds = append(d.index.kinds, kind)
}

// markDirty has an executor indexed anew before the next query. It is called after each change of what its entry depends on.
func (d *Dispatcher) markDirty(e *executor) {
	if !e.indexed.dirty {
		e.indexed.dirty = true
		d.index.dirty = append(d.index.dirty, e)
	}
}

// markAllDirty marks each of them dirty.
func (d *Dispatcher) markAllDirty(executors []*executor) {
	for _, e := range executors {
		d.markDirty(e)
	}
}

// reindexDirty brings all entries up to date that are out of date by a drift of their kind, by time or by an event.
func (d *Dispatcher) reindexDirty(now time.Duration) {
	for _, kind := range d.index.kinds {
		if kind.stats.concurrency > kind.maxConcurrency {
			d.setMaxConcurrency(kind)
		}
		pace := kind.stats.pace
		for e := kind.paceFloors.min(); e != nil && e.indexed.paceLimit > pace; e = kind.paceFloors.min() {
			d.reindex(e, now)
		}
		for e := kind.paceCeilings.min(); e != nil && e.indexed.paceLimit < pace; e = kind.paceCeilings.min() {
			d.reindex(e, now)
		}
	}
	expiries := &d.index.expiries
	for e := expiries.min(); e != nil && expiries.key(0) <= int64(now); e = expiries.min() {
		d.reindex(e, now)
	}
	for _, e := range d.index.dirty {
		e.indexed.dirty = false
		d.reindex(e, now)
	}
	d.index.dirty = d.index.dirty[:0]
}

// resetMaxConcurrency lets the concurrency that bounds are computed with fall to the kinds' present one, at an interval's end.
func (d *Dispatcher) resetMaxConcurrency() {
	for _, kind := range d.index.kinds {
		if kind.maxConcurrency != kind.stats.concurrency {
			d.setMaxConcurrency(kind)
		}
	}
}

// setMaxConcurrency takes up a kind's present concurrency, which all its bounds depend on.
func (d *Dispatcher) setMaxConcurrency(kind *kindIndex) {
	kind.maxConcurrency = kind.stats.concurrency
	d.markAllDirty(kind.paceFloors.executors)
	d.markAllDirty(kind.paceCeilings.executors)
}

// reindex brings one executor's entry up to date.
func (d *Dispatcher) reindex(e *executor, now time.Duration) {
	kind := d.endpoints.kinds[e.kind].index
	d.indexPace(e, kind)
	if !e.hasOpenToken() {
		e.removeEntry()
		return
	}
	key, until := d.groupKeyOf(e, kind, now)
	if until == Forever && d.entryIsCurrent(e, kind, key, now) {
		return
	}
	d.index.reindexed++
	before := e.indexed.positions[keyTokenAge].heap
	e.indexed.group = kind.groupFor(key)
	e.setPaceLimit(kind)
	rate, rateUntil := d.maxAgingRate(e, kind, now)
	e.indexed.agingRate = rate
	bucket := e.indexed.group.bucketFor(rate)
	bucket.update(e, int64(e.tokens.free[0]))
	bucket.syncHead()
	if before != nil && before != &bucket.executorHeap {
		before.bucket.syncHead()
	}
	if until = min(until, rateUntil); until < Forever {
		d.index.expiries.update(e, int64(until))
	} else {
		e.removeFrom(keyExpiry)
	}
}

// hasOpenToken says whether an attempt could use one of e's tokens at all.
func (e *executor) hasOpenToken() bool {
	atCap := e.health.inFlightCap > 0 && e.tokens.taken >= e.health.inFlightCap
	return len(e.tokens.free) > 0 && !e.removed && !atCap
}

// removeEntry takes an executor without an open token out of its group.
func (e *executor) removeEntry() {
	before := e.indexed.positions[keyTokenAge].heap
	if before == nil {
		return
	}
	e.removeFrom(keyTokenAge)
	e.removeFrom(keyPaceDrift)
	e.removeFrom(keyExpiry)
	before.bucket.syncHead()
}

// groupKeyOf is the group that e belongs to now, and until when if nothing happens.
func (d *Dispatcher) groupKeyOf(e *executor, kind *kindIndex, now time.Duration) (key groupKey, until time.Duration) {
	key = groupKey{
		remote:     d.remoteSide(e) > 0,
		inSubset:   e.indexed.subsetRank >= 0,
		load:       busy,
		lease:      leaseReady,
		normalized: e.estimate.work <= 1 && len(e.attempts) < kind.maxConcurrency,
	}
	if len(e.attempts) == 0 {
		key.load = idleRestricted
		if key.inSubset && e.indexed.subsetRank < d.subset.lateSize {
			key.load = idleOpen
		}
	}
	until = Forever
	if d.config.canLease && d.usesSubset() && !e.lease.granted {
		switch {
		case e.lease.bypassUntil > now:
			until = e.lease.bypassUntil
		case e.lease.requested:
			key.lease = leasePending
		default:
			key.lease = leaseNeeded
		}
	}
	return key, until
}

// entryIsCurrent says whether e's entry may stay: its bounds still hold and are tight enough. It does for most of those that
// have only grown older.
func (d *Dispatcher) entryIsCurrent(e *executor, kind *kindIndex, key groupKey, now time.Duration) bool {
	entry := &e.indexed
	if entry.positions[keyTokenAge].heap == nil || entry.positions[keyExpiry].heap != nil {
		return false
	}
	if entry.group.groupKey != key || entry.group.kind != kind || entry.positions[keyTokenAge].key != int64(e.tokens.free[0]) {
		return false
	}
	pace := kind.stats.pace
	if entry.paceLimit > pace && !key.normalized || entry.paceLimit < pace && key.normalized {
		return false
	}
	rate, until := d.maxAgingRate(e, kind, now)
	if until != Forever || rate > entry.agingRate || rate < entry.agingRate*(1-rateTolerance) {
		return false
	}
	return e.currentRate(pace)*(1+3*rateTolerance) >= entry.agingRate*entry.group.rateScale()
}

// setPaceLimit sets how far the kind's pace may drift until e's rate is computed anew: the further, the less of e's pace
// comes from its kind.
func (e *executor) setPaceLimit(kind *kindIndex) {
	pace := kind.stats.pace
	seen := e.estimate.work / (e.estimate.work + 1) // the part of e's pace that is its own
	if e.indexed.group.normalized {
		e.indexed.paceLimit = pace * (1 + min(maxPaceDrift, rateTolerance/seen))
		kind.paceCeilings.update(e, floatKey(e.indexed.paceLimit))
		return
	}
	e.indexed.paceLimit = pace * (1 - min(maxPaceDrift, rateTolerance/(1-seen)))
	kind.paceFloors.update(e, -floatKey(e.indexed.paceLimit))
}

// maxAgingRate is an upper bound of the rate at which e's tokens age, valid until the returned time while its kind's pace keeps to
// the limit. Where little of e's own pace was seen, most of its pace goes up and down with its kind's: the rate is then for
// a kind's pace of 1. Such an executor has a slot to spare, so the pace does not matter to minWait.
func (d *Dispatcher) maxAgingRate(e *executor, kind *kindIndex, now time.Duration) (rate float64, until time.Duration) {
	wait, until := d.minWait(e, e.limitPace(), kind.maxConcurrency, now)
	return roundingUp * e.weight / (e.limitPace() * (d.classes.shortestObjective + wait).Seconds()), until
}

// limitPace is the pace that e's rate is computed with.
func (e *executor) limitPace() float64 {
	if e.indexed.group.normalized {
		return (1 + e.estimate.runTime/e.indexed.paceLimit) / (e.estimate.work + 1)
	}
	return (e.estimate.runTime + e.indexed.paceLimit) / (e.estimate.work + 1)
}

// currentRate is the bound of e's rate for its kind's present pace.
func (e *executor) currentRate(pace float64) float64 {
	return roundingUp * e.indexed.agingRate * e.limitPace() * (e.estimate.work + 1) / (e.estimate.runTime + pace)
}

// rateScale is the factor of the group's rates.
func (g *tokenGroup) rateScale() float64 {
	if g.normalized {
		return roundingUp / g.kind.stats.pace
	}
	return 1
}

// minWait is a lower bound of the wait of a job sent to e, valid until the returned time. It follows expectedWait: where all slots
// are taken, no less than what the queued attempts need, and what the first to end has left.
func (d *Dispatcher) minWait(e *executor, pace float64, slots int, now time.Duration) (wait, until time.Duration) {
	if len(e.attempts) < slots {
		return e.estimate.startWait, Forever
	}
	firstEnd, queued := Forever, time.Duration(0)
	for _, a := range e.attempts {
		if a.running {
			firstEnd = min(firstEnd, a.startedAt+scaled(a.work, pace))
		} else {
			queued += scaled(a.work, pace)
		}
	}
	rounding := time.Duration(len(e.attempts) + 2) // each figure is cut to a whole nanosecond
	wait = max(0, queued/time.Duration(slots)-rounding)
	left := firstEnd - now - 1
	if firstEnd == Forever || left <= 0 {
		return max(e.estimate.startWait, wait), Forever
	}
	// It shrinks as time goes by: bounded by what it will be at that time.
	until = now + max(min(left, (d.classes.shortestObjective+wait+left)/waitBoundDivisor), 1)
	return max(e.estimate.startWait, wait+firstEnd-1-until), until
}

// groupFor returns the kind's group with that key, made if there is none.
func (k *kindIndex) groupFor(key groupKey) *tokenGroup {
	for _, g := range k.groups {
		if g.groupKey == key {
			return g
		}
	}
	g := &tokenGroup{groupKey: key, kind: k, bucketsByRate: map[int]*rateBucket{}}
	k.groups = append(k.groups, g)
	return g
}

// bucketFor returns the group's bucket for a rate, made if there is none.
func (g *tokenGroup) bucketFor(rate float64) *rateBucket {
	number, maxRate := int(maxRateBucket), math.Inf(1)
	if log := math.Floor(math.Log(rate) * rateBucketsPerE); math.Abs(log) < maxRateBucket {
		number = int(log)
		maxRate = roundingUp * math.Exp((log+1)/rateBucketsPerE)
	}
	b := g.bucketsByRate[number]
	if b != nil {
		return b
	}
	if len(g.bucketsByRate) > 2*len(g.buckets)+idleRateBuckets {
		maps.DeleteFunc(g.bucketsByRate, func(_ int, b *rateBucket) bool { return b.position < 0 })
	}
	b = &rateBucket{executorHeap: executorHeap{keyKind: keyTokenAge}, group: g, maxRate: maxRate, position: -1}
	b.bucket = b
	g.bucketsByRate[number] = b
	return b
}

// syncHead brings the group's list of buckets up to date after a change of this one.
func (b *rateBucket) syncHead() {
	g, oldest := b.group, b.min()
	switch {
	case oldest == nil && b.position < 0:
	case oldest == nil:
		b.removeFromList()
	case b.position < 0:
		b.position = len(g.buckets)
		g.buckets = append(g.buckets, b)
		g.heads = append(g.heads, bucketHead{maxRate: b.maxRate, oldestFree: b.key(0)})
	default:
		g.heads[b.position].oldestFree = b.key(0)
	}
}

// removeFromList takes the bucket out of its group's list; the last one takes its place.
func (b *rateBucket) removeFromList() {
	g := b.group
	last := len(g.buckets) - 1
	g.buckets[b.position] = g.buckets[last]
	g.heads[b.position] = g.heads[last]
	g.buckets[b.position].position = b.position
	g.buckets = g.buckets[:last]
	g.heads = g.heads[:last]
	b.position = -1
}
