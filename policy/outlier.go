package policy

import (
	"fmt"
	"slices"
	"time"
)

const maxBackoffFactor = 8 // times the usual ejection at most, for an executor that is silent or errs again and again

// health is what outcomes and silence show of an executor.
type health struct {
	ejectedUntil      time.Duration
	inFlightCap       int           // most attempts out; it grows with answers; 0: no cap
	lastSeen          time.Duration // last sign of life
	timeouts          int           // ejections for silence since then
	consecutiveErrors int           // errors since it last completed a job
	rejections        int           // rejected attempts since the last sign of life
	suspect           bool          // an outcome since then was no result
	unresponsive      bool          // a probe was not answered, and none since
	probeOut          bool
	probedAt          time.Duration
	awaited           bool // it is in healthChecks.awaitingReply
}

// restart is for an executor that has started again: no ejection holds any more, and it begins with one attempt in flight.
func (h *health) restart() {
	h.ejectedUntil = 0
	h.inFlightCap = 1
}

// eject holds an executor's tokens back for as long as a batch job takes: a quick error frees a token at
// once and would draw more. After that it is tried with one in flight.
func (d *Dispatcher) eject(e *executor, now time.Duration, why string) {
	if e.health.ejectedUntil > now {
		return
	}
	span := d.longestMeanWork() * time.Duration(max(1+e.health.timeouts, min(1<<min(e.health.consecutiveErrors, maxBackoffFactor), maxBackoffFactor)))
	if e.health.inFlightCap == 0 {
		d.logf("%s held back for %v %s", e.id, span.Round(time.Millisecond), why)
	}
	e.health.ejectedUntil, e.health.inFlightCap = now+span, 1
	d.subset.stale, d.subset.changed = true, true
	d.markDirty(e)
	d.schedule(e.health.ejectedUntil, nil, nil)
}

// detectSilence guards against an executor that takes batch jobs and tells nothing for longer than all that is
// out there should take, and against a connection that falls silent: an allocation of which as long nothing
// is told shows nothing of its executor any more; its token comes free, or it would shut it out for long.
func (d *Dispatcher) detectSilence(e *executor, now time.Duration) {
	if len(e.attempts) == 0 || !e.available {
		return
	}
	pace := (e.estimate.runTime + d.endpoints.kinds[e.kind].pace) / (e.estimate.work + 1)
	span := 2*scaled(e.longestWork(), pace) + 2*e.estimate.startWait + d.classes.shortestObjective
	if now-e.health.lastSeen > span && e.health.ejectedUntil <= now {
		d.eject(e, now, fmt.Sprintf("after silence of %v", (now-e.health.lastSeen).Round(time.Millisecond)))
		e.health.timeouts++ // each try costs a batch job: the next comes later
	}
	// Where its executor was held back one missing notice is enough, or the next try would find no token free.
	notices := d.config.progressInterval * time.Duration(2-min(e.health.timeouts, 1))
	e.attempts = slices.DeleteFunc(e.attempts, func(j *attempt) bool {
		j.tokenReleased = d.config.progressInterval > 0 && now-max(j.sentAt, j.progressAt) > max(span, notices)
		if j.tokenReleased {
			d.releaseToken(e, now, true)
		}
		return j.tokenReleased
	})
}

// recordAlive books a sign of life, which is as good as an answer to a probe.
func (d *Dispatcher) recordAlive(e *executor, now time.Duration) {
	d.subset.changed = d.subset.changed || e.health.unresponsive
	e.health.lastSeen, e.health.suspect, e.health.unresponsive, e.health.timeouts, e.health.rejections = now, false, false, 0, 0
}
