package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/policy"
)

// TestResultWireForm pins the JSON form of a result, with each field set and with none.
func TestResultWireForm(t *testing.T) {
	set := Result{Seed: 1, Requested: 2, Earned: 3, Best: 4, Works: 5, Requests: map[string]int{"handled": 6}, Attempts: 7, Work: 8, Finished: 9,
		Overloaded: 10, SlowStartPeak: 11, LateAttempts: 12, LeftWhileQueued: 13, SentAfterClientLeft: 14, ClusterViews: [][]string{{"a"}, nil}, Violations: []string{"w"}}
	if value := reflect.ValueOf(set); value.Kind() == reflect.Struct {
		for i := range value.NumField() {
			if value.Field(i).IsZero() {
				t.Errorf("%s is not set", value.Type().Field(i).Name)
			}
		}
	}
	text := ""
	for _, result := range []Result{{}, set} {
		line, err := json.Marshal(result)
		if err != nil {
			t.Fatal(err)
		}
		text += string(line) + "\n"
	}
	golden.Compare(t, "result.jsonl", text)
}

// fixedListener is a listener with a fixed address that accepts no connections.
type fixedListener struct {
	net.Listener
	address net.TCPAddr
}

func (l fixedListener) Addr() net.Addr { return &l.address }

// TestNodeFiles pins the configuration and the operator's file that the harness writes for a node.
func TestNodeFiles(t *testing.T) {
	all := simulation.Base()
	f := &all.Fleet
	f.Gossip, f.ReportsLoad, f.ValuePerWork, f.MayHedge, f.Leases, f.StartNotices, f.MaxAttempts, f.CrossZoneCost = true, true, true, true, true, true, 4, 0.25
	f.MaxRetryAfter, f.IdleTimeout, f.DialTimeout, f.ProgressInterval = simulation.Span(time.Second), simulation.Span(2*time.Second), simulation.Span(3*time.Second), simulation.Span(4*time.Second)
	none := simulation.Base()
	none.Fleet.Gossip, none.Fleet.ReportsLoad, none.Fleet.MaxRetryAfter = false, false, 0
	classes := []policy.JobClass{
		{LatencyObjective: time.Second, Deadline: 2 * time.Second, Value: 3, RunTimeFactor: 4, LateValue: 5},
		{Idempotency: policy.AtMostOnce, Deadline: time.Second},
		{Idempotency: policy.IdempotentWithKey, DedupWindow: time.Second},
		{Idempotency: policy.IdempotentWithKey, DedupWindow: time.Second, DedupGroup: policy.DedupZone},
		{Idempotency: policy.IdempotentWithKey, DedupWindow: time.Second, DedupGroup: policy.DedupCell},
	}
	text := ""
	for _, s := range []simulation.Scenario{all, none} {
		class := s.Classes[0]
		s.Classes = nil
		for i := range classes {
			class.Name = fmt.Sprint("class", i)
			s.Classes = append(s.Classes, class)
		}
		r := &cluster{scenario: s, options: Options{Seed: 7}, nodeClasses: classes}
		for i := range 4 {
			p := &nodeProcess{cluster: r, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: 1, dir: t.TempDir(), clientAddress: "127.9.0.1:8081", adminAddress: "127.9.0.1:8082",
				gossipAddress: "127.9.0.1:7947", discoveryListener: fixedListener{address: net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9000}}}
			if s.Fleet.Gossip {
				p.gossipRelay = &gossipRelay{addr: fmt.Sprintf("127.9.1.%d:7946", i+1)}
			}
			r.nodes = append(r.nodes, p)
		}
		p := r.nodes[1]
		if err := p.writeFiles(); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"config.json", "site.toml"} {
			content, err := os.ReadFile(filepath.Join(p.dir, name))
			if err != nil && (s.Fleet.Gossip || name != "site.toml") {
				t.Fatal(err)
			}
			text += name + "\n" + string(content) + "\n"
		}
	}
	golden.Compare(t, "node_files.txt", text)
}

// TestDrawnScenarios pins the scenarios that Draw returns for some seeds, and thereby the order of its random draws.
func TestDrawnScenarios(t *testing.T) {
	all := ""
	for seed := range uint64(8) {
		text, err := Draw(seed, 3+int(seed)).Text()
		if err != nil {
			t.Fatal(err)
		}
		all += string(text) + "\n"
	}
	golden.Compare(t, "drawn.txt", all)
}
