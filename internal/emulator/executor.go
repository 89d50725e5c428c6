package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/policy"
)

// Never is a time that is never reached.
const Never = time.Duration(math.MaxInt64)

// ConnID identifies a connection to an executor. It is not reused.
type ConnID uint64

// ExecutorSpec describes an executor and its rules.
type ExecutorSpec struct {
	ID         policy.ExecutorID
	Zone       policy.ZoneID
	Kind       policy.KindID
	Cell       policy.CellID
	Cores      int     // shared evenly by running batch jobs
	Speed      float64 // of a core, as a multiple of a standard core
	Slots      int     // batch jobs that run at a time
	QueueLimit int     // batch jobs that wait; further ones are rejected

	ByPriority     bool // waiting work starts by priority; otherwise in the order of arrival
	CancelsRunning bool // running work is canceled when its connection closes

	KeepsQueued bool // waiting work is not canceled when its connection closes

	InitialCapacity  float64 // share of its capacity right after a start; grows evenly to 1 during slow start
	SlowStart        time.Duration
	OverloadMultiple float64       // an executor in slow start crashes if more arrives within the window than this multiple of its present capacity
	OverloadWindow   time.Duration // of that budget
	MeanWork         float64       // seconds of work of a mean batch job

	SendsStart    bool          // sends a message when an attempt starts
	ProgressEvery time.Duration // between progress messages; 0 for none
	SendsLoad     bool          // sends load reports with its messages
	ReportEvery   time.Duration // largest age of a load report
	ReportNoise   float64       // relative error of a load report, either way

	MaxConns int           // connections that may be open at a time
	ConnCost time.Duration // work that a new connection costs
}

// Executor models an executor. Each method that takes the time first advances the running work to it. The returned outputs are valid
// until the next call.
type Executor struct {
	ExecutorSpec
	Up         bool          // its process runs
	Draining   bool          // it rejects every attempt
	Started    time.Duration // when its process started
	fault      ExecutorFaults
	faultSince time.Duration // when the fault began
	rand       *rand.Rand

	now            time.Duration
	running        []*task
	waiting        []*task
	conns          []ConnID // in the order in which they were opened, which is the order of resets in a crash
	lastOrder      int
	connectionWork float64 // seconds of work that new connections cost and that is not done yet
	arrivals       []arrival
	loadReport     Load
	loadReportAt   time.Duration
	outputs        []Output
	Orphans        int // batch jobs that finished after their connections had closed
}

// NewExecutor returns an executor whose slow start is over.
func NewExecutor(spec ExecutorSpec, r *rand.Rand) *Executor {
	return &Executor{ExecutorSpec: spec, rand: r, Up: true, Started: -spec.SlowStart}
}

// InFlight returns how many batch jobs run or wait.
func (e *Executor) InFlight() int { return len(e.running) + len(e.waiting) }

// Running returns how many batch jobs run.
func (e *Executor) Running() int { return len(e.running) }

// NextFreeSlot estimates when a slot becomes free for a batch job that arrives after everything that runs or waits and after the work in coming,
// in seconds on a standard core. It also returns the work that a slot then does per second.
func (e *Executor) NextFreeSlot(now time.Duration, coming []float64) (at time.Duration, rate float64) {
	rate = e.Speed * e.capacityFraction(now) * min(1, float64(e.Cores)/float64(e.Slots)) / max(1, e.fault.Slow)
	done := (now - e.now).Seconds() * e.rate(e.now) // done since the last call
	slotWork := make([]float64, e.Slots)
	assign := func(work float64) {
		first := 0
		for i := range slotWork {
			if slotWork[i] < slotWork[first] {
				first = i
			}
		}
		slotWork[first] += work
	}
	for i, t := range e.running {
		slotWork[i] = max(0, t.left-done)
	}
	for _, t := range e.waiting {
		assign(t.left)
	}
	for _, work := range coming {
		assign(work)
	}
	return now + time.Duration(slices.Min(slotWork)/rate*1e9), rate
}

// Open accepts a connection, and reports whether it could: the executor may be down or at its limit.
func (e *Executor) Open(now time.Duration, c ConnID) (bool, []Output) {
	e.begin(now)
	if !e.Up || len(e.conns) >= e.MaxConns {
		return false, e.outputs
	}
	e.conns = append(e.conns, c)
	e.connectionWork += e.ConnCost.Seconds()
	return true, e.outputs
}

// Accept accepts an attempt whose last byte has arrived: the executor runs it, queues it, rejects it, or crashes in its slow start.
func (e *Executor) Accept(now time.Duration, a Attempt) []Output {
	e.begin(now)
	if !e.Up {
		return e.outputs
	}
	e.outputs = append(e.outputs, AttemptArrived{a, e.Capacity(now)})
	if e.InSlowStart(now) && e.overloads(now, a) {
		return e.outputs
	}
	e.lastOrder++
	t := &task{Attempt: a, left: a.Cost, order: e.lastOrder}
	switch {
	case e.fault.Unresponsive:
		t.unresponsive = true
	case e.fault.ErrorRate > 0 && e.rand.Float64() < e.fault.ErrorRate:
		t.failing, t.left = true, quickRunTime.Seconds()*e.Speed
	case e.Draining || len(e.running) >= e.Slots && len(e.waiting) >= e.QueueLimit:
		e.send(t, AttemptRejected, 0)
		return e.outputs
	case e.fault.FalseRejections:
		e.send(t, AttemptRejected, 0)
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

// ConnClosed handles the end of a connection.
func (e *Executor) ConnClosed(now time.Duration, c ConnID) []Output {
	e.begin(now)
	e.conns = slices.DeleteFunc(e.conns, func(o ConnID) bool { return o == c })
	e.waiting = slices.DeleteFunc(e.waiting, func(t *task) bool {
		if t.Conn != c {
			return false
		}
		t.abandoned = true
		return !e.KeepsQueued
	})
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.Conn != c {
			return false
		}
		t.abandoned = true
		return e.CancelsRunning || t.unresponsive
	})
	e.startWaiting()
	return e.outputs
}

// Wake advances the time.
func (e *Executor) Wake(now time.Duration) []Output {
	e.begin(now)
	return e.outputs
}

// Crash ends the process: what runs and waits is lost, and connections are reset.
func (e *Executor) Crash(now time.Duration) []Output {
	e.begin(now)
	if e.Up {
		e.crash()
	}
	return e.outputs
}

func (e *Executor) crash() {
	e.Up = false
	for _, c := range e.conns {
		e.outputs = append(e.outputs, ConnReset{c})
	}
	e.conns, e.running, e.waiting, e.arrivals, e.connectionWork = nil, nil, nil, nil, 0
}

// Start starts the process again, without faults and in slow start.
func (e *Executor) Start(now time.Duration) []Output {
	e.begin(now)
	e.Up, e.Draining, e.Started, e.fault, e.loadReport.Known = true, false, now, ExecutorFaults{}, false
	return e.outputs
}
