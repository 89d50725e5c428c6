package simulation

import (
	"time"

	"birchstair/internal/node"
)

// noConnection is the prefix of the detail of a failed dial.
const noConnection = "no connection: "

// dial opens a connection to an executor. The current faults of new connections apply to this connection.
func (n *simNode) dial(effect node.Dial) {
	sim := n.sim
	sim.lastConnID++
	conn := &executorConn{id: effect.Conn, key: sim.lastConnID, node: n, executor: sim.byAddr[effect.Addr], dialedAt: sim.now}
	n.conns[conn.id] = conn
	sim.result.Dials++
	n.after(time.Duration(sim.scenario.Fleet.DialTimeout), func() { conn.failDial("no answer in time") })
	if conn.executor == nil {
		n.after(2*time.Duration(sim.scenario.Fleet.Near), func() { conn.failDial("nobody there") })
		return
	}
	unresponsive := sim.networkRand.Float64() < sim.newConnUnresponsiveRate // takes effect once the connection is open
	conn.resetsAtFirstUse = sim.networkRand.Float64() < sim.newConnResetRate
	sim.at(sim.arrivalTime(n.zone, conn.executor.Zone), func() { conn.reachExecutor(unresponsive) })
}

// failDial fails a dial that has not ended yet.
func (c *executorConn) failDial(reason string) {
	if c.state != connDialing {
		return
	}
	c.state = connClosed
	c.node.sim.result.FailedDials++
	c.deliver(node.ConnClosed{Conn: c.id, Detail: noConnection + reason})
}

// reachExecutor handles the arrival of the dial at the executor's machine.
func (c *executorConn) reachExecutor(unresponsive bool) {
	x, n := c.executor, c.node
	if x.unreachable || n.conns[c.id] != c || !n.up {
		return
	}
	if !x.Up {
		c.toNode(func() { c.failDial("refused") })
		return
	}
	ok, outputs := x.Open(n.sim.now, c.key)
	if ok {
		c.accepted = true
		x.conns[c.key] = c
	}
	x.apply(outputs)
	c.toNode(c.open)
	if !ok { // the executor has reached its connection limit and closes the connection at once
		c.toNode(func() { c.breakConn("closed by the executor") })
	}
	c.unresponsive = unresponsive
}

// open handles the arrival of the executor's answer to the dial.
func (c *executorConn) open() {
	if c.state != connDialing {
		return
	}
	c.state, c.upAt = connUp, c.node.sim.now
	c.deliver(node.ConnReady{Conn: c.id})
}
