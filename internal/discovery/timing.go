package discovery

import "time"

// Timing holds the timeouts, intervals and backoffs of a watch. NewTiming fills it in.
type Timing struct {
	// Seed of the jitter of backoffs. It differs from node to node, so that nodes that start together don't retry together.
	Seed uint64
	// SharedService says that all nodes poll one service, which their requests load. Otherwise lists are pushed to an agent of each
	// node's own.
	SharedService bool

	// UpdateDeadline is when a change counts as delivered after discovery has it and can be reached, whatever failed before.
	// Default 6s, by the operators' page.
	UpdateDeadline time.Duration
	// MaxDrainGrace is how much of the drain grace is set aside within UpdateDeadline for the work in flight. Default 2s.
	MaxDrainGrace time.Duration
	// SlowResponse is how long discovery may take to respond beyond a long poll. Default 1.5s, by the operators' page.
	SlowResponse time.Duration

	// LongPoll is how long a request lets discovery wait for a change. Derived, up to 2s: what MaxUpdateDelay leaves of UpdateDeadline.
	LongPoll time.Duration
	// ProbeLongPoll is the long poll of a request that only checks whether discovery is back. Default 20ms.
	ProbeLongPoll time.Duration
	// MinPollInterval is the least time between the starts of requests that are answered at once. Default 20ms; discovery keeps a
	// watch open for 200ms between two requests.
	MinPollInterval time.Duration
	// RequestTimeout is when a request is canceled, beyond its long poll. Default 2s: over SlowResponse.
	RequestTimeout time.Duration

	// HedgeDelay is how long a request may be unanswered beyond its long poll until the next one is sent beside it. Derived, 100ms
	// to 500ms: a quarter of the drain grace where lists are pushed.
	HedgeDelay time.Duration
	// InitialHedgeDelay is the same while no version is known. Derived, up to 300ms.
	InitialHedgeDelay time.Duration
	// MinHedgeInterval is the least time between the starts of requests that stay in flight beside later ones; others are canceled
	// after their hedge delay. Default 300ms: it bounds the connections.
	MinHedgeInterval time.Duration

	// BaseBackoff is the pause after the first failed request. It doubles up to MaxBackoff. Default 50ms.
	BaseBackoff time.Duration
	// MaxBackoff is the longest pause after failed requests. Derived, 50ms to 800ms: a quarter of the drain grace where lists are
	// pushed.
	MaxBackoff time.Duration

	// InitialInterval is the longest time between the starts of requests while no version is known. Default 400ms: a node is ready
	// 10s after its start with discovery down for 8s of them.
	InitialInterval time.Duration
	// InitialDeadline is when the initial list of a shared service is overdue. Default 10s. From then on requests are fewer and
	// longer, so that requests which are given up don't keep a slow service slow.
	InitialDeadline time.Duration
	// OverdueBackoff is the pause after a failed request once the initial list is overdue. Default 2s.
	OverdueBackoff time.Duration
	// OverdueRequestTimeout replaces RequestTimeout once the initial list is overdue, or discovery rejects requests. Default 6s.
	OverdueRequestTimeout time.Duration
	// MaxRejectedBackoff is the longest pause after a request that a shared service rejected (503, 429); it starts at
	// InitialInterval and doubles. Default 2s: each rejection costs the service work too.
	MaxRejectedBackoff time.Duration
}

// Bounds of what NewTiming derives from the drain grace: a response takes some time on a shared core, and requests cost.
const (
	maxLongPoll          = 2 * time.Second
	minHedgeDelay        = 100 * time.Millisecond
	maxHedgeDelay        = 500 * time.Millisecond
	maxInitialHedgeDelay = 300 * time.Millisecond
	minMaxBackoff        = 50 * time.Millisecond
	maxMaxBackoff        = 800 * time.Millisecond
)

// defaultTiming is what does not depend on the settings.
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

// NewTiming fits the timing to the drain grace.
//
// Where lists are pushed, what discovery has when it is back counts as delivered at once, so an unanswered request, the backoff after
// it and the next request together take no more than three quarters of the grace. Where nodes poll a shared service, requests load it,
// and the settings name another time.
//
// The long poll is what UpdateDeadline less the grace leaves beside the rest of MaxUpdateDelay.
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
	t.LongPoll = min(t.deliveryBudget(drainGrace)-t.MaxUpdateDelay(), maxLongPoll) // t.LongPoll is 0 up to here
	return t
}

// deliveryBudget is how long a change may take from discovery to the node: UpdateDeadline less the drain grace, which is set aside for
// the work in flight.
func (t Timing) deliveryBudget(drainGrace time.Duration) time.Duration {
	return t.UpdateDeadline - min(drainGrace, t.MaxDrainGrace)
}

// MaxUpdateDelay bounds the time until a change is in force, a drain above all: the longest time from when discovery has it and can be
// reached until the node is notified, which acts on it at once. It is the sum over the worst order of events:
//
//  1. a long poll hangs as it begins, and the first backoff follows;
//  2. the next request, a probe, fails after its hedge delay, and the second backoff follows; up to MinHedgeInterval is added where
//     requests start so soon after each other that not all of them are waited for;
//  3. discovery takes SlowResponse to answer the third request.
//
// NewTiming chooses LongPoll such that it is at most UpdateDeadline less the drain grace: 4s to 6s.
func (t Timing) MaxUpdateDelay() time.Duration {
	hangingPoll := t.LongPoll + t.HedgeDelay + t.BaseBackoff
	failedProbe := t.ProbeLongPoll + t.HedgeDelay + min(2*t.BaseBackoff, t.MaxBackoff)
	if failedProbe < t.MinHedgeInterval {
		failedProbe += t.MinHedgeInterval
	}
	slowProbe := t.ProbeLongPoll + t.SlowResponse
	return hangingPoll + failedProbe + slowProbe
}
