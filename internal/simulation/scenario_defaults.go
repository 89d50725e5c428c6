package simulation

import (
	"time"
)

// base returns the default scenario without job classes.
func base() Scenario {
	return Scenario{
		Length: Span(time.Minute),
		Fleet: Fleet{
			Zones:             []string{"east", "west"},
			Nodes:             3,
			Executors:         12,
			Cores:             2,
			Slots:             2,
			QueueLimit:        4,
			Speed:             1,
			SpeedSpread:       0.2,
			CellSize:          2,
			ByPriority:        true,
			SlowStartCapacity: 0.3,
			SlowStartDuration: milliseconds(9000),
			OverloadMultiple:  4,
			OverloadWindow:    milliseconds(1500),
			DrainGrace:        milliseconds(1500),
			StartNotices:      true,
			ProgressInterval:  milliseconds(2000),
			ReportsLoad:       true,
			ReportInterval:    milliseconds(700),
			Near:              milliseconds(1),
			Far:               milliseconds(8),
			DialTimeout:       milliseconds(100),
			IdleTimeout:       Span(time.Minute),
			MaxExecutorConns:  200,
			ConnCost:          milliseconds(1),
			DiscoveryLag:      milliseconds(1000),
			WeightInterval:    milliseconds(700),
			MaxAttempts:       6,
			MaxRetryAfter:     milliseconds(2000),
			CrossZoneCost:     0.2,
			ValuePerWork:      true,
			MaxNodeConns:      250,
			MaxBodyBytes:      48 << 20,
		},
		Load: Load{Utilization: 0.6, Retries: 2, RetryWait: milliseconds(200), RespectsRetryAfter: true, HintNoise: 0.2, BodyBytes: 1 << 10, DeadNodeTime: milliseconds(2000)},
	}
}

// baseClasses returns the job classes of a scenario that defines none.
func baseClasses() []JobClass {
	return []JobClass{
		{Name: "read", Share: 0.4, Idempotency: idempotent, Work: milliseconds(350), WorkSpread: 0.4, LatencyObjective: milliseconds(300), RunTimeFactor: 2,
			Deadline: milliseconds(5000), Value: 2},
		{Name: "verify", Share: 0.3, Idempotency: atMostOnce, Work: milliseconds(1000), WorkSpread: 0.4, LatencyObjective: milliseconds(750), RunTimeFactor: 2,
			Deadline: milliseconds(20000), Value: 8, Priority: 1},
		{Name: "split", Share: 0.3, Idempotency: idempotentWithKey, DedupGroup: "zone", DedupWindow: milliseconds(7500), Work: milliseconds(200), WorkSpread: 0.4,
			LatencyObjective: milliseconds(200), RunTimeFactor: 2, Deadline: milliseconds(5000), Value: 2},
	}
}

// Base returns the default scenario, with its job classes.
func Base() Scenario {
	s := base()
	s.Classes = baseClasses()
	return s
}

func milliseconds(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
