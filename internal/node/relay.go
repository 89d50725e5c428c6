package node

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// relayTimeout is how long the reply to an operator waits for the node's other processes. The operator must
// receive the reply within a second.
const relayTimeout = 400 * time.Millisecond

// refusalRelayTimeout is the refusal that an operator receives if another process doesn't confirm the command in time.
const refusalRelayTimeout = "another process of this node does not say that it has done so"

// commandRelays holds the operators' commands that were passed on to other processes of this node and have not been confirmed
// by all of them.
type commandRelays struct {
	pending map[uint64]*pendingRelay // by sequence number of the command
	lastSeq uint64                   // sequence number of the last command
}

// pendingRelay is a reply to an operator that is held back until the other processes have confirmed the command.
type pendingRelay struct {
	reply    AdminReply    // sent when all processes have confirmed
	waiting  []HandoffLink // links to the processes that have not confirmed
	deadline time.Duration // when the command is refused instead
}

// seqs returns the sequence numbers of the pending relays in ascending order.
func (r *commandRelays) seqs() []uint64 { return slices.Sorted(maps.Keys(r.pending)) }

// nextDeadline returns when the first relay times out, or policy.Forever.
func (r *commandRelays) nextDeadline() time.Duration {
	next := policy.Forever
	for _, p := range r.pending {
		next = min(next, p.deadline)
	}
	return next
}

// relayCommand passes a command that this process received from an operator on to the node's other processes. The reply is sent
// once all of them have run it.
func (n *Node) relayCommand(ev AdminCalled, reply AdminReply) {
	m := HandoffMessage{Kind: RelayCommand, Command: ev.Command, Executor: ev.Executor}
	n.deferCommand(m)
	seq, waiting := n.forwardCommand(m, noLink)
	if len(waiting) == 0 {
		n.emit(reply)
		return
	}
	n.relays.pending[seq] = &pendingRelay{reply: reply, waiting: waiting, deadline: n.now + relayTimeout}
}

// commandRelayed runs a command that another process passed on, and passes it on to the remaining processes.
func (n *Node) commandRelayed(from HandoffLink, m HandoffMessage) {
	n.runRelayedCommand(m.Command, m.Executor)
	n.deferCommand(m)
	n.forwardCommand(HandoffMessage{Kind: RelayCommand, Command: m.Command, Executor: m.Executor}, from)
	n.emit(SendHandoff{from, HandoffMessage{Kind: RelayDone, Seq: m.Seq}})
}

// forwardCommand sends a command on all links except one. It returns the sequence number of the command and the links that it
// was sent on.
func (n *Node) forwardCommand(m HandoffMessage, except HandoffLink) (seq uint64, sent []HandoffLink) {
	n.relays.lastSeq++
	m.Seq = n.relays.lastSeq
	for _, link := range n.handoff.links {
		if link != except {
			sent = append(sent, link)
			n.emit(SendHandoff{link, m})
		}
	}
	return m.Seq, sent
}

// relayDone records that a process has run a command, or has ended. The reply is sent once no process is left to wait for.
func (n *Node) relayDone(seq uint64, by HandoffLink) {
	p := n.relays.pending[seq]
	if p == nil {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(link HandoffLink) bool { return link == by })
	if len(p.waiting) == 0 {
		delete(n.relays.pending, seq)
		n.emit(p.reply)
	}
}

// relayLinkDown stops waiting for a process that has ended.
func (n *Node) relayLinkDown(link HandoffLink) {
	for _, seq := range n.relays.seqs() {
		n.relayDone(seq, link)
	}
}

// expireRelays replies with a refusal to the commands that were not confirmed in time.
func (n *Node) expireRelays() {
	if len(n.relays.pending) == 0 { // the usual case; expireRelays runs in every step
		return
	}
	for _, seq := range n.relays.seqs() {
		if p := n.relays.pending[seq]; n.now >= p.deadline {
			delete(n.relays.pending, seq)
			p.reply.Refusal = refusalRelayTimeout
			n.emit(p.reply)
		}
	}
}

// deferCommand stores a command while this process waits for the predecessor's state, to run the command again once that state
// has been taken over. The predecessor may have sent its state before the command was given, so that taking over the state
// would undo the command, in this process alone.
func (n *Node) deferCommand(m HandoffMessage) {
	if n.handoff.awaitingState {
		n.handoff.deferred = append(n.handoff.deferred, m)
	}
}

// runDeferredCommands runs the deferred commands again, after the predecessor's state has been taken over.
func (n *Node) runDeferredCommands() {
	for _, m := range n.handoff.deferred {
		n.runRelayedCommand(m.Command, m.Executor)
	}
	n.handoff.deferred = nil
}
