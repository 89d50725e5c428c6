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

// connAttempt is an allocation on a wire.
type connAttempt struct {
	request  *clientRequest
	executor *executor
	number   policy.AttemptID
	history  *attemptHistory
	written  bool // its last byte has left the node
	ended    bool // the node is told, or about to be told, that it is over
}

// recordAttempt books that an allocation of a try goes out.
func (n *simNode) recordAttempt(t *clientRequest, x *executor) *connAttempt {
	w := n.world
	l := &connAttempt{request: t, executor: x, number: policy.AttemptID(t.attempts), history: w.account.recordSent(t, x)}
	t.attempts++
	t.sentAt = w.now
	if t.attemptsOut++; t.attemptsOut > 1 {
		w.result.Copies++
	}
	n.attemptsOut++
	w.result.Allocations++
	if x.Zone != n.zone {
		w.result.Crossings++
	}
	w.observe(invariants.Seen{What: invariants.FirstByte, Node: n.id, Job: t.job, Work: t.work.ID, Allocation: l.number, Executor: x.ID,
		Zone: x.Zone, Cell: x.Cell})
	return l
}

// recordAttemptEnd books that the node is told of an allocation's end.
func (n *simNode) recordAttemptEnd(l *connAttempt, proof bool) {
	n.attemptsOut--
	l.request.attemptsOut--
	n.world.observe(invariants.Seen{What: invariants.Over, Node: n.id, Job: l.request.job, Allocation: l.number, Executor: l.executor.ID, Proof: proof})
}

func (n *simNode) writeAttempt(e node.WriteAttempt) {
	w, c := n.world, n.conns[e.Conn]
	if c == nil || c.state != connUp || c.attempt != nil {
		return // it is closed already, and the node about to be told
	}
	t := n.requests[e.Attempt.ID]
	if t == nil {
		return
	}
	if client := e.Attempt.Client; client != nil && client.Gone() {
		c.deliverAfter(processingDelay, node.AttemptNotSent{Conn: c.id})
		return
	}
	c.uses++
	l := n.recordAttempt(t, c.executor)
	c.attempt = l
	if c.uses == 1 {
		l.history.dialedAt, l.history.connUpAt = c.dialedAt, c.upAt
	}
	writing := processingDelay + time.Duration(len(e.Attempt.Body))*timePerByte
	if c.resetsAtFirstUse {
		c.resetsAtFirstUse = false
		c.breakAt(time.Duration(w.networkRand.Int64N(int64(3 * writing))))
	}
	n.after(writing, func() {
		if c.state != connUp || c.attempt != l {
			return
		}
		l.written = true
		w.observe(invariants.Seen{What: invariants.LastByte, Node: n.id, Job: t.job, Allocation: l.number, Executor: c.executor.ID})
		a := w.newAttempt(t, n.id, c.key, c.executor)
		c.toExecutor(func() {
			t.delivered = true
			w.account.recordReached(l.history, a.Cost)
			c.executor.apply(c.executor.Take(w.now, a))
		})
	})
}

// idempotencyKey is what a work of a tagged track carries; others have none.
func (w *World) idempotencyKey(work *emulator.Work) string {
	if w.jobClasses[work.Track].Idempotency == policy.IdempotentWithKey {
		return string(work.ID)
	}
	return ""
}

// newAttempt is what reaches an executor for a try.
func (w *World) newAttempt(t *clientRequest, from invariants.NodeID, key emulator.ConnID, x *executor) emulator.Allocation {
	a := emulator.Allocation{Conn: key, Node: from, Job: t.job, Work: t.work.ID, Track: t.work.Track, Priority: w.classes[t.work.Track].Priority,
		Cost: t.work.Cost, Hint: cmp.Or(t.work.Hint, w.classes[t.work.Track].Mean)}
	if noise := w.scenario.Fleet.AttemptNoise; noise > 0 {
		a.Cost *= math.Exp(w.workNoiseRand.NormFloat64()*noise - noise*noise/2)
	}
	if a.Tag = w.idempotencyKey(t.work); a.Tag != "" {
		a.Window, a.Memory = w.jobClasses[a.Track].DedupWindow, w.dedupMemory(x, a.Track)
	}
	if w.defects.attempt != nil {
		w.defects.attempt(&a)
	}
	return a
}

// timePerByte: a body of 64 KiB takes half a millisecond to leave.
const timePerByte = 8 * time.Nanosecond

var attemptOutcomes = map[emulator.Word]policy.Outcome{emulator.Done: policy.Succeeded, emulator.Errored: policy.ExecutorError, emulator.NoRoom: policy.ExecutorFull}

// answer brings an executor's word to the node.
func (c *executorConn) answer(o emulator.Say) {
	load := node.Load{Load: policy.Load{InFlight: o.Load.Held, Queued: o.Load.Waiting, FreeSlots: o.Load.Free, FreeMemory: -1, RunTime: -1}, Known: o.Load.Known}
	sentAt := c.node.world.now
	if l := c.attempt; l != nil && !l.ended && l.request.job == o.Job {
		c.node.world.account.recordAnswer(l.history, o.Word)
	}
	c.toNode(func() {
		l := c.attempt
		if l == nil || l.ended || l.request.job != o.Job {
			return
		}
		switch o.Word {
		case emulator.Began:
			if sentAt-l.request.sentAt > queuedStart {
				c.node.world.result.StartsWaited++
			}
			c.deliver(node.AttemptProgressed{Conn: c.id, Load: load})
			return
		case emulator.Progress:
			c.deliver(node.AttemptProgressed{Conn: c.id, Progress: o.Share, Load: load})
			return
		}
		l.ended = true
		ev := node.AttemptEnded{Conn: c.id, Outcome: attemptOutcomes[o.Word], Load: load}
		if o.Word == emulator.Done {
			ev.Result = []byte("done " + l.request.work.ID)
		}
		c.deliver(ev)
		if c.state == connUp {
			uses := c.uses
			c.node.after(processingDelay, func() {
				if c.state == connUp {
					c.deliver(node.ConnIdle{Conn: c.id})
				}
			})
			c.node.world.after(time.Duration(c.node.world.scenario.Fleet.IdleLimit), func() {
				if c.uses == uses && c.executor.conns[c.key] == c {
					c.executor.apply(c.executor.Hangup(c.node.world.now, c.key))
					c.resetByExecutor()
				}
			})
		}
	})
}

// queuedStart is from when on a start counts as having waited at the executor.
const queuedStart = 50 * time.Millisecond
