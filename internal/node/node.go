package node

import (
	"fmt"
	"runtime/debug"
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Limits are the settings that the state machine needs in addition to those of the policy.
type Limits struct {
	// How long before a job's deadline this node abandons the job's attempts.
	Quantum time.Duration
	MaxIdle time.Duration // a connection to an executor is not used again after being idle for this long
	// Maximum time until a dialed connection is up, or until this node notices that an executor has closed a
	// connection.
	DialTimeout    time.Duration
	MaxConns       int // maximum number of connections to executors
	MaxConnsShared int // maximum number of connections to executors while another process of this node shares its limits
	MaxBodyBytes   int // maximum total size of the request bodies of all jobs
	MaxUsedIDs     int // maximum number of IDs of jobs that may have run that are remembered; 0 for a default
	// Time after which a client is advised to retry a job that was rejected at a resource limit; 0 for no advice.
	RetryAfter      time.Duration
	MaxWork         time.Duration // maximum estimated run time of a job; longer estimates are reduced to it
	LameDuckPeriod  time.Duration // time after a shutdown request during which new jobs are accepted
	ShutdownTimeout time.Duration // time after a shutdown request by which every job is answered
	// How long attempts to executors in slow start are blocked after another process of this node has yielded or ended.
	SlowStartWindow time.Duration
}

// PolicyPanicked is the beginning of the log line about a panic of the policy.
const PolicyPanicked = "the policy panicked"

// panicBackoff is the longest time from a panic of the policy to the next call of the policy.
const panicBackoff = 100 * time.Millisecond

// Policy makes the decisions about jobs. It is implemented by *policy.Dispatcher, which documents the contract of each
// method, and by wrappers that observe the calls of another Policy.
type Policy interface {
	UpdateEndpoints(now time.Duration, kind policy.EndpointUpdateKind, entries []policy.Endpoint)
	JobArrived(now time.Duration, arrival policy.Arrival)
	AttemptStarted(now time.Duration, job policy.JobID, attempt policy.AttemptID)
	AttemptProgressed(now time.Duration, job policy.JobID, attempt policy.AttemptID, progress float64)
	LoadReported(executor policy.ExecutorID, load policy.Load)
	HealthCheckEnded(now time.Duration, executor policy.ExecutorID, answered bool, load policy.Load)
	ClientLeft(now time.Duration, job policy.JobID)
	ShutDownBy(now, deadline time.Duration)
	Place(now time.Duration, job policy.JobID) policy.Decision
	AttemptEnded(now time.Duration, job policy.JobID, attempt policy.AttemptID, outcome policy.Outcome, final bool) policy.Decision
	NextTask(now time.Duration) policy.DueTask
	CountUnusable(now time.Duration) int
	BlockSlowStartUntil(now, until time.Duration)
	UpdateJobClasses(now time.Duration, classes []policy.JobClassUpdate)
	ExportLearned(now time.Duration) policy.LearnedState
	ImportLearned(now time.Duration, learned policy.LearnedState)
	ReceiveLeaseMessage(now time.Duration, from policy.NodeID, message policy.LeaseMessage, hash policy.ExecutorHash)
	TakeLoadSummary(now time.Duration) policy.LoadSummary
	SetAdmissionThreshold(policy.AdmissionThreshold)
}

// Node is the state of one node. Its methods are not safe for concurrent use.
type Node struct {
	policy Policy
	limits Limits

	jobs      jobTable
	usedIDs   usedIDs
	metrics   counters
	classes   jobClasses
	shutdown  shutdown
	conns     connTable
	endpoints endpointTable
	admin     adminState
	handoff   handoff
	relays    commandRelays
	claims    idClaims
	cluster   *cluster.State // what this node knows of its cluster; nil if it is not part of one

	now time.Duration // time of the current step
	// Time for which the timer is set, or timerNotSet.
	timerAt time.Duration
	effects []Effect // effects of the current step
}

// New creates a node that knows no executors yet. The job classes get the IDs 0, 1, 2 and so on, in the order given.
func New(p Policy, limits Limits, classes []JobClass) *Node {
	n := &Node{
		policy:    p,
		limits:    limits,
		jobs:      jobTable{byID: map[policy.JobID]*job{}, byDigest: map[IDDigest]*job{}},
		usedIDs:   newUsedIDs(limits.MaxUsedIDs),
		classes:   jobClasses{lastIDByName: map[string]policy.JobClassID{}},
		conns:     connTable{byID: map[ConnID]*conn{}, idleLimit: limits.MaxIdle},
		endpoints: endpointTable{byID: map[policy.ExecutorID]*executor{}},
		admin:     adminState{excluded: map[policy.ExecutorID]bool{}, readmittedAt: map[policy.ExecutorID]time.Duration{}},
		claims:    idClaims{pending: map[uint64]*pendingClaim{}},
		relays:    commandRelays{pending: map[uint64]*pendingRelay{}},
	}
	n.setJobClasses(classes)
	return n
}

// Step handles one event and returns the effects. The returned slice is valid until the next call. The time now is
// counted from the node's start and never decreases.
func (n *Node) Step(now time.Duration, ev Event) (effects []Effect) {
	n.now, n.effects = now, n.effects[:0]
	defer func() {
		if p := recover(); p != nil {
			n.policyPanicked(fmt.Sprintf("%s: %v\n%s", PolicyPanicked, p, debug.Stack()))
		}
		effects = n.effects
	}()
	// The cluster's tick comes first. If this process was suspended, the tick detects the suspension. It must do so
	// before a message that arrived during the suspension is handled.
	n.tickCluster()
	n.handle(ev)
	n.expireJobs()
	n.expireHandoff()
	n.runPolicyTasks()
	n.closeFrontendWhenDone()
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }
