package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/node"
	"birchstair/policy"
)

// connState is the state of a connection at the node's end.
type connState int

const (
	connDialing connState = iota
	connUp
	connClosed
)

// executorConn is a modeled connection between a node and an executor.
type executorConn struct {
	id       node.ConnID     // ID of the connection at the node
	key      emulator.ConnID // ID of the connection at the executor
	node     *simNode
	executor *executor // nil if no executor has the dialed address
	state    connState
	accepted bool // the executor has accepted the connection
	uses     int
	attempt  *connAttempt // nil while the connection is idle

	unresponsive     bool // nothing that the executor sends arrives at the node
	resetsAtFirstUse bool

	dialedAt, upAt time.Duration

	// Arrival time of the last message in each direction. Later messages arrive after that time, because a connection
	// keeps their order.
	nextToExecutor time.Duration
	nextToNode     time.Duration
}

// toExecutor sends a message to the executor. It runs the function when the message arrives, unless the executor's
// process has ended by then.
func (c *executorConn) toExecutor(run func()) {
	sim, x := c.node.sim, c.executor
	c.nextToExecutor = max(c.nextToExecutor+1, sim.arrivalTime(c.node.zone, x.Zone))
	started := x.Started
	sim.at(c.nextToExecutor, func() {
		if !x.unreachable && x.Up && x.Started == started {
			run()
		}
	})
}

// toNode sends a message to the node. It runs the function when the message arrives, unless the node's end of the
// connection is closed by then.
func (c *executorConn) toNode(run func()) {
	if c.unresponsive {
		return
	}
	sim, n := c.node.sim, c.node
	c.nextToNode = max(c.nextToNode+1, sim.arrivalTime(c.executor.Zone, n.zone))
	incarnation := n.incarnation
	sim.at(c.nextToNode, func() {
		if n.up && n.incarnation == incarnation && c.state != connClosed {
			run()
		}
	})
}

// deliverAfter delivers an event to the node after a delay.
func (c *executorConn) deliverAfter(delay time.Duration, event node.Event) {
	c.node.after(delay, func() { c.deliver(event) })
}

// deliver delivers an event of the connection to the node, and records the end of an attempt or of the connection.
func (c *executorConn) deliver(event node.Event) {
	n := c.node
	switch event := event.(type) {
	case node.AttemptEnded:
		n.sim.account.recordEnded(c.attempt.history, event.Outcome)
		n.recordAttemptEnd(c.attempt, event.Outcome.NeverRan())
		c.attempt = nil
	case node.ConnClosed:
		delete(n.conns, c.id)
	}
	n.deliver(event)
}

// closeConn closes a connection at the node's end.
func (n *simNode) closeConn(id node.ConnID) {
	conn := n.conns[id]
	if conn == nil || conn.state == connClosed {
		return
	}
	if conn.state == connDialing {
		conn.state = connClosed
		conn.closeAtExecutor()
		conn.deliverAfter(processingDelay, node.ConnClosed{Conn: id, Detail: noConnection + "given up"})
		return
	}
	conn.closeAtExecutor()
	if conn.attempt != nil {
		conn.attempt.history.canceled = true
	}
	conn.breakConn("closed here")
}

// breakConn ends a connection at the node's end. It notifies the node of the end of the attempt after processingDelay,
// and of the closed connection half a processingDelay later.
func (c *executorConn) breakConn(reason string) {
	if c.state == connClosed {
		return
	}
	detail := ""
	if c.state == connDialing {
		detail = noConnection + reason
	}
	c.state = connClosed
	if attempt := c.attempt; attempt != nil && !attempt.ended {
		attempt.ended = true
		event := node.AttemptEnded{Conn: c.id, Outcome: policy.ConnectionLost, ConnBroken: true, Detail: reason}
		if !attempt.written {
			event.Outcome = policy.ConnectFailed
		}
		c.deliverAfter(processingDelay, event)
	}
	c.deliverAfter(processingDelay+processingDelay/2, node.ConnClosed{Conn: c.id, Detail: detail})
}

// closeAtExecutor ends a connection at the executor's end. Messages already on their way to the executor arrive first.
func (c *executorConn) closeAtExecutor() {
	if c.executor != nil && c.accepted {
		c.toExecutor(c.dropAtExecutor)
	}
}

// dropAtExecutor notifies the executor that a connection has ended.
func (c *executorConn) dropAtExecutor() {
	if c.executor.conns[c.key] == c {
		delete(c.executor.conns, c.key)
		c.executor.apply(c.executor.ConnClosed(c.node.sim.now, c.key))
	}
}

// resetByExecutor lets the executor reset the connection.
func (c *executorConn) resetByExecutor() {
	delete(c.executor.conns, c.key)
	c.toNode(func() { c.breakConn("reset by the executor") })
}

// hasIdleConn returns whether the node has an idle connection to the executor.
func (n *simNode) hasIdleConn(x *executor) bool {
	for _, conn := range n.conns {
		if conn.executor == x && conn.state == connUp && conn.attempt == nil {
			return true
		}
	}
	return false
}

func sortedByID(conns map[node.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(conns), func(a, b *executorConn) int { return cmp.Compare(a.id, b.id) })
}

func sortedByKey(conns map[emulator.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(conns), func(a, b *executorConn) int { return cmp.Compare(a.key, b.key) })
}
