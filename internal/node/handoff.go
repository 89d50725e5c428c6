package node

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// An upgrade: a new process of this node joins the old one, and both are one node until the old one ends. The old one
// hands over what operators want and the list; the new one takes clients' new connections from its yes on, and the old
// one finishes what it has. Limits are halved while both live. A cold executor's budget is one process's alone: the old
// one gives it up, and the new one uses it when all that the old one has sent is out of the window.

// HandoffLink names a link to another process of this node.
type HandoffLink int

// Predecessor is the link to the process that this one takes over from.
const Predecessor HandoffLink = 0

// noLink is no link.
const noLink HandoffLink = -1

// HandoffState is what a process hands to the one that joins it. Spans are ages, since the two count time from their own starts.
type HandoffState struct {
	Excluded   []policy.ExecutorID // taken out by operators
	Readmitted []ReadmittedExecutor
	Drained    bool
	Endpoints  []Endpoint // Started is an age
	Learned    policy.LearnedState
	ClassNames []string // of the tracks in Known, in the same order
}

// ReadmittedExecutor is an executor that operators have put back, and how long ago.
type ReadmittedExecutor struct {
	Executor policy.ExecutorID
	Age      time.Duration
}

// HandoffKind is what a word between two processes of a node is about.
type HandoffKind int

const (
	StateTransfer      HandoffKind = iota // the old one's state
	SuccessorReady                        // the new one can serve
	PredecessorYielded                    // the old one takes no new connections and sends nothing to cold executors any more
	RelayCommand                          // an operator's order, to be done there too
	RelayDone                             // it is done
)

// HandoffMessage is what one process of a node says to another.
type HandoffMessage struct {
	Kind     HandoffKind
	Seq      uint64 // of Relay and Done
	Command  AdminCommand
	Executor policy.ExecutorID
	State    *HandoffState
}

// yieldTimeout is how long the yes at the door waits for the elder to cede.
const yieldTimeout = 2 * time.Second

// stateTimeout is how long the new process waits for the old one's state before it goes on without.
const stateTimeout = 2 * time.Second

// handoff is what the reducer knows of other processes of its node.
type handoff struct {
	links         []HandoffLink // those up, the elder first
	awaitingState bool          // for the elder's state
	stateDeadline time.Duration
	yielded       bool // a younger process takes over
	successor     HandoffLink
	complete      bool // a list has come from discovery
	inherited     bool // the elder's list has been taken up
	announced     bool // this process has said its yes
	awaitingYield bool // and the elder has not answered it: it may still take connections, and let them go at once if it ends
	yieldDeadline time.Duration
	relays        map[uint64]*pendingRelay
	lastSeq       uint64
	deferred      []HandoffMessage // of operators, obeyed here while the elder's state is on its way
}

// handoffLinkUp takes up a link to another process.
func (n *Node) handoffLinkUp(link HandoffLink) {
	n.links = append(n.links, link)
	if link == Predecessor {
		n.awaitingState, n.stateDeadline = true, n.now+stateTimeout
		n.emit(Log{Text: "an older process of this node runs: its state is waited for"})
		n.policy.ReserveSlowStartUntil(n.now, policy.Endless) // the elder may use all of it until it cedes
		n.updateLimits()
		return
	}
	n.emit(Log{Text: "a newer process of this node has started"})
	n.emit(SendHandoff{link, HandoffMessage{Kind: StateTransfer, State: n.handoffState()}})
}

// handoffState is what a new process is handed.
func (n *Node) handoffState() *HandoffState {
	s := &HandoffState{Drained: n.clientsDrained, Learned: n.policy.ExportLearned(n.now)}
	for _, t := range s.Learned.Classes {
		s.ClassNames = append(s.ClassNames, n.metrics.className(t.ID))
	}
	s.Excluded = slices.Sorted(maps.Keys(n.excluded))
	for _, id := range slices.Sorted(maps.Keys(n.readmittedAt)) {
		s.Readmitted = append(s.Readmitted, ReadmittedExecutor{id, n.now - n.readmittedAt[id]})
	}
	for _, e := range n.executorsByID() {
		in := Endpoint{Endpoint: e.entry, Addr: e.addr}
		in.StartedAt = n.now - in.StartedAt
		s.Endpoints = append(s.Endpoints, in)
	}
	return s
}

// handoffLinkDown notes that another process has ended, or what it says makes no sense. All is this process's again.
func (n *Node) handoffLinkDown(link HandoffLink, detail string) {
	i := slices.Index(n.links, link)
	if i < 0 {
		return
	}
	n.links = slices.Delete(n.links, i, i+1)
	for _, seq := range n.relaySeqs() {
		n.relayDone(seq, link)
	}
	switch {
	case link == Predecessor:
		n.emit(Log{Text: "the older process is gone: " + detail})
		n.awaitingState, n.awaitingYield = false, false
		n.reserveSlowStart()
	case n.yielded && n.successor == link:
		n.emit(Log{Text: "the newer process is gone, this one goes on: " + detail})
		n.yielded = false
		n.emit(AcceptConnections{true})
		n.reserveSlowStart()
	}
	n.updateLimits()
	n.announceReady()
}

// reserveSlowStart lets cold executors be used once all that another process may have sent them is out of the window.
func (n *Node) reserveSlowStart() {
	n.policy.ReserveSlowStartUntil(n.now, n.now+n.limits.SlowStartWindow)
}

// updateLimits halves the limits while another process of this node may use the other half.
func (n *Node) updateLimits() {
	half := n.yielded || slices.Contains(n.links, Predecessor)
	if half != n.limitsHalved {
		n.limitsHalved = half
		n.emit(HalveLimits{Half: half})
	}
}

// maxConns is how many connections to executors there may be.
func (n *Node) maxConns() int {
	if n.limitsHalved {
		return n.limits.MaxConnsShared
	}
	return n.limits.MaxConns
}

// handoffReceived takes in what another process says.
func (n *Node) handoffReceived(from HandoffLink, w HandoffMessage) {
	if !slices.Contains(n.links, from) {
		return
	}
	switch w.Kind {
	case StateTransfer:
		if from == Predecessor && n.awaitingState && w.State != nil {
			n.stateReceived(*w.State)
		}
	case SuccessorReady:
		n.yielded, n.successor = true, from
		n.emit(Log{Text: "the newer process takes over"})
		n.emit(AcceptConnections{false})
		n.policy.ReserveSlowStartUntil(n.now, policy.Endless)
		n.updateLimits()
		n.emit(SendHandoff{from, HandoffMessage{Kind: PredecessorYielded}})
	case PredecessorYielded:
		n.awaitingYield = false
		n.reserveSlowStart()
	case RelayCommand:
		n.runRelayed(w.Command, w.Executor)
		n.deferCommand(w)
		n.relay(from, HandoffMessage{Kind: RelayCommand, Command: w.Command, Executor: w.Executor}, nil)
		n.emit(SendHandoff{from, HandoffMessage{Kind: RelayDone, Seq: w.Seq}})
	case RelayDone:
		n.relayDone(w.Seq, from)
	}
}

// stateReceived takes over the old process's state.
func (n *Node) stateReceived(s HandoffState) {
	n.awaitingState = false
	for _, id := range s.Excluded {
		n.excluded[id] = true
	}
	for _, b := range s.Readmitted {
		n.readmittedAt[b.Executor] = n.now - b.Age
	}
	if s.Drained {
		n.drainClients(true)
	}
	for i := range s.Endpoints {
		s.Endpoints[i].StartedAt = n.now - s.Endpoints[i].StartedAt
	}
	if !n.complete { // news of the old one's, newer than the copy that this one was started with
		n.endpointsUpdated(EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: s.Endpoints})
		n.inherited = true
		n.removeUnlisted()
	} else {
		for _, e := range n.executorsByID() {
			n.refreshEndpoint(e)
		}
	}
	for _, w := range n.deferred {
		n.runRelayed(w.Command, w.Executor)
	}
	n.deferred = nil
	n.importLearned(s)
	n.emit(Log{Text: "the older process has handed over"})
	n.announceReady()
}

// importLearned hands the module what the old one's has learnt, with tracks by this process's numbers.
func (n *Node) importLearned(s HandoffState) {
	var tracks []policy.LearnedClass
	for i, t := range s.Learned.Classes {
		if i >= len(s.ClassNames) {
			break
		}
		if id, ok := n.classes.lastIDByName[s.ClassNames[i]]; ok {
			t.ID = id
			tracks = append(tracks, t)
		}
	}
	s.Learned.Classes = tracks
	n.policy.ImportLearned(n.now, s.Learned)
}

// announceReady says yes once there is a list and what the old process knew.
func (n *Node) announceReady() {
	if !n.hasEndpoints || n.awaitingState || n.announced {
		return
	}
	n.announced = true
	n.emit(SetReady{!n.shutdown.requested})
	n.emit(AcceptConnections{!n.yielded})
	if slices.Contains(n.links, Predecessor) {
		n.awaitingYield, n.yieldDeadline = true, n.now+yieldTimeout
		n.emit(SendHandoff{Predecessor, HandoffMessage{Kind: SuccessorReady}})
	}
}

// expireHandoff does what is due between processes.
func (n *Node) expireHandoff() {
	if n.awaitingState && n.now >= n.stateDeadline {
		n.emit(CloseHandoffLink{Predecessor})
		n.handoffLinkDown(Predecessor, "it hands nothing over")
	}
	if len(n.relays) == 0 { // as nearly always: this is on every batch job's way
		return
	}
	for _, seq := range n.relaySeqs() {
		if r := n.relays[seq]; n.now >= r.deadline {
			delete(n.relays, seq)
			r.reply.Refusal = "another process of this node does not say that it has done so"
			n.emit(r.reply)
		}
	}
}

// nextHandoffDeadline is when something is due between processes next.
func (n *Node) nextHandoffDeadline() time.Duration {
	next := policy.Endless
	if n.awaitingState {
		next = n.stateDeadline
	}
	for _, r := range n.relays {
		next = min(next, r.deadline)
	}
	return next
}
