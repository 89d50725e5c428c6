package node

import (
	"container/heap"
	"fmt"
)

// beginShutdown begins the end: no new readiness, what still comes is taken, and all is answered in time. The module is
// told, so that it sends nothing that can't be done by then.
func (n *Node) beginShutdown() {
	if n.stopping {
		return
	}
	n.stopping, n.lameDuckUntil, n.deadline = true, n.now+n.limits.LameDuckPeriod, n.now+n.limits.ShutdownTimeout
	n.emit(SetReady{false})
	n.emit(Log{Text: fmt.Sprintf("told to stop with %d batch jobs in hand", len(n.unanswered))})
	for _, j := range n.unanswered {
		j.deadline = min(j.deadline, n.deadline)
		j.expiresAt = min(j.expiresAt, n.deadline-n.limits.Quantum)
	}
	heap.Init(&n.unanswered)
	n.policy.ShutDownBy(n.now, n.deadline)
}

// closeFrontendWhenDone closes the front once nothing is owed any more; the process ends when that is done.
func (n *Node) closeFrontendWhenDone() {
	if n.stopping && !n.frontendClosing && n.now >= n.lameDuckUntil && len(n.unanswered) == 0 {
		n.frontendClosing = true
		n.emit(Log{Text: "all is answered"})
		n.emit(CloseFrontend{})
	}
}

// frontendClosed exits once the frontend has closed.
func (n *Node) frontendClosed() {
	if n.stopping && len(n.unanswered) > 0 { // one has come at the last moment; it has its answer by its limit
		n.emit(CloseFrontend{})
		return
	}
	for len(n.unanswered) > 0 { // the front broke: nobody would learn what becomes of them
		n.answer(n.unanswered[0], Answer{Final: Failed})
	}
	n.emit(Exit{})
}
