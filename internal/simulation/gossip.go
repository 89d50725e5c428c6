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

// Nodes that talk: a model of what carries their words. Membership comes as memberlist brings it, late and by each node's own ways; words get lost,
// doubled and late as the scenario says, and not through a cut.

const (
	membershipInterval = 500 * time.Millisecond  // a node looks so often who is alive
	memberTimeout      = 2500 * time.Millisecond // and holds for dead who could not be reached for so long
)

// joinFleet makes a node that has just started one of the fleet.
func (n *simNode) joinFleet() {
	s := cluster.Defaults(cluster.NodeName(n.name), uint64(n.startedAt.Milliseconds())<<8+uint64(n.incarnation), uint32(permute(n.world.seed+uint64(n.id))))
	s.Epoch = n.startedAt.Milliseconds()
	if n.world.defects.fleet != nil {
		n.world.defects.fleet(&s)
	}
	n.workRate = workRate{at: n.world.now}
	n.reducer.JoinFleet(s)
	n.peerReachedAt, n.alivePeers = map[invariants.NodeID]time.Duration{}, nil
	n.after(time.Duration(n.world.gossipRand.Int64N(int64(membershipInterval))), n.updateMembership)
}

// updateMembership finds out who is alive.
func (n *simNode) updateMembership() {
	var alive []cluster.NodeName
	for _, o := range n.world.nodes {
		if o == n {
			continue
		}
		if o.up && !o.suspended && o.partitioned == n.partitioned && n.world.linked(n.zone, o.zone) {
			n.peerReachedAt[o.id] = n.world.now
		}
		if at, ok := n.peerReachedAt[o.id]; ok && n.world.now-at < memberTimeout {
			alive = append(alive, cluster.NodeName(o.name))
		}
	}
	if !slices.Equal(alive, n.alivePeers) {
		n.alivePeers = alive
		n.deliver(node.FleetChanged{Alive: slices.Clone(alive)})
	}
	n.after(membershipInterval, n.updateMembership)
}

// sendGossip sends a word on its way.
func (n *simNode) sendGossip(to cluster.Envelope) {
	n.checkGossipBounds(to)
	to.Message = n.corrupt(to.Message)
	n.world.recordGossip(to.Message)
	i := slices.IndexFunc(n.world.nodes, func(o *simNode) bool { return o.name == string(to.To) })
	if i >= 0 {
		n.deliverPeerMessage(n.world.nodes[i], node.GossipReceived{Message: to.Message})
	}
}

// sendLeaseMessage sends a word about an executor's places on its way.
func (n *simNode) sendLeaseMessage(to node.SendLeaseMessage) {
	if int(to.To) < len(n.world.nodes) {
		n.deliverPeerMessage(n.world.nodes[to.To], node.LeaseMessageReceived{From: policy.NodeID(n.id), Message: to.Message, Hash: to.Hash})
	}
}

// deliverPeerMessage is what becomes of a word on its way.
func (n *simNode) deliverPeerMessage(o *simNode, ev node.Event) {
	w, f := n.world, &n.world.scenario.Fleet
	w.result.Words++
	if n.partitioned != o.partitioned || n.zone != o.zone && (w.partitions[n.zone].outboundUntil > w.now || w.partitions[o.zone].inboundUntil > w.now) {
		return
	}
	for range 1 + indicator(w.gossipRand.Float64() < f.WordsDoubled) {
		if w.gossipRand.Float64() < max(f.WordsLost, w.gossipLoss) {
			continue
		}
		late := time.Duration(0)
		if f.WordsLate > 0 {
			late = time.Duration(w.gossipRand.Int64N(int64(f.WordsLate)))
		}
		near := time.Duration(f.Near)
		if n.zone != o.zone {
			near = time.Duration(f.Far)
		}
		run := o.incarnation
		w.after(near+late, func() {
			if o.up && o.incarnation == run {
				o.deliver(ev)
			}
		})
	}
}

func indicator(is bool) int {
	if is {
		return 1
	}
	return 0
}

// corrupt makes nonsense of what a node tells, while it lies: each word another kind of it.
func (n *simNode) corrupt(w cluster.Message) cluster.Message {
	if n.corruption == 0 {
		return w
	}
	n.corruption++
	g := w.Rates.Clone()
	switch n.corruption % 4 {
	case 0: // ten times the truth
		for rung := range g.Offered {
			g.Offered[rung] *= 10
		}
		g.Completed *= 10
	case 1:
		g.Completed = -1
	case 2: // all is lost
		g.Expired += 10 * g.Completed
	case 3:
		w.From = cluster.NodeName(n.world.nodes[(int(n.id)+1)%len(n.world.nodes)].name) // another's name
	}
	w.Rates = g
	return w
}

// recordPeerDrains books the drains that a node counts as told by a neighbour: rule 3 binds for them as for the list's, until the own list, which follows, has not
// borne them out for so long that the node gives them up.
func (n *simNode) recordPeerDrains(effects []node.Effect) {
	for _, e := range effects {
		l, ok := e.(node.Log)
		if !ok {
			continue
		}
		state, was := policy.Draining, policy.Available
		switch {
		case strings.HasPrefix(l.Text, "counts as draining"):
		case strings.HasPrefix(l.Text, "no longer counts as draining"):
			state, was = was, state
		default:
			continue
		}
		if known, ok := n.endpoints[l.Executor]; ok && known.State == was {
			known.State = state
			n.recordEndpoint(known)
		}
	}
}
