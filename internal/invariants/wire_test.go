package invariants

import (
	"encoding/json"
	"strings"
	"testing"

	"birchstair/internal/golden"
	"birchstair/policy"
)

// TestWireForm pins the lines of a recorded trace: every kind of event, every kind of final answer, and every field set and left out.
func TestWireForm(t *testing.T) {
	var events []Seen
	for kind := range eventKindNames {
		events = append(events, Seen{What: What(kind), Node: Nobody})
	}
	for final := range finalNames {
		events = append(events, Seen{What: Answered, Final: Final(final)})
	}
	for _, state := range []policy.EndpointState{policy.Available, policy.Draining, policy.Removed} {
		events = append(events, Seen{What: Told, State: state})
	}
	events = append(events, Seen{At: 5 * ms, What: Over, Node: 3, Job: "j", Work: "w", Track: 1, Allocation: 2, Executor: "e",
		Zone: 1, Cell: 4, State: policy.Removed, Start: -3, Limit: 7, Proof: true, Final: BrokenOff, Cost: 0.5, Capacity: 2, Text: "x"})
	var out strings.Builder
	for _, event := range events {
		line, err := event.Line()
		if err != nil {
			t.Fatal(err)
		}
		out.Write(line)
		out.WriteString("\n")
		var back Seen
		if err := back.Read(line); err != nil || back != event {
			t.Errorf("%s came back as %+v, %v", line, back, err)
		}
	}
	golden.Compare(t, "wire.jsonl", out.String())
}

// TestText pins an event as people read it, and the keys of the rules.
func TestText(t *testing.T) {
	var out strings.Builder
	for kind := range eventKindNames {
		event := Seen{At: 5 * ms, What: What(kind), Node: 3, Job: "j", Work: "w", Track: 1, Allocation: 2, Executor: "e",
			State: policy.Draining, Start: 3 * ms, Limit: 7 * ms, Proof: true, Final: PushedBack, Cost: 0.5, Capacity: 2, Text: "x"}
		out.WriteString(event.String() + "\n")
		event.Node, event.Proof, event.Text, event.State = Nobody, false, "", policy.Removed
		out.WriteString(event.String() + "\n")
	}
	for rule := OneAnswer; rule <= Informed; rule++ {
		out.WriteString(rule.String() + "\n")
	}
	golden.Compare(t, "text.txt", out.String())
}

// TestViolationWireForm pins a violation in the JSON results of a simulation.
func TestViolationWireForm(t *testing.T) {
	var out strings.Builder
	for _, violation := range []Broken{{}, {Rule: DrainKept, At: 5 * ms, Text: "x", Lines: []Seen{{What: Told, State: policy.Removed}}}} {
		text, err := json.Marshal(violation)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(text, '\n'))
	}
	golden.Compare(t, "violations.jsonl", out.String())
}
