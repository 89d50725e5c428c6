package simulation

import (
	"math"
	"time"

	"birchstair/internal/cluster"
)

// The bounds of docs/design/fleet.md, checked whenever a node tells a word: how many words it tells, that a figure which counts is no older than is said,
// and that what it tells of itself is what it did itself.

const (
	afterStop  = 4 * time.Second // a node's figures may begin anew after a stand-still: so long they say nothing
	slackWords = 1               // more than the formula: a round that has just begun
	echoTimes  = 2.5             // what a node tells to have done, over what it did: hints are rough
	echoMore   = 1.0             // and seconds of work a second more
)

// bounds is what the check keeps in mind.
type bounds struct {
	told map[cluster.MessageID]time.Duration // when each word was told
	old  []cluster.MessageID                 // in that order
}

// pace is what a node did lately, averaged as it does itself.
type pace struct {
	work  float64
	at    time.Duration
	stood time.Duration // until when a stand-still shows in its figures
	words []time.Duration
}

func (p *pace) did(now time.Duration, work float64) {
	p.work = p.work*math.Exp(-float64(now-p.at)/float64(cluster.AveragingTimeConstant)) + work
	p.at = now
}

// rate is in seconds of work a second.
func (p *pace) rate(now, since time.Duration) float64 {
	whole := cluster.AveragingTimeConstant.Seconds() * (1 - math.Exp(-float64(since)/float64(cluster.AveragingTimeConstant)))
	return p.work * math.Exp(-float64(now-p.at)/float64(cluster.AveragingTimeConstant)) / max(whole, 1e-3)
}

// bounded checks a word that a node tells, before anything becomes of it on its way.
func (n *sim) bounded(to cluster.Envelope) {
	w, s := n.w, cluster.Defaults("", 0, 0)
	n.pace.words = append(n.pace.words, w.now)
	for w.now-n.pace.words[0] > 4*s.GossipInterval {
		n.pace.words = n.pace.words[1:]
	}
	if most := s.Fanout * (5 + slackWords); len(n.pace.words) > most {
		w.over(n, "%s told %d words in %v where %d are the most", n.name, len(n.pace.words), 4*s.GossipInterval, most)
	}
	if done, did := to.Message.Rates.Completed, n.pace.rate(w.now, w.now-n.started); n.w.s.Load.HintNoise >= 0 && n.w.s.Load.HintNoise < 0.3 && w.now >= n.pace.stood && done > echoTimes*did+echoMore {
		w.over(n, "%s tells that it does %.2f, and did %.2f", n.name, done, did)
	}
	if len(n.pace.words) > 1 && n.pace.words[len(n.pace.words)-2] == w.now {
		return // what counts was looked at with the spell's first word
	}
	longest := s.PeerStateTTL + time.Duration(w.s.Fleet.WordsLate) + max(time.Duration(w.s.Fleet.Near), time.Duration(w.s.Fleet.Far))
	if w.now < n.pace.stood+s.PeerStateTTL {
		longest += 3 * s.GossipInterval // a shorter stand-still than that shows nowhere
	}
	for _, c := range n.core.Fleet().FreshPeers(w.now - n.started) {
		at, ok := w.bounds.told[c]
		if !ok {
			w.over(n, "%s counts word %d of %s, which was never told", n.name, c.Seq, c.From)
		} else if w.now-at > longest {
			w.over(n, "%s counts figures of %s that are %v old where %v is the most", n.name, c.From, w.now-at, longest)
		}
	}
}

// remember books that a word is on its way.
func (w *World) remember(word cluster.Message) {
	b := &w.bounds
	key := cluster.MessageID{From: word.From, Incarnation: word.Incarnation, Seq: word.Seq}
	if _, ok := b.told[key]; !ok {
		b.old = append(b.old, key)
	}
	b.told[key] = w.now // a liar tells some in another's name
	for len(b.old) > 0 && w.now-b.told[b.old[0]] > time.Minute {
		delete(b.told, b.old[0])
		b.old = b.old[1:]
	}
}

// over says that a bound does not hold.
func (w *World) over(n *sim, text string, args ...any) {
	w.checker.Over(w.now, n.id, text, args...)
	w.passTime()
}
