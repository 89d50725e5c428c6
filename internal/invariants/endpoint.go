package invariants

import (
	"time"

	"birchstair/policy"
)

// knownEndpoint is what a node has been notified of about an executor.
type knownEndpoint struct {
	state policy.EndpointState
	since time.Duration // when the node was last notified that the executor is available, or first that it is not
	start time.Duration // start of the executor's process
}

// publishedEndpoint is the state of an executor that discovery publishes.
type publishedEndpoint struct {
	state policy.EndpointState
	since time.Duration // when the executor was last published as available, or first as not available
}

func (c *Checker) endpointNotified(event Event) {
	byExecutor := c.knownEndpoints[event.Node]
	if byExecutor == nil {
		byExecutor = map[policy.ExecutorID]knownEndpoint{}
		c.knownEndpoints[event.Node] = byExecutor
	}
	previous, known := byExecutor[event.Executor]
	endpoint := knownEndpoint{event.State, event.At, event.Start}
	if known && previous.state != policy.Available && event.State != policy.Available {
		endpoint.since = previous.since // the node knew already that the executor accepts nothing new
	}
	byExecutor[event.Executor] = endpoint
}

// EndpointPublished records that discovery publishes a state of an executor from the given time on. Whether a node has
// been notified of it is a separate event, EndpointNotified.
func (c *Checker) EndpointPublished(from time.Duration, executor policy.ExecutorID, state policy.EndpointState) {
	previous, known := c.published[executor]
	if known && previous.state != policy.Available && state != policy.Available {
		return // the time counts from the first state that is not Available
	}
	c.published[executor] = publishedEndpoint{state, from}
}

// UnreachableUntil records that a node cannot reach discovery until the given time. NoNode stands for all nodes.
func (c *Checker) UnreachableUntil(node NodeID, until time.Duration) {
	c.reachableSince[node] = max(c.reachableSince[node], until)
}

// SetUnreachable records that from now on a node cannot reach discovery, or that it can again. NoNode stands for all
// nodes.
func (c *Checker) SetUnreachable(now time.Duration, node NodeID, unreachable bool) {
	c.unreachable[node] = unreachable
	c.UnreachableUntil(node, now)
}

// OverdueDrain returns how long ago the time ended within which a node must learn from discovery that an executor
// accepts nothing new. The second result is false if that time has not ended, if discovery publishes the executor as
// available, or if the node cannot reach discovery.
func (c *Checker) OverdueDrain(now time.Duration, node NodeID, executor policy.ExecutorID) (time.Duration, bool) {
	endpoint, known := c.published[executor]
	if !known || endpoint.state == policy.Available || c.unreachable[node] || c.unreachable[NoNode] {
		return 0, false
	}
	late := now - max(endpoint.since, c.reachableSince[node], c.reachableSince[NoNode]) - DrainInForceWithin
	return late, late > 0
}

// checkDrain checks the rules "drain kept" and "informed" when an attempt is sent.
func (c *Checker) checkDrain(event Event, about subject, excused bool) {
	endpoint, known := c.knownEndpoints[event.Node][event.Executor]
	if known && endpoint.state != policy.Available && event.At > endpoint.since+c.settings.DrainGrace {
		c.report(DrainRespected, event.At, about, "%s was sent to %s %v after node %d was told that it drains or is gone",
			event.Job, event.Executor, event.At-endpoint.since, event.Node)
	}
	late, due := c.OverdueDrain(event.At, event.Node, event.Executor)
	if due && !excused {
		c.report(DrainInForce, event.At, about, "%s was sent to %s %v after node %d could have heard for %v that it drains or is gone",
			event.Job, event.Executor, late, event.Node, DrainInForceWithin)
	}
}
