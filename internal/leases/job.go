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
	Keeping State = iota
	Waiting
	InHand
	Asking
	Closing
	Done
)

// stateNames are the states as clients are told them.
var stateNames = [...]string{"keeping", "waiting", "in hand", "asking", "closing", "done"}

// String returns the state's name as clients are told it.
func (s State) String() string { return stateNames[s] }

// Final is the kind of a final answer. The values are those of package node.
type Final int

// The kinds of final answers.
const (
	Succeeded Final = iota
	Rejected        // the job did not run, or may run again
	Failed          // the job may have run
)

// JobClass is what a job's class says about attempts that may have run.
type JobClass struct {
	Idempotency policy.Idempotency
	DedupGroup  policy.DedupGroup
	DedupWindow time.Duration // for jobs with an idempotency key, less the time that a connection takes to come up
}

// Job is a durable job as it was submitted. Times are times of day, as durations since 1970.
type Job struct {
	ID    ID
	Track JobClass
	Limit time.Duration // the deadline
}

// Send is an attempt.
type Send struct {
	Epoch    Epoch
	Executor policy.ExecutorID
	At       time.Duration
	NeverRan bool // it is over, and provably never ran
}

// Found is what an executor says of an epoch.
type Found int

// What an executor can say.
const (
	FoundNothing  Found = iota // no answer, or an unreadable one
	FoundMute                  // the executor doesn't take part in leases
	FoundNever                 // it has not started the attempt, and refuses it from now on
	FoundRunning               // the attempt is running
	FoundFinished              // the attempt has finished, and the result is at hand
	FoundLost                  // the attempt may have started, but the executor has restarted since and knows nothing more
)

// forever is a time that never comes.
const forever = time.Duration(math.MaxInt64)

// job is a job with its state.
type job struct {
	Job
	state         State
	sends         []Send // by epoch, from 1
	queryInFlight bool   // while Asking: an Ask is not answered yet
	final         Final
	result        []byte

	sequence        int // orders jobs with the same deadline
	heapIndex       int // in Book.waiting
	timerGeneration int // timers of an earlier generation don't count any more
}

// firstPossibleRun returns the first attempt that may have run, or nil.
func (j *job) firstPossibleRun() *Send {
	for i := range j.sends {
		if !j.sends[i].NeverRan {
			return &j.sends[i]
		}
	}
	return nil
}

// retryUntil is the time until which the job may be sent again. If an attempt of it may have run, that depends on its class:
// always, within the dedup window if all executors share one, or not at all. The policy doesn't know of attempts from before a
// restart, so it must be given the job for no longer than this.
func (j *job) retryUntil() time.Duration {
	first := j.firstPossibleRun()
	if first == nil || j.Track.Idempotency == policy.Idempotent {
		return forever
	}
	if j.Track.Idempotency == policy.IdempotentWithKey && j.Track.DedupGroup == policy.DedupAllExecutors {
		return first.At + j.Track.DedupWindow
	}
	return 0
}

// markNeverRan notes that an attempt provably never ran.
func (j *job) markNeverRan(e Epoch) { j.sends[e-1].NeverRan = true }
