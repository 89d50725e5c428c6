package emulator

import (
	"slices"
	"time"

	"birchstair/internal/invariants"
)

// arrival is an attempt that arrived in slow start, with the cost that its client stated.
type arrival struct {
	at   time.Duration
	cost float64
}

// InSlowStart reports whether the executor is in slow start.
func (e *Executor) InSlowStart(now time.Duration) bool { return now < e.Started+e.SlowStart }

// capacityFraction returns the fraction of its capacity that the executor has by the age of its process.
func (e *Executor) capacityFraction(now time.Duration) float64 {
	if !e.InSlowStart(now) {
		return 1
	}
	return e.InitialCapacity + (1-e.InitialCapacity)*float64(now-e.Started)/float64(e.SlowStart)
}

// Capacity returns the work that the executor can do per second now, in seconds on a standard core. It leaves out the
// effect of faults.
func (e *Executor) Capacity(now time.Duration) float64 {
	return float64(min(e.Cores, e.Slots)) * e.Speed * e.capacityFraction(now)
}

// overloads crashes the executor if more work has arrived within the overload window than it can bear in slow start,
// and reports whether it did. Work counts by the cost that clients stated, since the real cost is not known before the
// work has run.
func (e *Executor) overloads(now time.Duration, a Attempt) bool {
	e.arrivals = slices.DeleteFunc(e.arrivals, func(c arrival) bool { return c.at+e.OverloadWindow < now })
	e.arrivals = append(e.arrivals, arrival{now, a.StatedCost})
	sum, largest := 0.0, 0.0
	for _, c := range e.arrivals {
		sum += c.cost
		largest = max(largest, c.cost)
	}
	budget := e.OverloadMultiple * e.Capacity(now) * e.OverloadWindow.Seconds()
	if budget == 0 || !invariants.ExceedsSlowStartBudget(sum, largest, budget, e.MeanWork) {
		return false
	}
	e.outputs = append(e.outputs, Crashed{})
	e.crash()
	return true
}
