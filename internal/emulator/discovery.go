package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Entry is an executor in the list, and where it is reached.
type Entry struct {
	policy.Endpoint
	Addr string
}

// Discovery is the service that keeps the list. It knows of changes when they happen, and tells each node later.
type Discovery struct {
	lag          time.Duration
	extraLag     time.Duration // that it is late now, beyond the lag
	silent       bool          // it tells nobody anything
	entries      map[policy.ExecutorID]Entry
	changes      []change
	delivered    map[invariants.NodeID]int // changes that a node has
	completeNext map[invariants.NodeID]bool
}

type change struct {
	at time.Duration
	Entry
}

// NewDiscovery makes one that knows of no executor.
func NewDiscovery(lag time.Duration) *Discovery {
	return &Discovery{lag: lag, entries: map[policy.ExecutorID]Entry{}, delivered: map[invariants.NodeID]int{},
		completeNext: map[invariants.NodeID]bool{}}
}

// Change books a change of one entry, and says when nodes may be told of it.
func (d *Discovery) Change(now time.Duration, e Entry) time.Duration {
	if e.State == policy.Removed {
		delete(d.entries, e.Executor)
	} else {
		d.entries[e.Executor] = e
	}
	d.changes = append(d.changes, change{now, e})
	return now + d.lag + d.extraLag
}

// Entry is what the list says of an executor.
func (d *Discovery) Entry(id policy.ExecutorID) (Entry, bool) {
	e, ok := d.entries[id]
	return e, ok
}

// Late makes it so much later than usual; 0 takes that off.
func (d *Discovery) Late(more time.Duration) { d.extraLag = more }

// Silence makes it tell nobody anything, or ends that: then each node gets the whole list.
func (d *Discovery) Silence(yes bool) {
	d.silent = yes
	for n := range d.delivered {
		d.completeNext[n] = true
	}
}

// Silent says whether it tells nobody anything.
func (d *Discovery) Silent() bool { return d.silent }

// Watch makes a node's next news the whole list.
func (d *Discovery) Watch(n invariants.NodeID) {
	d.completeNext[n] = true
	if _, ok := d.delivered[n]; !ok {
		d.delivered[n] = 0
	}
}

// Copy is the whole list as it was known a while ago, in the order of ids: what a node has kept on disk.
func (d *Discovery) Copy(at time.Duration) []Entry {
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

// News is what a node is told now: nothing, the changes since it was told last, or the whole list, both as they were a
// lag ago.
func (d *Discovery) News(now time.Duration, n invariants.NodeID) (kind policy.EndpointUpdateKind, entries []Entry) {
	if d.silent {
		return policy.WatchFailed, nil
	}
	d.delivered[n], entries = d.Since(now, d.delivered[n])
	if d.completeNext[n] {
		delete(d.completeNext, n)
		return policy.CompleteUpdate, d.Whole(now)
	}
	return policy.IncrementalUpdate, entries
}

// Since is what may be told now of the changes after a version, the last of each executor, and the version after them.
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

// Whole is the whole list as it may be told now.
func (d *Discovery) Whole(now time.Duration) []Entry { return d.Copy(now - d.lag - d.extraLag) }

func sortedEntries(m map[policy.ExecutorID]Entry) []Entry {
	return slices.SortedFunc(maps.Values(m), func(a, b Entry) int { return cmp.Compare(a.Executor, b.Executor) })
}
