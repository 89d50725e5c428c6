package node

import (
	"birchstair/internal/cluster"
	"birchstair/policy"
)

// JoinCluster makes this node part of a cluster. It must be called before the first step, or not at all.
func (n *Node) JoinCluster(s cluster.Settings) { n.cluster = cluster.New(s) }

// Cluster returns what this node knows of its cluster, or nil if the node is not part of one. The caller must not
// change it.
func (n *Node) Cluster() *cluster.State { return n.cluster }

// gossipReceived handles a gossip message. If the message is the first to report that an executor is draining, this
// node gives that executor no new work.
func (n *Node) gossipReceived(m cluster.Message) {
	for _, id := range n.cluster.Receive(n.now, m) {
		if e := n.endpoints.get(id); e != nil && e.available && n.cluster.IsDraining(id, e.entry.StartedAt, e.entry.StartedLongAgo) {
			n.emit(Log{Text: "counts as draining: reported by " + string(m.From), Executor: id})
			n.refreshDraining(id)
		}
	}
}

// tickCluster does the cluster's periodic work if the work is due. It expires the drains that other nodes no longer
// report, updates the admission threshold and sends gossip messages.
func (n *Node) tickCluster() {
	if n.cluster == nil || n.now < n.cluster.Next() {
		return
	}
	for _, id := range n.cluster.ExpireDrains(n.now, n.endpoints.upToDate()) {
		n.emit(Log{Text: "no longer counts as draining: the peers' reports have expired", Executor: id})
		n.refreshDraining(id)
	}
	messages, threshold := n.cluster.Tick(n.now, n.policy.TakeLoadSummary(n.now))
	n.policy.SetAdmissionThreshold(threshold)
	for _, m := range messages {
		n.emit(SendGossip{m})
	}
}

// refreshDraining notifies the policy after the cluster's view of an executor's drain has changed.
func (n *Node) refreshDraining(id policy.ExecutorID) {
	if e := n.endpoints.get(id); e != nil {
		n.refreshEndpoint(e)
		if !e.available {
			n.closeIdleConns(e)
		}
	}
}

// observeEndpoint passes an executor's entry on this node's own endpoint list to the cluster. The cluster spreads
// drains by gossip.
func (n *Node) observeEndpoint(in policy.Endpoint) {
	if n.cluster != nil {
		n.cluster.ObserveEndpoint(n.now, in.Executor, in.StartedAt, in.StartedLongAgo, in.State)
	}
}
