package node

import (
	"birchstair/internal/cluster"
	"birchstair/policy"
)

// JoinFleet makes this node part of a fleet. It is called before the first step or not at all.
func (n *Node) JoinFleet(s cluster.Settings) { n.fleet = cluster.New(s) }

// Fleet returns what this node knows of its fleet, for reading only; nil if it is not part of one.
func (n *Node) Fleet() *cluster.State { return n.fleet }

// gossipReceived takes in a gossip message, and applies the drains in it that are new.
func (n *Node) gossipReceived(m cluster.Message) {
	for _, id := range n.fleet.Receive(n.now, m) {
		if e := n.endpoints.get(id); e != nil && e.available && n.fleet.IsDraining(id, e.entry.StartedAt, e.entry.StartedLongAgo) {
			n.emit(Log{Text: "counts as draining: reported by " + string(m.From), Executor: id})
			n.refreshDraining(id)
		}
	}
}

// tickFleet sends the gossip that is due, and applies the admission threshold and the expiry of drains that follow from what
// was received.
func (n *Node) tickFleet() {
	if n.fleet == nil || n.now < n.fleet.Next() {
		return
	}
	for _, id := range n.fleet.ExpireDrains(n.now, n.endpoints.upToDate()) {
		n.emit(Log{Text: "no longer counts as draining: the peers' reports have expired", Executor: id})
		n.refreshDraining(id)
	}
	messages, threshold := n.fleet.Tick(n.now, n.policy.TakeLoadSummary(n.now))
	n.policy.SetAdmissionThreshold(threshold)
	for _, m := range messages {
		n.emit(SendGossip{m})
	}
}

// refreshDraining applies what the fleet now says of an executor's drain.
func (n *Node) refreshDraining(id policy.ExecutorID) {
	if e := n.endpoints.get(id); e != nil {
		n.refreshEndpoint(e)
		if !e.available {
			n.closeIdleConns(e)
		}
	}
}

// observeEndpoint tells the fleet what this node's own endpoint list says of an executor.
func (n *Node) observeEndpoint(in policy.Endpoint) {
	if n.fleet != nil {
		n.fleet.ObserveEndpoint(n.now, in.Executor, in.StartedAt, in.StartedLongAgo, in.State)
	}
}
