package node

import (
	"slices"
	"time"

	"birchstair/policy"
)

// runPolicyTasks does all that the module has due, then asks for the one timer.
func (n *Node) runPolicyTasks() {
	for {
		due := n.policy.NextTask(n.now)
		switch due.Task {
		case policy.PlaceJob:
			if j := n.jobs[due.Job]; j != nil {
				n.deciding = j
				n.applyDecision(j, n.policy.Place(n.now, due.Job))
			} else {
				n.policy.ClientLeft(n.now, due.Job)
			}
		case policy.CancelAttempt:
			if j := n.jobs[due.Job]; j != nil {
				if i := slices.IndexFunc(j.conns, func(c *conn) bool { return c.attempt == due.Attempt }); i >= 0 {
					n.abandonAttempt(j.conns[i], policy.Canceled)
				}
			}
		case policy.ProbeExecutor:
			n.startProbe(due.Executor)
		case policy.SendLeaseMessage:
			if n.fleet != nil { // else nobody carries it
				n.emit(SendLeaseMessage{To: due.Node, Message: due.Message, Hash: due.Hash})
			}
		case policy.WatchEndpoints:
			n.emit(WatchEndpoints{})
		case policy.WriteLog:
			n.emit(Log{Text: due.Text})
		case policy.Sleep:
			at := min(due.At, n.nextHandoffDeadline())
			if n.fleet != nil {
				at = min(at, n.fleet.Next())
			}
			if len(n.unanswered) > 0 {
				at = min(at, n.unanswered[0].expiresAt)
			}
			if n.stopping && n.now < n.lameDuckUntil {
				at = min(at, n.lameDuckUntil)
			}
			n.setTimer(at)
			return
		}
	}
}

func (n *Node) setTimer(at time.Duration) {
	if at != n.timerAt {
		n.timerAt = at
		n.emit(SetTimer{at})
	}
}

// timerFired notes that the timer has fired: the next step sets it anew even for the same time.
func (n *Node) timerFired() { n.timerAt = -1 }
