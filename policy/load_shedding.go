package policy

import (
	"math"
	"time"
)

const (
	levelsPerOctave   = 2    // priority levels for each doubling of the value density
	minWorkSeconds    = 1e-6 // lower bound of a job's work, in seconds, in its value density and in the load summary
	minDensity        = 1e-9 // lower bound of a value density from which a priority level is computed
	minSecondsPerWork = 1e-9 // lower bound of the divisor in the estimate of an executor's capacity, in seconds
	lowSlackDivisor   = 2    // a job has low slack if less than its full slack divided by this is left when it arrives
)

// PriorityLevels is the number of priority levels, which are ranges of the value density (value per second of work).
const PriorityLevels = 64

// LoadSummary is a node's load since its previous summary. Work is in seconds on a standard core.
type LoadSummary struct {
	Offered    [PriorityLevels]float64 // work of the jobs that arrived, by priority level, without jobs of low slack
	Admitted   float64                 // work of the jobs that arrived and were not shed, without jobs of low slack
	Completed  float64                 // work of the jobs that were completed
	Migrations float64                 // work of the attempts that would be migrated if migrations were not limited
	Expired    float64                 // work of the jobs given up with attempts left, after a wait here or at an executor
	Waiting    float64                 // work of the jobs that wait now, here or at an executor, each divided by its slack
	Capacity   float64                 // work per second that all available executors of the endpoint list can do
}

// AdmissionThreshold says which jobs the cluster has no capacity for: jobs below Level are shed, and so are jobs of Level
// itself except for a random fraction. The zero value sheds nothing.
type AdmissionThreshold struct {
	Level          int     // priority level below which all jobs are shed; 0: no job is shed
	AdmitFraction  float64 // fraction of the jobs of priority level Level that are admitted, 0 to 1
	MigrationDelay float64 // fraction of its slack that an unstarted attempt waits before it is migrated, 0 to 1
}

// loadShedding holds the load that this node reports to the cluster, and the admission threshold that the cluster has set.
type loadShedding struct {
	reportsLoad bool               // the cluster has asked for a load summary, so that the threshold applies
	threshold   AdmissionThreshold // current threshold of the cluster
	summary     LoadSummary        // load since the last summary was taken
}

// recordOffered adds the work of a job that arrived. Jobs of low slack, often retries of clients, are left out: they may
// find no token in time even if most tokens are free, so they say nothing about the capacity of the cluster.
func (s *loadShedding) recordOffered(j *job, level int) {
	if !j.lowSlack {
		s.summary.Offered[level] += max(j.work.Seconds(), minWorkSeconds)
	}
}

// recordAdmitted adds the work of a job that was not shed. Jobs of low slack are left out as in recordOffered.
func (s *loadShedding) recordAdmitted(j *job) {
	if !j.lowSlack {
		s.summary.Admitted += j.work.Seconds()
	}
}

// recordCompleted adds the work of a job that was completed.
func (s *loadShedding) recordCompleted(j *job) { s.summary.Completed += j.work.Seconds() }

// recordMigration adds the work of an attempt that would be migrated if migrations were not limited. It counts each attempt
// only once.
func (s *loadShedding) recordMigration(a *attempt) {
	if !a.migrationCounted {
		a.migrationCounted = true
		s.summary.Migrations += a.work.Seconds()
	}
}

// takeSummary returns the summary and begins a new one. The threshold applies to jobs that arrive after the first call.
func (s *loadShedding) takeSummary() LoadSummary {
	taken := s.summary
	s.summary = LoadSummary{}
	s.reportsLoad = true
	return taken
}

// belowThreshold reports whether j, which arrives now, is shed because the cluster has no capacity for its priority level,
// and adds j to the load summary. Without a common threshold, one node would admit jobs of low value while jobs of high
// value find no token at another node.
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

// admits reports whether the threshold admits a job of the given priority level. On the threshold's own level a random
// fraction is admitted, but no jobs of low slack. A random number is drawn for each job of that level that has no low
// slack, even if the level is 0 and nothing is shed.
func (d *Dispatcher) admits(j *job, level int) bool {
	threshold := d.shedding.threshold
	inAdmittedFraction := level == threshold.Level && !j.lowSlack && d.rng.next() < threshold.AdmitFraction
	return threshold.Level == 0 || level > threshold.Level || inAdmittedFraction
}

// shedsRetry reports whether j, after attempts that all provably never ran, is now below the admission threshold. While the
// cluster is overloaded, a retry of such a job would use capacity that jobs of higher value need.
func (d *Dispatcher) shedsRetry(j *job) bool {
	return j.attemptCount > 0 && j.mayHaveRun == nil && d.shedding.threshold.Level > d.priorityLevel(j)
}

// priorityLevel returns the level of j's value density, 0 to PriorityLevels-1. The scale is logarithmic: the middle level
// stands for a density of 1, and each doubling adds levelsPerOctave levels. The value is reduced for a tenant over its
// quota.
func (d *Dispatcher) priorityLevel(j *job) int {
	density := d.valueOf(j) / max(j.work.Seconds(), minWorkSeconds) * d.tenantFactor(j.tenant)
	level := PriorityLevels/2 + int(math.Round(levelsPerOctave*math.Log2(max(density, minDensity))))
	return min(max(0, level), PriorityLevels-1)
}

// TakeLoadSummary returns this node's load since the last call, with the waiting work and the capacity as of now.
func (d *Dispatcher) TakeLoadSummary(now time.Duration) LoadSummary {
	summary := d.shedding.takeSummary()
	summary.Waiting = d.waitingWork()
	summary.Capacity = d.estimateCapacity(now)
	return summary
}

// SetAdmissionThreshold sets the cluster's threshold. Jobs that were already admitted are not shed, except instead of a
// retry after attempts that never ran.
func (d *Dispatcher) SetAdmissionThreshold(threshold AdmissionThreshold) {
	d.shedding.threshold = threshold
}

// waitingWork returns the sum, over the jobs that wait here or at an executor, of work divided by slack: a job with little
// slack that has to wait is a stronger sign of missing capacity.
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

// estimateCapacity returns the work per second that the available executors of the endpoint list can do, computed from
// their slots and paces.
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

// recordExpired adds the work of a job that is rejected or fails although it has attempts left, whether or not an attempt
// was sent before. A job that arrived with low slack, or at most a quantum ago, has hardly waited and is left out: a
// threshold that is raised for such jobs would rise without end.
func (d *Dispatcher) recordExpired(j *job) {
	waited := d.clock.now-j.arrivedAt > d.config.quantum
	if !j.lowSlack && waited && j.attemptCount < j.class.maxAttempts {
		d.shedding.summary.Expired += j.work.Seconds()
	}
}
