package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	// Upper limit of two backoffs. Repeated errors prolong the usual ejection time at most by this factor. Unanswered
	// health checks prolong the shortest delay between health checks at most by this factor.
	maxBackoffFactor = 8
	inactivityFactor = 2 // an executor counts as inactive after this multiple of the time that its attempts should take
	// An attempt counts as inactive after this number of missed progress notices at the earliest. After an inactivity
	// timeout of its executor, one missed notice fewer is enough.
	maxMissedNotices = 2
)

// health holds the state of an executor's ejections, inactivity timeouts and health checks.
type health struct {
	ejectedUntil time.Duration // time at which the last ejection of the executor ends
	inFlightCap  int           // maximum number of attempts in flight, raised by each completed attempt; 0: no cap
	// Time from which the inactivity timeout counts. This is the time of the executor's last response, or of a later
	// attempt that was sent when this node had no other attempt at the executor.
	lastSeen          time.Duration
	timeouts          int // number of consecutive inactivity timeouts and unanswered health checks
	consecutiveErrors int // number of executor errors since the last completed attempt
	// Number of attempts rejected as full since an attempt last started, progressed or completed.
	rejections    int
	suspect       bool          // an attempt has failed, and none has started, progressed or completed since
	unresponsive  bool          // a health check or a connection failed, and the executor has not responded since
	checkInFlight bool          // a health check of the executor is in flight
	checkSentAt   time.Duration // time at which the last health check was sent; 0: none was sent
	awaited       bool          // the executor is in the list pendingHealthChecks.awaitingReply
}

// awaitResponse starts the inactivity timeout when the first attempt is sent to an idle executor.
func (h *health) awaitResponse(now time.Duration) { h.lastSeen = now }

// isEjected reports whether the executor is ejected now.
func (h *health) isEjected(now time.Duration) bool { return h.ejectedUntil > now }

// restart resets the state of an executor that has restarted. Its ejection ends, and its cap on attempts in flight is
// set to one.
func (h *health) restart() {
	h.ejectedUntil = 0
	h.inFlightCap = 1
}

// backoffFactor returns the factor by which the usual ejection time is multiplied at the next ejection. It is the
// larger of two numbers: one plus the number of timeouts in a row, and 2 to the power of the number of errors in a row.
// The second number is limited to maxBackoffFactor.
func (h *health) backoffFactor() time.Duration {
	forErrors := min(1<<min(h.consecutiveErrors, maxBackoffFactor), maxBackoffFactor)
	return time.Duration(max(1+h.timeouts, forErrors))
}

// recordSuccess records a completed attempt. It raises the cap on attempts in flight by one, and removes the cap once
// it exceeds the quota.
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

// adopt applies the state learned by another process of this node. It reports whether that state includes an ejection
// or a cap on attempts in flight.
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

// eject keeps new attempts away from e for the largest mean work of a job class, multiplied by backoffFactor. Without
// an ejection, an executor that fails jobs quickly would attract more jobs, because it frees its tokens at once. After
// the ejection, the cap on attempts in flight at e is one at first. If e is ejected already, nothing changes. The cause
// is written to the log, unless e already has a cap on attempts in flight.
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

// detectInactivity ejects e if this node has attempts there and e has not responded within the inactivity timeout. The
// timeout is the sum of three terms: inactivityFactor times the predicted running time of the largest attempt,
// inactivityFactor times the usual start wait, and the shortest objective. detectInactivity also releases the tokens of
// single attempts that are inactive, for example because a connection broke unnoticed. Such an attempt says nothing
// about the executor, and its token would otherwise be unavailable for long.
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

// releaseInactiveAttempts releases the tokens of attempts at e for which no progress notice has come for longer than
// the timeout and for longer than maxMissedNotices progress intervals. After an inactivity timeout of e, one interval
// fewer is enough. Otherwise no token would be free for the next trial attempt.
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

// recordAlive records that e has started, progressed or completed an attempt. Like the answer to a health check, this
// ends the state in which e counts as unresponsive.
func (d *Dispatcher) recordAlive(e *executor, now time.Duration) {
	d.subset.noteRecovery(e.health.unresponsive)
	e.health.recordAlive(now)
}
