package simulation

import (
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// processingDelay is the time that a process takes to handle one event.
const processingDelay = 20 * time.Microsecond

// partition describes the partition of one zone. Until inboundUntil, no traffic from other zones enters the zone. Until
// outboundUntil, no traffic leaves the zone for other zones.
type partition struct{ inboundUntil, outboundUntil time.Duration }

// minDelay returns the smallest one-way delay between two zones, or within a zone if both are the same.
func (sim *Simulation) minDelay(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(sim.scenario.Fleet.Far)
	}
	return time.Duration(sim.scenario.Fleet.Near)
}

// randomDelay returns a random one-way delay between two zones. It is at least minDelay, and at most a fifth longer.
func (sim *Simulation) randomDelay(from, to policy.ZoneID) time.Duration {
	least := sim.minDelay(from, to)
	return least + time.Duration(sim.networkRand.Int64N(int64(least)/5+1))
}

// arrivalTime returns the time at which a message that is sent now arrives. A partition delays the message until the
// partition ends, as if TCP retransmitted it.
func (sim *Simulation) arrivalTime(from, to policy.ZoneID) time.Duration {
	sent := sim.now
	if from != to {
		sent = max(sent, sim.partitions[from].outboundUntil, sim.partitions[to].inboundUntil)
	}
	return sent + sim.randomDelay(from, to)
}

// linked returns whether messages pass both ways between two zones.
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

// partitionZones blocks the inbound traffic, the outbound traffic or both for each of the fault's zones, until the
// fault ends.
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

// markNodesUnreachable notifies the checker that nothing from other zones reaches the nodes of a zone until the given time.
func (sim *Simulation) markNodesUnreachable(zone policy.ZoneID, until time.Duration) {
	for _, n := range sim.nodes {
		if n.zone == zone {
			sim.checker.UnreachableUntil(n.id, until)
		}
	}
}
