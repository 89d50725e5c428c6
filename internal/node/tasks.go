package node

import (
	"time"

	"birchstair/policy"
)

// timerNotSet is no time that a timer is ever set to.
const timerNotSet time.Duration = -1

// runPolicyTasks does everything that the policy has due, then sets the timer for whatever is due next.
func (n *Node) runPolicyTasks() {
	for {
		due := n.policy.NextTask(n.now)
		if due.Task == policy.Sleep {
			n.setTimer(n.nextWake(due.At))
			return
		}
		n.runPolicyTask(due)
	}
}

func (n *Node) runPolicyTask(due policy.DueTask) {
	switch due.Task {
	case policy.PlaceJob:
		n.placeJob(due.Job)
	case policy.CancelAttempt:
		n.cancelAttempt(due.Job, due.Attempt)
	case policy.SendHealthCheck:
		n.startProbe(due.Executor)
	case policy.SendLeaseMessage:
		if n.fleet != nil { // without a fleet there is no edge to carry it
			n.emit(SendLeaseMessage{To: due.Node, Message: due.Message, Hash: due.Hash})
		}
	case policy.WatchEndpoints:
		n.emit(WatchEndpoints{})
	case policy.WriteLog:
		n.emit(Log{Text: due.Text})
	}
}

// nextWake is when the next step is due even without an event: for the policy, or earlier for another area.
func (n *Node) nextWake(policyTaskAt time.Duration) time.Duration {
	at := min(policyTaskAt, n.nextHandoffDeadline())
	if n.fleet != nil {
		at = min(at, n.fleet.Next())
	}
	if j := n.jobs.first(); j != nil {
		at = min(at, j.expiresAt)
	}
	if n.shutdown.inLameDuck(n.now) {
		at = min(at, n.shutdown.lameDuckUntil)
	}
	return at
}

// setTimer asks for a TimerFired event, unless the timer is set to this time already.
func (n *Node) setTimer(at time.Duration) {
	if at != n.timerAt {
		n.timerAt = at
		n.emit(SetTimer{at})
	}
}

// timerFired notes that the timer has fired. The next setTimer takes effect whatever its time.
func (n *Node) timerFired() { n.timerAt = timerNotSet }
