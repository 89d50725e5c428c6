package gossip

import (
	"github.com/hashicorp/memberlist"

	"birchstair/internal/node"
)

// NotifyJoin is memberlist's callback when a peer has joined or come back.
func (m *Membership) NotifyJoin(peer *memberlist.Node) { m.setAlive(peer, true) }

// NotifyLeave is memberlist's callback when a peer has left or is considered dead.
func (m *Membership) NotifyLeave(peer *memberlist.Node) { m.setAlive(peer, false) }

// NotifyUpdate is memberlist's callback for a peer that has changed its metadata. It does nothing, because nodes never
// change their metadata.
func (m *Membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict is memberlist's callback for a node that uses the name of a known node at another address. memberlist
// ignores the new node.
func (m *Membership) NotifyConflict(known, other *memberlist.Node) {
	m.log.Error().
		Str("name", known.Name).
		Str("at", known.Address()).
		Str("and_at", other.Address()).
		Msg("two nodes of the fleet bear one name: the second is not taken in")
	m.post(node.GossipUnreadable{Why: errNameConflict.Error()})
}

// NotifyMsg is memberlist's callback for a received message.
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
	m.noteMessageFrom(string(message.From))
	m.post(node.GossipReceived{Message: message})
}

// NodeMeta returns this node's metadata, which memberlist sends to peers. The metadata is this node's number.
func (m *Membership) NodeMeta(int) []byte { return []byte(metadata(m.options.Node)) }

// GetBroadcasts returns the messages that memberlist should attach to its own messages. There are none.
func (m *Membership) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the state that memberlist should exchange with a peer. There is none.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState is memberlist's callback for the LocalState of a peer. It does nothing, because LocalState is always
// empty.
func (m *Membership) MergeRemoteState([]byte, bool) {}
