package simulation

import (
	"fmt"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/node"
	"birchstair/policy"
)

// vanishDetection is the time from the loss of an executor's machine until discovery removes the executor.
const vanishDetection = 2 * time.Second

// beginFault begins a fault on the executor.
func (x *executor) beginFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.Crash, emulator.AddressChanged, emulator.Replace:
		x.stop(false)
	case emulator.HostLost, emulator.ZoneLost:
		x.stop(true)
	case emulator.Drain:
		x.drainAndRestart(fault)
	case emulator.Excluded:
		x.excludeAndRestart(fault)
	default:
		x.faults = append(x.faults, fault)
		x.applyFaults()
	}
}

// endFault ends a fault on the executor. It does nothing for a drain, because drainAndRestart schedules all steps of a
// drain.
func (x *executor) endFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.Crash, emulator.HostLost, emulator.ZoneLost:
		x.endDownFault()
	case emulator.AddressChanged:
		if x.activeDownFaults == 1 {
			x.changeAddress()
		}
		x.endDownFault()
	case emulator.Replace:
		if x.activeDownFaults == 1 { // activeDownFaults stays above 0, so this executor never restarts
			x.replace()
		}
	case emulator.Drain:
	case emulator.Excluded:
		for _, n := range x.sim.nodes {
			n.adminCall(node.ReadmitExecutor, x.ID)
		}
	default:
		x.faults = emulator.RemoveFault(x.faults, fault)
		x.applyFaults()
	}
}

// applyFaults applies the combination of the faults that slow the executor down or make it fail.
func (x *executor) applyFaults() {
	faults := emulator.CombineFaults(x.faults)
	faults.FalseRejections = x.Faults().FalseRejections
	x.apply(x.SetFaults(x.sim.now, faults))
}

// stop ends the executor's process. If the executor's machine vanishes too, nodes are not notified, because the
// connections are not closed. Discovery then removes the executor only after vanishDetection.
func (x *executor) stop(vanishes bool) {
	sim := x.sim
	x.activeDownFaults++
	if !x.Up {
		x.unreachable = x.unreachable || vanishes
		return
	}
	outputs := x.Crash(sim.now)
	if sim.networked != nil {
		sim.networked.endExecutor(x, vanishes)
	}
	if !vanishes {
		x.apply(outputs)
		sim.updateEndpoint(x.entry(policy.Removed))
		return
	}
	x.unreachable = true
	x.timerSeq++
	sim.after(vanishDetection, func() {
		if x.unreachable {
			sim.updateEndpoint(x.entry(policy.Removed))
		}
	})
}

// endDownFault ends one of the faults that keep the executor down. When the last of them ends, the executor restarts.
func (x *executor) endDownFault() {
	if x.activeDownFaults--; x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults = 0
	x.restart()
}

// drainAndRestart drains the executor. Discovery publishes the drain after Fleet.DiscoveryLag. The executor still
// accepts jobs for Fleet.DrainGrace after that. Its process ends after three quarters of the fault's duration, and a
// new process starts at the end of the fault.
func (x *executor) drainAndRestart(fault emulator.Fault) {
	sim := x.sim
	if !x.Up || x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults++
	started := x.Started
	sim.updateEndpoint(x.entry(policy.Draining))
	sim.after(time.Duration(sim.scenario.Fleet.DiscoveryLag+sim.scenario.Fleet.DrainGrace), func() {
		if x.Up && x.Started == started {
			x.Draining = true
		}
	})
	sim.after(fault.For*3/4, func() {
		if x.Up && x.Started == started {
			x.apply(x.Crash(sim.now))
			if sim.networked != nil {
				sim.networked.endExecutor(x, false)
			}
			sim.updateEndpoint(x.entry(policy.Removed))
		}
	})
	sim.after(fault.For, x.endDownFault)
}

// excludeAndRestart lets operators exclude the executor at each node. During the exclusion, the executor's process ends
// after half of the fault's duration, and a new process starts after three quarters. The endpoint list does not show
// the exclusion.
func (x *executor) excludeAndRestart(fault emulator.Fault) {
	sim := x.sim
	for _, n := range sim.nodes {
		n.adminCall(node.ExcludeExecutor, x.ID)
	}
	sim.after(fault.For/2, func() { x.stop(false) })
	sim.after(fault.For*3/4, x.endDownFault)
}

// replace starts a new executor with another ID. It takes the place of x, which never restarts.
func (x *executor) replace() {
	x.replacements++
	replacement := x.sim.addExecutor(fmt.Sprintf("%s-%d", x.ID, x.replacements), x.number, x.Speed)
	replacement.Up = false
	replacement.restart()
}
