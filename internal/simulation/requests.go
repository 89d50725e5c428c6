package simulation

import (
	"cmp"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// clientRequest is one request of a client for a work item. A retry of the work item is a separate request.
type clientRequest struct {
	clients          *zoneClients
	work             *emulator.Work
	job              policy.JobID
	node             *simNode // nil if no node could be reached
	incarnation      int      // incarnation of the node to which the request is sent
	attempts         int      // number of attempts of the request so far
	attemptsInFlight int
	sentAt           time.Duration // time at which the first byte of the last attempt was sent
	delivered        bool          // the last attempt has arrived at its executor
	answered         bool          // the node has answered the request, has ended, or knows that the client has disconnected
	connLost         bool          // the client's connection broke, and the node has not noticed this yet
	conn             resetter      // the client's connection; used in networked simulations
}

// resetter is a connection that can be reset.
type resetter interface{ Reset() }

// receive models the node's frontend. It drops a request whose job ID is in flight already. It delivers every other
// request to the state machine.
func (n *simNode) receive(request *clientRequest) {
	sim, work := n.sim, request.work
	if other := n.requests[request.job]; other != nil && !other.answered {
		return
	}
	n.requests[request.job] = request
	n.jobsInFlight++
	sim.account.request(request).arrivedAt = sim.now
	budget := (work.Deadline - sim.now).Truncate(time.Millisecond)
	sim.observe(invariants.Event{Kind: invariants.JobAccepted, Node: n.id, Job: request.job, Work: work.ID, Class: work.Class, Deadline: sim.now + budget})
	n.deliver(node.JobArrived{Job: node.Job{
		Request:     node.Request{ID: request.job, Method: "POST", URI: "/", IdempotencyKey: sim.idempotencyKey(work), Body: sim.requestBody()},
		Class:       work.Class,
		Work:        secondsOf(work.StatedCost).Truncate(time.Microsecond),
		Budget:      budget,
		ClientRetry: sim.scenario.Load.MarksRetries && work.Retries > 0,
		Client:      request,
	}})
	n.maxQueued = max(n.maxQueued, n.jobsInFlight-n.attemptsInFlight)
	leavesAt := min(work.LeavesAt, work.Deadline+answerTolerance+time.Millisecond)
	n.after(leavesAt-sim.now, func() { n.clientLeaves(request) })
	if work.RepeatsID() && sim.jobClasses[work.Class].Idempotency == policy.Idempotent {
		n.after(time.Duration(sim.networkRand.Int64N(int64(time.Second))), func() { n.repeatID(request) })
	}
}

// repeatID models a misbehaving client. The client disconnects and at once sends the same job ID again, although an
// attempt of the job can still be in flight.
func (n *simNode) repeatID(request *clientRequest) {
	if request.answered || request.connLost {
		return
	}
	n.clientGone(request)
	n.after(processingDelay, func() {
		n.receive(&clientRequest{clients: request.clients, work: request.work, job: request.job, node: n, incarnation: request.incarnation})
	})
}

// requestBody returns the body that all requests share. Nothing reads its content.
func (sim *Simulation) requestBody() []byte {
	if sim.result.requestBody == nil {
		sim.result.requestBody = make([]byte, sim.scenario.Load.BodyBytes)
	}
	return sim.result.requestBody
}

// clientLeaves lets the client close its connection before it has an answer.
func (n *simNode) clientLeaves(request *clientRequest) {
	if request.answered || request.connLost || n.requests[request.job] != request {
		return
	}
	n.clientGone(request)
	if request.work.LeavesAt <= n.sim.now {
		n.sim.result.Left++
	}
	request.finish(emulator.EndFailed, 0)
}

// Gone returns whether the node's machine knows that the client has disconnected. A node checks this right before it
// sends an attempt, because the node's process can learn of the disconnection later than its machine.
func (r *clientRequest) State() node.ClientState {
	if r.answered && !r.node.sim.defects.hideClientGone {
		return node.ClientGone
	}
	return node.ClientWaits
}

// clientGone records that the client has disconnected, and notifies the node.
func (n *simNode) clientGone(request *clientRequest) {
	request.answered = true
	n.jobsInFlight--
	n.sim.observe(invariants.Event{Kind: invariants.ClientLeft, Node: n.id, Job: request.job})
	if n.sim.defects.hideClientLeft {
		return
	}
	n.sim.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: n.id, Job: request.job})
	n.deliver(node.ClientLeft{Job: request.job, Client: request})
}

// answer sends a node's final answer to the client.
func (n *simNode) answer(answer node.Answer) {
	sim := n.sim
	sim.observe(invariants.Event{Kind: invariants.JobAnswered, Node: n.id, Job: answer.Job, Final: invariants.Final(answer.Final)})
	request := n.requests[answer.Job]
	if request == nil || request.answered {
		return
	}
	request.answered = true
	n.jobsInFlight--
	sim.account.request(request).answeredAt = sim.now
	if request.connLost {
		return
	}
	delay := sim.randomDelay(n.zone, request.clients.zone) / 2
	sim.after(delay, func() { request.finish(emulator.End(answer.Final), answer.RetryAfter) })
}

// loseClients breaks the connections of all clients of a node that has ended.
func (n *simNode) loseClients() {
	for _, request := range n.requestsInFlight() {
		request.answered = true
		if !request.connLost {
			delay := n.sim.randomDelay(n.zone, request.clients.zone) / 2
			n.sim.after(delay, func() { request.finish(emulator.EndLost, 0) })
		}
	}
}

// requestsInFlight returns the requests that the node's present process has not answered, in the order of their job
// IDs. It omits requests whose connection broke.
func (n *simNode) requestsInFlight() (open []*clientRequest) {
	all := n.requests
	if n.process != nil {
		all = n.sim.networked.requests
	}
	for _, request := range all {
		if !request.answered && !request.connLost && request.node == n && request.incarnation == n.incarnation {
			open = append(open, request)
		}
	}
	slices.SortFunc(open, func(a, b *clientRequest) int { return cmp.Compare(a.job, b.job) })
	return open
}

// finishUnsent ends a request for its client. It marks the request as answered, because no node will answer it any more.
func (r *clientRequest) finishUnsent(end emulator.End, retryAfter time.Duration) {
	r.answered = true
	r.finish(end, retryAfter)
}

// finish ends a request for its client. The client then retries, or the work item has ended.
func (r *clientRequest) finish(end emulator.End, retryAfter time.Duration) {
	sim, work := r.clients.sim, r.work
	if work.Ended || r.job != work.Job() {
		return // the work item has ended, or a retry has replaced this request
	}
	history := sim.account.request(r)
	history.doneAt, history.end = sim.now, end
	earned := sim.result.recordRequestEnd(sim, work, end)
	if at, retries := r.clients.RetryAt(sim.now, work, end, retryAfter); retries {
		sim.at(at, func() { r.clients.submit(work) })
		return
	}
	work.Ended = true
	sim.account.recordFinished(work, earned)
	sim.worksInFlight--
	if work.Client != openLoop {
		sim.after(r.clients.Behavior.ThinkTime, func() { r.clients.submitNext(work.Client) })
	}
}
