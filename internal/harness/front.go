package harness

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/policy"
)

// clients are the clients of a zone and the front layer that spreads them over its nodes.
type clients struct {
	*emulator.Clients
	r     *Rig
	zone  policy.ZoneID
	turn  int
	until time.Duration
}

// try is one handing in of a work at a node.
type try struct {
	from *clients
	work *emulator.Work
	job  policy.JobID
	p    *proc
	ran  int
	void bool // its node was killed or stopped: nothing is owed
}

// buildClients makes the clients of each zone; they come until then.
func (r *Rig) buildClients(until time.Duration) {
	f, l := &r.s.Fleet, &r.s.Load
	capacity := 0.0
	for _, x := range r.executors {
		capacity += x.Capacity(0)
	}
	rates := r.s.Rates(capacity)
	for i, zone := range f.Zones {
		c := &clients{r: r, zone: policy.ZoneID(i), until: until}
		c.Clients = emulator.NewClients(zone+"-", r.tracks, emulator.Habits{Rate: rates[i], Retries: l.Retries,
			RetryWait: time.Duration(l.RetryWait), HeedsBack: l.HeedsBack, Leaves: l.Leaves, HintNoise: l.HintNoise}, f.PerWork, rand.New(rand.NewPCG(r.o.Seed, uint64(5000+i))))
		r.clients = append(r.clients, c)
		r.after(c.Gap(), c.arrive)
	}
}

func (c *clients) arrive() {
	r := c.r
	if r.now() >= c.until {
		return
	}
	work := c.New(r.now(), -1)
	r.result.Works++
	r.result.Asked += work.Earns
	r.offers = append(r.offers, simulation.Offer{Came: work.Came, Until: work.Quoted, Work: work.Cost, Earns: work.Earns})
	c.handIn(work)
	r.after(c.Gap(), c.arrive)
}

// goesOn is how long the front sends new connections to a node that has been told to end.
const goesOn = 200 * time.Millisecond

// pick is the node that the front layer sends to: the zone's that are up, in turn; where there is none, another zone's.
func (c *clients) pick() *proc {
	c.turn++
	for _, near := range [...]bool{true, false} {
		var at []*proc
		for _, p := range c.r.nodes {
			if (p.zone == c.zone) == near && p.up && (p.leaving == 0 || c.r.now() < p.leaving+goesOn) {
				at = append(at, p)
			}
		}
		if len(at) > 0 {
			return at[c.turn%len(at)]
		}
	}
	return nil
}

func (c *clients) handIn(work *emulator.Work) {
	r := c.r
	if r.closing {
		return
	}
	t := &try{from: c, work: work, job: work.Job(), p: c.pick()}
	t.void = t.p != nil && t.p.wasStopped()
	if t.p == nil {
		r.after(time.Millisecond, func() { c.ended(t, emulator.EndUnreached, platform.Final{}) })
		return
	}
	r.tries[t.job] = t
	m := platform.Message{Job: t.job, Track: r.s.Tracks[work.Track].Name, Work: time.Duration(work.Hint * 1e9), Body: make([]byte, min(r.s.Load.Body, 4<<10))}
	if r.module[work.Track].Idempotency == policy.IdempotentWithKey {
		m.Tag = string(work.ID)
	}
	r.waits.Go(func() {
		how, f := r.call(t, m)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.over {
			c.ended(t, how, f)
		}
	})
}

// call hands a try in and waits for its answer.
func (r *Rig) call(t *try, m platform.Message) (emulator.End, platform.Final) {
	run := 0
	for again := false; ; again = true {
		c, reused, now, err := r.connect(t.p, again)
		switch {
		case again && (err != nil || now != run):
			return emulator.EndLost, platform.Final{} // its process is gone, and may have read the first
		case err != nil:
			return emulator.EndUnreached, platform.Final{}
		}
		run = now
		m.Budget = (t.work.Limit - r.now()).Truncate(time.Millisecond)
		if m.Budget <= 0 {
			c.Close()
			return emulator.EndUnreached, platform.Final{}
		}
		r.mu.Lock()
		r.see(invariants.Seen{What: invariants.Taken, Node: t.p.id, Job: t.job, Work: t.work.ID, Track: t.work.Track, Limit: r.now() + m.Budget})
		r.mu.Unlock()
		until := m.Budget + slack + 500*time.Millisecond
		leaves := t.work.Leaves < t.work.Limit
		if leaves {
			until = max(0, t.work.Leaves-r.now())
		}
		c.SetDeadline(time.Now().Add(until))
		_, err = c.Write(m.Append(nil))
		var f platform.Final
		in := bufio.NewReader(c)
		if err == nil {
			if _, err = in.Peek(1); err != nil && reused && !again && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.Close() // it closed while it was on its way: once more on a new one
				r.left(t)
				continue
			}
			f, err = platform.ReadFinal(in)
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.Close()
			if leaves {
				r.mu.Lock()
				r.see(invariants.Seen{What: invariants.Went, Node: t.p.id, Job: t.job})
				r.went[t.job] = r.now()
				r.mu.Unlock()
			}
			return emulator.EndBrokenOff, f
		case err != nil:
			c.Close()
			return emulator.EndLost, f
		case f.Last:
			c.Close()
		default:
			r.rest(t.p, c)
		}
		return f.How, f
	}
}

// connect takes a connection that rests, or, wanting a new one, dials.
func (r *Rig) connect(p *proc, anew bool) (c net.Conn, reused bool, run int, err error) {
	r.mu.Lock()
	run = p.run
	if n := len(p.pool); n > 0 && !anew {
		c, p.pool = p.pool[n-1], p.pool[:n-1]
	}
	r.mu.Unlock()
	if c != nil {
		return c, true, run, nil
	}
	c, err = net.DialTimeout("tcp", p.listen, time.Second)
	return c, false, run, err
}

func (r *Rig) rest(p *proc, c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || !p.up || len(p.pool) >= 100 {
		c.Close()
		return
	}
	p.pool = append(p.pool, c)
}

// left tells the rules that nothing is owed for a try.
func (r *Rig) left(t *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.see(invariants.Seen{What: invariants.Left, Node: t.p.id, Job: t.job})
}

// ended is how a try ended, and what its client does then.
func (c *clients) ended(t *try, how emulator.End, f platform.Final) {
	r, work := c.r, t.work
	delete(r.tries, t.job)
	r.forgotten[t.job] = r.now()
	r.result.Tries[[...]string{"handled", "pushed back", "broken off", "unreached", "lost"}[how]]++
	whole := how == emulator.EndHandled || how == emulator.EndPushedBack
	switch {
	case how == emulator.EndUnreached || t.void:
		// Its node was killed or stood still meanwhile: nothing is owed. An answer that came all the same is looked at.
		if t.p != nil {
			r.see(invariants.Seen{What: invariants.Left, Node: t.p.id, Job: t.job})
		}
		if whole {
			r.check(t, how, f)
		}
	case how == emulator.EndLost:
		r.wrong("%s: node %s ended its connection with no whole answer", t.job, t.p.name)
	case f.Status == 0 && work.Leaves <= r.now(): // its client has left
	case f.Status == 0:
		r.wrong("%s: node %s gave no answer by its outer limit", t.job, t.p.name)
	default:
		r.see(invariants.Seen{What: invariants.Answered, Node: t.p.id, Job: t.job, Final: invariants.Final(how)})
		r.check(t, how, f)
	}
	if how == emulator.EndHandled && r.now() <= work.Quoted {
		r.result.Earned += work.Earns
	}
	if at, again := c.After(r.now(), work, how, f.ComeBack); again && (how != emulator.EndLost || r.module[work.Track].Idempotency != policy.AtMostOnce) {
		r.after(at-r.now(), func() { c.handIn(work) })
	}
}

// check looks at an answer from both ends.
func (r *Rig) check(t *try, how emulator.End, f platform.Final) {
	m := r.module[t.work.Track]
	switch {
	case how == emulator.EndHandled && !platform.IsHandled(f, string(t.work.ID)):
		r.wrong("%s was answered with what no executor made for it", t.job)
	case how == emulator.EndPushedBack && t.ran > 0 && (m.Idempotency == policy.AtMostOnce || m.Idempotency == policy.IdempotentWithKey && m.DedupGroup != policy.DedupAllExecutors):
		r.wrong("%s was pushed back, and ran", t.job)
	case how == emulator.EndBrokenOff && f.Status < 500:
		r.wrong("%s: node %s finds fault with a sound message: status %d", t.job, t.p.name, f.Status)
	}
}
