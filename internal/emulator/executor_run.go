package emulator

import (
	"math"
	"slices"
	"time"
)

// quickRunTime is how long an attempt takes that fails without running, or whose idempotency key is a repeat.
const quickRunTime = 2 * time.Millisecond

// rate returns the work that one running batch job does per second.
func (e *Executor) rate(now time.Duration) float64 {
	n := len(e.running)
	if n == 0 {
		return 0
	}
	r := e.Speed * e.capacityFraction(now) * min(1, float64(e.Cores)/float64(n))
	fault := e.fault
	if fault.Slow > 1 {
		r /= fault.Slow
	}
	if fault.StallEvery > 0 && (now-e.faultSince)%fault.StallEvery < fault.StallFor {
		return 0
	}
	if fault.NeighborShare > 0 && (now-e.faultSince)/neighborInterval%2 == 0 {
		r *= 1 - fault.NeighborShare
	}
	return r
}

// slowStartSteps is how many steps the capacity takes to grow to its full size in slow start.
const slowStartSteps = 24

// Next returns when Wake must be called: when an attempt ends or a progress message is due, or when the rate changes.
func (e *Executor) Next() time.Duration {
	if !e.Up || len(e.running) == 0 {
		return Never
	}
	next := Never
	rate := e.rate(e.now)
	for _, t := range e.running {
		if t.unresponsive {
			continue
		}
		if rate > 0 {
			next = min(next, e.now+time.Duration(math.Ceil((t.left+e.connectionWork)/rate*1e9)))
		}
		if e.ProgressEvery > 0 && !t.abandoned {
			next = min(next, t.reportedAt+e.ProgressEvery)
		}
	}
	return max(min(next, e.nextRateChange()), e.now+time.Microsecond)
}

// nextRateChange returns when the rate changes next, by slow start or by a fault.
func (e *Executor) nextRateChange() time.Duration {
	next := Never
	if e.InSlowStart(e.now) {
		next = min(next, e.now+e.SlowStart/slowStartSteps)
	}
	if t := e.fault; t.StallEvery > 0 {
		elapsed := (e.now - e.faultSince) % t.StallEvery
		if elapsed < t.StallFor {
			next = min(next, e.now+t.StallFor-elapsed)
		} else {
			next = min(next, e.now+t.StallEvery-elapsed)
		}
	}
	if e.fault.NeighborShare > 0 {
		next = min(next, e.now+neighborInterval-(e.now-e.faultSince)%neighborInterval)
	}
	return next
}

// begin starts a call: it empties the outputs and advances the time.
func (e *Executor) begin(now time.Duration) {
	e.outputs = e.outputs[:0]
	e.advance(now)
}

// advance does the work for the time since the last call. It then ends the attempts that have finished, sends progress
// messages and starts waiting attempts. The work that new connections cost is done before that of batch jobs.
func (e *Executor) advance(now time.Duration) {
	span := (now - e.now).Seconds()
	if span > 0 && e.Up {
		done := e.rate(e.now) * span
		if setup := min(e.connectionWork, done); setup > 0 {
			e.connectionWork -= setup
			done -= setup
		}
		for _, t := range e.running {
			if !t.unresponsive {
				t.left -= done
			}
		}
	}
	e.now = max(e.now, now)
	e.finish()
	e.reportProgress()
	e.startWaiting()
}

// finishedBelow is the remaining work in seconds up to which an attempt counts as finished. It allows for
// floating-point errors.
const finishedBelow = 1e-9

// finish ends the running attempts that have no work left.
func (e *Executor) finish() {
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.left > finishedBelow || t.unresponsive {
			return false
		}
		if t.abandoned {
			e.Orphans++
		} else {
			kind := AttemptDone
			if t.failing {
				kind = AttemptFailed
			}
			e.send(t, kind, 1)
		}
		return true
	})
}

// reportProgress sends the progress messages that are due.
func (e *Executor) reportProgress() {
	if e.ProgressEvery == 0 {
		return
	}
	for _, t := range e.running {
		if !t.abandoned && !t.unresponsive && e.now >= t.reportedAt+e.ProgressEvery {
			t.reportedAt = e.now
			e.send(t, AttemptProgress, min(0.99, max(0.001, 1-t.left/t.Cost)))
		}
	}
}

// startWaiting starts waiting attempts while slots are free.
func (e *Executor) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(t)
	}
}

func (e *Executor) start(t *task) {
	t.reportedAt = e.now
	e.running = append(e.running, t)
	if t.unresponsive {
		return
	}
	if t.IdempotencyKey != "" && !t.failing && t.DedupMemory.repeats(e.now, t.IdempotencyKey, t.DedupWindow) {
		t.duplicate, t.left = true, min(t.left, quickRunTime.Seconds())
	}
	if !t.duplicate && !t.failing {
		e.outputs = append(e.outputs, EffectStarted{t.Attempt})
	}
	if e.SendsStart && !t.abandoned {
		e.send(t, AttemptStarted, 0)
	}
}

func (e *Executor) send(t *task, kind MessageKind, progress float64) {
	e.outputs = append(e.outputs, Message{t.Conn, t.Job, kind, progress, e.LoadReport(e.now)})
}

// LoadReport returns the load report of the executor, with a random error of up to ReportNoise. All nodes get the same
// report until its age is ReportEvery and it is renewed.
func (e *Executor) LoadReport(now time.Duration) Load {
	if !e.SendsLoad {
		return Load{}
	}
	if !e.loadReport.Known || now-e.loadReportAt >= e.ReportEvery {
		noisy := func(x int) float64 {
			return math.Max(0, float64(x)*(1+e.ReportNoise*(2*e.rand.Float64()-1)))
		}
		e.loadReportAt = now
		e.loadReport = Load{noisy(len(e.running) + len(e.waiting)), noisy(len(e.waiting)), noisy(max(0, e.Slots-len(e.running))), true}
	}
	return e.loadReport
}
