package invariants

import (
	"fmt"
	"strings"
	"time"

	"birchstair/policy"
)

// Violation is a violation of a rule, with the events of the trace that show it.
type Violation struct {
	Rule   Rule          `json:"Rule"` // encoded as its number
	At     time.Duration `json:"At"`
	Text   string        `json:"Text"`  // the time, and what happened
	Events []Event       `json:"Lines"` // the last events about the job or executor, in order
}

// String returns the violation with a line for each of its events.
func (v Violation) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v: %s", v.Rule, v.Text)
	for _, event := range v.Events {
		out.WriteString("\n  " + event.String())
	}
	return out.String()
}

const (
	recentEvents = 1 << 12 // number of events that a checker keeps to explain violations
	shownEvents  = 14      // largest number of events that a violation shows
)

// violationKey identifies a violation. Of the violations with the same key, only the first is reported.
type violationKey struct {
	rule    Rule
	node    NodeID
	subject string // the work, or the executor if the violation is not about a work
}

// subject is what a violation is about. Fields that do not apply are empty.
type subject struct {
	job      jobKey
	work     WorkID
	executor policy.ExecutorID
}

func (s subject) name() string {
	if s.work != "" {
		return string(s.work)
	}
	return string(s.executor)
}

// concerns reports whether an event helps to explain a violation about s.
func (s subject) concerns(event Event) bool {
	if s.job.id != "" && (event.Job == s.job.id || s.work != "" && event.Work == s.work) {
		return true
	}
	if s.executor == "" || event.Executor != s.executor {
		return false
	}
	switch event.Kind {
	case EndpointNotified:
		return event.Node == s.job.node
	case ExecutorStarted, ExecutorCrashed:
		return true
	case AttemptReached:
		return s.job.id == ""
	}
	return false
}

// GossipBoundExceeded reports that the gossip of a node exceeds a bound, once for each node and format.
func (c *Checker) GossipBoundExceeded(at time.Duration, node NodeID, format string, args ...any) {
	c.report(GossipBound, at, subject{job: jobKey{node, ""}, work: WorkID(format)}, format, args...)
}

// report records a violation, once for each rule, node and subject.
func (c *Checker) report(rule Rule, at time.Duration, about subject, format string, args ...any) {
	key := violationKey{rule, about.job.node, about.name()}
	if c.reported[key] {
		return
	}
	c.reported[key] = true
	violation := Violation{Rule: rule, At: at, Text: fmt.Sprintf("%.6fs: ", at.Seconds()) + fmt.Sprintf(format, args...)}
	for i := range c.recent {
		event := c.recent[(c.recentNext+i)%len(c.recent)]
		if about.concerns(event) {
			violation.Events = append(violation.Events, event)
		}
	}
	if n := len(violation.Events); n > shownEvents {
		violation.Events = violation.Events[n-shownEvents:]
	}
	c.violations = append(c.violations, violation)
}
