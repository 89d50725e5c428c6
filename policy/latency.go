package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	smoothing          = 0.85 // weight that older observations keep when a new one comes
	paceStep           = 0.05 // weight of a new observation in the pace of a kind, for a second of work or more
	minSampleWeight    = 0.05 // least weight of a new running time in a class's mean work
	minPace            = 0.05 // a kind's pace is never taken to be quicker
	waitedFactor       = 5.0  // times its predicted running time from which on an attempt without a start notice had to wait
	dedupReplyFraction = 0.1  // of the predicted running time: a keyed job that is done in less was answered from memory
	minReportedCount   = 0.5  // reported slots or jobs from which on there is one: reports are averages
	minProgress        = 0.02 // fraction done from which on a progress notice predicts the rest
	standardPace       = 1    // of an executor that nothing is known of
)

// kindStats is what executors of one kind that are past slow start were seen to do.
type kindStats struct {
	pace                float64 // running time for each unit of work
	size                float64 // mean weight in the endpoint list
	reportedSlots       float64 // slots by load reports, averaged; 0: none came
	concurrency         int     // slots, by reports or by the most of our jobs that ran at once
	exactSlots          float64 // slots, by reports that tell of nothing queued, averaged
	observedConcurrency int     // the most of our jobs that ran beside each other for half of a running time
	index               *kindIndex
}

// observeRun updates the pace by a running time in seconds for work in seconds, and the concurrency that was seen.
func (k *kindStats) observeRun(runTime, work float64, concurrency int) {
	k.observedConcurrency = max(k.observedConcurrency, concurrency)
	k.pace += paceStep * min(1, work) * (runTime/work - k.pace)
	k.pace = max(k.pace, minPace)
}

// observeConcurrency records how many jobs of this node run at once at an executor of the kind.
func (k *kindStats) observeConcurrency(running int) { k.concurrency = max(k.concurrency, running) }

// observeReport updates the slots by a load report. While jobs wait, their number is reported roughly, so that only a
// report of none is exact.
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

// estimate is what was seen of an executor's speed, decaying.
type estimate struct {
	runTime   float64 // seconds
	work      float64 // done in that time, in seconds on a standard core
	startWait time.Duration
}

// observeRun adds a running time and the work done in it, both in seconds.
func (s *estimate) observeRun(runTime, work float64) {
	s.runTime = s.runTime*smoothing + runTime
	s.work = s.work*smoothing + work
}

// observeStartWait updates the start wait. It follows quickly, since a jam must be seen before it is fed.
func (s *estimate) observeStartWait(wait time.Duration) { s.startWait = (s.startWait + wait) / 2 }

// adopt takes over a running time and the work done in it, both in seconds, that another process has seen.
func (s *estimate) adopt(runTime, work float64) {
	s.runTime = runTime
	s.work = work
}

// adoptStartWait takes over the start wait that another process has seen.
func (s *estimate) adoptStartWait(wait time.Duration) { s.startWait = max(0, wait) }

// forgetStartWait drops the start wait, when the executor has started again.
func (s *estimate) forgetStartWait() { s.startWait = 0 }

// meanPace returns the running time for a unit of work, given the kind's pace as one observation of one unit.
func (s *estimate) meanPace(kindPace float64) float64 { return (s.runTime + kindPace) / (s.work + 1) }

// decay lowers the weight of what was observed, at an interval's end.
func (s *estimate) decay() {
	s.startWait = scaled(s.startWait, smoothing)
	s.runTime *= smoothing
	s.work *= smoothing
}

// pace returns the running time that e needs for a unit of work: by its estimate and its kind's pace, and by the attempts
// that already run longer than those predict, or an executor that slowed down since its last result would look fast.
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

// expectedWait returns how long a job sent to e now would wait there before it starts: as long as starts there were seen
// to take, or, if this node's attempts alone fill the slots that the kind was seen to have, until one of them is free.
func (d *Dispatcher) expectedWait(e *executor, pace float64, now time.Duration) time.Duration {
	slots := d.endpoints.kinds[e.kind].concurrency
	wait := e.estimate.startWait
	firstFree := Forever
	queuedTime := time.Duration(0)
	for _, a := range e.attempts {
		left := scaled(a.work, pace)
		if a.running {
			left -= now - a.startedAt
			firstFree = min(firstFree, max(left, -left)) // one that is overdue needs as long again as it is overdue
			continue
		}
		queuedTime += left
		unstartedFor := now - a.sentAt
		if d.config.startNotices && unstartedFor > e.estimate.startWait+d.classes.checkInterval {
			// An attempt that is not started in time shows that other nodes fill the executor.
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

// recordRunTime records how long a completed attempt of j ran at e. An answer that the executor remembered for a job's
// idempotency key is no run: it would make the executor look fast, and a starting one be overloaded.
func (d *Dispatcher) recordRunTime(j *job, e *executor, ran time.Duration) {
	kind := d.endpoints.kinds[e.kind]
	if j.class.idempotency == IdempotentWithKey && ran < scaled(j.work, dedupReplyFraction*kind.pace) {
		return
	}
	if !j.hinted {
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

// bestPaceFor returns the pace of the fastest executor that j may be sent to at all, or standardPace if there is none.
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

// LoadReported takes up a load report that came with an answer. A report that is incomplete is passed over.
func (d *Dispatcher) LoadReported(id ExecutorID, load Load) {
	e := d.endpoints.byID[id]
	slots := load.InFlight - load.Queued + load.FreeSlots
	if e == nil || slots < minReportedCount || min(load.InFlight, load.Queued, load.FreeSlots) < 0 {
		return
	}
	d.endpoints.kinds[e.kind].observeReport(slots, load.Queued)
}
