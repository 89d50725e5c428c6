package emulator

import (
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Allocation is an attempt as it reaches an executor.
type Allocation struct {
	Conn     ConnID
	Node     invariants.NodeID
	Job      policy.JobID
	Work     invariants.WorkID
	Track    policy.JobClassID
	Tag      string        // idempotency key; empty if there is none
	Window   time.Duration // dedup window: how long a repeat of the key has no effect
	Memory   *Memory       // of the dedup group that the executor is in
	Priority int
	Cost     float64 // seconds of work on a standard core
	Hint     float64 // the cost that the client stated
}

// Memory holds the idempotency keys that a dedup group has seen, each until its window ends.
type Memory struct{ until map[string]time.Duration }

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{until: map[string]time.Duration{}} }

// Memories holds the memory of each job class and dedup group.
type Memories map[dedupGroupKey]*Memory

type dedupGroupKey struct {
	group policy.DedupGroup
	zone  policy.ZoneID
	cell  policy.CellID
	class policy.JobClassID
}

// Of returns the memory that an executor uses for a job class. It adds an empty one if there is none.
func (all Memories) Of(class policy.JobClassID, group policy.DedupGroup, at ExecutorSpec) *Memory {
	k := dedupGroupKey{group: group, class: class}
	switch group {
	case policy.DedupZone:
		k.zone = at.Zone
	case policy.DedupCell:
		k.cell = at.Cell
	}
	if all[k] == nil {
		all[k] = NewMemory()
	}
	return all[k]
}

// repeats reports whether a key repeats one whose window has not ended, and remembers it otherwise.
func (m *Memory) repeats(now time.Duration, tag string, window time.Duration) bool {
	if now <= m.until[tag] {
		return true
	}
	m.until[tag] = now + window
	return false
}

// task is an attempt that runs or waits.
type task struct {
	Allocation
	left         float64 // seconds on a standard core
	order        int
	reportedAt   time.Duration // time of its last message
	duplicate    bool          // its key repeats another one: it has no effect
	abandoned    bool          // its connection is closed
	failing      bool          // it ends in an error
	unresponsive bool          // it never ends and gets no message
}
