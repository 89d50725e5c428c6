package simulation

import (
	"slices"
	"strings"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Membership is modeled on the memberlist library. A node counts a peer as alive if the node itself could reach the
// peer recently. It notices changes with a delay.
const (
	membershipInterval = 500 * time.Millisecond  // interval at which a node updates its list of alive peers
	memberTimeout      = 2500 * time.Millisecond // a peer counts as dead once it could not be reached for this long
)

// Prefixes of the log messages that a node writes when a peer notifies it of an executor's drain, and when it drops
// this notice.
const (
	logPeerDrain    = "counts as draining"
	logPeerDrainEnd = "no longer counts as draining"
)

// joinCluster lets a node that has just started gossip with its peers.
func (n *simNode) joinCluster() {
	sim := n.sim
	incarnation := uint64(n.startedAt.Milliseconds())<<8 + uint64(n.incarnation)
	settings := cluster.Defaults(cluster.NodeName(n.name), incarnation, uint32(permute(sim.seed+uint64(n.id))))
	settings.Epoch = n.startedAt.Milliseconds()
	if sim.defects.cluster != nil {
		sim.defects.cluster(&settings)
	}
	n.workRate = workRate{at: sim.now}
	n.stateMachine.JoinCluster(settings)
	n.peerReachedAt, n.alivePeers = map[invariants.NodeID]time.Duration{}, nil
	n.after(time.Duration(sim.gossipRand.Int64N(int64(membershipInterval))), n.updateMembership)
}

// updateMembership updates the node's list of alive peers, and schedules its next call.
func (n *simNode) updateMembership() {
	sim := n.sim
	var alive []cluster.NodeName
	for _, peer := range sim.nodes {
		if peer == n {
			continue
		}
		if peer.up && !peer.suspended && peer.partitioned == n.partitioned && sim.linked(n.zone, peer.zone) {
			n.peerReachedAt[peer.id] = sim.now
		}
		if at, ok := n.peerReachedAt[peer.id]; ok && sim.now-at < memberTimeout {
			alive = append(alive, cluster.NodeName(peer.name))
		}
	}
	if !slices.Equal(alive, n.alivePeers) {
		n.alivePeers = alive
		n.deliver(node.AliveNodesChanged{Alive: slices.Clone(alive)})
	}
	n.after(membershipInterval, n.updateMembership)
}

// sendGossip checks the bounds of gossip and then sends the message. If the node has the fault FalseGossip, it sends a
// corrupted message.
func (n *simNode) sendGossip(envelope cluster.Envelope) {
	n.checkGossipBounds(envelope)
	message := n.corrupt(envelope.Message)
	n.sim.recordGossip(message)
	to := slices.IndexFunc(n.sim.nodes, func(peer *simNode) bool { return peer.name == string(envelope.To) })
	if to >= 0 {
		n.sendToPeer(n.sim.nodes[to], node.GossipReceived{Message: message})
	}
}

// sendLeaseMessage sends a message about leases to a peer.
func (n *simNode) sendLeaseMessage(effect node.SendLeaseMessage) {
	if int(effect.To) < len(n.sim.nodes) {
		event := node.LeaseMessageReceived{From: policy.NodeID(n.id), Message: effect.Message, Hash: effect.Hash}
		n.sendToPeer(n.sim.nodes[effect.To], event)
	}
}

// sendToPeer sends a message to a peer. The message can be lost, delayed or duplicated at random. A partition drops it.
func (n *simNode) sendToPeer(peer *simNode, event node.Event) {
	sim, fleet := n.sim, &n.sim.scenario.Fleet
	sim.result.PeerMessages++
	blocked := n.zone != peer.zone && (sim.partitions[n.zone].outboundUntil > sim.now || sim.partitions[peer.zone].inboundUntil > sim.now)
	if n.partitioned != peer.partitioned || blocked {
		return
	}
	for range 1 + countTrue(sim.gossipRand.Float64() < fleet.MessageDuplication) {
		if sim.gossipRand.Float64() < max(fleet.MessageLoss, sim.gossipLoss) {
			continue
		}
		late := time.Duration(0)
		if fleet.MessageDelay > 0 {
			late = time.Duration(sim.gossipRand.Int64N(int64(fleet.MessageDelay)))
		}
		incarnation := peer.incarnation
		sim.after(sim.minDelay(n.zone, peer.zone)+late, func() {
			if peer.up && peer.incarnation == incarnation {
				peer.deliver(event)
			}
		})
	}
}

// corrupt returns the message to send in place of the given one. The two differ only if the node has the fault
// FalseGossip. Successive messages cycle through four kinds of corruption.
func (n *simNode) corrupt(message cluster.Message) cluster.Message {
	if n.corruption == 0 {
		return message
	}
	n.corruption++
	rates := message.Rates.Clone()
	switch n.corruption % 4 {
	case 0: // the rates are ten times the true ones
		for level := range rates.Offered {
			rates.Offered[level] *= 10
		}
		rates.Completed *= 10
	case 1:
		rates.Completed = -1
	case 2: // nearly all jobs seem to expire
		rates.Expired += 10 * rates.Completed
	case 3: // the message is sent under a peer's name
		message.From = cluster.NodeName(n.sim.nodes[(int(n.id)+1)%len(n.sim.nodes)].name)
	}
	message.Rates = rates
	return message
}

// recordPeerDrains records which executors a node counts as draining because a peer has notified it of the drain. The
// node must respect such a drain like one in its own endpoint list. It drops the drain if its own list does not confirm
// it in time.
func (n *simNode) recordPeerDrains(effects []node.Effect) {
	for _, effect := range effects {
		message, ok := effect.(node.Log)
		if !ok {
			continue
		}
		before, after := policy.Available, policy.Draining
		switch {
		case strings.HasPrefix(message.Text, logPeerDrain):
		case strings.HasPrefix(message.Text, logPeerDrainEnd):
			before, after = after, before
		default:
			continue
		}
		if known, ok := n.endpoints[message.Executor]; ok && known.State == before {
			known.State = after
			n.recordEndpoint(known)
		}
	}
}
