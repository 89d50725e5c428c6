package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxBackoffFactor = 8 // times the usual ejection at most, for an executor that is silent or errs again and again
	inactivityFactor = 2 // times what this node's attempts should take, after which an executor without a sign of life is silent
	maxMissedNotices = 2 // progress notices that may be missing before an attempt is silent; one at an executor ejected for silence
)

// health is what outcomes and silence show of an executor.
type health struct {
	ejectedUntil      time.Duration
	inFlightCap       int           // most attempts out; it grows with answers; 0: no cap
	lastSeen          time.Duration // last sign of life
	timeouts          int           // consecutive silences or unanswered health checks since then
	consecutiveErrors int           // errors since it last completed a job
	rejections        int           // rejected attempts since the last sign of life
	suspect           bool          // an attempt failed since then
	unresponsive      bool          // a health check was not answered, and none since
	checkInFlight     bool          // a health check is out
	checkSentAt       time.Duration // when the last one was sent; 0: none was
	awaited           bool          // it is in pendingHealthChecks.awaitingReply
}

// awaitResponse begins to wait for a sign of life, when the first attempt goes out.
func (h *health) awaitResponse(now time.Duration) { h.lastSeen = now }

// isEjected reports whether an ejection is in force.
func (h *health) isEjected(now time.Duration) bool { return h.ejectedUntil > now }

// restart is for an executor that has started again: no ejection holds any more, and it begins with one attempt in flight.
func (h *health) restart() {
	h.ejectedUntil = 0
	h.inFlightCap = 1
}

// backoffFactor returns by how much the next ejection is longer than the usual one: by one time more for each ejection
// for silence in a row, or twice as long for each error in a row.
func (h *health) backoffFactor() time.Duration {
	forErrors := min(1<<min(h.consecutiveErrors, maxBackoffFactor), maxBackoffFactor)
	return time.Duration(max(1+h.timeouts, forErrors))
}

// recordSuccess records a completed attempt, after which one more may be in flight. Past the quota there is no cap any
// more.
func (h *health) recordSuccess(quota int) {
	h.consecutiveErrors = 0
	if h.inFlightCap == 0 {
		return
	}
	h.inFlightCap++
	if h.inFlightCap > quota {
		h.inFlightCap = 0
	}
}

// recordFailure records an attempt without a result.
func (h *health) recordFailure(outcome Outcome) {
	h.suspect = true
	if outcome == ExecutorError {
		h.consecutiveErrors++
	}
}

// recordRejection counts an attempt that was rejected as full, and returns how many were in a row.
func (h *health) recordRejection() int {
	h.rejections++
	return h.rejections
}

// adopt takes over what another process of this node knows, and reports whether an ejection or a cap comes with it.
func (h *health) adopt(timeouts, inFlightCap int, ejectedFor, now time.Duration) bool {
	h.timeouts = timeouts
	if ejectedFor <= 0 && inFlightCap <= 0 {
		return false
	}
	h.ejectedUntil = now + ejectedFor
	h.inFlightCap = max(1, inFlightCap)
	return true
}

// recordAlive records a sign of life.
func (h *health) recordAlive(now time.Duration) {
	h.lastSeen = now
	h.suspect = false
	h.unresponsive = false
	h.timeouts = 0
	h.rejections = 0
}

// eject has e get no new attempt for as long as a job takes, longer by backoffFactor if it failed before: an executor
// that fails quickly frees its tokens at once and would draw more jobs. After that it is tried with one attempt in
// flight. An ejection in force is not extended. The cause is for the log.
func (d *Dispatcher) eject(e *executor, now time.Duration, cause string) {
	if e.health.isEjected(now) {
		return
	}
	span := d.longestMeanWork() * e.health.backoffFactor()
	if e.health.inFlightCap == 0 {
		d.logf("%s ejected for %v %s", e.id, span.Round(time.Millisecond), cause)
	}
	e.health.ejectedUntil = now + span
	e.health.inFlightCap = 1
	d.subset.invalidate()
	d.markDirty(e)
	d.timers.checkAll(e.health.ejectedUntil)
}

// detectInactivity ejects an executor that has attempts of this node and gave no sign of life for inactivityFactor times what
// they should take. It also releases the tokens of single attempts that are silent, as on a connection that broke
// without notice: such an attempt shows nothing of its executor, and its token would be lost for long.
func (d *Dispatcher) detectInactivity(e *executor, now time.Duration) {
	if len(e.attempts) == 0 || !e.available {
		return
	}
	pace := e.estimate.meanPace(d.endpoints.kinds[e.kind].pace)
	timeout := inactivityFactor*scaled(e.longestWork(), pace) + inactivityFactor*e.estimate.startWait + d.classes.shortestObjective
	inactiveFor := now - e.health.lastSeen
	if inactiveFor > timeout && !e.health.isEjected(now) {
		d.eject(e, now, fmt.Sprintf("after silence of %v", inactiveFor.Round(time.Millisecond)))
		e.health.timeouts++
	}
	d.releaseInactiveAttempts(e, now, timeout)
}

// releaseInactiveAttempts gives up the tokens of attempts at e without a progress notice within the timeout. At an executor
// ejected for silence one missing notice is enough, or its next trial would find no token free.
func (d *Dispatcher) releaseInactiveAttempts(e *executor, now, timeout time.Duration) {
	notices := d.config.progressInterval * time.Duration(maxMissedNotices-min(e.health.timeouts, 1))
	e.attempts = slices.DeleteFunc(e.attempts, func(a *attempt) bool {
		a.tokenReleased = d.config.progressInterval > 0 && now-max(a.sentAt, a.progressAt) > max(timeout, notices)
		if a.tokenReleased {
			d.releaseToken(e, now, true)
		}
		return a.tokenReleased
	})
}

// recordAlive records a sign of life of e, which is as good as an answer to a health check.
func (d *Dispatcher) recordAlive(e *executor, now time.Duration) {
	d.subset.noteRecovery(e.health.unresponsive)
	e.health.recordAlive(now)
}
