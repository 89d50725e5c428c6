package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	budgetCountDecay     = 1 - (1-smoothing)/8 // of the counts of short budgets and rejected first tries, with each job
	checkIntervalDivisor = 8                   // the shortest objective over this is between an attempt's sending and its first check
	unknownWorkDivisor   = 2                   // the objective over this is a first guess at the work, where it is the same for all jobs
)

// jobClass holds a class's rules and its running averages.
type jobClass struct {
	idempotency      Idempotency
	dedupGroup       DedupGroup
	dedupWindow      time.Duration
	maxAttempts      int
	latencyObjective time.Duration
	deadline         time.Duration
	runTimeFactor    float64 // the objective grows by this multiple of a job's own running time
	value            float64
	lateValue        float64 // fraction of the value paid between objective and deadline
	kind             KindID

	fullBudget         time.Duration // largest budget seen: that of a job's first try
	shortBudgets       float64       // jobs that came with less than it, decaying
	rejectedFirstTries float64       // first tries that were rejected, decaying
	meanWork           time.Duration // running average, as time on a standard core
	samples            int           // running times behind meanWork, where clients give no estimates
	requestedValue     float64       // of jobs that came, decaying
	earnedValue        float64       // of those of them that were done within their objective, decaying
	unitValue          float64       // mean value of one job
}

// classTable holds the job classes and what follows from all of them together.
type classTable struct {
	all               []*jobClass // by number; those of the past stay, for the jobs that came with them
	current           []*jobClass
	requiredKinds     []KindID      // executor kinds that some class is bound to
	shortestObjective time.Duration // the shortest latency objective
	quotaInterval     time.Duration // between two steps of the quotas
	checkInterval     time.Duration // from an attempt's sending to its first check
}

// lookup returns the class of that number, and the nearest one for a number out of range.
func (t *classTable) lookup(id JobClassID) *jobClass {
	return t.all[min(max(0, int(id)), len(t.all)-1)]
}

// recordHint updates the mean work by a client's estimate.
func (t *jobClass) recordHint(work time.Duration) {
	t.meanWork = scaled(t.meanWork, smoothing) + scaled(work, 1-smoothing)
}

// recordRunTime updates the mean work by a running time. The first guess may be far off, so the first samples weigh as
// much as it does.
func (t *jobClass) recordRunTime(ran time.Duration) {
	t.samples++
	weight := max(minSampleWeight, 1/float64(1+t.samples))
	t.meanWork = scaled(t.meanWork, 1-weight) + scaled(ran, weight)
}

// recordBudget records the budget of a job that arrived, and returns what it lacks of the full budget.
func (t *jobClass) recordBudget(budget time.Duration) time.Duration {
	t.fullBudget = max(t.fullBudget, budget)
	return t.fullBudget - budget
}

// recordRejected records a job that is rejected or fails.
func (t *jobClass) recordRejected(firstTry bool) { t.rejectedFirstTries += oneIf(firstTry) }

// recordArrival records a job, and whether it came with less than the full budget.
func (c *jobClass) recordArrival(isShort bool) {
	c.shortBudgets = c.shortBudgets*budgetCountDecay + oneIf(isShort)
	c.rejectedFirstTries *= budgetCountDecay
}

// inherit takes over what was learned of the class that this one replaces. Its requested and earned values move here.
func (t *jobClass) inherit(from *jobClass) {
	if from.samples > 0 || from.fullBudget > 0 {
		t.meanWork = from.meanWork
		t.samples = from.samples
	}
	t.fullBudget = min(from.fullBudget, t.deadline)
	t.requestedValue = from.requestedValue
	t.earnedValue = from.earnedValue
	from.requestedValue = 0
	from.earnedValue = 0
}

// derive computes what follows from all current classes together.
func (t *classTable) derive(quantum time.Duration) {
	t.requiredKinds = t.requiredKinds[:0]
	t.quotaInterval = 0
	t.shortestObjective = 0
	for _, class := range t.current {
		if !slices.Contains(t.requiredKinds, class.kind) {
			t.requiredKinds = append(t.requiredKinds, class.kind)
		}
		t.quotaInterval = smallerSet(t.quotaInterval, scaled(class.deadline, intervalFraction))
		t.shortestObjective = smallerSet(t.shortestObjective, class.latencyObjective)
	}
	t.checkInterval = max(t.shortestObjective/checkIntervalDivisor, quantum)
}

// smallerSet returns the smaller of two durations, where 0 for the first one means that it is not set.
func smallerSet(current, candidate time.Duration) time.Duration {
	if current == 0 {
		return candidate
	}
	return min(current, candidate)
}

// addClass adds a class, with what was learned of the one that it replaces.
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
		meanWork:         cmp.Or(update.ExpectedWork, firstGuess(update.JobClass)),
		unitValue:        update.Value,
	}
	if update.Replaces != NoJobClass {
		class.inherit(d.classes.all[update.Replaces])
	}
	d.classes.all = append(d.classes.all, class)
	d.classes.current = append(d.classes.current, class)
}

// UpdateJobClasses sets the job classes. The numbers of new ones follow the last number. The slow-start
// budget stays as it is: other nodes may still compute with the classes before.
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
	d.markAllDirty(d.endpoints.ranked) // the rates at which tokens age depend on the shortest objective
	d.quota.endIntervalBy(now + d.classes.quotaInterval)
}

// firstGuess returns a class's mean work while nothing is known of it. Where the objective does not grow with the work, a
// guess as long as the objective would have all jobs rejected, since no executor could complete them in time, and nothing
// would ever be learned.
func firstGuess(class JobClass) time.Duration {
	if class.RunTimeFactor == 0 {
		return class.LatencyObjective / unknownWorkDivisor
	}
	return class.LatencyObjective
}

// longestMeanWork returns the largest mean work of the current classes, and at least the shortest objective.
func (d *Dispatcher) longestMeanWork() time.Duration {
	longest := d.classes.shortestObjective
	for _, class := range d.classes.current {
		longest = max(longest, class.meanWork)
	}
	return longest
}
