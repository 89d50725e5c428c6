package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// restartedBudgetFraction is the part of the slow-start budget that a process has in its first overload window, if the
	// executor started before it: the process before may have spent all but what the margin on work leaves over.
	restartedBudgetFraction = unhintedMargin - 1

	// unknownWorkMargin is what a class without known running times adds to a job's margin in slow start, as a fraction;
	// it shrinks with each running time that is known.
	unknownWorkMargin = 2
)

// slowStart is how much work this node may send to executors that have just started (rule 4).
type slowStart struct {
	executors       []*executor   // in slow start, that this node may use
	initialCapacity float64       // fraction of its capacity that an executor has at its start
	duration        time.Duration // until it has all of it
	senders         int           // nodes that may use one such executor
	budget          float64       // work that this node may send within overloadWindow, for each unit of capacity, in seconds
	overloadWindow  time.Duration
	blockedUntil    time.Duration // until then another process of this node has the budget
}

// derive sets this node's part of the slow-start budget. Divided among many nodes it would be less than one job, so a
// few nodes share all of it: as many as could each send one job to one slot.
func (s *slowStart) derive(overloadMultiple float64, shortestObjective time.Duration, nodeCount int) {
	window := s.overloadWindow.Seconds()
	senders := int(overloadMultiple * s.initialCapacity * window / shortestObjective.Seconds())
	s.senders = max(1, min(senders, nodeCount))
	s.budget = overloadMultiple * window / float64(s.senders)
}

// add takes up an executor whose slow start begins, if it is not in one already.
func (s *slowStart) add(e *executor, now time.Duration) {
	if e.slowStart.sender && now >= e.slowStart.until {
		s.executors = append(s.executors, e)
	}
}

// dropEnded drops the executors that were removed or whose slow start is over.
func (s *slowStart) dropEnded(now time.Duration) {
	s.executors = slices.DeleteFunc(s.executors, func(e *executor) bool { return e.removed || now >= e.slowStart.until })
}

// capacityFraction returns the least fraction of its full capacity that e has at its age: it grows linearly over the
// duration of slow start.
func (s *slowStart) capacityFraction(e *executor, now time.Duration) float64 {
	return s.initialCapacity + (1-s.initialCapacity)*min(1, max(0, float64(now-e.started)/float64(s.duration)))
}

// executorSlowStart is how far an executor is in its slow start.
type executorSlowStart struct {
	sender bool // this node is one of the few that may use it meanwhile
	until  time.Duration
	spent  []spend // work sent to it within the window
}

// begin starts a slow start that lasts until then.
func (s *executorSlowStart) begin(until time.Duration) {
	s.until = until
	s.spent = s.spent[:0]
}

// spend records work that is sent to the executor now.
func (s *executorSlowStart) spend(now, work time.Duration) {
	s.spent = append(s.spent, spend{now, work})
}

// dropBefore drops what was sent longer than the window ago.
func (s *executorSlowStart) dropBefore(now, window time.Duration) {
	s.spent = slices.DeleteFunc(s.spent, func(spent spend) bool { return spent.at+window <= now })
}

// spend is work that was sent at some moment.
type spend struct {
	at   time.Duration
	work time.Duration
}

// withinSlowStartBudget is rule 4: it reports whether j fits into this node's part of the budget of work for e, which is
// in slow start. The budget follows the kind's slots and pace, by what executors that are past slow start were seen to
// do, and the least capacity that e has at its age.
func (d *Dispatcher) withinSlowStartBudget(e *executor, j *job, now time.Duration) bool {
	kind := d.endpoints.kinds[e.kind]
	// An executor that is smaller than its kind, or was slower before its start, gets less.
	capacity := d.slowStart.capacityFraction(e, now) * min(1, max(e.size, e.weight)/kind.size)
	budget := d.slowStart.budget * capacity * kind.safeSlots() / max(kind.pace, d.pace(e, now))
	if e.started < 0 && now < d.slowStart.overloadWindow {
		budget *= restartedBudgetFraction
	}
	e.slowStart.dropBefore(now, d.slowStart.overloadWindow)
	for _, spent := range e.slowStart.spent {
		budget -= spent.work.Seconds()
	}
	return j.slowStartWork().Seconds() <= budget
}

// slowStartWork returns what j counts for in the slow-start budget: more than its estimated work, and, without the
// client's estimate, the more the fewer running times of its class are known.
func (j *job) slowStartWork() time.Duration {
	margin := unhintedMargin
	if !j.hinted {
		margin *= 1 + unknownWorkMargin/float64(1+j.class.samples)
	}
	return scaled(j.work, margin)
}

// BlockSlowStartUntil keeps this process from using executors in slow start until the given time: until then another
// process of this node has their budget.
func (d *Dispatcher) BlockSlowStartUntil(now, until time.Duration) {
	d.slowStart.blockedUntil = until
	d.subset.invalidate()
	d.queue.rescan()
	if until != Forever {
		d.timers.checkAll(max(until, now))
	}
}

// safeSlots returns a kind's slots for rule 4: by load reports that are exact, or by the jobs that ran beside each other
// for long enough. The larger count of start notices is not safe: a notice may overtake that of the end before it, so
// that an executor of one slot looks like one of two.
func (k *kindStats) safeSlots() float64 {
	if k.exactSlots > 0 {
		return max(1, math.Round(k.exactSlots))
	}
	return float64(max(1, min(k.concurrency, k.observedConcurrency)))
}
