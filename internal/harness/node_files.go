package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchstair/policy"
)

// gossipSeeds is how many nodes the others join at.
const gossipSeeds = 3

// writeFiles writes the node's configuration and, if nodes gossip, the operator's file.
func (p *nodeProcess) writeFiles() error {
	err := p.config().WriteFile(filepath.Join(p.dir, "config.json"))
	if p.gossipRelay == nil {
		return err
	}
	var seeds []string
	for _, o := range p.cluster.nodes[:min(gossipSeeds, len(p.cluster.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.gossipRelay.addr))
	}
	site := fmt.Sprintf("[fleet]\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", p.gossipAddress, p.gossipRelay.addr, strings.Join(seeds, ", "))
	return errors.Join(err, os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(site), 0o600))
}

// config returns the node's configuration.
func (p *nodeProcess) config() NodeConfig {
	r, f := p.cluster, &p.cluster.scenario.Fleet
	settings := NodeSettings{
		Areas:     f.Zones,
		Balancers: f.Nodes,
		Caps: NodeCaps{
			Cancel:         true,
			ConnIdle:       time.Duration(f.IdleTimeout).Seconds(),
			DialTimeout:    time.Duration(f.DialTimeout).Seconds(),
			MaxAllocations: f.MaxAttempts,
			MaxRetryAfter:  time.Duration(f.MaxRetryAfter).Seconds(),
			Peers:          &f.Leases,
			RetryAfter:     f.MaxRetryAfter > 0,
			SecondCopies:   &f.MayHedge,
		},
		Discovery:   "push",
		Domain:      NodeDomain{Progress: new(time.Duration(f.ProgressInterval).Seconds()), ReportX0: "free slots", TellsStart: f.StartNotices},
		EarningsPer: "request",
		Flavors:     []string{"plain"},
		Locality:    int(p.zone),
		MyNumber:    int(p.id),
		Prices:      &NodePrices{CrossZone: f.CrossZoneCost},
		Quantum:     0.004,
		Rules: NodeRules{
			ColdShare:    f.SlowStartCapacity,
			FallMultiple: f.OverloadMultiple,
			FallWindow:   time.Duration(f.OverloadWindow).Seconds(),
			WarmWithin:   time.Duration(f.SlowStartDuration).Seconds(),
		},
		ScoreParts: NodeScoreParts{Class: new(0.2), Whole: 0.8},
	}
	if f.ValuePerWork {
		settings.EarningsPer = "work"
	}
	if f.ReportsLoad {
		settings.Report = InlineReport()
	}
	for i, t := range r.scenario.Classes {
		settings.Tracks = append(settings.Tracks, classConfig(t.Name, r.policyClasses[i]))
	}
	return NodeConfig{
		Discovery:  p.discoveryListener.Addr().String(),
		Limits:     NodeLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Listen:     p.clientAddress,
		Management: p.adminAddress,
		Name:       p.name,
		Seed:       fmt.Sprintf("%016x", r.options.Seed*1000+uint64(p.id)),
		Settings:   settings,
	}
}

// Names of idempotency and dedup groups in the configuration.
var (
	idempotencyNames = map[policy.Idempotency]string{policy.Idempotent: "repeatable", policy.IdempotentWithKey: "by_key", policy.AtMostOnce: "once"}
	dedupGroupNames  = map[policy.DedupGroup]string{policy.DedupAllExecutors: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}
)

// classConfig returns the settings of a job class.
func classConfig(name string, class policy.JobClass) NodeClass {
	settings := NodeClass{
		AimStretch: &class.RunTimeFactor,
		Earnings:   class.Value,
		Name:       name,
		OuterLimit: class.Deadline.Seconds(),
		QuotedTime: class.LatencyObjective.Seconds(),
		Repeat:     idempotencyNames[class.Idempotency],
	}
	if class.Idempotency == policy.IdempotentWithKey {
		settings.DedupScope = dedupGroupNames[class.DedupGroup]
		settings.DedupWindow = new(class.DedupWindow.Seconds())
	}
	if class.LateValue > 0 {
		settings.LateEarnings = class.LateValue
	}
	return settings
}
