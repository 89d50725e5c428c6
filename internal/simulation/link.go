package simulation

import (
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// processingDelay is how long a step within a process takes.
const processingDelay = 20 * time.Microsecond

// partition says until when nothing gets into a zone from other zones, and out of it.
type partition struct{ inboundUntil, outboundUntil time.Duration }

// minDelay is the least delay between two zones, or within one.
func (sim *Simulation) minDelay(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(sim.scenario.Fleet.Far)
	}
	return time.Duration(sim.scenario.Fleet.Near)
}

// randomDelay is a delay between two zones, up to a fifth over the least.
func (sim *Simulation) randomDelay(from, to policy.ZoneID) time.Duration {
	least := sim.minDelay(from, to)
	return least + time.Duration(sim.networkRand.Int64N(int64(least)/5+1))
}

// arrivalTime is when something that is sent now arrives. Through a partition it is sent again until it gets through.
func (sim *Simulation) arrivalTime(from, to policy.ZoneID) time.Duration {
	sent := sim.now
	if from != to {
		sent = max(sent, sim.partitions[from].outboundUntil, sim.partitions[to].inboundUntil)
	}
	return sent + sim.randomDelay(from, to)
}

// linked says whether messages pass both ways between two zones.
func (sim *Simulation) linked(a, b policy.ZoneID) bool {
	if a == b {
		return true
	}
	for _, zone := range [...]policy.ZoneID{a, b} {
		if sim.partitions[zone].inboundUntil > sim.now || sim.partitions[zone].outboundUntil > sim.now {
			return false
		}
	}
	return true
}

// partitionZones lets nothing into a fault's zones, or out of them, until the fault ends.
func (sim *Simulation) partitionZones(fault emulator.Fault, inbound, outbound bool) {
	until := sim.now + fault.For
	for i, name := range sim.scenario.Fleet.Zones {
		if !slices.Contains(fault.Where, name) {
			continue
		}
		p := &sim.partitions[i]
		if inbound {
			p.inboundUntil = max(p.inboundUntil, until)
			sim.markNodesUnreachable(policy.ZoneID(i), until)
		}
		if outbound {
			p.outboundUntil = max(p.outboundUntil, until)
		}
	}
	if sim.networked != nil {
		sim.networked.setPartitions(sim.partitions)
	}
}

// isolateNodes lets the checker know that nothing reaches the nodes of a zone.
func (sim *Simulation) markNodesUnreachable(zone policy.ZoneID, until time.Duration) {
	for _, n := range sim.nodes {
		if n.zone == zone {
			sim.checker.UnreachableUntil(n.id, until)
		}
	}
}
