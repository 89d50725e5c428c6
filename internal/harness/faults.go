package harness

import (
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
)

// supportedFaults are the kinds of faults that the harness can play. Draw picks from them by index. Their order must
// stay, or a seed would give another scenario.
var supportedFaults = []emulator.FaultKind{emulator.SlowExecutors, emulator.Errors, emulator.Unresponsive, emulator.Crash, emulator.Drain, emulator.DiscoveryDelayed, emulator.DiscoveryStopped, emulator.DiscoveryUnreachable,
	emulator.NodeKilled, emulator.NodeRestart, emulator.NodePaused, emulator.GossipPartitioned, emulator.GossipLost, emulator.Burst, emulator.HeavyTail}

// CheckScenario returns an error if the harness cannot play a scenario. The error names the field of the scenario that
// is the reason.
func CheckScenario(s simulation.Scenario) error {
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
	case s.Load.Utilization == 0 || s.Load.Loops > 0:
		return fmt.Errorf("load.of: real processes are played with an open load, without loops")
	}
	return nil
}

// schedule schedules the begin and the end of a fault. A fault without a duration does not end. It is called with r.mu
// held.
func (r *cluster) schedule(f emulator.Fault) {
	r.after(loadDelay+f.At, func() {
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

// beginFault begins a fault. It is called with r.mu held.
func (r *cluster) beginFault(f emulator.Fault) {
	switch f.Kind {
	case emulator.SlowExecutors, emulator.Errors, emulator.Unresponsive:
		r.onExecutors(f, func(x *executor) { x.addFault(f) })
	case emulator.Crash:
		r.onExecutors(f, (*executor).takeDown)
	case emulator.Drain:
		r.onExecutors(f, func(x *executor) { r.drain(x, f) })
	case emulator.DiscoveryDelayed:
		r.delayDiscovery(seconds(f.Size))
	case emulator.DiscoveryStopped:
		r.discovery.SetStopped(true)
		r.checker.SetUnreachable(r.now(), invariants.NoNode, true)
	case emulator.DiscoveryUnreachable:
		r.onNodes(f, func(p *nodeProcess) { p.setDiscoveryUnreachable(true) })
	case emulator.NodeKilled:
		r.onNodes(f, (*nodeProcess).takeDown)
	case emulator.NodeRestart:
		r.onNodes(f, (*nodeProcess).terminate)
	case emulator.NodePaused:
		r.onNodes(f, (*nodeProcess).pause)
	case emulator.GossipPartitioned:
		r.onNodes(f, func(p *nodeProcess) { p.partitioned = true })
	case emulator.GossipLost:
		r.gossipLost = f.Size
	case emulator.Burst:
		r.setBurst(f.Size)
	case emulator.HeavyTail:
		r.setTail(emulator.TailOf(f.Size))
	}
}

// endFault ends a fault. It is called with r.mu held.
func (r *cluster) endFault(f emulator.Fault) {
	switch f.Kind {
	case emulator.SlowExecutors, emulator.Errors, emulator.Unresponsive:
		r.onExecutors(f, func(x *executor) { x.removeFault(f) })
	case emulator.Crash:
		r.onExecutors(f, (*executor).endDownFault)
	case emulator.DiscoveryDelayed:
		r.discovery.SetDelay(0)
		r.wakeWatches()
	case emulator.DiscoveryStopped:
		r.discovery.SetStopped(false)
		r.checker.SetUnreachable(r.now(), invariants.NoNode, false)
		r.wakeWatches()
	case emulator.DiscoveryUnreachable:
		r.onNodes(f, func(p *nodeProcess) { p.setDiscoveryUnreachable(false) })
		r.wakeWatches()
	case emulator.NodeKilled, emulator.NodeRestart:
		r.onNodes(f, (*nodeProcess).endDownFault)
	case emulator.NodePaused:
		r.onNodes(f, (*nodeProcess).resume)
	case emulator.GossipPartitioned:
		r.onNodes(f, func(p *nodeProcess) { p.partitioned = false })
	case emulator.GossipLost:
		r.gossipLost = r.scenario.Fleet.MessageLoss
	case emulator.Burst:
		r.setBurst(0)
	case emulator.HeavyTail:
		r.setTail(emulator.Tail{})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
