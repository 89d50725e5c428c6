package simulation

import (
	"math"
	"time"

	"birchstair/internal/cluster"
)

// Bounds of docs/design/fleet.md that are checked whenever a node sends a gossip message: the number of messages that it sends, the age of
// the peer states that it uses, and the difference between the work rate that it sends and the true one.
const (
	suspendGrace       = 4 * time.Second // time after a suspension without a check of the node's rates, whose averages may restart
	boundRounds        = 4               // number of gossip intervals over which messages are counted
	extraRounds        = 1               // rounds tolerated beyond the bound, as a round may just have begun
	workRateFactor     = 2.5             // factor by which the sent work rate may exceed the true one, as clients' estimates are inexact
	workRateSlack      = 1.0             // additional tolerance, in seconds of work per second
	maxCheckedNoise    = 0.3             // work rates are not checked if Load.HintNoise is at least this
	suspendRounds      = 3               // number of gossip intervals by which peer states may be older after a suspension
	gossipRecordLength = time.Minute     // time for which sent messages are recorded
)

// gossipBounds records the messages that all nodes have sent.
type gossipBounds struct {
	sentAt map[cluster.MessageID]time.Duration
	order  []cluster.MessageID // keys of sentAt, oldest first
}

// workRate records the true work rate of one node, averaged as the node itself does, and the times of its messages.
type workRate struct {
	work           float64 // seconds of work, decaying exponentially since at
	at             time.Duration
	suspendedUntil time.Duration   // end of suspendGrace after the last suspension
	sentAt         []time.Duration // times of the messages within the last boundRounds gossip intervals
}

// add adds completed work, in seconds.
func (r *workRate) add(now time.Duration, work float64) {
	r.work = r.work*math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) + work
	r.at = now
}

// rate returns the work rate, in seconds of work per second, of a process that has run for the given time.
func (r *workRate) rate(now, running time.Duration) float64 {
	complete := cluster.AveragingTimeConstant.Seconds() * (1 - math.Exp(-float64(running)/float64(cluster.AveragingTimeConstant)))
	return r.work * math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) / max(complete, 1e-3)
}

// checkGossipBounds checks the bounds when a node sends a message, before the message can be corrupted or lost.
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

// checkMessageCount checks the number of messages that a node sends.
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

// checkWorkRate checks the work rate that a node sends. There is no check if clients' estimates are too inexact or missing, or if the node
// was suspended recently, because the rate is inexact then.
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

// recordGossip records that a message was sent. A corrupted one may have the name of another node.
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
