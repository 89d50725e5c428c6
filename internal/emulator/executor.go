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

// ExecutorSpec describes an executor and how it treats its batch jobs.
type ExecutorSpec struct {
	ID         policy.ExecutorID
	Zone       policy.ZoneID
	Kind       policy.KindID
	Cell       policy.CellID
	Cores      int     // cores, which running batch jobs share evenly
	Speed      float64 // speed of a core, as a multiple of a standard core
	Slots      int     // how many batch jobs run at a time
	QueueLimit int     // how many batch jobs may wait; further ones are rejected

	ByPriority     bool // waiting batch jobs start by priority, otherwise in the order of arrival
	CancelsRunning bool // a running batch job is canceled when its connection closes
	KeepsQueued    bool // a waiting batch job is not canceled when its connection closes

	InitialCapacity  float64       // fraction of the full capacity right after a start; grows linearly to 1 in slow start
	SlowStart        time.Duration // length of the slow start; 0 for none
	OverloadMultiple float64       // slow-start budget, as a multiple of the present capacity; the executor crashes over it; 0 for no limit
	OverloadWindow   time.Duration // length of the window for which the slow-start budget holds
	MeanWork         float64       // seconds of work of a mean batch job

	SendsStart    bool          // a message is sent when an attempt starts
	ProgressEvery time.Duration // interval of progress messages; 0 for none
	SendsLoad     bool          // messages carry load reports
	ReportEvery   time.Duration // largest age of a load report
	ReportNoise   float64       // largest relative error of a load report, in either direction

	MaxConns int           // how many connections may be open at a time
	ConnCost time.Duration // work that a new connection costs
}

// Executor models an executor. A method that takes the time first advances the running work to that time. The outputs
// that it returns are valid until the next call.
type Executor struct {
	ExecutorSpec
	Up         bool          // its process runs
	Draining   bool          // it rejects every attempt
	Started    time.Duration // when its process started
	fault      ExecutorFaults
	faultSince time.Duration // when the faults were last set
	rand       *rand.Rand

	now            time.Duration // time to which the running work has been advanced
	running        []*task
	waiting        []*task  // tasks that wait for a slot, in the order in which they will start
	conns          []ConnID // open connections in the order of opening, in which a crash resets them
	lastOrder      int      // order of the last task
	connectionWork float64  // remaining seconds of work that new connections cost
	arrivals       []arrival
	loadReport     Load
	loadReportAt   time.Duration // when the load report was made
	outputs        []Output      // outputs of the present call
	Orphans        int           // batch jobs that finished after their connections had closed
}

// NewExecutor returns an executor that runs and is not in slow start.
func NewExecutor(spec ExecutorSpec, r *rand.Rand) *Executor {
	return &Executor{ExecutorSpec: spec, rand: r, Up: true, Started: -spec.SlowStart}
}

// InFlight returns how many batch jobs run or wait.
func (e *Executor) InFlight() int { return len(e.running) + len(e.waiting) }

// Running returns how many batch jobs run.
func (e *Executor) Running() int { return len(e.running) }

// NextFreeSlot estimates when a slot becomes free for a batch job that arrives after all others: those that run, those
// that wait, and those on their way, whose work is given in seconds on a standard core. It also returns the work that a
// slot does per second.
func (e *Executor) NextFreeSlot(now time.Duration, onTheWay []float64) (at time.Duration, rate float64) {
	rate = e.Speed * e.capacityFraction(now) * min(1, float64(e.Cores)/float64(e.Slots)) / max(1, e.fault.Slow)
	done := (now - e.now).Seconds() * e.rate(e.now) // work that each running batch job has done since e.now
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
	for _, work := range onTheWay {
		assign(work)
	}
	return now + time.Duration(slices.Min(slotWork)/rate*1e9), rate
}

// Open accepts a connection. It returns false if the executor is down or has MaxConns connections.
func (e *Executor) Open(now time.Duration, c ConnID) (bool, []Output) {
	e.begin(now)
	if !e.Up || len(e.conns) >= e.MaxConns {
		return false, e.outputs
	}
	e.conns = append(e.conns, c)
	e.connectionWork += e.ConnCost.Seconds()
	return true, e.outputs
}

// Accept handles an attempt whose last byte has arrived: the executor runs it, queues it, rejects it, or crashes from
// overload in its slow start.
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

// enqueue adds a task to the waiting ones, at its place in the order in which they start.
func (e *Executor) enqueue(t *task) {
	i := len(e.waiting)
	if e.ByPriority {
		i, _ = slices.BinarySearchFunc(e.waiting, t, func(a, b *task) int {
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.order, b.order))
		})
	}
	e.waiting = slices.Insert(e.waiting, i, t)
}

// ConnClosed handles the end of a connection: its batch jobs are canceled or abandoned.
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

// Wake advances the time, and returns the outputs of the work that was done.
func (e *Executor) Wake(now time.Duration) []Output {
	e.begin(now)
	return e.outputs
}

// Crash ends the process: running and waiting batch jobs are lost, and connections are reset.
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
