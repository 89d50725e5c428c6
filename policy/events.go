package policy

import "time"

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded      Outcome = iota // the job was completed
	ExecutorError                 // the executor answered with an error; the job may have run
	InvalidRequest                // the executor rejected the request as invalid; the job may have run
	ExecutorFull                  // the executor had no capacity and rejected the job without running it
	TimedOut                      // the executor didn't answer in time; the job may have run, and may still be running
	ConnectFailed                 // the connection failed before the whole request was written; the job never ran
	ConnectionLost                // the connection broke after the whole request was written; the job may have run
	Canceled                      // this node canceled the attempt; the job may have run
	NotSent                       // the attempt was never sent; the job never ran
)

// NeverRan reports whether the outcome proves that the job never ran in this attempt.
func (o Outcome) NeverRan() bool { return o == ExecutorFull || o == ConnectFailed || o == NotSent }

// Arrival is a job as a client sent it.
type Arrival struct {
	Job         JobID
	Class       JobClassID
	Tenant      TenantID
	Work        time.Duration // the client's estimate of the running time on a standard core; 0: no estimate
	Budget      time.Duration // how long the client waits for the answer
	ClientRetry bool          // the client marked the request as a retry
}

// Load is an executor's report of its load. Fields that the report doesn't contain are negative.
type Load struct {
	InFlight   float64       // number of jobs at the executor, queued ones included
	Queued     float64       // number of jobs that wait at the executor
	FreeSlots  float64       // number of jobs that the executor could start at once
	FreeMemory float64       // free memory, in the executor's own units
	RunTime    time.Duration // running time of the executor's latest jobs
}

// EndpointUpdateKind says what an update of the endpoint list contains.
type EndpointUpdateKind int

// The kinds of updates of the endpoint list.
const (
	IncrementalUpdate EndpointUpdateKind = iota // only the entries that changed
	CompleteUpdate                              // all entries; executors without an entry are removed
	CachedUpdate                                // all entries, as stored by an earlier process
	WatchFailed                                 // no entries: discovery didn't answer, or the watch broke
)

// EndpointState is an executor's state in the endpoint list.
type EndpointState int

// The states of an executor in the endpoint list.
const (
	Available EndpointState = iota // takes new jobs
	Draining                       // completes its jobs, and must get no new ones (rule 3)
	Removed                        // is no longer in the endpoint list
)

// Endpoint is an executor's entry in the endpoint list.
type Endpoint struct {
	Executor       ExecutorID
	Zone           ZoneID
	Kind           KindID
	Cell           CellID
	State          EndpointState
	Weight         float64       // size relative to other executors, or size less load with Settings.LoadAdjustedWeights
	StartedAt      time.Duration // time of the executor's last start
	StartedLongAgo bool          // the executor is past slow start, and StartedAt is not set
}
