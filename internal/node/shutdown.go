package node

import (
	"fmt"
	"time"
)

// shutdown is the state of a graceful shutdown. From the shutdown request on, the node reports that it is not ready.
// During the lame-duck period, jobs that still arrive are accepted. All jobs are answered by the deadline.
type shutdown struct {
	requested       bool          // whether a shutdown was requested
	lameDuckUntil   time.Duration // end of the lame-duck period
	deadline        time.Duration // time by which all jobs are answered
	frontendClosing bool          // whether every job was answered and the frontend was asked to close
}

// limitDeadline returns the earlier of a job's deadline and the deadline of the shutdown. If no shutdown was requested,
// it returns the job's deadline.
func (s *shutdown) limitDeadline(deadline time.Duration) time.Duration {
	if s.requested {
		return min(deadline, s.deadline)
	}
	return deadline
}

// inLameDuck reports whether the lame-duck period is running.
func (s *shutdown) inLameDuck(now time.Duration) bool { return s.requested && now < s.lameDuckUntil }

// beginShutdown starts a graceful shutdown. It notifies the policy of the shutdown's deadline, so that the policy sends
// no attempt that can't end by then.
func (n *Node) beginShutdown() {
	if n.shutdown.requested {
		return
	}
	n.shutdown.requested = true
	n.shutdown.lameDuckUntil = n.now + n.limits.LameDuckPeriod
	n.shutdown.deadline = n.now + n.limits.ShutdownTimeout
	n.emit(SetReady{false})
	n.emit(Log{Text: fmt.Sprintf("shutdown requested, batch jobs in flight: %d", n.jobs.inFlight())})
	n.jobs.limitDeadlines(n.shutdown.deadline, n.limits.Quantum)
	n.policy.ShutDownBy(n.now, n.shutdown.deadline)
}

// closeFrontendWhenDone closes the frontend once the lame-duck period is over and every job is answered.
func (n *Node) closeFrontendWhenDone() {
	s := &n.shutdown
	if !s.requested || s.frontendClosing || n.now < s.lameDuckUntil || n.jobs.inFlight() > 0 {
		return
	}
	s.frontendClosing = true
	n.emit(Log{Text: "shutdown: every batch job is answered"})
	n.emit(CloseFrontend{})
}

// frontendClosed ends the process. If a job arrived while the frontend was closing, that job is answered first: the
// frontend is asked to close again, and posts another FrontendClosed event when it has. If no shutdown was requested,
// the frontend has failed. Then no client can receive an answer, so all jobs fail immediately.
func (n *Node) frontendClosed() {
	if n.shutdown.requested && n.jobs.inFlight() > 0 {
		n.emit(CloseFrontend{})
		return
	}
	for n.jobs.inFlight() > 0 {
		n.answer(n.jobs.first(), Answer{Final: Failed, Reason: ReasonFrontendEnded})
	}
	n.announceClaimsEnd()
	n.emit(Exit{})
}
