package node

import (
	"container/list"
	"slices"
	"time"

	"birchstair/policy"
)

// probeReserve is the share of the connection limit, one in so many, that load probes leave free for attempts.
const probeReserve = 8

// minAttemptBudget is the least time that an attempt gives its executor.
const minAttemptBudget = time.Millisecond

type connState int

const (
	connDialing  connState = iota
	connBusy               // carries an attempt
	connIdle               // can carry the next attempt
	connFinished           // its attempt has ended; it is reading the rest of the answer or being closed
)

// conn is a connection to an executor, from its Dial to its ConnClosed.
type conn struct {
	id       ConnID
	executor *executor
	state    connState

	// The attempt that it carries, or is to carry once it is up.
	job         *job // nil if there is none
	attempt     policy.AttemptID
	decidedAt   time.Duration // when the policy decided on the attempt
	writtenAt   time.Duration
	progressed  bool           // the executor has sent something about the attempt
	abandoned   bool           // this node no longer waits for it
	abandonedAs policy.Outcome // the outcome of an abandoned attempt that may have run

	// Executor counters at the time of the decision and of the dial, to see whether it has restarted or moved since.
	restarts    int
	addrChanges int

	wasIdle     bool // it has been idle before
	idleSince   time.Duration
	idleElement *list.Element // in idleConns; nil unless it is idle
}

// executorRestarted reports whether the executor has restarted since the policy chose it. The new process is in slow start,
// which the policy's decision did not take into account.
func (c *conn) executorRestarted() bool { return c.restarts != c.executor.restarts }

// executorMoved reports whether the executor's address has changed since this connection was dialed. The old address may
// belong to another executor by now.
func (c *conn) executorMoved() bool { return c.addrChanges != c.executor.addrChanges }

// connTable holds all connections to executors.
type connTable struct {
	byID           map[ConnID]*conn
	idle           idleConns
	lastID         ConnID
	probesInFlight int

	// How long a connection may be idle and still be used, as far as was observed, and when that was lowered last.
	idleLimit          time.Duration
	idleLimitLoweredAt time.Duration
}

// get finds a connection, or nil.
func (t *connTable) get(id ConnID) *conn { return t.byID[id] }

// open is the number of connections that count against the limit.
func (t *connTable) open() int { return len(t.byID) + t.probesInFlight }

// add makes a connection that is to be dialed.
func (t *connTable) add(e *executor) *conn {
	t.lastID++
	c := &conn{id: t.lastID, executor: e, addrChanges: e.addrChanges}
	t.byID[c.id] = c
	return c
}

// maxIdle is how long a connection may have been idle and still be used: the configured time, or less if connections were
// seen to break earlier. Executors, or something on the way to them, may drop idle connections without notice, and an attempt
// written on such a connection counts as possibly run. An observation is forgotten once it is as old as the configured time.
func (t *connTable) maxIdle(now, configured time.Duration) time.Duration {
	if now-t.idleLimitLoweredAt >= configured {
		t.idleLimit = configured
	}
	return t.idleLimit
}

// lowerIdleLimit notes that a connection broke after being idle for so long. The limit for all executors becomes half of that.
func (t *connTable) lowerIdleLimit(now, configured, idle time.Duration) {
	t.idleLimit = min(t.maxIdle(now, configured), idle/2)
	t.idleLimitLoweredAt = now
}

// addIdle adds a connection to those that are idle.
func (t *connTable) addIdle(c *conn, now time.Duration) {
	c.state, c.wasIdle, c.idleSince = connIdle, true, now
	t.idle.add(c)
}

// detachJob separates a connection and the job whose attempt it carries. It returns the job, or nil if there was none.
func (t *connTable) detachJob(c *conn) *job {
	j := c.job
	if j != nil {
		c.job = nil
		j.removeConn(c)
	}
	return j
}

// startAttempt sends an attempt of a job to an executor. If it can't be sent, that is reported to the policy at once, which
// may start the next one; the class's MaxAttempts bounds the recursion.
func (n *Node) startAttempt(j *job, id policy.ExecutorID) {
	attempt := j.nextAttemptID()
	if e := n.endpoints.get(id); e == nil || !n.assignConn(j, attempt, e, n.now) {
		n.attemptOver(j, attempt, policy.NotSent)
	}
}

// assignConn finds a connection for an attempt: the one that became idle last, or a new one. It reports whether there is one.
func (n *Node) assignConn(j *job, attempt policy.AttemptID, e *executor, decidedAt time.Duration) bool {
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
	c.job, c.attempt, c.decidedAt, c.restarts = j, attempt, decidedAt, e.restarts
	j.addConn(c)
	if c.state == connIdle {
		n.writeAttempt(c)
	}
	return true
}

// takeIdleConn takes the executor's connection that became idle last, or returns nil. If that one has been idle for too long,
// so have the others, and all are closed.
func (n *Node) takeIdleConn(e *executor) *conn {
	if len(e.idle) == 0 {
		return nil
	}
	last := len(e.idle) - 1
	if n.now-e.idle[last].idleSince >= n.conns.maxIdle(n.now, n.limits.MaxIdle) {
		n.closeIdleConns(e)
		return nil
	}
	return n.conns.idle.take(e, last)
}

// dial opens a connection, or returns nil. At the connection limit an idle connection of any executor is closed for it.
func (n *Node) dial(e *executor) *conn {
	if n.conns.open() >= n.maxConns() && !n.closeOldestIdleConn() {
		return nil
	}
	c := n.conns.add(e)
	n.emit(Dial{c.id, e.addr})
	return c
}

// maxConns is the limit on connections to executors.
func (n *Node) maxConns() int {
	if n.handoff.limitsHalved {
		return n.limits.MaxConnsShared
	}
	return n.limits.MaxConns
}

// startProbe asks an executor for its load. A probe fails at once if the executor takes no new work, or if the connection
// limit is near: probes leave room for attempts.
func (n *Node) startProbe(id policy.ExecutorID) {
	e := n.endpoints.get(id)
	limit := n.maxConns()
	if e == nil || !e.available || n.conns.open() >= limit-limit/probeReserve {
		n.policy.HealthCheckEnded(n.now, id, false, policy.Load{})
		return
	}
	n.conns.probesInFlight++
	n.emit(ProbeExecutor{id, e.addr})
}

// probeEnded passes the result of a load probe on to the policy.
func (n *Node) probeEnded(ev ProbeEnded) {
	n.conns.probesInFlight--
	n.policy.HealthCheckEnded(n.now, ev.Executor, ev.Answered, ev.Load)
}

func (n *Node) closeConn(c *conn) {
	c.state = connFinished
	n.emit(CloseConn{c.id})
}

// closeIdleConns closes all idle connections of an executor.
func (n *Node) closeIdleConns(e *executor) {
	for len(e.idle) > 0 {
		n.closeConn(n.conns.idle.take(e, 0))
	}
}

// closeOldestIdleConn closes the connection that has been idle for longest. It reports whether there is one.
func (n *Node) closeOldestIdleConn() bool {
	oldest := n.conns.idle.oldest()
	if oldest == nil {
		return false
	}
	n.conns.idle.take(oldest.executor, 0)
	n.closeConn(oldest)
	return true
}

// writeAttempt sends the attempt of a connection that is up. The attempt is counted now, and taken back if its last byte is
// never written.
func (n *Node) writeAttempt(c *conn) {
	c.state, c.progressed, c.writtenAt = connBusy, false, n.now
	n.metrics.countAttempt()
	n.emit(WriteAttempt{c.id, Attempt{
		Request:       &c.job.Request,
		Budget:        max(c.job.deadline-n.now, minAttemptBudget),
		NotIdempotent: n.classes.idempotency[c.job.Class] != policy.Idempotent,
		Client:        c.job.Client,
	}})
}

// mayMissDedupWindow reports whether a retry with an idempotency key was decided on longer ago than a dial may take. The policy
// subtracts only that much from the executors' dedup window, so a later retry might not be recognized as a repeat.
func (n *Node) mayMissDedupWindow(c *conn, j *job) bool {
	return c.attempt > 0 && j.IdempotencyKey != "" && n.now-c.decidedAt > n.limits.DialTimeout
}

// stillWanted reports whether the attempt that a connection was dialed for may go out now that it is up.
func (n *Node) stillWanted(c *conn) bool {
	return c.executor.available && !c.job.answered && !c.executorRestarted() && !c.executorMoved() && !n.mayMissDedupWindow(c, c.job)
}

// connReady writes the attempt that a connection was dialed for.
func (n *Node) connReady(c *conn) {
	switch {
	case c == nil || c.state != connDialing:
	case c.job == nil:
		n.keepConn(c)
	case n.stillWanted(c):
		n.writeAttempt(c)
	default:
		j := n.conns.detachJob(c)
		n.keepConn(c)
		n.attemptOver(j, c.attempt, policy.NotSent)
	}
}

// keepConn keeps a connection for the next attempt, unless its executor takes no new work or has moved.
func (n *Node) keepConn(c *conn) {
	if !c.executor.available || c.executorMoved() {
		n.closeConn(c)
		return
	}
	n.conns.addIdle(c, n.now)
}

// abandonAttempt stops waiting for an attempt. If its connection is still being dialed, the attempt was never sent and is over
// now. Otherwise the connection is closed, and the attempt is over when its AttemptEnded or ConnClosed arrives.
func (n *Node) abandonAttempt(c *conn, outcome policy.Outcome) {
	switch {
	case c.state == connDialing && c.job.answered:
		n.attemptOver(n.conns.detachJob(c), c.attempt, policy.NotSent)
	case c.state == connDialing:
		n.attemptOver(n.conns.detachJob(c), c.attempt, policy.ConnectFailed)
	case !c.abandoned:
		c.abandoned, c.abandonedAs = true, outcome
		n.emit(CloseConn{c.id})
	}
}

// attemptProgressed tells the policy that an attempt has started or how far it is.
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

// attemptEnded handles the outcome of an attempt.
func (n *Node) attemptEnded(c *conn, ev AttemptEnded) {
	if c == nil || c.state != connBusy {
		return
	}
	c.state = connFinished
	j := n.conns.detachJob(c)
	if ev.ConnBroken && ev.Outcome == policy.ConnectFailed {
		n.metrics.uncountAttempt()
	}
	outcome := n.settleOutcome(c, j, ev)
	n.reportLoad(c, ev.Load)
	if ev.ConnBroken {
		n.learnFromBreak(c, outcome)
	}
	n.attemptOver(j, c.attempt, outcome)
}

// settleOutcome answers the job if the outcome of its attempt is final, and writes the log. It returns the outcome that counts
// for the policy, which differs from the reported one if this node closed the connection.
func (n *Node) settleOutcome(c *conn, j *job, ev AttemptEnded) policy.Outcome {
	switch {
	case ev.Outcome == policy.Succeeded:
		n.answer(j, Answer{Final: Succeeded, Result: ev.Result})
	case ev.Outcome == policy.InvalidRequest:
		// The request is at fault. A retry elsewhere would fail as well, and count against a healthy executor.
		n.answer(j, Answer{Final: Failed})
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	case c.abandoned && ev.ConnBroken && ev.Outcome == policy.ConnectFailed:
		return policy.NotSent // closed by this node before the last byte was written
	case c.abandoned && ev.ConnBroken:
		return c.abandonedAs
	case ev.Detail != "":
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	}
	return ev.Outcome
}

// learnFromBreak draws conclusions from a connection that broke under an attempt.
func (n *Node) learnFromBreak(c *conn, outcome policy.Outcome) {
	if outcome == policy.ConnectionLost && c.wasIdle && !c.progressed {
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, c.writtenAt-c.idleSince)
	}
	if outcome != policy.Canceled && outcome != policy.NotSent {
		// The executor's idle connections may be broken as well. A new connection shows that before anything is written.
		n.closeIdleConns(c.executor)
	}
}

// attemptNotSent handles an attempt that was not written because its client was gone. The attempt never ran, and the connection
// is idle. The frontend's ClientLeft may come before or after this.
func (n *Node) attemptNotSent(c *conn) {
	if c == nil || c.state != connBusy {
		return
	}
	n.metrics.uncountAttempt()
	j := n.conns.detachJob(c)
	c.state = connFinished
	if !c.abandoned { // an abandoned one is being closed
		n.keepConn(c)
	}
	n.clientGone(j)
	n.attemptOver(j, c.attempt, policy.NotSent)
}

// connBecameIdle keeps a connection whose answer has been read to its end.
func (n *Node) connBecameIdle(c *conn) {
	if c != nil && c.state == connFinished && !c.abandoned {
		n.keepConn(c)
	}
}

// connClosed forgets a connection, and decides about an attempt of which nothing was written. If the connection had been idle
// before, the executor closed it for its age, and the attempt gets another connection. A new connection that is closed
// at once means that the executor accepts no more, and counts as a failure to connect.
func (n *Node) connClosed(c *conn, detail string) {
	if c == nil {
		return
	}
	delete(n.conns.byID, c.id)
	n.forgetIdleConn(c)
	if c.state == connBusy { // there was no AttemptEnded: nothing was written
		n.metrics.uncountAttempt()
	}
	c.state = connFinished
	j := n.conns.detachJob(c)
	if j == nil {
		return
	}
	if !c.wasIdle && !c.abandoned {
		if detail == "" {
			detail = "no connection: closed as soon as it was up"
		}
		n.emit(Log{Text: detail, Executor: c.executor.id, Job: j.ID})
		n.closeIdleConns(c.executor)
		n.attemptOver(j, c.attempt, policy.ConnectFailed)
		return
	}
	if !n.reassignConn(c, j) {
		n.attemptOver(j, c.attempt, policy.NotSent)
	}
}

// forgetIdleConn takes a closed connection out of the idle ones, and learns from it how long executors keep them.
func (n *Node) forgetIdleConn(c *conn) {
	i := slices.Index(c.executor.idle, c)
	if i < 0 {
		return
	}
	n.conns.idle.take(c.executor, i)
	if idle := n.now - c.idleSince; idle > n.limits.DialTimeout { // a shorter time means that it was closed with its answer
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, idle)
	}
}

// reassignConn gives the unwritten attempt of a closed connection another connection to the same executor, unless it is no
// longer wanted. It reports whether it did.
func (n *Node) reassignConn(closed *conn, j *job) bool {
	if closed.abandoned || j.answered || closed.executorRestarted() || n.mayMissDedupWindow(closed, j) {
		return false
	}
	return n.assignConn(j, closed.attempt, closed.executor, closed.decidedAt)
}
