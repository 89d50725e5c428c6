package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// A running average or decaying sum keeps this fraction of its previous value at each update.
	smoothing = 0.85
	// Weight of a completed run in the running average of the pace of the executor's kind. A run of less than one second
	// of work has a lower weight, in proportion to the work.
	paceStep        = 0.05
	minSampleWeight = 0.05 // least weight of a new running time in the running average of a job class's work
	minPace         = 0.05 // lower bound of the pace of an executor kind, in running time per unit of work
	// For attempts without a start notice: the job counts as having waited at the executor if the attempt took more than
	// this multiple of its inferred running time.
	waitedFactor = 5.0
	// An executor that remembers a job's idempotency key answers without running the job again. Any answer that took less
	// than this fraction of the job's predicted running time counts as remembered.
	dedupReplyFraction = 0.1
	// Load reports contain averages; a reported number of slots or jobs below this counts as none.
	minReportedCount = 0.5
	// A progress notice predicts an attempt's running time only if more than this fraction of the attempt is done.
	minProgress  = 0.02
	standardPace = 1 // pace that is assumed where none is known: one second of running time per second of work
)

// kindStats holds what was observed of the executors of one kind. Executors in slow start are included, with one
// exception: concurrency is not raised by their start notices.
type kindStats struct {
	pace float64 // running average of the running time per unit of work
	// Running average of the sizes of the kind's executors. The size of an executor is the weight that it has in the
	// endpoint list when idle.
	size float64
	// Running average of the number of slots per executor of the kind, from all load reports; 0: no report has come.
	reportedSlots float64
	// Estimated number of slots per executor of the kind. The estimate comes from load reports, or from the largest
	// number of this node's jobs seen running at one executor at the same time.
	concurrency int
	// Running average of the number of slots per executor of the kind, from load reports that show no queued jobs; 0: no
	// such report has come. Other reports are left out, because the number of slots computed from them is imprecise.
	exactSlots float64
	// Largest number of this node's jobs seen running at one executor at the same time. It is used where the number of
	// slots must not be overestimated. The jobs are counted when one of them completes: that job, and each job still
	// running that has run for at least half of the completed job's running time.
	observedConcurrency int
	index               *kindIndex
}

// observeRun updates the kind's pace and observedConcurrency after a completed run. The running time and the work are
// in seconds. The concurrency is the number of this node's jobs that were running at the executor, counted as described
// at observedConcurrency.
func (k *kindStats) observeRun(runTime, work float64, concurrency int) {
	k.observedConcurrency = max(k.observedConcurrency, concurrency)
	k.pace += paceStep * min(1, work) * (runTime/work - k.pace)
	k.pace = max(k.pace, minPace)
}

// observeConcurrency records the number of this node's jobs that run at an executor of the kind at the same time.
func (k *kindStats) observeConcurrency(running int) { k.concurrency = max(k.concurrency, running) }

// observeReport updates the numbers of slots after a load report. The reported number of queued jobs is imprecise, and
// so is the number of slots computed from it. Therefore only reports without queued jobs change exactSlots.
func (k *kindStats) observeReport(slots, queued float64) {
	if k.reportedSlots == 0 {
		k.reportedSlots = slots
	}
	k.reportedSlots += (slots - k.reportedSlots) * (1 - smoothing)
	k.concurrency = max(1, int(k.reportedSlots+0.5)) // rounded
	if queued < minReportedCount {
		k.exactSlots = cmp.Or(k.exactSlots, slots)
		k.exactSlots += (slots - k.exactSlots) * (1 - smoothing)
	}
}

// estimate holds decaying statistics of an executor's speed.
type estimate struct {
	runTime   float64       // decaying sum of the running times of completed attempts, in seconds
	work      float64       // decaying sum of the work of completed attempts, in seconds on a standard core
	startWait time.Duration // running average of how long an attempt waits at the executor before it starts
}

// observeRun adds the running time and the work of a completed attempt, both in seconds.
func (s *estimate) observeRun(runTime, work float64) {
	s.runTime = s.runTime*smoothing + runTime
	s.work = s.work*smoothing + work
}

// observeStartWait updates the start wait. A new observation has a weight of one half, so that this node notices a
// queue at the executor before it sends more jobs to the executor.
func (s *estimate) observeStartWait(wait time.Duration) { s.startWait = (s.startWait + wait) / 2 }

// adopt sets the sums of running time and of work, both in seconds, to those that another process of this node has
// observed.
func (s *estimate) adopt(runTime, work float64) {
	s.runTime = runTime
	s.work = work
}

// adoptStartWait sets the start wait to the one that another process of this node has observed. A negative one counts
// as 0.
func (s *estimate) adoptStartWait(wait time.Duration) { s.startWait = max(0, wait) }

// forgetStartWait resets the start wait after a restart of the executor.
func (s *estimate) forgetStartWait() { s.startWait = 0 }

// meanPace returns the executor's running time per unit of work. The pace of its kind counts as one more observation,
// of one unit of work.
func (s *estimate) meanPace(kindPace float64) float64 { return (s.runTime + kindPace) / (s.work + 1) }

// decay lowers the weight of past observations. It is called at the end of each quota interval.
func (s *estimate) decay() {
	s.startWait = scaled(s.startWait, smoothing)
	s.runTime *= smoothing
	s.work *= smoothing
}

// pace returns the running time that e needs per unit of work, from e's own observations and its kind's pace. Attempts
// that have already run longer than predicted are included. Otherwise an executor that has slowed down since its last
// result would look fast.
func (d *Dispatcher) pace(e *executor, now time.Duration) float64 {
	runTime := e.estimate.runTime + d.endpoints.kinds[e.kind].pace
	work := e.estimate.work + 1
	for _, a := range e.attempts {
		if !a.running {
			continue
		}
		ran := now - a.startedAt
		if a.progress > minProgress {
			predicted := scaled(a.progressAt-a.startedAt, 1/a.progress)
			ran = max(predicted, ran)
		}
		attemptWork := a.work.Seconds()
		if ran.Seconds() > attemptWork*runTime/work {
			runTime += ran.Seconds()
			work += attemptWork
		}
	}
	return runTime / work
}

// expectedWait returns how long a job that is sent to e now is expected to wait at e before it starts. If this node's
// attempts alone fill e's slots, the job has to wait until a slot is free. The result is then the predicted time until
// a slot is free, but at least the observed start wait. Otherwise the result is the observed start wait, or more if an
// attempt at e has not started in time.
func (d *Dispatcher) expectedWait(e *executor, pace float64, now time.Duration) time.Duration {
	slots := d.endpoints.kinds[e.kind].concurrency
	wait := e.estimate.startWait
	firstFree := Forever
	queuedTime := time.Duration(0)
	for _, a := range e.attempts {
		left := scaled(a.work, pace)
		if a.running {
			left -= now - a.startedAt
			// An overdue attempt is expected to run on for as long as it is overdue already.
			firstFree = min(firstFree, max(left, -left))
			continue
		}
		queuedTime += left
		unstartedFor := now - a.sentAt
		if d.config.startNotices && unstartedFor > e.estimate.startWait+d.classes.checkInterval {
			// An attempt that has not started in time shows that jobs of other nodes fill the executor.
			wait = max(wait, unstartedFor+left/time.Duration(slots))
		}
	}
	if len(e.attempts) < slots {
		return wait
	}
	if firstFree == Forever {
		firstFree = e.estimate.startWait
	}
	return max(e.estimate.startWait, firstFree+queuedTime/time.Duration(slots))
}

// recordRunTime records the running time of a completed attempt of j at e. An answer that the executor remembered for
// the job's idempotency key is ignored. If it counted, the executor would look fast and would be overloaded in its slow
// start.
func (d *Dispatcher) recordRunTime(j *job, e *executor, ran time.Duration) {
	kind := d.endpoints.kinds[e.kind]
	if j.class.idempotency == IdempotentWithKey && ran < scaled(j.work, dedupReplyFraction*kind.pace) {
		return
	}
	if !j.hasClientEstimate {
		j.class.recordRunTime(ran)
	}
	runTime := ran.Seconds()
	work := j.work.Seconds()
	e.estimate.observeRun(runTime, work)
	concurrency := 1
	for _, a := range e.attempts {
		if a.running && a.startedAt <= d.clock.now-ran/2 {
			concurrency++
		}
	}
	kind.observeRun(runTime, work, concurrency)
}

// bestPaceFor returns the pace of the fastest executor that is eligible for j, or standardPace if there is none.
func (d *Dispatcher) bestPaceFor(j *job, now time.Duration) float64 {
	best := math.Inf(1)
	switch {
	case d.boundToDedupGroup(j):
		for _, e := range d.endpoints.ranked {
			if e.available && d.isEligible(e, j, now) {
				best = min(best, d.pace(e, now))
			}
		}
	case d.retryAllowed(j, now):
		best = d.lowestPace(j.class.kind, now)
	}
	if math.IsInf(best, 1) {
		return standardPace
	}
	return best
}

// LoadReported records a load report that came with an executor's answer. A report that is incomplete or shows no slots
// is ignored.
func (d *Dispatcher) LoadReported(id ExecutorID, load Load) {
	e := d.endpoints.byID[id]
	slots := load.InFlight - load.Queued + load.FreeSlots
	if e == nil || slots < minReportedCount || min(load.InFlight, load.Queued, load.FreeSlots) < 0 {
		return
	}
	d.endpoints.kinds[e.kind].observeReport(slots, load.Queued)
}
