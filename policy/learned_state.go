package policy

import (
	"cmp"
	"slices"
	"time"
)

// LearnedState is what a process has learned and passes to its successor in a hot restart. The two processes have no
// common clock, so a future time is given as the time remaining at the export. Package internal/hotrestart encodes the
// state.
type LearnedState struct {
	Nodes       int // number of nodes in the cluster at the export; 0: taken to be unchanged since
	Classes     []LearnedClass
	Kinds       []LearnedKind
	Executors   []LearnedExecutor
	MeanValue   float64 // mean value of a job
	MeanDensity float64 // mean marginal value of a job per second of work
}

// LearnedClass holds what was learned about the jobs of one class. Only classes of the current configuration are
// exported.
type LearnedClass struct {
	ID       JobClassID
	MeanWork time.Duration
	Samples  int // number of running times from which MeanWork is computed
	// Largest time budget of a job of the class so far. A job's budget is the time for which its client waits for the
	// answer.
	FullBudget time.Duration
	// Decaying sums of the values of jobs: of all first tries that arrived, and of the jobs completed within their
	// objective.
	RequestedValue, EarnedValue float64
	UnitValue                   float64 // mean value of a job of the class
}

// LearnedKind is the learned state of an executor kind.
type LearnedKind struct {
	ID   KindID
	Pace float64 // running average of the running time per unit of work
	Size float64 // running average of the sizes (weights when idle) of the kind's executors
	// Running average of the number of slots per executor of the kind, from all load reports; 0: no report had come.
	ReportedSlots float64
	// Estimated number of slots per executor of the kind. The estimate comes from load reports, or from the largest
	// number of the node's jobs seen running at one executor at the same time.
	Concurrency int
}

// LearnedExecutor is the learned state of an executor. When the executor restarts and begins a slow start, only
// StartWait, EjectedFor and InFlightCap are reset.
type LearnedExecutor struct {
	ID            ExecutorID
	Quota         int
	RunTime, Work float64 // decaying sums of the running times and of the work of completed attempts, in seconds
	StartWait     time.Duration
	EjectedFor    time.Duration // remaining time of the executor's ejection; 0: not ejected
	InFlightCap   int           // maximum number of attempts in flight at the executor; 0: no cap
	Timeouts      int           // number of consecutive inactivity timeouts and unanswered health checks
}

// ExportLearned returns the learned state of this process. Its classes, kinds and executors are sorted by ID.
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

func (c *jobClass) export(id JobClassID) LearnedClass {
	return LearnedClass{
		ID:             id,
		MeanWork:       c.meanWork,
		Samples:        c.samples,
		FullBudget:     c.fullBudget,
		RequestedValue: c.requestedValue,
		EarnedValue:    c.earnedValue,
		UnitValue:      c.meanValue,
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

// ImportLearned applies the state that another process of this node has learned. The caller must have translated the
// class IDs to those of this process. Implausible values are ignored, and so is the state of executors that are in slow
// start or not in the endpoint list.
//
// If the number of nodes has changed, the quotas, the start waits, and the requested and earned values of the classes
// are not imported. They depend on all nodes together. With imported quotas, for example, each node of a larger cluster
// would send as much as a node of the smaller one did.
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

// adopt applies the learned state of a class, unless that state is implausible. The requested and earned values are
// applied only if the number of nodes is the same.
func (c *jobClass) adopt(in LearnedClass, sameNodes bool) {
	if in.MeanWork <= 0 || in.UnitValue <= 0 {
		return
	}
	c.meanWork = in.MeanWork
	c.samples = in.Samples
	c.fullBudget = min(in.FullBudget, c.deadline)
	c.meanValue = in.UnitValue
	if sameNodes {
		c.requestedValue = max(0, in.RequestedValue)
		c.earnedValue = max(0, in.EarnedValue)
	}
}

// adopt applies the learned state of an executor kind, unless that state is implausible.
func (k *kindStats) adopt(in LearnedKind) {
	if in.Pace > 0 && in.Concurrency > 0 && in.Size > 0 {
		k.pace = in.Pace
		k.size = in.Size
		k.reportedSlots = max(0, in.ReportedSlots)
		k.concurrency = in.Concurrency
	}
}

// importExecutor applies the learned state of an executor, unless that state is implausible or the executor is in slow
// start.
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
