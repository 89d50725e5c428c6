package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Entry is an executor in the endpoint list, with its address.
type Entry struct {
	policy.Endpoint
	Addr string
}

// Discovery models the service that publishes the endpoint list. It records a change at once, and publishes it to nodes
// after a lag.
type Discovery struct {
	lag          time.Duration
	extraLag     time.Duration // delay of a fault, in addition to the lag
	stopped      bool          // nothing is published
	entries      map[policy.ExecutorID]Entry
	changes      []change                   // all changes, in the order of their times
	delivered    map[invariants.NodeID]int  // how many of the changes a node has been sent
	completeNext map[invariants.NodeID]bool // nodes whose next update is a complete list
}

type change struct {
	at time.Duration
	Entry
}

// NewDiscovery returns a service with an empty list.
func NewDiscovery(lag time.Duration) *Discovery {
	return &Discovery{lag: lag, entries: map[policy.ExecutorID]Entry{}, delivered: map[invariants.NodeID]int{},
		completeNext: map[invariants.NodeID]bool{}}
}

// Change records a change of one entry, and returns when it is published.
func (d *Discovery) Change(now time.Duration, e Entry) time.Duration {
	if e.State == policy.Removed {
		delete(d.entries, e.Executor)
	} else {
		d.entries[e.Executor] = e
	}
	d.changes = append(d.changes, change{now, e})
	return now + d.lag + d.extraLag
}

// Entry returns the entry of an executor, and whether there is one.
func (d *Discovery) Entry(id policy.ExecutorID) (Entry, bool) {
	e, ok := d.entries[id]
	return e, ok
}

// SetDelay sets a delay in addition to the usual lag; 0 removes it.
func (d *Discovery) SetDelay(delay time.Duration) { d.extraLag = delay }

// SetStopped stops or resumes updates. The next update that a node gets is then a complete list.
func (d *Discovery) SetStopped(stopped bool) {
	d.stopped = stopped
	for n := range d.delivered {
		d.completeNext[n] = true
	}
}

// Stopped reports whether updates are stopped.
func (d *Discovery) Stopped() bool { return d.stopped }

// Watch makes the next update of a node a complete list.
func (d *Discovery) Watch(n invariants.NodeID) {
	d.completeNext[n] = true
	if _, ok := d.delivered[n]; !ok {
		d.delivered[n] = 0
	}
}

// ListAt returns the complete list as it was at a time, in the order of ids. A node may have such an old list in its
// cache.
func (d *Discovery) ListAt(at time.Duration) []Entry {
	byID := map[policy.ExecutorID]Entry{}
	for _, c := range d.changes {
		if c.at > at {
			break
		}
		if c.State == policy.Removed {
			delete(byID, c.Executor)
		} else {
			byID[c.Executor] = c.Entry
		}
	}
	return sortedEntries(byID)
}

// Update returns the update that a node gets now: the changes that were published since its last update, a complete
// list, or a failure of the watch while updates are stopped.
func (d *Discovery) Update(now time.Duration, n invariants.NodeID) (kind policy.EndpointUpdateKind, entries []Entry) {
	if d.stopped {
		return policy.WatchFailed, nil
	}
	d.delivered[n], entries = d.Since(now, d.delivered[n])
	if d.completeNext[n] {
		delete(d.completeNext, n)
		return policy.CompleteUpdate, d.Complete(now)
	}
	return policy.IncrementalUpdate, entries
}

// Since returns the changes that were published after a version, only the last one of each executor, and the version
// that includes them. A version is the number of changes that it includes.
func (d *Discovery) Since(now time.Duration, version int) (next int, entries []Entry) {
	until := now - d.lag - d.extraLag
	seen := map[policy.ExecutorID]int{}
	for next = version; next < len(d.changes) && d.changes[next].at <= until; next++ {
		c := d.changes[next].Entry
		if i, ok := seen[c.Executor]; ok {
			entries[i] = c
			continue
		}
		seen[c.Executor] = len(entries)
		entries = append(entries, c)
	}
	return next, entries
}

// Complete returns the complete list as it is published now.
func (d *Discovery) Complete(now time.Duration) []Entry { return d.ListAt(now - d.lag - d.extraLag) }

func sortedEntries(m map[policy.ExecutorID]Entry) []Entry {
	return slices.SortedFunc(maps.Values(m), func(a, b Entry) int { return cmp.Compare(a.Executor, b.Executor) })
}
