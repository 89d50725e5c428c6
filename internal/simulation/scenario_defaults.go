package simulation

import (
	"time"
)

// base is what a scenario leaves out.
func base() Scenario {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return Scenario{Length: ms(60000),
		Fleet: Fleet{Zones: []string{"east", "west"}, Nodes: 3, Executors: 12, Cores: 2, Places: 2, Queue: 4, Speed: 1, Spread: 0.2,
			CellOf: 2, ByPriority: true, ColdShare: 0.3, WarmWithin: ms(9000), FallMultiple: 4, FallWindow: ms(1500), DrainGrace: ms(1500),
			TellsStart: true, TellsEvery: ms(2000), Reports: true, ReportEvery: ms(700), Near: ms(1), Far: ms(8), DialLimit: ms(100),
			IdleLimit: ms(60000), Conns: 200, ConnCost: ms(1), ListLag: ms(1000), WeightsEvery: ms(700), Allocations: 6, ComeBack: ms(2000),
			CrossPrice: 0.2, PerWork: true, NodeConns: 250, NodeBodies: 48 << 20},
		Load: Load{Of: 0.6, Retries: 2, RetryWait: ms(200), HeedsBack: true, HintNoise: 0.2, Body: 1 << 10, DeadFor: ms(2000)}}
}

func baseTracks() []Track {
	s := func(f float64) Span { return Span(f * 1e9) }
	return []Track{
		{Name: "read", Share: 0.4, Repeat: "repeatable", Work: s(0.35), Spread: 0.4, Quoted: s(0.3), Stretch: 2, Outer: s(5), Earnings: 2},
		{Name: "verify", Share: 0.3, Repeat: "once-only", Work: s(1), Spread: 0.4, Quoted: s(0.75), Stretch: 2, Outer: s(20), Earnings: 8, Priority: 1},
		{Name: "split", Share: 0.3, Repeat: "tagged", Group: "zone", Window: s(7.5), Work: s(0.2), Spread: 0.4, Quoted: s(0.2), Stretch: 2, Outer: s(5), Earnings: 2},
	}
}

// Base is what a scenario leaves out, tracks included.
func Base() Scenario {
	s := base()
	s.Tracks = baseTracks()
	return s
}
