package node

import (
	"container/list"
	"slices"
	"time"

	"birchstair/policy"
)

// executor is where an executor is reached, and the connections to it that rest, the latest last.
type executor struct {
	id          policy.ExecutorID
	addr        string
	entry       policy.Endpoint // as the list has it
	startedAt   time.Duration
	lastUpdate  int // the list that named it last
	restarts    int // how often the list told of a new one
	addrChanges int // and of another address
	available   bool
	idle        []*conn
}

type connState int

const (
	connDialing connState = iota
	connBusy
	connIdle
	connFinished // it reads the end of its last answer, or is being closed
)

// conn is a connection to an executor, from its dialling until its descriptor is given back, in closed.
type conn struct {
	id          ConnID
	executor    *executor
	state       connState
	job         *job // whose allocation it carries, or is to carry once it is up
	attempt     policy.AttemptID
	restarts    int            // the start of its executor that the module meant
	addrChanges int            // the address that it leads to
	abandoned   bool           // this node has stopped waiting for that allocation
	abandonedAs policy.Outcome // and why
	wasIdle     bool           // it has been up and at rest
	progressed  bool           // something of its executor came for that allocation
	idleSince   time.Duration
	idleElement *list.Element // among those that rest
	writtenAt   time.Duration
	decidedAt   time.Duration // when the module decided on the allocation
}

func (n *Node) closeConn(c *conn) {
	c.state = connFinished
	n.emit(CloseConn{c.id})
}

func (n *Node) closeIdleConns(e *executor) {
	for len(e.idle) > 0 {
		n.closeConn(n.idle.take(e, 0))
	}
}

// startAttempt puts an allocation on its way.
func (n *Node) startAttempt(j *job, id policy.ExecutorID) {
	attempt := j.startAttempt()
	if e := n.executors[id]; e == nil || !n.assignConn(j, attempt, e, n.now) {
		n.attemptOver(j, attempt, policy.NotSent)
	}
}

// assignConn finds a connection for an allocation that was decided on then: the one that has rested least, or a new one.
func (n *Node) assignConn(j *job, number policy.AttemptID, e *executor, decided time.Duration) bool {
	if !e.available {
		return false
	}
	c := n.takeIdleConn(e)
	if c == nil {
		c = n.dial(e)
	}
	if c == nil {
		return false
	}
	c.job, c.attempt, c.restarts, c.decidedAt, j.conns = j, number, e.restarts, decided, append(j.conns, c)
	if c.state == connIdle {
		n.writeAttempt(c)
	}
	return true
}

// takeIdleConn takes a connection that rests, and closes those near the end of their idle time.
func (n *Node) takeIdleConn(e *executor) *conn {
	if len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	if n.now-c.idleSince >= n.maxIdle() { // the others have rested longer
		n.closeIdleConns(e)
		return nil
	}
	return n.idle.take(e, len(e.idle)-1)
}

// maxIdle is how long a connection may have rested and still be used: less than the settings' idle time, and less than
// what was seen to be too long, until that is as old as the idle time. Guards against executors, or something on the
// way to them, that drop resting connections early: what is written on one may have run, for all this node knows.
func (n *Node) maxIdle() time.Duration {
	if n.now-n.idleLimitLoweredAt >= n.limits.MaxIdle {
		n.idleLimit = n.limits.MaxIdle
	}
	return n.idleLimit
}

// lowerIdleLimit notes that a connection did not outlive a rest. It goes for all executors: half of that is tried next.
func (n *Node) lowerIdleLimit(rest time.Duration) {
	n.idleLimit, n.idleLimitLoweredAt = min(n.maxIdle(), rest/2), n.now
}

// dial opens a connection. At the edge of the descriptors one that rests elsewhere makes room.
func (n *Node) dial(e *executor) *conn {
	if len(n.conns)+n.probesInFlight >= n.maxConns() && !n.closeOldestIdleConn() {
		return nil
	}
	n.lastConnID++
	c := &conn{id: n.lastConnID, executor: e, addrChanges: e.addrChanges}
	n.conns[c.id] = c
	n.emit(Dial{c.id, e.addr})
	return c
}

// startProbe has an executor asked for its load. At the edge of the descriptors, or of an executor that takes nothing new,
// nothing is asked: a probe makes no room and takes none of a batch job's.
func (n *Node) startProbe(id policy.ExecutorID) {
	e := n.executors[id]
	if e == nil || !e.available || len(n.conns)+n.probesInFlight >= n.maxConns()-n.maxConns()/8 {
		n.policy.ProbeEnded(n.now, id, false, policy.Load{})
		return
	}
	n.probesInFlight++
	n.emit(ProbeExecutor{id, e.addr})
}

// closeOldestIdleConn closes the connection that has rested longest.
func (n *Node) closeOldestIdleConn() bool {
	oldest := n.idle.oldest()
	if oldest == nil {
		return false
	}
	n.idle.take(oldest.executor, 0)
	n.closeConn(oldest)
	return true
}

func (n *Node) writeAttempt(c *conn) {
	c.state, c.progressed, c.writtenAt = connBusy, false, n.now
	n.metrics.countAttempt()
	n.emit(WriteAttempt{c.id, Attempt{Request: &c.job.Request, Budget: max(c.job.deadline-n.now, time.Millisecond),
		AtMostOnce: n.classes.idempotency[c.job.Class] != policy.Idempotent, Client: c.job.Client}})
}

// executorRestarted says whether the executor has started anew since the module meant it: it is cold, so the module is asked again. Guards
// against a process that wakes, sends on what it knew and learns of the start while it dials.
func (c *conn) executorRestarted() bool { return c.restarts != c.executor.restarts }

// executorMoved says whether the executor has moved since this connection was dialled. Guards against one that carries an answer
// meanwhile, rests after it, and would carry the next allocation to whoever has the old address.
func (c *conn) executorMoved() bool { return c.addrChanges != c.executor.addrChanges }

// mayMissDedupWindow says whether a further allocation of a tagged batch job was decided on longer ago than dialling may take, which is
// all that a dedup window was lessened by. Guards against a process that stood still meanwhile, and would repeat outside it.
func (n *Node) mayMissDedupWindow(c *conn, j *job) bool {
	return c.attempt > 0 && j.IdempotencyKey != "" && n.now-c.decidedAt > n.limits.DialTimeout
}

// connReady puts a connection that has come up to its use. Its executor may drain, be gone or be another by now, the client may
// have left, or the dedup window may be near its end: nothing goes out then.
func (n *Node) connReady(c *conn) {
	switch {
	case c == nil || c.state != connDialing:
	case c.job == nil:
		n.makeIdle(c)
	case !c.executor.available || c.job.answered || c.executorRestarted() || c.executorMoved() || n.mayMissDedupWindow(c, c.job):
		j := n.detachJob(c)
		n.makeIdle(c)
		n.attemptOver(j, c.attempt, policy.NotSent)
	default:
		n.writeAttempt(c)
	}
}

func (n *Node) makeIdle(c *conn) {
	if !c.executor.available || c.executorMoved() {
		n.closeConn(c)
		return
	}
	c.state, c.wasIdle, c.idleSince = connIdle, true, n.now
	n.idle.add(c)
}

// detachJob parts a connection and the batch job whose allocation it carries.
func (n *Node) detachJob(c *conn) *job {
	j := c.job
	if j != nil {
		c.job = nil
		j.conns = slices.DeleteFunc(j.conns, func(o *conn) bool { return o == c })
	}
	return j
}

// abandonAttempt stops waiting for an allocation. One that waits for its connection still has never left. Else its
// outcome comes when its connection is closed, or is on the way already: nothing else is sent before.
func (n *Node) abandonAttempt(c *conn, as policy.Outcome) {
	switch {
	case c.state == connDialing && c.job.answered:
		n.attemptOver(n.detachJob(c), c.attempt, policy.NotSent)
	case c.state == connDialing:
		n.attemptOver(n.detachJob(c), c.attempt, policy.ConnectFailed)
	case !c.abandoned:
		c.abandoned, c.abandonedAs = true, as
		n.emit(CloseConn{c.id})
	}
}

func (n *Node) attemptProgressed(c *conn, ev AttemptProgressed) {
	if c == nil || c.job == nil {
		return
	}
	c.progressed = true
	n.reportLoad(c, ev.Load)
	if ev.Progress > 0 {
		n.policy.AttemptProgressed(n.now, c.job.ID, c.attempt, ev.Progress)
	} else {
		n.policy.AttemptStarted(n.now, c.job.ID, c.attempt)
	}
}

func (n *Node) reportLoad(c *conn, load Load) {
	if load.Known {
		n.policy.LoadReported(c.executor.id, load.Load)
	}
}

// attemptEnded takes in an allocation's outcome.
func (n *Node) attemptEnded(c *conn, ev AttemptEnded) {
	if c == nil || c.state != connBusy {
		return
	}
	c.state = connFinished
	j, how := n.detachJob(c), ev.Outcome
	if ev.ConnBroken && how == policy.ConnectFailed {
		n.metrics.uncountAttempt()
	}
	switch {
	case how == policy.Succeeded:
		n.answer(j, Answer{Final: Succeeded, Result: ev.Result})
	case how == policy.InvalidRequest:
		// It is the batch job's fault: elsewhere it would fare no better, and cost another executor its good name.
		n.answer(j, Answer{Final: Failed})
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	case c.abandoned && ev.ConnBroken && how == policy.ConnectFailed:
		how = policy.NotSent // closed by us before its last byte was written
	case c.abandoned && ev.ConnBroken:
		how = c.abandonedAs
	case ev.Detail != "":
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	}
	n.reportLoad(c, ev.Load)
	if ev.ConnBroken && how == policy.ConnectionLost && c.wasIdle && !c.progressed {
		n.lowerIdleLimit(c.writtenAt - c.idleSince)
	}
	if ev.ConnBroken && how != policy.Canceled && how != policy.NotSent {
		// The others may lead nowhere as well; a new one shows before anything is written whether there is a way.
		n.closeIdleConns(c.executor)
	}
	n.attemptOver(j, c.attempt, how)
}

// attemptNotSent takes in that the last look before an attempt's first byte found its client gone: it never ran, and the connection
// may carry the next one. Word of the leaving by the front may come before or after.
func (n *Node) attemptNotSent(c *conn) {
	if c == nil || c.state != connBusy {
		return
	}
	n.metrics.uncountAttempt()
	j := n.detachJob(c)
	if c.state = connFinished; !c.abandoned { // else it is being closed
		n.makeIdle(c)
	}
	n.clientGone(j)
	n.attemptOver(j, c.attempt, policy.NotSent)
}

func (n *Node) connIdle(c *conn) {
	if c != nil && c.state == connFinished && !c.abandoned {
		n.makeIdle(c)
	}
}

// connClosed gives a connection back. An allocation of which nothing was written takes another one if this one had
// rested: the executor had closed it meanwhile. A new one that is closed at once is no way to the executor, which
// may have all the connections it takes.
func (n *Node) connClosed(c *conn, detail string) {
	if c == nil {
		return
	}
	delete(n.conns, c.id)
	if i := slices.Index(c.executor.idle, c); i >= 0 {
		n.idle.take(c.executor, i)
		if rest := n.now - c.idleSince; rest > n.limits.DialTimeout { // else it was closed with the answer
			n.lowerIdleLimit(rest)
		}
	}
	if c.state == connBusy { // its end never came: nothing was written
		n.metrics.uncountAttempt()
	}
	c.state = connFinished
	j := n.detachJob(c)
	switch {
	case j == nil:
	case !c.wasIdle && !c.abandoned:
		if detail == "" {
			detail = "no connection: closed as soon as it was up"
		}
		n.emit(Log{Text: detail, Executor: c.executor.id, Job: j.ID})
		n.closeIdleConns(c.executor)
		n.attemptOver(j, c.attempt, policy.ConnectFailed)
	case c.abandoned || j.answered || c.executorRestarted() || n.mayMissDedupWindow(c, j) || !n.assignConn(j, c.attempt, c.executor, c.decidedAt):
		n.attemptOver(j, c.attempt, policy.NotSent)
	}
}

// probeEnded passes the result of a load probe on to the policy.
func (n *Node) probeEnded(ev ProbeEnded) {
	n.probesInFlight--
	n.policy.ProbeEnded(n.now, ev.Executor, ev.Answered, ev.Load)
}
