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

// clientRequest is one request of a client to a node for a work. A client's retry is another one.
type clientRequest struct {
	clients     *zoneClients
	work        *emulator.Work
	job         policy.JobID
	node        *simNode // nil if none could be reached
	incarnation int      // of the node
	attempts    int      // so far
	attemptsOut int
	sentAt      time.Duration // of the last attempt
	delivered   bool          // the last attempt has reached its executor
	answered    bool          // the node owes no answer any more
	connLost    bool          // the client's connection broke, and the node does not know yet
	conn        resetter      // the client's connection, in a wired world
}

// resetter is a connection that can be reset.
type resetter interface{ Reset() }

// receive is a node's frontend: a request with the ID of an open one is dropped, all others go to the state machine.
func (n *simNode) receive(request *clientRequest) {
	w, work := n.world, request.work
	if other := n.requests[request.job]; other != nil && !other.answered {
		return
	}
	n.requests[request.job] = request
	n.openJobs++
	w.account.request(request).arrived = w.now
	budget := (work.Deadline - w.now).Truncate(time.Millisecond)
	w.observe(invariants.Event{Kind: invariants.JobAccepted, Node: n.id, Job: request.job, Work: work.ID, Class: work.Class, Deadline: w.now + budget})
	n.deliver(node.JobArrived{Job: node.Job{
		Request:     node.Request{ID: request.job, Method: "POST", URI: "/", IdempotencyKey: w.idempotencyKey(work), Body: w.requestBody()},
		Class:       work.Class,
		Work:        secondsOf(work.StatedCost).Truncate(time.Microsecond),
		Budget:      budget,
		ClientRetry: w.scenario.Load.MarksRetries && work.Retries > 0,
		Client:      request,
	}})
	n.maxQueued = max(n.maxQueued, n.openJobs-n.attemptsOut)
	leavesAt := min(work.LeavesAt, work.Deadline+slack+time.Millisecond)
	n.after(leavesAt-w.now, func() { n.clientLeaves(request) })
	if work.RepeatsID() && w.jobClasses[work.Class].Idempotency == policy.Idempotent {
		n.after(time.Duration(w.networkRand.Int64N(int64(time.Second))), func() { n.repeatID(request) })
	}
}

// repeatID is a misbehaving client: it leaves, and requests the same job ID again at once, while an attempt may be out.
func (n *simNode) repeatID(request *clientRequest) {
	if request.answered || request.connLost {
		return
	}
	n.clientGone(request)
	n.after(processingDelay, func() {
		n.receive(&clientRequest{clients: request.clients, work: request.work, job: request.job, node: n, incarnation: request.incarnation})
	})
}

// requestBody is the body of all requests; nobody reads what is in it.
func (w *Simulation) requestBody() []byte {
	if w.result.requestBody == nil {
		w.result.requestBody = make([]byte, w.scenario.Load.BodyBytes)
	}
	return w.result.requestBody
}

// clientLeaves is a client closing its connection before it has an answer.
func (n *simNode) clientLeaves(request *clientRequest) {
	if request.answered || request.connLost || n.requests[request.job] != request {
		return
	}
	n.clientGone(request)
	if request.work.LeavesAt <= n.world.now {
		n.world.result.Left++
	}
	request.finish(emulator.EndFailed, 0)
}

// Gone says right before an attempt whether the node's machine knows that the client has gone, even if the process has not read that.
func (r *clientRequest) Gone() bool { return r.answered && !r.node.world.defects.hideClientGone }

// clientGone notifies the node that a client does not wait any more.
func (n *simNode) clientGone(request *clientRequest) {
	request.answered = true
	n.openJobs--
	n.world.observe(invariants.Event{Kind: invariants.ClientLeft, Node: n.id, Job: request.job})
	if n.world.defects.hideClientLeft {
		return
	}
	n.world.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: n.id, Job: request.job})
	n.deliver(node.ClientLeft{Job: request.job, Client: request})
}

// answer sends a node's final answer to the client.
func (n *simNode) answer(answer node.Answer) {
	w := n.world
	w.observe(invariants.Event{Kind: invariants.JobAnswered, Node: n.id, Job: answer.Job, Final: invariants.Final(answer.Final)})
	request := n.requests[answer.Job]
	if request == nil || request.answered {
		return
	}
	request.answered = true
	n.openJobs--
	w.account.request(request).answered = w.now
	if request.connLost {
		return
	}
	delay := w.randomDelay(n.zone, request.clients.zone) / 2
	w.after(delay, func() { request.finish(emulator.End(answer.Final), answer.RetryAfter) })
}

// loseClients breaks all clients' connections to a node that has ended.
func (n *simNode) loseClients() {
	for _, request := range n.openRequests() {
		request.answered = true
		if !request.connLost {
			delay := n.world.randomDelay(n.zone, request.clients.zone) / 2
			n.world.after(delay, func() { request.finish(emulator.EndLost, 0) })
		}
	}
}

// openRequests are the requests that the node's process owes an answer, in the order of their job IDs.
func (n *simNode) openRequests() (open []*clientRequest) {
	all := n.requests
	if n.process != nil {
		all = n.world.wired.requests
	}
	for _, request := range all {
		if !request.answered && !request.connLost && request.node == n && request.incarnation == n.incarnation {
			open = append(open, request)
		}
	}
	slices.SortFunc(open, func(a, b *clientRequest) int { return cmp.Compare(a.job, b.job) })
	return open
}

// finishUnsent ends a request that no node has received.
func (r *clientRequest) finishUnsent(end emulator.End, retryAfter time.Duration) {
	r.answered = true
	r.finish(end, retryAfter)
}

// finish is the end of a request for its client, which retries or is done with the work.
func (r *clientRequest) finish(end emulator.End, retryAfter time.Duration) {
	w, work := r.clients.world, r.work
	if work.Over || r.job != work.Job() {
		return // a repeated ID whose request has ended
	}
	history := w.account.request(r)
	history.done, history.end = w.now, end
	earned := w.result.recordRequestEnd(w, work, end)
	if at, retries := r.clients.RetryAt(w.now, work, end, retryAfter); retries {
		w.at(at, func() { r.clients.submit(work) })
		return
	}
	work.Over = true
	w.account.recordFinished(work, earned)
	w.openWorks--
	if work.Client != openLoop {
		w.after(r.clients.Behavior.Think, func() { r.clients.submitNext(work.Client) })
	}
}
