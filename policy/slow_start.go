package policy

import (
	"math"
	"slices"
	"time"
)

// slowStart is how much work this node may send to executors that have just started (rule 4).
type slowStart struct {
	executors      []*executor   // in slow start, that this node may use
	capacity       float64       // fraction of its capacity that an executor has at its start
	duration       time.Duration // until it has all of it
	senders        int           // nodes that may use one such executor
	budget         float64       // work that this node may send within overloadWindow, for each unit of capacity, in seconds
	overloadWindow time.Duration
	reservedUntil  time.Duration // until then another process of this node has the budget
}

// executorSlowStart is how far an executor is in its slow start.
type executorSlowStart struct {
	sender bool // this node is one of the few that may use it meanwhile
	until  time.Duration
	spent  []spend // work sent to it within the window
}

// spend books work that is sent to the executor now.
func (s *executorSlowStart) spend(now, work time.Duration) {
	s.spent = append(s.spent, spend{now, work})
}

// spend is work that was sent at some moment.
type spend struct {
	at   time.Duration
	work time.Duration
}

// deriveSlowStart derives this node's part of the cold budget. Divided among many nodes it would be less than a
// batch job: so the same few carry it all, as many as could each send something to one place of it.
func (d *Dispatcher) deriveSlowStart(multiple float64) {
	d.slowStart.senders = int(multiple * d.slowStart.capacity * d.slowStart.overloadWindow.Seconds() / d.classes.shortestObjective.Seconds())
	d.slowStart.senders = max(1, min(d.slowStart.senders, d.config.nodeCount))
	d.slowStart.budget = multiple * d.slowStart.overloadWindow.Seconds() / float64(d.slowStart.senders)
}

// slowStartFraction is the least part of its work that e can do at its age, while it is cold.
func (d *Dispatcher) slowStartFraction(e *executor, now time.Duration) float64 {
	return d.slowStart.capacity + (1-d.slowStart.capacity)*min(1, max(0, float64(now-e.started)/float64(d.slowStart.duration)))
}

// withinSlowStartBudget is rule 4: this node's part of the budget of work for a cold executor, judged by what warm
// executors of its kind take and the least it can do at its age.
func (d *Dispatcher) withinSlowStartBudget(e *executor, j *job, now time.Duration) bool {
	k := d.endpoints.kinds[e.kind]
	// One that is smaller than its kind, or was slower before its start, takes less.
	part := d.slowStartFraction(e, now) * min(1, max(e.size, e.weight)/k.size)
	budget := d.slowStart.budget * part * k.safeSlots() / max(k.pace, d.pace(e, now))
	if e.started < 0 && now < d.slowStart.overloadWindow { // Guards against a process that starts again:
		budget *= unhintedMargin - 1 // the one before may have spent all but what the margin on work leaves over.
	}
	e.slowStart.spent = slices.DeleteFunc(e.slowStart.spent, func(s spend) bool { return s.at+d.slowStart.overloadWindow <= now })
	for _, s := range e.slowStart.spent {
		budget -= s.work.Seconds()
	}
	return j.slowStartWork().Seconds() <= budget
}

// slowStartWork is what j counts for at a cold executor: more than it is thought to be, the more so without a hint
// the fewer of its track are known.
func (j *job) slowStartWork() time.Duration {
	m := unhintedMargin
	if !j.hinted {
		m *= 1 + 2/float64(1+j.class.samples)
	}
	return scaled(j.work, m)
}

// ReserveSlowStartUntil tells from when on cold executors are this process's to use: another process of this node has their budget
// until then.
func (d *Dispatcher) ReserveSlowStartUntil(now, at time.Duration) {
	d.slowStart.reservedUntil, d.subset.stale, d.subset.changed, d.queue.tokenFreed = at, true, true, true
	if at != Forever {
		d.schedule(max(at, now), nil, nil)
	}
}

// safeSlots are a kind's places, for rule 4: by reports that are exact enough, or by what ran beside each other for long enough. Guards
// against the notice of a start that passes that of the end before it, by which an executor with one place looks as if it had two.
func (k *kindStats) safeSlots() float64 {
	if k.exactSlots > 0 {
		return max(1, math.Round(k.exactSlots))
	}
	return float64(max(1, min(k.concurrency, k.observedConcurrency)))
}
