package discovery

import "time"

// Timing holds the timeouts, intervals and backoffs of a watch. NewTiming fills it in.
type Timing struct {
	// Seed seeds the jitter of backoffs. Each node needs a different seed, so that nodes that start together do not retry
	// together.
	Seed uint64
	// SharedService is true if all nodes poll one service, so that the requests of each node add to its load. Otherwise
	// lists are pushed to an agent that serves only this node.
	SharedService bool

	// UpdateDeadline is the time within which a change must reach the node, counted from when discovery has the change
	// and is reachable, whatever failed before. Default 6s, as the operators require.
	UpdateDeadline time.Duration
	// MaxDrainGrace is the maximum part of UpdateDeadline that is set aside as drain grace, for the work in flight.
	// Default 2s.
	MaxDrainGrace time.Duration
	// SlowResponse is how long discovery may take to respond beyond a long poll. Default 1.5s, as the operators specify.
	SlowResponse time.Duration

	// LongPoll is how long a request lets discovery wait for a change. Derived, at most 2s: the part of UpdateDeadline
	// that the other terms of MaxUpdateDelay and the drain grace leave.
	LongPoll time.Duration
	// ProbeLongPoll is the long poll of a request that only checks whether discovery is back. Default 20ms.
	ProbeLongPoll time.Duration
	// MinPollInterval is the minimum time between the starts of two requests when the first is answered at once.
	// Default 20ms. It must be under 200ms, which is how long discovery keeps a watch open between two requests.
	MinPollInterval time.Duration
	// RequestTimeout is the time beyond its long poll after which a request is canceled. Default 2s, which is more than
	// SlowResponse.
	RequestTimeout time.Duration

	// HedgeDelay is how long a request may stay unanswered beyond its long poll before another one is sent as well.
	// Derived: a quarter of the drain grace, from 100ms to 500ms, where lists are pushed; otherwise 500ms.
	HedgeDelay time.Duration
	// InitialHedgeDelay replaces HedgeDelay while no version is known. Derived: HedgeDelay, but at most 300ms.
	InitialHedgeDelay time.Duration
	// MinHedgeInterval is the minimum time between the starts of requests that stay in flight after their hedge delay;
	// others are canceled then. It limits the number of connections. Default 300ms.
	MinHedgeInterval time.Duration

	// BaseBackoff is the pause after the first failed request. Further failures double it, up to MaxBackoff. Default 50ms.
	BaseBackoff time.Duration
	// MaxBackoff is the maximum pause after failed requests. Derived: a quarter of the drain grace, from 50ms to 800ms,
	// where lists are pushed; otherwise 800ms.
	MaxBackoff time.Duration

	// InitialInterval is the maximum time between the starts of requests while no version is known. Default 400ms, with
	// which a node is ready 10s after its start even if discovery is down for the first 8s.
	InitialInterval time.Duration
	// InitialDeadline is the time from the start of a watch after which the initial list of a shared service is overdue.
	// Default 10s. From then on requests are rarer and have longer timeouts, so that a slow service is not kept slow by
	// requests that were already canceled.
	InitialDeadline time.Duration
	// OverdueBackoff is the pause after a failed request once the initial list is overdue. Default 2s.
	OverdueBackoff time.Duration
	// OverdueRequestTimeout replaces RequestTimeout once the initial list is overdue, or while discovery rejects requests.
	// Default 6s.
	OverdueRequestTimeout time.Duration
	// MaxRejectedBackoff is the maximum pause after a request that a shared service rejected (status 503 or 429). The
	// pause starts at InitialInterval and doubles, because each rejection costs the service work too. Default 2s.
	MaxRejectedBackoff time.Duration
}

// Bounds of the values that NewTiming derives from the drain grace. The minimums leave time for a response on a shared
// CPU core and limit the cost of requests.
const (
	maxLongPoll          = 2 * time.Second
	minHedgeDelay        = 100 * time.Millisecond
	maxHedgeDelay        = 500 * time.Millisecond
	maxInitialHedgeDelay = 300 * time.Millisecond
	minMaxBackoff        = 50 * time.Millisecond
	maxMaxBackoff        = 800 * time.Millisecond
)

// defaultTiming returns the values that do not depend on the settings.
func defaultTiming() Timing {
	return Timing{
		UpdateDeadline:        6 * time.Second,
		MaxDrainGrace:         2 * time.Second,
		SlowResponse:          1500 * time.Millisecond,
		ProbeLongPoll:         20 * time.Millisecond,
		MinPollInterval:       20 * time.Millisecond,
		RequestTimeout:        2 * time.Second,
		MinHedgeInterval:      300 * time.Millisecond,
		BaseBackoff:           50 * time.Millisecond,
		InitialInterval:       400 * time.Millisecond,
		InitialDeadline:       10 * time.Second,
		OverdueBackoff:        2 * time.Second,
		OverdueRequestTimeout: 6 * time.Second,
		MaxRejectedBackoff:    2 * time.Second,
	}
}

// NewTiming derives the timing from the drain grace.
//
// Where lists are pushed, a change counts as delivered as soon as discovery is back, so an unanswered request, the
// backoff after it and the next request together take at most three quarters of the drain grace. Where nodes poll a
// shared service, requests add to its load, and the settings allow a different time, so the maximum values apply.
//
// The long poll gets the time that UpdateDeadline leaves after the drain grace and the other terms of MaxUpdateDelay.
func NewTiming(drainGrace time.Duration, pushed bool) Timing {
	t := defaultTiming()
	t.SharedService = !pushed
	t.HedgeDelay, t.MaxBackoff = maxHedgeDelay, maxMaxBackoff
	if pushed {
		quarter := drainGrace / 4
		t.HedgeDelay = min(max(quarter, minHedgeDelay), maxHedgeDelay)
		t.MaxBackoff = min(max(quarter, minMaxBackoff), maxMaxBackoff)
	}
	t.InitialHedgeDelay = min(t.HedgeDelay, maxInitialHedgeDelay)
	t.LongPoll = min(t.deliveryBudget(drainGrace)-t.MaxUpdateDelay(), maxLongPoll) // t.LongPoll is still 0 in MaxUpdateDelay
	return t
}

// deliveryBudget returns how long a change may take from discovery to the node: UpdateDeadline minus the drain grace,
// which is set aside for the work in flight.
func (t Timing) deliveryBudget(drainGrace time.Duration) time.Duration {
	return t.UpdateDeadline - min(drainGrace, t.MaxDrainGrace)
}

// MaxUpdateDelay returns an upper bound of the time that a change, most importantly a drain, takes to reach the node,
// counted from when discovery has the change and is reachable. The node acts on the change at once. The bound is the
// sum over the worst sequence of events:
//
//  1. a long poll hangs from its start, and the first backoff follows;
//  2. the next request, in probing mode, fails after its hedge delay, and the second backoff follows; if requests start at
//     intervals under MinHedgeInterval, some of them are canceled after their hedge delay, which adds up to MinHedgeInterval;
//  3. discovery takes SlowResponse to answer the third request.
//
// NewTiming chooses LongPoll so that the bound is at most UpdateDeadline minus the drain grace, which is 4s to 6s.
func (t Timing) MaxUpdateDelay() time.Duration {
	hangingPoll := t.LongPoll + t.HedgeDelay + t.BaseBackoff
	failedProbe := t.ProbeLongPoll + t.HedgeDelay + min(2*t.BaseBackoff, t.MaxBackoff)
	if failedProbe < t.MinHedgeInterval {
		failedProbe += t.MinHedgeInterval
	}
	slowProbe := t.ProbeLongPoll + t.SlowResponse
	return hangingPoll + failedProbe + slowProbe
}
