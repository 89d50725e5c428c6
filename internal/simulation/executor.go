package simulation

import (
	"fmt"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// executor is an emulated executor, together with the models of its process and its connections.
type executor struct {
	*emulator.Executor
	sim    *Simulation
	number int // number of the executor in the scenario; a replacement has the number of the executor that it replaces
	addr   string
	conns  map[emulator.ConnID]*executorConn

	faults           []emulator.Fault // current faults that slow the executor down or make it fail
	activeDownFaults int              // number of current faults that keep the executor down
	unreachable      bool             // the executor's machine has vanished: connections are neither accepted nor refused
	replacements     int              // number of executors that have replaced this one
	timerSeq         int              // number of the current timer; timers with smaller numbers are ignored

	assignedJobs []*baselineJob // jobs that BestPolicy has sent to the executor and that have not arrived yet

	// Used in a networked simulation.
	incarnation int // number of processes of the executor that have been started
	sockets     map[emulator.ConnID]*executorSocket
}

func (sim *Simulation) addExecutor(id string, number int, speed float64) *executor {
	x := &executor{sim: sim, number: number, addr: sim.newAddr(), conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(sim.scenario.Spec(id, number, speed), stream(sim.seed, executorStream+id))
	sim.executors = append(sim.executors, x)
	sim.byAddr[x.addr] = x
	return x
}

// newAddr returns an address that no executor has had before.
func (sim *Simulation) newAddr() string {
	sim.lastAddr++
	return fmt.Sprintf("127.1.%d.%d:9000", sim.lastAddr/250, sim.lastAddr%250+1)
}

// entry returns the executor's entry in the endpoint list.
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

// standardCores returns the executor's capacity in standard cores.
func (x *executor) standardCores() float64 { return float64(x.Cores) * x.Speed }

// apply applies the outputs of a state change of the executor, and sets the timer for the next state change.
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

// restart starts a new process of the executor, and changes the executor's entry at discovery to available.
func (x *executor) restart() {
	sim := x.sim
	x.unreachable = false
	for _, conn := range sortedByKey(x.conns) { // these are connections of the previous process
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

// changeAddress gives the executor a new address.
func (x *executor) changeAddress() {
	delete(x.sim.byAddr, x.addr)
	x.addr = x.sim.newAddr()
	x.sim.byAddr[x.addr] = x
}

// dedupMemory returns the memory of a job class's idempotency keys. All executors of x's dedup group share this memory.
func (sim *Simulation) dedupMemory(x *executor, class policy.JobClassID) *emulator.DedupMemory {
	return sim.memories.Of(class, sim.jobClasses[class].DedupGroup, x.ExecutorSpec)
}
