package policy

import "time"

// Action is what becomes of a job.
type Action int

// The actions of a decision.
const (
	NoAction Action = iota // the job is over, or an attempt is out
	Send                   // a new attempt to Decision.Executor
	Enqueue                // it waits for a token
	Reject                 // the client may try again, after Decision.RetryAfter
	Fail                   // it may have run, and can't be tried again
)

// Decision is the answer of Place and AttemptEnded.
type Decision struct {
	Action     Action
	Executor   ExecutorID    // of Send
	RetryAfter time.Duration // of Reject; 0: no advice
}

// Task is a kind of work that has fallen due.
type Task int

// The tasks of NextTask.
const (
	Sleep            Task = iota // nothing is due before DueTask.At
	PlaceJob                     // call Place for DueTask.Job
	CancelAttempt                // cancel DueTask.Attempt of DueTask.Job
	WatchEndpoints               // ask discovery for the endpoint list and its changes
	SendLeaseMessage             // send DueTask.Message about the executor of DueTask.Hash to DueTask.Node
	WriteLog                     // write DueTask.Text to the log
	SendHealthCheck              // send DueTask.Executor a health check
)

// DueTask is the answer of NextTask. Only the fields that its Task names are set.
type DueTask struct {
	Task     Task
	At       time.Duration
	Job      JobID
	Attempt  AttemptID
	Node     NodeID
	Message  LeaseMessage
	Hash     ExecutorHash
	Executor ExecutorID
	Text     string
}
