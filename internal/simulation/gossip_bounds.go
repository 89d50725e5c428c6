package simulation

import (
	"math"
	"time"

	"birchstair/internal/cluster"
)

// The bounds of docs/design/fleet.md, checked whenever a node tells a word: how many words it tells, that a figure which counts is no older than is said,
// and that what it tells of itself is what it did itself.

const (
	suspendGrace   = 4 * time.Second // a node's figures may begin anew after a stand-still: so long they say nothing
	extraRounds    = 1               // more than the formula: a round that has just begun
	workRateFactor = 2.5             // what a node tells to have done, over what it did: hints are rough
	workRateSlack  = 1.0             // and seconds of work a second more
)

// gossipBounds is what the check keeps in mind.
type gossipBounds struct {
	sentAt map[cluster.MessageID]time.Duration // when each word was told
	order  []cluster.MessageID                 // in that order
}

// workRate is what a node did lately, averaged as it does itself.
type workRate struct {
	work           float64
	at             time.Duration
	suspendedUntil time.Duration // until when a stand-still shows in its figures
	sentAt         []time.Duration
}

func (p *workRate) add(now time.Duration, work float64) {
	p.work = p.work*math.Exp(-float64(now-p.at)/float64(cluster.Smoothing)) + work
	p.at = now
}

// rate is in seconds of work a second.
func (p *workRate) rate(now, since time.Duration) float64 {
	whole := cluster.Smoothing.Seconds() * (1 - math.Exp(-float64(since)/float64(cluster.Smoothing)))
	return p.work * math.Exp(-float64(now-p.at)/float64(cluster.Smoothing)) / max(whole, 1e-3)
}

// checkGossipBounds checks a word that a node tells, before anything becomes of it on its way.
func (n *simNode) checkGossipBounds(to cluster.Envelope) {
	w, s := n.world, cluster.Defaults("", 0, 0)
	n.workRate.sentAt = append(n.workRate.sentAt, w.now)
	for w.now-n.workRate.sentAt[0] > 4*s.GossipInterval {
		n.workRate.sentAt = n.workRate.sentAt[1:]
	}
	if most := s.Fanout * (5 + extraRounds); len(n.workRate.sentAt) > most {
		w.violateBound(n, "%s told %d words in %v where %d are the most", n.name, len(n.workRate.sentAt), 4*s.GossipInterval, most)
	}
	if done, did := to.Message.Rates.Completed, n.workRate.rate(w.now, w.now-n.startedAt); n.world.scenario.Load.HintNoise >= 0 && n.world.scenario.Load.HintNoise < 0.3 && w.now >= n.workRate.suspendedUntil && done > workRateFactor*did+workRateSlack {
		w.violateBound(n, "%s tells that it does %.2f, and did %.2f", n.name, done, did)
	}
	if len(n.workRate.sentAt) > 1 && n.workRate.sentAt[len(n.workRate.sentAt)-2] == w.now {
		return // what counts was looked at with the spell's first word
	}
	longest := s.PeerStateTTL + time.Duration(w.scenario.Fleet.WordsLate) + max(time.Duration(w.scenario.Fleet.Near), time.Duration(w.scenario.Fleet.Far))
	if w.now < n.workRate.suspendedUntil+s.PeerStateTTL {
		longest += 3 * s.GossipInterval // a shorter stand-still than that shows nowhere
	}
	for _, c := range n.reducer.Fleet().FreshPeers(w.now - n.startedAt) {
		at, ok := w.gossipBounds.sentAt[c]
		if !ok {
			w.violateBound(n, "%s counts word %d of %s, which was never told", n.name, c.Seq, c.From)
		} else if w.now-at > longest {
			w.violateBound(n, "%s counts figures of %s that are %v old where %v is the most", n.name, c.From, w.now-at, longest)
		}
	}
}

// recordGossip books that a word is on its way.
func (w *World) recordGossip(word cluster.Message) {
	b := &w.gossipBounds
	key := cluster.MessageID{From: word.From, Incarnation: word.Incarnation, Seq: word.Seq}
	if _, ok := b.sentAt[key]; !ok {
		b.order = append(b.order, key)
	}
	b.sentAt[key] = w.now // a liar tells some in another's name
	for len(b.order) > 0 && w.now-b.sentAt[b.order[0]] > time.Minute {
		delete(b.sentAt, b.order[0])
		b.order = b.order[1:]
	}
}

// violateBound says that a bound does not hold.
func (w *World) violateBound(n *simNode, text string, args ...any) {
	w.checker.Over(w.now, n.id, text, args...)
	w.advanceChecker()
}
