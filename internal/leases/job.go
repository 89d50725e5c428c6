package leases

import (
	"math"
	"time"

	"birchstair/policy"
)

// ID identifies a durable job. The client chooses it.
type ID string

// LeaseID is the name of a job at executors. It belongs to one accepted job for ever, unlike an ID: clients use an ID again once its job is
// forgotten, and at other nodes, while executors remember what became of an earlier job's attempts.
type LeaseID string

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
	Rejected          // the job did not run, or it is safe to run it again
	Failed            // the job may have run
)

// JobClass holds the properties of a job's class by which retryUntil decides whether the job may be sent again. The
// question arises when an earlier attempt of the job may have run.
type JobClass struct {
	Idempotency policy.Idempotency
	DedupGroup  policy.DedupGroup
	// How long after an attempt it is safe to send the job again with the same idempotency key. This is how long
	// executors recognize the key, minus the time to open a connection.
	DedupWindow time.Duration
}

// Job is a durable job as it was submitted. All times in this package are wall clock times, as durations since 1970.
type Job struct {
	ID       ID
	Lease    LeaseID       // name of the attempts that this process starts
	Class    JobClass      // as it was when the job was accepted
	Deadline time.Duration // time by which the job must have its final answer

	// PolicyClass is the class by which the policy treats the job. After a restart with another configuration it can differ from
	// Class. LaxPolicy is set then: the policy may start attempts that Class forbids.
	PolicyClass policy.JobClassID
	LaxPolicy   bool
}

// Attempt is an attempt to run a job on an executor.
type Attempt struct {
	Epoch    Epoch
	Lease    LeaseID // empty if an earlier version of the program started the attempt
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
	QueryNeverRan                       // the executor has not started the attempt, and will refuse it if it arrives later
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
	attempts      []Attempt     // the attempt with epoch e is attempts[e-1]
	queryInFlight bool          // whether a QueryAttempt effect is unanswered; used in state Querying only
	sendUntil     time.Duration // time until which attempts can be sent; used in state Dispatched only
	inFlight      int           // number of attempts that this process has started and that have not ended
	final         Outcome

	sequence  int // position in the order of creation; among jobs with the same deadline, the lowest is submitted first
	heapIndex int // index in JobTable.waiting
	// Tells valid timers of the job from canceled ones: only timers that were set with this number are valid.
	timerGeneration int
}

// firstPossibleRun returns the earliest attempt that may have run, or nil if provably none ran.
func (j *job) firstPossibleRun() *Attempt {
	for i := range j.attempts {
		if !j.attempts[i].NeverRan {
			return &j.attempts[i]
		}
	}
	return nil
}

// retryUntil returns the time until which it is safe to send the job again. There is no limit if provably no attempt of
// the job ran, or if the job is idempotent. If the job has an idempotency key and all executors share one dedup group,
// the limit is the end of the job's dedup window. In all other cases the job must not be sent again at all.
//
// The policy doesn't know of attempts from before a restart. Therefore the budget that the policy gets for the job must
// end by this time.
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

// sendableUntil returns the time until which an attempt can be sent. It is the job's limit when the job was submitted to the
// policy. If an earlier attempt may have run since, and the job has an idempotency key, it is the end of the dedup window.
func (j *job) sendableUntil(epoch Epoch) time.Duration {
	first := j.firstPossibleRun()
	if first == nil || first.Epoch == epoch || j.Class.Idempotency != policy.IdempotentWithKey {
		return j.sendUntil
	}
	return min(j.sendUntil, first.At+j.Class.DedupWindow)
}

// mayStart reports whether the job's class allows another attempt, if the policy may start attempts that the class forbids. Which
// executors form a dedup group is known only to the policy, so such a job is sent again only if all executors form one group.
func (j *job) mayStart() bool {
	return !j.LaxPolicy || j.retryUntil() > 0
}

// markNeverRan records that an attempt provably never ran.
func (j *job) markNeverRan(epoch Epoch) { j.attempts[epoch-1].NeverRan = true }
