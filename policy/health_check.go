package policy

import (
	"slices"
	"time"
)

// healthChecks is which executors owe a sign of life.
type healthChecks struct {
	awaitingReply []*executor
}

// markUnresponsive lets nothing go to an executor until it answers.
func (d *Dispatcher) markUnresponsive(e *executor, silences int) {
	e.health.unresponsive, e.health.timeouts = true, silences
	d.subset.stale, d.subset.changed = true, true
	d.awaitReply(e)
}

// ProbeEnded tells what came of a probe; load means something only where it was answered.
func (d *Dispatcher) ProbeEnded(now time.Duration, id ExecutorID, answered bool, load Load) {
	d.beginTurn(now)
	e := d.endpoints.byID[id]
	if e == nil {
		return
	}
	prompt := e.health.probeOut
	e.health.probeOut = false
	if !answered && prompt && e.health.suspect { // it is there, or its machine is: the next break will tell
		d.subset.changed = d.subset.changed || e.health.unresponsive
		e.health.unresponsive, d.subset.stale = false, true
	}
	if answered {
		d.subset.changed = d.subset.changed || e.health.unresponsive
		d.subset.stale, d.queue.tokenFreed = d.subset.stale || e.health.unresponsive, true
		e.health.lastSeen, e.health.unresponsive, e.health.timeouts = now, false, 0
		if k := d.leases.ledgers[e.hash]; k != nil && load.FreeSlots >= 0.5 && now-k.grantedAt >= d.classes.shortestObjective {
			k.spareSeen = k.spareSeen || len(k.granted) >= k.quota
			d.grantLeases(k, len(k.granted)+1, now)
		}
	}
}

// requestProbe has an executor asked for its load, unless it was within that span.
func (d *Dispatcher) requestProbe(e *executor, now, within time.Duration) {
	if d.config.canProbe && !e.health.probeOut && (e.health.probedAt == 0 || now-e.health.probedAt >= within) {
		e.health.probeOut, e.health.probedAt = true, now
		d.awaitReply(e)
		d.outbox = append(d.outbox, DueTask{Task: ProbeExecutor, Executor: e.id})
		d.schedule(now+d.classes.shortestObjective, nil, nil)
	}
}

// awaitReply notes an executor that is asked for a sign of life, or owes one.
func (d *Dispatcher) awaitReply(e *executor) {
	if !e.health.awaited {
		e.health.awaited = true
		d.health.awaitingReply = append(d.health.awaitingReply, e)
	}
}

// awaitingReplies are those of which an answer is awaited, in the order in which they were met.
func (d *Dispatcher) awaitingReplies() []*executor {
	d.health.awaitingReply = slices.DeleteFunc(d.health.awaitingReply, func(e *executor) bool {
		e.health.awaited = e.health.probeOut || e.health.unresponsive
		return !e.health.awaited
	})
	slices.SortFunc(d.health.awaitingReply, func(a, b *executor) int { return a.tokens.joined - b.tokens.joined })
	return d.health.awaitingReply
}

// checkUnanswered finds the executors and keepers that have not answered. A silent executor is asked again, the
// more rarely the longer; for a keeper the next node in line stands in, then none does.
func (d *Dispatcher) checkUnanswered(now time.Duration) {
	for _, e := range d.awaitingReplies() {
		if e.tokens.joined == 0 {
			continue
		} else if e.health.probeOut && now-e.health.probedAt-d.clock.stalledFor >= d.classes.shortestObjective {
			if e.health.probeOut = false; !e.health.unresponsive {
				d.logf("%s held back until it answers a probe", e.id)
			}
			d.markUnresponsive(e, min(e.health.timeouts+1, maxBackoffFactor))
			d.schedule(now+d.longestMeanWork()*time.Duration(e.health.timeouts), nil, nil)
		} else if e.health.unresponsive {
			d.requestProbe(e, now, d.longestMeanWork()*time.Duration(e.health.timeouts))
		}
	}
	for _, e := range d.pendingLeaseRequests() {
		if e.indexed.subsetRank < 0 || e.lease.queued || now-e.lease.requestedAt < d.classes.shortestObjective/leaseAnswerPart {
			continue
		}
		e.lease.requested, e.lease.held = false, 0
		d.markDirty(e)
		if first := d.leaseHolderOf(e.hash); e.lease.holder == first {
			e.lease.holder, e.lease.primaryRetryAt = d.leaseHolderOf((e.hash^e.hash>>16)*0x9e3779b1>>8), now+2*d.classes.quotaInterval
		} else {
			e.lease.bypassUntil = now + d.classes.quotaInterval
		}
	}
}
