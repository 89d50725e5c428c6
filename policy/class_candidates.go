package policy

import (
	"math"
	"time"
)

// During an overload, many jobs are queued and the executors are full. Executors still have free tokens, but no job can
// use these tokens yet. If each token were evaluated for each queued job, the cost would grow with the square of the
// subset's size. So the executors are first evaluated once per job class, and separately for its late jobs
// (classCandidates). They are evaluated for an artificial job that demands no more than any of the queued jobs
// concerned. A queued job is skipped if none of the executors found for its class can serve it. This never changes the
// result, since pickExecutor would find no executor for a skipped job either.

// minQueuedForGrouping is the queue length above which grouping by class saves time. Up to this number of queued jobs,
// each job is evaluated by itself.
const minQueuedForGrouping = 8

// classCandidates holds the executors that could serve one group of queued jobs: either the late jobs of a class, or
// the other jobs of that class.
type classCandidates struct {
	class *jobClass
	late  bool
	// leastDemanding is an artificial job that stands for the whole group: an executor that can't serve it can't serve
	// any job of the group. It has the least work, lowest predictionMargin and latest objectiveAt of the group. It has
	// a client estimate if any job of the group has one.
	leastDemanding job
	executors      []*executor   // executors that could serve leastDemanding
	earliestEnd    time.Duration // earliest predicted end of leastDemanding at any of executors
	minWait        time.Duration // shortest expected wait at any of executors
	minPace        float64       // lowest pace of any of executors
}

// relaxTo lowers the demands of leastDemanding, so that it demands no more than j.
func (c *classCandidates) relaxTo(j *job) {
	leastDemanding := &c.leastDemanding
	leastDemanding.work = min(leastDemanding.work, j.work)
	leastDemanding.predictionMargin = min(leastDemanding.predictionMargin, j.predictionMargin)
	leastDemanding.objectiveAt = max(leastDemanding.objectiveAt, j.objectiveAt)
	leastDemanding.hasClientEstimate = leastDemanding.hasClientEstimate || j.hasClientEstimate
}

// placedIndividually reports whether j has to be evaluated by itself. If j is bound to a dedup group or has an attempt
// in flight, its candidates can differ from those of its class.
func (d *Dispatcher) placedIndividually(j *job) bool {
	return d.boundToDedupGroup(j) || len(j.attempts) > 0
}

// findCandidates finds the candidates of each class of the given queued jobs. If there are at most
// minQueuedForGrouping jobs, it finds no candidates.
func (d *Dispatcher) findCandidates(queued []*job, now time.Duration) {
	d.index.classCandidates = d.index.classCandidates[:0]
	if len(queued) <= minQueuedForGrouping {
		return
	}
	d.findByClass(queued, now)
}

// findByClass groups the queued jobs by class and by whether they are late, and finds the candidates of each group.
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

// addToClass adds j to the group of its class for late jobs or for other jobs.
func (d *Dispatcher) addToClass(j *job, late bool) {
	if c := d.candidatesOf(j.class, late); c != nil {
		c.relaxTo(j)
		return
	}
	leastDemanding := job{class: j.class, work: j.work, hasClientEstimate: j.hasClientEstimate, predictionMargin: j.predictionMargin, objectiveAt: j.objectiveAt}
	d.index.classCandidates = append(d.index.classCandidates, classCandidates{class: j.class, late: late, leastDemanding: leastDemanding})
}

// findForClass finds the executors that could serve leastDemanding of a group. It also sets the group's earliestEnd,
// minWait and minPace.
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

// candidatesOf returns the group of a class for late jobs or for other jobs. It returns nil if there is no such group.
func (d *Dispatcher) candidatesOf(class *jobClass, late bool) *classCandidates {
	for i := range d.index.classCandidates {
		if c := &d.index.classCandidates[i]; c.class == class && c.late == late {
			return c
		}
	}
	return nil
}

// mayBePlaced returns false only if pickExecutor is certain to find no executor for j. If it returns true, pickExecutor
// can still find none. The job j must be one of those passed to the last call of findCandidates.
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
