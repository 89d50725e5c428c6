package leases

import (
	"container/heap"
	"time"
)

// wakeNotSet is no time that a Wake effect is ever for.
const wakeNotSet time.Duration = -1

// Wake does what is due: jobs past their deadlines are answered, executors are asked again, answers that were kept for long
// enough are forgotten.
func (b *JobTable) Wake(now time.Duration) []Effect {
	b.wakeAt = wakeNotSet
	for len(b.timers) > 0 && b.timers[0].at <= now {
		t := heap.Pop(&b.timers).(timer)
		if t.generation == t.job.timerGeneration {
			b.timerFired(now, t.job)
		}
	}
	return b.finish(now)
}

func (b *JobTable) timerFired(now time.Duration, j *job) {
	switch j.state {
	case Waiting:
		heap.Remove(&b.waiting, j.heapIndex)
		b.expire(j)
	case Querying:
		if now >= j.Deadline {
			b.finalize(j, Failed, nil)
		} else {
			b.query(now, j)
		}
	case Done:
		b.forget(j)
	}
}

// setWake asks for a call of Wake when the first timer is due, unless that has been asked for already.
func (b *JobTable) setWake() {
	if len(b.timers) > 0 && b.timers[0].at != b.wakeAt {
		b.wakeAt = b.timers[0].at
		b.emit(Wake{b.wakeAt})
	}
}

// schedule sets a timer of a job.
func (b *JobTable) schedule(at time.Duration, j *job) {
	b.sequence++
	heap.Push(&b.timers, timer{at, b.sequence, j.timerGeneration, j})
}

// cancelTimers makes the timers that are set for the job void.
func (j *job) cancelTimers() { j.timerGeneration++ }

type timer struct {
	at         time.Duration
	sequence   int // orders timers of the same time
	generation int // of the job when it was set
	job        *job
}

// timerHeap is a heap of timers by time, for container/heap.
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
