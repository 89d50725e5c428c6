package simulation

import (
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// probeTimeout is how long a node waits for an executor to answer a probe.
const healthCheckTimeout = 250 * time.Millisecond

// probe asks an executor for its load, past its queue. An executor that does not answer jobs does not answer probes either.
func (n *simNode) checkHealth(effect node.CheckHealth) {
	sim, x, ended := n.sim, n.sim.byAddr[effect.Addr], false
	end := func(event node.HealthCheckEnded) {
		if !ended {
			ended = true
			n.deliver(event)
		}
	}
	sim.result.HealthChecks++
	n.after(healthCheckTimeout, func() { end(node.HealthCheckEnded{Executor: effect.Executor}) })
	if x == nil {
		return
	}
	incarnation := n.incarnation
	sim.at(sim.arrivalTime(n.zone, x.Zone), func() {
		if x.unreachable || !x.Up || x.Unresponsive() {
			return
		}
		load := x.healthCheckLoad()
		sim.at(sim.arrivalTime(x.Zone, n.zone), func() {
			if n.up && n.incarnation == incarnation {
				end(node.HealthCheckEnded{Executor: effect.Executor, Answered: true, Load: load})
			}
		})
	})
}

// probedLoad is the load that the executor answers a probe with; values that it does not report are -1.
func (x *executor) healthCheckLoad() policy.Load {
	load := policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
	if reported := x.LoadReport(x.sim.now); reported.Known {
		load.InFlight, load.Queued, load.FreeSlots = reported.InFlight, reported.Queued, reported.FreeSlots
	}
	return load
}
