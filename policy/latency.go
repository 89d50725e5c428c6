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
	minProgress        = 0.02 // fraction done from which on a progress notice predicts the rest
)

// kindStats is what warm executors of one kind were seen to do.
type kindStats struct {
	pace                float64 // running time for each unit of work
	size                float64 // mean weight in the endpoint list
	reportedSlots       float64 // slots by load reports, averaged; 0: none came
	concurrency         int     // slots, by reports or by the most of our jobs that ran at once
	exactSlots          float64 // slots, by reports that tell of nothing queued, averaged
	observedConcurrency int     // the most of our jobs that ran beside each other for half of a running time
	index               *kindIndex
}

// estimate is what was seen of an executor's speed, decaying.
type estimate struct {
	runTime   float64 // seconds
	work      float64 // done in that time, in seconds on a standard core
	startWait time.Duration
}

// observeStartWait updates the start wait. It follows quickly, since a jam must be seen before it is fed.
func (s *estimate) observeStartWait(wait time.Duration) { s.startWait = (s.startWait + wait) / 2 }

// decay lowers the weight of what was observed, at an interval's end.
func (s *estimate) decay() {
	s.startWait = scaled(s.startWait, smoothing)
	s.runTime *= smoothing
	s.work *= smoothing
}

// pace is the running time that e needs for a unit of work: what was seen, and what running batch jobs that
// are over their time already show (guards against executors slowed or stalled since their last answer).
func (d *Dispatcher) pace(e *executor, now time.Duration) float64 {
	runs, works := e.estimate.runTime+d.endpoints.kinds[e.kind].pace, e.estimate.work+1
	for _, j := range e.attempts {
		if !j.running {
			continue
		}
		ran := now - j.startedAt
		if j.progress > minProgress {
			ran = max(scaled(j.progressAt-j.startedAt, 1/j.progress), ran)
		}
		if w := j.work.Seconds(); ran.Seconds() > w*runs/works {
			runs += ran.Seconds()
			works += w
		}
	}
	return runs / works
}

// expectedWait is how long a batch job sent to e now would wait there: what starts were seen to take, or, where
// ours alone fill as many places as its kind was seen to have, until the first of those is done.
func (d *Dispatcher) expectedWait(e *executor, pace float64, now time.Duration) time.Duration {
	places := d.endpoints.kinds[e.kind].concurrency
	wait, first, queued := e.estimate.startWait, time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range e.attempts {
		left := scaled(o.work, pace)
		if !o.running {
			queued += left
			if out := now - o.sentAt; d.config.startNotices && out > e.estimate.startWait+d.classes.checkInterval {
				// One of ours that has not begun there yet shows that the others have filled it.
				wait = max(wait, out+left/time.Duration(places))
			}
			continue
		}
		// One that is over its time already is taken to need as long again as it is over.
		left -= now - o.startedAt
		first = min(first, max(left, -left))
	}
	if len(e.attempts) < places {
		return wait
	}
	if first == math.MaxInt64 {
		first = e.estimate.startWait
	}
	return max(e.estimate.startWait, first+queued/time.Duration(places))
}

// recordRunTime books a running time.
func (d *Dispatcher) recordRunTime(j *job, e *executor, ran time.Duration) {
	if j.class.idempotency == IdempotentWithKey && ran < scaled(j.work, dedupReplyFraction*d.endpoints.kinds[e.kind].pace) {
		return // it was remembered there, not run: guards against executors that look quick, and are rushed while cold
	}
	if !j.hinted {
		// The first guess is the quoted time, which may be far off: the first outcomes count as much as it does.
		j.class.samples++
		new := max(minSampleWeight, 1/float64(1+j.class.samples))
		j.class.meanWork = scaled(j.class.meanWork, 1-new) + scaled(ran, new)
	}
	e.estimate.runTime = e.estimate.runTime*smoothing + ran.Seconds()
	e.estimate.work = e.estimate.work*smoothing + j.work.Seconds()
	k := d.endpoints.kinds[e.kind]
	with := 1
	for _, o := range e.attempts {
		if o.running && o.startedAt <= d.clock.now-ran/2 {
			with++
		}
	}
	k.observedConcurrency = max(k.observedConcurrency, with)
	k.pace += paceStep * min(1, j.work.Seconds()) * (ran.Seconds()/j.work.Seconds() - k.pace)
	k.pace = max(k.pace, minPace)
}

// bestPaceFor is the pace of the quickest executor that may take j at all, or a standard one's where there is none.
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
		return 1
	}
	return best
}

// AttemptStarted tells that an executor has begun on an allocation.
func (d *Dispatcher) AttemptStarted(now time.Duration, id JobID, n AttemptID) {
	d.beginTurn(now)
	s := d.findAttempt(id, n)
	if s == nil || s.running {
		return
	}
	e := s.executor
	s.running, s.startedAt, s.progressAt = true, now, now
	d.recordAlive(e, now)
	d.markDirty(e)
	s.waitedAtExecutor = d.elapsed(s) > d.classes.checkInterval
	d.recordStartWait(e, s, d.elapsed(s))
	if k := d.endpoints.kinds[e.kind]; now >= e.slowStart.until {
		k.concurrency = max(k.concurrency, e.runningCount())
	}
	e.queuing.recordStart(s.tenantID)
}

// AttemptProgressed tells how much of an allocation is done.
func (d *Dispatcher) AttemptProgressed(now time.Duration, id JobID, n AttemptID, share float64) {
	if s := d.findAttempt(id, n); s != nil {
		s.progress, s.progressAt = share, now
		d.recordAlive(s.executor, now)
	}
}

// LoadReported tells what an executor says of its load with an answer: batch jobs held, those that wait, and places free.
func (d *Dispatcher) LoadReported(id ExecutorID, load Load) {
	e, places := d.endpoints.byID[id], load.InFlight-load.Queued+load.FreeSlots
	if e == nil || places < 0.5 || min(load.InFlight, load.Queued, load.FreeSlots) < 0 {
		return
	}
	k := d.endpoints.kinds[e.kind]
	if k.reportedSlots == 0 {
		k.reportedSlots = places
	}
	k.reportedSlots += (places - k.reportedSlots) * (1 - smoothing)
	k.concurrency = max(1, int(k.reportedSlots+0.5))
	if load.Queued < 0.5 { // how many wait is told roughly: where many do, the rest swings
		k.exactSlots = cmp.Or(k.exactSlots, places)
		k.exactSlots += (places - k.exactSlots) * (1 - smoothing)
	}
}
