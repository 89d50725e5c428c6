package node

import (
	"fmt"

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

// adminCalled does what a caller wants, and answers.
func (n *Node) adminCalled(ev AdminCalled) {
	r := AdminReply{Caller: ev.Caller}
	switch ev.Command {
	case CheckReady:
		// Guards against a platform that ends the elder by this yes before the elder knows of its heir: it would let clients'
		// connections go at once, some of them under their next message.
		if !n.announced || n.awaitingYield && n.now < n.yieldDeadline || n.shutdown.requested {
			r.Refusal = "not ready"
		}
	case ReadMetrics:
		f := n.metrics.snapshot()
		f.InFlight, f.KnownExecutors, f.ExcludedExecutors = n.jobs.inFlight(), len(n.executors), n.policy.CountExcluded(n.now)
		r.Metrics = &f
	case ReadFleet:
		if r.Refusal = "this node talks with no others: its [fleet] table is not there"; n.fleet != nil {
			r.Refusal, r.Lines = "", n.fleet.Describe(n.now)
		}
	default:
		if r.Refusal = n.runCommand(ev.Command, ev.Executor); r.Refusal == "" {
			w := HandoffMessage{Kind: RelayCommand, Command: ev.Command, Executor: ev.Executor}
			n.deferCommand(w)
			n.relay(noLink, w, &r)
			return
		}
	}
	n.emit(r)
}

// runCommand does what changes something, in this process alone. It gives the reason where it can't.
func (n *Node) runCommand(o AdminCommand, id policy.ExecutorID) (no string) {
	switch o {
	case ExcludeExecutor:
		return n.exclude(id)
	case ReadmitExecutor:
		return n.readmit(id)
	case DrainOn, DrainOff:
		n.drainClients(o == DrainOn)
	}
	return ""
}

// exclude lets an executor get nothing new, whatever the list says, until it is put back.
func (n *Node) exclude(id policy.ExecutorID) (no string) {
	e := n.executors[id]
	switch {
	case n.excluded[id]:
		return ""
	case e == nil:
		return "no executor on the list has this id"
	}
	n.excluded[id] = true
	n.emit(Log{Text: "taken out by hand", Executor: id})
	n.refreshEndpoint(e)
	n.closeIdleConns(e)
	return ""
}

// readmit lets the list decide again. The executor counts as started now: operators restart it while it is out, and
// discovery may tell of that later or not at all.
func (n *Node) readmit(id policy.ExecutorID) (no string) {
	e := n.executors[id]
	if !n.excluded[id] {
		if e == nil {
			return "no executor on the list has this id"
		}
		return ""
	}
	delete(n.excluded, id)
	n.readmittedAt[id] = n.now
	n.emit(Log{Text: "put back by hand", Executor: id})
	if e != nil {
		n.closeIdleConns(e)
		n.refreshEndpoint(e)
	}
	return ""
}

// drainClients sends clients away, or lets them come again.
func (n *Node) drainClients(on bool) {
	if on == n.clientsDrained {
		return
	}
	n.clientsDrained = on
	n.emit(Log{Text: fmt.Sprintf("told by hand to send clients away: %t", on)})
	n.emit(DrainClients{on})
}
