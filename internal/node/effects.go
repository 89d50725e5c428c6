package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Effect is something that Step asks its caller to do. It is one of the types below. The caller carries effects out in the
// order in which Step returned them.
type Effect interface{ effect() }

// Effects on clients, carried out by package frontend.
type (
	// Answer gives a client the final answer to its job.
	Answer struct {
		Job        policy.JobID
		Final      Final
		Result     []byte
		RetryAfter time.Duration // when the client may retry; 0 for no advice
	}
	// UpdateJobClasses replaces the job classes that the frontend accepts.
	UpdateJobClasses struct{ Classes []NumberedClass }
	// SetReady sets whether the readiness check reports that the node accepts jobs.
	SetReady struct{ Ready bool }
	// DrainClients starts or ends a drain of clients: while it is on, the node reports not ready and closes clients'
	// connections after their answers. Jobs that still arrive are accepted.
	DrainClients struct{ On bool }
	// AcceptConnections sets whether this process accepts new connections from clients. Package hotrestart carries it out as
	// well: the process that accepts clients also accepts a successor.
	AcceptConnections struct{ Accept bool }
	// HalveLimits halves the resource limits of this process, or restores them.
	HalveLimits struct{ Half bool }
	// CloseFrontend stops accepting jobs and closes clients' connections once they have their answers.
	CloseFrontend struct{}
)

// Effects on executors, carried out by package upstream.
type (
	// Dial opens a connection to an executor.
	Dial struct {
		Conn ConnID
		Addr string
	}
	// WriteAttempt sends an attempt on a connection that is idle or has just come up.
	WriteAttempt struct {
		Conn    ConnID
		Attempt Attempt
	}
	// CloseConn closes a connection, or stops dialing it.
	CloseConn struct{ Conn ConnID }
	// CheckHealth asks an executor for its load, over a new connection. One HealthCheckEnded event follows.
	CheckHealth struct {
		Executor policy.ExecutorID
		Addr     string
	}
)

// Effects on discovery.
type (
	// WatchEndpoints requests the endpoint list again at once.
	WatchEndpoints struct{}
	// SwitchDiscovery sets the address that the endpoint list is requested from. It may be the address already in use.
	SwitchDiscovery struct{ Addr string }
)

// AdminReply answers an operator's call. It is carried out by package admin. The reply is the reason for a refusal, metrics or
// lines of text; if none of these is set, it says that the command was run or, for CheckReady, that this process is ready.
type AdminReply struct {
	Caller  AdminCallID
	Refusal string
	Metrics *Metrics
	Lines   []string
}

// Effects on other processes of this node, carried out by package hotrestart.
type (
	// SendHandoff sends a message to another process.
	SendHandoff struct {
		Link    HandoffLink
		Message HandoffMessage
	}
	// CloseHandoffLink closes the link to another process.
	CloseHandoffLink struct{ Link HandoffLink }
)

// Effects on other nodes of the cluster, carried out by package gossip. Both kinds of messages may be lost.
type (
	// SendGossip sends a gossip message to a node.
	SendGossip struct{ cluster.Envelope }
	// SendLeaseMessage sends a message about the lease on an executor's capacity to a node.
	SendLeaseMessage struct {
		To      policy.NodeID
		Message policy.LeaseMessage
		Hash    policy.ExecutorHash
	}
)

// Effects on the process itself, carried out by Loop.
type (
	// SetTimer requests one TimerFired event at the given time. A later SetTimer replaces it.
	SetTimer struct{ At time.Duration }
	// Log writes a line to the log. Executor and Job are written as fields of the line unless they are empty.
	Log struct {
		Text     string
		Executor policy.ExecutorID
		Job      policy.JobID
	}
	// Exit ends the loop. By then, every job is answered.
	Exit struct{}
)

func (Answer) effect()            {}
func (UpdateJobClasses) effect()  {}
func (SetReady) effect()          {}
func (DrainClients) effect()      {}
func (AcceptConnections) effect() {}
func (HalveLimits) effect()       {}
func (CloseFrontend) effect()     {}
func (Dial) effect()              {}
func (WriteAttempt) effect()      {}
func (CloseConn) effect()         {}
func (CheckHealth) effect()       {}
func (WatchEndpoints) effect()    {}
func (SwitchDiscovery) effect()   {}
func (AdminReply) effect()        {}
func (SendHandoff) effect()       {}
func (CloseHandoffLink) effect()  {}
func (SendGossip) effect()        {}
func (SendLeaseMessage) effect()  {}
func (SetTimer) effect()          {}
func (Log) effect()               {}
func (Exit) effect()              {}
