package eventlog

import "time"

const (
	// linesPerInterval is how many lines with the same message are written in an interval.
	linesPerInterval = 5
	// limitInterval is the interval in which lines with the same message are counted.
	limitInterval = time.Second
)

// limiter bounds how many lines with the same message are written, so that a fault that concerns many jobs does not fill the log.
type limiter struct {
	byMessage map[string]*messageCount
}

// messageCount counts the lines with one message.
type messageCount struct {
	since    time.Time // start of the interval
	written  int       // lines written in the interval
	leftOut  int       // lines left out since the last one was written
	lifetime int       // lines in total, written or not
}

// allow counts a line, and reports whether it may be written. leftOut is the number of lines with this message that were left out
// before it, and total the number of lines with this message so far.
func (l *limiter) allow(message string, now time.Time) (allowed bool, leftOut, total int) {
	count := l.byMessage[message]
	if count == nil {
		count = &messageCount{since: now}
		l.byMessage[message] = count
	}
	count.lifetime++
	if now.Sub(count.since) >= limitInterval {
		count.since, count.written = now, 0
	}
	if count.written >= linesPerInterval {
		count.leftOut++
		return false, 0, count.lifetime
	}
	count.written++
	leftOut, count.leftOut = count.leftOut, 0
	return true, leftOut, count.lifetime
}
