package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/invariants"
)

const (
	// An answer counts as in time up to this long after the deadline.
	answerTolerance = 16 * time.Millisecond
	promptLimit     = time.Millisecond // time within which the node must answer a job after the policy has given it up
)

// observe reports an event at the present time to the checker and the trace. A networked simulation first buffers the
// events of an instant, to sort them.
func (sim *Simulation) observe(s invariants.Event) {
	s.At = sim.now
	if sim.networked == nil {
		sim.report(s)
		return
	}
	sim.networked.buffer(observer(s), s)
}

// observer returns the sort key of the node or executor that observes an event. Events without an observer, such as
// faults, are first, then those of nodes, then those of executors.
func observer(s invariants.Event) string {
	switch {
	case s.Kind == invariants.EffectStarted || s.Kind == invariants.AttemptReached:
		return "x" + string(s.Executor)
	case s.Node != invariants.NoNode:
		return fmt.Sprintf("n%04d", s.Node)
	}
	return ""
}

// report reports an event to the trace and the checker, and adds the violations that the checker finds to the result.
func (sim *Simulation) report(s invariants.Event) {
	if sim.traceFunc != nil {
		sim.traceFunc(s)
	}
	for _, b := range sim.checker.Observe(s) {
		sim.result.Violations = append(sim.result.Violations, b)
		if sim.traceFunc != nil {
			sim.traceFunc(invariants.Event{At: sim.now, Kind: invariants.Note, Node: invariants.NoNode, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

// note writes a line of text to the trace.
func (sim *Simulation) note(format string, args ...any) {
	sim.observe(invariants.Event{Kind: invariants.Note, Node: invariants.NoNode, Text: fmt.Sprintf(format, args...)})
}

// advanceChecker lets the checker run all checks that are due by now, and adds the new violations to the result.
func (sim *Simulation) advanceChecker() {
	sim.checker.AdvanceTo(sim.now)
	sim.result.Violations = append(sim.result.Violations, sim.checker.Violations()[len(sim.result.Violations):]...)
}
