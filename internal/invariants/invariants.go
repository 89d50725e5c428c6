package invariants

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"birchstair/policy"
)

// Rule is one of the four, or the fifth thing that must hold.
type Rule int

// The rules, in the order of their names.
const (
	OneAnswer     Rule = iota + 1 // exactly one final answer before the outer limit, nothing sent afterwards
	NoEffectTwice                 // no effect twice, and no two allocations out at once but where copies are allowed
	DrainKept                     // nothing new later than the grace after being told
	ColdSpared                    // a cold executor is not pushed over
	AtOnce                        // a batch job given up on is answered at once
	Bound                         // what nodes tell each other is within its bounds
	Awaited                       // nothing is sent on whose client left a while ago
	Informed                      // a drain binds from some seconds on after discovery had it, whether it was told or not
)

var ruleNames = [...]string{"", "one answer", "no effect twice", "drain kept", "cold spared", "answered at once", "bound kept", "still awaited", "informed"}

func (r Rule) String() string { return ruleNames[r] }

// Settings are what the rules mean at a site.
type Settings struct {
	Tracks       []policy.JobClass // windows as the executors keep them
	Slack        time.Duration     // after a limit an answer still counts for so long
	Grace        time.Duration     // after being told of a drain
	Prompt       time.Duration     // an answer is at once within it
	WarmWithin   time.Duration
	FallMultiple float64
	FallWindow   time.Duration
	MeanWork     float64 // seconds of work of a mean batch job; 0: the operators' bound for cold executors is not checked
	Copies       bool    // a repeatable batch job may have two allocations out
}

// Broken is a rule that broke, with the lines of the trace that show it.
type Broken struct {
	Rule  Rule
	At    time.Duration
	Text  string
	Lines []Seen
}

func (b Broken) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%v: %s", b.Rule, b.Text)
	for _, l := range b.Lines {
		s.WriteString("\n  " + l.String())
	}
	return s.String()
}

// Checker keeps what the rules need of what was seen.
type Checker struct {
	s         Settings
	now       time.Duration
	jobs      map[jobKey]*job
	still     map[NodeID]bool // nodes whose processes stand still
	works     map[WorkID][]run
	nodes     map[NodeID]map[policy.ExecutorID]told
	executors map[policy.ExecutorID]*executor
	due       dueHeap
	order     int
	recent    []Seen // a ring
	next      int
	broken    []Broken
	reported  map[string]bool
	lateTwice int
	went      map[jobKey]time.Duration // when the client's connection ended
	listed    map[policy.ExecutorID]listed
	reachable map[NodeID]time.Duration // from when on a node can reach discovery again; Nobody for all
	apart     map[NodeID]bool          // nodes that can't until further notice
	wentWaits int
	sentLate  int
	coldMost  float64
}

type jobKey struct {
	node NodeID
	id   policy.JobID
}

// job is a batch job at a node, from its being taken until nothing of it is open.
type job struct {
	work     WorkID
	track    policy.JobClassID
	limit    time.Duration
	gaveUp   time.Duration
	given    bool // the module has given up
	excused  bool // its node stood still while it was in hand: no time binds
	answered bool
	left     bool
	went     bool // its client has, whether its node knows or not
	sent     []sent
}

type sent struct {
	number   policy.AttemptID
	executor policy.ExecutorID
	zone     policy.ZoneID
	cell     policy.CellID
	at       time.Duration
	over     bool
	proof    bool
	start    time.Duration // the last start of its executor that its node had been told of
}

type run struct {
	job      jobKey
	executor policy.ExecutorID
	at       time.Duration
}

type told struct {
	state policy.EndpointState
	at    time.Duration
	start time.Duration
}

type executor struct {
	start time.Duration
	cold  bool
	came  []came
}

type came struct {
	at   time.Duration
	cost float64
	told bool // by a node that was told of its start
}

type due struct {
	at    time.Duration
	order int
	key   jobKey
	limit time.Duration // the limit that it is about, or 0 for the answer at once
}

// listed is what discovery has of an executor, and since when it may tell of it.
type listed struct {
	state policy.EndpointState
	at    time.Duration
}

const keptLines = 1 << 12

// InformedWithin is when a change counts as told after discovery had it and could be reached, by the operators' terms. The node
// takes the drain grace out of it: nothing is sent any more then.
const InformedWithin = 6 * time.Second

// By the operators' terms an attempt, the first of its batch job or a further one, is late that begins longer than AwaitedFor
// after its client's end, whatever the class, and the rule is broken from the third late one on. Counted is each such attempt
// of any node over all that a checker sees. One that begins AwaitedMost after it breaks the rule by itself. A process that stood
// still has no excuse: it can look before it writes, and what it wrote before it stopped has begun then.
const (
	AwaitedFor  = 100 * time.Millisecond
	AwaitedMost = 300 * time.Millisecond
	LateSpared  = 2
)

// New makes a checker that has seen nothing.
func New(s Settings) *Checker {
	return &Checker{s: s, jobs: map[jobKey]*job{}, still: map[NodeID]bool{}, works: map[WorkID][]run{},
		nodes: map[NodeID]map[policy.ExecutorID]told{}, executors: map[policy.ExecutorID]*executor{},
		reported: map[string]bool{}, went: map[jobKey]time.Duration{},
		listed: map[policy.ExecutorID]listed{}, reachable: map[NodeID]time.Duration{}, apart: map[NodeID]bool{}}
}

// Listed says that discovery has an executor in a state, and tells of it from a time on. It is no thing seen by a node.
func (c *Checker) Listed(from time.Duration, e policy.ExecutorID, state policy.EndpointState) {
	was, known := c.listed[e]
	if known && was.state != policy.Available && state != policy.Available {
		return // it binds since then
	}
	c.listed[e] = listed{state, from}
}

// Apart says that a node, or all for Nobody, can't reach discovery until a time.
func (c *Checker) Apart(n NodeID, until time.Duration) { c.reachable[n] = max(c.reachable[n], until) }

// Cut says that a node, or all for Nobody, can't reach discovery from now on, or can again.
func (c *Checker) Cut(now time.Duration, n NodeID, yes bool) {
	c.apart[n] = yes
	c.Apart(n, now)
}

// Uninformed says how long ago a node should have known that an executor takes nothing new.
func (c *Checker) Uninformed(now time.Duration, n NodeID, e policy.ExecutorID) (time.Duration, bool) {
	l, known := c.listed[e]
	if !known || l.state == policy.Available || c.apart[n] || c.apart[Nobody] {
		return 0, false
	}
	late := now - max(l.at, c.reachable[n], c.reachable[Nobody]) - InformedWithin
	return late, late > 0
}

// Broken are the rules that broke so far, in order.
func (c *Checker) Broken() []Broken { return c.broken }

// LateTwice is how often a tagged batch job ran again because its allocation came later than its window.
func (c *Checker) LateTwice() int { return c.lateTwice }

// WentWaiting is how many clients left while their batch jobs waited with nothing out.
func (c *Checker) WentWaiting() int { return c.wentWaits }

// SentLate is how many attempts began too long after their clients had left, those that break no rule yet among them.
func (c *Checker) SentLate() int { return c.sentLate }

// ColdMost is the most work that came to a cold executor within the window, two thirds from nodes that had been told of its start,
// as a part of its budget.
func (c *Checker) ColdMost() float64 { return c.coldMost }

// See takes in a thing seen, and says which rules broke by it or by the time that passed before it. Things come in the
// order of their times.
func (c *Checker) See(s Seen) []Broken {
	before := len(c.broken)
	c.Pass(s.At)
	if len(c.recent) < keptLines {
		c.recent = append(c.recent, s)
	} else {
		c.recent[c.next] = s
		c.next = (c.next + 1) % keptLines
	}
	key := jobKey{s.Node, s.Job}
	switch s.What {
	case NodeStarted, NodeKilled:
		c.Apart(s.Node, s.At)
		delete(c.still, s.Node)
		delete(c.nodes, s.Node)
		for k := range c.jobs {
			if k.node == s.Node {
				delete(c.jobs, k)
			}
		}
		maps.DeleteFunc(c.went, func(k jobKey, _ time.Duration) bool { return k.node == s.Node })
	case StoodStill, WentOn:
		c.still[s.Node] = s.What == StoodStill
		c.Apart(s.Node, s.At)
		for k, j := range c.jobs {
			j.excused = j.excused || k.node == s.Node
		}
	case Told:
		c.told(s)
	case Taken:
		c.taken(key, s)
	case GaveUp:
		if j := c.jobs[key]; j != nil && !j.answered && !j.left {
			j.given, j.gaveUp = true, s.At
			c.at(s.At+c.s.Prompt, key, 0)
		}
	case Went:
		c.went[key] = s.At
		if j := c.jobs[key]; j != nil {
			j.went = true
			if !j.answered && !slices.ContainsFunc(j.sent, func(a sent) bool { return !a.over }) {
				c.wentWaits++
			}
		}
	case Left:
		if j := c.jobs[key]; j != nil {
			j.left = true
			c.drop(key, j)
		}
	case FirstByte:
		c.sent(key, s)
	case Over:
		c.over(key, s)
	case Answered:
		c.answered(key, s)
	case Started:
		c.executors[s.Executor] = &executor{start: cmp.Or(s.Start, s.At), cold: true}
	case Reached:
		c.reached(key, s)
	case Ran:
		c.ran(key, s)
	}
	return c.broken[before:]
}

// Pass lets time pass: what was due by then and was not seen breaks a rule.
func (c *Checker) Pass(now time.Duration) {
	for len(c.due) > 0 && c.due[0].at < now {
		d := heap.Pop(&c.due).(due)
		j := c.jobs[d.key]
		switch {
		case j == nil || j.answered || j.left || j.excused:
		case j.went: // nobody waits for an answer
			if d.limit == j.limit {
				j.left = true
				c.drop(d.key, j)
			}
		case d.limit == 0 && j.given:
			c.breaks(AtOnce, d.at, d.key, j.work, "", "%s was given up on at %.3fs and has no answer %v later", d.key.id,
				j.gaveUp.Seconds(), c.s.Prompt)
		case d.limit == j.limit:
			c.breaks(OneAnswer, d.at, d.key, j.work, "", "%s has no final answer by its limit", d.key.id)
			j.left = true // said once
			c.drop(d.key, j)
		}
	}
	c.now = max(c.now, now)
}

func (c *Checker) at(at time.Duration, key jobKey, limit time.Duration) {
	c.order++
	heap.Push(&c.due, due{at, c.order, key, limit})
}

func (c *Checker) told(s Seen) {
	of := c.nodes[s.Node]
	if of == nil {
		of = map[policy.ExecutorID]told{}
		c.nodes[s.Node] = of
	}
	was, known := of[s.Executor]
	t := told{s.State, s.At, s.Start}
	if known && was.state != policy.Available && s.State != policy.Available {
		t.at = was.at // it was told so before
	}
	of[s.Executor] = t
}

// taken: an id whose client left and that comes again while an allocation of it is still out is the same record.
func (c *Checker) taken(key jobKey, s Seen) {
	j := c.jobs[key]
	if j == nil {
		j = &job{}
		c.jobs[key] = j
	}
	delete(c.went, key)
	j.work, j.track, j.limit, j.answered, j.left, j.went, j.given = s.Work, s.Track, s.Limit, false, false, false, false
	j.excused = c.still[s.Node]
	c.at(s.Limit+c.s.Slack, key, s.Limit)
}

// drop forgets a batch job of which nothing is open any more.
func (c *Checker) drop(key jobKey, j *job) {
	if (j.answered || j.left) && !j.excused && !slices.ContainsFunc(j.sent, func(a sent) bool { return !a.over }) {
		delete(c.jobs, key)
	}
}

func (c *Checker) sent(key jobKey, s Seen) {
	j := c.jobs[key]
	if at, went := c.went[key]; went && s.At > at+AwaitedFor {
		if c.sentLate++; c.sentLate > LateSpared || s.At >= at+AwaitedMost {
			c.breaks(Awaited, s.At, key, s.Work, s.Executor, "%s was sent to %s %v after its client had left, late attempt %d",
				s.Job, s.Executor, s.At-at, c.sentLate)
		}
	}
	if j == nil || (j.answered || j.left) && !j.excused {
		c.breaks(OneAnswer, s.At, key, s.Work, s.Executor, "%s was sent to %s after its end", s.Job, s.Executor)
		return
	}
	if t, ok := c.nodes[s.Node][s.Executor]; ok && t.state != policy.Available && s.At > t.at+c.s.Grace {
		c.breaks(DrainKept, s.At, key, j.work, s.Executor, "%s was sent to %s %v after node %d was told that it drains or is gone",
			s.Job, s.Executor, s.At-t.at, s.Node)
	}
	if late, yes := c.Uninformed(s.At, s.Node, s.Executor); yes && !j.excused {
		c.breaks(Informed, s.At, key, j.work, s.Executor, "%s was sent to %s %v after node %d could have heard for %v that it drains or is gone",
			s.Job, s.Executor, late, s.Node, InformedWithin)
	}
	track := c.s.Tracks[j.track]
	first, out := -1, 0
	for i, a := range j.sent {
		if !a.over {
			out++
		}
		if first < 0 && (!a.over || !a.proof) {
			first = i
		}
	}
	switch {
	case out > 1:
		c.breaks(NoEffectTwice, s.At, key, j.work, s.Executor, "%s has three allocations out at once", s.Job)
	case out == 1 && (!c.s.Copies || track.Idempotency != policy.Idempotent):
		c.breaks(NoEffectTwice, s.At, key, j.work, s.Executor, "%s has two allocations out at once", s.Job)
	}
	if first >= 0 {
		a := j.sent[first]
		switch {
		case track.Idempotency == policy.AtMostOnce:
			c.breaks(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, once-only, was sent again though allocation %d may have run", s.Job, a.number)
		case track.Idempotency == policy.IdempotentWithKey && (track.DedupGroup == policy.DedupZone && a.zone != s.Zone ||
			track.DedupGroup == policy.DedupCell && a.cell != s.Cell):
			c.breaks(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, tagged, was sent outside the group that drops its repeats", s.Job)
		case track.Idempotency == policy.IdempotentWithKey && s.At > a.at+track.DedupWindow:
			c.breaks(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, tagged, was sent again %v after allocation %d, outside the window", s.Job, s.At-a.at, a.number)
		}
	}
	j.sent = append(j.sent, sent{s.Allocation, s.Executor, s.Zone, s.Cell, s.At, false, false, c.startTold(s)})
}

func (c *Checker) over(key jobKey, s Seen) {
	j := c.jobs[key]
	if j == nil {
		return
	}
	for i := range j.sent {
		if a := &j.sent[i]; a.number == s.Allocation && !a.over {
			a.over, a.proof = true, s.Proof
		}
	}
	c.drop(key, j)
}

func (c *Checker) answered(key jobKey, s Seen) {
	j := c.jobs[key]
	if j != nil && j.answered && j.excused {
		return // its id came several times while the node stood still, and each is answered
	}
	if j == nil || j.answered {
		c.breaks(OneAnswer, s.At, key, s.Work, "", "%s was answered a second time, or was never taken", s.Job)
		return
	}
	if j.left {
		return
	}
	track := c.s.Tracks[j.track]
	may := slices.ContainsFunc(j.sent, func(a sent) bool { return !a.over || !a.proof })
	switch {
	case s.Final == PushedBack && may && (track.Idempotency == policy.AtMostOnce || track.Idempotency == policy.IdempotentWithKey && track.DedupGroup != policy.DedupAllExecutors):
		c.breaks(NoEffectTwice, s.At, key, j.work, "", "%s was pushed back, though it may have run", s.Job)
	case s.Final == Handled && len(c.works[j.work]) == 0:
		c.breaks(OneAnswer, s.At, key, j.work, "", "%s was answered as handled, and never ran", s.Job)
	}
	if j.given && !j.excused && s.At > j.gaveUp+c.s.Prompt {
		c.breaks(AtOnce, s.At, key, j.work, "", "%s was given up on %v before its answer", s.Job, s.At-j.gaveUp)
	}
	j.answered = true
	c.drop(key, j)
}

// ran: what a client's own repeats do is not the nodes' doing; where a track lets clients repeat, only runs for the same
// batch job count. A tagged one that something on the way has held up for longer than its window runs again, whatever a
// node does: that is counted, and breaks no rule as long as all was sent inside the window.
func (c *Checker) ran(key jobKey, s Seen) {
	track := c.s.Tracks[s.Track]
	for _, r := range c.works[s.Work] {
		switch {
		case track.Idempotency == policy.AtMostOnce:
			c.breaks(NoEffectTwice, s.At, key, s.Work, s.Executor, "%s, once-only, ran at %s and at %s", s.Work, r.executor, s.Executor)
		case track.Idempotency == policy.IdempotentWithKey && s.At > r.at+track.DedupWindow:
			c.lateTwice++
		case track.Idempotency == policy.IdempotentWithKey && r.job == key:
			c.breaks(NoEffectTwice, s.At, key, s.Work, s.Executor, "%s, tagged, ran at %s and at %s for one batch job", s.Work, r.executor, s.Executor)
		}
	}
	if len(c.works[s.Work]) < 8 {
		c.works[s.Work] = append(c.works[s.Work], run{key, s.Executor, s.At})
	}
}

// Of a cold executor: what chance is left over its budget by our own bound, beside the batch job that tops it, and by the operators',
// where N batch jobs of mean work fill the budget: chanceRoots times the root of N, and chanceJobs more.
const (
	coldSlack   = 1.15
	chanceRoots = 2
	chanceJobs  = 2
)

// TopplesCold says whether the work that came within the window topples a cold executor, the largest piece of it being most: by our own
// bound, which is the narrower one as long as the budget is under about 190 mean batch jobs, or by the operators'.
func TopplesCold(sum, most, budget, mean float64) bool {
	return sum-most > coldSlack*budget || mean > 0 && sum > budget+chanceRoots*math.Sqrt(budget*mean)+chanceJobs*mean
}

// startTold is the last start of an executor that a node has been told of.
func (c *Checker) startTold(s Seen) time.Duration {
	if t, ok := c.nodes[s.Node][s.Executor]; ok {
		return t.start
	}
	return math.MinInt64
}

// startSent is what an allocation's node had been told when it was sent: one that stood still lets out what it had in
// hand and then reads that the executor is another one by now, while that is on its way.
func (c *Checker) startSent(key jobKey, s Seen) time.Duration {
	if j := c.jobs[key]; j != nil {
		for _, a := range slices.Backward(j.sent) {
			if a.executor == s.Executor {
				return a.start
			}
		}
	}
	return c.startTold(s)
}

// reached is rule 4: a budget over any window, for all nodes together, with a little slack for chance. The rule is broken
// only if two thirds of what came are from nodes that had been told of the start when they sent it.
func (c *Checker) reached(key jobKey, s Seen) {
	e := c.executors[s.Executor]
	if e == nil || !e.cold {
		return
	}
	if s.At > e.start+c.s.WarmWithin {
		e.cold = false
		e.came = nil
		return
	}
	e.came = slices.DeleteFunc(e.came, func(a came) bool { return a.at+c.s.FallWindow < s.At })
	e.came = append(e.came, came{s.At, s.Cost, c.startSent(key, s) >= e.start})
	sum, known, most := 0.0, 0.0, 0.0
	for _, a := range e.came {
		sum += a.cost
		most = max(most, a.cost)
		if a.told {
			known += a.cost
		}
	}
	budget := c.s.FallMultiple * s.Capacity * c.s.FallWindow.Seconds()
	if known < sum*2/3 {
		return
	}
	c.coldMost = max(c.coldMost, sum/budget)
	if TopplesCold(sum, most, budget, c.s.MeanWork) {
		c.breaks(ColdSpared, s.At, jobKey{Nobody, ""}, "", s.Executor, "%s, cold, was sent %.2fs of work within %v where %.2fs is its budget",
			s.Executor, sum, c.s.FallWindow, budget)
	}
}

// Over notes that a node that talks is over a bound, once for each node and kind of text.
func (c *Checker) Over(at time.Duration, n NodeID, text string, args ...any) {
	c.breaks(Bound, at, jobKey{n, ""}, WorkID(text), "", text, args...)
}

// breaks notes a broken rule once for each rule and batch job, or executor.
func (c *Checker) breaks(r Rule, at time.Duration, key jobKey, work WorkID, e policy.ExecutorID, text string, args ...any) {
	of := string(work)
	if of == "" {
		of = string(e)
	}
	once := fmt.Sprint(r, key.node, of)
	if c.reported[once] {
		return
	}
	c.reported[once] = true
	b := Broken{Rule: r, At: at, Text: fmt.Sprintf("%.6fs: ", at.Seconds()) + fmt.Sprintf(text, args...)}
	for i := range c.recent {
		s := c.recent[(c.next+i)%len(c.recent)]
		if key.id != "" && (s.Job == key.id || work != "" && s.Work == work) ||
			e != "" && s.Executor == e && (s.What == Told && s.Node == key.node || s.What == Started || s.What == Fell ||
				key.id == "" && s.What == Reached) {
			b.Lines = append(b.Lines, s)
		}
	}
	if n := len(b.Lines); n > 14 {
		b.Lines = b.Lines[n-14:]
	}
	c.broken = append(c.broken, b)
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
