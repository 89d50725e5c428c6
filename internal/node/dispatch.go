package node

import (
	"fmt"
)

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
