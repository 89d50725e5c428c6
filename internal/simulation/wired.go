package simulation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"birchstair/internal/invariants"
	"birchstair/internal/memnet"
	"birchstair/policy"
)

// wiredWorld plays a world with the nodes' network code, net/http's server and client among it, on connections in memory.
// Models and script are the same as without; what goes between them are bytes. It reads time by package time only: on a
// virtual clock (testing/synctest) it takes as long as its work, elsewhere as long as the world is.
type wiredWorld struct {
	world       *World
	net         *memnet.Net
	start       time.Time
	rescheduled chan struct{} // the script has something new
	done        chan struct{}

	mu               sync.Mutex // guards the world; the network's lock comes after it
	ended            bool       // the world is over: nothing that still goes on counts
	requests         map[policy.JobID]*clientRequest
	endpointsChanged chan struct{}         // closed when discovery may have something new
	buffered         []bufferedObservation // what was seen at this instant, in no order yet
	observations     int

	pathMu      sync.Mutex // guards what lies between hosts; it comes after all others
	zoneOfHost  map[string]policy.ZoneID
	partitions  []partition
	unreachable map[string]bool
}

// bufferedObservation is a thing seen, and by whom: what several see at one instant is put in the order of their names.
type bufferedObservation struct {
	observer string
	order    int
	invariants.Seen
}

// PlayWired plays the world on connections in memory.
func (w *World) PlayWired() Result {
	v := &wiredWorld{world: w, start: time.Now(), rescheduled: make(chan struct{}, 1), done: make(chan struct{}), requests: map[policy.JobID]*clientRequest{},
		endpointsChanged: make(chan struct{}), zoneOfHost: map[string]policy.ZoneID{}, partitions: make([]partition, len(w.partitions)), unreachable: map[string]bool{}}
	v.net = memnet.New(w.seed, v.path)
	w.wired = v
	v.serveDiscovery()
	v.mu.Lock()
	w.build()
	length, end := time.Duration(w.scenario.Length), w.lastDeadline()
	for len(w.result.Broken) < w.maxViolations {
		next := end + 1
		if len(w.events) > 0 {
			next = w.events[0].at
		}
		if next > end || w.openWorks == 0 && next > length+settleTime {
			break
		}
		if wait := next - time.Since(v.start); wait > 0 {
			v.mu.Unlock()
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-v.rescheduled:
				t.Stop()
			}
			v.mu.Lock()
			continue
		}
		it := w.events.pop()
		w.now = max(it.at, time.Since(v.start))
		w.steps++
		it.run()
	}
	v.flush()
	w.advanceChecker()
	for _, n := range w.nodes {
		if n.up {
			n.kill()
		}
	}
	w.result.finish(w)
	v.ended = true
	v.mu.Unlock()
	close(v.done)
	v.net.Shut()
	time.Sleep(10 * time.Second) // whoever waits for something finds that it is over
	return w.result
}

// update does something to the world at this time.
func (v *wiredWorld) update(what func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return
	}
	v.world.now = max(v.world.now, time.Since(v.start))
	what()
}

// eventScheduled tells the script's player that something is to happen sooner than it waits for.
func (v *wiredWorld) eventScheduled() {
	select {
	case v.rescheduled <- struct{}{}:
	default:
	}
}

// buffer keeps what is seen until its instant is over.
func (v *wiredWorld) buffer(by string, s invariants.Seen) {
	if len(v.buffered) > 0 && v.buffered[0].At != s.At {
		v.flush()
	}
	v.observations++
	v.buffered = append(v.buffered, bufferedObservation{by, v.observations, s})
}

// flush hands on what was seen at one instant, in an order that does not hang on who came first.
func (v *wiredWorld) flush() {
	slices.SortStableFunc(v.buffered, func(a, b bufferedObservation) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.order, b.order))
	})
	now := v.world.now
	for _, s := range v.buffered {
		v.world.now = s.At
		v.world.report(s.Seen)
	}
	v.world.now = now
	v.buffered = v.buffered[:0]
}
