package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Watcher watches discovery, at one address after another.
type Watcher struct {
	// Cached is the list as this node last had it. Where nodes poll a shared service, the first watch resumes from its version.
	Cached CachedList

	timing   Timing
	names    Names
	notify   func(node.Event)
	dialer   Dialer
	wake     chan struct{}
	switches chan string
	reports  chan report

	started uint64         // watches, which number their streams of random numbers
	running sync.WaitGroup // watches; each ends with its context
}

// watch is the watch on one address. It ends with its context.
type watch struct {
	addr            string
	stop            context.CancelFunc
	handled         chan struct{} // its last report was dealt with
	pendingReported bool          // the node was notified that a switch to it is pending
}

// report is what a watch brought: an update, or an error.
type report struct {
	from   *watch
	update update
	err    error
}

// New makes a watcher, which sends its events to notify. A nil dialer is the system's.
func New(names Names, timing Timing, dialer Dialer, notify func(node.Event)) *Watcher {
	if dialer == nil {
		dialer = new(net.Dialer).DialContext
	}
	return &Watcher{
		timing:   timing,
		names:    names,
		notify:   notify,
		dialer:   dialer,
		wake:     make(chan struct{}, 1),
		switches: make(chan string, 1),
		reports:  make(chan report),
	}
}

// WatchEndpoints cuts a backoff between two requests short.
func (w *Watcher) WatchEndpoints() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SwitchDiscovery goes on at another address. It never blocks, and must be called by one goroutine only.
func (w *Watcher) SwitchDiscovery(addr string) {
	select {
	case <-w.switches: // replaced before it was read
	default:
	}
	w.switches <- addr
}

// Run watches discovery until the context ends, and returns once all that it started has ended. After a switch the old address stays
// active until the new one has brought the complete list, and not longer: its updates could undo newer ones. So an address that leads
// nowhere does no harm.
func (w *Watcher) Run(ctx context.Context, addr string) {
	defer w.running.Wait()
	var active *watch                      // its updates count; nil until a watch has brought the complete list
	latest := w.start(ctx, addr, w.Cached) // the address that was named last
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-w.switches:
			if addr == latest.addr {
				continue
			}
			if latest != active {
				latest.stop()
			}
			latest = w.start(ctx, addr, CachedList{}) // its versions may count otherwise
		case r := <-w.reports:
			if r.from == latest && r.err == nil && latest != active { // the first update of a watch is the complete list
				if active != nil {
					active.stop()
				}
				active = latest
			}
			w.handle(r, active, latest)
			r.from.handled <- struct{}{}
		}
	}
}

// handle notifies the node of a report, if it is from the active watch or there is none. The first error of the latest watch is
// reported as a pending switch. Anything else is from a watch that was stopped.
func (w *Watcher) handle(r report, active, latest *watch) {
	switch {
	case r.from == active || r.from == latest && active == nil:
		w.notifyEndpoints(r)
	case r.from == latest && !latest.pendingReported:
		latest.pendingReported = true
		w.notify(node.DiscoverySwitchPending{Addr: latest.addr, Detail: r.err.Error()})
	}
}

func (w *Watcher) notifyEndpoints(r report) {
	switch {
	case r.err != nil:
		w.notify(node.EndpointsUpdated{Kind: policy.WatchFailed, Detail: r.err.Error()})
	case r.update.complete:
		w.notify(node.EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: r.update.endpoints})
	case len(r.update.endpoints) > 0:
		w.notify(node.EndpointsUpdated{Kind: policy.IncrementalUpdate, Endpoints: r.update.endpoints})
	}
}

// start starts a watch on an address.
func (w *Watcher) start(ctx context.Context, addr string, cached CachedList) *watch {
	ctx, stop := context.WithCancel(ctx)
	started := &watch{addr: addr, stop: stop, handled: make(chan struct{}, 1)}
	deliver := func(u update, err error) error { return w.deliver(ctx, report{started, u, err}) }
	p := newPoller(ctx, newClient(addr, w.names, w.dialer), deliver)
	w.started++
	random := rand.New(rand.NewPCG(w.timing.Seed, w.started))
	w.running.Go(func() { p.run(w.timing, cached, random, w.wake) })
	return started
}

// deliver hands a report to Run, and returns once it was dealt with. It fails once the watch has ended.
func (w *Watcher) deliver(ctx context.Context, r report) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case w.reports <- r:
		<-r.from.handled
		return nil
	}
}
