package policy

import (
	"math"
	"time"
)

const (
	levelsPerOctave   = 2    // priority levels for each doubling of a job's value for its work
	minPriorityWork   = 1e-6 // seconds of work that a job is taken to have at least
	minDensity        = 1e-9 // least value for a second of work that a priority level is derived from
	minSecondsPerWork = 1e-9 // least running time that a capacity is derived from
	lowSlackDivisor   = 2    // a job that has less than its slack over this left came with low slack
)

// PriorityLevels is the number of levels that jobs are sorted by, by their value for a second of work.
const PriorityLevels = 64

// LoadSummary is what a node saw since the summary before, in seconds of work on a standard core.
type LoadSummary struct {
	Offered    [PriorityLevels]float64 // of jobs that arrived, by priority level
	Admitted   float64                 // of those of them that were at or above the threshold
	Completed  float64                 // of jobs that were completed
	Migrations float64                 // of attempts that would be migrated if migrations were not limited
	Expired    float64                 // of jobs that were given up on after they had waited for a token
	Waiting    float64                 // of jobs that wait now, here or at an executor, each over its slack
	Capacity   float64                 // a second, of all available executors on the endpoint list
}

// AdmissionThreshold says which jobs the fleet has no capacity for: all below Level are shed, and of Level itself all but
// a fraction. The zero value sheds nothing.
type AdmissionThreshold struct {
	Level          int     // priority level
	AdmitFraction  float64 // of jobs of that level that are admitted, 0 to 1
	MigrationDelay float64 // fraction of its slack that an attempt waits where it is before it is migrated, 0 to 1
}

// loadShedding is what this node reports to the fleet, and which jobs the fleet has no capacity for.
type loadShedding struct {
	reportsLoad bool // the fleet asks for summaries
	threshold   AdmissionThreshold
	summary     LoadSummary // since it was taken last
}

// recordOffered adds the work of a job that arrived. A job of low slack, as clients' retries often are, is no measure of
// what the fleet has too little of: it may find no token in time where most are free.
func (s *loadShedding) recordOffered(j *job, level int) {
	if !j.lowSlack {
		s.summary.Offered[level] += max(j.work.Seconds(), minPriorityWork)
	}
}

// recordAdmitted adds the work of a job that was admitted.
func (s *loadShedding) recordAdmitted(j *job) {
	if !j.lowSlack {
		s.summary.Admitted += j.work.Seconds()
	}
}

// recordCompleted adds the work of a job that was completed.
func (s *loadShedding) recordCompleted(j *job) { s.summary.Completed += j.work.Seconds() }

// recordMigration adds the work of an attempt, once, that would be migrated if migrations were not limited.
func (s *loadShedding) recordMigration(a *attempt) {
	if !a.migrationCounted {
		a.migrationCounted = true
		s.summary.Migrations += a.work.Seconds()
	}
}

// takeSummary returns the summary and begins a new one. From the first call on, jobs are subject to the threshold.
func (s *loadShedding) takeSummary() LoadSummary {
	taken := s.summary
	s.summary = LoadSummary{}
	s.reportsLoad = true
	return taken
}

// belowThreshold reports whether j, which arrives now, is to be shed since the fleet has no capacity for jobs of its
// priority level. Without a common threshold one node would take jobs of a low value while those of a high value find no
// token at another.
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

// admits reports whether a job of that priority level is at or above the threshold. Of the threshold's own level a random
// fraction is admitted, except jobs of low slack. The random number is drawn for each of them even if nothing is shed.
func (d *Dispatcher) admits(j *job, level int) bool {
	threshold := d.shedding.threshold
	inAdmittedFraction := level == threshold.Level && !j.lowSlack && d.rng.next() < threshold.AdmitFraction
	return threshold.Level == 0 || level > threshold.Level || inAdmittedFraction
}

// shedsRetry reports whether j, after attempts that all provably never ran, is below the admission threshold by now: in an
// overload of the fleet a retry of such a job costs capacity that jobs of a higher value need.
func (d *Dispatcher) shedsRetry(j *job) bool {
	return j.attemptCount > 0 && j.mayHaveRun == nil && d.shedding.threshold.Level > d.priorityLevel(j)
}

// priorityLevel returns the level of j's value for a second of its work, 0 to PriorityLevels-1: the middle one stands for
// 1, and levelsPerOctave of them for each doubling. The value counts less for a tenant over its quota.
func (d *Dispatcher) priorityLevel(j *job) int {
	density := d.valueOf(j) / max(j.work.Seconds(), minPriorityWork) * d.tenantFactor(j.tenant)
	level := PriorityLevels/2 + int(math.Round(levelsPerOctave*math.Log2(max(density, minDensity))))
	return min(max(0, level), PriorityLevels-1)
}

// TakeLoadSummary returns what this node saw since the last call, with the work that waits and the capacity as they are
// now.
func (d *Dispatcher) TakeLoadSummary(now time.Duration) LoadSummary {
	summary := d.shedding.takeSummary()
	summary.Waiting = d.waitingWork()
	summary.Capacity = d.estimateCapacity(now)
	return summary
}

// SetAdmissionThreshold sets the fleet's threshold. Jobs that were admitted stay.
func (d *Dispatcher) SetAdmissionThreshold(threshold AdmissionThreshold) {
	d.shedding.threshold = threshold
}

// waitingWork returns the work of jobs that wait here or at an executor, in seconds, each over its slack: the less slack
// they have, the more such work shows a lack of capacity.
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

// estimateCapacity returns the work a second that the available executors of the endpoint list can do, by their slots and
// paces.
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

// recordExpired records a job that is given up on. One that came with too little time to be done has not waited, and does
// not count: a threshold that rose for such jobs would rise without end.
func (d *Dispatcher) recordExpired(j *job) {
	waited := d.clock.now-j.arrivedAt > d.config.quantum
	if !j.lowSlack && waited && j.attemptCount < j.class.maxAttempts {
		d.shedding.summary.Expired += j.work.Seconds()
	}
}
