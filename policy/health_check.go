package policy

import (
	"slices"
	"time"
)

// pendingHealthChecks holds the executors that have a health check in flight or are unresponsive.
type pendingHealthChecks struct {
	awaitingReply []*executor
}

// await adds an executor to awaitingReply, unless it is in that list already.
func (c *pendingHealthChecks) await(e *executor) {
	if !e.health.awaited {
		e.health.awaited = true
		c.awaitingReply = append(c.awaitingReply, e)
	}
}

// pending returns the executors that still have a health check in flight or are still unresponsive. They are in the
// order in which executors got their first tokens (joinOrder).
func (c *pendingHealthChecks) pending() []*executor {
	c.awaitingReply = slices.DeleteFunc(c.awaitingReply, func(e *executor) bool {
		e.health.awaited = e.health.checkInFlight || e.health.unresponsive
		return !e.health.awaited
	})
	slices.SortFunc(c.awaitingReply, func(a, b *executor) int { return a.tokens.joinOrder - b.tokens.joinOrder })
	return c.awaitingReply
}

// markUnresponsive marks an executor as unresponsive. The executor gets no new attempts until it responds. The given
// number of timeouts in a row determines the delay between its health checks.
func (d *Dispatcher) markUnresponsive(e *executor, timeouts int) {
	e.health.unresponsive = true
	e.health.timeouts = timeouts
	d.subset.invalidate()
	d.healthChecks.await(e)
}

// HealthCheckEnded records the result of a health check. The load is used only if the executor answered.
func (d *Dispatcher) HealthCheckEnded(now time.Duration, id ExecutorID, answered bool, load Load) {
	d.beginTurn(now)
	e := d.endpoints.byID[id]
	if e == nil {
		return
	}
	inTime := e.health.checkInFlight
	e.health.checkInFlight = false
	if answered {
		d.recordHealthCheckAnswer(e, load, now)
	} else if inTime && e.health.suspect {
		// The health check failed before its timeout, so the executor's machine is up and refuses connections. The
		// executor can have attempts again. If the next attempt fails, the executor is ejected.
		d.subset.noteRecovery(e.health.unresponsive)
		e.health.unresponsive = false
		d.subset.recheck()
	}
}

// recordHealthCheckAnswer records that e has answered a health check, so e is no longer unresponsive. The answer can
// report a free slot. If this node grants the leases of e, it can then grant a waiting node one more lease
// (grantFreeSlot).
func (d *Dispatcher) recordHealthCheckAnswer(e *executor, load Load, now time.Duration) {
	if e.health.unresponsive {
		d.subset.invalidate()
	}
	d.queue.rescan()
	e.health.lastSeen = now
	e.health.unresponsive = false
	e.health.timeouts = 0
	if load.FreeSlots >= minReportedCount {
		d.grantFreeSlot(e.hash, now)
	}
}

// requestHealthCheck sends e a health check, unless one of e is in flight or the last one was sent less than interval
// ago. It sends none in a configuration in which executors don't answer health checks.
func (d *Dispatcher) requestHealthCheck(e *executor, now, interval time.Duration) {
	if !d.config.canCheckHealth || e.health.checkInFlight {
		return
	}
	if e.health.checkSentAt != 0 && now-e.health.checkSentAt < interval {
		return
	}
	e.health.checkInFlight = true
	e.health.checkSentAt = now
	d.healthChecks.await(e)
	d.outbox = append(d.outbox, DueTask{Task: SendHealthCheck, Executor: e.id})
	d.timers.checkAll(now + d.classes.shortestObjective)
}

// checkUnanswered handles health checks and lease requests that were not answered in time.
func (d *Dispatcher) checkUnanswered(now time.Duration) {
	d.handleHealthCheckTimeouts(now)
	d.checkLeaseRequests(now)
}

// handleHealthCheckTimeouts marks an executor as unresponsive if a health check has had no answer for as long as the
// shortest objective. An unresponsive executor gets the next health check when that is due (healthCheckInterval). The
// number of timeouts in a row, which determines the delay, stops at maxBackoffFactor.
func (d *Dispatcher) handleHealthCheckTimeouts(now time.Duration) {
	for _, e := range d.healthChecks.pending() {
		if e.tokens.joinOrder == 0 {
			continue
		}
		waited := now - e.health.checkSentAt - d.clock.stalledFor
		if e.health.checkInFlight && waited >= d.classes.shortestObjective {
			e.health.checkInFlight = false
			if !e.health.unresponsive {
				d.logf("%s ejected until it answers a health check", e.id)
			}
			d.markUnresponsive(e, min(e.health.timeouts+1, maxBackoffFactor))
			d.timers.checkAll(now + d.healthCheckInterval(e))
		} else if e.health.unresponsive {
			d.requestHealthCheck(e, now, d.healthCheckInterval(e))
		}
	}
}

// healthCheckInterval returns the time between two health checks of an unresponsive executor: longestMeanWork times the
// number of timeouts in a row.
func (d *Dispatcher) healthCheckInterval(e *executor) time.Duration {
	return d.longestMeanWork() * time.Duration(e.health.timeouts)
}
