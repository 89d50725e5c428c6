package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// ConnID identifies a connection to an executor. It is valid from the connection's Dial effect to its ConnClosed event.
type ConnID uint64

// Request is the part of a job that executors receive unchanged.
type Request struct {
	ID             policy.JobID
	Method         string
	URI            string // path and query, as the client sent them
	Host           string
	ContentType    string
	IdempotencyKey string // key by which executors recognize a repeated request; empty for none
	Epoch          uint32 // lease epoch of a durable job's attempt; 0 for other jobs
	Body           []byte
}

// Job is a job as a client submitted it.
type Job struct {
	Request
	Class       policy.JobClassID
	Tenant      policy.TenantID
	Work        time.Duration // estimated run time; 0 if unknown
	Budget      time.Duration // time that the client waits for the answer
	Waited      time.Duration // part of the budget that had passed when the job was reported
	ClientRetry bool          // whether the client marked the job as a retry

	// Whether the frontend was nearly out of file descriptors when the job arrived.
	NearConnectionLimit bool
	// Whether the frontend had too little memory for the job's body, which is empty then.
	NearMemoryLimit bool

	Client Client // client that waits for the answer on a connection; nil if there is none
}

// ClientState is what is known of a client that has submitted a job.
type ClientState int

// The states of a client.
const (
	ClientWaits ClientState = iota // the client waits for the answer
	ClientGone                     // the client has stopped waiting for the answer
	// ClientUnknown means that the client has sent more than the node reads before it answers, so that its close can be behind
	// bytes that are not read.
	ClientUnknown
)

// Client is the client that waits for a job's answer. The state machine only passes a Client on and compares it.
type Client interface {
	// State returns what is known of the client. It can block for some milliseconds. Any goroutine can call it.
	State() ClientState
}

// JobClass is a job class and its name.
type JobClass struct {
	Name string
	policy.JobClass
}

// NumberedClass is a job class with its ID. Each job of the class carries this ID.
type NumberedClass struct {
	ID policy.JobClassID
	JobClass
}

// Endpoint is an entry of the endpoint list, together with the address of the executor.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// Load is an executor's load report. Known is false if the executor sent no report.
type Load struct {
	policy.Load
	Known bool
}

// Attempt is one attempt of a job, as it is sent to an executor.
type Attempt struct {
	*Request
	Budget time.Duration // time that this node waits for the attempt
	// Whether the job's class is not idempotent. A further attempt of such a job is sent in two cases only: the job
	// provably never ran, or it has an idempotency key and the retry stays within the job's dedup group.
	NotIdempotent bool
	// Client of the job, which is checked right before the first byte is sent; nil if no client waits.
	Client Client
}

// Final is the kind of a job's final answer.
type Final int

// The kinds of final answers.
const (
	Succeeded Final = iota // an attempt succeeded
	Rejected               // the job provably never ran, or it is safe to run it again
	Failed                 // the job may have run
)

// Event reports to the state machine that something has happened. Its implementations are the types below.
type Event interface{ event() }

// Events from clients, reported by package frontend.
type (
	// JobArrived reports a job that a client submitted.
	JobArrived struct{ Job Job }
	// ClientLeft reports that the client of a job has closed its connection.
	ClientLeft struct {
		Job    policy.JobID
		Client Client // the job's Client field
	}
	// JobDeclined reports that the frontend itself answered a job of this class, because the job's ID was already in
	// use.
	JobDeclined struct{ Class policy.JobClassID }
	// FrontendClosed reports that the frontend has closed. No client waits for an answer any more, and no client can
	// connect.
	FrontendClosed struct{}
)

// Events from executors, reported by package upstream.
type (
	// ConnReady reports that a connection has been dialed successfully.
	ConnReady struct{ Conn ConnID }
	// AttemptProgressed reports the progress of an attempt. Progress is 0 when the attempt has started, and later the
	// fraction of the attempt that is done.
	AttemptProgressed struct {
		Conn     ConnID
		Progress float64
		Load     Load
	}
	// AttemptEnded reports the outcome of an attempt. If the connection closed before a byte of the attempt was
	// written, there is no AttemptEnded event, only ConnClosed.
	AttemptEnded struct {
		Conn       ConnID
		Outcome    policy.Outcome
		Result     []byte
		Load       Load
		ConnBroken bool   // whether the connection broke, or the executor's response could not be parsed
		Detail     string // text for the log
	}
	// AttemptNotSent reports that no byte of an attempt was written, because the attempt's client had gone, or because it
	// was not known whether it had. The connection can carry the next attempt.
	AttemptNotSent struct {
		Conn   ConnID
		Client ClientState // ClientGone or ClientUnknown
	}
	// ConnIdle reports that a connection can carry the next attempt.
	ConnIdle struct{ Conn ConnID }
	// ConnClosed reports that a connection's descriptor is free. It is the last event of every connection.
	ConnClosed struct {
		Conn   ConnID
		Detail string // text for the log
	}
	// HealthCheckEnded reports the result of a health check. Load is only set if the executor answered.
	HealthCheckEnded struct {
		Executor policy.ExecutorID
		Answered bool
		Load     policy.Load
	}
)

// Events from discovery and the configuration.
type (
	// EndpointsUpdated reports an update of the endpoint list, or a failed watch. Detail is the reason why the watch
	// failed.
	EndpointsUpdated struct {
		Kind      policy.EndpointUpdateKind
		Endpoints []Endpoint
		Detail    string
	}
	// DiscoverySwitchPending reports that a new discovery address has not delivered an endpoint list yet. The old
	// address stays in use until the new one delivers a list.
	DiscoverySwitchPending struct{ Addr, Detail string }
	// ConfigReloaded reports that the configuration was read again. If the configuration is invalid, Detail is the
	// reason and the other fields are empty.
	ConfigReloaded struct {
		Discovery       string   // address from which the endpoint list is requested
		NeedRestart     []string // changed keys that only take effect at the next start
		Classes         []JobClass
		MaxWork         time.Duration // as in Limits.MaxWork
		ShutdownTimeout time.Duration // as in Limits.ShutdownTimeout
		Detail          string
	}
)

// AdminCalled reports an operator's call. The node answers it with one AdminReply.
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
	// HandoffLinkDown reports that a link has closed, most likely because the process at its other end has ended.
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
	// GossipUnreadable reports that package gossip could not decode a message, or that a second node uses a known
	// node's name.
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
