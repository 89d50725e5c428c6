package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/invariants"
)

const (
	answerTolerance = 16 * time.Millisecond // an answer so long after the deadline still counts as in time
	promptLimit     = time.Millisecond      // what happens within this counts as at once
)

// observe reports an observation of now to the checker and the trace. In a wired world it is buffered until its instant is over.
func (sim *Simulation) observe(s invariants.Event) {
	s.At = sim.now
	if sim.networked == nil {
		sim.report(s)
		return
	}
	sim.networked.buffer(observer(s), s)
}

// observer is the sort key of who saw something: the script first, then nodes, then executors.
func observer(s invariants.Event) string {
	switch {
	case s.Kind == invariants.EffectStarted || s.Kind == invariants.AttemptReached:
		return "x" + string(s.Executor)
	case s.Node != invariants.NoNode:
		return fmt.Sprintf("n%04d", s.Node)
	}
	return ""
}

// report reports an observation to the trace and the checker.
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

// note writes a line of text into the trace.
func (sim *Simulation) note(format string, args ...any) {
	sim.observe(invariants.Event{Kind: invariants.Note, Node: invariants.NoNode, Text: fmt.Sprintf(format, args...)})
}

// advanceChecker lets the checker judge what was due by now.
func (sim *Simulation) advanceChecker() {
	sim.checker.AdvanceTo(sim.now)
	sim.result.Violations = append(sim.result.Violations, sim.checker.Violations()[len(sim.result.Violations):]...)
}
