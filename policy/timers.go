package policy

import (
	"container/heap"
	"time"
)

// timerQueue holds all timers, ordered by their due times.
type timerQueue struct {
	heap     timerHeap
	sequence int // number of timers added so far; it orders timers with the same due time
}

// timerKind says what is done when a timer is due.
type timerKind uint8

const (
	placeJobTimer     timerKind = iota // make NextTask return PlaceJob for the timer's job
	checkAttemptTimer                  // review the timer's attempt, and cancel it if necessary
	releaseTokenTimer                  // release one of the taken tokens of the timer's executor
	checkAllTimer                      // check the subset, the queue, the leases and the health checks
)

// timer is an action that is due at some time. A timer of a job or an attempt has no effect if the generation of the
// job or attempt has changed since the timer was set.
type timer struct {
	at         time.Duration
	sequence   int
	kind       timerKind
	generation int32
	job        *job
	attempt    *attempt
	executor   *executor
}

// placeJob sets a timer for the placement of the job. When the timer is due, NextTask returns PlaceJob.
func (q *timerQueue) placeJob(at time.Duration, j *job) {
	q.add(timer{at: at, kind: placeJobTimer, generation: j.generation, job: j})
}

// checkAttempt sets the timer of an attempt's next review. The timer that was set before for the attempt has no effect
// any more.
func (q *timerQueue) checkAttempt(at time.Duration, a *attempt) {
	a.generation++
	q.add(timer{at: at, kind: checkAttemptTimer, generation: a.generation, attempt: a})
}

// releaseToken sets a timer that releases one of the executor's taken tokens.
func (q *timerQueue) releaseToken(at time.Duration, e *executor) {
	q.add(timer{at: at, kind: releaseTokenTimer, executor: e})
}

// checkAll sets a timer for a check of everything whose state changes with time alone: the subset, the queue, the
// leases and the health checks.
func (q *timerQueue) checkAll(at time.Duration) {
	q.add(timer{at: at, kind: checkAllTimer})
}

func (q *timerQueue) add(t timer) {
	q.sequence++
	t.sequence = q.sequence
	heap.Push(&q.heap, t)
}

// popDue removes and returns the earliest timer, if it is due.
func (q *timerQueue) popDue(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// next returns the earliest due time, or Forever if no timer is set.
func (q *timerQueue) next() time.Duration {
	if len(q.heap) == 0 {
		return Forever
	}
	return q.heap[0].at
}

// timerHeap is a heap of timers, ordered by due time and then by the order in which they were set. It implements
// heap.Interface.
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
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
