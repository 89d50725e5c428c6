package simulation

import (
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// healthCheckTimeout is the time within which an executor must answer a health check.
const healthCheckTimeout = 250 * time.Millisecond

// checkHealth sends a health check to an executor. The executor does not queue the check; it answers at once with its
// load. An unresponsive executor does not answer.
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

// healthCheckLoad returns the load with which the executor answers a health check. Values that it does not report are -1.
func (x *executor) healthCheckLoad() policy.Load {
	load := policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
	if reported := x.LoadReport(x.sim.now); reported.Known {
		load.InFlight, load.Queued, load.FreeSlots = reported.InFlight, reported.Queued, reported.FreeSlots
	}
	return load
}
