package node

import (
	"container/list"
	"slices"
	"time"

	"birchstair/policy"
)

// executor is where an executor is reached, and the connections to it that rest, the latest last.
type executor struct {
	id      policy.ExecutorID
	addr    string
	entry   policy.Endpoint // as the list has it
	started time.Duration
	listed  int // the list that named it last
	starts  int // how often the list told of a new one
	moves   int // and of another address
	up      bool
	rest    []*conn
}

type connState int

const (
	dialling connState = iota
	busy
	resting
	spent // it reads the end of its last answer, or is being closed
)

// conn is a connection to an executor, from its dialling until its descriptor is given back, in closed.
type conn struct {
	id      ConnID
	to      *executor
	state   connState
	job     *job // whose allocation it carries, or is to carry once it is up
	number  policy.AttemptID
	start   int            // the start of its executor that the module meant
	moves   int            // the address that it leads to
	given   bool           // this node has stopped waiting for that allocation
	as      policy.Outcome // and why
	rested  bool           // it has been up and at rest
	heard   bool           // something of its executor came for that allocation
	restsAt time.Duration
	place   *list.Element // among those that rest
	wroteAt time.Duration
	askedAt time.Duration // when the module decided on the allocation
}

func (n *Node) closeConn(c *conn) {
	c.state = spent
	n.say(CloseConn{c.id})
}

func (n *Node) closeResting(e *executor) {
	for len(e.rest) > 0 {
		n.closeConn(n.resting.risen(e, 0))
	}
}

// send puts an allocation on its way.
func (n *Node) send(j *job, id policy.ExecutorID) {
	number := policy.AttemptID(j.sent)
	j.sent++
	if e := n.executors[id]; e == nil || !n.place(j, number, e, n.now) {
		n.over(j, number, policy.NotSent)
	}
}

// place finds a connection for an allocation that was decided on then: the one that has rested least, or a new one.
func (n *Node) place(j *job, number policy.AttemptID, e *executor, decided time.Duration) bool {
	if !e.up {
		return false
	}
	c := n.restingAt(e)
	if c == nil {
		c = n.dial(e)
	}
	if c == nil {
		return false
	}
	c.job, c.number, c.start, c.askedAt, j.conns = j, number, e.starts, decided, append(j.conns, c)
	if c.state == resting {
		n.write(c)
	}
	return true
}

// restingAt takes a connection that rests, and closes those near the end of their idle time.
func (n *Node) restingAt(e *executor) *conn {
	if len(e.rest) == 0 {
		return nil
	}
	c := e.rest[len(e.rest)-1]
	if n.now-c.restsAt >= n.restUse() { // the others have rested longer
		n.closeResting(e)
		return nil
	}
	return n.resting.risen(e, len(e.rest)-1)
}

// restUse is how long a connection may have rested and still be used: less than the settings' idle time, and less than
// what was seen to be too long, until that is as old as the idle time. Guards against executors, or something on the
// way to them, that drop resting connections early: what is written on one may have run, for all this node knows.
func (n *Node) restUse() time.Duration {
	if n.now-n.shortSeen >= n.limits.MaxIdle {
		n.shortRest = n.limits.MaxIdle
	}
	return n.shortRest
}

// tooLong notes that a connection did not outlive a rest. It goes for all executors: half of that is tried next.
func (n *Node) tooLong(rest time.Duration) {
	n.shortRest, n.shortSeen = min(n.restUse(), rest/2), n.now
}

// dial opens a connection. At the edge of the descriptors one that rests elsewhere makes room.
func (n *Node) dial(e *executor) *conn {
	if len(n.conns)+n.probing >= n.mostConns() && !n.makeRoom() {
		return nil
	}
	n.lastConn++
	c := &conn{id: n.lastConn, to: e, moves: e.moves}
	n.conns[c.id] = c
	n.say(Dial{c.id, e.addr})
	return c
}

// probe has an executor asked for its load. At the edge of the descriptors, or of an executor that takes nothing new,
// nothing is asked: a probe makes no room and takes none of a batch job's.
func (n *Node) probe(id policy.ExecutorID) {
	e := n.executors[id]
	if e == nil || !e.up || len(n.conns)+n.probing >= n.mostConns()-n.mostConns()/8 {
		n.brain.ProbeEnded(n.now, id, false, policy.Load{})
		return
	}
	n.probing++
	n.say(ProbeExecutor{id, e.addr})
}

// makeRoom closes the connection that has rested longest.
func (n *Node) makeRoom() bool {
	oldest := n.resting.oldest()
	if oldest == nil {
		return false
	}
	n.resting.risen(oldest.to, 0)
	n.closeConn(oldest)
	return true
}

func (n *Node) write(c *conn) {
	c.state, c.heard, c.wroteAt = busy, false, n.now
	n.figures.Attempts++ // taken back if its last byte never leaves
	n.say(WriteAttempt{c.id, Attempt{Request: &c.job.Request, Budget: max(c.job.limitAt-n.now, time.Millisecond),
		AtMostOnce: n.repeats[c.job.Class] != policy.Idempotent, Client: c.job.Client}})
}

// anew says whether the executor has started anew since the module meant it: it is cold, so the module is asked again. Guards
// against a process that wakes, sends on what it knew and learns of the start while it dials.
func (c *conn) anew() bool { return c.start != c.to.starts }

// astray says whether the executor has moved since this connection was dialled. Guards against one that carries an answer
// meanwhile, rests after it, and would carry the next allocation to whoever has the old address.
func (c *conn) astray() bool { return c.moves != c.to.moves }

// outOfWindow says whether a further allocation of a tagged batch job was decided on longer ago than dialling may take, which is
// all that a dedup window was lessened by. Guards against a process that stood still meanwhile, and would repeat outside it.
func (n *Node) outOfWindow(c *conn, j *job) bool {
	return c.number > 0 && j.IdempotencyKey != "" && n.now-c.askedAt > n.limits.DialTimeout
}

// dialled puts a connection that has come up to its use. Its executor may drain, be gone or be another by now, the client may
// have left, or the dedup window may be near its end: nothing goes out then.
func (n *Node) dialled(c *conn) {
	switch {
	case c == nil || c.state != dialling:
	case c.job == nil:
		n.rest(c)
	case !c.to.up || c.job.answered || c.anew() || c.astray() || n.outOfWindow(c, c.job):
		j := n.unlink(c)
		n.rest(c)
		n.over(j, c.number, policy.NotSent)
	default:
		n.write(c)
	}
}

func (n *Node) rest(c *conn) {
	if !c.to.up || c.astray() {
		n.closeConn(c)
		return
	}
	c.state, c.rested, c.restsAt = resting, true, n.now
	n.resting.rests(c)
}

// unlink parts a connection and the batch job whose allocation it carries.
func (n *Node) unlink(c *conn) *job {
	j := c.job
	if j != nil {
		c.job = nil
		j.conns = slices.DeleteFunc(j.conns, func(o *conn) bool { return o == c })
	}
	return j
}

// giveUp stops waiting for an allocation. One that waits for its connection still has never left. Else its
// outcome comes when its connection is closed, or is on the way already: nothing else is sent before.
func (n *Node) giveUp(c *conn, as policy.Outcome) {
	switch {
	case c.state == dialling && c.job.answered:
		n.over(n.unlink(c), c.number, policy.NotSent)
	case c.state == dialling:
		n.over(n.unlink(c), c.number, policy.ConnectFailed)
	case !c.given:
		c.given, c.as = true, as
		n.say(CloseConn{c.id})
	}
}

func (n *Node) told(c *conn, ev AttemptProgressed) {
	if c == nil || c.job == nil {
		return
	}
	c.heard = true
	n.reported(c, ev.Load)
	if ev.Progress > 0 {
		n.brain.AttemptProgressed(n.now, c.job.ID, c.number, ev.Progress)
	} else {
		n.brain.AttemptStarted(n.now, c.job.ID, c.number)
	}
}

func (n *Node) reported(c *conn, load Load) {
	if load.Known {
		n.brain.LoadReported(c.to.id, load.Load)
	}
}

// ended takes in an allocation's outcome.
func (n *Node) ended(c *conn, ev AttemptEnded) {
	if c == nil || c.state != busy {
		return
	}
	c.state = spent
	j, how := n.unlink(c), ev.Outcome
	if ev.ConnBroken && how == policy.ConnectFailed {
		n.figures.Attempts--
	}
	switch {
	case how == policy.Succeeded:
		n.answer(j, Answer{Final: Succeeded, Result: ev.Result})
	case how == policy.InvalidRequest:
		// It is the batch job's fault: elsewhere it would fare no better, and cost another executor its good name.
		n.answer(j, Answer{Final: Failed})
		n.say(Log{Text: ev.Detail, Executor: c.to.id, Job: j.ID})
	case c.given && ev.ConnBroken && how == policy.ConnectFailed:
		how = policy.NotSent // closed by us before its last byte was written
	case c.given && ev.ConnBroken:
		how = c.as
	case ev.Detail != "":
		n.say(Log{Text: ev.Detail, Executor: c.to.id, Job: j.ID})
	}
	n.reported(c, ev.Load)
	if ev.ConnBroken && how == policy.ConnectionLost && c.rested && !c.heard {
		n.tooLong(c.wroteAt - c.restsAt)
	}
	if ev.ConnBroken && how != policy.Canceled && how != policy.NotSent {
		// The others may lead nowhere as well; a new one shows before anything is written whether there is a way.
		n.closeResting(c.to)
	}
	n.over(j, c.number, how)
}

// unsent takes in that the last look before an attempt's first byte found its client gone: it never ran, and the connection
// may carry the next one. Word of the leaving by the front may come before or after.
func (n *Node) unsent(c *conn) {
	if c == nil || c.state != busy {
		return
	}
	n.figures.Attempts--
	j := n.unlink(c)
	if c.state = spent; !c.given { // else it is being closed
		n.rest(c)
	}
	n.left(j)
	n.over(j, c.number, policy.NotSent)
}

func (n *Node) rested(c *conn) {
	if c != nil && c.state == spent && !c.given {
		n.rest(c)
	}
}

// closed gives a connection back. An allocation of which nothing was written takes another one if this one had
// rested: the executor had closed it meanwhile. A new one that is closed at once is no way to the executor, which
// may have all the connections it takes.
func (n *Node) closed(c *conn, detail string) {
	if c == nil {
		return
	}
	delete(n.conns, c.id)
	if i := slices.Index(c.to.rest, c); i >= 0 {
		n.resting.risen(c.to, i)
		if rest := n.now - c.restsAt; rest > n.limits.DialTimeout { // else it was closed with the answer
			n.tooLong(rest)
		}
	}
	if c.state == busy { // its end never came: nothing was written
		n.figures.Attempts--
	}
	c.state = spent
	j := n.unlink(c)
	switch {
	case j == nil:
	case !c.rested && !c.given:
		if detail == "" {
			detail = "no connection: closed as soon as it was up"
		}
		n.say(Log{Text: detail, Executor: c.to.id, Job: j.ID})
		n.closeResting(c.to)
		n.over(j, c.number, policy.ConnectFailed)
	case c.given || j.answered || c.anew() || n.outOfWindow(c, j) || !n.place(j, c.number, c.to, c.askedAt):
		n.over(j, c.number, policy.NotSent)
	}
}
