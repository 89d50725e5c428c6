package node

import (
	"time"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Effect is something that Step asks its caller to do. Its implementations are the types below. The caller carries
// effects out in the order in which Step returns them.
type Effect interface{ effect() }

// Effects on clients, carried out by package frontend.
type (
	// Answer gives a client the final answer to its job.
	Answer struct {
		Job        policy.JobID
		Final      Final
		Result     []byte
		RetryAfter time.Duration // time after which the client is advised to retry; 0 for no advice
		Reason     Reason        // why the job did not succeed; for the log
	}
	// UpdateJobClasses replaces the job classes that the frontend accepts.
	UpdateJobClasses struct{ Classes []NumberedClass }
	// SetReady sets whether the readiness check reports that the node accepts jobs.
	SetReady struct{ Ready bool }
	// DrainClients starts or ends a client drain. During the drain, the node reports that it is not ready, and closes
	// each client's connection after its answer. Jobs that still arrive are accepted.
	DrainClients struct{ On bool }
	// AcceptConnections sets whether this process accepts new connections from clients. Package hotrestart receives
	// this effect too, because the process that accepts clients also accepts a successor.
	AcceptConnections struct{ Accept bool }
	// HalveLimits halves the resource limits of this process if Half is true, and restores them otherwise.
	HalveLimits struct{ Half bool }
	// CloseFrontend stops accepting jobs. Each client's connection is closed once the client has received its answers.
	CloseFrontend struct{}
)

// Effects on executors, carried out by package upstream.
type (
	// Dial opens a connection to an executor.
	Dial struct {
		Conn ConnID
		Addr string
	}
	// WriteAttempt sends an attempt on a connection. The connection is idle or has just come up.
	WriteAttempt struct {
		Conn     ConnID
		Attempt  Attempt
		Executor policy.ExecutorID // for the log
		Number   policy.AttemptID  // number of the job's attempt, from 0; for the log
	}
	// CloseConn closes a connection. If the connection is still being dialed, the dialing stops.
	CloseConn struct{ Conn ConnID }
	// CheckHealth asks an executor for its load over a new connection. One HealthCheckEnded event reports the result.
	CheckHealth struct {
		Executor policy.ExecutorID
		Addr     string
	}
)

// Effects on discovery.
type (
	// WatchEndpoints requests the endpoint list again immediately.
	WatchEndpoints struct{}
	// SwitchDiscovery sets the address from which the endpoint list is requested. The address can be the one already in
	// use.
	SwitchDiscovery struct{ Addr string }
)

// AdminReply answers an operator's call. Package admin carries it out. The reply consists of the reason for a refusal,
// of metrics or of lines of text. If none of these is set, the reply is that the command was run or, for CheckReady,
// that this process is ready.
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

// Effects on other nodes of the cluster, carried out by package gossip. The messages sent by these effects can be lost.
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
	// SetTimer requests one TimerFired event at the given time. A later SetTimer replaces an earlier one.
	SetTimer struct{ At time.Duration }
	// Log writes a line to the log. Executor and Job become fields of the line if they are not empty.
	Log struct {
		Text     string
		Executor policy.ExecutorID
		Job      policy.JobID
	}
	// Exit ends the loop. Every job is answered before this effect is returned.
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
