package cluster

import (
	"maps"
	"slices"
	"time"

	"birchstair/policy"
)

const (
	// maxDrains bounds the drains that a node remembers.
	maxDrains = 4096
	// maxExecutorIDLength is the length of the longest executor ID, in bytes.
	maxExecutorIDLength = 128
)

// Drain is a report that an executor is draining or gone, as some node's own endpoint list said Age ago.
type Drain struct {
	Executor      policy.ExecutorID
	ExecutorStart int64 // names the executor's start: Unix milliseconds; 0 for long ago
	Age           time.Duration
}

// drainState is a drain that this node knows of.
type drainState struct {
	executorStart int64
	seenAt        time.Duration // when a node's own list last reported it
	ownList       bool          // this node's own list reports it
	removed       bool          // this node's own list no longer names the executor
}

// drainTable holds the drains that this node knows of.
type drainTable struct {
	states  map[policy.ExecutorID]*drainState
	endedAt map[policy.ExecutorID]time.Duration // when this node's own list ended a drain: older reports of it don't count
	turn    int                                 // the last drain sent, an index into the sorted IDs
}

// next returns up to so many drains for a message, continuing where the last message ended.
func (t *drainTable) next(now time.Duration, limit int) (drains []Drain) {
	ids := slices.Sorted(maps.Keys(t.states))
	for range min(len(ids), limit) {
		t.turn = (t.turn + 1) % len(ids)
		id := ids[t.turn]
		d := t.states[id]
		drains = append(drains, Drain{Executor: id, ExecutorStart: d.executorStart, Age: now - d.seenAt})
	}
	return drains
}

// store remembers a drain. If there are too many, the one seen longest ago is forgotten.
func (t *drainTable) store(id policy.ExecutorID, d *drainState) {
	if t.states[id] == nil && len(t.states) >= maxDrains {
		delete(t.states, t.oldest())
	}
	t.states[id] = d
}

// oldest returns the executor whose drain was seen longest ago, the first by ID if there are several.
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

// startID names an executor's start so that all nodes name it alike, whatever their clocks say.
func (f *State) startID(startedAt time.Duration, startedLongAgo bool) int64 {
	if startedLongAgo {
		return 0
	}
	return f.settings.Epoch + startedAt.Milliseconds()
}

// ObserveEndpoint takes in what this node's own endpoint list says of an executor.
func (f *State) ObserveEndpoint(now time.Duration, id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool, state policy.EndpointState) {
	t := &f.drains
	known, start := t.states[id], f.startID(startedAt, startedLongAgo)
	switch {
	case state != policy.Available:
		removed := state == policy.Removed
		if removed && known != nil {
			start = max(start, known.executorStart) // an entry that is removed may lack its start
		}
		delete(t.endedAt, id)
		t.store(id, &drainState{executorStart: start, seenAt: now, ownList: true, removed: removed})
	case known == nil:
	case known.ownList:
		delete(t.states, id)
		t.endedAt[id] = now
	case start > known.executorStart:
		delete(t.states, id) // the drain was of an earlier start
	}
}

// receiveDrain takes in a peer's report of a drain. It reports whether the drain is new to this node. A repeated report never
// makes a drain younger than the last time that some node's own list reported it.
func (f *State) receiveDrain(now time.Duration, d Drain) bool {
	if !f.validDrain(d) {
		return false
	}
	t := &f.drains
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

func (f *State) validDrain(d Drain) bool {
	return d.Age >= 0 && d.Age <= f.settings.DrainTTL && d.ExecutorStart >= 0 &&
		d.Executor != "" && len(d.Executor) <= maxExecutorIDLength
}

// IsDraining reports whether an executor of this start is draining according to peers. What this node's own list says is not
// repeated here.
func (f *State) IsDraining(id policy.ExecutorID, startedAt time.Duration, startedLongAgo bool) bool {
	d := f.drains.states[id]
	return d != nil && !d.ownList && f.startID(startedAt, startedLongAgo) <= d.executorStart
}

// ExpireDrains forgets drains that are older than DrainTTL, and returns their executors by ID. listUpToDate tells whether this
// node's own endpoint list is up to date. If it is, the drains on it are seen again now, and peers' reports that it doesn't
// confirm expire; if not, peers' reports are kept until it is.
func (f *State) ExpireDrains(now time.Duration, listUpToDate bool) (ids []policy.ExecutorID) {
	t := &f.drains
	for id, d := range t.states {
		switch {
		case d.ownList && !d.removed && listUpToDate:
			d.seenAt = now
		case now-d.seenAt > f.settings.DrainTTL && (d.removed || !d.ownList && listUpToDate):
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(t.states, id)
	}
	maps.DeleteFunc(t.endedAt, func(_ policy.ExecutorID, endedAt time.Duration) bool { return now-endedAt > f.settings.DrainTTL })
	return ids
}
