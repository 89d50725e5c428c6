package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// AdminCallID names an operator's call, so that the reply finds its way back.
type AdminCallID uint64

// AdminCommand is what an operator's call asks for.
type AdminCommand int

// The commands. Those from ExcludeExecutor to DrainOff change the node's state and are relayed to its other processes.
const (
	CheckReady      AdminCommand = iota // whether this process takes jobs
	ReadMetrics                         // the counters
	ExcludeExecutor                     // an executor gets no new work until it is readmitted
	ReadmitExecutor
	DrainOn // clients' connections are closed after their answers
	DrainOff
	ReadCluster // what the node knows of its fleet
)

// Refusals. Operators' tools match these texts.
const (
	refusalNotReady        = "not ready"
	refusalNoFleet         = "this node talks with no others: its [fleet] table is not there"
	refusalUnknownExecutor = "no executor on the list has this id"
)

// adminState is what operators have changed.
type adminState struct {
	clientsDrained bool
	excluded       map[policy.ExecutorID]bool
	readmittedAt   map[policy.ExecutorID]time.Duration // the last time, of each executor ever readmitted
}

// inherit takes over the exclusions and readmissions of the predecessor.
func (a *adminState) inherit(now time.Duration, state HandoffState) {
	for _, id := range state.Excluded {
		a.excluded[id] = true
	}
	for _, r := range state.Readmitted {
		a.readmittedAt[r.Executor] = now - r.Age
	}
}

// export adds the exclusions and readmissions to the state for a successor.
func (a *adminState) export(now time.Duration, state *HandoffState) {
	state.Drained = a.clientsDrained
	state.Excluded = slices.Sorted(maps.Keys(a.excluded))
	for _, id := range slices.Sorted(maps.Keys(a.readmittedAt)) {
		state.Readmitted = append(state.Readmitted, ReadmittedExecutor{id, now - a.readmittedAt[id]})
	}
}

// adminCalled runs an operator's command and replies.
func (n *Node) adminCalled(ev AdminCalled) {
	reply := AdminReply{Caller: ev.Caller}
	switch ev.Command {
	case CheckReady:
		if !n.ready() {
			reply.Refusal = refusalNotReady
		}
	case ReadMetrics:
		reply.Metrics = n.readMetrics()
	case ReadCluster:
		if n.fleet == nil {
			reply.Refusal = refusalNoFleet
		} else {
			reply.Lines = n.fleet.Describe(n.now)
		}
	default:
		reply.Refusal = n.runCommand(ev.Command, ev.Executor)
		if reply.Refusal == "" {
			n.relayCommand(ev, reply)
			return
		}
	}
	n.emit(reply)
}

// readMetrics returns the counters and what the node holds now.
func (n *Node) readMetrics() *Metrics {
	m := n.metrics.snapshot()
	m.InFlight = n.jobs.inFlight()
	m.KnownExecutors = len(n.endpoints.byID)
	m.ExcludedExecutors = n.policy.CountUnusable(n.now)
	return &m
}

// runCommand runs a command that changes the node's state, in this process alone. It returns a refusal if it can't.
func (n *Node) runCommand(command AdminCommand, id policy.ExecutorID) (refusal string) {
	switch command {
	case ExcludeExecutor:
		return n.exclude(id)
	case ReadmitExecutor:
		return n.readmit(id)
	case DrainOn, DrainOff:
		n.drainClients(command == DrainOn)
	}
	return ""
}

// runRelayedCommand runs a command that another process of this node has run already. An executor that is not on this
// process's list, as yet, is excluded all the same.
func (n *Node) runRelayedCommand(command AdminCommand, id policy.ExecutorID) {
	if n.runCommand(command, id) != "" && command == ExcludeExecutor {
		n.admin.excluded[id] = true
	}
}

// exclude stops new work for an executor until it is readmitted, whatever the endpoint list says.
func (n *Node) exclude(id policy.ExecutorID) (refusal string) {
	if n.admin.excluded[id] {
		return ""
	}
	e := n.endpoints.get(id)
	if e == nil {
		return refusalUnknownExecutor
	}
	n.admin.excluded[id] = true
	n.emit(Log{Text: "excluded by an operator", Executor: id})
	n.refreshEndpoint(e)
	n.closeIdleConns(e)
	return ""
}

// readmit ends an exclusion. The executor counts as started now: operators restart executors while they are excluded, and
// discovery may report the restart later or not at all.
func (n *Node) readmit(id policy.ExecutorID) (refusal string) {
	e := n.endpoints.get(id)
	if !n.admin.excluded[id] {
		if e == nil {
			return refusalUnknownExecutor
		}
		return ""
	}
	delete(n.admin.excluded, id)
	n.admin.readmittedAt[id] = n.now
	n.emit(Log{Text: "readmitted by an operator", Executor: id})
	if e != nil {
		n.closeIdleConns(e)
		n.refreshEndpoint(e)
	}
	return ""
}

// drainClients starts or ends a drain of clients.
func (n *Node) drainClients(on bool) {
	if on == n.admin.clientsDrained {
		return
	}
	n.admin.clientsDrained = on
	n.emit(Log{Text: fmt.Sprintf("client drain set by an operator: %t", on)})
	n.emit(DrainClients{on})
}
