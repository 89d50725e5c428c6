package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

// failedWatchesUntilDown is the number of failed watches after which discovery counts as down, and the cached endpoint
// list is used. After only one failure, discovery may still deliver a list soon, and that list would be better than the
// cached one.
const failedWatchesUntilDown = 2

// executor is an executor on the endpoint list.
type executor struct {
	id    policy.ExecutorID
	addr  string
	entry policy.Endpoint // the executor's entry on the endpoint list

	// The entry as the policy sees it, after operators' exclusions and the cluster's reports of drains were applied.
	available bool          // whether the executor takes new work
	startedAt time.Duration // when the executor started

	// By lastUpdate, removeUnlisted finds the executors that the latest update doesn't contain. It is the number of the
	// last update that contained this executor, as counted by endpointTable.updates.
	lastUpdate int
	// By these counters, a connection notices that the executor has restarted or moved (see conn).
	restarts    int // number of updates in which the executor's start time was later than before
	addrChanges int // number of updates in which the executor's address was new

	// Idle connections, in the order in which they became idle. Only idleConns writes this field.
	idle []*conn
}

// endpointTable holds the executors on the endpoint list, and records from which sources the list came.
type endpointTable struct {
	byID          map[policy.ExecutorID]*executor
	updates       int  // number of updates so far
	complete      bool // whether discovery has delivered a complete list
	inherited     bool // whether the predecessor's list was taken over in a handoff
	watchFailing  bool // whether the last watch failed
	failedWatches int  // number of failed watches so far
	// Whether the list has been good enough to start serving (see suffices). This is never reset.
	usable bool
}

// get returns an executor by its ID, or nil.
func (t *endpointTable) get(id policy.ExecutorID) *executor { return t.byID[id] }

// sorted returns all executors ordered by ID. Iterating in this order always produces effects in the same order.
func (t *endpointTable) sorted() []*executor {
	all := slices.Collect(maps.Values(t.byID))
	slices.SortFunc(all, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return all
}

// upToDate reports whether the list is complete and discovery keeps it up to date.
func (t *endpointTable) upToDate() bool { return t.complete && !t.watchFailing }

// suffices reports whether, after an update of this kind, the list is good enough to start serving. A complete list
// from discovery is good enough, and so is the predecessor's list. The list cached on disk is good enough only if
// discovery is down. An update from a cached list never suffices by itself: the node first waits for the result of a
// watch.
func (t *endpointTable) suffices(kind policy.EndpointUpdateKind) bool {
	if len(t.byID) == 0 || kind == policy.CachedUpdate {
		return false
	}
	return t.complete || t.inherited || t.failedWatches >= failedWatchesUntilDown
}

// endpointsUpdated applies an update of the endpoint list. The node becomes ready with the first list that suffices.
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

// updateExecutors applies each entry of an update. It returns the entries as the policy sees them (see
// effectiveEndpoint).
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

// updateExecutor applies one entry. If the executor has moved or restarted, its idle connections are closed. They no
// longer lead to the executor's process, and an attempt that is written on such a connection would count as possibly
// run.
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

// setEffective stores the fields of the effective entry that this package uses.
func (e *executor) setEffective(effective policy.Endpoint) {
	e.available, e.startedAt = effective.State == policy.Available, effective.StartedAt
}

// removeUnlisted removes the executors that the last update doesn't contain. That update must list all executors.
func (n *Node) removeUnlisted() {
	for _, e := range n.endpoints.sorted() {
		if e.lastUpdate != n.endpoints.updates {
			e.entry.State = policy.Removed
			n.observeEndpoint(e.entry)
			n.removeExecutor(e)
		}
	}
}

// removeExecutor removes an executor and closes its idle connections. The executor's attempts in flight go on.
func (n *Node) removeExecutor(e *executor) {
	e.available = false
	n.closeIdleConns(e)
	delete(n.endpoints.byID, e.id)
}

// inheritEndpoints takes over the predecessor's endpoint list, which is newer than the list cached on disk. If
// discovery has already delivered a complete list, that list is even newer and is kept. It is applied again, because
// the exclusions inherited from the predecessor now apply to it.
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

// refreshEndpoint notifies the policy of an executor whose state was changed by operators or by the cluster.
func (n *Node) refreshEndpoint(e *executor) {
	effective := n.effectiveEndpoint(e.entry)
	e.setEffective(effective)
	n.policy.UpdateEndpoints(n.now, policy.IncrementalUpdate, []policy.Endpoint{effective})
}

// effectiveEndpoint returns an entry of the list as the policy sees it. An executor is draining if operators have
// excluded it, or if other nodes of the cluster report that it is draining. An executor that operators have readmitted
// counts as started when it was readmitted, unless the list says that it started later.
func (n *Node) effectiveEndpoint(in policy.Endpoint) policy.Endpoint {
	draining := n.cluster != nil && n.cluster.IsDraining(in.Executor, in.StartedAt, in.StartedLongAgo)
	if (n.admin.excluded[in.Executor] || draining) && in.State == policy.Available {
		in.State = policy.Draining
	}
	if at, ok := n.admin.readmittedAt[in.Executor]; ok && (in.StartedLongAgo || in.StartedAt < at) {
		in.StartedAt, in.StartedLongAgo = at, false
	}
	return in
}
