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

// executor is a stand-in executor on sockets: the lab's model, on this machine's clock. Each node reaches it at an address of its own.
type executor struct {
	*emulator.Executor
	r      *Rig
	lives  int
	socks  map[emulator.ConnID]*sock
	downs  int
	faults []emulator.Fault
	timer  *time.Timer
}

// sock is a connection from a node.
type sock struct {
	c      net.Conn
	answer platform.Answer
}

func (r *Rig) newExecutor(id string, number int, speed float64) *executor {
	x := &executor{r: r, socks: map[emulator.ConnID]*sock{}}
	x.Executor = emulator.NewExecutor(r.s.Spec(id, number, speed), rand.New(rand.NewPCG(r.o.Seed, uint64(1000+number))))
	x.Started -= time.Hour
	r.executors = append(r.executors, x)
	return x
}

func (x *executor) entry(state policy.EndpointState) emulator.Entry {
	return emulator.Entry{Endpoint: policy.Endpoint{Executor: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: state, Weight: float64(x.Cores) * x.Speed,
		StartedAt: x.Started, StartedLongAgo: x.Started < 0}}
}

// meet opens the address where a node reaches an executor.
func (p *proc) meet(x *executor) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.reach[x.ID] = l
	p.r.waits.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.r.waits.Go(func() { x.serve(p, c) })
		}
	})
	return nil
}

// serve reads allocations from a node's connection until it ends.
func (x *executor) serve(p *proc, c net.Conn) {
	defer c.Close()
	r := x.r
	var key emulator.ConnID
	lives, taken := 0, false
	r.mu.Lock()
	if !r.over && x.Up {
		r.conns++
		key, lives = r.conns, x.lives
		ok, outs := x.Open(r.now(), key)
		if taken = ok; ok {
			x.socks[key] = &sock{c: c}
		}
		x.does(outs)
	}
	r.mu.Unlock()
	if !taken {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(time.Duration(r.s.Fleet.IdleLimit) + time.Minute))
		m, err := platform.ReadAllocation(in)
		r.mu.Lock()
		if r.over || x.lives != lives || x.socks[key] == nil {
			r.mu.Unlock()
			return
		}
		if err != nil {
			delete(x.socks, key)
			x.does(x.Hangup(r.now(), key))
			r.mu.Unlock()
			return
		}
		x.came(p, key, m)
		r.mu.Unlock()
	}
}

// came takes in an allocation, whole.
func (x *executor) came(p *proc, key emulator.ConnID, m platform.Message) {
	r := x.r
	r.awaited(p, x, m.Job)
	t := r.tries[m.Job]
	if t == nil {
		// Its client has its answer, or has given up by now: nothing may be sent for it any more.
		if r.forgotten[m.Job] > 0 && r.now() > r.forgotten[m.Job]+slack+r.stood() && !p.wasStopped() {
			r.wrong("%s was sent to %s by %s %v after its end", m.Job, x.ID, p.name, r.now()-r.forgotten[m.Job])
		}
		return
	}
	r.result.Allocations++
	r.result.Work += t.work.Cost
	if known, ok := p.known[x.ID]; ok && known.State == policy.Available {
		if at, drains := r.firstTold[x.ID]; drains && r.now() > at+time.Duration(r.s.Fleet.DrainGrace)+drainSlow {
			r.result.Late++
			r.note("%s was sent to %s by %s, %v after another node was told that it drains", m.Job, x.ID, p.name, r.now()-at)
		}
	} else if ok && r.now() > known.At+time.Duration(r.s.Fleet.DrainGrace)+slack+r.stood() && !p.wasStopped() {
		r.wrong("%s was sent to %s by %s %v after that node was told that it drains or is gone", m.Job, x.ID, p.name, r.now()-known.At)
	}
	if late, yes := r.checker.Uninformed(r.now(), p.id, x.ID); yes && late > slack+r.stood() && !p.wasStopped() && !t.void {
		r.wrong("%v: %s was sent to %s by %s %v after that node could have heard for %v that it drains or is gone", invariants.Informed, m.Job, x.ID, p.name, late, invariants.InformedWithin)
	}
	a := emulator.Allocation{Conn: key, Node: p.id, Job: m.Job, Work: t.work.ID, Track: t.work.Track, Priority: r.tracks[t.work.Track].Priority,
		Cost: t.work.Cost, Hint: t.work.Hint}
	if a.Hint == 0 {
		a.Hint = r.tracks[a.Track].Mean
	}
	if r.module[a.Track].Idempotency == policy.IdempotentWithKey {
		a.Tag, a.Window, a.Memory = string(t.work.ID), r.module[a.Track].DedupWindow, r.memories.Of(a.Track, r.module[a.Track].DedupGroup, x.ExecutorSpec)
	}
	x.does(x.Take(r.now(), a))
}

// awaited holds an attempt that has come against the end of its client's connection, as package rules does: the rig sees no first byte but
// what reaches an executor. That its node's process stood still is no excuse: what was written before that is here before it goes on.
func (r *Rig) awaited(p *proc, x *executor, job policy.JobID) {
	at, went := r.went[job]
	if !went || r.now() <= at+invariants.AwaitedFor+lookLate {
		return
	}
	late := r.now() - at
	r.result.SentLate++
	r.note("%s reached %s by %s %v after its client had left", job, x.ID, p.name, late)
	if r.result.SentLate > invariants.LateSpared || late >= invariants.AwaitedMost+slack {
		r.wrong("%s reached %s by %s %v after its client had left, late attempt %d", job, x.ID, p.name, late, r.result.SentLate)
	}
}

// does hands on what follows from something that happened to an executor, and sets its timer. It is called with the rig's mutex held.
func (x *executor) does(outs []emulator.Out) {
	r := x.r
	for _, o := range outs {
		switch o := o.(type) {
		case emulator.Say:
			x.say(o)
		case emulator.Ran:
			if t := r.tries[o.Job]; t != nil {
				t.ran++
			}
			r.see(invariants.Seen{What: invariants.Ran, Node: o.Node, Job: o.Job, Work: o.Work, Track: o.Track, Executor: x.ID})
		case emulator.Reached:
			if x.Cold(r.now()) {
				r.see(invariants.Seen{What: invariants.Reached, Node: o.Node, Job: o.Job, Executor: x.ID, Cost: o.Hint, Capacity: o.Capacity})
			}
		case emulator.Reset:
			if s := x.socks[o.Conn]; s != nil {
				delete(x.socks, o.Conn)
				s.c.(*net.TCPConn).SetLinger(0)
				s.c.Close()
			}
		case emulator.Fell:
			r.result.Fell++
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
				x.does(x.Wake(r.now()))
			}
		})
	}
}

// say writes an executor's word. Words are short: the kernel takes them at once.
func (x *executor) say(o emulator.Say) {
	s := x.socks[o.Conn]
	t := x.r.tries[o.Job]
	if o.Word == emulator.Done {
		if t != nil {
			x.r.result.Finished += t.work.Cost
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
	s.c.SetWriteDeadline(time.Now().Add(time.Second))
	s.c.Write(b) //nolint:errcheck // a broken connection is seen by its reader, which books it
}

// crash ends an executor's process.
func (x *executor) crash() {
	x.lives++
	x.does(x.Crash(x.r.now()))
}

// restart starts it anew, cold.
func (x *executor) restart() {
	r := x.r
	x.does(x.Start(r.now()))
	delete(r.firstTold, x.ID)
	r.see(invariants.Seen{What: invariants.Started, Node: invariants.Nobody, Executor: x.ID, Start: x.Started}) // as the list says it, or no node would count as told
	r.change(x.entry(policy.Available))
}

func (x *executor) close() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.timer != nil {
		x.timer.Stop()
	}
	for _, s := range x.socks {
		s.c.Close()
	}
}

// ---- Discovery ----

// change books a change of the list and lets nodes know in time.
func (r *Rig) change(e emulator.Entry) {
	at := r.discovery.Change(r.now(), e)
	r.checker.Listed(at, e.Executor, e.State)
	r.after(at-r.now()+time.Millisecond, r.changed)
}

// changed lets all watches look.
func (r *Rig) changed() {
	close(r.news)
	r.news = make(chan struct{})
}

// serveLists is a node's own way to discovery.
func (p *proc) serveLists() {
	for {
		c, err := p.lists.Accept()
		if err != nil {
			return
		}
		p.r.waits.Go(func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				c.SetReadDeadline(time.Now().Add(2 * time.Minute))
				ask, err := platform.ReadWatch(in)
				if err != nil {
					return
				}
				answer := p.watch(ask)
				if answer == nil {
					return
				}
				if _, err := c.Write(answer); err != nil {
					return
				}
			}
		})
	}
}

// watch waits until there is an answer; while discovery says nothing to this node there is none.
func (p *proc) watch(ask platform.Watch) []byte {
	r := p.r
	until := time.Now().Add(ask.Hold)
	for {
		r.mu.Lock()
		if r.over {
			r.mu.Unlock()
			return nil
		}
		news := r.news
		if !p.deaf && !r.discovery.Silent() {
			version, entries := r.discovery.Since(r.now(), ask.From)
			if ask.Whole {
				entries = r.discovery.Whole(r.now())
			}
			if ask.Whole || len(entries) > 0 || !time.Now().Before(until) {
				answer := p.tell(version, ask.Whole, entries)
				r.mu.Unlock()
				return answer
			}
		}
		r.mu.Unlock()
		var over <-chan time.Time
		if left := time.Until(until); left > 0 {
			over = time.After(left)
		}
		select {
		case <-news:
		case <-over:
		}
	}
}

// tell books what a node is told, with the addresses that are its own.
func (p *proc) tell(version int, whole bool, entries []emulator.Entry) []byte {
	r := p.r
	named := map[policy.ExecutorID]bool{}
	own := make([]emulator.Entry, 0, len(entries))
	for _, e := range entries {
		named[e.Executor] = true
		l := p.reach[e.Executor]
		if l == nil {
			continue
		}
		e.Addr = l.Addr().String()
		own = append(own, e)
		start := e.StartedAt
		if e.StartedLongAgo {
			start = -time.Hour
		}
		p.told(invariants.Seen{Executor: e.Executor, State: e.State, Start: start})
	}
	if whole {
		for id, was := range p.known {
			if !named[id] && was.State != policy.Removed {
				p.told(invariants.Seen{Executor: id, State: policy.Removed, Start: was.Start})
			}
		}
	}
	return platform.AppendList(nil, version, whole, own, r.s.Fleet.Zones, r.start)
}

func (p *proc) told(s invariants.Seen) {
	s.What, s.Node, s.At = invariants.Told, p.id, p.r.now()
	was, ok := p.known[s.Executor]
	if ok && was.State == s.State && was.Start == s.Start {
		return
	}
	if ok && was.State != policy.Available && s.State != policy.Available {
		s.At = was.At
	}
	p.known[s.Executor] = s
	if s.State != policy.Available {
		if _, ok := p.r.firstTold[s.Executor]; !ok {
			p.r.firstTold[s.Executor] = p.r.now()
		}
	}
	p.r.see(s)
}
