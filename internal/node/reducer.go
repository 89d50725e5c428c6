// Package node is a node's core: one reducer that owns all its state and the decision module. An event goes
// in, state changes, effects come out. It reads no clock and does no input or output; the packages by peer do
// that and tell in events how it ended. What is decided is decided in package policy.
//
// The reducer stands in reducer.go, connections in conns.go, the list in endpoints.go, events and effects in
// events.go; run.go feeds it and carries out its effects.
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

// breakSpell is how soon after a panic of the module it is asked again.
const breakSpell = 100 * time.Millisecond

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
	brain     Policy
	limits    Limits
	executors map[policy.ExecutorID]*executor
	conns     map[ConnID]*conn
	resting   restings
	lastConn  ConnID
	probing   int           // probes out
	shortRest time.Duration // so long a connection may rest and still be used, by what was seen to break
	shortSeen time.Duration // when that was seen last
	jobs      map[policy.JobID]*job
	bodies    int
	due       dueHeap // batch jobs that are owed an answer, by when they are looked at next
	order     int
	deciding  *job // the one that the module is asked about
	ready     bool
	drained   bool                                // by operators
	outs      map[policy.ExecutorID]bool          // taken out by them
	backs     map[policy.ExecutorID]time.Duration // when they put one back
	figures   Metrics
	halved    bool
	fleet     *cluster.Fleet // nil where this node talks with no others
	pair
	booked   []int                        // by a track's number, where its figures stand
	repeats  []policy.Idempotency         // by that number
	tracks   []NumberedClass              // the current ones
	former   map[string]policy.JobClassID // by name, the last number that it bore
	lists    int
	listLost bool
	losts    int // calls for the list that brought nothing
	stopping bool
	leaving  bool
	stopAt   time.Duration // when no new batch jobs come any more
	stopBy   time.Duration // when all must be answered
	now      time.Duration
	armed    time.Duration
	out      []Effect
}

// job is a batch job in hand: from its arrival until it is answered and nothing of it is out.
type job struct {
	Job
	limitAt  time.Duration
	answered bool
	conns    []*conn // of the allocations that are out: two at most, and a second one only where the module copies
	sent     int
	dueAt    time.Duration
	order    int // of those due at the same time
	place    int // in the heap
}

// New makes a node that knows nothing yet, with its tracks, numbered from 0.
func New(brain Policy, limits Limits, tracks []JobClass) *Node {
	n := &Node{brain: brain, limits: limits, shortRest: limits.MaxIdle, executors: map[policy.ExecutorID]*executor{},
		conns: map[ConnID]*conn{}, jobs: map[policy.JobID]*job{},
		outs: map[policy.ExecutorID]bool{}, backs: map[policy.ExecutorID]time.Duration{}, former: map[string]policy.JobClassID{}, pair: pair{relays: map[uint64]*relay{}}}
	n.number(tracks)
	return n
}

// Step takes one event in and gives the effects, which are good until the next step.
func (n *Node) Step(now time.Duration, ev Event) (out []Effect) {
	n.now, n.out = now, n.out[:0]
	defer func() {
		if p := recover(); p != nil {
			n.broke(fmt.Sprintf("%s: %v\n%s", PolicyPanicked, p, debug.Stack()))
		}
		out = n.out
	}()
	n.fleetDue() // first: what came while this node stood still is not to be judged by what was before
	n.take(ev)
	n.fallDue()
	n.pairDue()
	n.doDue()
	n.leave()
	return n.out
}

// broke keeps a panic of the module to the batch job that it met: that one is broken off, which promises nothing,
// and all others go on.
func (n *Node) broke(text string) {
	n.say(Log{Text: text})
	if j := n.deciding; j != nil && len(j.conns) == 0 {
		n.answer(j, Answer{Final: Failed})
	}
	n.deciding = nil
	n.wake(n.now + breakSpell)
}

func (n *Node) say(e Effect) { n.out = append(n.out, e) }

func (n *Node) take(ev Event) {
	switch ev := ev.(type) {
	case JobArrived:
		n.arrived(ev.Job)
	case ClientLeft:
		// Guards against word of a client that the last look had seen leave, once its id has come again from another one.
		if j := n.jobs[ev.Job]; j != nil && j.Client == ev.Client {
			n.left(j)
		}
	case EndpointsUpdated:
		n.listed(ev)
	case DiscoverySwitchPending:
		n.say(Log{Text: fmt.Sprintf("no list from %s yet, the old address counts: %s", ev.Addr, ev.Detail)})
	case ConfigReloaded:
		n.reread(ev)
	case ConnReady:
		n.dialled(n.conns[ev.Conn])
	case AttemptProgressed:
		n.told(n.conns[ev.Conn], ev)
	case AttemptEnded:
		n.ended(n.conns[ev.Conn], ev)
	case ProbeEnded:
		n.probing--
		n.brain.ProbeEnded(n.now, ev.Executor, ev.Answered, ev.Load)
	case ConnIdle:
		n.rested(n.conns[ev.Conn])
	case AttemptNotSent:
		n.unsent(n.conns[ev.Conn])
	case ConnClosed:
		n.closed(n.conns[ev.Conn], ev.Detail)
	case ShutdownRequested:
		n.stop()
	case FrontendClosed:
		if n.stopping && len(n.due) > 0 { // one has come at the last moment; it has its answer by its limit
			n.say(CloseFrontend{})
			return
		}
		for len(n.due) > 0 { // the front broke: nobody would learn what becomes of them
			n.answer(n.due[0], Answer{Final: Failed})
		}
		n.say(Exit{})
	case JobDeclined:
		n.count(ev.Class, Failed)
	case AdminCalled:
		n.called(ev)
	case HandoffLinkUp:
		n.joined(ev.Link)
	case HandoffReceived:
		n.heard(ev.Link, ev.Message)
	case HandoffLinkDown:
		n.parted(ev.Link, ev.Detail)
	case FleetChanged, GossipReceived, LeaseMessageReceived, GossipUnreadable:
		n.ofFleet(ev)
	case TimerFired:
		n.armed = -1
	}
}

// arrived takes a batch job, or, at the edge of descriptors or memory, pushes it back: nothing of it was sent.
func (n *Node) arrived(in Job) {
	if n.jobs[in.ID] != nil {
		// Its client left it, and came again under the same id while an allocation of it is still out.
		n.count(in.Class, Failed)
		n.say(Answer{Job: in.ID, Final: Failed})
		return
	}
	if in.NearConnectionLimit || n.bodies+len(in.Body) > n.limits.MaxBodyBytes {
		n.count(in.Class, Rejected)
		n.say(Answer{Job: in.ID, Final: Rejected, RetryAfter: n.limits.RetryAfter})
		return
	}
	j := &job{Job: in, limitAt: n.now + in.Budget}
	if n.stopping {
		j.limitAt = min(j.limitAt, n.stopBy)
	}
	n.jobs[j.ID] = j
	n.bodies += len(j.Body)
	n.order++
	j.order, j.dueAt = n.order, j.limitAt-n.limits.Quantum
	heap.Push(&n.due, j)
	n.deciding = j
	n.brain.JobArrived(n.now, policy.Arrival{Job: j.ID, Class: j.Class, Tenant: j.Tenant, Work: min(j.Work, n.limits.MaxWork),
		Budget: j.Budget, ClientRetry: j.ClientRetry})
	n.deciding = nil
}

// drop gives a batch job back, once it has its answer and nothing of it is out.
func (n *Node) drop(j *job) {
	if j.answered && len(j.conns) == 0 && n.jobs[j.ID] == j {
		delete(n.jobs, j.ID)
		n.bodies -= len(j.Body)
	}
}

// answer gives the final answer, unless it is given or the client has left.
func (n *Node) answer(j *job, a Answer) {
	if !j.answered {
		a.Job = j.ID
		n.count(j.Class, a.Final)
		n.say(a)
		n.settled(j)
	}
}

// settled notes that nothing more is owed for a batch job.
func (n *Node) settled(j *job) {
	j.answered = true
	heap.Remove(&n.due, j.place)
	n.drop(j)
}

// left notes that a batch job's client has gone: it is owed no answer, and nothing of it is sent any more.
func (n *Node) left(j *job) {
	if !j.answered {
		n.settled(j)
		n.brain.ClientLeft(n.now, j.ID)
	}
}

// carryOut does what the module decided for a batch job.
func (n *Node) carryOut(j *job, what policy.Decision) {
	n.deciding = nil
	switch what.Action {
	case policy.Send:
		n.send(j, what.Executor)
	case policy.Reject:
		n.answer(j, Answer{Final: Rejected, RetryAfter: what.RetryAfter})
	case policy.Fail:
		n.answer(j, Answer{Final: Failed})
	}
}

// over tells the module of an allocation's end and does what follows.
func (n *Node) over(j *job, a policy.AttemptID, how policy.Outcome) {
	n.drop(j)
	n.deciding = j
	n.carryOut(j, n.brain.AttemptEnded(n.now, j.ID, a, how, j.answered))
}

// fallDue stops what is out at its outer limit. What the module has left without an answer even then is broken
// off here, or a batch job that was taken would be lost.
func (n *Node) fallDue() {
	for len(n.due) > 0 && n.due[0].dueAt <= n.now {
		j := n.due[0]
		if n.now >= j.limitAt {
			n.answer(j, Answer{Final: Failed})
			n.brain.ClientLeft(n.now, j.ID)
			continue
		}
		j.dueAt = j.limitAt
		heap.Fix(&n.due, 0)
		for _, c := range slices.Clone(j.conns) {
			n.giveUp(c, policy.TimedOut)
		}
	}
}

// doDue does all that the module has due, then asks for the one timer.
func (n *Node) doDue() {
	for {
		due := n.brain.NextTask(n.now)
		switch due.Task {
		case policy.PlaceJob:
			if j := n.jobs[due.Job]; j != nil {
				n.deciding = j
				n.carryOut(j, n.brain.Place(n.now, due.Job))
			} else {
				n.brain.ClientLeft(n.now, due.Job)
			}
		case policy.CancelAttempt:
			if j := n.jobs[due.Job]; j != nil {
				if i := slices.IndexFunc(j.conns, func(c *conn) bool { return c.number == due.Attempt }); i >= 0 {
					n.giveUp(j.conns[i], policy.Canceled)
				}
			}
		case policy.ProbeExecutor:
			n.probe(due.Executor)
		case policy.SendLeaseMessage:
			if n.fleet != nil { // else nobody carries it
				n.say(SendLeaseMessage{To: due.Node, Message: due.Message, Hash: due.Hash})
			}
		case policy.WatchEndpoints:
			n.say(WatchEndpoints{})
		case policy.WriteLog:
			n.say(Log{Text: due.Text})
		case policy.Sleep:
			at := min(due.At, n.nextPairDue())
			if n.fleet != nil {
				at = min(at, n.fleet.Next())
			}
			if len(n.due) > 0 {
				at = min(at, n.due[0].dueAt)
			}
			if n.stopping && n.now < n.stopAt {
				at = min(at, n.stopAt)
			}
			n.wake(at)
			return
		}
	}
}

func (n *Node) wake(at time.Duration) {
	if at != n.armed {
		n.armed = at
		n.say(SetTimer{at})
	}
}

// stop begins the end: no new readiness, what still comes is taken, and all is answered in time. The module is
// told, so that it sends nothing that can't be done by then.
func (n *Node) stop() {
	if n.stopping {
		return
	}
	n.stopping, n.stopAt, n.stopBy = true, n.now+n.limits.LameDuckPeriod, n.now+n.limits.ShutdownTimeout
	n.say(SetReady{false})
	n.say(Log{Text: fmt.Sprintf("told to stop with %d batch jobs in hand", len(n.due))})
	for _, j := range n.due {
		j.limitAt = min(j.limitAt, n.stopBy)
		j.dueAt = min(j.dueAt, n.stopBy-n.limits.Quantum)
	}
	heap.Init(&n.due)
	n.brain.ShutDownBy(n.now, n.stopBy)
}

// leave closes the front once nothing is owed any more; the process ends when that is done.
func (n *Node) leave() {
	if n.stopping && !n.leaving && n.now >= n.stopAt && len(n.due) == 0 {
		n.leaving = true
		n.say(Log{Text: "all is answered"})
		n.say(CloseFrontend{})
	}
}

// dueHeap is a heap of batch jobs by when they are due; each knows its place in it.
type dueHeap []*job

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].order < h[j].order
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *dueHeap) Push(x any) {
	x.(*job).place = len(*h)
	*h = append(*h, x.(*job))
}
func (h *dueHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
