package node

import (
	"time"

	"birchstair/policy"
)

// minAttemptBudget is the shortest time budget that an attempt states to its executor.
const minAttemptBudget = time.Millisecond

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
	mayBeUsed := n.isIdempotent(j) || !n.conns.rejectedLately(n.now)
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
// dedup window. The policy's dedup window is shorter than the executors' by DialTimeout (and by a suspension), to allow for the time between the
// decision on a retry and its sending. If more than DialTimeout has passed since the decision, an executor might no
// longer recognize the retry as a duplicate, and would run the job again.
func (n *Node) mayMissDedupWindow(c *conn, j *job) bool {
	return c.attempt > 0 && j.IdempotencyKey != "" && n.now-c.decidedAt > n.limits.DialTimeout
}

// stillWanted reports whether the attempt for which a connection was dialed should still be sent.
func (n *Node) stillWanted(c *conn) bool {
	return c.executor.available && !c.job.answered && !c.executorRestarted() && !c.executorMoved() && !n.mayMissDedupWindow(c, c.job)
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
		n.conns.noteRejection(n.now)
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
