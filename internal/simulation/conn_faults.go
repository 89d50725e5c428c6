package simulation

import (
	"time"

	"birchstair/internal/emulator"
)

// faultableConn is an open connection between a node and an executor that a fault can be put on.
type faultableConn interface {
	makeUnresponsive()           // from now on nothing comes back to the node
	breakAt(delay time.Duration) // it breaks after a delay
}

// resetPeriod is the time between two resets of open connections while a fault lasts.
const resetPeriod = time.Second

// beginConnFault begins a fault on connections that are open.
func (sim *Simulation) beginConnFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.SilentOld:
		for _, conn := range sim.openConns() {
			if sim.networkRand.Float64() < fault.Size {
				conn.makeUnresponsive()
			}
		}
	case emulator.ResetOld:
		sim.repeatUntil(sim.now+fault.For, func() { sim.resetOpenConns(fault.Size) })
	case emulator.ClientReset:
		sim.repeatUntil(sim.now+fault.For, func() { sim.resetClientConns(fault.Size) })
	}
}

// repeatUntil runs a function now and each resetPeriod until a time.
func (sim *Simulation) repeatUntil(until time.Duration, run func()) {
	run()
	if sim.now+resetPeriod < until {
		sim.after(resetPeriod, func() { sim.repeatUntil(until, run) })
	}
}

// openConns are all open connections between nodes and executors, in an order that only the seed decides.
func (sim *Simulation) openConns() (all []faultableConn) {
	for _, n := range sim.nodes {
		if n.process != nil && n.up {
			all = append(all, n.process.openConns()...)
		}
		for _, conn := range sortedByID(n.conns) {
			if n.up && conn.state == connUp {
				all = append(all, conn)
			}
		}
	}
	return all
}

// resetOpenConns breaks a share of the open connections to executors.
func (sim *Simulation) resetOpenConns(share float64) {
	for _, conn := range sim.openConns() {
		if sim.networkRand.Float64() < share {
			conn.breakAt(time.Duration(sim.networkRand.Int64N(int64(resetPeriod))))
		}
	}
}

// resetClientConns breaks a share of the connections on which clients wait.
func (sim *Simulation) resetClientConns(share float64) {
	for _, n := range sim.nodes {
		for _, request := range n.requestsInFlight() {
			if n.up && sim.networkRand.Float64() < share {
				n.resetClient(request)
			}
		}
	}
}

// resetClient breaks a client's connection: the client may retry at once elsewhere, before this node notices.
func (n *simNode) resetClient(request *clientRequest) {
	if n.process != nil {
		if request.conn != nil {
			request.conn.Reset()
		}
		return
	}
	request.connLost = true
	n.sim.after(processingDelay, func() { request.finish(emulator.EndLost, 0) })
	n.after(time.Duration(n.sim.networkRand.Int64N(int64(time.Second))), func() {
		if !request.answered {
			n.clientGone(request)
		}
	})
}

// silence lets nothing come back on the connection any more.
func (c *executorConn) makeUnresponsive() { c.unresponsive = true }

// breakAt breaks the connection on its way: each end sees it at a time of its own, and what is in flight may still arrive.
func (c *executorConn) breakAt(delay time.Duration) {
	sim := c.node.sim
	c.node.after(delay, func() { c.breakConn("reset on the way") })
	untilExecutor := time.Duration(sim.networkRand.Int64N(int64(4 * time.Duration(sim.scenario.Fleet.Near))))
	sim.after(delay+untilExecutor, func() {
		if !c.executor.unreachable && c.executor.Up {
			c.dropAtExecutor()
		}
	})
}
