package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

// everyKey is a configuration that holds every key that a node reads, none of them at its default.
const everyKey = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","management":"127.0.0.3:7000","seed":"8c1f",
 "limits":{"cores":1.5,"memory_mb":256,"sockets":2048},"known":{"seq":1,"whole":true,"hosts":[]},
 "probe":{"path":"/load","timeout_s":0.1},
 "settings":{"areas":["a","b"],"flavors":["m","n"],"balancers":3,"my-number":2,"locality":1,"quantum-s":0.004,"discovery":"ask","weights":"live",
  "earnings-per":"work","overage-earnings":0.25,"prices":{"cross-zone":0.125},"score-parts":{"whole":0.5,"worst-window":0.25,"worst-class":0.75},
  "caps":{"cancel":true,"peers":true,"second-copies":true,"probes":true,"max-allocations":6,"retry-after":true,"max-retry-after-s":7,"conn-idle-s":30,"dial-timeout-s":0.2},
  "rules":{"ask-within-s":1.5,"cold-share":0.4,"warm-within-s":20,"fall-multiple":3,"fall-s":2.5,"drain-grace-s":0.7},
  "clients":{"marks-retry":true},
  "domain":{"class-kind":[1,0],"class-stretch":[1.25,1.75],"tells-start":true,"progress-s":0.35,"report-x0":"free slots","report-x1":"free memory"},
  "report":{"how":"on_probe","fields":["avg_ms","x1","cpu","waiting","x0","active"]},
  "projects":[{"quota-per-s":40},{"quota-per-s":60.5}],
  "tracks":[
   {"name":"t","aim-stretch":1.1,"quoted-time-s":0.3,"outer-limit-s":20,"repeat":"by_key","dedup-scope":"zone","dedup-window-s":9,"late-earnings":0.2,"earnings":1.5},
   {"name":"u","aim-stretch":1.2,"quoted-time-s":0.6,"outer-limit-s":30,"repeat":"repeatable","dedup-scope":"cell","dedup-window-s":8,"late-earnings":0.3,"earnings":2.5}]}}`

// printed writes each value of a configuration after the key that it comes from.
func printed(t *testing.T, c *Config) string {
	t.Helper()
	var out strings.Builder
	s, p := &c.Settings, &c.Settings.Policy
	for _, line := range [...]struct {
		key   string
		value any
	}{
		{"name", c.Name},
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"management", c.AdminAddr},
		{"limits.cores", c.Cores},
		{"limits.memory_mb, in bytes", c.MemoryBytes},
		{"limits.sockets", c.MaxDescriptors},
		{"known", string(c.CachedEndpoints)},
		{"seed", p.Seed},
		{"probe.path", s.Probe.Path},
		{"probe.timeout_s", s.Probe.Timeout},
		{"settings.areas", s.Zones},
		{"settings.flavors", s.Kinds},
		{"settings.balancers", p.Nodes},
		{"settings.my-number", p.Node},
		{"settings.locality", p.Zone},
		{"settings.quantum-s", p.Quantum},
		{"settings.discovery is ask", p.EndpointsPolled},
		{"settings.weights is live", p.LoadAdjustedWeights},
		{"settings.earnings-per is work", p.ValuePerWork},
		{"settings.overage-earnings", p.OverQuotaValue},
		{"settings.prices.cross-zone", p.CrossZoneCost},
		{"settings.score-parts, whole and worst-window", p.TotalWeight},
		{"settings.score-parts.worst-class", p.WorstClassWeight},
		{"settings.caps.cancel", p.MayCancel},
		{"settings.caps.peers, for the node", s.MayGossip},
		{"settings.caps.peers, for the module", p.MayLease},
		{"settings.caps.second-copies", p.MayHedge},
		{"settings.caps.probes", p.MayCheckHealth},
		{"settings.caps.max-allocations", p.MaxAttempts},
		{"settings.caps.max-retry-after-s", p.MaxRetryAfter},
		{"settings.caps.conn-idle-s", s.IdleTimeout},
		{"settings.caps.dial-timeout-s", s.DialTimeout},
		{"settings.rules.ask-within-s", p.PollWithin},
		{"settings.rules.cold-share", p.SlowStartCapacity},
		{"settings.rules.warm-within-s", p.SlowStartDuration},
		{"settings.rules.fall-multiple", p.OverloadMultiple},
		{"settings.rules.fall-s", p.OverloadWindow},
		{"settings.rules.drain-grace-s", s.DrainGrace},
		{"settings.clients.marks-retry", p.ClientsMarkRetries},
		{"settings.domain.tells-start", p.StartNotices},
		{"settings.domain.progress-s", p.ProgressInterval},
		{"settings.report.fields, where each stands", s.LoadFields},
		{"settings.tracks[].name", s.JobClassNames},
	} {
		fmt.Fprintf(&out, "%s: %v\n", line.key, line.value)
	}
	for i, tenant := range p.Tenants {
		fmt.Fprintf(&out, "settings.projects[%d].quota-per-s: %v\n", i, tenant.QuotaPerSecond)
	}
	for i, class := range p.JobClasses {
		for _, line := range [...]struct {
			key   string
			value any
		}{
			{"aim-stretch or domain.class-stretch", class.RunTimeFactor},
			{"domain.class-kind", class.Kind},
			{"quoted-time-s", class.LatencyObjective},
			{"outer-limit-s", class.Deadline},
			{"repeat", int(class.Idempotency)},
			{"dedup-scope", int(class.DedupGroup)},
			{"dedup-window-s, less the time to dial and of a suspension", class.DedupWindow},
			{"late-earnings", class.LateValue},
			{"earnings", class.Value},
			{"caps.max-allocations", class.MaxAttempts},
		} {
			fmt.Fprintf(&out, "settings.tracks[%d], %s: %v\n", i, line.key, line.value)
		}
	}
	fmt.Fprintf(&out, "load values told: %v, all that are wanted: %v\n", s.ReportedValues(), s.ReportsLoad())
	return out.String()
}

// visitValues calls visit for each value of an object and of the objects nested in it, with the path of its keys.
func visitValues(v any, visit func(path []string, value any), path ...string) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			visitValues(inner, visit, append(path[:len(path):len(path)], key)...)
		}
	default:
		visit(path, v)
	}
}

// TestEveryKey checks that a configuration with every key is decoded completely. The golden file shows each value after
// its key, and the error for an object in place of each value, which names the key.
func TestEveryKey(t *testing.T) {
	var out strings.Builder
	emptyEnv := func(string) string { return "" }
	c, err := parse([]byte(everyKey), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(printed(t, &c))
	// Keys match regardless of case, as in encoding/json.
	upper, err := parse([]byte(strings.ToUpper(everyKey[:strings.Index(everyKey, `"known"`)])+everyKey[strings.Index(everyKey, `"known"`):]), emptyEnv)
	fmt.Fprintf(&out, "keys in upper case: %s on %s, %v cores, %d sockets, %v\n", upper.Name, upper.Listen, upper.Cores, upper.MaxDescriptors, err)
	var object any
	if err := json.Unmarshal([]byte(everyKey), &object); err != nil {
		t.Fatal(err)
	}
	refusals := map[string]string{}
	visitValues(object, func(path []string, _ any) {
		if path[0] == "known" {
			return
		}
		refusals[strings.Join(path, ".")] = refusal(t, path)
	})
	for _, list := range [...]string{"projects", "tracks"} {
		for key := range object.(map[string]any)["settings"].(map[string]any)[list].([]any)[0].(map[string]any) {
			refusals["settings."+list+"[]."+key] = refusal(t, []string{"settings", list, "[]", key})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(&out, "an object at %s: %s\n", key, refusals[key])
	}
	golden.Compare(t, "every-key.txt", out.String())
}

// refusal returns the error for a configuration with an object in place of the value at a path. In the path, [] stands
// for the first element of a list.
func refusal(t *testing.T, path []string) string {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal([]byte(everyKey), &root); err != nil {
		t.Fatal(err)
	}
	object := root
	for _, key := range path[:len(path)-1] {
		if key == "[]" {
			continue
		}
		switch inner := object[key].(type) {
		case map[string]any:
			object = inner
		case []any:
			object = inner[0].(map[string]any)
		}
	}
	object[path[len(path)-1]] = map[string]any{"no": "value"}
	text, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = parse(text, func(string) string { return "" }); err != nil {
		return err.Error()
	}
	return "taken"
}
