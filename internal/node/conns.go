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

	// End of the rejectionMemory after the last rejection, or 0 if there was none.
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

// noteRejection records that an executor has rejected an attempt.
func (t *connTable) noteRejection(now time.Duration) { t.rejectionsUntil = now + rejectionMemory }

// rejectedLately reports whether an executor has rejected an attempt within the last rejectionMemory.
func (t *connTable) rejectedLately(now time.Duration) bool { return now < t.rejectionsUntil }

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

// replaceConn dials a connection in place of one that is closed after a rejection, so that the executor's next attempt
// does not wait for it. It does nothing if the executor takes no new work or has another idle connection, or if all other
// connections are reserved for attempts (see attemptReserve).
func (n *Node) replaceConn(e *executor) {
	if e.available && len(e.idle) == 0 && n.conns.openCount() < n.unreservedConns() {
		n.dial(e)
	}
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
