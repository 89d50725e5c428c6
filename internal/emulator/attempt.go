package emulator

import (
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

// Attempt is an attempt as it reaches an executor.
type Attempt struct {
	Conn           ConnID
	Node           invariants.NodeID
	Job            policy.JobID
	Work           invariants.WorkID
	Class          policy.JobClassID
	IdempotencyKey string        // idempotency key; empty if there is none
	DedupWindow    time.Duration // dedup window: how long a repeat of the key has no effect
	DedupMemory    *DedupMemory  // of the dedup group that the executor is in
	Priority       int
	Cost           float64 // seconds of work on a standard core
	StatedCost     float64 // the cost that the client stated
}

// DedupMemory holds the idempotency keys that a dedup group has seen, each until its window ends.
type DedupMemory struct{ until map[string]time.Duration }

// NewDedupMemory returns an empty memory.
func NewDedupMemory() *DedupMemory { return &DedupMemory{until: map[string]time.Duration{}} }

// DedupMemories holds the memory of each job class and dedup group.
type DedupMemories map[dedupGroupKey]*DedupMemory

type dedupGroupKey struct {
	group policy.DedupGroup
	zone  policy.ZoneID
	cell  policy.CellID
	class policy.JobClassID
}

// Of returns the memory that an executor uses for a job class. It adds an empty one if there is none.
func (m DedupMemories) Of(class policy.JobClassID, group policy.DedupGroup, spec ExecutorSpec) *DedupMemory {
	key := dedupGroupKey{group: group, class: class}
	switch group {
	case policy.DedupZone:
		key.zone = spec.Zone
	case policy.DedupCell:
		key.cell = spec.Cell
	}
	if m[key] == nil {
		m[key] = NewDedupMemory()
	}
	return m[key]
}

// repeats reports whether a key repeats one whose window has not ended, and remembers it otherwise.
func (m *DedupMemory) repeats(now time.Duration, key string, window time.Duration) bool {
	if now <= m.until[key] {
		return true
	}
	m.until[key] = now + window
	return false
}

// task is an attempt that runs or waits.
type task struct {
	Attempt
	left         float64 // seconds on a standard core
	order        int
	reportedAt   time.Duration // time of its last message
	duplicate    bool          // its key repeats another one: it has no effect
	abandoned    bool          // its connection is closed
	failing      bool          // it ends in an error
	unresponsive bool          // it never ends and gets no message
}
