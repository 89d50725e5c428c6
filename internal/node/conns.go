package node

import (
	"container/list"
	"slices"
	"time"

	"birchstair/policy"
)

// healthCheckReserve determines the part of the connection limit that is reserved for attempts: health checks leave
// 1/healthCheckReserve of the limit free.
const healthCheckReserve = 8

// minAttemptBudget is the shortest time budget that an attempt gives its executor.
const minAttemptBudget = time.Millisecond

// connState is the state of a connection to an executor.
type connState int

const (
	connDialing  connState = iota // is being dialed
	connBusy                      // carries an attempt
	connIdle                      // can carry the next attempt
	connFinished                  // its attempt has ended; the rest of the answer is being read, or the connection is being closed
)

// conn is a connection to an executor, from its Dial effect to its ConnClosed event.
type conn struct {
	id       ConnID
	executor *executor
	state    connState

	// The attempt that the connection carries, or will carry once it is up.
	job         *job // the attempt's job; nil if there is no attempt
	attempt     policy.AttemptID
	decidedAt   time.Duration  // when the policy decided on the attempt
	writtenAt   time.Duration  // when the attempt was handed to the connection
	progressed  bool           // the executor has sent something about the attempt
	abandoned   bool           // this node no longer waits for the attempt
	abandonedAs policy.Outcome // the outcome of an abandoned attempt that may have run

	// The executor's counters of the same names, copied to detect whether it has restarted or moved since.
	restarts    int // when the policy decided on the attempt
	addrChanges int // when the connection was dialed

	wasIdle     bool          // the connection has been idle at least once
	idleSince   time.Duration // when the connection last became idle
	idleElement *list.Element // the connection's element in idleConns; nil unless it is idle
}

// executorRestarted reports whether the executor has restarted since the policy chose it. The new process is in slow start,
// which the policy did not know when it chose the executor.
func (c *conn) executorRestarted() bool { return c.restarts != c.executor.restarts }

// executorMoved reports whether the executor's address has changed since this connection was dialed. The old address may
// belong to another executor by now.
func (c *conn) executorMoved() bool { return c.addrChanges != c.executor.addrChanges }

// connTable holds all connections to executors.
type connTable struct {
	byID                 map[ConnID]*conn
	idle                 idleConns
	lastID               ConnID
	healthChecksInFlight int

	idleLimit          time.Duration // how long a connection may be idle and still be used; see maxIdle
	idleLimitLoweredAt time.Duration // when idleLimit was last lowered
}

// get returns a connection by its ID, or nil.
func (t *connTable) get(id ConnID) *conn { return t.byID[id] }

// openCount returns the number of connections that count against the limit, including those of health checks.
func (t *connTable) openCount() int { return len(t.byID) + t.healthChecksInFlight }

// add creates a connection that is to be dialed.
func (t *connTable) add(e *executor) *conn {
	t.lastID++
	c := &conn{id: t.lastID, executor: e, addrChanges: e.addrChanges}
	t.byID[c.id] = c
	return c
}

// maxIdle returns how long a connection may have been idle and still be used: the configured time, or less if connections
// broke after a shorter idle time. Executors, or network devices in between, may drop idle connections without notice, and an
// attempt that is written on a dropped connection counts as possibly run. The configured time applies again once it has passed
// since the last such break.
func (t *connTable) maxIdle(now, configured time.Duration) time.Duration {
	if now-t.idleLimitLoweredAt >= configured {
		t.idleLimit = configured
	}
	return t.idleLimit
}

// lowerIdleLimit records that a connection broke after it had been idle for the given time. The limit for all executors becomes
// at most half of that time.
func (t *connTable) lowerIdleLimit(now, configured, idle time.Duration) {
	t.idleLimit = min(t.maxIdle(now, configured), idle/2)
	t.idleLimitLoweredAt = now
}

// addIdle adds a connection to those that are idle.
func (t *connTable) addIdle(c *conn, now time.Duration) {
	c.state, c.wasIdle, c.idleSince = connIdle, true, now
	t.idle.add(c)
}

// detachJob removes the link between a connection and the job whose attempt it carries. It returns the job, or nil if there was
// none.
func (t *connTable) detachJob(c *conn) *job {
	j := c.job
	if j != nil {
		c.job = nil
		j.removeConn(c)
	}
	return j
}

// startAttempt sends an attempt of a job to an executor. If the attempt can't be sent, the policy is notified at once and may
// start the next attempt, which calls startAttempt again; the job class's MaxAttempts bounds this recursion.
func (n *Node) startAttempt(j *job, id policy.ExecutorID) {
	attempt := j.nextAttemptID()
	if e := n.endpoints.get(id); e == nil || !n.assignConn(j, attempt, e, n.now) {
		n.attemptOver(j, attempt, policy.NotSent)
	}
}

// assignConn gives an attempt a connection to its executor: the one that became idle last, or else a new one. It reports
// whether it found one.
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

// takeIdleConn removes the connection that became idle last from the executor's idle connections and returns it, or nil. If that
// connection has been idle for too long, so have all the others, and all of them are closed.
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

// dial opens a connection to an executor. At the connection limit, the oldest idle connection of any executor is closed to make
// room; dial returns nil if there is none.
func (n *Node) dial(e *executor) *conn {
	if n.conns.openCount() >= n.maxConns() && !n.closeOldestIdleConn() {
		return nil
	}
	c := n.conns.add(e)
	n.emit(Dial{c.id, e.addr})
	return c
}

// maxConns returns the current limit on connections to executors.
func (n *Node) maxConns() int {
	if n.handoff.limitsHalved {
		return n.limits.MaxConnsShared
	}
	return n.limits.MaxConns
}

// startHealthCheck asks an executor for its load. The health check fails at once if the executor takes no new work, or if so
// many connections are open that the rest is reserved for attempts (see healthCheckReserve).
func (n *Node) startHealthCheck(id policy.ExecutorID) {
	e := n.endpoints.get(id)
	limit := n.maxConns()
	if e == nil || !e.available || n.conns.openCount() >= limit-limit/healthCheckReserve {
		n.policy.HealthCheckEnded(n.now, id, false, policy.Load{})
		return
	}
	n.conns.healthChecksInFlight++
	n.emit(CheckHealth{id, e.addr})
}

// healthCheckEnded passes the result of a health check on to the policy.
func (n *Node) healthCheckEnded(ev HealthCheckEnded) {
	n.conns.healthChecksInFlight--
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

// closeOldestIdleConn closes the connection that has been idle for longest. It reports whether there was an idle connection.
func (n *Node) closeOldestIdleConn() bool {
	oldest := n.conns.idle.oldest()
	if oldest == nil {
		return false
	}
	n.conns.idle.take(oldest.executor, 0)
	n.closeConn(oldest)
	return true
}

// writeAttempt sends the attempt of a connection that is up. The attempt is counted in the metrics now, and uncounted if its
// last byte is never written.
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

// mayMissDedupWindow reports whether the policy decided on a retry with an idempotency key longer ago than DialTimeout. The
// dedup window in the policy's settings is shorter than the executors' by DialTimeout only. After a longer delay, an executor
// might not recognize the retry as a duplicate and run the job again.
func (n *Node) mayMissDedupWindow(c *conn, j *job) bool {
	return c.attempt > 0 && j.IdempotencyKey != "" && n.now-c.decidedAt > n.limits.DialTimeout
}

// stillWanted reports whether the attempt that a connection was dialed for may still be sent.
func (n *Node) stillWanted(c *conn) bool {
	return c.executor.available && !c.job.answered && !c.executorRestarted() && !c.executorMoved() && !n.mayMissDedupWindow(c, c.job)
}

// connReady handles a connection that is up: it writes the attempt that the connection was dialed for, if that is still wanted.
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

// abandonAttempt stops waiting for an attempt. If its connection is still being dialed, the attempt was never sent and ends
// now. Otherwise the connection is closed, and the attempt ends when its AttemptEnded or ConnClosed event arrives, with the
// given outcome if it may have run.
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

// attemptProgressed notifies the policy that an attempt has started, or of the fraction of it that is done.
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

// attemptEnded handles the event that reports the outcome of an attempt.
func (n *Node) attemptEnded(c *conn, ev AttemptEnded) {
	if c == nil || c.state != connBusy {
		return
	}
	c.state = connFinished
	j := n.conns.detachJob(c)
	if ev.ConnBroken && ev.Outcome == policy.ConnectFailed {
		n.metrics.uncountAttempt()
	}
	outcome := n.resolveOutcome(c, j, ev)
	n.reportLoad(c, ev.Load)
	if ev.ConnBroken {
		n.handleConnBroken(c, outcome)
	}
	n.attemptOver(j, c.attempt, outcome)
}

// resolveOutcome answers the job if the outcome of its attempt decides the answer, and logs the details of a failure. It returns
// the outcome for the policy, which differs from the reported outcome if this node closed the connection.
func (n *Node) resolveOutcome(c *conn, j *job, ev AttemptEnded) policy.Outcome {
	switch {
	case ev.Outcome == policy.Succeeded:
		n.answer(j, Answer{Final: Succeeded, Result: ev.Result})
	case ev.Outcome == policy.InvalidRequest:
		// The request itself is invalid. A retry on another executor would fail as well, and count against a healthy executor.
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

// handleConnBroken handles a connection that broke while it carried an attempt. It lowers the idle limit if the cause was
// probably a dropped idle connection, and closes the executor's idle connections, unless this node canceled the attempt or
// closed the connection before the last byte was written. After a timeout (TimedOut) the idle connections are closed,
// although this node closed the connection: the executor may be unreachable.
func (n *Node) handleConnBroken(c *conn, outcome policy.Outcome) {
	if outcome == policy.ConnectionLost && c.wasIdle && !c.progressed {
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, c.writtenAt-c.idleSince)
	}
	if outcome != policy.Canceled && outcome != policy.NotSent {
		// The executor's idle connections may be broken as well. If the executor is unreachable, dialing a new connection fails
		// before any byte of an attempt is written.
		n.closeIdleConns(c.executor)
	}
}

// attemptNotSent handles an attempt that was not written because its client had gone. The attempt never ran, and the connection
// is idle. The frontend's ClientLeft event for the same client may arrive before or after this one.
func (n *Node) attemptNotSent(c *conn) {
	if c == nil || c.state != connBusy {
		return
	}
	n.metrics.uncountAttempt()
	j := n.conns.detachJob(c)
	c.state = connFinished
	if !c.abandoned { // the connection of an abandoned attempt is being closed
		n.keepConn(c)
	}
	n.clientGone(j)
	n.attemptOver(j, c.attempt, policy.NotSent)
}

// connBecameIdle keeps a connection for the next attempt after its answer has been read to the end.
func (n *Node) connBecameIdle(c *conn) {
	if c != nil && c.state == connFinished && !c.abandoned {
		n.keepConn(c)
	}
}

// connClosed removes a closed connection. If an attempt was assigned to it, no byte of that attempt was written. A connection
// that had been idle before was closed by the executor because of its idle time, and the attempt gets another connection. A new
// connection that was closed at once means that the executor accepts no more connections; the attempt failed to connect.
func (n *Node) connClosed(c *conn, detail string) {
	if c == nil {
		return
	}
	delete(n.conns.byID, c.id)
	n.removeIdleConn(c)
	if c.state == connBusy { // no AttemptEnded event came before, so nothing was written
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

// removeIdleConn removes a closed connection from the idle connections. If the executor closed it because it was idle for too
// long, the idle limit is lowered.
func (n *Node) removeIdleConn(c *conn) {
	i := slices.Index(c.executor.idle, c)
	if i < 0 {
		return
	}
	n.conns.idle.take(c.executor, i)
	// A connection that was idle for a shorter time was closed by the executor right after its answer.
	if idle := n.now - c.idleSince; idle > n.limits.DialTimeout {
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, idle)
	}
}

// reassignConn gives the unwritten attempt of a closed connection another connection to the same executor, unless the attempt
// is no longer wanted. It reports whether the attempt has a new connection.
func (n *Node) reassignConn(closed *conn, j *job) bool {
	if closed.abandoned || j.answered || closed.executorRestarted() || n.mayMissDedupWindow(closed, j) {
		return false
	}
	return n.assignConn(j, closed.attempt, closed.executor, closed.decidedAt)
}
