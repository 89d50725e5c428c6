package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchstair/policy"
)

// writeFiles writes the node's configuration and, if nodes gossip, the operator's file.
func (p *nodeProcess) writeFiles() error {
	r, f := p.cluster, &p.cluster.scenario.Fleet
	secs := func(d time.Duration) float64 { return d.Seconds() }
	var classes []any
	for i, t := range r.scenario.Tracks {
		m := r.policyClasses[i]
		class := map[string]any{"name": t.Name, "quoted-time-s": secs(m.LatencyObjective), "outer-limit-s": secs(m.Deadline), "earnings": m.Value,
			"repeat": map[policy.Idempotency]string{policy.Idempotent: "repeatable", policy.IdempotentWithKey: "by_key", policy.AtMostOnce: "once"}[m.Idempotency], "aim-stretch": m.RunTimeFactor}
		if m.Idempotency == policy.IdempotentWithKey {
			class["dedup-scope"] = map[policy.DedupGroup]string{policy.DedupAllExecutors: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}[m.DedupGroup]
			class["dedup-window-s"] = secs(m.DedupWindow)
		}
		if m.LateValue > 0 {
			class["late-earnings"] = m.LateValue
		}
		classes = append(classes, class)
	}
	settings := map[string]any{"balancers": f.Nodes, "my-number": int(p.id), "locality": int(p.zone), "areas": f.Zones, "flavors": []string{"plain"},
		"quantum-s": 0.004, "discovery": "push", "earnings-per": map[bool]string{true: "work", false: "request"}[f.PerWork],
		"caps": map[string]any{"cancel": true, "max-allocations": f.Allocations, "retry-after": f.ComeBack > 0, "max-retry-after-s": secs(time.Duration(f.ComeBack)),
			"conn-idle-s": secs(time.Duration(f.IdleLimit)), "dial-timeout-s": secs(time.Duration(f.DialLimit)), "second-copies": f.Copies, "peers": f.Keepers},
		"domain":      map[string]any{"tells-start": f.TellsStart, "progress-s": secs(time.Duration(f.TellsEvery)), "report-x0": "free slots"},
		"rules":       map[string]any{"cold-share": f.ColdShare, "warm-within-s": secs(time.Duration(f.WarmWithin)), "fall-multiple": f.FallMultiple, "fall-s": secs(time.Duration(f.FallWindow))},
		"score-parts": map[string]any{"whole": 0.8, "class": 0.2}, "prices": map[string]any{"cross-zone": f.CrossPrice}, "tracks": classes}
	if f.Reports {
		settings["report"] = map[string]any{"how": "inline", "fields": []string{"active", "waiting", "x0"}}
	}
	text, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.clientAddress, "management": p.adminAddress, "discovery": p.discoveryListener.Addr().String(),
		"seed": fmt.Sprintf("%016x", r.options.Seed*1000+uint64(p.id)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
	if p.gossipRelay == nil {
		return err
	}
	var seeds []string
	for _, o := range r.nodes[:min(3, len(r.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.gossipRelay.addr))
	}
	site := fmt.Sprintf("[fleet]\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", p.gossipAddress, p.gossipRelay.addr, strings.Join(seeds, ", "))
	return errors.Join(err, os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(site), 0o600))
}
