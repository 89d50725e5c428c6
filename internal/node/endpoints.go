package node

import (
	"cmp"
	"maps"
	"slices"

	"birchstair/policy"
)

// endpointsUpdated takes in news of the list. A first list makes the node ready; where none can be had, an old copy does.
func (n *Node) endpointsUpdated(ev EndpointsUpdated) {
	if ev.Kind == policy.CachedUpdate && n.inherited {
		return // the copy that this process was started with is older than what the one before handed over
	}
	if lost := ev.Kind == policy.WatchFailed; lost != n.watchFailing && ev.Kind != policy.CachedUpdate {
		n.watchFailing = lost
		if lost {
			n.emit(Log{Text: "the list could not be had: " + ev.Detail})
		} else {
			n.emit(Log{Text: "the list is back"})
		}
	}
	n.updates++
	entries := make([]policy.Endpoint, len(ev.Endpoints))
	for i, in := range ev.Endpoints {
		if ev.Kind != policy.CachedUpdate {
			n.observeEndpoint(in.Endpoint)
		}
		entries[i] = n.effectiveEndpoint(in.Endpoint)
		n.updateExecutor(in, entries[i])
	}
	if ev.Kind == policy.CompleteUpdate {
		n.removeUnlisted()
	}
	n.policy.UpdateEndpoints(n.now, ev.Kind, entries)
	n.complete = n.complete || ev.Kind == policy.CompleteUpdate
	if ev.Kind == policy.WatchFailed {
		n.failedWatches++
	}
	// One call that is lost is no sign that discovery is down: what it has counts as told, and the copy is older.
	if !n.hasEndpoints && len(n.executors) > 0 && ev.Kind != policy.CachedUpdate && (n.complete || n.inherited || n.failedWatches > 1) {
		n.hasEndpoints = true
		n.announceReady()
	}
}

// updateExecutor takes in one entry, and as what it counts. Connections to what has moved or started anew lead nowhere: what
// was written on one would count as run.
func (n *Node) updateExecutor(in Endpoint, as policy.Endpoint) {
	e := n.executors[in.Executor]
	if in.State == policy.Removed {
		if e != nil {
			n.removeExecutor(e)
		}
		return
	}
	if e == nil {
		e = &executor{id: in.Executor, addr: in.Addr, startedAt: as.StartedAt}
		n.executors[e.id] = e
	}
	anew := !as.StartedLongAgo && as.StartedAt > e.startedAt
	if e.addr != in.Addr {
		e.addrChanges++
	}
	if e.addr != in.Addr || anew {
		n.closeIdleConns(e)
	}
	if anew {
		e.restarts++
	}
	e.entry, e.addr, e.lastUpdate = in.Endpoint, in.Addr, n.updates
	e.available, e.startedAt = as.State == policy.Available, as.StartedAt
}

// removeUnlisted drops what a whole list leaves out, in the order of ids: the same events give the same effects.
func (n *Node) removeUnlisted() {
	for _, e := range n.executorsByID() {
		if e.lastUpdate != n.updates {
			e.entry.State = policy.Removed
			n.observeEndpoint(e.entry)
			n.removeExecutor(e)
		}
	}
}

func (n *Node) removeExecutor(e *executor) {
	e.available = false
	n.closeIdleConns(e)
	delete(n.executors, e.id)
}

// refreshEndpoint tells the module of one executor as the list and operators have it together.
func (n *Node) refreshEndpoint(e *executor) {
	in := n.effectiveEndpoint(e.entry)
	e.available, e.startedAt = in.State == policy.Available, in.StartedAt
	n.policy.UpdateEndpoints(n.now, policy.IncrementalUpdate, []policy.Endpoint{in})
}

// effectiveEndpoint is an entry of the list with what operators want, and what neighbours tell of drains, put over it.
func (n *Node) effectiveEndpoint(in policy.Endpoint) policy.Endpoint {
	told := n.fleet != nil && n.fleet.IsDraining(in.Executor, in.StartedAt, in.StartedLongAgo)
	if (n.excluded[in.Executor] || told) && in.State == policy.Available {
		in.State = policy.Draining
	}
	if at, ok := n.readmittedAt[in.Executor]; ok && (in.StartedLongAgo || in.StartedAt < at) {
		in.StartedAt, in.StartedLongAgo = at, false
	}
	return in
}

// executorsByID are the executors by their ids.
func (n *Node) executorsByID() []*executor {
	all := slices.Collect(maps.Values(n.executors))
	slices.SortFunc(all, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return all
}
