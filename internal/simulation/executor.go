package simulation

import (
	"fmt"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// executor is an emulated executor and its place in the world.
type executor struct {
	*emulator.Executor
	world  *Simulation
	number int // of the scenario's executor, or of the one that this one replaces
	addr   string
	conns  map[emulator.ConnID]*executorConn

	faults           []emulator.Fault // that slow it down or make it fail
	activeDownFaults int              // faults that keep it down
	unreachable      bool             // its machine has vanished: nothing answers, and nothing is refused
	replacements     int
	timerSeq         int // of the timer that is set; earlier ones are void

	assigned []*baselineJob // jobs that the best policy has sent here and that have not arrived yet

	// In a wired world.
	incarnation int // processes so far
	sockets     map[emulator.ConnID]*executorSocket
}

func (w *Simulation) addExecutor(id string, number int, speed float64) *executor {
	x := &executor{world: w, number: number, addr: w.newAddr(), conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(w.scenario.Spec(id, number, speed), stream(w.seed, executorStream+id))
	w.executors = append(w.executors, x)
	w.byAddr[x.addr] = x
	return x
}

// newAddr is an address that nobody had before.
func (w *Simulation) newAddr() string {
	w.lastAddr++
	return fmt.Sprintf("127.1.%d.%d:9000", w.lastAddr/250, w.lastAddr%250+1)
}

// entry is the executor's entry in the endpoint list.
func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	endpoint := policy.Endpoint{
		Executor:       x.ID,
		Zone:           x.Zone,
		Kind:           x.Kind,
		Cell:           x.Cell,
		State:          state,
		Weight:         x.relativeCapacity(),
		StartedAt:      x.Started,
		StartedLongAgo: x.Started < 0,
	}
	if x.world.scenario.Fleet.NoWeights {
		endpoint.Weight = 1
	}
	return emulator.Entry{Addr: x.addr, Endpoint: endpoint}
}

// relativeCapacity is the executor's capacity in standard cores.
func (x *executor) relativeCapacity() float64 { return float64(x.Cores) * x.Speed }

// apply carries out what follows from something that happened to the executor, and sets its timer.
func (x *executor) apply(outputs []emulator.Output) {
	for _, output := range outputs {
		x.applyOutput(output)
	}
	x.timerSeq++
	seq, next := x.timerSeq, x.Next()
	if next == emulator.Never {
		return
	}
	x.world.at(next, func() {
		if x.timerSeq == seq {
			x.apply(x.Wake(x.world.now))
		}
	})
}

func (x *executor) applyOutput(output emulator.Output) {
	w := x.world
	switch output := output.(type) {
	case emulator.Message:
		if w.wired != nil {
			w.wired.answerAttempt(x, output)
		} else if conn := x.conns[output.Conn]; conn != nil {
			conn.answer(output)
		}
	case emulator.EffectStarted:
		if conn := x.conns[output.Conn]; conn != nil && conn.attempt != nil && conn.attempt.request.job == output.Job {
			w.account.recordBegan(conn.attempt.history)
		}
		w.observe(invariants.Event{Kind: invariants.EffectStarted, Node: output.Node, Job: output.Job, Work: output.Work, Class: output.Class, Executor: x.ID})
	case emulator.AttemptArrived:
		if x.InSlowStart(w.now) {
			w.observe(invariants.Event{Kind: invariants.AttemptReached, Node: output.Node, Job: output.Job, Executor: x.ID, Cost: output.StatedCost,
				Capacity: output.Capacity})
		}
	case emulator.ConnReset:
		if conn := x.conns[output.Conn]; conn != nil {
			conn.resetByExecutor()
		}
		if socket := x.sockets[output.Conn]; socket != nil {
			socket.conn.Reset()
		}
	case emulator.Crashed:
		w.result.Overloaded++
		w.observe(invariants.Event{Kind: invariants.ExecutorCrashed, Node: invariants.NoNode, Executor: x.ID})
		w.updateEndpoint(x.entry(policy.Removed))
		if w.wired != nil {
			w.wired.endExecutor(x, false)
		}
	}
}

// restart starts a new process of the executor.
func (x *executor) restart() {
	w := x.world
	x.unreachable = false
	for _, conn := range sortedByKey(x.conns) { // those of the process before
		delete(x.conns, conn.key)
		conn.toNode(func() { conn.breakConn("reset by the executor") })
	}
	x.apply(x.Start(w.now))
	if w.wired != nil {
		w.wired.startExecutor(x)
	}
	x.applyFaults()
	w.observe(invariants.Event{Kind: invariants.ExecutorStarted, Node: invariants.NoNode, Executor: x.ID})
	entry := x.entry(policy.Available)
	entry.StartedAt += w.clockOffset
	w.updateEndpoint(entry)
}

// changeAddress gives the executor another address.
func (x *executor) changeAddress() {
	delete(x.world.byAddr, x.addr)
	x.addr = x.world.newAddr()
	x.world.byAddr[x.addr] = x
}

// dedupMemory is what remembers the idempotency keys of a class that have reached an executor's dedup group.
func (w *Simulation) dedupMemory(x *executor, class policy.JobClassID) *emulator.DedupMemory {
	return w.memories.Of(class, w.jobClasses[class].DedupGroup, x.ExecutorSpec)
}
