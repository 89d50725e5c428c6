package policy

import (
	"maps"
	"math"
	"time"
)

// The candidate index finds executors for a job without visiting all of them. It returns candidates, starting with the
// bucket of the highest token ages. It omits an executor only if a bound proves that the executor is of no use to the
// job. The caller chooses among the candidates by tokenAge, so the result is the same as that of a full scan.
//
// A free token is usable if its executor is below its in-flight cap and was not removed from the endpoint list. Token
// groups hold only executors with a usable token.
//
//	candidateIndex
//	├─ kindIndex             one for each executor kind
//	│  ├─ tokenGroup         executors with a usable token and the same groupKey
//	│  │  └─ rateBucket      executors with nearly the same aging rate; a heap by the age of the oldest free token
//	│  ├─ paceBuckets        members of the subset; the buckets find the lowest pace among them (pace_index.go)
//	│  └─ paceFloors, paceCeilings    entries that are out of date once the kind's pace has drifted too far
//	├─ expiries              entries that are out of date after a certain time
//	└─ dirty                 executors whose entry is out of date because of an event
//
// The weighted age of a free token (tokenAge) grows with time. The rate of this growth, the aging rate of the executor,
// is weight / (pace x (shortest objective + expected wait)). An executor's index entry holds an upper bound of its
// rate. The invariants are:
//
//	I1  While an entry is valid, its agingRate x rateScale is at least the true aging rate. An entry is valid if it is
//	    neither dirty nor expired, and if the kind's pace has not passed paceLimit.
//	I2  maxRate of a bucket is at least agingRate of each executor in it.
//	I3  A bucket and its head are in the lists of its group if and only if the bucket has executors.
//	I4  Each change of a value that an entry depends on marks the executor dirty (markDirty). The exceptions are the time
//	    and the kind's pace and concurrency: reindexDirty compares them with the limits up to which entries are valid.
//
// Each query first brings the entries up to date (reindexDirty). TestIndexMatchesFullScan compares the results of the
// index with those of a scan of all executors.

const (
	// rateBucketsPerE sets how narrow the rate buckets are. It is the number of buckets between an aging rate and e
	// (2.718) times that rate.
	rateBucketsPerE = 256
	// maxRateBucket is the bucket number for extreme aging rates: zero, infinite or out of range.
	maxRateBucket = 1e6
	// spareRateBuckets is the number of empty buckets that a group keeps for reuse, beyond the number of its buckets in
	// use. If there are more, the group discards its empty buckets before it adds a bucket.
	spareRateBuckets = 64

	// An upper bound is multiplied by roundingUp, and a lower bound of a pace by roundingDown, to allow for rounding
	// errors. Without that, the index could omit an executor that ties with the best candidate.
	roundingUp   = 1 + 1e-9
	roundingDown = 1 - 1e-12

	// rateTolerance keeps the bounds of aging rates tight while a kind's pace drifts. It is the largest relative error
	// of a bound that such a drift can cause.
	rateTolerance = 1.0 / 512
	// maxPaceDrift limits how long index entries are kept while a kind's pace drifts. After a larger relative drift,
	// the executors of the kind are indexed again.
	maxPaceDrift = 1.0 / 8
	// waitBoundDivisor keeps the bound of a shrinking wait from becoming too loose. The bound is valid for at most
	// (shortest objective + wait) / waitBoundDivisor.
	waitBoundDivisor = 8
)

// executorLoad says which late jobs are allowed to use an executor. For a late job bound to a dedup group, only
// loadBusy excludes the executor; acceptsLate decides about the others.
type executorLoad int

const (
	// loadIdleOpen means that no attempt of this node is in flight at the executor. All late jobs are allowed to use
	// it.
	loadIdleOpen executorLoad = iota
	// loadIdleRestricted means that no attempt of this node is in flight at the executor. Of the late jobs, only those
	// that yield no value after their objective (lateValue 0) are allowed to use it.
	loadIdleRestricted
	// loadBusy means that an attempt of this node is in flight at the executor. No late job is allowed to use it.
	loadBusy
)

// leaseReadiness says whether a token needs a lease before it can be used, and whether that lease was requested.
type leaseReadiness int

const (
	leaseNeeded  leaseReadiness = iota // a lease is needed and was not requested yet
	leaseReady                         // a lease is granted, or none is needed
	leasePending                       // a lease was requested and is not granted yet
)

// indexEntry is the entry of an executor in the candidate index.
type indexEntry struct {
	subsetRank int  // the executor's position in subset.members; -1: the executor is not a member
	dirty      bool // the executor is in candidateIndex.dirty
	group      *tokenGroup
	positions  [heapKeys]heapPosition
	// agingRate is an upper bound of the aging rate of the executor's tokens. In a normalized group (see
	// groupKey.normalized), it is the bound that would hold if the kind's pace were 1.
	agingRate float64
	// paceLimit is the lowest pace of the kind for which agingRate is valid. In a normalized group, it is the highest
	// pace.
	paceLimit float64
}

// candidateIndex is the candidate index of all executor kinds.
type candidateIndex struct {
	kinds           []*kindIndex
	expiries        executorHeap      // executors whose entry is valid only until a certain time, ordered by that time
	dirty           []*executor       // executors whose entry the next query updates
	classCandidates []classCandidates // candidates for the part of the queue that is being scanned (class_candidates.go)

	// Tests read these counters of the work done.
	visited   int // number of executors that searches looked at
	bounded   int // number of bucket heads whose maxAge was computed to find the first bucket
	evaluated int // number of calls of tokenAge, plus calls of pace in the pace index
	reindexed int // number of updated entries of executors with a usable token
}

// kindIndex is the part of the index for one executor kind.
type kindIndex struct {
	id    KindID
	stats *kindStats
	// maxConcurrency is the number of slots per executor that all bounds assume. A query first raises this number to
	// stats.concurrency if that is larger.
	maxConcurrency int
	groups         []*tokenGroup
	paceFloors     executorHeap // entries that are valid while the kind's pace is at least paceLimit; highest limit first
	paceCeilings   executorHeap // entries that are valid while the kind's pace is at most paceLimit; lowest limit first
	paceBuckets    [evenPaceBuckets + halvingPaceBuckets + 1]executorHeap
	localSubset    []*executor // subset members for which remoteSide is 0, as of the subset's last rebuild
}

// groupKey is the set of properties that all executors of a group share.
type groupKey struct {
	remote   bool
	inSubset bool
	load     executorLoad
	lease    leaseReadiness
	// normalized means that the group's aging rates are computed for a kind's pace of 1. Queries multiply the rates by
	// rateScale, so that the bounds follow the kind's pace.
	normalized bool
}

// tokenGroup holds the executors of a kind that have a usable token and the same groupKey.
type tokenGroup struct {
	groupKey
	kind          *kindIndex
	bucketsByRate map[int]*rateBucket
	buckets       []*rateBucket // the non-empty buckets
	// heads[i] is the head of buckets[i]. Heads are stored by value, so that a scan of them reads one contiguous array.
	heads []bucketHead
}

// rateBucket holds the executors of a group that have nearly the same aging rate. It is a heap, ordered by the age of
// the executors' oldest free tokens.
type rateBucket struct {
	executorHeap
	group    *tokenGroup
	maxRate  float64 // upper bound of the aging rates in the bucket
	position int     // the bucket's index in group.buckets; -1 while the bucket is empty
}

// bucketHead holds the two values of a rate bucket from which maxAge is computed.
type bucketHead struct {
	maxRate    float64
	oldestFree int64 // time since which the bucket's oldest free token has been free
}

// maxAge returns an upper bound of the weighted ages of the bucket's tokens. The caller multiplies it by rateScale.
func (h bucketHead) maxAge(now time.Duration) float64 {
	return h.maxRate * float64(max(0, int64(now)-h.oldestFree))
}

// addKindIndex adds the part of the candidate index for an executor kind.
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

// markDirty makes the next query update an executor's entry in the index. It must be called after each change of a
// value that the entry depends on.
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

// reindexDirty updates all entries that are out of date. Four causes put an entry out of date: the kind's pace has
// passed the entry's paceLimit, the kind's concurrency has risen above maxConcurrency, the entry's time of validity is
// over, or an event has marked the entry dirty.
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

// resetMaxConcurrency lowers each kind's maxConcurrency to its present concurrency at the end of a quota interval.
// Between the ends of intervals, maxConcurrency only rises.
func (d *Dispatcher) resetMaxConcurrency() {
	for _, kind := range d.index.kinds {
		if kind.maxConcurrency != kind.stats.concurrency {
			d.setMaxConcurrency(kind)
		}
	}
}

// setMaxConcurrency sets a kind's maxConcurrency to its present concurrency. It marks all entries of the kind dirty,
// because their bounds depend on maxConcurrency.
func (d *Dispatcher) setMaxConcurrency(kind *kindIndex) {
	kind.maxConcurrency = kind.stats.concurrency
	d.markAllDirty(kind.paceFloors.executors)
	d.markAllDirty(kind.paceCeilings.executors)
}

// reindex updates the index entry of an executor.
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

// hasUsableToken reports whether e has a free token, was not removed from the endpoint list, and is below its in-flight
// cap.
func (e *executor) hasUsableToken() bool {
	atCap := e.health.inFlightCap > 0 && e.tokens.taken >= e.health.inFlightCap
	return len(e.tokens.free) > 0 && !e.removed && !atCap
}

// removeEntry removes an executor from its token group, because it has no usable token any more.
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

// groupKeyOf returns the key of the token group that e belongs to now. The key holds until the returned time, unless an
// event changes it earlier.
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

// entryIsCurrent reports whether e's index entry can stay as it is: its bounds are still valid and tight enough. If
// only the estimate of e's pace has decayed since the last update (estimate.decay), the entry can usually stay.
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

// setPaceLimit sets how far the kind's pace can drift before e's aging rate is computed again. The limit is
// maxPaceDrift, or less if a smaller drift already causes an error of rateTolerance in the bound. The less e's pace
// depends on its kind's pace, the farther the kind's pace can drift. In a normalized group, the opposite holds: the
// more e's pace depends on its kind's pace, the farther that pace can drift. The reason is that rateScale follows the
// kind's pace, so a drift affects the bound only by the weight of e's own observations.
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

// maxAgingRate returns an upper bound of the rate at which e's tokens age. The bound is valid until the returned time,
// as long as the kind's pace has not passed e's paceLimit.
//
// In a normalized group, the bound is computed for a kind's pace of 1. An executor is in such a group if two conditions
// hold. First, there are few observations of the executor, so its pace mostly follows its kind's pace. Second, the
// executor has a free slot, so minWait does not depend on the pace.
func (d *Dispatcher) maxAgingRate(e *executor, kind *kindIndex, now time.Duration) (rate float64, until time.Duration) {
	wait, until := d.minWait(e, e.limitPace(), kind.maxConcurrency, now)
	return roundingUp * e.weight / (e.limitPace() * (d.classes.shortestObjective + wait).Seconds()), until
}

// limitPace returns the pace from which e's aging rate is computed. This is the pace that e would have if its kind's
// pace were paceLimit. In a normalized group, that pace is divided by paceLimit.
func (e *executor) limitPace() float64 {
	if e.indexed.group.normalized {
		return (1 + e.estimate.runTime/e.indexed.paceLimit) / (e.estimate.work + 1)
	}
	return (e.estimate.runTime + e.indexed.paceLimit) / (e.estimate.work + 1)
}

// currentRate returns an upper bound of e's aging rate at the given pace of its kind. This bound is tighter than
// agingRate, which holds for every pace of the kind down to paceLimit. In a normalized group, agingRate holds for every
// pace up to paceLimit.
func (e *executor) currentRate(pace float64) float64 {
	return roundingUp * e.indexed.agingRate * e.limitPace() * (e.estimate.work + 1) / (e.estimate.runTime + pace)
}

// rateScale returns the factor by which the aging rates of the group have to be multiplied. It is 1 unless the group is
// normalized.
func (g *tokenGroup) rateScale() float64 {
	if g.normalized {
		return roundingUp / g.kind.stats.pace
	}
	return 1
}

// minWait returns a lower bound of expectedWait for a job sent to e. The bound is valid until the returned time. If
// this node's attempts take all slots, the wait has two parts. The first part lasts until the first running attempt
// ends. The second part is the sum of the running times of the queued attempts, divided by the number of slots.
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
	rounding := time.Duration(len(e.attempts) + 2) // each term of the wait is truncated to a whole nanosecond
	wait = max(0, queued/time.Duration(slots)-rounding)
	left := firstEnd - now - 1
	if firstEnd == Forever || left <= 0 {
		return max(e.estimate.startWait, wait), Forever
	}
	// The wait shrinks as time passes. So the wait at the time until is a lower bound for all earlier times.
	until = now + max(min(left, (d.classes.shortestObjective+wait+left)/waitBoundDivisor), 1)
	return max(e.estimate.startWait, wait+firstEnd-1-until), until
}

// groupFor returns the kind's token group with the given key. It adds the group if there is none.
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

// bucketFor returns the group's bucket for an aging rate. It adds the bucket if there is none.
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

// syncHead updates the group's lists of buckets and heads after this bucket has changed.
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

// removeFromList removes the bucket and its head from the group's lists. The last bucket of the list moves to the free
// index.
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
