package policy

import "time"

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded        Outcome = iota // the job was completed
	ExecutorError                   // the executor answered with an error; the job has possibly run
	InvalidRequest                  // the executor rejected the request as invalid; the job has possibly run
	ExecutorFull                    // the executor had no capacity and rejected the job without running it
	TimedOut                        // the executor didn't answer in time; the job has possibly run or is still running
	ConnectFailed                   // the connection failed before the whole request was written; the job never ran
	ConnectionLost                  // the connection broke after the whole request was written; the job has possibly run
	Canceled                        // this node canceled the attempt; the job has possibly run
	NotSent                         // the attempt was never sent; the job never ran
	RejectedUnproven                // the executor rejected this attempt or an earlier one; the job has possibly run
)

// isRejection reports whether the executor rejected an attempt because it had no capacity.
func (o Outcome) isRejection() bool { return o == ExecutorFull || o == RejectedUnproven }

// NeverRan reports whether the outcome proves that the job never ran in this attempt.
func (o Outcome) NeverRan() bool { return o == ExecutorFull || o == ConnectFailed || o == NotSent }

// Arrival is a job as a client sent it.
type Arrival struct {
	Job         JobID
	Class       JobClassID
	Tenant      TenantID
	Work        time.Duration // the client's estimate of the running time on a standard core; 0: no estimate
	Budget      time.Duration // time for which the client waits for the answer, from the arrival of its request
	Waited      time.Duration // time since the arrival of the request
	ClientRetry bool          // the client marked the request as a retry
}

// Load is an executor's report of its load. A field is negative if the report doesn't contain it.
type Load struct {
	InFlight   float64       // number of jobs at the executor, queued ones included
	Queued     float64       // number of jobs that wait at the executor to be started
	FreeSlots  float64       // number of jobs that the executor could start at once
	FreeMemory float64       // free memory, in the executor's own units
	RunTime    time.Duration // average running time of the executor's latest jobs
}

// EndpointUpdateKind says what an update of the endpoint list contains.
type EndpointUpdateKind int

// The kinds of updates of the endpoint list.
const (
	IncrementalUpdate EndpointUpdateKind = iota // the update contains only the entries that changed
	CompleteUpdate                              // the update contains all entries; other executors are removed
	CachedUpdate                                // the update contains all entries, as an earlier process stored them
	WatchFailed                                 // the update contains no entries: a poll or the watch failed
)

// EndpointState is an executor's state in the endpoint list.
type EndpointState int

// The states of an executor in the endpoint list.
const (
	Available EndpointState = iota // the executor takes new jobs
	Draining                       // the executor completes its jobs, and must get no new ones (rule 3)
	Removed                        // the executor is no longer in the endpoint list
)

// Endpoint is an executor's entry in the endpoint list.
type Endpoint struct {
	Executor       ExecutorID
	Zone           ZoneID
	Kind           KindID
	Cell           CellID
	State          EndpointState
	Weight         float64       // size relative to other executors; with Settings.LoadAdjustedWeights, less under load
	StartedAt      time.Duration // time of the executor's last start
	StartedLongAgo bool          // the executor is past its slow start, whatever StartedAt says
}
