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

// endpointsUpdate makes an event of the list, and books what it tells the node.
func (n *simNode) endpointsUpdate(kind policy.EndpointUpdateKind, entries []emulator.Entry) node.EndpointsUpdated {
	ev := node.EndpointsUpdated{Kind: kind}
	if kind == policy.WatchFailed {
		ev.Detail = "no answer"
		return ev
	}
	named := map[policy.ExecutorID]bool{}
	for _, e := range entries {
		named[e.Executor] = true
		if !e.StartedLongAgo {
			e.StartedAt -= n.startedAt
		}
		ev.Endpoints = append(ev.Endpoints, node.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
		start := e.StartedAt + n.startedAt
		if e.StartedLongAgo {
			start = -time.Hour
		}
		n.recordEndpoint(invariants.Seen{What: invariants.Told, Node: n.id, Executor: e.Executor, State: e.State, Start: start})
	}
	if kind == policy.CompleteUpdate {
		for _, was := range sortedSeen(n.endpoints) {
			if !named[was.Executor] && was.State != policy.Removed {
				was.State = policy.Removed
				n.recordEndpoint(was)
			}
		}
	}
	return ev
}

// adminCall has an operator call at a node.
func (n *simNode) adminCall(o node.AdminCommand, id policy.ExecutorID) {
	ev := node.AdminCalled{Command: o, Executor: id}
	switch {
	case !n.up:
	case n.process != nil:
		n.process.adminCall(ev)
	default:
		n.deliver(ev)
	}
}

// recordAdminCall books what the node is told by an operator, once it has said yes.
func (n *simNode) recordAdminCall(ev node.Event, effects []node.Effect) {
	c, ok := ev.(node.AdminCalled)
	if !ok || !slices.ContainsFunc(effects, func(e node.Effect) bool { r, ok := e.(node.AdminReply); return ok && r.Refusal == "" }) {
		return
	}
	raw, out := n.excluded[c.Executor]
	switch {
	case c.Command == node.ExcludeExecutor && !out:
		raw = n.endpoints[c.Executor]
		n.excluded[c.Executor] = raw
		n.recordEndpoint(raw)
	case c.Command == node.ReadmitExecutor && out:
		delete(n.excluded, c.Executor)
		n.recordEndpoint(raw)
	}
}

// recordEndpoint books what the node is told of an executor, unless it is what it was told before. One that operators have taken
// out drains, whatever the list says.
func (n *simNode) recordEndpoint(s invariants.Seen) {
	s.At = 0
	if _, out := n.excluded[s.Executor]; out {
		n.excluded[s.Executor] = s
		if s.State == policy.Available {
			s.State = policy.Draining
		}
	}
	if n.endpoints[s.Executor] != s {
		n.endpoints[s.Executor] = s
		n.world.observe(s)
	}
}

// deliverEndpoints hands a node what discovery has for it, unless its zone hears nothing.
func (n *simNode) deliverEndpoints() {
	if until := n.world.partitions[n.zone].inboundUntil; until > n.world.now {
		n.after(until-n.world.now+time.Millisecond, n.deliverEndpoints)
		return
	}
	if n.watchCut || n.suspended {
		return
	}
	kind, entries := n.world.discovery.News(n.world.now, n.id)
	if kind == policy.IncrementalUpdate && len(entries) == 0 {
		return
	}
	n.deliver(n.endpointsUpdate(kind, entries))
}

// updateEndpoint books a change of an executor's entry; nodes hear of it in time.
func (w *World) updateEndpoint(e emulator.Entry) {
	at := w.discovery.Change(w.now, e)
	w.checker.Listed(at, e.Executor, e.State)
	w.notifyNodes(at)
}

func (w *World) notifyNodes(at time.Duration) {
	if w.wired != nil {
		w.at(at, w.wired.notifyWatches)
		return
	}
	for _, n := range w.nodes {
		if n.up {
			n.after(at-w.now+time.Duration(w.networkRand.IntN(20000))*time.Microsecond, n.deliverEndpoints)
		}
	}
}

// updateWeights renews the live weights.
func (w *World) updateWeights() {
	at := time.Duration(0)
	for _, x := range w.executors {
		if e, ok := w.discovery.Entry(x.ID); ok {
			e.Weight = x.relativeCapacity() / (1 + float64(x.Held())/float64(x.Cores))
			at = w.discovery.Change(w.now, e)
		}
	}
	if at > 0 {
		w.notifyNodes(at)
	}
	w.after(time.Duration(w.scenario.Fleet.WeightsEvery), w.updateWeights)
}

func sortedSeen(known map[policy.ExecutorID]invariants.Seen) []invariants.Seen {
	return slices.SortedFunc(maps.Values(known), compareByExecutor)
}

func compareByExecutor(a, b invariants.Seen) int { return cmp.Compare(a.Executor, b.Executor) }
