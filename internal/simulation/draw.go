package simulation

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// Size limits the scenarios that Draw draws.
type Size struct {
	Nodes     int           // largest number of nodes
	Executors int           // largest number of executors
	Length    time.Duration // time during which clients submit new work items
	SlowStart bool          // draw scenarios with 20 or 30 nodes that stress the slow start of executors
}

// adminFaults are the kinds of fault that operators cause with commands to nodes.
var adminFaults = []emulator.FaultKind{emulator.Excluded, emulator.ClientsDrained}

// Draw draws a scenario and its faults from a seed. Operators' commands, hedging, health checks, gossip and slow start
// are drawn from random streams of their own, because Draw gained them later: the rest of each seed's scenario stays as
// it was before.
func Draw(seed uint64, size Size) Scenario {
	r := stream(seed, drawStream)
	s := base()
	s.Name, s.Seed, s.Length = fmt.Sprint("seed-", seed), seed, Span(size.Length)
	s.About = fmt.Sprintf("Drawn from seed %d.", seed)
	drawFleet(r, &s.Fleet, size)
	drawClasses(r, &s)
	drawLoad(r, &s.Load)
	drawFaults(r, &s, 6, otherFaults())
	drawFaults(stream(seed, drawAdminStream), &s, 2, adminFaults)
	drawFeatures(stream(seed, drawFeatureStream), &s.Fleet)
	drawGossip(stream(seed, drawGossipStream), &s)
	sortFaults(&s)
	if size.SlowStart {
		drawSlowStart(&s)
	}
	return s
}

// round rounds to three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// oneIn returns true with a probability of 1/n.
func oneIn(r *rand.Rand, n int) bool { return r.IntN(n) == 0 }

// undrawnFaults are the kinds of fault that are in no drawn scenario. Tests have scenarios of their own for them.
var undrawnFaults = []emulator.FaultKind{emulator.SecondAnswers}

// otherFaults returns the kinds of fault that are neither in adminFaults nor in gossipFaults, without undrawnFaults.
func otherFaults() []emulator.FaultKind {
	return slices.DeleteFunc(emulator.FaultKinds(), func(k emulator.FaultKind) bool {
		return slices.Contains(adminFaults, k) || slices.Contains(gossipFaults, k) || slices.Contains(undrawnFaults, k)
	})
}

func sortFaults(s *Scenario) {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

func drawFleet(r *rand.Rand, f *Fleet, size Size) {
	f.Zones = []string{"east", "west", "north"}[:1+r.IntN(3)]
	f.Nodes = 1 + r.IntN(size.Nodes)
	f.Executors = 2 + r.IntN(max(1, size.Executors-1))
	f.Cores = 1 + r.IntN(3)
	f.Slots = f.Cores
	f.QueueLimit = r.IntN(5)
	f.SpeedSpread = round(0.5 * r.Float64())
	f.CellSize = 1 + r.IntN(3)
	f.ByPriority = oneIn(r, 2)
	f.CancelsRunning = oneIn(r, 2)
	f.SlowStartCapacity = round(0.1 + 0.4*r.Float64())
	f.SlowStartDuration = milliseconds(1000 * (3 + r.IntN(15)))
	f.OverloadMultiple = float64(2 + r.IntN(3))
	f.DrainGrace = milliseconds(100 * (1 + r.IntN(15)))
	f.StartNotices = !oneIn(r, 4)
	if oneIn(r, 3) {
		f.ProgressInterval = 0
	}
	f.ReportsLoad = oneIn(r, 2)
	f.Far = milliseconds(1 + r.IntN(20))
	f.IdleTimeout = milliseconds(1000 * (1 + r.IntN(30)))
	f.MaxExecutorConns = [...]int{200, 200, 4}[r.IntN(3)]
	f.MaxNodeConns = [...]int{250, 250, 6}[r.IntN(3)]
	f.DiscoveryLag = milliseconds(100 * (1 + r.IntN(30)))
	if oneIn(r, 2) {
		f.WeightInterval = 0
	}
	f.MaxAttempts = 1 + r.IntN(6)
	if oneIn(r, 3) {
		f.MaxRetryAfter = 0
	}
	if oneIn(r, 2) {
		f.CrossZoneCost = 0
	}
	f.ValuePerWork = oneIn(r, 2)
	if oneIn(r, 8) {
		f.MaxBodyBytes = 256 << 10
	}
}

func drawClasses(r *rand.Rand, s *Scenario) {
	count := 1 + r.IntN(3)
	for i := range count {
		class := JobClass{Name: fmt.Sprint("t", i), Share: 1 / float64(count)}
		class.Idempotency = [...]string{idempotent, atMostOnce, idempotentWithKey}[r.IntN(3)]
		class.Work = milliseconds(20 + r.IntN(700))
		class.WorkSpread = round(0.8 * r.Float64())
		class.RunTimeFactor = float64(1 + r.IntN(3))
		class.Deadline = milliseconds(1000 * (2 + r.IntN(12)))
		class.Value = float64(1 + r.IntN(8))
		class.Priority = r.IntN(2)
		class.LatencyObjective = milliseconds(100 + r.IntN(900))
		if class.Idempotency == idempotentWithKey {
			class.DedupGroup = [...]string{"all", "zone", "cell"}[r.IntN(3)]
			class.DedupWindow = milliseconds(100 * (5 + r.IntN(80)))
		}
		if oneIn(r, 3) {
			class.LateValue = round(0.5 * r.Float64())
		}
		s.Classes = append(s.Classes, class)
	}
}

func drawLoad(r *rand.Rand, l *Load) {
	l.Utilization = round(0.15 * math.Exp(r.Float64()*2.2)) // the result is from 0.15 to 1.35
	l.Retries = r.IntN(4)
	l.RetryWait = milliseconds(150 * r.IntN(3))
	l.RespectsRetryAfter = oneIn(r, 2)
	if oneIn(r, 3) {
		l.LeaveRate = round(0.1 * r.Float64())
	}
	if oneIn(r, 4) {
		l.RepeatIDRate = round(0.1 * r.Float64())
	}
	l.HintNoise = [...]float64{0.2, 0, 0.6, -1}[r.IntN(4)]
	l.BodyBytes = [...]int{0, 1 << 10, 64 << 10}[r.IntN(3)]
	if oneIn(r, 6) { // the scenario has closed loops in addition to the open loop
		l.Loops = 1 + r.IntN(6)
		l.ThinkTime = milliseconds(r.IntN(300))
	}
}

// drawFeatures draws whether the policy is allowed to hedge jobs, and whether it is allowed to check executors' health.
func drawFeatures(r *rand.Rand, f *Fleet) {
	f.MayHedge = oneIn(r, 2)
	f.MayCheckHealth = oneIn(r, 2)
}

// drawGossip draws whether nodes gossip. If they do, it also draws whether they lease slots, and the faults of gossip.
func drawGossip(r *rand.Rand, s *Scenario) {
	if !oneIn(r, 2) {
		return
	}
	f := &s.Fleet
	f.Gossip = true
	f.Leases = oneIn(r, 3)
	f.MessageLoss = [...]float64{0, 0, 0.3}[r.IntN(3)]
	f.MessageDuplication = [...]float64{0, 0.2}[r.IntN(2)]
	f.MessageDelay = [...]Span{0, milliseconds(500)}[r.IntN(2)]
	drawFaults(r, s, 3, gossipFaults)
}

// drawFaults adds up to maxFaults random faults of the given kinds to the scenario.
func drawFaults(r *rand.Rand, s *Scenario, maxFaults int, kinds []emulator.FaultKind) {
	for range r.IntN(maxFaults + 1) {
		s.Faults = append(s.Faults, drawFault(r, s, kinds[r.IntN(len(kinds))]))
	}
}

func drawFault(r *rand.Rand, s *Scenario, kind emulator.FaultKind) Fault {
	length := int(time.Duration(s.Length) / time.Millisecond)
	fault := Fault{Kind: kind}
	fault.At = milliseconds(r.IntN(length * 9 / 10))
	fault.For = milliseconds(100 + r.IntN(length/2))
	on, _ := kind.Target()
	zone := s.Fleet.Zones[r.IntN(len(s.Fleet.Zones))]
	switch on {
	case emulator.OnZone:
		fault.Where = []string{zone}
	case emulator.OnExecutors:
		fault.Where = drawTargets(r, "e", s.Fleet.Executors, zone)
	case emulator.OnNodes:
		fault.Where = drawTargets(r, "n", s.Fleet.Nodes, zone)
	}
	if least, most, ok := kind.SizeBounds(); ok {
		least, most = drawnSizeRange(kind, least, most)
		fault.Size = round(max(least, least+(most-least)*r.Float64()))
	}
	return fault
}

// drawnSizeRange narrows the range of a fault's size to sizes from which the simulation can recover.
func drawnSizeRange(kind emulator.FaultKind, least, most float64) (float64, float64) {
	switch kind {
	case emulator.SlowExecutors, emulator.HeavyTail:
		most = 20
	case emulator.Burst:
		most = 4
	case emulator.DiscoveryDelayed:
		most = 10
	case emulator.ClockSkew:
		least, most = -30, 30
	}
	return least, most
}

// drawTargets draws the targets of a fault: all of them, those of a zone, a random set, or a single one. letter is the
// first letter of the names of all possible targets, and count is their number.
func drawTargets(r *rand.Rand, letter string, count int, zone string) (targets []string) {
	switch r.IntN(5) {
	case 0:
		return nil // nil stands for all targets
	case 1:
		return []string{zone}
	case 2:
		for i := range count {
			if oneIn(r, 2) {
				targets = append(targets, fmt.Sprint(letter, i))
			}
		}
		if len(targets) > 0 {
			return targets
		}
	}
	return []string{fmt.Sprint(letter, r.IntN(count))}
}
