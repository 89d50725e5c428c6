package simulation

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// faultyScenario returns a scenario whose faults test every invariant, after change, if not nil, was applied to it.
func faultyScenario(change func(*Scenario)) Scenario {
	s := base()
	s.Name, s.Length, s.Classes = "troubled", Span(25*time.Second), baseClasses()
	s.Load.Utilization, s.Load.HintNoise = 0.8, 0
	s.Fleet.DiscoveryLag = Span(300 * time.Millisecond)
	second := Span(time.Second)
	s.Faults = []Fault{
		{Kind: emulator.Drain, At: 2 * second, For: 6 * second, Where: []string{"e0", "e1", "e5"}},
		{Kind: emulator.ResetOld, At: 6 * second, For: 12 * second, Size: 0.4},
		{Kind: emulator.Errors, At: 4 * second, For: 15 * second, Where: []string{"e3", "e4"}, Size: 0.4},
		{Kind: emulator.Crash, At: 9 * second, For: second, Where: []string{"e6", "e7", "e8", "e10"}},
		{Kind: emulator.SlowExecutors, At: 10 * second, For: 10 * second, Where: []string{"e9", "e2"}, Size: 15},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// defect is a defect to inject, with the only invariant that it must violate.
type defect struct {
	name   string
	rule   invariants.Rule
	change func(*Scenario)
	inject injectedDefects
}

// slowExecutors slows several executors down under little traffic, so that hedging is useful.
func slowExecutors(s *Scenario) {
	s.Load.Utilization, s.Fleet.StartNotices = 0.4, true
	s.Faults = []Fault{{Kind: emulator.SlowExecutors, At: Span(4 * time.Second), For: Span(18 * time.Second), Where: []string{"e0", "e1", "e2", "e3", "e4"}, Size: 6}}
}

// leavingClients lets clients disconnect while their jobs are queued.
func leavingClients(s *Scenario) {
	s.Load.Utilization, s.Load.LeaveRate, s.Faults = 1.6, 0.5, nil
}

// leavingClientsAndSuspendedNodes also suspends the nodes repeatedly. A resumed node first handles older events, and learns that a client has
// disconnected only after it has handled them.
func leavingClientsAndSuspendedNodes(s *Scenario) {
	leavingClients(s)
	s.Load.Utilization, s.Load.LeaveRate, s.Length = 3, 0.9, Span(8*time.Second)
	for i := range s.Classes {
		s.Classes[i].Work, s.Classes[i].Deadline = Span(60*time.Millisecond), Span(2*time.Second)
	}
	for i := range 6 {
		s.Faults = append(s.Faults, Fault{Kind: emulator.NodePaused, At: Span(time.Duration(2000+1000*i) * time.Millisecond),
			For: Span(time.Duration(250+50*i) * time.Millisecond)})
	}
}

// withDedupGroup makes all job classes idempotent with a key, with the given dedup group and dedup window.
func withDedupGroup(group string, window time.Duration) func(*Scenario) {
	return func(s *Scenario) {
		for i := range s.Classes {
			s.Classes[i].Idempotency, s.Classes[i].DedupGroup, s.Classes[i].DedupWindow = "tagged", group, Span(window)
		}
	}
}

// changeEvent replaces events of one type before the state machine receives them.
func changeEvent[E node.Event](change func(*Simulation, *simNode, E) []node.Event) func(*Simulation, *simNode, node.Event) []node.Event {
	return func(sim *Simulation, n *simNode, ev node.Event) []node.Event {
		if e, ok := ev.(E); ok {
			return change(sim, n, e)
		}
		return []node.Event{ev}
	}
}

// changeEffect replaces effects of one type before they are executed.
func changeEffect[E node.Effect](change func(*Simulation, *simNode, E) []node.Effect) func(*Simulation, *simNode, node.Effect) []node.Effect {
	return func(sim *Simulation, n *simNode, e node.Effect) []node.Effect {
		if e, ok := e.(E); ok {
			return change(sim, n, e)
		}
		return []node.Effect{e}
	}
}

// retryingPolicy is a policy that sends another attempt of a job that the real policy fails.
type retryingPolicy struct {
	node.Policy
	executors []*executor
}

func (m *retryingPolicy) AttemptEnded(now time.Duration, id policy.JobID, a policy.AttemptID, how policy.Outcome, final bool) policy.Decision {
	d := m.Policy.AttemptEnded(now, id, a, how, final)
	if d.Action != policy.Fail {
		return d
	}
	for _, x := range m.executors {
		if x.Up && !x.Draining && !x.InSlowStart(now) && x.activeDownFaults == 0 {
			return policy.Decision{Action: policy.Send, Executor: x.ID}
		}
	}
	return d
}

func changeAttemptEnd(change func(*node.AttemptEnded)) func(*Simulation, *simNode, node.Event) []node.Event {
	return changeEvent(func(_ *Simulation, _ *simNode, ev node.AttemptEnded) []node.Event {
		change(&ev)
		return []node.Event{ev}
	})
}

var defects = []defect{
	{"the state machine ignores that an executor drains", invariants.DrainRespected, nil, injectedDefects{
		event: changeEvent(func(_ *Simulation, _ *simNode, ev node.EndpointsUpdated) []node.Event {
			for i := range ev.Endpoints {
				if ev.Endpoints[i].State == policy.Draining {
					ev.Endpoints[i].State = policy.Available
				}
			}
			return []node.Event{ev}
		})}},
	{"the state machine forgets excluded executors with the next update of the endpoint list", invariants.DrainRespected, func(s *Scenario) {
		s.Faults = append(s.Faults, Fault{Kind: emulator.Excluded, At: Span(3 * time.Second), For: Span(14 * time.Second), Where: []string{"e9", "e11"}})
	}, injectedDefects{
		event: changeEvent(func(sim *Simulation, n *simNode, e node.EndpointsUpdated) []node.Event {
			for _, id := range slices.Sorted(maps.Keys(n.excluded)) {
				for _, e := range n.stateMachine.Step(sim.now-n.startedAt, node.AdminCalled{Command: node.ReadmitExecutor, Executor: id}) {
					n.execute(e)
				}
			}
			return []node.Event{e}
		})}},
	{"updates of the endpoint list are delivered late", invariants.DrainRespected, func(s *Scenario) { s.Faults = s.Faults[:1]; s.Fleet.WeightInterval = 0 }, injectedDefects{
		event: changeEvent(func(sim *Simulation, n *simNode, ev node.EndpointsUpdated) []node.Event {
			if ev.Kind != policy.IncrementalUpdate {
				return []node.Event{ev}
			}
			n.after(3*time.Second, func() {
				for _, e := range n.stateMachine.Step(sim.now-n.startedAt, ev) {
					n.execute(e)
				}
			})
			return nil
		})}},
	{"the state machine answers twice", invariants.OneAnswer, nil, injectedDefects{
		effect: changeEffect(func(_ *Simulation, _ *simNode, a node.Answer) []node.Effect { return []node.Effect{a, a} })}},
	{"answers are lost within the node", invariants.OneAnswer, nil, injectedDefects{
		effect: changeEffect(func(sim *Simulation, _ *simNode, a node.Answer) []node.Effect {
			if a.Final == node.Succeeded && sim.steps%20 == 0 {
				return nil
			}
			return []node.Effect{a}
		})}},
	{"the frontend doubles the budget of a job", invariants.OneAnswer, func(s *Scenario) { s.Load.Retries = 0; s.Load.Utilization = 1.5 }, injectedDefects{
		event: changeEvent(func(sim *Simulation, _ *simNode, ev node.JobArrived) []node.Event {
			ev.Job.Budget *= 2
			return []node.Event{ev}
		}),
		settings: func(p *policy.Settings) {
			for i := range p.JobClasses {
				p.JobClasses[i].LatencyObjective, p.JobClasses[i].Deadline = 4*p.JobClasses[i].LatencyObjective, 2*p.JobClasses[i].Deadline
				p.JobClasses[i].LateValue = 1
			}
		}}},
	{"an executor's error counts as success", invariants.OneAnswer, nil, injectedDefects{
		event: changeAttemptEnd(func(ev *node.AttemptEnded) {
			if ev.Outcome == policy.ExecutorError {
				ev.Outcome = policy.Succeeded
			}
		})}},
	{"a job that is answered is sent once more", invariants.OneAnswer, nil, injectedDefects{
		effect: changeEffect(func(sim *Simulation, n *simNode, a node.Answer) []node.Effect {
			t := n.requests[a.Job]
			if a.Final == node.Succeeded && t != nil && sim.jobClasses[t.work.Class].Idempotency == policy.Idempotent {
				for _, c := range sortedByID(n.conns) {
					if c.state == connUp && c.attempt == nil && !c.executor.InSlowStart(sim.now) && c.executor.activeDownFaults == 0 {
						return []node.Effect{a, node.WriteAttempt{Conn: c.id, Attempt: node.Attempt{Request: &node.Request{ID: a.Job}}}}
					}
				}
			}
			return []node.Effect{a}
		})}},
	{"a broken connection counts as one that was never opened", invariants.NoEffectTwice, nil, injectedDefects{
		event: changeAttemptEnd(func(ev *node.AttemptEnded) {
			if ev.Outcome == policy.ConnectionLost {
				ev.Outcome = policy.ConnectFailed
			}
		})}},
	{"an executor's error counts as a rejection", invariants.NoEffectTwice, nil, injectedDefects{
		event: changeAttemptEnd(func(ev *node.AttemptEnded) {
			if ev.Outcome == policy.ExecutorError {
				ev.Outcome = policy.ExecutorFull
			}
		})}},
	{"the policy retries a job that it should fail", invariants.NoEffectTwice, nil, injectedDefects{
		policy: func(sim *Simulation, _ *simNode, m node.Policy) node.Policy { return &retryingPolicy{m, sim.executors} }}},
	{"a failed job is answered as rejected", invariants.NoEffectTwice, nil, injectedDefects{
		effect: changeEffect(func(_ *Simulation, _ *simNode, a node.Answer) []node.Effect {
			if a.Final == node.Failed {
				a.Final = node.Rejected
			}
			return []node.Effect{a}
		})}},
	{"an attempt is sent before the outcome of the last one is known", invariants.NoEffectTwice, nil, injectedDefects{
		effect: changeEffect(func(_ *Simulation, n *simNode, e node.CloseConn) []node.Effect {
			c := n.conns[e.Conn]
			if c == nil || c.state != connUp || c.attempt == nil {
				return []node.Effect{e}
			}
			n.after(processingDelay, func() { n.deliver(node.AttemptEnded{Conn: e.Conn, Outcome: policy.ConnectionLost, ConnBroken: true}) })
			n.after(2*processingDelay, func() { n.deliver(node.ConnClosed{Conn: e.Conn}) })
			return nil
		})}},
	{"an at-most-once class counts as idempotent", invariants.NoEffectTwice, nil, injectedDefects{
		settings: func(p *policy.Settings) {
			for i := range p.JobClasses {
				if p.JobClasses[i].Idempotency == policy.AtMostOnce {
					p.JobClasses[i].Idempotency = policy.Idempotent
				}
			}
		}}},
	{"jobs are hedged although that is not allowed", invariants.NoEffectTwice, slowExecutors, injectedDefects{
		settings: func(p *policy.Settings) { p.MayHedge = true }}},
	{"jobs of an at-most-once class are hedged", invariants.NoEffectTwice, func(s *Scenario) { slowExecutors(s); s.Fleet.MayHedge = true }, injectedDefects{
		settings: func(p *policy.Settings) {
			for i := range p.JobClasses {
				if p.JobClasses[i].Idempotency == policy.AtMostOnce {
					p.JobClasses[i].Idempotency = policy.Idempotent
				}
			}
		}}},
	{"a zone's dedup group counts as that of all executors", invariants.NoEffectTwice, withDedupGroup("zone", 5*time.Second), injectedDefects{
		settings: func(p *policy.Settings) {
			for i := range p.JobClasses {
				p.JobClasses[i].DedupGroup = policy.DedupAllExecutors
			}
		}}},
	{"a dedup window counts as longer than it is", invariants.NoEffectTwice, withDedupGroup("all", 300*time.Millisecond), injectedDefects{
		settings: func(p *policy.Settings) {
			for i := range p.JobClasses {
				p.JobClasses[i].DedupWindow = time.Minute
			}
		}}},
	{"executors reject attempts but run them", invariants.NoEffectTwice, nil, injectedDefects{
		executor: func(x *emulator.Executor) { x.SetFaults(0, emulator.ExecutorFaults{FalseRejections: x.Zone == 0}) }}},
	{"executors forget idempotency keys", invariants.NoEffectTwice, withDedupGroup("all", 5*time.Second), injectedDefects{
		attempt: func(a *emulator.Attempt) { a.DedupWindow = 0 }}},
	{"an executor in slow start counts as having its full capacity", invariants.SlowStartBudget, func(s *Scenario) {
		s.Load.Utilization = 1.5
		s.Fleet.SlowStartCapacity, s.Fleet.OverloadMultiple, s.Fleet.QueueLimit = 0.1, 1, 10
	}, injectedDefects{settings: func(p *policy.Settings) {
		p.SlowStartCapacity, p.SlowStartDuration, p.OverloadMultiple = 1, time.Millisecond, 1000
	}}},
	{"the node ignores that clients have disconnected", invariants.ClientPresent, leavingClients, injectedDefects{hideClientLeft: true, hideClientGone: true}},
	{"the node does not check for the client before an attempt's first byte", invariants.ClientPresent, leavingClientsAndSuspendedNodes, injectedDefects{hideClientGone: true}},
	{"the answer to a rejected job is delayed", invariants.PromptAnswer, nil, injectedDefects{
		effect: changeEffect(func(sim *Simulation, n *simNode, a node.Answer) []node.Effect {
			if t := n.requests[a.Job]; a.Final == node.Rejected && t != nil && t.work.Deadline > sim.now+time.Second {
				n.after(300*time.Millisecond, func() { n.execute(a) })
				return nil
			}
			return []node.Effect{a}
		})}},
}

// violationWithoutDefect plays a scenario without a defect and returns the first violation; "" if there is none. It plays each scenario only
// once, as several defects are tested in the same one.
func violationWithoutDefect(s Scenario, seed uint64) string {
	text, err := s.Text()
	if err != nil {
		return err.Error()
	}
	play, _ := violationsWithoutDefect.LoadOrStore(fmt.Sprint(seed, "\n", string(text)), sync.OnceValue(func() string {
		if r := New(s, seed, Options{}).Play(); len(r.Violations) > 0 {
			return r.Violations[0].String()
		}
		return ""
	}))
	return play.(func() string)()
}

var violationsWithoutDefect sync.Map // keyed by seed and scenario

// TestInjectedDefects verifies that each injected defect violates its invariant and no other, and that nothing is violated without it.
func TestInjectedDefects(t *testing.T) {
	t.Parallel()
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			violationsFound := map[invariants.Rule]int{}
			for seed := range uint64(2) {
				if underRace && violationsFound[d.rule] > 0 {
					break
				}
				s := faultyScenario(d.change)
				if _, err := s.check(); err != nil {
					t.Fatal(err)
				}
				if violation := violationWithoutDefect(s, seed); violation != "" {
					t.Fatalf("seed %d violates an invariant without the defect: %s", seed, violation)
				}
				sim := New(s, seed, Options{MaxViolations: 1000})
				sim.defects = d.inject
				for _, b := range sim.Play().Violations {
					if violationsFound[b.Rule]++; b.Rule != d.rule && violationsFound[b.Rule] == 1 {
						t.Errorf("seed %d: another invariant was violated: %v", seed, b)
					}
				}
			}
			t.Logf("detected %d times", violationsFound[d.rule])
			if violationsFound[d.rule] == 0 {
				t.Errorf("the defect was not detected")
			}
		})
	}
}

// TestEveryInvariantHasDefect verifies that each invariant has a defect that violates it.
func TestEveryInvariantHasDefect(t *testing.T) {
	for r := range invariants.ClientPresent + 1 {
		if r < invariants.OneAnswer || r == invariants.GossipBound { // TestInjectedGossipDefects tests the gossip bounds
			continue
		}
		if !slices.ContainsFunc(defects, func(d defect) bool { return d.rule == r }) {
			t.Errorf("no defect violates %q", r)
		}
	}
}
