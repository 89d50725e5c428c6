package node

import (
	"fmt"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// JoinFleet makes this node one of a fleet. It is called before the first step, or never: then nothing of this file acts.
func (n *Node) JoinFleet(s cluster.Settings) { n.fleet = cluster.New(s) }

// Fleet is what this node knows of its fleet, to be looked at; nil where it does not talk.
func (n *Node) Fleet() *cluster.Fleet { return n.fleet }

// handleGossip takes in what comes of neighbours.
func (n *Node) handleGossip(ev Event) {
	if n.fleet == nil {
		return
	}
	switch ev := ev.(type) {
	case FleetChanged:
		n.fleet.SetAlive(ev.Alive)
		n.emit(Log{Text: fmt.Sprintf("nodes of the fleet alive: %d", len(ev.Alive))})
	case GossipReceived:
		for _, id := range n.fleet.Receive(n.now, ev.Message) {
			if e := n.executors[id]; e != nil && e.available && n.fleet.IsDraining(id, e.entry.StartedAt, e.entry.StartedLongAgo) {
				n.emit(Log{Text: "counts as draining: " + string(ev.Message.From) + " told so", Executor: id})
				n.refreshDraining(id)
			}
		}
	case LeaseMessageReceived:
		n.policy.ReceiveLeaseMessage(n.now, ev.From, ev.Message, ev.Hash)
	case GossipUnreadable:
		n.fleet.CountDropped(ev.Why)
	}
}

// tickFleet does what is due between nodes that talk.
func (n *Node) tickFleet() {
	if n.fleet == nil || n.now < n.fleet.Next() {
		return
	}
	for _, id := range n.fleet.ExpireDrains(n.now, n.complete && !n.watchFailing) {
		n.emit(Log{Text: "no longer counts as draining by what neighbours told", Executor: id})
		n.refreshDraining(id)
	}
	words, line := n.fleet.Tick(n.now, n.policy.TakeLoadSummary(n.now))
	n.policy.SetAdmissionThreshold(line)
	for _, w := range words {
		n.emit(SendGossip{w})
	}
}

// refreshDraining shows the module an executor of which neighbours have told something new.
func (n *Node) refreshDraining(id policy.ExecutorID) {
	if e := n.executors[id]; e != nil {
		n.refreshEndpoint(e)
		if !e.available {
			n.closeIdleConns(e)
		}
	}
}

// observeEndpoint tells neighbours what this node's own list says.
func (n *Node) observeEndpoint(in policy.Endpoint) {
	if n.fleet != nil {
		n.fleet.ObserveEndpoint(n.now, in.Executor, in.StartedAt, in.StartedLongAgo, in.State)
	}
}
