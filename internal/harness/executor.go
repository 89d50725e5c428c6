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

// executor is an emulated executor on sockets, on the real clock. Each node reaches it at an address of its own.
type executor struct {
	*emulator.Executor
	cluster     *cluster
	incarnation int
	conns       map[emulator.ConnID]*executorConn
	downFaults  int
	faults      []emulator.Fault
	timer       *time.Timer
}

// executorConn is a connection of a node to an executor.
type executorConn struct {
	conn   net.Conn
	answer platform.Answer
}

func (r *cluster) newExecutor(id string, number int, speed float64) *executor {
	x := &executor{cluster: r, conns: map[emulator.ConnID]*executorConn{}}
	x.Executor = emulator.NewExecutor(r.scenario.Spec(id, number, speed), rand.New(rand.NewPCG(r.options.Seed, uint64(1000+number))))
	x.Started -= time.Hour
	r.executors = append(r.executors, x)
	return x
}

func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	return emulator.Entry{Endpoint: policy.Endpoint{Executor: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: state, Weight: float64(x.Cores) * x.Speed,
		StartedAt: x.Started, StartedLongAgo: x.Started < 0}}
}

// listenForExecutor opens the address at which the node reaches an executor.
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

// serve reads attempts from a node's connection until it ends.
func (x *executor) serve(p *nodeProcess, c net.Conn) {
	defer c.Close()
	r := x.cluster
	key, incarnation, accepted := x.open(c)
	if !accepted {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(time.Duration(r.scenario.Fleet.IdleTimeout) + time.Minute))
		m, err := platform.ReadAttempt(in)
		if !x.read(p, key, incarnation, m, err) {
			return
		}
	}
}

// open registers a connection, if the executor accepts it, and returns its id and the incarnation of the executor.
func (x *executor) open(c net.Conn) (key emulator.ConnID, incarnation int, accepted bool) {
	r := x.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || !x.Up {
		return 0, 0, false
	}
	r.lastConn++
	key, incarnation = r.lastConn, x.incarnation
	accepted, outputs := x.Open(r.now(), key)
	if accepted {
		x.conns[key] = &executorConn{conn: c}
	}
	x.apply(outputs)
	return key, incarnation, accepted
}

// read handles what was read from a connection, and reports whether the connection goes on.
func (x *executor) read(p *nodeProcess, key emulator.ConnID, incarnation int, m platform.Request, err error) bool {
	r := x.cluster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || x.incarnation != incarnation || x.conns[key] == nil {
		return false
	}
	if err != nil {
		delete(x.conns, key)
		x.apply(x.ConnClosed(r.now(), key))
		return false
	}
	x.attemptArrived(p, key, m)
	return true
}

// attemptArrived checks a complete attempt and passes it to the executor. It is called with cluster.mu held.
func (x *executor) attemptArrived(p *nodeProcess, key emulator.ConnID, m platform.Request) {
	r := x.cluster
	r.checkClientPresent(p, x, m.Job)
	t := r.requests[m.Job]
	if t == nil {
		// Its client has an answer or has given up: nothing may be sent for it.
		if r.endedAt[m.Job] > 0 && r.now() > r.endedAt[m.Job]+slack+r.ownStall() && !p.wasPaused() {
			r.fail("%s was sent to %s by %s %v after its end", m.Job, x.ID, p.name, r.now()-r.endedAt[m.Job])
		}
		return
	}
	r.result.Attempts++
	r.result.Work += t.work.Cost
	r.checkDrain(p, x, t)
	x.apply(x.Accept(r.now(), r.attempt(p, x, key, t)))
}

// checkDrain checks that the executor of an attempt that has arrived does not drain, or that the node cannot have known it.
func (r *cluster) checkDrain(p *nodeProcess, x *executor, t *request) {
	grace := time.Duration(r.scenario.Fleet.DrainGrace)
	known, ok := p.known[x.ID]
	switch {
	case ok && known.State == policy.Available:
		if at, drains := r.drainKnownAt[x.ID]; drains && r.now() > at+grace+gossipDrainWithin {
			r.result.LateAttempts++
			r.note("%s was sent to %s by %s, %v after another node was told that it drains", t.job, x.ID, p.name, r.now()-at)
		}
	case ok && r.now() > known.At+grace+slack+r.ownStall() && !p.wasPaused():
		r.fail("%s was sent to %s by %s %v after that node was told that it drains or is gone", t.job, x.ID, p.name, r.now()-known.At)
	}
	late, due := r.checker.OverdueDrain(r.now(), p.id, x.ID)
	if due && late > slack+r.ownStall() && !p.wasPaused() && !t.excused {
		r.fail("%v: %s was sent to %s by %s %v after that node could have heard for %v that it drains or is gone",
			invariants.DrainInForce, t.job, x.ID, p.name, late, invariants.DrainInForceWithin)
	}
}

// attempt returns an attempt of a request as the executor runs it.
func (r *cluster) attempt(p *nodeProcess, x *executor, key emulator.ConnID, t *request) emulator.Attempt {
	classID := t.work.Class
	class := r.policyClasses[classID]
	a := emulator.Attempt{Conn: key, Node: p.id, Job: t.job, Work: t.work.ID, Class: classID, Priority: r.classes[classID].Priority,
		Cost: t.work.Cost, StatedCost: t.work.StatedCost}
	if a.StatedCost == 0 {
		a.StatedCost = r.classes[classID].Mean
	}
	if class.Idempotency == policy.IdempotentWithKey {
		a.IdempotencyKey, a.DedupWindow = string(t.work.ID), class.DedupWindow
		a.DedupMemory = r.memories.Of(classID, class.DedupGroup, x.ExecutorSpec)
	}
	return a
}

// checkClientPresent checks the rule "still awaited" for an attempt that has arrived, since the harness does not see when a node sends
// the first byte. A pause of the node is no excuse: what it wrote before arrives before it resumes.
func (r *cluster) checkClientPresent(p *nodeProcess, x *executor, job policy.JobID) {
	at, went := r.clientLeftAt[job]
	if !went || r.now() <= at+invariants.ClientGoneTolerance+observationDelay {
		return
	}
	late := r.now() - at
	r.result.SentAfterClientLeft++
	r.note("%s reached %s by %s %v after its client had left", job, x.ID, p.name, late)
	if r.result.SentAfterClientLeft > invariants.ToleratedLateAttempts || late >= invariants.ClientGoneLimit+slack {
		r.fail("%s reached %s by %s %v after its client had left, late attempt %d", job, x.ID, p.name, late, r.result.SentAfterClientLeft)
	}
}

// apply carries out the outputs of the executor, and sets its timer. It is called with cluster.mu held.
func (x *executor) apply(outputs []emulator.Output) {
	r := x.cluster
	for _, o := range outputs {
		switch o := o.(type) {
		case emulator.Message:
			x.write(o)
		case emulator.EffectStarted:
			if t := r.requests[o.Job]; t != nil {
				t.runs++
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
			r.note("%s fell over", x.ID)
		}
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	if next := x.Next(); next != emulator.Never && !r.over {
		x.timer = time.AfterFunc(next-r.now(), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.over {
				x.apply(x.Wake(r.now()))
			}
		})
	}
}

// write writes a message about an attempt. Messages are short, so that the kernel buffers them at once.
func (x *executor) write(o emulator.Message) {
	s := x.conns[o.Conn]
	t := x.cluster.requests[o.Job]
	if o.Kind == emulator.AttemptDone {
		if t != nil {
			x.cluster.result.Finished += t.work.Cost
		}
	}
	if s == nil {
		return
	}
	work := ""
	if t != nil {
		work = string(t.work.ID)
	}
	b, _ := s.answer.Append(nil, o, x.ID, platform.Result(work))
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	s.conn.Write(b) //nolint:errcheck // the reader of a broken connection handles it
}

// crash ends the executor's process.
func (x *executor) crash() {
	x.incarnation++
	x.apply(x.Crash(x.cluster.now()))
}

// restart starts the executor again, in slow start.
func (x *executor) restart() {
	r := x.cluster
	x.apply(x.Start(r.now()))
	delete(r.drainKnownAt, x.ID)
	r.observe(invariants.Event{Kind: invariants.ExecutorStarted, Node: invariants.NoNode, Executor: x.ID, Start: x.Started}) // as published, or no node would count as notified
	r.changeEndpoint(x.entry(policy.Available))
}

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
