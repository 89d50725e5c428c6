// Package list follows discovery: the whole list once, then a watch that is renewed at once each time.
package list

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	// By the operators' page what a watch that has fallen silent misses counts as told 6 s after that: one that hangs is
	// noticed soon after its wait, which is well within it.
	hold       = 2 * time.Second
	shortHold  = 20 * time.Millisecond // the wait of a call that only asks whether discovery is back
	firstSpell = 50 * time.Millisecond // after a call that brought nothing usable, doubled up to lastSpell
	breath     = 20 * time.Millisecond // between calls that are answered at once; the page lets a watch go on for 200 ms
	longest    = 4 << 20               // bytes of an answer

	// Bounds of what is derived from the drain grace: an answer takes some time where the core is shared, and calls cost.
	leastAnswer, mostAnswer = 100 * time.Millisecond, 500 * time.Millisecond
	leastSpell, mostSpell   = firstSpell, 800 * time.Millisecond
)

// Patience is how long calls may take, and how far apart they are, while discovery is silent.
type Patience struct {
	answer    time.Duration // beyond a call's own wait
	lastSpell time.Duration
}

// PatienceFor fits it to the drain grace. Where lists are pushed, what discovery has when it is back counts as told at once,
// whoever asks: a call that hangs, the spell after it and the next call together take no more than three quarters of the
// grace. Where nodes ask, calls load a service that all share, and the settings name another time.
func PatienceFor(drainGrace time.Duration, pushed bool) Patience {
	if !pushed {
		return Patience{mostAnswer, mostSpell}
	}
	part := drainGrace / 4
	return Patience{min(max(part, leastAnswer), mostAnswer), min(max(part, leastSpell), mostSpell)}
}

// Names are the settings' names of zones and kinds, by number.
type Names struct {
	Zones, Kinds []string
	Start        time.Time // spans of the module count from here
}

// Watcher follows discovery, at one address after another.
type Watcher struct {
	hold time.Duration
	Patience
	names  Names
	tell   func(node.Event)
	again  chan struct{}
	follow chan string
	news   chan news
	http   http.Client
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
	return &Watcher{hold: hold, Patience: patience, names: names, tell: tell,
		again: make(chan struct{}, 1), follow: make(chan string, 1), news: make(chan news),
		http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: dial}}}
}

// Watch cuts a spell between two calls short.
func (w *Watcher) Watch() {
	select {
	case w.again <- struct{}{}:
	default:
	}
}

// Follow goes on at another address. It is called by one goroutine only and never waits.
func (w *Watcher) Follow(addr string) {
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
	last := w.start(ctx, addr)
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
			last = w.start(ctx, addr)
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
				w.tell(node.NotFollowed{Addr: last.addr, Detail: n.err.Error()})
			}
			n.from.told <- struct{}{}
		}
	}
}

func (w *Watcher) start(ctx context.Context, addr string) *watch {
	ctx, stop := context.WithCancel(ctx)
	from := &watch{addr: addr, stop: stop, told: make(chan struct{}, 1)}
	go w.run(ctx, from)
	return from
}

// run watches one address. After each answer the next watch begins soon, so that it is one watch to discovery,
// and not so soon that one whose calls don't wait would take all of the core. After a call that brought nothing
// usable it begins again with a spell in between.
func (w *Watcher) run(ctx context.Context, from *watch) {
	url := "http://" + from.addr + path
	version, known, lost, spell := int64(0), false, false, firstSpell
	for {
		began := time.Now()
		got, err := w.next(ctx, url, version, known, lost)
		lost = err != nil
		select {
		case <-ctx.Done():
			return
		case w.news <- news{from, got, err}:
			<-from.told
		}
		if err == nil {
			version, known, spell = got.version, true, firstSpell
			w.pause(ctx, breath-time.Since(began))
			continue
		}
		var odd oddError
		known = known && !errors.As(err, &odd)
		w.pause(ctx, spell)
		spell = min(2*spell, w.lastSpell)
	}
}

// pause waits, unless the list is asked for before that.
func (w *Watcher) pause(ctx context.Context, spell time.Duration) {
	if spell <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.again:
	case <-time.After(spell):
	}
}

// next asks for the whole list, or for what has changed since a version. While discovery is silent calls are short: one that
// it leaves unanswered when it is back must not keep its news from this node, which counts as told.
func (w *Watcher) next(ctx context.Context, url string, version int64, known, lost bool) (update, error) {
	if known {
		wait := w.hold
		if lost {
			wait = min(wait, shortHold)
		}
		return w.call(ctx, url+since(version, wait), wait+w.answer)
	}
	got, err := w.call(ctx, url, w.answer)
	if err == nil && !got.whole {
		err = oddError{errors.New("changes where the whole list is due")}
	}
	return got, err
}

func (w *Watcher) bring(n news) {
	switch {
	case n.err != nil:
		w.tell(node.Listed{Kind: policy.Lost, Detail: n.err.Error()})
	case n.whole:
		w.tell(node.Listed{Kind: policy.Whole, Executors: n.executors})
	case len(n.executors) > 0:
		w.tell(node.Listed{Kind: policy.Changes, Executors: n.executors})
	}
}

func (w *Watcher) call(ctx context.Context, url string, limit time.Duration) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return update{}, err
	}
	answer, err := w.http.Do(ask)
	if err != nil {
		return update{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, longest+1))
	switch {
	case err != nil:
		return update{}, err
	case answer.StatusCode != http.StatusOK:
		return update{}, oddError{fmt.Errorf("discovery answered %s", answer.Status)}
	case len(text) > longest:
		return update{}, oddError{errors.New("discovery's answer is too long")}
	}
	return w.names.decode(text)
}

// oddError is an answer that makes no sense: after it the whole list is asked for anew.
type oddError struct{ error }

// Known reads a copy of the list in discovery's form.
func (n Names) Known(text json.RawMessage) ([]node.Executor, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	got, err := n.decode(text)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return got.executors, nil
}
