package discovery

import "time"

// Timing holds the timeouts, intervals and backoffs of a watch. NewTiming fills it in.
type Timing struct {
	// Seed seeds the jitter of backoffs. Each node needs a different seed, so that nodes that start together do not
	// retry together.
	Seed uint64
	// SharedService is true if all nodes poll the same service, so that the requests of each node add to the load of
	// the service. If it is false, lists are pushed to an agent that serves only this node.
	SharedService bool

	// UpdateDeadline is the time within which a change must reach the node, whatever failed before. It counts from the
	// moment at which discovery has the change and is reachable. Default 6s, as the operators require.
	UpdateDeadline time.Duration
	// MaxDrainGrace is the maximum time within UpdateDeadline that is set aside as drain grace, for the work in flight.
	// Default 2s.
	MaxDrainGrace time.Duration
	// SlowResponse is the maximum time beyond its long poll that discovery takes to respond to a request. Default 1.5s,
	// as the operators specify.
	SlowResponse time.Duration

	// LongPoll is the maximum time that a request lets discovery wait for a change before discovery responds. Derived:
	// UpdateDeadline minus the drain grace and the other terms of MaxUpdateDelay, but at most 2s.
	LongPoll time.Duration
	// ProbeLongPoll is the long poll of a request that only checks whether discovery is back. Default 20ms.
	ProbeLongPoll time.Duration
	// MinPollInterval is the minimum time from the start of a request that is answered to the start of the next one,
	// unless WatchEndpoints ends the pause between them. Default 20ms. It must be under 200ms, because discovery keeps
	// a watch open for only 200ms between two requests.
	MinPollInterval time.Duration
	// RequestTimeout is the time beyond its long poll after which a request is canceled. Default 2s. It is more than
	// SlowResponse, so that a slow response still arrives.
	RequestTimeout time.Duration

	// HedgeDelay is the time beyond its long poll after which an unanswered request counts as failed. A backoff and
	// another request follow, while the unanswered one can stay in flight. Derived: where lists are pushed, a quarter
	// of the drain grace, but at least 100ms and at most 500ms; otherwise 500ms.
	HedgeDelay time.Duration
	// InitialHedgeDelay replaces HedgeDelay while no version of the endpoint list is known. Derived: HedgeDelay, but at
	// most 300ms.
	InitialHedgeDelay time.Duration
	// MinHedgeInterval is the minimum time between the starts of two requests that both stay in flight after their
	// hedge delays. A request that started sooner after such a request is canceled at the end of its hedge delay. This
	// limits the number of connections. Default 300ms.
	MinHedgeInterval time.Duration

	// BaseBackoff is the pause after the first failed request. Each further failure doubles the pause, up to
	// MaxBackoff. Default 50ms.
	BaseBackoff time.Duration
	// MaxBackoff is the maximum pause after a failed request, except where OverdueBackoff or MaxRejectedBackoff
	// applies. Derived: where lists are pushed, a quarter of the drain grace, but at least 50ms and at most 800ms;
	// otherwise 800ms.
	MaxBackoff time.Duration

	// InitialInterval is the maximum time between the starts of requests while no version is known. It does not apply
	// once the initial list is overdue, nor after rejections by a shared service. Default 400ms: with it, a node is
	// ready 10s after its start even if discovery is down for the first 8s.
	InitialInterval time.Duration
	// InitialDeadline is the time from the start of a watch after which the initial list of a shared service is
	// overdue. Default 10s. From then on, requests are rarer and have longer timeouts. Otherwise the service could stay
	// slow because it works on requests that the nodes have already canceled.
	InitialDeadline time.Duration
	// OverdueBackoff is the pause after a failed request once the initial list is overdue. Default 2s.
	OverdueBackoff time.Duration
	// OverdueRequestTimeout replaces RequestTimeout once the initial list is overdue, or while discovery rejects
	// requests. Default 6s.
	OverdueRequestTimeout time.Duration
	// MaxRejectedBackoff is the maximum pause after a request that a shared service rejected (status 503 or 429). The
	// pause starts at InitialInterval and doubles with each further rejection, because a rejection costs the service
	// work too. Default 2s.
	MaxRejectedBackoff time.Duration
}

// Bounds of the values that NewTiming derives from the drain grace. minHedgeDelay
// gives discovery enough time to respond even if its process shares a CPU core with others. minMaxBackoff limits the
// rate of requests, and so their cost.
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
// Where lists are pushed, a change counts as delivered as soon as discovery is back. An unanswered request, the backoff
// after it and the next request must therefore together fit in the drain grace, if that is 400ms or more. HedgeDelay
// and MaxBackoff are a quarter of the drain grace each, within their bounds. Where nodes poll a shared service,
// requests add to the load of the service, and the settings allow a different time for the delivery, so HedgeDelay and
// MaxBackoff have their maximum values.
//
// LongPoll is the time that remains of UpdateDeadline after the drain grace and the other terms of MaxUpdateDelay.
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
	// t.LongPoll is still 0 here, so MaxUpdateDelay returns the sum of the other terms.
	t.LongPoll = min(t.deliveryBudget(drainGrace)-t.MaxUpdateDelay(), maxLongPoll)
	return t
}

// deliveryBudget returns the maximum time that a change is allowed to take from discovery to the node. It is
// UpdateDeadline minus the drain grace (at most MaxDrainGrace), which is set aside for the work in flight.
func (t Timing) deliveryBudget(drainGrace time.Duration) time.Duration {
	return t.UpdateDeadline - min(drainGrace, t.MaxDrainGrace)
}

// MaxUpdateDelay returns an upper bound of the time that a change, most importantly a drain, takes to reach the node.
// The time counts from the moment at which discovery has the change and is reachable. The node acts on the change at
// once. The bound is the sum of the times of the worst sequence of events:
//
//  1. A long poll gets no response, and the first backoff follows.
//  2. The next request, in probing mode, fails after its hedge delay, and the second backoff follows. If requests start
//     less than MinHedgeInterval apart, some of them are canceled at the end of their hedge delay. That takes at most
//     MinHedgeInterval more.
//  3. Discovery takes SlowResponse to answer the third request.
//
// NewTiming chooses LongPoll so that the bound is at most UpdateDeadline minus the drain grace. That difference is 4s
// to 6s.
func (t Timing) MaxUpdateDelay() time.Duration {
	hangingPoll := t.LongPoll + t.HedgeDelay + t.BaseBackoff
	failedProbe := t.ProbeLongPoll + t.HedgeDelay + min(2*t.BaseBackoff, t.MaxBackoff)
	if failedProbe < t.MinHedgeInterval {
		failedProbe += t.MinHedgeInterval
	}
	slowProbe := t.ProbeLongPoll + t.SlowResponse
	return hangingPoll + failedProbe + slowProbe
}
