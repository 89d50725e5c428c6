package simulation

import (
	"testing"
	"time"

	"birchstair/internal/invariants"
)

// Drawn worlds of 20 and 30 nodes whose executors restart under bursts: no invariant is violated.
func TestSlowStartScenarios(t *testing.T) {
	Hunt(1, 3, Size{Nodes: 4, Executors: 12, Length: 4 * time.Second, SlowStart: true}, 0, func(s Scenario, r Result) bool {
		if at, err := s.check(); err != nil {
			t.Errorf("seed %d: %s: %v", r.Seed, at, err)
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", r.Seed, b)
		}
		return true
	})
}

// All of 30 nodes are killed and restarted several times within an overload window, while executors are cold under a burst: what their
// earlier processes sent counts against their budgets.
func TestSlowStartWithRestartedNodes(t *testing.T) {
	s := Base()
	second := func(at float64) Span { return Span(at * 1e9) }
	s.Name, s.Length, s.Load.Utilization, s.Load.HintNoise, s.Load.DeadNodeTime = "cold-nodes-start-again", second(4), 0.7, 0, second(0.001)
	f := &s.Fleet
	f.Zones, f.Nodes, f.Executors, f.QueueLimit, f.SpeedSpread, f.DiscoveryLag = []string{"east"}, 30, 10, 10, 0, second(0.1)
	s.Classes = []JobClass{{Name: "short", Share: 1, Idempotency: "repeatable", Work: second(0.2), WorkSpread: 0.3, LatencyObjective: second(0.2), RunTimeFactor: 2, Deadline: second(3), Value: 1}}
	s.Faults = []Fault{{Kind: "crash", At: second(1), For: second(0.5), Where: []string{"e0", "e1", "e2", "e3", "e4"}},
		{Kind: "burst", At: second(1), For: second(3), Size: 2.5}}
	for _, at := range []float64{1.9, 2.4, 2.9, 3.4} {
		s.Faults = append(s.Faults, Fault{Kind: "node-killed", At: second(at), For: second(0.02)})
	}
	cold := 0
	r := New(s, 1, Options{Trace: func(x invariants.Event) {
		if x.Kind == invariants.AttemptReached {
			cold++
		}
	}}).Play()
	if cold < 50 {
		t.Errorf("only %d batch jobs reached cold executors: this test shows nothing", cold)
	}
	checkSound(t, r)
}

// Executors with one slot and short jobs: a notice of a start that overtakes the end before it makes them look as if they had two.
func TestSlowStartWithOneSlot(t *testing.T) {
	const seed = 44
	checkSound(t, New(Draw(seed, Size{Nodes: 4, Executors: 20, Length: 8 * time.Second, SlowStart: true}), seed, Options{}).Play())
}
