package simulation

import (
	"time"

	"birchstair/internal/emulator"
)

// faultableConn is an open connection between a node and an executor that a fault can be put on.
type faultableConn interface {
	silence()                    // nothing comes back on it any more
	breakAt(after time.Duration) // it breaks
}

func (w *World) openConns() (all []faultableConn) {
	for _, n := range w.nodes {
		if n.process != nil && n.up {
			all = append(all, n.process.openConns()...)
		}
		for _, c := range sortedByID(n.conns) {
			if n.up && c.state == connUp {
				all = append(all, c)
			}
		}
	}
	return all
}

// resetClientConns breaks some of the connections that clients wait on, each second until the fault is over.
func (w *World) resetClientConns(f emulator.Fault, until time.Duration) {
	for _, n := range w.nodes {
		for _, t := range n.openRequests() {
			if n.up && w.networkRand.Float64() < f.Size {
				n.resetClient(t)
			}
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetClientConns(f, until) })
	}
}

// resetOpenConns breaks some of what is open, each second until the fault is over.
func (w *World) resetOpenConns(f emulator.Fault, until time.Duration) {
	for _, c := range w.openConns() {
		if w.networkRand.Float64() < f.Size {
			c.breakAt(time.Duration(w.networkRand.Int64N(int64(time.Second))))
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetOpenConns(f, until) })
	}
}

// resetClient breaks a client's connection: the client may try again at once, elsewhere, while this node goes on.
func (n *simNode) resetClient(t *clientRequest) {
	if n.process != nil {
		if t.conn != nil {
			t.conn.Reset()
		}
		return
	}
	t.connLost = true
	n.world.after(processingDelay, func() { t.finish(emulator.EndLost, 0) })
	n.after(time.Duration(n.world.networkRand.Int64N(int64(time.Second))), func() {
		if !t.answered {
			n.clientGone(t)
		}
	})
}

func (c *executorConn) silence() { c.silent = true }

// breakAt breaks a wire in between: each end sees it in its own time, and what is in flight may still come.
func (c *executorConn) breakAt(after time.Duration) {
	w := c.node.world
	c.node.after(after, func() { c.breakConn("reset on the way") })
	w.after(after+time.Duration(w.networkRand.Int64N(int64(4*time.Duration(w.scenario.Fleet.Near)))), func() {
		if !c.executor.unreachable && c.executor.Up {
			c.dropAtExecutor()
		}
	})
}
