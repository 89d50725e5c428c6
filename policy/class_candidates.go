package policy

import (
	"math"
	"time"
)

// minQueuedForGrouping is how many batch jobs are looked at one by one; with more of them, what none could use is left out first.
const minQueuedForGrouping = 8

// classCandidates are the executors that some of many held batch jobs of a class could go to, late ones or the others, found by the
// easiest that there could be of them: a pass over the open tokens once, and not for each. They decide nothing: what they
// leave out pick would not find either. Guards against a cost with the square of the slice, where tokens are open and of no
// use yet: their executors are full, and as many batch jobs are held.
type classCandidates struct {
	class       *jobClass
	late        bool
	easiest     job // as easy as any of them
	executors   []*executor
	earliestEnd time.Duration // the easiest can't be done before it
	minWait     time.Duration // nor does any wait less there
	minPace     float64       // or is done quicker
}

// widen makes the easiest as easy as j at least.
func (t *classCandidates) widen(j *job) {
	easy := &t.easiest
	easy.work, easy.predictionMargin = min(easy.work, j.work), min(easy.predictionMargin, j.predictionMargin)
	easy.objectiveAt, easy.hinted = max(easy.objectiveAt, j.objectiveAt), easy.hinted || j.hinted
}

// isSingular says whether j is looked at by itself: its candidates are others than those of its class.
func (d *Dispatcher) isSingular(j *job) bool { return d.boundToDedupGroup(j) || len(j.attempts) > 0 }

// findCandidates finds them for a list of held batch jobs, where they are many.
func (d *Dispatcher) findCandidates(list []*job, now time.Duration) {
	d.index.classCandidates = d.index.classCandidates[:0]
	if len(list) > minQueuedForGrouping {
		d.groupByClass(list, now)
	}
}

func (d *Dispatcher) groupByClass(list []*job, now time.Duration) {
	for _, j := range list {
		if d.isSingular(j) {
			continue
		}
		late := d.isLate(j, now)
		if t := d.candidatesOf(j.class, late); t != nil {
			t.widen(j)
			continue
		}
		d.index.classCandidates = append(d.index.classCandidates, classCandidates{class: j.class, late: late,
			easiest: job{class: j.class, work: j.work, hinted: j.hinted, predictionMargin: j.predictionMargin, objectiveAt: j.objectiveAt}})
	}
	for i := range d.index.classCandidates {
		d.findForClass(&d.index.classCandidates[i], now)
	}
}

func (d *Dispatcher) findForClass(t *classCandidates, now time.Duration) {
	easy := &t.easiest
	t.earliestEnd, t.minWait, t.minPace = Forever, Forever, math.Inf(1)
	w := query{job: easy, now: now, late: t.late, maxPace: easy.maxPace(now, t.late), minAge: math.Inf(-1)}
	for _, w.remote = range [...]bool{false, true} {
		for e := range d.candidates(&w) {
			if d.tokenAge(e, &w) <= -1 {
				continue
			}
			t.executors = append(t.executors, e)
			pace := d.pace(e, now)
			wait := d.expectedWait(e, pace, now)
			t.minWait, t.minPace = min(t.minWait, wait), min(t.minPace, pace)
			t.earliestEnd = min(t.earliestEnd, now+scaled(wait+scaled(easy.work, pace), easy.predictionMargin))
		}
	}
}

func (d *Dispatcher) candidatesOf(track *jobClass, late bool) *classCandidates {
	for i := range d.index.classCandidates {
		if t := &d.index.classCandidates[i]; t.class == track && t.late == late {
			return t
		}
	}
	return nil
}

// mayBePlaced says whether pick may find something for j, of the list that takers were found for last: where it says no, it finds nothing.
func (d *Dispatcher) mayBePlaced(j *job, now time.Duration) bool {
	if len(d.index.classCandidates) == 0 || d.isSingular(j) {
		return true
	}
	w := query{job: j, now: now, late: d.isLate(j, now)}
	t := d.candidatesOf(j.class, w.late)
	if len(t.executors) == 0 || !w.late && j.objectiveAt < max(t.earliestEnd, now+scaled(t.minWait+scaled(j.work, t.minPace), j.predictionMargin)) {
		return false
	}
	crosses, other := d.crossesNow(j), false
	for _, e := range t.executors {
		if d.tokenAge(e, &w) > -1 {
			if (d.remoteSide(e) > 0) == crosses {
				return true
			}
			other = true
		}
	}
	return other && (crosses || now-j.queuedAt >= d.crossZoneDelay(j) || !d.anyLocalUsable(j, now))
}
