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
	IdempotencyKey string        // empty for none
	DedupWindow    time.Duration // how long a repeat of the idempotency key has no effect
	DedupMemory    *DedupMemory  // memory of the dedup group that the executor belongs to
	Priority       int
	Cost           float64 // seconds of work on a standard core
	StatedCost     float64 // the cost that the client stated
}

// DedupMemory holds the idempotency keys that a dedup group has received, and for each the end of its dedup window.
type DedupMemory struct{ until map[string]time.Duration }

// NewDedupMemory returns an empty memory.
func NewDedupMemory() *DedupMemory { return &DedupMemory{until: map[string]time.Duration{}} }

// DedupMemories holds the memories of all job classes and dedup groups.
type DedupMemories map[dedupGroupKey]*DedupMemory

type dedupGroupKey struct {
	group policy.DedupGroup
	zone  policy.ZoneID
	cell  policy.CellID
	class policy.JobClassID
}

// Of returns the memory that an executor uses for a job class, and creates it if there is none.
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

// repeats reports whether a key was received before and its dedup window has not ended. Otherwise it records the key.
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
	left         float64       // remaining work, in seconds on a standard core
	order        int           // number in the order of arrival
	reportedAt   time.Duration // time of its last message
	duplicate    bool          // its idempotency key is a repeat: it has no effect
	abandoned    bool          // no message is sent for it: its connection is closed, or it was rejected falsely
	failing      bool          // it ends in an error
	unresponsive bool          // it never ends, and no message is sent for it
}
