package policy

import (
	"math"
	"time"
)

// Under overload, many jobs are queued while the executors are full: executors still have free tokens, but these are of no use
// to any job yet. The cost of evaluating each token for each queued job would grow with the square of the subset's size. So
// the executors are first evaluated once per class, for a job that demands no more than any queued job of the class
// (classCandidates). A queued job that none of these executors can serve is skipped. This never changes the result, since
// pickExecutor would find no executor for a skipped job either.

// minQueuedForGrouping is the largest number of queued jobs for which each job is evaluated by itself.
const minQueuedForGrouping = 8

// classCandidates holds the executors that could serve queued jobs of one class, for either the jobs past their objective or
// the others.
type classCandidates struct {
	class          *jobClass
	late           bool
	leastDemanding job           // a job with the least work and the latest objective of the queued jobs
	executors      []*executor   // executors that could serve leastDemanding
	earliestEnd    time.Duration // earliest time at which one of these executors could complete leastDemanding
	minWait        time.Duration // shortest expected wait at any of these executors
	minPace        float64       // lowest pace of these executors
}

// relaxTo changes leastDemanding so that it demands no more than j.
func (c *classCandidates) relaxTo(j *job) {
	leastDemanding := &c.leastDemanding
	leastDemanding.work = min(leastDemanding.work, j.work)
	leastDemanding.predictionMargin = min(leastDemanding.predictionMargin, j.predictionMargin)
	leastDemanding.objectiveAt = max(leastDemanding.objectiveAt, j.objectiveAt)
	leastDemanding.hasClientEstimate = leastDemanding.hasClientEstimate || j.hasClientEstimate
}

// placedIndividually reports whether j may have other candidates than its class, so that it has to be evaluated by itself.
func (d *Dispatcher) placedIndividually(j *job) bool {
	return d.boundToDedupGroup(j) || len(j.attempts) > 0
}

// findCandidates finds the candidates of each class for a part of the queue, if that part is long.
func (d *Dispatcher) findCandidates(queued []*job, now time.Duration) {
	d.index.classCandidates = d.index.classCandidates[:0]
	if len(queued) <= minQueuedForGrouping {
		return
	}
	d.findByClass(queued, now)
}

// findByClass groups the queued jobs by class and lateness, and finds the candidates of each group.
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

// addToClass adds j to the group of its class and lateness.
func (d *Dispatcher) addToClass(j *job, late bool) {
	if c := d.candidatesOf(j.class, late); c != nil {
		c.relaxTo(j)
		return
	}
	leastDemanding := job{class: j.class, work: j.work, hasClientEstimate: j.hasClientEstimate, predictionMargin: j.predictionMargin, objectiveAt: j.objectiveAt}
	d.index.classCandidates = append(d.index.classCandidates, classCandidates{class: j.class, late: late, leastDemanding: leastDemanding})
}

// findForClass finds the executors that could serve the least demanding job of a group, and sets the group's bounds.
func (d *Dispatcher) findForClass(c *classCandidates, now time.Duration) {
	leastDemanding := &c.leastDemanding
	c.earliestEnd, c.minWait, c.minPace = Forever, Forever, math.Inf(1)
	q := query{job: leastDemanding, now: now, late: c.late, maxPace: leastDemanding.maxPace(now, c.late), minAge: math.Inf(-1)}
	for _, q.remote = range [...]bool{false, true} {
		for e := range d.candidates(&q) {
			if d.tokenAge(e, &q) <= unusableToken {
				continue
			}
			c.executors = append(c.executors, e)
			pace := d.pace(e, now)
			wait := d.expectedWait(e, pace, now)
			end := now + scaled(wait+scaled(leastDemanding.work, pace), leastDemanding.predictionMargin)
			c.minWait = min(c.minWait, wait)
			c.minPace = min(c.minPace, pace)
			c.earliestEnd = min(c.earliestEnd, end)
		}
	}
}

// candidatesOf returns the candidates of a class and lateness, or nil if there is no such group.
func (d *Dispatcher) candidatesOf(class *jobClass, late bool) *classCandidates {
	for i := range d.index.classCandidates {
		if c := &d.index.classCandidates[i]; c.class == class && c.late == late {
			return c
		}
	}
	return nil
}

// mayBePlaced reports whether pickExecutor may find an executor for j, which must be a job of the last findCandidates.
// If it returns false, pickExecutor would find none.
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
	prefersRemote, onOtherSide := d.prefersOtherZones(j), false
	for _, e := range c.executors {
		if d.tokenAge(e, &q) <= unusableToken {
			continue
		}
		if (d.remoteSide(e) > 0) == prefersRemote {
			return true
		}
		onOtherSide = true
	}
	return onOtherSide && (prefersRemote || now-j.queuedAt >= d.crossZoneDelay(j) || !d.anyLocalUsable(j, now))
}
