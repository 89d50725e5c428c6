package node

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// pendingRelay is an operator's answer that waits until the other processes have done as well.
type pendingRelay struct {
	reply    AdminReply
	waiting  []HandoffLink
	deadline time.Duration
}

// relayTimeout is how long an operator's answer waits for the other processes: well within the second it is owed in.
const relayTimeout = 400 * time.Millisecond

// runRelayed does what an operator has told another process of this node; the id was on the list there.
func (n *Node) runRelayed(o AdminCommand, id policy.ExecutorID) {
	if n.runCommand(o, id) != "" && o == ExcludeExecutor {
		n.excluded[id] = true
	}
}

// deferCommand keeps an order until the older process's state is here. Guards against a state that was told before the order was
// given, comes after it, and would undo it here alone.
func (n *Node) deferCommand(w HandoffMessage) {
	if n.awaitingState {
		n.deferred = append(n.deferred, w)
	}
}

// relay hands an order on to all processes but one. The reply, if there is one, goes out once they have done.
func (n *Node) relay(but HandoffLink, w HandoffMessage, reply *AdminReply) {
	n.lastSeq++
	w.Seq = n.lastSeq
	r := &pendingRelay{deadline: n.now + relayTimeout}
	for _, link := range n.links {
		if link != but {
			r.waiting = append(r.waiting, link)
			n.emit(SendHandoff{link, w})
		}
	}
	switch {
	case reply == nil:
	case len(r.waiting) == 0:
		n.emit(*reply)
	default:
		r.reply = *reply
		n.relays[w.Seq] = r
	}
}

// relaySeqs are the answers that wait, in the order in which they were asked for.
func (n *Node) relaySeqs() []uint64 { return slices.Sorted(maps.Keys(n.relays)) }

// relayDone notes that a process has done what was passed on, or is gone.
func (n *Node) relayDone(seq uint64, by HandoffLink) {
	r := n.relays[seq]
	if r == nil {
		return
	}
	if i := slices.Index(r.waiting, by); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	if len(r.waiting) == 0 {
		delete(n.relays, seq)
		n.emit(r.reply)
	}
}
