package harness

import (
	"testing"
	"time"

	"birchstair/internal/simulation"
)

// TestSlowStartBudgetObserved checks that work sent to an executor in slow start counts against the executor's
// slow-start budget. The checker counts it only if most of it comes from nodes that have been notified of the
// executor's start.
func TestSlowStartBudgetObserved(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "fleet-cold-starts")
	s.Fleet.Nodes, s.Length, s.Faults = 4, simulation.Span(1500*time.Millisecond), s.Faults[:1]
	s.Faults[0].At, s.Faults[0].For = simulation.Span(100*time.Millisecond), simulation.Span(200*time.Millisecond)
	if r := playScenario(t, s, 1); r.SlowStartPeak == 0 {
		t.Error("no work at an executor in slow start was counted as sent by nodes that were notified of its start")
	} else {
		t.Logf("largest fraction of the budget used: %.2f", r.SlowStartPeak)
	}
}
