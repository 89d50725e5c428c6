package cluster

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

const (
	// maxDrainsPerMessage bounds the size of a message.
	maxDrainsPerMessage = 24
	// peerRetention is how long the state of a silent peer is kept, as a multiple of the time for which its rates count. Its
	// incarnation and sequence number are needed to recognize old messages.
	peerRetention = 10
)

// Message is what one node sends to another. The rates are the sender's own; the drains may be hearsay.
type Message struct {
	From        NodeName
	Incarnation uint64
	Seq         uint64
	Rates       Rates
	Drains      []Drain
}

// Envelope is a message and its recipient.
type Envelope struct {
	To      NodeName
	Message Message
}

// MessageID identifies a message.
type MessageID struct {
	From             NodeName
	Incarnation, Seq uint64
}

// peerState is what is known of a peer from the last message that it sent.
type peerState struct {
	incarnation, seq uint64
	receivedAt       time.Duration
	rates            Rates
}

// peerTable holds the other nodes of the fleet, and the counters of messages.
type peerTable struct {
	alive       []NodeName // shuffled before each pass over all peers
	turn        int        // the next recipient, an index into alive
	seq         uint64     // of the last message sent
	states      map[NodeName]*peerState
	ignoreUntil time.Duration // after a suspension: messages until then may have waited unread

	sent, received int
	dropped        map[string]int // by reason
}

// fresh returns the peers whose rates count, by name.
func (p *peerTable) fresh(now, ttl time.Duration) (names []NodeName) {
	for _, name := range slices.Sorted(maps.Keys(p.states)) {
		if now-p.states[name].receivedAt <= ttl {
			names = append(names, name)
		}
	}
	return names
}

// expire forgets peers that have been silent for longer than this.
func (p *peerTable) expire(now, silence time.Duration) {
	maps.DeleteFunc(p.states, func(_ NodeName, s *peerState) bool { return now-s.receivedAt > silence })
}

// round returns the messages of one gossip round.
func (f *State) round(now time.Duration) (out []Envelope) {
	for range min(f.settings.Fanout, len(f.peers.alive)) {
		to := f.nextRecipient()
		out = append(out, Envelope{to, f.message(now)})
	}
	f.peers.sent += len(out)
	return out
}

// nextRecipient returns each living peer in turn, in an order that is shuffled after each pass.
func (f *State) nextRecipient() NodeName {
	p := &f.peers
	if p.turn == 0 {
		for i := len(p.alive) - 1; i > 0; i-- {
			j := min(int(f.random()*float64(i+1)), i)
			p.alive[i], p.alive[j] = p.alive[j], p.alive[i]
		}
	}
	to := p.alive[p.turn%len(p.alive)]
	p.turn = (p.turn + 1) % len(p.alive)
	return to
}

// message returns the next message: this node's rates, and as many drains as fit, each in turn.
func (f *State) message(now time.Duration) Message {
	f.peers.seq++
	return Message{
		From:        f.settings.Self,
		Incarnation: f.settings.Incarnation,
		Seq:         f.peers.seq,
		Rates:       f.own.rates.Clone(),
		Drains:      f.drains.next(now, maxDrainsPerMessage),
	}
}

// Receive takes in a message and returns the executors whose drain it reports and this node did not know of. A message that
// can't be trusted or is out of date is dropped and counted.
func (f *State) Receive(now time.Duration, m Message) (changed []policy.ExecutorID) {
	if reason := f.dropReason(now, m); reason != "" {
		f.peers.dropped[reason]++
		return nil
	}
	f.peers.states[m.From] = &peerState{incarnation: m.Incarnation, seq: m.Seq, receivedAt: now, rates: m.Rates}
	f.peers.received++
	for _, d := range m.Drains {
		if f.receiveDrain(now, d) {
			changed = append(changed, d.Executor)
		}
	}
	return changed
}

// Reasons to drop a message, as operators are shown them.
const (
	dropOwnName          = "in this node's own name"
	dropUnreadForLong    = "unread for long"
	dropUnknownNode      = "of a node that is not in the fleet"
	dropOldIncarnation   = "of an earlier life"
	dropOldSequence      = "older than one before"
	dropImplausibleRates = "with figures that make no sense"
)

// dropReason returns why a message is to be dropped, or "".
func (f *State) dropReason(now time.Duration, m Message) string {
	known := f.peers.states[m.From]
	switch {
	case m.From == f.settings.Self:
		return dropOwnName
	case now < f.peers.ignoreUntil || f.suspended(now-f.lastTick):
		// This process was suspended. A message that waited unread meanwhile would count as fresh.
		return dropUnreadForLong
	case !slices.Contains(f.peers.alive, m.From):
		return dropUnknownNode
	case known != nil && m.Incarnation < known.incarnation:
		return dropOldIncarnation
	case known != nil && m.Incarnation == known.incarnation && m.Seq <= known.seq:
		return dropOldSequence
	case !m.Rates.valid():
		return dropImplausibleRates
	}
	return ""
}

// CountDropped counts a message that could not be decoded.
func (f *State) CountDropped(reason string) { f.peers.dropped[reason]++ }

// FreshMessages returns the messages whose rates count now, ordered by sender.
func (f *State) FreshMessages(now time.Duration) (ids []MessageID) {
	for _, name := range f.peers.fresh(now, f.settings.PeerStateTTL) {
		s := f.peers.states[name]
		ids = append(ids, MessageID{name, s.incarnation, s.seq})
	}
	return ids
}
