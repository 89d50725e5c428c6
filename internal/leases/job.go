package leases

import (
	"math"
	"time"

	"birchstair/policy"
)

// ID identifies a durable job. The client chooses it.
type ID string

// Epoch is the number of an attempt of a job. It counts from 1 and goes on counting after a restart of the node.
type Epoch uint32

// State is the state of a job. The package comment describes the states.
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

// stateNames are the names of the states for debugging. The names that clients receive are those of package durable.
var stateNames = [...]string{"storing", "waiting", "dispatched", "querying", "storing final", "done"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Outcome is the kind of a final answer. The values equal those of package node.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Rejected          // the job did not run, or may safely run again
	Failed            // the job may have run
)

// JobClass holds those properties of a job's class that determine whether the job may be sent again after an attempt
// may have run.
type JobClass struct {
	Idempotency policy.Idempotency
	DedupGroup  policy.DedupGroup
	DedupWindow time.Duration // for jobs with an idempotency key; already reduced by the time to open a connection
}

// Job is a durable job as it was submitted. All times in this package are wall clock times, as durations since 1970.
type Job struct {
	ID       ID
	Class    JobClass
	Deadline time.Duration // time by which the job must have its final answer
}

// Attempt is an attempt to run a job on an executor.
type Attempt struct {
	Epoch    Epoch
	Executor policy.ExecutorID
	At       time.Duration // when the policy started the attempt
	NeverRan bool          // whether the attempt has ended and provably never ran
}

// QueryResult is the result of querying an executor about an attempt.
type QueryResult int

// The query results.
const (
	QueryUnanswered  QueryResult = iota // no answer, or an unreadable one
	QueryUnsupported                    // the executor doesn't support leases
	QueryNeverRan                       // the executor has not started the attempt, and refuses it from now on
	QueryRunning                        // the attempt is running
	QueryFinished                       // the attempt has finished, and its result is included
	QueryLost                           // the attempt may have run; the executor has restarted since and has no record of it
)

// forever is later than any other time.
const forever = time.Duration(math.MaxInt64)

// job is a durable job and its state.
type job struct {
	Job
	state         State
	attempts      []Attempt // attempts[e-1] has epoch e
	queryInFlight bool      // in state Querying: whether a QueryAttempt effect is unanswered
	final         Outcome
	result        []byte

	sequence        int // order of creation, which decides between jobs with the same deadline
	heapIndex       int // index in JobTable.waiting
	timerGeneration int // current generation of the job's timers; those of earlier generations are void
}

// firstPossibleRun returns the earliest attempt that may have run, or nil if none may have.
func (j *job) firstPossibleRun() *Attempt {
	for i := range j.attempts {
		if !j.attempts[i].NeverRan {
			return &j.attempts[i]
		}
	}
	return nil
}

// retryUntil returns the time until which the job may be sent again. If an attempt of it may have run, that depends on
// its class: without limit if the job is idempotent, during the dedup window if the job has an idempotency key and all
// executors share one dedup group, and otherwise not at all. The policy doesn't know of attempts from before a restart,
// so the job's budget must end by this time.
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

// markNeverRan records that an attempt provably never ran.
func (j *job) markNeverRan(epoch Epoch) { j.attempts[epoch-1].NeverRan = true }
