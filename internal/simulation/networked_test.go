package simulation

import (
	"crypto/sha256"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"birchstair/internal/invariants"
	"birchstair/internal/synctesting"
	"birchstair/lab/scenarios"
)

// playWired plays a world on connections in memory, on a virtual clock.
func playNetworked(t *testing.T, s Scenario, seed uint64, o Options) (r Result) {
	synctesting.Test(t, func(*testing.T) { r = New(s, seed, o).PlayNetworked() })
	if r.Wrong > 0 {
		t.Errorf("%s, seed %d: %d answers that no node should give", s.Name, seed, r.Wrong)
	}
	return r
}

const ownProcessVariable = "BIRCHLAB_OWN_PROCESS"

// inOwnProcess runs a test in a process of its own while the race detector is on, and says whether it did: a bubble has one processor
// then (internal/synctesting), and so worlds are still played beside each other. A child that did not run the test fails it.
func runInOwnProcess(t *testing.T) bool {
	if !underRace || os.Getenv(ownProcessVariable) != "" {
		return false
	}
	name := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
	cmd := exec.Command(os.Args[0], "-test.run="+name, "-test.v", fmt.Sprint("-seeds=", *seeds))
	cmd.Env = append(os.Environ(), ownProcessVariable+"=1", "GOMAXPROCS=1")
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "--- PASS: "+t.Name()+" ") {
		t.Errorf("in a process of its own: %v\n%s", err, out)
	}
	return true
}

// The scenarios in wired worlds.
func TestNetworkedScenarios(t *testing.T) {
	t.Parallel()
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(f, ".toml"), func(t *testing.T) {
			t.Parallel()
			if runInOwnProcess(t) {
				return
			}
			s, err := LoadFrom(scenarios.Files, f)
			if err != nil {
				t.Fatal(err)
			}
			s.Length = min(s.Length, Span(2*time.Minute)) // bytes take longer than events
			if underRace {
				s = shortened(s, 2000)
			}
			s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At >= s.Length })
			r := playNetworked(t, s, s.Seed, Options{})
			checkSound(t, r)
			if s.Load.MalformedRate > 0 && r.Malformed == 0 {
				t.Error("no bad client came")
			}
		})
	}
}

// Drawn scenarios in wired worlds.
func TestNetworkedDrawnScenarios(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= uint64(*seeds/10); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if runInOwnProcess(t) {
				return
			}
			s := Draw(seed, Size{Nodes: 3, Executors: 6, Length: 10 * time.Second})
			for _, b := range playNetworked(t, s, seed, Options{}).Violations {
				t.Errorf("seed %d: %v", seed, b)
			}
		})
	}
}

const networkedDigestVariable = "BIRCHLAB_WIRED_DIGEST"

// TestWiredDigest writes the digest of some wired worlds' traces for TestWiredSameSeedSameTrace, in a process of its own.
func TestNetworkedDigest(t *testing.T) {
	file := os.Getenv(networkedDigestVariable)
	if file == "" {
		t.Skip("only in a process of its own")
	}
	var out strings.Builder
	for seed := uint64(1); seed <= 6; seed++ {
		h, lines := sha256.New(), 0
		world := Draw(seed, Size{Nodes: 3, Executors: 6, Length: 8 * time.Second})
		// Killed processes: what is left of their goroutines must change nothing, not even the names of later connections.
		// Without nodes that are killed while they drain clients: the goroutine that does so never ends there, as it need not in a process.
		world.Faults = slices.DeleteFunc(world.Faults, func(f Fault) bool { return f.Kind == "sent-away" })
		world.Faults = append(world.Faults, Fault{Kind: "node-killed", At: Span(2 * time.Second), For: Span(time.Second)},
			Fault{Kind: "zone-lost", At: Span(5 * time.Second), For: Span(time.Second), Where: world.Fleet.Zones[:1]})
		playNetworked(t, world, seed, Options{Trace: func(s invariants.Event) {
			line, err := s.Line()
			if err != nil {
				t.Error(err)
			}
			lines++
			h.Write(line)
		}})
		fmt.Fprintf(&out, "seed %d: %d lines, %x\n", seed, lines, h.Sum(nil))
	}
	if err := os.WriteFile(file, []byte(out.String()), 0o600); err != nil {
		t.Error(err)
	}
}

// The same seed gives the same trace with the network code, too: in several processes, with one thread and with eight. Under the race
// detector all have one (internal/synctesting), so that part is the run's without it (make test).
func TestNetworkedSameSeedSameTrace(t *testing.T) {
	t.Parallel()
	want := ""
	for i, procs := range []string{"1", "8", "8"} {
		file := filepath.Join(t.TempDir(), "digest")
		cmd := exec.Command(os.Args[0], "-test.run=^TestNetworkedDigest$")
		cmd.Env = append(os.Environ(), networkedDigestVariable+"="+file, "GOMAXPROCS="+procs)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			want = string(got)
		} else if string(got) != want {
			t.Errorf("with GOMAXPROCS=%s:\n%swith 1:\n%s", procs, got, want)
		}
	}
}
