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
func (w *Simulation) minDelay(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(w.scenario.Fleet.Far)
	}
	return time.Duration(w.scenario.Fleet.Near)
}

// randomDelay is a delay between two zones, up to a fifth over the least.
func (w *Simulation) randomDelay(from, to policy.ZoneID) time.Duration {
	least := w.minDelay(from, to)
	return least + time.Duration(w.networkRand.Int64N(int64(least)/5+1))
}

// arrivalTime is when something that is sent now arrives. Through a partition it is sent again until it gets through.
func (w *Simulation) arrivalTime(from, to policy.ZoneID) time.Duration {
	sent := w.now
	if from != to {
		sent = max(sent, w.partitions[from].outboundUntil, w.partitions[to].inboundUntil)
	}
	return sent + w.randomDelay(from, to)
}

// linked says whether messages pass both ways between two zones.
func (w *Simulation) linked(a, b policy.ZoneID) bool {
	if a == b {
		return true
	}
	for _, zone := range [...]policy.ZoneID{a, b} {
		if w.partitions[zone].inboundUntil > w.now || w.partitions[zone].outboundUntil > w.now {
			return false
		}
	}
	return true
}

// partitionZones lets nothing into a fault's zones, or out of them, until the fault ends.
func (w *Simulation) partitionZones(fault emulator.Fault, inbound, outbound bool) {
	until := w.now + fault.For
	for i, name := range w.scenario.Fleet.Zones {
		if !slices.Contains(fault.Where, name) {
			continue
		}
		p := &w.partitions[i]
		if inbound {
			p.inboundUntil = max(p.inboundUntil, until)
			w.isolateNodes(policy.ZoneID(i), until)
		}
		if outbound {
			p.outboundUntil = max(p.outboundUntil, until)
		}
	}
	if w.wired != nil {
		w.wired.setPartitions(w.partitions)
	}
}

// isolateNodes lets the checker know that nothing reaches the nodes of a zone.
func (w *Simulation) isolateNodes(zone policy.ZoneID, until time.Duration) {
	for _, n := range w.nodes {
		if n.zone == zone {
			w.checker.UnreachableUntil(n.id, until)
		}
	}
}
