package policy

import "time"

// Idempotency says whether a job may be retried after an attempt that may have run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be retried at any executor
	IdempotentWithKey                    // may be retried while the executors of its dedup group remember its key
	AtMostOnce                           // must not be retried
)

// DedupGroup says which executors recognize a duplicate of a job with an idempotency key that one of them ran.
type DedupGroup int

// The dedup groups.
const (
	DedupAllExecutors DedupGroup = iota // all executors
	DedupZone                           // the executors of the zone in which the job ran
	DedupCell                           // the executors of the cell in which the job ran
)

// JobClass holds the settings of one class of jobs.
type JobClass struct {
	Idempotency      Idempotency
	DedupGroup       DedupGroup    // executors that recognize a duplicate, for IdempotentWithKey
	DedupWindow      time.Duration // how long executors remember an idempotency key
	LatencyObjective time.Duration // time within which a job should be completed, before RunTimeFactor adds to it
	ExpectedWork     time.Duration // initial mean running time on a standard core; 0: derived from the objective
	RunTimeFactor    float64       // multiple of a job's work that is added to its latency objective
	Deadline         time.Duration // time within which a job must have its answer
	Value            float64       // value of a job that is completed within its latency objective
	MaxAttempts      int           // most attempts of a job; 0: Settings.MaxAttempts
	LateValue        float64       // fraction of Value for a job completed between objective and deadline
	Kind             KindID        // kind of executor that may run the jobs, or AnyKind
}

// JobClassUpdate is a job class of a new configuration. A class whose settings have changed gets a new ID, and jobs in
// flight keep the settings of the ID that they arrived with.
type JobClassUpdate struct {
	ID       JobClassID
	Replaces JobClassID // class whose learned state a new class takes over, or NoJobClass
	JobClass
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	QuotaPerSecond float64 // jobs per second, at all nodes together
}

// Settings configures a dispatcher. The caller validates them.
type Settings struct {
	Seed       uint32     // seed of the random numbers
	Node       int        // this node's number, from 0
	Nodes      int        // number of nodes
	Zone       ZoneID     // this node's zone
	JobClasses []JobClass // indexed by JobClassID
	Tenants    []Tenant   // indexed by TenantID

	ValuePerWork     bool    // the value of a job is the value of its class times its work in seconds
	OverQuotaValue   float64 // factor for the value of a tenant's jobs over its quota, 0 to 1
	CrossZoneCost    float64 // cost of sending a job to another zone, as a multiple of the mean value of a job; 0: none
	TotalWeight      float64 // weight of the total value over all classes in the value to maximize
	WorstClassWeight float64 // weight of the class with the lowest fraction of its requested value in the value to maximize

	MaxAttempts        int           // most attempts of a job whose class sets no limit
	MayCancel          bool          // executors support the cancellation of attempts
	MayLease           bool          // nodes may send each other lease messages
	MayHedge           bool          // an idempotent job may have a second attempt in flight
	ClientsMarkRetries bool          // clients mark their retries as such
	MayCheckHealth     bool          // executors answer health checks with their load
	MaxRetryAfter      time.Duration // longest Retry-After of a rejection; 0: rejections have none
	Quantum            time.Duration // time resolution: a time this close to a deadline counts as reaching it

	LoadAdjustedWeights bool          // an executor's weight in the endpoint list falls with its load
	EndpointsPolled     bool          // the endpoint list must be requested; otherwise it arrives unrequested
	PollWithin          time.Duration // time from the node's start within which it must have the endpoint list
	SlowStartCapacity   float64       // fraction of its full capacity that an executor has when it starts
	SlowStartDuration   time.Duration // time from an executor's start until it has its full capacity
	OverloadMultiple    float64       // multiple of its capacity that an executor in slow start may get in work (rule 4)
	OverloadWindow      time.Duration // window over which the work sent to an executor in slow start is summed (rule 4)
	StartNotices        bool          // executors notify the node when a job starts
	ProgressInterval    time.Duration // interval of an executor's progress notices; 0: executors send none
}
