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
func (w *World) observe(s invariants.Seen) {
	s.At = w.now
	if w.wired == nil {
		w.report(s)
		return
	}
	w.wired.buffer(observer(s), s)
}

// observer is the sort key of who saw something: the script first, then nodes, then executors.
func observer(s invariants.Seen) string {
	switch {
	case s.What == invariants.Ran || s.What == invariants.Reached:
		return "x" + string(s.Executor)
	case s.Node != invariants.Nobody:
		return fmt.Sprintf("n%04d", s.Node)
	}
	return ""
}

// report reports an observation to the trace and the checker.
func (w *World) report(s invariants.Seen) {
	if w.traceFunc != nil {
		w.traceFunc(s)
	}
	for _, b := range w.checker.See(s) {
		w.result.Violations = append(w.result.Violations, b)
		if w.traceFunc != nil {
			w.traceFunc(invariants.Seen{At: w.now, What: invariants.Note, Node: invariants.Nobody, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

// note writes a line of text into the trace.
func (w *World) note(format string, args ...any) {
	w.observe(invariants.Seen{What: invariants.Note, Node: invariants.Nobody, Text: fmt.Sprintf(format, args...)})
}

// advanceChecker lets the checker judge what was due by now.
func (w *World) advanceChecker() {
	w.checker.Pass(w.now)
	w.result.Violations = append(w.result.Violations, w.checker.Broken()[len(w.result.Violations):]...)
}
