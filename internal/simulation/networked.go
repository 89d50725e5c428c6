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

// goroutineExitTime is the time that goroutines have to exit after the simulation has ended.
const goroutineExitTime = 10 * time.Second

// networkedSimulation runs a simulation with the nodes' real network code, including net/http's server and client, over
// in-memory connections. Executors, discovery, clients and faults are the same models as in Play, but they exchange
// bytes with the nodes. The simulation uses the clock of package time. With the virtual clock of testing/synctest, it
// takes only its computing time. With a real clock, it takes the whole simulated time.
type networkedSimulation struct {
	sim         *Simulation
	net         *memnet.Net
	start       time.Time
	rescheduled chan struct{} // wakes sleep when an event was scheduled, because that event can be the next one
	done        chan struct{} // closed when the simulation ends

	mu               sync.Mutex // guards sim and the fields below; acquired before the lock of net
	ended            bool       // the simulation has ended; later events are ignored
	requests         map[policy.JobID]*clientRequest
	endpointsChanged chan struct{}         // closed when discovery can have an update, and then replaced by a new channel
	buffered         []bufferedObservation // events at the current instant, not sorted yet
	observations     int

	pathMu      sync.Mutex // guards the fields below; acquired after all other locks
	zoneOfHost  map[string]policy.ZoneID
	partitions  []partition
	unreachable map[string]bool
}

// bufferedObservation is an event with its sort keys. Events at the same instant are sorted by observer, and then by
// order.
type bufferedObservation struct {
	observer string
	order    int
	invariants.Event
}

// PlayNetworked runs the simulation with the nodes' network code over in-memory connections. Callers should call it in
// a testing/synctest bubble; outside a bubble it takes as long as the simulated time. It must not be called more than
// once.
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

// play runs the simulation to its end and kills the nodes that still run.
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

// step runs the next event if its time has come. Otherwise it releases the lock and waits until then, or until another
// event is scheduled. It returns false at the end of the simulation.
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

// sleep waits for the given time, or until an event is scheduled.
func (ns *networkedSimulation) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	select {
	case <-timer.C:
	case <-ns.rescheduled:
		timer.Stop()
	}
}

// locked sets the simulation's clock to the present time and runs a function, both with the lock held. It does nothing
// once the simulation has ended.
func (ns *networkedSimulation) locked(run func()) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if ns.ended {
		return
	}
	ns.sim.now = max(ns.sim.now, time.Since(ns.start))
	run()
}

// eventScheduled wakes sleep, because the event that was just scheduled can be the next one.
func (ns *networkedSimulation) eventScheduled() {
	select {
	case ns.rescheduled <- struct{}{}:
	default:
	}
}

// buffer keeps an event until the first later event arrives or the simulation ends. Then flush sorts and reports it.
func (ns *networkedSimulation) buffer(observer string, s invariants.Event) {
	if len(ns.buffered) > 0 && ns.buffered[0].At != s.At {
		ns.flush()
	}
	ns.observations++
	ns.buffered = append(ns.buffered, bufferedObservation{observer, ns.observations, s})
}

// flush reports the buffered events, which are all at the same instant. Their order does not depend on the scheduling
// of goroutines.
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
