package emulator

import (
	"slices"
	"time"
)

// Trouble is the sum of the faults of an executor. The zero value is none.
type Trouble struct {
	Slow       float64       // times slower; 0 for the usual speed
	StallFor   time.Duration // stops for so long at the start of each period
	StallEvery time.Duration // the period; 0 for no stalls
	Neighbour  float64       // share of the machine that another program takes, on and off
	Errors     float64       // share of the batch jobs that end in a quick error, without running
	Mute       bool          // accepts everything and answers nothing
	Lies       bool          // rejects a batch job and runs it all the same: a defect that tests inject
}

// neighborInterval is how long another program runs and then pauses.
const neighborInterval = 700 * time.Millisecond

// Mute reports whether it answers nothing.
func (e *Executor) Mute() bool { return e.fault.Mute }

// Suffer sets the faults, or with the zero value removes them. Attempts that it accepted while unresponsive are dropped when that ends.
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

// Trouble returns the present faults.
func (e *Executor) Trouble() Trouble { return e.fault }
