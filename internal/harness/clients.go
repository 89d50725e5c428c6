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

// zoneClients are the clients of a zone and the load balancer in front of its nodes.
type zoneClients struct {
	*emulator.Clients
	cluster  *cluster
	zone     policy.ZoneID
	nextNode int
	until    time.Duration
}

// request is a request of a client at a node.
type request struct {
	from    *zoneClients
	work    *emulator.Work
	job     policy.JobID
	node    *nodeProcess
	runs    int  // effects that executors have begun for it
	excused bool // its node was killed or paused meanwhile: no answer is owed
}

// buildClients starts the clients of each zone, which submit work until the given time.
func (r *cluster) buildClients(until time.Duration) {
	f, l := &r.scenario.Fleet, &r.scenario.Load
	capacity := 0.0
	for _, x := range r.executors {
		capacity += x.Capacity(0)
	}
	rates := r.scenario.Rates(capacity)
	for i, zone := range f.Zones {
		c := &zoneClients{cluster: r, zone: policy.ZoneID(i), until: until}
		c.Clients = emulator.NewClients(zone+"-", r.classes, emulator.Behavior{Rate: rates[i], Retries: l.Retries,
			Backoff: time.Duration(l.RetryWait), FollowsRetryAfter: l.RespectsRetryAfter, LeaveShare: l.LeaveRate, HintNoise: l.HintNoise}, f.ValuePerWork, rand.New(rand.NewPCG(r.options.Seed, uint64(5000+i))))
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
	r.result.Requested += work.Value
	r.offers = append(r.offers, simulation.Offer{ArrivedAt: work.ArrivedAt, Objective: work.Objective, Work: work.Cost, Value: work.Value})
	c.submit(work)
	r.after(c.Gap(), c.arrive)
}

// Limits of clients and of the load balancer.
const (
	frontDelay    = 200 * time.Millisecond // the load balancer sends requests to a node for so long after its shutdown has begun
	overdueMargin = 500 * time.Millisecond // beyond slack, until a client stops waiting for an answer
	maxIdleConns  = 100                    // to a node
	maxBody       = 4 << 10                // of a request, in bytes
)

// pickNode returns the node that the load balancer sends to: the zone's nodes that are up, in turn, or if there is none another zone's;
// nil if no node is up.
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
	m := platform.Request{Job: t.job, Class: r.scenario.Classes[work.Class].Name, StatedCost: time.Duration(work.StatedCost * 1e9), Body: make([]byte, min(r.scenario.Load.BodyBytes, maxBody))}
	if r.policyClasses[work.Class].Idempotency == policy.IdempotentWithKey {
		m.IdempotencyKey = string(work.ID)
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

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reused      bool // it has carried a request before
	incarnation int  // of the node's process
}

// errIdleConnClosed says that the node closed an idle connection before it can have read the request.
var errIdleConnClosed = errors.New("the node closed an idle connection")

// send sends a request and waits for its answer. If the node closes an idle connection at the same time, it is sent once more on a new one.
func (r *cluster) send(t *request, m platform.Request) (emulator.End, platform.Final) {
	incarnation := 0
	for again := false; ; again = true {
		c, err := r.connect(t.node, again)
		switch {
		case again && (err != nil || c.incarnation != incarnation):
			return emulator.EndLost, platform.Final{} // its process is gone, and may have read the first
		case err != nil:
			return emulator.EndUnreached, platform.Final{}
		}
		incarnation = c.incarnation
		m.Budget = (t.work.Deadline - r.now()).Truncate(time.Millisecond)
		if m.Budget <= 0 {
			c.Close()
			return emulator.EndUnreached, platform.Final{}
		}
		f, err := r.exchange(c, t, m, c.reused && !again)
		if errors.Is(err, errIdleConnClosed) {
			c.Close()
			r.observeClientLeft(t)
			continue
		}
		return r.exchangeEnded(c, t, f, err), f
	}
}

// exchange sends a request on a connection and reads the answer. It fails with os.ErrDeadlineExceeded when the client leaves, or when the
// answer is overdue, and with errIdleConnClosed only if mayRetry is set.
func (r *cluster) exchange(c *clientConn, t *request, m platform.Request, mayRetry bool) (f platform.Final, err error) {
	r.mu.Lock()
	r.observe(invariants.Event{Kind: invariants.JobAccepted, Node: t.node.id, Job: t.job, Work: t.work.ID, Class: t.work.Class, Deadline: r.now() + m.Budget})
	r.mu.Unlock()
	wait := m.Budget + slack + overdueMargin
	if t.clientLeaves() {
		wait = max(0, t.work.LeavesAt-r.now())
	}
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(m.Append(nil)); err != nil {
		return f, err
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil && mayRetry && !errors.Is(err, os.ErrDeadlineExceeded) {
		return f, errIdleConnClosed
	}
	return platform.ReadFinal(in)
}

// exchangeEnded returns how a request ended for its client, and closes or returns the connection.
func (r *cluster) exchangeEnded(c *clientConn, t *request, f platform.Final, err error) emulator.End {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		if t.clientLeaves() {
			r.mu.Lock()
			r.observe(invariants.Event{Kind: invariants.ClientLeft, Node: t.node.id, Job: t.job})
			r.clientLeftAt[t.job] = r.now()
			r.mu.Unlock()
		}
		return emulator.EndFailed
	case err != nil:
		c.Close()
		return emulator.EndLost
	case f.Closes:
		c.Close()
	default:
		r.returnConn(t.node, c.Conn)
	}
	return f.End
}

// clientLeaves reports whether the client leaves before the deadline.
func (t *request) clientLeaves() bool { return t.work.LeavesAt < t.work.Deadline }

// connect returns an idle connection to a node, or dials a new one if there is none or fresh is set.
func (r *cluster) connect(p *nodeProcess, fresh bool) (*clientConn, error) {
	r.mu.Lock()
	c := &clientConn{incarnation: p.incarnation}
	if n := len(p.idleConns); n > 0 && !fresh {
		c.Conn, p.idleConns = p.idleConns[n-1], p.idleConns[:n-1]
		c.reused = true
	}
	r.mu.Unlock()
	if c.reused {
		return c, nil
	}
	var err error
	c.Conn, err = net.DialTimeout("tcp", p.clientAddress, time.Second)
	return c, err
}

// returnConn keeps a connection for a later request.
func (r *cluster) returnConn(p *nodeProcess, c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || !p.up || len(p.idleConns) >= maxIdleConns {
		c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
}

// observeClientLeft tells the checker that no answer is owed for a request.
func (r *cluster) observeClientLeft(t *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: t.node.id, Job: t.job})
}

// endNames are the keys of the counts of requests in a Result.
var endNames = [...]string{"handled", "pushed back", "broken off", "unreached", "lost"}

// requestEnded checks how a request ended, and lets its client retry. It is called with r.mu held.
func (c *zoneClients) requestEnded(t *request, how emulator.End, f platform.Final) {
	r, work := c.cluster, t.work
	delete(r.requests, t.job)
	r.endedAt[t.job] = r.now()
	r.result.Requests[endNames[how]]++
	complete := how == emulator.EndSucceeded || how == emulator.EndRejected
	switch {
	case how == emulator.EndUnreached || t.excused:
		// Nothing is owed, but an answer that came all the same is checked.
		if t.node != nil {
			r.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: t.node.id, Job: t.job})
		}
		if complete {
			r.checkAnswer(t, how, f)
		}
	case how == emulator.EndLost:
		r.fail("%s: node %s ended its connection with no whole answer", t.job, t.node.name)
	case f.Status == 0 && work.LeavesAt <= r.now(): // its client has left
	case f.Status == 0:
		r.fail("%s: node %s gave no answer by its outer limit", t.job, t.node.name)
	default:
		r.observe(invariants.Event{Kind: invariants.JobAnswered, Node: t.node.id, Job: t.job, Final: invariants.Final(how)})
		r.checkAnswer(t, how, f)
	}
	if how == emulator.EndSucceeded && r.now() <= work.Objective {
		r.result.Earned += work.Value
	}
	if at, again := c.RetryAt(r.now(), work, how, f.RetryAfter); again && (how != emulator.EndLost || r.policyClasses[work.Class].Idempotency != policy.AtMostOnce) {
		r.after(at-r.now(), func() { c.submit(work) })
	}
}

// checkAnswer checks an answer against what executors ran.
func (r *cluster) checkAnswer(t *request, how emulator.End, f platform.Final) {
	m := r.policyClasses[t.work.Class]
	switch {
	case how == emulator.EndSucceeded && !platform.IsSuccess(f, string(t.work.ID)):
		r.fail("%s was answered with what no executor made for it", t.job)
	case how == emulator.EndRejected && t.runs > 0 && (m.Idempotency == policy.AtMostOnce || m.Idempotency == policy.IdempotentWithKey && m.DedupGroup != policy.DedupAllExecutors):
		r.fail("%s was pushed back, and ran", t.job)
	case how == emulator.EndFailed && f.Status < 500:
		r.fail("%s: node %s finds fault with a sound message: status %d", t.job, t.node.name, f.Status)
	}
}
