package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Effect is something that Step asks its caller to do. It is one of the types below; a caller carries effects out in order.
type Effect interface{ effect() }

// Effects on clients, carried out by package frontend.
type (
	// Answer gives a client the final answer to its job.
	Answer struct {
		Job        policy.JobID
		Final      Final
		Result     []byte
		RetryAfter time.Duration // 0 for no advice
	}
	// UpdateJobClasses replaces the job classes that the frontend accepts.
	UpdateJobClasses struct{ Classes []NumberedClass }
	// SetReady sets whether the readiness check says that the node takes jobs.
	SetReady struct{ Ready bool }
	// DrainClients starts or ends a drain of clients: while it is on, the node reports not ready and closes clients'
	// connections after their answers. Jobs that still arrive are taken.
	DrainClients struct{ On bool }
	// AcceptConnections sets whether this process accepts new connections from clients. Package hotrestart gets it as well.
	AcceptConnections struct{ Accept bool }
	// HalveLimits halves the resource limits of this process, or restores them.
	HalveLimits struct{ Half bool }
	// CloseFrontend stops accepting work and closes clients' connections once they have their answers.
	CloseFrontend struct{}
)

// Effects on executors, carried out by package upstream.
type (
	// Dial opens a connection.
	Dial struct {
		Conn ConnID
		Addr string
	}
	// WriteAttempt sends an attempt on a connection that is idle or has just come up.
	WriteAttempt struct {
		Conn    ConnID
		Attempt Attempt
	}
	// CloseConn closes a connection, or gives up dialing it.
	CloseConn struct{ Conn ConnID }
	// CheckHealth asks an executor for its load on a connection of its own. One HealthCheckEnded event follows.
	CheckHealth struct {
		Executor policy.ExecutorID
		Addr     string
	}
)

// Effects on discovery.
type (
	// WatchEndpoints asks for the endpoint list again, now.
	WatchEndpoints struct{}
	// SwitchDiscovery takes the endpoint list from an address from now on. It may be the address in use already.
	SwitchDiscovery struct{ Addr string }
)

// AdminReply answers an operator's call, carried out by package admin: a refusal and its reason, figures, lines of text, or a
// plain yes when all are empty.
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

// Effects on other nodes of the fleet, carried out by package gossip. Both kinds of messages may be lost.
type (
	// SendGossip sends a gossip message to a node.
	SendGossip struct{ cluster.Envelope }
	// SendLeaseMessage sends a node a message about the lease on an executor's capacity.
	SendLeaseMessage struct {
		To      policy.NodeID
		Message policy.LeaseMessage
		Hash    policy.ExecutorHash
	}
)

// Effects on the process itself, carried out by Loop.
type (
	// SetTimer asks for one TimerFired event at a time. A later SetTimer replaces it.
	SetTimer struct{ At time.Duration }
	// Log writes a line to the log. Executor and Job are fields of the line unless they are empty.
	Log struct {
		Text     string
		Executor policy.ExecutorID
		Job      policy.JobID
	}
	// Exit ends the loop: every job is answered.
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
