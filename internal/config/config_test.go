package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
)

const completeConfig = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"balancers":3,"my-number":2,"quantum-s":0.004,"new-key":[1],"areas":["a"],"flavors":["m"],
  "caps":{"max-allocations":6,"conn-idle-s":30,"dial-timeout-s":0.2},
  "report":{"fields":["active","cpu","waiting","x0"]},"domain":{"report-x0":"free slots"},
  "tracks":[{"name":"t","quoted-time-s":0.3,"outer-limit-s":20,"repeat":"once","earnings":1}]}}`

// TestRead checks that an absent key gets its default or an error that names it, that invalid values are refused, and
// what a reload accepts and which of its changes need a restart.
func TestRead(t *testing.T) {
	var out strings.Builder
	readConfig := func(title string, env map[string]string) {
		c, err := Read(func(key string) string { return env[key] })
		if err != nil {
			out.WriteString(title + ": " + err.Error() + "\n")
			return
		}
		clients, executors := c.ConnLimits()
		fmt.Fprintf(&out, "%s: %s on %s of %s, %v cores, %d MB, %d descriptors (%d clients, %d executors), idle timeout %v, "+
			"dial timeout %v, shutdown timeout %v, reports load %v", title, c.Name, c.Listen, c.Discovery, c.Cores, c.MemoryBytes>>20, c.MaxDescriptors,
			clients, executors, c.Settings.IdleTimeout, c.Settings.DialTimeout, c.ShutdownTimeout(), c.Settings.ReportsLoad())
		if p := c.Settings.Policy; p.MayCheckHealth || p.MayHedge || p.MayLease || p.ClientsMarkRetries {
			fmt.Fprintf(&out, ", health checks %v at %s within %v, hedging %v, leases %v, retry marks %v", p.MayCheckHealth, c.Settings.Probe.Path, c.Settings.Probe.Timeout, p.MayHedge, p.MayLease, p.ClientsMarkRetries)
		}
		out.WriteString("\n")
	}
	file := filepath.Join(t.TempDir(), "config.json")
	with := func(title string, changes ...string) { // reads completeConfig with changes: pairs of old and new text
		text := strings.NewReplacer(changes...).Replace(completeConfig)
		if text == completeConfig && len(changes) > 0 {
			t.Fatalf("%s: the changes do not apply", title)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		readConfig(title, map[string]string{"ROUTER_CONFIG": file, "ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.9:1"})
	}
	readConfig("no file name", nil)
	with("complete")
	with("environment replaces absent keys", `"name":"n3","listen":"127.0.0.1:8081",`, "")
	with("defaults", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", `,"conn-idle-s":30,"dial-timeout-s":0.2`, "",
		`"waiting",`, "")
	with("a smaller machine", `192`, `48`, `1024`, `100`)
	with("malformed JSON", `"tracks"`, "\x00")
	with("no settings", `"settings"`, `"other"`)
	with("discovery address missing", `"discovery"`, `"other"`)
	with("port missing", `127.0.0.1:8081`, `127.0.0.1`)
	with("host name as discovery address", `127.0.0.2:8500`, `discovery:8500`)
	with("zero cores", `"cores":1.0`, `"cores":0`)
	with("memory as string", `192`, `"192"`)
	with("too little memory", `192`, `16`)
	with("too few descriptors", `1024`, `10`)
	with("number of nodes as string", `"balancers":3`, `"balancers":"three"`)
	with("string in place of a nested number", `"quoted-time-s":0.3`, `"quoted-time-s":"0.3"`)
	with("zero nodes", `"balancers":3`, `"balancers":0`)
	with("node number too high", `"my-number":2`, `"my-number":3`)
	with("zone number too high", `"areas"`, `"locality":1,"areas"`)
	with("number of attempts missing", `"max-allocations":6,`, ``)
	with("negative quantum", `0.004`, `-1`)
	with("slow-start capacity over 1", `"report"`, `"rules":{"cold-share":2},"report"`)
	with("negative progress interval", `"report-x0"`, `"progress-s":-1,"report-x0"`)
	with("negative drain grace", `"report"`, `"rules":{"drain-grace-s":-0.1},"report"`)
	with("drain grace as string", `"report"`, `"rules":{"drain-grace-s":"1s"},"report"`)
	with("drain grace too long", `"report"`, `"rules":{"drain-grace-s":1e300},"report"`)
	with("idle timeout too long", `"conn-idle-s":30`, `"conn-idle-s":1e300`)
	with("deduplication window too long", `"once"`, `"by_key","dedup-window-s":1e300`)
	with("hedging as string", `"max-allocations":6`, `"second-copies":"yes","max-allocations":6`)
	with("health checks as number", `"max-allocations":6`, `"probes":1,"max-allocations":6`)
	with("retry marks as string", `"areas"`, `"clients":{"marks-retry":"no"},"areas"`)
	with("unknown way to report load", `"report":{`, `"report":{"how":"by_post",`)
	with("health check path without leading slash", `"limits"`, `"probe":{"path":"load"},"limits"`)
	with("health check path with a space", `"limits"`, `"probe":{"path":"/a b"},"limits"`)
	with("health check path as number", `"limits"`, `"probe":{"path":7},"limits"`)
	with("zero health check timeout", `"limits"`, `"probe":{"path":"/load","timeout_s":0},"limits"`)
	with("negative health check timeout", `"limits"`, `"probe":{"path":"/load","timeout_s":-1},"limits"`)
	with("health check timeout too long", `"limits"`, `"probe":{"path":"/load","timeout_s":1e300},"limits"`)
	with("health check path, but health checks not permitted", `"limits"`, `"probe":{"path":"/load"},"limits"`)
	with("health checks and hedging", `"limits"`, `"probe":{"path":"/load","timeout_s":0.1},"limits"`,
		`"caps":{`, `"caps":{"probes":true,"second-copies":true,"peers":true,`, `"report":{`, `"report":{"how":"on_probe",`)
	with("health checks permitted, but no path", `"caps":{`, `"caps":{"probes":true,`, `"report":{`, `"report":{"how":"on_probe",`)
	with("no job classes", `"tracks"`, `"other"`)
	with("no latency objective", `"quoted-time-s":0.3,`, ``)
	with("no deadline", `"outer-limit-s":20,`, ``)
	with("negative quota", `"tracks"`, `"projects":[{"quota-per-s":1},{"quota-per-s":-1}],"tracks"`)
	with("quota too large", `"tracks"`, `"projects":[{"quota-per-s":1e300}],"tracks"`)
	with("quota as string", `"tracks"`, `"projects":[{"quota-per-s":"1"}],"tracks"`)
	with("all quotas zero", `"tracks"`, `"projects":[{"quota-per-s":0},{}],"tracks"`)
	with("unknown idempotency", `"once"`, `"twice"`)
	with("unknown deduplication group", `"once"`, `"by_key","dedup-scope":"house"`)
	with("job class without a name", `"name":"t",`, ``)

	running, _ := parse([]byte(completeConfig), func(string) string { return "" })
	for _, change := range [...][2]string{{"8c1f", "9"}, {"127.0.0.2", "127.0.0.3"}, {"n3", "n4"}, {"127.0.0.1", "127.0.0.9"},
		{"1.0", "0.5"}, {"192", "64"}, {"1024", "512"}, {"0.3", "0.4"}} {
		other, err := parse([]byte(strings.Replace(completeConfig, change[0], change[1], 1)), func(string) string { return "" })
		fmt.Fprintln(&out, "reload with", change[1], "for", change[0], "needs a restart for:", running.RestartKeys(other), err)
	}
	for _, change := range [...][2]string{{`"seed":"8c1f",`, ""}, {`"name":"n3",`, ""}, {`"sockets":1024`, `"socket":1024`}, {`"cancel"`, ``}, {`"quantum-s":0.004,`, ``},
		{`"conn-idle-s":30,`, ``}, {`"earnings":1}`, `"earnings":1},{"name":"u","quoted-time-s":1,"outer-limit-s":2,"repeat":"once"}`}, {`,"earnings":1`, ``},
		{`"repeat":"once"`, `"repeat":"by_key","dedup-scope":"all","dedup-window-s":2`}, {completeConfig, ""}, {completeConfig, completeConfig[:300]}, {`"outer-limit-s":20`, `"outer-limit-s":-20`},
		{`"outer-limit-s":20`, `"outer-limit-s":1e300`}, {`"outer-limit-s":20`, `"outer-limit-s":NaN`}, {`"outer-limit-s":20`, `"outer-limit-s":"20"`},
		{`"max-allocations":6`, `"max-allocations":0`}, {`"max-allocations":6`, `"max-allocations":2.5`}, {`"max-allocations":6`, `"max-allocations":null`}} {
		// The environment replaces absent keys at a start, but a reloaded file must be complete.
		other, err := parse([]byte(strings.Replace(completeConfig, change[0], change[1], 1)), func(key string) string {
			return map[string]string{"ROUTER_NAME": "n3"}[key]
		})
		if err == nil {
			err = running.MissingKey(&other)
		}
		fmt.Fprintf(&out, "reload with %.60q for %.30q: %v\n", change[1], change[0], err)
	}
	golden.Compare(t, "read.txt", out.String())
}

// TestDescriptorsSetAside checks that the connection limits leave the reserved descriptors free for every descriptor
// limit from minDescriptors on. During a handoff this needs at least 128 descriptors, and 256 with gossip.
func TestDescriptorsSetAside(t *testing.T) {
	for descriptors := minDescriptors; descriptors <= 4096; descriptors++ {
		for _, adminAddr := range []string{"", "127.0.0.1:1"} {
			for _, peers := range []int{0, 24} {
				c := Config{MaxDescriptors: descriptors, MemoryBytes: 1 << 30, AdminAddr: adminAddr, PeerDescriptors: peers}
				reserved := ownDescriptors + peers
				if adminAddr != "" {
					reserved += 1 + MaxAdminCalls
				}
				checkFits := func(title string, clients, executors, discovery, limit int) {
					overLimit := max(1, clients/8) // connections that the frontend accepts above its limit
					if total := clients + overLimit + executors + discovery + reserved; clients < 1 || executors < 1 || total > limit {
						t.Errorf("%s of %d, admin address %q, peers %d: %d clients, %d executors, %d in total",
							title, descriptors, adminAddr, peers, clients, executors, total)
					}
				}
				clients, executors := c.ConnLimits()
				checkFits("all", clients, executors, MaxDiscoveryConns, descriptors)
				if descriptors >= 128 && (peers == 0 || descriptors >= 256) {
					clients, executors = c.HandoffConnLimits()
					checkFits("half", clients, executors, MaxDiscoveryConns/2, descriptors/2)
				}
			}
		}
	}
}

// TestDedupWindowAllowsForSuspension guards against a job that runs twice: a node decides on a retry shortly before executors forget the
// job's idempotency key, is suspended before it writes, and writes afterwards. What the policy uses of the window ends as long before as
// a dial and a suspension of 0.15 s can take together, and a window that is shorter allows no retry.
func TestDedupWindowAllowsForSuspension(t *testing.T) {
	for window, want := range map[string]time.Duration{"1": 650 * time.Millisecond, "7.5": 7150 * time.Millisecond, "0.3": 0} {
		text := strings.Replace(completeConfig, `"repeat":"once"`, `"repeat":"by_key","dedup-scope":"all","dedup-window-s":`+window, 1)
		c, err := parse([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		if got := c.Settings.Policy.JobClasses[0].DedupWindow; got != want { // the time to dial is 0.2 s
			t.Errorf("of a window of %s s the policy uses %v, want %v", window, got, want)
		}
	}
}
