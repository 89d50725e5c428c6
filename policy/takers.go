package policy

import (
	"math"
	"time"
)

// fewHeld is how many batch jobs are looked at one by one; with more of them, what none could use is left out first.
const fewHeld = 8

// takers are the executors that some of many held batch jobs of a class could go to, late ones or the others, found by the
// easiest that there could be of them: a pass over the open tokens once, and not for each. They decide nothing: what they
// leave out pick would not find either. Guards against a cost with the square of the slice, where tokens are open and of no
// use yet: their executors are full, and as many batch jobs are held.
type takers struct {
	track *jobClass
	late  bool
	easy  job // as easy as any of them
	found []*executor
	ends  time.Duration // the easiest can't be done before it
	wait  time.Duration // nor does any wait less there
	pace  float64       // or is done quicker
}

// ease makes the easiest as easy as j at least.
func (t *takers) ease(j *job) {
	easy := &t.easy
	easy.work, easy.predictionMargin = min(easy.work, j.work), min(easy.predictionMargin, j.predictionMargin)
	easy.objectiveAt, easy.hinted = max(easy.objectiveAt, j.objectiveAt), easy.hinted || j.hinted
}

// alone says whether j is looked at by itself: its candidates are others than those of its class.
func (d *Dispatcher) alone(j *job) bool { return d.boundToDedupGroup(j) || len(j.attempts) > 0 }

// findTakers finds them for a list of held batch jobs, where they are many.
func (d *Dispatcher) findTakers(list []*job, now time.Duration) {
	d.takers = d.takers[:0]
	if len(list) > fewHeld {
		d.fileTakers(list, now)
	}
}

func (d *Dispatcher) fileTakers(list []*job, now time.Duration) {
	for _, j := range list {
		if d.alone(j) {
			continue
		}
		late := d.isLate(j, now)
		if t := d.takersOf(j.class, late); t != nil {
			t.ease(j)
			continue
		}
		d.takers = append(d.takers, takers{track: j.class, late: late,
			easy: job{class: j.class, work: j.work, hinted: j.hinted, predictionMargin: j.predictionMargin, objectiveAt: j.objectiveAt}})
	}
	for i := range d.takers {
		d.findFor(&d.takers[i], now)
	}
}

func (d *Dispatcher) findFor(t *takers, now time.Duration) {
	easy := &t.easy
	t.ends, t.wait, t.pace = Forever, Forever, math.Inf(1)
	w := wish{job: easy, now: now, late: t.late, mostPace: easy.mostPace(now, t.late), least: math.Inf(-1)}
	for _, w.far = range [...]bool{false, true} {
		for e := range d.likely(&w) {
			if d.tokenAge(e, &w) <= -1 {
				continue
			}
			t.found = append(t.found, e)
			pace := d.pace(e, now)
			wait := d.expectedWait(e, pace, now)
			t.wait, t.pace = min(t.wait, wait), min(t.pace, pace)
			t.ends = min(t.ends, now+scaled(wait+scaled(easy.work, pace), easy.predictionMargin))
		}
	}
}

func (d *Dispatcher) takersOf(track *jobClass, late bool) *takers {
	for i := range d.takers {
		if t := &d.takers[i]; t.track == track && t.late == late {
			return t
		}
	}
	return nil
}

// mayGo says whether pick may find something for j, of the list that takers were found for last: where it says no, it finds nothing.
func (d *Dispatcher) mayGo(j *job, now time.Duration) bool {
	if len(d.takers) == 0 || d.alone(j) {
		return true
	}
	w := wish{job: j, now: now, late: d.isLate(j, now)}
	t := d.takersOf(j.class, w.late)
	if len(t.found) == 0 || !w.late && j.objectiveAt < max(t.ends, now+scaled(t.wait+scaled(j.work, t.pace), j.predictionMargin)) {
		return false
	}
	crosses, other := d.crossesNow(j), false
	for _, e := range t.found {
		if d.tokenAge(e, &w) > -1 {
			if (d.remoteSide(e) > 0) == crosses {
				return true
			}
			other = true
		}
	}
	return other && (crosses || now-j.queuedAt >= d.crossZoneDelay(j) || !d.anyLocalUsable(j, now))
}
