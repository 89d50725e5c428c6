package node

import (
	"container/heap"
	"slices"
	"time"

	"birchstair/policy"
)

// job is a job from its arrival until it has its final answer and no attempt of it is in flight.
type job struct {
	Job
	deadline  time.Duration // when the final answer is due
	expiresAt time.Duration // when expireJobs looks at it next: shortly before the deadline, then at the deadline
	answered  bool
	conns     []*conn // of the attempts in flight: one, or two while an attempt is hedged
	attempts  int     // started so far
	arrival   int     // orders jobs that expire at the same time
	heapIndex int     // in jobTable.unanswered
}

// nextAttemptID returns the number of the next attempt, which counts as started.
func (j *job) nextAttemptID() policy.AttemptID {
	id := policy.AttemptID(j.attempts)
	j.attempts++
	return id
}

func (j *job) addConn(c *conn) { j.conns = append(j.conns, c) }

func (j *job) removeConn(c *conn) {
	j.conns = slices.DeleteFunc(j.conns, func(other *conn) bool { return other == c })
}

// connOf finds the connection that an attempt was assigned to, or nil.
func (j *job) connOf(attempt policy.AttemptID) *conn {
	i := slices.IndexFunc(j.conns, func(c *conn) bool { return c.attempt == attempt })
	if i < 0 {
		return nil
	}
	return j.conns[i]
}

// jobTable holds all jobs of the node.
type jobTable struct {
	byID       map[policy.JobID]*job
	unanswered jobHeap // jobs without a final answer, the first to expire in front
	bodyBytes  int     // of all jobs
	arrivals   int     // so far
	deciding   *job    // the job that the policy is deciding about, to be failed if the policy panics
}

// add takes in a job that is to be answered by its deadline.
func (t *jobTable) add(j *job, quantum time.Duration) {
	t.byID[j.ID] = j
	t.bodyBytes += len(j.Body)
	t.arrivals++
	j.arrival, j.expiresAt = t.arrivals, j.deadline-quantum
	heap.Push(&t.unanswered, j)
}

// settle marks a job as answered.
func (t *jobTable) settle(j *job) {
	j.answered = true
	heap.Remove(&t.unanswered, j.heapIndex)
	t.release(j)
}

// release forgets a job once it is answered and no attempt of it is in flight.
func (t *jobTable) release(j *job) {
	if j.answered && len(j.conns) == 0 && t.byID[j.ID] == j {
		delete(t.byID, j.ID)
		t.bodyBytes -= len(j.Body)
	}
}

// inFlight is the number of jobs without a final answer.
func (t *jobTable) inFlight() int { return len(t.unanswered) }

// first is the unanswered job that expires first, or nil.
func (t *jobTable) first() *job {
	if len(t.unanswered) == 0 {
		return nil
	}
	return t.unanswered[0]
}

// postpone moves the expiry of the first job to its deadline.
func (t *jobTable) postpone(first *job) {
	first.expiresAt = first.deadline
	heap.Fix(&t.unanswered, first.heapIndex)
}

// limitDeadlines brings all deadlines forward that are later than this one.
func (t *jobTable) limitDeadlines(deadline, quantum time.Duration) {
	for _, j := range t.unanswered {
		j.deadline = min(j.deadline, deadline)
		j.expiresAt = min(j.expiresAt, deadline-quantum)
	}
	heap.Init(&t.unanswered)
}

// jobArrived takes a job in and tells the policy, which admits or rejects it when it is asked for a placement. A job that
// would exceed a resource limit is rejected here.
func (n *Node) jobArrived(in Job) {
	if n.jobs.byID[in.ID] != nil {
		// The client left and submitted the job again under the same ID while an attempt of it is still in flight.
		n.metrics.countAnswer(in.Class, Failed)
		n.emit(Answer{Job: in.ID, Final: Failed})
		return
	}
	if in.NearConnectionLimit || n.jobs.bodyBytes+len(in.Body) > n.limits.MaxBodyBytes {
		n.metrics.countAnswer(in.Class, Rejected)
		n.emit(Answer{Job: in.ID, Final: Rejected, RetryAfter: n.limits.RetryAfter})
		return
	}
	j := &job{Job: in, deadline: n.shutdown.limitDeadline(n.now + in.Budget)}
	n.jobs.add(j, n.limits.Quantum)
	n.jobs.deciding = j
	n.policy.JobArrived(n.now, policy.Arrival{
		Job:         j.ID,
		Class:       j.Class,
		Tenant:      j.Tenant,
		Work:        min(j.Work, n.limits.MaxWork),
		Budget:      j.Budget,
		ClientRetry: j.ClientRetry,
	})
	n.jobs.deciding = nil
}

// answer gives a job its final answer, unless it has one or its client has gone.
func (n *Node) answer(j *job, a Answer) {
	if j.answered {
		return
	}
	a.Job = j.ID
	n.metrics.countAnswer(j.Class, a.Final)
	n.emit(a)
	n.jobs.settle(j)
}

// clientLeft handles a client that has closed its connection. Its job may have ended already, and the ID may have been used
// again by another client: the last check before an attempt's first byte can see a client leave before the frontend does.
func (n *Node) clientLeft(ev ClientLeft) {
	if j := n.jobs.byID[ev.Job]; j != nil && j.Client == ev.Client {
		n.clientGone(j)
	}
}

// clientGone ends a job whose client has gone: it needs no answer and gets no further attempts.
func (n *Node) clientGone(j *job) {
	if !j.answered {
		n.jobs.settle(j)
		n.policy.ClientLeft(n.now, j.ID)
	}
}

// placeJob asks the policy what to do with a waiting job, and does it.
func (n *Node) placeJob(id policy.JobID) {
	j := n.jobs.byID[id]
	if j == nil {
		n.policy.ClientLeft(n.now, id)
		return
	}
	n.jobs.deciding = j
	n.applyDecision(j, n.policy.Place(n.now, id))
}

// applyDecision does what the policy decided about a job.
func (n *Node) applyDecision(j *job, decision policy.Decision) {
	n.jobs.deciding = nil
	switch decision.Action {
	case policy.Send:
		n.startAttempt(j, decision.Executor)
	case policy.Reject:
		n.answer(j, Answer{Final: Rejected, RetryAfter: decision.RetryAfter})
	case policy.Fail:
		n.answer(j, Answer{Final: Failed})
	}
}

// attemptOver tells the policy the outcome of an attempt, and does what it decides next.
func (n *Node) attemptOver(j *job, attempt policy.AttemptID, outcome policy.Outcome) {
	n.jobs.release(j)
	n.jobs.deciding = j
	n.applyDecision(j, n.policy.AttemptEnded(n.now, j.ID, attempt, outcome, j.answered))
}

// cancelAttempt stops waiting for an attempt that the policy no longer wants.
func (n *Node) cancelAttempt(id policy.JobID, attempt policy.AttemptID) {
	j := n.jobs.byID[id]
	if j == nil {
		return
	}
	if c := j.connOf(attempt); c != nil {
		n.abandonAttempt(c, policy.Canceled)
	}
}

// expireJobs abandons the attempts of jobs shortly before their deadlines. A job that the policy has not answered by its
// deadline is failed here, so that every job gets an answer.
func (n *Node) expireJobs() {
	for {
		j := n.jobs.first()
		if j == nil || j.expiresAt > n.now {
			return
		}
		if n.now >= j.deadline {
			n.answer(j, Answer{Final: Failed})
			n.policy.ClientLeft(n.now, j.ID)
			continue
		}
		n.jobs.postpone(j)
		for _, c := range slices.Clone(j.conns) {
			n.abandonAttempt(c, policy.TimedOut)
		}
	}
}

// policyPanicked limits a panic of the policy to the job that it was deciding about, if any: without an attempt on a connection
// that job fails, which promises nothing about whether it ran. All others go on, and the policy is asked again after
// panicBackoff.
func (n *Node) policyPanicked(text string) {
	n.emit(Log{Text: text})
	if j := n.jobs.deciding; j != nil && len(j.conns) == 0 {
		n.answer(j, Answer{Final: Failed})
	}
	n.jobs.deciding = nil
	n.setTimer(n.now + panicBackoff)
}

// jobHeap is a heap of jobs by their expiry, for container/heap; each job knows its index.
type jobHeap []*job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool {
	return h[i].expiresAt < h[j].expiresAt || h[i].expiresAt == h[j].expiresAt && h[i].arrival < h[j].arrival
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	x.(*job).heapIndex = len(*h)
	*h = append(*h, x.(*job))
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
