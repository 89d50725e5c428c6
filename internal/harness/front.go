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

// zoneClients are the clients of a zone and the front layer that spreads them over its nodes.
type zoneClients struct {
	*emulator.Clients
	cluster  *cluster
	zone     policy.ZoneID
	nextNode int
	until    time.Duration
}

// request is one handing in of a work at a node.
type request struct {
	from    *zoneClients
	work    *emulator.Work
	job     policy.JobID
	node    *nodeProcess
	runs    int
	excused bool // its node was killed or stopped: nothing is owed
}

// buildClients makes the clients of each zone; they come until then.
func (r *cluster) buildClients(until time.Duration) {
	f, l := &r.scenario.Fleet, &r.scenario.Load
	capacity := 0.0
	for _, x := range r.executors {
		capacity += x.Capacity(0)
	}
	rates := r.scenario.Rates(capacity)
	for i, zone := range f.Zones {
		c := &zoneClients{cluster: r, zone: policy.ZoneID(i), until: until}
		c.Clients = emulator.NewClients(zone+"-", r.classes, emulator.Habits{Rate: rates[i], Retries: l.Retries,
			RetryWait: time.Duration(l.RetryWait), HeedsBack: l.HeedsBack, Leaves: l.Leaves, HintNoise: l.HintNoise}, f.PerWork, rand.New(rand.NewPCG(r.options.Seed, uint64(5000+i))))
		r.clients = append(r.clients, c)
		r.after(c.Gap(), c.arrive)
	}
}

func (c *zoneClients) arrive() {
	r := c.cluster
	if r.now() >= c.until {
		return
	}
	work := c.New(r.now(), -1)
	r.result.Works++
	r.result.Asked += work.Earns
	r.offers = append(r.offers, simulation.Offer{Came: work.Came, Until: work.Quoted, Work: work.Cost, Earns: work.Earns})
	c.submit(work)
	r.after(c.Gap(), c.arrive)
}

// frontDelay is how long the front sends new connections to a node that has been told to end.
const frontDelay = 200 * time.Millisecond

// pickNode is the node that the front layer sends to: the zone's that are up, in turn; where there is none, another zone's.
func (c *zoneClients) pickNode() *nodeProcess {
	c.nextNode++
	for _, near := range [...]bool{true, false} {
		var at []*nodeProcess
		for _, p := range c.cluster.nodes {
			if (p.zone == c.zone) == near && p.up && (p.terminatedAt == 0 || c.cluster.now() < p.terminatedAt+frontDelay) {
				at = append(at, p)
			}
		}
		if len(at) > 0 {
			return at[c.nextNode%len(at)]
		}
	}
	return nil
}

func (c *zoneClients) submit(work *emulator.Work) {
	r := c.cluster
	if r.closing {
		return
	}
	t := &request{from: c, work: work, job: work.Job(), node: c.pickNode()}
	t.excused = t.node != nil && t.node.wasPaused()
	if t.node == nil {
		r.after(time.Millisecond, func() { c.requestEnded(t, emulator.EndUnreached, platform.Final{}) })
		return
	}
	r.requests[t.job] = t
	m := platform.Message{Job: t.job, Track: r.scenario.Tracks[work.Track].Name, Work: time.Duration(work.Hint * 1e9), Body: make([]byte, min(r.scenario.Load.Body, 4<<10))}
	if r.policyClasses[work.Track].Idempotency == policy.IdempotentWithKey {
		m.Tag = string(work.ID)
	}
	r.goroutines.Go(func() {
		how, f := r.send(t, m)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.over {
			c.requestEnded(t, how, f)
		}
	})
}

// send hands a try in and waits for its answer.
func (r *cluster) send(t *request, m platform.Message) (emulator.End, platform.Final) {
	run := 0
	for again := false; ; again = true {
		c, reused, now, err := r.connect(t.node, again)
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
		r.observe(invariants.Seen{What: invariants.Taken, Node: t.node.id, Job: t.job, Work: t.work.ID, Track: t.work.Track, Limit: r.now() + m.Budget})
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
				r.observeClientLeft(t)
				continue
			}
			f, err = platform.ReadFinal(in)
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.Close()
			if leaves {
				r.mu.Lock()
				r.observe(invariants.Seen{What: invariants.Went, Node: t.node.id, Job: t.job})
				r.clientLeftAt[t.job] = r.now()
				r.mu.Unlock()
			}
			return emulator.EndBrokenOff, f
		case err != nil:
			c.Close()
			return emulator.EndLost, f
		case f.Last:
			c.Close()
		default:
			r.returnConn(t.node, c)
		}
		return f.How, f
	}
}

// connect takes a connection that rests, or, wanting a new one, dials.
func (r *cluster) connect(p *nodeProcess, anew bool) (c net.Conn, reused bool, run int, err error) {
	r.mu.Lock()
	run = p.incarnation
	if n := len(p.idleConns); n > 0 && !anew {
		c, p.idleConns = p.idleConns[n-1], p.idleConns[:n-1]
	}
	r.mu.Unlock()
	if c != nil {
		return c, true, run, nil
	}
	c, err = net.DialTimeout("tcp", p.clientAddress, time.Second)
	return c, false, run, err
}

func (r *cluster) returnConn(p *nodeProcess, c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || !p.up || len(p.idleConns) >= 100 {
		c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
}

// observeClientLeft tells the rules that nothing is owed for a try.
func (r *cluster) observeClientLeft(t *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(invariants.Seen{What: invariants.Left, Node: t.node.id, Job: t.job})
}

// requestEnded is how a try ended, and what its client does then.
func (c *zoneClients) requestEnded(t *request, how emulator.End, f platform.Final) {
	r, work := c.cluster, t.work
	delete(r.requests, t.job)
	r.endedAt[t.job] = r.now()
	r.result.Tries[[...]string{"handled", "pushed back", "broken off", "unreached", "lost"}[how]]++
	whole := how == emulator.EndHandled || how == emulator.EndPushedBack
	switch {
	case how == emulator.EndUnreached || t.excused:
		// Its node was killed or stood still meanwhile: nothing is owed. An answer that came all the same is looked at.
		if t.node != nil {
			r.observe(invariants.Seen{What: invariants.Left, Node: t.node.id, Job: t.job})
		}
		if whole {
			r.checkAnswer(t, how, f)
		}
	case how == emulator.EndLost:
		r.fail("%s: node %s ended its connection with no whole answer", t.job, t.node.name)
	case f.Status == 0 && work.Leaves <= r.now(): // its client has left
	case f.Status == 0:
		r.fail("%s: node %s gave no answer by its outer limit", t.job, t.node.name)
	default:
		r.observe(invariants.Seen{What: invariants.Answered, Node: t.node.id, Job: t.job, Final: invariants.Final(how)})
		r.checkAnswer(t, how, f)
	}
	if how == emulator.EndHandled && r.now() <= work.Quoted {
		r.result.Earned += work.Earns
	}
	if at, again := c.After(r.now(), work, how, f.ComeBack); again && (how != emulator.EndLost || r.policyClasses[work.Track].Idempotency != policy.AtMostOnce) {
		r.after(at-r.now(), func() { c.submit(work) })
	}
}

// checkAnswer looks at an answer from both ends.
func (r *cluster) checkAnswer(t *request, how emulator.End, f platform.Final) {
	m := r.policyClasses[t.work.Track]
	switch {
	case how == emulator.EndHandled && !platform.IsHandled(f, string(t.work.ID)):
		r.fail("%s was answered with what no executor made for it", t.job)
	case how == emulator.EndPushedBack && t.runs > 0 && (m.Idempotency == policy.AtMostOnce || m.Idempotency == policy.IdempotentWithKey && m.DedupGroup != policy.DedupAllExecutors):
		r.fail("%s was pushed back, and ran", t.job)
	case how == emulator.EndBrokenOff && f.Status < 500:
		r.fail("%s: node %s finds fault with a sound message: status %d", t.job, t.node.name, f.Status)
	}
}
