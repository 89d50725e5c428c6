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
	rateSteps = 256       // steps of the rate for each factor of e
	paceSteps = 16        // even steps of how much of a pace was seen
	paceTails = 24        // and halvings below the first of them
	hair      = 1 + 1e-9  // room for rounding: what is as good must not be cut off
	hairPace  = 1 - 1e-12 // and below a pace
	drift     = 1.0 / 512 // by which a rate may be too high as its kind's pace drifts
	mostDrift = 1.0 / 8   // and by which that may drift at the most before its executors are filed anew
)

// The piles that an executor can be in.
const (
	byAge   = iota // of its rate's step, its oldest free token's first
	byDrift        // of its kind: by the pace of the kind from which its rate no longer holds
	byUntil        // how long its place there holds
	byPace         // of its step of pace, the quickest first
	allPiles
)

// place is an executor's place in a pile.
type place struct {
	in  *pile
	at  int
	key int64
}

// pile is a heap of executors, the least key first; each knows its place in it.
type pile struct {
	by   int
	list []*executor
	step *step // that it is of, where it is by age
}

// order makes keys of figures that are not under 0.
func order(x float64) int64 { return int64(math.Float64bits(x)) }

func (p *pile) first() *executor {
	if len(p.list) == 0 {
		return nil
	}
	return p.list[0]
}

func (p *pile) set(i int, e *executor) { p.list[i], e.places[p.by].at = e, i }

func (p *pile) key(i int) int64 { return p.list[i].places[p.by].key }

func (p *pile) up(i int) {
	for e := p.list[i]; i > 0; {
		parent := (i - 1) / 2
		if p.key(parent) <= e.places[p.by].key {
			break
		}
		p.set(i, p.list[parent])
		p.set(parent, e)
		i = parent
	}
}

func (p *pile) down(i int) {
	for e := p.list[i]; ; {
		child := 2*i + 1
		if child >= len(p.list) {
			return
		}
		if child+1 < len(p.list) && p.key(child+1) < p.key(child) {
			child++
		}
		if p.key(child) >= e.places[p.by].key {
			return
		}
		p.set(i, p.list[child])
		p.set(child, e)
		i = child
	}
}

// put puts an executor into a pile of its sort, and out of the one that it was in.
func (p *pile) put(e *executor, key int64) {
	at := &e.places[p.by]
	if at.in == p {
		was := at.key
		if at.key = key; key < was {
			p.up(at.at)
		} else if key > was {
			p.down(at.at)
		}
		return
	}
	e.unfile(p.by)
	*at = place{p, len(p.list), key}
	p.list = append(p.list, e)
	p.up(at.at)
}

// unfile takes an executor out of its pile of that sort.
func (e *executor) unfile(by int) {
	p, at := e.places[by].in, e.places[by].at
	if p == nil {
		return
	}
	e.places[by].in = nil
	last := len(p.list) - 1
	moved := p.list[last]
	p.list[last], p.list = nil, p.list[:last]
	if at < last {
		p.set(at, moved)
		p.up(at)
		p.down(moved.places[by].at)
	}
}

// shelf is a kind's part of the index.
type shelf struct {
	id     KindID
	kind   *kindStats
	most   int // the most places that bounds are reckoned with: no fewer than the kind has now
	groups []*group
	floors pile                            // whose rates hold while the kind's pace is not under a floor, the highest first
	tops   pile                            // and not over a top, the lowest first
	paces  [paceSteps + paceTails + 1]pile // the last one's have no pace of their own
	near   []*executor                     // the slice's of the own zone, as it was picked last
}

// How loaded an executor is, for late batch jobs: nothing of ours is out and they may use it, nothing is out, something is.
const (
	spare = iota
	idle
	loaded
)

// What keepers say: nothing, a place is given or none is needed, it is asked for.
const (
	unasked = iota
	cleared
	awaited
)

// sort is what all of a group have alike.
type sort struct {
	far      bool
	inSubset bool
	load     int
	keeper   int
	scaled   bool // rates are for a pace of the kind of 1
}

// group holds the open tokens of executors of one sort, by steps of their rates.
type group struct {
	sort
	shelf *shelf
	steps map[int]*step
	list  []*step // those that are not empty
	heads []head  // and what a bound for each is reckoned from
}

// step is the executors of a group whose rates are nearly alike.
type step struct {
	pile
	of  *group
	top float64 // no rate is higher
	at  int     // in the group's list; -1 while it is empty
}

type head struct {
	top  float64
	free int64
}

// index is what the dispatcher keeps of all.
type index struct {
	shelves          []*shelf
	until            pile
	touched          []*executor
	spareSubset      []*executor // the slice as it was before, for its memory
	looks            int         // executors looked at, for tests
	bounds           int         // steps whose bounds were
	weighed          int         // and those weighed in full
	filed            int         // times that an open token was filed
	subsetChanged    bool        // what the slice hangs on has changed
	subsetValidUntil time.Duration
	rezoned          bool // an executor of the slice has another zone or kind than when it was picked
	awaitingReply    []*executor
	leaseRequests    []*executor
	tokenOrders      int         // executors met so far
	unranked         []*executor // that have no rank yet
	takers           []takers    // of the list that is looked through
}

// newShelf makes room in the index for a kind.
func (d *Dispatcher) newShelf(id KindID, k *kindStats) {
	s := &shelf{id: id, kind: k, most: k.concurrency, floors: pile{by: byDrift}, tops: pile{by: byDrift}}
	for i := range s.paces {
		s.paces[i].by = byPace
	}
	k.shelf = s
	d.shelves = append(d.shelves, s)
}

// touch has an executor filed anew, as something changed that its place hangs on.
func (d *Dispatcher) touch(e *executor) {
	if !e.touched {
		e.touched = true
		d.touched = append(d.touched, e)
	}
}

func (d *Dispatcher) touchAll(list []*executor) {
	for _, e := range list {
		d.touch(e)
	}
}

// refile files what was touched, and what has stood longer than its bound holds.
func (d *Dispatcher) refile(now time.Duration) {
	for _, s := range d.shelves {
		if s.kind.concurrency > s.most {
			d.setMost(s)
		}
		for e := s.floors.first(); e != nil && e.limit > s.kind.pace; e = s.floors.first() {
			d.file(e, now)
		}
		for e := s.tops.first(); e != nil && e.limit < s.kind.pace; e = s.tops.first() {
			d.file(e, now)
		}
	}
	for e := d.until.first(); e != nil && e.places[byUntil].key <= int64(now); e = d.until.first() {
		d.file(e, now)
	}
	for _, e := range d.touched {
		e.touched = false
		d.file(e, now)
	}
	d.touched = d.touched[:0]
}

// forgetPlaces lets the most places of the kinds fall to what they are now, at an interval's end.
func (d *Dispatcher) forgetPlaces() {
	for _, s := range d.shelves {
		if s.most != s.kind.concurrency {
			d.setMost(s)
		}
	}
}

// setMost takes the places of a kind as they are now, which all its bounds hang on.
func (d *Dispatcher) setMost(s *shelf) {
	s.most = s.kind.concurrency
	d.touchAll(s.floors.list)
	d.touchAll(s.tops.list)
}

// file files an executor as it is now.
func (d *Dispatcher) file(e *executor, now time.Duration) {
	s := d.kinds[e.kind].shelf
	d.filePace(e, s)
	old := e.places[byAge].in
	if len(e.freeTokens) == 0 || e.removed || e.inFlightCap > 0 && e.takenTokens >= e.inFlightCap {
		if old != nil {
			e.unfile(byAge)
			e.unfile(byDrift)
			e.unfile(byUntil)
			old.step.show()
		}
		return
	}
	of := sort{far: d.remoteSide(e) > 0, inSubset: e.subsetRank >= 0, load: loaded, keeper: cleared, scaled: e.workSeen <= 1 && len(e.attempts) < s.most}
	if len(e.attempts) == 0 {
		of.load = idle
		if of.inSubset && e.subsetRank < d.lateSubsetSize {
			of.load = spare
		}
	}
	until := Forever
	if d.canLease && d.usesSubset() && !e.leaseGranted {
		switch {
		case e.leaseBypassUntil > now:
			until = e.leaseBypassUntil
		case e.leaseRequested:
			of.keeper = awaited
		default:
			of.keeper = unasked
		}
	}
	k := s.kind.pace
	if old != nil && e.group.sort == of && e.group.shelf == s && until == Forever && e.places[byUntil].in == nil &&
		e.places[byAge].key == int64(e.freeTokens[0]) && (e.limit <= k || of.scaled) && (e.limit >= k || !of.scaled) {
		// What it was reckoned with still holds, and little has changed: most of those that only grow older stay.
		rate, to := d.rateOf(e, s, now)
		if to == Forever && rate <= e.rate && rate >= e.rate*(1-drift) && e.tight(k)*(1+3*drift) >= e.rate*e.group.scale() {
			return
		}
	}
	d.filed++
	e.group = s.group(of)
	if part := e.workSeen / (e.workSeen + 1); of.scaled {
		e.limit = k * (1 + min(mostDrift, drift/part))
		s.tops.put(e, order(e.limit))
	} else {
		e.limit = k * (1 - min(mostDrift, drift/(1-part)))
		s.floors.put(e, -order(e.limit))
	}
	rate, to := d.rateOf(e, s, now)
	e.rate, until = rate, min(until, to)
	t := e.group.step(e.rate)
	t.put(e, int64(e.freeTokens[0]))
	if t.show(); old != nil && old != &t.pile {
		old.step.show()
	}
	if until < Forever {
		d.until.put(e, int64(until))
	} else {
		e.unfile(byUntil)
	}
}

// rateOf is the rate at which e's tokens age at the most, until then, while its kind's pace keeps to the limit: where
// little of e's own pace was seen, for a pace of the kind of 1, as most of its pace goes up and down with that. Such
// ones are never full, so leastWait makes nothing of the pace.
func (d *Dispatcher) rateOf(e *executor, s *shelf, now time.Duration) (rate float64, until time.Duration) {
	wait, until := d.leastWait(e, e.limitPace(), s.most, now)
	return hair * e.weight / (e.limitPace() * (d.shortestObjective + wait).Seconds()), until
}

// limitPace is the pace that e's rate is reckoned with.
func (e *executor) limitPace() float64 {
	if e.group.scaled {
		return (1 + e.runTimeSeen/e.limit) / (e.workSeen + 1)
	}
	return (e.runTimeSeen + e.limit) / (e.workSeen + 1)
}

// tight is the bound of e's rate with its kind's pace as it is.
func (e *executor) tight(pace float64) float64 {
	return hair * e.rate * e.limitPace() * (e.workSeen + 1) / (e.runTimeSeen + pace)
}

// scale is what the group's rates are to be taken times.
func (g *group) scale() float64 {
	if g.scaled {
		return hair / g.shelf.kind.pace
	}
	return 1
}

// leastWait is the least that a batch job sent to e would wait there, until then. It follows waitAt: where as many
// are out as there are places, no less than what waits there needs, and what the first to end has left.
func (d *Dispatcher) leastWait(e *executor, pace float64, places int, now time.Duration) (wait, until time.Duration) {
	if len(e.attempts) < places {
		return e.startWait, Forever
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
		until = now + max(min(left, (d.shortestObjective+wait+left)/8), 1)
		return max(e.startWait, wait+first-1-until), until
	}
	return max(e.startWait, wait), Forever
}

// group is the kind's group of that sort.
func (s *shelf) group(of sort) *group {
	for _, g := range s.groups {
		if g.sort == of {
			return g
		}
	}
	g := &group{sort: of, shelf: s, steps: map[int]*step{}}
	s.groups = append(s.groups, g)
	return g
}

// step is the group's step that a rate is in.
func (g *group) step(rate float64) *step {
	at, top := 0, math.Inf(1)
	if log := math.Floor(math.Log(rate) * rateSteps); math.Abs(log) < 1e6 {
		at = int(log)
		top = hair * math.Exp((log+1)/rateSteps)
	} else {
		at = 1e6
	}
	t := g.steps[at]
	if t == nil {
		if len(g.steps) > 2*len(g.list)+64 { // most are empty by now
			maps.DeleteFunc(g.steps, func(_ int, t *step) bool { return t.at < 0 })
		}
		t = &step{pile: pile{by: byAge}, of: g, top: top, at: -1}
		t.pile.step = t
		g.steps[at] = t
	}
	return t
}

// show keeps the group's list of steps as the step is now.
func (t *step) show() {
	g := t.of
	switch e := t.first(); {
	case e == nil && t.at < 0:
	case e == nil:
		last := len(g.list) - 1
		g.list[t.at], g.heads[t.at] = g.list[last], g.heads[last]
		g.list[t.at].at = t.at
		g.list, g.heads, t.at = g.list[:last], g.heads[:last], -1
	case t.at < 0:
		t.at = len(g.list)
		g.list, g.heads = append(g.list, t), append(g.heads, head{t.top, e.places[byAge].key})
	default:
		g.heads[t.at].free = e.places[byAge].key
	}
}

// oldest is the most that a token's age can be by now.
func (h head) oldest(now time.Duration) float64 { return h.top * float64(max(0, int64(now)-h.free)) }

// wish is what candidates are wanted for.
type wish struct {
	*job
	now        time.Duration
	far        bool    // in another zone
	late, asks bool    // it is late; a keeper is to be asked
	mostPace   float64 // a higher pace is no use
	least      float64 // nor is a lower age
}

// likely gives executors with an open token that may be of use, by bounds alone: what it leaves out is of none.
func (d *Dispatcher) likely(w *wish) iter.Seq[*executor] {
	return func(yield func(*executor) bool) {
		if d.boundToDedupGroup(w.job) && w.class.dedupGroup != DedupZone {
			for _, e := range d.ranked {
				d.looks++
				if (d.remoteSide(e) > 0) == w.far && !yield(e) {
					return
				}
			}
			return
		}
		d.refile(w.now)
		var first *step
		oldest := -1.0
		for g := range d.suiting(w) {
			scale := g.scale()
			d.bounds += len(g.heads)
			for i, h := range g.heads {
				if age := scale * h.oldest(w.now); !(age <= oldest) {
					first, oldest = g.list[i], age
				}
			}
		}
		if first == nil || !d.walk(first, 0, w, yield) {
			return
		}
		for g := range d.suiting(w) {
			scale := g.scale()
			for i, h := range g.heads {
				if t := g.list[i]; t != first && !(scale*h.oldest(w.now) < w.least) && !d.walk(t, 0, w, yield) {
					return
				}
			}
		}
	}
}

// mostPace is the pace with which no executor could answer j in time, however short the wait; any is good for
// a late one. It has room for rounding: whether one can is judged by age.
func (j *job) mostPace(now time.Duration, late bool) float64 {
	if late {
		return math.Inf(1)
	}
	return (float64(max(0, j.objectiveAt-now)+2)/j.predictionMargin + 2) / float64(max(1, j.work)) * hair
}

// suiting gives the groups whose executors may be candidates at all.
func (d *Dispatcher) suiting(w *wish) iter.Seq[*group] {
	return func(yield func(*group) bool) {
		for _, s := range d.shelves {
			if w.class.kind != AnyKind && w.class.kind != s.id {
				continue
			}
			for _, g := range s.groups {
				if len(g.list) > 0 && d.suits(g, w) && !yield(g) {
					return
				}
			}
		}
	}
}

// suits says whether a group's executors may be candidates at all.
func (d *Dispatcher) suits(g *group, w *wish) bool {
	keeper := cleared
	if w.asks {
		keeper = unasked
	}
	if g.far != w.far || g.keeper != keeper {
		return false
	}
	if d.boundToDedupGroup(w.job) {
		return !w.late || g.load != loaded
	}
	return g.inSubset && (!w.late || g.load == spare || g.load == idle && w.class.lateValue == 0)
}

// walk goes through a step from its i-th on, and leaves out what is too young, with all that is younger, or too slow.
func (d *Dispatcher) walk(t *step, i int, w *wish, yield func(*executor) bool) bool {
	if i >= len(t.list) {
		return true
	}
	d.looks++
	e, k := t.list[i], t.of.shelf.kind.pace
	age := float64(max(0, w.now-e.freeTokens[0]))
	scale := t.of.scale()
	if scale*t.top*age < w.least {
		return true
	}
	rate := e.tight(k)
	if scale*e.rate > rate*(1+3*drift) { // its kind's pace has drifted: guards against bounds that are ever looser
		d.touch(e)
	}
	if !(rate*age < w.least) && !((e.runTimeSeen+k)/(e.workSeen+1)*hairPace > w.mostPace) && !yield(e) {
		return false
	}
	return d.walk(t, 2*i+1, w, yield) && d.walk(t, 2*i+2, w, yield)
}

// openTo says whether any token is open that j may use: without one there is nothing to look for.
func (d *Dispatcher) openTo(j *job, now time.Duration, asks bool) bool {
	if d.boundToDedupGroup(j) {
		return true
	}
	d.refile(now)
	for _, s := range d.shelves {
		if j.class.kind != AnyKind && j.class.kind != s.id {
			continue
		}
		for _, g := range s.groups {
			if len(g.list) > 0 && g.inSubset && (g.keeper == unasked) == asks && g.keeper != awaited {
				return true
			}
		}
	}
	return false
}

// anyOpen says whether any token is open at all, to whatever is held.
func (d *Dispatcher) anyOpen(now time.Duration) bool {
	d.refile(now)
	return slices.ContainsFunc(d.shelves, func(s *shelf) bool {
		return slices.ContainsFunc(s.groups, func(g *group) bool { return len(g.list) > 0 && g.keeper == cleared })
	})
}

// ahead says whether a stands before b among j's candidates.
func (d *Dispatcher) ahead(a, b *executor, j *job) bool {
	if d.boundToDedupGroup(j) {
		return byRank(a, b) < 0
	}
	return a.subsetRank < b.subsetRank
}

// among is e's place among j's candidates.
func (d *Dispatcher) among(e *executor, j *job) int {
	if d.boundToDedupGroup(j) {
		i, _ := slices.BinarySearchFunc(d.ranked, e, byRank)
		return i
	}
	return e.subsetRank
}

// anyLocalUsable says whether some executor of the own zone that j may use takes something new, free token or not.
func (d *Dispatcher) anyLocalUsable(j *job, now time.Duration) bool {
	near := func(e *executor) bool {
		d.looks++
		return d.remoteSide(e) == 0 && d.isUsable(e, now) && d.isEligible(e, j, now)
	}
	if d.boundToDedupGroup(j) || d.rezoned {
		return slices.ContainsFunc(d.eligibleExecutors(j), near)
	}
	for _, s := range d.shelves {
		if (j.class.kind == AnyKind || j.class.kind == s.id) && slices.ContainsFunc(s.near, near) {
			return true
		}
	}
	return false
}

// ---- The slice ----

// beginSubset begins the slice anew, and gives the one before.
func (d *Dispatcher) beginSubset() []*executor {
	was := d.subset
	for _, e := range was {
		e.subsetRank = -1
	}
	d.subset, d.spareSubset = d.spareSubset[:0], was
	d.subsetChanged, d.rezoned, d.subsetValidUntil = false, false, Forever
	return was
}

// limitSubsetValidity books until when an executor that the slice was picked by stands as it does, if nothing else comes.
func (d *Dispatcher) limitSubsetValidity(e *executor, now time.Duration) {
	for _, at := range [...]time.Duration{e.ejectedUntil, e.slowStartUntil, d.slowStartReservedUntil} {
		if at > now {
			d.subsetValidUntil = min(d.subsetValidUntil, at)
		}
	}
}

// finishSubset gives the slice's executors their places, and files those that came, went or are for late ones no more.
func (d *Dispatcher) finishSubset(was []*executor) {
	for _, s := range d.shelves {
		s.near = s.near[:0]
	}
	for i, e := range d.subset {
		if e.subsetRank >= 0 {
			continue
		}
		e.subsetRank = i
		g := e.group
		if e.places[byPace].in == nil || g == nil || !g.inSubset || (g.load == spare) != (len(e.attempts) == 0 && i < d.lateSubsetSize) {
			d.touch(e)
		}
		if d.remoteSide(e) == 0 {
			s := d.kinds[e.kind].shelf
			s.near = append(s.near, e)
		}
	}
	for _, e := range was {
		if e.subsetRank < 0 {
			d.touch(e)
		}
	}
	clear(d.spareSubset[len(d.spareSubset):cap(d.spareSubset)]) // what is gone is not to be kept
}

// ---- Paces ----

// filePace files an executor of the slice by its pace without what runs: that is its kind's, plus the difference
// of its own times the part that was seen of it.
func (d *Dispatcher) filePace(e *executor, s *shelf) {
	if e.subsetRank < 0 {
		e.unfile(byPace)
		return
	}
	seen, key := e.workSeen/(e.workSeen+1), order(e.runTimeSeen)
	at := int(seen * paceSteps)
	switch {
	case e.workSeen <= 0:
		at = len(s.paces) - 1
	case at > 0:
		at, key = min(at, paceSteps-1), order(e.runTimeSeen/e.workSeen)
	default:
		_, exp := math.Frexp(seen) // it is from half of that power on, and less than it
		at, key = min(paceSteps-4-exp, paceSteps+paceTails-1), order(e.runTimeSeen/e.workSeen)
	}
	s.paces[at].put(e, key)
}

// leastPace is the least that the pace of an executor, and of those after it in its step, can be.
func (s *shelf) leastPace(step, i int) float64 {
	k := s.kind.pace
	own := math.Float64frombits(uint64(s.paces[step].key(i)))
	if step == len(s.paces)-1 {
		return (k + own) * hairPace
	}
	from, to := float64(step)/paceSteps, float64(step+1)/paceSteps
	if step >= paceSteps {
		to = math.Ldexp(1, paceSteps-4-step)
		if from = to / 2; step == len(s.paces)-2 {
			from = 0
		}
	}
	if own < k {
		from = to
	}
	return (k + (own-k)*from) * hairPace
}

// atLeast is a pace that none of the slice is under.
func (d *Dispatcher) atLeast(id KindID, now time.Duration) float64 {
	d.refile(now)
	least := math.Inf(1)
	for _, s := range d.shelves {
		for step := range s.paces {
			if (id == AnyKind || id == s.id) && len(s.paces[step].list) > 0 {
				least = min(least, s.leastPace(step, 0))
			}
		}
	}
	return least
}

// quickest is the least pace of those of the slice that are up, infinite where there is none.
func (d *Dispatcher) quickest(id KindID, now time.Duration) float64 {
	d.refile(now)
	best := math.Inf(1)
	for _, s := range d.shelves {
		if id != AnyKind && id != s.id {
			continue
		}
		first, least := 0, math.Inf(1)
		for step := range s.paces {
			if len(s.paces[step].list) > 0 {
				if to := s.leastPace(step, 0); to < least {
					first, least = step, to
				}
			}
		}
		d.quicker(s, first, 0, &best, now)
		for step := range s.paces {
			if step != first {
				d.quicker(s, step, 0, &best, now)
			}
		}
	}
	return best
}

// quicker goes through a step of paces from its i-th on.
func (d *Dispatcher) quicker(s *shelf, step, i int, best *float64, now time.Duration) {
	if i >= len(s.paces[step].list) || s.leastPace(step, i) >= *best {
		return
	}
	d.looks++
	e, k := s.paces[step].list[i], s.kind.pace
	pace := (e.runTimeSeen + k) / (e.workSeen + 1)
	switch {
	case !e.available:
	case len(e.attempts) == 0:
		*best = min(*best, pace)
	case pace*hairPace < *best:
		d.weighed++
		*best = min(*best, d.pace(e, now))
	}
	d.quicker(s, step, 2*i+1, best, now)
	d.quicker(s, step, 2*i+2, best, now)
}

// ---- Those asked ----

// awaitReply notes an executor that is asked for a sign of life, or owes one.
func (d *Dispatcher) awaitReply(e *executor) {
	if !e.awaited {
		e.awaited = true
		d.awaitingReply = append(d.awaitingReply, e)
	}
}

// awaitingReplies are those of which an answer is awaited, in the order in which they were met.
func (d *Dispatcher) awaitingReplies() []*executor {
	d.awaitingReply = slices.DeleteFunc(d.awaitingReply, func(e *executor) bool {
		e.awaited = e.probeOut || e.unresponsive
		return !e.awaited
	})
	slices.SortFunc(d.awaitingReply, func(a, b *executor) int { return a.tokenOrder - b.tokenOrder })
	return d.awaitingReply
}

// addLeaseRequest notes an executor of which a place was asked for.
func (d *Dispatcher) addLeaseRequest(e *executor) {
	d.touch(e)
	if !e.inLeaseRequests {
		e.inLeaseRequests = true
		d.leaseRequests = append(d.leaseRequests, e)
	}
}

// pendingLeaseRequests are those of the slice of which a place was asked for, in its order.
func (d *Dispatcher) pendingLeaseRequests() []*executor {
	d.leaseRequests = slices.DeleteFunc(d.leaseRequests, func(e *executor) bool {
		e.inLeaseRequests = e.leaseRequested
		return !e.inLeaseRequests
	})
	slices.SortFunc(d.leaseRequests, func(a, b *executor) int { return a.subsetRank - b.subsetRank })
	return d.leaseRequests
}

// eligibleExecutors are the slice's executors, or, for what may only be repeated in its dedup group, all of them.
func (d *Dispatcher) eligibleExecutors(j *job) []*executor {
	if d.boundToDedupGroup(j) {
		return d.ranked
	}
	return d.subset
}
