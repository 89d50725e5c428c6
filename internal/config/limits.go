package config

import "time"

// LameDuckPeriod is how long a node still accepts connections after its shutdown has begun. Clients take a moment to
// notice the shutdown; the period is that time and a margin.
const LameDuckPeriod = 500 * time.Millisecond

// MaxDiscoveryConns is the maximum number of concurrent connections to the discovery service.
const MaxDiscoveryConns = 16

// MaxAdminCalls is the maximum number of concurrent requests to the admin API.
const MaxAdminCalls = 8

// Constants for dividing a node's file descriptors and memory.
const (
	reserveDivisor    = 16       // the descriptor limit is divided by this to get the number of descriptors kept in reserve
	ownDescriptors    = 8        // descriptors of the process itself: 3 standard streams, 2 of Go's poller, the listener, one just accepted, one just closed
	minConns          = 7        // minimum number of descriptors for clients and executors together, even if fewer are left
	executorDivisor   = 4        // the number of descriptors for clients and executors is divided by this to get the number for executors
	clientConnBytes   = 96 << 10 // maximum memory of one client connection, in bytes: a body, buffers, a stack
	clientMemoryShare = 2        // the memory limit is divided by this to get the memory for client connections
)

// The frontend accepts up to 1/8 more connections than its limit before further ones have to wait. The number of
// descriptors for clients is therefore multiplied by 8/9 to get the limit.
const (
	frontendLimitNumerator   = 8
	frontendLimitDenominator = 9
)

// ConnLimits returns the maximum numbers of client and executor connections that fit in the node's descriptor and
// memory limits. Descriptors for the process itself, discovery, the admin API and peers are reserved, so that these
// still work when clients use up their limit.
func (c *Config) ConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors, c.MemoryBytes, ownDescriptors+MaxDiscoveryConns)
}

// HandoffConnLimits returns the connection limits that hold during a handoff, while the predecessor or the successor
// runs beside this process. Each process gets half of the descriptors and memory. Half of MaxDiscoveryConns is enough
// for each: most discovery connections are needed for a switch to an address that does not answer, and only one of the
// two processes makes that switch.
func (c *Config) HandoffConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors/2, c.MemoryBytes/2, ownDescriptors+MaxDiscoveryConns/2)
}

// connLimits divides the descriptors among clients and executors, and limits the number of clients by the memory too.
// At least minReserve descriptors are kept in reserve.
func (c *Config) connLimits(descriptors int, memoryBytes int64, minReserve int) (clients, executors int) {
	usable := descriptors - max(minReserve, descriptors/reserveDivisor) - c.PeerDescriptors
	if c.AdminAddr != "" {
		usable -= 1 + MaxAdminCalls // 1 descriptor for the listener of the admin API
	}
	usable = max(usable, minConns)
	executors = usable / executorDivisor
	clients = (usable - executors) * frontendLimitNumerator / frontendLimitDenominator
	return min(clients, int(memoryBytes/clientMemoryShare/clientConnBytes)), executors
}

// The platform kills a node some time after SIGTERM. The time is at least killGrace plus the shorter of killAfter and
// the longest deadline of the job classes.
const (
	killAfter = 3 * time.Second
	killGrace = 700 * time.Millisecond
)

// ShutdownTimeout returns how long a node still answers jobs after the end of its lame duck period.
func (c *Config) ShutdownTimeout() time.Duration {
	return min(c.maxDeadline(), killAfter) + killGrace - LameDuckPeriod
}

// maxSpeed is the maximum speed of an executor's core, relative to a standard core.
const maxSpeed = 4

// MaxWork returns an upper bound of the work that an executor can do before the longest deadline, as running time on a
// standard core. A client's estimate of a job's work is capped at this value.
func (c *Config) MaxWork() time.Duration { return maxSpeed * c.maxDeadline() }

// maxDeadline returns the longest deadline of all job classes.
func (c *Config) maxDeadline() (longest time.Duration) {
	for _, class := range c.Settings.Policy.JobClasses {
		longest = max(longest, class.Deadline)
	}
	return longest
}
