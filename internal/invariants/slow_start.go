package invariants

import (
	"cmp"
	"math"
	"slices"
	"time"

	"birchstair/policy"
)

// startedExecutor is an executor that has started within the trace.
type startedExecutor struct {
	start          time.Duration
	warmingUp      bool
	recentArrivals []arrival // arrivals within the window of the budget
}

// arrival is an attempt that has reached an executor in slow start.
type arrival struct {
	at         time.Duration
	cost       float64 // seconds of work on a standard core
	startKnown bool    // its node had been notified of the executor's start when it sent the attempt
}

// Allowances over the budget of an executor in slow start.
const (
	slowStartSlack = 1.15 // our bound, as a multiple of the budget

	// The operators' bound allows for the scatter of random arrivals. If N mean batch jobs fill the budget, the bound
	// is N + scatterRoots*sqrt(N) + scatterJobs mean batch jobs.
	scatterRoots = 2
	scatterJobs  = 2
)

// ExceedsSlowStartBudget reports whether the work that reached an executor in slow start within the window exceeds one
// of two bounds. The arguments are in seconds of work: the sum, the largest single piece of it, the executor's budget,
// and a mean batch job (0 if unknown). Our bound does not count the largest piece. It is the narrower one while the
// budget is under about 190 mean batch jobs. The operators' bound allows for the scatter of random arrivals.
func ExceedsSlowStartBudget(sum, largest, budget, mean float64) bool {
	if sum-largest > slowStartSlack*budget {
		return true
	}
	return mean > 0 && sum > budget+scatterRoots*math.Sqrt(budget*mean)+scatterJobs*mean
}

func (c *Checker) executorStarted(event Event) {
	c.executors[event.Executor] = &startedExecutor{start: cmp.Or(event.Start, event.At), warmingUp: true}
}

// knownStart returns the last start of an executor that a node has been notified of.
func (c *Checker) knownStart(node NodeID, executor policy.ExecutorID) time.Duration {
	if endpoint, ok := c.knownEndpoints[node][executor]; ok {
		return endpoint.start
	}
	return math.MinInt64
}

// knownStartWhenSent returns the last start of the executor that the node had been notified of when it sent the
// attempt. The node may know of a later start by now: a node that was paused may send what it had in flight, and be
// notified of the start while the attempt is on its way.
func (c *Checker) knownStartWhenSent(key jobKey, event Event) time.Duration {
	if j := c.jobs[key]; j != nil {
		for _, a := range slices.Backward(j.attempts) {
			if a.executor == event.Executor {
				return a.knownStart
			}
		}
	}
	return c.knownStart(event.Node, event.Executor)
}

// attemptReached checks the rule "cold spared": within any window, the work that all nodes together send to an executor
// in slow start must not exceed its budget. Nodes that had not been notified of the start cannot know of the budget, so
// the rule applies only if at least two thirds of the work came from nodes that had been notified.
func (c *Checker) attemptReached(key jobKey, event Event) {
	e := c.executors[event.Executor]
	if e == nil || !e.warmingUp {
		return
	}
	if event.At > e.start+c.settings.SlowStart {
		e.warmingUp = false
		e.recentArrivals = nil
		return
	}
	e.recentArrivals = slices.DeleteFunc(e.recentArrivals, func(a arrival) bool { return a.at+c.settings.SlowStartWindow < event.At })
	e.recentArrivals = append(e.recentArrivals, arrival{event.At, event.Cost, c.knownStartWhenSent(key, event) >= e.start})
	sum, known, largest := 0.0, 0.0, 0.0
	for _, a := range e.recentArrivals {
		sum += a.cost
		largest = max(largest, a.cost)
		if a.startKnown {
			known += a.cost
		}
	}
	budget := c.settings.SlowStartMultiple * event.Capacity * c.settings.SlowStartWindow.Seconds()
	if known < sum*2/3 {
		return
	}
	c.slowStartPeak = max(c.slowStartPeak, sum/budget)
	if ExceedsSlowStartBudget(sum, largest, budget, c.settings.MeanWork) {
		about := subject{job: jobKey{NoNode, ""}, executor: event.Executor}
		c.report(SlowStartBudget, event.At, about, "%s, cold, was sent %.2fs of work within %v where %.2fs is its budget",
			event.Executor, sum, c.settings.SlowStartWindow, budget)
	}
}
