package invariants

import (
	"maps"
	"time"

	"birchstair/policy"
)

// Checker checks a sequence of events against the rules. It is not safe for concurrent use.
type Checker struct {
	settings Settings

	jobs         map[jobKey]*job
	clientLeftAt map[jobKey]time.Duration // when the client's connection ended
	effects      map[WorkID][]effectRun
	paused       map[NodeID]bool // nodes whose processes are paused

	knownEndpoints map[NodeID]map[policy.ExecutorID]knownEndpoint
	published      map[policy.ExecutorID]publishedEndpoint
	reachableSince map[NodeID]time.Duration // since when a node can reach discovery; NoNode stands for all nodes
	unreachable    map[NodeID]bool          // nodes that cannot reach discovery until further notice; NoNode stands for all nodes
	executors      map[policy.ExecutorID]*startedExecutor

	deadlines     deadlineHeap
	deadlineOrder int

	recent     []Event // ring buffer of the last events
	recentNext int     // index in recent that the next event overwrites
	violations []Violation
	reported   map[violationKey]bool

	lateReruns      int
	leftWhileQueued int
	lateAttempts    int
	slowStartPeak   float64
}

// New returns a checker without events.
func New(settings Settings) *Checker {
	return &Checker{
		settings:       settings,
		jobs:           map[jobKey]*job{},
		clientLeftAt:   map[jobKey]time.Duration{},
		effects:        map[WorkID][]effectRun{},
		paused:         map[NodeID]bool{},
		knownEndpoints: map[NodeID]map[policy.ExecutorID]knownEndpoint{},
		published:      map[policy.ExecutorID]publishedEndpoint{},
		reachableSince: map[NodeID]time.Duration{},
		unreachable:    map[NodeID]bool{},
		executors:      map[policy.ExecutorID]*startedExecutor{},
		reported:       map[violationKey]bool{},
	}
}

// Violations returns the violations so far, in the order in which they were found. The caller must not change them.
func (c *Checker) Violations() []Violation { return c.violations }

// LateReruns returns how often an idempotent batch job with a key ran again because its attempt reached the executor
// after the dedup window.
func (c *Checker) LateReruns() int { return c.lateReruns }

// ClientsLeftWhileQueued returns how many clients left while their batch jobs waited without an attempt in flight.
func (c *Checker) ClientsLeftWhileQueued() int { return c.leftWhileQueued }

// LateAttempts returns how many attempts began too long after their clients had left, including those that are no
// violation yet.
func (c *Checker) LateAttempts() int { return c.lateAttempts }

// SlowStartPeak returns the most work that reached an executor in slow start within the window, as a multiple of its
// budget. It counts only windows in which at least two thirds of the work came from nodes that had been notified of the
// start.
func (c *Checker) SlowStartPeak() float64 { return c.slowStartPeak }

// Observe processes an event, and returns the violations that the event and the time that passed before it revealed.
// Events must come in the order of their times.
func (c *Checker) Observe(event Event) []Violation {
	before := len(c.violations)
	c.AdvanceTo(event.At)
	c.remember(event)
	key := jobKey{event.Node, event.Job}
	switch event.Kind {
	case NodeStarted, NodeKilled:
		c.nodeReset(event)
	case NodePaused, NodeResumed:
		c.nodePaused(event)
	case EndpointNotified:
		c.endpointNotified(event)
	case JobAccepted:
		c.jobAccepted(key, event)
	case JobGivenUp:
		c.jobGivenUp(key, event)
	case ClientLeft:
		c.clientLeft(key, event)
	case ClientKnownLeft:
		c.clientKnownLeft(key)
	case AttemptFirstByte:
		c.attemptSent(key, event)
	case AttemptEnded:
		c.attemptEnded(key, event)
	case JobAnswered:
		c.jobAnswered(key, event)
	case ExecutorStarted:
		c.executorStarted(event)
	case AttemptReached:
		c.attemptReached(key, event)
	case EffectStarted:
		c.effectStarted(key, event)
	}
	return c.violations[before:]
}

// remember keeps an event for later reports of violations, in place of the oldest one.
func (c *Checker) remember(event Event) {
	if len(c.recent) < recentEvents {
		c.recent = append(c.recent, event)
		return
	}
	c.recent[c.recentNext] = event
	c.recentNext = (c.recentNext + 1) % recentEvents
}

// nodeReset drops the state of a node that has started or was killed.
func (c *Checker) nodeReset(event Event) {
	c.UnreachableUntil(event.Node, event.At)
	delete(c.paused, event.Node)
	delete(c.knownEndpoints, event.Node)
	maps.DeleteFunc(c.jobs, func(key jobKey, _ *job) bool { return key.node == event.Node })
	maps.DeleteFunc(c.clientLeftAt, func(key jobKey, _ time.Duration) bool { return key.node == event.Node })
}

// nodePaused records that a node's process is paused or has resumed. From then on, no time limit applies to the jobs
// that the node has at that time.
func (c *Checker) nodePaused(event Event) {
	c.paused[event.Node] = event.Kind == NodePaused
	c.UnreachableUntil(event.Node, event.At)
	for key, j := range c.jobs {
		j.excused = j.excused || key.node == event.Node
	}
}
