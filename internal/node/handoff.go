package node

import (
	"slices"
	"time"

	"birchstair/policy"
)

// HandoffLink identifies a link to another process of this node.
type HandoffLink int

// Predecessor is the link to the process that this one takes over from.
const Predecessor HandoffLink = 0

// noLink is a value that differs from the IDs of all links.
const noLink HandoffLink = -1

const (
	// stateTimeout is how long a successor waits for the predecessor's state. After that it continues without the
	// state.
	stateTimeout = 2 * time.Second
	// yieldTimeout is how long a successor waits for the predecessor to yield. While it waits, it reports that it is not
	// ready.
	yieldTimeout = 2 * time.Second
)

// HandoffState is the state that a process transfers to its successor. Points in time are sent as ages, because each
// process counts time from its own start.
type HandoffState struct {
	Excluded   []policy.ExecutorID  // executors that operators have excluded
	Readmitted []ReadmittedExecutor // executors that operators have readmitted
	Drained    bool                 // whether clients are being drained
	Endpoints  []Endpoint           // endpoint list; the StartedAt of each entry is an age
	Learned    policy.LearnedState  // the policy's estimates
	ClassNames []string             // names of the classes in Learned.Classes, in the same order
	UsedIDs    []UsedID             // IDs of jobs that must not run again, the oldest first
	Claims     bool                 // whether the predecessor answers claims on IDs
}

// ReadmittedExecutor is an executor that operators have readmitted.
type ReadmittedExecutor struct {
	Executor policy.ExecutorID
	Age      time.Duration // time since the readmission
}

// HandoffKind is the kind of a message between two processes of a node.
type HandoffKind int

// The kinds of handoff messages.
const (
	// StateTransfer carries the predecessor's state to the successor.
	StateTransfer HandoffKind = iota
	// SuccessorReady notifies the predecessor that the successor can serve.
	SuccessorReady
	// PredecessorYielded notifies the successor that the predecessor has yielded. The predecessor no longer accepts
	// connections, and sends no work to executors in slow start.
	PredecessorYielded
	// RelayCommand carries an operator's command. The receiver must run the command as well.
	RelayCommand
	// RelayDone confirms that the RelayCommand with the same Seq has been run.
	RelayDone
	// ClaimID asks whether the sender may run a job under this ID. It is sent only to a process that answers claims.
	ClaimID
	// ClaimAnswered answers the ClaimID with the same Seq.
	ClaimAnswered
	// TransferUsedIDs carries the IDs of jobs that must not run again.
	TransferUsedIDs
	// ClaimsEnded reports that the sender runs no more jobs, and answers no more claims.
	ClaimsEnded
)

// HandoffMessage is a message between two processes of a node.
type HandoffMessage struct {
	Kind     HandoffKind
	Seq      uint64            // sequence number of the command or claim; set in RelayCommand, RelayDone, ClaimID and ClaimAnswered
	Command  AdminCommand      // operator's command; set in RelayCommand
	Executor policy.ExecutorID // executor that the command is about; set in RelayCommand
	State    *HandoffState     // predecessor's state; set in StateTransfer
	Claims   bool              // whether the successor answers claims on IDs; set in SuccessorReady
	Digest   IDDigest          // ID that is claimed; set in ClaimID
	Granted  bool              // whether the claim is granted; set in ClaimAnswered
	UsedIDs  []UsedID          // set in TransferUsedIDs
}

// handoff is the state of a handoff between processes of this node. The package comment describes the protocol. A
// process can at the same time be the successor of one process and the predecessor of another.
type handoff struct {
	links        []HandoffLink // links that are up; the link to the predecessor comes first
	announced    bool          // whether this process has announced that it can serve
	limitsHalved bool          // whether this process uses only half of the resource limits, because another one uses the rest

	// Fields of a successor.
	awaitingState bool          // whether the predecessor's state has yet to arrive
	stateDeadline time.Duration // time at which this process stops waiting for the state
	// Operators' commands that were run while awaitingState was set. They are run again after the state is taken over,
	// because taking it over can undo them.
	deferred []HandoffMessage
	// Whether this process has sent SuccessorReady but the predecessor may still accept connections.
	awaitingYield bool
	// Time at which this process reports that it is ready even if the predecessor has not yielded.
	yieldDeadline time.Duration

	// Fields of a predecessor.
	yielded   bool        // whether the successor accepts connections in place of this process
	successor HandoffLink // link to the successor, if yielded is set
}

// connected reports whether a link is up.
func (h *handoff) connected(link HandoffLink) bool { return slices.Contains(h.links, link) }

// disconnect removes a link. It reports whether the link was up.
func (h *handoff) disconnect(link HandoffLink) bool {
	i := slices.Index(h.links, link)
	if i < 0 {
		return false
	}
	h.links = slices.Delete(h.links, i, i+1)
	return true
}

// ready returns what this process reports to readiness checks: whether it accepts jobs. It reports that it is not ready
// while the predecessor may still accept connections. Otherwise the platform might end a predecessor that has not
// yielded. Such a predecessor closes its clients' connections immediately, some of them while the client is sending its
// next request.
func (n *Node) ready() bool {
	if n.shutdown.requested || !n.handoff.announced {
		return false
	}
	return !n.handoff.awaitingYield || n.now >= n.handoff.yieldDeadline
}

// announceReady announces that this process can serve. It does nothing while the process has no endpoints or still
// waits for the predecessor's state, or if it has announced before.
func (n *Node) announceReady() {
	h := &n.handoff
	if !n.endpoints.usable || h.awaitingState || h.announced {
		return
	}
	h.announced = true
	n.emit(SetReady{!n.shutdown.requested})
	n.emit(AcceptConnections{!h.yielded})
	if h.connected(Predecessor) {
		h.awaitingYield, h.yieldDeadline = true, n.now+yieldTimeout
		n.emit(SendHandoff{Predecessor, HandoffMessage{Kind: SuccessorReady, Claims: true}})
	}
}

// handoffLinkUp starts a handoff. If the link leads to a successor, this process sends its state. If it leads to the
// predecessor, this process waits for the predecessor's state.
func (n *Node) handoffLinkUp(link HandoffLink) {
	h := &n.handoff
	h.links = append(h.links, link)
	if link != Predecessor {
		n.emit(Log{Text: "handoff: a successor has started"})
		n.emit(SendHandoff{link, HandoffMessage{Kind: StateTransfer, State: n.exportState()}})
		return
	}
	h.awaitingState, h.stateDeadline = true, n.now+stateTimeout
	n.emit(Log{Text: "handoff: waiting for the predecessor's state"})
	// Until the predecessor yields, only the predecessor may send jobs to executors in slow start.
	n.policy.BlockSlowStartUntil(n.now, policy.Forever)
	n.updateLimits()
}

// handoffLinkDown ends the handoff with another process. That process has ended, has sent an unreadable message, or has
// not sent its state in time. This process takes back the half of the limits that the other process used. If it had
// yielded to that process, it accepts connections again and, after a wait, uses executors in slow start again.
func (n *Node) handoffLinkDown(link HandoffLink, detail string) {
	h := &n.handoff
	if !h.disconnect(link) {
		return
	}
	n.relayLinkDown(link)
	n.endClaimsOf(link)
	switch {
	case link == Predecessor:
		n.emit(Log{Text: "handoff: the predecessor has ended: " + detail})
		h.awaitingState, h.awaitingYield = false, false
		n.blockSlowStart()
	case h.yielded && h.successor == link:
		n.emit(Log{Text: "handoff: the successor has ended, accepting connections again: " + detail})
		h.yielded = false
		n.emit(AcceptConnections{true})
		n.blockSlowStart()
	}
	n.updateLimits()
	n.announceReady()
}

// handoffReceived handles a message from another process.
func (n *Node) handoffReceived(from HandoffLink, m HandoffMessage) {
	if !n.handoff.connected(from) {
		return
	}
	switch m.Kind {
	case StateTransfer:
		if from == Predecessor && n.handoff.awaitingState && m.State != nil {
			n.stateReceived(*m.State)
		}
	case SuccessorReady:
		n.shareIDs(from, m.Claims)
		n.yieldTo(from)
	case PredecessorYielded:
		n.handoff.awaitingYield = false
		n.blockSlowStart()
	case RelayCommand:
		n.commandRelayed(from, m)
	case RelayDone:
		n.relayDone(m.Seq, from)
	case ClaimID:
		n.claimReceived(from, m)
	case ClaimAnswered:
		n.claimAnswered(from, m)
	case TransferUsedIDs:
		n.usedIDs.inherit(m.UsedIDs, n.now)
	case ClaimsEnded:
		n.endClaimsOf(from)
	}
}

// shareIDs tells a successor that has become ready which IDs were used since the state was exported. From now on both processes
// claim IDs from each other, if the successor answers claims.
func (n *Node) shareIDs(successor HandoffLink, answersClaims bool) {
	if !answersClaims {
		return
	}
	n.claims.addLink(successor)
	if used := n.usedAndCurrentIDs(); len(used) > 0 {
		n.emit(SendHandoff{successor, HandoffMessage{Kind: TransferUsedIDs, UsedIDs: used}})
	}
}

// yieldTo lets a successor accept connections and send work to executors in slow start. This process only finishes its
// jobs.
func (n *Node) yieldTo(successor HandoffLink) {
	n.handoff.yielded, n.handoff.successor = true, successor
	n.emit(Log{Text: "handoff: yielded to the successor"})
	n.emit(AcceptConnections{false})
	n.policy.BlockSlowStartUntil(n.now, policy.Forever)
	n.updateLimits()
	n.emit(SendHandoff{successor, HandoffMessage{Kind: PredecessorYielded}})
}

// blockSlowStart blocks attempts to executors in slow start for SlowStartWindow. The slow-start budget limits the work
// that is sent to such an executor within a window of time. After SlowStartWindow, everything that another process may
// have sent to the executor has left that window.
func (n *Node) blockSlowStart() {
	n.policy.BlockSlowStartUntil(n.now, n.now+n.limits.SlowStartWindow)
}

// updateLimits halves the limits of this process while another process of this node uses the other half.
func (n *Node) updateLimits() {
	half := n.handoff.yielded || n.handoff.connected(Predecessor)
	if half != n.handoff.limitsHalved {
		n.handoff.limitsHalved = half
		n.emit(HalveLimits{Half: half})
	}
}

// exportState returns the state for a successor.
func (n *Node) exportState() *HandoffState {
	state := &HandoffState{Learned: n.policy.ExportLearned(n.now), UsedIDs: n.usedAndCurrentIDs(), Claims: true}
	for _, class := range state.Learned.Classes {
		state.ClassNames = append(state.ClassNames, n.metrics.className(class.ID))
	}
	n.admin.export(n.now, state)
	for _, e := range n.endpoints.sorted() {
		endpoint := Endpoint{Endpoint: e.entry, Addr: e.addr}
		endpoint.StartedAt = n.now - endpoint.StartedAt
		state.Endpoints = append(state.Endpoints, endpoint)
	}
	return state
}

// stateReceived takes over the predecessor's state.
func (n *Node) stateReceived(state HandoffState) {
	n.handoff.awaitingState = false
	n.usedIDs.inherit(state.UsedIDs, n.now)
	if state.Claims {
		n.claims.addLink(Predecessor)
	}
	n.admin.inherit(n.now, state)
	if state.Drained {
		n.drainClients(true)
	}
	for i := range state.Endpoints {
		state.Endpoints[i].StartedAt = n.now - state.Endpoints[i].StartedAt
	}
	n.inheritEndpoints(state.Endpoints)
	n.runDeferredCommands()
	n.importLearned(state)
	n.emit(Log{Text: "handoff: took over the predecessor's state"})
	n.announceReady()
}

// importLearned gives the predecessor's estimates to the policy. A job class can have different IDs in the two
// processes, so classes are matched by name. Estimates for classes that this process doesn't have are left out.
func (n *Node) importLearned(state HandoffState) {
	var classes []policy.LearnedClass
	for i, class := range state.Learned.Classes {
		if i >= len(state.ClassNames) {
			break
		}
		if id, ok := n.classes.lastIDByName[state.ClassNames[i]]; ok {
			class.ID = id
			classes = append(classes, class)
		}
	}
	state.Learned.Classes = classes
	n.policy.ImportLearned(n.now, state.Learned)
}

// expireHandoff handles the deadlines of a handoff. At its deadline, this process stops waiting for the predecessor's
// state or for the confirmation of a relayed command.
func (n *Node) expireHandoff() {
	if n.handoff.awaitingState && n.now >= n.handoff.stateDeadline {
		n.emit(CloseHandoffLink{Predecessor})
		n.handoffLinkDown(Predecessor, "no state received in time")
	}
	n.expireRelays()
	n.expireClaims()
}

// nextHandoffDeadline returns when expireHandoff has something to do next, or policy.Forever if it is waiting for
// nothing.
func (n *Node) nextHandoffDeadline() time.Duration {
	next := n.claims.nextDeadline(n.relays.nextDeadline())
	if n.handoff.awaitingState {
		next = min(next, n.handoff.stateDeadline)
	}
	return next
}
