package node

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// relayTimeout is how long the reply to an operator waits for confirmations from the node's other processes. It leaves
// a margin, because the operator must receive the reply within a second.
const relayTimeout = 400 * time.Millisecond

// refusalRelayTimeout is the reason for a refusal if another process doesn't confirm a command within relayTimeout.
const refusalRelayTimeout = "another process of this node does not say that it has done so"

// commandRelays holds the operators' commands that this process has relayed to other processes of this node, and that
// not all of these have confirmed yet.
type commandRelays struct {
	pending map[uint64]*pendingRelay // pending relays, by sequence number of the command
	lastSeq uint64                   // sequence number of the last command
}

// pendingRelay is a reply to an operator that is held back until the other processes have confirmed the command.
type pendingRelay struct {
	reply    AdminReply    // reply that is sent when all processes have confirmed the command
	waiting  []HandoffLink // links to the processes that have not confirmed the command
	deadline time.Duration // time at which the operator receives a refusal instead
}

// seqs returns the sequence numbers of the pending relays in ascending order.
func (r *commandRelays) seqs() []uint64 { return slices.Sorted(maps.Keys(r.pending)) }

// nextDeadline returns when the next pending relay times out, or policy.Forever if none is pending.
func (r *commandRelays) nextDeadline() time.Duration {
	next := policy.Forever
	for _, p := range r.pending {
		next = min(next, p.deadline)
	}
	return next
}

// relayCommand relays an operator's command, which this process has run, to the node's other processes. The reply is
// sent once all of them have run the command.
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

// commandRelayed runs a command that another process has relayed, and relays it to the remaining processes.
func (n *Node) commandRelayed(from HandoffLink, m HandoffMessage) {
	n.runRelayedCommand(m.Command, m.Executor)
	n.deferCommand(m)
	n.forwardCommand(HandoffMessage{Kind: RelayCommand, Command: m.Command, Executor: m.Executor}, from)
	n.emit(SendHandoff{from, HandoffMessage{Kind: RelayDone, Seq: m.Seq}})
}

// forwardCommand sends a command on all links except one. It returns the command's sequence number and the links on
// which the command was sent.
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

// relayDone records that a process has run a command or has ended. The reply is sent once this process waits for no
// other.
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

// expireRelays refuses the commands that were not confirmed in time.
func (n *Node) expireRelays() {
	if len(n.relays.pending) == 0 { // this is the usual case, and expireRelays runs in every step
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

// deferCommand stores a command while this process waits for the predecessor's state. The command is run a second time
// after that state has been taken over. The reason: the predecessor may have sent its state before the command was
// given. Taking over such a state can undo the command, but only in this process.
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
