package gossip

import (
	"github.com/hashicorp/memberlist"

	"birchstair/internal/node"
)

// NotifyJoin is memberlist's callback when a peer has joined or come back.
func (m *Membership) NotifyJoin(peer *memberlist.Node) { m.setAlive(peer, true) }

// NotifyLeave is memberlist's callback when a peer has left or is taken for dead.
func (m *Membership) NotifyLeave(peer *memberlist.Node) { m.setAlive(peer, false) }

// NotifyUpdate is memberlist's callback when a peer has changed its metadata, which no node does.
func (m *Membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict is memberlist's callback when a second node uses a name that is taken; the first one stays.
func (m *Membership) NotifyConflict(known, other *memberlist.Node) {
	m.log.Error().
		Str("name", known.Name).
		Str("at", known.Address()).
		Str("and_at", other.Address()).
		Msg("two nodes of the fleet bear one name: the second is not taken in")
	m.post(node.GossipUnreadable{Why: errNameConflict.Error()})
}

// NotifyMsg is memberlist's callback when a message has come.
func (m *Membership) NotifyMsg(b []byte) {
	if isLeaseMessage(b) {
		message, err := decodeLeaseMessage(b)
		if err != nil {
			m.post(node.GossipUnreadable{Why: err.Error()})
			return
		}
		m.post(message)
		return
	}
	message, err := decodeGossip(b)
	if err != nil {
		m.post(node.GossipUnreadable{Why: err.Error()})
		return
	}
	m.messageFrom(string(message.From))
	m.post(node.GossipReceived{Message: message})
}

// NodeMeta is memberlist's call for the metadata that peers get of this node: its number.
func (m *Membership) NodeMeta(int) []byte { return []byte(metadata(m.options.Node)) }

// GetBroadcasts is memberlist's call for messages to piggyback on its own; there are none.
func (m *Membership) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is memberlist's call for state to exchange with a peer; there is none.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState is memberlist's callback with a peer's state; peers have none.
func (m *Membership) MergeRemoteState([]byte, bool) {}
