package simulation

import (
	"testing"
	"time"

	"birchstair/internal/invariants"
)

// TestSlowStartScenarios plays drawn scenarios of 20 or 30 nodes whose executors restart under bursts. No invariant may be violated.
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

// TestSlowStartWithRestartedNodes kills and restarts all of 30 nodes several times within an overload window, while executors are in slow
// start under a burst. What a node's earlier processes sent must count against its slow-start budget.
func TestSlowStartWithRestartedNodes(t *testing.T) {
	s := Base()
	seconds := func(at float64) Span { return Span(at * 1e9) }
	s.Name, s.Length, s.Load.Utilization, s.Load.HintNoise, s.Load.DeadNodeTime = "cold-nodes-start-again", seconds(4), 0.7, 0, seconds(0.001)
	f := &s.Fleet
	f.Zones, f.Nodes, f.Executors, f.QueueLimit, f.SpeedSpread, f.DiscoveryLag = []string{"east"}, 30, 10, 10, 0, seconds(0.1)
	s.Classes = []JobClass{{Name: "short", Share: 1, Idempotency: "repeatable", Work: seconds(0.2), WorkSpread: 0.3, LatencyObjective: seconds(0.2), RunTimeFactor: 2, Deadline: seconds(3), Value: 1}}
	s.Faults = []Fault{{Kind: "crash", At: seconds(1), For: seconds(0.5), Where: []string{"e0", "e1", "e2", "e3", "e4"}},
		{Kind: "burst", At: seconds(1), For: seconds(3), Size: 2.5}}
	for _, at := range []float64{1.9, 2.4, 2.9, 3.4} {
		s.Faults = append(s.Faults, Fault{Kind: "node-killed", At: seconds(at), For: seconds(0.02)})
	}
	arrivedInSlowStart := 0
	r := New(s, 1, Options{Trace: func(x invariants.Event) {
		if x.Kind == invariants.AttemptReached {
			arrivedInSlowStart++
		}
	}}).Play()
	if arrivedInSlowStart < 50 {
		t.Errorf("only %d attempts arrived at executors in slow start, want at least 50 for a conclusive test", arrivedInSlowStart)
	}
	checkSound(t, r)
}

// TestSlowStartWithOneSlot plays a scenario with short jobs and executors of one slot. The notice of a job's start can arrive before the end
// of the previous job, so that an executor seems to run two jobs at a time.
func TestSlowStartWithOneSlot(t *testing.T) {
	const seed = 44
	checkSound(t, New(Draw(seed, Size{Nodes: 4, Executors: 20, Length: 8 * time.Second, SlowStart: true}), seed, Options{}).Play())
}
