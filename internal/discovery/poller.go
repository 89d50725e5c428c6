package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// poller runs the state machine of a watch on one address. It owns the timer and the requests.
type poller struct {
	ctx     context.Context // context of the watch
	client  *client
	timer   *time.Timer
	results chan result
	deliver func(update, error) error

	requests sync.WaitGroup // goroutines of requests; each ends once its result is delivered or the watch has ended
}

// result is the outcome of a request.
type result struct {
	*request
	update update
	err    error
}

func newPoller(ctx context.Context, client *client, deliver func(update, error) error) *poller {
	timer := time.NewTimer(time.Hour)
	timer.Stop() // the state machine sets the timer with its first request
	return &poller{ctx: ctx, client: client, timer: timer, results: make(chan result), deliver: deliver}
}

// run watches the address until the context ends, and returns after all requests have ended. A value on wake ends a
// backoff early (see machine.mayWake).
func (p *poller) run(timing Timing, cached CachedList, random *rand.Rand, wake <-chan struct{}) {
	defer p.client.close()
	defer p.requests.Wait()
	defer p.timer.Stop()
	m := newMachine(timing, cached, random, p)
	m.start()
	for p.step(m, wake) == nil {
	}
}

// step waits for one event and passes the event to the state machine. step fails if the watch has ended.
func (p *poller) step(m *machine, wake <-chan struct{}) error {
	if !m.mayWake() {
		wake = nil // leaves a pending value in the channel for a later step
	}
	select {
	case <-p.ctx.Done():
		return p.ctx.Err()
	case <-wake:
		m.onWake()
		return nil
	case <-p.timer.C:
		return m.onTimer()
	case r := <-p.results:
		r.cancel()
		if r.err != nil {
			return m.onFailure(r.request, r.err)
		}
		return m.onResponse(r.request, r.update)
	}
}

func (p *poller) now() time.Time { return time.Now() }

// send sends a request in a goroutine. The goroutine ends with the request or with the watch.
func (p *poller) send(r *request) {
	ctx, cancel := context.WithTimeout(p.ctx, r.timeout)
	r.cancel = cancel
	p.requests.Go(func() {
		u, err := p.client.do(ctx, r)
		select {
		case p.results <- result{r, u, err}:
		case <-p.ctx.Done():
			cancel()
		}
	})
}

func (p *poller) cancel(r *request) { r.cancel() }

func (p *poller) setTimer(d time.Duration) { p.timer.Reset(d) }

func (p *poller) report(u update, err error) error { return p.deliver(u, err) }
