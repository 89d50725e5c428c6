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

// Nobody is the node of an event that belongs to no node.
const Nobody NodeID = -1

// What is the kind of an event.
type What int

// The kinds of events, in the order of their names in traces.
const (
	Note        What = iota // a remark in Text that no rule is about
	NodeStarted             // Node has started, with no state
	NodeKilled              // Node has been killed, with everything it had open
	Told                    // Node has been notified that Executor, whose process started at Start, is in State
	Taken                   // Node has accepted Job of Work and class Track, with its deadline at Limit
	GaveUp                  // the policy of Node has given up on Job
	Left                    // Node has learned that the client of Job left
	FirstByte               // Node has sent the first byte of Allocation of Job to Executor, in Zone and Cell
	LastByte                // Node has sent the last byte of that attempt
	Over                    // Node has learned that Allocation of Job ended; Proof is set if it provably never ran
	Answered                // Node has given Job its Final answer
	Started                 // Executor has started and warms up; Start is when, if not at the time of the event
	Reached                 // an attempt of Node has reached Executor: Cost against its present Capacity
	Ran                     // Executor has begun the effect of Work, for Job of Node
	Fell                    // Executor has crashed from overload
	StoodStill              // the process of Node is paused: no time limit applies to what it has open
	WentOn                  // the process of Node has resumed
	Went                    // the connection of Job's client to Node has ended, whether Node has learned of it or not
)

var eventKindNames = [...]string{"note", "node started", "node killed", "told", "taken", "given up", "left", "first byte",
	"last byte", "over", "answered", "started", "reached", "ran", "fell", "stood still", "went on", "client went"}

// String returns the name of the kind, as traces have it.
func (w What) String() string { return eventKindNames[w] }

// MarshalText returns the name of the kind. It implements encoding.TextMarshaler.
func (w What) MarshalText() ([]byte, error) { return []byte(eventKindNames[w]), nil }

// UnmarshalText reads the name of a kind, and fails for one that is not known. It implements encoding.TextUnmarshaler.
func (w *What) UnmarshalText(text []byte) error {
	for i, name := range eventKindNames {
		if name == string(text) {
			*w = What(i)
			return nil
		}
	}
	return fmt.Errorf("%q is nothing that can be seen", text)
}

// Final is the kind of a final answer. Traces have its number.
type Final int

// The kinds of final answers, in the order of their numbers in traces.
const (
	Handled    Final = iota // succeeded
	PushedBack              // rejected: nothing of it ran
	BrokenOff               // failed: it may have run
)

var finalNames = [...]string{"handled", "pushed back", "broken off"}

// String returns the name of the kind, as people read it.
func (f Final) String() string { return finalNames[f] }

// Seen is an event. Which fields it uses depends on its kind, What. Times count from the start of the run.
type Seen struct {
	At         time.Duration        `json:"at"`
	What       What                 `json:"what"`
	Node       NodeID               `json:"node"`
	Job        policy.JobID         `json:"job,omitempty"`
	Work       WorkID               `json:"work,omitempty"`
	Track      policy.JobClassID    `json:"track,omitempty"`
	Allocation policy.AttemptID     `json:"allocation,omitempty"`
	Executor   policy.ExecutorID    `json:"executor,omitempty"`
	Zone       policy.ZoneID        `json:"zone,omitempty"`
	Cell       policy.CellID        `json:"cell,omitempty"`
	State      policy.EndpointState `json:"state,omitempty"`
	Start      time.Duration        `json:"start,omitempty"`
	Limit      time.Duration        `json:"limit,omitempty"`
	Proof      bool                 `json:"proof,omitempty"`
	Final      Final                `json:"final,omitempty"`
	Cost       float64              `json:"cost,omitempty"`     // in seconds of work on a standard core
	Capacity   float64              `json:"capacity,omitempty"` // in such seconds per second
	Text       string               `json:"text,omitempty"`
}

// Line returns the event as a line of a trace: JSON, without a newline.
func (s Seen) Line() ([]byte, error) { return json.Marshal(s) }

// Read parses a line of a trace into the event.
func (s *Seen) Read(line []byte) error { return json.Unmarshal(line, s) }

// String returns the event as people read it.
func (s Seen) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%12.6fs ", s.At.Seconds())
	if s.Node != Nobody {
		fmt.Fprintf(&b, "n%d ", s.Node)
	} else {
		b.WriteString("-  ")
	}
	b.WriteString(s.What.String())
	if s.What == Answered {
		b.WriteString(": " + s.Final.String())
	}
	if s.Job != "" {
		fmt.Fprintf(&b, " %s", s.Job)
	}
	switch s.What {
	case FirstByte, LastByte, Over:
		fmt.Fprintf(&b, " allocation %d", s.Allocation)
	case Ran:
		fmt.Fprintf(&b, " work %s", s.Work)
	case Taken:
		fmt.Fprintf(&b, " of track %d, due by %.6fs", s.Track, s.Limit.Seconds())
	}
	if s.Executor != "" {
		fmt.Fprintf(&b, " %s", s.Executor)
	}
	switch s.What {
	case Told:
		fmt.Fprintf(&b, " is %s, started at %.3fs", [...]string{"up", "draining", "gone"}[s.State], s.Start.Seconds())
	case Over:
		b.WriteString(map[bool]string{true: ", never ran", false: ", may have run"}[s.Proof])
	case Reached:
		fmt.Fprintf(&b, " with %.3fs of work, capacity %.2f", s.Cost, s.Capacity)
	}
	if s.Text != "" {
		b.WriteString(" " + s.Text)
	}
	return b.String()
}
