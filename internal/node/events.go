package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// ConnID identifies a connection to an executor, from its Dial effect to its ConnClosed event.
type ConnID uint64

// Request is the part of a job that executors receive unchanged.
type Request struct {
	ID             policy.JobID
	Method         string
	URI            string // path and query, as the client sent them
	Host           string
	ContentType    string
	IdempotencyKey string // by which executors recognize a repeated request
	Epoch          uint32 // lease epoch of a durable job's attempt; 0 for other jobs
	Body           []byte
}

// Job is a job as a client submitted it.
type Job struct {
	Request
	Class       policy.JobClassID
	Tenant      policy.TenantID
	Work        time.Duration // estimated run time; 0 if unknown
	Budget      time.Duration // how long the client waits for the answer
	ClientRetry bool          // the client marked the job as a retry

	NearConnectionLimit bool // the frontend was nearly out of file descriptors when the job arrived

	Client Client // nil if no client waits on a connection
}

// Client is the client that waits for a job's answer. The state machine only passes it on.
type Client interface {
	// Gone reports whether the client is known to have stopped waiting for the answer. It doesn't block, and any goroutine may
	// call it.
	Gone() bool
}

// JobClass is a job class and its name.
type JobClass struct {
	Name string
	policy.JobClass
}

// NumberedClass is a job class with its ID, which the jobs of the class carry.
type NumberedClass struct {
	ID policy.JobClassID
	JobClass
}

// Endpoint is an entry of the endpoint list with the executor's address.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// Load is an executor's load report. Known is false if the executor sent none.
type Load struct {
	policy.Load
	Known bool
}

// Attempt is one attempt of a job, as it is sent to an executor.
type Attempt struct {
	*Request
	Budget        time.Duration // how long this node waits for the attempt
	NotIdempotent bool          // may run again only if it provably never ran, or, with an idempotency key, within its dedup group
	Client        Client        // checked right before the first byte is sent; nil if no client waits
}

// Final is the kind of a job's final answer.
type Final int

// The kinds of final answers.
const (
	Succeeded Final = iota // an attempt succeeded
	Rejected               // the job provably never ran, or may run again
	Failed                 // the job may have run
)

// Event reports to the state machine that something happened. It is one of the types below.
type Event interface{ event() }

// Events from clients, reported by package frontend.
type (
	// JobArrived reports a job that a client submitted.
	JobArrived struct{ Job Job }
	// ClientLeft reports that the client of a job has closed its connection.
	ClientLeft struct {
		Job    policy.JobID
		Client Client // as in Job
	}
	// JobDeclined reports that the frontend itself answered a job of the given class because the job's ID was already in use.
	JobDeclined struct{ Class policy.JobClassID }
	// FrontendClosed reports that the frontend has closed: no client waits for an answer any more, and none can connect.
	FrontendClosed struct{}
)

// Events from executors, reported by package upstream.
type (
	// ConnReady reports that a connection has been dialed successfully.
	ConnReady struct{ Conn ConnID }
	// AttemptProgressed reports that an attempt has started (Progress 0), or which fraction of it is done.
	AttemptProgressed struct {
		Conn     ConnID
		Progress float64
		Load     Load
	}
	// AttemptEnded reports the outcome of an attempt, unless its connection broke before a byte of it was written.
	AttemptEnded struct {
		Conn       ConnID
		Outcome    policy.Outcome
		Result     []byte
		Load       Load
		ConnBroken bool   // the connection broke, or the executor's response could not be parsed
		Detail     string // for the log
	}
	// AttemptNotSent reports that no byte of an attempt was written because its client had gone. The connection is idle.
	AttemptNotSent struct{ Conn ConnID }
	// ConnIdle reports that a connection can carry the next attempt.
	ConnIdle struct{ Conn ConnID }
	// ConnClosed reports that a connection's descriptor is free. It is the last event of every connection.
	ConnClosed struct {
		Conn   ConnID
		Detail string // for the log
	}
	// HealthCheckEnded reports the result of a health check. Load is set only if the executor answered.
	HealthCheckEnded struct {
		Executor policy.ExecutorID
		Answered bool
		Load     policy.Load
	}
)

// Events from discovery and the configuration.
type (
	// EndpointsUpdated reports an update of the endpoint list, or that a watch failed; Detail then says why.
	EndpointsUpdated struct {
		Kind      policy.EndpointUpdateKind
		Endpoints []Endpoint
		Detail    string
	}
	// DiscoverySwitchPending reports that a new discovery address has not delivered an endpoint list yet. Until it does, the
	// old address stays in use.
	DiscoverySwitchPending struct{ Addr, Detail string }
	// ConfigReloaded reports that the configuration was read again. If it is invalid, Detail says why and the other fields are
	// empty.
	ConfigReloaded struct {
		Discovery       string   // the address from which the endpoint list is requested
		NeedRestart     []string // keys that changed and take effect at the next start
		Classes         []JobClass
		MaxWork         time.Duration // as in Limits
		ShutdownTimeout time.Duration // as in Limits
		Detail          string
	}
)

// AdminCalled reports an operator's call. One AdminReply answers it.
type AdminCalled struct {
	Caller   AdminCallID
	Command  AdminCommand
	Executor policy.ExecutorID
}

// Events from other processes of this node, reported by package hotrestart.
type (
	// HandoffLinkUp reports that a link to another process is up.
	HandoffLinkUp struct{ Link HandoffLink }
	// HandoffReceived reports a message from another process.
	HandoffReceived struct {
		Link    HandoffLink
		Message HandoffMessage
	}
	// HandoffLinkDown reports that a link has closed, most likely because its process has ended.
	HandoffLinkDown struct {
		Link   HandoffLink
		Detail string
	}
)

// Events from other nodes of the cluster, reported by package gossip.
type (
	// AliveNodesChanged reports which nodes of the cluster are alive, including this one.
	AliveNodesChanged struct{ Alive []cluster.NodeName }
	// GossipReceived reports a gossip message.
	GossipReceived struct{ Message cluster.Message }
	// LeaseMessageReceived reports a message about the lease on an executor's capacity.
	LeaseMessageReceived struct {
		From    policy.NodeID
		Message policy.LeaseMessage
		Hash    policy.ExecutorHash
	}
	// GossipUnreadable reports a datagram that could not be decoded.
	GossipUnreadable struct{ Why string }
)

// Events from the process itself.
type (
	// ShutdownRequested reports that the process was asked to end.
	ShutdownRequested struct{}
	// TimerFired reports that the timer set by SetTimer has fired.
	TimerFired struct{}
)

func (JobArrived) event()             {}
func (ClientLeft) event()             {}
func (JobDeclined) event()            {}
func (FrontendClosed) event()         {}
func (ConnReady) event()              {}
func (AttemptProgressed) event()      {}
func (AttemptEnded) event()           {}
func (AttemptNotSent) event()         {}
func (ConnIdle) event()               {}
func (ConnClosed) event()             {}
func (HealthCheckEnded) event()       {}
func (EndpointsUpdated) event()       {}
func (DiscoverySwitchPending) event() {}
func (ConfigReloaded) event()         {}
func (AdminCalled) event()            {}
func (HandoffLinkUp) event()          {}
func (HandoffReceived) event()        {}
func (HandoffLinkDown) event()        {}
func (AliveNodesChanged) event()      {}
func (GossipReceived) event()         {}
func (LeaseMessageReceived) event()   {}
func (GossipUnreadable) event()       {}
func (ShutdownRequested) event()      {}
func (TimerFired) event()             {}
