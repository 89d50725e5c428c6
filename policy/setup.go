package policy

import (
	"cmp"
	"slices"
	"time"
)

// New turns settings, which have been checked, into the figures that decisions use.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{
		seed: s.Seed, node: NodeID(s.Node), nodes: s.Nodes, zone: s.Zone,
		kinds: map[KindID]*kind{}, byID: map[ExecutorID]*executor{}, jobs: map[JobID]*job{},
		index: index{until: pile{by: byUntil}}, bySum: map[ExecutorHash]*executor{}, kept: map[ExecutorHash]*keep{}, mayTell: s.MayLease, mayCopy: s.MayHedge, probes: s.MayProbe, marks: s.ClientsMarkRetries,
		perWork: s.ValuePerWork, overage: s.OverQuotaValue, crossPrice: s.CrossZoneCost,
		wholeWeight: s.TotalWeight, trackWeight: s.WorstClassWeight,
		maxAllocations: s.MaxAttempts, mayCancel: s.MayCancel, comeBack: s.MaxRetryAfter,
		quantum: s.Quantum, tellsStart: s.StartNotices, tellsEvery: s.ProgressInterval, mustAsk: s.EndpointsPolled,
		liveWeights: s.LoadAdjustedWeights,
		coldShare:   s.SlowStartCapacity, warmWithin: s.SlowStartDuration, fallWindow: s.OverloadWindow,
	}
	for i, t := range s.JobClasses {
		d.add(JobClassUpdate{JobClassID(i), NoJobClass, t})
	}
	d.derive()
	d.tick = d.interval
	d.shareCold(s.OverloadMultiple)
	d.spreadAsks(s.PollWithin)
	d.at(d.fallWindow, nil, nil) // a process that starts again may send more to cold executors from then on
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenant{perS: t.QuotaPerSecond / float64(s.Nodes)})
	}
	return d
}

// add takes up a track as it is from now on, with what is known of the one that it comes from.
func (d *Dispatcher) add(c JobClassUpdate) {
	t := &track{repeat: c.Idempotency, group: c.DedupGroup, groupWindow: c.DedupWindow, allocations: cmp.Or(c.MaxAttempts, d.maxAllocations),
		quoted: c.LatencyObjective, outerLimit: c.Deadline, stretch: c.RunTimeFactor, earnings: c.Value,
		late: c.LateValue, kind: c.Kind, meanWork: cmp.Or(c.ExpectedWork, firstGuess(c.JobClass)), unit: c.Value}
	if c.Replaces != NoJobClass {
		from := d.tracks[c.Replaces]
		if from.learnt > 0 || from.fullBudget > 0 {
			t.meanWork, t.learnt = from.meanWork, from.learnt
		}
		t.fullBudget = min(from.fullBudget, t.outerLimit)
		t.asked, t.given, from.asked, from.given = from.asked, from.given, 0, 0
	}
	d.tracks = append(d.tracks, t)
	d.current = append(d.current, t)
}

// derive reckons what hangs on all tracks together.
func (d *Dispatcher) derive() {
	d.needs, d.interval, d.shortestQuoted = d.needs[:0], 0, 0
	for _, t := range d.current {
		if !slices.Contains(d.needs, t.kind) {
			d.needs = append(d.needs, t.kind)
		}
		if by := times(t.outerLimit, intervals); d.interval == 0 || by < d.interval {
			d.interval = by
		}
		if d.shortestQuoted == 0 || t.quoted < d.shortestQuoted {
			d.shortestQuoted = t.quoted
		}
	}
	d.lookAfter = max(d.shortestQuoted/8, d.quantum)
}

// UpdateJobClasses tells what the tracks are from now on. Numbers that are new go on from the last. Rule 4's parts stay as they
// are: other nodes may still reckon with the figures before.
func (d *Dispatcher) UpdateJobClasses(now time.Duration, tracks []JobClassUpdate) {
	d.current = nil
	for _, c := range tracks {
		if int(c.ID) < len(d.tracks) {
			d.current = append(d.current, d.tracks[c.ID])
		} else {
			d.add(c)
		}
	}
	d.derive()
	d.worst, d.stale, d.moved, d.freed = nil, true, true, true
	d.touchAll(d.ranked) // their rates hang on the quoted times
	d.tick = min(d.tick, now+d.interval)
}

// firstGuess is a track's mean work as long as nothing is known of it. Guards against a guess as long as the quoted time where that does not grow with
// the work: no executor could be in time for it, all would be pushed back, and nothing ever learned.
func firstGuess(t JobClass) time.Duration {
	if t.RunTimeFactor == 0 {
		return t.LatencyObjective / 2
	}
	return t.LatencyObjective
}
