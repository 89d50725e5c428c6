package invariants

import (
	"testing"
	"time"

	"birchstair/policy"
)

// TestDrainInForce checks the rule "informed" at its bounds: discovery publishes a drain at 1 s, and the node is not
// notified of it.
func TestDrainInForce(t *testing.T) {
	for _, c := range []struct {
		name     string
		before   func(*Checker)
		sentAt   time.Duration
		violated bool
	}{
		{"in time", nil, 7000 * ms, false},
		{"late", nil, 7001 * ms, true},
		{"available again", func(c *Checker) { c.EndpointPublished(3000*ms, "a", policy.Available) }, 9000 * ms, false},
		{"a removal after the drain: the time counts from the drain", func(c *Checker) { c.EndpointPublished(3000*ms, "a", policy.Removed) }, 7001 * ms, true},
		{"its zone was partitioned", func(c *Checker) { c.UnreachableUntil(0, 2000*ms) }, 8000 * ms, false},
		{"its zone was partitioned, late", func(c *Checker) { c.UnreachableUntil(0, 2000*ms) }, 8001 * ms, true},
		{"discovery was down", func(c *Checker) { c.SetUnreachable(1500*ms, NoNode, true); c.SetUnreachable(2000*ms, NoNode, false) }, 8000 * ms, false},
		{"discovery was down, late", func(c *Checker) { c.SetUnreachable(1500*ms, NoNode, true); c.SetUnreachable(2000*ms, NoNode, false) }, 8001 * ms, true},
		{"discovery is down", func(c *Checker) { c.SetUnreachable(1500*ms, NoNode, true) }, 9000 * ms, false},
		{"another node is partitioned", func(c *Checker) { c.SetUnreachable(1500*ms, 1, true) }, 7001 * ms, true},
		{"its process has just started", func(c *Checker) { c.Observe(eventAt(2000*ms, NodeStarted, nil)) }, 8000 * ms, false},
		{"it was paused", func(c *Checker) {
			c.Observe(eventAt(1500*ms, NodePaused, nil))
			c.Observe(eventAt(2000*ms, NodeResumed, nil))
		}, 8000 * ms, false},
		{"it was paused, late", func(c *Checker) {
			c.Observe(eventAt(1500*ms, NodePaused, nil))
			c.Observe(eventAt(2000*ms, NodeResumed, nil))
		}, 8001 * ms, true},
	} {
		checker := New(testSettings)
		checker.EndpointPublished(1000*ms, "a", policy.Draining)
		if c.before != nil {
			c.before(checker)
		}
		checker.Observe(eventAt(c.sentAt-1, JobAccepted, func(s *Event) { s.Deadline = 20000 * ms }))
		checker.Observe(sentAt(c.sentAt, 0, "a", 0))
		violations := checker.Violations()
		if got := len(violations) == 1 && violations[0].Rule == DrainInForce; got != c.violated || len(violations) > 1 {
			t.Errorf("%s: violations %v", c.name, violations)
		}
	}
}
