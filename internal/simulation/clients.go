package simulation

import (
	"cmp"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// zoneClients are the clients of a zone and the front layer that spreads them over its nodes.
type zoneClients struct {
	*emulator.Clients
	world      *World
	zone       policy.ZoneID
	roundRobin int
}

// clientRequest is one handing in of a work at a node.
type clientRequest struct {
	clients     *zoneClients
	work        *emulator.Work
	job         policy.JobID
	node        *simNode
	incarnation int
	attempts    int
	sentAt      time.Duration
	attemptsOut int                  // allocations out
	delivered   bool                 // the last one that was sent has reached its executor
	answered    bool                 // nothing of it is owed any more
	connLost    bool                 // its client's connection broke, and the node does not know yet
	conn        interface{ Reset() } // its client's connection, where the world is wired
}

// buildClients makes the clients of each zone.
func (w *World) buildClients() {
	f, l := &w.scenario.Fleet, &w.scenario.Load
	capacity := 0.0
	for _, x := range w.executors {
		capacity += x.Capacity(0)
	}
	rates := w.scenario.Rates(capacity)
	for i, zone := range f.Zones {
		c := &zoneClients{world: w, zone: policy.ZoneID(i)}
		c.Clients = emulator.NewClients(zone+"-", w.classes, emulator.Habits{Rate: rates[i], Loops: l.Loops,
			Think: time.Duration(l.Think), Retries: l.Retries, RetryWait: time.Duration(l.RetryWait), RetryMost: time.Duration(l.RetryMost), HeedsBack: l.HeedsBack,
			Leaves: l.Leaves, RepeatsIDs: l.RepeatsIDs, HintNoise: l.HintNoise}, f.PerWork, stream(w.seed, clientStream+zone))
		w.clients = append(w.clients, c)
		w.at(clientsStartAfter+c.Gap()/2, c.arrivals)
		for client := range l.Loops {
			w.at(clientsStartAfter+time.Duration(client)*time.Millisecond, func() { c.submitNext(client) })
		}
	}
}

// clientsStartAfter is how long nodes have before the first batch job.
const clientsStartAfter = 200 * time.Millisecond

// arrivals takes in what comes by itself.
func (c *zoneClients) arrivals() {
	gap := c.Gap()
	if gap == emulator.Never || c.world.now >= time.Duration(c.world.scenario.Length) {
		return
	}
	c.submitNew(-1)
	c.world.after(gap, c.arrivals)
}

// submitNext lets a client of a loop hand in its next one.
func (c *zoneClients) submitNext(client int) {
	if c.world.now < time.Duration(c.world.scenario.Length) {
		c.submitNew(client)
	}
}

func (c *zoneClients) submitNew(client int) {
	work := c.New(c.world.now, client)
	c.world.result.recordWork(work)
	c.world.openWorks++
	c.submit(work)
}

// pickNode is the node that the front layer sends to: the zone's in turn, those that died just now among them; where there
// is none, another zone's.
func (c *zoneClients) pickNode() *simNode {
	c.roundRobin++
	var at []*simNode
	for _, near := range [...]bool{true, false} {
		for _, n := range c.world.nodes {
			dead := !n.up && n.world.now-n.diedAt < time.Duration(c.world.scenario.Load.DeadFor)
			if (n.zone == c.zone) == near && (n.up && n.ready || dead) {
				at = append(at, n)
			}
		}
		if len(at) > 0 && c.world.scenario.Load.NodeSkew > 0 {
			return nodeByShare(at, c.world.frontLayerRand.Float64())
		}
		if len(at) > 0 {
			return at[c.roundRobin%len(at)]
		}
	}
	return nil
}

// nodeByShare is the node that a number from 0 to 1 falls on, where each has its own part of the traffic.
func nodeByShare(all []*simNode, x float64) *simNode {
	sum := 0.0
	for _, n := range all {
		sum += n.trafficShare
	}
	x *= sum
	for _, n := range all {
		if x -= n.trafficShare; x < 0 {
			return n
		}
	}
	return all[len(all)-1]
}

func (c *zoneClients) submit(work *emulator.Work) {
	w, n := c.world, c.pickNode()
	t := &clientRequest{clients: c, work: work, job: work.Job(), node: n}
	w.account.recordSubmit(work, n)
	if n == nil {
		w.after(time.Millisecond, func() { t.finishUnsent(emulator.EndUnreached, 0) })
		return
	}
	t.incarnation = n.incarnation
	if w.wired != nil {
		w.wired.submit(t)
		return
	}
	hop := w.randomDelay(c.zone, n.zone) / 2
	w.after(hop, func() {
		switch {
		case !n.up || n.incarnation != t.incarnation || n.frontendClosed:
			w.after(hop, func() { t.finishUnsent(emulator.EndUnreached, 0) })
		case w.now >= work.Limit-time.Millisecond:
			t.finishUnsent(emulator.EndBrokenOff, 0) // it has given up by now
		default:
			n.receive(t)
		}
	})
}

// receive is the front's part: an id that is in hand is refused there, all others go to the reducer.
func (n *simNode) receive(t *clientRequest) {
	w := n.world
	if old := n.requests[t.job]; old != nil && !old.answered {
		return
	}
	n.requests[t.job] = t
	n.openJobs++
	w.account.request(t).arrived = w.now
	work := t.work
	budget := (work.Limit - w.now).Truncate(time.Millisecond)
	w.observe(invariants.Seen{What: invariants.Taken, Node: n.id, Job: t.job, Work: work.ID, Track: work.Track, Limit: w.now + budget})
	n.deliver(node.JobArrived{Job: node.Job{Request: node.Request{ID: t.job, Method: "POST", URI: "/", IdempotencyKey: w.idempotencyKey(work), Body: w.body()},
		Class: work.Track, Work: time.Duration(work.Hint * 1e9).Truncate(time.Microsecond), Budget: budget, ClientRetry: w.scenario.Load.MarksAgain && work.Tries > 0, Client: t}})
	n.maxQueued = max(n.maxQueued, n.openJobs-n.attemptsOut)
	leave := min(work.Leaves, work.Limit+slack+time.Millisecond)
	n.after(leave-w.now, func() { n.clientLeaves(t) })
	if work.RepeatsID() && w.jobClasses[work.Track].Idempotency == policy.Idempotent {
		n.after(time.Duration(w.networkRand.Int64N(int64(time.Second))), func() { n.repeatID(t) })
	}
}

// repeatID: a bad client leaves a batch job and hands the same id in again at once, while it may be out.
func (n *simNode) repeatID(t *clientRequest) {
	if t.answered || t.connLost {
		return
	}
	n.clientGone(t)
	n.after(processingDelay, func() {
		n.receive(&clientRequest{clients: t.clients, work: t.work, job: t.job, node: n, incarnation: t.incarnation})
	})
}

// body is the same for all: what is in it nobody reads.
func (w *World) body() []byte {
	if w.result.requestBody == nil {
		w.result.requestBody = make([]byte, w.scenario.Load.Body)
	}
	return w.result.requestBody
}

// clientLeaves: the client has gone.
func (n *simNode) clientLeaves(t *clientRequest) {
	if t.answered || t.connLost || n.requests[t.job] != t {
		return
	}
	n.clientGone(t)
	if t.work.Leaves <= n.world.now {
		n.world.result.Left++
	}
	t.finish(emulator.EndBrokenOff, 0)
}

// Gone is the last look before an attempt: what the node's system knows of the client, also where the process has not read it.
func (t *clientRequest) Gone() bool { return t.answered && !t.node.world.defects.hideClientGone }

// clientGone tells the node that a client waits no more.
func (n *simNode) clientGone(t *clientRequest) {
	t.answered = true
	n.openJobs--
	n.world.observe(invariants.Seen{What: invariants.Went, Node: n.id, Job: t.job})
	if n.world.defects.hideClientLeft {
		return
	}
	n.world.observe(invariants.Seen{What: invariants.Left, Node: n.id, Job: t.job})
	n.deliver(node.ClientLeft{Job: t.job, Client: t})
}

func (n *simNode) answer(a node.Answer) {
	w := n.world
	w.observe(invariants.Seen{What: invariants.Answered, Node: n.id, Job: a.Job, Final: invariants.Final(a.Final)})
	t := n.requests[a.Job]
	if t == nil || t.answered {
		return
	}
	t.answered = true
	n.openJobs--
	w.account.request(t).answered = w.now
	if t.connLost {
		return
	}
	w.after(w.randomDelay(n.zone, t.clients.zone)/2, func() { t.finish(emulator.End(a.Final), a.RetryAfter) })
}

// loseClients: the node is gone, and all its clients' connections with it.
func (n *simNode) loseClients() {
	for _, t := range n.openRequests() {
		t.answered = true
		if !t.connLost {
			n.world.after(n.world.randomDelay(n.zone, t.clients.zone)/2, func() { t.finish(emulator.EndLost, 0) })
		}
	}
}

// openRequests are the tries that the node owes an answer, in the order of their ids.
func (n *simNode) openRequests() (all []*clientRequest) {
	tries := n.requests
	if n.process != nil {
		tries = n.world.wired.requests
	}
	for _, t := range tries {
		if !t.answered && !t.connLost && t.node == n && t.incarnation == n.incarnation {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *clientRequest) int { return cmp.Compare(a.job, b.job) })
	return all
}

// finishUnsent ends a try that no node has taken.
func (t *clientRequest) finishUnsent(how emulator.End, comeBack time.Duration) {
	t.answered = true
	t.finish(how, comeBack)
}

// finish is how a try ended for its client, and what the client does.
func (t *clientRequest) finish(how emulator.End, comeBack time.Duration) {
	w, work := t.clients.world, t.work
	if work.Over || t.job != work.Job() {
		return // a repeat of an id whose try is over
	}
	v := w.account.request(t)
	v.done, v.end = w.now, how
	earned := w.result.recordRequestEnd(w, work, how)
	if at, again := t.clients.After(w.now, work, how, comeBack); again {
		w.at(at, func() { t.clients.submit(work) })
		return
	}
	work.Over = true
	w.account.recordFinished(work, earned)
	w.openWorks--
	if work.Client >= 0 {
		w.after(t.clients.Habits.Think, func() { t.clients.submitNext(work.Client) })
	}
}
