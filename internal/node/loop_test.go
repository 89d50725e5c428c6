package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// recordedEdges records the calls to all edges, as lines of text.
type recordedEdges struct{ calls []string }

func (r *recordedEdges) record(format string, args ...any) {
	r.calls = append(r.calls, fmt.Sprintf(format, args...))
}

type recordedFrontend struct{ *recordedEdges }

func (r recordedFrontend) Answer(a Answer)   { r.record("frontend answer %s", a.Job) }
func (r recordedFrontend) SetReady(yes bool) { r.record("frontend ready %t", yes) }
func (r recordedFrontend) UpdateJobClasses(c []NumberedClass) {
	r.record("frontend classes %d", len(c))
}
func (r recordedFrontend) DrainClients(on bool)       { r.record("frontend drain %t", on) }
func (r recordedFrontend) AcceptConnections(yes bool) { r.record("frontend accept %t", yes) }
func (r recordedFrontend) HalveLimits(half bool)      { r.record("frontend halve %t", half) }
func (r recordedFrontend) Close()                     { r.record("frontend close") }

type recordedUpstream struct{ *recordedEdges }

func (r recordedUpstream) Dial(c ConnID, addr string) { r.record("upstream dial %d %s", c, addr) }
func (r recordedUpstream) Write(c ConnID, a Attempt)  { r.record("upstream write %d %s", c, a.ID) }
func (r recordedUpstream) Close(c ConnID)             { r.record("upstream close %d", c) }
func (r recordedUpstream) CheckHealth(id policy.ExecutorID, addr string) {
	r.record("upstream health check %s %s", id, addr)
}

type recordedDiscovery struct{ *recordedEdges }

func (r recordedDiscovery) WatchEndpoints()             { r.record("discovery watch") }
func (r recordedDiscovery) SwitchDiscovery(addr string) { r.record("discovery switch %s", addr) }

type recordedAdmin struct{ *recordedEdges }

func (r recordedAdmin) Reply(a AdminReply) { r.record("admin reply %d", a.Caller) }

type recordedHandoff struct{ *recordedEdges }

func (r recordedHandoff) Send(l HandoffLink, m HandoffMessage) {
	r.record("handoff send %d %d", l, m.Kind)
}
func (r recordedHandoff) CloseLink(l HandoffLink)    { r.record("handoff close %d", l) }
func (r recordedHandoff) AcceptConnections(yes bool) { r.record("handoff accept %t", yes) }

type recordedGossip struct{ *recordedEdges }

func (r recordedGossip) SendGossip(e cluster.Envelope)       { r.record("gossip send %s", e.To) }
func (r recordedGossip) SendLeaseMessage(m SendLeaseMessage) { r.record("gossip lease %d", m.To) }

func newRecordedEdges() (*recordedEdges, Edges) {
	r := &recordedEdges{}
	return r, Edges{
		Frontend:    recordedFrontend{r},
		Upstream:    recordedUpstream{r},
		Discovery:   recordedDiscovery{r},
		Admin:       recordedAdmin{r},
		Handoff:     recordedHandoff{r},
		Gossip:      recordedGossip{r},
		LimitMemory: func(half bool) { r.record("memory halve %t", half) },
	}
}

// TestCarryOut checks that each effect is passed to its edge, exactly once.
func TestCarryOut(t *testing.T) {
	for _, test := range []struct {
		effect Effect
		want   []string
	}{
		{Answer{Job: "j"}, []string{"frontend answer j"}},
		{UpdateJobClasses{Classes: make([]NumberedClass, 2)}, []string{"frontend classes 2"}},
		{SetReady{Ready: true}, []string{"frontend ready true"}},
		{DrainClients{On: true}, []string{"frontend drain true"}},
		{AcceptConnections{Accept: true}, []string{"frontend accept true", "handoff accept true"}},
		{HalveLimits{Half: true}, []string{"frontend halve true", "memory halve true"}},
		{CloseFrontend{}, []string{"frontend close"}},
		{Dial{Conn: 1, Addr: "a"}, []string{"upstream dial 1 a"}},
		{WriteAttempt{Conn: 1, Attempt: Attempt{Request: &Request{ID: "j"}}}, []string{"upstream write 1 j"}},
		{CloseConn{Conn: 1}, []string{"upstream close 1"}},
		{CheckHealth{Executor: "e", Addr: "a"}, []string{"upstream health check e a"}},
		{WatchEndpoints{}, []string{"discovery watch"}},
		{SwitchDiscovery{Addr: "a"}, []string{"discovery switch a"}},
		{AdminReply{Caller: 3}, []string{"admin reply 3"}},
		{SendHandoff{Link: 1, Message: HandoffMessage{Kind: RelayDone}}, []string{"handoff send 1 4"}},
		{CloseHandoffLink{Link: 1}, []string{"handoff close 1"}},
		{SendGossip{cluster.Envelope{To: "n"}}, []string{"gossip send n"}},
		{SendLeaseMessage{To: 2}, []string{"gossip lease 2"}},
	} {
		t.Run(fmt.Sprintf("%T", test.effect), func(t *testing.T) {
			recorded, edges := newRecordedEdges()
			edges.carryOut(test.effect)
			if diff := cmp.Diff(test.want, recorded.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRunExits checks that Run steps the node for each event and returns after an Exit effect, and that Post does not block
// after that.
func TestRunExits(t *testing.T) {
	recorded, edges := newRecordedEdges()
	loop := NewLoop(time.Now())
	var events []Event
	loop.Observe = func(_ time.Duration, ev Event, _ []Effect) { events = append(events, ev) }
	loop.PostUrgent(ShutdownRequested{})
	loop.Post(FrontendClosed{})
	loop.Run(newNode(nil), edges, zerolog.Nop())
	loop.Post(TimerFired{})
	if len(events) < 2 || events[0] != (ShutdownRequested{}) || events[len(events)-1] != (FrontendClosed{}) {
		t.Errorf("got events %v, want ShutdownRequested first and FrontendClosed last", events)
	}
	if diff := cmp.Diff([]string{"frontend ready false"}, recorded.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}
