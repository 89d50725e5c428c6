package simulation

import (
	"time"
)

// base is Base without job classes.
func base() Scenario {
	return Scenario{
		Length: Span(time.Minute),
		Fleet: Fleet{
			Zones:        []string{"east", "west"},
			Nodes:        3,
			Executors:    12,
			Cores:        2,
			Places:       2,
			Queue:        4,
			Speed:        1,
			Spread:       0.2,
			CellOf:       2,
			ByPriority:   true,
			ColdShare:    0.3,
			WarmWithin:   milliseconds(9000),
			FallMultiple: 4,
			FallWindow:   milliseconds(1500),
			DrainGrace:   milliseconds(1500),
			TellsStart:   true,
			TellsEvery:   milliseconds(2000),
			Reports:      true,
			ReportEvery:  milliseconds(700),
			Near:         milliseconds(1),
			Far:          milliseconds(8),
			DialLimit:    milliseconds(100),
			IdleLimit:    Span(time.Minute),
			Conns:        200,
			ConnCost:     milliseconds(1),
			ListLag:      milliseconds(1000),
			WeightsEvery: milliseconds(700),
			Allocations:  6,
			ComeBack:     milliseconds(2000),
			CrossPrice:   0.2,
			PerWork:      true,
			NodeConns:    250,
			NodeBodies:   48 << 20,
		},
		Load: Load{Of: 0.6, Retries: 2, RetryWait: milliseconds(200), HeedsBack: true, HintNoise: 0.2, Body: 1 << 10, DeadFor: milliseconds(2000)},
	}
}

// baseTracks are the job classes of a scenario that has none.
func baseTracks() []Track {
	return []Track{
		{Name: "read", Share: 0.4, Repeat: idempotent, Work: milliseconds(350), Spread: 0.4, Quoted: milliseconds(300), Stretch: 2,
			Outer: milliseconds(5000), Earnings: 2},
		{Name: "verify", Share: 0.3, Repeat: atMostOnce, Work: milliseconds(1000), Spread: 0.4, Quoted: milliseconds(750), Stretch: 2,
			Outer: milliseconds(20000), Earnings: 8, Priority: 1},
		{Name: "split", Share: 0.3, Repeat: idempotentWithKey, Group: "zone", Window: milliseconds(7500), Work: milliseconds(200), Spread: 0.4,
			Quoted: milliseconds(200), Stretch: 2, Outer: milliseconds(5000), Earnings: 2},
	}
}

// Base is the scenario of all defaults, with job classes.
func Base() Scenario {
	s := base()
	s.Tracks = baseTracks()
	return s
}

func milliseconds(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
