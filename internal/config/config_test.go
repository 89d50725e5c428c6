package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

const completeConfig = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500","seed":"8c1f",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"balancers":3,"my-number":2,"quantum-s":0.004,"new-key":[1],"areas":["a"],"flavors":["m"],
  "caps":{"max-allocations":6,"conn-idle-s":30,"dial-timeout-s":0.2},
  "report":{"fields":["active","cpu","waiting","x0"]},"domain":{"report-x0":"free slots"},
  "tracks":[{"name":"t","quoted-time-s":0.3,"outer-limit-s":20,"repeat":"once","earnings":1}]}}`

// A key that a configuration lacks gets its default, or an error that names it.
func TestRead(t *testing.T) {
	var out strings.Builder
	try := func(title string, env map[string]string) {
		c, err := Read(func(key string) string { return env[key] })
		if err != nil {
			out.WriteString(title + ": " + err.Error() + "\n")
			return
		}
		clients, executors := c.ConnLimits()
		fmt.Fprintf(&out, "%s: %s on %s of %s, %v cores, %d MB, %d sockets (%d clients, %d executors), idle %v, "+
			"dial %v, stop %v, loads %v", title, c.Name, c.Listen, c.Discovery, c.Cores, c.MemoryBytes>>20, c.MaxDescriptors,
			clients, executors, c.Settings.IdleTimeout, c.Settings.DialTimeout, c.ShutdownTimeout(), c.Settings.ReportsLoad())
		if p := c.Settings.Policy; p.MayCheckHealth || p.MayHedge || p.MayLease || p.ClientsMarkRetries {
			fmt.Fprintf(&out, ", probes %v by %s within %v, copies %v, words %v, marks %v", p.MayCheckHealth, c.Settings.Probe.Path, c.Settings.Probe.Timeout, p.MayHedge, p.MayLease, p.ClientsMarkRetries)
		}
		out.WriteString("\n")
	}
	file := filepath.Join(t.TempDir(), "config.json")
	with := func(title string, changes ...string) {
		text := strings.NewReplacer(changes...).Replace(completeConfig)
		if text == completeConfig && len(changes) > 0 {
			t.Fatalf("%s changes nothing", title)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		try(title, map[string]string{"ROUTER_CONFIG": file, "ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.9:1"})
	}
	try("no file named", nil)
	with("whole")
	with("the environment stands in", `"name":"n3","listen":"127.0.0.1:8081",`, "")
	with("defaults", `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", `,"conn-idle-s":30,"dial-timeout-s":0.2`, "",
		`"waiting",`, "")
	with("a smaller machine", `192`, `48`, `1024`, `100`)
	with("cut", `"tracks"`, "\x00")
	with("no settings", `"settings"`, `"other"`)
	with("discovery missing", `"discovery"`, `"other"`)
	with("a port missing", `127.0.0.1:8081`, `127.0.0.1`)
	with("a name for an address", `127.0.0.2:8500`, `discovery:8500`)
	with("no cores", `"cores":1.0`, `"cores":0`)
	with("memory as text", `192`, `"192"`)
	with("little memory", `192`, `16`)
	with("few sockets", `1024`, `10`)
	with("settings as text", `"balancers":3`, `"balancers":"three"`)
	with("a text deep in the settings", `"quoted-time-s":0.3`, `"quoted-time-s":"0.3"`)
	with("no nodes", `"balancers":3`, `"balancers":0`)
	with("a number too high", `"my-number":2`, `"my-number":3`)
	with("a zone that is not there", `"areas"`, `"locality":1,"areas"`)
	with("no allocation", `"max-allocations":6,`, ``)
	with("a quantum under 0", `0.004`, `-1`)
	with("a share over 1", `"report"`, `"rules":{"cold-share":2},"report"`)
	with("progress told before it is made", `"report-x0"`, `"progress-s":-1,"report-x0"`)
	with("a grace under 0", `"report"`, `"rules":{"drain-grace-s":-0.1},"report"`)
	with("a grace as text", `"report"`, `"rules":{"drain-grace-s":"1s"},"report"`)
	with("an endless grace", `"report"`, `"rules":{"drain-grace-s":1e300},"report"`)
	with("an endless idle time", `"conn-idle-s":30`, `"conn-idle-s":1e300`)
	with("an endless window", `"once"`, `"by_key","dedup-window-s":1e300`)
	with("copies as text", `"max-allocations":6`, `"second-copies":"yes","max-allocations":6`)
	with("probes as a number", `"max-allocations":6`, `"probes":1,"max-allocations":6`)
	with("marks as text", `"areas"`, `"clients":{"marks-retry":"no"},"areas"`)
	with("an unknown way to tell load", `"report":{`, `"report":{"how":"by_post",`)
	with("a path for probes that is none", `"limits"`, `"probe":{"path":"load"},"limits"`)
	with("a path with a gap", `"limits"`, `"probe":{"path":"/a b"},"limits"`)
	with("a path as a number", `"limits"`, `"probe":{"path":7},"limits"`)
	with("no time for probes", `"limits"`, `"probe":{"path":"/load","timeout_s":0},"limits"`)
	with("negative time for probes", `"limits"`, `"probe":{"path":"/load","timeout_s":-1},"limits"`)
	with("endless time for probes", `"limits"`, `"probe":{"path":"/load","timeout_s":1e300},"limits"`)
	with("a path where the settings allow no probes", `"limits"`, `"probe":{"path":"/load"},"limits"`)
	with("probes, and copies", `"limits"`, `"probe":{"path":"/load","timeout_s":0.1},"limits"`,
		`"caps":{`, `"caps":{"probes":true,"second-copies":true,"peers":true,`, `"report":{`, `"report":{"how":"on_probe",`)
	with("probes allowed, but no path", `"caps":{`, `"caps":{"probes":true,`, `"report":{`, `"report":{"how":"on_probe",`)
	with("no tracks", `"tracks"`, `"other"`)
	with("no quoted time", `"quoted-time-s":0.3,`, ``)
	with("no outer limit", `"outer-limit-s":20,`, ``)
	with("a quota under 0", `"tracks"`, `"projects":[{"quota-per-s":1},{"quota-per-s":-1}],"tracks"`)
	with("an endless quota", `"tracks"`, `"projects":[{"quota-per-s":1e300}],"tracks"`)
	with("a quota as text", `"tracks"`, `"projects":[{"quota-per-s":"1"}],"tracks"`)
	with("no shares at all", `"tracks"`, `"projects":[{"quota-per-s":0},{}],"tracks"`)
	with("an unknown repeat", `"once"`, `"twice"`)
	with("an unknown group", `"once"`, `"by_key","dedup-scope":"house"`)
	with("a track without a name", `"name":"t",`, ``)

	same, _ := parse([]byte(completeConfig), func(string) string { return "" })
	for _, change := range [...][2]string{{"8c1f", "9"}, {"127.0.0.2", "127.0.0.3"}, {"n3", "n4"}, {"127.0.0.1", "127.0.0.9"},
		{"1.0", "0.5"}, {"192", "64"}, {"1024", "512"}, {"0.3", "0.4"}} {
		other, err := parse([]byte(strings.Replace(completeConfig, change[0], change[1], 1)), func(string) string { return "" })
		fmt.Fprintln(&out, "read again with", change[1], "for", change[0], "waits:", same.RestartKeys(other), err)
	}
	for _, change := range [...][2]string{{`"seed":"8c1f",`, ""}, {`"name":"n3",`, ""}, {`"sockets":1024`, `"socket":1024`}, {`"cancel"`, ``}, {`"quantum-s":0.004,`, ``},
		{`"conn-idle-s":30,`, ``}, {`"earnings":1}`, `"earnings":1},{"name":"u","quoted-time-s":1,"outer-limit-s":2,"repeat":"once"}`}, {`,"earnings":1`, ``},
		{`"repeat":"once"`, `"repeat":"by_key","dedup-scope":"all","dedup-window-s":2`}, {completeConfig, ""}, {completeConfig, completeConfig[:300]}, {`"outer-limit-s":20`, `"outer-limit-s":-20`},
		{`"outer-limit-s":20`, `"outer-limit-s":1e300`}, {`"outer-limit-s":20`, `"outer-limit-s":NaN`}, {`"outer-limit-s":20`, `"outer-limit-s":"20"`},
		{`"max-allocations":6`, `"max-allocations":0`}, {`"max-allocations":6`, `"max-allocations":2.5`}, {`"max-allocations":6`, `"max-allocations":null`}} {
		// The environment stands in for what is left out at a start; what is read again is to be whole.
		other, err := parse([]byte(strings.Replace(completeConfig, change[0], change[1], 1)), func(key string) string {
			return map[string]string{"ROUTER_NAME": "n3"}[key]
		})
		if err == nil {
			err = same.MissingKey(&other)
		}
		fmt.Fprintf(&out, "read again with %.60q for %.30q: %v\n", change[1], change[0], err)
	}
	golden.Compare(t, "read.txt", out.String())
}

// Connection limits leave the reserved descriptors free, however few there are; during a handoff from 128 on, and from 256 with gossip.
func TestDescriptorsSetAside(t *testing.T) {
	for sockets := minDescriptors; sockets <= 4096; sockets++ {
		for _, management := range []string{"", "127.0.0.1:1"} {
			for _, peers := range []int{0, 24} {
				c := Config{MaxDescriptors: sockets, MemoryBytes: 1 << 30, AdminAddr: management, PeerDescriptors: peers}
				aside := ownDescriptors + peers
				if management != "" {
					aside += 1 + MaxAdminCalls
				}
				fits := func(what string, clients, executors, discovery, most int) {
					beyond := max(1, clients/8) // connections that wait at the front
					if all := clients + beyond + executors + discovery + aside; clients < 1 || executors < 1 || all > most {
						t.Errorf("%s of %d, door %q, peers %d: %d clients, %d executors, %d in all", what, sockets, management, peers, clients, executors, all)
					}
				}
				clients, executors := c.ConnLimits()
				fits("all", clients, executors, MaxDiscoveryConns, sockets)
				if sockets >= 128 && (peers == 0 || sockets >= 256) {
					clients, executors = c.HandoffConnLimits()
					fits("half", clients, executors, MaxDiscoveryConns/2, sockets/2)
				}
			}
		}
	}
}
