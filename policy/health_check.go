package policy

import (
	"slices"
	"time"
)

// pendingHealthChecks is which executors owe a sign of life.
type pendingHealthChecks struct {
	awaitingReply []*executor
}

// await adds an executor that has a health check out, or is unresponsive.
func (c *pendingHealthChecks) await(e *executor) {
	if !e.health.awaited {
		e.health.awaited = true
		c.awaitingReply = append(c.awaitingReply, e)
	}
}

// pending returns the executors that still owe a sign of life, in the order in which they got tokens.
func (c *pendingHealthChecks) pending() []*executor {
	c.awaitingReply = slices.DeleteFunc(c.awaitingReply, func(e *executor) bool {
		e.health.awaited = e.health.checkInFlight || e.health.unresponsive
		return !e.health.awaited
	})
	slices.SortFunc(c.awaitingReply, func(a, b *executor) int { return a.tokens.joinOrder - b.tokens.joinOrder })
	return c.awaitingReply
}

// markUnresponsive lets no new attempt go to an executor until it answers. The number of timeouts in a row sets how soon
// it is checked again.
func (d *Dispatcher) markUnresponsive(e *executor, timeouts int) {
	e.health.unresponsive = true
	e.health.timeouts = timeouts
	d.subset.invalidate()
	d.healthChecks.await(e)
}

// HealthCheckEnded reports the result of a health check. The load is valid only if it was answered.
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
		// The check was refused at once, so the machine is up: the next attempt that fails will tell.
		d.subset.noteRecovery(e.health.unresponsive)
		e.health.unresponsive = false
		d.subset.recheck()
	}
}

// recordHealthCheckAnswer makes e usable again, and lets its lease holder grant a lease more if e has a slot free.
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

// requestHealthCheck sends e a health check, unless one is out or the last one was sent less than the interval ago.
func (d *Dispatcher) requestHealthCheck(e *executor, now, interval time.Duration) {
	if !d.config.canProbe || e.health.checkInFlight {
		return
	}
	if e.health.checkSentAt != 0 && now-e.health.checkSentAt < interval {
		return
	}
	e.health.checkInFlight = true
	e.health.checkSentAt = now
	d.healthChecks.await(e)
	d.outbox = append(d.outbox, DueTask{Task: ProbeExecutor, Executor: e.id})
	d.timers.checkAll(now + d.classes.shortestObjective)
}

// checkUnanswered finds the health checks and the lease requests that were not answered in time.
func (d *Dispatcher) checkUnanswered(now time.Duration) {
	d.handleHealthCheckTimeouts(now)
	d.checkLeaseRequests(now)
}

// handleHealthCheckTimeouts marks executors that did not answer a health check within the shortest objective as unresponsive, and
// checks those again: each timeout in a row makes the interval longer by one mean running time, up to maxBackoffFactor.
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

// healthCheckInterval returns how long an unresponsive executor is left alone between two health checks.
func (d *Dispatcher) healthCheckInterval(e *executor) time.Duration {
	return d.longestMeanWork() * time.Duration(e.health.timeouts)
}
