package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// recorder implements effects. It records the effects of a machine, and has a clock that the test sets.
type recorder struct {
	clock   time.Time
	actions []string
	sent    []*request
	ended   bool // whether report fails, as after the end of the watch
}

func (r *recorder) now() time.Time { return r.clock }

func (r *recorder) send(sent *request) {
	r.sent = append(r.sent, sent)
	content := fmt.Sprintf("changes since %d", sent.version)
	if sent.complete {
		content = "the complete list"
	}
	r.actions = append(r.actions, fmt.Sprintf("send %d: %s, long poll %v, hedge delay %v, timeout %v", len(r.sent), content, sent.longPoll,
		sent.hedgeDelay, sent.timeout))
}

func (r *recorder) cancel(canceled *request) {
	for i, sent := range r.sent {
		if sent == canceled {
			r.actions = append(r.actions, fmt.Sprintf("cancel %d", i+1))
		}
	}
}

func (r *recorder) setTimer(d time.Duration) {
	r.actions = append(r.actions, "timer "+d.Round(time.Millisecond).String())
}

func (r *recorder) report(u update, err error) error {
	if r.ended {
		return context.Canceled
	}
	if err != nil {
		r.actions = append(r.actions, "report error: "+err.Error())
	} else {
		r.actions = append(r.actions, fmt.Sprintf("report version %d, complete %v, %d endpoints", u.version, u.complete, len(u.endpoints)))
	}
	return nil
}

// take returns the actions since the last call.
func (r *recorder) take() []string {
	actions := r.actions
	r.actions = nil
	return actions
}

// machineFrom creates a machine and its recorder, whose clock shows one second after the start of the watch.
func machineFrom(timing Timing, cached CachedList) (*machine, *recorder) {
	r := &recorder{clock: time.UnixMilli(1_700_000_000_000)}
	m := newMachine(timing, cached, rand.New(rand.NewPCG(1, 1)), r)
	r.clock = r.clock.Add(time.Second)
	return m, r
}

// watchingMachine creates a machine that has received version 41 and waits for the next poll.
func watchingMachine(t *testing.T, timing Timing) (*machine, *recorder) {
	t.Helper()
	m, r := machineFrom(timing, CachedList{})
	m.start()
	must(t, m.onResponse(r.sent[0], update{version: 41, complete: true}))
	r.take()
	return m, r
}

// must ends the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// expect checks the machine's state, and its actions since the last check.
func expect(t *testing.T, r *recorder, m *machine, want state, actions ...string) {
	t.Helper()
	if got := r.take(); !reflect.DeepEqual(got, actions) {
		t.Errorf("actions:\n  %s\nwant:\n  %s", strings.Join(got, "\n  "), strings.Join(actions, "\n  "))
	}
	if m.state() != want {
		t.Errorf("state %d, want %d", m.state(), want)
	}
}

var (
	pushedTiming = NewTiming(time.Second, true)
	sharedTiming = NewTiming(time.Second, false)
	errReset     = errors.New("connection reset")
)

func TestStartFetchesCompleteList(t *testing.T) {
	m, r := machineFrom(pushedTiming, CachedList{version: 41, complete: true})
	m.start()
	expect(t, r, m, awaitingResponse, "send 1: the complete list, long poll 0s, hedge delay 250ms, timeout 2s", "timer 250ms")
}

func TestStartResumesFromCachedVersionOfSharedService(t *testing.T) {
	m, r := machineFrom(sharedTiming, CachedList{version: 41, complete: true})
	m.start()
	expect(t, r, m, awaitingResponse, "send 1: changes since 41, long poll 20ms, hedge delay 500ms, timeout 2.02s", "timer 520ms")
}

func TestFirstChangesApplyToCachedList(t *testing.T) {
	cached := CachedList{version: 41, complete: true, Endpoints: []node.Endpoint{
		{Endpoint: policy.Endpoint{Executor: "a"}}, {Endpoint: policy.Endpoint{Executor: "b"}}}}
	m, r := machineFrom(sharedTiming, cached)
	m.start()
	r.take()
	removed := update{version: 42, endpoints: []node.Endpoint{{Endpoint: policy.Endpoint{Executor: "a", State: policy.Removed}}}}
	must(t, m.onResponse(r.sent[0], removed))
	expect(t, r, m, backingOff, "report version 42, complete true, 1 endpoints", "timer 20ms")
	must(t, m.onTimer())
	r.take()
	must(t, m.onResponse(r.sent[1], removed))
	expect(t, r, m, backingOff, "report version 42, complete false, 1 endpoints", "timer 20ms")
}

func TestResponseStartsLongPoll(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	expect(t, r, m, awaitingResponse, "send 2: changes since 41, long poll 2s, hedge delay 250ms, timeout 4s", "timer 2.25s")
}

func TestResponseAfterLongPollIsFollowedAtOnce(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.take()
	r.clock = r.clock.Add(2 * time.Second)
	must(t, m.onResponse(r.sent[1], update{version: 41}))
	expect(t, r, m, awaitingResponse, "report version 41, complete false, 0 endpoints",
		"send 3: changes since 41, long poll 2s, hedge delay 250ms, timeout 4s", "timer 2.25s")
}

func TestSlowResponseShortensLongPoll(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.clock = r.clock.Add(3 * time.Second) // 1s beyond its long poll
	r.take()
	must(t, m.onResponse(r.sent[1], update{version: 42}))
	expect(t, r, m, awaitingResponse, "report version 42, complete false, 0 endpoints",
		"send 3: changes since 42, long poll 1s, hedge delay 1.25s, timeout 3s", "timer 2.25s")
}

func TestWakeEndsBackoff(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	m.onWake()
	expect(t, r, m, awaitingResponse, "send 2: changes since 41, long poll 2s, hedge delay 250ms, timeout 4s", "timer 2.25s")
	m.onWake() // a request is in flight
	expect(t, r, m, awaitingResponse)
}

func TestFailureBacksOffAndProbes(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.take()
	must(t, m.onFailure(r.sent[1], errReset))
	expect(t, r, m, backingOff, "report error: connection reset", "timer 34ms")
	must(t, m.onTimer())
	expect(t, r, m, awaitingResponse, "send 3: changes since 41, long poll 20ms, hedge delay 250ms, timeout 2.02s", "timer 270ms")
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	for _, want := range []time.Duration{50, 100, 200, 250, 250} {
		must(t, m.onTimer())
		if want *= time.Millisecond; m.backoff != want {
			t.Errorf("backoff %v, want %v", m.backoff, want)
		}
		must(t, m.onFailure(r.sent[len(r.sent)-1], errReset))
	}
	must(t, m.onTimer())
	must(t, m.onResponse(r.sent[len(r.sent)-1], update{version: 42}))
	if m.backoff != pushedTiming.BaseBackoff {
		t.Errorf("backoff %v after a response", m.backoff)
	}
}

func TestJitterIsBetweenHalfAndAll(t *testing.T) {
	m, _ := machineFrom(pushedTiming, CachedList{})
	for range 1000 {
		if got := m.jitter(time.Second); got < 500*time.Millisecond || got > time.Second {
			t.Fatal(got)
		}
	}
}

func TestHedgeDelayKeepsRequestInFlight(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.take()
	r.clock = r.clock.Add(2250 * time.Millisecond)
	must(t, m.onTimer())
	expect(t, r, m, backingOff, "report error: no answer within 2.25s", "timer 34ms")
	must(t, m.onTimer())
	r.take()
	must(t, m.onResponse(r.sent[1], update{version: 42})) // the hedged request is answered first
	expect(t, r, m, awaitingResponse, "cancel 3", "report version 42, complete false, 0 endpoints",
		"send 4: changes since 42, long poll 1.9375s, hedge delay 312.5ms, timeout 3.9375s", "timer 2.25s")
}

func TestHedgedRequestsAreSpaced(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	must(t, m.onTimer()) // the first one is hedged
	must(t, m.onTimer())
	r.take()
	r.clock = r.clock.Add(270 * time.Millisecond)
	must(t, m.onTimer()) // the second one was started at the same time, so it is canceled
	expect(t, r, m, backingOff, "cancel 3", "report error: no answer within 270ms", "timer 95ms")
}

func TestMalformedResponseRefetches(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.take()
	must(t, m.onFailure(r.sent[1], malformedf("malformed")))
	expect(t, r, m, backingOff, "report error: malformed", "timer 34ms")
	must(t, m.onTimer())
	expect(t, r, m, awaitingResponse, "send 3: the complete list, long poll 0s, hedge delay 250ms, timeout 2s", "timer 250ms")
}

func TestMalformedHedgedResponseRefetchesAtOnce(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	must(t, m.onTimer()) // the first one is hedged
	must(t, m.onTimer())
	r.take()
	must(t, m.onFailure(r.sent[1], malformedf("malformed")))
	expect(t, r, m, awaitingResponse, "cancel 3", "send 4: the complete list, long poll 0s, hedge delay 250ms, timeout 2s", "timer 250ms")
}

func TestFailureOfHedgedRequestIsIgnored(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	must(t, m.onTimer()) // the first one is hedged
	must(t, m.onTimer())
	r.take()
	must(t, m.onFailure(r.sent[1], errReset))
	expect(t, r, m, awaitingResponse)
}

func TestResultOfAbandonedRequestIsIgnored(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	m.abandon(m.current)
	r.take()
	must(t, m.onResponse(r.sent[1], update{version: 42}))
	must(t, m.onFailure(r.sent[1], errReset))
	expect(t, r, m, awaitingResponse)
}

func TestRejectionsThrottleRequestsToSharedService(t *testing.T) {
	m, r := watchingMachine(t, sharedTiming)
	rejected := &rejectedError{"503 Service Unavailable"}
	must(t, m.onTimer())
	must(t, m.onFailure(r.sent[1], rejected))
	if m.mayWake() {
		t.Error("the backoff after a rejection can be cut short")
	}
	if m.mode() != probing {
		t.Errorf("mode %d after one rejection", m.mode())
	}
	must(t, m.onTimer())
	must(t, m.onFailure(r.sent[2], rejected))
	r.take()
	must(t, m.onTimer())
	expect(t, r, m, awaitingResponse, "send 4: changes since 41, long poll 0s, hedge delay 2.5s, timeout 6s", "timer 2.5s")
	for i, want := range []time.Duration{800, 1600, 2000, 2000} {
		if got := m.pauseAfter(m.current); got != want*time.Millisecond {
			t.Errorf("backoff after %d rejections: %v, want %v", i+2, got, want*time.Millisecond)
		}
		m.rejections++
	}
}

func TestRejectionByPushingAgentIsAFailure(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	must(t, m.onFailure(r.sent[1], &rejectedError{"503 Service Unavailable"}))
	if !m.versionKnown || m.rejections != 0 || !m.mayWake() {
		t.Errorf("version known %v, %d rejections, may wake %v", m.versionKnown, m.rejections, m.mayWake())
	}
}

func TestInitialListOverdue(t *testing.T) {
	m, r := machineFrom(sharedTiming, CachedList{})
	m.start()
	if got := m.pauseAfter(m.current); got != sharedTiming.BaseBackoff {
		t.Errorf("backoff %v before the initial list is overdue", got)
	}
	r.clock = r.clock.Add(sharedTiming.InitialDeadline)
	if got := m.pauseAfter(m.current); got != sharedTiming.OverdueBackoff {
		t.Errorf("backoff %v once the initial list is overdue", got)
	}
	if got := m.nextRequest().timeout; got != sharedTiming.OverdueRequestTimeout {
		t.Errorf("request timeout %v once the initial list is overdue", got)
	}
}

func TestNoTransitionAfterTheWatchEnded(t *testing.T) {
	m, r := watchingMachine(t, pushedTiming)
	must(t, m.onTimer())
	r.take()
	r.ended = true
	if err := m.onFailure(r.sent[1], errReset); !errors.Is(err, context.Canceled) {
		t.Errorf("%v after the watch has ended", err)
	}
	expect(t, r, m, backingOff)
}
