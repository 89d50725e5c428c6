package node

import (
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/fleet"
	"birchstair/policy"
)

// Clients gives answers to those who wait for them. None of its calls blocks, nor do the others'.
type Clients interface {
	Answer(Answer)
	Ready(bool)
	UpdateJobClasses([]NumberedClass)
	DrainClients(bool)
	AcceptConnections(bool)
	HalveLimits(bool)
	Close()
}

// Executors holds the connections to executors.
type Executors interface {
	Dial(ConnID, string)
	Write(ConnID, Attempt)
	Close(ConnID)
	Probe(id policy.ExecutorID, addr string)
}

// List follows the list.
type List interface {
	WatchEndpoints()
	SwitchDiscovery(addr string)
}

// Operators answers those who call at the door.
type Operators interface{ Reply(AdminReply) }

// Others are the other processes of this node.
type Others interface {
	Send(HandoffLink, HandoffMessage)
	CloseLink(HandoffLink)
	AcceptConnections(bool)
}

// Fleet says words to neighbours.
type Fleet interface {
	SendGossip(fleet.Envelope)
	SendLeaseMessage(SendLeaseMessage)
}

// Edges are the packages by peer that carry effects out.
type Edges struct {
	Clients   Clients
	Executors Executors
	List      List
	Operators Operators       // nil where there is no door
	Others    Others          // nil where no other process of the node can join
	Fleet     Fleet           // nil where this node talks with no others
	Memory    func(half bool) // told what this process may use of it; nil where Others is
}

// Tap is told of every step: its time, the event and the effects, before they are carried out. It must not keep them.
type Tap func(now time.Duration, ev Event, effects []Effect)

// Loop feeds events to the reducer, one at a time, and carries out its effects.
type Loop struct {
	Tap Tap // nil for nobody; set before Run

	start  time.Time
	events chan Event
	first  chan Event // looked at before events
	done   chan struct{}
}

// NewLoop makes the queue that peers tell their events to.
func NewLoop(start time.Time) *Loop {
	return &Loop{start: start, events: make(chan Event, 256), first: make(chan Event, 16), done: make(chan struct{})}
}

// Tell hands an event to the reducer; after the end it goes nowhere.
func (l *Loop) Tell(ev Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// TellFirst hands over an event that goes before all that wait.
func (l *Loop) TellFirst(ev Event) {
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
		return Woke{}
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
		if l.Tap != nil {
			l.Tap(now, ev, effects)
		}
		for _, e := range effects {
			switch e := e.(type) {
			case Answer:
				to.Clients.Answer(e)
			case Ready:
				to.Clients.Ready(e.Yes)
			case Dial:
				to.Executors.Dial(e.Conn, e.Addr)
			case WriteAttempt:
				to.Executors.Write(e.Conn, e.Attempt)
			case Close:
				to.Executors.Close(e.Conn)
			case Probe:
				to.Executors.Probe(e.Executor, e.Addr)
			case WatchEndpoints:
				to.List.WatchEndpoints()
			case SwitchDiscovery:
				to.List.SwitchDiscovery(e.Addr)
			case UpdateJobClasses:
				to.Clients.UpdateJobClasses(e.Classes)
			case DrainClients:
				to.Clients.DrainClients(e.On)
			case AdminReply:
				to.Operators.Reply(e)
			case SendHandoff:
				to.Others.Send(e.Link, e.Message)
			case CloseHandoffLink:
				to.Others.CloseLink(e.Link)
			case AcceptConnections:
				to.Clients.AcceptConnections(e.Yes)
				if to.Others != nil {
					to.Others.AcceptConnections(e.Yes)
				}
			case HalveLimits:
				to.Clients.HalveLimits(e.Half)
				to.Memory(e.Half)
			case SendGossip:
				to.Fleet.SendGossip(e.Envelope)
			case SendLeaseMessage:
				to.Fleet.SendLeaseMessage(e)
			case CloseFront:
				to.Clients.Close()
			case Wake:
				timer.Reset(e.At - time.Since(l.start))
			case Log:
				write(log, e)
			case Exit:
				return
			}
		}
	}
}

func write(log zerolog.Logger, e Log) {
	line := log.Info()
	if e.Executor != "" {
		line.Str("executor", string(e.Executor))
	}
	if e.Job != "" {
		line.Str("batch_job", string(e.Job))
	}
	line.Msg(e.Text)
}
