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
	w      *World
	number int
	addr   string
	moves  int
	wires  map[emulator.ConnID]*wire
	faults []emulator.Fault // that make it suffer now
	down   int              // faults that keep it down
	gone   bool             // it is not there: nothing answers, nothing is refused
	wake   int
	booked []*wanted // that the best choice has sent there and that have not come yet
	lives  int       // its processes so far, where the world is wired
	socks  map[emulator.ConnID]*sock
}

func (w *World) addExecutor(id string, number int, speed float64) *executor {
	x := &executor{w: w, number: number, addr: w.newAddr(), wires: map[emulator.ConnID]*wire{}}
	x.Executor = emulator.NewExecutor(w.s.Spec(id, number, speed),
		stream(w.seed, "executor "+id))
	w.executors = append(w.executors, x)
	w.byAddr[x.addr] = x
	return x
}

// newAddr is an address that nobody had before.
func (w *World) newAddr() string {
	w.addrs++
	return fmt.Sprintf("127.1.%d.%d:9000", w.addrs/250, w.addrs%250+1)
}

// entry is its entry in the list.
func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	e := emulator.Entry{Addr: x.addr, Endpoint: policy.Endpoint{Executor: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: state,
		Weight: x.size(), StartedAt: x.Started, StartedLongAgo: x.Started < 0}}
	if x.w.s.Fleet.NoWeights {
		e.Weight = 1
	}
	return e
}

// does hands on what follows from something that happened to an executor.
func (x *executor) does(outs []emulator.Out) {
	for _, o := range outs {
		switch o := o.(type) {
		case emulator.Say:
			if x.w.wired != nil {
				x.w.wired.say(x, o)
			} else if c := x.wires[o.Conn]; c != nil {
				c.say(o)
			}
		case emulator.Ran:
			if c := x.wires[o.Conn]; c != nil && c.load != nil && c.load.try.job == o.Job {
				x.w.account.began(c.load.path)
			}
			x.w.see(invariants.Seen{What: invariants.Ran, Node: o.Node, Job: o.Job, Work: o.Work, Track: o.Track, Executor: x.ID})
		case emulator.Reached:
			if x.Cold(x.w.now) {
				x.w.see(invariants.Seen{What: invariants.Reached, Node: o.Node, Job: o.Job, Executor: x.ID, Cost: o.Hint, Capacity: o.Capacity})
			}
		case emulator.Reset:
			if c := x.wires[o.Conn]; c != nil {
				c.resetByExecutor()
			}
			if s := x.socks[o.Conn]; s != nil {
				s.conn.Reset()
			}
		case emulator.Fell:
			x.w.result.Fell++
			x.w.see(invariants.Seen{What: invariants.Fell, Node: invariants.Nobody, Executor: x.ID})
			x.w.change(x.entry(policy.Removed))
			if x.w.wired != nil {
				x.w.wired.endExecutor(x, false)
			}
		}
	}
	x.wake++
	mine, next := x.wake, x.Next()
	if next == emulator.Never {
		return
	}
	x.w.at(next, func() {
		if x.wake == mine {
			x.does(x.Wake(x.w.now))
		}
	})
}

// wireState is a connection's state at the node's end.
type wireState int

const (
	dialling wireState = iota
	up
	closed
)

// wire is a connection between a node and an executor.
type wire struct {
	id     node.ConnID
	key    emulator.ConnID
	n      *sim
	x      *executor
	state  wireState
	taken  bool // the executor has it
	silent bool // nothing comes back on it
	breaks bool // it breaks at its first use
	uses   int

	dialled, upAt time.Duration // when its dial began, and was over

	load  *load
	there time.Duration // when what was sent last arrives, each way
	back  time.Duration
}

// load is an allocation on a wire.
type load struct {
	try    *try
	x      *executor
	number policy.AttemptID
	path   *attempt
	all    bool // its last byte has left the node
	ended  bool // the node is told, or about to be told, that it is over
}

// sends books that an allocation of a try goes out.
func (n *sim) sends(t *try, x *executor) *load {
	w := n.w
	l := &load{try: t, x: x, number: policy.AttemptID(t.sent), path: w.account.sent(t, x)}
	t.sent++
	t.sentAt = w.now
	if t.out++; t.out > 1 {
		w.result.Copies++
	}
	n.out++
	w.result.Allocations++
	if x.Zone != n.zone {
		w.result.Crossings++
	}
	w.see(invariants.Seen{What: invariants.FirstByte, Node: n.id, Job: t.job, Work: t.work.ID, Allocation: l.number, Executor: x.ID,
		Zone: x.Zone, Cell: x.Cell})
	return l
}

// over books that the node is told of an allocation's end.
func (n *sim) over(l *load, proof bool) {
	n.out--
	l.try.out--
	n.w.see(invariants.Seen{What: invariants.Over, Node: n.id, Job: l.try.job, Allocation: l.number, Executor: l.x.ID, Proof: proof})
}

// epsilon is how long something takes within a process.
const epsilon = 20 * time.Microsecond

// way is the least that something takes between zones.
func (w *World) way(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(w.s.Fleet.Far)
	}
	return time.Duration(w.s.Fleet.Near)
}

// oneWay is how long something takes between zones, with a little chance.
func (w *World) oneWay(from, to policy.ZoneID) time.Duration {
	d := w.way(from, to)
	return d + time.Duration(w.rand.Int64N(int64(d)/5+1))
}

// passes is when something sent now arrives: where a zone is cut off it is sent again until it gets through.
func (w *World) passes(from, to policy.ZoneID) time.Duration {
	at := w.now
	if from != to {
		at = max(at, w.cuts[from].out, w.cuts[to].in)
	}
	return at + w.oneWay(from, to)
}

// send brings something to the executor's end, in order.
func (c *wire) send(what func()) {
	c.there = max(c.there+1, c.n.w.passes(c.n.zone, c.x.Zone))
	born := c.x.Started
	c.n.w.at(c.there, func() {
		if !c.x.gone && c.x.Up && c.x.Started == born {
			what()
		}
	})
}

// bring brings something to the node's end, in order, unless it is closed there by then.
func (c *wire) bring(what func()) {
	if c.silent {
		return
	}
	c.back = max(c.back+1, c.n.w.passes(c.x.Zone, c.n.zone))
	run := c.n.run
	c.n.w.at(c.back, func() {
		if c.n.up && c.n.run == run && c.state != closed {
			what()
		}
	})
}

// tellLater tells the node in a moment, in order.
func (c *wire) tellLater(after time.Duration, ev node.Event) {
	c.n.later(after, func() { c.tell(ev) })
}

// tell books the end of an allocation with the rules, and tells the node.
func (c *wire) tell(ev node.Event) {
	switch ev := ev.(type) {
	case node.AttemptEnded:
		c.n.w.account.ended(c.load.path, ev.Outcome)
		c.n.over(c.load, ev.Outcome.NeverRan())
		c.load = nil
	case node.ConnClosed:
		delete(c.n.wires, c.id)
	}
	c.n.tell(ev)
}

// probeLimit is how long a node waits for an executor to answer a probe.
const probeLimit = 250 * time.Millisecond

// probe asks an executor for its load, beside its queue. One that answers no batch job answers no probe either.
func (n *sim) probe(e node.ProbeExecutor) {
	w, x, told := n.w, n.w.byAddr[e.Addr], false
	tell := func(ev node.ProbeEnded) {
		if !told {
			told = true
			n.tell(ev)
		}
	}
	w.result.Probes++
	n.later(probeLimit, func() { tell(node.ProbeEnded{Executor: e.Executor}) })
	if x == nil {
		return
	}
	run := n.run
	w.at(w.passes(n.zone, x.Zone), func() {
		if x.gone || !x.Up || x.Mute() {
			return
		}
		load := policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
		if says := x.Says(w.now); says.Known {
			load.InFlight, load.Queued, load.FreeSlots = says.Held, says.Waiting, says.Free
		}
		w.at(w.passes(x.Zone, n.zone), func() {
			if n.up && n.run == run {
				tell(node.ProbeEnded{Executor: e.Executor, Answered: true, Load: load})
			}
		})
	})
}

func (n *sim) dial(e node.Dial) {
	w := n.w
	w.wires++
	c := &wire{id: e.Conn, key: w.wires, n: n, x: w.byAddr[e.Addr], dialled: w.now}
	n.wires[c.id] = c
	w.result.Dials++
	limit := time.Duration(w.s.Fleet.DialLimit)
	fail := func(after time.Duration, why string) {
		n.later(after, func() {
			if c.state == dialling {
				c.state = closed
				w.result.NoConnection++
				c.tell(node.ConnClosed{Conn: c.id, Detail: "no connection: " + why})
			}
		})
	}
	fail(limit, "no answer in time")
	if c.x == nil {
		fail(2*time.Duration(w.s.Fleet.Near), "nobody there")
		return
	}
	c.silent = w.rand.Float64() < w.silentNew
	c.breaks = w.rand.Float64() < w.resetNew
	silent := c.silent
	c.silent = false // it comes up all the same
	at := w.passes(n.zone, c.x.Zone)
	w.at(at, func() {
		if c.x.gone || n.wires[c.id] != c || !n.up {
			return
		}
		if !c.x.Up {
			c.bring(func() {
				if c.state == dialling {
					c.state = closed
					w.result.NoConnection++
					c.tell(node.ConnClosed{Conn: c.id, Detail: "no connection: refused"})
				}
			})
			return
		}
		ok, outs := c.x.Open(w.now, c.key)
		if ok {
			c.taken = true
			c.x.wires[c.key] = c
		}
		c.x.does(outs)
		c.bring(func() {
			if c.state != dialling {
				return
			}
			c.state, c.upAt = up, w.now
			c.tell(node.ConnReady{Conn: c.id})
		})
		if !ok { // it has all the connections it takes: this one is closed as soon as it is up
			c.bring(func() { c.broken("closed by the executor") })
		}
		c.silent = silent
	})
}

func (n *sim) write(e node.WriteAttempt) {
	w, c := n.w, n.wires[e.Conn]
	if c == nil || c.state != up || c.load != nil {
		return // it is closed already, and the node about to be told
	}
	t := n.tries[e.Attempt.ID]
	if t == nil {
		return
	}
	if client := e.Attempt.Client; client != nil && client.Gone() {
		c.tellLater(epsilon, node.AttemptNotSent{Conn: c.id})
		return
	}
	c.uses++
	l := n.sends(t, c.x)
	c.load = l
	if c.uses == 1 {
		l.path.dialled, l.path.up = c.dialled, c.upAt
	}
	writing := epsilon + time.Duration(len(e.Attempt.Body))*bytesPerSecond
	if c.breaks {
		c.breaks = false
		c.breakAt(time.Duration(w.rand.Int64N(int64(3 * writing))))
	}
	n.later(writing, func() {
		if c.state != up || c.load != l {
			return
		}
		l.all = true
		w.see(invariants.Seen{What: invariants.LastByte, Node: n.id, Job: t.job, Allocation: l.number, Executor: c.x.ID})
		a := w.allocation(t, n.id, c.key, c.x)
		c.send(func() {
			t.landed = true
			w.account.reached(l.path, a.Cost)
			c.x.does(c.x.Take(w.now, a))
		})
	})
}

// tag is what a work of a tagged track carries; others have none.
func (w *World) tag(work *emulator.Work) string {
	if w.module[work.Track].Idempotency == policy.IdempotentWithKey {
		return string(work.ID)
	}
	return ""
}

// allocation is what reaches an executor for a try.
func (w *World) allocation(t *try, from invariants.NodeID, key emulator.ConnID, x *executor) emulator.Allocation {
	a := emulator.Allocation{Conn: key, Node: from, Job: t.job, Work: t.work.ID, Track: t.work.Track, Priority: w.tracks[t.work.Track].Priority,
		Cost: t.work.Cost, Hint: cmp.Or(t.work.Hint, w.tracks[t.work.Track].Mean)}
	if noise := w.s.Fleet.AttemptNoise; noise > 0 {
		a.Cost *= math.Exp(w.noise.NormFloat64()*noise - noise*noise/2)
	}
	if a.Tag = w.tag(t.work); a.Tag != "" {
		a.Window, a.Memory = w.module[a.Track].DedupWindow, w.memory(x, a.Track)
	}
	if w.plant.allocation != nil {
		w.plant.allocation(&a)
	}
	return a
}

// bytesPerSecond: a body of 64 KiB takes half a millisecond to leave.
const bytesPerSecond = 8 * time.Nanosecond

// close closes a wire at the node's end.
func (n *sim) close(id node.ConnID) {
	c := n.wires[id]
	if c == nil || c.state == closed {
		return
	}
	if c.state == dialling {
		c.state = closed
		c.hangup()
		c.tellLater(epsilon, node.ConnClosed{Conn: id, Detail: "no connection: given up"})
		return
	}
	c.hangup()
	if l := c.load; l != nil {
		l.path.calledOff = true
	}
	c.broken("closed here")
}

// broken ends a wire at the node's end, and tells the node.
func (c *wire) broken(why string) {
	if c.state == closed {
		return
	}
	was := c.state
	c.state = closed
	if l := c.load; l != nil && !l.ended {
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: policy.ConnectionLost, ConnBroken: true, Detail: why}
		if !l.all {
			ev.Outcome = policy.ConnectFailed
		}
		c.tellLater(epsilon, ev)
	}
	detail := ""
	if was == dialling {
		detail = "no connection: " + why
	}
	c.tellLater(epsilon+epsilon/2, node.ConnClosed{Conn: c.id, Detail: detail})
}

// hangup ends a wire at the executor's end, after what is in flight.
func (c *wire) hangup() {
	if c.x != nil && c.taken {
		c.send(func() { c.dropped() })
	}
}

func (c *wire) dropped() {
	if c.x.wires[c.key] == c {
		delete(c.x.wires, c.key)
		c.x.does(c.x.Hangup(c.n.w.now, c.key))
	}
}

// resetByExecutor: the executor has broken the connection.
func (c *wire) resetByExecutor() {
	delete(c.x.wires, c.key)
	c.bring(func() { c.broken("reset by the executor") })
}

func (c *wire) silence() { c.silent = true }

// breakAt breaks a wire in between: each end sees it in its own time, and what is in flight may still come.
func (c *wire) breakAt(after time.Duration) {
	w := c.n.w
	c.n.later(after, func() { c.broken("reset on the way") })
	w.after(after+time.Duration(w.rand.Int64N(int64(4*time.Duration(w.s.Fleet.Near)))), func() {
		if !c.x.gone && c.x.Up {
			c.dropped()
		}
	})
}

var words = map[emulator.Word]policy.Outcome{emulator.Done: policy.Succeeded, emulator.Errored: policy.ExecutorError, emulator.NoRoom: policy.ExecutorFull}

// say brings an executor's word to the node.
func (c *wire) say(o emulator.Say) {
	load := node.Load{Load: policy.Load{InFlight: o.Load.Held, Queued: o.Load.Waiting, FreeSlots: o.Load.Free, FreeMemory: -1, RunTime: -1}, Known: o.Load.Known}
	sentAt := c.n.w.now
	if l := c.load; l != nil && !l.ended && l.try.job == o.Job {
		c.n.w.account.said(l.path, o.Word)
	}
	c.bring(func() {
		l := c.load
		if l == nil || l.ended || l.try.job != o.Job {
			return
		}
		switch o.Word {
		case emulator.Began:
			if sentAt-l.try.sentAt > startWaits {
				c.n.w.result.StartsWaited++
			}
			c.tell(node.AttemptProgressed{Conn: c.id, Load: load})
			return
		case emulator.Progress:
			c.tell(node.AttemptProgressed{Conn: c.id, Progress: o.Share, Load: load})
			return
		}
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: words[o.Word], Load: load}
		if o.Word == emulator.Done {
			ev.Result = []byte("done " + l.try.work.ID)
		}
		c.tell(ev)
		if c.state == up {
			uses := c.uses
			c.n.later(epsilon, func() {
				if c.state == up {
					c.tell(node.ConnIdle{Conn: c.id})
				}
			})
			c.n.w.after(time.Duration(c.n.w.s.Fleet.IdleLimit), func() {
				if c.uses == uses && c.x.wires[c.key] == c {
					c.x.does(c.x.Hangup(c.n.w.now, c.key))
					c.resetByExecutor()
				}
			})
		}
	})
}

// startWaits is from when on a start counts as having waited at the executor.
const startWaits = 50 * time.Millisecond

func sortedByID(wires map[node.ConnID]*wire) []*wire {
	return slices.SortedFunc(maps.Values(wires), func(a, b *wire) int { return cmp.Compare(a.id, b.id) })
}

func sortedByKey(wires map[emulator.ConnID]*wire) []*wire {
	return slices.SortedFunc(maps.Values(wires), func(a, b *wire) int { return cmp.Compare(a.key, b.key) })
}

func sortedSeen(known map[policy.ExecutorID]invariants.Seen) []invariants.Seen {
	return slices.SortedFunc(maps.Values(known), compareIDs)
}

// restart starts an executor anew, cold.
func (x *executor) restart() {
	x.gone = false
	for _, c := range sortedByKey(x.wires) { // what was connected to its last life leads nowhere
		delete(x.wires, c.key)
		c.bring(func() { c.broken("reset by the executor") })
	}
	x.does(x.Start(x.w.now))
	if x.w.wired != nil {
		x.w.wired.startExecutor(x)
	}
	x.suffer()
	x.w.see(invariants.Seen{What: invariants.Started, Node: invariants.Nobody, Executor: x.ID})
	e := x.entry(policy.Available)
	e.StartedAt += x.w.clockOff
	x.w.change(e)
}

// move gives an executor another address.
func (x *executor) move() {
	delete(x.w.byAddr, x.addr)
	x.addr = x.w.newAddr()
	x.w.byAddr[x.addr] = x
}
