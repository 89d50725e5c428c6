package hotrestart

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// messagesOfAllKinds returns messages of every kind. In the first, each field is set to a value of its own; the second carries an
// empty state.
func messagesOfAllKinds() []node.HandoffMessage {
	return []node.HandoffMessage{
		{Kind: node.StateTransfer, State: &node.HandoffState{
			Excluded:   []policy.ExecutorID{"executor-1", "executor-2"},
			Readmitted: []node.ReadmittedExecutor{{Executor: "executor-3", Age: 1500 * time.Millisecond}},
			Drained:    true,
			Endpoints: []node.Endpoint{
				{Addr: "127.0.0.1:9001", Endpoint: policy.Endpoint{Executor: "executor-1", Zone: 1, Kind: 2, Cell: 3,
					State: policy.Draining, Weight: 0.75, StartedAt: 2500 * time.Millisecond}},
				{Addr: "127.0.0.1:9002", Endpoint: policy.Endpoint{Executor: "executor-2", State: policy.Removed, Weight: 1.25, StartedLongAgo: true}},
			},
			Learned: policy.LearnedState{
				Nodes: 30,
				Classes: []policy.LearnedClass{{ID: 4, MeanWork: 350 * time.Millisecond, Samples: 12, FullBudget: 5 * time.Second,
					RequestedValue: 17.5, EarnedValue: 16.25, UnitValue: 2.125}},
				Kinds: []policy.LearnedKind{{ID: 5, Pace: 0.625, Size: 3.5, ReportedSlots: 4.25, Concurrency: 6}},
				Executors: []policy.LearnedExecutor{{ID: "executor-1", Quota: 7, RunTime: 8.5, Work: 9.25, StartWait: 10 * time.Millisecond,
					EjectedFor: 11 * time.Millisecond, InFlightCap: 12, Timeouts: 13}},
				MeanValue:   14.5,
				MeanDensity: 15.75,
			},
			ClassNames: []string{"board-read"},
		}},
		{Kind: node.StateTransfer, State: &node.HandoffState{}},
		{Kind: node.SuccessorReady},
		{Kind: node.PredecessorYielded},
		{Kind: node.RelayCommand, Seq: 16, Command: node.ExcludeExecutor, Executor: "executor-1"},
		{Kind: node.RelayCommand, Seq: 17, Command: node.ReadmitExecutor, Executor: "executor-2"},
		{Kind: node.RelayCommand, Seq: 18, Command: node.DrainOn},
		{Kind: node.RelayCommand, Seq: 19, Command: node.DrainOff},
		{Kind: node.RelayDone, Seq: 1 << 60},
	}
}

// TestHandoffLines checks byte for byte what two processes of a node write to each other. Processes of older versions still write
// and read the lines in testdata.
func TestHandoffLines(t *testing.T) {
	var lines []byte
	for _, message := range messagesOfAllKinds() {
		line, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line...)
		got, err := decode(line)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, message) {
			t.Errorf("decode(%s) = %+v, want %+v", line, got, message)
		}
	}
	golden.Compare(t, "handoff.jsonl", string(lines))
}

// TestHandoffLinesOfNewerVersion checks that decode ignores fields that this version does not know.
func TestHandoffLinesOfNewerVersion(t *testing.T) {
	line, err := encode(node.HandoffMessage{Kind: node.RelayDone, Seq: 3})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(bytes.Replace(line, []byte("{"), []byte(`{"Later":{"x":1},`), 1))
	if err != nil || got.Seq != 3 {
		t.Errorf("got %+v, %v", got, err)
	}
}
