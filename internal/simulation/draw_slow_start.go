package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
)

// drawSlowStart makes a drawn world one for rule 4: 20 or 30 nodes, most of which share nothing, executors that start again, join or come back
// under a burst, and nodes that start again, stand still or hear late just then. Batch jobs are small enough for budgets of one to some
// hundreds.
func drawSlowStart(s *Scenario) {
	r := stream(s.Seed, drawSlowStartStream)
	ms := func(least, most int) Span { return Span(time.Duration(least+r.IntN(most-least)) * time.Millisecond) }
	f, l := &s.Fleet, &s.Load
	s.About = fmt.Sprintf("Drawn from seed %d for cold executors among many nodes.", s.Seed)
	f.Nodes, f.Executors = 20+10*r.IntN(2), 6+r.IntN(15)
	f.FallWindow = Span(time.Duration(1+r.IntN(4)) * 500 * time.Millisecond)
	f.TellsStart = r.IntN(2) == 0
	f.Talk, f.Keepers = r.IntN(4) == 0, false
	l.Of = round(0.4 + 0.8*r.Float64())
	l.HintNoise = [...]float64{-1, -1, 0.2, 0.6}[r.IntN(4)]
	l.Loops = 0
	for i := range s.Tracks {
		t := &s.Tracks[i]
		t.Work = Span(time.Duration(5<<r.IntN(6)) * time.Millisecond * 3 / 2)
		t.Quoted = ms(50, 400)
	}
	s.Faults = slices.DeleteFunc(s.Faults, func(x Fault) bool {
		return x.Kind == emulator.HeavyTail || x.Kind == emulator.Burst || len(x.Where) > 0
	})
	s.Faults = s.Faults[:min(len(s.Faults), 2)]
	starts := []emulator.Kind{emulator.Crash, emulator.Vanish, emulator.Replace, emulator.Moved, emulator.DrainOff, emulator.ZoneLost}
	beside := []emulator.Kind{emulator.NodeKilled, emulator.NodeKilled, emulator.NodeRestart, emulator.NodeStopped, emulator.ListLate, emulator.ListCut,
		emulator.ListLost, emulator.SilentNew}
	for range 1 + r.IntN(3) {
		x := drawFault(r, s, starts[r.IntN(len(starts))])
		x.At, x.For = ms(1000, int(s.Length)/2e6), ms(100, 2000)
		s.Faults = append(s.Faults, x)
		back := x.At + x.For
		burst := Fault{Kind: emulator.Burst, At: max(0, back-ms(0, 1000)), For: ms(1000, 5000), Size: round(1.5 + 2*r.Float64())}
		s.Faults = append(s.Faults, burst)
		if r.IntN(3) == 0 { // it starts once more while it warms up
			again := x
			again.At, again.For = back+ms(200, 3000), ms(100, 600)
			s.Faults = append(s.Faults, again)
		}
		for range r.IntN(3) {
			y := drawFault(r, s, beside[r.IntN(len(beside))])
			y.At, y.For = max(0, back-ms(0, 1000)), ms(100, 1500)
			if y.Kind == emulator.ListLate {
				y.Size = round(0.1 + 3*r.Float64())
			}
			if r.IntN(2) == 0 && (y.Kind == emulator.NodeKilled || y.Kind == emulator.NodeStopped) {
				y.Where = nil // all nodes
			}
			s.Faults = append(s.Faults, y)
		}
	}
	s.Faults = slices.DeleteFunc(s.Faults, func(x Fault) bool { return x.At >= s.Length })
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
