package config

import "time"

// LameDuckPeriod is how long a node that shuts down still accepts connections. Clients take a moment to notice the
// shutdown; the period includes a margin.
const LameDuckPeriod = 500 * time.Millisecond

// MaxDiscoveryConns is the maximum number of concurrent connections to the discovery service.
const MaxDiscoveryConns = 16

// MaxAdminCalls is the maximum number of concurrent requests to the admin API.
const MaxAdminCalls = 8

// How a node's file descriptors and memory are divided.
const (
	reserveDivisor    = 16       // 1/16 of the descriptors is kept in reserve
	ownDescriptors    = 8        // of the process: 3 standard streams, 2 of Go's poller, the listener, one just accepted, one just closed
	minConns          = 7        // minimum for clients and executors together, even if few descriptors are left
	executorDivisor   = 4        // 1/4 of the remaining descriptors is for executors
	clientConnBytes   = 96 << 10 // maximum memory of one client connection: a body, buffers, a stack
	clientMemoryShare = 2        // 1/2 of the memory is for client connections
)

// The frontend accepts up to 1/8 more connections than its limit before further ones have to wait, so the limit is 8/9
// of the descriptors that are available for clients.
const (
	frontendLimitNumerator   = 8
	frontendLimitDenominator = 9
)

// ConnLimits returns how many client and executor connections the node may hold within its descriptor and memory
// limits. Descriptors for the process itself, discovery, the admin API and peers are reserved, so that clients that use
// up their limit cannot block any of these.
func (c *Config) ConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors, c.MemoryBytes, ownDescriptors+MaxDiscoveryConns)
}

// HandoffConnLimits returns the limits that hold during a handoff, while the predecessor or the successor runs beside
// this process: each process gets half. Half of MaxDiscoveryConns is enough for each, because most discovery
// connections are needed for a switch to an address that does not answer, and only one of the two processes makes that
// switch.
func (c *Config) HandoffConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors/2, c.MemoryBytes/2, ownDescriptors+MaxDiscoveryConns/2)
}

// connLimits divides descriptors and memory. At least minReserve descriptors are kept in reserve.
func (c *Config) connLimits(descriptors int, memoryBytes int64, minReserve int) (clients, executors int) {
	usable := descriptors - max(minReserve, descriptors/reserveDivisor) - c.PeerDescriptors
	if c.AdminAddr != "" {
		usable -= 1 + MaxAdminCalls // 1 for the listener
	}
	usable = max(usable, minConns)
	executors = usable / executorDivisor
	clients = (usable - executors) * frontendLimitNumerator / frontendLimitDenominator
	return min(clients, int(memoryBytes/clientMemoryShare/clientConnBytes)), executors
}

// The platform kills a node some time after SIGTERM: no earlier than killGrace after the longest deadline or killAfter,
// whichever is shorter.
const (
	killAfter = 3 * time.Second
	killGrace = 700 * time.Millisecond
)

// ShutdownTimeout returns how long a node that shuts down still answers jobs after its lame duck period.
func (c *Config) ShutdownTimeout() time.Duration {
	return min(c.maxDeadline(), killAfter) + killGrace - LameDuckPeriod
}

// maxSpeed is the maximum speed of an executor's core, relative to a standard core.
const maxSpeed = 4

// MaxWork returns an upper bound of the work that an executor can do before the longest deadline. A client's estimate
// of a job's work is capped at this value.
func (c *Config) MaxWork() time.Duration { return maxSpeed * c.maxDeadline() }

// maxDeadline returns the longest deadline of all job classes.
func (c *Config) maxDeadline() (longest time.Duration) {
	for _, class := range c.Settings.Policy.JobClasses {
		longest = max(longest, class.Deadline)
	}
	return longest
}
