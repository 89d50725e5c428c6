package node

import (
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Frontend gives answers to those who wait for them. None of its calls blocks, nor do the others'.
type Frontend interface {
	Answer(Answer)
	SetReady(bool)
	UpdateJobClasses([]NumberedClass)
	DrainClients(bool)
	AcceptConnections(bool)
	HalveLimits(bool)
	Close()
}

// Upstream holds the connections to executors.
type Upstream interface {
	Dial(ConnID, string)
	Write(ConnID, Attempt)
	Close(ConnID)
	Probe(id policy.ExecutorID, addr string)
}

// Discovery follows the list.
type Discovery interface {
	WatchEndpoints()
	SwitchDiscovery(addr string)
}

// Admin answers those who call at the door.
type Admin interface{ Reply(AdminReply) }

// Handoff are the other processes of this node.
type Handoff interface {
	Send(HandoffLink, HandoffMessage)
	CloseLink(HandoffLink)
	AcceptConnections(bool)
}

// Gossip says words to neighbours.
type Gossip interface {
	SendGossip(cluster.Envelope)
	SendLeaseMessage(SendLeaseMessage)
}

// Edges are the packages by peer that carry effects out.
type Edges struct {
	Frontend    Frontend
	Upstream    Upstream
	Discovery   Discovery
	Admin       Admin           // nil where there is no door
	Handoff     Handoff         // nil where no other process of the node can join
	Gossip      Gossip          // nil where this node talks with no others
	LimitMemory func(half bool) // told what this process may use of it; nil where Others is
}

// Observer is told of every step: its time, the event and the effects, before they are carried out. It must not keep them.
type Observer func(now time.Duration, ev Event, effects []Effect)

// Loop feeds events to the reducer, one at a time, and carries out its effects.
type Loop struct {
	Observe Observer // nil for nobody; set before Run

	start  time.Time
	events chan Event
	first  chan Event // looked at before events
	done   chan struct{}
}

// NewLoop makes the queue that peers tell their events to.
func NewLoop(start time.Time) *Loop {
	return &Loop{start: start, events: make(chan Event, 256), first: make(chan Event, 16), done: make(chan struct{})}
}

// Post hands an event to the reducer; after the end it goes nowhere.
func (l *Loop) Post(ev Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// PostUrgent hands over an event that goes before all that wait.
func (l *Loop) PostUrgent(ev Event) {
	select {
	case l.first <- ev:
	case <-l.done:
	}
}

// next waits for an event.
func (l *Loop) next(timer *time.Timer) Event {
	select {
	case ev := <-l.first:
		return ev
	default:
	}
	select {
	case ev := <-l.first:
		return ev
	case ev := <-l.events:
		return ev
	case <-timer.C:
		return TimerFired{}
	}
}

// Run goes on until nothing is owed any more after a stop.
func (l *Loop) Run(n *Node, to Edges, log zerolog.Logger) {
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
			case Answer:
				to.Frontend.Answer(e)
			case SetReady:
				to.Frontend.SetReady(e.Yes)
			case Dial:
				to.Upstream.Dial(e.Conn, e.Addr)
			case WriteAttempt:
				to.Upstream.Write(e.Conn, e.Attempt)
			case CloseConn:
				to.Upstream.Close(e.Conn)
			case ProbeExecutor:
				to.Upstream.Probe(e.Executor, e.Addr)
			case WatchEndpoints:
				to.Discovery.WatchEndpoints()
			case SwitchDiscovery:
				to.Discovery.SwitchDiscovery(e.Addr)
			case UpdateJobClasses:
				to.Frontend.UpdateJobClasses(e.Classes)
			case DrainClients:
				to.Frontend.DrainClients(e.On)
			case AdminReply:
				to.Admin.Reply(e)
			case SendHandoff:
				to.Handoff.Send(e.Link, e.Message)
			case CloseHandoffLink:
				to.Handoff.CloseLink(e.Link)
			case AcceptConnections:
				to.Frontend.AcceptConnections(e.Yes)
				if to.Handoff != nil {
					to.Handoff.AcceptConnections(e.Yes)
				}
			case HalveLimits:
				to.Frontend.HalveLimits(e.Half)
				to.LimitMemory(e.Half)
			case SendGossip:
				to.Gossip.SendGossip(e.Envelope)
			case SendLeaseMessage:
				to.Gossip.SendLeaseMessage(e)
			case CloseFrontend:
				to.Frontend.Close()
			case SetTimer:
				timer.Reset(e.At - time.Since(l.start))
			case Log:
				writeLog(log, e)
			case Exit:
				return
			}
		}
	}
}

func writeLog(log zerolog.Logger, e Log) {
	line := log.Info()
	if e.Executor != "" {
		line.Str("executor", string(e.Executor))
	}
	if e.Job != "" {
		line.Str("batch_job", string(e.Job))
	}
	line.Msg(e.Text)
}
