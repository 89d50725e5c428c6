package simulation

import (
	"cmp"
	"math"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	timePerByte = 8 * time.Nanosecond // time to write one byte of a body; 64 KiB take half a millisecond
	// An attempt counts as queued at its executor if the executor starts it more than this after it was sent.
	queuedStart = 50 * time.Millisecond
)

// connAttempt is an attempt in flight on a connection.
type connAttempt struct {
	request  *clientRequest
	executor *executor
	number   policy.AttemptID
	history  *attemptHistory
	written  bool // the last byte of the attempt has left the node
	ended    bool // the node has been notified of the end of the attempt, or is about to be

	notIdempotent bool // the job may be retried only if it is certain that this attempt never ran
	progressed    bool // the executor has notified the node of the attempt's start or progress
}

// recordAttempt records that the first byte of a new attempt is sent.
func (n *simNode) recordAttempt(request *clientRequest, executor *executor) *connAttempt {
	sim := n.sim
	attempt := &connAttempt{request: request, executor: executor, number: policy.AttemptID(request.attempts), history: sim.account.recordSent(request, executor)}
	request.attempts++
	request.sentAt = sim.now
	request.attemptsInFlight++
	if request.attemptsInFlight > 1 {
		sim.result.Hedges++
	}
	n.attemptsInFlight++
	sim.result.Attempts++
	if executor.Zone != n.zone {
		sim.result.Crossings++
	}
	sim.observe(invariants.Event{Kind: invariants.AttemptFirstByte, Node: n.id, Job: request.job, Work: request.work.ID, Attempt: attempt.number,
		Executor: executor.ID, Zone: executor.Zone, Cell: executor.Cell})
	return attempt
}

// recordAttemptEnd records that the node is notified of an attempt's end. neverRan is true if the outcome proves that
// the attempt never ran.
func (n *simNode) recordAttemptEnd(attempt *connAttempt, neverRan bool) {
	n.attemptsInFlight--
	attempt.request.attemptsInFlight--
	n.sim.observe(invariants.Event{Kind: invariants.AttemptEnded, Node: n.id, Job: attempt.request.job, Attempt: attempt.number,
		Executor: attempt.executor.ID, NeverRan: neverRan})
}

// writeAttempt writes an attempt to its connection, unless the connection has closed or the client has disconnected.
func (n *simNode) writeAttempt(effect node.WriteAttempt) {
	conn := n.conns[effect.Conn]
	if conn == nil || conn.state != connUp || conn.attempt != nil {
		return // the connection has closed, and the node is about to be notified
	}
	request := n.requests[effect.Attempt.ID]
	if request == nil {
		return
	}
	if client := effect.Attempt.Client; client != nil && client.State() == node.ClientGone {
		conn.deliverAfter(processingDelay, node.AttemptNotSent{Conn: conn.id, Client: node.ClientGone})
		return
	}
	conn.uses++
	attempt := n.recordAttempt(request, conn.executor)
	attempt.notIdempotent = effect.Attempt.NotIdempotent
	conn.attempt = attempt
	if conn.uses == 1 {
		attempt.history.dialedAt, attempt.history.connUpAt = conn.dialedAt, conn.upAt
	}
	writing := processingDelay + time.Duration(len(effect.Attempt.Body))*timePerByte
	if conn.resetsAtFirstUse {
		conn.resetsAtFirstUse = false
		conn.breakAt(time.Duration(n.sim.networkRand.Int64N(int64(3 * writing))))
	}
	n.after(writing, func() { conn.finishWrite(attempt) })
}

// finishWrite sends the last byte of an attempt.
func (c *executorConn) finishWrite(attempt *connAttempt) {
	if c.state != connUp || c.attempt != attempt {
		return
	}
	sim, x, request := c.node.sim, c.executor, attempt.request
	attempt.written = true
	sim.observe(invariants.Event{Kind: invariants.AttemptLastByte, Node: c.node.id, Job: request.job, Attempt: attempt.number, Executor: x.ID})
	allocation := sim.newAttempt(request, c.node.id, c.key, x)
	c.toExecutor(func() {
		request.delivered = true
		sim.account.recordArrived(attempt.history, allocation.Cost)
		x.apply(x.Accept(sim.now, allocation))
	})
}

// idempotencyKey returns the idempotency key of a work item's jobs; "" if its class has none.
func (sim *Simulation) idempotencyKey(work *emulator.Work) string {
	if sim.jobClasses[work.Class].Idempotency == policy.IdempotentWithKey {
		return string(work.ID)
	}
	return ""
}

// newAttempt returns an attempt of a request as the executor receives it.
func (sim *Simulation) newAttempt(request *clientRequest, from invariants.NodeID, key emulator.ConnID, x *executor) emulator.Attempt {
	work := request.work
	class := &sim.classes[work.Class]
	attempt := emulator.Attempt{Conn: key, Node: from, Job: request.job, Work: work.ID, Class: work.Class, Priority: class.Priority,
		Cost: work.Cost, StatedCost: cmp.Or(work.StatedCost, class.Mean)}
	if noise := sim.scenario.Fleet.AttemptNoise; noise > 0 {
		attempt.Cost *= math.Exp(sim.workNoiseRand.NormFloat64()*noise - noise*noise/2)
	}
	if attempt.IdempotencyKey = sim.idempotencyKey(work); attempt.IdempotencyKey != "" {
		attempt.DedupWindow, attempt.DedupMemory = class.DedupWindow, sim.dedupMemory(x, work.Class)
	}
	if sim.defects.attempt != nil {
		sim.defects.attempt(&attempt)
	}
	return attempt
}

// attemptOutcomes maps an executor's final answers to outcomes.
var attemptOutcomes = map[emulator.MessageKind]policy.Outcome{
	emulator.AttemptDone:     policy.Succeeded,
	emulator.AttemptFailed:   policy.ExecutorError,
	emulator.AttemptRejected: policy.ExecutorFull,
}

// answer sends an executor's answer or notice to the node.
func (c *executorConn) answer(answer emulator.Message) {
	sim := c.node.sim
	sentAt := sim.now
	if attempt := c.attempt; attempt != nil && !attempt.ended && attempt.request.job == answer.Job {
		sim.account.recordAnswer(attempt.history, answer.Kind)
	}
	c.toNode(func() { c.receiveAnswer(answer, sentAt) })
}

// receiveAnswer handles the arrival of an executor's answer or notice at the node.
func (c *executorConn) receiveAnswer(answer emulator.Message, sentAt time.Duration) {
	attempt := c.attempt
	if attempt == nil || attempt.ended || attempt.request.job != answer.Job {
		return
	}
	load := node.Load{Load: policy.Load{InFlight: answer.Load.InFlight, Queued: answer.Load.Queued, FreeSlots: answer.Load.FreeSlots,
		FreeMemory: -1, RunTime: -1}, Known: answer.Load.Known}
	attempt.progressed = attempt.progressed || answer.Kind == emulator.AttemptStarted || answer.Kind == emulator.AttemptProgress
	switch answer.Kind {
	case emulator.AttemptStarted:
		if sentAt-attempt.request.sentAt > queuedStart {
			c.node.sim.result.QueuedStarts++
		}
		c.deliver(node.AttemptProgressed{Conn: c.id, Load: load})
		return
	case emulator.AttemptProgress:
		c.deliver(node.AttemptProgressed{Conn: c.id, Progress: answer.Progress, Load: load})
		return
	}
	attempt.ended = true
	event := node.AttemptEnded{Conn: c.id, Outcome: attemptOutcomes[answer.Kind], Load: load}
	if answer.Kind == emulator.AttemptDone {
		event.Result = []byte("done " + attempt.request.work.ID)
	}
	if event.Outcome == policy.ExecutorFull && c.uses > 1 && attempt.notIdempotent && !attempt.progressed {
		event.Outcome = policy.RejectedUnproven // the answer names no job
	}
	if event.Outcome == policy.Succeeded {
		c.deliver(event)
		if c.state == connUp {
			c.becomeIdle()
		}
		return
	}
	c.closeAfterAnswer()
	c.deliver(event)
}

// closeAfterAnswer closes a connection whose attempt has not succeeded, as package upstream does.
func (c *executorConn) closeAfterAnswer() {
	if c.state == connUp {
		c.state = connClosed
		c.closeAtExecutor()
		c.deliverAfter(processingDelay/2, node.ConnClosed{Conn: c.id})
	}
}

// becomeIdle notifies the node that the connection is idle. The executor closes the connection unless another attempt
// uses it within the idle timeout.
func (c *executorConn) becomeIdle() {
	sim, x, uses := c.node.sim, c.executor, c.uses
	c.node.after(processingDelay, func() {
		if c.state == connUp {
			c.deliver(node.ConnIdle{Conn: c.id})
		}
	})
	sim.after(time.Duration(sim.scenario.Fleet.IdleTimeout), func() {
		if c.uses == uses && x.conns[c.key] == c {
			x.apply(x.ConnClosed(sim.now, c.key))
			c.resetByExecutor()
		}
	})
}
