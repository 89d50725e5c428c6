package policy

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

// The index over executors. It decides nothing: it gives candidates, the most promising first, and stops once
// no other can be better by a bound that holds whatever runs. What changes an executor touches it; it is filed
// anew when candidates are asked for next.
//
// Those with an open token are filed by the rate at which it ages at the most, in fine steps, and in each step
// by its age. The slice is filed by pace as well: by how much of it was seen, and then by what was.

const (
	rateBucketsPerE    = 256       // steps of the rate for each factor of e
	evenPaceBuckets    = 16        // even steps of how much of a pace was seen
	halvingPaceBuckets = 24        // and halvings below the first of them
	roundingUp         = 1 + 1e-9  // room for rounding: what is as good must not be cut off
	roundingDown       = 1 - 1e-12 // and below a pace
	rateTolerance      = 1.0 / 512 // by which a rate may be too high as its kind's pace drifts
	maxPaceDrift       = 1.0 / 8   // and by which that may drift at the most before its executors are filed anew
)

// The piles that an executor can be in.
const (
	keyTokenAge  = iota // of its rate's step, its oldest free token's first
	keyPaceDrift        // of its kind: by the pace of the kind from which its rate no longer holds
	keyExpiry           // how long its place there holds
	keyPace             // of its step of pace, the quickest first
	keyKinds
)

// heapPosition is an executor's place in a pile.
type heapPosition struct {
	heap  *executorHeap
	index int
	key   int64
}

// executorHeap is a heap of executors, the least key first; each knows its place in it.
type executorHeap struct {
	keyKind   int
	executors []*executor
	bucket    *rateBucket // that it is of, where it is by age
}

// floatKey makes keys of figures that are not under 0.
func floatKey(x float64) int64 { return int64(math.Float64bits(x)) }

func (p *executorHeap) min() *executor {
	if len(p.executors) == 0 {
		return nil
	}
	return p.executors[0]
}

func (p *executorHeap) place(i int, e *executor) {
	p.executors[i], e.indexed.positions[p.keyKind].index = e, i
}

func (p *executorHeap) key(i int) int64 { return p.executors[i].indexed.positions[p.keyKind].key }

func (p *executorHeap) siftUp(i int) {
	for e := p.executors[i]; i > 0; {
		parent := (i - 1) / 2
		if p.key(parent) <= e.indexed.positions[p.keyKind].key {
			break
		}
		p.place(i, p.executors[parent])
		p.place(parent, e)
		i = parent
	}
}

func (p *executorHeap) siftDown(i int) {
	for e := p.executors[i]; ; {
		child := 2*i + 1
		if child >= len(p.executors) {
			return
		}
		if child+1 < len(p.executors) && p.key(child+1) < p.key(child) {
			child++
		}
		if p.key(child) >= e.indexed.positions[p.keyKind].key {
			return
		}
		p.place(i, p.executors[child])
		p.place(child, e)
		i = child
	}
}

// update puts an executor into a pile of its sort, and out of the one that it was in.
func (p *executorHeap) update(e *executor, key int64) {
	at := &e.indexed.positions[p.keyKind]
	if at.heap == p {
		was := at.key
		if at.key = key; key < was {
			p.siftUp(at.index)
		} else if key > was {
			p.siftDown(at.index)
		}
		return
	}
	e.removeFrom(p.keyKind)
	*at = heapPosition{p, len(p.executors), key}
	p.executors = append(p.executors, e)
	p.siftUp(at.index)
}

// removeFrom takes an executor out of its pile of that sort.
func (e *executor) removeFrom(by int) {
	p, at := e.indexed.positions[by].heap, e.indexed.positions[by].index
	if p == nil {
		return
	}
	e.indexed.positions[by].heap = nil
	last := len(p.executors) - 1
	moved := p.executors[last]
	p.executors[last], p.executors = nil, p.executors[:last]
	if at < last {
		p.place(at, moved)
		p.siftUp(at)
		p.siftDown(moved.indexed.positions[by].index)
	}
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

// How loaded an executor is, for late batch jobs: nothing of ours is out and they may use it, nothing is out, something is.
const (
	loadSpare = iota
	loadIdle
	loadBusy
)

// What keepers say: nothing, a place is given or none is needed, it is asked for.
const (
	leaseNeeded = iota
	leaseReady
	leasePending
)

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

// ranksBefore says whether a stands before b among j's candidates.
func (d *Dispatcher) ranksBefore(a, b *executor, j *job) bool {
	if d.boundToDedupGroup(j) {
		return byRank(a, b) < 0
	}
	return a.indexed.subsetRank < b.indexed.subsetRank
}

// rankAmong is e's place among j's candidates.
func (d *Dispatcher) rankAmong(e *executor, j *job) int {
	if d.boundToDedupGroup(j) {
		i, _ := slices.BinarySearchFunc(d.endpoints.ranked, e, byRank)
		return i
	}
	return e.indexed.subsetRank
}

// anyLocalUsable says whether some executor of the own zone that j may use takes something new, free token or not.
func (d *Dispatcher) anyLocalUsable(j *job, now time.Duration) bool {
	near := func(e *executor) bool {
		d.index.visited++
		return d.remoteSide(e) == 0 && d.isUsable(e, now) && d.isEligible(e, j, now)
	}
	if d.boundToDedupGroup(j) || d.subset.rezoned {
		return slices.ContainsFunc(d.eligibleExecutors(j), near)
	}
	for _, s := range d.index.kinds {
		if (j.class.kind == AnyKind || j.class.kind == s.id) && slices.ContainsFunc(s.localSubset, near) {
			return true
		}
	}
	return false
}

// ---- The slice ----

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

// ---- Paces ----

// indexPace files an executor of the slice by its pace without what runs: that is its kind's, plus the difference
// of its own times the part that was seen of it.
func (d *Dispatcher) indexPace(e *executor, s *kindIndex) {
	if e.indexed.subsetRank < 0 {
		e.removeFrom(keyPace)
		return
	}
	seen, key := e.estimate.work/(e.estimate.work+1), floatKey(e.estimate.runTime)
	at := int(seen * evenPaceBuckets)
	switch {
	case e.estimate.work <= 0:
		at = len(s.paceBuckets) - 1
	case at > 0:
		at, key = min(at, evenPaceBuckets-1), floatKey(e.estimate.runTime/e.estimate.work)
	default:
		_, exp := math.Frexp(seen) // it is from half of that power on, and less than it
		at, key = min(evenPaceBuckets-4-exp, evenPaceBuckets+halvingPaceBuckets-1), floatKey(e.estimate.runTime/e.estimate.work)
	}
	s.paceBuckets[at].update(e, key)
}

// minPace is the least that the pace of an executor, and of those after it in its step, can be.
func (s *kindIndex) minPace(step, i int) float64 {
	k := s.stats.pace
	own := math.Float64frombits(uint64(s.paceBuckets[step].key(i)))
	if step == len(s.paceBuckets)-1 {
		return (k + own) * roundingDown
	}
	from, to := float64(step)/evenPaceBuckets, float64(step+1)/evenPaceBuckets
	if step >= evenPaceBuckets {
		to = math.Ldexp(1, evenPaceBuckets-4-step)
		if from = to / 2; step == len(s.paceBuckets)-2 {
			from = 0
		}
	}
	if own < k {
		from = to
	}
	return (k + (own-k)*from) * roundingDown
}

// paceLowerBound is a pace that none of the slice is under.
func (d *Dispatcher) paceLowerBound(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	least := math.Inf(1)
	for _, s := range d.index.kinds {
		for step := range s.paceBuckets {
			if (id == AnyKind || id == s.id) && len(s.paceBuckets[step].executors) > 0 {
				least = min(least, s.minPace(step, 0))
			}
		}
	}
	return least
}

// lowestPace is the least pace of those of the slice that are up, infinite where there is none.
func (d *Dispatcher) lowestPace(id KindID, now time.Duration) float64 {
	d.reindexDirty(now)
	best := math.Inf(1)
	for _, s := range d.index.kinds {
		if id != AnyKind && id != s.id {
			continue
		}
		first, least := 0, math.Inf(1)
		for step := range s.paceBuckets {
			if len(s.paceBuckets[step].executors) > 0 {
				if to := s.minPace(step, 0); to < least {
					first, least = step, to
				}
			}
		}
		d.searchLowestPace(s, first, 0, &best, now)
		for step := range s.paceBuckets {
			if step != first {
				d.searchLowestPace(s, step, 0, &best, now)
			}
		}
	}
	return best
}

// searchLowestPace goes through a step of paces from its i-th on.
func (d *Dispatcher) searchLowestPace(s *kindIndex, step, i int, best *float64, now time.Duration) {
	if i >= len(s.paceBuckets[step].executors) || s.minPace(step, i) >= *best {
		return
	}
	d.index.visited++
	e, k := s.paceBuckets[step].executors[i], s.stats.pace
	pace := (e.estimate.runTime + k) / (e.estimate.work + 1)
	switch {
	case !e.available:
	case len(e.attempts) == 0:
		*best = min(*best, pace)
	case pace*roundingDown < *best:
		d.index.evaluated++
		*best = min(*best, d.pace(e, now))
	}
	d.searchLowestPace(s, step, 2*i+1, best, now)
	d.searchLowestPace(s, step, 2*i+2, best, now)
}

// ---- Those asked ----

// awaitReply notes an executor that is asked for a sign of life, or owes one.
func (d *Dispatcher) awaitReply(e *executor) {
	if !e.health.awaited {
		e.health.awaited = true
		d.health.awaitingReply = append(d.health.awaitingReply, e)
	}
}

// awaitingReplies are those of which an answer is awaited, in the order in which they were met.
func (d *Dispatcher) awaitingReplies() []*executor {
	d.health.awaitingReply = slices.DeleteFunc(d.health.awaitingReply, func(e *executor) bool {
		e.health.awaited = e.health.probeOut || e.health.unresponsive
		return !e.health.awaited
	})
	slices.SortFunc(d.health.awaitingReply, func(a, b *executor) int { return a.tokens.joined - b.tokens.joined })
	return d.health.awaitingReply
}

// addLeaseRequest notes an executor of which a place was asked for.
func (d *Dispatcher) addLeaseRequest(e *executor) {
	d.markDirty(e)
	if !e.lease.listed {
		e.lease.listed = true
		d.leases.requests = append(d.leases.requests, e)
	}
}

// pendingLeaseRequests are those of the slice of which a place was asked for, in its order.
func (d *Dispatcher) pendingLeaseRequests() []*executor {
	d.leases.requests = slices.DeleteFunc(d.leases.requests, func(e *executor) bool {
		e.lease.listed = e.lease.requested
		return !e.lease.listed
	})
	slices.SortFunc(d.leases.requests, func(a, b *executor) int { return a.indexed.subsetRank - b.indexed.subsetRank })
	return d.leases.requests
}

// eligibleExecutors are the slice's executors, or, for what may only be repeated in its dedup group, all of them.
func (d *Dispatcher) eligibleExecutors(j *job) []*executor {
	if d.boundToDedupGroup(j) {
		return d.endpoints.ranked
	}
	return d.subset.members
}
