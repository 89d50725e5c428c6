package harness

import (
	"syscall"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// onExecutors calls a function for each executor that a fault affects.
func (r *cluster) onExecutors(f emulator.Fault, apply func(*executor)) {
	for _, x := range r.executors {
		if f.Affects(string(x.ID), r.scenario.Fleet.Zones[x.Zone]) {
			apply(x)
		}
	}
}

// onNodes calls a function for each node that a fault affects.
func (r *cluster) onNodes(f emulator.Fault, apply func(*nodeProcess)) {
	for _, p := range r.nodes {
		if f.Affects(p.name, r.scenario.Fleet.Zones[p.zone]) {
			apply(p)
		}
	}
}

// excuseRequests excuses the requests in flight at a node that is killed or paused. If they are answered late or not at
// all, that is no fault of the node's program.
func (r *cluster) excuseRequests(p *nodeProcess) {
	for _, request := range r.requests {
		if request.node == p {
			request.excused = true
		}
	}
}

// wasPaused reports whether the node is paused or was paused until recently.
func (p *nodeProcess) wasPaused() bool { return p.paused || p.cluster.now() < p.pausedUntil }

// updateFault applies the combination of the executor's current faults.
func (x *executor) updateFault() {
	x.apply(x.SetFaults(x.cluster.now(), emulator.CombineFaults(x.faults)))
}

// endDownFault ends one of the faults that keep an executor down. After the last one, the executor restarts.
func (x *executor) endDownFault() {
	if x.downFaults--; x.downFaults <= 0 {
		x.downFaults = 0
		x.restart()
	}
}

// endDownFault ends one of the faults that keep a node down. After the last one, it starts the node's process again. If
// a graceful shutdown is still going on, it first waits for the end of the shutdown.
func (p *nodeProcess) endDownFault() {
	if p.downFaults--; p.downFaults > 0 {
		return
	}
	p.downFaults = 0
	if p.up { // the graceful shutdown is still going on: try again later
		p.downFaults = 1
		p.cluster.after(100*time.Millisecond, p.endDownFault)
		return
	}
	if err := p.start(); err != nil {
		p.cluster.fail("node %s does not start again: %v", p.name, err)
	}
}

// drain drains an executor that is up. Discovery gets the change at once and publishes it after its lag. The executor
// ends after three quarters of the fault's duration and restarts at the end of the fault.
func (r *cluster) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.downFaults > 0 {
		return
	}
	x.downFaults++
	incarnation := x.incarnation
	r.changeEndpoint(x.entry(policy.Draining))
	r.after(f.For*3/4, func() {
		if x.Up && x.incarnation == incarnation {
			x.crash()
			r.changeEndpoint(x.entry(policy.Removed))
		}
	})
	r.after(f.For, x.endDownFault)
}

// addFault adds a fault that makes the executor slow, unresponsive or fail attempts.
func (x *executor) addFault(f emulator.Fault) {
	x.faults = append(x.faults, f)
	x.updateFault()
}

// removeFault removes a fault that was added by addFault.
func (x *executor) removeFault(f emulator.Fault) {
	x.faults = emulator.RemoveFault(x.faults, f)
	x.updateFault()
}

// takeDown crashes the executor if it is up, and keeps it down until endDownFault.
func (x *executor) takeDown() {
	x.downFaults++
	if x.Up {
		x.crash()
		x.cluster.changeEndpoint(x.entry(policy.Removed))
	}
}

// takeDown kills the node's process if it is up, and keeps it down until endDownFault.
func (p *nodeProcess) takeDown() {
	p.downFaults++
	if p.up {
		p.recordKill()
		p.cmd.Process.Kill()
	}
}

// terminate asks the node's process to shut down gracefully, and keeps it down until endDownFault.
func (p *nodeProcess) terminate() {
	p.downFaults++
	p.terminatedAt = p.cluster.now()
	p.signal(syscall.SIGTERM)
}

// pause suspends the node's process by SIGSTOP.
func (p *nodeProcess) pause() {
	p.signal(syscall.SIGSTOP)
	p.paused = true
	p.cluster.observe(invariants.Event{Kind: invariants.NodePaused, Node: p.id})
	p.cluster.excuseRequests(p)
}

// resume lets the node's process continue. The node still counts as paused for a while, since it handles late what
// arrived during the pause.
func (p *nodeProcess) resume() {
	p.paused, p.pausedUntil = false, p.cluster.now()+2*timingTolerance
	p.cluster.observe(invariants.Event{Kind: invariants.NodeResumed, Node: p.id})
	p.cluster.excuseRequests(p)
	p.signal(syscall.SIGCONT)
}

// setDiscoveryUnreachable sets whether discovery leaves the node's watches unanswered.
func (p *nodeProcess) setDiscoveryUnreachable(unreachable bool) {
	p.discoveryUnreachable = unreachable
	p.cluster.checker.SetUnreachable(p.cluster.now(), p.id, unreachable)
}

// delayDiscovery delays endpoint updates beyond the scenario's discovery lag. Nodes need not know of changes until the
// delay has passed.
func (r *cluster) delayDiscovery(delay time.Duration) {
	r.discovery.SetDelay(delay)
	r.checker.UnreachableUntil(invariants.NoNode, r.now()+time.Duration(r.scenario.Fleet.DiscoveryLag)+delay)
}

// setBurst multiplies the usual rate at which all clients submit work by a factor; 0 ends the burst.
func (r *cluster) setBurst(factor float64) {
	for _, c := range r.clients {
		c.Burst = factor
	}
}

// setTail sets the tail of the distribution from which all clients draw the work of a request.
func (r *cluster) setTail(tail emulator.Tail) {
	for _, c := range r.clients {
		c.Tail = tail
	}
}
