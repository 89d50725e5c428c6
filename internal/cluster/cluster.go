// Package cluster decides what a node makes of the other nodes that it talks with: which of their figures still count, where the cut line lies for all of
// them together, and which executors count as draining because a neighbour's list says so. It does no input or output and reads no clock. What it
// says goes out as words to neighbours, a bounded number each spell however large the fleet is; nothing waits for an answer.
//
// Its words: a neighbour is another node of the fleet, a word what one tells another, a view what this node knows of a neighbour. An age is a span,
// counted on by who holds the figure.
package cluster

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"birchstair/policy"
)

// NodeName is a node's name in the fleet.
type NodeName string

// Settings are what a node is told of its fleet.
type Settings struct {
	Self           NodeName
	Incarnation    uint64        // differs with each start; a later start's is higher: Unix milliseconds then
	Seed           uint32        // for chance
	Epoch          int64         // Unix milliseconds at which this node's spans start, by the clock that it reads the list with
	GossipInterval time.Duration // between two words to neighbours
	Fanout         int           // neighbours that are told each time
	PeerStateTTL   time.Duration // a neighbour's figures count until they are so old
	DrainTTL       time.Duration // and a drain that it told of
}

// Defaults are the settings that need no choice.
func Defaults(self NodeName, life uint64, seed uint32) Settings {
	return Settings{Self: self, Incarnation: life, Seed: seed, Epoch: int64(life), GossipInterval: 250 * time.Millisecond, Fanout: 3, PeerStateTTL: 4 * time.Second, DrainTTL: 10 * time.Second}
}

// Smoothing is what figures are averaged over.
const Smoothing = 1500 * time.Millisecond

const (
	stood      = 3    // spells without a turn after which what waited unread is old
	mostDrains = 24   // in a word
	keptDrains = 4096 // in mind
	clip       = 8    // times the median of what neighbours tell that one of them may count for
	clipFrom   = 3    // neighbours from which on a median says something; below that a node goes by what it sees itself
	witnesses  = 0.25 // part of the nodes known that must see losses themselves before a line is drawn; two at least
	begin      = 0.03 // part of the work lost for want of tokens from which on a line is drawn
	headroom   = 0.25 // work over what is done that is taken as long as none is lost
	spare      = 0.05 // part lost at which no more is taken than is done
	patience   = 0.4  // part of its slack that work may wait in overload
	sure       = 0.8  // of what executors can do is always taken
	trace      = 0.02 // of what is offered: less of dearer work does not count
	crowded    = 0.75 // of what executors can do must get done before a line is drawn
	eased      = 0.25 // of full: under it the line is taken back, as nothing is short any more
	idle       = 0.6  // and while it stays
	least      = 0.8  // of what is done: taken at the least
	moved      = 0.1  // of what is done may be moved, by the wishes of all
)

// Message is what one node tells another. All in it the teller saw itself, but for drains, whose age grows on the way.
type Message struct {
	From        NodeName
	Incarnation uint64
	Seq         uint64
	Rates       Rates
	Drains      []Drain
}

// Rates are rates of one node, in seconds of work on a standard core a second, averaged.
type Rates struct {
	Offered    map[int]float64 // by rung
	Admitted   float64
	Completed  float64
	Expired    float64
	Migrations float64 // that would be moved, had moves no budget
	Waiting    float64 // work that waits against its slack, not a rate
}

// Drain says that an executor drains or is gone, as some node's own list said Age ago, of the start that the list calls Born.
type Drain struct {
	Executor    policy.ExecutorID
	Incarnation int64 // 0: long ago
	Age         time.Duration
}

// Envelope is a word and whom it goes to.
type Envelope struct {
	To      NodeName
	Message Message
}

// view is what is known of a neighbour.
type view struct {
	life, seq uint64
	at        time.Duration // when its figures were told
	figures   Rates
}

// drain is what this node holds true of an executor that drains.
type drain struct {
	born int64         // the start that it is about
	seen time.Duration // when a node's own list last said so
	own  bool          // this node's list says so
	gone bool          // or said so last, before it named the executor no more
}

// Fleet is what a node knows of its fleet.
type Fleet struct {
	s        Settings
	next     time.Duration // when the next words are due
	last     time.Duration // when this node had its last turn here
	deaf     time.Duration // until then what comes may have waited unread
	seq      uint64
	count    uint32
	alive    []NodeName // neighbours that the edge holds for alive, in order
	turn     int
	views    map[NodeName]*view
	drains   map[policy.ExecutorID]*drain
	back     map[policy.ExecutorID]time.Duration // when this node's own list took a drain back
	turnD    int
	figures  Rates
	since    time.Duration // over which they are averaged so far
	capacity float64       // of all executors, as this node sees them
	line     policy.AdmissionThreshold
	drawn    bool // a line is drawn
	dropped  map[string]int
	words    int // told
	heard    int
}

// New makes the state of a node that knows no neighbour yet.
func New(s Settings) *Fleet {
	return &Fleet{s: s, next: s.GossipInterval, views: map[NodeName]*view{}, drains: map[policy.ExecutorID]*drain{}, back: map[policy.ExecutorID]time.Duration{}, dropped: map[string]int{},
		figures: Rates{Offered: map[int]float64{}}}
}

func (f *Fleet) chance() float64 {
	f.count++
	return policy.Random(f.s.Seed, f.count)
}

// Next is when Tick is due.
func (f *Fleet) Next() time.Duration { return f.next }

// SetAlive tells which neighbours the edge holds for alive from now on.
func (f *Fleet) SetAlive(names []NodeName) {
	f.alive = slices.DeleteFunc(slices.Sorted(slices.Values(names)), func(n NodeName) bool { return n == f.s.Self })
	f.alive = slices.Compact(f.alive)
}

// ---- Words ----

// Tick is due every spell: it takes what the module saw since the last one, and gives the words to be told and the cut line.
func (f *Fleet) Tick(now time.Duration, t policy.LoadSummary) ([]Envelope, policy.AdmissionThreshold) {
	span := now - f.last
	f.last, f.next = now, now+f.s.GossipInterval
	if span > stood*f.s.GossipInterval {
		// This node stood still: what waits unread is old, and so are its own figures.
		f.deaf, f.drawn, f.since = now+f.s.GossipInterval, false, 0
		f.figures = Rates{Offered: map[int]float64{}}
	} else {
		f.average(t, span)
	}
	f.forget(now)
	f.draw(now)
	var out []Envelope
	for range min(f.s.Fanout, len(f.alive)) {
		out = append(out, Envelope{f.pick(), f.word(now)})
	}
	f.words += len(out)
	return out, f.line
}

// pick is the next neighbour to be told: each in turn, in an order that is drawn anew each round.
func (f *Fleet) pick() NodeName {
	if f.turn == 0 {
		for i := len(f.alive) - 1; i > 0; i-- {
			j := min(int(f.chance()*float64(i+1)), i)
			f.alive[i], f.alive[j] = f.alive[j], f.alive[i]
		}
	}
	n := f.alive[f.turn%len(f.alive)]
	f.turn = (f.turn + 1) % len(f.alive)
	return n
}

// word is what a neighbour is told now: this node's own figures, and as many drains as there is room for, in turn.
func (f *Fleet) word(now time.Duration) Message {
	f.seq++
	w := Message{From: f.s.Self, Incarnation: f.s.Incarnation, Seq: f.seq, Rates: f.figures.Clone()}
	ids := slices.Sorted(maps.Keys(f.drains))
	for range min(len(ids), mostDrains) {
		f.turnD = (f.turnD + 1) % len(ids)
		id := ids[f.turnD]
		d := f.drains[id]
		w.Drains = append(w.Drains, Drain{Executor: id, Incarnation: d.born, Age: now - d.seen})
	}
	return w
}

// Receive takes a neighbour's word in, and gives the executors of which it says something new. What it can't use it drops and counts: a name that is this
// node's own or unknown, an earlier life, an older word, figures that make no sense.
func (f *Fleet) Receive(now time.Duration, w Message) (changed []policy.ExecutorID) {
	if why := f.unfit(now, w); why != "" {
		f.dropped[why]++
		return nil
	}
	v := f.views[w.From]
	if v == nil {
		v = &view{}
		f.views[w.From] = v
	}
	*v = view{life: w.Incarnation, seq: w.Seq, at: now, figures: w.Rates}
	f.heard++
	for _, d := range w.Drains {
		if f.told(now, d) {
			changed = append(changed, d.Executor)
		}
	}
	return changed
}

func (f *Fleet) unfit(now time.Duration, w Message) string {
	v := f.views[w.From]
	switch {
	case w.From == f.s.Self:
		return "in this node's own name"
	case now < f.deaf || now-f.last > stood*f.s.GossipInterval:
		// Guards against a node that was stopped and wakes: what waited unread meanwhile would count as fresh.
		return "unread for long"
	case !slices.Contains(f.alive, w.From):
		return "of a node that is not in the fleet"
	case v != nil && w.Incarnation < v.life:
		return "of an earlier life"
	case v != nil && w.Incarnation == v.life && w.Seq <= v.seq:
		return "older than one before"
	case !w.Rates.sound():
		return "with figures that make no sense"
	}
	return ""
}

// Clone is a copy that shares nothing.
func (g Rates) Clone() Rates {
	g.Offered = maps.Clone(g.Offered)
	return g
}

func (g Rates) sound() bool {
	ok := func(x float64) bool { return x >= 0 && x <= mostRate } // not for what is no number, either
	for rung, x := range g.Offered {
		if rung < 0 || rung >= policy.PriorityLevels || !ok(x) {
			return false
		}
	}
	return ok(g.Admitted) && ok(g.Completed) && ok(g.Expired) && ok(g.Migrations) && ok(g.Waiting)
}

// mostRate is more work a second than any node could be offered.
const mostRate = 1e7

// ---- Drains ----

// born names the start of an executor as the list does, alike at all nodes whatever their clocks say; 0 for long ago.
func (f *Fleet) born(started time.Duration, longAgo bool) int64 {
	if longAgo {
		return 0
	}
	return f.s.Epoch + started.Milliseconds()
}

// ObserveEndpoint tells what this node's own list says of an executor.
func (f *Fleet) ObserveEndpoint(now time.Duration, id policy.ExecutorID, started time.Duration, longAgo bool, state policy.EndpointState) {
	d, born := f.drains[id], f.born(started, longAgo)
	switch {
	case state != policy.Available:
		if state == policy.Removed && d != nil {
			born = max(born, d.born) // one that is gone may be named without its start
		}
		delete(f.back, id)
		f.keep(id, &drain{born: born, seen: now, own: true, gone: state == policy.Removed})
	case d == nil:
	case d.own:
		delete(f.drains, id)
		f.back[id] = now // what others saw of that drain before now is older than this
	case born > d.born:
		delete(f.drains, id)
	}
}

// told takes in hearsay of a drain, and says whether it is new. Hearsay never grows young: it counts until it is DrainFor old, from the last time that some
// node's own list said so.
func (f *Fleet) told(now time.Duration, h Drain) bool {
	if h.Age < 0 || h.Age > f.s.DrainTTL || h.Incarnation < 0 || h.Executor == "" || len(h.Executor) > longestID {
		return false
	}
	d, seen := f.drains[h.Executor], now-h.Age
	if at, ok := f.back[h.Executor]; ok && seen <= at {
		return false
	}
	switch {
	case d != nil && (d.own || h.Incarnation < d.born):
		return false
	case d != nil && h.Incarnation == d.born:
		d.seen = max(d.seen, seen)
		return false
	}
	f.keep(h.Executor, &drain{born: h.Incarnation, seen: seen})
	return true
}

// longestID is the most bytes that an executor's id has.
const longestID = 128

func (f *Fleet) keep(id policy.ExecutorID, d *drain) {
	if f.drains[id] == nil && len(f.drains) >= keptDrains {
		oldest := policy.ExecutorID("")
		for o, other := range f.drains {
			if old := f.drains[oldest]; old == nil || other.seen < old.seen || other.seen == old.seen && o < oldest {
				oldest = o
			}
		}
		delete(f.drains, oldest)
	}
	f.drains[id] = d
}

// IsDraining says whether an executor, on that start, counts as draining because a neighbour told so.
func (f *Fleet) IsDraining(id policy.ExecutorID, started time.Duration, longAgo bool) bool {
	d := f.drains[id]
	return d != nil && !d.own && f.born(started, longAgo) <= d.born
}

// ExpireDrains gives the executors whose drain, as neighbours told of it, has grown too old to count while the own list follows, and forgets them. What this node's own list says is true as long
// as the list follows: then it is seen anew, but for what is gone from it.
func (f *Fleet) ExpireDrains(now time.Duration, follows bool) (ids []policy.ExecutorID) {
	for id, d := range f.drains {
		switch {
		case d.own && !d.gone && follows:
			d.seen = now
		case now-d.seen > f.s.DrainTTL && (d.gone || !d.own && follows):
			// Hearsay that the own list, which follows, does not bear out is given up; while it is silent this node stays told.
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(f.drains, id)
	}
	maps.DeleteFunc(f.back, func(_ policy.ExecutorID, at time.Duration) bool { return now-at > f.s.DrainTTL })
	return ids
}

// forget drops the views that have long been too old to count.
func (f *Fleet) forget(now time.Duration) {
	maps.DeleteFunc(f.views, func(n NodeName, v *view) bool { return now-v.at > 10*f.s.PeerStateTTL })
}

// ---- Figures and the cut line ----

// average takes a tally into the running rates.
func (f *Fleet) average(t policy.LoadSummary, span time.Duration) {
	if span <= 0 {
		return
	}
	// Right after the start there is less to average over: a mean that began at nothing would take all for lost.
	f.since += span
	old := math.Exp(-float64(span)/float64(Smoothing)) * (1 - math.Exp(-float64(f.since-span)/float64(Smoothing))) / (1 - math.Exp(-float64(f.since)/float64(Smoothing)))
	mix := func(was, sum float64) float64 { return was*old + sum/span.Seconds()*(1-old) }
	f.figures.Admitted, f.figures.Completed, f.figures.Expired = mix(f.figures.Admitted, t.Admitted), mix(f.figures.Completed, t.Completed), mix(f.figures.Expired, t.Expired)
	f.figures.Migrations = mix(f.figures.Migrations, t.Migrations)
	f.figures.Waiting, f.capacity = t.Waiting, t.Capacity
	for rung, sum := range t.Offered {
		x := mix(f.figures.Offered[rung], sum)
		if x < 1e-6 {
			delete(f.figures.Offered, rung)
		} else {
			f.figures.Offered[rung] = x
		}
	}
}

func (g Rates) total() float64 {
	sum := 0.0
	for rung := range policy.PriorityLevels { // in order: sums of floats hang on it
		sum += g.Offered[rung]
	}
	return sum
}

// size is how much a node says of itself.
func (g Rates) size() float64 { return g.total() + g.Completed + g.Expired }

// whole are the figures of the whole fleet: this node's own, and those of the neighbours that it has fresh ones of, taken for all that live. What one neighbour
// tells counts for clip times the median at most: a node that tells nonsense moves the line within that.
func (f *Fleet) whole(now time.Duration) Rates {
	var fresh []Rates
	var totals []float64
	names := slices.Sorted(maps.Keys(f.views))
	for _, n := range names {
		if v := f.views[n]; now-v.at <= f.s.PeerStateTTL {
			fresh = append(fresh, v.figures)
			totals = append(totals, v.figures.size())
		}
	}
	sum := Rates{Offered: map[int]float64{}}
	add := func(g Rates, times float64) {
		for rung, x := range g.Offered {
			sum.Offered[rung] += times * x
		}
		sum.Admitted += times * g.Admitted
		sum.Completed += times * g.Completed
		sum.Expired += times * g.Expired
		sum.Migrations += times * g.Migrations
		sum.Waiting += times * g.Waiting
	}
	add(f.figures, 1)
	if len(fresh) == 0 {
		return sum
	}
	each := max(1, float64(len(f.alive))/float64(len(fresh)))
	most := clip * f.figures.size()
	if len(fresh) >= clipFrom {
		sorted := slices.Sorted(slices.Values(totals))
		most = max(most, clip*sorted[len(sorted)/2])
	}
	for i, g := range fresh {
		add(g, each*min(1, cmp.Or(most, 1e-9)/max(totals[i], 1e-9)))
	}
	return sum
}

// draw reckons the cut line: what the fleet gets done in its quoted times, and some more the less of it is lost for want of tokens, is given to what earns most
// for its work. It hangs on figures that nodes saw, never on a line of before, so that nodes with the same views draw the same one, and
// nobody takes its own echo for news. It is drawn from begin on and stays until all that is offered is within what may be taken.
func (f *Fleet) draw(now time.Duration) {
	w := f.whole(now)
	f.line = policy.AdmissionThreshold{MigrationDelay: w.wait()}
	offered, part := w.total(), 0.0
	if w.Completed+w.Expired > 0 {
		part = w.Expired / (w.Completed + w.Expired)
	}
	full := max(part/spare, w.Waiting/max(w.Completed, 1e-9)/patience)
	// While little waits, what is idle is given out as well: guards against a fleet that keeps itself down by a line that was right for a trouble that has passed.
	// What is taken is the measure as long as it is not too much; then what gets done is. What is taken and ends otherwise must not drag the line down.
	base := w.Completed + max(0, w.Admitted-w.Completed)*min(1, max(0, 2-full))
	may := base*max(least, 1+headroom*(1-full)) + max(0, f.capacity-w.Completed)*max(0, 1-full)
	// What executors are known to do is not cut into, or hardly: what is cut can't show that it could be done.
	may = max(may, sure*f.capacity)
	// Less gets done than executors could do: what is lost is lost to something else than want of capacity, which cutting does not mend. Guards against a line
	// that keeps what it hangs on down, since what is cut can't show that it could be done.
	busy := 0.0
	if f.capacity > 0 {
		busy = w.Completed / f.capacity
	}
	f.drawn = offered > may && (f.drawn && busy > idle && full > eased || part > begin && busy > crowded && f.witnessed(now))
	if !f.drawn {
		return
	}
	dearer := 0.0
	for rung := policy.PriorityLevels - 1; rung >= 0; rung-- {
		x := w.Offered[rung]
		if x > may {
			if dearer+x < (1-trace)*offered || dearer > trace*offered {
				f.line.Level, f.line.AdmitFraction = rung, max(0, may/x)
			} // else all earn alike: which of them to turn away the module knows better, by what can still be in time
			return
		}
		may -= x
		dearer += x
	}
}

// wait is how much of its slack an allocation has to wait before it is moved, so that the fleet moves no more than its budget: none while all wishes are
// within it. It hangs on wishes, which are booked whether they come true or not, so it does not swing by what it does.
func (g Rates) wait() float64 {
	if g.Migrations <= moved*g.Completed {
		return 0
	}
	return 1 - moved*g.Completed/g.Migrations
}

// witnessed says whether enough nodes see losses themselves. Guards against one that tells of losses that nobody else has.
func (f *Fleet) witnessed(now time.Duration) bool {
	see, of := 0, 1
	count := func(g Rates) {
		if g.Expired > begin*(g.Completed+g.Expired) {
			see++
		}
	}
	count(f.figures)
	for _, v := range f.views {
		if now-v.at <= f.s.PeerStateTTL {
			of++
			count(v.figures)
		}
	}
	return see >= min(of, 2) && float64(see) >= witnesses*float64(of)
}

// ---- To see it ----

// MessageID names a word as its hearers see it.
type MessageID struct {
	From             NodeName
	Incarnation, Seq uint64
}

// FreshPeers gives the words whose figures count now, by neighbour.
func (f *Fleet) FreshPeers(now time.Duration) (out []MessageID) {
	for _, n := range slices.Sorted(maps.Keys(f.views)) {
		if v := f.views[n]; now-v.at <= f.s.PeerStateTTL {
			out = append(out, MessageID{n, v.life, v.seq})
		}
	}
	return out
}

// CountDropped notes a word that could not even be read.
func (f *Fleet) CountDropped(why string) { f.dropped[why]++ }

// Describe say what this node knows of its fleet, one thing a line.
func (f *Fleet) Describe(now time.Duration) []string {
	out := []string{fmt.Sprintf("node=%s alive=%d told=%d heard=%d", f.s.Self, len(f.alive)+1, f.words, f.heard)}
	for _, n := range slices.Sorted(slices.Values(f.alive)) {
		if v := f.views[n]; v != nil {
			out = append(out, fmt.Sprintf("neighbour=%s age_ms=%d offered=%.2f done=%.2f lost=%.2f", n, (now-v.at).Milliseconds(), v.figures.total(), v.figures.Completed, v.figures.Expired))
		} else {
			out = append(out, fmt.Sprintf("neighbour=%s age_ms=never", n))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.drains)) {
		d := f.drains[id]
		by := "a neighbour"
		if d.own {
			by = "own list"
		}
		out = append(out, fmt.Sprintf("drains=%s age_ms=%d by=%q", id, (now-d.seen).Milliseconds(), by))
	}
	w := f.whole(now)
	out = append(out, fmt.Sprintf("fleet offered=%.2f done=%.2f lost=%.2f", w.total(), w.Completed, w.Expired))
	out = append(out, fmt.Sprintf("moves wished=%.2f wait=%.2f", w.Migrations, f.line.MigrationDelay))
	if f.line.Level > 0 {
		out = append(out, fmt.Sprintf("cut_line rung=%d earnings_for_work=%.3g part=%.3f", f.line.Level, math.Exp2(float64(f.line.Level-policy.PriorityLevels/2)/2), f.line.AdmitFraction))
	} else {
		out = append(out, "cut_line none")
	}
	for _, why := range slices.Sorted(maps.Keys(f.dropped)) {
		out = append(out, fmt.Sprintf("dropped=%d words %s", f.dropped[why], why))
	}
	return out
}
