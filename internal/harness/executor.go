package harness

import (
	"bufio"
	"math/rand/v2"
	"net"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// executor is an emulated executor with sockets and the real clock. It has a separate listener for each node, so that
// the sender of an attempt is known.
type executor struct {
	*emulator.Executor
	cluster     *cluster
	incarnation int
	conns       map[emulator.ConnID]*executorConn
	downFaults  int
	faults      []emulator.Fault
	timer       *time.Timer
}

// executorConn is a node's connection to an executor.
type executorConn struct {
	conn   net.Conn
	answer platform.Answer // state of the answer that is being written
}

// newExecutor adds an executor that has been running for long, outside its slow start.
func (r *cluster) newExecutor(id string, number int, speed float64) *executor {
	x := &executor{cluster: r, conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(r.scenario.Spec(id, number, speed), rand.New(rand.NewPCG(r.options.Seed, uint64(1000+number))))
	x.Started -= time.Hour
	r.executors = append(r.executors, x)
	return x
}

// entry returns the executor's entry in the endpoint list, without an address.
func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	return emulator.Entry{Endpoint: policy.Endpoint{Executor: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: state, Weight: float64(x.Cores) * x.Speed,
		StartedAt: x.Started, StartedLongAgo: x.Started < 0}}
}

// listenForExecutor opens the listener at which the node reaches an executor.
func (p *nodeProcess) listenForExecutor(x *executor) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.executorListeners[x.ID] = l
	p.cluster.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.cluster.goroutines.Go(func() { x.serve(p, c) })
		}
	})
	return nil
}

// serve reads attempts from a node's connection until it is closed.
func (x *executor) serve(p *nodeProcess, c net.Conn) {
	defer c.Close()
	r := x.cluster
	conn, incarnation, accepted := x.open(c)
	if !accepted {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(time.Duration(r.scenario.Fleet.IdleTimeout) + time.Minute))
		m, err := platform.ReadAttempt(in)
		if !x.read(p, conn, incarnation, m, err) {
			return
		}
	}
}

// open registers a connection if the executor is up and accepts it. It returns the connection's id and the executor's
// incarnation.
func (x *executor) open(c net.Conn) (id emulator.ConnID, incarnation int, accepted bool) {
	r := x.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || !x.Up {
		return 0, 0, false
	}
	r.lastConn++
	id, incarnation = r.lastConn, x.incarnation
	accepted, outputs := x.Open(r.now(), id)
	if accepted {
		x.conns[id] = &executorConn{conn: c}
	}
	x.apply(outputs)
	return id, incarnation, accepted
}

// read handles an attempt or an error that was read from a connection, and reports whether the connection stays open.
func (x *executor) read(p *nodeProcess, conn emulator.ConnID, incarnation int, m platform.Request, err error) bool {
	r := x.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || x.incarnation != incarnation || x.conns[conn] == nil {
		return false
	}
	if err != nil {
		delete(x.conns, conn)
		x.apply(x.ConnClosed(r.now(), conn))
		return false
	}
	x.attemptArrived(p, conn, m)
	return true
}

// attemptArrived checks that an attempt was allowed to be sent, and passes it to the executor. It is called with
// cluster.mu held.
func (x *executor) attemptArrived(p *nodeProcess, conn emulator.ConnID, m platform.Request) {
	r := x.cluster
	r.checkClientPresent(p, x, m.Job)
	request := r.requests[m.Job]
	if request == nil {
		// The client has its answer or has given up. No attempt may be sent any more.
		if r.endedAt[m.Job] > 0 && r.now() > r.endedAt[m.Job]+timingTolerance+r.ownStall() && !p.wasPaused() {
			r.fail("%s was sent to %s by %s %v after its end", m.Job, x.ID, p.name, r.now()-r.endedAt[m.Job])
		}
		return
	}
	r.result.Attempts++
	r.result.Work += request.work.Cost
	r.checkDrain(p, x, request)
	x.apply(x.Accept(r.now(), r.attempt(p, x, conn, request)))
}

// checkDrain checks that no attempt reaches a draining or removed executor once the sending node has been notified of
// that state, or has had enough time to be notified by discovery. It also counts the attempts of nodes that have not
// been notified, from the grace period plus drainGossipLimit after the first node was notified. Those are
// not violations.
func (r *cluster) checkDrain(p *nodeProcess, x *executor, request *clientRequest) {
	grace := time.Duration(r.scenario.Fleet.DrainGrace)
	known, ok := p.known[x.ID]
	switch {
	case ok && known.State == policy.Available:
		if at, drains := r.drainKnownAt[x.ID]; drains && r.now() > at+grace+drainGossipLimit {
			r.result.LateAttempts++
			r.note("job %s: node %s sent an attempt to executor %s, %v after another node was notified that the executor drains", request.job, p.name, x.ID, r.now()-at)
		}
	case ok && r.now() > known.At+grace+timingTolerance+r.ownStall() && !p.wasPaused():
		r.fail("%s was sent to %s by %s %v after that node was told that it drains or is gone", request.job, x.ID, p.name, r.now()-known.At)
	}
	late, due := r.checker.OverdueDrain(r.now(), p.id, x.ID)
	if due && late > timingTolerance+r.ownStall() && !p.wasPaused() && !request.excused {
		r.fail("%v: %s was sent to %s by %s %v after that node could have heard for %v that it drains or is gone",
			invariants.DrainInForce, request.job, x.ID, p.name, late, invariants.DrainInForceWithin)
	}
}

// attempt returns the attempt of a request in the form that the emulated executor accepts.
func (r *cluster) attempt(p *nodeProcess, x *executor, conn emulator.ConnID, request *clientRequest) emulator.Attempt {
	classID := request.work.Class
	class := r.nodeClasses[classID]
	attempt := emulator.Attempt{Conn: conn, Node: p.id, Job: request.job, Work: request.work.ID, Class: classID, Priority: r.clientClasses[classID].Priority,
		Cost: request.work.Cost, StatedCost: request.work.StatedCost}
	if attempt.StatedCost == 0 {
		attempt.StatedCost = r.clientClasses[classID].Mean
	}
	if class.Idempotency == policy.IdempotentWithKey {
		attempt.IdempotencyKey, attempt.DedupWindow = string(request.work.ID), class.DedupWindow
		attempt.DedupMemory = r.memories.Of(classID, class.DedupGroup, x.ExecutorSpec)
	}
	return attempt
}

// checkClientPresent checks the rule invariants.ClientPresent when an attempt arrives, since the harness does not see
// when the node sends the first byte. An attempt is late if it arrives longer than ClientGoneTolerance and
// observationDelay after its client has disconnected; a few late attempts are tolerated. A pause of the node does not
// excuse an attempt: bytes that the node wrote before the pause arrive during the pause.
func (r *cluster) checkClientPresent(p *nodeProcess, x *executor, job policy.JobID) {
	at, left := r.clientLeftAt[job]
	if !left || r.now() <= at+invariants.ClientGoneTolerance+observationDelay {
		return
	}
	late := r.now() - at
	r.result.SentAfterClientLeft++
	r.note("job %s: node %s sent an attempt that reached executor %s %v after the job's client had left", job, p.name, x.ID, late)
	if r.result.SentAfterClientLeft > invariants.ToleratedLateAttempts || late >= invariants.ClientGoneLimit+timingTolerance {
		r.fail("%s reached %s by %s %v after its client had left, late attempt %d", job, x.ID, p.name, late, r.result.SentAfterClientLeft)
	}
}

// apply carries out the outputs of the emulated executor and sets the timer for its next event. It is called with
// cluster.mu held.
func (x *executor) apply(outputs []emulator.Output) {
	r := x.cluster
	for _, o := range outputs {
		switch o := o.(type) {
		case emulator.Message:
			x.write(o)
		case emulator.EffectStarted:
			if request := r.requests[o.Job]; request != nil {
				request.effects++
			}
			r.observe(invariants.Event{Kind: invariants.EffectStarted, Node: o.Node, Job: o.Job, Work: o.Work, Class: o.Class, Executor: x.ID})
		case emulator.AttemptArrived:
			if x.InSlowStart(r.now()) {
				r.observe(invariants.Event{Kind: invariants.AttemptReached, Node: o.Node, Job: o.Job, Executor: x.ID, Cost: o.StatedCost, Capacity: o.Capacity})
			}
		case emulator.ConnReset:
			if s := x.conns[o.Conn]; s != nil {
				delete(x.conns, o.Conn)
				s.conn.(*net.TCPConn).SetLinger(0)
				s.conn.Close()
			}
		case emulator.Crashed:
			r.result.Overloaded++
			r.note("executor %s crashed from overload in its slow start", x.ID)
		}
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	if next := x.Next(); next != emulator.Never && !r.stopped {
		x.timer = time.AfterFunc(next-r.now(), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.stopped {
				x.apply(x.Wake(r.now()))
			}
		})
	}
}

// write writes a message about an attempt to its connection. Messages are short enough for the kernel's buffer, so the
// write does not block. It is called with cluster.mu held.
func (x *executor) write(o emulator.Message) {
	s := x.conns[o.Conn]
	request := x.cluster.requests[o.Job]
	if o.Kind == emulator.AttemptDone {
		if request != nil {
			x.cluster.result.Finished += request.work.Cost
		}
	}
	if s == nil {
		return
	}
	work := ""
	if request != nil {
		work = string(request.work.ID)
	}
	b, _ := s.answer.Append(nil, o, x.ID, platform.Result(work))
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	s.conn.Write(b) //nolint:errcheck // the reader of the connection handles its error
}

// crash crashes the executor.
func (x *executor) crash() {
	x.incarnation++
	x.apply(x.Crash(x.cluster.now()))
}

// restart starts the executor again, in slow start.
func (x *executor) restart() {
	r := x.cluster
	x.apply(x.Start(r.now()))
	delete(r.drainKnownAt, x.ID)
	// The event has the start time that discovery publishes. With another one, no node would count as notified of the
	// start.
	r.observe(invariants.Event{Kind: invariants.ExecutorStarted, Node: invariants.NoNode, Executor: x.ID, Start: x.Started})
	r.changeEndpoint(x.entry(policy.Available))
}

// close closes all connections to the executor and stops its timer.
func (x *executor) close() {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
	}
	for _, s := range x.conns {
		s.conn.Close()
	}
}
