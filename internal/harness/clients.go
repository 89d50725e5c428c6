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

// zoneClients are the emulated clients of a zone and the load balancer between them and the nodes.
type zoneClients struct {
	*emulator.Clients
	cluster  *cluster
	zone     policy.ZoneID
	nextNode int           // position in the load balancer's rotation
	until    time.Duration // end of the load
}

// clientRequest is a request that a client sends to a node. The node is nil if none was running.
type clientRequest struct {
	clients *zoneClients
	work    *emulator.Work
	job     policy.JobID
	node    *nodeProcess
	effects int // number of effects that executors have started for the request
	// Whether the request may stay unanswered, because its node was killed or paused, or because the run ends.
	excused bool
}

// buildClients starts the clients of each zone, which submit work until the given time. It is called with r.mu held.
func (r *cluster) buildClients(until time.Duration) {
	f, l := &r.scenario.Fleet, &r.scenario.Load
	capacity := 0.0
	for _, x := range r.executors {
		capacity += x.Capacity(0)
	}
	rates := r.scenario.Rates(capacity)
	for i, zone := range f.Zones {
		c := &zoneClients{cluster: r, zone: policy.ZoneID(i), until: until}
		c.Clients = emulator.NewClients(zone+"-", r.clientClasses, emulator.Behavior{Rate: rates[i], Retries: l.Retries,
			Backoff: time.Duration(l.RetryWait), FollowsRetryAfter: l.RespectsRetryAfter, LeaveFraction: l.LeaveRate, HintNoise: l.HintNoise}, f.ValuePerWork, rand.New(rand.NewPCG(r.options.Seed, uint64(5000+i))))
		r.clients = append(r.clients, c)
		r.after(c.Gap(), c.arrive)
	}
}

// arrive submits a new work item and schedules the next one, until the load ends. It is called with r.mu held.
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
	loadBalancerDelay = 200 * time.Millisecond // time after the start of a node's shutdown in which it is still picked
	overdueTolerance  = 500 * time.Millisecond // extra time beyond timingTolerance that a client waits for an answer
	maxIdleConns      = 100                    // idle connections that clients keep to a node
	maxBodyBytes      = 4 << 10                // largest request body that clients send, in bytes
)

// pickNode returns the node that the load balancer sends the next request to. It rotates over the running nodes of the
// zone, or over those of the other zones if the zone has none. It returns nil if no node is running.
func (c *zoneClients) pickNode() *nodeProcess {
	c.nextNode++
	for _, near := range [...]bool{true, false} {
		var candidates []*nodeProcess
		for _, p := range c.cluster.nodes {
			if (p.zone == c.zone) == near && p.up && (p.terminatedAt == 0 || c.cluster.now() < p.terminatedAt+loadBalancerDelay) {
				candidates = append(candidates, p)
			}
		}
		if len(candidates) > 0 {
			return candidates[c.nextNode%len(candidates)]
		}
	}
	return nil
}

// submit sends a request for a work item, unless the run is ending. It is called with r.mu held.
func (c *zoneClients) submit(work *emulator.Work) {
	r := c.cluster
	if r.closing {
		return
	}
	request := &clientRequest{clients: c, work: work, job: work.Job(), node: c.pickNode()}
	request.excused = request.node != nil && request.node.wasPaused()
	if request.node == nil {
		r.after(time.Millisecond, func() { c.requestEnded(request, emulator.EndUnreached, platform.Final{}) })
		return
	}
	r.requests[request.job] = request
	message := platform.Request{Job: request.job, Class: r.scenario.Classes[work.Class].Name, StatedCost: time.Duration(work.StatedCost * 1e9), Body: make([]byte, min(r.scenario.Load.BodyBytes, maxBodyBytes))}
	if r.nodeClasses[work.Class].Idempotency == policy.IdempotentWithKey {
		message.IdempotencyKey = string(work.ID)
	}
	r.goroutines.Go(func() {
		end, f := r.send(request, message)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.stopped {
			c.requestEnded(request, end, f)
		}
	})
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reused      bool // whether the connection has carried an earlier request
	incarnation int  // incarnation of the node's process when the connection was taken or dialed
}

// errIdleConnClosed means that a reused connection failed before the first byte of the answer. The node may have closed
// the idle connection without reading the request.
var errIdleConnClosed = errors.New("the node closed an idle connection")

// send sends a request and waits for its answer. If a reused connection fails before the answer begins, send repeats
// the request once on a new connection.
func (r *cluster) send(request *clientRequest, message platform.Request) (emulator.End, platform.Final) {
	incarnation := 0
	for again := false; ; again = true {
		c, err := r.connect(request.node, again)
		switch {
		case again && (err != nil || c.incarnation != incarnation):
			return emulator.EndLost, platform.Final{} // the node's process has ended, and may have read the first request
		case err != nil:
			return emulator.EndUnreached, platform.Final{}
		}
		incarnation = c.incarnation
		message.Budget = (request.work.Deadline - r.now()).Truncate(time.Millisecond)
		if message.Budget <= 0 {
			c.Close()
			return emulator.EndUnreached, platform.Final{}
		}
		f, err := r.exchange(c, request, message, c.reused && !again)
		if errors.Is(err, errIdleConnClosed) {
			c.Close()
			r.observeClientLeft(request)
			continue
		}
		return r.exchangeEnded(c, request, f, err), f
	}
}

// exchange sends a request on a connection and reads the answer. It fails with os.ErrDeadlineExceeded when the client
// disconnects or the answer is overdue, and with errIdleConnClosed only if mayRetry is set.
func (r *cluster) exchange(c *clientConn, request *clientRequest, message platform.Request, mayRetry bool) (f platform.Final, err error) {
	r.mu.Lock()
	r.observe(invariants.Event{Kind: invariants.JobAccepted, Node: request.node.id, Job: request.job, Work: request.work.ID, Class: request.work.Class, Deadline: r.now() + message.Budget})
	r.mu.Unlock()
	wait := message.Budget + timingTolerance + overdueTolerance
	if request.clientLeaves() {
		wait = max(0, request.work.LeavesAt-r.now())
	}
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(message.Append(nil)); err != nil {
		return f, err
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil && mayRetry && !errors.Is(err, os.ErrDeadlineExceeded) {
		return f, errIdleConnClosed
	}
	return platform.ReadFinal(in)
}

// exchangeEnded returns how a request ended for its client. It closes the connection or keeps it for a later request.
func (r *cluster) exchangeEnded(c *clientConn, request *clientRequest, f platform.Final, err error) emulator.End {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		if request.clientLeaves() {
			r.mu.Lock()
			r.observe(invariants.Event{Kind: invariants.ClientLeft, Node: request.node.id, Job: request.job})
			r.clientLeftAt[request.job] = r.now()
			r.mu.Unlock()
		}
		return emulator.EndFailed
	case err != nil:
		c.Close()
		return emulator.EndLost
	case f.Closes:
		c.Close()
	default:
		r.returnConn(request.node, c.Conn)
	}
	return f.End
}

// clientLeaves reports whether the client disconnects before the request's deadline.
func (request *clientRequest) clientLeaves() bool {
	return request.work.LeavesAt < request.work.Deadline
}

// connect returns an idle connection to a node. It dials a new one if there is none or fresh is set.
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
	if r.stopped || !p.up || len(p.idleConns) >= maxIdleConns {
		c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
}

// observeClientLeft informs the checker that a request on a connection that the node has closed needs no answer.
func (r *cluster) observeClientLeft(request *clientRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: request.node.id, Job: request.job})
}

// endNames are the keys of Result.Requests, indexed by emulator.End.
var endNames = [...]string{"handled", "pushed back", "broken off", "unreached", "lost"}

// requestEnded counts and checks how a request ended, and schedules a retry if the client wants one. It is called with
// r.mu held.
func (c *zoneClients) requestEnded(request *clientRequest, end emulator.End, f platform.Final) {
	r, work := c.cluster, request.work
	delete(r.requests, request.job)
	r.endedAt[request.job] = r.now()
	r.result.Requests[endNames[end]]++
	complete := end == emulator.EndSucceeded || end == emulator.EndRejected
	switch {
	case end == emulator.EndUnreached || request.excused:
		// No answer is required, but one that was received is still checked.
		if request.node != nil {
			r.observe(invariants.Event{Kind: invariants.ClientKnownLeft, Node: request.node.id, Job: request.job})
		}
		if complete {
			r.checkAnswer(request, end, f)
		}
	case end == emulator.EndLost:
		r.fail("%s: node %s ended its connection with no whole answer", request.job, request.node.name)
	case f.Status == 0 && work.LeavesAt <= r.now(): // the client has disconnected
	case f.Status == 0:
		r.fail("%s: node %s gave no answer by its outer limit", request.job, request.node.name)
	default:
		r.observe(invariants.Event{Kind: invariants.JobAnswered, Node: request.node.id, Job: request.job, Final: invariants.Final(end)})
		r.checkAnswer(request, end, f)
	}
	if end == emulator.EndSucceeded && r.now() <= work.Objective {
		r.result.Earned += work.Value
	}
	if at, again := c.RetryAt(r.now(), work, end, f.RetryAfter); again && (end != emulator.EndLost || r.nodeClasses[work.Class].Idempotency != policy.AtMostOnce) {
		r.after(at-r.now(), func() { c.submit(work) })
	}
}

// checkAnswer checks an answer against what executors ran for the request. It is called with r.mu held.
func (r *cluster) checkAnswer(request *clientRequest, end emulator.End, f platform.Final) {
	class := r.nodeClasses[request.work.Class]
	switch {
	case end == emulator.EndSucceeded && !platform.IsSuccess(f, string(request.work.ID)):
		r.fail("%s was answered with what no executor made for it", request.job)
	case end == emulator.EndRejected && request.effects > 0 && (class.Idempotency == policy.AtMostOnce || class.Idempotency == policy.IdempotentWithKey && class.DedupGroup != policy.DedupAllExecutors):
		r.fail("%s was pushed back, and ran", request.job)
	case end == emulator.EndFailed && f.Status < 500:
		r.fail("%s: node %s finds fault with a sound message: status %d", request.job, request.node.name, f.Status)
	}
}
