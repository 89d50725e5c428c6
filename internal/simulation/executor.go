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
	sim    *Simulation
	number int // of the scenario's executor, or of the one that this one replaces
	addr   string
	conns  map[emulator.ConnID]*executorConn

	faults           []emulator.Fault // that slow it down or make it fail
	activeDownFaults int              // faults that keep it down
	unreachable      bool             // its machine has vanished: nothing answers, and nothing is refused
	replacements     int
	timerSeq         int // of the timer that is set; earlier ones are void

	assignedJobs []*baselineJob // jobs that the best policy has sent here and that have not arrived yet

	// In a wired world.
	incarnation int // processes so far
	sockets     map[emulator.ConnID]*executorSocket
}

func (sim *Simulation) addExecutor(id string, number int, speed float64) *executor {
	x := &executor{sim: sim, number: number, addr: sim.newAddr(), conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(sim.scenario.Spec(id, number, speed), stream(sim.seed, executorStream+id))
	sim.executors = append(sim.executors, x)
	sim.byAddr[x.addr] = x
	return x
}

// newAddr is an address that nobody had before.
func (sim *Simulation) newAddr() string {
	sim.lastAddr++
	return fmt.Sprintf("127.1.%d.%d:9000", sim.lastAddr/250, sim.lastAddr%250+1)
}

// entry is the executor's entry in the endpoint list.
func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	endpoint := policy.Endpoint{
		Executor:       x.ID,
		Zone:           x.Zone,
		Kind:           x.Kind,
		Cell:           x.Cell,
		State:          state,
		Weight:         x.standardCores(),
		StartedAt:      x.Started,
		StartedLongAgo: x.Started < 0,
	}
	if x.sim.scenario.Fleet.NoWeights {
		endpoint.Weight = 1
	}
	return emulator.Entry{Addr: x.addr, Endpoint: endpoint}
}

// relativeCapacity is the executor's capacity in standard cores.
func (x *executor) standardCores() float64 { return float64(x.Cores) * x.Speed }

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
	x.sim.at(next, func() {
		if x.timerSeq == seq {
			x.apply(x.Wake(x.sim.now))
		}
	})
}

func (x *executor) applyOutput(output emulator.Output) {
	sim := x.sim
	switch output := output.(type) {
	case emulator.Message:
		if sim.networked != nil {
			sim.networked.answerAttempt(x, output)
		} else if conn := x.conns[output.Conn]; conn != nil {
			conn.answer(output)
		}
	case emulator.EffectStarted:
		if conn := x.conns[output.Conn]; conn != nil && conn.attempt != nil && conn.attempt.request.job == output.Job {
			sim.account.recordStarted(conn.attempt.history)
		}
		sim.observe(invariants.Event{Kind: invariants.EffectStarted, Node: output.Node, Job: output.Job, Work: output.Work, Class: output.Class, Executor: x.ID})
	case emulator.AttemptArrived:
		if x.InSlowStart(sim.now) {
			sim.observe(invariants.Event{Kind: invariants.AttemptReached, Node: output.Node, Job: output.Job, Executor: x.ID, Cost: output.StatedCost,
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
		sim.result.Overloaded++
		sim.observe(invariants.Event{Kind: invariants.ExecutorCrashed, Node: invariants.NoNode, Executor: x.ID})
		sim.updateEndpoint(x.entry(policy.Removed))
		if sim.networked != nil {
			sim.networked.endExecutor(x, false)
		}
	}
}

// restart starts a new process of the executor.
func (x *executor) restart() {
	sim := x.sim
	x.unreachable = false
	for _, conn := range sortedByExecutorKey(x.conns) { // those of the process before
		delete(x.conns, conn.key)
		conn.toNode(func() { conn.breakConn("reset by the executor") })
	}
	x.apply(x.Start(sim.now))
	if sim.networked != nil {
		sim.networked.startExecutor(x)
	}
	x.applyFaults()
	sim.observe(invariants.Event{Kind: invariants.ExecutorStarted, Node: invariants.NoNode, Executor: x.ID})
	entry := x.entry(policy.Available)
	entry.StartedAt += sim.clockOffset
	sim.updateEndpoint(entry)
}

// changeAddress gives the executor another address.
func (x *executor) changeAddress() {
	delete(x.sim.byAddr, x.addr)
	x.addr = x.sim.newAddr()
	x.sim.byAddr[x.addr] = x
}

// dedupMemory is what remembers the idempotency keys of a class that have reached an executor's dedup group.
func (sim *Simulation) dedupMemory(x *executor, class policy.JobClassID) *emulator.DedupMemory {
	return sim.memories.Of(class, sim.jobClasses[class].DedupGroup, x.ExecutorSpec)
}
