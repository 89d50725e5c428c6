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
const goroutineExitTime = 10 * time.Second

// wiredWorld plays a world with the nodes' network code, net/http's server and client among it, on connections in memory. Models and
// script are those of an event world; what passes between them is bytes. It reads the time by package time only: on a virtual clock
// (testing/synctest) it takes as long as its work, elsewhere as long as the world lasts.
type networkedSimulation struct {
	sim         *Simulation
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
func (sim *Simulation) PlayNetworked() Result {
	ns := &networkedSimulation{
		sim:              sim,
		start:            time.Now(),
		rescheduled:      make(chan struct{}, 1),
		done:             make(chan struct{}),
		requests:         map[policy.JobID]*clientRequest{},
		endpointsChanged: make(chan struct{}),
		zoneOfHost:       map[string]policy.ZoneID{},
		partitions:       make([]partition, len(sim.partitions)),
		unreachable:      map[string]bool{},
	}
	ns.net = memnet.New(sim.seed, ns.path)
	sim.networked = ns
	ns.serveDiscovery()
	ns.play()
	close(ns.done)
	ns.net.Shutdown()
	time.Sleep(goroutineExitTime)
	return sim.result
}

// play plays the world to its end and kills what still runs.
func (ns *networkedSimulation) play() {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	sim := ns.sim
	sim.build()
	for len(sim.result.Violations) < sim.maxViolations && ns.step() {
	}
	ns.flush()
	sim.advanceChecker()
	for _, n := range sim.nodes {
		if n.up {
			n.kill()
		}
	}
	sim.result.finish(sim)
	ns.ended = true
}

// step runs the next event, or waits for its time without the lock. It says false at the world's end.
func (ns *networkedSimulation) step() bool {
	sim := ns.sim
	end := sim.lastDeadline()
	next := end + 1
	if len(sim.events) > 0 {
		next = sim.events[0].at
	}
	if next > end || sim.worksInFlight == 0 && next > time.Duration(sim.scenario.Length)+settleTime {
		return false
	}
	if wait := next - time.Since(ns.start); wait > 0 {
		ns.mu.Unlock()
		ns.sleep(wait)
		ns.mu.Lock()
		return true
	}
	event := sim.events.pop()
	sim.now = max(event.at, time.Since(ns.start))
	sim.steps++
	event.run()
	return true
}

// sleep waits for a time, or until an event is scheduled.
func (ns *networkedSimulation) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	select {
	case <-timer.C:
	case <-ns.rescheduled:
		timer.Stop()
	}
}

// locked runs a function on the world at the present time, under the lock. After the world's end it does nothing.
func (ns *networkedSimulation) locked(run func()) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if ns.ended {
		return
	}
	ns.sim.now = max(ns.sim.now, time.Since(ns.start))
	run()
}

// eventScheduled wakes the player: the new event may be the next one.
func (ns *networkedSimulation) eventScheduled() {
	select {
	case ns.rescheduled <- struct{}{}:
	default:
	}
}

// buffer keeps an observation until its instant is over.
func (ns *networkedSimulation) buffer(observer string, s invariants.Event) {
	if len(ns.buffered) > 0 && ns.buffered[0].At != s.At {
		ns.flush()
	}
	ns.observations++
	ns.buffered = append(ns.buffered, bufferedObservation{observer, ns.observations, s})
}

// flush reports the observations of one instant in an order that does not depend on which goroutine was first.
func (ns *networkedSimulation) flush() {
	slices.SortStableFunc(ns.buffered, func(a, b bufferedObservation) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.order, b.order))
	})
	now := ns.sim.now
	for _, s := range ns.buffered {
		ns.sim.now = s.At
		ns.sim.report(s.Event)
	}
	ns.sim.now = now
	ns.buffered = ns.buffered[:0]
}
