package leases

import (
	"container/heap"
	"slices"
	"time"

	"birchstair/policy"
)

// Settings are the operator's settings for durable jobs.
type Settings struct {
	MaxDispatched  int           // maximum number of jobs that the policy has at the same time
	AnswerTTL      time.Duration // how long a final answer is kept
	QueryExecutors bool          // whether executors support leases and can be queried about attempts
	QueryInterval  time.Duration // time between two queries about an attempt
}

// JobTable holds the state of all durable jobs of a node. Its methods return effects, which the caller carries out in
// the order returned. The methods are not safe for concurrent use.
type JobTable struct {
	settings   Settings
	jobs       map[ID]*job      // all jobs that are not forgotten
	byLease    map[LeaseID]*job // the same jobs
	waiting    waitHeap         // jobs in state Waiting
	dispatched int              // number of jobs in state Dispatched
	held       bool             // whether no job is submitted and no executor queried, because the executors are not known yet
	stopped    bool             // whether the node is shutting down

	timers   timerHeap
	wakeAt   time.Duration // time of the pending Wake effect, or wakeNotSet
	sequence int           // number of jobs and timers created so far; each takes its own sequence from it

	effects []Effect // effects of the current call, returned at its end
}

// NewJobTable creates an empty table.
func NewJobTable(settings Settings) *JobTable {
	return &JobTable{settings: settings, jobs: map[ID]*job{}, byLease: map[LeaseID]*job{}, wakeAt: wakeNotSet}
}

// State returns the state of a job, and false if there is no job with this ID.
func (t *JobTable) State(id ID) (State, bool) {
	j := t.jobs[id]
	if j == nil {
		return 0, false
	}
	return j.state, true
}

// JobOf returns the ID of the job to which a lease belongs, and false if that job is forgotten, even if another one has its ID.
func (t *JobTable) JobOf(lease LeaseID) (ID, bool) {
	j := t.byLease[lease]
	if j == nil {
		return "", false
	}
	return j.ID, true
}

// Answer returns the final answer of a job in state Done, without the result, which is on disk.
func (t *JobTable) Answer(id ID) Outcome { return t.jobs[id].final }

// Counts returns the number of jobs by state.
func (t *JobTable) Counts() (counts [len(stateNames)]int) {
	for _, j := range t.jobs {
		counts[j.state]++
	}
	return counts
}

func (t *JobTable) emit(effect Effect) { t.effects = append(t.effects, effect) }

// finish ends each call of a method: it submits waiting jobs to the policy, requests a Wake for the earliest timer and
// returns the effects of the call.
func (t *JobTable) finish(now time.Duration) []Effect {
	t.submitWaiting(now)
	t.setWake()
	effects := t.effects
	t.effects = nil
	return effects
}

// Accept adds a newly submitted job. It returns false if there already is a job with this ID.
func (t *JobTable) Accept(now time.Duration, submitted Job) ([]Effect, bool) {
	if t.jobs[submitted.ID] != nil {
		return nil, false
	}
	t.add(submitted)
	t.emit(StoreJob{submitted.ID})
	return t.finish(now), true
}

func (t *JobTable) add(added Job) *job {
	t.sequence++
	j := &job{Job: added, sequence: t.sequence, heapIndex: -1}
	t.jobs[added.ID], t.byLease[added.Lease] = j, j
	t.schedule(added.Deadline, j)
	return j
}

// JobNotStored reports that a job's record could not be written. The table forgets the job, and the caller must inform
// the client.
func (t *JobTable) JobNotStored(now time.Duration, id ID) []Effect {
	if j := t.jobs[id]; j != nil && j.state == Storing {
		t.drop(j)
	}
	return t.finish(now)
}

// JobStored reports that a job's record is on disk. Only now is the job acknowledged, and only now can it be submitted
// to the policy.
func (t *JobTable) JobStored(now time.Duration, id ID) []Effect {
	if j := t.jobs[id]; j != nil && j.state == Storing {
		t.emit(Acknowledge{id})
		t.enqueue(j)
	}
	return t.finish(now)
}

// enqueue adds a job to those that wait until the policy has room for them.
func (t *JobTable) enqueue(j *job) {
	j.state = Waiting
	heap.Push(&t.waiting, j)
}

// submitWaiting submits waiting jobs to the policy until it has Settings.MaxDispatched jobs. Jobs with the earliest
// deadlines come first.
func (t *JobTable) submitWaiting(now time.Duration) {
	for !t.held && !t.stopped && t.dispatched < t.settings.MaxDispatched && len(t.waiting) > 0 {
		j := heap.Pop(&t.waiting).(*job)
		switch {
		case now >= j.Deadline:
			t.expire(j)
		case now >= j.retryUntil():
			t.query(now, j)
		default:
			j.state, j.sendUntil = Dispatched, min(j.Deadline, j.retryUntil())
			t.dispatched++
			t.emit(Submit{j.ID, j.Lease, j.PolicyClass, j.sendUntil})
		}
	}
}

// Hold stops submitting jobs and querying executors until Release is called. Jobs whose deadlines pass in the meantime are
// answered.
func (t *JobTable) Hold() { t.held = true }

// Release submits and queries what was held back. What is no longer safe to send is not submitted.
func (t *JobTable) Release(now time.Duration) []Effect {
	if !t.held {
		return t.finish(now)
	}
	t.held = false
	var querying []*job
	for _, j := range t.jobs {
		if j.state == Querying && !j.queryInFlight {
			querying = append(querying, j)
		}
	}
	slices.SortFunc(querying, func(a, b *job) int { return a.sequence - b.sequence })
	for _, j := range querying {
		t.query(now, j)
	}
	return t.finish(now)
}

// AttemptStarted reports that the policy starts an attempt of a job on an executor. It returns the epoch of the
// attempt, or 0 if the job is not in state Dispatched, if it is too late to send the job or if its class allows no further
// attempt. The attempt is sent once its record is on disk.
func (t *JobTable) AttemptStarted(now time.Duration, id ID, executor policy.ExecutorID) (Epoch, []Effect) {
	j := t.jobs[id]
	if j == nil || j.state != Dispatched || now >= j.sendableUntil(0) {
		return 0, t.finish(now)
	}
	if !j.mayStart() {
		t.withdrawIdle(j)
		return 0, t.finish(now)
	}
	j.inFlight++
	attempt := Attempt{Epoch: Epoch(len(j.attempts) + 1), Lease: j.Lease, Executor: executor, At: now}
	j.attempts = append(j.attempts, attempt)
	t.emit(StoreAttempt{id, attempt})
	return attempt.Epoch, t.finish(now)
}

// withdrawIdle answers a job whose class allows no further attempt, and takes it back from the policy. If an attempt is in flight,
// that attempt's end decides the answer.
func (t *JobTable) withdrawIdle(j *job) {
	if j.inFlight > 0 {
		return
	}
	t.dispatched--
	t.finalize(j, Failed, nil)
	t.emit(Withdraw{j.ID, j.Lease})
}

// AttemptStored reports that the record of an attempt is on disk. The attempt is sent, unless the job has left state
// Dispatched or the policy has started a later attempt in the meantime. If it is too late to send it, it is dropped.
func (t *JobTable) AttemptStored(now time.Duration, id ID, epoch Epoch) []Effect {
	j := t.jobs[id]
	switch {
	case j == nil || j.state != Dispatched || int(epoch) != len(j.attempts):
	case now >= j.sendableUntil(epoch):
		t.emit(DropAttempt{id, epoch})
	default:
		t.emit(SendAttempt{id, epoch})
	}
	return t.finish(now)
}

// AttemptEnded reports that an attempt has ended. If the attempt provably never ran, a record of this is written: after
// a crash, the node would otherwise have to assume that the attempt may have run.
func (t *JobTable) AttemptEnded(now time.Duration, id ID, epoch Epoch, neverRan bool) []Effect {
	j := t.jobs[id]
	if j == nil || epoch < 1 || int(epoch) > len(j.attempts) {
		return t.finish(now)
	}
	j.inFlight = max(0, j.inFlight-1)
	if neverRan && !j.attempts[epoch-1].NeverRan {
		j.markNeverRan(epoch)
		t.emit(StoreNeverRan{id, epoch})
	}
	return t.finish(now)
}

// Answered reports the policy's answer, which becomes the final one. During a shutdown only a success becomes final: a
// job that was rejected or has failed stays on disk, and is submitted again or queried about at the next start.
func (t *JobTable) Answered(now time.Duration, id ID, answer Outcome, result []byte) []Effect {
	j := t.jobs[id]
	if j == nil || j.state != Dispatched {
		return t.finish(now)
	}
	t.dispatched--
	if answer == Rejected && j.Class.Idempotency != policy.Idempotent && j.firstPossibleRun() != nil {
		answer = Failed // the policy doesn't know of attempts from before a restart
	}
	if t.stopped && answer != Succeeded {
		t.enqueue(j)
		return t.finish(now)
	}
	t.finalize(j, answer, result)
	return t.finish(now)
}

// finalize gives a job its final answer, and emits the effect that writes it to disk.
func (t *JobTable) finalize(j *job, final Outcome, result []byte) {
	j.state, j.final = StoringFinal, final
	j.cancelTimers()
	t.emit(StoreFinal{j.ID, final, result})
}

// expire answers a job for which it is too late to be submitted. The answer is Rejected if provably no attempt ran or
// the job is idempotent, and Failed otherwise.
func (t *JobTable) expire(j *job) {
	final := Failed
	if j.firstPossibleRun() == nil || j.Class.Idempotency == policy.Idempotent {
		final = Rejected
	}
	t.finalize(j, final, nil)
}

// FinalStored reports that a final answer is on disk. Only now do clients receive the answer.
func (t *JobTable) FinalStored(now time.Duration, id ID) []Effect {
	if j := t.jobs[id]; j != nil && j.state == StoringFinal {
		t.retain(j, now+t.settings.AnswerTTL)
		t.emit(Publish{id})
	}
	return t.finish(now)
}

// retain puts a job into state Done, and forgets the job at the given time.
func (t *JobTable) retain(j *job, until time.Duration) {
	j.state = Done
	j.cancelTimers()
	t.schedule(until, j)
}

// Forget removes a job whose answer the client no longer needs. It returns false if the job is not in state Done.
func (t *JobTable) Forget(now time.Duration, id ID) ([]Effect, bool) {
	j := t.jobs[id]
	if j == nil || j.state != Done {
		return nil, false
	}
	t.forget(j)
	return t.finish(now), true
}

func (t *JobTable) forget(j *job) {
	t.drop(j)
	t.emit(StoreForget{j.ID})
}

// drop removes a job from the table.
func (t *JobTable) drop(j *job) {
	j.cancelTimers()
	delete(t.jobs, j.ID)
	delete(t.byLease, j.Lease)
}

// Stop reports that the node is shutting down. No more jobs are submitted to the policy.
func (t *JobTable) Stop(now time.Duration) []Effect {
	t.stopped = true
	return t.finish(now)
}

// waitHeap is a heap of jobs ordered by deadline, for container/heap. It keeps each job's heapIndex up to date.
type waitHeap []*job

// Len implements heap.Interface.
func (h waitHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waitHeap) Less(i, j int) bool {
	return h[i].Deadline < h[j].Deadline || h[i].Deadline == h[j].Deadline && h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	x.(*job).heapIndex = len(*h)
	*h = append(*h, x.(*job))
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
