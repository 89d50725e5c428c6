package leases

import (
	"container/heap"
	"time"
)

// wakeNotSet is the value of JobTable.wakeAt while no Wake effect is pending. No timer is set for a negative time.
const wakeNotSet time.Duration = -1

// Wake handles all timers that are due: it answers jobs past their deadlines, queries executors again, and forgets jobs
// whose answers have been kept for Settings.AnswerTTL.
func (t *JobTable) Wake(now time.Duration) []Effect {
	t.wakeAt = wakeNotSet
	for len(t.timers) > 0 && t.timers[0].at <= now {
		due := heap.Pop(&t.timers).(timer)
		if due.generation == due.job.timerGeneration {
			t.timerFired(now, due.job)
		}
	}
	return t.finish(now)
}

func (t *JobTable) timerFired(now time.Duration, j *job) {
	switch j.state {
	case Waiting:
		heap.Remove(&t.waiting, j.heapIndex)
		t.expire(j)
	case Querying:
		if now >= j.Deadline {
			t.finalize(j, Failed, nil)
		} else {
			t.query(now, j)
		}
	case Done:
		t.forget(j)
	}
}

// setWake emits a Wake effect for the earliest timer, unless one for that time is pending.
func (t *JobTable) setWake() {
	if len(t.timers) > 0 && t.timers[0].at != t.wakeAt {
		t.wakeAt = t.timers[0].at
		t.emit(Wake{t.wakeAt})
	}
}

// schedule sets a timer for a job.
func (t *JobTable) schedule(at time.Duration, j *job) {
	t.sequence++
	heap.Push(&t.timers, timer{at, t.sequence, j.timerGeneration, j})
}

// cancelTimers cancels all timers of the job. They stay in JobTable.timers, and Wake skips them when they are due.
func (j *job) cancelTimers() { j.timerGeneration++ }

// timer is a time at which a JobTable acts on a job.
type timer struct {
	at         time.Duration
	sequence   int // position in the order of creation; among timers of the same time, the lowest fires first
	generation int // the job's timerGeneration when the timer was set
	job        *job
}

// timerHeap is a heap of timers ordered by time, for container/heap.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
