package node

import (
	"container/heap"
	"fmt"
	"runtime/debug"
	"slices"
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
	metrics            Metrics
	limitsHalved       bool
	fleet              *cluster.Fleet // nil where this node talks with no others
	handoff
	metricsIndex    []int                        // by a track's number, where its figures stand
	idempotency     []policy.Idempotency         // by that number
	current         []NumberedClass              // the current ones
	lastIDByName    map[string]policy.JobClassID // by name, the last number that it bore
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

// job is a batch job in hand: from its arrival until it is answered and nothing of it is out.
type job struct {
	Job
	deadline  time.Duration
	answered  bool
	conns     []*conn // of the allocations that are out: two at most, and a second one only where the module copies
	attempts  int
	expiresAt time.Duration
	arrival   int // of those due at the same time
	heapIndex int // in the heap
}

// New makes a node that knows nothing yet, with its tracks, numbered from 0.
func New(brain Policy, limits Limits, tracks []JobClass) *Node {
	n := &Node{policy: brain, limits: limits, idleLimit: limits.MaxIdle, executors: map[policy.ExecutorID]*executor{},
		conns: map[ConnID]*conn{}, jobs: map[policy.JobID]*job{},
		excluded: map[policy.ExecutorID]bool{}, readmittedAt: map[policy.ExecutorID]time.Duration{}, lastIDByName: map[string]policy.JobClassID{}, handoff: handoff{relays: map[uint64]*pendingRelay{}}}
	n.numberJobClasses(tracks)
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

// policyPanicked keeps a panic of the module to the batch job that it met: that one is broken off, which promises nothing,
// and all others go on.
func (n *Node) policyPanicked(text string) {
	n.emit(Log{Text: text})
	if j := n.deciding; j != nil && len(j.conns) == 0 {
		n.answer(j, Answer{Final: Failed})
	}
	n.deciding = nil
	n.setTimer(n.now + panicBackoff)
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case JobArrived:
		n.jobArrived(ev.Job)
	case ClientLeft:
		// Guards against word of a client that the last look had seen leave, once its id has come again from another one.
		if j := n.jobs[ev.Job]; j != nil && j.Client == ev.Client {
			n.clientLeft(j)
		}
	case EndpointsUpdated:
		n.endpointsUpdated(ev)
	case DiscoverySwitchPending:
		n.emit(Log{Text: fmt.Sprintf("no list from %s yet, the old address counts: %s", ev.Addr, ev.Detail)})
	case ConfigReloaded:
		n.configReloaded(ev)
	case ConnReady:
		n.connReady(n.conns[ev.Conn])
	case AttemptProgressed:
		n.attemptProgressed(n.conns[ev.Conn], ev)
	case AttemptEnded:
		n.attemptEnded(n.conns[ev.Conn], ev)
	case ProbeEnded:
		n.probesInFlight--
		n.policy.ProbeEnded(n.now, ev.Executor, ev.Answered, ev.Load)
	case ConnIdle:
		n.connIdle(n.conns[ev.Conn])
	case AttemptNotSent:
		n.attemptNotSent(n.conns[ev.Conn])
	case ConnClosed:
		n.connClosed(n.conns[ev.Conn], ev.Detail)
	case ShutdownRequested:
		n.beginShutdown()
	case FrontendClosed:
		if n.stopping && len(n.unanswered) > 0 { // one has come at the last moment; it has its answer by its limit
			n.emit(CloseFrontend{})
			return
		}
		for len(n.unanswered) > 0 { // the front broke: nobody would learn what becomes of them
			n.answer(n.unanswered[0], Answer{Final: Failed})
		}
		n.emit(Exit{})
	case JobDeclined:
		n.count(ev.Class, Failed)
	case AdminCalled:
		n.adminCalled(ev)
	case HandoffLinkUp:
		n.handoffLinkUp(ev.Link)
	case HandoffReceived:
		n.handoffReceived(ev.Link, ev.Message)
	case HandoffLinkDown:
		n.handoffLinkDown(ev.Link, ev.Detail)
	case FleetChanged, GossipReceived, LeaseMessageReceived, GossipUnreadable:
		n.handleGossip(ev)
	case TimerFired:
		n.timerAt = -1
	}
}

// jobArrived takes a batch job, or, at the edge of descriptors or memory, pushes it back: nothing of it was sent.
func (n *Node) jobArrived(in Job) {
	if n.jobs[in.ID] != nil {
		// Its client left it, and came again under the same id while an allocation of it is still out.
		n.count(in.Class, Failed)
		n.emit(Answer{Job: in.ID, Final: Failed})
		return
	}
	if in.NearConnectionLimit || n.bodyBytes+len(in.Body) > n.limits.MaxBodyBytes {
		n.count(in.Class, Rejected)
		n.emit(Answer{Job: in.ID, Final: Rejected, RetryAfter: n.limits.RetryAfter})
		return
	}
	j := &job{Job: in, deadline: n.now + in.Budget}
	if n.stopping {
		j.deadline = min(j.deadline, n.deadline)
	}
	n.jobs[j.ID] = j
	n.bodyBytes += len(j.Body)
	n.arrivals++
	j.arrival, j.expiresAt = n.arrivals, j.deadline-n.limits.Quantum
	heap.Push(&n.unanswered, j)
	n.deciding = j
	n.policy.JobArrived(n.now, policy.Arrival{Job: j.ID, Class: j.Class, Tenant: j.Tenant, Work: min(j.Work, n.limits.MaxWork),
		Budget: j.Budget, ClientRetry: j.ClientRetry})
	n.deciding = nil
}

// release gives a batch job back, once it has its answer and nothing of it is out.
func (n *Node) release(j *job) {
	if j.answered && len(j.conns) == 0 && n.jobs[j.ID] == j {
		delete(n.jobs, j.ID)
		n.bodyBytes -= len(j.Body)
	}
}

// answer gives the final answer, unless it is given or the client has left.
func (n *Node) answer(j *job, a Answer) {
	if !j.answered {
		a.Job = j.ID
		n.count(j.Class, a.Final)
		n.emit(a)
		n.settle(j)
	}
}

// settle notes that nothing more is owed for a batch job.
func (n *Node) settle(j *job) {
	j.answered = true
	heap.Remove(&n.unanswered, j.heapIndex)
	n.release(j)
}

// clientLeft notes that a batch job's client has gone: it is owed no answer, and nothing of it is sent any more.
func (n *Node) clientLeft(j *job) {
	if !j.answered {
		n.settle(j)
		n.policy.ClientLeft(n.now, j.ID)
	}
}

// applyDecision does what the module decided for a batch job.
func (n *Node) applyDecision(j *job, what policy.Decision) {
	n.deciding = nil
	switch what.Action {
	case policy.Send:
		n.startAttempt(j, what.Executor)
	case policy.Reject:
		n.answer(j, Answer{Final: Rejected, RetryAfter: what.RetryAfter})
	case policy.Fail:
		n.answer(j, Answer{Final: Failed})
	}
}

// attemptOver tells the module of an allocation's end and does what follows.
func (n *Node) attemptOver(j *job, a policy.AttemptID, how policy.Outcome) {
	n.release(j)
	n.deciding = j
	n.applyDecision(j, n.policy.AttemptEnded(n.now, j.ID, a, how, j.answered))
}

// expireJobs stops what is out at its outer limit. What the module has left without an answer even then is broken
// off here, or a batch job that was taken would be lost.
func (n *Node) expireJobs() {
	for len(n.unanswered) > 0 && n.unanswered[0].expiresAt <= n.now {
		j := n.unanswered[0]
		if n.now >= j.deadline {
			n.answer(j, Answer{Final: Failed})
			n.policy.ClientLeft(n.now, j.ID)
			continue
		}
		j.expiresAt = j.deadline
		heap.Fix(&n.unanswered, 0)
		for _, c := range slices.Clone(j.conns) {
			n.abandonAttempt(c, policy.TimedOut)
		}
	}
}

// runPolicyTasks does all that the module has due, then asks for the one timer.
func (n *Node) runPolicyTasks() {
	for {
		due := n.policy.NextTask(n.now)
		switch due.Task {
		case policy.PlaceJob:
			if j := n.jobs[due.Job]; j != nil {
				n.deciding = j
				n.applyDecision(j, n.policy.Place(n.now, due.Job))
			} else {
				n.policy.ClientLeft(n.now, due.Job)
			}
		case policy.CancelAttempt:
			if j := n.jobs[due.Job]; j != nil {
				if i := slices.IndexFunc(j.conns, func(c *conn) bool { return c.attempt == due.Attempt }); i >= 0 {
					n.abandonAttempt(j.conns[i], policy.Canceled)
				}
			}
		case policy.ProbeExecutor:
			n.startProbe(due.Executor)
		case policy.SendLeaseMessage:
			if n.fleet != nil { // else nobody carries it
				n.emit(SendLeaseMessage{To: due.Node, Message: due.Message, Hash: due.Hash})
			}
		case policy.WatchEndpoints:
			n.emit(WatchEndpoints{})
		case policy.WriteLog:
			n.emit(Log{Text: due.Text})
		case policy.Sleep:
			at := min(due.At, n.nextHandoffDeadline())
			if n.fleet != nil {
				at = min(at, n.fleet.Next())
			}
			if len(n.unanswered) > 0 {
				at = min(at, n.unanswered[0].expiresAt)
			}
			if n.stopping && n.now < n.lameDuckUntil {
				at = min(at, n.lameDuckUntil)
			}
			n.setTimer(at)
			return
		}
	}
}

func (n *Node) setTimer(at time.Duration) {
	if at != n.timerAt {
		n.timerAt = at
		n.emit(SetTimer{at})
	}
}

// beginShutdown begins the end: no new readiness, what still comes is taken, and all is answered in time. The module is
// told, so that it sends nothing that can't be done by then.
func (n *Node) beginShutdown() {
	if n.stopping {
		return
	}
	n.stopping, n.lameDuckUntil, n.deadline = true, n.now+n.limits.LameDuckPeriod, n.now+n.limits.ShutdownTimeout
	n.emit(SetReady{false})
	n.emit(Log{Text: fmt.Sprintf("told to stop with %d batch jobs in hand", len(n.unanswered))})
	for _, j := range n.unanswered {
		j.deadline = min(j.deadline, n.deadline)
		j.expiresAt = min(j.expiresAt, n.deadline-n.limits.Quantum)
	}
	heap.Init(&n.unanswered)
	n.policy.ShutDownBy(n.now, n.deadline)
}

// closeFrontendWhenDone closes the front once nothing is owed any more; the process ends when that is done.
func (n *Node) closeFrontendWhenDone() {
	if n.stopping && !n.frontendClosing && n.now >= n.lameDuckUntil && len(n.unanswered) == 0 {
		n.frontendClosing = true
		n.emit(Log{Text: "all is answered"})
		n.emit(CloseFrontend{})
	}
}

// jobHeap is a heap of batch jobs by when they are due; each knows its place in it.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].expiresAt < h[j].expiresAt || h[i].expiresAt == h[j].expiresAt && h[i].arrival < h[j].arrival
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *jobHeap) Push(x any) {
	x.(*job).heapIndex = len(*h)
	*h = append(*h, x.(*job))
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
