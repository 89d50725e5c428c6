package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/invariants"
)

const (
	slack  = 16 * time.Millisecond // an answer so long after the deadline still counts as in time
	prompt = time.Millisecond      // what happens within this counts as at once
)

// observe reports an observation of now to the checker and the trace. In a wired world it is buffered until its instant is over.
func (w *Simulation) observe(s invariants.Event) {
	s.At = w.now
	if w.wired == nil {
		w.report(s)
		return
	}
	w.wired.buffer(observer(s), s)
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
func (w *Simulation) report(s invariants.Event) {
	if w.traceFunc != nil {
		w.traceFunc(s)
	}
	for _, b := range w.checker.Observe(s) {
		w.result.Violations = append(w.result.Violations, b)
		if w.traceFunc != nil {
			w.traceFunc(invariants.Event{At: w.now, Kind: invariants.Note, Node: invariants.NoNode, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

// note writes a line of text into the trace.
func (w *Simulation) note(format string, args ...any) {
	w.observe(invariants.Event{Kind: invariants.Note, Node: invariants.NoNode, Text: fmt.Sprintf(format, args...)})
}

// advanceChecker lets the checker judge what was due by now.
func (w *Simulation) advanceChecker() {
	w.checker.AdvanceTo(w.now)
	w.result.Violations = append(w.result.Violations, w.checker.Violations()[len(w.result.Violations):]...)
}
