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

// Size bounds the worlds that are drawn.
type Size struct {
	Nodes     int           // at most
	Executors int           // at most
	Length    time.Duration // of the time in which batch jobs come
	Cold      bool          // worlds of 20 and 30 nodes, about cold executors
}

// Draw draws a world and its faults from a seed.
func Draw(seed uint64, size Size) Scenario {
	r := stream(seed, drawStream)
	s := base()
	s.Name, s.Seed, s.Length = fmt.Sprint("seed-", seed), seed, Span(size.Length)
	s.About = fmt.Sprintf("Drawn from seed %d.", seed)
	drawFleet(r, &s, size)
	drawTracks(r, &s)
	l := &s.Load
	l.Of = round(0.15 * math.Exp(r.Float64()*2.2)) // from 0.15 to 1.35
	l.Retries, l.RetryWait = r.IntN(4), Span(time.Duration(r.IntN(3))*150*time.Millisecond)
	l.HeedsBack = r.IntN(2) == 0
	if r.IntN(3) == 0 {
		l.Leaves = round(0.1 * r.Float64())
	}
	if r.IntN(4) == 0 {
		l.RepeatsIDs = round(0.1 * r.Float64())
	}
	l.HintNoise = [...]float64{0.2, 0, 0.6, -1}[r.IntN(4)]
	l.Body = [...]int{0, 1 << 10, 64 << 10}[r.IntN(3)]
	if r.IntN(6) == 0 { // closed loops beside what comes by itself
		l.Loops, l.Think = 1+r.IntN(6), Span(time.Duration(r.IntN(300))*time.Millisecond)
	}
	byHand := []emulator.Kind{emulator.TakenOut, emulator.SentAway}
	kinds := slices.DeleteFunc(emulator.Kinds(), func(k emulator.Kind) bool { return slices.Contains(byHand, k) || slices.Contains(gossipFaults, k) })
	for range r.IntN(7) {
		s.Faults = append(s.Faults, drawFault(r, &s, kinds[r.IntN(len(kinds))]))
	}
	// What operators do comes from a stream of its own: the rest of a seed's world is as it was before they could.
	r = stream(seed, drawAdminStream)
	for range r.IntN(3) {
		s.Faults = append(s.Faults, drawFault(r, &s, byHand[r.IntN(len(byHand))]))
	}
	r = stream(seed, drawFeatureStream) // likewise what is allowed beside one allocation at a time
	s.Fleet.Copies, s.Fleet.Probes = r.IntN(2) == 0, r.IntN(2) == 0
	r = stream(seed, drawGossipStream) // and what nodes that talk meet
	if f := &s.Fleet; r.IntN(2) == 0 {
		f.Talk, f.Keepers = true, r.IntN(3) == 0
		f.WordsLost, f.WordsDoubled = [...]float64{0, 0, 0.3}[r.IntN(3)], [...]float64{0, 0.2}[r.IntN(2)]
		f.WordsLate = Span([...]time.Duration{0, 500 * time.Millisecond}[r.IntN(2)])
		for range r.IntN(4) {
			s.Faults = append(s.Faults, drawFault(r, &s, gossipFaults[r.IntN(len(gossipFaults))]))
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	if size.Cold {
		drawSlowStart(&s)
	}
	return s
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

func drawFleet(r *rand.Rand, s *Scenario, size Size) {
	f := &s.Fleet
	f.Zones = []string{"east", "west", "north"}[:1+r.IntN(3)]
	f.Nodes, f.Executors = 1+r.IntN(size.Nodes), 2+r.IntN(max(1, size.Executors-1))
	f.Cores = 1 + r.IntN(3)
	f.Places = f.Cores
	f.Queue = r.IntN(5)
	f.Spread = round(0.5 * r.Float64())
	f.CellOf = 1 + r.IntN(3)
	f.ByPriority, f.StopsWork = r.IntN(2) == 0, r.IntN(2) == 0
	f.ColdShare = round(0.1 + 0.4*r.Float64())
	f.WarmWithin = Span(time.Duration(3+r.IntN(15)) * time.Second)
	f.FallMultiple = float64(2 + r.IntN(3))
	f.DrainGrace = Span(time.Duration(1+r.IntN(15)) * 100 * time.Millisecond)
	f.TellsStart = r.IntN(4) > 0
	if r.IntN(3) == 0 {
		f.TellsEvery = 0
	}
	f.Reports = r.IntN(2) == 0
	f.Far = Span(time.Duration(1+r.IntN(20)) * time.Millisecond)
	f.IdleLimit = Span(time.Duration(1+r.IntN(30)) * time.Second)
	f.Conns = [...]int{200, 200, 4}[r.IntN(3)]
	f.NodeConns = [...]int{250, 250, 6}[r.IntN(3)]
	f.ListLag = Span(time.Duration(1+r.IntN(30)) * 100 * time.Millisecond)
	if r.IntN(2) == 0 {
		f.WeightsEvery = 0
	}
	f.Allocations = 1 + r.IntN(6)
	if r.IntN(3) == 0 {
		f.ComeBack = 0
	}
	if r.IntN(2) == 0 {
		f.CrossPrice = 0
	}
	f.PerWork = r.IntN(2) == 0
	if r.IntN(8) == 0 {
		f.NodeBodies = 256 << 10
	}
}

func drawTracks(r *rand.Rand, s *Scenario) {
	count := 1 + r.IntN(3)
	for i := range count {
		t := Track{Name: fmt.Sprint("t", i), Share: 1 / float64(count), Repeat: [...]string{"repeatable", "once-only", "tagged"}[r.IntN(3)],
			Work: Span(time.Duration(20+r.IntN(700)) * time.Millisecond), Spread: round(0.8 * r.Float64()),
			Stretch: float64(1 + r.IntN(3)), Outer: Span(time.Duration(2+r.IntN(12)) * time.Second), Earnings: float64(1 + r.IntN(8)),
			Priority: r.IntN(2)}
		t.Quoted = Span(time.Duration(100+r.IntN(900)) * time.Millisecond)
		if t.Repeat == "tagged" {
			t.Group = [...]string{"all", "zone", "cell"}[r.IntN(3)]
			t.Window = Span(time.Duration(5+r.IntN(80)) * 100 * time.Millisecond)
		}
		if r.IntN(3) == 0 {
			t.Late = round(0.5 * r.Float64())
		}
		s.Tracks = append(s.Tracks, t)
	}
}

func drawFault(r *rand.Rand, s *Scenario, k emulator.Kind) Fault {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	length := int(time.Duration(s.Length) / time.Millisecond)
	f := Fault{Kind: k, At: ms(r.IntN(length * 9 / 10)), For: ms(100 + r.IntN(length/2))}
	on, _ := k.On()
	zone := s.Fleet.Zones[r.IntN(len(s.Fleet.Zones))]
	switch on {
	case emulator.OnZone:
		f.Where = []string{zone}
	case emulator.OnExecutors:
		f.Where = drawSome(r, "e", s.Fleet.Executors, zone)
	case emulator.OnNodes:
		f.Where = drawSome(r, "n", s.Fleet.Nodes, zone)
	}
	if least, most, ok := k.Sized(); ok {
		switch k {
		case emulator.Slow, emulator.HeavyTail:
			most = 20
		case emulator.Burst:
			most = 4
		case emulator.ListLate:
			most = 10
		case emulator.ClockOff:
			least, most = -30, 30
		}
		f.Size = round(max(least, least+(most-least)*r.Float64()))
	}
	return f
}

// drawSome is one of them, some, a zone of them, or all.
func drawSome(r *rand.Rand, letter string, count int, zone string) (where []string) {
	switch r.IntN(5) {
	case 0:
		return nil
	case 1:
		return []string{zone}
	case 2:
		for i := range count {
			if r.IntN(2) == 0 {
				where = append(where, fmt.Sprint(letter, i))
			}
		}
		if len(where) > 0 {
			return where
		}
	}
	return []string{fmt.Sprint(letter, r.IntN(count))}
}
