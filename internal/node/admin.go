package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// AdminCallID identifies an operator's call. The reply carries the ID, so that package admin can deliver it to the
// right caller.
type AdminCallID uint64

// AdminCommand is the command of an operator's call.
type AdminCommand int

// The commands of operators. The commands from ExcludeExecutor to DrainOff change the node's state, so they are relayed
// to the node's other processes.
const (
	CheckReady      AdminCommand = iota // reports whether this process accepts jobs
	ReadMetrics                         // returns the counters
	ExcludeExecutor                     // gives an executor no new work until the executor is readmitted
	ReadmitExecutor                     // ends the exclusion of an executor
	DrainOn                             // starts a client drain, which closes clients' connections after their answers
	DrainOff                            // ends a client drain
	ReadCluster                         // returns what the node knows of its cluster
)

// Reasons for refusing a command. Operators' tools match these texts.
const (
	refusalNotReady        = "not ready"
	refusalNoCluster       = "this node talks with no others: its [fleet] table is not there"
	refusalUnknownExecutor = "no executor on the list has this id"
)

// adminState is the part of the node's state that operators set by commands.
type adminState struct {
	clientsDrained bool
	excluded       map[policy.ExecutorID]bool
	readmittedAt   map[policy.ExecutorID]time.Duration // time of the last readmission of each executor that was readmitted
}

// inherit takes over the exclusions and readmissions from the predecessor's state.
func (a *adminState) inherit(now time.Duration, state HandoffState) {
	for _, id := range state.Excluded {
		a.excluded[id] = true
	}
	for _, r := range state.Readmitted {
		a.readmittedAt[r.Executor] = now - r.Age
	}
}

// export adds the exclusions, the readmissions and the client drain to the state for a successor.
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
		if n.cluster == nil {
			reply.Refusal = refusalNoCluster
		} else {
			reply.Lines = n.cluster.Describe(n.now)
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

// readMetrics returns the counters and the current numbers of jobs and executors.
func (n *Node) readMetrics() *Metrics {
	m := n.metrics.snapshot()
	m.InFlight = n.jobs.inFlight()
	m.KnownExecutors = len(n.endpoints.byID)
	m.ExcludedExecutors = n.policy.CountUnusable(n.now)
	return &m
}

// runCommand runs a command that changes the node's state. It doesn't relay the command to the node's other processes.
// If the command can't be run, it returns the reason.
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

// runRelayedCommand runs a command that another process of this node has already run. If the command excludes an
// executor that is not yet on this process's endpoint list, the exclusion is stored for when the executor appears
// there.
func (n *Node) runRelayedCommand(command AdminCommand, id policy.ExecutorID) {
	if n.runCommand(command, id) != "" && command == ExcludeExecutor {
		n.admin.excluded[id] = true
	}
}

// exclude gives an executor no new work until the executor is readmitted, whatever the endpoint list says. If the
// executor is already excluded, exclude does nothing.
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

// readmit ends the exclusion of an executor. The executor counts as started now, because operators restart executors
// while they are excluded, and discovery may report such a restart late or never.
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

// drainClients starts or ends a client drain.
func (n *Node) drainClients(on bool) {
	if on == n.admin.clientsDrained {
		return
	}
	n.admin.clientsDrained = on
	n.emit(Log{Text: fmt.Sprintf("client drain set by an operator: %t", on)})
	n.emit(DrainClients{on})
}
