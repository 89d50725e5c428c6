package invariants

import (
	"container/heap"
	"time"
)

// deadline is a time by which a batch job must have its answer.
type deadline struct {
	at          time.Duration
	order       int // number in the order of scheduling, which decides between equal times
	key         jobKey
	jobDeadline time.Duration // the job's deadline; 0 if the job was given up on and its answer is due at once
}

func (c *Checker) schedule(at time.Duration, key jobKey, limit time.Duration) {
	c.deadlineOrder++
	heap.Push(&c.deadlines, deadline{at, c.deadlineOrder, key, limit})
}

// AdvanceTo advances the time without an event. A missing answer that was due before now is a violation.
func (c *Checker) AdvanceTo(now time.Duration) {
	for len(c.deadlines) > 0 && c.deadlines[0].at < now {
		c.expire(heap.Pop(&c.deadlines).(deadline))
	}
}

func (c *Checker) expire(d deadline) {
	j := c.jobs[d.key]
	if j == nil || j.answered || j.closed || j.excused {
		return
	}
	about := subject{job: d.key, work: j.work}
	switch {
	case j.clientLeft: // no answer is needed
		if d.jobDeadline == j.deadline {
			j.closed = true
			c.forget(d.key, j)
		}
	case d.jobDeadline == 0 && j.givenUp:
		c.report(PromptAnswer, d.at, about, "%s was given up on at %.3fs and has no answer %v later", d.key.id, j.givenUpAt.Seconds(), c.settings.PromptWithin)
	case d.jobDeadline == j.deadline:
		c.report(OneAnswer, d.at, about, "%s has no final answer by its limit", d.key.id)
		j.closed = true // so that the missing answer is reported once
		c.forget(d.key, j)
	}
}

// deadlineHeap orders deadlines by time. It implements heap.Interface.
type deadlineHeap []deadline

// Len implements sort.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

// Swap implements sort.Interface.
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
