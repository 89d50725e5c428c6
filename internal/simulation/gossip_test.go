package simulation

import (
	"testing"
	"time"
)

// TestGossipUnderOverload compares nodes with gossip to nodes without. Under overload they must earn more with fewer attempts and violate no
// invariant, also if messages are lost, a node sends false ones and another is suspended. Below capacity gossip must change almost nothing.
func TestGossipUnderOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name             string
		nodes            int
		utilization      float64
		minGain          float64 // smallest difference of the earned fraction to that without gossip
		maxAttemptsRatio float64 // largest number of attempts, relative to that without gossip
		change           func(*Scenario)
	}{
		{"twice the capacity", 3, 2, 0.03, 0.8, nil},
		{"four times the capacity", 12, 4, 0, 0.5, nil},
		{"one and a half times the capacity", 6, 1.5, 0.03, 0.8, nil},
		{"below capacity", 6, 0.8, -0.01, 1.05, nil},
		{"messages lost, duplicated and delayed", 6, 2, 0.03, 0.8, func(s *Scenario) {
			s.Fleet.MessageLoss, s.Fleet.MessageDuplication, s.Fleet.MessageDelay = 0.3, 0.2, Span(500*time.Millisecond)
		}},
		{"a node sends false messages and another is suspended", 6, 2, 0, 0.9, func(s *Scenario) {
			s.Faults = []Fault{{Kind: "node-lies", At: Span(2 * time.Second), For: Span(20 * time.Second), Where: []string{"n1"}},
				{Kind: "node-stopped", At: Span(8 * time.Second), For: Span(5 * time.Second), Where: []string{"n2"}}}
		}},
	} {
		if underRace && c.nodes > 3 {
			continue // the run without the race detector checks the larger cases
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := Base()
			s.Name, s.Length = c.name, Span(25*time.Second)
			s.Fleet.Nodes, s.Fleet.Executors = c.nodes, 36
			s.Load.Utilization, s.Load.Retries, s.Load.RetryWait = c.utilization, 3, Span(50*time.Millisecond)
			if c.change != nil {
				c.change(&s)
			}
			alone := New(s, 7, Options{}).Play()
			s.Fleet.Gossip = true
			withGossip := New(s, 7, Options{}).Play()
			for _, b := range append(alone.Violations, withGossip.Violations...) {
				t.Error(b)
			}
			if withGossip.Earned < alone.Earned+c.minGain {
				t.Errorf("with gossip %.3f earned, without %.3f, want a difference of at least %.3f", withGossip.Earned, alone.Earned, c.minGain)
			}
			if float64(withGossip.Attempts) > c.maxAttemptsRatio*float64(alone.Attempts) {
				t.Errorf("with gossip %d attempts, without %d, want at most %.2f times as many", withGossip.Attempts, alone.Attempts, c.maxAttemptsRatio)
			}
		})
	}
}
