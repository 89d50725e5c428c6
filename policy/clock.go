package policy

import (
	"math"
	"time"
)

// Forever is a time that is never reached.
const Forever time.Duration = math.MaxInt64

// clock records the times at which the dispatcher is called. Consecutive calls with the same time are one turn. The
// clock also detects that the node has stalled. Events of the turn after a stall can be older than the turn's time
// suggests.
type clock struct {
	now        time.Duration // time of this turn
	wakeAt     time.Duration // time at which the dispatcher has asked to be called again
	turnGap    time.Duration // time between the previous turn and this one
	stalledFor time.Duration // duration of the node's stall before this turn; 0: the node did not stall
	shutdownBy time.Duration // time by which all jobs must have their answers; 0: the node is not shutting down
}

// beginTurn begins a new turn if the time has changed since the previous call. The node has stalled if the turn begins
// later than wakeAt by at least minStall.
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
