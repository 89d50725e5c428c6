package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	watchRetryDelay = time.Millisecond // time from the end of a partition until the watch of a node is answered
	maxNotifyJitter = 20000            // largest random delay of the notification of a node, in microseconds
	startedLongAgo  = -time.Hour       // start time that is reported to the checker for an executor that started long ago
)

// endpointsUpdate returns the event by which a node receives an update of the endpoint list, and records the update's
// content for the checker.
func (n *simNode) endpointsUpdate(kind policy.EndpointUpdateKind, entries []emulator.Entry) node.EndpointsUpdated {
	event := node.EndpointsUpdated{Kind: kind}
	if kind == policy.WatchFailed {
		event.Detail = "no answer"
		return event
	}
	listed := map[policy.ExecutorID]bool{}
	for _, entry := range entries {
		listed[entry.Executor] = true
		start := entry.StartedAt
		if entry.StartedLongAgo {
			start = startedLongAgo
		} else {
			entry.StartedAt -= n.startedAt // the node's clock starts with its process
		}
		event.Endpoints = append(event.Endpoints, node.Endpoint{Endpoint: entry.Endpoint, Addr: entry.Addr})
		n.recordEndpoint(invariants.Event{Kind: invariants.EndpointNotified, Node: n.id, Executor: entry.Executor, State: entry.State, Start: start})
	}
	if kind == policy.CompleteUpdate {
		n.recordRemoved(listed)
	}
	return event
}

// recordRemoved records the removal of all executors that a complete update does not list.
func (n *simNode) recordRemoved(listed map[policy.ExecutorID]bool) {
	for _, known := range sortedByExecutor(n.endpoints) {
		if !listed[known.Executor] && known.State != policy.Removed {
			known.State = policy.Removed
			n.recordEndpoint(known)
		}
	}
}

// recordEndpoint reports to the checker that the node has received an update of an executor's state. An update that
// changes nothing is not reported. If operators have excluded an executor that the endpoint list has as available, the
// executor counts as draining.
func (n *simNode) recordEndpoint(s invariants.Event) {
	s.At = 0
	if _, excluded := n.excluded[s.Executor]; excluded {
		n.excluded[s.Executor] = s
		if s.State == policy.Available {
			s.State = policy.Draining
		}
	}
	if n.endpoints[s.Executor] != s {
		n.endpoints[s.Executor] = s
		n.sim.observe(s)
	}
}

// adminCall sends an operator's command to the node.
func (n *simNode) adminCall(command node.AdminCommand, id policy.ExecutorID) {
	event := node.AdminCalled{Command: command, Executor: id}
	switch {
	case !n.up:
	case n.process != nil:
		n.process.adminCall(event)
	default:
		n.deliver(event)
	}
}

// recordAdminCall records the exclusion or readmission of an executor, if the node has accepted the operator's command.
func (n *simNode) recordAdminCall(event node.Event, effects []node.Effect) {
	call, ok := event.(node.AdminCalled)
	if !ok || !slices.ContainsFunc(effects, isAcceptance) {
		return
	}
	listed, excluded := n.excluded[call.Executor]
	switch {
	case call.Command == node.ExcludeExecutor && !excluded:
		listed = n.endpoints[call.Executor]
		n.excluded[call.Executor] = listed
		n.recordEndpoint(listed)
	case call.Command == node.ReadmitExecutor && excluded:
		delete(n.excluded, call.Executor)
		n.recordEndpoint(listed)
	}
}

func isAcceptance(effect node.Effect) bool {
	reply, ok := effect.(node.AdminReply)
	return ok && reply.Refusal == ""
}

// deliverEndpoints delivers discovery's pending updates to the node. If the inbound traffic of the node's zone is
// blocked, the updates are delivered watchRetryDelay after the blockage ends.
func (n *simNode) deliverEndpoints() {
	if until := n.sim.partitions[n.zone].inboundUntil; until > n.sim.now {
		n.after(until-n.sim.now+watchRetryDelay, n.deliverEndpoints)
		return
	}
	if n.watchLost || n.suspended {
		return
	}
	kind, entries := n.sim.discovery.Update(n.sim.now, n.id)
	if kind == policy.IncrementalUpdate && len(entries) == 0 {
		return
	}
	n.deliver(n.endpointsUpdate(kind, entries))
}

// updateEndpoint changes an executor's entry at discovery, and notifies the nodes when discovery publishes the change.
func (sim *Simulation) updateEndpoint(entry emulator.Entry) {
	at := sim.discovery.Change(sim.now, entry)
	sim.checker.EndpointPublished(at, entry.Executor, entry.State)
	sim.notifyNodes(at)
}

// notifyNodes lets all nodes read discovery's updates at the given time. Outside networked simulations, each node has a
// random additional delay.
func (sim *Simulation) notifyNodes(at time.Duration) {
	if sim.networked != nil {
		sim.at(at, sim.networked.notifyWatches)
		return
	}
	for _, n := range sim.nodes {
		if n.up {
			jitter := time.Duration(sim.networkRand.IntN(maxNotifyJitter)) * time.Microsecond
			n.after(at-sim.now+jitter, n.deliverEndpoints)
		}
	}
}

// updateWeights sets the weight of each executor by its load, and schedules the next call of updateWeights after
// Fleet.WeightInterval.
func (sim *Simulation) updateWeights() {
	at := time.Duration(0)
	for _, x := range sim.executors {
		if entry, ok := sim.discovery.Entry(x.ID); ok {
			entry.Weight = x.standardCores() / (1 + float64(x.InFlight())/float64(x.Cores))
			at = sim.discovery.Change(sim.now, entry)
		}
	}
	if at > 0 {
		sim.notifyNodes(at)
	}
	sim.after(time.Duration(sim.scenario.Fleet.WeightInterval), sim.updateWeights)
}

func sortedByExecutor(endpoints map[policy.ExecutorID]invariants.Event) []invariants.Event {
	return slices.SortedFunc(maps.Values(endpoints), compareByExecutor)
}

func compareByExecutor(a, b invariants.Event) int { return cmp.Compare(a.Executor, b.Executor) }
