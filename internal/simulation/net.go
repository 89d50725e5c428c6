package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
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
		stream(w.seed, "executor "+id))
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

// connState is a connection's state at the node's end.
type connState int

const (
	connDialing connState = iota
	connUp
	connClosed
)

// executorConn is a connection between a node and an executor.
type executorConn struct {
	id               node.ConnID
	key              emulator.ConnID
	simNode          *simNode
	executor         *executor
	state            connState
	accepted         bool // the executor has it
	silent           bool // nothing comes back on it
	resetsAtFirstUse bool // it breaks at its first use
	uses             int

	dialedAt, upAt time.Duration // when its dial began, and was over

	attempt        *connAttempt
	nextToExecutor time.Duration // when what was sent last arrives, each way
	nextToNode     time.Duration
}

// connAttempt is an allocation on a wire.
type connAttempt struct {
	request  *clientRequest
	executor *executor
	number   policy.AttemptID
	history  *attemptHistory
	written  bool // its last byte has left the node
	ended    bool // the node is told, or about to be told, that it is over
}

// recordAttempt books that an allocation of a try goes out.
func (n *simNode) recordAttempt(t *clientRequest, x *executor) *connAttempt {
	w := n.world
	l := &connAttempt{request: t, executor: x, number: policy.AttemptID(t.attempts), history: w.account.recordSent(t, x)}
	t.attempts++
	t.sentAt = w.now
	if t.attemptsOut++; t.attemptsOut > 1 {
		w.result.Copies++
	}
	n.attemptsOut++
	w.result.Allocations++
	if x.Zone != n.zone {
		w.result.Crossings++
	}
	w.observe(invariants.Seen{What: invariants.FirstByte, Node: n.id, Job: t.job, Work: t.work.ID, Allocation: l.number, Executor: x.ID,
		Zone: x.Zone, Cell: x.Cell})
	return l
}

// recordAttemptEnd books that the node is told of an allocation's end.
func (n *simNode) recordAttemptEnd(l *connAttempt, proof bool) {
	n.attemptsOut--
	l.request.attemptsOut--
	n.world.observe(invariants.Seen{What: invariants.Over, Node: n.id, Job: l.request.job, Allocation: l.number, Executor: l.executor.ID, Proof: proof})
}

// processingDelay is how long something takes within a process.
const processingDelay = 20 * time.Microsecond

// minDelay is the least that something takes between zones.
func (w *World) minDelay(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(w.scenario.Fleet.Far)
	}
	return time.Duration(w.scenario.Fleet.Near)
}

// randomDelay is how long something takes between zones, with a little chance.
func (w *World) randomDelay(from, to policy.ZoneID) time.Duration {
	d := w.minDelay(from, to)
	return d + time.Duration(w.networkRand.Int64N(int64(d)/5+1))
}

// arrivalTime is when something sent now arrives: where a zone is cut off it is sent again until it gets through.
func (w *World) arrivalTime(from, to policy.ZoneID) time.Duration {
	at := w.now
	if from != to {
		at = max(at, w.partitions[from].outboundUntil, w.partitions[to].inboundUntil)
	}
	return at + w.randomDelay(from, to)
}

// toExecutor brings something to the executor's end, in order.
func (c *executorConn) toExecutor(what func()) {
	c.nextToExecutor = max(c.nextToExecutor+1, c.simNode.world.arrivalTime(c.simNode.zone, c.executor.Zone))
	born := c.executor.Started
	c.simNode.world.at(c.nextToExecutor, func() {
		if !c.executor.unreachable && c.executor.Up && c.executor.Started == born {
			what()
		}
	})
}

// toNode brings something to the node's end, in order, unless it is closed there by then.
func (c *executorConn) toNode(what func()) {
	if c.silent {
		return
	}
	c.nextToNode = max(c.nextToNode+1, c.simNode.world.arrivalTime(c.executor.Zone, c.simNode.zone))
	run := c.simNode.incarnation
	c.simNode.world.at(c.nextToNode, func() {
		if c.simNode.up && c.simNode.incarnation == run && c.state != connClosed {
			what()
		}
	})
}

// deliverAfter tells the node in a moment, in order.
func (c *executorConn) deliverAfter(after time.Duration, ev node.Event) {
	c.simNode.later(after, func() { c.deliver(ev) })
}

// deliver books the end of an allocation with the rules, and tells the node.
func (c *executorConn) deliver(ev node.Event) {
	switch ev := ev.(type) {
	case node.AttemptEnded:
		c.simNode.world.account.recordEnded(c.attempt.history, ev.Outcome)
		c.simNode.recordAttemptEnd(c.attempt, ev.Outcome.NeverRan())
		c.attempt = nil
	case node.ConnClosed:
		delete(c.simNode.conns, c.id)
	}
	c.simNode.deliver(ev)
}

// probeLimit is how long a node waits for an executor to answer a probe.
const probeLimit = 250 * time.Millisecond

// probe asks an executor for its load, beside its queue. One that answers no batch job answers no probe either.
func (n *simNode) probe(e node.ProbeExecutor) {
	w, x, told := n.world, n.world.byAddr[e.Addr], false
	tell := func(ev node.ProbeEnded) {
		if !told {
			told = true
			n.deliver(ev)
		}
	}
	w.result.Probes++
	n.later(probeLimit, func() { tell(node.ProbeEnded{Executor: e.Executor}) })
	if x == nil {
		return
	}
	run := n.incarnation
	w.at(w.arrivalTime(n.zone, x.Zone), func() {
		if x.unreachable || !x.Up || x.Mute() {
			return
		}
		load := policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
		if says := x.Says(w.now); says.Known {
			load.InFlight, load.Queued, load.FreeSlots = says.Held, says.Waiting, says.Free
		}
		w.at(w.arrivalTime(x.Zone, n.zone), func() {
			if n.up && n.incarnation == run {
				tell(node.ProbeEnded{Executor: e.Executor, Answered: true, Load: load})
			}
		})
	})
}

func (n *simNode) dial(e node.Dial) {
	w := n.world
	w.lastConnID++
	c := &executorConn{id: e.Conn, key: w.lastConnID, simNode: n, executor: w.byAddr[e.Addr], dialedAt: w.now}
	n.conns[c.id] = c
	w.result.Dials++
	limit := time.Duration(w.scenario.Fleet.DialLimit)
	fail := func(after time.Duration, why string) {
		n.later(after, func() {
			if c.state == connDialing {
				c.state = connClosed
				w.result.NoConnection++
				c.deliver(node.ConnClosed{Conn: c.id, Detail: "no connection: " + why})
			}
		})
	}
	fail(limit, "no answer in time")
	if c.executor == nil {
		fail(2*time.Duration(w.scenario.Fleet.Near), "nobody there")
		return
	}
	c.silent = w.networkRand.Float64() < w.newConnSilentRate
	c.resetsAtFirstUse = w.networkRand.Float64() < w.newConnResetRate
	silent := c.silent
	c.silent = false // it comes up all the same
	at := w.arrivalTime(n.zone, c.executor.Zone)
	w.at(at, func() {
		if c.executor.unreachable || n.conns[c.id] != c || !n.up {
			return
		}
		if !c.executor.Up {
			c.toNode(func() {
				if c.state == connDialing {
					c.state = connClosed
					w.result.NoConnection++
					c.deliver(node.ConnClosed{Conn: c.id, Detail: "no connection: refused"})
				}
			})
			return
		}
		ok, outs := c.executor.Open(w.now, c.key)
		if ok {
			c.accepted = true
			c.executor.conns[c.key] = c
		}
		c.executor.apply(outs)
		c.toNode(func() {
			if c.state != connDialing {
				return
			}
			c.state, c.upAt = connUp, w.now
			c.deliver(node.ConnReady{Conn: c.id})
		})
		if !ok { // it has all the connections it takes: this one is closed as soon as it is up
			c.toNode(func() { c.breakConn("closed by the executor") })
		}
		c.silent = silent
	})
}

func (n *simNode) writeAttempt(e node.WriteAttempt) {
	w, c := n.world, n.conns[e.Conn]
	if c == nil || c.state != connUp || c.attempt != nil {
		return // it is closed already, and the node about to be told
	}
	t := n.requests[e.Attempt.ID]
	if t == nil {
		return
	}
	if client := e.Attempt.Client; client != nil && client.Gone() {
		c.deliverAfter(processingDelay, node.AttemptNotSent{Conn: c.id})
		return
	}
	c.uses++
	l := n.recordAttempt(t, c.executor)
	c.attempt = l
	if c.uses == 1 {
		l.history.dialedAt, l.history.connUpAt = c.dialedAt, c.upAt
	}
	writing := processingDelay + time.Duration(len(e.Attempt.Body))*timePerByte
	if c.resetsAtFirstUse {
		c.resetsAtFirstUse = false
		c.breakAt(time.Duration(w.networkRand.Int64N(int64(3 * writing))))
	}
	n.later(writing, func() {
		if c.state != connUp || c.attempt != l {
			return
		}
		l.written = true
		w.observe(invariants.Seen{What: invariants.LastByte, Node: n.id, Job: t.job, Allocation: l.number, Executor: c.executor.ID})
		a := w.newAttempt(t, n.id, c.key, c.executor)
		c.toExecutor(func() {
			t.delivered = true
			w.account.recordReached(l.history, a.Cost)
			c.executor.apply(c.executor.Take(w.now, a))
		})
	})
}

// idempotencyKey is what a work of a tagged track carries; others have none.
func (w *World) idempotencyKey(work *emulator.Work) string {
	if w.jobClasses[work.Track].Idempotency == policy.IdempotentWithKey {
		return string(work.ID)
	}
	return ""
}

// newAttempt is what reaches an executor for a try.
func (w *World) newAttempt(t *clientRequest, from invariants.NodeID, key emulator.ConnID, x *executor) emulator.Allocation {
	a := emulator.Allocation{Conn: key, Node: from, Job: t.job, Work: t.work.ID, Track: t.work.Track, Priority: w.classes[t.work.Track].Priority,
		Cost: t.work.Cost, Hint: cmp.Or(t.work.Hint, w.classes[t.work.Track].Mean)}
	if noise := w.scenario.Fleet.AttemptNoise; noise > 0 {
		a.Cost *= math.Exp(w.workNoiseRand.NormFloat64()*noise - noise*noise/2)
	}
	if a.Tag = w.idempotencyKey(t.work); a.Tag != "" {
		a.Window, a.Memory = w.jobClasses[a.Track].DedupWindow, w.dedupMemory(x, a.Track)
	}
	if w.defects.attempt != nil {
		w.defects.attempt(&a)
	}
	return a
}

// timePerByte: a body of 64 KiB takes half a millisecond to leave.
const timePerByte = 8 * time.Nanosecond

// closeConn closes a wire at the node's end.
func (n *simNode) closeConn(id node.ConnID) {
	c := n.conns[id]
	if c == nil || c.state == connClosed {
		return
	}
	if c.state == connDialing {
		c.state = connClosed
		c.closeAtExecutor()
		c.deliverAfter(processingDelay, node.ConnClosed{Conn: id, Detail: "no connection: given up"})
		return
	}
	c.closeAtExecutor()
	if l := c.attempt; l != nil {
		l.history.canceled = true
	}
	c.breakConn("closed here")
}

// breakConn ends a wire at the node's end, and tells the node.
func (c *executorConn) breakConn(why string) {
	if c.state == connClosed {
		return
	}
	was := c.state
	c.state = connClosed
	if l := c.attempt; l != nil && !l.ended {
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: policy.ConnectionLost, ConnBroken: true, Detail: why}
		if !l.written {
			ev.Outcome = policy.ConnectFailed
		}
		c.deliverAfter(processingDelay, ev)
	}
	detail := ""
	if was == connDialing {
		detail = "no connection: " + why
	}
	c.deliverAfter(processingDelay+processingDelay/2, node.ConnClosed{Conn: c.id, Detail: detail})
}

// closeAtExecutor ends a wire at the executor's end, after what is in flight.
func (c *executorConn) closeAtExecutor() {
	if c.executor != nil && c.accepted {
		c.toExecutor(func() { c.dropAtExecutor() })
	}
}

func (c *executorConn) dropAtExecutor() {
	if c.executor.conns[c.key] == c {
		delete(c.executor.conns, c.key)
		c.executor.apply(c.executor.Hangup(c.simNode.world.now, c.key))
	}
}

// resetByExecutor: the executor has broken the connection.
func (c *executorConn) resetByExecutor() {
	delete(c.executor.conns, c.key)
	c.toNode(func() { c.breakConn("reset by the executor") })
}

func (c *executorConn) silence() { c.silent = true }

// breakAt breaks a wire in between: each end sees it in its own time, and what is in flight may still come.
func (c *executorConn) breakAt(after time.Duration) {
	w := c.simNode.world
	c.simNode.later(after, func() { c.breakConn("reset on the way") })
	w.after(after+time.Duration(w.networkRand.Int64N(int64(4*time.Duration(w.scenario.Fleet.Near)))), func() {
		if !c.executor.unreachable && c.executor.Up {
			c.dropAtExecutor()
		}
	})
}

var attemptOutcomes = map[emulator.Word]policy.Outcome{emulator.Done: policy.Succeeded, emulator.Errored: policy.ExecutorError, emulator.NoRoom: policy.ExecutorFull}

// answer brings an executor's word to the node.
func (c *executorConn) answer(o emulator.Say) {
	load := node.Load{Load: policy.Load{InFlight: o.Load.Held, Queued: o.Load.Waiting, FreeSlots: o.Load.Free, FreeMemory: -1, RunTime: -1}, Known: o.Load.Known}
	sentAt := c.simNode.world.now
	if l := c.attempt; l != nil && !l.ended && l.request.job == o.Job {
		c.simNode.world.account.recordAnswer(l.history, o.Word)
	}
	c.toNode(func() {
		l := c.attempt
		if l == nil || l.ended || l.request.job != o.Job {
			return
		}
		switch o.Word {
		case emulator.Began:
			if sentAt-l.request.sentAt > slowStartNotice {
				c.simNode.world.result.StartsWaited++
			}
			c.deliver(node.AttemptProgressed{Conn: c.id, Load: load})
			return
		case emulator.Progress:
			c.deliver(node.AttemptProgressed{Conn: c.id, Progress: o.Share, Load: load})
			return
		}
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: attemptOutcomes[o.Word], Load: load}
		if o.Word == emulator.Done {
			ev.Result = []byte("done " + l.request.work.ID)
		}
		c.deliver(ev)
		if c.state == connUp {
			uses := c.uses
			c.simNode.later(processingDelay, func() {
				if c.state == connUp {
					c.deliver(node.ConnIdle{Conn: c.id})
				}
			})
			c.simNode.world.after(time.Duration(c.simNode.world.scenario.Fleet.IdleLimit), func() {
				if c.uses == uses && c.executor.conns[c.key] == c {
					c.executor.apply(c.executor.Hangup(c.simNode.world.now, c.key))
					c.resetByExecutor()
				}
			})
		}
	})
}

// slowStartNotice is from when on a start counts as having waited at the executor.
const slowStartNotice = 50 * time.Millisecond

func sortedByID(wires map[node.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(wires), func(a, b *executorConn) int { return cmp.Compare(a.id, b.id) })
}

func sortedByKey(wires map[emulator.ConnID]*executorConn) []*executorConn {
	return slices.SortedFunc(maps.Values(wires), func(a, b *executorConn) int { return cmp.Compare(a.key, b.key) })
}

func sortedSeen(known map[policy.ExecutorID]invariants.Seen) []invariants.Seen {
	return slices.SortedFunc(maps.Values(known), compareByExecutor)
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
