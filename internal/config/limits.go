package config

import "time"

// LameDuckPeriod is how long a node that shuts down goes on accepting connections: its clients take a moment to see it. With a reserve.
const LameDuckPeriod = 500 * time.Millisecond

// MaxDiscoveryConns is how many connections to discovery there are at a time, at most.
const MaxDiscoveryConns = 16

// MaxAdminCalls is how many operators' calls are in progress at a time, at most.
const MaxAdminCalls = 8

// The division of a node's descriptors and memory.
const (
	reserveDivisor    = 16       // one part of so many of the descriptors is a reserve
	ownDescriptors    = 8        // the process's: standard streams, Go's poller (2), the listener, one just accepted, one just closed
	minConns          = 7        // for clients and executors together, however few descriptors there are
	executorDivisor   = 4        // one part of so many of the rest is for executors
	clientConnBytes   = 96 << 10 // of memory that a client's connection takes at most: a body, buffers, a stack
	clientMemoryShare = 2        // one part of so many of the memory is for clients' connections
)

// The frontend accepts an eighth more connections than its limit before it lets further ones wait, so the limit is 8/9 of what clients may have.
const (
	frontendLimitNumerator   = 8
	frontendLimitDenominator = 9
)

// ConnLimits says how many connections of each kind the node may hold, within its descriptors and its memory. What is
// reserved is for the process itself, discovery, operators and peers: clients that exhaust theirs take none of it.
func (c *Config) ConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors, c.MemoryBytes, ownDescriptors+MaxDiscoveryConns)
}

// HandoffConnLimits says the same while the predecessor or the successor of a handoff runs beside this process. Only one of
// them may follow discovery to an address that does not answer at that time, which takes most connections.
func (c *Config) HandoffConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors/2, c.MemoryBytes/2, ownDescriptors+MaxDiscoveryConns/2)
}

// connLimits divides descriptors and memory; at least minReserve descriptors are kept.
func (c *Config) connLimits(descriptors int, memoryBytes int64, minReserve int) (clients, executors int) {
	usable := descriptors - max(minReserve, descriptors/reserveDivisor) - c.PeerDescriptors
	if c.AdminAddr != "" {
		usable -= 1 + MaxAdminCalls // with the listener
	}
	usable = max(usable, minConns)
	executors = usable / executorDivisor
	clients = (usable - executors) * frontendLimitNumerator / frontendLimitDenominator
	return min(clients, int(memoryBytes/clientMemoryShare/clientConnBytes)), executors
}

// When the platform kills a node after SIGTERM: not before the longest deadline or killAfter, whichever is shorter, and killGrace more.
const (
	killAfter = 3 * time.Second
	killGrace = 700 * time.Millisecond
)

// ShutdownTimeout is how long after its lame duck period a node that shuts down goes on answering.
func (c *Config) ShutdownTimeout() time.Duration {
	return min(c.maxDeadline(), killAfter) + killGrace - LameDuckPeriod
}

// maxSpeed is how many times a standard core an executor's core may be.
const maxSpeed = 4

// MaxWork is more than any executor could do within a deadline: a client's estimate beyond it says nothing.
func (c *Config) MaxWork() time.Duration { return maxSpeed * c.maxDeadline() }

// maxDeadline is the longest deadline of a job class.
func (c *Config) maxDeadline() (longest time.Duration) {
	for _, class := range c.Settings.Policy.JobClasses {
		longest = max(longest, class.Deadline)
	}
	return longest
}
