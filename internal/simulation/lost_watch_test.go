package simulation

import (
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
)

// drainingScenario returns a scenario in which executors drain for a long time.
func drainingScenario() Scenario {
	return faultyScenario(func(s *Scenario) {
		s.Length = Span(20 * time.Second)
		s.Faults = []Fault{{Kind: emulator.Drain, At: Span(4 * time.Second), For: Span(30 * time.Second), Where: []string{"e0", "e1", "e5"}}}
	})
}

// TestLostWatchIsDetected injects the defect that a node loses its watch of the endpoint list although the network works. It must violate
// the invariant that drains take effect in time, and no other. Without the defect none is violated, networked or not.
func TestLostWatchIsDetected(t *testing.T) {
	s := drainingScenario()
	if _, err := s.check(); err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(2) {
		if r := New(s, seed, Options{}).Play(); len(r.Violations) > 0 {
			t.Errorf("seed %d violates an invariant without the defect: %v", seed, r.Violations[0])
		}
		synctesting.Test(t, func(t *testing.T) {
			if r := New(s, seed, Options{}).PlayNetworked(); len(r.Violations) > 0 {
				t.Errorf("seed %d, networked, violates an invariant without the defect: %v", seed, r.Violations[0])
			}
		})
		violationsFound := 0
		sim := New(s, seed, Options{MaxViolations: 1000})
		sim.defects.event = changeEvent(func(_ *Simulation, n *simNode, ev node.JobArrived) []node.Event {
			n.watchLost = true // without a fault that the checker knows of
			return []node.Event{ev}
		})
		for _, b := range sim.Play().Violations {
			if violationsFound++; b.Rule != invariants.DrainInForce {
				t.Errorf("seed %d: another invariant was violated: %v", seed, b)
			}
		}
		if t.Logf("seed %d: detected %d times", seed, violationsFound); violationsFound == 0 {
			t.Errorf("seed %d: the defect was not detected", seed)
		}
	}
}
