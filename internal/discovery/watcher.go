package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Watcher watches the discovery service. Its address can be switched at run time.
type Watcher struct {
	// Cached is the endpoint list that this node last received. Where nodes poll a shared service and the list is
	// complete, the first watch resumes from the version of this list.
	Cached CachedList

	timing   Timing
	names    Names
	notify   func(node.Event)
	dialer   Dialer
	wake     chan struct{}
	switches chan string
	reports  chan report

	started uint64         // number of watches started so far; seeds the random generator of each watch, together with Timing.Seed
	running sync.WaitGroup // goroutines of watches; each ends when the context of its watch ends
}

// watch is the watch on one address. It ends when its context ends.
type watch struct {
	addr            string
	stop            context.CancelFunc
	handled         chan struct{} // receives a value after Run has handled a report of this watch
	pendingReported bool          // whether the node was notified that this address has not delivered its list yet (node.DiscoverySwitchPending)
}

// report carries an update or an error from a watch to Run.
type report struct {
	from   *watch
	update update
	err    error
}

// New creates a watcher. The watcher passes its events to notify. If dialer is nil, it uses a net.Dialer.
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

// WatchEndpoints ends a pause between two requests early, unless a shared service rejected the last request.
func (w *Watcher) WatchEndpoints() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SwitchDiscovery switches to another address. It never blocks, and must be called by one goroutine only.
func (w *Watcher) SwitchDiscovery(addr string) {
	select {
	case <-w.switches: // drops an earlier switch that Run has not read yet
	default:
	}
	w.switches <- addr
}

// Run watches discovery until the context ends, and returns after all goroutines that it started have ended. After a
// switch, the old address stays active until the new one has delivered the complete list, so a switch to an unreachable
// address does no harm. Then the watch on the old address is stopped, because updates from the old address could undo
// newer ones from the new address.
func (w *Watcher) Run(ctx context.Context, addr string) {
	defer w.running.Wait()
	var active *watch                      // the watch whose updates are passed on; nil until a watch has received the complete list
	latest := w.start(ctx, addr, w.Cached) // the watch on the latest address
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
			latest = w.start(ctx, addr, CachedList{}) // without the cached list, because the new address can use other versions
		case r := <-w.reports:
			if r.from == latest && r.err == nil && latest != active { // the first update of a watch is always a complete list
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

// handle notifies the node of a report from the active watch, or from the latest watch while no watch is active. While
// an earlier watch is active, the first error of the latest watch is reported as a pending switch, and further errors
// of the latest watch are dropped. Reports of stopped watches are dropped too.
func (w *Watcher) handle(r report, active, latest *watch) {
	switch {
	case r.from == active || r.from == latest && active == nil:
		w.notifyEndpoints(r)
	case r.from == latest && !latest.pendingReported:
		latest.pendingReported = true
		w.notify(node.DiscoverySwitchPending{Addr: latest.addr, Detail: r.err.Error()})
	}
}

// notifyEndpoints notifies the node of an update or of a failed request. An update without changes is dropped.
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

// start starts a watch on an address. The watch resumes from the cached list where possible (see newMachine).
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

// deliver passes a report to Run, and returns after Run has handled the report. deliver fails if the watch has ended.
func (w *Watcher) deliver(ctx context.Context, r report) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case w.reports <- r:
		<-r.from.handled
		return nil
	}
}
