package simulation

import (
	"cmp"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// jobHistory is where a batch job has been.
type jobHistory struct {
	work          *emulator.Work
	firstNode     *simNode
	requests      []*requestHistory
	idleAtArrival idleCores
	attempts      []*attemptHistory
}

// notSeen is when what did not happen did.
const notSeen = time.Duration(-1)

// requestHistory is a try at a node.
type requestHistory struct {
	from, arrived, answered, done time.Duration
	end                           emulator.End
}

// attemptHistory is one sending to an executor.
type attemptHistory struct {
	executor                                 *executor
	sent, reached, began, ended, endedAtNode time.Duration
	outcome                                  policy.Outcome
	slow                                     bool
	dialedAt, connUpAt                       time.Duration // its connection, where it is the first one on it
	canceled                                 bool          // by its node, which has closed its connection

	idle idleCores
}

// cause says what a batch job lost to, had it lost anything, and where its time went.
func (h *jobHistory) cause(w *World) (Cause, [causes]time.Duration) {
	work, times := h.work, h.times(w.now)
	first := notSeen
	for _, a := range h.attempts {
		if first == notSeen || a.sent < first {
			first = a.sent
		}
	}
	own := time.Duration(work.Cost * 1e9)
	lost := slices.ContainsFunc(h.requests, func(v *requestHistory) bool { return v.end == emulator.EndLost || v.end == emulator.EndUnreached })
	switch {
	case work.Leaves <= w.now:
		return ClientLeft, times
	case first == notSeen && lost:
		return NodeLost, times
	case first == notSeen:
		return NeverSent, times
	case first > work.Quoted-own:
		return SentTooLate, times
	}
	beyond := times
	if ran := times[RunningSlow] + times[RunningFast]; ran > 0 {
		part := max(0, 1-float64(own)/float64(ran))
		beyond[RunningSlow], beyond[RunningFast] = scaled(times[RunningSlow], part), scaled(times[RunningFast], part)
	}
	longest := HeldAtNode
	for c := HeldAtNode; c < causes; c++ {
		if beyond[c] > beyond[longest] {
			longest = c
		}
	}
	return longest, times
}

func scaled(t time.Duration, part float64) time.Duration { return time.Duration(float64(t) * part) }

// timeSpan is a stretch of a batch job's time.
type timeSpan struct {
	from, to   time.Duration
	cause      Cause
	precedence int // of those at one time, the highest counts
}

// times says where a batch job's time went, up to an instant. Where several attempts are out, the one that is furthest counts.
func (h *jobHistory) times(end time.Duration) (times [causes]time.Duration) {
	var spans []timeSpan
	put := func(from, to time.Duration, cause Cause, rank int) {
		if to == notSeen || to > end {
			to = end
		}
		if from != notSeen && from < to {
			spans = append(spans, timeSpan{from, to, cause, rank})
		}
	}
	put(h.work.Came, end, BetweenTries, 0)
	for _, v := range h.requests {
		if v.end == emulator.EndLost || v.end == emulator.EndUnreached {
			put(v.from, v.done, NodeLost, 1)
			continue
		}
		put(v.from, v.done, OnTheWay, 1)
		put(v.arrived, cmp.Or(max(v.answered, 0), max(v.done, 0), end), HeldAtNode, 2)
	}
	for _, a := range h.attempts {
		put(a.dialedAt, a.connUpAt, Connecting, 3)
		until := a.endedAtNode
		if until == notSeen {
			until = end
		}
		switch a.outcome {
		case policy.ExecutorFull:
			put(a.sent, until, TurnedAway, 3)
			continue
		case policy.ExecutorError, policy.InvalidRequest, policy.ConnectFailed, policy.ConnectionLost:
			put(a.sent, until, Failed, 3)
			continue
		}
		put(a.sent, until, OnTheWay, 4)
		if a.reached == notSeen || a.reached >= until {
			continue
		}
		began, ended := a.began, a.ended
		if ended == notSeen {
			ended = until
		}
		if began == notSeen {
			began = ended
		}
		put(a.reached, min(began, until), InQueue, 5)
		running := RunningFast
		if a.slow {
			running = RunningSlow
		}
		put(began, min(ended, until), running, 6)
	}
	var edges []time.Duration
	for _, s := range spans {
		edges = append(edges, s.from, s.to)
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	for i := 1; i < len(edges); i++ {
		best := timeSpan{precedence: -1}
		for _, s := range spans {
			if s.from <= edges[i-1] && edges[i] <= s.to && s.precedence > best.precedence {
				best = s
			}
		}
		if best.precedence >= 0 {
			times[best.cause] += edges[i] - edges[i-1]
		}
	}
	return times
}
