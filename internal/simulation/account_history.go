package simulation

import (
	"cmp"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// unsetTime is the time of an event that has not happened.
const unsetTime = time.Duration(-1)

// jobHistory is the history of a work item: its requests and attempts.
type jobHistory struct {
	work          *emulator.Work
	firstNode     *simNode  // first node to which a request was submitted; nil if no node could be reached
	idleAtArrival idleCores // where a core was idle when the work item was submitted to firstNode
	requests      []*requestHistory
	attempts      []*attemptHistory
}

// requestHistory holds the times of the events of a request, and its end.
type requestHistory struct {
	submittedAt, arrivedAt, answeredAt, doneAt time.Duration
	end                                        emulator.End
}

func newRequestHistory(submitted time.Duration) *requestHistory {
	return &requestHistory{submittedAt: submitted, arrivedAt: unsetTime, answeredAt: unsetTime, doneAt: unsetTime}
}

// lostWithNode returns whether the request reached no node, or lost its connection to the node.
func (r *requestHistory) lostWithNode() bool {
	return r.end == emulator.EndLost || r.end == emulator.EndUnreached
}

// attemptHistory holds the times of the events of an attempt, and its outcome.
type attemptHistory struct {
	executor           *executor
	sentAt             time.Duration
	arrivedAt          time.Duration // time at which the attempt's last byte arrived at the executor
	startedAt, endedAt time.Duration // times at which the executor started and ended the attempt
	endedAtNode        time.Duration // time at which the node was notified of the attempt's end
	dialedAt, connUpAt time.Duration // times at which the connection was dialed and opened; unset unless this is the connection's first attempt
	outcome            policy.Outcome
	canceled           bool      // the node has canceled the attempt
	onSlowCore         bool      // the attempt ran on a core slower than slowCoreSpeed
	idleWhenSent       idleCores // where a core was idle when the attempt was sent
}

func newAttemptHistory(x *executor) *attemptHistory {
	return &attemptHistory{executor: x, sentAt: x.sim.now, arrivedAt: unsetTime, startedAt: unsetTime, endedAt: unsetTime, endedAtNode: unsetTime,
		dialedAt: unsetTime, connUpAt: unsetTime}
}

// firstAttemptSentAt returns the time at which the first attempt was sent; unsetTime if there is none.
func (h *jobHistory) firstAttemptSentAt() time.Duration {
	first := unsetTime
	for _, attempt := range h.attempts {
		if first == unsetTime || attempt.sentAt < first {
			first = attempt.sentAt
		}
	}
	return first
}

// cause returns why the work item lost value, and the time that it has spent on each cause until now. Callers ignore the
// first result if no value was lost.
func (h *jobHistory) cause(now time.Duration) (Cause, [causeCount]time.Duration) {
	times, firstSentAt, runTime := h.times(now), h.firstAttemptSentAt(), secondsOf(h.work.Cost)
	switch {
	case h.work.LeavesAt <= now:
		return ClientLeft, times
	case firstSentAt == unsetTime && slices.ContainsFunc(h.requests, (*requestHistory).lostWithNode):
		return NodeLost, times
	case firstSentAt == unsetTime:
		return NeverSent, times
	case firstSentAt > h.work.Objective-runTime:
		return SentTooLate, times
	}
	return longestCause(times, runTime), times
}

// longestCause returns the cause with the longest time. Of the running time, only the time beyond the run time on a
// standard core counts.
func longestCause(times [causeCount]time.Duration, runTime time.Duration) Cause {
	if ran := times[RunningSlow] + times[RunningFast]; ran > 0 {
		beyond := max(0, 1-float64(runTime)/float64(ran))
		times[RunningSlow] = time.Duration(float64(times[RunningSlow]) * beyond)
		times[RunningFast] = time.Duration(float64(times[RunningFast]) * beyond)
	}
	longest := QueuedAtNode
	for c := QueuedAtNode; c < causeCount; c++ {
		if times[c] > times[longest] {
			longest = c
		}
	}
	return longest
}

// precedence orders the causes that apply at the same time. Only the cause with the highest precedence counts. So, if
// several attempts are in flight, the attempt that has progressed most determines the cause.
type precedence int

const (
	atClient precedence = iota
	atFrontLayer
	atNode
	connectingOrFailed
	attemptInTransit
	attemptQueued
	attemptRunning
)

// timeSpan is a part of a work item's time, with its cause.
type timeSpan struct {
	from, to   time.Duration
	cause      Cause
	precedence precedence
}

// timeline collects the time spans of a work item up to an end.
type timeline struct {
	end   time.Duration
	spans []timeSpan
}

// add adds a time span. A span that has not ended lasts until the end of the timeline. A span that has not begun is not
// added.
func (t *timeline) add(from, to time.Duration, cause Cause, precedence precedence) {
	if to == unsetTime || to > t.end {
		to = t.end
	}
	if from != unsetTime && from < to {
		t.spans = append(t.spans, timeSpan{from, to, cause, precedence})
	}
}

// times returns the time that a work item has spent on each cause until end.
func (h *jobHistory) times(end time.Duration) [causeCount]time.Duration {
	line := &timeline{end: end}
	line.add(h.work.ArrivedAt, end, BetweenRequests, atClient)
	for _, request := range h.requests {
		line.addRequest(request)
	}
	for _, attempt := range h.attempts {
		line.addAttempt(attempt)
	}
	return line.total()
}

func (t *timeline) addRequest(request *requestHistory) {
	if request.lostWithNode() {
		t.add(request.submittedAt, request.doneAt, NodeLost, atFrontLayer)
		return
	}
	t.add(request.submittedAt, request.doneAt, InTransit, atFrontLayer)
	leftNode := cmp.Or(max(request.answeredAt, 0), max(request.doneAt, 0), t.end)
	t.add(request.arrivedAt, leftNode, QueuedAtNode, atNode)
}

func (t *timeline) addAttempt(attempt *attemptHistory) {
	t.add(attempt.dialedAt, attempt.connUpAt, Connecting, connectingOrFailed)
	until := attempt.endedAtNode
	if until == unsetTime {
		until = t.end
	}
	switch attempt.outcome {
	case policy.ExecutorFull, policy.RejectedUnproven:
		t.add(attempt.sentAt, until, RejectedByExecutor, connectingOrFailed)
		return
	case policy.ExecutorError, policy.InvalidRequest, policy.ConnectFailed, policy.ConnectionLost:
		t.add(attempt.sentAt, until, Failed, connectingOrFailed)
		return
	}
	t.add(attempt.sentAt, until, InTransit, attemptInTransit)
	if attempt.arrivedAt == unsetTime || attempt.arrivedAt >= until {
		return
	}
	began, ended := attempt.startedAt, attempt.endedAt
	if ended == unsetTime {
		ended = until
	}
	if began == unsetTime {
		began = ended
	}
	t.add(attempt.arrivedAt, min(began, until), InQueue, attemptQueued)
	running := RunningFast
	if attempt.onSlowCore {
		running = RunningSlow
	}
	t.add(began, min(ended, until), running, attemptRunning)
}

// total returns the time of each cause. At any time, only the span with the highest precedence counts.
func (t *timeline) total() (times [causeCount]time.Duration) {
	var edges []time.Duration
	for _, span := range t.spans {
		edges = append(edges, span.from, span.to)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	for i := 1; i < len(edges); i++ {
		if span := t.highest(edges[i-1], edges[i]); span != nil {
			times[span.cause] += edges[i] - edges[i-1]
		}
	}
	return times
}

// highest returns the span with the highest precedence among the spans that cover the whole interval between two times.
// Among spans with equal precedence it returns the first. It returns nil if no span covers the interval.
func (t *timeline) highest(from, to time.Duration) (highest *timeSpan) {
	for i := range t.spans {
		span := &t.spans[i]
		if span.from <= from && to <= span.to && (highest == nil || span.precedence > highest.precedence) {
			highest = span
		}
	}
	return highest
}
