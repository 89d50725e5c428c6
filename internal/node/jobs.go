package node

import (
	"container/heap"
	"slices"
	"time"

	"birchstair/policy"
)

// job is a batch job in hand: from its arrival until it is answered and nothing of it is out.
type job struct {
	Job
	deadline  time.Duration
	answered  bool
	conns     []*conn // of the allocations that are out: two at most, and a second one only where the module copies
	attempts  int
	expiresAt time.Duration
	arrival   int // of those due at the same time
	heapIndex int // in the heap
}

// jobArrived takes a batch job, or, at the edge of descriptors or memory, pushes it back: nothing of it was sent.
func (n *Node) jobArrived(in Job) {
	if n.jobs[in.ID] != nil {
		// Its client left it, and came again under the same id while an allocation of it is still out.
		n.metrics.countAnswer(in.Class, Failed)
		n.emit(Answer{Job: in.ID, Final: Failed})
		return
	}
	if in.NearConnectionLimit || n.bodyBytes+len(in.Body) > n.limits.MaxBodyBytes {
		n.metrics.countAnswer(in.Class, Rejected)
		n.emit(Answer{Job: in.ID, Final: Rejected, RetryAfter: n.limits.RetryAfter})
		return
	}
	j := &job{Job: in, deadline: n.now + in.Budget}
	if n.stopping {
		j.deadline = min(j.deadline, n.deadline)
	}
	n.jobs[j.ID] = j
	n.bodyBytes += len(j.Body)
	n.arrivals++
	j.arrival, j.expiresAt = n.arrivals, j.deadline-n.limits.Quantum
	heap.Push(&n.unanswered, j)
	n.deciding = j
	n.policy.JobArrived(n.now, policy.Arrival{Job: j.ID, Class: j.Class, Tenant: j.Tenant, Work: min(j.Work, n.limits.MaxWork),
		Budget: j.Budget, ClientRetry: j.ClientRetry})
	n.deciding = nil
}

// answer gives the final answer, unless it is given or the client has left.
func (n *Node) answer(j *job, a Answer) {
	if !j.answered {
		a.Job = j.ID
		n.metrics.countAnswer(j.Class, a.Final)
		n.emit(a)
		n.settle(j)
	}
}

// clientLeft handles a client that has closed its connection. Its job may have ended already, and the ID may have been used
// again by another client: the last check before an attempt's first byte can see a client leave before the frontend does.
func (n *Node) clientLeft(ev ClientLeft) {
	if j := n.jobs[ev.Job]; j != nil && j.Client == ev.Client {
		n.clientGone(j)
	}
}

// clientGone ends a job whose client has gone: it needs no answer and gets no further attempts.
func (n *Node) clientGone(j *job) {
	if !j.answered {
		n.settle(j)
		n.policy.ClientLeft(n.now, j.ID)
	}
}

// settle notes that nothing more is owed for a batch job.
func (n *Node) settle(j *job) {
	j.answered = true
	heap.Remove(&n.unanswered, j.heapIndex)
	n.release(j)
}

// release gives a batch job back, once it has its answer and nothing of it is out.
func (n *Node) release(j *job) {
	if j.answered && len(j.conns) == 0 && n.jobs[j.ID] == j {
		delete(n.jobs, j.ID)
		n.bodyBytes -= len(j.Body)
	}
}

// applyDecision does what the module decided for a batch job.
func (n *Node) applyDecision(j *job, what policy.Decision) {
	n.deciding = nil
	switch what.Action {
	case policy.Send:
		n.startAttempt(j, what.Executor)
	case policy.Reject:
		n.answer(j, Answer{Final: Rejected, RetryAfter: what.RetryAfter})
	case policy.Fail:
		n.answer(j, Answer{Final: Failed})
	}
}

// attemptOver tells the module of an allocation's end and does what follows.
func (n *Node) attemptOver(j *job, a policy.AttemptID, how policy.Outcome) {
	n.release(j)
	n.deciding = j
	n.applyDecision(j, n.policy.AttemptEnded(n.now, j.ID, a, how, j.answered))
}

// policyPanicked keeps a panic of the module to the batch job that it met: that one is broken off, which promises nothing,
// and all others go on.
func (n *Node) policyPanicked(text string) {
	n.emit(Log{Text: text})
	if j := n.deciding; j != nil && len(j.conns) == 0 {
		n.answer(j, Answer{Final: Failed})
	}
	n.deciding = nil
	n.setTimer(n.now + panicBackoff)
}

// expireJobs stops what is out at its outer limit. What the module has left without an answer even then is broken
// off here, or a batch job that was taken would be lost.
func (n *Node) expireJobs() {
	for len(n.unanswered) > 0 && n.unanswered[0].expiresAt <= n.now {
		j := n.unanswered[0]
		if n.now >= j.deadline {
			n.answer(j, Answer{Final: Failed})
			n.policy.ClientLeft(n.now, j.ID)
			continue
		}
		j.expiresAt = j.deadline
		heap.Fix(&n.unanswered, 0)
		for _, c := range slices.Clone(j.conns) {
			n.abandonAttempt(c, policy.TimedOut)
		}
	}
}

// jobHeap is a heap of batch jobs by when they are due; each knows its place in it.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, j int) bool {
	return h[i].expiresAt < h[j].expiresAt || h[i].expiresAt == h[j].expiresAt && h[i].arrival < h[j].arrival
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *jobHeap) Push(x any) {
	x.(*job).heapIndex = len(*h)
	*h = append(*h, x.(*job))
}

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
