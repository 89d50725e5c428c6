package invariants

import (
	"encoding/json"
	"strings"
	"testing"

	"birchstair/internal/golden"
	"birchstair/policy"
)

// TestWireForm pins the lines of a recorded trace: every kind of event, every kind of final answer, and every field set
// and left out.
func TestWireForm(t *testing.T) {
	var events []Event
	for kind := range eventKindNames {
		events = append(events, Event{Kind: EventKind(kind), Node: NoNode})
	}
	for final := range finalNames {
		events = append(events, Event{Kind: JobAnswered, Final: Final(final)})
	}
	for _, state := range []policy.EndpointState{policy.Available, policy.Draining, policy.Removed} {
		events = append(events, Event{Kind: EndpointNotified, State: state})
	}
	events = append(events, Event{At: 5 * ms, Kind: AttemptEnded, Node: 3, Job: "j", Work: "w", Class: 1, Attempt: 2, Executor: "e",
		Zone: 1, Cell: 4, State: policy.Removed, Start: -3, Deadline: 7, NeverRan: true, Final: Failed, Cost: 0.5, Capacity: 2, Text: "x"})
	var out strings.Builder
	for _, event := range events {
		line, err := event.Line()
		if err != nil {
			t.Fatal(err)
		}
		out.Write(line)
		out.WriteString("\n")
		var back Event
		if err := back.Parse(line); err != nil || back != event {
			t.Errorf("%s came back as %+v, %v", line, back, err)
		}
	}
	golden.Compare(t, "wire.jsonl", out.String())
}

// TestText pins an event as people read it, and the keys of the rules.
func TestText(t *testing.T) {
	var out strings.Builder
	for kind := range eventKindNames {
		event := Event{At: 5 * ms, Kind: EventKind(kind), Node: 3, Job: "j", Work: "w", Class: 1, Attempt: 2, Executor: "e",
			State: policy.Draining, Start: 3 * ms, Deadline: 7 * ms, NeverRan: true, Final: Rejected, Cost: 0.5, Capacity: 2, Text: "x"}
		out.WriteString(event.String() + "\n")
		event.Node, event.NeverRan, event.Text, event.State = NoNode, false, "", policy.Removed
		out.WriteString(event.String() + "\n")
	}
	for rule := OneAnswer; rule <= DrainInForce; rule++ {
		out.WriteString(rule.String() + "\n")
	}
	golden.Compare(t, "text.txt", out.String())
}

// TestViolationWireForm pins a violation in the JSON results of a simulation.
func TestViolationWireForm(t *testing.T) {
	var out strings.Builder
	for _, violation := range []Violation{{}, {Rule: DrainRespected, At: 5 * ms, Text: "x", Events: []Event{{Kind: EndpointNotified, State: policy.Removed}}}} {
		text, err := json.Marshal(violation)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(text, '\n'))
	}
	golden.Compare(t, "violations.jsonl", out.String())
}
