package invariants

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"birchstair/policy"
)

// WorkID identifies the work that a client wants done, over all its requests. An effect belongs to it.
type WorkID string

// NodeID identifies a node.
type NodeID int

// NoNode is the node of an event that belongs to no node.
const NoNode NodeID = -1

// EventKind is the kind of an event.
type EventKind int

// The kinds of events, in the order of their names in traces.
const (
	Note             EventKind = iota // a remark, which no rule uses
	NodeStarted                       // the node has started, with no state
	NodeKilled                        // the node was killed: its jobs, attempts and connections are gone
	EndpointNotified                  // the node was notified of the state of an executor, and of the start of its process
	JobAccepted                       // the node has accepted a batch job, with its work, class and deadline
	JobGivenUp                        // the policy of the node has given up on the job
	ClientKnownLeft                   // the node has learned that the client of the job left
	AttemptFirstByte                  // the node has sent the first byte of an attempt to an executor, in its zone and cell
	AttemptLastByte                   // the node has sent the last byte of an attempt to an executor
	AttemptEnded                      // the node has learned that an attempt ended, and whether this proves that it never ran
	JobAnswered                       // the node has given the job its final answer
	ExecutorStarted                   // an executor has started and is in slow start; a Start of 0 stands for the time of the event
	AttemptReached                    // an attempt has reached an executor, with its cost and the executor's present capacity
	EffectStarted                     // an executor has begun the effect of a work, for a job of the node
	ExecutorCrashed                   // an executor has crashed from overload
	NodePaused                        // the process of the node is paused: no time limit applies to the jobs that it has
	NodeResumed                       // the process of the node has resumed
	ClientLeft                        // the connection of the job's client has ended, whether the node has learned of it or not
)

var eventKindNames = [...]string{"note", "node started", "node killed", "told", "taken", "given up", "left", "first byte",
	"last byte", "over", "answered", "started", "reached", "ran", "fell", "stood still", "went on", "client went"}

// String returns the name of the kind, as traces have it.
func (k EventKind) String() string { return eventKindNames[k] }

// MarshalText returns the name of the kind. It implements encoding.TextMarshaler.
func (k EventKind) MarshalText() ([]byte, error) { return []byte(eventKindNames[k]), nil }

// UnmarshalText reads the name of a kind, and fails for one that is not known. It implements encoding.TextUnmarshaler.
func (k *EventKind) UnmarshalText(text []byte) error {
	for i, name := range eventKindNames {
		if name == string(text) {
			*k = EventKind(i)
			return nil
		}
	}
	return fmt.Errorf("unknown kind of event %q", text)
}

// Final is the kind of a final answer. Traces store it as its number, so the order of the
// constants must not change.
type Final int

// The kinds of final answers, in the order of their numbers in traces.
const (
	Succeeded Final = iota
	Rejected        // the job did not run, or may safely run again
	Failed          // the job may have run
)

var finalNames = [...]string{"handled", "pushed back", "broken off"}

// String returns the name of the kind, for people to read.
func (f Final) String() string { return finalNames[f] }

// Event is an event in a run. Which fields it uses depends on its kind. Times count from the start of the run.
type Event struct {
	At       time.Duration        `json:"at"`
	Kind     EventKind            `json:"what"`
	Node     NodeID               `json:"node"`
	Job      policy.JobID         `json:"job,omitempty"`
	Work     WorkID               `json:"work,omitempty"`
	Class    policy.JobClassID    `json:"track,omitempty"`
	Attempt  policy.AttemptID     `json:"allocation,omitempty"`
	Executor policy.ExecutorID    `json:"executor,omitempty"`
	Zone     policy.ZoneID        `json:"zone,omitempty"`
	Cell     policy.CellID        `json:"cell,omitempty"`
	State    policy.EndpointState `json:"state,omitempty"`
	Start    time.Duration        `json:"start,omitempty"`    // start of the executor's process
	Deadline time.Duration        `json:"limit,omitempty"`    // deadline of the job
	NeverRan bool                 `json:"proof,omitempty"`    // the end of the attempt proves that it never ran
	Final    Final                `json:"final,omitempty"`    // kind of the final answer
	Cost     float64              `json:"cost,omitempty"`     // work of the attempt, in seconds on a standard core
	Capacity float64              `json:"capacity,omitempty"` // work that the executor can do in a second, in seconds on a standard core
	Text     string               `json:"text,omitempty"`
}

// Line returns the event as a line of a trace: JSON, without a newline.
func (e Event) Line() ([]byte, error) { return json.Marshal(e) }

// Parse parses a line of a trace into the event.
func (e *Event) Parse(line []byte) error { return json.Unmarshal(line, e) }

// String returns the event in a form for people to read.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%12.6fs ", e.At.Seconds())
	if e.Node != NoNode {
		fmt.Fprintf(&b, "n%d ", e.Node)
	} else {
		b.WriteString("-  ")
	}
	b.WriteString(e.Kind.String())
	if e.Kind == JobAnswered {
		b.WriteString(": " + e.Final.String())
	}
	if e.Job != "" {
		fmt.Fprintf(&b, " %s", e.Job)
	}
	switch e.Kind {
	case AttemptFirstByte, AttemptLastByte, AttemptEnded:
		fmt.Fprintf(&b, " allocation %d", e.Attempt)
	case EffectStarted:
		fmt.Fprintf(&b, " work %s", e.Work)
	case JobAccepted:
		fmt.Fprintf(&b, " of track %d, due by %.6fs", e.Class, e.Deadline.Seconds())
	}
	if e.Executor != "" {
		fmt.Fprintf(&b, " %s", e.Executor)
	}
	switch e.Kind {
	case EndpointNotified:
		fmt.Fprintf(&b, " is %s, started at %.3fs", [...]string{"up", "draining", "gone"}[e.State], e.Start.Seconds())
	case AttemptEnded:
		b.WriteString(map[bool]string{true: ", never ran", false: ", may have run"}[e.NeverRan])
	case AttemptReached:
		fmt.Fprintf(&b, " with %.3fs of work, capacity %.2f", e.Cost, e.Capacity)
	}
	if e.Text != "" {
		b.WriteString(" " + e.Text)
	}
	return b.String()
}
