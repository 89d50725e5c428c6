package cluster

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

const (
	// maxDrains is the largest number of drains that a node remembers.
	maxDrains = 4096
	// maxExecutorIDLength is the largest length of an executor ID in a peer's report, in bytes.
	maxExecutorIDLength = 128
)

// Drain is a report that an executor is draining or removed, according to some node's own endpoint list.
type Drain struct {
	Executor      policy.ExecutorID
	ExecutorStart int64         // when the executor started, in Unix milliseconds; 0 if it started long ago
	Age           time.Duration // time since an endpoint list last showed the drain
}

// drainState is what this node knows of one drain.
type drainState struct {
	executorStart int64         // see Drain.ExecutorStart
	seenAt        time.Duration // when some node's own endpoint list last showed the drain
	ownList       bool          // whether this node's own endpoint list shows the executor as draining or removed
	removed       bool          // whether the executor is gone from this node's own endpoint list
}

// drainTable holds the drains that this node knows of.
type drainTable struct {
	states   map[policy.ExecutorID]*drainState
	endedAt  map[policy.ExecutorID]time.Duration // when the own endpoint list ended a drain; older reports are ignored
	lastSent int                                 // index of the last drain sent, among the sorted executor IDs
}

// nextBatch returns at most limit drains for a message, beginning after the last one that was sent.
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

// store adds or replaces a drain. If the table is full, the drain seen longest ago is removed.
func (t *drainTable) store(id policy.ExecutorID, d *drainState) {
	if t.states[id] == nil && len(t.states) >= maxDrains {
		delete(t.states, t.oldest())
	}
	t.states[id] = d
}

// oldest returns the executor whose drain was seen longest ago; of several, the one with the lowest ID.
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

// startID identifies a start of an executor by a number that is the same on every node, whatever their clocks show.
func (s *State) startID(startedAt time.Duration, startedLongAgo bool) int64 {
	if startedLongAgo {
		return 0
	}
	return s.settings.Epoch + startedAt.Milliseconds()
}

// ObserveEndpoint records the state of an executor in this node's own endpoint list.
func (s *State) ObserveEndpoint(now time.Duration, id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool, state policy.EndpointState) {
	t := &s.drains
	known, start := t.states[id], s.startID(startedAt, startedLongAgo)
	switch {
	case state != policy.Available:
		removed := state == policy.Removed
		if removed && known != nil {
			start = max(start, known.executorStart) // a removed entry may lack its start time
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

// receiveDrain records a peer's report of a drain, and returns whether the drain is new to this node. However often a
// report is passed on, the drain's age runs from when some node's own endpoint list last showed it.
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

// IsDraining reports whether, according to peers, an executor that started at this time is draining. It is false for a
// drain that this node's own endpoint list shows, since the caller knows of it from there.
func (s *State) IsDraining(id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool) bool {
	d := s.drains.states[id]
	return d != nil && !d.ownList && s.startID(startedAt, startedLongAgo) <= d.executorStart
}

// ExpireDrains removes drains that are older than DrainTTL, and returns their executors ordered by ID. listUpToDate
// tells whether this node's own endpoint list is up to date. If it is, the drains that it shows count as seen now, and
// drains reported only by peers can expire. If it is not, drains reported by peers are kept until it is.
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
