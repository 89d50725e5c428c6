package simulation

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/lab/scenarios"
	"birchstair/policy"
)

func playWithAccount(s Scenario, seed uint64, p Policy) (Result, *Account) {
	r := New(s, seed, Options{Policy: p, Account: true}).Play()
	return r, r.Account
}

func loadScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, err := LoadFrom(scenarios.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkSums fails if the values of a row don't sum to the offered value, or the rows of a table to the row of all work items.
func checkSums(t *testing.T, r Result, a *Account) {
	t.Helper()
	checkEqual := func(what string, x, y float64) {
		t.Helper()
		if math.Abs(x-y) > 1e-9*(1+math.Abs(x)) {
			t.Errorf("%s, seed %d, %s: %s: %v and %v differ", a.Scenario, a.Seed, a.Policy, what, x, y)
		}
	}
	checkRow := func(r AccountRow) {
		t.Helper()
		sum := r.Earned
		for _, lost := range r.Lost {
			if lost < 0 {
				t.Errorf("%s: negative lost value %v", r.Name, lost)
			}
			sum += lost
		}
		checkEqual(r.Name+": offered value, and the sum of earned and lost values", r.Offered, sum)
	}
	checkRow(a.All)
	for name, rows := range map[string][]AccountRow{"tracks": a.Classes, "traffic": a.Traffic, "slices": a.Subsets} {
		sum := AccountRow{}
		for _, r := range rows {
			checkRow(r)
			sum.Works += r.Works
			sum.EarnedLess += r.EarnedLess
			sum.Offered += r.Offered
			sum.Earned += r.Earned
		}
		checkEqual(name+": offered", a.All.Offered, sum.Offered)
		checkEqual(name+": earned", a.All.Earned, sum.Earned)
		if sum.Works != a.All.Works || sum.EarnedLess != a.All.EarnedLess {
			t.Errorf("%s, seed %d, %s: rows have %d of %d work items, %d of %d that earned less", name, a.Seed, a.Policy, sum.Works, a.All.Works, sum.EarnedLess, a.All.EarnedLess)
		}
	}
	if a.All.Works != r.Works() {
		t.Errorf("%s, seed %d, %s: the account has %d work items, the result %d", a.Scenario, a.Seed, a.Policy, a.All.Works, r.Works())
	}
	checkEqual("earned fraction in the result and the account", r.Earned, ratio(a.All.Earned, a.All.Offered))
	for i, track := range a.Classes {
		checkEqual("earned fraction of "+track.Name+" in the result and the account", r.Classes[i].Earned, ratio(track.Earned, track.Offered))
	}
}

// TestAccountSumsMatch verifies that the offered value is the sum of the earned and the lost value, with all kinds of faults and all policies.
func TestAccountSumsMatch(t *testing.T) {
	t.Parallel()
	seeds, drawnSeeds := uint64(2), uint64(30)
	if underRace {
		seeds, drawnSeeds = 1, 10
	}
	for _, name := range []string{"long-tasks", "calm", "overload", "errors-and-cut", "nodes-restarted", "answers-lost", "mute-third", "copies-of-silent"} {
		for seed := uint64(1); seed <= seeds; seed++ {
			for _, p := range Policies {
				s := loadScenario(t, name)
				s = shortened(s, 800)
				r, a := playWithAccount(s, seed, p)
				checkSums(t, r, a)
			}
		}
	}
	// A simulation that ends at the first violation, with jobs in flight.
	sim := New(faultyScenario(nil), 1, Options{Account: true, MaxViolations: 1})
	sim.defects.executor = func(x *emulator.Executor) { x.SetFaults(0, emulator.ExecutorFaults{FalseRejections: true}) }
	r := sim.Play()
	if len(r.Violations) == 0 || sim.worksInFlight == 0 {
		t.Errorf("%d violations, %d work items in flight, want both above 0 for a conclusive test", len(r.Violations), sim.worksInFlight)
	}
	checkSums(t, r, r.Account)
	// Drawn scenarios with all kinds of faults.
	for seed := uint64(1); seed <= drawnSeeds; seed++ {
		s := Draw(seed, Size{Nodes: 4, Executors: 8, Length: 6 * time.Second})
		r, a := playWithAccount(s, seed, ModulePolicy)
		checkSums(t, r, a)
	}
}

// TestAccountChangesNothing verifies that keeping an account does not change the trace.
func TestAccountChangesNothing(t *testing.T) {
	t.Parallel()
	s, _ := loadScenario(t, "errors-and-cut").Sized(0, 0, 20*time.Second)
	traces := map[bool][]invariants.Event{}
	for _, withAccount := range []bool{false, true} {
		New(s, 3, Options{Account: withAccount, Trace: func(x invariants.Event) { traces[withAccount] = append(traces[withAccount], x) }}).Play()
	}
	if !slices.Equal(traces[false], traces[true]) {
		t.Errorf("traces differ: %d events without an account, %d with one", len(traces[false]), len(traces[true]))
	}
}

// policyWithoutEndpoints is a policy that receives no endpoints.
type policyWithoutEndpoints struct{ node.Policy }

func (policyWithoutEndpoints) UpdateEndpoints(time.Duration, policy.EndpointUpdateKind, []policy.Endpoint) {
}

// TestAccountAttributesLossToCause plays scenarios that lose value almost only by one known cause.
func TestAccountAttributesLossToCause(t *testing.T) {
	t.Parallel()
	setDefaults := func(s *Scenario) { // two nodes and four executors in one zone, jobs of 100 ms with a latency objective of 100 ms beyond their run time
		s.Fleet.Zones, s.Fleet.Nodes, s.Fleet.Executors, s.Fleet.SpeedSpread, s.Fleet.ValuePerWork = []string{"here"}, 2, 4, 0, false
		s.Fleet.WeightInterval, s.Fleet.MaxRetryAfter = 0, 0
		s.Load = Load{Utilization: 0.05, HintNoise: 0, DeadNodeTime: Span(2 * time.Second)}
		s.Classes = []JobClass{{Name: "plain", Share: 1, Idempotency: "once-only", Work: Span(100 * time.Millisecond), LatencyObjective: Span(100 * time.Millisecond),
			RunTimeFactor: 1, Deadline: Span(5 * time.Second), Value: 1, LateValue: 0.5}}
		s.Length = Span(20 * time.Second)
	}
	faultOnAll := func(kind emulator.FaultKind, size float64) []Fault {
		return []Fault{{Kind: kind, At: Span(time.Millisecond), For: Span(20 * time.Second), Where: []string{"here"}, Size: size}}
	}
	for _, c := range []struct {
		name   string
		change func(*Scenario)
		policy Policy
		defect func(*Simulation, *simNode, node.Policy) node.Policy
		causes []Cause
	}{
		{"all executors are slow", func(s *Scenario) { s.Fleet.Speed = 0.3 }, RandomPolicy, nil, []Cause{RunningSlow}},
		{"all executors are slowed down by a fault", func(s *Scenario) { s.Faults = faultOnAll(emulator.SlowExecutors, 5) }, RandomPolicy, nil, []Cause{RunningSlow}},
		{"attempts take longer than the job's work", func(s *Scenario) { s.Fleet.AttemptNoise = 1.5 }, RandomPolicy, nil, []Cause{RunningFast}},
		{"the only executor has a long queue", func(s *Scenario) {
			s.Fleet.Executors, s.Fleet.QueueLimit, s.Load.Utilization = 1, 10000, 1.5
		}, RandomPolicy, nil, []Cause{InQueue}},
		{"the only executor is full, and nodes queue jobs", func(s *Scenario) {
			s.Fleet.Executors, s.Load.Utilization = 1, 1.3
		}, BestPolicy, nil, []Cause{QueuedAtNode, SentTooLate, NeverSent}},
		{"a node knows of no executor", nil, ModulePolicy, func(_ *Simulation, n *simNode, m node.Policy) node.Policy {
			if n.id == 0 {
				return policyWithoutEndpoints{m}
			}
			return m
		}, []Cause{NeverSent}},
		{"executors reject jobs", func(s *Scenario) {
			s.Fleet.QueueLimit, s.Fleet.Slots, s.Fleet.Cores, s.Load.Utilization = 0, 1, 1, 20
		}, RandomPolicy, nil, []Cause{RejectedByExecutor}},
		{"executors fail", func(s *Scenario) { s.Faults = faultOnAll(emulator.Errors, 1) }, RandomPolicy, nil, []Cause{Failed}},
		{"the network is slow", func(s *Scenario) { s.Fleet.Near, s.Fleet.DialTimeout = Span(30*time.Millisecond), Span(time.Second) }, RandomPolicy, nil, []Cause{InTransit}},
		{"clients leave", func(s *Scenario) {
			s.Fleet.Speed, s.Fleet.QueueLimit, s.Load.LeaveRate, s.Load.Utilization = 0.01, 1000, 1, 5
		}, RandomPolicy, nil, []Cause{ClientLeft}},
		{"all nodes are down", func(s *Scenario) {
			s.Faults = []Fault{{Kind: emulator.NodeKilled, At: Span(5 * time.Second), For: Span(10 * time.Second), Where: []string{"n0", "n1"}}}
		}, RandomPolicy, nil, []Cause{NodeLost}},
	} {
		s := Base()
		setDefaults(&s)
		if c.change != nil {
			c.change(&s)
		}
		s.Name = c.name
		if at, err := s.check(); err != nil {
			t.Fatal(c.name, at, err)
		}
		sim := New(s, 5, Options{Policy: c.policy, Account: true})
		sim.defects.policy = c.defect
		r := sim.Play()
		checkSums(t, r, r.Account)
		lost, lostToCauses := r.Account.All.Offered-r.Account.All.Earned, 0.0
		for _, cause := range c.causes {
			lostToCauses += r.Account.All.Lost[cause.String()]
		}
		t.Logf("%s: %.3f of the lost value of %.3f has the causes %v", c.name, lostToCauses, lost, c.causes)
		if lost == 0 || lostToCauses < 0.9*lost {
			t.Errorf("%s: %v of the lost value of %v has the causes %v, want 0.9 of it; all causes: %v", c.name, lostToCauses, lost, c.causes, r.Account.All.Lost)
		}
	}
}

// TestAccountTimesByCause verifies the time of each cause for a work item with several simultaneous attempts.
func TestAccountTimesByCause(t *testing.T) {
	t.Parallel()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	h := &jobHistory{work: &emulator.Work{ArrivedAt: 0, Cost: 0.05}, requests: []*requestHistory{
		{submittedAt: ms(0), arrivedAt: ms(1), answeredAt: ms(100), doneAt: ms(101), end: emulator.EndRejected},
		{submittedAt: ms(111), arrivedAt: ms(112), answeredAt: ms(400), doneAt: ms(401), end: emulator.EndSucceeded},
	}, attempts: []*attemptHistory{
		{dialedAt: unsetTime, sentAt: ms(20), arrivedAt: ms(22), startedAt: unsetTime, endedAt: ms(22), endedAtNode: ms(24), outcome: policy.ExecutorFull},
		{dialedAt: ms(114), connUpAt: ms(118), sentAt: ms(120), arrivedAt: ms(125), startedAt: ms(165), endedAt: unsetTime, endedAtNode: ms(400), onSlowCore: true},
		{dialedAt: unsetTime, sentAt: ms(200), arrivedAt: ms(205), startedAt: ms(305), endedAt: ms(395), endedAtNode: ms(400), outcome: policy.Succeeded},
	}}
	got := h.times(ms(401))
	want := [causeCount]time.Duration{RejectedByExecutor: ms(4), Connecting: ms(4), BetweenRequests: ms(10), InTransit: ms(1 + 1 + 1 + 5 + 1), QueuedAtNode: ms(19 + 76 + 4),
		InQueue: ms(40), RunningSlow: ms(400 - 165 - 90), RunningFast: ms(90)}
	// While both attempts run, the first in the list determines the cause. Only the sum is checked.
	if sum := got[RunningSlow] + got[RunningFast]; sum != ms(400-165) {
		t.Errorf("running time %v, want %v", sum, ms(400-165))
	}
	got[RunningSlow], got[RunningFast], want[RunningSlow], want[RunningFast] = 0, 0, 0, 0
	if got != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestBaselines verifies that BestPolicy earns at least as much as the other policies, and that with long jobs ModulePolicy earns more than
// RandomPolicy.
func TestBaselines(t *testing.T) {
	t.Parallel()
	seeds := uint64(8)
	if underRace {
		seeds = 2
	}
	for _, name := range []string{"calm", "long-tasks"} {
		s := loadScenario(t, name)
		atLeast := map[Policy]int{}
		totalEarned := map[Policy]float64{}
		for seed := uint64(1); seed <= seeds; seed++ {
			earned := map[Policy]float64{}
			offered := map[Policy]string{}
			for _, p := range Policies {
				r, a := playWithAccount(s, seed, p)
				checkSound(t, r)
				earned[p] = r.Earned
				totalEarned[p] += r.Earned
				offered[p] = fmt.Sprint(a.All.Works, " work items of the value ", math.Round(a.All.Offered*1e6))
			}
			for _, p := range []Policy{ModulePolicy, RandomPolicy} {
				if earned[BestPolicy] >= earned[p] {
					atLeast[p]++
				}
				if offered[p] != offered[BestPolicy] {
					t.Errorf("%s, seed %d: policy %s was offered %s, BestPolicy %s", name, seed, p, offered[p], offered[BestPolicy])
				}
			}
		}
		t.Logf("%s: BestPolicy earned at least as much as ModulePolicy in %d and as RandomPolicy in %d of %d seeds; sums %v", name, atLeast[ModulePolicy], atLeast[RandomPolicy], seeds, totalEarned)
		if least := totalEarned[RandomPolicy] + 0.02*float64(seeds); name == "long-tasks" && totalEarned[ModulePolicy] < least { // guards against the loss that docs/incidents/blind-moves.md describes
			t.Errorf("%s: ModulePolicy earned %.3f with %d seeds, want %.3f: 0.02 per seed more than RandomPolicy", name, totalEarned[ModulePolicy], seeds, least)
		}
		if atLeast[ModulePolicy] < int(seeds) || atLeast[RandomPolicy] < int(seeds) {
			t.Errorf("%s: BestPolicy earned at least as much as ModulePolicy in only %d and as RandomPolicy in only %d of %d seeds", name, atLeast[ModulePolicy], atLeast[RandomPolicy], seeds)
		}
	}
}
