package policy

import (
	"cmp"
	"slices"
	"time"
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

// recordArrival books a batch job, and whether it brought less than the full budget.
func (t *jobClass) recordArrival(short bool) {
	const keeps = 1 - (1-smoothing)/8
	t.shortBudgets, t.rejectedFirstTries = t.shortBudgets*keeps+oneIf(short), t.rejectedFirstTries*keeps
}

// addClass takes up a track as it is from now on, with what is known of the one that it comes from.
func (d *Dispatcher) addClass(c JobClassUpdate) {
	t := &jobClass{idempotency: c.Idempotency, dedupGroup: c.DedupGroup, dedupWindow: c.DedupWindow, maxAttempts: cmp.Or(c.MaxAttempts, d.config.maxAttempts),
		latencyObjective: c.LatencyObjective, deadline: c.Deadline, runTimeFactor: c.RunTimeFactor, value: c.Value,
		lateValue: c.LateValue, kind: c.Kind, meanWork: cmp.Or(c.ExpectedWork, firstGuess(c.JobClass)), unitValue: c.Value}
	if c.Replaces != NoJobClass {
		from := d.classes.all[c.Replaces]
		if from.samples > 0 || from.fullBudget > 0 {
			t.meanWork, t.samples = from.meanWork, from.samples
		}
		t.fullBudget = min(from.fullBudget, t.deadline)
		t.requestedValue, t.earnedValue, from.requestedValue, from.earnedValue = from.requestedValue, from.earnedValue, 0, 0
	}
	d.classes.all = append(d.classes.all, t)
	d.classes.current = append(d.classes.current, t)
}

// derive reckons what hangs on all tracks together.
func (d *Dispatcher) derive() {
	d.classes.requiredKinds, d.classes.quotaInterval, d.classes.shortestObjective = d.classes.requiredKinds[:0], 0, 0
	for _, t := range d.classes.current {
		if !slices.Contains(d.classes.requiredKinds, t.kind) {
			d.classes.requiredKinds = append(d.classes.requiredKinds, t.kind)
		}
		if by := scaled(t.deadline, intervalFraction); d.classes.quotaInterval == 0 || by < d.classes.quotaInterval {
			d.classes.quotaInterval = by
		}
		if d.classes.shortestObjective == 0 || t.latencyObjective < d.classes.shortestObjective {
			d.classes.shortestObjective = t.latencyObjective
		}
	}
	d.classes.checkInterval = max(d.classes.shortestObjective/8, d.config.quantum)
}

// UpdateJobClasses tells what the tracks are from now on. Numbers that are new go on from the last. Rule 4's parts stay as they
// are: other nodes may still reckon with the figures before.
func (d *Dispatcher) UpdateJobClasses(now time.Duration, tracks []JobClassUpdate) {
	d.classes.current = nil
	for _, c := range tracks {
		if int(c.ID) < len(d.classes.all) {
			d.classes.current = append(d.classes.current, d.classes.all[c.ID])
		} else {
			d.addClass(c)
		}
	}
	d.derive()
	d.values.worstClass, d.subset.stale, d.subset.changed, d.queue.tokenFreed = nil, true, true, true
	d.markAllDirty(d.endpoints.ranked) // their rates hang on the quoted times
	d.quota.intervalEnd = min(d.quota.intervalEnd, now+d.classes.quotaInterval)
}

// firstGuess is a track's mean work as long as nothing is known of it. Guards against a guess as long as the quoted time where that does not grow with
// the work: no executor could be in time for it, all would be pushed back, and nothing ever learned.
func firstGuess(t JobClass) time.Duration {
	if t.RunTimeFactor == 0 {
		return t.LatencyObjective / 2
	}
	return t.LatencyObjective
}

// longestMeanWork is the mean work of the track that has the most, or the shortest quoted time.
func (d *Dispatcher) longestMeanWork() time.Duration {
	work := d.classes.shortestObjective
	for _, t := range d.classes.current {
		work = max(work, t.meanWork)
	}
	return work
}
