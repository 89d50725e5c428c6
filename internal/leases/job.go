package leases

import (
	"math"
	"time"

	"birchstair/policy"
)

// ID is a client's ID of a durable job.
type ID string

// Epoch numbers the attempts of a job from 1, across restarts of its node.
type Epoch uint32

// State is the state of a job; see the package comment.
type State int

// The states.
const (
	Storing State = iota
	Waiting
	Dispatched
	Querying
	StoringFinal
	Done
)

// stateNames are the names of the states, for logs and tests; clients get those of package durable.
var stateNames = [...]string{"keeping", "waiting", "in hand", "asking", "closing", "done"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Outcome is the kind of a final answer. The values are those of package node.
type Outcome int

// The kinds of final answers.
const (
	Succeeded Outcome = iota
	Rejected          // the job did not run, or may run again
	Failed            // the job may have run
)

// JobClass is what a job's class says about attempts that may have run.
type JobClass struct {
	Idempotency policy.Idempotency
	DedupGroup  policy.DedupGroup
	DedupWindow time.Duration // for jobs with an idempotency key, less the time that a connection takes to come up
}

// Job is a durable job as it was submitted. Times are times of day, as durations since 1970.
type Job struct {
	ID       ID
	Class    JobClass
	Deadline time.Duration // the deadline
}

// Attempt is an attempt.
type Attempt struct {
	Epoch    Epoch
	Executor policy.ExecutorID
	At       time.Duration
	NeverRan bool // it is over, and provably never ran
}

// QueryResult is what an executor says of an epoch.
type QueryResult int

// What an executor can say.
const (
	QueryUnanswered  QueryResult = iota // no answer, or an unreadable one
	QueryUnsupported                    // the executor doesn't take part in leases
	QueryNeverRan                       // it has not started the attempt, and refuses it from now on
	QueryRunning                        // the attempt is running
	QueryFinished                       // the attempt has finished, and the result is at hand
	QueryLost                           // the attempt may have started, but the executor has restarted since and knows nothing more
)

// forever is a time that never comes.
const forever = time.Duration(math.MaxInt64)

// job is a job with its state.
type job struct {
	Job
	state         State
	attempts      []Attempt // by epoch, from 1
	queryInFlight bool      // while Querying: a QueryAttempt is unanswered
	final         Outcome
	result        []byte

	sequence        int // orders jobs with the same deadline
	heapIndex       int // in JobTable.waiting
	timerGeneration int // timers of an earlier generation don't count any more
}

// firstPossibleRun returns the first attempt that may have run, or nil.
func (j *job) firstPossibleRun() *Attempt {
	for i := range j.attempts {
		if !j.attempts[i].NeverRan {
			return &j.attempts[i]
		}
	}
	return nil
}

// retryUntil is the time until which the job may be sent again. If an attempt of it may have run, that depends on its class:
// always, within the dedup window if all executors share one, or not at all. The policy doesn't know of attempts from before a
// restart, so it must be given the job for no longer than this.
func (j *job) retryUntil() time.Duration {
	first := j.firstPossibleRun()
	if first == nil || j.Class.Idempotency == policy.Idempotent {
		return forever
	}
	if j.Class.Idempotency == policy.IdempotentWithKey && j.Class.DedupGroup == policy.DedupAllExecutors {
		return first.At + j.Class.DedupWindow
	}
	return 0
}

// markNeverRan notes that an attempt provably never ran.
func (j *job) markNeverRan(e Epoch) { j.attempts[e-1].NeverRan = true }
