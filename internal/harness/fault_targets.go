package harness

import (
	"syscall"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/policy"
)

// onExecutors calls a function for each executor that a fault is on.
func (r *cluster) onExecutors(f emulator.Fault, what func(*executor)) {
	for _, x := range r.executors {
		if f.Affects(string(x.ID), r.scenario.Fleet.Zones[x.Zone]) {
			what(x)
		}
	}
}

// onNodes calls a function for each node that a fault is on.
func (r *cluster) onNodes(f emulator.Fault, what func(*nodeProcess)) {
	for _, p := range r.nodes {
		if f.Affects(p.name, r.scenario.Fleet.Zones[p.zone]) {
			what(p)
		}
	}
}

// excuseRequests excuses the open requests of a node that is down or paused: they may be late or lost by no fault of the node.
func (r *cluster) excuseRequests(p *nodeProcess) {
	for _, t := range r.requests {
		if t.node == p {
			t.excused = true
		}
	}
}

// wasPaused reports whether the node is paused or was shortly before.
func (p *nodeProcess) wasPaused() bool { return p.paused || p.cluster.now() < p.pausedUntil }

// updateFault applies the sum of the executor's faults.
func (x *executor) updateFault() {
	x.apply(x.SetFaults(x.cluster.now(), emulator.CombineFaults(x.faults)))
}

// endDownFault ends one fault that keeps an executor down.
func (x *executor) endDownFault() {
	if x.downFaults--; x.downFaults <= 0 {
		x.downFaults = 0
		x.restart()
	}
}

// endDownFault ends one fault that keeps a node down.
func (p *nodeProcess) endDownFault() {
	if p.downFaults--; p.downFaults > 0 {
		return
	}
	p.downFaults = 0
	if p.up { // its shutdown is not over
		p.downFaults = 1
		p.cluster.after(100*time.Millisecond, p.endDownFault)
		return
	}
	if err := p.start(); err != nil {
		p.cluster.fail("node %s does not start again: %v", p.name, err)
	}
}

// drain drains an executor: discovery publishes it at once, the process ends after three quarters of the fault, and restarts at its end.
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

// addFault adds a fault that changes how the executor runs.
func (x *executor) addFault(f emulator.Fault) {
	x.faults = append(x.faults, f)
	x.updateFault()
}

// removeFault removes a fault that changes how the executor runs.
func (x *executor) removeFault(f emulator.Fault) {
	x.faults = emulator.RemoveFault(x.faults, f)
	x.updateFault()
}

// takeDown crashes the executor, if it is up, until endDownFault.
func (x *executor) takeDown() {
	x.downFaults++
	if x.Up {
		x.crash()
		x.cluster.changeEndpoint(x.entry(policy.Removed))
	}
}

// takeDown kills the node, if it is up, until endDownFault.
func (p *nodeProcess) takeDown() {
	p.downFaults++
	if p.up {
		p.recordEnd()
		p.cmd.Process.Kill()
	}
}

// terminate shuts the node down gracefully until endDownFault.
func (p *nodeProcess) terminate() {
	p.downFaults++
	p.terminatedAt = p.cluster.now()
	p.signal(syscall.SIGTERM)
}

// pause stops the process of the node.
func (p *nodeProcess) pause() {
	p.signal(syscall.SIGSTOP)
	p.paused = true
	p.cluster.observe(invariants.Event{Kind: invariants.NodePaused, Node: p.id})
	p.cluster.excuseRequests(p)
}

// resume lets the process of the node go on. For a while after it, the node still counts as paused.
func (p *nodeProcess) resume() {
	p.paused, p.pausedUntil = false, p.cluster.now()+2*slack
	p.cluster.observe(invariants.Event{Kind: invariants.NodeResumed, Node: p.id})
	p.cluster.excuseRequests(p)
	p.signal(syscall.SIGCONT)
}

// setDiscoveryUnreachable sets whether the node cannot reach discovery.
func (p *nodeProcess) setDiscoveryUnreachable(unreachable bool) {
	p.discoveryUnreachable = unreachable
	p.cluster.checker.SetUnreachable(p.cluster.now(), p.id, unreachable)
}

// delayDiscovery delays updates beyond the usual lag. Nodes are excused until the delay has passed.
func (r *cluster) delayDiscovery(delay time.Duration) {
	r.discovery.SetDelay(delay)
	r.checker.UnreachableUntil(invariants.NoNode, r.now()+time.Duration(r.scenario.Fleet.DiscoveryLag)+delay)
}

func (r *cluster) setBurst(factor float64) {
	for _, c := range r.clients {
		c.Burst = factor
	}
}

func (r *cluster) setTail(tail emulator.Tail) {
	for _, c := range r.clients {
		c.Tail = tail
	}
}
