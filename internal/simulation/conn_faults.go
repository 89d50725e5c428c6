package simulation

import (
	"time"

	"birchstair/internal/emulator"
)

// faultableConn is an open connection between a node and an executor into which faults can be injected.
type faultableConn interface {
	makeUnresponsive()           // drops everything that the executor sends from now on
	breakAt(delay time.Duration) // breaks the connection after a delay
}

// resetPeriod is the interval at which a fault resets open connections.
const resetPeriod = time.Second

// beginConnFault begins a fault on open connections.
func (sim *Simulation) beginConnFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.UnresponsiveOld:
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

// repeatUntil runs a function now and then at intervals of resetPeriod until the given time.
func (sim *Simulation) repeatUntil(until time.Duration, run func()) {
	run()
	if sim.now+resetPeriod < until {
		sim.after(resetPeriod, func() { sim.repeatUntil(until, run) })
	}
}

// openConns returns all open connections between nodes and executors. Their order depends only on the seed.
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

// resetOpenConns breaks a fraction of the open connections to executors, each at a random time within the next
// resetPeriod.
func (sim *Simulation) resetOpenConns(fraction float64) {
	for _, conn := range sim.openConns() {
		if sim.networkRand.Float64() < fraction {
			conn.breakAt(time.Duration(sim.networkRand.Int64N(int64(resetPeriod))))
		}
	}
}

// resetClientConns breaks a fraction of the connections on which clients wait for an answer.
func (sim *Simulation) resetClientConns(fraction float64) {
	for _, n := range sim.nodes {
		for _, request := range n.requestsInFlight() {
			if n.up && sim.networkRand.Float64() < fraction {
				n.resetClient(request)
			}
		}
	}
}

// resetClient breaks a client's connection. The client may retry at another node before this node notices the break.
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

// makeUnresponsive implements faultableConn.
func (c *executorConn) makeUnresponsive() { c.unresponsive = true }

// breakAt implements faultableConn. The two ends notice the break at different times. Messages on their way can still
// arrive.
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
