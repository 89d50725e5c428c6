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

// shutdownWait is how long a wired world waits at its end for goroutines to find that it is over.
const shutdownWait = 10 * time.Second

// wiredWorld plays a world with the nodes' network code, net/http's server and client among it, on connections in memory. Models and
// script are those of an event world; what passes between them is bytes. It reads the time by package time only: on a virtual clock
// (testing/synctest) it takes as long as its work, elsewhere as long as the world lasts.
type wiredWorld struct {
	world       *Simulation
	net         *memnet.Net
	start       time.Time
	rescheduled chan struct{} // the next event may be another one now
	done        chan struct{} // closed at the world's end

	mu               sync.Mutex // guards the world and the fields below; taken before the network's lock
	ended            bool       // the world is over: whatever still goes on does not count
	requests         map[policy.JobID]*clientRequest
	endpointsChanged chan struct{}         // closed when discovery may have an update
	buffered         []bufferedObservation // of this instant, not sorted
	observations     int

	pathMu      sync.Mutex // guards the fields below; taken after all other locks
	zoneOfHost  map[string]policy.ZoneID
	partitions  []partition
	unreachable map[string]bool
}

// bufferedObservation is an observation and its observer: those of one instant are sorted by observer.
type bufferedObservation struct {
	observer string
	order    int
	invariants.Event
}

// PlayWired plays the world on connections in memory, in a testing/synctest bubble.
func (w *Simulation) PlayNetworked() Result {
	v := &wiredWorld{
		world:            w,
		start:            time.Now(),
		rescheduled:      make(chan struct{}, 1),
		done:             make(chan struct{}),
		requests:         map[policy.JobID]*clientRequest{},
		endpointsChanged: make(chan struct{}),
		zoneOfHost:       map[string]policy.ZoneID{},
		partitions:       make([]partition, len(w.partitions)),
		unreachable:      map[string]bool{},
	}
	v.net = memnet.New(w.seed, v.path)
	w.wired = v
	v.serveDiscovery()
	v.play()
	close(v.done)
	v.net.Shutdown()
	time.Sleep(shutdownWait)
	return w.result
}

// play plays the world to its end and kills what still runs.
func (v *wiredWorld) play() {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.world
	w.build()
	for len(w.result.Violations) < w.maxViolations && v.step() {
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
}

// step runs the next event, or waits for its time without the lock. It says false at the world's end.
func (v *wiredWorld) step() bool {
	w := v.world
	end := w.lastDeadline()
	next := end + 1
	if len(w.events) > 0 {
		next = w.events[0].at
	}
	if next > end || w.openWorks == 0 && next > time.Duration(w.scenario.Length)+settleTime {
		return false
	}
	if wait := next - time.Since(v.start); wait > 0 {
		v.mu.Unlock()
		v.sleep(wait)
		v.mu.Lock()
		return true
	}
	event := w.events.pop()
	w.now = max(event.at, time.Since(v.start))
	w.steps++
	event.run()
	return true
}

// sleep waits for a time, or until an event is scheduled.
func (v *wiredWorld) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	select {
	case <-timer.C:
	case <-v.rescheduled:
		timer.Stop()
	}
}

// locked runs a function on the world at the present time, under the lock. After the world's end it does nothing.
func (v *wiredWorld) locked(run func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return
	}
	v.world.now = max(v.world.now, time.Since(v.start))
	run()
}

// eventScheduled wakes the player: the new event may be the next one.
func (v *wiredWorld) eventScheduled() {
	select {
	case v.rescheduled <- struct{}{}:
	default:
	}
}

// buffer keeps an observation until its instant is over.
func (v *wiredWorld) buffer(observer string, s invariants.Event) {
	if len(v.buffered) > 0 && v.buffered[0].At != s.At {
		v.flush()
	}
	v.observations++
	v.buffered = append(v.buffered, bufferedObservation{observer, v.observations, s})
}

// flush reports the observations of one instant in an order that does not depend on which goroutine was first.
func (v *wiredWorld) flush() {
	slices.SortStableFunc(v.buffered, func(a, b bufferedObservation) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.order, b.order))
	})
	now := v.world.now
	for _, s := range v.buffered {
		v.world.now = s.At
		v.world.report(s.Event)
	}
	v.world.now = now
	v.buffered = v.buffered[:0]
}
