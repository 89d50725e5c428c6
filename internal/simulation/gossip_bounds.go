package simulation

import (
	"math"
	"time"

	"birchstair/internal/cluster"
)

// Whenever a node sends a gossip message, the simulation checks three bounds of docs/design/fleet.md: the number of
// messages that the node sends, the age of the peer states that the node uses, and the difference between the work rate
// in the message and the true work rate.
const (
	// After a suspension, the work rate of a node is not checked for this long, because the node's averages can restart.
	suspendGrace = 4 * time.Second
	// To check how many messages a node sends, its messages are counted over this number of gossip intervals.
	boundRounds = 4
	// The messages of this number of rounds are tolerated beyond the bound on sent messages, because a round can have
	// just begun.
	extraRounds = 1
	// The true work rate is multiplied by this to get the largest rate that a node is allowed to send, because clients'
	// estimates are inexact.
	workRateFactor = 2.5
	// This is added to the largest work rate that a node is allowed to send, in seconds of work per second.
	workRateSlack = 1.0
	// Work rates are not checked if Load.HintNoise is at least this.
	maxCheckedNoise = 0.3
	// After the suspension of a node, its peer states are allowed to be older by this number of gossip intervals.
	suspendRounds = 3
	// Sent gossip messages are recorded for this long, to check the age of the peer states that nodes use.
	gossipRecordLength = time.Minute
)

// gossipBounds records the messages that all nodes have sent.
type gossipBounds struct {
	sentAt map[cluster.MessageID]time.Duration
	order  []cluster.MessageID // IDs of the messages in sentAt, oldest first
}

// workRate records the true work rate of one node, and the times of the gossip messages that the node has sent. The
// rate is averaged in the same way as the node averages it.
type workRate struct {
	work           float64 // completed work in seconds, with exponential decay up to the time at
	at             time.Duration
	suspendedUntil time.Duration   // end of the grace period suspendGrace after the last suspension
	sentAt         []time.Duration // times of the messages within the last boundRounds gossip intervals
}

// add adds completed work, in seconds on a standard core.
func (r *workRate) add(now time.Duration, work float64) {
	r.work = r.work*math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) + work
	r.at = now
}

// rate returns the work rate of a process that has run for the given time, in seconds of work per second.
func (r *workRate) rate(now, running time.Duration) float64 {
	complete := cluster.AveragingTimeConstant.Seconds() * (1 - math.Exp(-float64(running)/float64(cluster.AveragingTimeConstant)))
	return r.work * math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) / max(complete, 1e-3)
}

// checkGossipBounds checks all bounds when a node sends a message. It sees the message before a fault can corrupt or
// lose it.
func (n *simNode) checkGossipBounds(envelope cluster.Envelope) {
	settings := cluster.Defaults("", 0, 0)
	n.checkMessageCount(settings)
	n.checkWorkRate(envelope.Message.Rates.Completed)
	sentAt := n.workRate.sentAt
	if len(sentAt) > 1 && sentAt[len(sentAt)-2] == n.sim.now {
		return // peer states were already checked for an earlier message of this round
	}
	n.checkPeerStates(settings)
}

// checkMessageCount checks the number of messages that a node has sent within the last boundRounds gossip intervals.
func (n *simNode) checkMessageCount(settings cluster.Settings) {
	sim, window := n.sim, boundRounds*settings.GossipInterval
	n.workRate.sentAt = append(n.workRate.sentAt, sim.now)
	for sim.now-n.workRate.sentAt[0] > window {
		n.workRate.sentAt = n.workRate.sentAt[1:]
	}
	if most := settings.Fanout * (boundRounds + 1 + extraRounds); len(n.workRate.sentAt) > most {
		sim.reportBoundViolation(n, "%s told %d words in %v where %d are the most", n.name, len(n.workRate.sentAt), window, most)
	}
}

// checkWorkRate checks the work rate that a node sends. It does nothing if clients' estimates are missing or too
// inexact, or if the node was suspended recently, because the work rate is inexact then.
func (n *simNode) checkWorkRate(sent float64) {
	sim, noise := n.sim, n.sim.scenario.Load.HintNoise
	if noise < 0 || noise >= maxCheckedNoise || sim.now < n.workRate.suspendedUntil {
		return
	}
	if did := n.workRate.rate(sim.now, sim.now-n.startedAt); sent > workRateFactor*did+workRateSlack {
		sim.reportBoundViolation(n, "%s tells that it does %.2f, and did %.2f", n.name, sent, did)
	}
}

// checkPeerStates checks the age of the peer states that a node uses.
func (n *simNode) checkPeerStates(settings cluster.Settings) {
	sim, fleet := n.sim, &n.sim.scenario.Fleet
	longest := settings.PeerStateTTL + time.Duration(fleet.MessageDelay) + time.Duration(max(fleet.Near, fleet.Far))
	if sim.now < n.workRate.suspendedUntil+settings.PeerStateTTL {
		longest += suspendRounds * settings.GossipInterval
	}
	for _, used := range n.stateMachine.Cluster().FreshMessages(sim.now - n.startedAt) {
		at, ok := sim.gossipBounds.sentAt[used]
		if !ok {
			sim.reportBoundViolation(n, "%s counts word %d of %s, which was never told", n.name, used.Seq, used.From)
		} else if sim.now-at > longest {
			sim.reportBoundViolation(n, "%s counts figures of %s that are %v old where %v is the most", n.name, used.From, sim.now-at, longest)
		}
	}
}

// recordGossip records that a message was sent. If the message is corrupted, its sender's name can be that of another
// node.
func (sim *Simulation) recordGossip(message cluster.Message) {
	bounds := &sim.gossipBounds
	id := cluster.MessageID{From: message.From, Incarnation: message.Incarnation, Seq: message.Seq}
	if _, ok := bounds.sentAt[id]; !ok {
		bounds.order = append(bounds.order, id)
	}
	bounds.sentAt[id] = sim.now
	for len(bounds.order) > 0 && sim.now-bounds.sentAt[bounds.order[0]] > gossipRecordLength {
		delete(bounds.sentAt, bounds.order[0])
		bounds.order = bounds.order[1:]
	}
}

// reportBoundViolation reports a violated bound to the checker.
func (sim *Simulation) reportBoundViolation(n *simNode, text string, args ...any) {
	sim.checker.GossipBoundExceeded(sim.now, n.id, text, args...)
	sim.advanceChecker()
}
