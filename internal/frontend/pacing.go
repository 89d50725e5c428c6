package frontend

import (
	"time"

	"golang.org/x/time/rate"
)

// A client that gets its answers without an attempt, because its requests are invalid or its jobs are rejected, can send requests as
// fast as the node answers them. Each connection, and all together, are therefore limited to some such answers a second. A request
// beyond that waits before it is handled, and the bytes behind it wait in the kernel.
const (
	connAnswersPerSecond = 500
	connAnswersBurst     = 100
	// Answers of the server itself, on all connections, and rejections and failures of jobs. Under overload clients that do nothing wrong
	// get many of the latter, but not as many.
	sharedAnswersPerSecond = 4000
	sharedAnswersBurst     = 500
	// maxPause bounds how long a request waits. A job that waits behind invalid requests must still state a budget that its client has.
	maxPause = 100 * time.Millisecond
	// maxJobPause bounds how long a request waits because jobs of all connections are rejected.
	maxJobPause = 20 * time.Millisecond
)

// sharedPace limits cheap answers of one kind on all connections.
type sharedPace struct {
	limiter  *rate.Limiter
	maxPause time.Duration
}

func newSharedPace(maxPause time.Duration) sharedPace {
	return sharedPace{rate.NewLimiter(sharedAnswersPerSecond, sharedAnswersBurst), maxPause}
}

// countCheapAnswer counts an answer that needed no attempt. The connection's next request waits if there were too many, on the
// connection or of this kind on all connections.
func (c *clientConn) countCheapAnswer(shared sharedPace) {
	if c.cheapAnswers == nil {
		c.cheapAnswers = rate.NewLimiter(connAnswersPerSecond, connAnswersBurst)
	}
	now := time.Now()
	pause := max(pauseAfter(c.cheapAnswers, maxPause, now), pauseAfter(shared.limiter, shared.maxPause, now))
	c.pausedUntil = now.Add(pause)
}

// pauseAfter counts an answer and returns how long the next request waits for it, at most maxPause. An answer that would have to wait
// longer is not counted, so that a flood has no effect later than maxPause after its end.
func pauseAfter(limiter *rate.Limiter, maxPause time.Duration, now time.Time) time.Duration {
	reservation := limiter.ReserveN(now, 1)
	pause := reservation.DelayFrom(now)
	if pause > maxPause {
		reservation.CancelAt(now)
		return maxPause
	}
	return pause
}

// awaitPause waits until the connection's next request may be handled.
func (c *clientConn) awaitPause() {
	if !c.pausedUntil.IsZero() {
		time.Sleep(time.Until(c.pausedUntil))
		c.pausedUntil = time.Time{}
	}
}
