package policy

import (
	"cmp"
	"slices"
	"time"
)

// jobQueue holds the jobs that wait for a token, in the order in which they are placed.
type jobQueue struct {
	onTime           []*job // that can still meet their objective, by queueKey
	late             []*job // that can't, by queueKey
	hedges           []*job // that want a second attempt
	usedThisInterval bool   // a job had to wait in this interval
	tokenFreed       bool   // a token has come free since the queue was looked through
}

// queueJob puts j among the held ones: least slack to the quoted time over what is earned for the work goes
// first, late ones after all others.
func (d *Dispatcher) queueJob(j *job, now time.Duration) {
	slack := j.objectiveAt - now - j.work
	if j.isQueued && j.queuedLate == (slack < 0) {
		return
	}
	if !j.isQueued {
		j.queuedAt = now
	}
	d.dequeue(j)
	density := d.marginalValue(j) / j.work.Seconds() / d.values.meanDensity
	j.isQueued, j.queuedLate = true, slack < 0
	if j.queuedLate {
		slack = scaled(j.class.deadline, 1/max(j.class.lateValue, 1e-3))
	}
	j.queueKey = now + scaled(slack, 1/max(density, 1e-3))
	d.enqueue(j)
}

func compareQueueKeys(a, b *job) int {
	return cmp.Or(cmp.Compare(a.queueKey, b.queueKey), cmp.Compare(a.id, b.id))
}

func (d *Dispatcher) queueOf(late bool) *[]*job {
	if late {
		return &d.queue.late
	}
	return &d.queue.onTime
}

func (d *Dispatcher) enqueue(j *job) {
	list := d.queueOf(j.queuedLate)
	i, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Insert(*list, i, j)
}

func (d *Dispatcher) dequeue(j *job) {
	if j.isQueued {
		j.isQueued = false
		list := d.queueOf(j.queuedLate)
		i, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
		*list = slices.Delete(*list, i, i+1)
	}
}

// nextPlaceable is the first in the release order that a free token is open to, copies last. It is asked once after
// each change that may have opened a token, and looks at no more batch jobs than the slice has tokens for.
func (d *Dispatcher) nextPlaceable(now time.Duration) *job {
	if d.subset.stale {
		d.rebuildSubset(now)
	}
	d.queue.hedges = slices.DeleteFunc(d.queue.hedges, func(j *job) bool {
		j.hedgeWanted = d.wantsHedge(j, now)
		return !j.hedgeWanted
	})
	d.queue.tokenFreed = d.queue.tokenFreed && len(d.queue.onTime)+len(d.queue.late)+len(d.queue.hedges) > 0 && d.anyTokenOpen(now)
	for _, list := range [...][]*job{d.queue.onTime, d.queue.late, d.queue.hedges} {
		list = list[:min(len(list), int(oneIf(d.queue.tokenFreed))*2*len(d.subset.members))]
		d.findCandidates(list, now)
		for _, j := range list {
			if d.mayBePlaced(j, now) && d.pickExecutor(j, now, false) != nil {
				return j
			}
		}
	}
	d.queue.tokenFreed = false
	return nil
}
