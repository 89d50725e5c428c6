package policy

import "time"

// Action is the kind of a decision about a job.
type Action int

// The actions of a decision.
const (
	NoAction Action = iota // do nothing, because the job is finished or an attempt of it is in flight
	Send                   // send a new attempt to Decision.Executor
	Enqueue                // keep the job in the queue until an executor has a token for the job
	Reject                 // reject the job; the client can retry after Decision.RetryAfter
	Fail                   // fail the job, because it has possibly run and a retry could have a duplicate effect
)

// Decision is the result of Place and AttemptEnded.
type Decision struct {
	Action     Action
	Executor   ExecutorID    // for Send: executor that gets the attempt
	RetryAfter time.Duration // for Reject: time for which the client should wait before it retries; 0: no advice
}

// Task is a kind of task that the dispatcher gives to its caller.
type Task int

// The tasks that NextTask returns.
const (
	Sleep            Task = iota // do nothing until DueTask.At
	PlaceJob                     // call Place for DueTask.Job
	CancelAttempt                // cancel DueTask.Attempt of DueTask.Job
	WatchEndpoints               // request the endpoint list from discovery, and watch it for changes
	SendLeaseMessage             // send DueTask.Message to DueTask.Node, about the executor with DueTask.Hash
	WriteLog                     // write DueTask.Text to the log
	SendHealthCheck              // send a health check to DueTask.Executor
)

// DueTask is the result of NextTask. Besides Task, only some fields are set: those that the comment of its Task
// constant names.
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
