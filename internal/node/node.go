package node

import (
	"fmt"
	"runtime/debug"
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Limits are the settings that the state machine needs besides those of the policy.
type Limits struct {
	Quantum         time.Duration // how long before a job's deadline its attempts are abandoned
	MaxIdle         time.Duration // a connection that has been idle for so long is not used any more
	DialTimeout     time.Duration // an upper bound on dialing, and on learning that the peer has closed a connection
	MaxConns        int           // connections to executors
	MaxConnsShared  int           // the same while another process of the node shares the limits
	MaxBodyBytes    int           // of the bodies of all jobs
	RetryAfter      time.Duration // advice for jobs rejected at a resource limit; 0 for none
	MaxWork         time.Duration // a longer estimate of a job's run time counts as this
	LameDuckPeriod  time.Duration // how long new jobs are taken after a shutdown was requested
	ShutdownTimeout time.Duration // all jobs are answered so long after a shutdown was requested
	SlowStartWindow time.Duration // the window of the slow-start budget, with a margin for attempts in flight
}

// PolicyPanicked begins the log line of a panic of the policy.
const PolicyPanicked = "the policy panicked"

// panicBackoff is how soon after a panic the policy is called again.
const panicBackoff = 100 * time.Millisecond

// Policy decides about jobs. It is *policy.Dispatcher, or a wrapper that observes the calls; see there for the contract of
// each method.
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
	metrics   counters
	classes   jobClasses
	shutdown  shutdown
	conns     connTable
	endpoints endpointTable
	admin     adminState
	handoff   handoff
	relays    commandRelays
	fleet     *cluster.Fleet // nil if this node is not part of a fleet

	now     time.Duration // of the current step
	timerAt time.Duration // what the timer is set to, or timerNotSet
	effects []Effect      // of the current step
}

// New creates a node that knows no executors yet, with its job classes numbered from 0.
func New(p Policy, limits Limits, classes []JobClass) *Node {
	n := &Node{
		policy:    p,
		limits:    limits,
		jobs:      jobTable{byID: map[policy.JobID]*job{}},
		classes:   jobClasses{lastIDByName: map[string]policy.JobClassID{}},
		conns:     connTable{byID: map[ConnID]*conn{}, idleLimit: limits.MaxIdle},
		endpoints: endpointTable{byID: map[policy.ExecutorID]*executor{}},
		admin:     adminState{excluded: map[policy.ExecutorID]bool{}, readmittedAt: map[policy.ExecutorID]time.Duration{}},
		relays:    commandRelays{pending: map[uint64]*pendingRelay{}},
	}
	n.setJobClasses(classes)
	return n
}

// Step handles one event and returns the effects, which are valid until the next call. Time is counted from the node's start
// and never goes back.
func (n *Node) Step(now time.Duration, ev Event) (effects []Effect) {
	n.now, n.effects = now, n.effects[:0]
	defer func() {
		if p := recover(); p != nil {
			n.policyPanicked(fmt.Sprintf("%s: %v\n%s", PolicyPanicked, p, debug.Stack()))
		}
		effects = n.effects
	}()
	// The fleet's tick comes first: if this process was suspended, the tick must see that before older messages are read.
	n.tickFleet()
	n.handle(ev)
	n.expireJobs()
	n.expireHandoff()
	n.runPolicyTasks()
	n.closeFrontendWhenDone()
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }
