package node

import (
	"fmt"
	"slices"

	"birchstair/policy"
)

// What operators do to a node: calls at its door, executors taken out by hand, the drain, figures.

// AdminCallID names a caller at the door.
type AdminCallID uint64

// AdminCommand is what a caller wants.
type AdminCommand int

const (
	CheckReady      AdminCommand = iota // can this process take batch jobs?
	ReadMetrics                         // what it has done
	ExcludeExecutor                     // an executor gets nothing new until it is put back
	ReadmitExecutor
	DrainOn // clients are sent away
	DrainOff
	ReadFleet // what it knows of the nodes that it talks with
)

// Metrics are what a node has done since its start, and what it holds.
type Metrics struct {
	Classes           []ClassMetrics // in the order in which the tracks came
	Attempts          int            // whose last byte was written
	InFlight          int            // batch jobs that are owed an answer
	KnownExecutors    int            // executors on the list
	ExcludedExecutors int            // those of them that get nothing new, by hand, by the list or by choice
	ReloadsApplied    int            // configurations that were read again and taken
	ReloadsRejected   int            // and those that were not
}

// ClassMetrics are the final answers to batch jobs of one track.
type ClassMetrics struct {
	Name                        string
	Succeeded, Rejected, Failed int
}

// count books a final answer.
func (n *Node) count(track policy.JobClassID, how Final) {
	f := &n.figures.Classes[n.booked[track]]
	switch how {
	case Succeeded:
		f.Succeeded++
	case Rejected:
		f.Rejected++
	case Failed:
		f.Failed++
	}
}

// called does what a caller wants, and answers.
func (n *Node) called(ev AdminCalled) {
	r := AdminReply{Caller: ev.Caller}
	switch ev.Command {
	case CheckReady:
		// Guards against a platform that ends the elder by this yes before the elder knows of its heir: it would let clients'
		// connections go at once, some of them under their next message.
		if !n.said || n.yields && n.now < n.yieldBy || n.stopping {
			r.Refusal = "not ready"
		}
	case ReadMetrics:
		f := n.figures
		f.Classes = slices.Clone(f.Classes) // the caller reads them while this goes on
		f.InFlight, f.KnownExecutors, f.ExcludedExecutors = len(n.due), len(n.executors), n.brain.CountExcluded(n.now)
		r.Metrics = &f
	case ReadFleet:
		if r.Refusal = "this node talks with no others: its [fleet] table is not there"; n.fleet != nil {
			r.Refusal, r.Lines = "", n.fleet.Describe(n.now)
		}
	default:
		if r.Refusal = n.carry(ev.Command, ev.Executor); r.Refusal == "" {
			w := HandoffMessage{Kind: RelayCommand, Command: ev.Command, Executor: ev.Executor}
			n.remember(w)
			n.pass(nobody, w, &r)
			return
		}
	}
	n.say(r)
}

// carry does what changes something, in this process alone. It gives the reason where it can't.
func (n *Node) carry(o AdminCommand, id policy.ExecutorID) (no string) {
	switch o {
	case ExcludeExecutor:
		return n.takeOut(id)
	case ReadmitExecutor:
		return n.putBack(id)
	case DrainOn, DrainOff:
		n.drain(o == DrainOn)
	}
	return ""
}

// takeOut lets an executor get nothing new, whatever the list says, until it is put back.
func (n *Node) takeOut(id policy.ExecutorID) (no string) {
	e := n.executors[id]
	switch {
	case n.outs[id]:
		return ""
	case e == nil:
		return "no executor on the list has this id"
	}
	n.outs[id] = true
	n.say(Log{Text: "taken out by hand", Executor: id})
	n.showModule(e)
	n.closeResting(e)
	return ""
}

// putBack lets the list decide again. The executor counts as started now: operators restart it while it is out, and
// discovery may tell of that later or not at all.
func (n *Node) putBack(id policy.ExecutorID) (no string) {
	e := n.executors[id]
	if !n.outs[id] {
		if e == nil {
			return "no executor on the list has this id"
		}
		return ""
	}
	delete(n.outs, id)
	n.backs[id] = n.now
	n.say(Log{Text: "put back by hand", Executor: id})
	if e != nil {
		n.closeResting(e)
		n.showModule(e)
	}
	return ""
}

// showModule tells the module of one executor as the list and operators have it together.
func (n *Node) showModule(e *executor) {
	in := n.merged(e.entry)
	e.up, e.started = in.State == policy.Available, in.StartedAt
	n.brain.UpdateEndpoints(n.now, policy.IncrementalUpdate, []policy.Endpoint{in})
}

// merged is an entry of the list with what operators want, and what neighbours tell of drains, put over it.
func (n *Node) merged(in policy.Endpoint) policy.Endpoint {
	told := n.fleet != nil && n.fleet.IsDraining(in.Executor, in.StartedAt, in.StartedLongAgo)
	if (n.outs[in.Executor] || told) && in.State == policy.Available {
		in.State = policy.Draining
	}
	if at, ok := n.backs[in.Executor]; ok && (in.StartedLongAgo || in.StartedAt < at) {
		in.StartedAt, in.StartedLongAgo = at, false
	}
	return in
}

// drain sends clients away, or lets them come again.
func (n *Node) drain(on bool) {
	if on == n.drained {
		return
	}
	n.drained = on
	n.say(Log{Text: fmt.Sprintf("told by hand to send clients away: %t", on)})
	n.say(DrainClients{on})
}
