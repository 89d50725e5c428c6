package policy

import (
	"cmp"
	"slices"
	"time"
)

// New turns settings, which have been checked, into the figures that decisions use.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{
		config: config{
			nodeID:              NodeID(s.Node),
			nodeCount:           s.Nodes,
			zone:                s.Zone,
			quantum:             s.Quantum,
			valuePerWork:        s.ValuePerWork,
			overQuotaValue:      s.OverQuotaValue,
			crossZoneCost:       s.CrossZoneCost,
			totalWeight:         s.TotalWeight,
			worstClassWeight:    s.WorstClassWeight,
			maxAttempts:         s.MaxAttempts,
			retryAfter:          s.MaxRetryAfter,
			canCancel:           s.MayCancel,
			canHedge:            s.MayHedge,
			canProbe:            s.MayProbe,
			canLease:            s.MayLease,
			clientsMarkRetries:  s.ClientsMarkRetries,
			loadAdjustedWeights: s.LoadAdjustedWeights,
			endpointsPolled:     s.EndpointsPolled,
			startNotices:        s.StartNotices,
			progressInterval:    s.ProgressInterval,
		},
		rng:  randomSource{seed: s.Seed},
		jobs: map[JobID]*job{},
		endpoints: endpointTable{
			byID:   map[ExecutorID]*executor{},
			byHash: map[ExecutorHash]*executor{},
			kinds:  map[KindID]*kindStats{},
		},
		index:  candidateIndex{expiries: executorHeap{keyKind: keyExpiry}},
		leases: leaseTable{ledgers: map[ExecutorHash]*leaseLedger{}},
		slowStart: slowStart{
			capacity:       s.SlowStartCapacity,
			duration:       s.SlowStartDuration,
			overloadWindow: s.OverloadWindow,
		},
	}
	for i, t := range s.JobClasses {
		d.addClass(JobClassUpdate{JobClassID(i), NoJobClass, t})
	}
	d.derive()
	d.quota.intervalEnd = d.classes.quotaInterval
	d.deriveSlowStart(s.OverloadMultiple)
	d.spreadPolls(s.PollWithin)
	d.schedule(d.slowStart.overloadWindow, nil, nil) // a process that starts again may send more to cold executors from then on
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenant{quotaPerSecond: t.QuotaPerSecond / float64(s.Nodes)})
	}
	return d
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
