// Package discovery follows discovery: the whole list once, then a watch that is renewed at once each time.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	// By the operators' page a change counts as told 6 s after discovery had it and could be reached, whatever else went
	// wrong. The drain grace is left of that for what is on its way.
	updateDeadline   = 6 * time.Second
	maxDrainGrace    = 2 * time.Second // of a longer one no more is left
	maxLongPoll      = 2 * time.Second
	probeLongPoll    = 20 * time.Millisecond // the wait of a call that only asks whether discovery is back
	baseBackoff      = 50 * time.Millisecond // after a call that brought nothing usable, doubled up to lastBackoff
	minPollInterval  = 20 * time.Millisecond // between calls that are answered at once; the page lets a watch go on for 200 ms
	maxResponseBytes = 4 << 20               // bytes of an answer

	// By the operators' page a node is ready 10 s after its start with discovery down for 8 s of them, or slow: it may take
	// 1.5 s to answer. So a call is waited for so long, and while the whole list is owed calls begin so far apart at most.
	slowResponse         = 1500 * time.Millisecond
	initialDeadline      = 10 * time.Second
	requestTimeout       = 2 * time.Second
	initialInterval      = 400 * time.Millisecond
	maxInitialHedgeDelay = 300 * time.Millisecond // and so long after a call began the next may begin beside it
	minHedgeInterval     = 300 * time.Millisecond // calls that are waited for beside later ones begin so far apart at least

	// After that, where nodes ask: fewer calls, and longer ones. Guards against a service that is slow because of the calls that
	// were given up: it would stay so.
	overdueBackoff        = 2 * time.Second
	overdueRequestTimeout = 3 * requestTimeout

	// Where nodes ask and the service turns calls away (503, 429): it is there, and has no room. Each refusal takes of the work that
	// it could do, so the backoff doubles from owedEvery to refusedBackoff; and a call that it has taken may stand in its queue
	// for patience, where another one beside it would only be refused. Guards against nodes that keep a service busy refusing.
	maxRejectedBackoff = 2 * time.Second
	busyRejections     = 2 // refusals in a row from which a service counts as busy: one alone may be a spoilt answer

	// Bounds of what is derived from the drain grace: an answer takes some time where the core is shared, and calls cost.
	minHedgeDelay, maxHedgeDelay = 100 * time.Millisecond, 500 * time.Millisecond
	minMaxBackoff, maxMaxBackoff = baseBackoff, 800 * time.Millisecond
)

// Timing is how long calls may take, and how far apart they are, while discovery is silent.
type Timing struct {
	Seed uint64 // differs from node to node, so that many that begin at one moment don't go on calling at one moment

	LongPoll          time.Duration // how long a call waits for news
	HedgeDelay        time.Duration // beyond it: after that a call is late, and the next begins beside it
	InitialHedgeDelay time.Duration // the same while the whole list is owed
	MaxBackoff        time.Duration
	SharedService     bool // all nodes ask one service
}

// NewTiming fits it to the drain grace. Where lists are pushed, what discovery has when it is back counts as told at once,
// whoever asks: a call that hangs, the backoff after it and the next call together take no more than three quarters of the
// grace. Where nodes ask, calls load a service that all share, and the settings name another time.
//
// The wait for news is what 6 s less the grace leave beside the rest of the worst order: see sum.
func NewTiming(drainGrace time.Duration, pushed bool) Timing {
	p := Timing{HedgeDelay: maxHedgeDelay, MaxBackoff: maxMaxBackoff, SharedService: !pushed}
	if pushed {
		part := drainGrace / 4
		p.HedgeDelay, p.MaxBackoff = min(max(part, minHedgeDelay), maxHedgeDelay), min(max(part, minMaxBackoff), maxMaxBackoff)
	}
	p.InitialHedgeDelay = min(p.HedgeDelay, maxInitialHedgeDelay)
	p.LongPoll = min(updateDeadline-min(drainGrace, maxDrainGrace)-p.worstCaseDelay(), maxLongPoll)
	return p
}

// worstCaseDelay is the longest that a node goes without news which discovery has and could give, in the worst order of events: a watch
// falls silent as it begins, the next call fails late, and discovery takes its time for the one after.
func (p Timing) worstCaseDelay() time.Duration {
	first := p.LongPoll + p.HedgeDelay + baseBackoff
	second := probeLongPoll + p.HedgeDelay + min(2*baseBackoff, p.MaxBackoff)
	if second < minHedgeInterval {
		second += minHedgeInterval // calls that begin sooner are not waited for
	}
	return first + second + probeLongPoll + slowResponse
}

// Names are the settings' names of zones and kinds, by number.
type Names struct {
	Zones, Kinds []string
	Start        time.Time // spans of the module count from here
}

// Watcher follows discovery, at one address after another.
type Watcher struct {
	Timing
	// Copy is the list as this node last had it. Where nodes ask, the first watch goes on from its version: a call for the whole
	// list would be one more for the service, and what it brings late, with no call open, would still count as told.
	Cached  CachedList
	names   Names
	notify  func(node.Event)
	again   chan struct{}
	follow  chan string
	news    chan news
	dialer  Dialer
	watches uint64
}

// CachedList is a list as discovery told it once; it may be old.
type CachedList struct {
	Endpoints []node.Endpoint

	version  int64
	complete bool // it says that it is whole, so that changes since its version make it the list of now
}

// apply is the whole list that comes of it by what has changed since.
func (c CachedList) apply(changes update) update {
	all := update{version: changes.version, complete: true}
	changed := map[policy.ExecutorID]bool{}
	for _, e := range changes.endpoints {
		changed[e.Executor] = true
		if e.State != policy.Removed {
			all.endpoints = append(all.endpoints, e)
		}
	}
	for _, e := range c.Endpoints {
		if !changed[e.Executor] {
			all.endpoints = append(all.endpoints, e)
		}
	}
	return all
}

// watch is the watch on one address. It ends with its context.
type watch struct {
	addr string
	stop context.CancelFunc
	told chan struct{} // its last news has been dealt with
	mute bool          // that it brings nothing has been told
}

// news is what a watch brought.
type news struct {
	from *watch
	update
	err error
}

// Dialer opens connections to discovery.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a watcher; without a dialer it uses the system's.
func New(names Names, patience Timing, dial Dialer, tell func(node.Event)) *Watcher {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &Watcher{Timing: patience, names: names, notify: tell,
		again: make(chan struct{}, 1), follow: make(chan string, 1), news: make(chan news), dialer: dial}
}

// WatchEndpoints cuts a backoff between two calls short.
func (w *Watcher) WatchEndpoints() {
	select {
	case w.again <- struct{}{}:
	default:
	}
}

// SwitchDiscovery goes on at another address. It is called by one goroutine only and never waits.
func (w *Watcher) SwitchDiscovery(addr string) {
	select {
	case <-w.follow: // taken over before it was looked at
	default:
	}
	w.follow <- addr
}

// Run follows discovery until the context ends. After a move the old address counts until the new one has brought
// the whole list, and no longer: what it still says could undo news, and a new address that leads nowhere costs
// nothing.
func (w *Watcher) Run(ctx context.Context, addr string) {
	var counts *watch
	last := w.start(ctx, addr, w.Cached) // another address may count its versions otherwise
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-w.follow:
			if addr == last.addr {
				continue
			}
			if last != counts {
				last.stop()
			}
			last = w.start(ctx, addr, CachedList{})
		case n := <-w.news:
			if n.from == last && n.err == nil && last != counts { // a watch's first news is the whole list
				if counts != nil {
					counts.stop()
				}
				counts = last
			}
			switch {
			case n.from == counts || n.from == last && counts == nil:
				w.bring(n)
			case n.from == last && !last.mute:
				last.mute = true
				w.notify(node.DiscoverySwitchPending{Addr: last.addr, Detail: n.err.Error()})
			}
			n.from.told <- struct{}{}
		}
	}
}

func (w *Watcher) start(ctx context.Context, addr string, from CachedList) *watch {
	ctx, stop := context.WithCancel(ctx)
	on := &watch{addr: addr, stop: stop, told: make(chan struct{}, 1)}
	w.watches++
	go w.run(ctx, on, from, rand.New(rand.NewPCG(w.Seed, w.watches)))
	return on
}

// call is a call to discovery that is out.
type call struct {
	cancel context.CancelFunc
	whole  bool // it asks for the whole list
	hold   time.Duration
	late   time.Duration // it counts as late then, beyond its hold
	began  time.Time
}

// ended is how a call ended.
type ended struct {
	*call
	update
	err error
}

// run watches one address. After each answer the next watch begins soon, so that it is one watch to discovery,
// and not so soon that one whose calls don't wait would take all of the core. After a call that brought nothing
// usable it begins again with a backoff in between.
//
// A call that is late is waited for beside the next ones: discovery may be slow, and then giving up each call would bring
// nothing ever; or its connection may be dead, and then only another call brings anything. Whichever brings something first
// ends the others.
func (w *Watcher) run(ctx context.Context, on *watch, from CachedList, chance *rand.Rand) {
	client := w.client()
	defer client.CloseIdleConnections()
	var (
		version = from.version
		known   = from.complete && w.SharedService // the version counts
		first   = true                             // no list has come
		lost    = known                            // the last call brought nothing; or it is not known yet whether discovery is there
		refused int                                // calls that a service which all share turned away, in a row
		backoff = baseBackoff                      // after the next one that brings nothing
		took    time.Duration                      // what the last answer took beyond its call's wait

		out     []*call
		current *call // the one that is not late yet; nil between two
		hedged  time.Time
		began   = time.Now()
		ends    = make(chan ended)
		next    = time.NewTimer(time.Hour) // the current call is late, or the next one is due
	)
	begin := func() {
		busy := refused >= busyRejections
		current = w.next(known, lost, busy, took)
		out = append(out, current)
		limit := requestTimeout
		if busy || !known && w.overdue(began) {
			limit = overdueRequestTimeout
		}
		w.begin(ctx, client, current, limit, on.addr, version, ends)
		next.Reset(current.hold + current.late)
	}
	beginIn := func(pause time.Duration) {
		if pause <= 0 {
			begin()
			return
		}
		next.Reset(pause)
	}
	giveUp := func(c *call) {
		c.cancel()
		out = slices.DeleteFunc(out, func(o *call) bool { return o == c })
	}
	failed := func(call time.Time, err error) bool {
		lost, current = true, nil
		if !w.brought(ctx, news{on, update{}, err}) {
			return false
		}
		pause := backoff
		if w.SharedService && errors.As(err, new(rejectedError)) {
			refused++
		} else {
			refused = 0
		}
		switch {
		case refused > 0:
			pause = min(initialInterval<<min(refused-1, 8), maxRejectedBackoff)
		case known:
		case w.overdue(began):
			pause = overdueBackoff
		default:
			pause = max(0, min(pause, initialInterval-time.Since(call)))
		}
		beginIn(pause/2 + time.Duration(chance.Float64()*float64(pause-pause/2)))
		backoff = min(2*backoff, w.MaxBackoff)
		return true
	}
	begin()
	for {
		again := w.again
		if current != nil || refused > 0 {
			again = nil // it cuts a backoff short, and no call; nor one that spares a busy service
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
			begin()
		case <-next.C:
			if current == nil {
				begin()
				continue
			}
			late := current
			if late.began.Sub(hedged) >= minHedgeInterval {
				hedged = late.began
			} else {
				giveUp(late)
			}
			if !failed(late.began, fmt.Errorf("no answer within %v", late.hold+late.late)) {
				return
			}
		case e := <-ends:
			e.cancel()
			i := slices.Index(out, e.call)
			if i < 0 {
				continue // given up
			}
			out = slices.Delete(out, i, i+1)
			if e.err != nil {
				var odd malformedError
				senseless := errors.As(e.err, &odd)
				known = known && !senseless
				switch {
				case e.call == current:
					if !failed(e.began, e.err) {
						return
					}
				case senseless && !e.call.whole:
					// What was asked since for the same version would fare no better: the whole list is asked for at once.
					if current != nil && !current.whole {
						giveUp(current)
						current = nil
					}
					if current == nil {
						begin()
					}
				}
				continue
			}
			for _, c := range out {
				c.cancel()
			}
			if all := time.Since(e.began); all > e.hold {
				took = all - e.hold
			}
			out, current = nil, nil
			if first && !e.update.complete {
				e.update = from.apply(e.update)
			}
			first = false
			version, known, lost, backoff, refused = e.version, true, false, baseBackoff, 0
			if !w.brought(ctx, news{on, e.update, nil}) {
				return
			}
			beginIn(minPollInterval - time.Since(e.began))
		}
	}
}

// overdue says whether the whole list has been owed for longer than a node may take to be ready, by a service that all share.
func (w *Watcher) overdue(began time.Time) bool {
	return w.SharedService && time.Since(began) >= initialDeadline
}

// brought hands over what a watch brought, and waits until it has been dealt with.
func (w *Watcher) brought(ctx context.Context, n news) bool {
	select {
	case <-ctx.Done():
		return false
	case w.news <- n:
		<-n.from.told
		return true
	}
}

// next is a call for the whole list, or for what has changed since a version. While discovery is silent calls are short: one that
// it leaves unanswered when it is back must not keep its news from this node, which counts as told. Where answers were seen
// to take longer, a call is late later and waits less, so that one that hangs is noticed as soon as before.
func (w *Watcher) next(known, lost, busy bool, took time.Duration) *call {
	c := &call{whole: !known, began: time.Now()}
	switch {
	case busy:
		c.late = requestTimeout + w.HedgeDelay
	case !known:
		c.late = w.InitialHedgeDelay
	case lost:
		c.hold, c.late = min(w.LongPoll, probeLongPoll), w.HedgeDelay
	default:
		wait := min(w.LongPoll, probeLongPoll)
		c.late = max(w.HedgeDelay, min(took*5/4, w.LongPoll+w.HedgeDelay-wait))
		c.hold = w.LongPoll + w.HedgeDelay - c.late
	}
	return c
}

// begin sends a call out; how it ends comes by ends, unless the watch has ended.
func (w *Watcher) begin(watch context.Context, client *http.Client, c *call, limit time.Duration, addr string, version int64, ends chan<- ended) {
	var ctx context.Context
	ctx, c.cancel = context.WithTimeout(watch, c.hold+max(c.late, limit))
	url := "http://" + addr + path
	if !c.whole {
		url += since(version, c.hold)
	}
	go func() {
		got, err := w.call(ctx, client, url)
		switch {
		case err != nil || got.complete:
		case c.whole:
			err = malformedError{errors.New("changes where the whole list is due")}
		case got.version < version:
			err = malformedError{fmt.Errorf("changes up to version %d, asked for from %d on", got.version, version)}
		}
		select {
		case ends <- ended{c, got, err}:
		case <-watch.Done():
			c.cancel()
		}
	}()
}

func (w *Watcher) bring(n news) {
	switch {
	case n.err != nil:
		w.notify(node.EndpointsUpdated{Kind: policy.WatchFailed, Detail: n.err.Error()})
	case n.complete:
		w.notify(node.EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: n.endpoints})
	case len(n.endpoints) > 0:
		w.notify(node.EndpointsUpdated{Kind: policy.IncrementalUpdate, Endpoints: n.endpoints})
	}
}

// callKey is where a dial's context has that of its call.
type callKey struct{}

// client makes calls to one address. A dial ends with the call that it is for: net/http would let it go on, and where nothing
// answers, each call would leave a descriptor behind for as long as the system tries.
func (w *Watcher) client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(ctx.Value(callKey{}).(context.Context), cancel)()
			return w.dialer(ctx, network, addr)
		}}}
}

func (w *Watcher) call(ctx context.Context, client *http.Client, url string) (update, error) {
	ask, err := http.NewRequestWithContext(context.WithValue(ctx, callKey{}, ctx), http.MethodGet, url, nil)
	if err != nil {
		return update{}, err
	}
	answer, err := client.Do(ask)
	if err != nil {
		return update{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return update{}, err
	case answer.StatusCode == http.StatusServiceUnavailable, answer.StatusCode == http.StatusTooManyRequests:
		return update{}, rejectedError{fmt.Errorf("discovery answered %s", answer.Status)}
	case answer.StatusCode != http.StatusOK:
		return update{}, malformedError{fmt.Errorf("discovery answered %s", answer.Status)}
	case len(text) > maxResponseBytes:
		return update{}, malformedError{errors.New("discovery's answer is too long")}
	}
	return w.names.decode(text)
}

// rejectedError is a call that discovery turned away for now. It says nothing of the list: the version that is known still counts.
type rejectedError struct{ error }

// malformedError is an answer that makes no sense: after it the whole list is asked for anew.
type malformedError struct{ error }

// DecodeCached reads a copy of the list in discovery's form.
func (n Names) DecodeCached(text json.RawMessage) (CachedList, error) {
	if len(text) == 0 || string(text) == "null" {
		return CachedList{}, nil
	}
	got, err := n.decode(text)
	if err != nil {
		return CachedList{}, fmt.Errorf("known: %w", err)
	}
	return CachedList{Endpoints: got.endpoints, version: got.version, complete: got.complete}, nil
}
