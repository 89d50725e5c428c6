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
	told         = 6 * time.Second
	mostGrace    = 2 * time.Second // of a longer one no more is left
	mostHold     = 2 * time.Second
	shortHold    = 20 * time.Millisecond // the wait of a call that only asks whether discovery is back
	firstBackoff = 50 * time.Millisecond // after a call that brought nothing usable, doubled up to lastBackoff
	breath       = 20 * time.Millisecond // between calls that are answered at once; the page lets a watch go on for 200 ms
	longest      = 4 << 20               // bytes of an answer

	// By the operators' page a node is ready 10 s after its start with discovery down for 8 s of them, or slow: it may take
	// 1.5 s to answer. So a call is waited for so long, and while the whole list is owed calls begin so far apart at most.
	slowAnswer = 1500 * time.Millisecond
	readyIn    = 10 * time.Second
	patience   = 2 * time.Second
	owedEvery  = 400 * time.Millisecond
	owedAnswer = 300 * time.Millisecond // and so long after a call began the next may begin beside it
	hedgeEvery = 300 * time.Millisecond // calls that are waited for beside later ones begin so far apart at least

	// After that, where nodes ask: fewer calls, and longer ones. Guards against a service that is slow because of the calls that
	// were given up: it would stay so.
	overdueBackoff  = 2 * time.Second
	overduePatience = 3 * patience

	// Where nodes ask and the service turns calls away (503, 429): it is there, and has no room. Each refusal takes of the work that
	// it could do, so the backoff doubles from owedEvery to refusedBackoff; and a call that it has taken may stand in its queue
	// for patience, where another one beside it would only be refused. Guards against nodes that keep a service busy refusing.
	refusedBackoff = 2 * time.Second
	busyRefusals   = 2 // refusals in a row from which a service counts as busy: one alone may be a spoilt answer

	// Bounds of what is derived from the drain grace: an answer takes some time where the core is shared, and calls cost.
	leastAnswer, mostAnswer   = 100 * time.Millisecond, 500 * time.Millisecond
	leastBackoff, mostBackoff = firstBackoff, 800 * time.Millisecond
)

// Patience is how long calls may take, and how far apart they are, while discovery is silent.
type Patience struct {
	Seed uint64 // differs from node to node, so that many that begin at one moment don't go on calling at one moment

	hold        time.Duration // how long a call waits for news
	answer      time.Duration // beyond it: after that a call is late, and the next begins beside it
	owed        time.Duration // the same while the whole list is owed
	lastBackoff time.Duration
	shared      bool // all nodes ask one service
}

// PatienceFor fits it to the drain grace. Where lists are pushed, what discovery has when it is back counts as told at once,
// whoever asks: a call that hangs, the backoff after it and the next call together take no more than three quarters of the
// grace. Where nodes ask, calls load a service that all share, and the settings name another time.
//
// The wait for news is what 6 s less the grace leave beside the rest of the worst order: see sum.
func PatienceFor(drainGrace time.Duration, pushed bool) Patience {
	p := Patience{answer: mostAnswer, lastBackoff: mostBackoff, shared: !pushed}
	if pushed {
		part := drainGrace / 4
		p.answer, p.lastBackoff = min(max(part, leastAnswer), mostAnswer), min(max(part, leastBackoff), mostBackoff)
	}
	p.owed = min(p.answer, owedAnswer)
	p.hold = min(told-min(drainGrace, mostGrace)-p.sum(), mostHold)
	return p
}

// sum is the longest that a node goes without news which discovery has and could give, in the worst order of events: a watch
// falls silent as it begins, the next call fails late, and discovery takes its time for the one after.
func (p Patience) sum() time.Duration {
	first := p.hold + p.answer + firstBackoff
	second := shortHold + p.answer + min(2*firstBackoff, p.lastBackoff)
	if second < hedgeEvery {
		second += hedgeEvery // calls that begin sooner are not waited for
	}
	return first + second + shortHold + slowAnswer
}

// Names are the settings' names of zones and kinds, by number.
type Names struct {
	Zones, Kinds []string
	Start        time.Time // spans of the module count from here
}

// Watcher follows discovery, at one address after another.
type Watcher struct {
	Patience
	// Copy is the list as this node last had it. Where nodes ask, the first watch goes on from its version: a call for the whole
	// list would be one more for the service, and what it brings late, with no call open, would still count as told.
	Copy    Copy
	names   Names
	tell    func(node.Event)
	again   chan struct{}
	follow  chan string
	news    chan news
	dial    Dialer
	watches uint64
}

// Copy is a list as discovery told it once; it may be old.
type Copy struct {
	Executors []node.Endpoint

	version int64
	whole   bool // it says that it is whole, so that changes since its version make it the list of now
}

// with is the whole list that comes of it by what has changed since.
func (c Copy) with(changes update) update {
	all := update{version: changes.version, whole: true}
	changed := map[policy.ExecutorID]bool{}
	for _, e := range changes.executors {
		changed[e.Executor] = true
		if e.State != policy.Removed {
			all.executors = append(all.executors, e)
		}
	}
	for _, e := range c.Executors {
		if !changed[e.Executor] {
			all.executors = append(all.executors, e)
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
func New(names Names, patience Patience, dial Dialer, tell func(node.Event)) *Watcher {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &Watcher{Patience: patience, names: names, tell: tell,
		again: make(chan struct{}, 1), follow: make(chan string, 1), news: make(chan news), dial: dial}
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
	last := w.start(ctx, addr, w.Copy) // another address may count its versions otherwise
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
			last = w.start(ctx, addr, Copy{})
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
				w.tell(node.DiscoverySwitchPending{Addr: last.addr, Detail: n.err.Error()})
			}
			n.from.told <- struct{}{}
		}
	}
}

func (w *Watcher) start(ctx context.Context, addr string, from Copy) *watch {
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
func (w *Watcher) run(ctx context.Context, on *watch, from Copy, chance *rand.Rand) {
	client := w.client()
	defer client.CloseIdleConnections()
	var (
		version = from.version
		known   = from.whole && w.shared // the version counts
		first   = true                   // no list has come
		lost    = known                  // the last call brought nothing; or it is not known yet whether discovery is there
		refused int                      // calls that a service which all share turned away, in a row
		backoff = firstBackoff           // after the next one that brings nothing
		took    time.Duration            // what the last answer took beyond its call's wait

		out     []*call
		current *call // the one that is not late yet; nil between two
		hedged  time.Time
		began   = time.Now()
		ends    = make(chan ended)
		next    = time.NewTimer(time.Hour) // the current call is late, or the next one is due
	)
	begin := func() {
		busy := refused >= busyRefusals
		current = w.next(known, lost, busy, took)
		out = append(out, current)
		limit := patience
		if busy || !known && w.overdue(began) {
			limit = overduePatience
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
		if w.shared && errors.As(err, new(refusedError)) {
			refused++
		} else {
			refused = 0
		}
		switch {
		case refused > 0:
			pause = min(owedEvery<<min(refused-1, 8), refusedBackoff)
		case known:
		case w.overdue(began):
			pause = overdueBackoff
		default:
			pause = max(0, min(pause, owedEvery-time.Since(call)))
		}
		beginIn(pause/2 + time.Duration(chance.Float64()*float64(pause-pause/2)))
		backoff = min(2*backoff, w.lastBackoff)
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
			if late.began.Sub(hedged) >= hedgeEvery {
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
				var odd oddError
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
			if first && !e.update.whole {
				e.update = from.with(e.update)
			}
			first = false
			version, known, lost, backoff, refused = e.version, true, false, firstBackoff, 0
			if !w.brought(ctx, news{on, e.update, nil}) {
				return
			}
			beginIn(breath - time.Since(e.began))
		}
	}
}

// overdue says whether the whole list has been owed for longer than a node may take to be ready, by a service that all share.
func (w *Watcher) overdue(began time.Time) bool { return w.shared && time.Since(began) >= readyIn }

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
		c.late = patience + w.answer
	case !known:
		c.late = w.owed
	case lost:
		c.hold, c.late = min(w.hold, shortHold), w.answer
	default:
		wait := min(w.hold, shortHold)
		c.late = max(w.answer, min(took*5/4, w.hold+w.answer-wait))
		c.hold = w.hold + w.answer - c.late
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
		case err != nil || got.whole:
		case c.whole:
			err = oddError{errors.New("changes where the whole list is due")}
		case got.version < version:
			err = oddError{fmt.Errorf("changes up to version %d, asked for from %d on", got.version, version)}
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
		w.tell(node.EndpointsUpdated{Kind: policy.WatchFailed, Detail: n.err.Error()})
	case n.whole:
		w.tell(node.EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: n.executors})
	case len(n.executors) > 0:
		w.tell(node.EndpointsUpdated{Kind: policy.IncrementalUpdate, Endpoints: n.executors})
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
			return w.dial(ctx, network, addr)
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
	text, err := io.ReadAll(io.LimitReader(answer.Body, longest+1))
	switch {
	case err != nil:
		return update{}, err
	case answer.StatusCode == http.StatusServiceUnavailable, answer.StatusCode == http.StatusTooManyRequests:
		return update{}, refusedError{fmt.Errorf("discovery answered %s", answer.Status)}
	case answer.StatusCode != http.StatusOK:
		return update{}, oddError{fmt.Errorf("discovery answered %s", answer.Status)}
	case len(text) > longest:
		return update{}, oddError{errors.New("discovery's answer is too long")}
	}
	return w.names.decode(text)
}

// refusedError is a call that discovery turned away for now. It says nothing of the list: the version that is known still counts.
type refusedError struct{ error }

// oddError is an answer that makes no sense: after it the whole list is asked for anew.
type oddError struct{ error }

// Known reads a copy of the list in discovery's form.
func (n Names) Known(text json.RawMessage) (Copy, error) {
	if len(text) == 0 || string(text) == "null" {
		return Copy{}, nil
	}
	got, err := n.decode(text)
	if err != nil {
		return Copy{}, fmt.Errorf("known: %w", err)
	}
	return Copy{Executors: got.executors, version: got.version, whole: got.whole}, nil
}
