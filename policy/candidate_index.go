package policy

import (
	"maps"
	"math"
	"time"
)

// The candidate index finds executors for a job without visiting all of them. It returns candidates, the most promising
// bucket first, and omits only executors that a bound proves useless for the job. The choice among the candidates is made by
// tokenAge, so the index never changes the result.
//
// A token group holds only executors with a usable token: a free token that neither the executor's removal from the endpoint
// list nor its in-flight cap rules out.
//
//	candidateIndex
//	├─ kindIndex             one for each executor kind
//	│  ├─ tokenGroup         executors with a usable token and the same groupKey
//	│  │  └─ rateBucket      executors with nearly the same aging rate; a heap by the age of the oldest free token
//	│  ├─ paceBuckets        members of the subset, for the lowest pace among them (pace_index.go)
//	│  └─ paceFloors, paceCeilings    entries that are out of date once the kind's pace has drifted too far
//	├─ expiries              entries that are out of date after a certain time
//	└─ dirty                 executors whose entry is out of date because of an event
//
// A token's age grows with time at its executor's aging rate: weight / (pace x (shortest objective + expected wait)). An
// entry holds an upper bound of that rate. The invariants are:
//
//	I1  agingRate x rateScale is at least the true rate, as long as the entry is neither dirty nor expired and the kind's
//	    pace has not passed paceLimit.
//	I2  maxRate of a bucket is at least agingRate of each executor in it.
//	I3  A bucket and its head are in the lists of its group if and only if the bucket has executors.
//	I4  Each change of a value that an entry depends on marks the executor dirty (markDirty).
//
// Entries are brought up to date by the next query (reindexDirty). TestIndexMatchesFullScan compares the answers of the index
// with a scan of all executors.

const (
	rateBucketsPerE  = 256       // number of rate buckets between a rate and e times that rate
	maxRateBucket    = 1e6       // number of the bucket for extreme rates: zero, infinite or out of range
	spareRateBuckets = 64        // a group discards its empty buckets if it has this many more than buckets in use
	roundingUp       = 1 + 1e-9  // factor of upper bounds that allows for rounding errors: an equal candidate must not be omitted
	roundingDown     = 1 - 1e-12 // factor of lower bounds of a pace that allows for rounding errors
	rateTolerance    = 1.0 / 512 // largest relative error of a rate bound that a drift of the kind's pace may cause
	maxPaceDrift     = 1.0 / 8   // largest relative drift of the kind's pace before its executors are indexed again
	waitBoundDivisor = 8         // the bound of a shrinking wait is valid for (shortest objective + wait) divided by this
)

// executorLoad tells which jobs past their objective may use an executor.
type executorLoad int

const (
	loadIdleOpen       executorLoad = iota // no attempt of this node is in flight at the executor; all late jobs may use it
	loadIdleRestricted                     // no attempt in flight either; only late jobs of classes without late value may use it
	loadBusy                               // an attempt of this node is in flight at the executor; no late job may use it
)

// leaseReadiness tells whether a token may be used as far as leases are concerned.
type leaseReadiness int

const (
	leaseNeeded  leaseReadiness = iota // a lease has to be requested first
	leaseReady                         // a lease is granted, or none is needed
	leasePending                       // a lease is requested and not granted yet
)

// indexEntry is the entry of an executor in the candidate index.
type indexEntry struct {
	subsetRank int  // position among the subset's members; -1: not a member
	dirty      bool // the executor is in candidateIndex.dirty
	group      *tokenGroup
	positions  [heapKeys]heapPosition
	agingRate  float64 // upper bound of the tokens' aging rate, as long as the kind's pace has not passed paceLimit
	paceLimit  float64 // lowest pace of the kind for which the entry is valid; in a normalized group the highest one
}

// candidateIndex is the candidate index, over all executor kinds.
type candidateIndex struct {
	kinds           []*kindIndex
	expiries        executorHeap      // entries that are valid until a certain time, ordered by that time
	dirty           []*executor       // executors to be indexed again
	classCandidates []classCandidates // candidates for the part of the queue that is being scanned (class_candidates.go)

	// Counters of the work done, for tests.
	visited   int // executors visited
	bounded   int // bucket heads whose bound was computed
	evaluated int // executors evaluated in full, by tokenAge or pace
	reindexed int // updates of entries of executors with a usable token
}

// kindIndex is the part of the index for one executor kind.
type kindIndex struct {
	id             KindID
	stats          *kindStats
	maxConcurrency int // concurrency from which bounds are computed; at least the kind's present concurrency
	groups         []*tokenGroup
	paceFloors     executorHeap // entries that are valid while the kind's pace is at least their paceLimit, highest limit first
	paceCeilings   executorHeap // entries that are valid while the kind's pace is at most their paceLimit, lowest limit first
	paceBuckets    [evenPaceBuckets + halvingPaceBuckets + 1]executorHeap
	localSubset    []*executor // members of the subset in the own zone, as of its last rebuild
}

// groupKey is the set of properties that all executors of a group share.
type groupKey struct {
	remote     bool
	inSubset   bool
	load       executorLoad
	lease      leaseReadiness
	normalized bool // aging rates are computed for a kind's pace of 1 and scaled by rateScale
}

// tokenGroup holds the executors of a kind that have a usable token and the same groupKey.
type tokenGroup struct {
	groupKey
	kind          *kindIndex
	bucketsByRate map[int]*rateBucket
	buckets       []*rateBucket // the non-empty buckets
	heads         []bucketHead  // heads of buckets, at the same indexes; contiguous in memory, which makes scans fast
}

// rateBucket holds the executors of a group with nearly the same aging rate, in a heap by the age of their oldest free token.
type rateBucket struct {
	executorHeap
	group    *tokenGroup
	maxRate  float64 // upper bound of the aging rates in the bucket
	position int     // index in group.buckets; -1 while the bucket is empty
}

// bucketHead holds the values from which the ages of all tokens in a bucket are bounded.
type bucketHead struct {
	maxRate    float64
	oldestFree int64 // time since which the oldest token has been free
}

// maxAge returns an upper bound of the ages of the bucket's tokens.
func (h bucketHead) maxAge(now time.Duration) float64 {
	return h.maxRate * float64(max(0, int64(now)-h.oldestFree))
}

// addKindIndex adds the part of the index for a kind.
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

// markDirty makes the next query index an executor again. It must be called after each change of a value that the executor's
// entry depends on.
func (d *Dispatcher) markDirty(e *executor) {
	if !e.indexed.dirty {
		e.indexed.dirty = true
		d.index.dirty = append(d.index.dirty, e)
	}
}

// markAllDirty marks all given executors dirty.
func (d *Dispatcher) markAllDirty(executors []*executor) {
	for _, e := range executors {
		d.markDirty(e)
	}
}

// reindexDirty updates all entries that are out of date: their kind's pace or concurrency has changed, the time until
// which they are valid has passed, or an event has marked them dirty.
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

// resetMaxConcurrency sets each kind's maxConcurrency to the present concurrency, which may be lower. It is called at the end
// of an interval.
func (d *Dispatcher) resetMaxConcurrency() {
	for _, kind := range d.index.kinds {
		if kind.maxConcurrency != kind.stats.concurrency {
			d.setMaxConcurrency(kind)
		}
	}
}

// setMaxConcurrency sets a kind's maxConcurrency to the present concurrency, and marks its entries dirty, as all their bounds
// depend on it.
func (d *Dispatcher) setMaxConcurrency(kind *kindIndex) {
	kind.maxConcurrency = kind.stats.concurrency
	d.markAllDirty(kind.paceFloors.executors)
	d.markAllDirty(kind.paceCeilings.executors)
}

// reindex updates the entry of an executor.
func (d *Dispatcher) reindex(e *executor, now time.Duration) {
	kind := d.endpoints.kinds[e.kind].index
	d.indexPace(e, kind)
	if !e.hasUsableToken() {
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

// hasUsableToken reports whether e has a free token that neither its removal nor its in-flight cap rules out.
func (e *executor) hasUsableToken() bool {
	atCap := e.health.inFlightCap > 0 && e.tokens.taken >= e.health.inFlightCap
	return len(e.tokens.free) > 0 && !e.removed && !atCap
}

// removeEntry removes an executor without a usable token from its group.
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

// groupKeyOf returns the key of the group that e belongs to now, and the time until which that holds unless an event changes
// it.
func (d *Dispatcher) groupKeyOf(e *executor, kind *kindIndex, now time.Duration) (key groupKey, until time.Duration) {
	key = groupKey{
		remote:     d.remoteSide(e) > 0,
		inSubset:   e.indexed.subsetRank >= 0,
		load:       loadBusy,
		lease:      leaseReady,
		normalized: e.estimate.work <= 1 && len(e.attempts) < kind.maxConcurrency,
	}
	if len(e.attempts) == 0 {
		key.load = loadIdleRestricted
		if key.inSubset && e.indexed.subsetRank < d.subset.lateSize {
			key.load = loadIdleOpen
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

// entryIsCurrent reports whether e's entry needs no update, because its bounds are still valid and tight enough. This is so
// for most executors whose estimate has only decayed.
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

// setPaceLimit sets how far the kind's pace may drift before e's rate is computed again: by maxPaceDrift at most. The
// less e's pace depends on its kind's, the farther it may drift. In a normalized group it is the reverse: there
// rateScale follows the kind's pace, and a drift makes the bound inexact only by the weight of e's own observations.
func (e *executor) setPaceLimit(kind *kindIndex) {
	pace := kind.stats.pace
	seen := e.estimate.work / (e.estimate.work + 1) // weight of e's own observations in its pace
	if e.indexed.group.normalized {
		e.indexed.paceLimit = pace * (1 + min(maxPaceDrift, rateTolerance/seen))
		kind.paceCeilings.update(e, floatKey(e.indexed.paceLimit))
		return
	}
	e.indexed.paceLimit = pace * (1 - min(maxPaceDrift, rateTolerance/(1-seen)))
	kind.paceFloors.update(e, -floatKey(e.indexed.paceLimit))
}

// maxAgingRate returns an upper bound of the rate at which e's tokens age. It is valid until the returned time, as long as the
// kind's pace has not passed e's paceLimit. If there are few observations of e, its pace mostly follows its kind's. Its group
// is then normalized: the rate is computed for a kind's pace of 1. Such an executor has a free slot, so minWait does not
// depend on the pace.
func (d *Dispatcher) maxAgingRate(e *executor, kind *kindIndex, now time.Duration) (rate float64, until time.Duration) {
	wait, until := d.minWait(e, e.limitPace(), kind.maxConcurrency, now)
	return roundingUp * e.weight / (e.limitPace() * (d.classes.shortestObjective + wait).Seconds()), until
}

// limitPace returns the pace from which e's aging rate is computed: e's pace if its kind's pace were at paceLimit, in a
// normalized group divided by paceLimit.
func (e *executor) limitPace() float64 {
	if e.indexed.group.normalized {
		return (1 + e.estimate.runTime/e.indexed.paceLimit) / (e.estimate.work + 1)
	}
	return (e.estimate.runTime + e.indexed.paceLimit) / (e.estimate.work + 1)
}

// currentRate returns the upper bound of e's aging rate for its kind's present pace, which is tighter than agingRate.
func (e *executor) currentRate(pace float64) float64 {
	return roundingUp * e.indexed.agingRate * e.limitPace() * (e.estimate.work + 1) / (e.estimate.runTime + pace)
}

// rateScale returns the factor by which the rates of the group have to be multiplied.
func (g *tokenGroup) rateScale() float64 {
	if g.normalized {
		return roundingUp / g.kind.stats.pace
	}
	return 1
}

// minWait returns a lower bound of expectedWait for a job sent to e, valid until the returned time. If all slots are taken, a
// job waits at least for the first running attempt to end, and for its share of the queued attempts' running time.
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
	rounding := time.Duration(len(e.attempts) + 2) // each term is truncated to a whole nanosecond
	wait = max(0, queued/time.Duration(slots)-rounding)
	left := firstEnd - now - 1
	if firstEnd == Forever || left <= 0 {
		return max(e.estimate.startWait, wait), Forever
	}
	// The wait shrinks as time passes, so its value at the time until is a lower bound.
	until = now + max(min(left, (d.classes.shortestObjective+wait+left)/waitBoundDivisor), 1)
	return max(e.estimate.startWait, wait+firstEnd-1-until), until
}

// groupFor returns the kind's group with the given key, and adds one if there is none.
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

// bucketFor returns the group's bucket for a rate, and adds one if there is none.
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
	if len(g.bucketsByRate) > 2*len(g.buckets)+spareRateBuckets {
		maps.DeleteFunc(g.bucketsByRate, func(_ int, b *rateBucket) bool { return b.position < 0 })
	}
	b = &rateBucket{executorHeap: executorHeap{keyKind: keyTokenAge}, group: g, maxRate: maxRate, position: -1}
	b.bucket = b
	g.bucketsByRate[number] = b
	return b
}

// syncHead updates the group's lists of buckets and heads after a change of this bucket.
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

// removeFromList removes the bucket and its head from the group's lists. The last bucket takes its place.
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
