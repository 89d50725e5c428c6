package cluster

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

const (
	// maxDrains is the largest number of drains that a node remembers. At the limit, a new drain replaces the one that
	// was seen longest ago.
	maxDrains = 4096
	// maxExecutorIDLength is the maximum length in bytes of an executor ID in a peer's report. Reports with longer IDs
	// are ignored.
	maxExecutorIDLength = 128
)

// Drain is a report that an executor is draining or removed. The report originates from the endpoint list of some node.
type Drain struct {
	Executor      policy.ExecutorID
	ExecutorStart int64         // when the executor started, in Unix milliseconds; 0 if it started long ago
	Age           time.Duration // time since the endpoint list of any node last showed the drain
}

// drainState is what this node knows of one drain.
type drainState struct {
	executorStart int64         // when the executor started, as in Drain.ExecutorStart
	seenAt        time.Duration // when the endpoint list of any node last showed the drain
	ownList       bool          // whether this node's own endpoint list shows the executor as draining or removed
	removed       bool          // whether the executor has disappeared from this node's own endpoint list
}

// drainTable holds the drains that this node knows of.
type drainTable struct {
	states map[policy.ExecutorID]*drainState
	// Time at which this node's own endpoint list last showed the end of an executor's drain. A peer's report is
	// ignored if it is about a drain that was last seen at that time or before.
	endedAt  map[policy.ExecutorID]time.Duration
	lastSent int // index of the last drain sent, among the sorted executor IDs
}

// nextBatch returns at most limit drains for a message. It begins after the last drain that was sent, so that all
// drains take turns.
func (t *drainTable) nextBatch(now time.Duration, limit int) (drains []Drain) {
	ids := slices.Sorted(maps.Keys(t.states))
	for range min(len(ids), limit) {
		t.lastSent = (t.lastSent + 1) % len(ids)
		id := ids[t.lastSent]
		d := t.states[id]
		drains = append(drains, Drain{Executor: id, ExecutorStart: d.executorStart, Age: now - d.seenAt})
	}
	return drains
}

// store adds a drain or replaces the executor's earlier one. If the table is full, the drain that was seen longest ago
// is removed.
func (t *drainTable) store(id policy.ExecutorID, d *drainState) {
	if t.states[id] == nil && len(t.states) >= maxDrains {
		delete(t.states, t.oldest())
	}
	t.states[id] = d
}

// oldest returns the executor whose drain was seen longest ago. Among several, it returns the one with the lowest ID.
func (t *drainTable) oldest() policy.ExecutorID {
	oldest := policy.ExecutorID("")
	for id, d := range t.states {
		best := t.states[oldest]
		if best == nil || d.seenAt < best.seenAt || d.seenAt == best.seenAt && id < oldest {
			oldest = id
		}
	}
	return oldest
}

// startID returns a number for a start of an executor, in Unix milliseconds, or 0 if it started long ago. The number is
// the same on every node, although each node counts its own time from another moment. The start is a whole Unix
// millisecond, and Epoch is the node's start rounded down to one, so startedAt is rounded up.
func (s *State) startID(startedAt time.Duration, startedLongAgo bool) int64 {
	if startedLongAgo {
		return 0
	}
	milliseconds := startedAt.Milliseconds()
	if startedAt > time.Duration(milliseconds)*time.Millisecond {
		milliseconds++
	}
	return s.settings.Epoch + milliseconds
}

// ObserveEndpoint records the state of an executor in this node's own endpoint list.
func (s *State) ObserveEndpoint(now time.Duration, id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool, state policy.EndpointState) {
	t := &s.drains
	known, start := t.states[id], s.startID(startedAt, startedLongAgo)
	switch {
	case state != policy.Available:
		removed := state == policy.Removed
		if removed && known != nil {
			start = max(start, known.executorStart) // the entry of a removed executor may lack the start time
		}
		delete(t.endedAt, id)
		t.store(id, &drainState{executorStart: start, seenAt: now, ownList: true, removed: removed})
	case known == nil:
	case known.ownList:
		delete(t.states, id)
		t.endedAt[id] = now
	case start > known.executorStart:
		delete(t.states, id) // the drain belonged to an earlier start of the executor
	}
}

// receiveDrain records a peer's report of a drain, and returns whether the drain is new to this node. The age in a
// report counts from when the endpoint list of some node last showed the drain. Passing the report on does not make the
// drain younger.
func (s *State) receiveDrain(now time.Duration, d Drain) bool {
	if !s.validDrain(d) {
		return false
	}
	t := &s.drains
	known, seenAt := t.states[d.Executor], now-d.Age
	if endedAt, ok := t.endedAt[d.Executor]; ok && seenAt <= endedAt {
		return false
	}
	switch {
	case known != nil && (known.ownList || d.ExecutorStart < known.executorStart):
		return false
	case known != nil && d.ExecutorStart == known.executorStart:
		known.seenAt = max(known.seenAt, seenAt)
		return false
	}
	t.store(d.Executor, &drainState{executorStart: d.ExecutorStart, seenAt: seenAt})
	return true
}

func (s *State) validDrain(d Drain) bool {
	return d.Age >= 0 && d.Age <= s.settings.DrainTTL && d.ExecutorStart >= 0 &&
		d.Executor != "" && len(d.Executor) <= maxExecutorIDLength
}

// IsDraining reports whether peers report a drain of an executor that started at the given time. It returns false if
// this node's own endpoint list shows the drain, because the caller knows of the drain from there.
func (s *State) IsDraining(id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool) bool {
	d := s.drains.states[id]
	return d != nil && !d.ownList && s.startID(startedAt, startedLongAgo) <= d.executorStart
}

// ExpireDrains removes the drains that have expired, and returns their executors ordered by ID. listUpToDate says whether
// this node's own endpoint list is up to date:
//
//   - A drain that only peers have reported is removed when it was last seen longer than DrainTTL ago. While the list is
//     out of date, such a drain is kept.
//   - A drain of an executor that has disappeared from the list is removed after DrainTTL in any case.
//   - A drain that the list still shows is never removed here. While the list is up to date, the drain counts as seen now.
func (s *State) ExpireDrains(now time.Duration, listUpToDate bool) (ids []policy.ExecutorID) {
	t := &s.drains
	for id, d := range t.states {
		switch {
		case d.ownList && !d.removed && listUpToDate:
			d.seenAt = now
		case now-d.seenAt > s.settings.DrainTTL && (d.removed || !d.ownList && listUpToDate):
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(t.states, id)
	}
	maps.DeleteFunc(t.endedAt, func(_ policy.ExecutorID, endedAt time.Duration) bool { return now-endedAt > s.settings.DrainTTL })
	return ids
}
