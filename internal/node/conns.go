package node

import (
	"container/list"
	"slices"
	"time"

	"birchstair/policy"
)

// Health checks and spare connections leave some connections to executors free for attempts. Their number is the
// connection limit divided by attemptReserve.
const attemptReserve = 8

// rejectionMemory is how long after an executor's rejection jobs that must not run twice get unused connections.
const rejectionMemory = time.Minute

// minAttemptBudget is the shortest time budget that an attempt states to its executor.
const minAttemptBudget = time.Millisecond

// connState is the state of a connection to an executor.
type connState int

const (
	connDialing connState = iota // the connection is being dialed
	connBusy                     // the connection carries an attempt
	connIdle                     // the connection can carry the next attempt
	// The connection's attempt has ended. The rest of the answer is being read, or the connection is being closed.
	connFinished
)

// conn is a connection to an executor, from its Dial effect to its ConnClosed event.
type conn struct {
	id       ConnID
	executor *executor
	state    connState

	// The attempt that the connection carries or, while the connection is still being dialed, will carry.
	job         *job // the attempt's job; nil if there is no attempt
	attempt     policy.AttemptID
	decidedAt   time.Duration  // when the policy decided on the attempt
	writtenAt   time.Duration  // when the attempt was handed to the connection
	progressed  bool           // whether the executor has sent anything about the attempt
	abandoned   bool           // whether this node no longer waits for the attempt
	abandonedAs policy.Outcome // outcome of an abandoned attempt, if the attempt may have run

	// Copies of the executor's counters with the same names. If a counter differs from its copy, the executor has
	// restarted or moved.
	restarts    int // executor.restarts when the policy decided on the attempt
	addrChanges int // executor.addrChanges when the connection was dialed

	used        bool          // whether the connection has carried an attempt, to which a late response can still come
	dedicated   bool          // whether the connection was taken because it had carried no attempt
	wasIdle     bool          // whether the connection has been idle at least once
	idleSince   time.Duration // when the connection last became idle
	idleElement *list.Element // the connection's element in idleConns; nil unless it is idle
}

// executorRestarted reports whether the executor has restarted since the policy chose it for the attempt. The policy
// didn't know then that the executor would be in slow start.
func (c *conn) executorRestarted() bool { return c.restarts != c.executor.restarts }

// executorMoved reports whether the executor's address has changed since this connection was dialed. The address to
// which the connection leads may belong to another executor by now.
func (c *conn) executorMoved() bool { return c.addrChanges != c.executor.addrChanges }

// connTable holds all connections to executors.
type connTable struct {
	byID                 map[ConnID]*conn
	idle                 idleConns
	lastID               ConnID
	healthChecksInFlight int

	// Idle time from which a connection is not used again; maxIdle returns its current value.
	idleLimit          time.Duration
	idleLimitLoweredAt time.Duration // time when idleLimit was last lowered

	// Until this time, jobs that must not run twice get unused connections. It is zero before the first rejection.
	rejectionsUntil time.Duration
}

// get returns a connection by its ID, or nil.
func (t *connTable) get(id ConnID) *conn { return t.byID[id] }

// openCount returns the number of connections that count toward the connection limit, including those of health checks.
func (t *connTable) openCount() int { return len(t.byID) + t.healthChecksInFlight }

// add creates a connection, which the caller must dial.
func (t *connTable) add(e *executor) *conn {
	t.lastID++
	c := &conn{id: t.lastID, executor: e, addrChanges: e.addrChanges}
	t.byID[c.id] = c
	return c
}

// maxIdle returns the idle time from which a connection is not used again. This is the configured time, or less if
// connections broke after a shorter idle time. The reason is that executors or network devices can drop idle
// connections without notice. An attempt that is written on a dropped connection counts as possibly run. The configured
// time applies again once the limit has not been lowered for that time.
func (t *connTable) maxIdle(now, configured time.Duration) time.Duration {
	if now-t.idleLimitLoweredAt >= configured {
		t.idleLimit = configured
	}
	return t.idleLimit
}

// lowerIdleLimit records that a connection broke after it had been idle for the given time. The idle limit, which is
// the same for all executors, becomes at most half of that time.
func (t *connTable) lowerIdleLimit(now, configured, idle time.Duration) {
	t.idleLimit = min(t.maxIdle(now, configured), idle/2)
	t.idleLimitLoweredAt = now
}

// addIdle marks a connection as idle and adds it to the idle connections.
func (t *connTable) addIdle(c *conn, now time.Duration) {
	c.state, c.wasIdle, c.idleSince = connIdle, true, now
	t.idle.add(c)
}

// detachJob removes the link between a connection and the job whose attempt the connection carries. It returns the job,
// or nil if the connection carries no attempt.
func (t *connTable) detachJob(c *conn) *job {
	j := c.job
	if j != nil {
		c.job = nil
		j.removeConn(c)
	}
	return j
}

// startAttempt sends an attempt of a job to an executor. If the attempt can't be sent, the policy is notified
// immediately. The policy can then start the next attempt, which calls startAttempt again. The job class's MaxAttempts
// limits this recursion.
func (n *Node) startAttempt(j *job, id policy.ExecutorID) {
	attempt := j.nextAttemptID()
	if e := n.endpoints.get(id); e == nil || !n.assignConn(j, attempt, e, n.now) {
		n.attemptOver(j, attempt, policy.NotSent)
	}
}

// assignConn gives an attempt a connection to its executor: the connection that became idle last or, if none is idle, a
// new one. It returns false if the attempt got no connection.
//
// A rejection proves that an attempt never ran only on a connection that has carried no attempt before (see
// policy.RejectedUnproven). So while executors reject attempts, a job that must not run twice gets such a connection, and
// can be retried after a rejection.
func (n *Node) assignConn(j *job, attempt policy.AttemptID, e *executor, decidedAt time.Duration) bool {
	if !e.available {
		return false
	}
	mayBeUsed := n.isIdempotent(j) || n.now >= n.conns.rejectionsUntil
	c := n.takeIdleConn(e, mayBeUsed)
	if c == nil {
		c = n.dial(e)
	}
	if c == nil {
		return false
	}
	c.job, c.attempt, c.decidedAt, c.restarts, c.dedicated = j, attempt, decidedAt, e.restarts, !mayBeUsed
	j.addConn(c)
	if c.state == connIdle {
		n.writeAttempt(c)
	}
	return true
}

// isIdempotent reports whether a job may run any number of times.
func (n *Node) isIdempotent(j *job) bool { return n.classes.idempotency[j.Class] == policy.Idempotent }

// takeIdleConn returns the executor's connection that became idle last, and removes it from the idle connections. If
// that connection has been idle for too long, so have all the others. Then all are closed, and takeIdleConn returns
// nil. Unless mayBeUsed is set, only connections that have carried no attempt are considered.
func (n *Node) takeIdleConn(e *executor, mayBeUsed bool) *conn {
	if len(e.idle) == 0 {
		return nil
	}
	maxIdle := n.conns.maxIdle(n.now, n.limits.MaxIdle)
	last := len(e.idle) - 1
	if n.now-e.idle[last].idleSince >= maxIdle {
		n.closeIdleConns(e)
		return nil
	}
	for !mayBeUsed && last >= 0 && e.idle[last].used {
		last--
	}
	if last < 0 || n.now-e.idle[last].idleSince >= maxIdle {
		return nil
	}
	return n.conns.idle.take(e, last)
}

// dial opens a connection to an executor. At the connection limit, it first closes the connection that has been idle
// for longest, of any executor. If no connection is idle, it returns nil.
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

// unreservedConns returns how many connections can be open when one is opened that is not for an attempt.
func (n *Node) unreservedConns() int {
	limit := n.maxConns()
	return limit - limit/attemptReserve
}

// startHealthCheck asks an executor for its load. The health check fails immediately if the executor takes no new work,
// or if all other connections are reserved for attempts (see attemptReserve).
func (n *Node) startHealthCheck(id policy.ExecutorID) {
	e := n.endpoints.get(id)
	if e == nil || !e.available || n.conns.openCount() >= n.unreservedConns() {
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

// closeOldestIdleConn closes the connection that has been idle for longest. It returns false if no connection is idle.
func (n *Node) closeOldestIdleConn() bool {
	oldest := n.conns.idle.oldest()
	if oldest == nil {
		return false
	}
	n.conns.idle.take(oldest.executor, 0)
	n.closeConn(oldest)
	return true
}

// writeAttempt sends the attempt of a connection that is up. The metrics count the attempt now. If the attempt's last
// byte is never written, the count is taken back later.
func (n *Node) writeAttempt(c *conn) {
	c.state, c.progressed, c.writtenAt = connBusy, false, n.now
	n.metrics.countAttempt()
	n.emit(WriteAttempt{Conn: c.id, Executor: c.executor.id, Number: c.attempt, Attempt: Attempt{
		Request:       &c.job.Request,
		Budget:        max(c.job.deadline-n.now, minAttemptBudget),
		NotIdempotent: !n.isIdempotent(c.job),
		Client:        c.job.Client,
	}})
}

// mayMissDedupWindow reports whether a retry with an idempotency key could reach its executor after the end of the
// dedup window. The policy's dedup window is shorter than the executors' by DialTimeout, to allow for the time between the
// decision on a retry and its sending. If more than DialTimeout has passed since the decision, an executor might no
// longer recognize the retry as a duplicate, and would run the job again.
func (n *Node) mayMissDedupWindow(c *conn, j *job) bool {
	return c.attempt > 0 && j.IdempotencyKey != "" && n.now-c.decidedAt > n.limits.DialTimeout
}

// stillWanted reports whether the attempt for which a connection was dialed should still be sent.
func (n *Node) stillWanted(c *conn) bool {
	return c.executor.available && !c.job.answered && !c.executorRestarted() && !c.executorMoved() && !n.mayMissDedupWindow(c, c.job)
}

// connReady handles a connection that has come up. It writes the attempt for which the connection was dialed, if that
// attempt is still wanted.
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

// keepConn keeps a connection for the next attempt. If the executor takes no new work or has moved, it closes the
// connection instead.
func (n *Node) keepConn(c *conn) {
	if !c.executor.available || c.executorMoved() {
		n.closeConn(c)
		return
	}
	n.conns.addIdle(c, n.now)
}

// abandonAttempt stops waiting for an attempt. If the attempt's connection is still being dialed, the attempt was never
// sent and ends now. Otherwise the connection is closed, and the attempt ends when its AttemptEnded or ConnClosed event
// arrives. If the attempt may have run, it then has the given outcome.
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

// attemptProgressed notifies the policy that an attempt has started, or which fraction of the attempt is done.
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
	c.state, c.used = connFinished, true
	j := n.conns.detachJob(c)
	if ev.ConnBroken && ev.Outcome == policy.ConnectFailed {
		n.metrics.uncountAttempt()
	}
	j.mayHaveRun = j.mayHaveRun || !ev.Outcome.NeverRan()
	rejected := ev.Outcome == policy.ExecutorFull || ev.Outcome == policy.RejectedUnproven
	if rejected {
		n.conns.rejectionsUntil = n.now + rejectionMemory
	}
	outcome := n.resolveOutcome(c, j, ev)
	n.reportLoad(c, ev.Load)
	if ev.ConnBroken {
		n.handleConnBroken(c, outcome)
	}
	n.attemptOver(j, c.attempt, outcome)
	if rejected && !c.abandoned {
		n.replaceConn(c.executor)
	}
}

// replaceConn dials a connection in place of one that is closed after a rejection, so that the executor's next attempt
// does not wait for it. It does nothing if the executor takes no new work or has another idle connection, or if all other
// connections are reserved for attempts (see attemptReserve).
func (n *Node) replaceConn(e *executor) {
	if e.available && len(e.idle) == 0 && n.conns.openCount() < n.unreservedConns() {
		n.dial(e)
	}
}

// resolveOutcome answers the job if the outcome of the attempt decides the answer, and logs the details of a failure.
// It returns the outcome for the policy. This differs from the reported outcome if this node closed the connection.
func (n *Node) resolveOutcome(c *conn, j *job, ev AttemptEnded) policy.Outcome {
	switch {
	case ev.Outcome == policy.Succeeded:
		n.answer(j, Answer{Final: Succeeded, Result: ev.Result})
	case ev.Outcome == policy.InvalidRequest:
		// The request itself is invalid. A retry on another executor would fail as well, and would count as a failure
		// of a healthy executor.
		n.answer(j, Answer{Final: Failed, Reason: ReasonInvalid})
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	case c.abandoned && ev.ConnBroken && ev.Outcome == policy.ConnectFailed:
		// This node closed the connection before the last byte was written.
		return policy.NotSent
	case c.abandoned && ev.ConnBroken:
		return c.abandonedAs
	case ev.Detail != "":
		n.emit(Log{Text: ev.Detail, Executor: c.executor.id, Job: j.ID})
	}
	return ev.Outcome
}

// handleConnBroken handles a connection that broke while it carried an attempt. If the cause was probably that the
// connection had been dropped while it was idle, the idle limit is lowered. The executor's idle connections are closed,
// with two exceptions: this node canceled the attempt, or this node closed the connection before the last byte was
// written. After a timeout (TimedOut) it was this node that closed the connection, but the idle connections are closed
// all the same, because the executor may be unreachable.
func (n *Node) handleConnBroken(c *conn, outcome policy.Outcome) {
	if outcome == policy.ConnectionLost && c.wasIdle && !c.progressed {
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, c.writtenAt-c.idleSince)
	}
	if outcome != policy.Canceled && outcome != policy.NotSent {
		// The executor's idle connections may be broken as well. A new connection is safer: if the executor is
		// unreachable, dialing fails before any byte of an attempt is written.
		n.closeIdleConns(c.executor)
	}
}

// attemptNotSent handles an attempt that was not written because its client had gone, or because it was not known whether
// it had. The attempt never ran, and its connection is idle. If the client has gone, the frontend also reports that by
// ClientLeft. That event can arrive before or after this one.
func (n *Node) attemptNotSent(c *conn, client ClientState) {
	if c == nil || c.state != connBusy {
		return
	}
	n.metrics.uncountAttempt()
	j := n.conns.detachJob(c)
	c.state = connFinished
	if !c.abandoned { // if the attempt was abandoned, the connection is being closed
		n.keepConn(c)
	}
	if client == ClientUnknown {
		n.giveUpUnobservable(j)
	} else {
		n.clientGone(j)
	}
	n.attemptOver(j, c.attempt, policy.NotSent)
}

// connBecameIdle keeps a connection for the next attempt, after the answer to the previous attempt was read to the end. A
// dedicated connection is closed if the executor has another idle one: the next job that needs an unused connection opens
// one, and for all other jobs the idle one is enough.
func (n *Node) connBecameIdle(c *conn) {
	switch {
	case c == nil || c.state != connFinished || c.abandoned:
	case c.dedicated && len(c.executor.idle) > 0:
		n.closeConn(c)
	default:
		n.keepConn(c)
	}
}

// connClosed removes a closed connection. If an attempt is still assigned to the connection, no byte of the attempt was
// written. If the connection had been idle before, the executor closed it because of its idle time, and the attempt
// gets another connection. If the connection was new, it could not be dialed, or the executor closed it immediately
// because it accepts no more connections. Then the attempt failed to connect.
func (n *Node) connClosed(c *conn, detail string) {
	if c == nil {
		return
	}
	delete(n.conns.byID, c.id)
	n.removeIdleConn(c)
	if c.state == connBusy { // no AttemptEnded event came before, so no byte was written
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

// removeIdleConn removes a closed connection from the idle connections. If the executor closed the connection because
// it had been idle for too long, the idle limit is lowered.
func (n *Node) removeIdleConn(c *conn) {
	i := slices.Index(c.executor.idle, c)
	if i < 0 {
		return
	}
	n.conns.idle.take(c.executor, i)
	// A connection that was idle for at most DialTimeout was closed right after the answer, not because of its idle
	// time.
	if idle := n.now - c.idleSince; idle > n.limits.DialTimeout {
		n.conns.lowerIdleLimit(n.now, n.limits.MaxIdle, idle)
	}
}

// reassignConn gives the attempt of a closed connection another connection to the same executor. No byte of the attempt
// was written. It returns false if the attempt is no longer wanted or there is no connection for it.
func (n *Node) reassignConn(closed *conn, j *job) bool {
	if closed.abandoned || j.answered || closed.executorRestarted() || n.mayMissDedupWindow(closed, j) {
		return false
	}
	return n.assignConn(j, closed.attempt, closed.executor, closed.decidedAt)
}
