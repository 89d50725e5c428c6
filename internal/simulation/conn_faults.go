package simulation

import (
	"time"

	"birchstair/internal/emulator"
)

// faultableConn is an open connection between a node and an executor that a fault can be put on.
type faultableConn interface {
	silence()                    // from now on nothing comes back to the node
	breakAt(delay time.Duration) // it breaks after a delay
}

// resetPeriod is the time between two resets of open connections while a fault lasts.
const resetPeriod = time.Second

// beginConnFault begins a fault on connections that are open.
func (w *Simulation) beginConnFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.SilentOld:
		for _, conn := range w.openConns() {
			if w.networkRand.Float64() < fault.Size {
				conn.silence()
			}
		}
	case emulator.ResetOld:
		w.repeatUntil(w.now+fault.For, func() { w.resetOpenConns(fault.Size) })
	case emulator.ClientReset:
		w.repeatUntil(w.now+fault.For, func() { w.resetClientConns(fault.Size) })
	}
}

// repeatUntil runs a function now and each resetPeriod until a time.
func (w *Simulation) repeatUntil(until time.Duration, run func()) {
	run()
	if w.now+resetPeriod < until {
		w.after(resetPeriod, func() { w.repeatUntil(until, run) })
	}
}

// openConns are all open connections between nodes and executors, in an order that only the seed decides.
func (w *Simulation) openConns() (all []faultableConn) {
	for _, n := range w.nodes {
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
func (w *Simulation) resetOpenConns(share float64) {
	for _, conn := range w.openConns() {
		if w.networkRand.Float64() < share {
			conn.breakAt(time.Duration(w.networkRand.Int64N(int64(resetPeriod))))
		}
	}
}

// resetClientConns breaks a share of the connections on which clients wait.
func (w *Simulation) resetClientConns(share float64) {
	for _, n := range w.nodes {
		for _, request := range n.openRequests() {
			if n.up && w.networkRand.Float64() < share {
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
	n.world.after(processingDelay, func() { request.finish(emulator.EndLost, 0) })
	n.after(time.Duration(n.world.networkRand.Int64N(int64(time.Second))), func() {
		if !request.answered {
			n.clientGone(request)
		}
	})
}

// silence lets nothing come back on the connection any more.
func (c *executorConn) silence() { c.silent = true }

// breakAt breaks the connection on its way: each end sees it at a time of its own, and what is in flight may still arrive.
func (c *executorConn) breakAt(delay time.Duration) {
	w := c.node.world
	c.node.after(delay, func() { c.breakConn("reset on the way") })
	untilExecutor := time.Duration(w.networkRand.Int64N(int64(4 * time.Duration(w.scenario.Fleet.Near))))
	w.after(delay+untilExecutor, func() {
		if !c.executor.unreachable && c.executor.Up {
			c.dropAtExecutor()
		}
	})
}
