package frontend

import "cmp"

// defaultMemoryBytes is the node's memory if ConnLimits does not say it.
const defaultMemoryBytes = 192 << 20

// ConnLimits bounds the number of open connections from clients, and what they take.
type ConnLimits struct {
	Max       int // largest number of connections while this is the node's only process
	MaxShared int // largest number of connections per process during a hot restart, when the node has two processes

	// MemoryBytes is the memory that the node may use, in bytes; 0 for defaultMemoryBytes. Parts of it bound what is stored for
	// clients. Each process has half of it during a hot restart.
	MemoryBytes int64
}

// setShared switches to ConnLimits.MaxShared if another process of the node is running, and to ConnLimits.Max if not.
func (t *connTable) setShared(shared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = t.limits.Max
	memory := cmp.Or(t.limits.MemoryBytes, defaultMemoryBytes)
	if shared {
		t.maxConns = t.limits.MaxShared
		memory /= 2
	}
	t.readAhead.setLimit(memory / readAheadDivisor)
	t.bodies.setLimit(memory / bodyMemoryDivisor)
	t.acceptLimit = t.maxConns + max(1, t.maxConns/overflowDivisor)
	t.maxNew = max(1, t.maxConns/newConnDivisor)
	t.changed.Broadcast()
	t.evict()
}
