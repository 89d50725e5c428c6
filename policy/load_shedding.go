package policy

import (
	"math"
	"time"
)

// loadShedding is what this node reports to the fleet, and which jobs the fleet has no capacity for.
type loadShedding struct {
	reportsLoad bool // the fleet asks for summaries
	threshold   AdmissionThreshold
	summary     LoadSummary // since it was taken last
}

// belowThreshold says whether j earns less for its work than the cut line: what the fleet has no capacity for.
// Guards against low earners taken here while dearer ones find no token elsewhere.
func (d *Dispatcher) belowThreshold(j *job) bool {
	rung, line := d.recordOffered(j), d.shedding.threshold
	marginal := rung == line.Level && !j.lowSlack && d.rng.next() < line.AdmitFraction
	return !d.recordAdmitted(j, line.Level == 0 || rung > line.Level || marginal)
}

// shedsRetry reports whether j, after attempts that all provably never ran, is below the admission threshold by now: in an
// overload of the fleet a retry of such a job costs capacity that jobs of a higher value need.
func (d *Dispatcher) shedsRetry(j *job) bool {
	return j.attemptCount > 0 && j.mayHaveRun == nil && d.shedding.threshold.Level > d.priorityLevel(j)
}

// TakeLoadSummary is what this node saw since it was asked last; from the first asking on it is kept.
func (d *Dispatcher) TakeLoadSummary(now time.Duration) LoadSummary {
	t := d.shedding.summary
	d.shedding.reportsLoad, d.shedding.summary = true, LoadSummary{}
	for _, j := range d.queue.onTime {
		t.Waiting += j.pressure()
	}
	for _, e := range d.endpoints.ranked {
		if k := d.endpoints.kinds[e.kind]; e.available {
			part := 1.0
			if now < e.slowStart.until {
				part = d.slowStart.capacityFraction(e, now)
			}
			t.Capacity += part * float64(k.concurrency) * (e.estimate.work + 1) / max(e.estimate.runTime+k.pace, 1e-9)
		}
	}
	for _, e := range d.quota.executors {
		for _, s := range e.attempts {
			if !s.running && d.config.startNotices && !s.finished {
				t.Waiting += s.pressure()
			}
		}
	}
	return t
}

// SetAdmissionThreshold tells where the cut line of nodes that talk is from now on. Batch jobs in hand stay.
func (d *Dispatcher) SetAdmissionThreshold(line AdmissionThreshold) { d.shedding.threshold = line }

// priorityLevel is the step of what j earns for its work. A tenant over its share is weighed down as in value.
func (d *Dispatcher) priorityLevel(j *job) int {
	density := d.valueOf(j) / max(j.work.Seconds(), 1e-6) * d.tenantFactor(j.tenant)
	rung := PriorityLevels/2 + int(math.Round(2*math.Log2(max(density, 1e-9))))
	return min(max(0, rung), PriorityLevels-1)
}

// countMigration books, once, that an allocation would be moved if moves were free.
func (d *Dispatcher) countMigration(s *attempt) {
	if !s.migrationCounted {
		s.migrationCounted = true
		d.shedding.summary.Migrations += s.work.Seconds()
	}
}

// recordOffered books a batch job that came, and gives its rung. One that came with less than half of its slack, as repeats do, is
// no measure of what the fleet is short of: it may find no token in time where most are free.
func (d *Dispatcher) recordOffered(j *job) int {
	rung, work := d.priorityLevel(j), max(j.work.Seconds(), 1e-6)
	if j.lowSlack = j.objectiveAt-d.clock.now-j.work < j.slack()/2; !j.lowSlack {
		d.shedding.summary.Offered[rung] += work
	}
	return rung
}

// recordAdmitted books a batch job that is not below the cut line, and gives that on.
func (d *Dispatcher) recordAdmitted(j *job, yes bool) bool {
	if yes && !j.lowSlack {
		d.shedding.summary.Admitted += j.work.Seconds()
	}
	return yes
}

// recordExpired books a batch job that is given up on. What could not be done when it came has not waited: a line that fell for
// it would cut more and more, to no end.
func (d *Dispatcher) recordExpired(j *job) {
	if !j.lowSlack && d.clock.now-j.arrivedAt > d.config.quantum && j.attemptCount < j.class.maxAttempts {
		d.shedding.summary.Expired += j.work.Seconds()
	}
}
