package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// executor is a stand-in executor and where it is reached.
type executor struct {
	*emulator.Executor
	world            *World
	number           int
	addr             string
	replacements     int
	conns            map[emulator.ConnID]*executorConn
	faults           []emulator.Fault // that make it suffer now
	activeDownFaults int              // faults that keep it down
	unreachable      bool             // it is not there: nothing answers, nothing is refused
	timerSeq         int
	assigned         []*baselineJob // that the best choice has sent there and that have not come yet
	incarnation      int            // its processes so far, where the world is wired
	sockets          map[emulator.ConnID]*executorSocket
}

func (w *World) addExecutor(id string, number int, speed float64) *executor {
	x := &executor{world: w, number: number, addr: w.newAddr(), conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(w.scenario.Spec(id, number, speed),
		stream(w.seed, executorStream+id))
	w.executors = append(w.executors, x)
	w.byAddr[x.addr] = x
	return x
}

// newAddr is an address that nobody had before.
func (w *World) newAddr() string {
	w.lastAddr++
	return fmt.Sprintf("127.1.%d.%d:9000", w.lastAddr/250, w.lastAddr%250+1)
}

// entry is its entry in the list.
func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	e := emulator.Entry{Addr: x.addr, Endpoint: policy.Endpoint{Executor: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: state,
		Weight: x.relativeCapacity(), StartedAt: x.Started, StartedLongAgo: x.Started < 0}}
	if x.world.scenario.Fleet.NoWeights {
		e.Weight = 1
	}
	return e
}

func (x *executor) relativeCapacity() float64 { return float64(x.Cores) * x.Speed }

// apply hands on what follows from something that happened to an executor.
func (x *executor) apply(outs []emulator.Out) {
	for _, o := range outs {
		switch o := o.(type) {
		case emulator.Say:
			if x.world.wired != nil {
				x.world.wired.answerAttempt(x, o)
			} else if c := x.conns[o.Conn]; c != nil {
				c.answer(o)
			}
		case emulator.Ran:
			if c := x.conns[o.Conn]; c != nil && c.attempt != nil && c.attempt.request.job == o.Job {
				x.world.account.recordBegan(c.attempt.history)
			}
			x.world.observe(invariants.Seen{What: invariants.Ran, Node: o.Node, Job: o.Job, Work: o.Work, Track: o.Track, Executor: x.ID})
		case emulator.Reached:
			if x.Cold(x.world.now) {
				x.world.observe(invariants.Seen{What: invariants.Reached, Node: o.Node, Job: o.Job, Executor: x.ID, Cost: o.Hint, Capacity: o.Capacity})
			}
		case emulator.Reset:
			if c := x.conns[o.Conn]; c != nil {
				c.resetByExecutor()
			}
			if s := x.sockets[o.Conn]; s != nil {
				s.conn.Reset()
			}
		case emulator.Fell:
			x.world.result.Fell++
			x.world.observe(invariants.Seen{What: invariants.Fell, Node: invariants.Nobody, Executor: x.ID})
			x.world.updateEndpoint(x.entry(policy.Removed))
			if x.world.wired != nil {
				x.world.wired.endExecutor(x, false)
			}
		}
	}
	x.timerSeq++
	mine, next := x.timerSeq, x.Next()
	if next == emulator.Never {
		return
	}
	x.world.at(next, func() {
		if x.timerSeq == mine {
			x.apply(x.Wake(x.world.now))
		}
	})
}

// updateFault puts all its troubles together.
func (x *executor) updateFault() {
	t := emulator.Together(x.faults)
	t.Lies = x.Trouble().Lies
	x.apply(x.Suffer(x.world.now, t))
}

// stop ends an executor. Silently: its machine is gone, and nothing says so to those connected to it; the list, which
// asks it, notices later.
func (x *executor) stop(silently bool) {
	x.activeDownFaults++
	if !x.Up {
		x.unreachable = x.unreachable || silently
		return
	}
	outs := x.Crash(x.world.now)
	if x.world.wired != nil {
		x.world.wired.endExecutor(x, silently)
	}
	if !silently {
		x.apply(outs)
		x.world.updateEndpoint(x.entry(policy.Removed))
		return
	}
	x.unreachable = true
	x.timerSeq++
	x.world.after(vanishDetection, func() {
		if x.unreachable {
			x.world.updateEndpoint(x.entry(policy.Removed))
		}
	})
}

// vanishDetection is how long the list service takes to notice that an executor which said nothing is gone.
const vanishDetection = 2 * time.Second

// endDownFault ends one fault that keeps an executor down; with the last it starts again.
func (x *executor) endDownFault() {
	if x.activeDownFaults--; x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults = 0
	x.restart()
}

// restart starts an executor anew, cold.
func (x *executor) restart() {
	x.unreachable = false
	for _, c := range sortedByKey(x.conns) { // what was connected to its last life leads nowhere
		delete(x.conns, c.key)
		c.toNode(func() { c.breakConn("reset by the executor") })
	}
	x.apply(x.Start(x.world.now))
	if x.world.wired != nil {
		x.world.wired.startExecutor(x)
	}
	x.updateFault()
	x.world.observe(invariants.Seen{What: invariants.Started, Node: invariants.Nobody, Executor: x.ID})
	e := x.entry(policy.Available)
	e.StartedAt += x.world.clockOffset
	x.world.updateEndpoint(e)
}

// changeAddress gives an executor another address.
func (x *executor) changeAddress() {
	delete(x.world.byAddr, x.addr)
	x.addr = x.world.newAddr()
	x.world.byAddr[x.addr] = x
}

// dedupMemory is what remembers the tags of a track's batch jobs at an executor.
func (w *World) dedupMemory(x *executor, id policy.JobClassID) *emulator.Memory {
	return w.memories.Of(id, w.jobClasses[id].DedupGroup, x.ExecutorSpec)
}

// drain: the list says so first; later it takes nothing new, ends, and starts again cold when the fault is over.
func (w *World) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults++
	born := x.Started
	w.updateEndpoint(x.entry(policy.Draining))
	w.after(time.Duration(w.scenario.Fleet.ListLag+w.scenario.Fleet.DrainGrace), func() {
		if x.Up && x.Started == born {
			x.Drains = true
		}
	})
	w.after(f.For*3/4, func() {
		if x.Up && x.Started == born {
			x.apply(x.Crash(w.now))
			if w.wired != nil {
				w.wired.endExecutor(x, false)
			}
			w.updateEndpoint(x.entry(policy.Removed))
		}
	})
	w.after(f.For, x.endDownFault)
}

// excludeAndRestart has operators take an executor out at each node, and restart it meanwhile. The list says nothing of the first.
func (w *World) excludeAndRestart(x *executor, f emulator.Fault) {
	for _, n := range w.nodes {
		n.adminCall(node.ExcludeExecutor, x.ID)
	}
	w.after(f.For/2, func() { x.stop(false) })
	w.after(f.For*3/4, x.endDownFault)
}

// replace puts another executor, cold, in the place of one that is gone for good.
func (w *World) replace(x *executor) {
	x.replacements++
	y := w.addExecutor(fmt.Sprintf("%s-%d", x.ID, x.replacements), x.number, x.Speed)
	y.Up = false
	y.restart()
}
