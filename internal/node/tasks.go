package node

import (
	"time"

	"birchstair/policy"
)

// timerNotSet is the value of Node.timerAt after the timer has fired. It differs from every time for which a timer can
// be set.
const timerNotSet time.Duration = -1

// runPolicyTasks runs all of the policy's tasks that are due. Then it sets the timer for the time at which the node has
// work next.
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

// runPolicyTask runs one task of the policy.
func (n *Node) runPolicyTask(due policy.DueTask) {
	switch due.Task {
	case policy.PlaceJob:
		n.placeJob(due.Job)
	case policy.CancelAttempt:
		n.cancelAttempt(due.Job, due.Attempt)
	case policy.SendHealthCheck:
		n.startHealthCheck(due.Executor)
	case policy.SendLeaseMessage:
		// Without a cluster, no edge carries out SendLeaseMessage.
		if n.cluster != nil {
			n.emit(SendLeaseMessage{To: due.Node, Message: due.Message, Hash: due.Hash})
		}
	case policy.WatchEndpoints:
		n.emit(WatchEndpoints{})
	case policy.WriteLog:
		n.emit(Log{Text: due.Text})
	}
}

// nextWake returns when the next step is due if no event arrives before that. This is the earliest time at which the
// policy or another area of the node's state has work.
func (n *Node) nextWake(policyTaskAt time.Duration) time.Duration {
	at := min(policyTaskAt, n.nextHandoffDeadline())
	if n.cluster != nil {
		at = min(at, n.cluster.Next())
	}
	if j := n.jobs.first(); j != nil {
		at = min(at, j.expiresAt)
	}
	if n.shutdown.inLameDuck(n.now) {
		at = min(at, n.shutdown.lameDuckUntil)
	}
	return at
}

// setTimer requests a TimerFired event at the given time, unless the timer is already set for this time.
func (n *Node) setTimer(at time.Duration) {
	if at != n.timerAt {
		n.timerAt = at
		n.emit(SetTimer{at})
	}
}

// timerFired records that the timer has fired. The next call of setTimer then sets the timer, even if it is for the
// same time.
func (n *Node) timerFired() { n.timerAt = timerNotSet }
