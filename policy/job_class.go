package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// budgetCountDecay lets shortBudgets and rejectedFirstTries forget past jobs. Each job that arrives multiplies both
	// counts by it.
	budgetCountDecay = 1 - (1-smoothing)/8

	// checkIntervalDivisor sets how soon after its sending an attempt is first reviewed. The check interval is the
	// shortest objective divided by this number.
	checkIntervalDivisor = 8

	// unknownWorkDivisor keeps the initial mean work of a class below its latency objective (initialMeanWork). It is
	// used for objectives that don't grow with the work: the initial mean work is the objective divided by this number.
	unknownWorkDivisor = 2
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
	lateValue        float64 // fraction of value that a job yields if it is completed after its objective, by its deadline
	kind             KindID

	fullBudget         time.Duration // assumed budget of every first try: the largest budget of a job so far
	shortBudgets       float64       // decaying number of jobs that arrived with a short budget (recordArrival)
	rejectedFirstTries float64       // decaying number of first tries that were rejected or failed
	meanWork           time.Duration // running average of the jobs' work
	samples            int           // number of running times observed for meanWork; only jobs without a client's estimate count
	requestedValue     float64       // decaying sum of the values of the first tries that arrived
	earnedValue        float64       // decaying sum of the values of the jobs that were completed within their objective
	meanValue          float64       // running average of the value of a job
}

// classTable holds the job classes, and the values derived from all of them together.
type classTable struct {
	all               []*jobClass   // classes by JobClassID; past classes are included, for jobs still in flight
	current           []*jobClass   // classes of the current configuration
	requiredKinds     []KindID      // executor kinds that the current classes ask for; AnyKind can be one of them
	shortestObjective time.Duration // shortest fixed part of a latency objective among the current classes
	quotaInterval     time.Duration // time between two updates of the quotas
	checkInterval     time.Duration // time from the sending of an attempt to its first review
}

// lookup returns the class with the given ID. For an ID that is too low it returns the first class, and for an ID that
// is too high the last one.
func (t *classTable) lookup(id JobClassID) *jobClass {
	return t.all[min(max(0, int(id)), len(t.all)-1)]
}

// recordClientEstimate updates the mean work with a client's estimate of a job's work.
func (c *jobClass) recordClientEstimate(work time.Duration) {
	c.meanWork = scaled(c.meanWork, smoothing) + scaled(work, 1-smoothing)
}

// recordRunTime updates the mean work with an observed running time. The initial mean work can be far off, so each of
// the first running times gets the same weight as the initial mean work.
func (c *jobClass) recordRunTime(ran time.Duration) {
	c.samples++
	weight := max(minSampleWeight, 1/float64(1+c.samples))
	c.meanWork = scaled(c.meanWork, 1-weight) + scaled(ran, weight)
}

// recordBudget records the budget of a job that arrived. It returns the shortfall of this budget: fullBudget minus the
// budget.
func (c *jobClass) recordBudget(budget time.Duration) time.Duration {
	c.fullBudget = max(c.fullBudget, budget)
	return c.fullBudget - budget
}

// recordRejected counts a job that is rejected or fails. Only first tries are counted.
func (c *jobClass) recordRejected(firstTry bool) { c.rejectedFirstTries += oneIf(firstTry) }

// recordArrival counts a job that arrived with a short budget, which is more than a quantum below fullBudget. Each
// arrival also decays shortBudgets and rejectedFirstTries.
func (c *jobClass) recordArrival(isShort bool) {
	c.shortBudgets = c.shortBudgets*budgetCountDecay + oneIf(isShort)
	c.rejectedFirstTries *= budgetCountDecay
}

// inherit takes over what was learned about the class that c replaces. The requested and earned values are removed from
// the replaced class, so that they aren't counted twice.
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

// minIfSet returns the smaller of two durations. If current is 0, it counts as not set, and candidate is returned.
func minIfSet(current, candidate time.Duration) time.Duration {
	if current == 0 {
		return candidate
	}
	return min(current, candidate)
}

// addClass adds a job class to the current classes. What was learned about the class that it replaces is taken over.
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

// UpdateJobClasses replaces the current job classes. The IDs of new classes must continue the existing IDs in order.
// The slow-start budget depends on the shortest objective, but is not computed again: other nodes possibly still use
// the budget of the previous classes.
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

// initialMeanWork returns the initial mean work of a class whose settings give no ExpectedWork. If the latency
// objective does not grow with the work, the initial mean work must be below the objective. Otherwise no executor would
// be predicted to complete a job in time. All jobs would be rejected, and no running time would ever be learned.
func initialMeanWork(class JobClass) time.Duration {
	if class.RunTimeFactor == 0 {
		return class.LatencyObjective / unknownWorkDivisor
	}
	return class.LatencyObjective
}

// longestMeanWork returns the largest mean work of the current classes, or the shortest objective if that is larger.
func (d *Dispatcher) longestMeanWork() time.Duration {
	longest := d.classes.shortestObjective
	for _, class := range d.classes.current {
		longest = max(longest, class.meanWork)
	}
	return longest
}
