package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Least value density that a queue key is divided by, as a multiple of the mean density. It limits the key of a job
	// of little value.
	minQueueDensity   = 1e-3
	minQueueLateValue = 1e-3 // least lateValue that a late job's queue key is divided by, to avoid a division by zero
	// Limit for one scan of the queue: in each of the lists onTime, late and hedges, at most this many jobs per member of
	// the subset are looked at.
	queueScanFactor = 2
)

// jobQueue holds the jobs that wait for a token, in the order in which they are placed.
type jobQueue struct {
	onTime           []*job // jobs that can still meet their objective, ordered by queueKey
	late             []*job // jobs that can't meet their objective any more, ordered by queueKey
	hedges           []*job // jobs with an attempt in flight that want a second one, in the order of their requests
	usedThisInterval bool   // a job that is not late had to wait in this quota interval
	tokenFreed       bool   // a token may have been released since the last scan of the queue
}

// empty reports whether no job is waiting.
func (q *jobQueue) empty() bool { return q.length() == 0 }

// length returns the number of waiting jobs, hedges included.
func (q *jobQueue) length() int { return len(q.onTime) + len(q.late) + len(q.hedges) }

// inOrder returns the lists of waiting jobs in the order in which they are placed.
func (q *jobQueue) inOrder() [3][]*job { return [...][]*job{q.onTime, q.late, q.hedges} }

// rescan requests a scan of the queue in the next turn, because a token may have been released.
func (q *jobQueue) rescan() { q.tokenFreed = true }

// startInterval begins a new quota interval. The queue counts as used in the new interval if jobs that can still meet
// their objective are waiting at its start.
func (q *jobQueue) startInterval() {
	q.usedThisInterval = len(q.onTime) > 0
	q.rescan()
}

// recordWait records that j had to wait for a token. A late job is not counted, because it waits while other jobs have
// priority.
func (q *jobQueue) recordWait(j *job) {
	q.usedThisInterval = q.usedThisInterval || !j.queuedPastObjective
}

// listOf returns the list of queued jobs that j belongs to: the late jobs or the others.
func (q *jobQueue) listOf(j *job) *[]*job {
	if j.queuedPastObjective {
		return &q.late
	}
	return &q.onTime
}

// insert adds j to its list, at the position of its queue key.
func (q *jobQueue) insert(j *job) {
	list := q.listOf(j)
	position, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Insert(*list, position, j)
	j.isQueued = true
}

// remove removes j from the queue, if it is queued.
func (q *jobQueue) remove(j *job) {
	if !j.isQueued {
		return
	}
	list := q.listOf(j)
	position, _ := slices.BinarySearchFunc(*list, j, compareQueueKeys)
	*list = slices.Delete(*list, position, position+1)
	j.isQueued = false
}

// addHedge adds a job that has an attempt in flight and wants a second one.
func (q *jobQueue) addHedge(j *job) {
	j.hedgeWanted = true
	q.hedges = append(q.hedges, j)
	q.rescan()
}

// compareQueueKeys orders jobs by queue key, and jobs with the same key by ID.
func compareQueueKeys(a, b *job) int {
	return cmp.Or(cmp.Compare(a.queueKey, b.queueKey), cmp.Compare(a.id, b.id))
}

// queueJob puts j into the queue, or moves j to the list of late jobs if j has no slack left. Of two jobs with the same
// slack, the one with the higher density is placed first. The density is the marginal value per second of work, as a
// multiple of the mean. The queue key is therefore the current time plus j's slack divided by j's density. For a late
// job, the deadline of its class divided by the class's lateValue takes the place of the slack.
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

// nextPlaceable returns the first job in queue order for which pickExecutor finds an executor, or nil if there is none.
// It scans the queue only if a token may have been released since the last scan, and only as far as queueScanFactor
// allows.
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
