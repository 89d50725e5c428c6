package policy

import (
	"math"
	"time"
)

// Where many jobs are queued, a look at each open token for each of them costs the square of the subset: the executors are
// full, their tokens are open and of no use yet, and as many jobs wait. So the queued jobs of a class are looked at together
// first. classCandidates are the executors that could serve a job as easy as any of them; a job for which none of those will
// do need not be looked at by itself. It decides nothing: what it leaves out pickExecutor would not find either.

// minQueuedForGrouping is the number of queued jobs up to which each is looked at by itself.
const minQueuedForGrouping = 8

// classCandidates are the executors for the queued jobs of one class, those past their objective or the others.
type classCandidates struct {
	class          *jobClass
	late           bool
	leastDemanding job // as easy as any of them: least work, latest objective
	executors      []*executor
	earliestEnd    time.Duration // the easiest can't be done before it
	minWait        time.Duration // none of the executors has a shorter wait
	minPace        float64       // nor a lower pace
}

// relaxTo makes the easiest job at least as easy as j.
func (c *classCandidates) relaxTo(j *job) {
	easiest := &c.leastDemanding
	easiest.work = min(easiest.work, j.work)
	easiest.predictionMargin = min(easiest.predictionMargin, j.predictionMargin)
	easiest.objectiveAt = max(easiest.objectiveAt, j.objectiveAt)
	easiest.hinted = easiest.hinted || j.hinted
}

// placedIndividually says whether j has other candidates than its class, so that it is looked at by itself.
func (d *Dispatcher) placedIndividually(j *job) bool {
	return d.boundToDedupGroup(j) || len(j.attempts) > 0
}

// findCandidates finds the classes' candidates for a part of the queue, where that is long.
func (d *Dispatcher) findCandidates(queued []*job, now time.Duration) {
	d.index.classCandidates = d.index.classCandidates[:0]
	if len(queued) <= minQueuedForGrouping {
		return
	}
	d.findByClass(queued, now)
}

// findByClass makes the easiest job of each class and lateness among the queued ones, and finds its candidates.
func (d *Dispatcher) findByClass(queued []*job, now time.Duration) {
	for _, j := range queued {
		if !d.placedIndividually(j) {
			d.addToClass(j, d.isLate(j, now))
		}
	}
	for i := range d.index.classCandidates {
		d.findForClass(&d.index.classCandidates[i], now)
	}
}

// addToClass makes the easiest job of a class and lateness as easy as j.
func (d *Dispatcher) addToClass(j *job, late bool) {
	if c := d.candidatesOf(j.class, late); c != nil {
		c.relaxTo(j)
		return
	}
	easiest := job{class: j.class, work: j.work, hinted: j.hinted, predictionMargin: j.predictionMargin, objectiveAt: j.objectiveAt}
	d.index.classCandidates = append(d.index.classCandidates, classCandidates{class: j.class, late: late, leastDemanding: easiest})
}

// findForClass finds the executors that could serve the easiest job, and bounds of what they could do.
func (d *Dispatcher) findForClass(c *classCandidates, now time.Duration) {
	easiest := &c.leastDemanding
	c.earliestEnd, c.minWait, c.minPace = Forever, Forever, math.Inf(1)
	q := query{job: easiest, now: now, late: c.late, maxPace: easiest.maxPace(now, c.late), minAge: math.Inf(-1)}
	for _, q.remote = range [...]bool{false, true} {
		for e := range d.candidates(&q) {
			if d.tokenAge(e, &q) <= -1 {
				continue
			}
			c.executors = append(c.executors, e)
			pace := d.pace(e, now)
			wait := d.expectedWait(e, pace, now)
			end := now + scaled(wait+scaled(easiest.work, pace), easiest.predictionMargin)
			c.minWait = min(c.minWait, wait)
			c.minPace = min(c.minPace, pace)
			c.earliestEnd = min(c.earliestEnd, end)
		}
	}
}

// candidatesOf returns the candidates of a class and lateness, nil if they were not looked for.
func (d *Dispatcher) candidatesOf(class *jobClass, late bool) *classCandidates {
	for i := range d.index.classCandidates {
		if c := &d.index.classCandidates[i]; c.class == class && c.late == late {
			return c
		}
	}
	return nil
}

// mayBePlaced says whether pickExecutor may find an executor for j, one of the jobs that candidates were found for last.
// Where it says no, pickExecutor finds none.
func (d *Dispatcher) mayBePlaced(j *job, now time.Duration) bool {
	if len(d.index.classCandidates) == 0 || d.placedIndividually(j) {
		return true
	}
	q := query{job: j, now: now, late: d.isLate(j, now)}
	c := d.candidatesOf(j.class, q.late)
	if len(c.executors) == 0 {
		return false
	}
	earliestEnd := now + scaled(c.minWait+scaled(j.work, c.minPace), j.predictionMargin)
	if !q.late && j.objectiveAt < max(c.earliestEnd, earliestEnd) {
		return false
	}
	crosses, onOtherSide := d.crossesNow(j), false
	for _, e := range c.executors {
		if d.tokenAge(e, &q) <= -1 {
			continue
		}
		if (d.remoteSide(e) > 0) == crosses {
			return true
		}
		onOtherSide = true
	}
	return onOtherSide && (crosses || now-j.queuedAt >= d.crossZoneDelay(j) || !d.anyLocalUsable(j, now))
}
