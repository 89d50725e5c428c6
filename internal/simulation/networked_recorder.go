package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// recordStep records a step of the state machine: the event and the effects. The process calls recordStep after each
// step.
func (p *nodeProcess) recordStep(_ time.Duration, event node.Event, effects []node.Effect) {
	p.networked.locked(func() {
		gaveUp := p.gaveUp
		p.gaveUp = nil
		if p.ended {
			return
		}
		p.recordEvent(event)
		p.node.recordAdminCall(event, effects)
		for _, s := range gaveUp {
			p.networked.sim.observe(s)
		}
		for _, effect := range effects {
			p.recordEffect(effect)
		}
	})
}

// recordEvent records an event of the state machine.
func (p *nodeProcess) recordEvent(event node.Event) {
	n, sim := p.node, p.networked.sim
	switch event := event.(type) {
	case node.JobArrived:
		request := p.networked.requests[event.Job.ID]
		if request == nil { // no client sent this request: it was hidden in the body of another request
			sim.result.Wrong++
			return
		}
		n.jobsInFlight++
		sim.observe(invariants.Event{Kind: invariants.JobAccepted, Node: n.id, Job: request.job, Work: request.work.ID, Class: request.work.Class,
			Deadline: sim.now + event.Job.Budget})
	case node.ClientLeft:
		n.jobsInFlight--
		sim.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: n.id, Job: event.Job})
	case node.EndpointsUpdated:
		p.recordEndpoints(event)
	case node.AttemptEnded:
		p.attemptEnded(event.Conn, event.Outcome.NeverRan())
	case node.AttemptNotSent: // the first byte was recorded with the effect, but was never sent
		p.attemptEnded(event.Conn, true)
	case node.ConnClosed: // the connection closed before any byte of an attempt was sent: otherwise AttemptEnded would have come first
		p.attemptEnded(event.Conn, true)
	}
}

// recordEndpoints records an update of the endpoint list.
func (p *nodeProcess) recordEndpoints(event node.EndpointsUpdated) {
	if event.Kind == policy.WatchFailed || event.Kind == policy.CachedUpdate {
		return
	}
	var entries []emulator.Entry
	for _, endpoint := range event.Endpoints {
		endpoint.StartedAt += p.node.startedAt
		entries = append(entries, emulator.Entry{Endpoint: endpoint.Endpoint, Addr: endpoint.Addr})
	}
	p.node.endpointsUpdate(event.Kind, entries)
}

// attemptEnded records the end of the attempt in flight on a connection, if there is one.
func (p *nodeProcess) attemptEnded(id node.ConnID, neverRan bool) {
	if attempt := p.attempts[id]; attempt != nil {
		delete(p.attempts, id)
		p.node.recordAttemptEnd(attempt, neverRan)
	}
}

// recordEffect records an effect of the state machine.
func (p *nodeProcess) recordEffect(effect node.Effect) {
	n, sim := p.node, p.networked.sim
	switch effect := effect.(type) {
	case node.Answer:
		n.jobsInFlight--
		sim.observe(invariants.Event{Kind: invariants.JobAnswered, Node: n.id, Job: effect.Job, Final: invariants.Final(effect.Final)})
	case node.Dial:
		if x := sim.byAddr[effect.Addr]; x != nil {
			n.dialed[effect.Conn] = x
		}
	case node.WriteAttempt:
		request, x := p.networked.requests[effect.Attempt.ID], n.dialed[effect.Conn]
		if request == nil || x == nil {
			return
		}
		p.attempts[effect.Conn] = n.recordAttempt(request, x)
	case node.SetReady:
		n.ready = effect.Ready
	case node.Log:
		n.recordLog(effect)
	case node.CloseFrontend:
		n.frontendClosed = true
	}
	n.maxQueued = max(n.maxQueued, n.jobsInFlight-n.attemptsInFlight)
}
