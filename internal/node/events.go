package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// ConnID names a connection to an executor, from its dialling on.
type ConnID uint64

// Request is what of a batch job goes on to an executor unchanged.
type Request struct {
	ID             policy.JobID
	Method         string
	URI            string // path and query, as they came
	Host           string
	ContentType    string
	IdempotencyKey string // by which executors know a repeat
	Epoch          uint32 // of a durable batch job's allocation; 0 for all others
	Body           []byte
}

// Job is a batch job as a client handed it in.
type Job struct {
	Request
	Class       policy.JobClassID
	Tenant      policy.TenantID
	Work        time.Duration // a guess; 0 for none
	Budget      time.Duration // how long the client waits
	ClientRetry bool          // the client marks it as a repeat of its own

	NearConnectionLimit bool // it came when the front was at the edge of its descriptors

	Client Client // nil where nobody waits on a connection
}

// Client is who waits for a batch job's answer. The reducer only hands it on.
type Client interface {
	// Gone says whether nobody waits for the answer any more, by what is known at this moment. It never waits, and any
	// goroutine may ask.
	Gone() bool
}

// JobClass is a track and its name.
type JobClass struct {
	Name string
	policy.JobClass
}

// NumberedClass is a track by the number that batch jobs of it bear.
type NumberedClass struct {
	ID policy.JobClassID
	JobClass
}

// Endpoint is an entry of the list and where the executor is reached.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// Load is what an executor says of itself; Known says whether it does.
type Load struct {
	policy.Load
	Known bool
}

// Attempt is one sending of a batch job.
type Attempt struct {
	*Request
	Budget     time.Duration // how long this node waits for it
	AtMostOnce bool          // it must not run again unless it provably never ran
	Client     Client        // looked at right before the first byte; nil where nobody waits
}

// Final is the kind of a final answer.
type Final int

const (
	Succeeded Final = iota
	Rejected
	Failed
)

// Event is what a peer or the clock tells the reducer: one of the types below.
type Event interface{ event() }

type (
	// JobArrived: a batch job is taken.
	JobArrived struct{ Job Job }
	// ClientLeft: the client that handed the batch job in has closed its connection.
	ClientLeft struct {
		Job    policy.JobID
		Client Client // as in Job
	}
	// EndpointsUpdated: the list has news, or, with a detail, could not be had.
	EndpointsUpdated struct {
		Kind      policy.EndpointUpdateKind
		Endpoints []Endpoint
		Detail    string
	}
	// DiscoverySwitchPending: the address that the list is to come from now has brought none yet; the old one still counts.
	DiscoverySwitchPending struct{ Addr, Detail string }
	// ConfigReloaded: the configuration was read again. With a detail it makes no sense.
	ConfigReloaded struct {
		Discovery       string   // where the list comes from
		NeedRestart     []string // keys that changed and hold from the next start on
		Classes         []JobClass
		MaxWork         time.Duration // as in Limits
		ShutdownTimeout time.Duration // as in Limits
		Detail          string
	}
	// ConnReady: a connection is up.
	ConnReady struct{ Conn ConnID }
	// AttemptProgressed: an executor tells of an allocation that goes on. Share 0: it has started.
	AttemptProgressed struct {
		Conn     ConnID
		Progress float64
		Load     Load
	}
	// AttemptEnded: an allocation is over, and not by its connection breaking before a byte of it was written.
	AttemptEnded struct {
		Conn       ConnID
		Outcome    policy.Outcome
		Result     []byte
		Load       Load
		ConnBroken bool   // the connection broke, or brought what makes no sense
		Detail     string // for the log
	}
	// AttemptNotSent: not a byte of an attempt was written, since its client turned out to have gone; its connection rests.
	AttemptNotSent struct{ Conn ConnID }
	// ProbeEnded: what came of a probe; load means something only where it was answered.
	ProbeEnded struct {
		Executor policy.ExecutorID
		Answered bool
		Load     policy.Load
	}
	// ConnIdle: a connection may carry the next allocation.
	ConnIdle struct{ Conn ConnID }
	// ConnClosed: a connection's descriptor is given back. It is the last event of every connection.
	ConnClosed struct {
		Conn   ConnID
		Detail string // for the log
	}
	// ShutdownRequested: the process is to end.
	ShutdownRequested struct{}
	// FrontendClosed: no client waits any more, and none can come.
	FrontendClosed struct{}
	// JobDeclined: the front has turned a batch job of a track away as one that it can't take.
	JobDeclined struct{ Class policy.JobClassID }
	// AdminCalled: an operator's call. It is answered by one Reply.
	AdminCalled struct {
		Caller   AdminCallID
		Command  AdminCommand
		Executor policy.ExecutorID
	}
	// HandoffLinkUp: a link to another process of this node is up.
	HandoffLinkUp struct{ Link HandoffLink }
	// HandoffReceived: that process says something.
	HandoffReceived struct {
		Link    HandoffLink
		Message HandoffMessage
	}
	// HandoffLinkDown: the link has ended, and its process most likely.
	HandoffLinkDown struct {
		Link   HandoffLink
		Detail string
	}
	// FleetChanged: the nodes of the fleet that are held for alive.
	FleetChanged struct{ Alive []cluster.NodeName }
	// GossipReceived: a neighbour's word.
	GossipReceived struct{ Message cluster.Message }
	// LeaseMessageReceived: a neighbour's word about an executor's places.
	LeaseMessageReceived struct {
		From    policy.NodeID
		Message policy.LeaseMessage
		Hash    policy.ExecutorHash
	}
	// GossipUnreadable: what came from a neighbour could not be read.
	GossipUnreadable struct{ Why string }
	// TimerFired: the timer that was asked for.
	TimerFired struct{}
)

func (JobArrived) event()             {}
func (ClientLeft) event()             {}
func (EndpointsUpdated) event()       {}
func (DiscoverySwitchPending) event() {}
func (ConfigReloaded) event()         {}
func (ConnReady) event()              {}
func (AttemptProgressed) event()      {}
func (AttemptEnded) event()           {}
func (ConnIdle) event()               {}
func (AttemptNotSent) event()         {}
func (ProbeEnded) event()             {}
func (ConnClosed) event()             {}
func (ShutdownRequested) event()      {}
func (FrontendClosed) event()         {}
func (TimerFired) event()             {}
func (JobDeclined) event()            {}
func (AdminCalled) event()            {}
func (HandoffLinkUp) event()          {}
func (HandoffReceived) event()        {}
func (HandoffLinkDown) event()        {}
func (FleetChanged) event()           {}
func (GossipReceived) event()         {}
func (LeaseMessageReceived) event()   {}
func (GossipUnreadable) event()       {}

// Effect is what the reducer asks for: one of the types below.
type Effect interface{ effect() }

type (
	// Answer gives a client its final answer.
	Answer struct {
		Job        policy.JobID
		Final      Final
		Result     []byte
		RetryAfter time.Duration // 0: no advice
	}
	// Dial opens a connection.
	Dial struct {
		Conn ConnID
		Addr string
	}
	// WriteAttempt sends an allocation on a connection that rests or has just come up.
	WriteAttempt struct {
		Conn    ConnID
		Attempt Attempt
	}
	// ProbeExecutor asks an executor for its load, on a connection of its own. One Probed event answers it.
	ProbeExecutor struct {
		Executor policy.ExecutorID
		Addr     string
	}
	// CloseConn closes a connection, or gives up dialling it.
	CloseConn struct{ Conn ConnID }
	// WatchEndpoints asks for the list again, now.
	WatchEndpoints struct{}
	// SwitchDiscovery takes the list from an address from now on; it may be the one that it comes from already.
	SwitchDiscovery struct{ Addr string }
	// UpdateJobClasses tells the front which tracks there are from now on.
	UpdateJobClasses struct{ Classes []NumberedClass }
	// SetReady says whether the node is to be given batch jobs.
	SetReady struct{ Yes bool }
	// DrainClients says that the node is not ready and lets clients go, until it is over; what still comes is taken.
	DrainClients struct{ On bool }
	// AdminReply answers an operator's call: with figures, or a no and its reason, or a yes.
	AdminReply struct {
		Caller  AdminCallID
		Refusal string
		Metrics *Metrics
		Lines   []string // or what there is to see, a thing a line
	}
	// SendHandoff says something to another process of this node.
	SendHandoff struct {
		Link    HandoffLink
		Message HandoffMessage
	}
	// CloseHandoffLink ends the link to it.
	CloseHandoffLink struct{ Link HandoffLink }
	// AcceptConnections says whether this process takes clients' new connections.
	AcceptConnections struct{ Yes bool }
	// HalveLimits halves what this process may use of the node's limits, or gives it all back.
	HalveLimits struct{ Half bool }
	// SendGossip says a word to a neighbour, which may get lost.
	SendGossip struct{ cluster.Envelope }
	// SendLeaseMessage says a word about an executor's places to a neighbour; it may get lost.
	SendLeaseMessage struct {
		To      policy.NodeID
		Message policy.LeaseMessage
		Hash    policy.ExecutorHash
	}
	// CloseFrontend lets the clients go that have their answers, and takes nothing more.
	CloseFrontend struct{}
	// SetTimer asks for one Woke event then; a later Wake takes its place.
	SetTimer struct{ At time.Duration }
	// Log writes a line.
	Log struct {
		Text     string
		Executor policy.ExecutorID
		Job      policy.JobID
	}
	// Exit: nothing is owed any more.
	Exit struct{}
)

func (Answer) effect()            {}
func (Dial) effect()              {}
func (WriteAttempt) effect()      {}
func (CloseConn) effect()         {}
func (ProbeExecutor) effect()     {}
func (WatchEndpoints) effect()    {}
func (SwitchDiscovery) effect()   {}
func (SetReady) effect()          {}
func (UpdateJobClasses) effect()  {}
func (CloseFrontend) effect()     {}
func (SetTimer) effect()          {}
func (Log) effect()               {}
func (Exit) effect()              {}
func (DrainClients) effect()      {}
func (AdminReply) effect()        {}
func (SendHandoff) effect()       {}
func (CloseHandoffLink) effect()  {}
func (AcceptConnections) effect() {}
func (HalveLimits) effect()       {}
func (SendGossip) effect()        {}
func (SendLeaseMessage) effect()  {}
