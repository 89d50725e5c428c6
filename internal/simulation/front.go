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

// callers are the clients of a zone and the front layer that spreads them over its nodes.
type callers struct {
	*emulator.Clients
	w    *World
	zone policy.ZoneID
	turn int
}

// try is one handing in of a work at a node.
type try struct {
	from   *callers
	work   *emulator.Work
	job    policy.JobID
	n      *sim
	run    int
	sent   int
	sentAt time.Duration
	out    int                  // allocations out
	landed bool                 // the last one that was sent has reached its executor
	over   bool                 // nothing of it is owed any more
	cut    bool                 // its client's connection broke, and the node does not know yet
	conn   interface{ Reset() } // its client's connection, where the world is wired
}

// buildClients makes the clients of each zone.
func (w *World) buildClients() {
	f, l := &w.s.Fleet, &w.s.Load
	capacity := 0.0
	for _, x := range w.executors {
		capacity += x.Capacity(0)
	}
	rates := w.s.Rates(capacity)
	for i, zone := range f.Zones {
		c := &callers{w: w, zone: policy.ZoneID(i)}
		c.Clients = emulator.NewClients(zone+"-", w.tracks, emulator.Habits{Rate: rates[i], Loops: l.Loops,
			Think: time.Duration(l.Think), Retries: l.Retries, RetryWait: time.Duration(l.RetryWait), RetryMost: time.Duration(l.RetryMost), HeedsBack: l.HeedsBack,
			Leaves: l.Leaves, RepeatsIDs: l.RepeatsIDs, HintNoise: l.HintNoise}, f.PerWork, stream(w.seed, "clients "+zone))
		w.clients = append(w.clients, c)
		w.at(warmUp+c.Gap()/2, c.arrive)
		for client := range l.Loops {
			w.at(warmUp+time.Duration(client)*time.Millisecond, func() { c.next(client) })
		}
	}
}

// warmUp is how long nodes have before the first batch job.
const warmUp = 200 * time.Millisecond

// arrive takes in what comes by itself.
func (c *callers) arrive() {
	gap := c.Gap()
	if gap == emulator.Never || c.w.now >= time.Duration(c.w.s.Length) {
		return
	}
	c.begin(-1)
	c.w.after(gap, c.arrive)
}

// next lets a client of a loop hand in its next one.
func (c *callers) next(client int) {
	if c.w.now < time.Duration(c.w.s.Length) {
		c.begin(client)
	}
}

func (c *callers) begin(client int) {
	work := c.New(c.w.now, client)
	c.w.result.asked(work)
	c.w.open++
	c.handIn(work)
}

// pick is the node that the front layer sends to: the zone's in turn, those that died just now among them; where there
// is none, another zone's.
func (c *callers) pick() *sim {
	c.turn++
	var at []*sim
	for _, near := range [...]bool{true, false} {
		for _, n := range c.w.nodes {
			dead := !n.up && n.w.now-n.diedAt < time.Duration(c.w.s.Load.DeadFor)
			if (n.zone == c.zone) == near && (n.up && n.ready || dead) {
				at = append(at, n)
			}
		}
		if len(at) > 0 && c.w.s.Load.NodeSkew > 0 {
			return byPart(at, c.w.front.Float64())
		}
		if len(at) > 0 {
			return at[c.turn%len(at)]
		}
	}
	return nil
}

// byPart is the node that a number from 0 to 1 falls on, where each has its own part of the traffic.
func byPart(all []*sim, x float64) *sim {
	sum := 0.0
	for _, n := range all {
		sum += n.part
	}
	x *= sum
	for _, n := range all {
		if x -= n.part; x < 0 {
			return n
		}
	}
	return all[len(all)-1]
}

func (c *callers) handIn(work *emulator.Work) {
	w, n := c.w, c.pick()
	t := &try{from: c, work: work, job: work.Job(), n: n}
	w.account.handed(work, n)
	if n == nil {
		w.after(time.Millisecond, func() { t.end(emulator.EndUnreached, 0) })
		return
	}
	t.run = n.run
	if w.wired != nil {
		w.wired.handIn(t)
		return
	}
	hop := w.oneWay(c.zone, n.zone) / 2
	w.after(hop, func() {
		switch {
		case !n.up || n.run != t.run || n.closed:
			w.after(hop, func() { t.end(emulator.EndUnreached, 0) })
		case w.now >= work.Limit-time.Millisecond:
			t.end(emulator.EndBrokenOff, 0) // it has given up by now
		default:
			n.arrived(t)
		}
	})
}

// arrived is the front's part: an id that is in hand is refused there, all others go to the reducer.
func (n *sim) arrived(t *try) {
	w := n.w
	if old := n.tries[t.job]; old != nil && !old.over {
		return
	}
	n.tries[t.job] = t
	n.inHand++
	w.account.visit(t).arrived = w.now
	work := t.work
	budget := (work.Limit - w.now).Truncate(time.Millisecond)
	w.see(invariants.Seen{What: invariants.Taken, Node: n.id, Job: t.job, Work: work.ID, Track: work.Track, Limit: w.now + budget})
	n.tell(node.JobArrived{Job: node.Job{Request: node.Request{ID: t.job, Method: "POST", URI: "/", IdempotencyKey: w.tag(work), Body: w.body()},
		Class: work.Track, Work: time.Duration(work.Hint * 1e9).Truncate(time.Microsecond), Budget: budget, ClientRetry: w.s.Load.MarksAgain && work.Tries > 0, Client: t}})
	n.mostHeld = max(n.mostHeld, n.inHand-n.out)
	leave := min(work.Leaves, work.Limit+slack+time.Millisecond)
	n.later(leave-w.now, func() { n.leaves(t) })
	if work.RepeatsID() && w.module[work.Track].Idempotency == policy.Idempotent {
		n.later(time.Duration(w.rand.Int64N(int64(time.Second))), func() { n.again(t) })
	}
}

// again: a bad client leaves a batch job and hands the same id in again at once, while it may be out.
func (n *sim) again(t *try) {
	if t.over || t.cut {
		return
	}
	n.forget(t)
	n.later(epsilon, func() { n.arrived(&try{from: t.from, work: t.work, job: t.job, n: n, run: t.run}) })
}

// body is the same for all: what is in it nobody reads.
func (w *World) body() []byte {
	if w.result.body == nil {
		w.result.body = make([]byte, w.s.Load.Body)
	}
	return w.result.body
}

// leaves: the client has gone.
func (n *sim) leaves(t *try) {
	if t.over || t.cut || n.tries[t.job] != t {
		return
	}
	n.forget(t)
	if t.work.Leaves <= n.w.now {
		n.w.result.Left++
	}
	t.done(emulator.EndBrokenOff, 0)
}

// Gone is the last look before an attempt: what the node's system knows of the client, also where the process has not read it.
func (t *try) Gone() bool { return t.over && !t.n.w.plant.blind }

// forget tells the node that a client waits no more.
func (n *sim) forget(t *try) {
	t.over = true
	n.inHand--
	n.w.see(invariants.Seen{What: invariants.Went, Node: n.id, Job: t.job})
	if n.w.plant.unheard {
		return
	}
	n.w.see(invariants.Seen{What: invariants.Left, Node: n.id, Job: t.job})
	n.tell(node.ClientLeft{Job: t.job, Client: t})
}

func (n *sim) answer(a node.Answer) {
	w := n.w
	w.see(invariants.Seen{What: invariants.Answered, Node: n.id, Job: a.Job, Final: invariants.Final(a.Final)})
	t := n.tries[a.Job]
	if t == nil || t.over {
		return
	}
	t.over = true
	n.inHand--
	w.account.visit(t).answered = w.now
	if t.cut {
		return
	}
	w.after(w.oneWay(n.zone, t.from.zone)/2, func() { t.done(emulator.End(a.Final), a.RetryAfter) })
}

// loseClients: the node is gone, and all its clients' connections with it.
func (n *sim) loseClients() {
	for _, t := range n.inHandTries() {
		t.over = true
		if !t.cut {
			n.w.after(n.w.oneWay(n.zone, t.from.zone)/2, func() { t.done(emulator.EndLost, 0) })
		}
	}
}

// inHandTries are the tries that the node owes an answer, in the order of their ids.
func (n *sim) inHandTries() (all []*try) {
	tries := n.tries
	if n.life != nil {
		tries = n.w.wired.tries
	}
	for _, t := range tries {
		if !t.over && !t.cut && t.n == n && t.run == n.run {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.job, b.job) })
	return all
}

// cutClient breaks a client's connection: the client may try again at once, elsewhere, while this node goes on.
func (n *sim) cutClient(t *try) {
	if n.life != nil {
		if t.conn != nil {
			t.conn.Reset()
		}
		return
	}
	t.cut = true
	n.w.after(epsilon, func() { t.done(emulator.EndLost, 0) })
	n.later(time.Duration(n.w.rand.Int64N(int64(time.Second))), func() {
		if !t.over {
			n.forget(t)
		}
	})
}

// end ends a try that no node has taken.
func (t *try) end(how emulator.End, comeBack time.Duration) {
	t.over = true
	t.done(how, comeBack)
}

// done is how a try ended for its client, and what the client does.
func (t *try) done(how emulator.End, comeBack time.Duration) {
	w, work := t.from.w, t.work
	if work.Over || t.job != work.Job() {
		return // a repeat of an id whose try is over
	}
	v := w.account.visit(t)
	v.done, v.how = w.now, how
	earned := w.result.ended(w, work, how)
	if at, again := t.from.After(w.now, work, how, comeBack); again {
		w.at(at, func() { t.from.handIn(work) })
		return
	}
	work.Over = true
	w.account.closed(work, earned)
	w.open--
	if work.Client >= 0 {
		w.after(t.from.Habits.Think, func() { t.from.next(work.Client) })
	}
}
