package emulator

import (
	"slices"
	"time"
)

// ExecutorFaults is the sum of the faults of an executor. The zero value is none.
type ExecutorFaults struct {
	Slow            float64       // times slower; 0 for the usual speed
	StallFor        time.Duration // stops for so long at the start of each period
	StallEvery      time.Duration // the period; 0 for no stalls
	NeighborShare   float64       // share of the machine that another program takes, on and off
	ErrorRate       float64       // share of the batch jobs that end in a quick error, without running
	Unresponsive    bool          // accepts everything and answers nothing
	FalseRejections bool          // rejects a batch job and runs it all the same: a defect that tests inject
}

// neighborInterval is how long another program runs and then pauses.
const neighborInterval = 700 * time.Millisecond

// Unresponsive reports whether it answers nothing.
func (e *Executor) Unresponsive() bool { return e.fault.Unresponsive }

// SetFaults sets the faults, or with the zero value removes them. Attempts that it accepted while unresponsive are dropped when that ends.
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
