package node

import (
	"cmp"
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

// nobody is no link.
const nobody HandoffLink = -1

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

// relay is an operator's answer that waits until the other processes have done as well.
type relay struct {
	reply AdminReply
	open  []HandoffLink
	by    time.Duration
}

// relaySpell is how long an operator's answer waits for the other processes: well within the second it is owed in.
const relaySpell = 400 * time.Millisecond

// yieldLimit is how long the yes at the door waits for the elder to cede.
const yieldLimit = 2 * time.Second

// handSpell is how long the new process waits for the old one's state before it goes on without.
const handSpell = 2 * time.Second

// pair is what the reducer knows of other processes of its node.
type pair struct {
	links   []HandoffLink // those up, the elder first
	waits   bool          // for the elder's state
	waitsBy time.Duration
	ceded   bool // a younger process takes over
	heir    HandoffLink
	live    bool // a list has come from discovery
	copied  bool // the elder's list has been taken up
	said    bool // this process has said its yes
	yields  bool // and the elder has not answered it: it may still take connections, and let them go at once if it ends
	yieldBy time.Duration
	relays  map[uint64]*relay
	seq     uint64
	orders  []HandoffMessage // of operators, obeyed here while the elder's state is on its way
}

// joined takes up a link to another process.
func (n *Node) joined(link HandoffLink) {
	n.links = append(n.links, link)
	if link == Predecessor {
		n.waits, n.waitsBy = true, n.now+handSpell
		n.say(Log{Text: "an older process of this node runs: its state is waited for"})
		n.brain.ReserveSlowStartUntil(n.now, policy.Forever) // the elder may use all of it until it cedes
		n.share()
		return
	}
	n.say(Log{Text: "a newer process of this node has started"})
	n.say(SendHandoff{link, HandoffMessage{Kind: StateTransfer, State: n.state()}})
}

// state is what a new process is handed.
func (n *Node) state() *HandoffState {
	s := &HandoffState{Drained: n.drained, Learned: n.brain.ExportLearned(n.now)}
	for _, t := range s.Learned.Classes {
		s.ClassNames = append(s.ClassNames, n.figures.Classes[n.booked[t.ID]].Name)
	}
	s.Excluded = slices.Sorted(maps.Keys(n.outs))
	for _, id := range slices.Sorted(maps.Keys(n.backs)) {
		s.Readmitted = append(s.Readmitted, ReadmittedExecutor{id, n.now - n.backs[id]})
	}
	for _, e := range n.inOrder() {
		in := Endpoint{Endpoint: e.entry, Addr: e.addr}
		in.StartedAt = n.now - in.StartedAt
		s.Endpoints = append(s.Endpoints, in)
	}
	return s
}

// parted notes that another process has ended, or what it says makes no sense. All is this process's again.
func (n *Node) parted(link HandoffLink, detail string) {
	i := slices.Index(n.links, link)
	if i < 0 {
		return
	}
	n.links = slices.Delete(n.links, i, i+1)
	for _, seq := range n.relaysInOrder() {
		n.relayed(seq, link)
	}
	switch {
	case link == Predecessor:
		n.say(Log{Text: "the older process is gone: " + detail})
		n.waits, n.yields = false, false
		n.mayUseCold()
	case n.ceded && n.heir == link:
		n.say(Log{Text: "the newer process is gone, this one goes on: " + detail})
		n.ceded = false
		n.say(AcceptConnections{true})
		n.mayUseCold()
	}
	n.share()
	n.becomeReady()
}

// mayUseCold lets cold executors be used once all that another process may have sent them is out of the window.
func (n *Node) mayUseCold() { n.brain.ReserveSlowStartUntil(n.now, n.now+n.limits.SlowStartWindow) }

// share halves the limits while another process of this node may use the other half.
func (n *Node) share() {
	half := n.ceded || slices.Contains(n.links, Predecessor)
	if half != n.halved {
		n.halved = half
		n.say(HalveLimits{Half: half})
	}
}

// mostConns is how many connections to executors there may be.
func (n *Node) mostConns() int {
	if n.halved {
		return n.limits.MaxConnsShared
	}
	return n.limits.MaxConns
}

// heard takes in what another process says.
func (n *Node) heard(from HandoffLink, w HandoffMessage) {
	if !slices.Contains(n.links, from) {
		return
	}
	switch w.Kind {
	case StateTransfer:
		if from == Predecessor && n.waits && w.State != nil {
			n.handed(*w.State)
		}
	case SuccessorReady:
		n.ceded, n.heir = true, from
		n.say(Log{Text: "the newer process takes over"})
		n.say(AcceptConnections{false})
		n.brain.ReserveSlowStartUntil(n.now, policy.Forever)
		n.share()
		n.say(SendHandoff{from, HandoffMessage{Kind: PredecessorYielded}})
	case PredecessorYielded:
		n.yields = false
		n.mayUseCold()
	case RelayCommand:
		n.obey(w.Command, w.Executor)
		n.remember(w)
		n.pass(from, HandoffMessage{Kind: RelayCommand, Command: w.Command, Executor: w.Executor}, nil)
		n.say(SendHandoff{from, HandoffMessage{Kind: RelayDone, Seq: w.Seq}})
	case RelayDone:
		n.relayed(w.Seq, from)
	}
}

// handed takes over the old process's state.
func (n *Node) handed(s HandoffState) {
	n.waits = false
	for _, id := range s.Excluded {
		n.outs[id] = true
	}
	for _, b := range s.Readmitted {
		n.backs[b.Executor] = n.now - b.Age
	}
	if s.Drained {
		n.drain(true)
	}
	for i := range s.Endpoints {
		s.Endpoints[i].StartedAt = n.now - s.Endpoints[i].StartedAt
	}
	if !n.live { // news of the old one's, newer than the copy that this one was started with
		n.listed(EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: s.Endpoints})
		n.copied = true
		n.goneUnlisted()
	} else {
		for _, e := range n.inOrder() {
			n.showModule(e)
		}
	}
	for _, w := range n.orders {
		n.obey(w.Command, w.Executor)
	}
	n.orders = nil
	n.learn(s)
	n.say(Log{Text: "the older process has handed over"})
	n.becomeReady()
}

// learn hands the module what the old one's has learnt, with tracks by this process's numbers.
func (n *Node) learn(s HandoffState) {
	var tracks []policy.LearnedClass
	for i, t := range s.Learned.Classes {
		if i >= len(s.ClassNames) {
			break
		}
		if id, ok := n.former[s.ClassNames[i]]; ok {
			t.ID = id
			tracks = append(tracks, t)
		}
	}
	s.Learned.Classes = tracks
	n.brain.ImportLearned(n.now, s.Learned)
}

// inOrder are the executors by their ids.
func (n *Node) inOrder() []*executor {
	all := slices.Collect(maps.Values(n.executors))
	slices.SortFunc(all, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return all
}

// becomeReady says yes once there is a list and what the old process knew.
func (n *Node) becomeReady() {
	if !n.ready || n.waits || n.said {
		return
	}
	n.said = true
	n.say(SetReady{!n.stopping})
	n.say(AcceptConnections{!n.ceded})
	if slices.Contains(n.links, Predecessor) {
		n.yields, n.yieldBy = true, n.now+yieldLimit
		n.say(SendHandoff{Predecessor, HandoffMessage{Kind: SuccessorReady}})
	}
}

// obey does what an operator has told another process of this node; the id was on the list there.
func (n *Node) obey(o AdminCommand, id policy.ExecutorID) {
	if n.carry(o, id) != "" && o == ExcludeExecutor {
		n.outs[id] = true
	}
}

// remember keeps an order until the older process's state is here. Guards against a state that was told before the order was
// given, comes after it, and would undo it here alone.
func (n *Node) remember(w HandoffMessage) {
	if n.waits {
		n.orders = append(n.orders, w)
	}
}

// pass hands an order on to all processes but one. The reply, if there is one, goes out once they have done.
func (n *Node) pass(but HandoffLink, w HandoffMessage, reply *AdminReply) {
	n.seq++
	w.Seq = n.seq
	r := &relay{by: n.now + relaySpell}
	for _, link := range n.links {
		if link != but {
			r.open = append(r.open, link)
			n.say(SendHandoff{link, w})
		}
	}
	switch {
	case reply == nil:
	case len(r.open) == 0:
		n.say(*reply)
	default:
		r.reply = *reply
		n.relays[w.Seq] = r
	}
}

// relaysInOrder are the answers that wait, in the order in which they were asked for.
func (n *Node) relaysInOrder() []uint64 { return slices.Sorted(maps.Keys(n.relays)) }

// relayed notes that a process has done what was passed on, or is gone.
func (n *Node) relayed(seq uint64, by HandoffLink) {
	r := n.relays[seq]
	if r == nil {
		return
	}
	if i := slices.Index(r.open, by); i >= 0 {
		r.open = slices.Delete(r.open, i, i+1)
	}
	if len(r.open) == 0 {
		delete(n.relays, seq)
		n.say(r.reply)
	}
}

// pairDue does what is due between processes.
func (n *Node) pairDue() {
	if n.waits && n.now >= n.waitsBy {
		n.say(CloseHandoffLink{Predecessor})
		n.parted(Predecessor, "it hands nothing over")
	}
	if len(n.relays) == 0 { // as nearly always: this is on every batch job's way
		return
	}
	for _, seq := range n.relaysInOrder() {
		if r := n.relays[seq]; n.now >= r.by {
			delete(n.relays, seq)
			r.reply.Refusal = "another process of this node does not say that it has done so"
			n.say(r.reply)
		}
	}
}

// nextPairDue is when something is due between processes next.
func (n *Node) nextPairDue() time.Duration {
	next := policy.Forever
	if n.waits {
		next = n.waitsBy
	}
	for _, r := range n.relays {
		next = min(next, r.by)
	}
	return next
}
