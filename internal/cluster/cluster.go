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
	suspendedIntervals     = 3    // spells without a turn after which what waited unread is old
	maxDrainsPerMessage    = 24   // in a word
	maxDrains              = 4096 // in mind
	maxPeerMultiple        = 8    // times the median of what neighbours tell that one of them may count for
	minPeersForMedian      = 3    // neighbours from which on a median says something; below that a node goes by what it sees itself
	confirmingShare        = 0.25 // part of the nodes known that must see losses themselves before a line is drawn; two at least
	overloadedExpiredShare = 0.03 // part of the work lost for want of tokens from which on a line is drawn
	admitHeadroom          = 0.25 // work over what is done that is taken as long as none is lost
	toleratedExpiredShare  = 0.05 // part lost at which no more is taken than is done
	toleratedWait          = 0.4  // part of its slack that work may wait in overload
	admittedCapacityShare  = 0.8  // of what executors can do is always taken
	negligibleShare        = 0.02 // of what is offered: less of dearer work does not count
	utilizationToStart     = 0.75 // of what executors can do must get done before a line is drawn
	pressureToStop         = 0.25 // of full: under it the line is taken back, as nothing is short any more
	utilizationToStop      = 0.6  // and while it stays
	minAdmitFactor         = 0.8  // of what is done: taken at the least
	migrationBudget        = 0.1  // of what is done may be moved, by the wishes of all
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

// peerState is what is known of a neighbour.
type peerState struct {
	incarnation, seq uint64
	receivedAt       time.Duration // when its figures were told
	rates            Rates
}

// drainState is what this node holds true of an executor that drains.
type drainState struct {
	incarnation int64         // the start that it is about
	seenAt      time.Duration // when a node's own list last said so
	ownList     bool          // this node's list says so
	removed     bool          // or said so last, before it named the executor no more
}

// Fleet is what a node knows of its fleet.
type Fleet struct {
	settings     Settings
	nextTick     time.Duration // when the next words are due
	lastTick     time.Duration // when this node had its last turn here
	ignoreUntil  time.Duration // until then what comes may have waited unread
	seq          uint64
	draws        uint32
	alive        []NodeName // neighbours that the edge holds for alive, in order
	gossipTurn   int
	peers        map[NodeName]*peerState
	drains       map[policy.ExecutorID]*drainState
	drainEndedAt map[policy.ExecutorID]time.Duration // when this node's own list took a drain back
	drainTurn    int
	rates        Rates
	averagedOver time.Duration // over which they are averaged so far
	capacity     float64       // of all executors, as this node sees them
	threshold    policy.AdmissionThreshold
	shedding     bool // a line is drawn
	dropped      map[string]int
	sent         int // told
	received     int
}

// New makes the state of a node that knows no neighbour yet.
func New(s Settings) *Fleet {
	return &Fleet{settings: s, nextTick: s.GossipInterval, peers: map[NodeName]*peerState{}, drains: map[policy.ExecutorID]*drainState{}, drainEndedAt: map[policy.ExecutorID]time.Duration{}, dropped: map[string]int{},
		rates: Rates{Offered: map[int]float64{}}}
}

func (f *Fleet) random() float64 {
	f.draws++
	return policy.Chance(f.settings.Seed, f.draws)
}

// Next is when Tick is due.
func (f *Fleet) Next() time.Duration { return f.nextTick }

// SetAlive tells which neighbours the edge holds for alive from now on.
func (f *Fleet) SetAlive(names []NodeName) {
	f.alive = slices.DeleteFunc(slices.Sorted(slices.Values(names)), func(n NodeName) bool { return n == f.settings.Self })
	f.alive = slices.Compact(f.alive)
}

// ---- Words ----

// Tick is due every spell: it takes what the module saw since the last one, and gives the words to be told and the cut line.
func (f *Fleet) Tick(now time.Duration, t policy.LoadSummary) ([]Envelope, policy.AdmissionThreshold) {
	span := now - f.lastTick
	f.lastTick, f.nextTick = now, now+f.settings.GossipInterval
	if span > suspendedIntervals*f.settings.GossipInterval {
		// This node stood still: what waits unread is old, and so are its own figures.
		f.ignoreUntil, f.shedding, f.averagedOver = now+f.settings.GossipInterval, false, 0
		f.rates = Rates{Offered: map[int]float64{}}
	} else {
		f.average(t, span)
	}
	f.expirePeers(now)
	f.updateThreshold(now)
	var out []Envelope
	for range min(f.settings.Fanout, len(f.alive)) {
		out = append(out, Envelope{f.nextRecipient(), f.message(now)})
	}
	f.sent += len(out)
	return out, f.threshold
}

// nextRecipient is the next neighbour to be told: each in turn, in an order that is drawn anew each round.
func (f *Fleet) nextRecipient() NodeName {
	if f.gossipTurn == 0 {
		for i := len(f.alive) - 1; i > 0; i-- {
			j := min(int(f.random()*float64(i+1)), i)
			f.alive[i], f.alive[j] = f.alive[j], f.alive[i]
		}
	}
	n := f.alive[f.gossipTurn%len(f.alive)]
	f.gossipTurn = (f.gossipTurn + 1) % len(f.alive)
	return n
}

// message is what a neighbour is told now: this node's own figures, and as many drains as there is room for, in turn.
func (f *Fleet) message(now time.Duration) Message {
	f.seq++
	w := Message{From: f.settings.Self, Incarnation: f.settings.Incarnation, Seq: f.seq, Rates: f.rates.Clone()}
	ids := slices.Sorted(maps.Keys(f.drains))
	for range min(len(ids), maxDrainsPerMessage) {
		f.drainTurn = (f.drainTurn + 1) % len(ids)
		id := ids[f.drainTurn]
		d := f.drains[id]
		w.Drains = append(w.Drains, Drain{Executor: id, Incarnation: d.incarnation, Age: now - d.seenAt})
	}
	return w
}

// Receive takes a neighbour's word in, and gives the executors of which it says something new. What it can't use it drops and counts: a name that is this
// node's own or unknown, an earlier life, an older word, figures that make no sense.
func (f *Fleet) Receive(now time.Duration, w Message) (changed []policy.ExecutorID) {
	if why := f.dropReason(now, w); why != "" {
		f.dropped[why]++
		return nil
	}
	v := f.peers[w.From]
	if v == nil {
		v = &peerState{}
		f.peers[w.From] = v
	}
	*v = peerState{incarnation: w.Incarnation, seq: w.Seq, receivedAt: now, rates: w.Rates}
	f.received++
	for _, d := range w.Drains {
		if f.receiveDrain(now, d) {
			changed = append(changed, d.Executor)
		}
	}
	return changed
}

func (f *Fleet) dropReason(now time.Duration, w Message) string {
	v := f.peers[w.From]
	switch {
	case w.From == f.settings.Self:
		return "in this node's own name"
	case now < f.ignoreUntil || now-f.lastTick > suspendedIntervals*f.settings.GossipInterval:
		// Guards against a node that was stopped and wakes: what waited unread meanwhile would count as fresh.
		return "unread for long"
	case !slices.Contains(f.alive, w.From):
		return "of a node that is not in the fleet"
	case v != nil && w.Incarnation < v.incarnation:
		return "of an earlier life"
	case v != nil && w.Incarnation == v.incarnation && w.Seq <= v.seq:
		return "older than one before"
	case !w.Rates.valid():
		return "with figures that make no sense"
	}
	return ""
}

// Clone is a copy that shares nothing.
func (g Rates) Clone() Rates {
	g.Offered = maps.Clone(g.Offered)
	return g
}

func (g Rates) valid() bool {
	ok := func(x float64) bool { return x >= 0 && x <= maxRate } // not for what is no number, either
	for rung, x := range g.Offered {
		if rung < 0 || rung >= policy.PriorityLevels || !ok(x) {
			return false
		}
	}
	return ok(g.Admitted) && ok(g.Completed) && ok(g.Expired) && ok(g.Migrations) && ok(g.Waiting)
}

// maxRate is more work a second than any node could be offered.
const maxRate = 1e7

// ---- Drains ----

// startID names the start of an executor as the list does, alike at all nodes whatever their clocks say; 0 for long ago.
func (f *Fleet) startID(started time.Duration, longAgo bool) int64 {
	if longAgo {
		return 0
	}
	return f.settings.Epoch + started.Milliseconds()
}

// ObserveEndpoint tells what this node's own list says of an executor.
func (f *Fleet) ObserveEndpoint(now time.Duration, id policy.ExecutorID, started time.Duration, longAgo bool, state policy.EndpointState) {
	d, born := f.drains[id], f.startID(started, longAgo)
	switch {
	case state != policy.Available:
		if state == policy.Removed && d != nil {
			born = max(born, d.incarnation) // one that is gone may be named without its start
		}
		delete(f.drainEndedAt, id)
		f.storeDrain(id, &drainState{incarnation: born, seenAt: now, ownList: true, removed: state == policy.Removed})
	case d == nil:
	case d.ownList:
		delete(f.drains, id)
		f.drainEndedAt[id] = now // what others saw of that drain before now is older than this
	case born > d.incarnation:
		delete(f.drains, id)
	}
}

// receiveDrain takes in hearsay of a drain, and says whether it is new. Hearsay never grows young: it counts until it is DrainFor old, from the last time that some
// node's own list said so.
func (f *Fleet) receiveDrain(now time.Duration, h Drain) bool {
	if h.Age < 0 || h.Age > f.settings.DrainTTL || h.Incarnation < 0 || h.Executor == "" || len(h.Executor) > maxExecutorIDLength {
		return false
	}
	d, seen := f.drains[h.Executor], now-h.Age
	if at, ok := f.drainEndedAt[h.Executor]; ok && seen <= at {
		return false
	}
	switch {
	case d != nil && (d.ownList || h.Incarnation < d.incarnation):
		return false
	case d != nil && h.Incarnation == d.incarnation:
		d.seenAt = max(d.seenAt, seen)
		return false
	}
	f.storeDrain(h.Executor, &drainState{incarnation: h.Incarnation, seenAt: seen})
	return true
}

// maxExecutorIDLength is the most bytes that an executor's id has.
const maxExecutorIDLength = 128

func (f *Fleet) storeDrain(id policy.ExecutorID, d *drainState) {
	if f.drains[id] == nil && len(f.drains) >= maxDrains {
		oldest := policy.ExecutorID("")
		for o, other := range f.drains {
			if old := f.drains[oldest]; old == nil || other.seenAt < old.seenAt || other.seenAt == old.seenAt && o < oldest {
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
	return d != nil && !d.ownList && f.startID(started, longAgo) <= d.incarnation
}

// ExpireDrains gives the executors whose drain, as neighbours told of it, has grown too old to count while the own list follows, and forgets them. What this node's own list says is true as long
// as the list follows: then it is seen anew, but for what is gone from it.
func (f *Fleet) ExpireDrains(now time.Duration, follows bool) (ids []policy.ExecutorID) {
	for id, d := range f.drains {
		switch {
		case d.ownList && !d.removed && follows:
			d.seenAt = now
		case now-d.seenAt > f.settings.DrainTTL && (d.removed || !d.ownList && follows):
			// Hearsay that the own list, which follows, does not bear out is given up; while it is silent this node stays told.
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(f.drains, id)
	}
	maps.DeleteFunc(f.drainEndedAt, func(_ policy.ExecutorID, at time.Duration) bool { return now-at > f.settings.DrainTTL })
	return ids
}

// expirePeers drops the views that have long been too old to count.
func (f *Fleet) expirePeers(now time.Duration) {
	maps.DeleteFunc(f.peers, func(n NodeName, v *peerState) bool { return now-v.receivedAt > 10*f.settings.PeerStateTTL })
}

// ---- Figures and the cut line ----

// average takes a tally into the running rates.
func (f *Fleet) average(t policy.LoadSummary, span time.Duration) {
	if span <= 0 {
		return
	}
	// Right after the start there is less to average over: a mean that began at nothing would take all for lost.
	f.averagedOver += span
	old := math.Exp(-float64(span)/float64(Smoothing)) * (1 - math.Exp(-float64(f.averagedOver-span)/float64(Smoothing))) / (1 - math.Exp(-float64(f.averagedOver)/float64(Smoothing)))
	mix := func(was, sum float64) float64 { return was*old + sum/span.Seconds()*(1-old) }
	f.rates.Admitted, f.rates.Completed, f.rates.Expired = mix(f.rates.Admitted, t.Admitted), mix(f.rates.Completed, t.Completed), mix(f.rates.Expired, t.Expired)
	f.rates.Migrations = mix(f.rates.Migrations, t.Migrations)
	f.rates.Waiting, f.capacity = t.Waiting, t.Capacity
	for rung, sum := range t.Offered {
		x := mix(f.rates.Offered[rung], sum)
		if x < 1e-6 {
			delete(f.rates.Offered, rung)
		} else {
			f.rates.Offered[rung] = x
		}
	}
}

func (g Rates) offered() float64 {
	sum := 0.0
	for rung := range policy.PriorityLevels { // in order: sums of floats hang on it
		sum += g.Offered[rung]
	}
	return sum
}

// magnitude is how much a node says of itself.
func (g Rates) magnitude() float64 { return g.offered() + g.Completed + g.Expired }

// fleetRates are the figures of the whole fleet: this node's own, and those of the neighbours that it has fresh ones of, taken for all that live. What one neighbour
// tells counts for clip times the median at most: a node that tells nonsense moves the line within that.
func (f *Fleet) fleetRates(now time.Duration) Rates {
	var fresh []Rates
	var totals []float64
	names := slices.Sorted(maps.Keys(f.peers))
	for _, n := range names {
		if v := f.peers[n]; now-v.receivedAt <= f.settings.PeerStateTTL {
			fresh = append(fresh, v.rates)
			totals = append(totals, v.rates.magnitude())
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
	add(f.rates, 1)
	if len(fresh) == 0 {
		return sum
	}
	each := max(1, float64(len(f.alive))/float64(len(fresh)))
	most := maxPeerMultiple * f.rates.magnitude()
	if len(fresh) >= minPeersForMedian {
		sorted := slices.Sorted(slices.Values(totals))
		most = max(most, maxPeerMultiple*sorted[len(sorted)/2])
	}
	for i, g := range fresh {
		add(g, each*min(1, cmp.Or(most, 1e-9)/max(totals[i], 1e-9)))
	}
	return sum
}

// updateThreshold reckons the cut line: what the fleet gets done in its quoted times, and some more the less of it is lost for want of tokens, is given to what earns most
// for its work. It hangs on figures that nodes saw, never on a line of before, so that nodes with the same views draw the same one, and
// nobody takes its own echo for news. It is drawn from begin on and stays until all that is offered is within what may be taken.
func (f *Fleet) updateThreshold(now time.Duration) {
	w := f.fleetRates(now)
	f.threshold = policy.AdmissionThreshold{MigrationDelay: w.migrationDelay()}
	offered, part := w.offered(), 0.0
	if w.Completed+w.Expired > 0 {
		part = w.Expired / (w.Completed + w.Expired)
	}
	full := max(part/toleratedExpiredShare, w.Waiting/max(w.Completed, 1e-9)/toleratedWait)
	// While little waits, what is idle is given out as well: guards against a fleet that keeps itself down by a line that was right for a trouble that has passed.
	// What is taken is the measure as long as it is not too much; then what gets done is. What is taken and ends otherwise must not drag the line down.
	base := w.Completed + max(0, w.Admitted-w.Completed)*min(1, max(0, 2-full))
	may := base*max(minAdmitFactor, 1+admitHeadroom*(1-full)) + max(0, f.capacity-w.Completed)*max(0, 1-full)
	// What executors are known to do is not cut into, or hardly: what is cut can't show that it could be done.
	may = max(may, admittedCapacityShare*f.capacity)
	// Less gets done than executors could do: what is lost is lost to something else than want of capacity, which cutting does not mend. Guards against a line
	// that keeps what it hangs on down, since what is cut can't show that it could be done.
	busy := 0.0
	if f.capacity > 0 {
		busy = w.Completed / f.capacity
	}
	f.shedding = offered > may && (f.shedding && busy > utilizationToStop && full > pressureToStop || part > overloadedExpiredShare && busy > utilizationToStart && f.confirmed(now))
	if !f.shedding {
		return
	}
	dearer := 0.0
	for rung := policy.PriorityLevels - 1; rung >= 0; rung-- {
		x := w.Offered[rung]
		if x > may {
			if dearer+x < (1-negligibleShare)*offered || dearer > negligibleShare*offered {
				f.threshold.Level, f.threshold.AdmitFraction = rung, max(0, may/x)
			} // else all earn alike: which of them to turn away the module knows better, by what can still be in time
			return
		}
		may -= x
		dearer += x
	}
}

// migrationDelay is how much of its slack an allocation has to wait before it is moved, so that the fleet moves no more than its budget: none while all wishes are
// within it. It hangs on wishes, which are booked whether they come true or not, so it does not swing by what it does.
func (g Rates) migrationDelay() float64 {
	if g.Migrations <= migrationBudget*g.Completed {
		return 0
	}
	return 1 - migrationBudget*g.Completed/g.Migrations
}

// confirmed says whether enough nodes see losses themselves. Guards against one that tells of losses that nobody else has.
func (f *Fleet) confirmed(now time.Duration) bool {
	see, of := 0, 1
	count := func(g Rates) {
		if g.Expired > overloadedExpiredShare*(g.Completed+g.Expired) {
			see++
		}
	}
	count(f.rates)
	for _, v := range f.peers {
		if now-v.receivedAt <= f.settings.PeerStateTTL {
			of++
			count(v.rates)
		}
	}
	return see >= min(of, 2) && float64(see) >= confirmingShare*float64(of)
}

// ---- To see it ----

// MessageID names a word as its hearers see it.
type MessageID struct {
	From             NodeName
	Incarnation, Seq uint64
}

// FreshPeers gives the words whose figures count now, by neighbour.
func (f *Fleet) FreshPeers(now time.Duration) (out []MessageID) {
	for _, n := range slices.Sorted(maps.Keys(f.peers)) {
		if v := f.peers[n]; now-v.receivedAt <= f.settings.PeerStateTTL {
			out = append(out, MessageID{n, v.incarnation, v.seq})
		}
	}
	return out
}

// CountDropped notes a word that could not even be read.
func (f *Fleet) CountDropped(why string) { f.dropped[why]++ }

// Describe say what this node knows of its fleet, one thing a line.
func (f *Fleet) Describe(now time.Duration) []string {
	out := []string{fmt.Sprintf("node=%s alive=%d told=%d heard=%d", f.settings.Self, len(f.alive)+1, f.sent, f.received)}
	for _, n := range slices.Sorted(slices.Values(f.alive)) {
		if v := f.peers[n]; v != nil {
			out = append(out, fmt.Sprintf("neighbour=%s age_ms=%d offered=%.2f done=%.2f lost=%.2f", n, (now-v.receivedAt).Milliseconds(), v.rates.offered(), v.rates.Completed, v.rates.Expired))
		} else {
			out = append(out, fmt.Sprintf("neighbour=%s age_ms=never", n))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.drains)) {
		d := f.drains[id]
		by := "a neighbour"
		if d.ownList {
			by = "own list"
		}
		out = append(out, fmt.Sprintf("drains=%s age_ms=%d by=%q", id, (now-d.seenAt).Milliseconds(), by))
	}
	w := f.fleetRates(now)
	out = append(out, fmt.Sprintf("fleet offered=%.2f done=%.2f lost=%.2f", w.offered(), w.Completed, w.Expired))
	out = append(out, fmt.Sprintf("moves wished=%.2f wait=%.2f", w.Migrations, f.threshold.MigrationDelay))
	if f.threshold.Level > 0 {
		out = append(out, fmt.Sprintf("cut_line rung=%d earnings_for_work=%.3g part=%.3f", f.threshold.Level, math.Exp2(float64(f.threshold.Level-policy.PriorityLevels/2)/2), f.threshold.AdmitFraction))
	} else {
		out = append(out, "cut_line none")
	}
	for _, why := range slices.Sorted(maps.Keys(f.dropped)) {
		out = append(out, fmt.Sprintf("dropped=%d words %s", f.dropped[why], why))
	}
	return out
}
