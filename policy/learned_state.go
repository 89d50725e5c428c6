package policy

import (
	"cmp"
	"slices"
	"time"
)

// What one process of a node tells the next, so that an upgrade does not begin blind. Spans are left over, not times.

// LearnedState is what was learnt.
type LearnedState struct {
	Nodes       int // among so many; 0: as many as there are now
	Classes     []LearnedClass
	Kinds       []LearnedKind
	Executors   []LearnedExecutor
	MeanValue   float64
	MeanDensity float64
}

// LearnedClass is what was learnt of a current track.
type LearnedClass struct {
	ID                          JobClassID
	MeanWork                    time.Duration
	Samples                     int
	FullBudget                  time.Duration
	RequestedValue, EarnedValue float64
	UnitValue                   float64
}

// LearnedKind is what warm executors of a kind take.
type LearnedKind struct {
	ID                KindID
	Pace, Size, Slots float64
	Parallel          int
}

// LearnedExecutor is what was learnt of one start of an executor.
type LearnedExecutor struct {
	ID            ExecutorID
	Quota         int
	RunTime, Work float64
	StartWait     time.Duration
	EjectedFor    time.Duration // its tokens are held back so long still
	InFlightCap   int
	Timeouts      int
}

// ExportLearned gives what was learnt, in the order of ids.
func (d *Dispatcher) ExportLearned(now time.Duration) (k LearnedState) {
	k.Nodes, k.MeanValue, k.MeanDensity = d.config.nodeCount, d.values.mean, d.values.meanDensity
	for id, t := range d.classes.all {
		if slices.Contains(d.classes.current, t) {
			k.Classes = append(k.Classes, LearnedClass{JobClassID(id), t.meanWork, t.samples, t.fullBudget, t.requestedValue, t.earnedValue, t.unitValue})
		}
	}
	for id, kind := range d.endpoints.kinds {
		k.Kinds = append(k.Kinds, LearnedKind{id, kind.pace, kind.size, kind.reportedSlots, kind.concurrency})
	}
	slices.SortFunc(k.Kinds, func(a, b LearnedKind) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range d.quota.executors {
		if !e.removed {
			k.Executors = append(k.Executors, LearnedExecutor{e.id, e.tokens.quota, e.estimate.runTime, e.estimate.work, e.estimate.startWait, max(0, e.health.ejectedUntil-now), e.health.inFlightCap, e.health.timeouts})
		}
	}
	slices.SortFunc(k.Executors, func(a, b LearnedExecutor) int { return cmp.Compare(a.ID, b.ID) })
	return k
}

// ImportLearned takes over what another process of this node has learnt, of tracks by this one's numbers. What makes no sense is
// passed over; executors that are not on the list, or have started since by this one's list, are too. What was learnt
// among another number of nodes holds where it is of executors and batch jobs: paces, places, work, hold-backs. Quotas,
// waits and how the tracks fare are of the nodes together, and begin afresh: carried over, each of many nodes would send
// what one of a few did.
func (d *Dispatcher) ImportLearned(now time.Duration, k LearnedState) {
	among := k.Nodes == 0 || k.Nodes == d.config.nodeCount
	if k.MeanValue > 0 && k.MeanDensity > 0 {
		d.values.mean, d.values.meanDensity = k.MeanValue, k.MeanDensity
	}
	for _, in := range k.Classes {
		if in.ID < 0 || int(in.ID) >= len(d.classes.all) || in.MeanWork <= 0 || in.UnitValue <= 0 {
			continue
		}
		t := d.classes.all[in.ID]
		t.meanWork, t.samples, t.fullBudget = in.MeanWork, in.Samples, min(in.FullBudget, t.deadline)
		t.unitValue = in.UnitValue
		if among {
			t.requestedValue, t.earnedValue = max(0, in.RequestedValue), max(0, in.EarnedValue)
		}
	}
	for _, in := range k.Kinds {
		if kind := d.endpoints.kinds[in.ID]; kind != nil && in.Pace > 0 && in.Parallel > 0 && in.Size > 0 {
			kind.pace, kind.size, kind.reportedSlots, kind.concurrency = in.Pace, in.Size, max(0, in.Slots), in.Parallel
		}
	}
	for _, in := range k.Executors {
		e := d.endpoints.byID[in.ID]
		if e == nil || now < e.slowStart.until || in.Quota < 1 || in.RunTime < 0 || in.Work < 0 {
			continue
		}
		e.estimate.runTime, e.estimate.work, e.health.timeouts = in.RunTime, in.Work, in.Timeouts
		d.markDirty(e)
		if in.EjectedFor > 0 || in.InFlightCap > 0 {
			e.health.ejectedUntil, e.health.inFlightCap = now+in.EjectedFor, max(1, in.InFlightCap)
			d.schedule(e.health.ejectedUntil, nil, nil)
		}
		if !among {
			continue
		}
		e.estimate.startWait, e.tokens.inheritedQuota = max(0, in.StartWait), min(in.Quota, maxQuota)
		for e.tokens.quota > 0 && e.tokens.quota < e.tokens.inheritedQuota {
			d.raiseQuota(e, now)
		}
	}
	d.subset.stale, d.subset.changed, d.queue.tokenFreed = true, true, true
}
