package node

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Frontend is the edge to clients. The methods of this edge and of the other edges don't block.
type Frontend interface {
	Answer(Answer)
	SetReady(bool)
	UpdateJobClasses([]NumberedClass)
	DrainClients(bool)
	AcceptConnections(bool)
	HalveLimits(bool)
	Close()
}

// Upstream is the edge to executors.
type Upstream interface {
	Dial(ConnID, string)
	Write(ConnID, Attempt)
	Close(ConnID)
	CheckHealth(id policy.ExecutorID, addr string)
}

// Discovery is the edge to the service that delivers the endpoint list.
type Discovery interface {
	WatchEndpoints()
	SwitchDiscovery(addr string)
}

// Admin is the edge to operators.
type Admin interface{ Reply(AdminReply) }

// Handoff is the edge to other processes of this node.
type Handoff interface {
	Send(HandoffLink, HandoffMessage)
	CloseLink(HandoffLink)
	AcceptConnections(bool)
}

// Gossip is the edge to other nodes of the cluster.
type Gossip interface {
	SendGossip(cluster.Envelope)
	SendLeaseMessage(SendLeaseMessage)
}

// Edges are the implementations that carry out effects. There is one edge for each kind of partner that the node
// communicates with.
type Edges struct {
	Frontend  Frontend
	Upstream  Upstream
	Discovery Discovery
	Admin     Admin   // edge to operators; nil if they can't connect
	Handoff   Handoff // edge to other processes of the node; nil if they can't connect
	Gossip    Gossip  // edge to the cluster; nil if this node is not part of one
	// LimitMemory halves the memory limit of this process, or restores it. It is nil if Handoff is nil.
	LimitMemory func(half bool)
}

// Observer is called after every step, before the effects are carried out. It must not keep the slice of effects.
type Observer func(now time.Duration, ev Event, effects []Effect)

// Sizes of the event queues. While a queue holds this many events, an edge that posts another event blocks.
const (
	eventQueueSize       = 256
	urgentEventQueueSize = 16
)

// Loop is the event loop of a node. It passes events to the Node one at a time, and passes the effects to the edges.
type Loop struct {
	Observe Observer // called after every step; can be nil; must be set before Run is called

	start  time.Time // time at which the node's time is 0
	events chan Event
	urgent chan Event    // queue that is read before events
	done   chan struct{} // channel that is closed when Run has returned
}

// NewLoop creates a loop. The node that it runs counts time from start.
func NewLoop(start time.Time) *Loop {
	return &Loop{
		start:  start,
		events: make(chan Event, eventQueueSize),
		urgent: make(chan Event, urgentEventQueueSize),
		done:   make(chan struct{}),
	}
}

// Post queues an event. After Run has returned, events are discarded.
func (l *Loop) Post(ev Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// PostUrgent queues an event that is handled before all events queued by Post.
func (l *Loop) PostUrgent(ev Event) {
	select {
	case l.urgent <- ev:
	case <-l.done:
	}
}

// next waits for the next event. Urgent events come before others.
func (l *Loop) next(timer *time.Timer) Event {
	select {
	case ev := <-l.urgent:
		return ev
	default:
	}
	select {
	case ev := <-l.urgent:
		return ev
	case ev := <-l.events:
		return ev
	case <-timer.C:
		return TimerFired{}
	}
}

// Run handles events until the node returns an Exit effect.
func (l *Loop) Run(n *Node, edges Edges, log zerolog.Logger) {
	defer close(l.done)
	timer := time.NewTimer(0)
	for {
		ev := l.next(timer)
		now := time.Since(l.start)
		effects := n.Step(now, ev)
		if l.Observe != nil {
			l.Observe(now, ev, effects)
		}
		for _, e := range effects {
			switch e := e.(type) {
			case SetTimer:
				timer.Reset(e.At - time.Since(l.start))
			case Log:
				writeLog(log, e)
			case Exit:
				return
			default:
				edges.carryOut(e)
			}
		}
	}
}

// carryOut passes an effect to the edges that carry it out.
func (edges *Edges) carryOut(e Effect) {
	switch e := e.(type) {
	case Answer, UpdateJobClasses, SetReady, DrainClients, CloseFrontend:
		edges.carryOutFrontend(e)
	case Dial, WriteAttempt, CloseConn, CheckHealth:
		edges.carryOutUpstream(e)
	case WatchEndpoints:
		edges.Discovery.WatchEndpoints()
	case SwitchDiscovery:
		edges.Discovery.SwitchDiscovery(e.Addr)
	case AdminReply:
		edges.Admin.Reply(e)
	case SendHandoff:
		edges.Handoff.Send(e.Link, e.Message)
	case CloseHandoffLink:
		edges.Handoff.CloseLink(e.Link)
	case AcceptConnections:
		edges.Frontend.AcceptConnections(e.Accept)
		if edges.Handoff != nil {
			edges.Handoff.AcceptConnections(e.Accept)
		}
	case HalveLimits:
		edges.Frontend.HalveLimits(e.Half)
		edges.LimitMemory(e.Half)
	case SendGossip:
		edges.Gossip.SendGossip(e.Envelope)
	case SendLeaseMessage:
		edges.Gossip.SendLeaseMessage(e)
	}
}

// carryOutFrontend passes an effect to the frontend. carryOut itself handles AcceptConnections and HalveLimits, because
// these concern more than the frontend.
func (edges *Edges) carryOutFrontend(e Effect) {
	switch e := e.(type) {
	case Answer:
		edges.Frontend.Answer(e)
	case UpdateJobClasses:
		edges.Frontend.UpdateJobClasses(e.Classes)
	case SetReady:
		edges.Frontend.SetReady(e.Ready)
	case DrainClients:
		edges.Frontend.DrainClients(e.On)
	case CloseFrontend:
		edges.Frontend.Close()
	}
}

// carryOutUpstream passes an effect on executors to the upstream edge.
func (edges *Edges) carryOutUpstream(e Effect) {
	switch e := e.(type) {
	case Dial:
		edges.Upstream.Dial(e.Conn, e.Addr)
	case WriteAttempt:
		edges.Upstream.Write(e.Conn, e.Attempt)
	case CloseConn:
		edges.Upstream.Close(e.Conn)
	case CheckHealth:
		edges.Upstream.CheckHealth(e.Executor, e.Addr)
	}
}

func writeLog(log zerolog.Logger, e Log) {
	line := log.Info()
	if e.Executor != "" {
		line.Str("executor", string(e.Executor))
	}
	if e.Job != "" {
		line.Str("batch_job", strings.TrimSpace(string(e.Job))) // the ID of a durable job ends in a space
	}
	line.Msg(e.Text)
}
