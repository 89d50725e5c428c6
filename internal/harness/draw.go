package harness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/simulation"
)

// Draw returns a short random scenario with the given number of nodes. It has a random load and two to five faults that
// may overlap. The order of the draws must stay, or a seed would give another scenario.
func Draw(seed uint64, nodes int) simulation.Scenario {
	r := rand.New(rand.NewPCG(seed, 77))
	s := simulation.Base()
	s.Name, s.Seed, s.Length = fmt.Sprint("fleet-", seed), seed, simulation.Span(10*time.Second)
	s.About = fmt.Sprintf("Drawn from seed %d for %d real processes.", seed, nodes)
	f, load := &s.Fleet, &s.Load
	f.Nodes, f.Executors, f.Gossip = nodes, max(6, nodes), true
	f.DiscoveryLag = simulation.Span(300 * time.Millisecond)
	f.WeightInterval = 0
	f.SlowStartDuration = simulation.Span(4 * time.Second)
	load.Utilization = []float64{0.4, 0.6, 0.8, 1.5, 2, 4}[r.IntN(6)]
	load.Retries, load.RetryWait, load.RespectsRetryAfter = r.IntN(4), simulation.Span(time.Duration(50*r.IntN(4))*time.Millisecond), r.IntN(2) == 0
	f.MessageLoss = []float64{0, 0, 0.3}[r.IntN(3)]
	f.MessageDuplication = []float64{0, 0.2}[r.IntN(2)]
	f.MessageDelay = simulation.Span([]time.Duration{0, 500 * time.Millisecond}[r.IntN(2)])
	pick := func(letter string, of, most int) (where []string) {
		for range 1 + r.IntN(most) {
			where = append(where, fmt.Sprint(letter, r.IntN(of)))
		}
		return where
	}
	for range 2 + r.IntN(4) {
		x := simulation.Fault{At: simulation.Span(time.Duration(500+r.IntN(6000)) * time.Millisecond), For: simulation.Span(time.Duration(1000+r.IntN(4000)) * time.Millisecond)}
		x.Kind = supportedFaults[r.IntN(len(supportedFaults))]
		switch on, _ := x.Kind.Target(); on {
		case emulator.OnExecutors:
			x.Where = pick("e", f.Executors, max(1, f.Executors/3))
		case emulator.OnNodes:
			x.Where = pick("n", nodes, max(1, nodes/2))
		}
		if least, most, ok := x.Kind.SizeBounds(); ok {
			switch x.Kind {
			case emulator.DiscoveryDelayed:
				most = 4
			case emulator.Burst:
				most = 4
			case emulator.SlowExecutors, emulator.HeavyTail:
				most = 12
			}
			x.Size = least + (most-least)*r.Float64()
		}
		s.Faults = append(s.Faults, x)
	}
	return s
}
