package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	minQueueDensity   = 1e-3 // least value for the work, in mean densities, that a queue key is derived from
	minQueueLateValue = 1e-3 // least late value that a queue key is derived from
	queueScanFactor   = 2    // jobs that one scan of the queue looks at, for each member of the subset
)

// jobQueue holds the jobs that wait for a token, in the order in which they are placed.
type jobQueue struct {
	onTime           []*job // that can still meet their objective, by queueKey
	late             []*job // that can't, by queueKey
	hedges           []*job // that want a second attempt, in the order in which they came to
	usedThisInterval bool   // a job had to wait in this interval
	tokenFreed       bool   // a token may have come free since the last scan
}

// empty reports whether no job waits.
func (q *jobQueue) empty() bool { return q.length() == 0 }

// length returns the number of waiting jobs, hedges included.
func (q *jobQueue) length() int { return len(q.onTime) + len(q.late) + len(q.hedges) }

// inOrder returns the waiting jobs in the order in which they are placed.
func (q *jobQueue) inOrder() [3][]*job { return [...][]*job{q.onTime, q.late, q.hedges} }

// rescan has the next turn scan the queue, since a token may have come free.
func (q *jobQueue) rescan() { q.tokenFreed = true }

// startInterval begins a new interval. A queue that is not empty at its start counts as used.
func (q *jobQueue) startInterval() {
	q.usedThisInterval = len(q.onTime) > 0
	q.rescan()
}

// noteWait records that j had to wait for a token. A job past its objective does not count: it waits for others.
func (q *jobQueue) noteWait(j *job) {
	q.usedThisInterval = q.usedThisInterval || !j.queuedPastObjective
}

// listOf returns the list that j belongs to.
func (q *jobQueue) listOf(j *job) *[]*job {
	if j.queuedPastObjective {
		return &q.late
	}
	return &q.onTime
}

// insert adds j, whose queue key is set.
func (q *jobQueue) insert(j *job) {
	list := q.listOf(j)
	position, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Insert(*list, position, j)
	j.isQueued = true
}

// remove takes j out, if it is queued.
func (q *jobQueue) remove(j *job) {
	if !j.isQueued {
		return
	}
	list := q.listOf(j)
	position, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Delete(*list, position, position+1)
	j.isQueued = false
}

// addHedge adds a job with an attempt out that wants a second one.
func (q *jobQueue) addHedge(j *job) {
	j.hedgeWanted = true
	q.hedges = append(q.hedges, j)
	q.rescan()
}

// compareQueueKeys orders jobs by queue key, those of the same key by id.
func compareQueueKeys(a, b *job) int {
	return cmp.Or(cmp.Compare(a.queueKey, b.queueKey), cmp.Compare(a.id, b.id))
}

// queueJob puts j into the queue, or moves it to the list of late jobs once it has no slack left. The key is the time
// now plus the slack, shortened for a job of a high value for its work: such a job goes before others of the same
// slack. For a late job the class's deadline over its late value stands for the slack.
func (d *Dispatcher) queueJob(j *job, now time.Duration) {
	slack := j.objectiveAt - now - j.work
	pastObjective := slack < 0
	if j.isQueued && j.queuedPastObjective == pastObjective {
		return
	}
	if !j.isQueued {
		j.queuedAt = now
	}
	d.queue.remove(j)
	density := d.marginalValue(j) / j.work.Seconds() / d.values.meanDensity
	if pastObjective {
		slack = scaled(j.class.deadline, 1/max(j.class.lateValue, minQueueLateValue))
	}
	j.queuedPastObjective = pastObjective
	j.queueKey = now + scaled(slack, 1/max(density, minQueueDensity))
	d.queue.insert(j)
}

// nextPlaceable returns the first job in the queue's order that a free token is open to, or nil. The queue is scanned
// once after each change that may have freed a token, and no further than queueScanFactor allows.
func (d *Dispatcher) nextPlaceable(now time.Duration) *job {
	if d.subset.stale {
		d.rebuildSubset(now)
	}
	d.queue.hedges = slices.DeleteFunc(d.queue.hedges, func(j *job) bool {
		j.hedgeWanted = d.wantsHedge(j, now)
		return !j.hedgeWanted
	})
	d.queue.tokenFreed = d.queue.tokenFreed && !d.queue.empty() && d.anyTokenUsable(now)
	scanned := 0
	if d.queue.tokenFreed {
		scanned = queueScanFactor * len(d.subset.members)
	}
	for _, list := range d.queue.inOrder() {
		list = list[:min(len(list), scanned)]
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
