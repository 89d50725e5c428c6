// Package emulator is a model of the systems around a node: executors, discovery, clients, and what goes wrong with
// them. It is pure: time and what happens go in, what follows comes out. The lab runs it on a virtual clock, with the
// reducer alone and with the network code on connections in memory.
package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// ConnID names a connection as an executor sees it; it is never used twice.
type ConnID uint64

// ExecutorSpec is how an executor is built.
type ExecutorSpec struct {
	ID     policy.ExecutorID
	Zone   policy.ZoneID
	Kind   policy.KindID
	Cell   policy.CellID
	Cores  int     // that share what runs
	Speed  float64 // of a core, against a standard one
	Places int     // batch jobs running at once
	Queue  int     // and waiting; beyond them they are turned away

	ByPriority bool // else in the order in which they came
	StopsWork  bool // running work ends with its connection

	KeepsWaiting bool // waiting work does not end with its connection; else it does

	ColdShare    float64 // of its capacity right after a start, growing evenly
	WarmWithin   time.Duration
	FallMultiple float64
	FallWindow   time.Duration
	MeanWork     float64 // seconds of work of a mean batch job

	TellsStart  bool
	TellsEvery  time.Duration // between notices of progress; 0 for none
	Reports     bool
	ReportEvery time.Duration // a load report is so old at most
	ReportNoise float64       // and off by such a part either way

	Conns    int           // open at once
	ConnCost time.Duration // work that a new one takes
}

// Allocation is what reaches an executor.
type Allocation struct {
	Conn     ConnID
	Node     invariants.NodeID
	Job      policy.JobID
	Work     invariants.WorkID
	Track    policy.JobClassID
	Tag      string        // a tagged one's; empty for others
	Window   time.Duration // how long its repeats are dropped
	Memory   *Memory       // by whom
	Priority int
	Cost     float64 // seconds on a standard core
	Hint     float64 // what the client said of that
}

// Memory is what a group of executors remembers of the tags it has seen.
type Memory struct{ until map[string]time.Duration }

// NewMemory makes an empty one.
func NewMemory() *Memory { return &Memory{until: map[string]time.Duration{}} }

// Memories are the memories of a world, by track and by what its dedup group spans.
type Memories map[dedupGroupKey]*Memory

type dedupGroupKey struct {
	group policy.DedupGroup
	zone  policy.ZoneID
	cell  policy.CellID
	class policy.JobClassID
}

// Of is what remembers the tags of a track's batch jobs at an executor; an empty one where there was none.
func (all Memories) Of(class policy.JobClassID, group policy.DedupGroup, at ExecutorSpec) *Memory {
	k := dedupGroupKey{group: group, class: class}
	switch group {
	case policy.DedupZone:
		k.zone = at.Zone
	case policy.DedupCell:
		k.cell = at.Cell
	}
	if all[k] == nil {
		all[k] = NewMemory()
	}
	return all[k]
}

func (m *Memory) repeats(now time.Duration, tag string, window time.Duration) bool {
	if now <= m.until[tag] {
		return true
	}
	m.until[tag] = now + window
	return false
}

// Word is what an executor says of an allocation.
type Word int

// What an executor says of an allocation.
const (
	Began    Word = iota // it runs
	Progress             // the part Share of it is done
	Done                 // it has ended, with its result
	Errored              // it has ended with an error; it may have had its effect
	NoRoom               // it was rejected and never ran
)

// Load is a load report.
type Load struct {
	Held, Waiting, Free float64
	Known               bool
}

// Out is what follows from something that happened to an executor: one of the types below.
type Out interface{ out() }

type (
	// Say is a word on a connection.
	Say struct {
		Conn  ConnID
		Job   policy.JobID
		Word  Word
		Share float64
		Load  Load
	}
	// Ran means that an effect has begun.
	Ran struct{ Allocation }
	// Reached means that work has come in, against the capacity that there is.
	Reached struct {
		Allocation
		Capacity float64
	}
	// Reset means that the executor breaks the connection.
	Reset struct{ Conn ConnID }
	// Fell means that it has fallen over.
	Fell struct{}
)

func (Say) out()     {}
func (Ran) out()     {}
func (Reached) out() {}
func (Reset) out()   {}
func (Fell) out()    {}

// Trouble is what an executor suffers from; the zero value is none.
type Trouble struct {
	Slow       float64 // times slower; 0 for as usual
	StallFor   time.Duration
	StallEvery time.Duration
	Neighbour  float64 // part of the machine that another program takes, on and off
	Errors     float64 // part of the batch jobs that end in a quick error, without running
	Mute       bool    // takes all and answers none
	Lies       bool    // says that it turned a batch job away, and runs it: no fault of the site, but planted by tests
}

// errorRunTime is how soon an error comes that is no fault of the batch job's.
const errorRunTime = 2 * time.Millisecond

// Executor is one executor. Between two calls time passes for what runs there.
type Executor struct {
	ExecutorSpec
	Up         bool
	Drains     bool
	Started    time.Duration
	fault      Trouble
	faultSince time.Duration // of the trouble
	rand       *rand.Rand

	now            time.Duration
	running        []*task
	waiting        []*task
	conns          []ConnID // in the order in which they came, so that a crash resets them in it
	lastOrder      int
	connectionWork float64 // seconds of work that new connections have cost
	arrivals       []arrival
	loadReport     Load
	loadReportAt   time.Duration
	outputs        []Out
	Orphans        int // batch jobs done that nobody waited for any more
}

type task struct {
	Allocation
	left         float64 // seconds on a standard core
	order        int
	reportedAt   time.Duration // of its last notice
	duplicate    bool          // it has no effect
	abandoned    bool          // nobody waits for it any more
	failing      bool
	unresponsive bool
}

type arrival struct {
	at   time.Duration
	cost float64
}

// NewExecutor makes one that has run for long.
func NewExecutor(spec ExecutorSpec, r *rand.Rand) *Executor {
	return &Executor{ExecutorSpec: spec, rand: r, Up: true, Started: -spec.WarmWithin}
}

// Cold says whether it has not warmed up yet.
func (e *Executor) Cold(now time.Duration) bool { return now < e.Started+e.WarmWithin }

// warmShare is the part of its capacity that it has by its age.
func (e *Executor) warmShare(now time.Duration) float64 {
	if !e.Cold(now) {
		return 1
	}
	return e.ColdShare + (1-e.ColdShare)*float64(now-e.Started)/float64(e.WarmWithin)
}

// Capacity is the work that it can do now, in seconds on a standard core a second, troubles aside.
func (e *Executor) Capacity(now time.Duration) float64 {
	return float64(min(e.Cores, e.Places)) * e.Speed * e.warmShare(now)
}

// rate is the work that one running batch job gets done in a second.
func (e *Executor) rate(now time.Duration) float64 {
	n := len(e.running)
	if n == 0 {
		return 0
	}
	r := e.Speed * e.warmShare(now) * min(1, float64(e.Cores)/float64(n))
	t := e.fault
	if t.Slow > 1 {
		r /= t.Slow
	}
	if t.StallEvery > 0 && (now-e.faultSince)%t.StallEvery < t.StallFor {
		return 0
	}
	if t.Neighbour > 0 && (now-e.faultSince)/neighborInterval%2 == 0 {
		r *= 1 - t.Neighbour
	}
	return r
}

// neighborInterval is how long another program is on, and off.
const neighborInterval = 700 * time.Millisecond

// warmSteps are the steps in which capacity grows while it is cold.
const warmSteps = 24

// Next is when it must be woken: when something ends, or its rate changes.
func (e *Executor) Next() time.Duration {
	if !e.Up || len(e.running) == 0 {
		return Never
	}
	next := Never
	rate := e.rate(e.now)
	for _, t := range e.running {
		if t.unresponsive {
			continue
		}
		if rate > 0 {
			next = min(next, e.now+time.Duration(math.Ceil((t.left+e.connectionWork)/rate*1e9)))
		}
		if e.TellsEvery > 0 && !t.abandoned {
			next = min(next, t.reportedAt+e.TellsEvery)
		}
	}
	if e.Cold(e.now) {
		next = min(next, e.now+e.WarmWithin/warmSteps)
	}
	if t := e.fault; t.StallEvery > 0 {
		in := (e.now - e.faultSince) % t.StallEvery
		if in < t.StallFor {
			next = min(next, e.now+t.StallFor-in)
		} else {
			next = min(next, e.now+t.StallEvery-in)
		}
	}
	if e.fault.Neighbour > 0 {
		next = min(next, e.now+neighborInterval-(e.now-e.faultSince)%neighborInterval)
	}
	return max(next, e.now+time.Microsecond)
}

// begin lets time pass, and begins the outs of a call.
func (e *Executor) begin(now time.Duration) {
	e.outputs = e.outputs[:0]
	e.advance(now)
}

func (e *Executor) advance(now time.Duration) {
	span := (now - e.now).Seconds()
	if span > 0 && e.Up {
		done := e.rate(e.now) * span
		if pay := min(e.connectionWork, done); pay > 0 {
			e.connectionWork -= pay
			done -= pay
		}
		for _, t := range e.running {
			if !t.unresponsive {
				t.left -= done
			}
		}
	}
	e.now = max(e.now, now)
	e.finish()
	e.reportProgress()
	e.startWaiting()
}

const finishedBelow = 1e-9

func (e *Executor) finish() {
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.left > finishedBelow || t.unresponsive {
			return false
		}
		if t.abandoned {
			e.Orphans++
		} else {
			word := Done
			if t.failing {
				word = Errored
			}
			e.send(t, word, 1)
		}
		return true
	})
}

func (e *Executor) reportProgress() {
	if e.TellsEvery == 0 {
		return
	}
	for _, t := range e.running {
		if !t.abandoned && !t.unresponsive && e.now >= t.reportedAt+e.TellsEvery {
			t.reportedAt = e.now
			e.send(t, Progress, min(0.99, max(0.001, 1-t.left/t.Cost)))
		}
	}
}

func (e *Executor) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.Places {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(t)
	}
}

func (e *Executor) start(t *task) {
	t.reportedAt = e.now
	e.running = append(e.running, t)
	if t.unresponsive {
		return
	}
	if t.Tag != "" && !t.failing && t.Memory.repeats(e.now, t.Tag, t.Window) {
		t.duplicate, t.left = true, min(t.left, errorRunTime.Seconds())
	}
	if !t.duplicate && !t.failing {
		e.outputs = append(e.outputs, Ran{t.Allocation})
	}
	if e.TellsStart && !t.abandoned {
		e.send(t, Began, 0)
	}
}

func (e *Executor) send(t *task, w Word, share float64) {
	e.outputs = append(e.outputs, Say{t.Conn, t.Job, w, share, e.Says(e.now)})
}

// Says is the load that it tells, late and noisy: the same for all who hear of it until it is renewed.
func (e *Executor) Says(now time.Duration) Load {
	if !e.Reports {
		return Load{}
	}
	if !e.loadReport.Known || now-e.loadReportAt >= e.ReportEvery {
		off := func(x int) float64 {
			return math.Max(0, float64(x)*(1+e.ReportNoise*(2*e.rand.Float64()-1)))
		}
		e.loadReportAt = now
		e.loadReport = Load{off(len(e.running) + len(e.waiting)), off(len(e.waiting)), off(max(0, e.Places-len(e.running))), true}
	}
	return e.loadReport
}

// Mute says whether it answers nobody.
func (e *Executor) Mute() bool { return e.fault.Mute }

// Held returns how many batch jobs run or wait there.
func (e *Executor) Held() int { return len(e.running) + len(e.waiting) }

// Running returns how many batch jobs run there.
func (e *Executor) Running() int { return len(e.running) }

// Frees is when a place is free for one that comes after all that is held here and after what is on its way, in seconds on a standard core,
// and the work that a place then gets done in a second.
func (e *Executor) Frees(now time.Duration, coming []float64) (at time.Duration, rate float64) {
	rate = e.Speed * e.warmShare(now) * min(1, float64(e.Cores)/float64(e.Places)) / max(1, e.fault.Slow)
	gone := (now - e.now).Seconds() * e.rate(e.now) // since it was looked at last
	places := make([]float64, e.Places)
	take := func(work float64) {
		first := 0
		for i := range places {
			if places[i] < places[first] {
				first = i
			}
		}
		places[first] += work
	}
	for i, t := range e.running {
		places[i] = max(0, t.left-gone)
	}
	for _, t := range e.waiting {
		take(t.left)
	}
	for _, work := range coming {
		take(work)
	}
	return now + time.Duration(slices.Min(places)/rate*1e9), rate
}

// Open takes a connection, unless it has all it takes.
func (e *Executor) Open(now time.Duration, c ConnID) (bool, []Out) {
	e.begin(now)
	if !e.Up || len(e.conns) >= e.Conns {
		return false, e.outputs
	}
	e.conns = append(e.conns, c)
	e.connectionWork += e.ConnCost.Seconds()
	return true, e.outputs
}

// Take takes an allocation in whose last byte has come.
func (e *Executor) Take(now time.Duration, a Allocation) []Out {
	e.begin(now)
	if !e.Up {
		return e.outputs
	}
	e.outputs = append(e.outputs, Reached{a, e.Capacity(now)})
	if e.Cold(now) && e.overloads(now, a) {
		return e.outputs
	}
	e.lastOrder++
	t := &task{Allocation: a, left: a.Cost, order: e.lastOrder}
	switch {
	case e.fault.Mute:
		t.unresponsive = true
	case e.fault.Errors > 0 && e.rand.Float64() < e.fault.Errors:
		t.failing, t.left = true, errorRunTime.Seconds()*e.Speed
	case e.Drains || len(e.running) >= e.Places && len(e.waiting) >= e.Queue:
		e.send(t, NoRoom, 0)
		return e.outputs
	case e.fault.Lies:
		e.send(t, NoRoom, 0)
		t.abandoned = true
	}
	e.enqueue(t)
	e.startWaiting()
	return e.outputs
}

func (e *Executor) enqueue(t *task) {
	i := len(e.waiting)
	if e.ByPriority {
		i, _ = slices.BinarySearchFunc(e.waiting, t, func(a, b *task) int {
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.order, b.order))
		})
	}
	e.waiting = slices.Insert(e.waiting, i, t)
}

// overloads says whether it falls over: more than its rule allows has come within the window. What came is judged by what
// clients said of it, as it is not known before it runs; by our own bound the one that tops the
// budget is not counted.
func (e *Executor) overloads(now time.Duration, a Allocation) bool {
	e.arrivals = slices.DeleteFunc(e.arrivals, func(c arrival) bool { return c.at+e.FallWindow < now })
	e.arrivals = append(e.arrivals, arrival{now, a.Hint})
	sum, most := 0.0, 0.0
	for _, c := range e.arrivals {
		sum += c.cost
		most = max(most, c.cost)
	}
	budget := e.FallMultiple * e.Capacity(now) * e.FallWindow.Seconds()
	if budget == 0 || !invariants.TopplesCold(sum, most, budget, e.MeanWork) {
		return false
	}
	e.outputs = append(e.outputs, Fell{})
	e.crash()
	return true
}

// Hangup tells it that a connection is gone.
func (e *Executor) Hangup(now time.Duration, c ConnID) []Out {
	e.begin(now)
	e.conns = slices.DeleteFunc(e.conns, func(o ConnID) bool { return o == c })
	e.waiting = slices.DeleteFunc(e.waiting, func(t *task) bool {
		if t.Conn != c {
			return false
		}
		t.abandoned = true
		return !e.KeepsWaiting
	})
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.Conn != c {
			return false
		}
		t.abandoned = true
		return e.StopsWork || t.unresponsive
	})
	e.startWaiting()
	return e.outputs
}

// Wake lets time pass.
func (e *Executor) Wake(now time.Duration) []Out {
	e.begin(now)
	return e.outputs
}

// Suffer puts a trouble on it, or with the zero value takes it off: what it took in without a word is dropped then.
func (e *Executor) Suffer(now time.Duration, t Trouble) []Out {
	e.begin(now)
	e.fault, e.faultSince = t, now
	if !t.Mute {
		mute := func(t *task) bool { return t.unresponsive }
		e.running, e.waiting = slices.DeleteFunc(e.running, mute), slices.DeleteFunc(e.waiting, mute)
		e.startWaiting()
	}
	return e.outputs
}

// Trouble is what it suffers from.
func (e *Executor) Trouble() Trouble { return e.fault }

// Crash ends it: what runs and waits is lost, connections are reset.
func (e *Executor) Crash(now time.Duration) []Out {
	e.begin(now)
	if e.Up {
		e.crash()
	}
	return e.outputs
}

func (e *Executor) crash() {
	e.Up = false
	for _, c := range e.conns {
		e.outputs = append(e.outputs, Reset{c})
	}
	e.conns, e.running, e.waiting, e.arrivals, e.connectionWork = nil, nil, nil, nil, 0
}

// Start starts it anew, cold.
func (e *Executor) Start(now time.Duration) []Out {
	e.begin(now)
	e.Up, e.Drains, e.Started, e.fault, e.loadReport.Known = true, false, now, Trouble{}, false
	return e.outputs
}
