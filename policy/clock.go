package policy

import (
	"math"
	"time"
)

// Forever stands for a time that is never reached.
const Forever time.Duration = math.MaxInt64

// clock records the times of the dispatcher's turns. A turn consists of all calls with the same time. The clock detects
// stalls of the node, so that events that waited during a stall aren't taken for events of this moment.
type clock struct {
	now        time.Duration // time of this turn
	wakeAt     time.Duration // time at which the previous turn asked to be called again
	turnGap    time.Duration // time between the previous turn and this one
	stalledFor time.Duration // time by which this turn came after wakeAt because the node stalled; 0: no stall
	shutdownBy time.Duration // time by which all jobs must have their answers; 0 unless the node shuts down
}

// beginTurn records the time of a call. A delay of less than minStall doesn't count as a stall.
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

// scaled returns a duration multiplied by a factor.
func scaled(t time.Duration, factor float64) time.Duration { return time.Duration(float64(t) * factor) }
