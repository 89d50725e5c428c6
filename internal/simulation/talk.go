package simulation

import (
	"slices"
	"strings"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Nodes that talk: a model of what carries their words. Membership comes as memberlist brings it, late and by each node's own ways; words get lost,
// doubled and late as the scenario says, and not through a cut.

const (
	memberSpell = 500 * time.Millisecond  // a node looks so often who is alive
	deadAfter   = 2500 * time.Millisecond // and holds for dead who could not be reached for so long
)

// talk makes a node that has just started one of the fleet.
func (n *sim) talk() {
	s := cluster.Defaults(cluster.NodeName(n.name), uint64(n.started.Milliseconds())<<8+uint64(n.run), uint32(mix(n.w.seed+uint64(n.id))))
	s.Epoch = n.started.Milliseconds()
	if n.w.plant.fleet != nil {
		n.w.plant.fleet(&s)
	}
	n.pace = pace{at: n.w.now}
	n.core.JoinFleet(s)
	n.reached, n.alive = map[invariants.NodeID]time.Duration{}, nil
	n.later(time.Duration(n.w.talks.Int64N(int64(memberSpell))), n.look)
}

// look finds out who is alive.
func (n *sim) look() {
	var alive []cluster.NodeName
	for _, o := range n.w.nodes {
		if o == n {
			continue
		}
		if o.up && !o.stopped && o.apart == n.apart && n.w.connected(n.zone, o.zone) {
			n.reached[o.id] = n.w.now
		}
		if at, ok := n.reached[o.id]; ok && n.w.now-at < deadAfter {
			alive = append(alive, cluster.NodeName(o.name))
		}
	}
	if !slices.Equal(alive, n.alive) {
		n.alive = alive
		n.tell(node.FleetChanged{Alive: slices.Clone(alive)})
	}
	n.later(memberSpell, n.look)
}

// connected says whether words go both ways between two zones.
func (w *World) connected(a, b policy.ZoneID) bool {
	if a == b {
		return true
	}
	for _, z := range [...]policy.ZoneID{a, b} {
		if w.cuts[z].in > w.now || w.cuts[z].out > w.now {
			return false
		}
	}
	return true
}

// say sends a word on its way.
func (n *sim) say(to cluster.Envelope) {
	n.bounded(to)
	to.Message = n.lie(to.Message)
	n.w.remember(to.Message)
	i := slices.IndexFunc(n.w.nodes, func(o *sim) bool { return o.name == string(to.To) })
	if i >= 0 {
		n.carryWord(n.w.nodes[i], node.GossipReceived{Message: to.Message})
	}
}

// sayPlace sends a word about an executor's places on its way.
func (n *sim) sayPlace(to node.SendLeaseMessage) {
	if int(to.To) < len(n.w.nodes) {
		n.carryWord(n.w.nodes[to.To], node.LeaseMessageReceived{From: policy.NodeID(n.id), Message: to.Message, Hash: to.Hash})
	}
}

// carryWord is what becomes of a word on its way.
func (n *sim) carryWord(o *sim, ev node.Event) {
	w, f := n.w, &n.w.s.Fleet
	w.result.Words++
	if n.apart != o.apart || n.zone != o.zone && (w.cuts[n.zone].out > w.now || w.cuts[o.zone].in > w.now) {
		return
	}
	for range 1 + one(w.talks.Float64() < f.WordsDoubled) {
		if w.talks.Float64() < max(f.WordsLost, w.wordsLost) {
			continue
		}
		late := time.Duration(0)
		if f.WordsLate > 0 {
			late = time.Duration(w.talks.Int64N(int64(f.WordsLate)))
		}
		near := time.Duration(f.Near)
		if n.zone != o.zone {
			near = time.Duration(f.Far)
		}
		run := o.run
		w.after(near+late, func() {
			if o.up && o.run == run {
				o.tell(ev)
			}
		})
	}
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// lie makes nonsense of what a node tells, while it lies: each word another kind of it.
func (n *sim) lie(w cluster.Message) cluster.Message {
	if n.lies == 0 {
		return w
	}
	n.lies++
	g := w.Rates.Clone()
	switch n.lies % 4 {
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
		w.From = cluster.NodeName(n.w.nodes[(int(n.id)+1)%len(n.w.nodes)].name) // another's name
	}
	w.Rates = g
	return w
}

// counts books the drains that a node counts as told by a neighbour: rule 3 binds for them as for the list's, until the own list, which follows, has not
// borne them out for so long that the node gives them up.
func (n *sim) counts(effects []node.Effect) {
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
		if known, ok := n.known[l.Executor]; ok && known.State == was {
			known.State = state
			n.told(known)
		}
	}
}

// halt stops a node's process for a while, as SIGSTOP does: what comes meanwhile waits unread.
func (n *sim) halt(f emulator.Fault) {
	if !n.up || n.stopped {
		return
	}
	n.stopped = true
	n.w.see(invariants.Seen{What: invariants.StoodStill, Node: n.id})
	n.later(f.For, func() {
		n.stopped = false
		n.pace.stood = n.w.now + afterStop
		n.w.see(invariants.Seen{What: invariants.WentOn, Node: n.id})
		waiting := n.unread
		n.unread = nil
		for _, ev := range waiting {
			n.tell(ev)
		}
		n.news()
	})
}
