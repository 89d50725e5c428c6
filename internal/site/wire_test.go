package site

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
)

// everyKey is a site file that holds every key, none of them at its default.
const everyKey = `
[durable]
dir = "/d"
outer-limit = "36h"
keep = "48h"
segment = "2MiB"
most = "32MiB"
in-hand = 128
leases = true
ask-every = "3s"

[fleet]
name = "n7"
listen = "10.0.0.7:7946"
advertise = "10.1.0.7:7947"
seeds = ["10.0.0.1:7946", "10.0.0.2:7946"]
trusted-network = true
every = "300ms"
tell = 5
view-for = "2s"
drain-for = "90s"
`

// printed writes each value of a configuration after its key.
func printed(s Config) string {
	var out strings.Builder
	d, c := s.Durable, s.Cluster
	for _, line := range [...]struct {
		key   string
		value any
	}{
		{"durable.dir", d.Dir},
		{"durable.outer-limit", time.Duration(d.MaxDeadline)},
		{"durable.keep", time.Duration(d.Retention)},
		{"durable.segment", int64(d.SegmentSize)},
		{"durable.most", int64(d.MaxSize)},
		{"durable.in-hand", d.MaxConcurrent},
		{"durable.leases", d.ExecutorLeases},
		{"durable.ask-every", time.Duration(d.PollInterval)},
		{"fleet.name", c.Name},
		{"fleet.listen", c.Listen},
		{"fleet.advertise", c.Advertise},
		{"fleet.seeds", c.Seeds},
		{"fleet.trusted-network", c.TrustedNetwork},
		{"fleet.every", time.Duration(c.GossipInterval)},
		{"fleet.tell", c.Fanout},
		{"fleet.view-for", time.Duration(c.PeerStateTTL)},
		{"fleet.drain-for", time.Duration(c.DrainTTL)},
	} {
		fmt.Fprintf(&out, "%s: %v\n", line.key, line.value)
	}
	return out.String()
}

// TestEveryKey checks that a site file with every key is decoded completely, that one with only the required keys gets
// the defaults, and that a table in place of each value is refused with an error that names the key.
func TestEveryKey(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ title, text string }{
		{"every key", everyKey},
		{"defaults", "[durable]\ndir = \"/d\"\n[fleet]\nlisten = \"127.0.0.1:7946\""},
	} {
		s, err := Parse("own.toml", []byte(c.text))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n%s\n", c.title, printed(s))
	}
	for line := range strings.Lines(everyKey) {
		key, _, found := strings.Cut(strings.TrimSpace(line), " = ")
		if !found {
			continue
		}
		_, err := Parse("own.toml", []byte(strings.Replace(everyKey, line, key+" = { no = 1 }\n", 1)))
		refusal, _, _ := strings.Cut(fmt.Sprint(err), " into ") // the rest names Go types
		fmt.Fprintf(&out, "a table at %s: %s\n", key, refusal)
	}
	s, err := Parse("own.toml", []byte(everyKey))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "a node of 192 MiB: %v\n", s.FitsMemory(192<<20))
	golden.Compare(t, "every-key.txt", out.String())
}
