package emulator

import (
	"slices"
	"time"
)

// ExecutorFaults is the combination of the faults of an executor. The zero value stands for no faults.
type ExecutorFaults struct {
	Slow            float64       // factor by which the executor is slower; 0 for the usual speed
	StallFor        time.Duration // length of a stall, in which all work stops
	StallEvery      time.Duration // interval from the start of a stall to the next; 0 for no stalls
	NeighborShare   float64       // share of the machine that another program takes, on and off (neighborInterval)
	ErrorRate       float64       // fraction of the batch jobs that end in a quick error, without running
	Unresponsive    bool          // accepts every attempt, and sends nothing
	FalseRejections bool          // rejects a batch job and still runs it: a defect that tests inject
}

// neighborInterval is how long the other program of a NoisyNeighbor fault runs, and how long it then pauses.
const neighborInterval = 700 * time.Millisecond

// Unresponsive reports whether the executor accepts attempts but sends nothing.
func (e *Executor) Unresponsive() bool { return e.fault.Unresponsive }

// SetFaults sets the faults, or removes them with the zero value. Attempts that the executor accepted while it was
// unresponsive are dropped when that fault ends.
func (e *Executor) SetFaults(now time.Duration, faults ExecutorFaults) []Output {
	e.begin(now)
	e.fault, e.faultSince = faults, now
	if !faults.Unresponsive {
		unresponsive := func(t *task) bool { return t.unresponsive }
		e.running, e.waiting = slices.DeleteFunc(e.running, unresponsive), slices.DeleteFunc(e.waiting, unresponsive)
		e.startWaiting()
	}
	return e.outputs
}

// Faults returns the present faults.
func (e *Executor) Faults() ExecutorFaults { return e.fault }
