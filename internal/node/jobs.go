package node

import (
	"container/heap"
	"slices"
	"time"

	"birchstair/policy"
)

// job is the state of a job. It is kept until the job has its final answer and none of the job's attempts is in flight.
type job struct {
	Job
	digest    IDDigest      // digest of the ID; set if the job must not run twice
	arrivedAt time.Duration // when the job arrived
	deadline  time.Duration // time by which the final answer is due
	// Time at which expireJobs handles the job next. This is first a quantum before the deadline, to abandon the job's
	// attempts, and then the deadline, to answer the job.
	expiresAt  time.Duration
	answered   bool    // whether the job has its final answer or needs none
	conns      []*conn // connections of the attempts in flight; two while an attempt is hedged, else at most one
	attempts   int     // number of attempts started so far
	mayHaveRun bool    // whether an attempt that has ended may have run the job
	arrival    int     // sequence number of the arrival, by which jobs that expire at the same time are ordered
	heapIndex  int     // index of the job in jobTable.unanswered
}

// nextAttemptID returns the ID of the next attempt, and counts the attempt as started.
func (j *job) nextAttemptID() policy.AttemptID {
	id := policy.AttemptID(j.attempts)
	j.attempts++
	return id
}

func (j *job) addConn(c *conn) { j.conns = append(j.conns, c) }

func (j *job) removeConn(c *conn) {
	j.conns = slices.DeleteFunc(j.conns, func(other *conn) bool { return other == c })
}

// connOf returns the connection that an attempt is assigned to, or nil.
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
	byDigest   map[IDDigest]*job // jobs that must not run twice
	unanswered jobHeap           // jobs without a final answer, ordered by expiry
	bodyBytes  int               // total size of the request bodies of all jobs
	arrivals   int               // number of jobs added so far
	// Job that the policy is deciding about, or nil. If the policy panics, this job fails unless it has an attempt in
	// flight.
	deciding *job
}

// add adds a job. The job expires for the first time a quantum before its deadline.
func (t *jobTable) add(j *job, quantum time.Duration) {
	t.byID[j.ID] = j
	if j.digest != (IDDigest{}) {
		t.byDigest[j.digest] = j
	}
	t.bodyBytes += len(j.Body)
	t.arrivals++
	j.arrival, j.expiresAt = t.arrivals, j.deadline-quantum
	heap.Push(&t.unanswered, j)
}

// markAnswered marks a job as answered.
func (t *jobTable) markAnswered(j *job) {
	j.answered = true
	heap.Remove(&t.unanswered, j.heapIndex)
}

// release removes a job if it is answered and none of its attempts is in flight. It reports whether it has removed the job.
func (t *jobTable) release(j *job) bool {
	if !j.answered || len(j.conns) > 0 || t.byID[j.ID] != j {
		return false
	}
	delete(t.byID, j.ID)
	delete(t.byDigest, j.digest)
	t.bodyBytes -= len(j.Body)
	return true
}

// inFlight returns the number of jobs without a final answer.
func (t *jobTable) inFlight() int { return len(t.unanswered) }

// first returns the unanswered job that expires first, or nil.
func (t *jobTable) first() *job {
	if len(t.unanswered) == 0 {
		return nil
	}
	return t.unanswered[0]
}

// postpone moves the expiry of a job to the job's deadline. The job must be the one that expires first.
func (t *jobTable) postpone(first *job) {
	first.expiresAt = first.deadline
	heap.Fix(&t.unanswered, first.heapIndex)
}

// limitDeadlines brings every job's deadline that is later than the given one forward to the given one.
func (t *jobTable) limitDeadlines(deadline, quantum time.Duration) {
	for _, j := range t.unanswered {
		j.deadline = min(j.deadline, deadline)
		j.expiresAt = min(j.expiresAt, deadline-quantum)
	}
	heap.Init(&t.unanswered)
}

// jobArrived adds a job and notifies the policy. The policy admits or rejects the job later, when it is asked to place
// the job. A job that would exceed a resource limit is rejected here.
func (n *Node) jobArrived(in Job) {
	if n.jobs.byID[in.ID] != nil {
		// The client left and submitted the job again under the same ID, while an attempt from before is still in
		// flight.
		n.metrics.countAnswer(in.Class, Failed)
		n.emit(Answer{Job: in.ID, Final: Failed, Reason: ReasonIDInUse})
		return
	}
	arrivedAt := n.now - in.Waited
	j := &job{Job: in, arrivedAt: arrivedAt, deadline: n.shutdown.limitDeadline(arrivedAt + in.Budget)}
	if n.mustNotRepeat(&in) {
		j.digest = digestOf(in.ID)
		if n.usedIDs.contains(j.digest, n.now) {
			n.metrics.countAnswer(in.Class, Failed)
			n.emit(Answer{Job: in.ID, Final: Failed, Reason: ReasonIDUsed})
			return
		}
	}
	if reason := n.overLimit(&in); reason != NoReason {
		n.metrics.countAnswer(in.Class, Rejected)
		n.emit(Answer{Job: in.ID, Final: Rejected, RetryAfter: n.limits.RetryAfter, Reason: reason})
		return
	}
	n.jobs.add(j, n.limits.Quantum)
	n.admit(j)
}

// submit gives a job to the policy.
func (n *Node) submit(j *job) {
	n.jobs.deciding = j
	n.policy.JobArrived(n.now, policy.Arrival{
		Job:         j.ID,
		Class:       j.Class,
		Tenant:      j.Tenant,
		Work:        min(j.Work, n.limits.MaxWork),
		Budget:      j.Budget,
		Waited:      n.now - j.arrivedAt,
		ClientRetry: j.ClientRetry,
	})
	n.jobs.deciding = nil
}

// overLimit returns which resource limit a new job would exceed, or NoReason.
func (n *Node) overLimit(in *Job) Reason {
	switch {
	case in.NearConnectionLimit:
		return ReasonConnLimit
	case in.NearMemoryLimit, n.jobs.bodyBytes+len(in.Body) > n.limits.MaxBodyBytes:
		return ReasonBodyLimit
	}
	return NoReason
}

// markAnswered marks a job as answered. The job is removed once none of its attempts is in flight.
func (n *Node) markAnswered(j *job) {
	n.jobs.markAnswered(j)
	n.releaseJob(j)
}

// releaseJob removes a job if it is answered and none of its attempts is in flight. If the job may have run and must not run
// again, its ID is remembered.
func (n *Node) releaseJob(j *job) {
	if n.jobs.release(j) && j.mayHaveRun && n.mustNotRepeat(&j.Job) {
		n.usedIDs.add(j.digest, n.now)
	}
}

// answer gives a job its final answer, unless it is already answered or its client has gone.
func (n *Node) answer(j *job, a Answer) {
	if j.answered {
		return
	}
	a.Job = j.ID
	n.metrics.countAnswer(j.Class, a.Final)
	n.emit(a)
	n.markAnswered(j)
}

// clientLeft handles a client that has closed its connection. Its job may already be gone: before an attempt's first
// byte is written, the client is checked once more (see attemptNotSent). That check can notice earlier than the
// frontend that the client has gone. Another client may then have submitted a job under the same ID, so the client is
// compared as well.
func (n *Node) clientLeft(ev ClientLeft) {
	if j := n.jobs.byID[ev.Job]; j != nil && j.Client == ev.Client {
		n.clientGone(j)
	}
}

// clientGone ends a job whose client has gone. The job needs no answer and gets no further attempts.
func (n *Node) clientGone(j *job) {
	if !j.answered {
		n.markAnswered(j)
		n.policy.ClientLeft(n.now, j.ID)
	}
}

// giveUpUnobservable answers a job of which no attempt may be sent any more, because its client may have left. The job is
// rejected if it certainly never ran or is idempotent. If another attempt of the job is in flight, the job waits for it.
func (n *Node) giveUpUnobservable(j *job) {
	if j.answered || len(j.conns) > 0 {
		return
	}
	a := Answer{Final: Rejected, RetryAfter: n.limits.RetryAfter, Reason: ReasonClientUnknown}
	if j.mayHaveRun && n.classes.idempotency[j.Class] != policy.Idempotent {
		a = Answer{Final: Failed, Reason: ReasonClientUnknown}
	}
	n.answer(j, a)
	n.policy.ClientLeft(n.now, j.ID)
}

// placeJob asks the policy what to do with a queued job, and applies the decision.
func (n *Node) placeJob(id policy.JobID) {
	j := n.jobs.byID[id]
	if j == nil {
		n.policy.ClientLeft(n.now, id)
		return
	}
	n.jobs.deciding = j
	n.applyDecision(j, n.policy.Place(n.now, id))
}

// applyDecision carries out the policy's decision about a job.
func (n *Node) applyDecision(j *job, decision policy.Decision) {
	n.jobs.deciding = nil
	switch decision.Action {
	case policy.Send:
		n.startAttempt(j, decision.Executor)
	case policy.Reject:
		n.answer(j, Answer{Final: Rejected, RetryAfter: decision.RetryAfter, Reason: ReasonPolicy})
	case policy.Fail:
		n.answer(j, Answer{Final: Failed, Reason: ReasonPolicy})
	}
}

// attemptOver notifies the policy of the outcome of an attempt, and applies the policy's next decision about the job.
func (n *Node) attemptOver(j *job, attempt policy.AttemptID, outcome policy.Outcome) {
	n.releaseJob(j)
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

// expireJobs abandons the attempts of each job shortly before the job's deadline. If the policy has not answered the
// job by the deadline, the job fails here, so that every job gets an answer.
func (n *Node) expireJobs() {
	for {
		j := n.jobs.first()
		if j == nil || j.expiresAt > n.now {
			return
		}
		if n.now >= j.deadline {
			n.answer(j, Answer{Final: Failed, Reason: ReasonDeadline})
			n.policy.ClientLeft(n.now, j.ID)
			continue
		}
		n.jobs.postpone(j)
		for _, c := range slices.Clone(j.conns) {
			n.abandonAttempt(c, policy.TimedOut)
		}
	}
}

// policyPanicked limits the effect of a panic of the policy to the job that the policy was deciding about, if any. That
// job fails unless it has an attempt in flight. The answer Failed leaves open whether the job ran. All other jobs go
// on, and the policy is called again after panicBackoff at the latest.
func (n *Node) policyPanicked(text string) {
	n.emit(Log{Text: text})
	if j := n.jobs.deciding; j != nil && len(j.conns) == 0 {
		n.answer(j, Answer{Final: Failed, Reason: ReasonPolicyPanic})
	}
	n.jobs.deciding = nil
	n.setTimer(n.now + panicBackoff)
}

// jobHeap implements heap.Interface for jobs ordered by expiry. It keeps each job's heapIndex up to date.
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
