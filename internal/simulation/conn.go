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

// connState is a connection's state at the node's end.
type connState int

const (
	connDialing connState = iota
	connUp
	connClosed
)

// executorConn is a connection between a node and an executor.
type executorConn struct {
	id               node.ConnID
	key              emulator.ConnID
	node             *simNode
	executor         *executor
	state            connState
	accepted         bool // the executor has it
	silent           bool // nothing comes back on it
	resetsAtFirstUse bool // it breaks at its first use
	uses             int

	dialedAt, upAt time.Duration // when its dial began, and was over

	attempt        *connAttempt
	nextToExecutor time.Duration // when what was sent last arrives, each way
	nextToNode     time.Duration
}

// toExecutor brings something to the executor's end, in order.
func (c *executorConn) toExecutor(what func()) {
	c.nextToExecutor = max(c.nextToExecutor+1, c.node.world.arrivalTime(c.node.zone, c.executor.Zone))
	born := c.executor.Started
	c.node.world.at(c.nextToExecutor, func() {
		if !c.executor.unreachable && c.executor.Up && c.executor.Started == born {
			what()
		}
	})
}

// toNode brings something to the node's end, in order, unless it is closed there by then.
func (c *executorConn) toNode(what func()) {
	if c.silent {
		return
	}
	c.nextToNode = max(c.nextToNode+1, c.node.world.arrivalTime(c.executor.Zone, c.node.zone))
	run := c.node.incarnation
	c.node.world.at(c.nextToNode, func() {
		if c.node.up && c.node.incarnation == run && c.state != connClosed {
			what()
		}
	})
}

// deliverAfter tells the node in a moment, in order.
func (c *executorConn) deliverAfter(after time.Duration, ev node.Event) {
	c.node.after(after, func() { c.deliver(ev) })
}

// deliver books the end of an allocation with the rules, and tells the node.
func (c *executorConn) deliver(ev node.Event) {
	switch ev := ev.(type) {
	case node.AttemptEnded:
		c.node.world.account.recordEnded(c.attempt.history, ev.Outcome)
		c.node.recordAttemptEnd(c.attempt, ev.Outcome.NeverRan())
		c.attempt = nil
	case node.ConnClosed:
		delete(c.node.conns, c.id)
	}
	c.node.deliver(ev)
}

func (n *simNode) dial(e node.Dial) {
	w := n.world
	w.lastConnID++
	c := &executorConn{id: e.Conn, key: w.lastConnID, node: n, executor: w.byAddr[e.Addr], dialedAt: w.now}
	n.conns[c.id] = c
	w.result.Dials++
	limit := time.Duration(w.scenario.Fleet.DialLimit)
	fail := func(after time.Duration, why string) {
		n.after(after, func() {
			if c.state == connDialing {
				c.state = connClosed
				w.result.NoConnection++
				c.deliver(node.ConnClosed{Conn: c.id, Detail: "no connection: " + why})
			}
		})
	}
	fail(limit, "no answer in time")
	if c.executor == nil {
		fail(2*time.Duration(w.scenario.Fleet.Near), "nobody there")
		return
	}
	c.silent = w.networkRand.Float64() < w.newConnSilentRate
	c.resetsAtFirstUse = w.networkRand.Float64() < w.newConnResetRate
	silent := c.silent
	c.silent = false // it comes up all the same
	at := w.arrivalTime(n.zone, c.executor.Zone)
	w.at(at, func() {
		if c.executor.unreachable || n.conns[c.id] != c || !n.up {
			return
		}
		if !c.executor.Up {
			c.toNode(func() {
				if c.state == connDialing {
					c.state = connClosed
					w.result.NoConnection++
					c.deliver(node.ConnClosed{Conn: c.id, Detail: "no connection: refused"})
				}
			})
			return
		}
		ok, outs := c.executor.Open(w.now, c.key)
		if ok {
			c.accepted = true
			c.executor.conns[c.key] = c
		}
		c.executor.apply(outs)
		c.toNode(func() {
			if c.state != connDialing {
				return
			}
			c.state, c.upAt = connUp, w.now
			c.deliver(node.ConnReady{Conn: c.id})
		})
		if !ok { // it has all the connections it takes: this one is closed as soon as it is up
			c.toNode(func() { c.breakConn("closed by the executor") })
		}
		c.silent = silent
	})
}

// closeConn closes a wire at the node's end.
func (n *simNode) closeConn(id node.ConnID) {
	c := n.conns[id]
	if c == nil || c.state == connClosed {
		return
	}
	if c.state == connDialing {
		c.state = connClosed
		c.closeAtExecutor()
		c.deliverAfter(processingDelay, node.ConnClosed{Conn: id, Detail: "no connection: given up"})
		return
	}
	c.closeAtExecutor()
	if l := c.attempt; l != nil {
		l.history.canceled = true
	}
	c.breakConn("closed here")
}

// breakConn ends a wire at the node's end, and tells the node.
func (c *executorConn) breakConn(why string) {
	if c.state == connClosed {
		return
	}
	was := c.state
	c.state = connClosed
	if l := c.attempt; l != nil && !l.ended {
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: policy.ConnectionLost, ConnBroken: true, Detail: why}
		if !l.written {
			ev.Outcome = policy.ConnectFailed
		}
		c.deliverAfter(processingDelay, ev)
	}
	detail := ""
	if was == connDialing {
		detail = "no connection: " + why
	}
	c.deliverAfter(processingDelay+processingDelay/2, node.ConnClosed{Conn: c.id, Detail: detail})
}

// closeAtExecutor ends a wire at the executor's end, after what is in flight.
func (c *executorConn) closeAtExecutor() {
	if c.executor != nil && c.accepted {
		c.toExecutor(func() { c.dropAtExecutor() })
	}
}

func (c *executorConn) dropAtExecutor() {
	if c.executor.conns[c.key] == c {
		delete(c.executor.conns, c.key)
		c.executor.apply(c.executor.Hangup(c.node.world.now, c.key))
	}
}

// resetByExecutor: the executor has broken the connection.
func (c *executorConn) resetByExecutor() {
	delete(c.executor.conns, c.key)
	c.toNode(func() { c.breakConn("reset by the executor") })
}

func sortedByID(wires map[node.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(wires), func(a, b *executorConn) int { return cmp.Compare(a.id, b.id) })
}

func sortedByKey(wires map[emulator.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(wires), func(a, b *executorConn) int { return cmp.Compare(a.key, b.key) })
}
