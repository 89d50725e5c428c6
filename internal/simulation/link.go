package simulation

import (
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// processingDelay is how long something takes within a process.
const processingDelay = 20 * time.Microsecond

// minDelay is the least that something takes between zones.
func (w *World) minDelay(from, to policy.ZoneID) time.Duration {
	if from != to {
		return time.Duration(w.scenario.Fleet.Far)
	}
	return time.Duration(w.scenario.Fleet.Near)
}

// randomDelay is how long something takes between zones, with a little chance.
func (w *World) randomDelay(from, to policy.ZoneID) time.Duration {
	d := w.minDelay(from, to)
	return d + time.Duration(w.networkRand.Int64N(int64(d)/5+1))
}

// arrivalTime is when something sent now arrives: where a zone is cut off it is sent again until it gets through.
func (w *World) arrivalTime(from, to policy.ZoneID) time.Duration {
	at := w.now
	if from != to {
		at = max(at, w.partitions[from].outboundUntil, w.partitions[to].inboundUntil)
	}
	return at + w.randomDelay(from, to)
}

// linked says whether words go both ways between two zones.
func (w *World) linked(a, b policy.ZoneID) bool {
	if a == b {
		return true
	}
	for _, z := range [...]policy.ZoneID{a, b} {
		if w.partitions[z].inboundUntil > w.now || w.partitions[z].outboundUntil > w.now {
			return false
		}
	}
	return true
}

// partition says until when nothing gets into a zone from others, and out of it.
type partition struct{ inboundUntil, outboundUntil time.Duration }

func (w *World) partitionZones(f emulator.Fault, in, out bool) {
	for i, zone := range w.scenario.Fleet.Zones {
		if !slices.Contains(f.Where, zone) {
			continue
		}
		until := w.now + f.For
		if in {
			w.partitions[i].inboundUntil = max(w.partitions[i].inboundUntil, until)
			for _, n := range w.nodes {
				if n.zone == policy.ZoneID(i) {
					w.checker.Apart(n.id, until)
				}
			}
		}
		if out {
			w.partitions[i].outboundUntil = max(w.partitions[i].outboundUntil, until)
		}
	}
	if w.wired != nil {
		w.wired.setPartitions(w.partitions)
	}
}
