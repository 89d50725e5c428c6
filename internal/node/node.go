package node

import (
	"fmt"
	"runtime/debug"
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Limits are the figures that the reducer needs beside the module's settings.
type Limits struct {
	Quantum         time.Duration // what comes so close to an outer limit counts as at it
	MaxIdle         time.Duration // a connection that has rested so long is not used any more
	DialTimeout     time.Duration // news of a close takes less
	MaxConns        int           // connections to executors
	MaxConnsShared  int           // and while another process of the node lives
	MaxBodyBytes    int           // bytes of bodies in hand
	RetryAfter      time.Duration // what is pushed back at the edge of the limits comes back then; 0: no advice
	MaxWork         time.Duration // a guess beyond it counts as this
	LameDuckPeriod  time.Duration // after a stop is asked for, new batch jobs still come for so long
	ShutdownTimeout time.Duration // and all is answered within this
	SlowStartWindow time.Duration // rule 4's window, and a little for what was on its way
}

// PolicyPanicked begins the log line of a panic of the module.
const PolicyPanicked = "the decision module broke"

// panicBackoff is how soon after a panic of the module it is asked again.
const panicBackoff = 100 * time.Millisecond

// Policy is the decision module, as the reducer calls it: *policy.Dispatcher, or one that sees what goes between.
type Policy interface {
	UpdateEndpoints(now time.Duration, what policy.EndpointUpdateKind, entries []policy.Endpoint)
	JobArrived(now time.Duration, in policy.Arrival)
	AttemptStarted(now time.Duration, id policy.JobID, a policy.AttemptID)
	AttemptProgressed(now time.Duration, id policy.JobID, a policy.AttemptID, share float64)
	LoadReported(id policy.ExecutorID, load policy.Load)
	ProbeEnded(now time.Duration, id policy.ExecutorID, answered bool, load policy.Load)
	ClientLeft(now time.Duration, id policy.JobID)
	ShutDownBy(now, by time.Duration)
	Place(now time.Duration, id policy.JobID) policy.Decision
	AttemptEnded(now time.Duration, id policy.JobID, a policy.AttemptID, how policy.Outcome, final bool) policy.Decision
	NextTask(now time.Duration) policy.DueTask
	CountExcluded(now time.Duration) int
	ReserveSlowStartUntil(now, at time.Duration)
	UpdateJobClasses(now time.Duration, tracks []policy.JobClassUpdate)
	ExportLearned(now time.Duration) policy.LearnedState
	ImportLearned(now time.Duration, k policy.LearnedState)
	ReceiveLeaseMessage(now time.Duration, from policy.NodeID, word policy.LeaseMessage, sum policy.ExecutorHash)
	TakeLoadSummary(now time.Duration) policy.LoadSummary
	SetAdmissionThreshold(policy.AdmissionThreshold)
}

// Node is the state of one node.
type Node struct {
	policy             Policy
	limits             Limits
	executors          map[policy.ExecutorID]*executor
	conns              map[ConnID]*conn
	idle               idleConns
	lastConnID         ConnID
	probesInFlight     int           // probes out
	idleLimit          time.Duration // so long a connection may rest and still be used, by what was seen to break
	idleLimitLoweredAt time.Duration // when that was seen last
	jobs               map[policy.JobID]*job
	bodyBytes          int
	unanswered         jobHeap // batch jobs that are owed an answer, by when they are looked at next
	arrivals           int
	deciding           *job // the one that the module is asked about
	hasEndpoints       bool
	clientsDrained     bool                                // by operators
	excluded           map[policy.ExecutorID]bool          // taken out by them
	readmittedAt       map[policy.ExecutorID]time.Duration // when they put one back
	metrics            counters
	classes            jobClasses
	limitsHalved       bool
	fleet              *cluster.Fleet // nil where this node talks with no others
	handoff
	updates         int
	watchFailing    bool
	failedWatches   int // calls for the list that brought nothing
	stopping        bool
	frontendClosing bool
	lameDuckUntil   time.Duration // when no new batch jobs come any more
	deadline        time.Duration // when all must be answered
	now             time.Duration
	timerAt         time.Duration
	effects         []Effect
}

// New makes a node that knows nothing yet, with its tracks, numbered from 0.
func New(brain Policy, limits Limits, tracks []JobClass) *Node {
	n := &Node{policy: brain, limits: limits, idleLimit: limits.MaxIdle, executors: map[policy.ExecutorID]*executor{},
		conns: map[ConnID]*conn{}, jobs: map[policy.JobID]*job{},
		excluded: map[policy.ExecutorID]bool{}, readmittedAt: map[policy.ExecutorID]time.Duration{}, classes: jobClasses{lastIDByName: map[string]policy.JobClassID{}}, handoff: handoff{relays: map[uint64]*pendingRelay{}}}
	n.setJobClasses(tracks)
	return n
}

// Step takes one event in and gives the effects, which are good until the next step.
func (n *Node) Step(now time.Duration, ev Event) (out []Effect) {
	n.now, n.effects = now, n.effects[:0]
	defer func() {
		if p := recover(); p != nil {
			n.policyPanicked(fmt.Sprintf("%s: %v\n%s", PolicyPanicked, p, debug.Stack()))
		}
		out = n.effects
	}()
	n.tickFleet() // first: what came while this node stood still is not to be judged by what was before
	n.handle(ev)
	n.expireJobs()
	n.expireHandoff()
	n.runPolicyTasks()
	n.closeFrontendWhenDone()
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }
