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
	settings        Settings
	now             time.Duration
	jobs            map[jobKey]*job
	paused          map[NodeID]bool // nodes whose processes stand still
	effects         map[WorkID][]effectRun
	knownEndpoints  map[NodeID]map[policy.ExecutorID]knownEndpoint
	executors       map[policy.ExecutorID]*startedExecutor
	deadlines       deadlineHeap
	deadlineOrder   int
	recent          []Seen // a ring
	recentNext      int
	violations      []Broken
	reported        map[string]bool
	lateReruns      int
	clientLeftAt    map[jobKey]time.Duration // when the client's connection ended
	published       map[policy.ExecutorID]publishedEndpoint
	reachableSince  map[NodeID]time.Duration // from when on a node can reach discovery again; Nobody for all
	unreachable     map[NodeID]bool          // nodes that can't until further notice
	leftWhileQueued int
	lateAttempts    int
	slowStartPeak   float64
}

type jobKey struct {
	node NodeID
	id   policy.JobID
}

// job is a batch job at a node, from its being taken until nothing of it is open.
type job struct {
	work       WorkID
	class      policy.JobClassID
	limit      time.Duration
	givenUpAt  time.Duration
	givenUp    bool // the module has given up
	excused    bool // its node stood still while it was in hand: no time binds
	answered   bool
	closed     bool
	clientLeft bool // its client has, whether its node knows or not
	attempts   []attempt
}

type attempt struct {
	number     policy.AttemptID
	executor   policy.ExecutorID
	zone       policy.ZoneID
	cell       policy.CellID
	sentAt     time.Duration
	ended      bool
	neverRan   bool
	knownStart time.Duration // the last start of its executor that its node had been told of
}

type effectRun struct {
	job      jobKey
	executor policy.ExecutorID
	at       time.Duration
}

type knownEndpoint struct {
	state policy.EndpointState
	since time.Duration
	start time.Duration
}

type startedExecutor struct {
	start     time.Duration
	warmingUp bool
	arrivals  []arrival
}

type arrival struct {
	at         time.Duration
	cost       float64
	startKnown bool // by a node that was told of its start
}

type deadline struct {
	at    time.Duration
	order int
	key   jobKey
	limit time.Duration // the limit that it is about, or 0 for the answer at once
}

// publishedEndpoint is what discovery has of an executor, and since when it may tell of it.
type publishedEndpoint struct {
	state policy.EndpointState
	since time.Duration
}

const recentEvents = 1 << 12

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
	return &Checker{settings: s, jobs: map[jobKey]*job{}, paused: map[NodeID]bool{}, effects: map[WorkID][]effectRun{},
		knownEndpoints: map[NodeID]map[policy.ExecutorID]knownEndpoint{}, executors: map[policy.ExecutorID]*startedExecutor{},
		reported: map[string]bool{}, clientLeftAt: map[jobKey]time.Duration{},
		published: map[policy.ExecutorID]publishedEndpoint{}, reachableSince: map[NodeID]time.Duration{}, unreachable: map[NodeID]bool{}}
}

// Listed says that discovery has an executor in a state, and tells of it from a time on. It is no thing seen by a node.
func (c *Checker) Listed(from time.Duration, e policy.ExecutorID, state policy.EndpointState) {
	was, known := c.published[e]
	if known && was.state != policy.Available && state != policy.Available {
		return // it binds since then
	}
	c.published[e] = publishedEndpoint{state, from}
}

// Apart says that a node, or all for Nobody, can't reach discovery until a time.
func (c *Checker) Apart(n NodeID, until time.Duration) {
	c.reachableSince[n] = max(c.reachableSince[n], until)
}

// Cut says that a node, or all for Nobody, can't reach discovery from now on, or can again.
func (c *Checker) Cut(now time.Duration, n NodeID, yes bool) {
	c.unreachable[n] = yes
	c.Apart(n, now)
}

// Uninformed says how long ago a node should have known that an executor takes nothing new.
func (c *Checker) Uninformed(now time.Duration, n NodeID, e policy.ExecutorID) (time.Duration, bool) {
	l, known := c.published[e]
	if !known || l.state == policy.Available || c.unreachable[n] || c.unreachable[Nobody] {
		return 0, false
	}
	late := now - max(l.since, c.reachableSince[n], c.reachableSince[Nobody]) - InformedWithin
	return late, late > 0
}

// Broken are the rules that broke so far, in order.
func (c *Checker) Broken() []Broken { return c.violations }

// LateTwice is how often a tagged batch job ran again because its allocation came later than its window.
func (c *Checker) LateTwice() int { return c.lateReruns }

// WentWaiting is how many clients left while their batch jobs waited with nothing out.
func (c *Checker) WentWaiting() int { return c.leftWhileQueued }

// SentLate is how many attempts began too long after their clients had left, those that break no rule yet among them.
func (c *Checker) SentLate() int { return c.lateAttempts }

// ColdMost is the most work that came to a cold executor within the window, two thirds from nodes that had been told of its start,
// as a part of its budget.
func (c *Checker) ColdMost() float64 { return c.slowStartPeak }

// See takes in a thing seen, and says which rules broke by it or by the time that passed before it. Things come in the
// order of their times.
func (c *Checker) See(s Seen) []Broken {
	before := len(c.violations)
	c.Pass(s.At)
	if len(c.recent) < recentEvents {
		c.recent = append(c.recent, s)
	} else {
		c.recent[c.recentNext] = s
		c.recentNext = (c.recentNext + 1) % recentEvents
	}
	key := jobKey{s.Node, s.Job}
	switch s.What {
	case NodeStarted, NodeKilled:
		c.Apart(s.Node, s.At)
		delete(c.paused, s.Node)
		delete(c.knownEndpoints, s.Node)
		for k := range c.jobs {
			if k.node == s.Node {
				delete(c.jobs, k)
			}
		}
		maps.DeleteFunc(c.clientLeftAt, func(k jobKey, _ time.Duration) bool { return k.node == s.Node })
	case StoodStill, WentOn:
		c.paused[s.Node] = s.What == StoodStill
		c.Apart(s.Node, s.At)
		for k, j := range c.jobs {
			j.excused = j.excused || k.node == s.Node
		}
	case Told:
		c.endpointNotified(s)
	case Taken:
		c.jobAccepted(key, s)
	case GaveUp:
		if j := c.jobs[key]; j != nil && !j.answered && !j.closed {
			j.givenUp, j.givenUpAt = true, s.At
			c.schedule(s.At+c.settings.Prompt, key, 0)
		}
	case Went:
		c.clientLeftAt[key] = s.At
		if j := c.jobs[key]; j != nil {
			j.clientLeft = true
			if !j.answered && !slices.ContainsFunc(j.attempts, func(a attempt) bool { return !a.ended }) {
				c.leftWhileQueued++
			}
		}
	case Left:
		if j := c.jobs[key]; j != nil {
			j.closed = true
			c.forget(key, j)
		}
	case FirstByte:
		c.attemptSent(key, s)
	case Over:
		c.attemptEnded(key, s)
	case Answered:
		c.jobAnswered(key, s)
	case Started:
		c.executors[s.Executor] = &startedExecutor{start: cmp.Or(s.Start, s.At), warmingUp: true}
	case Reached:
		c.workArrived(key, s)
	case Ran:
		c.effectRan(key, s)
	}
	return c.violations[before:]
}

// Pass lets time pass: what was due by then and was not seen breaks a rule.
func (c *Checker) Pass(now time.Duration) {
	for len(c.deadlines) > 0 && c.deadlines[0].at < now {
		d := heap.Pop(&c.deadlines).(deadline)
		j := c.jobs[d.key]
		switch {
		case j == nil || j.answered || j.closed || j.excused:
		case j.clientLeft: // nobody waits for an answer
			if d.limit == j.limit {
				j.closed = true
				c.forget(d.key, j)
			}
		case d.limit == 0 && j.givenUp:
			c.report(AtOnce, d.at, d.key, j.work, "", "%s was given up on at %.3fs and has no answer %v later", d.key.id,
				j.givenUpAt.Seconds(), c.settings.Prompt)
		case d.limit == j.limit:
			c.report(OneAnswer, d.at, d.key, j.work, "", "%s has no final answer by its limit", d.key.id)
			j.closed = true // said once
			c.forget(d.key, j)
		}
	}
	c.now = max(c.now, now)
}

func (c *Checker) schedule(at time.Duration, key jobKey, limit time.Duration) {
	c.deadlineOrder++
	heap.Push(&c.deadlines, deadline{at, c.deadlineOrder, key, limit})
}

func (c *Checker) endpointNotified(s Seen) {
	of := c.knownEndpoints[s.Node]
	if of == nil {
		of = map[policy.ExecutorID]knownEndpoint{}
		c.knownEndpoints[s.Node] = of
	}
	was, known := of[s.Executor]
	t := knownEndpoint{s.State, s.At, s.Start}
	if known && was.state != policy.Available && s.State != policy.Available {
		t.since = was.since // it was told so before
	}
	of[s.Executor] = t
}

// jobAccepted: an id whose client left and that comes again while an allocation of it is still out is the same record.
func (c *Checker) jobAccepted(key jobKey, s Seen) {
	j := c.jobs[key]
	if j == nil {
		j = &job{}
		c.jobs[key] = j
	}
	delete(c.clientLeftAt, key)
	j.work, j.class, j.limit, j.answered, j.closed, j.clientLeft, j.givenUp = s.Work, s.Track, s.Limit, false, false, false, false
	j.excused = c.paused[s.Node]
	c.schedule(s.Limit+c.settings.Slack, key, s.Limit)
}

// forget forgets a batch job of which nothing is open any more.
func (c *Checker) forget(key jobKey, j *job) {
	if (j.answered || j.closed) && !j.excused && !slices.ContainsFunc(j.attempts, func(a attempt) bool { return !a.ended }) {
		delete(c.jobs, key)
	}
}

func (c *Checker) attemptSent(key jobKey, s Seen) {
	j := c.jobs[key]
	if at, went := c.clientLeftAt[key]; went && s.At > at+AwaitedFor {
		if c.lateAttempts++; c.lateAttempts > LateSpared || s.At >= at+AwaitedMost {
			c.report(Awaited, s.At, key, s.Work, s.Executor, "%s was sent to %s %v after its client had left, late attempt %d",
				s.Job, s.Executor, s.At-at, c.lateAttempts)
		}
	}
	if j == nil || (j.answered || j.closed) && !j.excused {
		c.report(OneAnswer, s.At, key, s.Work, s.Executor, "%s was sent to %s after its end", s.Job, s.Executor)
		return
	}
	if t, ok := c.knownEndpoints[s.Node][s.Executor]; ok && t.state != policy.Available && s.At > t.since+c.settings.Grace {
		c.report(DrainKept, s.At, key, j.work, s.Executor, "%s was sent to %s %v after node %d was told that it drains or is gone",
			s.Job, s.Executor, s.At-t.since, s.Node)
	}
	if late, yes := c.Uninformed(s.At, s.Node, s.Executor); yes && !j.excused {
		c.report(Informed, s.At, key, j.work, s.Executor, "%s was sent to %s %v after node %d could have heard for %v that it drains or is gone",
			s.Job, s.Executor, late, s.Node, InformedWithin)
	}
	track := c.settings.Tracks[j.class]
	first, out := -1, 0
	for i, a := range j.attempts {
		if !a.ended {
			out++
		}
		if first < 0 && (!a.ended || !a.neverRan) {
			first = i
		}
	}
	switch {
	case out > 1:
		c.report(NoEffectTwice, s.At, key, j.work, s.Executor, "%s has three allocations out at once", s.Job)
	case out == 1 && (!c.settings.Copies || track.Idempotency != policy.Idempotent):
		c.report(NoEffectTwice, s.At, key, j.work, s.Executor, "%s has two allocations out at once", s.Job)
	}
	if first >= 0 {
		a := j.attempts[first]
		switch {
		case track.Idempotency == policy.AtMostOnce:
			c.report(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, once-only, was sent again though allocation %d may have run", s.Job, a.number)
		case track.Idempotency == policy.IdempotentWithKey && (track.DedupGroup == policy.DedupZone && a.zone != s.Zone ||
			track.DedupGroup == policy.DedupCell && a.cell != s.Cell):
			c.report(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, tagged, was sent outside the group that drops its repeats", s.Job)
		case track.Idempotency == policy.IdempotentWithKey && s.At > a.sentAt+track.DedupWindow:
			c.report(NoEffectTwice, s.At, key, j.work, s.Executor, "%s, tagged, was sent again %v after allocation %d, outside the window", s.Job, s.At-a.sentAt, a.number)
		}
	}
	j.attempts = append(j.attempts, attempt{s.Allocation, s.Executor, s.Zone, s.Cell, s.At, false, false, c.knownStart(s)})
}

func (c *Checker) attemptEnded(key jobKey, s Seen) {
	j := c.jobs[key]
	if j == nil {
		return
	}
	for i := range j.attempts {
		if a := &j.attempts[i]; a.number == s.Allocation && !a.ended {
			a.ended, a.neverRan = true, s.Proof
		}
	}
	c.forget(key, j)
}

func (c *Checker) jobAnswered(key jobKey, s Seen) {
	j := c.jobs[key]
	if j != nil && j.answered && j.excused {
		return // its id came several times while the node stood still, and each is answered
	}
	if j == nil || j.answered {
		c.report(OneAnswer, s.At, key, s.Work, "", "%s was answered a second time, or was never taken", s.Job)
		return
	}
	if j.closed {
		return
	}
	track := c.settings.Tracks[j.class]
	may := slices.ContainsFunc(j.attempts, func(a attempt) bool { return !a.ended || !a.neverRan })
	switch {
	case s.Final == PushedBack && may && (track.Idempotency == policy.AtMostOnce || track.Idempotency == policy.IdempotentWithKey && track.DedupGroup != policy.DedupAllExecutors):
		c.report(NoEffectTwice, s.At, key, j.work, "", "%s was pushed back, though it may have run", s.Job)
	case s.Final == Handled && len(c.effects[j.work]) == 0:
		c.report(OneAnswer, s.At, key, j.work, "", "%s was answered as handled, and never ran", s.Job)
	}
	if j.givenUp && !j.excused && s.At > j.givenUpAt+c.settings.Prompt {
		c.report(AtOnce, s.At, key, j.work, "", "%s was given up on %v before its answer", s.Job, s.At-j.givenUpAt)
	}
	j.answered = true
	c.forget(key, j)
}

// effectRan: what a client's own repeats do is not the nodes' doing; where a track lets clients repeat, only runs for the same
// batch job count. A tagged one that something on the way has held up for longer than its window runs again, whatever a
// node does: that is counted, and breaks no rule as long as all was sent inside the window.
func (c *Checker) effectRan(key jobKey, s Seen) {
	track := c.settings.Tracks[s.Track]
	for _, r := range c.effects[s.Work] {
		switch {
		case track.Idempotency == policy.AtMostOnce:
			c.report(NoEffectTwice, s.At, key, s.Work, s.Executor, "%s, once-only, ran at %s and at %s", s.Work, r.executor, s.Executor)
		case track.Idempotency == policy.IdempotentWithKey && s.At > r.at+track.DedupWindow:
			c.lateReruns++
		case track.Idempotency == policy.IdempotentWithKey && r.job == key:
			c.report(NoEffectTwice, s.At, key, s.Work, s.Executor, "%s, tagged, ran at %s and at %s for one batch job", s.Work, r.executor, s.Executor)
		}
	}
	if len(c.effects[s.Work]) < 8 {
		c.effects[s.Work] = append(c.effects[s.Work], effectRun{key, s.Executor, s.At})
	}
}

// Of a cold executor: what chance is left over its budget by our own bound, beside the batch job that tops it, and by the operators',
// where N batch jobs of mean work fill the budget: chanceRoots times the root of N, and chanceJobs more.
const (
	slowStartSlack = 1.15
	chanceRoots    = 2
	chanceJobs     = 2
)

// TopplesCold says whether the work that came within the window topples a cold executor, the largest piece of it being most: by our own
// bound, which is the narrower one as long as the budget is under about 190 mean batch jobs, or by the operators'.
func TopplesCold(sum, most, budget, mean float64) bool {
	return sum-most > slowStartSlack*budget || mean > 0 && sum > budget+chanceRoots*math.Sqrt(budget*mean)+chanceJobs*mean
}

// knownStart is the last start of an executor that a node has been told of.
func (c *Checker) knownStart(s Seen) time.Duration {
	if t, ok := c.knownEndpoints[s.Node][s.Executor]; ok {
		return t.start
	}
	return math.MinInt64
}

// knownStartWhenSent is what an allocation's node had been told when it was sent: one that stood still lets out what it had in
// hand and then reads that the executor is another one by now, while that is on its way.
func (c *Checker) knownStartWhenSent(key jobKey, s Seen) time.Duration {
	if j := c.jobs[key]; j != nil {
		for _, a := range slices.Backward(j.attempts) {
			if a.executor == s.Executor {
				return a.knownStart
			}
		}
	}
	return c.knownStart(s)
}

// workArrived is rule 4: a budget over any window, for all nodes together, with a little slack for chance. The rule is broken
// only if two thirds of what came are from nodes that had been told of the start when they sent it.
func (c *Checker) workArrived(key jobKey, s Seen) {
	e := c.executors[s.Executor]
	if e == nil || !e.warmingUp {
		return
	}
	if s.At > e.start+c.settings.WarmWithin {
		e.warmingUp = false
		e.arrivals = nil
		return
	}
	e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return a.at+c.settings.FallWindow < s.At })
	e.arrivals = append(e.arrivals, arrival{s.At, s.Cost, c.knownStartWhenSent(key, s) >= e.start})
	sum, known, most := 0.0, 0.0, 0.0
	for _, a := range e.arrivals {
		sum += a.cost
		most = max(most, a.cost)
		if a.startKnown {
			known += a.cost
		}
	}
	budget := c.settings.FallMultiple * s.Capacity * c.settings.FallWindow.Seconds()
	if known < sum*2/3 {
		return
	}
	c.slowStartPeak = max(c.slowStartPeak, sum/budget)
	if TopplesCold(sum, most, budget, c.settings.MeanWork) {
		c.report(ColdSpared, s.At, jobKey{Nobody, ""}, "", s.Executor, "%s, cold, was sent %.2fs of work within %v where %.2fs is its budget",
			s.Executor, sum, c.settings.FallWindow, budget)
	}
}

// Over notes that a node that talks is over a bound, once for each node and kind of text.
func (c *Checker) Over(at time.Duration, n NodeID, text string, args ...any) {
	c.report(Bound, at, jobKey{n, ""}, WorkID(text), "", text, args...)
}

// report notes a broken rule once for each rule and batch job, or executor.
func (c *Checker) report(r Rule, at time.Duration, key jobKey, work WorkID, e policy.ExecutorID, text string, args ...any) {
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
		s := c.recent[(c.recentNext+i)%len(c.recent)]
		if key.id != "" && (s.Job == key.id || work != "" && s.Work == work) ||
			e != "" && s.Executor == e && (s.What == Told && s.Node == key.node || s.What == Started || s.What == Fell ||
				key.id == "" && s.What == Reached) {
			b.Lines = append(b.Lines, s)
		}
	}
	if n := len(b.Lines); n > 14 {
		b.Lines = b.Lines[n-14:]
	}
	c.violations = append(c.violations, b)
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)   { *h = append(*h, x.(deadline)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
