package node

import "fmt"

// handle passes an event to the handler of its area.
func (n *Node) handle(ev Event) {
	switch ev := ev.(type) {
	case JobArrived, ClientLeft, JobDeclined, FrontendClosed:
		n.handleFrontend(ev)
	case ConnReady, AttemptProgressed, AttemptEnded, AttemptNotSent, ConnIdle, ConnClosed, HealthCheckEnded:
		n.handleUpstream(ev)
	case EndpointsUpdated, DiscoverySwitchPending, ConfigReloaded:
		n.handleConfiguration(ev)
	case AdminCalled:
		n.adminCalled(ev)
	case HandoffLinkUp, HandoffReceived, HandoffLinkDown:
		n.handleHandoff(ev)
	case AliveNodesChanged, GossipReceived, LeaseMessageReceived, GossipUnreadable:
		n.handleGossip(ev)
	case ShutdownRequested:
		n.beginShutdown()
	case TimerFired:
		n.timerFired()
	}
}

// handleFrontend handles events from clients.
func (n *Node) handleFrontend(ev Event) {
	switch ev := ev.(type) {
	case JobArrived:
		n.jobArrived(ev.Job)
	case ClientLeft:
		n.clientLeft(ev)
	case JobDeclined:
		n.metrics.countAnswer(ev.Class, Failed)
	case FrontendClosed:
		n.frontendClosed()
	}
}

// handleUpstream handles events from executors.
func (n *Node) handleUpstream(ev Event) {
	switch ev := ev.(type) {
	case ConnReady:
		n.connReady(n.conns.get(ev.Conn))
	case AttemptProgressed:
		n.attemptProgressed(n.conns.get(ev.Conn), ev)
	case AttemptEnded:
		n.attemptEnded(n.conns.get(ev.Conn), ev)
	case AttemptNotSent:
		n.attemptNotSent(n.conns.get(ev.Conn), ev.Client)
	case ConnIdle:
		n.connBecameIdle(n.conns.get(ev.Conn))
	case ConnClosed:
		n.connClosed(n.conns.get(ev.Conn), ev.Detail)
	case HealthCheckEnded:
		n.healthCheckEnded(ev)
	}
}

// handleConfiguration handles events from discovery and from configuration reloads.
func (n *Node) handleConfiguration(ev Event) {
	switch ev := ev.(type) {
	case EndpointsUpdated:
		n.endpointsUpdated(ev)
	case DiscoverySwitchPending:
		n.emit(Log{Text: fmt.Sprintf("no endpoint list from %s yet, still using the old address: %s", ev.Addr, ev.Detail)})
	case ConfigReloaded:
		n.configReloaded(ev)
	}
}

// handleHandoff handles events from other processes of this node.
func (n *Node) handleHandoff(ev Event) {
	switch ev := ev.(type) {
	case HandoffLinkUp:
		n.handoffLinkUp(ev.Link)
	case HandoffReceived:
		n.handoffReceived(ev.Link, ev.Message)
	case HandoffLinkDown:
		n.handoffLinkDown(ev.Link, ev.Detail)
	}
}

// handleGossip handles events from other nodes of the cluster. If this node is not part of a cluster, it ignores them.
func (n *Node) handleGossip(ev Event) {
	if n.cluster == nil {
		return
	}
	switch ev := ev.(type) {
	case AliveNodesChanged:
		n.cluster.SetAlive(ev.Alive)
		n.emit(Log{Text: fmt.Sprintf("nodes of the fleet alive: %d", len(ev.Alive))})
	case GossipReceived:
		n.gossipReceived(ev.Message)
	case LeaseMessageReceived:
		n.policy.ReceiveLeaseMessage(n.now, ev.From, ev.Message, ev.Hash)
	case GossipUnreadable:
		n.cluster.CountDropped(ev.Why)
	}
}
