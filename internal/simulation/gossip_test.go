package simulation

import (
	"testing"
	"time"
)

// Under overload nodes with gossip earn more with fewer attempts and violate no invariant, also if messages are lost, a node sends corrupt
// ones and one is suspended. Below capacity gossip changes nothing.
func TestGossipUnderOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		nodes int
		of    float64
		more  float64 // earned over each alone, at the least
		part  float64 // of its allocations, at the most
		with  func(*Scenario)
	}{
		{"twice", 3, 2, 0.03, 0.8, nil},
		{"four times", 12, 4, 0, 0.5, nil},
		{"one and a half", 6, 1.5, 0.03, 0.8, nil},
		{"under", 6, 0.8, -0.01, 1.05, nil},
		{"words lost", 6, 2, 0.03, 0.8, func(s *Scenario) {
			s.Fleet.MessageLoss, s.Fleet.MessageDuplication, s.Fleet.MessageDelay = 0.3, 0.2, Span(500*time.Millisecond)
		}},
		{"a liar and one that stands still", 6, 2, 0, 0.9, func(s *Scenario) {
			s.Faults = []Fault{{Kind: "node-lies", At: Span(2 * time.Second), For: Span(20 * time.Second), Where: []string{"n1"}},
				{Kind: "node-stopped", At: Span(8 * time.Second), For: Span(5 * time.Second), Where: []string{"n2"}}}
		}},
	} {
		if underRace && c.nodes > 3 {
			continue // what is earned is the same without the detector, and is looked at there
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := Base()
			s.Name, s.Length = c.name, Span(25*time.Second)
			s.Fleet.Nodes, s.Fleet.Executors = c.nodes, 36
			s.Load.Utilization, s.Load.Retries, s.Load.RetryWait = c.of, 3, Span(50*time.Millisecond)
			if c.with != nil {
				c.with(&s)
			}
			alone := New(s, 7, Options{}).Play()
			s.Fleet.Gossip = true
			talking := New(s, 7, Options{}).Play()
			for _, b := range append(alone.Violations, talking.Violations...) {
				t.Error(b)
			}
			if talking.Earned < alone.Earned+c.more {
				t.Errorf("talking earned %.3f, each alone %.3f", talking.Earned, alone.Earned)
			}
			if float64(talking.Attempts) > c.part*float64(alone.Attempts) {
				t.Errorf("talking took %d allocations, each alone %d", talking.Attempts, alone.Attempts)
			}
		})
	}
}
