package harness

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/policy"
)

// supportedFaults are the kinds of fault that the rig can do.
var supportedFaults = []emulator.Kind{emulator.Slow, emulator.Errors, emulator.Mute, emulator.Crash, emulator.DrainOff, emulator.ListLate, emulator.ListLost, emulator.ListCut,
	emulator.NodeKilled, emulator.NodeRestart, emulator.NodeStopped, emulator.NodesApart, emulator.WordsLost, emulator.Burst, emulator.HeavyTail}

// Fits says what of a scenario the rig can't play.
func Fits(s simulation.Scenario) error {
	for i, f := range s.Faults {
		if !slices.Contains(supportedFaults, f.Kind) {
			return fmt.Errorf("fault[%d].kind: %q is not played with real processes, only %v", i, f.Kind, supportedFaults)
		}
	}
	switch {
	case s.Fleet.Nodes > 60:
		return fmt.Errorf("fleet.nodes: %d is over 60 real processes", s.Fleet.Nodes)
	case s.Fleet.Nodes*s.Fleet.Executors > 6000:
		return fmt.Errorf("fleet.executors: over 6000 ways from %d nodes to %d executors", s.Fleet.Nodes, s.Fleet.Executors)
	case s.Load.Of == 0 || s.Load.Loops > 0:
		return fmt.Errorf("load.of: real processes are played with an open load, without loops")
	}
	return nil
}

// schedule puts a fault on the clock.
func (r *cluster) schedule(f emulator.Fault) {
	r.after(warmUp+f.At, func() {
		r.note("FAULT: %s for %v, %.3g, at %v", f.Kind, f.For, f.Size, f.Where)
		r.beginFault(f)
		if f.For > 0 {
			r.after(f.For, func() {
				r.note("FAULT over: %s at %v", f.Kind, f.Where)
				r.endFault(f)
			})
		}
	})
}

func (r *cluster) onExecutors(f emulator.Fault, what func(*executor)) {
	for _, x := range r.executors {
		if f.Touches(string(x.ID), r.scenario.Fleet.Zones[x.Zone]) {
			what(x)
		}
	}
}

func (r *cluster) onNodes(f emulator.Fault, what func(*nodeProcess)) {
	for _, p := range r.nodes {
		if f.Touches(p.name, r.scenario.Fleet.Zones[p.zone]) {
			what(p)
		}
	}
}

func (r *cluster) beginFault(f emulator.Fault) {
	switch f.Kind {
	case emulator.Slow, emulator.Errors, emulator.Mute:
		r.onExecutors(f, func(x *executor) {
			x.faults = append(x.faults, f)
			x.updateFault()
		})
	case emulator.Crash:
		r.onExecutors(f, func(x *executor) {
			if x.downFaults++; x.Up {
				x.crash()
				r.changeEndpoint(x.entry(policy.Removed))
			}
		})
	case emulator.DrainOff:
		r.onExecutors(f, func(x *executor) { r.drain(x, f) })
	case emulator.ListLate:
		r.discovery.Late(time.Duration(f.Size * 1e9))
		r.checker.Apart(invariants.Nobody, r.now()+time.Duration(r.scenario.Fleet.ListLag)+time.Duration(f.Size*1e9))
	case emulator.ListLost:
		r.discovery.Silence(true)
		r.checker.Cut(r.now(), invariants.Nobody, true)
	case emulator.ListCut:
		r.onNodes(f, func(p *nodeProcess) { p.cutFromDiscovery = true; r.checker.Cut(r.now(), p.id, true) })
	case emulator.NodeKilled:
		r.onNodes(f, func(p *nodeProcess) {
			if p.downFaults++; p.up {
				p.recordEnd()
				p.cmd.Process.Kill()
			}
		})
	case emulator.NodeRestart:
		r.onNodes(f, func(p *nodeProcess) {
			p.downFaults++
			p.terminatedAt = r.now()
			p.signal(syscall.SIGTERM)
		})
	case emulator.NodeStopped:
		r.onNodes(f, func(p *nodeProcess) {
			p.signal(syscall.SIGSTOP)
			p.paused = true
			r.observe(invariants.Seen{What: invariants.StoodStill, Node: p.id})
			r.excuseRequests(p)
		})
	case emulator.NodesApart:
		r.onNodes(f, func(p *nodeProcess) { p.partitioned = true })
	case emulator.WordsLost:
		r.gossipLost = f.Size
	case emulator.Burst:
		for _, c := range r.clients {
			c.Burst = f.Size
		}
	case emulator.HeavyTail:
		for _, c := range r.clients {
			c.Tail = emulator.TailOf(f.Size)
		}
	}
}

func (r *cluster) endFault(f emulator.Fault) {
	switch f.Kind {
	case emulator.Slow, emulator.Errors, emulator.Mute:
		r.onExecutors(f, func(x *executor) {
			x.faults = emulator.Without(x.faults, f)
			x.updateFault()
		})
	case emulator.Crash:
		r.onExecutors(f, func(x *executor) { x.endDownFault() })
	case emulator.ListLate:
		r.discovery.Late(0)
		r.wakeWatches()
	case emulator.ListLost:
		r.discovery.Silence(false)
		r.checker.Cut(r.now(), invariants.Nobody, false)
		r.wakeWatches()
	case emulator.ListCut:
		r.onNodes(f, func(p *nodeProcess) { p.cutFromDiscovery = false; r.checker.Cut(r.now(), p.id, false) })
		r.wakeWatches()
	case emulator.NodeKilled, emulator.NodeRestart:
		r.onNodes(f, func(p *nodeProcess) { p.endDownFault() })
	case emulator.NodeStopped:
		r.onNodes(f, func(p *nodeProcess) {
			p.paused, p.pausedUntil = false, r.now()+2*slack
			r.observe(invariants.Seen{What: invariants.WentOn, Node: p.id})
			r.excuseRequests(p)
			p.signal(syscall.SIGCONT)
		})
	case emulator.NodesApart:
		r.onNodes(f, func(p *nodeProcess) { p.partitioned = false })
	case emulator.WordsLost:
		r.gossipLost = r.scenario.Fleet.WordsLost
	case emulator.Burst:
		for _, c := range r.clients {
			c.Burst = 0
		}
	case emulator.HeavyTail:
		for _, c := range r.clients {
			c.Tail = emulator.Tail{}
		}
	}
}

// excuseRequests: what a node that is gone or stands still has in hand is late or lost by no doing of its own.
func (r *cluster) excuseRequests(p *nodeProcess) {
	for _, t := range r.requests {
		if t.node == p {
			t.excused = true
		}
	}
}

// wasPaused says whether a node stands still or did just now.
func (p *nodeProcess) wasPaused() bool { return p.paused || p.cluster.now() < p.pausedUntil }

func (x *executor) updateFault() { x.apply(x.Suffer(x.cluster.now(), emulator.Together(x.faults))) }

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
	if p.up { // it is still on its way out
		p.downFaults = 1
		p.cluster.after(100*time.Millisecond, p.endDownFault)
		return
	}
	if err := p.start(); err != nil {
		p.cluster.fail("node %s does not start again: %v", p.name, err)
	}
}

// drain: the list says so first; later the executor takes nothing new, ends, and starts again cold when the fault is over.
func (r *cluster) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.downFaults > 0 {
		return
	}
	x.downFaults++
	lives := x.incarnation
	r.changeEndpoint(x.entry(policy.Draining))
	r.after(f.For*3/4, func() {
		if x.Up && x.incarnation == lives {
			x.crash()
			r.changeEndpoint(x.entry(policy.Removed))
		}
	})
	r.after(f.For, x.endDownFault)
}
