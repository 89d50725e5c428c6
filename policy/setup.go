package policy

import (
	"cmp"
	"slices"
	"time"
)

// New turns settings, which have been checked, into the figures that decisions use.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{
		seed: s.Seed, nodeID: NodeID(s.Node), nodeCount: s.Nodes, ownZone: s.Zone,
		kinds: map[KindID]*kindStats{}, executorsByID: map[ExecutorID]*executor{}, jobs: map[JobID]*job{},
		index: index{expiries: executorHeap{keyKind: keyExpiry}}, executorsByHash: map[ExecutorHash]*executor{}, ledgers: map[ExecutorHash]*leaseLedger{}, canLease: s.MayLease, canHedge: s.MayHedge, canProbe: s.MayProbe, clientsMarkRetries: s.ClientsMarkRetries,
		valuePerWork: s.ValuePerWork, overQuotaValue: s.OverQuotaValue, crossZoneCost: s.CrossZoneCost,
		totalWeight: s.TotalWeight, worstClassWeight: s.WorstClassWeight,
		maxAttempts: s.MaxAttempts, canCancel: s.MayCancel, retryAfter: s.MaxRetryAfter,
		quantum: s.Quantum, startNotices: s.StartNotices, progressInterval: s.ProgressInterval, polled: s.EndpointsPolled,
		loadAdjustedWeights: s.LoadAdjustedWeights,
		slowStartCapacity:   s.SlowStartCapacity, slowStartDuration: s.SlowStartDuration, overloadWindow: s.OverloadWindow,
	}
	for i, t := range s.JobClasses {
		d.addClass(JobClassUpdate{JobClassID(i), NoJobClass, t})
	}
	d.derive()
	d.intervalEnd = d.quotaInterval
	d.deriveSlowStart(s.OverloadMultiple)
	d.spreadPolls(s.PollWithin)
	d.schedule(d.overloadWindow, nil, nil) // a process that starts again may send more to cold executors from then on
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(s.Nodes)})
	}
	return d
}

// addClass takes up a track as it is from now on, with what is known of the one that it comes from.
func (d *Dispatcher) addClass(c JobClassUpdate) {
	t := &jobClass{idempotency: c.Idempotency, dedupGroup: c.DedupGroup, dedupWindow: c.DedupWindow, maxAttempts: cmp.Or(c.MaxAttempts, d.maxAttempts),
		latencyObjective: c.LatencyObjective, deadline: c.Deadline, runTimeFactor: c.RunTimeFactor, value: c.Value,
		lateValue: c.LateValue, kind: c.Kind, meanWork: cmp.Or(c.ExpectedWork, firstGuess(c.JobClass)), unitValue: c.Value}
	if c.Replaces != NoJobClass {
		from := d.classes[c.Replaces]
		if from.samples > 0 || from.fullBudget > 0 {
			t.meanWork, t.samples = from.meanWork, from.samples
		}
		t.fullBudget = min(from.fullBudget, t.deadline)
		t.requestedValue, t.earnedValue, from.requestedValue, from.earnedValue = from.requestedValue, from.earnedValue, 0, 0
	}
	d.classes = append(d.classes, t)
	d.currentClasses = append(d.currentClasses, t)
}

// derive reckons what hangs on all tracks together.
func (d *Dispatcher) derive() {
	d.requiredKinds, d.quotaInterval, d.shortestObjective = d.requiredKinds[:0], 0, 0
	for _, t := range d.currentClasses {
		if !slices.Contains(d.requiredKinds, t.kind) {
			d.requiredKinds = append(d.requiredKinds, t.kind)
		}
		if by := scaled(t.deadline, intervalFraction); d.quotaInterval == 0 || by < d.quotaInterval {
			d.quotaInterval = by
		}
		if d.shortestObjective == 0 || t.latencyObjective < d.shortestObjective {
			d.shortestObjective = t.latencyObjective
		}
	}
	d.checkInterval = max(d.shortestObjective/8, d.quantum)
}

// UpdateJobClasses tells what the tracks are from now on. Numbers that are new go on from the last. Rule 4's parts stay as they
// are: other nodes may still reckon with the figures before.
func (d *Dispatcher) UpdateJobClasses(now time.Duration, tracks []JobClassUpdate) {
	d.currentClasses = nil
	for _, c := range tracks {
		if int(c.ID) < len(d.classes) {
			d.currentClasses = append(d.currentClasses, d.classes[c.ID])
		} else {
			d.addClass(c)
		}
	}
	d.derive()
	d.worstClass, d.subsetStale, d.subsetChanged, d.tokenFreed = nil, true, true, true
	d.markAllDirty(d.ranked) // their rates hang on the quoted times
	d.intervalEnd = min(d.intervalEnd, now+d.quotaInterval)
}

// firstGuess is a track's mean work as long as nothing is known of it. Guards against a guess as long as the quoted time where that does not grow with
// the work: no executor could be in time for it, all would be pushed back, and nothing ever learned.
func firstGuess(t JobClass) time.Duration {
	if t.RunTimeFactor == 0 {
		return t.LatencyObjective / 2
	}
	return t.LatencyObjective
}
