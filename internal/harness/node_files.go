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

// gossipSeeds is the number of nodes whose addresses every node gets as gossip seeds.
const gossipSeeds = 3

// writeFiles writes the node's configuration and, if nodes gossip, the operator's file site.toml.
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
		Zones: f.Zones,
		Nodes: f.Nodes,
		Caps: NodeCaps{
			Cancel:        true,
			IdleTimeout:   time.Duration(f.IdleTimeout).Seconds(),
			DialTimeout:   time.Duration(f.DialTimeout).Seconds(),
			MaxAttempts:   f.MaxAttempts,
			MaxRetryAfter: time.Duration(f.MaxRetryAfter).Seconds(),
			Gossip:        &f.Leases,
			RetryAfter:    f.MaxRetryAfter > 0,
			Hedging:       &f.MayHedge,
		},
		Discovery: "push",
		Domain:    NodeDomain{ProgressInterval: new(time.Duration(f.ProgressInterval).Seconds()), MeaningX0: "free slots", StartNotices: f.StartNotices},
		ValuePer:  "request",
		Kinds:     []string{"plain"},
		Zone:      int(p.zone),
		Node:      int(p.id),
		Prices:    &NodePrices{CrossZone: f.CrossZoneCost},
		Quantum:   0.004,
		Rules: NodeRules{
			SlowStartCapacity: f.SlowStartCapacity,
			OverloadMultiple:  f.OverloadMultiple,
			OverloadWindow:    time.Duration(f.OverloadWindow).Seconds(),
			SlowStartDuration: time.Duration(f.SlowStartDuration).Seconds(),
		},
		ScoreParts: NodeScoreParts{Class: new(0.2), Whole: 0.8},
	}
	if f.ValuePerWork {
		settings.ValuePer = "work"
	}
	if f.ReportsLoad {
		settings.Report = InlineReport()
	}
	for i, t := range r.scenario.Classes {
		settings.JobClasses = append(settings.JobClasses, classConfig(t.Name, r.nodeClasses[i]))
	}
	return NodeConfig{
		Discovery: p.discoveryListener.Addr().String(),
		Limits:    NodeLimits{Cores: 1, MemoryMiB: 192, Sockets: 1024},
		Listen:    p.clientAddress,
		AdminAddr: p.adminAddress,
		Name:      p.name,
		Seed:      fmt.Sprintf("%016x", r.options.Seed*1000+uint64(p.id)),
		Settings:  settings,
	}
}

// Values of the configuration keys repeat and dedup-scope.
var (
	idempotencyNames = map[policy.Idempotency]string{policy.Idempotent: "repeatable", policy.IdempotentWithKey: "by_key", policy.AtMostOnce: "once"}
	dedupGroupNames  = map[policy.DedupGroup]string{policy.DedupAllExecutors: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}
)

// classConfig returns the configuration of a job class.
func classConfig(name string, class policy.JobClass) NodeJobClass {
	settings := NodeJobClass{
		RunTimeFactor:    &class.RunTimeFactor,
		Value:            class.Value,
		Name:             name,
		Deadline:         class.Deadline.Seconds(),
		LatencyObjective: class.LatencyObjective.Seconds(),
		Idempotency:      idempotencyNames[class.Idempotency],
	}
	if class.Idempotency == policy.IdempotentWithKey {
		settings.DedupGroup = dedupGroupNames[class.DedupGroup]
		settings.DedupWindow = new(class.DedupWindow.Seconds())
	}
	if class.LateValue > 0 {
		settings.LateValue = class.LateValue
	}
	return settings
}
