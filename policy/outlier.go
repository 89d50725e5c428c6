package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxBackoffFactor = 8 // limits the ejection time after repeated errors, and the delay between health checks
	inactivityFactor = 2 // an executor is inactive after this multiple of the time that this node's attempts should take
	maxMissedNotices = 2 // missed progress notices after which an attempt is inactive; one fewer after an inactivity timeout
)

// health holds the state of an executor's ejections, inactivity timeouts and health checks.
type health struct {
	ejectedUntil      time.Duration // end of the last ejection
	inFlightCap       int           // maximum number of attempts in flight, raised by each completed attempt; 0: no cap
	lastSeen          time.Duration // time of the last response, or, if later, since which a response is awaited
	timeouts          int           // number of consecutive inactivity timeouts and unanswered health checks
	consecutiveErrors int           // number of executor errors since the last completed attempt
	rejections        int           // number of attempts rejected as full since recordAlive was last called
	suspect           bool          // an attempt has failed since recordAlive was last called
	unresponsive      bool          // a health check or a connection failed, and the executor has not responded since
	checkInFlight     bool          // a health check is in flight
	checkSentAt       time.Duration // time of the last health check; 0: none was sent
	awaited           bool          // the executor is in the list pendingHealthChecks.awaitingReply
}

// awaitResponse starts the inactivity timeout when the first attempt is sent to an idle executor.
func (h *health) awaitResponse(now time.Duration) { h.lastSeen = now }

// isEjected reports whether the executor is ejected now.
func (h *health) isEjected(now time.Duration) bool { return h.ejectedUntil > now }

// restart resets the state of an executor that has restarted: it is not ejected and may have one attempt in flight at first.
func (h *health) restart() {
	h.ejectedUntil = 0
	h.inFlightCap = 1
}

// backoffFactor returns the factor for the usual ejection time at the next ejection. It is the larger of two: one plus
// the number of timeouts in a row, and 2 to the power of the number of errors in a row, up to maxBackoffFactor.
func (h *health) backoffFactor() time.Duration {
	forErrors := min(1<<min(h.consecutiveErrors, maxBackoffFactor), maxBackoffFactor)
	return time.Duration(max(1+h.timeouts, forErrors))
}

// recordSuccess records a completed attempt. It raises the in-flight cap by one, and removes the cap once it exceeds the
// quota.
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

// recordFailure records an attempt that failed.
func (h *health) recordFailure(outcome Outcome) {
	h.suspect = true
	if outcome == ExecutorError {
		h.consecutiveErrors++
	}
}

// recordRejection records an attempt that was rejected as full, and returns the number of rejections in a row.
func (h *health) recordRejection() int {
	h.rejections++
	return h.rejections
}

// adopt applies the state learned by another process of this node, and reports whether it includes an ejection or a cap.
func (h *health) adopt(timeouts, inFlightCap int, ejectedFor, now time.Duration) bool {
	h.timeouts = timeouts
	if ejectedFor <= 0 && inFlightCap <= 0 {
		return false
	}
	h.ejectedUntil = now + ejectedFor
	h.inFlightCap = max(1, inFlightCap)
	return true
}

// recordAlive records that the executor has started, progressed or completed an attempt.
func (h *health) recordAlive(now time.Duration) {
	h.lastSeen = now
	h.suspect = false
	h.unresponsive = false
	h.timeouts = 0
	h.rejections = 0
}

// eject keeps new attempts away from e for the largest mean work of a job class, times backoffFactor. An executor that fails
// quickly frees its tokens at once and would attract more jobs. After the ejection e may have one attempt in flight at first.
// An ejection in force is not extended. The cause is written to the log.
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

// detectInactivity ejects e if it has attempts of this node and has not responded within the inactivity timeout, which is
// inactivityFactor times the time that they should take, plus the shortest objective. It also releases the tokens of single
// inactive attempts, as on a connection that broke unnoticed: these say nothing about the executor, and their tokens would
// be unavailable for long.
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

// releaseInactiveAttempts releases the tokens of attempts at e that have sent no progress notice within both the timeout and
// the time for maxMissedNotices. After an inactivity timeout of e, one missed notice is enough; otherwise no token would be
// free for the next trial attempt.
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

// recordAlive records that e has started, progressed or completed an attempt. This also ends its state as unresponsive, as
// the answer to a health check would.
func (d *Dispatcher) recordAlive(e *executor, now time.Duration) {
	d.subset.noteRecovery(e.health.unresponsive)
	e.health.recordAlive(now)
}
