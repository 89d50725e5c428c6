package policy

import (
	"math"
	"time"
)

// Each kind of id is a type of its own. The places of tracks, tenants, zones and kinds count from 0.
type (
	JobID        string
	ExecutorID   string
	AttemptID    int
	NodeID       int
	ExecutorHash uint32 // an executor as nodes name it among each other
	JobClassID   int
	TenantID     int
	ZoneID       int
	KindID       int
	CellID       int
)

// Forever is longer than anything.
const Forever time.Duration = math.MaxInt64

// AnyKind is the bound kind of a track that every executor may run.
const AnyKind KindID = -1

// Idempotency says how often a track's batch job may take effect.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	AtMostOnce
)

// DedupGroup says which executors drop repeats of a tagged batch job.
type DedupGroup int

const (
	DedupAllExecutors DedupGroup = iota
	DedupZone
	DedupCell
)

// Outcome is how an allocation ended.
type Outcome int

const (
	Succeeded      Outcome = iota
	ExecutorError          // the executor answered with an error; it may have run
	InvalidRequest         // the executor can't use it as it is; it may have run
	ExecutorFull           // turned away unseen; it never ran
	TimedOut               // no answer in time; it may have run, or may still
	ConnectFailed          // no connection; it never ran
	ConnectionLost         // the connection broke; it may have run
	Canceled               // we stopped waiting; it may have run
	NotSent                // it never left this node
)

// NeverRan says whether an outcome proves that the allocation never ran.
func (o Outcome) NeverRan() bool { return o == ExecutorFull || o == ConnectFailed || o == NotSent }

// JobClass is a kind of batch job with its own handling.
type JobClass struct {
	Idempotency      Idempotency
	DedupGroup       DedupGroup
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	ExpectedWork     time.Duration // a first guess at the mean work; 0: the quoted time
	RunTimeFactor    float64       // the quoted time grows by this multiple of the job's own running time
	Deadline         time.Duration
	Value            float64
	MaxAttempts      int     // at most; 0: as many as the settings say
	LateValue        float64 // part of the earnings paid between the quoted time and the outer limit
	Kind             KindID
}

// JobClassUpdate is a track as it is from now on. One that differs from what bore its name gets a number of its own: a number
// once used never means anything else, and batch jobs in hand keep theirs.
type JobClassUpdate struct {
	ID       JobClassID
	Replaces JobClassID // what was learnt of that one holds here too; NoTrack for none
	JobClass
}

// NoJobClass is the number of none.
const NoJobClass JobClassID = -1

// Tenant is a customer with a share for all nodes together.
type Tenant struct{ QuotaPerSecond float64 }

// Settings is what an instance is handed at its start.
type Settings struct {
	Seed       uint32
	Node       int // this node's number
	Nodes      int
	Zone       ZoneID
	JobClasses []JobClass
	Tenants    []Tenant

	ValuePerWork     bool
	OverQuotaValue   float64
	CrossZoneCost    float64
	TotalWeight      float64 // of earnings over the whole day and over its worst stretch
	WorstClassWeight float64 // of the track that fares worst

	MaxAttempts        int
	MayCancel          bool
	MayLease           bool          // nodes may send each other words
	MayHedge           bool          // a repeatable batch job may have a second allocation out
	ClientsMarkRetries bool          // clients mark their repeats
	MayProbe           bool          // executors answer probes with their load, and only those
	MaxRetryAfter      time.Duration // 0: the client is not told when to come back
	Quantum            time.Duration

	LoadAdjustedWeights bool // weights in the list fall with the load
	EndpointsPolled     bool // the list comes only when asked for
	PollWithin          time.Duration
	SlowStartCapacity   float64
	SlowStartDuration   time.Duration
	OverloadMultiple    float64
	OverloadWindow      time.Duration
	StartNotices        bool
	ProgressInterval    time.Duration // between an executor's notices of progress; 0: there are none
}

// Arrival is a batch job as it came.
type Arrival struct {
	Job         JobID
	Class       JobClassID
	Tenant      TenantID
	Work        time.Duration // a guess, as time on a standard core; 0 for none
	Budget      time.Duration // how long the client waits
	ClientRetry bool          // marked as a client's repeat, where clients mark them
}

// Load is what an executor says of itself. What it does not tell is under 0.
type Load struct {
	InFlight   float64       // batch jobs
	Queued     float64       // those of them that wait
	FreeSlots  float64       // places
	FreeMemory float64       // free units of it
	RunTime    time.Duration // running time of its last ones
}

// EndpointUpdateKind says what a list brings.
type EndpointUpdateKind int

const (
	IncrementalUpdate EndpointUpdateKind = iota
	CompleteUpdate
	CachedUpdate
	WatchFailed
)

// EndpointState is an executor's state in the list.
type EndpointState int

const (
	Available EndpointState = iota
	Draining
	Removed
)

// Endpoint is one executor in a list. Started is when it last started, unless that was long ago.
type Endpoint struct {
	Executor       ExecutorID
	Zone           ZoneID
	Kind           KindID
	Cell           CellID
	State          EndpointState
	Weight         float64 // its size, or its size less its load, against the others'
	StartedAt      time.Duration
	StartedLongAgo bool
}

// PriorityLevels are the steps of earnings for a second of work that a tally sorts by: two to an octave, the middle one is 1.
const PriorityLevels = 64

// LoadSummary is what a node saw since it was asked last, in seconds of work on a standard core.
type LoadSummary struct {
	Offered    [PriorityLevels]float64 // of batch jobs that came, by what they earn for their work
	Admitted   float64                 // of them, those not below the cut line
	Completed  float64                 // handled
	Migrations float64                 // of allocations that would be moved, had moves no budget
	Expired    float64                 // given up on after they had waited for a token
	Waiting    float64                 // of those that are held in time now, or have not started where they were sent, against their slack
	Capacity   float64                 // work a second that all executors on its list could do, as far as it has seen them
}

// AdmissionThreshold is where earnings for the work are too low to be taken now: rungs under Rung are, and of Rung itself all
// but a part. The zero value cuts nothing.
type AdmissionThreshold struct {
	Level          int
	AdmitFraction  float64
	MigrationDelay float64 // part of its slack that an allocation has to wait where it is before it is moved, 0 to 1
}

// Action is what becomes of a batch job.
type Action int

const (
	NoAction Action = iota // it is over, or still out
	Send
	Enqueue
	Reject
	Fail
)

// Decision is the answer to where to send a batch job and what to do after an outcome.
type Decision struct {
	Action     Action
	Executor   ExecutorID
	RetryAfter time.Duration // 0: no advice
}

// Task is what has fallen due.
type Task int

const (
	Sleep            Task = iota // nothing before Due.At
	PlaceJob                     // ask where to send Due.Job
	CancelAttempt                // stop waiting for Due.Allocation of Due.Job
	WatchEndpoints               // ask for the list and its changes
	SendLeaseMessage             // say Due.Word of the executor of Due.Sum to Due.Node
	WriteLog                     // write Due.Text to the log
	ProbeExecutor                // ask Due.Executor for its load
)

// DueTask is the answer to how long to wait.
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

// LeaseMessage is what one node says to another of an executor's places.
type LeaseMessage byte

const (
	LeaseRequest     LeaseMessage = iota + 1 // a place is wanted
	LeaseRequestLate                         // for a late batch job
	LeaseGrant                               // here is one
	LeaseWait                                // none is free yet
	LeaseCancel                              // it is not wanted any more
	LeaseReturn                              // the place is free again
	LeaseReturnLate                          // likewise, and the batch job had to wait at the executor
)
