package simulation

import (
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
)

// drainingScenario is a scenario in which executors drain for long.
func drainingScenario() Scenario {
	return faultyScenario(func(s *Scenario) {
		s.Length = Span(20 * time.Second)
		s.Faults = []Fault{{Kind: emulator.Drain, At: Span(4 * time.Second), For: Span(30 * time.Second), Where: []string{"e0", "e1", "e5"}}}
	})
}

// A node that loses its watch though nothing is wrong with the network violates the invariant that a drain binds in time, and no other.
// Without the defect none is violated, in event worlds and wired ones.
func TestLostWatchIsDetected(t *testing.T) {
	s := drainingScenario()
	if _, err := s.check(); err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(2) {
		if r := New(s, seed, Options{}).Play(); len(r.Violations) > 0 {
			t.Errorf("seed %d breaks a rule with nothing planted: %v", seed, r.Violations[0])
		}
		synctesting.Test(t, func(t *testing.T) {
			if r := New(s, seed, Options{}).PlayNetworked(); len(r.Violations) > 0 {
				t.Errorf("seed %d, wired, breaks a rule with nothing planted: %v", seed, r.Violations[0])
			}
		})
		caught := 0
		sim := New(s, seed, Options{MaxViolations: 1000})
		sim.defects.event = changeEvent(func(_ *Simulation, n *simNode, ev node.JobArrived) []node.Event {
			n.watchLost = true // and nobody says so
			return []node.Event{ev}
		})
		for _, b := range sim.Play().Violations {
			if caught++; b.Rule != invariants.DrainInForce {
				t.Errorf("seed %d: another rule broke: %v", seed, b)
			}
		}
		if t.Logf("seed %d: caught %d times", seed, caught); caught == 0 {
			t.Errorf("seed %d: not caught", seed)
		}
	}
}
