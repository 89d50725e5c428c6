// Package invariants checks the four rules, and that a batch job given up on is answered at once, from what was seen. It is
// told each thing as it happens and says at once which rule broke. It knows nothing of who tells it: the lab's worlds,
// stand-ins on sockets and kept traces do.
package invariants

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"birchstair/policy"
)

// WorkID names what a client wants done, over all its tries; an effect belongs to it.
type WorkID string

// NodeID names a node.
type NodeID int

// Nobody stands for what no node did.
const Nobody NodeID = -1

// What is the kind of thing that was seen.
type What int

// The kinds of things that are seen, in the order of their names in traces.
const (
	Note        What = iota // nothing that a rule is about: Text says it
	NodeStarted             // Node is up and knows nothing
	NodeKilled              // Node is gone, with all it had in hand
	Told                    // Node has been told that Executor is in State, started at Start
	Taken                   // Node has taken Job of Work and Track; its answer is due by Limit
	GaveUp                  // the module of Node has given up on Job
	Left                    // Node has been told that the client of Job is gone
	FirstByte               // Node has begun to send Allocation of Job to Executor, in Zone and Cell
	LastByte                // and its last byte has left
	Over                    // Node has been told that Allocation of Job is over; Proof: it provably never ran
	Answered                // Node has given Job its Final answer
	Started                 // Executor has started, cold; at Start, where that is not when it was seen
	Reached                 // an allocation of Node has reached Executor: Cost against the Capacity it has now
	Ran                     // Executor has begun on Work, for Job of Node
	Fell                    // Executor has fallen over
	StoodStill              // Node's process stands still, and owes what it has in hand no more by its time
	WentOn                  // and goes on
	Went                    // the connection of Job's client at Node has ended, whether Node knows or not
)

var eventKindNames = [...]string{"note", "node started", "node killed", "told", "taken", "given up", "left", "first byte",
	"last byte", "over", "answered", "started", "reached", "ran", "fell", "stood still", "went on", "client went"}

func (w What) String() string { return eventKindNames[w] }

// MarshalText writes a kind by its name, for traces.
func (w What) MarshalText() ([]byte, error) { return []byte(eventKindNames[w]), nil }

// UnmarshalText reads a name; one that is not known is an error.
func (w *What) UnmarshalText(text []byte) error {
	for i, name := range eventKindNames {
		if name == string(text) {
			*w = What(i)
			return nil
		}
	}
	return fmt.Errorf("%q is nothing that can be seen", text)
}

// Final is the kind of a final answer.
type Final int

// The kinds of final answers, in the order of their names in traces.
const (
	Handled    Final = iota // served
	PushedBack              // rejected: nothing of it ran
	BrokenOff               // failed: it may have run
)

var finalNames = [...]string{"handled", "pushed back", "broken off"}

func (f Final) String() string { return finalNames[f] }

// Seen is one thing that was seen. Which of the other fields count hangs on What. Times are spans since the start.
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
	Cost       float64              `json:"cost,omitempty"`     // seconds of work on a standard core
	Capacity   float64              `json:"capacity,omitempty"` // such seconds a second
	Text       string               `json:"text,omitempty"`
}

// Line is a thing seen as a line of a trace: JSON, without its end.
func (s Seen) Line() ([]byte, error) { return json.Marshal(s) }

// Read reads a line of a trace.
func (s *Seen) Read(line []byte) error { return json.Unmarshal(line, s) }

// String is a thing seen as people read it.
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
