package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	smoothing          = 0.85 // weight of the previous value in a running average when an observation is added
	paceStep           = 0.05 // weight of a new observation in a kind's pace, for one second of work or more
	minSampleWeight    = 0.05 // minimum weight of a new running time in the mean work of a job class
	minPace            = 0.05 // lower bound for a kind's pace
	waitedFactor       = 5.0  // multiple of inferRunTime above which an attempt without a start notice counts as delayed
	dedupReplyFraction = 0.1  // a job with a key, done in less than this fraction of its predicted time, was answered from memory
	minReportedCount   = 0.5  // reported counts are averages; from this value on they count as at least one slot or job
	minProgress        = 0.02 // minimum completed fraction of an attempt for a progress notice to predict the running time
	standardPace       = 1    // pace of an executor of which nothing is known
)

// kindStats holds what was observed of the executors of one kind. Executors in slow start count too, but their start
// notices do not raise concurrency.
type kindStats struct {
	pace                float64 // running time per unit of work
	size                float64 // mean weight of the kind's executors in the endpoint list
	reportedSlots       float64 // average number of slots in load reports; 0: no report was received
	concurrency         int     // number of slots, from load reports or from this node's jobs that ran at the same time
	exactSlots          float64 // average number of slots in load reports without queued jobs; 0: no such report
	observedConcurrency int     // most jobs of this node that ran together for at least half of a job's running time
	index               *kindIndex
}

// observeRun updates the pace by a completed run, and observedConcurrency by the number of jobs that ran together. The
// running time and the work are in seconds.
func (k *kindStats) observeRun(runTime, work float64, concurrency int) {
	k.observedConcurrency = max(k.observedConcurrency, concurrency)
	k.pace += paceStep * min(1, work) * (runTime/work - k.pace)
	k.pace = max(k.pace, minPace)
}

// observeConcurrency records the number of this node's jobs that run at an executor of the kind at the same time.
func (k *kindStats) observeConcurrency(running int) { k.concurrency = max(k.concurrency, running) }

// observeReport updates the slots by a load report. The reported number of queued jobs is imprecise, and so are the slots
// computed from it: only a report without queued jobs counts for exactSlots.
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
	runTime   float64       // sum of running times, in seconds
	work      float64       // sum of the work done in them, in seconds on a standard core
	startWait time.Duration // average wait of an attempt at the executor before it starts
}

// observeRun adds a running time and the work done in it, both in seconds.
func (s *estimate) observeRun(runTime, work float64) {
	s.runTime = s.runTime*smoothing + runTime
	s.work = s.work*smoothing + work
}

// observeStartWait updates the start wait. A new observation has a weight of one half, so that this node notices a queue at
// the executor before it sends more jobs there.
func (s *estimate) observeStartWait(wait time.Duration) { s.startWait = (s.startWait + wait) / 2 }

// adopt sets the running time and the work done in it, both in seconds, as another process has observed them.
func (s *estimate) adopt(runTime, work float64) {
	s.runTime = runTime
	s.work = work
}

// adoptStartWait sets the start wait that another process has observed.
func (s *estimate) adoptStartWait(wait time.Duration) { s.startWait = max(0, wait) }

// forgetStartWait resets the start wait after a restart of the executor.
func (s *estimate) forgetStartWait() { s.startWait = 0 }

// meanPace returns the running time per unit of work. The kind's pace counts as one more observation, of one unit of work.
func (s *estimate) meanPace(kindPace float64) float64 { return (s.runTime + kindPace) / (s.work + 1) }

// decay lowers the weight of past observations. It is called at the end of each interval.
func (s *estimate) decay() {
	s.startWait = scaled(s.startWait, smoothing)
	s.runTime *= smoothing
	s.work *= smoothing
}

// pace returns the running time that e needs per unit of work, from its estimate and its kind's pace. Attempts that already
// run longer than predicted count too; otherwise an executor that has slowed down since its last result would look fast.
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

// expectedWait returns how long a job sent to e now would wait there before it starts: the observed start wait, or, if this
// node's attempts alone fill the slots of e's kind, the time until one of these slots is free.
func (d *Dispatcher) expectedWait(e *executor, pace float64, now time.Duration) time.Duration {
	slots := d.endpoints.kinds[e.kind].concurrency
	wait := e.estimate.startWait
	firstFree := Forever
	queuedTime := time.Duration(0)
	for _, a := range e.attempts {
		left := scaled(a.work, pace)
		if a.running {
			left -= now - a.startedAt
			firstFree = min(firstFree, max(left, -left)) // an attempt overdue by some time is expected to need that time again
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

// recordRunTime records the running time of a completed attempt of j at e. It ignores answers that the executor remembered
// for the job's idempotency key: they would make the executor look fast, and it would be overloaded during its slow start.
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

// LoadReported records a load report that came with an answer. An incomplete report is ignored.
func (d *Dispatcher) LoadReported(id ExecutorID, load Load) {
	e := d.endpoints.byID[id]
	slots := load.InFlight - load.Queued + load.FreeSlots
	if e == nil || slots < minReportedCount || min(load.InFlight, load.Queued, load.FreeSlots) < 0 {
		return
	}
	d.endpoints.kinds[e.kind].observeReport(slots, load.Queued)
}
