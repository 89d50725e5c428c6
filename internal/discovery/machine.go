package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// overloadRejections is the number of rejections in a row after which the service counts as overloaded. A single
// rejection can be a corrupted response.
const overloadRejections = 2

// request is a request to discovery.
type request struct {
	complete   bool          // whether the complete list is requested
	version    int64         // version since which changes are requested; unused if complete is true
	longPoll   time.Duration // maximum time that discovery waits for a change before it responds
	hedgeDelay time.Duration // time beyond longPoll after which the request counts as failed if it is unanswered
	timeout    time.Duration // time from its start after which the request is canceled; includes longPoll
	startedAt  time.Time

	cancel context.CancelFunc // cancels the request; set by the poller
}

// state is what a watch currently waits for.
type state int

const (
	backingOff       state = iota // waits for the timer, to send the next request then; hedged requests can be in flight
	awaitingResponse              // waits for the response to the current request, or the end of its hedge delay
)

// mode determines the kind of the next request.
type mode int

const (
	fetching   mode = iota // no version is known: request the complete list
	probing                // the last request failed: check whether discovery is back
	watching               // the last request was answered: request changes with a long poll
	throttling             // discovery rejects requests: request no long poll, and allow a longer timeout, to reduce its load
)

// effects holds the side effects that the transitions of a machine call for.
type effects interface {
	now() time.Time
	// send sends a request. Its result is passed to onResponse or onFailure.
	send(*request)
	// cancel cancels a request in flight.
	cancel(*request)
	// setTimer arranges one call of onTimer after the given time, in place of a call arranged earlier.
	setTimer(time.Duration)
	// report delivers an update, or an error if the request failed. It returns after Run has handled the report, or
	// fails if the watch has ended.
	report(update, error) error
}

// machine is the state machine of a watch on one address. The methods onWake, onTimer, onResponse and onFailure are its
// transitions. A transition that reports an update or an error fails if the watch has ended. A machine is not safe for
// concurrent use.
type machine struct {
	timing  Timing
	rand    *rand.Rand
	effects effects

	cached    CachedList // the list that the watch started with
	startedAt time.Time

	version      int64
	versionKnown bool
	responded    bool          // whether this watch has received the complete list or changes
	failing      bool          // whether the last request failed; true at the start of a watch that resumes from a cached list
	rejections   int           // number of rejections in a row by a shared service
	backoff      time.Duration // pause after the next failure, before jitter
	responseTime time.Duration // time beyond its long poll that the last late response took

	current      *request   // the latest request; nil while backing off
	inFlight     []*request // the current request, and earlier ones that stayed in flight after their hedge delays
	lastHedgedAt time.Time  // start time of the last request that stayed in flight after its hedge delay
}

// newMachine creates the state machine of a watch. Where nodes poll a shared service and the cached list is complete,
// the watch resumes from the version of the cached list. Fetching the complete list again would add to the load of the
// service, and would count as a late delivery.
func newMachine(timing Timing, cached CachedList, random *rand.Rand, effects effects) *machine {
	resume := cached.complete && timing.SharedService
	return &machine{
		timing:       timing,
		rand:         random,
		effects:      effects,
		cached:       cached,
		startedAt:    effects.now(),
		version:      cached.version,
		versionKnown: resume,
		failing:      resume,
		backoff:      timing.BaseBackoff,
	}
}

func (m *machine) state() state {
	if m.current == nil {
		return backingOff
	}
	return awaitingResponse
}

func (m *machine) mode() mode {
	switch {
	case m.overloaded():
		return throttling
	case !m.versionKnown:
		return fetching
	case m.failing:
		return probing
	default:
		return watching
	}
}

// overloaded reports whether discovery rejects requests repeatedly.
func (m *machine) overloaded() bool { return m.rejections >= overloadRejections }

// overdue reports whether the watch has run long enough for the initial list of a shared service to be overdue.
func (m *machine) overdue() bool {
	return m.timing.SharedService && m.effects.now().Sub(m.startedAt) >= m.timing.InitialDeadline
}

// start sends the first request.
func (m *machine) start() { m.sendNext() }

// mayWake reports whether onWake has an effect now. onWake ends a backoff early, unless the last request was rejected:
// the backoff after a rejection protects an overloaded service. onWake has no effect while the watch waits for a
// response.
func (m *machine) mayWake() bool { return m.state() == backingOff && m.rejections == 0 }

// onWake ends a backoff early, if mayWake allows that.
func (m *machine) onWake() {
	if m.mayWake() {
		m.sendNext()
	}
}

// onTimer handles the end of a backoff, or of the current request's hedge delay.
func (m *machine) onTimer() error {
	if m.state() == backingOff {
		m.sendNext()
		return nil
	}
	return m.onHedgeDelay()
}

// onHedgeDelay counts the current request as failed, and so starts a backoff. The request itself stays in flight as a
// hedged request, unless it started less than MinHedgeInterval after the start of the last hedged request. In that case
// it is canceled.
func (m *machine) onHedgeDelay() error {
	unanswered := m.current
	if unanswered.startedAt.Sub(m.lastHedgedAt) >= m.timing.MinHedgeInterval {
		m.lastHedgedAt = unanswered.startedAt
	} else {
		m.abandon(unanswered)
	}
	return m.fail(unanswered, fmt.Errorf("no answer within %v", unanswered.longPoll+unanswered.hedgeDelay))
}

// onFailure handles the failure of a request. The failure of a hedged request is ignored, unless the request was for
// changes and the response was malformed (see malformedError). In that case the version is unusable, and later requests
// with that version would fail as well, so the complete list is fetched at once.
func (m *machine) onFailure(r *request, err error) error {
	if !m.remove(r) {
		return nil // the request was canceled earlier, by abandon or onResponse
	}
	malformed := isMalformed(err)
	if malformed {
		m.versionKnown = false
	}
	if r == m.current {
		return m.fail(r, err)
	}
	if malformed && !r.complete {
		m.refetch()
	}
	return nil
}

// refetch sends a request for the complete list, unless the current request already asks for it. A current request for
// changes is canceled.
func (m *machine) refetch() {
	if m.current != nil && !m.current.complete {
		m.abandon(m.current)
		m.current = nil
	}
	if m.current == nil {
		m.sendNext()
	}
}

// onResponse handles the response to a request, current or hedged, and cancels all other requests.
func (m *machine) onResponse(r *request, u update) error {
	if !m.remove(r) {
		return nil // the request was canceled earlier, by abandon or onResponse
	}
	for _, other := range m.inFlight {
		m.effects.cancel(other)
	}
	if took := m.effects.now().Sub(r.startedAt); took > r.longPoll {
		m.responseTime = took - r.longPoll
	}
	m.inFlight, m.current = nil, nil
	if !m.responded && !u.complete {
		u = m.cached.apply(u)
	}
	m.responded = true
	m.version, m.versionKnown = u.version, true
	m.failing, m.backoff, m.rejections = false, m.timing.BaseBackoff, 0
	if err := m.effects.report(u, nil); err != nil {
		return err
	}
	m.sendAfter(m.timing.MinPollInterval - m.effects.now().Sub(r.startedAt))
	return nil
}

// fail reports the failure of the current request and starts a backoff.
func (m *machine) fail(r *request, err error) error {
	m.failing, m.current = true, nil
	if err := m.effects.report(update{}, err); err != nil {
		return err
	}
	if m.timing.SharedService && isRejected(err) {
		m.rejections++
	} else {
		m.rejections = 0
	}
	m.sendAfter(m.jitter(m.pauseAfter(r)))
	m.backoff = min(2*m.backoff, m.timing.MaxBackoff)
	return nil
}

// pauseAfter returns the backoff after a failed request, before jitter.
func (m *machine) pauseAfter(r *request) time.Duration {
	switch {
	case m.rejections > 0:
		const maxDoublings = 8 // keeps the shift from overflowing; 8 doublings are far above MaxRejectedBackoff
		return min(m.timing.InitialInterval<<min(m.rejections-1, maxDoublings), m.timing.MaxRejectedBackoff)
	case m.versionKnown:
		return m.backoff
	case m.overdue():
		return m.timing.OverdueBackoff
	default:
		return max(0, min(m.backoff, m.timing.InitialInterval-m.effects.now().Sub(r.startedAt)))
	}
}

// jitter returns a random duration between half the pause and the whole pause.
func (m *machine) jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(m.rand.Float64()*float64(pause-pause/2))
}

// sendAfter sends the next request after a pause.
func (m *machine) sendAfter(pause time.Duration) {
	if pause <= 0 {
		m.sendNext()
		return
	}
	m.effects.setTimer(pause)
}

// sendNext sends the next request.
func (m *machine) sendNext() {
	r := m.nextRequest()
	m.current = r
	m.inFlight = append(m.inFlight, r)
	m.effects.send(r)
	m.effects.setTimer(r.longPoll + r.hedgeDelay)
}

// nextRequest creates the request that the mode calls for. While discovery does not respond, the long poll is short.
// Otherwise a request that stays unanswered would delay the first update after discovery is back for too long.
func (m *machine) nextRequest() *request {
	r := &request{complete: !m.versionKnown, version: m.version, startedAt: m.effects.now()}
	switch m.mode() {
	case throttling:
		r.hedgeDelay = m.timing.RequestTimeout + m.timing.HedgeDelay
	case fetching:
		r.hedgeDelay = m.timing.InitialHedgeDelay
	case probing:
		r.longPoll, r.hedgeDelay = min(m.timing.LongPoll, m.timing.ProbeLongPoll), m.timing.HedgeDelay
	case watching:
		r.longPoll, r.hedgeDelay = m.watchTimes()
	}
	r.timeout = r.longPoll + max(r.hedgeDelay, m.requestTimeout())
	return r
}

// watchTimes returns the long poll and hedge delay of a request in watching mode. After a slow response, the
// hedge delay is longer, and the long poll is shorter by the same time. Their sum is unchanged, so that an unresponsive
// connection is noticed as early as before.
func (m *machine) watchTimes() (longPoll, hedgeDelay time.Duration) {
	sum := m.timing.LongPoll + m.timing.HedgeDelay
	minLongPoll := min(m.timing.LongPoll, m.timing.ProbeLongPoll)
	hedgeDelay = max(m.timing.HedgeDelay, min(m.responseTime*5/4, sum-minLongPoll))
	return sum - hedgeDelay, hedgeDelay
}

// requestTimeout returns the time beyond its long poll after which the next request is canceled.
func (m *machine) requestTimeout() time.Duration {
	if m.overloaded() || !m.versionKnown && m.overdue() {
		return m.timing.OverdueRequestTimeout
	}
	return m.timing.RequestTimeout
}

// abandon cancels a request. The result of the request is then ignored.
func (m *machine) abandon(r *request) {
	m.effects.cancel(r)
	m.remove(r)
}

// remove removes a request from those in flight. It returns false if the request was not among them.
func (m *machine) remove(r *request) bool {
	i := slices.Index(m.inFlight, r)
	if i < 0 {
		return false
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	return true
}
