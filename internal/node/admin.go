package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// AdminCallID identifies an operator's call, so that the reply can be delivered to its caller.
type AdminCallID uint64

// AdminCommand is the command of an operator's call.
type AdminCommand int

// The commands of operators. Those from ExcludeExecutor to DrainOff change the node's state and are relayed to the node's
// other processes.
const (
	CheckReady      AdminCommand = iota // reports whether this process accepts jobs
	ReadMetrics                         // returns the counters
	ExcludeExecutor                     // gives an executor no new work until it is readmitted
	ReadmitExecutor                     // ends the exclusion of an executor
	DrainOn                             // closes clients' connections after their answers, from now on
	DrainOff                            // ends the client drain
	ReadCluster                         // returns what the node knows of its cluster
)

// Reasons for which a command is refused. Operators' tools match these texts.
const (
	refusalNotReady        = "not ready"
	refusalNoCluster       = "this node talks with no others: its [fleet] table is not there"
	refusalUnknownExecutor = "no executor on the list has this id"
)

// adminState is the part of the node's state that operators have set.
type adminState struct {
	clientsDrained bool
	excluded       map[policy.ExecutorID]bool
	readmittedAt   map[policy.ExecutorID]time.Duration // when each executor was last readmitted, if ever
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

// runCommand runs a command that changes the node's state, in this process alone. If the command can't be run, it returns the
// reason.
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

// runRelayedCommand runs a command that another process of this node has already run. An executor is excluded even if it is
// not on this process's endpoint list yet.
func (n *Node) runRelayedCommand(command AdminCommand, id policy.ExecutorID) {
	if n.runCommand(command, id) != "" && command == ExcludeExecutor {
		n.admin.excluded[id] = true
	}
}

// exclude gives an executor no new work until it is readmitted, whatever the endpoint list says. Excluding an excluded executor
// has no effect.
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

// drainClients starts or ends a client drain.
func (n *Node) drainClients(on bool) {
	if on == n.admin.clientsDrained {
		return
	}
	n.admin.clientsDrained = on
	n.emit(Log{Text: fmt.Sprintf("client drain set by an operator: %t", on)})
	n.emit(DrainClients{on})
}
