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

// playNetworked runs a networked simulation on a virtual clock.
func playNetworked(t *testing.T, s Scenario, seed uint64, o Options) (r Result) {
	synctesting.Test(t, func(*testing.T) { r = New(s, seed, o).PlayNetworked() })
	if r.Wrong > 0 {
		t.Errorf("%s, seed %d: %d answers that no node should give", s.Name, seed, r.Wrong)
	}
	return r
}

const ownProcessVariable = "BIRCHLAB_OWN_PROCESS"

// runInOwnProcess runs the test in a child process if the race detector is on, and returns whether it did. A synctest bubble then uses one
// processor only (internal/synctesting), and child processes let tests still run in parallel. The test fails if the child has not run it.
func runInOwnProcess(t *testing.T) bool {
	if !underRace || os.Getenv(ownProcessVariable) != "" {
		return false
	}
	name := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
	cmd := exec.Command(os.Args[0], "-test.run="+name, "-test.v", fmt.Sprint("-seeds=", *seeds))
	cmd.Env = append(os.Environ(), ownProcessVariable+"=1", "GOMAXPROCS=1")
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "--- PASS: "+t.Name()+" ") {
		t.Errorf("child process: %v\n%s", err, out)
	}
	return true
}

// TestNetworkedScenarios plays the repository's scenarios in networked simulations. No invariant may be violated.
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
			s.Length = min(s.Length, Span(2*time.Minute)) // networked simulations take longer than others
			if underRace {
				s = shortened(s, 2000)
			}
			s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At >= s.Length })
			r := playNetworked(t, s, s.Seed, Options{})
			checkSound(t, r)
			if s.Load.MalformedRate > 0 && r.Malformed == 0 {
				t.Error("no malformed request was sent")
			}
		})
	}
}

// TestNetworkedDrawnScenarios plays drawn scenarios in networked simulations. No invariant may be violated.
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

// TestNetworkedDigest writes the digest of the traces of several networked simulations to a file. It runs only in the child processes of
// TestNetworkedSameSeedSameTrace.
func TestNetworkedDigest(t *testing.T) {
	file := os.Getenv(networkedDigestVariable)
	if file == "" {
		t.Skip("runs only in a child process of TestNetworkedSameSeedSameTrace")
	}
	var out strings.Builder
	for seed := uint64(1); seed <= 6; seed++ {
		h, lines := sha256.New(), 0
		scenario := Draw(seed, Size{Nodes: 3, Executors: 6, Length: 8 * time.Second})
		// Remaining goroutines of killed processes must not change anything, not even the names of later connections. Drains of clients are
		// removed, because the goroutine of a drain never ends here if its node is killed, as only the end of a real process ends it.
		scenario.Faults = slices.DeleteFunc(scenario.Faults, func(f Fault) bool { return f.Kind == "sent-away" })
		scenario.Faults = append(scenario.Faults, Fault{Kind: "node-killed", At: Span(2 * time.Second), For: Span(time.Second)},
			Fault{Kind: "zone-lost", At: Span(5 * time.Second), For: Span(time.Second), Where: scenario.Fleet.Zones[:1]})
		playNetworked(t, scenario, seed, Options{Trace: func(s invariants.Event) {
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

// TestNetworkedSameSeedSameTrace verifies that the same seed gives the same networked trace in several processes, with one thread and with
// eight. With the race detector all of them use one thread (internal/synctesting), so only the run without it tests eight.
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
