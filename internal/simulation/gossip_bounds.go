package simulation

import (
	"math"
	"time"

	"birchstair/internal/cluster"
)

// The bounds of docs/design/fleet.md are checked whenever a node sends a gossip message: how many it sends, that the peer states which it
// uses are no older than promised, and that the work rate which it sends is what it did.
const (
	suspendGrace       = 4 * time.Second // a suspended node's rates may begin anew; for so long they are not checked
	boundRounds        = 4               // gossip intervals over which messages are counted
	extraRounds        = 1               // beyond the bound, as a round has just begun
	workRateFactor     = 2.5             // by which the sent work rate may exceed the true one, as hints are rough
	workRateSlack      = 1.0             // and seconds of work a second beyond that
	maxCheckedNoise    = 0.3             // hint noise from which on work rates are not checked
	suspendRounds      = 3               // gossip intervals by which a short suspension makes peer states older
	gossipRecordLength = time.Minute     // sent messages are kept in mind for so long
)

// gossipBounds holds what the check needs of all nodes.
type gossipBounds struct {
	sentAt map[cluster.MessageID]time.Duration
	order  []cluster.MessageID // of sentAt, oldest first
}

// workRate holds what the check needs of one node: the work that it did, averaged as the node itself does.
type workRate struct {
	work           float64 // seconds, decaying
	at             time.Duration
	suspendedUntil time.Duration   // end of the grace after a suspension
	sentAt         []time.Duration // of the messages within boundRounds
}

// add adds finished work, in seconds.
func (r *workRate) add(now time.Duration, work float64) {
	r.work = r.work*math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) + work
	r.at = now
}

// rate is the work rate, in seconds of work a second, of a process that has run for a time.
func (r *workRate) rate(now, running time.Duration) float64 {
	complete := cluster.AveragingTimeConstant.Seconds() * (1 - math.Exp(-float64(running)/float64(cluster.AveragingTimeConstant)))
	return r.work * math.Exp(-float64(now-r.at)/float64(cluster.AveragingTimeConstant)) / max(complete, 1e-3)
}

// checkGossipBounds checks a message that a node sends, before it can be corrupted or lost.
func (n *simNode) checkGossipBounds(envelope cluster.Envelope) {
	settings := cluster.Defaults("", 0, 0)
	n.checkMessageCount(settings)
	n.checkWorkRate(envelope.Message.Rates.Completed)
	sentAt := n.workRate.sentAt
	if len(sentAt) > 1 && sentAt[len(sentAt)-2] == n.sim.now {
		return // the round's first message has shown the age of peer states
	}
	n.checkPeerStates(settings)
}

// checkMessageCount checks how many messages a node sends.
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

// checkWorkRate checks the work rate that a node sends. Where hints say little, or it was suspended, it says little too.
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
	for _, used := range n.stateMachine.Cluster().FreshPeers(sim.now - n.startedAt) {
		at, ok := sim.gossipBounds.sentAt[used]
		if !ok {
			sim.reportBoundViolation(n, "%s counts word %d of %s, which was never told", n.name, used.Seq, used.From)
		} else if sim.now-at > longest {
			sim.reportBoundViolation(n, "%s counts figures of %s that are %v old where %v is the most", n.name, used.From, sim.now-at, longest)
		}
	}
}

// recordGossip records that a message was sent. A corrupted one may go by another node's name.
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

// violateBound reports that a bound does not hold.
func (sim *Simulation) reportBoundViolation(n *simNode, text string, args ...any) {
	sim.checker.GossipBoundExceeded(sim.now, n.id, text, args...)
	sim.advanceChecker()
}
