package simulation

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/golden"
	"birchstair/internal/invariants"
	"birchstair/lab/scenarios"
)

var seeds = flag.Int("seeds", 150, "number of drawn scenarios to play")

// TestClientsLeaveInDrawnScenarios plays drawn scenarios in which half of the clients disconnect early and nodes are suspended. No attempt
// may be sent too long after its client has disconnected, nor in networked simulations, which ignore the suspensions.
func TestClientsLeaveInDrawnScenarios(t *testing.T) {
	leftWhileQueued := 0
	leavingScenario := func(seed uint64, size Size) Scenario {
		s := Draw(seed, size)
		s.Load.LeaveRate, s.Load.Utilization = 0.5, max(1, s.Load.Utilization)
		for i := range 4 {
			s.Faults = append(s.Faults, Fault{Kind: emulator.NodePaused, At: Span(time.Duration(1500+3000*i) * time.Millisecond),
				For: Span(time.Duration(150+300*i) * time.Millisecond)})
		}
		return s
	}
	check := func(seed uint64, r Result) {
		leftWhileQueued += r.LeftQueued
		if r.SentLate > 0 {
			t.Errorf("seed %d: %d attempts were sent too long after their clients had disconnected", seed, r.SentLate)
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
	for seed := uint64(1); seed <= uint64(*seeds/8); seed++ {
		check(seed, New(leavingScenario(seed, Size{Nodes: 4, Executors: 8, Length: 15 * time.Second}), seed, Options{}).Play())
	}
	t.Logf("%d clients left while their jobs were queued, without networked simulations", leftWhileQueued)
	for seed := uint64(1); seed <= uint64(*seeds/50); seed++ {
		s := leavingScenario(seed, Size{Nodes: 3, Executors: 6, Length: 10 * time.Second})
		// The goroutine of a client drain never ends here if its node is killed, as only the end of a real process ends it.
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Kind == emulator.ClientsDrained })
		check(seed, playNetworked(t, s, seed, Options{}))
	}
	if t.Logf("%d clients left while their jobs were queued", leftWhileQueued); leftWhileQueued < 2**seeds {
		t.Errorf("%d clients left while their jobs were queued, want at least %d for a conclusive test", leftWhileQueued, 2**seeds)
	}
}

// TestScenarios plays each scenario with several seeds. No invariant may be violated, and the policy must not panic.
func TestScenarios(t *testing.T) {
	t.Parallel()
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil || len(files) < 12 {
		t.Fatal("scenarios are missing: ", files, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(f, ".toml"), func(t *testing.T) {
			t.Parallel()
			s, err := LoadFrom(scenarios.Files, f)
			if err != nil {
				t.Fatal(err)
			}
			plays := uint64(3)
			if underRace {
				s, plays = shortened(s, 3600), 1
			}
			for seed := s.Seed; seed < s.Seed+plays; seed++ {
				r := New(s, seed, Options{}).Play()
				checkSound(t, r)
			}
		})
	}
}

// TestLargeScenariosLoad verifies that the scenarios of lab/size can be read. They are too large to be played in a test.
func TestLargeScenariosLoad(t *testing.T) {
	sizes := os.DirFS("../../lab/size")
	files, err := fs.Glob(sizes, "*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios in lab/size: ", err)
	}
	for _, f := range files {
		if s, err := LoadFrom(sizes, f); err != nil || len(s.Faults) == 0 {
			t.Errorf("%s: %v, %d faults", f, err, len(s.Faults))
		}
	}
}

// shortened returns the scenario with a length of about maxWorks work items, without the faults that would begin later.
func shortened(s Scenario, maxWorks float64) Scenario {
	mean := 0.0
	for _, t := range s.Classes {
		mean += t.Share * time.Duration(t.Work).Seconds()
	}
	if s.Load.Utilization == 0 {
		return s
	}
	perSecond := s.Load.Utilization * float64(s.Fleet.Executors*s.Fleet.Slots) * s.Fleet.Speed / mean // without retries
	s.Length = min(s.Length, Span(maxWorks/perSecond*float64(time.Second)))
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	return s
}

// checkSound fails if an invariant was violated, the policy panicked, or there was no traffic.
func checkSound(t *testing.T, r Result) {
	t.Helper()
	for _, b := range r.Violations {
		t.Errorf("%s, seed %d: %v", r.Scenario, r.Seed, b)
	}
	if r.Panics > 0 || r.Works() == 0 || r.Attempts == 0 {
		t.Errorf("%s, seed %d: %d panics of the policy, %d work items, %d attempts", r.Scenario, r.Seed, r.Panics, r.Works(), r.Attempts)
	}
}

// TestDrawnScenarios plays the drawn scenarios of a fixed set of seeds. No invariant may be violated, and the policy must not panic.
func TestDrawnScenarios(t *testing.T) {
	t.Parallel()
	last := uint64(*seeds)
	if underRace {
		last /= 3
	}
	Hunt(1, last, Size{Nodes: 4, Executors: 8, Length: 15 * time.Second}, 0, func(_ Scenario, r Result) bool {
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", r.Seed, b)
		}
		if r.Panics > 0 {
			t.Errorf("seed %d: %d panics of the policy", r.Seed, r.Panics)
		}
		return true
	})
}

// digest returns a hash of the traces of several simulations.
func digest() string {
	h := sha256.New()
	lineCount := 0
	for seed := uint64(1); seed <= 8; seed++ {
		s := Draw(seed, Size{Nodes: 4, Executors: 8, Length: 10 * time.Second})
		New(s, seed, Options{Trace: func(x invariants.Event) {
			line, err := x.Line()
			if err != nil {
				panic(err)
			}
			h.Write(line)
			lineCount++
		}}).Play()
	}
	return fmt.Sprintf("%d lines, %x", lineCount, h.Sum(nil))
}

const digestVariable = "BIRCHLAB_DIGEST"

func TestMain(m *testing.M) {
	if os.Getenv(digestVariable) != "" {
		fmt.Print(digest())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestSameSeedSameTrace verifies that the same seed gives the same trace in several processes, with one thread and with eight.
func TestSameSeedSameTrace(t *testing.T) {
	t.Parallel()
	want := digest()
	for _, procs := range []string{"1", "8"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), digestVariable+"=1", "GOMAXPROCS="+procs)
		got, err := cmd.Output()
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("with GOMAXPROCS=%s: %s\nhere: %s", procs, got, want)
		}
	}
}

// TestScenarioTextRoundTrip verifies that a scenario that is encoded and parsed again has the same result.
func TestScenarioTextRoundTrip(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := Draw(seed, Size{Nodes: 3, Executors: 5, Length: 5 * time.Second})
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Read(s.Name+".toml", text)
		if err != nil {
			t.Fatal(err)
		}
		var a, b bytes.Buffer
		r := New(s, seed, Options{}).Play()
		r.Print(&a)
		r = New(decoded, seed, Options{}).Play()
		r.Print(&b)
		if a.String() != b.String() {
			t.Errorf("seed %d:\n%s%s", seed, a.String(), b.String())
		}
	}
}

// TestDrawnScenariosAreValid verifies that drawn scenarios pass the check of their values.
func TestDrawnScenariosAreValid(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3000) {
		s := Draw(seed, Size{Nodes: 6, Executors: 20, Length: 20 * time.Second})
		if at, err := s.check(); err != nil {
			t.Fatalf("seed %d: %s: %v", seed, at, err)
		}
	}
}

// TestBrokenScenarios compares errors of scenario files, which name file, line and key, to the golden file.
func TestBrokenScenarios(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"length = 30",
		"length = \"soon\"",
		"length = \"0s\"",
		"[fleet]\nnodez = 3",
		"[fleet]\nnodes = 0",
		"[fleet]\nzones = [\"a\"]\nnodes = \"three\"",
		"about = \"x\"\n\n[load]\nof = 0.5\nzones = [1.0]",
		"[load]\nof = 0.0",
		"[[fault]]\nkind = \"fire\"\nat = \"1s\"\nfor = \"1s\"",
		"[[fault]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\nwhere = [\"e99\"]",
		"[[fault]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\n\n[[fault]]\nkind = \"zone-lost\"\nat = \"1s\"\nfor = \"1s\"",
		"[[fault]]\nkind = \"zone-cut\"\nat = \"1s\"\nfor = \"1s\"\nwhere = [\"mars\"]",
		"[[fault]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nsize = 0.1",
		"[[fault]]\nkind = \"mute\"\nat = \"1s\"\nfor = \"1s\"\nsize = 0.1",
		"[[fault]]\nkind = \"mute\"\nat = \"2h\"\nfor = \"1s\"",
		"[[fault]]\nkind = \"list-lost\"\nat = \"1s\"\nfor = 5",
		"[[track]]\nname = \"a\"\nshare = 0.5\nrepeat = \"repeatable\"\nwork = \"1s\"\nquoted = \"1s\"\nouter-limit = \"5s\"\nearnings = 1.0",
		"[[track]]\nname = \"a\"\nshare = 1.0\nrepeat = \"twice\"",
		"[[track]]\nname = \"a\"\nshare = 1.0\nrepeat = \"tagged\"\nwork = \"1s\"\nquoted = \"1s\"\nouter-limit = \"5s\"\nearnings = 1.0",
		"[[track]]\nname = \"a\"\nshare = 1.0\nrepeat = \"once-only\"\nwork = \"1s\"\nquoted = \"10s\"\nouter-limit = \"5s\"\nearnings = 1.0",
		"[fleet",
	} {
		_, err := Read("x.toml", []byte(text))
		fmt.Fprintf(&out, "%s\n    -> %v\n", strings.ReplaceAll(text, "\n", "\n  "), err)
	}
	golden.Compare(t, "broken-scenarios.txt", out.String())
}

// TestShrink verifies that shrinking leaves only the fault that violates the invariant.
func TestShrink(t *testing.T) {
	t.Parallel()
	defect := defects[0]
	const seed = 1
	violates := func(s Scenario) bool {
		sim := New(s, seed, Options{MaxViolations: 1})
		sim.defects = defect.inject
		r := sim.Play()
		return len(r.Violations) > 0 && r.Violations[0].Rule == defect.rule
	}
	s, steps := faultyScenario(nil), 0
	reduced := shrink(s, violates, func(Scenario) { steps++ })
	if !violates(reduced) || steps == 0 {
		t.Fatalf("the scenario after %d steps violates no invariant", steps)
	}
	if len(reduced.Faults) != 1 || reduced.Faults[0].Kind != emulator.Drain || len(reduced.Faults[0].Where) != 1 || reduced.Length > s.Length/2 ||
		reduced.Fleet.Nodes != 1 || len(reduced.Classes) != 1 {
		text, _ := reduced.Text()
		t.Errorf("the scenario could be smaller:\n%s", text)
	}
	if unchanged := shrink(s, func(Scenario) bool { return false }, func(Scenario) { t.Error("a step for a scenario that violates no invariant") }); !sameText(unchanged, s) {
		t.Error("a scenario that violates no invariant was changed")
	}
}
