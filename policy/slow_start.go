package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// restartedBudgetFraction is the fraction of its slow-start budget that a process can use in its first overload
	// window for an executor that started before the process did. The predecessor process may have used up the budget.
	// It counted each job as classEstimateMargin times the job's work, so it sent at most budget/classEstimateMargin of
	// work. The rest is budget*(1-1/classEstimateMargin). Since this process multiplies work by the same margin, it can
	// use budget*(classEstimateMargin-1).
	restartedBudgetFraction = classEstimateMargin - 1

	// unknownWorkMargin enlarges the margin on the work of a job in slow start if the client did not estimate the work.
	// The margin is multiplied by 1 + unknownWorkMargin/(1 + number of known running times of the job's class).
	unknownWorkMargin = 2
)

// slowStart holds the slow-start budget, which limits the work that this node sends to executors that have just started
// (rule 4 in doc.go).
type slowStart struct {
	executors       []*executor   // executors in slow start that this node is allowed to use
	initialCapacity float64       // fraction of its full capacity that an executor has at its start
	duration        time.Duration // time from an executor's start until it has its full capacity
	senders         int           // number of nodes that are allowed to use the same executor in slow start
	// This node's share of the slow-start budget of an executor whose capacity is 1, in seconds of work within
	// overloadWindow. The share of another executor is this multiplied by its capacity.
	budget         float64
	overloadWindow time.Duration
	// Time until which this process must not use executors in slow start, because another process of this node uses the
	// budget.
	blockedUntil time.Duration
}

// derive sets the number of nodes that use an executor in slow start, and this node's share of the slow-start budget.
// If all nodes of a large cluster shared the budget, a share would be less than one job. So only a few nodes share the
// budget: as many as possible, as long as each initial share is at least one job. Their number is computed for an
// executor with one slot, and for jobs with as much work as the shortest objective is long.
func (s *slowStart) derive(overloadMultiple float64, shortestObjective time.Duration, nodeCount int) {
	window := s.overloadWindow.Seconds()
	senders := int(overloadMultiple * s.initialCapacity * window / shortestObjective.Seconds())
	s.senders = max(1, min(senders, nodeCount))
	s.budget = overloadMultiple * window / float64(s.senders)
}

// add adds an executor whose slow start begins, if this node is allowed to use it in its slow start. An executor that
// is already in slow start is not added again.
func (s *slowStart) add(e *executor, now time.Duration) {
	if e.slowStart.sender && now >= e.slowStart.until {
		s.executors = append(s.executors, e)
	}
}

// dropEnded drops the executors that were removed from the endpoint list or whose slow start is over.
func (s *slowStart) dropEnded(now time.Duration) {
	s.executors = slices.DeleteFunc(s.executors, func(e *executor) bool { return e.removed || now >= e.slowStart.until })
}

// capacityFraction returns the fraction of its full capacity that e is sure to have now. The fraction grows linearly
// over the duration of slow start.
func (s *slowStart) capacityFraction(e *executor, now time.Duration) float64 {
	return s.initialCapacity + (1-s.initialCapacity)*min(1, max(0, float64(now-e.started)/float64(s.duration)))
}

// executorSlowStart is the slow-start state of one executor.
type executorSlowStart struct {
	sender bool          // this node is allowed to use the executor in its slow start
	until  time.Duration // end of the executor's slow start
	spent  []spend       // records of the work sent to the executor within the overload window
}

// begin starts a slow start that lasts until the given time.
func (s *executorSlowStart) begin(until time.Duration) {
	s.until = until
	s.spent = s.spent[:0]
}

// spend records that work was sent to the executor in its slow start.
func (s *executorSlowStart) spend(now, work time.Duration) {
	s.spent = append(s.spent, spend{now, work})
}

// dropBefore drops the records of work that was sent longer ago than the window.
func (s *executorSlowStart) dropBefore(now, window time.Duration) {
	s.spent = slices.DeleteFunc(s.spent, func(spent spend) bool { return spent.at+window <= now })
}

// spend is a record of an amount of work and the time at which it was sent.
type spend struct {
	at   time.Duration
	work time.Duration
}

// withinSlowStartBudget reports whether j fits into this node's share of the slow-start budget of e (rule 4). The budget
// depends on the slots and the pace observed for e's kind, and on the capacity that e is sure to have at its age.
func (d *Dispatcher) withinSlowStartBudget(e *executor, j *job, now time.Duration) bool {
	kind := d.endpoints.kinds[e.kind]
	// An executor gets less if it is smaller than the mean of its kind. It also gets less if its own pace, as observed
	// before or after its restart, is slower than its kind's.
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

// slowStartWork returns the work that j counts as in the slow-start budget: its estimated work plus a margin. The
// margin is larger if the client did not estimate the work. The larger margin falls with the number of known running
// times of j's class.
func (j *job) slowStartWork() time.Duration {
	margin := classEstimateMargin
	if !j.hasClientEstimate {
		margin *= 1 + unknownWorkMargin/float64(1+j.class.samples)
	}
	return scaled(j.work, margin)
}

// BlockSlowStartUntil keeps this process from using executors in slow start until the given time. Until then another
// process of this node uses the slow-start budget.
func (d *Dispatcher) BlockSlowStartUntil(now, until time.Duration) {
	d.slowStart.blockedUntil = until
	d.subset.invalidate()
	d.queue.rescan()
	if until != Forever {
		d.timers.checkAll(max(until, now))
	}
}

// safeSlots returns the number of slots per executor of the kind that the slow-start budget can rely on. The number
// comes from load reports without queued jobs (exactSlots). Without such reports, it is the number of jobs that ran at
// the same time for long enough (observedConcurrency), but at most the estimate concurrency. A higher count from start
// notices is not used. The start notice of a job may arrive before the result of the previous job. An executor with one
// slot would then seem to have two.
func (k *kindStats) safeSlots() float64 {
	if k.exactSlots > 0 {
		return max(1, math.Round(k.exactSlots))
	}
	return float64(max(1, min(k.concurrency, k.observedConcurrency)))
}
