package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/lab/scenarios"
)

var binary string

func TestMain(m *testing.M) { golden.Main(m, &binary) }

func playScenario(t *testing.T, s simulation.Scenario, seed uint64) Result {
	t.Helper()
	dir := t.TempDir()
	r := playWith(t, s, Options{Binary: binary, Dir: dir, Seed: seed})
	for _, w := range r.Violations {
		t.Errorf("%s, seed %d: %s", s.Name, seed, w)
	}
	if t.Failed() {
		text, _ := os.ReadFile(filepath.Join(dir, "timeline.txt"))
		t.Logf("%s", text[max(0, len(text)-20000):])
	}
	return r
}

func playWith(t *testing.T, s simulation.Scenario, o Options) Result {
	t.Helper()
	if err := CheckScenario(s); err != nil {
		t.Fatal(err)
	}
	r, err := Play(s, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func loadScenario(t *testing.T, name string) simulation.Scenario {
	t.Helper()
	s, err := simulation.LoadFrom(scenarios.Files, name+".toml")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestDrainLearnedByGossip checks that nodes respect a drain that they learn of by gossip alone. One of three nodes is
// notified by discovery; the others cannot reach discovery, and one of them is partitioned for a while. Without gossip
// the nodes keep sending to the draining executors, which shows that the check can fail.
func TestDrainLearnedByGossip(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "fleet-one-hears-of-drain")
	// Three executors drain: the uninformed nodes hardly use e0 and mostly use e3 and e4. If only e0 drained, a run
	// without gossip might have no late attempt.
	s.Length, s.Load.Utilization = simulation.Span(12*time.Second), 0.4
	s.Faults[1].For, s.Faults[2].For, s.Faults[2].Where = simulation.Span(12*time.Second), simulation.Span(20*time.Second), []string{"e0", "e3", "e4"}
	if r := playScenario(t, s, 1); r.LateAttempts > 0 {
		t.Errorf("%d attempts went to an executor long after a peer was notified of its drain", r.LateAttempts)
	}
	s.Fleet.Gossip = false
	r := playScenario(t, s, 1)
	if t.Logf("without gossip, %d attempts went to draining executors", r.LateAttempts); r.LateAttempts == 0 {
		t.Error("without gossip, nothing was sent to draining executors: the check above cannot fail")
	}
}

// TestIgnoredDiscovery checks that a node that ignores discovery violates the rule invariants.DrainInForce and no
// other, and that a node that cannot reach discovery violates none.
func TestIgnoredDiscovery(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "fleet-one-hears-of-drain")
	s.Fleet.Gossip, s.Length = false, simulation.Span(12*time.Second)
	s.Faults = []simulation.Fault{{Kind: "drain", At: simulation.Span(time.Second), For: simulation.Span(40 * time.Second), Where: []string{"e1", "e3", "e5"}},
		{Kind: "list-cut", At: simulation.Span(500 * time.Millisecond), For: simulation.Span(11 * time.Second), Where: []string{"n1"}}}
	playScenario(t, s, 1)
	s.Faults = s.Faults[:1]
	r := playWith(t, s, Options{Binary: binary, Dir: t.TempDir(), Seed: 1, injectDefect: func(r *cluster) { r.nodes[1].discoveryUnreachable = true }})
	if t.Logf("%d violations", len(r.Violations)); len(r.Violations) == 0 {
		t.Error("the node that ignores discovery violated no rule")
	}
	for _, w := range r.Violations {
		if !strings.HasPrefix(w, invariants.DrainInForce.String()) || !strings.Contains(w, "by n1 ") {
			t.Errorf("unexpected violation: %s", w)
		}
	}
}

// TestMigrationBudget checks that nodes that gossip share one budget for migrations. Eight nodes run below capacity;
// two of them are partitioned and one is killed. The work that they send beyond the work that finishes must stay far
// below that of the same nodes without gossip.
func TestMigrationBudget(t *testing.T) {
	t.Parallel()
	s := loadScenario(t, "fleet-overload")
	s.Name, s.Length = "migration-budget", simulation.Span(8*time.Second)
	s.Fleet.Nodes, s.Fleet.Executors, s.Load.Utilization = 8, 24, 0.8
	s.Faults = []simulation.Fault{{Kind: "nodes-apart", At: simulation.Span(2 * time.Second), For: simulation.Span(3 * time.Second), Where: []string{"n0", "n1"}},
		{Kind: "node-killed", At: simulation.Span(4 * time.Second), For: simulation.Span(2 * time.Second), Where: []string{"n2"}}}
	gossiping := playScenario(t, s, 1)
	s.Fleet.Gossip = false
	alone := playScenario(t, s, 1)
	excess := func(r Result) float64 { return r.Work/r.Finished - 1 }
	if t.Logf("sent over finished work: %.2f with gossip, %.2f without", 1+excess(gossiping), 1+excess(alone)); excess(gossiping) > 0.75*excess(alone) {
		t.Errorf("sent over finished work: %.2f with gossip, %.2f without", 1+excess(gossiping), 1+excess(alone))
	}
}

// TestRandomScenarios checks that random scenarios violate no rule.
func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(6) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			s := Draw(seed, 5)
			s.Length = simulation.Span(6 * time.Second)
			playScenario(t, s, seed)
		})
	}
}

// TestPeerViews checks that the admin command for the cluster state lists each peer with the age of its state.
func TestPeerViews(t *testing.T) {
	t.Parallel()
	s := simulation.Base()
	s.Name, s.Length, s.Fleet.Nodes, s.Fleet.Executors, s.Fleet.Gossip, s.Fleet.WeightInterval = "peer-views", simulation.Span(2*time.Second), 4, 4, true, 0
	r := playScenario(t, s, 3)
	for i, view := range r.ClusterViews {
		text := strings.Join(view, "\n")
		if strings.Count(text, "neighbour=") != 3 || strings.Contains(text, "age_ms=never") || !strings.Contains(text, "alive=4") {
			t.Errorf("node %d reports:\n%s", i, text)
		}
	}
}

// TestClientsLeave lets clients disconnect while their batch jobs are queued. No attempt for such a job may be sent more
// than 0.1 s later, even if the nodes are paused in between; checkClientPresent has the tolerances of this check.
func TestClientsLeave(t *testing.T) {
	for _, paused := range []bool{false, true} {
		t.Run(fmt.Sprint("paused=", paused), func(t *testing.T) {
			s := loadScenario(t, "fleet-clients-leave")
			if paused {
				s.Load.Utilization, s.Fleet.Executors = 8, 16
				for i := range 9 {
					s.Faults = append(s.Faults, simulation.Fault{Kind: "node-stopped", At: simulation.Span(time.Duration(500+600*i) * time.Millisecond),
						For: simulation.Span(400 * time.Millisecond), Where: []string{"n0", "n1"}})
				}
			}
			r := playScenario(t, s, 3)
			if t.Logf("%d clients disconnected while their batch jobs were queued, %d attempts were late", r.LeftWhileQueued, r.SentAfterClientLeft); r.LeftWhileQueued < 10 {
				t.Errorf("%d clients disconnected while their batch jobs were queued, want at least 10", r.LeftWhileQueued)
			}
		})
	}
}
