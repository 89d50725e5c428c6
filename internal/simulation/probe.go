package simulation

import (
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// probeLimit is how long a node waits for an executor to answer a probe.
const probeLimit = 250 * time.Millisecond

// probe asks an executor for its load, beside its queue. One that answers no batch job answers no probe either.
func (n *simNode) probe(e node.ProbeExecutor) {
	w, x, told := n.world, n.world.byAddr[e.Addr], false
	tell := func(ev node.ProbeEnded) {
		if !told {
			told = true
			n.deliver(ev)
		}
	}
	w.result.Probes++
	n.after(probeLimit, func() { tell(node.ProbeEnded{Executor: e.Executor}) })
	if x == nil {
		return
	}
	run := n.incarnation
	w.at(w.arrivalTime(n.zone, x.Zone), func() {
		if x.unreachable || !x.Up || x.Mute() {
			return
		}
		load := policy.Load{InFlight: -1, Queued: -1, FreeSlots: -1, FreeMemory: -1, RunTime: -1}
		if says := x.Says(w.now); says.Known {
			load.InFlight, load.Queued, load.FreeSlots = says.Held, says.Waiting, says.Free
		}
		w.at(w.arrivalTime(x.Zone, n.zone), func() {
			if n.up && n.incarnation == run {
				tell(node.ProbeEnded{Executor: e.Executor, Answered: true, Load: load})
			}
		})
	})
}
