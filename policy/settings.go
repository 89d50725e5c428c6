package policy

import "time"

// Idempotency says whether a retry of a job is allowed after an attempt that has possibly run.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // the job can be retried at any executor
	IdempotentWithKey                    // the job can be retried while the executors of its dedup group remember its key
	AtMostOnce                           // the job must not be retried after an attempt that has possibly run
)

// DedupGroup says which executors recognize a duplicate of a job with an idempotency key after one of them has run the
// job.
type DedupGroup int

// The dedup groups.
const (
	DedupAllExecutors DedupGroup = iota // all executors
	DedupZone                           // the executors of the zone in which the job ran
	DedupCell                           // the executors of the cell in which the job ran
)

// JobClass holds the settings of one class of jobs.
type JobClass struct {
	Idempotency Idempotency
	DedupGroup  DedupGroup    // executors that recognize a duplicate of a job; only for IdempotentWithKey
	DedupWindow time.Duration // how long executors remember an idempotency key
	// Fixed part of the time within which a job should be completed; RunTimeFactor adds to it.
	LatencyObjective time.Duration
	// Initial mean running time of a job on a standard core; 0: derived from LatencyObjective.
	ExpectedWork  time.Duration
	RunTimeFactor float64       // multiple of a job's work that is added to its latency objective
	Deadline      time.Duration // time within which the client must have its answer
	Value         float64       // value of a job that is completed within its latency objective
	MaxAttempts   int           // maximum number of attempts of a job; 0: Settings.MaxAttempts applies
	// Fraction of Value that a job yields if it is completed after its objective and before its deadline.
	LateValue float64
	Kind      KindID // kind of executor that can run the jobs, or AnyKind
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
	QuotaPerSecond float64 // number of jobs per second that the tenant is entitled to, at all nodes together
}

// Settings configures a dispatcher. The caller validates them.
type Settings struct {
	Seed       uint32     // seed of the random numbers
	Node       int        // this node's number, from 0
	Nodes      int        // number of nodes in the cluster
	Zone       ZoneID     // this node's zone
	JobClasses []JobClass // job classes, indexed by JobClassID
	Tenants    []Tenant   // tenants, indexed by TenantID

	ValuePerWork bool // the value of a job is the value of its class times its work in seconds
	// Least factor, 0 to 1, by which a job's value is multiplied if the job's tenant is over its quota. The further the
	// tenant is over its quota, the closer the factor is to this.
	OverQuotaValue float64
	CrossZoneCost  float64 // cost of sending a job to another zone, as a multiple of the mean value of a job; 0: none
	TotalWeight    float64 // weight of the total value of all classes in the value to maximize
	// Weight of the worst class's value in the value to maximize. The worst class is the one that earned the lowest
	// fraction of its requested value.
	WorstClassWeight float64

	MaxAttempts        int           // maximum number of attempts of a job whose class sets no limit
	MayCancel          bool          // executors support the cancellation of attempts
	MayLease           bool          // nodes may send each other lease messages
	MayHedge           bool          // an idempotent job is allowed a second attempt while the first one is in flight
	ClientsMarkRetries bool          // clients mark their retries as such
	MayCheckHealth     bool          // executors answer health checks with their load
	MaxRetryAfter      time.Duration // longest Retry-After of a rejection; 0: rejections have none
	Quantum            time.Duration // time resolution: a time this close to a deadline counts as reaching it

	LoadAdjustedWeights bool          // an executor's weight in the endpoint list falls with its load
	EndpointsPolled     bool          // the endpoint list must be requested; otherwise it arrives unrequested
	PollWithin          time.Duration // time from the node's start within which the node must have the endpoint list
	SlowStartCapacity   float64       // fraction of its full capacity that an executor has when it starts
	SlowStartDuration   time.Duration // time from an executor's start until it has its full capacity
	// The work sent to an executor in slow start is limited to this multiple of the executor's capacity (rule 4).
	OverloadMultiple float64
	OverloadWindow   time.Duration // window over which the work sent to an executor in slow start is summed (rule 4)
	StartNotices     bool          // executors notify the node when a job starts
	ProgressInterval time.Duration // interval of an executor's progress notices; 0: executors send none
}
