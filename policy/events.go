package policy

import "time"

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded      Outcome = iota
	ExecutorError          // the executor answered with an error; the job may have run
	InvalidRequest         // the executor can't use the request; the job may have run
	ExecutorFull           // the executor rejected it unseen; it never ran
	TimedOut               // no answer in time; it may have run, and may still run
	ConnectFailed          // no connection, or it broke before the last byte of the request was written; it never ran
	ConnectionLost         // the connection broke; it may have run
	Canceled               // it was canceled by this node; it may have run
	NotSent                // it never left this node
)

// NeverRan reports whether an outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == ExecutorFull || o == ConnectFailed || o == NotSent }

// Arrival is a job as a client sent it.
type Arrival struct {
	Job         JobID
	Class       JobClassID
	Tenant      TenantID
	Work        time.Duration // the client's estimate, as time on a standard core; 0: none
	Budget      time.Duration // how long the client waits
	ClientRetry bool          // marked as a retry, where clients mark them
}

// Load is an executor's report of its load. Figures that it does not tell are negative.
type Load struct {
	InFlight   float64       // jobs there
	Queued     float64       // those of them that wait
	FreeSlots  float64       // jobs that it could start at once
	FreeMemory float64       // free units of it
	RunTime    time.Duration // of its last jobs
}

// EndpointUpdateKind says what an update of the endpoint list brings.
type EndpointUpdateKind int

// The kinds of updates of the endpoint list.
const (
	IncrementalUpdate EndpointUpdateKind = iota // entries that changed
	CompleteUpdate                              // all entries; what is not named is removed
	CachedUpdate                                // all entries as an earlier process had them
	WatchFailed                                 // none: discovery did not answer, or the watch broke
)

// EndpointState is an executor's state in the endpoint list.
type EndpointState int

// The states of an executor in the endpoint list.
const (
	Available EndpointState = iota
	Draining                // it gets nothing new (rule 3)
	Removed                 // it is gone
)

// Endpoint is an executor's entry in the endpoint list.
type Endpoint struct {
	Executor       ExecutorID
	Zone           ZoneID
	Kind           KindID
	Cell           CellID
	State          EndpointState
	Weight         float64       // its size, or its size less its load, relative to the others
	StartedAt      time.Duration // when it last started
	StartedLongAgo bool          // StartedAt means nothing: it is past slow start
}
