package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// startFaults are the kinds of fault after which executors restart and are in slow start.
var startFaults = []emulator.FaultKind{emulator.Crash, emulator.HostLost, emulator.Replace, emulator.AddressChanged, emulator.Drain, emulator.ZoneLost}

// startSideFaults are the kinds of fault that make it harder for nodes to share an executor's slow-start budget.
// NodeKilled is listed twice and so drawn twice as often as each of the others.
var startSideFaults = []emulator.FaultKind{emulator.NodeKilled, emulator.NodeKilled, emulator.NodeRestart, emulator.NodePaused, emulator.DiscoveryDelayed,
	emulator.DiscoveryUnreachable, emulator.DiscoveryStopped, emulator.UnresponsiveNew}

// maxOtherFaults is the number of previously drawn faults that a slow-start scenario keeps.
const maxOtherFaults = 2

// drawSlowStart changes a drawn scenario so that it stresses the slow-start budget of executors (rule 4). The scenario
// then has 20 or 30 nodes, usually without gossip. Executors start, join or restart under a burst of traffic. At that
// time nodes restart, are suspended or receive updates of the endpoint list late. Jobs have so little work that a
// slow-start budget is one to several hundred jobs.
func drawSlowStart(s *Scenario) {
	r := stream(s.Seed, drawSlowStartStream)
	s.About = fmt.Sprintf("Drawn from seed %d for cold executors among many nodes.", s.Seed)
	drawSlowStartFleet(r, s)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool {
		return f.Kind == emulator.HeavyTail || f.Kind == emulator.Burst || len(f.Where) > 0
	})
	s.Faults = s.Faults[:min(len(s.Faults), maxOtherFaults)]
	for range 1 + r.IntN(3) {
		drawStart(r, s)
	}
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At >= s.Length })
	sortFaults(s)
}

// millisecondsBetween returns a random duration in whole milliseconds, at least least and below most.
func millisecondsBetween(r *rand.Rand, least, most int) Span {
	return milliseconds(least + r.IntN(most-least))
}

func drawSlowStartFleet(r *rand.Rand, s *Scenario) {
	f, l := &s.Fleet, &s.Load
	f.Nodes = 20 + 10*r.IntN(2)
	f.Executors = 6 + r.IntN(15)
	f.OverloadWindow = milliseconds(500 * (1 + r.IntN(4)))
	f.StartNotices = oneIn(r, 2)
	f.Gossip, f.Leases = oneIn(r, 4), false
	l.Utilization = round(0.4 + 0.8*r.Float64())
	l.HintNoise = [...]float64{-1, -1, 0.2, 0.6}[r.IntN(4)]
	l.Loops = 0
	for i := range s.Classes {
		class := &s.Classes[i]
		class.Work = milliseconds(5<<r.IntN(6)) * 3 / 2
		class.LatencyObjective = millisecondsBetween(r, 50, 400)
	}
}

// drawStart draws a restart of executors under a burst of traffic. It adds up to two faults of startSideFaults at about
// the same time, and in one of three cases a second restart 0.2 to 3 s after the end of the first, while the executors
// are still in slow start.
func drawStart(r *rand.Rand, s *Scenario) {
	start := drawFault(r, s, startFaults[r.IntN(len(startFaults))])
	start.At = millisecondsBetween(r, 1000, int(time.Duration(s.Length)/(2*time.Millisecond)))
	start.For = millisecondsBetween(r, 100, 2000)
	end := start.At + start.For
	burst := Fault{Kind: emulator.Burst}
	burst.At = max(0, end-millisecondsBetween(r, 0, 1000))
	burst.For = millisecondsBetween(r, 1000, 5000)
	burst.Size = round(1.5 + 2*r.Float64())
	s.Faults = append(s.Faults, start, burst)
	if oneIn(r, 3) {
		again := start
		again.At = end + millisecondsBetween(r, 200, 3000)
		again.For = millisecondsBetween(r, 100, 600)
		s.Faults = append(s.Faults, again)
	}
	for range r.IntN(3) {
		s.Faults = append(s.Faults, drawSideFault(r, s, end))
	}
}

// drawSideFault draws a fault from startSideFaults. The fault begins within the last second before the executors start.
func drawSideFault(r *rand.Rand, s *Scenario, started Span) Fault {
	fault := drawFault(r, s, startSideFaults[r.IntN(len(startSideFaults))])
	fault.At = max(0, started-millisecondsBetween(r, 0, 1000))
	fault.For = millisecondsBetween(r, 100, 1500)
	if fault.Kind == emulator.DiscoveryDelayed {
		fault.Size = round(0.1 + 3*r.Float64())
	}
	if oneIn(r, 2) && (fault.Kind == emulator.NodeKilled || fault.Kind == emulator.NodePaused) {
		fault.Where = nil // nil stands for all nodes
	}
	return fault
}
