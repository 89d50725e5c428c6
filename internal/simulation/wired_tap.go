package simulation

import (
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// tap sees a step of the reducer.
func (l *nodeProcess) tap(_ time.Duration, ev node.Event, effects []node.Effect) {
	l.world.update(func() {
		gave := l.gaveUp
		l.gaveUp = nil
		if l.dead {
			return
		}
		l.recordEvent(ev)
		l.node.recordAdminCall(ev, effects)
		for _, s := range gave {
			l.node.world.observe(s)
		}
		for _, e := range effects {
			l.recordEffect(e)
		}
	})
}

func (l *nodeProcess) recordEvent(ev node.Event) {
	n, w := l.node, l.node.world
	switch ev := ev.(type) {
	case node.JobArrived:
		if t := l.world.requests[ev.Job.ID]; t != nil {
			n.openJobs++
			w.observe(invariants.Seen{What: invariants.Taken, Node: n.id, Job: t.job, Work: t.work.ID, Track: t.work.Track, Limit: w.now + ev.Job.Budget})
		} else { // what no client handed in: it was hidden in a body
			w.result.Wrong++
		}
	case node.ClientLeft:
		n.openJobs--
		w.observe(invariants.Seen{What: invariants.Left, Node: n.id, Job: ev.Job})
	case node.EndpointsUpdated:
		if ev.Kind == policy.WatchFailed || ev.Kind == policy.CachedUpdate {
			return
		}
		var entries []emulator.Entry
		for _, e := range ev.Endpoints {
			e.StartedAt += n.startedAt
			entries = append(entries, emulator.Entry{Endpoint: e.Endpoint, Addr: e.Addr})
		}
		n.endpointsUpdate(ev.Kind, entries)
	case node.AttemptEnded:
		l.attemptEnded(ev.Conn, ev.Outcome.NeverRan())
	case node.AttemptNotSent: // what was booked as its first byte with the effect never left
		l.attemptEnded(ev.Conn, true)
	case node.ConnClosed:
		l.attemptEnded(ev.Conn, true) // nothing of it had left, or its outcome would have come
	}
}

func (l *nodeProcess) attemptEnded(id node.ConnID, proof bool) {
	if o := l.attempts[id]; o != nil {
		delete(l.attempts, id)
		l.node.recordAttemptEnd(o, proof)
	}
}

func (l *nodeProcess) recordEffect(e node.Effect) {
	n, w := l.node, l.node.world
	switch e := e.(type) {
	case node.Answer:
		n.openJobs--
		w.observe(invariants.Seen{What: invariants.Answered, Node: n.id, Job: e.Job, Final: invariants.Final(e.Final)})
	case node.Dial:
		if x := w.byAddr[e.Addr]; x != nil {
			n.dialed[e.Conn] = x
		}
	case node.WriteAttempt:
		t, x := l.world.requests[e.Attempt.ID], n.dialed[e.Conn]
		if t == nil || x == nil {
			return
		}
		l.attempts[e.Conn] = n.recordAttempt(t, x)
	case node.SetReady:
		n.ready = e.Yes
	case node.Log:
		n.recordLog(e)
	case node.CloseFrontend:
		n.frontendClosed = true
	}
	n.maxQueued = max(n.maxQueued, n.openJobs-n.attemptsOut)
}
