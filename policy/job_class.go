package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	budgetCountDecay     = 1 - (1-smoothing)/8 // factor by which shortBudgets and rejectedFirstTries decay with each new job
	checkIntervalDivisor = 8                   // the check interval is the shortest objective divided by this
	unknownWorkDivisor   = 2                   // the initial mean work is a fixed objective divided by this
)

// jobClass holds the settings of a job class and what was learned about its jobs.
type jobClass struct {
	idempotency      Idempotency
	dedupGroup       DedupGroup
	dedupWindow      time.Duration
	maxAttempts      int
	latencyObjective time.Duration // fixed part of the latency objective
	deadline         time.Duration
	runTimeFactor    float64 // multiple of a job's work that is added to its latency objective
	value            float64
	lateValue        float64 // fraction of value that a job yields if it is completed between objective and deadline
	kind             KindID

	fullBudget         time.Duration // largest budget seen, taken as that of every first try
	shortBudgets       float64       // number of jobs that arrived with less than fullBudget, decaying
	rejectedFirstTries float64       // number of first tries that were rejected, decaying
	meanWork           time.Duration // running average of the jobs' work
	samples            int           // number of running times in meanWork, where clients give no estimates
	requestedValue     float64       // value of the first tries that arrived, decaying
	earnedValue        float64       // value of the jobs that were completed within their objective, decaying
	meanValue          float64       // running average of the value of a job
}

// classTable holds the job classes, and the values derived from all of them together.
type classTable struct {
	all               []*jobClass   // by JobClassID, with the past classes that jobs in flight may still belong to
	current           []*jobClass   // the classes of the current configuration
	requiredKinds     []KindID      // kinds that the current classes require; AnyKind if some class requires none
	shortestObjective time.Duration // shortest latency objective of the current classes
	quotaInterval     time.Duration // time between two updates of the quotas
	checkInterval     time.Duration // time from the sending of an attempt to its first review
}

// lookup returns the class with the given ID. For an ID out of range it returns the first or the last class.
func (t *classTable) lookup(id JobClassID) *jobClass {
	return t.all[min(max(0, int(id)), len(t.all)-1)]
}

// recordClientEstimate updates the mean work with a client's estimate.
func (c *jobClass) recordClientEstimate(work time.Duration) {
	c.meanWork = scaled(c.meanWork, smoothing) + scaled(work, 1-smoothing)
}

// recordRunTime updates the mean work with a running time. The initial estimate may be far off, so each of the first samples
// has the same weight as the initial estimate.
func (c *jobClass) recordRunTime(ran time.Duration) {
	c.samples++
	weight := max(minSampleWeight, 1/float64(1+c.samples))
	c.meanWork = scaled(c.meanWork, 1-weight) + scaled(ran, weight)
}

// recordBudget records the budget of a job that arrived, and returns its shortfall: the full budget minus this one.
func (c *jobClass) recordBudget(budget time.Duration) time.Duration {
	c.fullBudget = max(c.fullBudget, budget)
	return c.fullBudget - budget
}

// recordRejected counts a job that is rejected or fails, if it is a first try.
func (c *jobClass) recordRejected(firstTry bool) { c.rejectedFirstTries += oneIf(firstTry) }

// recordArrival counts a job that arrived, and whether it came with less than the full budget.
func (c *jobClass) recordArrival(isShort bool) {
	c.shortBudgets = c.shortBudgets*budgetCountDecay + oneIf(isShort)
	c.rejectedFirstTries *= budgetCountDecay
}

// inherit takes over what was learned about the class that this one replaces. The requested and earned values are moved, so
// that they aren't counted twice.
func (c *jobClass) inherit(from *jobClass) {
	if from.samples > 0 || from.fullBudget > 0 {
		c.meanWork = from.meanWork
		c.samples = from.samples
	}
	c.fullBudget = min(from.fullBudget, c.deadline)
	c.requestedValue = from.requestedValue
	c.earnedValue = from.earnedValue
	from.requestedValue = 0
	from.earnedValue = 0
}

// derive computes the values that depend on all current classes together.
func (t *classTable) derive(quantum time.Duration) {
	t.requiredKinds = t.requiredKinds[:0]
	t.quotaInterval = 0
	t.shortestObjective = 0
	for _, class := range t.current {
		if !slices.Contains(t.requiredKinds, class.kind) {
			t.requiredKinds = append(t.requiredKinds, class.kind)
		}
		t.quotaInterval = minIfSet(t.quotaInterval, scaled(class.deadline, intervalFraction))
		t.shortestObjective = minIfSet(t.shortestObjective, class.latencyObjective)
	}
	t.checkInterval = max(t.shortestObjective/checkIntervalDivisor, quantum)
}

// minIfSet returns the smaller of two durations, or candidate if current is 0, which means not set.
func minIfSet(current, candidate time.Duration) time.Duration {
	if current == 0 {
		return candidate
	}
	return min(current, candidate)
}

// addClass adds a class, and takes over what was learned about the class that it replaces.
func (d *Dispatcher) addClass(update JobClassUpdate) {
	class := &jobClass{
		idempotency:      update.Idempotency,
		dedupGroup:       update.DedupGroup,
		dedupWindow:      update.DedupWindow,
		maxAttempts:      cmp.Or(update.MaxAttempts, d.config.maxAttempts),
		latencyObjective: update.LatencyObjective,
		deadline:         update.Deadline,
		runTimeFactor:    update.RunTimeFactor,
		value:            update.Value,
		lateValue:        update.LateValue,
		kind:             update.Kind,
		meanWork:         cmp.Or(update.ExpectedWork, initialMeanWork(update.JobClass)),
		meanValue:        update.Value,
	}
	if update.Replaces != NoJobClass {
		class.inherit(d.classes.all[update.Replaces])
	}
	d.classes.all = append(d.classes.all, class)
	d.classes.current = append(d.classes.current, class)
}

// UpdateJobClasses replaces the current job classes. The IDs of new classes must continue the existing ones in order. The
// slow-start budget, which depends on the shortest objective, does not change, because other nodes may still compute it
// from the previous classes.
func (d *Dispatcher) UpdateJobClasses(now time.Duration, updates []JobClassUpdate) {
	d.classes.current = nil
	for _, update := range updates {
		if int(update.ID) < len(d.classes.all) {
			d.classes.current = append(d.classes.current, d.classes.all[update.ID])
		} else {
			d.addClass(update)
		}
	}
	d.classes.derive(d.config.quantum)
	d.values.forgetWorstClass()
	d.subset.invalidate()
	d.queue.rescan()
	d.markAllDirty(d.endpoints.ranked) // token ages depend on the shortest objective
	d.quota.endIntervalBy(now + d.classes.quotaInterval)
}

// initialMeanWork returns the initial mean work of a class whose settings give no ExpectedWork. If the objective does not
// grow with the work, it must be below the objective: otherwise no executor would be predicted to complete a job in time,
// all jobs would be rejected, and no running time would ever be learned.
func initialMeanWork(class JobClass) time.Duration {
	if class.RunTimeFactor == 0 {
		return class.LatencyObjective / unknownWorkDivisor
	}
	return class.LatencyObjective
}

// longestMeanWork returns the largest mean work of the current classes, but at least the shortest objective.
func (d *Dispatcher) longestMeanWork() time.Duration {
	longest := d.classes.shortestObjective
	for _, class := range d.classes.current {
		longest = max(longest, class.meanWork)
	}
	return longest
}
