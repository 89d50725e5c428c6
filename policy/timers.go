package policy

import (
	"container/heap"
	"time"
)

// timerQueue holds all due times in one heap.
type timerQueue struct {
	heap     timerHeap
	sequence int // timers of the same moment fall due in the order in which they were set
}

// timerKind says what is to be done when a timer falls due.
type timerKind uint8

const (
	placeJobTimer     timerKind = iota // ask Place for a job
	checkAttemptTimer                  // check whether to cancel an attempt
	releaseTokenTimer                  // release a token of an executor
	checkAllTimer                      // check subset, queue, leases and health checks
)

// timer is one due time. A job's or an attempt's timer is void once their generation has changed.
type timer struct {
	at         time.Duration
	sequence   int
	kind       timerKind
	generation int32
	job        *job
	attempt    *attempt
	executor   *executor
}

// placeJob sets a timer at which a job is to be placed.
func (q *timerQueue) placeJob(at time.Duration, j *job) {
	q.add(timer{at: at, kind: placeJobTimer, generation: j.generation, job: j})
}

// checkAttempt sets the timer of an attempt's next check. The one that was set before becomes void.
func (q *timerQueue) checkAttempt(at time.Duration, a *attempt) {
	a.generation++
	q.add(timer{at: at, kind: checkAttemptTimer, generation: a.generation, attempt: a})
}

// releaseToken sets a timer at which one of the executor's taken tokens is released.
func (q *timerQueue) releaseToken(at time.Duration, e *executor) {
	q.add(timer{at: at, kind: releaseTokenTimer, executor: e})
}

// checkAll sets a timer at which everything that depends on time alone is checked.
func (q *timerQueue) checkAll(at time.Duration) {
	q.add(timer{at: at, kind: checkAllTimer})
}

func (q *timerQueue) add(t timer) {
	q.sequence++
	t.sequence = q.sequence
	heap.Push(&q.heap, t)
}

// popDue removes and returns the first timer that is due, if there is one.
func (q *timerQueue) popDue(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// next returns the earliest due time, or Forever.
func (q *timerQueue) next() time.Duration {
	if len(q.heap) == 0 {
		return Forever
	}
	return q.heap[0].at
}

// timerHeap orders timers by time, then by the order in which they were set. Its methods are those of heap.Interface.
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
