package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// failedWatchesUntilDown is how many failed watches show that discovery is down. After a single one, a list that it sends soon
// is still to be preferred to the cached list.
const failedWatchesUntilDown = 2

// executor is an executor on the endpoint list.
type executor struct {
	id    policy.ExecutorID
	addr  string
	entry policy.Endpoint // as the list has it

	// The entry with operators' exclusions and the fleet's drains applied, as the policy knows it.
	available bool
	startedAt time.Duration

	lastUpdate  int // the number of the last update that named it
	restarts    int // how often an update named a later start
	addrChanges int // how often an update named another address

	idle []*conn // connections, the latest idle last; written by idleConns alone
}

// endpointTable holds the executors, and where the list of them came from.
type endpointTable struct {
	byID          map[policy.ExecutorID]*executor
	updates       int  // so far
	complete      bool // a complete list has come from discovery
	inherited     bool // the predecessor's list has been taken over in a handoff
	watchFailing  bool // the last watch failed
	failedWatches int  // so far
	usable        bool // there were executors to send work to; once set, it stays
}

// get finds an executor, or nil.
func (t *endpointTable) get(id policy.ExecutorID) *executor { return t.byID[id] }

// sorted returns all executors by ID, so that a pass over them gives its effects in the same order each time.
func (t *endpointTable) sorted() []*executor {
	all := slices.Collect(maps.Values(t.byID))
	slices.SortFunc(all, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return all
}

// upToDate reports whether the list is complete and discovery keeps it so.
func (t *endpointTable) upToDate() bool { return t.complete && !t.watchFailing }

// suffices reports whether, after an update of this kind, the node has a list to start serving with: one from discovery or from
// the predecessor, or, if discovery is down, the cached one.
func (t *endpointTable) suffices(kind policy.EndpointUpdateKind) bool {
	if len(t.byID) == 0 || kind == policy.CachedUpdate {
		return false
	}
	return t.complete || t.inherited || t.failedWatches >= failedWatchesUntilDown
}

// endpointsUpdated applies a watch event of the endpoint list. The first list that suffices makes the node ready.
func (n *Node) endpointsUpdated(ev EndpointsUpdated) {
	if ev.Kind == policy.CachedUpdate && n.endpoints.inherited {
		return // the list cached on disk is older than the predecessor's
	}
	if ev.Kind != policy.CachedUpdate {
		n.logWatchResult(ev)
	}
	n.endpoints.updates++
	entries := n.updateExecutors(ev)
	if ev.Kind == policy.CompleteUpdate {
		n.removeUnlisted()
	}
	n.policy.UpdateEndpoints(n.now, ev.Kind, entries)
	switch ev.Kind {
	case policy.CompleteUpdate:
		n.endpoints.complete = true
	case policy.WatchFailed:
		n.endpoints.failedWatches++
	}
	if !n.endpoints.usable && n.endpoints.suffices(ev.Kind) {
		n.endpoints.usable = true
		n.announceReady()
	}
}

// logWatchResult logs when watches begin to fail and when they succeed again.
func (n *Node) logWatchResult(ev EndpointsUpdated) {
	failing := ev.Kind == policy.WatchFailed
	if failing == n.endpoints.watchFailing {
		return
	}
	n.endpoints.watchFailing = failing
	if failing {
		n.emit(Log{Text: "endpoint list unavailable: " + ev.Detail})
	} else {
		n.emit(Log{Text: "endpoint list available again"})
	}
}

// updateExecutors applies each entry of an update, and returns the entries as the policy is to see them.
func (n *Node) updateExecutors(ev EndpointsUpdated) []policy.Endpoint {
	entries := make([]policy.Endpoint, len(ev.Endpoints))
	for i, in := range ev.Endpoints {
		if ev.Kind != policy.CachedUpdate {
			n.observeEndpoint(in.Endpoint)
		}
		entries[i] = n.effectiveEndpoint(in.Endpoint)
		n.updateExecutor(in, entries[i])
	}
	return entries
}

// updateExecutor applies one entry. If the executor has moved or restarted, its idle connections are closed: they lead
// nowhere, and an attempt written on one would count as possibly run.
func (n *Node) updateExecutor(in Endpoint, effective policy.Endpoint) {
	e := n.endpoints.get(in.Executor)
	if in.State == policy.Removed {
		if e != nil {
			n.removeExecutor(e)
		}
		return
	}
	if e == nil {
		e = &executor{id: in.Executor, addr: in.Addr, startedAt: effective.StartedAt}
		n.endpoints.byID[e.id] = e
	}
	restarted := !effective.StartedLongAgo && effective.StartedAt > e.startedAt
	moved := e.addr != in.Addr
	if moved {
		e.addrChanges++
	}
	if moved || restarted {
		n.closeIdleConns(e)
	}
	if restarted {
		e.restarts++
	}
	e.entry, e.addr, e.lastUpdate = in.Endpoint, in.Addr, n.endpoints.updates
	e.setEffective(effective)
}

func (e *executor) setEffective(effective policy.Endpoint) {
	e.available, e.startedAt = effective.State == policy.Available, effective.StartedAt
}

// removeUnlisted removes the executors that the last update, a complete one, has left out.
func (n *Node) removeUnlisted() {
	for _, e := range n.endpoints.sorted() {
		if e.lastUpdate != n.endpoints.updates {
			e.entry.State = policy.Removed
			n.observeEndpoint(e.entry)
			n.removeExecutor(e)
		}
	}
}

func (n *Node) removeExecutor(e *executor) {
	e.available = false
	n.closeIdleConns(e)
	delete(n.endpoints.byID, e.id)
}

// inheritEndpoints takes over the predecessor's list, which is newer than the list cached on disk. A complete list from
// discovery is newer still and stays; it is applied again, since the predecessor's exclusions have been taken over.
func (n *Node) inheritEndpoints(endpoints []Endpoint) {
	if n.endpoints.complete {
		for _, e := range n.endpoints.sorted() {
			n.refreshEndpoint(e)
		}
		return
	}
	n.endpointsUpdated(EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: endpoints})
	n.endpoints.inherited = true
	n.removeUnlisted()
}

// refreshEndpoint tells the policy of one executor after operators or the fleet have changed its state.
func (n *Node) refreshEndpoint(e *executor) {
	effective := n.effectiveEndpoint(e.entry)
	e.setEffective(effective)
	n.policy.UpdateEndpoints(n.now, policy.IncrementalUpdate, []policy.Endpoint{effective})
}

// effectiveEndpoint is an entry of the list as the policy is to see it. An executor that operators have excluded, or that the
// fleet says is draining, is draining. One that was readmitted counts as started then.
func (n *Node) effectiveEndpoint(in policy.Endpoint) policy.Endpoint {
	draining := n.fleet != nil && n.fleet.IsDraining(in.Executor, in.StartedAt, in.StartedLongAgo)
	if (n.admin.excluded[in.Executor] || draining) && in.State == policy.Available {
		in.State = policy.Draining
	}
	if at, ok := n.admin.readmittedAt[in.Executor]; ok && (in.StartedLongAgo || in.StartedAt < at) {
		in.StartedAt, in.StartedLongAgo = at, false
	}
	return in
}
