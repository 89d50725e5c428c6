package leases

import (
	"container/heap"
	"time"

	"birchstair/policy"
)

// Settings are the operator's settings for durable jobs.
type Settings struct {
	MaxDispatched  int           // the most jobs that the policy has at a time
	AnswerTTL      time.Duration // how long a final answer is kept
	QueryExecutors bool          // executors take part in leases and can be asked
	QueryInterval  time.Duration // the interval between two questions about an attempt
}

// JobTable is the state of all durable jobs of a node. Its methods return effects that are to be carried out in order; they are not
// safe for concurrent use.
type JobTable struct {
	settings   Settings
	jobs       map[ID]*job
	waiting    waitHeap // jobs in state Waiting
	dispatched int      // jobs in state Dispatched
	stopped    bool     // the node is shutting down

	timers   timerHeap
	wakeAt   time.Duration // the time of the last Wake effect, or wakeNotSet
	sequence int

	effects []Effect // of the current call
}

// NewJobTable creates an empty book.
func NewJobTable(s Settings) *JobTable {
	return &JobTable{settings: s, jobs: map[ID]*job{}, wakeAt: wakeNotSet}
}

// State returns the state of a job, and false if there is none of this ID.
func (b *JobTable) State(id ID) (State, bool) {
	j := b.jobs[id]
	if j == nil {
		return 0, false
	}
	return j.state, true
}

// Answer returns the final answer of a job that is Done.
func (b *JobTable) Answer(id ID) (Outcome, []byte) {
	j := b.jobs[id]
	return j.final, j.result
}

// Counts returns the number of jobs by state.
func (b *JobTable) Counts() (counts [len(stateNames)]int) {
	for _, j := range b.jobs {
		counts[j.state]++
	}
	return counts
}

func (b *JobTable) emit(e Effect) { b.effects = append(b.effects, e) }

// finish ends a call: it gives waiting jobs to the policy and returns the effects.
func (b *JobTable) finish(now time.Duration) []Effect {
	b.submitWaiting(now)
	b.setWake()
	effects := b.effects
	b.effects = nil
	return effects
}

// Accept takes in a new job. It returns false if there is a job of this ID already.
func (b *JobTable) Accept(now time.Duration, in Job) ([]Effect, bool) {
	if b.jobs[in.ID] != nil {
		return nil, false
	}
	b.add(in)
	b.emit(StoreJob{in.ID})
	return b.finish(now), true
}

func (b *JobTable) add(in Job) *job {
	b.sequence++
	j := &job{Job: in, sequence: b.sequence, heapIndex: -1}
	b.jobs[in.ID] = j
	b.schedule(in.Deadline, j)
	return j
}

// JobNotStored reports that a job's record could not be written. The job is forgotten; the caller tells the client.
func (b *JobTable) JobNotStored(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Storing {
		delete(b.jobs, id)
		j.cancelTimers()
	}
	return b.finish(now)
}

// JobStored reports that a job's record is on disk. Only now it is acknowledged and may be given to the policy.
func (b *JobTable) JobStored(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Storing {
		b.emit(Acknowledge{id})
		b.enqueue(j)
	}
	return b.finish(now)
}

// enqueue lets a job wait for the policy.
func (b *JobTable) enqueue(j *job) {
	j.state = Waiting
	heap.Push(&b.waiting, j)
}

// submitWaiting gives the policy as many jobs as it has room for, those with the nearest deadlines first.
func (b *JobTable) submitWaiting(now time.Duration) {
	for !b.stopped && b.dispatched < b.settings.MaxDispatched && len(b.waiting) > 0 {
		j := heap.Pop(&b.waiting).(*job)
		until := min(j.Deadline, j.retryUntil())
		if now >= until {
			b.expire(j)
			continue
		}
		j.state = Dispatched
		b.dispatched++
		b.emit(Submit{j.ID, until - now})
	}
}

// AttemptStarted reports that the policy sends a job to an executor. It returns the epoch of the attempt, which goes out once its record is
// on disk, or 0 if the policy doesn't have the job.
func (b *JobTable) AttemptStarted(now time.Duration, id ID, to policy.ExecutorID) (Epoch, []Effect) {
	j := b.jobs[id]
	if j == nil || j.state != Dispatched {
		return 0, b.finish(now)
	}
	s := Attempt{Epoch: Epoch(len(j.attempts) + 1), Executor: to, At: now}
	j.attempts = append(j.attempts, s)
	b.emit(StoreAttempt{id, s})
	return s.Epoch, b.finish(now)
}

// AttemptStored reports that the record of an attempt is on disk. The attempt goes out, unless the job has its answer or a later
// attempt by now.
func (b *JobTable) AttemptStored(now time.Duration, id ID, e Epoch) []Effect {
	if j := b.jobs[id]; j != nil && j.state == Dispatched && int(e) == len(j.attempts) {
		b.emit(SendAttempt{id, e})
	}
	return b.finish(now)
}

// AttemptEnded reports that an attempt is over. If it provably never ran, that is recorded, so that a crash doesn't leave it in doubt.
func (b *JobTable) AttemptEnded(now time.Duration, id ID, e Epoch, neverRan bool) []Effect {
	if j := b.jobs[id]; j != nil && neverRan && e >= 1 && int(e) <= len(j.attempts) && !j.attempts[e-1].NeverRan {
		j.markNeverRan(e)
		b.emit(StoreNeverRan{id, e})
	}
	return b.finish(now)
}

// Answered reports the policy's answer, which becomes final. During a shutdown only a result is final: a job that was rejected
// stays on disk for the next start, and one that failed is asked about then.
func (b *JobTable) Answered(now time.Duration, id ID, answer Outcome, result []byte) []Effect {
	j := b.jobs[id]
	if j == nil || j.state != Dispatched {
		return b.finish(now)
	}
	b.dispatched--
	if answer == Rejected && j.Class.Idempotency != policy.Idempotent && j.firstPossibleRun() != nil {
		answer = Failed // the policy doesn't know of attempts from before a restart
	}
	if b.stopped && answer != Succeeded {
		b.enqueue(j)
		return b.finish(now)
	}
	b.finalize(j, answer, result)
	return b.finish(now)
}

// finalize gives a job its final answer, to be written to disk.
func (b *JobTable) finalize(j *job, final Outcome, result []byte) {
	j.state, j.final, j.result = StoringFinal, final, result
	j.cancelTimers()
	b.emit(StoreFinal{j.ID, final, result})
}

// expire answers a job that was not done by its deadline. A rejection promises that it did not run.
func (b *JobTable) expire(j *job) {
	final := Failed
	if j.firstPossibleRun() == nil || j.Class.Idempotency == policy.Idempotent {
		final = Rejected
	}
	b.finalize(j, final, nil)
}

// FinalStored reports that a final answer is on disk. Only now clients get it.
func (b *JobTable) FinalStored(now time.Duration, id ID) []Effect {
	if j := b.jobs[id]; j != nil && j.state == StoringFinal {
		b.retain(j, now+b.settings.AnswerTTL)
		b.emit(Publish{id, j.final, j.result})
	}
	return b.finish(now)
}

// retain keeps a job that is done until a time.
func (b *JobTable) retain(j *job, until time.Duration) {
	j.state = Done
	j.cancelTimers()
	b.schedule(until, j)
}

// Forget forgets a job that the client is done with. It returns false if the job is not Done.
func (b *JobTable) Forget(now time.Duration, id ID) ([]Effect, bool) {
	j := b.jobs[id]
	if j == nil || j.state != Done {
		return nil, false
	}
	b.forget(j)
	return b.finish(now), true
}

func (b *JobTable) forget(j *job) {
	j.cancelTimers()
	delete(b.jobs, j.ID)
	b.emit(StoreForget{j.ID})
}

// Stop reports that the node is shutting down. The policy is given no more jobs.
func (b *JobTable) Stop(now time.Duration) []Effect {
	b.stopped = true
	return b.finish(now)
}

// waitHeap is a heap of jobs by their deadlines, for container/heap; each job knows its index.
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
