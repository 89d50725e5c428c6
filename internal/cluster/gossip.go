package cluster

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

const (
	// maxDrainsPerMessage is the maximum number of drains in a message. It limits the message's size.
	maxDrainsPerMessage = 24
	// The rates of an inactive peer are used for Settings.PeerStateTTL. Its state is kept peerRetentionMultiple times as
	// long, because the peer's incarnation and sequence number are needed to recognize old messages.
	peerRetentionMultiple = 10
)

// Message is a gossip message. Its rates are the sender's own. Its drains include those that the sender has received
// from other nodes.
type Message struct {
	From        NodeName
	Incarnation uint64 // incarnation of the sender, as in Settings.Incarnation
	Seq         uint64 // sequence number of the message, increasing within an incarnation
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

// peerState is what this node keeps of the last message received from a peer.
type peerState struct {
	incarnation, seq uint64
	receivedAt       time.Duration
	rates            Rates
}

// peerTable holds the peers and the message counters.
type peerTable struct {
	alive     []NodeName // living peers; shuffled before each pass over them
	nextIndex int        // index of the next recipient in alive
	seq       uint64     // sequence number of the last message sent
	states    map[NodeName]*peerState
	// End of the interval after a suspension of this process. Messages received before this time are dropped, because
	// they may have waited unread during the suspension.
	ignoreUntil time.Duration

	sent, received int            // number of messages sent, and of messages received and not dropped
	dropped        map[string]int // number of messages dropped, by reason
}

// fresh returns the peers whose rates were received at most ttl ago, ordered by name.
func (p *peerTable) fresh(now, ttl time.Duration) (names []NodeName) {
	for _, name := range slices.Sorted(maps.Keys(p.states)) {
		if now-p.states[name].receivedAt <= ttl {
			names = append(names, name)
		}
	}
	return names
}

// expire removes the state of each peer whose last message was received longer than maxAge ago.
func (p *peerTable) expire(now, maxAge time.Duration) {
	maps.DeleteFunc(p.states, func(_ NodeName, s *peerState) bool { return now-s.receivedAt > maxAge })
}

// gossipRound returns the messages to send in one gossip round.
func (s *State) gossipRound(now time.Duration) (out []Envelope) {
	for range min(s.settings.Fanout, len(s.peers.alive)) {
		to := s.nextRecipient()
		out = append(out, Envelope{to, s.nextMessage(now)})
	}
	s.peers.sent += len(out)
	return out
}

// nextRecipient returns each living peer in turn, in an order that is shuffled after each pass.
func (s *State) nextRecipient() NodeName {
	p := &s.peers
	if p.nextIndex == 0 {
		for i := len(p.alive) - 1; i > 0; i-- {
			j := min(int(s.random()*float64(i+1)), i)
			p.alive[i], p.alive[j] = p.alive[j], p.alive[i]
		}
	}
	to := p.alive[p.nextIndex%len(p.alive)]
	p.nextIndex = (p.nextIndex + 1) % len(p.alive)
	return to
}

// nextMessage returns a message with this node's rates and at most maxDrainsPerMessage drains. If there are more
// drains, they take turns in successive messages.
func (s *State) nextMessage(now time.Duration) Message {
	s.peers.seq++
	return Message{
		From:        s.settings.Self,
		Incarnation: s.settings.Incarnation,
		Seq:         s.peers.seq,
		Rates:       s.own.rates.Clone(),
		Drains:      s.drains.nextBatch(now, maxDrainsPerMessage),
	}
}

// Receive processes a gossip message. It returns the executors whose drains are new to this node. A message that is
// implausible or out of date is dropped, and counted by the reason.
func (s *State) Receive(now time.Duration, m Message) (newlyDraining []policy.ExecutorID) {
	if reason := s.dropReason(now, m); reason != "" {
		s.peers.dropped[reason]++
		return nil
	}
	s.peers.states[m.From] = &peerState{incarnation: m.Incarnation, seq: m.Seq, receivedAt: now, rates: m.Rates}
	s.peers.received++
	for _, d := range m.Drains {
		if s.receiveDrain(now, d) {
			newlyDraining = append(newlyDraining, d.Executor)
		}
	}
	return newlyDraining
}

// Reasons for dropping a message. Describe shows them to operators after "dropped=N words", where "words" means messages. "Of an
// earlier life" means that the message has an older incarnation. "Older than one before" means that this node has already received
// the message, or a later one of the same sender.
const (
	dropOwnName          = "in this node's own name"
	dropUnreadForLong    = "unread for long"
	dropUnknownNode      = "of a node that is not in the fleet"
	dropOldIncarnation   = "of an earlier life"
	dropOldSequence      = "older than one before"
	dropImplausibleRates = "with figures that make no sense"
)

// dropReason returns the reason for dropping a message, or "" if it is valid.
func (s *State) dropReason(now time.Duration, m Message) string {
	known := s.peers.states[m.From]
	switch {
	case m.From == s.settings.Self:
		return dropOwnName
	case now < s.peers.ignoreUntil || s.suspended(now-s.lastTick):
		// The process was suspended. A message that waited unread during that time would be taken for a recent one.
		return dropUnreadForLong
	case !slices.Contains(s.peers.alive, m.From):
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

// CountDropped counts a message that was dropped before it reached Receive, for example because it can't be decoded.
func (s *State) CountDropped(reason string) { s.peers.dropped[reason]++ }

// FreshMessages returns the ID of the last message of each peer whose rates are in use, ordered by sender.
func (s *State) FreshMessages(now time.Duration) (ids []MessageID) {
	for _, name := range s.peers.fresh(now, s.settings.PeerStateTTL) {
		peer := s.peers.states[name]
		ids = append(ids, MessageID{name, peer.incarnation, peer.seq})
	}
	return ids
}
