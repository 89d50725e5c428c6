package policy

import (
	"container/heap"
	"time"
)

// timerQueue holds all due times in one ordered structure.
type timerQueue struct {
	heap     timerHeap
	sequence int // timers of the same moment fall due in the order in which they were set
}

// timer is one due time: of a job, of an attempt, of a token that is to be released, or of none: then all is checked.
type timer struct {
	at         time.Duration
	sequence   int
	generation int
	job        *job
	attempt    *attempt
	tokenOf    *executor
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// schedule notes a due time of a batch job, of a token that is to come free, or of neither: a look at everything.
func (d *Dispatcher) schedule(at time.Duration, j *job, token *executor) {
	d.timers.sequence++
	it := timer{at: at, sequence: d.timers.sequence, job: j, tokenOf: token}
	if j != nil {
		it.generation = j.generation
	}
	heap.Push(&d.timers.heap, it)
}

// scheduleCheck notes when an allocation that is out gets its next look; a look noted before falls away.
func (d *Dispatcher) scheduleCheck(at time.Duration, s *attempt) {
	d.timers.sequence++
	s.generation++
	heap.Push(&d.timers.heap, timer{at: at, sequence: d.timers.sequence, generation: s.generation, attempt: s})
}
