package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// busyRejections is how many rejections in a row make a service count as busy. A single one may be a spoilt response.
const busyRejections = 2

// request is a request to discovery.
type request struct {
	complete   bool          // it asks for the complete list
	version    int64         // otherwise for the changes since this version
	longPoll   time.Duration // how long discovery may wait for a change
	hedgeDelay time.Duration // beyond longPoll: if it is unanswered then, the next request is sent
	timeout    time.Duration // it is canceled then
	startedAt  time.Time

	cancel context.CancelFunc // set by the poller
}

// state says what a watch waits for.
type state int

const (
	backingOff       state = iota // for the timer that sends the next request; hedged ones may be in flight
	awaitingResponse              // for the response of the current request, or its hedge delay
)

// mode says what kind of request comes next.
type mode int

const (
	fetching mode = iota // no version is known: the complete list
	probing              // the last request failed: is discovery back?
	watching             // the last request was answered: a long poll
	sparing              // discovery rejects requests
)

// effects is what the transitions of a machine do outside it.
type effects interface {
	now() time.Time
	// send sends a request; its result comes back by onResponse or onFailure.
	send(*request)
	// cancel abandons a request.
	cancel(*request)
	// setTimer calls for onTimer after a time, in place of an earlier call.
	setTimer(time.Duration)
	// report hands over an update or an error, and returns once it was dealt with. It fails once the watch has ended.
	report(update, error) error
}

// machine is the state of a watch on one address. Its on... methods are the transitions; those that report return an error once the
// watch has ended. It is not safe for concurrent use.
type machine struct {
	timing  Timing
	rand    *rand.Rand
	effects effects

	cached    CachedList // the list that the watch started with
	startedAt time.Time

	version      int64
	versionKnown bool
	responded    bool          // a response has brought a list
	failing      bool          // the last request failed, or nothing is known of discovery yet
	rejections   int           // by a shared service, in a row
	backoff      time.Duration // after the next failure
	responseTime time.Duration // of the last slow response, beyond its long poll

	current      *request   // nil while backing off
	inFlight     []*request // the current one and those that it hedges
	lastHedgedAt time.Time  // when the last request began that stayed in flight after its hedge delay
}

// newMachine makes the machine of a watch. A version of a complete cached list counts where nodes poll a shared service: fetching the
// complete list would load the service, and would count as delivered late.
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
	case m.busy():
		return sparing
	case !m.versionKnown:
		return fetching
	case m.failing:
		return probing
	default:
		return watching
	}
}

// busy says whether discovery rejects requests.
func (m *machine) busy() bool { return m.rejections >= busyRejections }

// overdue says whether the initial list is overdue at a service that all nodes share.
func (m *machine) overdue() bool {
	return m.timing.SharedService && m.effects.now().Sub(m.startedAt) >= m.timing.InitialDeadline
}

// start sends the first request.
func (m *machine) start() { m.sendNext() }

// mayWake says whether onWake has an effect now: it cuts a backoff short, but no request, and no backoff that spares a service.
func (m *machine) mayWake() bool { return m.state() == backingOff && m.rejections == 0 }

// onWake cuts a backoff short.
func (m *machine) onWake() {
	if m.mayWake() {
		m.sendNext()
	}
}

// onTimer ends a backoff, or the hedge delay of the current request.
func (m *machine) onTimer() error {
	if m.state() == backingOff {
		m.sendNext()
		return nil
	}
	return m.onHedgeDelay()
}

// onHedgeDelay takes the current request for failed. It stays in flight, unless another one that does began a short time before.
func (m *machine) onHedgeDelay() error {
	unanswered := m.current
	if unanswered.startedAt.Sub(m.lastHedgedAt) >= m.timing.MinHedgeInterval {
		m.lastHedgedAt = unanswered.startedAt
	} else {
		m.abandon(unanswered)
	}
	return m.fail(unanswered, fmt.Errorf("no answer within %v", unanswered.longPoll+unanswered.hedgeDelay))
}

// onFailure takes the failure of a request. That of a hedged one counts only if it shows that the version is useless: then the
// complete list is fetched at once, as requests that were sent since with that version would fail too.
func (m *machine) onFailure(r *request, err error) error {
	if !m.remove(r) {
		return nil // it was abandoned
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

// refetch sends a request for the complete list, unless one is current.
func (m *machine) refetch() {
	if m.current != nil && !m.current.complete {
		m.abandon(m.current)
		m.current = nil
	}
	if m.current == nil {
		m.sendNext()
	}
}

// onResponse takes the response of a request, current or hedged. It cancels all others.
func (m *machine) onResponse(r *request, u update) error {
	if !m.remove(r) {
		return nil // it was abandoned
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

// fail reports that the current request failed, and backs off.
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

// pauseAfter is the backoff after a failed request, before jitter.
func (m *machine) pauseAfter(r *request) time.Duration {
	switch {
	case m.rejections > 0:
		const maxDoublings = 8 // far over MaxRejectedBackoff
		return min(m.timing.InitialInterval<<min(m.rejections-1, maxDoublings), m.timing.MaxRejectedBackoff)
	case m.versionKnown:
		return m.backoff
	case m.overdue():
		return m.timing.OverdueBackoff
	default:
		return max(0, min(m.backoff, m.timing.InitialInterval-m.effects.now().Sub(r.startedAt)))
	}
}

// jitter is a random time between half of a pause and all of it.
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

// nextRequest is the request that the mode calls for. While discovery is silent requests are short: one that it leaves unanswered when
// it is back must not delay what it has.
func (m *machine) nextRequest() *request {
	r := &request{complete: !m.versionKnown, version: m.version, startedAt: m.effects.now()}
	switch m.mode() {
	case sparing:
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

// watchTimes are the long poll and hedge delay of a request in watching mode. Where responses were seen to be slow, the hedge delay is
// longer and the long poll shorter, so that a request that hangs is noticed as soon as before.
func (m *machine) watchTimes() (longPoll, hedgeDelay time.Duration) {
	sum := m.timing.LongPoll + m.timing.HedgeDelay
	minLongPoll := min(m.timing.LongPoll, m.timing.ProbeLongPoll)
	hedgeDelay = max(m.timing.HedgeDelay, min(m.responseTime*5/4, sum-minLongPoll))
	return sum - hedgeDelay, hedgeDelay
}

// requestTimeout is how long a request may take beyond its long poll.
func (m *machine) requestTimeout() time.Duration {
	if m.busy() || !m.versionKnown && m.overdue() {
		return m.timing.OverdueRequestTimeout
	}
	return m.timing.RequestTimeout
}

// abandon cancels a request and ignores its result.
func (m *machine) abandon(r *request) {
	m.effects.cancel(r)
	m.remove(r)
}

// remove takes a request out of those in flight, and says whether it was one of them.
func (m *machine) remove(r *request) bool {
	i := slices.Index(m.inFlight, r)
	if i < 0 {
		return false
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	return true
}
