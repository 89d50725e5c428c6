package policy

import (
	"math"
	"time"
)

// Forever is longer than any span of time.
const Forever time.Duration = math.MaxInt64

// clock is what the dispatcher knows of its own turns. A turn is all calls with the same time. A node that stalled must not
// take late reports for fresh ones.
type clock struct {
	now        time.Duration // the start of this turn
	wakeAt     time.Duration // when this turn was wanted
	turnGap    time.Duration // from the turn before until this one
	stalledFor time.Duration // the part of turnGap in which something was due and the node stalled
	shutdownBy time.Duration // when all jobs must have their answer, once the node shuts down; 0 before
}

// beginTurn records the time of a call. A stall shorter than minStall counts as none.
func (c *clock) beginTurn(now, minStall time.Duration) {
	if now == c.now {
		return
	}
	c.turnGap = now - c.now
	c.stalledFor = now - c.wakeAt
	if c.stalledFor < minStall {
		c.stalledFor = 0
	}
	c.now = now
	c.wakeAt = now
}

// scaled returns a duration times a factor.
func scaled(t time.Duration, factor float64) time.Duration { return time.Duration(float64(t) * factor) }
