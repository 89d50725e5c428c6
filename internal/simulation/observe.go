package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/invariants"
)

// slack is how long after an outer limit an answer still counts, and prompt what counts as at once.
const (
	slack  = 16 * time.Millisecond
	prompt = time.Millisecond
)

// observe hands on what is seen, to the rules and to the trace.
func (w *World) observe(s invariants.Seen) {
	s.At = w.now
	if w.wired == nil {
		w.report(s)
		return
	}
	by := "" // the script and what hangs on it come first
	switch {
	case s.What == invariants.Ran || s.What == invariants.Reached:
		by = "x" + string(s.Executor)
	case s.Node != invariants.Nobody:
		by = fmt.Sprintf("n%04d", s.Node)
	}
	w.wired.buffer(by, s)
}

// report hands a thing seen to the rules and to the trace.
func (w *World) report(s invariants.Seen) {
	if w.traceFunc != nil {
		w.traceFunc(s)
	}
	for _, b := range w.checker.See(s) {
		w.result.Broken = append(w.result.Broken, b)
		if w.traceFunc != nil {
			w.traceFunc(invariants.Seen{At: w.now, What: invariants.Note, Node: invariants.Nobody, Text: "BROKEN: " + b.Rule.String() + ": " + b.Text})
		}
	}
}

func (w *World) note(format string, args ...any) {
	w.observe(invariants.Seen{What: invariants.Note, Node: invariants.Nobody, Text: fmt.Sprintf(format, args...)})
}

// advanceChecker lets the checker see what was due by now.
func (w *World) advanceChecker() {
	w.checker.Pass(w.now)
	w.result.Broken = append(w.result.Broken, w.checker.Broken()[len(w.result.Broken):]...)
}
