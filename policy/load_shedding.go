package policy

import (
	"math"
	"time"
)

const (
	levelsPerOctave = 2 // number of priority levels for each doubling of the value density
	// A job with less work than this, in seconds, counts as this much work in its value density and in the offered load.
	minWorkSeconds    = 1e-6
	minDensity        = 1e-9 // a value density below this is raised to it before its priority level is computed
	minSecondsPerWork = 1e-9 // least running time, in seconds, that an estimated capacity is divided by
	lowSlackDivisor   = 2    // a job that arrives with less than its full slack divided by this has low slack
)

// PriorityLevels is the number of priority levels. Each level is a range of value densities (value per second of work).
const PriorityLevels = 64

// LoadSummary is a node's load since its previous summary. Work is in seconds on a standard core.
type LoadSummary struct {
	// Work of the jobs that arrived, by priority level; jobs with low slack are left out.
	Offered   [PriorityLevels]float64
	Admitted  float64 // work of the jobs that arrived and were not shed; jobs with low slack are left out
	Completed float64 // work of the jobs that were completed
	// Demand for migrations: work of the unstarted attempts for whose job another executor had a token. Attempts that
	// were not migrated because of MigrationDelay or the cost of crossing zones are included. Attempts at ejected or
	// unresponsive executors are left out.
	Migrations float64
	// Work of the jobs that were rejected or failed after a wait although they had attempts left; jobs with low slack
	// are left out.
	Expired float64
	// Sign of missing capacity: sum of work divided by slack, over the jobs that wait now. Jobs at an executor are
	// included, and so are the jobs in this node's queue that are not late.
	Waiting  float64
	Capacity float64 // seconds of work per second that all available executors in the endpoint list can do together
}

// AdmissionThreshold says for which jobs the cluster has no capacity. Jobs of a priority level below Level are shed. Of
// the jobs of Level itself, a random fraction is admitted and the others are shed. The zero value sheds no job.
type AdmissionThreshold struct {
	Level         int     // priority level below which all jobs are shed; 0: no job is shed
	AdmitFraction float64 // fraction of the jobs of priority level Level that is admitted, 0 to 1
	// An attempt that has not started is migrated only after this fraction of its slack has passed, 0 to 1.
	MigrationDelay float64
}

// loadShedding holds the load that this node reports to the cluster, and the admission threshold that the cluster has set.
type loadShedding struct {
	// The first load summary has been taken. The admission threshold applies to jobs that arrive from then on.
	reportsLoad bool
	threshold   AdmissionThreshold // current admission threshold of the cluster
	summary     LoadSummary        // load since the last summary was taken
}

// recordOffered adds to the load summary the work of a job that arrived. Jobs with low slack, which are often retries
// of clients, are left out. Such a job may find no token in time even if most tokens are free, so it says nothing about
// the capacity of the cluster.
func (s *loadShedding) recordOffered(j *job, level int) {
	if !j.lowSlack {
		s.summary.Offered[level] += max(j.work.Seconds(), minWorkSeconds)
	}
}

// recordAdmitted adds to the load summary the work of a job that was not shed. Jobs with low slack are left out, for
// the same reason as in recordOffered.
func (s *loadShedding) recordAdmitted(j *job) {
	if !j.lowSlack {
		s.summary.Admitted += j.work.Seconds()
	}
}

// recordCompleted adds to the load summary the work of a job that was completed.
func (s *loadShedding) recordCompleted(j *job) { s.summary.Completed += j.work.Seconds() }

// recordMigration adds to the load summary the work of an attempt that would be migrated if migrations were not
// limited. Each attempt is counted only once.
func (s *loadShedding) recordMigration(a *attempt) {
	if !a.migrationCounted {
		a.migrationCounted = true
		s.summary.Migrations += a.work.Seconds()
	}
}

// takeSummary returns the load summary and begins a new one. The admission threshold applies to jobs that arrive after
// the first call.
func (s *loadShedding) takeSummary() LoadSummary {
	taken := s.summary
	s.summary = LoadSummary{}
	s.reportsLoad = true
	return taken
}

// belowThreshold reports whether j, which arrives now, is shed because the cluster has no capacity for j's priority
// level. It also adds j to the load summary. All nodes use the same threshold. With different thresholds, one node
// would admit jobs of low value while jobs of high value find no token at another node.
func (d *Dispatcher) belowThreshold(j *job) bool {
	level := d.priorityLevel(j)
	j.lowSlack = j.objectiveAt-d.clock.now-j.work < j.slack()/lowSlackDivisor
	d.shedding.recordOffered(j, level)
	if !d.admits(j, level) {
		return true
	}
	d.shedding.recordAdmitted(j)
	return false
}

// admits reports whether the admission threshold admits a job of the given priority level. Of the jobs of the
// threshold's own level, those with low slack are shed, and a random fraction of the others is admitted. If the
// threshold's level is 0, no job is shed. Even then, a random number is drawn for each job of level 0 without low
// slack.
func (d *Dispatcher) admits(j *job, level int) bool {
	threshold := d.shedding.threshold
	inAdmittedFraction := level == threshold.Level && !j.lowSlack && d.rng.next() < threshold.AdmitFraction
	return threshold.Level == 0 || level > threshold.Level || inAdmittedFraction
}

// shedsRetry reports whether j is shed instead of being retried. A job is shed if its priority level is now below the
// admission threshold. In that case the cluster is overloaded, and a retry would use capacity that jobs of higher value
// need. The job must have been attempted, and certainly no attempt of it has run.
func (d *Dispatcher) shedsRetry(j *job) bool {
	return j.attemptCount > 0 && j.mayHaveRun == nil && d.shedding.threshold.Level > d.priorityLevel(j)
}

// priorityLevel returns the priority level of j's value density, 0 to PriorityLevels-1. The scale is logarithmic: the
// middle level stands for a density of 1, and each doubling of the density adds levelsPerOctave levels. The value of j
// is reduced if j's tenant is over its quota.
func (d *Dispatcher) priorityLevel(j *job) int {
	density := d.valueOf(j) / max(j.work.Seconds(), minWorkSeconds) * d.tenantFactor(j.tenant)
	level := PriorityLevels/2 + int(math.Round(levelsPerOctave*math.Log2(max(density, minDensity))))
	return min(max(0, level), PriorityLevels-1)
}

// TakeLoadSummary returns this node's load since the last call. The waiting work and the capacity are those of now.
func (d *Dispatcher) TakeLoadSummary(now time.Duration) LoadSummary {
	summary := d.shedding.takeSummary()
	summary.Waiting = d.waitingWork()
	summary.Capacity = d.estimateCapacity(now)
	return summary
}

// SetAdmissionThreshold sets the admission threshold of the cluster. Once the first load summary has been taken, it
// decides which arriving jobs are shed. A job already admitted is shed only when it would be retried, and only if it is
// certain that none of its attempts has run.
func (d *Dispatcher) SetAdmissionThreshold(threshold AdmissionThreshold) {
	d.shedding.threshold = threshold
}

// waitingWork returns the sum of work divided by slack, over the jobs that wait in this node's queue or, if executors
// send start notices, at an executor. Late jobs in the queue are left out. A waiting job with little slack counts more,
// because it is a stronger sign of missing capacity.
func (d *Dispatcher) waitingWork() float64 {
	waiting := 0.0
	for _, j := range d.queue.onTime {
		waiting += j.workOverSlack()
	}
	if !d.config.startNotices {
		return waiting
	}
	for _, e := range d.quota.executors {
		for _, a := range e.attempts {
			if !a.running && !a.finished {
				waiting += a.workOverSlack()
			}
		}
	}
	return waiting
}

// estimateCapacity returns the work per second that the available executors in the endpoint list can do together. It is
// computed from their slots and paces. Of an executor in slow start, only the capacity that it is sure to have is
// counted.
func (d *Dispatcher) estimateCapacity(now time.Duration) float64 {
	capacity := 0.0
	for _, e := range d.endpoints.ranked {
		if !e.available {
			continue
		}
		kind := d.endpoints.kinds[e.kind]
		fraction := 1.0
		if now < e.slowStart.until {
			fraction = d.slowStart.capacityFraction(e, now)
		}
		capacity += fraction * float64(kind.concurrency) * (e.estimate.work + 1) / max(e.estimate.runTime+kind.pace, minSecondsPerWork)
	}
	return capacity
}

// recordExpired adds to the load summary the work of a job that is rejected or fails although it has attempts left,
// whether or not an attempt was sent before. A job that arrived with low slack, or at most a quantum ago, is left out,
// because it has hardly waited. If the threshold were raised for such jobs, it would rise without end.
func (d *Dispatcher) recordExpired(j *job) {
	waited := d.clock.now-j.arrivedAt > d.config.quantum
	if !j.lowSlack && waited && j.attemptCount < j.class.maxAttempts {
		d.shedding.summary.Expired += j.work.Seconds()
	}
}
