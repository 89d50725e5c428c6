package policy

import (
	"cmp"
	"slices"
	"time"
)

// LearnedState is what a process has learned and hands to its successor in a hot restart. Times are left over from the
// moment of the export, as the two processes have no common clock. internal/hotrestart has its form on the wire.
type LearnedState struct {
	Nodes       int // number of nodes it was learned among; 0: as many as there are now
	Classes     []LearnedClass
	Kinds       []LearnedKind
	Executors   []LearnedExecutor
	MeanValue   float64 // of a job
	MeanDensity float64 // of a job, for a second of work
}

// LearnedClass is what was learned of a current job class.
type LearnedClass struct {
	ID                          JobClassID
	MeanWork                    time.Duration
	Samples                     int           // running times behind MeanWork
	FullBudget                  time.Duration // largest budget seen
	RequestedValue, EarnedValue float64       // decaying
	UnitValue                   float64       // mean value of a job
}

// LearnedKind is what executors of a kind that are past slow start were seen to do.
type LearnedKind struct {
	ID            KindID
	Pace          float64 // running time for each unit of work
	Size          float64 // mean weight in the endpoint list
	ReportedSlots float64 // by load reports, averaged; 0: none came
	Concurrency   int     // slots, by reports or by what ran at once
}

// LearnedExecutor is what was learned of an executor since its last start.
type LearnedExecutor struct {
	ID            ExecutorID
	Quota         int
	RunTime, Work float64 // seconds, decaying
	StartWait     time.Duration
	EjectedFor    time.Duration // left of its ejection
	InFlightCap   int           // 0: no cap
	Timeouts      int           // consecutive silences or unanswered health checks
}

// ExportLearned returns what was learned, in the order of the ids.
func (d *Dispatcher) ExportLearned(now time.Duration) LearnedState {
	learned := LearnedState{
		Nodes:       d.config.nodeCount,
		MeanValue:   d.values.mean,
		MeanDensity: d.values.meanDensity,
	}
	for id, class := range d.classes.all {
		if slices.Contains(d.classes.current, class) {
			learned.Classes = append(learned.Classes, class.export(JobClassID(id)))
		}
	}
	for id, kind := range d.endpoints.kinds {
		learned.Kinds = append(learned.Kinds, kind.export(id))
	}
	slices.SortFunc(learned.Kinds, func(a, b LearnedKind) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range d.quota.executors {
		if !e.removed {
			learned.Executors = append(learned.Executors, e.export(now))
		}
	}
	slices.SortFunc(learned.Executors, func(a, b LearnedExecutor) int { return cmp.Compare(a.ID, b.ID) })
	return learned
}

func (t *jobClass) export(id JobClassID) LearnedClass {
	return LearnedClass{
		ID:             id,
		MeanWork:       t.meanWork,
		Samples:        t.samples,
		FullBudget:     t.fullBudget,
		RequestedValue: t.requestedValue,
		EarnedValue:    t.earnedValue,
		UnitValue:      t.unitValue,
	}
}

func (k *kindStats) export(id KindID) LearnedKind {
	return LearnedKind{ID: id, Pace: k.pace, Size: k.size, ReportedSlots: k.reportedSlots, Concurrency: k.concurrency}
}

func (e *executor) export(now time.Duration) LearnedExecutor {
	return LearnedExecutor{
		ID:          e.id,
		Quota:       e.tokens.quota,
		RunTime:     e.estimate.runTime,
		Work:        e.estimate.work,
		StartWait:   e.estimate.startWait,
		EjectedFor:  max(0, e.health.ejectedUntil-now),
		InFlightCap: e.health.inFlightCap,
		Timeouts:    e.health.timeouts,
	}
}

// ImportLearned takes over what another process of this node has learned, with the classes under this process's numbers.
// Implausible values are passed over, and so are executors that are not on the endpoint list or, by it, have started since.
//
// What was learned among another number of nodes still holds for paces, slots, work and ejections. Quotas, start waits and
// how the classes fare depend on all nodes together and begin anew: with quotas carried over, each of many nodes would
// send what one of few did.
func (d *Dispatcher) ImportLearned(now time.Duration, learned LearnedState) {
	sameNodes := learned.Nodes == 0 || learned.Nodes == d.config.nodeCount
	d.values.adopt(learned.MeanValue, learned.MeanDensity)
	for _, in := range learned.Classes {
		if in.ID >= 0 && int(in.ID) < len(d.classes.all) {
			d.classes.all[in.ID].adopt(in, sameNodes)
		}
	}
	for _, in := range learned.Kinds {
		if kind := d.endpoints.kinds[in.ID]; kind != nil {
			kind.adopt(in)
		}
	}
	for _, in := range learned.Executors {
		if e := d.endpoints.byID[in.ID]; e != nil {
			d.importExecutor(e, in, sameNodes, now)
		}
	}
	d.subset.invalidate()
	d.queue.rescan()
}

// adopt takes over what was learned of a class.
func (t *jobClass) adopt(in LearnedClass, sameNodes bool) {
	if in.MeanWork <= 0 || in.UnitValue <= 0 {
		return
	}
	t.meanWork = in.MeanWork
	t.samples = in.Samples
	t.fullBudget = min(in.FullBudget, t.deadline)
	t.unitValue = in.UnitValue
	if sameNodes {
		t.requestedValue = max(0, in.RequestedValue)
		t.earnedValue = max(0, in.EarnedValue)
	}
}

// adopt takes over what was learned of an executor kind.
func (k *kindStats) adopt(in LearnedKind) {
	if in.Pace > 0 && in.Concurrency > 0 && in.Size > 0 {
		k.pace = in.Pace
		k.size = in.Size
		k.reportedSlots = max(0, in.ReportedSlots)
		k.concurrency = in.Concurrency
	}
}

// importExecutor takes over what was learned of an executor, unless it is in slow start.
func (d *Dispatcher) importExecutor(e *executor, in LearnedExecutor, sameNodes bool, now time.Duration) {
	if now < e.slowStart.until || in.Quota < 1 || in.RunTime < 0 || in.Work < 0 {
		return
	}
	e.estimate.adopt(in.RunTime, in.Work)
	d.markDirty(e)
	if e.health.adopt(in.Timeouts, in.InFlightCap, in.EjectedFor, now) {
		d.timers.checkAll(e.health.ejectedUntil)
	}
	if !sameNodes {
		return
	}
	e.estimate.adoptStartWait(in.StartWait)
	e.tokens.inherit(in.Quota)
	for e.tokens.quota > 0 && e.tokens.quota < e.tokens.inheritedQuota {
		d.raiseQuota(e, now)
	}
}
