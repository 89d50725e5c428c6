package policy

import "time"

// Idempotency says how often a job of a class may take effect.
type Idempotency int

// The ways in which a job may be retried after an attempt that may have run.
const (
	Idempotent        Idempotency = iota // at will
	IdempotentWithKey                    // while executors of its dedup group remember its key
	AtMostOnce                           // never
)

// DedupGroup says which executors drop a duplicate of a job with an idempotency key.
type DedupGroup int

// The executors that drop a duplicate of what one of them ran.
const (
	DedupAllExecutors DedupGroup = iota // all
	DedupZone                           // those of the same zone
	DedupCell                           // those of the same cell
)

// JobClass is the settings of jobs that are handled alike.
type JobClass struct {
	Idempotency      Idempotency
	DedupGroup       DedupGroup    // of IdempotentWithKey
	DedupWindow      time.Duration // how long executors remember a key
	LatencyObjective time.Duration // within which a job earns its full value
	ExpectedWork     time.Duration // first guess at the mean work, as time on a standard core; 0: by the objective
	RunTimeFactor    float64       // the objective grows by this multiple of a job's own running time
	Deadline         time.Duration // by which a job must have its answer
	Value            float64       // earned by a job within its objective
	MaxAttempts      int           // 0: Settings.MaxAttempts
	LateValue        float64       // fraction of the value earned between objective and deadline
	Kind             KindID        // executor kind that it needs, or AnyKind
}

// JobClassUpdate is a job class as it is from now on. A class that differs from the one of the same name gets a new number,
// and jobs in hand keep theirs.
type JobClassUpdate struct {
	ID       JobClassID
	Replaces JobClassID // whose learned state it takes over, or NoJobClass
	JobClass
}

// Tenant is the settings of a customer.
type Tenant struct {
	QuotaPerSecond float64 // jobs a second, for all nodes together
}

// Settings is what a dispatcher is given at its start. The caller has checked them.
type Settings struct {
	Seed       uint32 // of the random numbers
	Node       int    // this node's number, from 0
	Nodes      int    // number of nodes
	Zone       ZoneID // this node's zone
	JobClasses []JobClass
	Tenants    []Tenant

	ValuePerWork     bool    // a job's value is its class's, times its work in seconds
	OverQuotaValue   float64 // factor of the value of what a tenant sends over its quota, 0 to 1
	CrossZoneCost    float64 // of sending a mean job to another zone, in mean values; 0: none
	TotalWeight      float64 // in the operators' measure, of the value earned over all classes
	WorstClassWeight float64 // in the operators' measure, of the class that fares worst

	MaxAttempts        int           // of a job, where its class has no limit of its own
	MayCancel          bool          // attempts may be canceled
	MayLease           bool          // nodes may send each other lease messages
	MayHedge           bool          // an idempotent job may have a second attempt out
	ClientsMarkRetries bool          // clients mark their retries
	MayCheckHealth     bool          // executors answer health checks with their load
	MaxRetryAfter      time.Duration // the longest advised wait of a rejected client; 0: no advice
	Quantum            time.Duration // what is this close to a deadline counts as at it

	LoadAdjustedWeights bool          // weights in the endpoint list fall with the load
	EndpointsPolled     bool          // the endpoint list comes only when it is polled
	PollWithin          time.Duration // from the node's start until it must have the endpoint list
	SlowStartCapacity   float64       // fraction of its capacity that an executor has at its start
	SlowStartDuration   time.Duration // from an executor's start until it has its full capacity
	OverloadMultiple    float64       // times its capacity that an executor in slow start may be sent (rule 4)
	OverloadWindow      time.Duration // the window over which that work is summed
	StartNotices        bool          // executors tell when a job starts
	ProgressInterval    time.Duration // between an executor's progress notices; 0: there are none
}
