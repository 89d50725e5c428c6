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

var seeds = flag.Int("seeds", 150, "number of drawn worlds")

// Drawn worlds with half of the clients leaving early and nodes that are suspended meanwhile: no attempt starts too long after its client
// has left, in event worlds nor, without suspended nodes, in wired ones.
func TestClientsLeaveInDrawnScenarios(t *testing.T) {
	waiting := 0
	leaving := func(seed uint64, size Size) Scenario {
		s := Draw(seed, size)
		s.Load.LeaveRate, s.Load.Utilization = 0.5, max(1, s.Load.Utilization)
		for i := range 4 {
			s.Faults = append(s.Faults, Fault{Kind: emulator.NodePaused, At: Span(time.Duration(1500+3000*i) * time.Millisecond),
				For: Span(time.Duration(150+300*i) * time.Millisecond)})
		}
		return s
	}
	look := func(seed uint64, r Result) {
		waiting += r.LeftQueued
		if r.SentLate > 0 {
			t.Errorf("seed %d: %d attempts began too long after their clients had left", seed, r.SentLate)
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
	for seed := uint64(1); seed <= uint64(*seeds/8); seed++ {
		look(seed, New(leaving(seed, Size{Nodes: 4, Executors: 8, Length: 15 * time.Second}), seed, Options{}).Play())
	}
	t.Logf("%d of them in worlds of events", waiting)
	for seed := uint64(1); seed <= uint64(*seeds/50); seed++ {
		s := leaving(seed, Size{Nodes: 3, Executors: 6, Length: 10 * time.Second})
		// A node that is killed while it drains clients leaves a goroutine behind that never ends here, as it need not in a process.
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Kind == emulator.ClientsDrained })
		look(seed, playNetworked(t, s, seed, Options{}))
	}
	if t.Logf("%d clients left while their batch jobs waited", waiting); waiting < 2**seeds {
		t.Errorf("%d clients left while their batch jobs waited: too few to tell", waiting)
	}
}

// Every scenario with some seeds: no invariant is violated, and the policy never panics.
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

// The scenarios of lab/size are too large for tests and are played by hand; here they are only read.
func TestLargeScenariosLoad(t *testing.T) {
	sizes := os.DirFS("../../lab/size")
	files, err := fs.Glob(sizes, "*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("none: ", err)
	}
	for _, f := range files {
		if s, err := LoadFrom(sizes, f); err != nil || len(s.Faults) == 0 {
			t.Errorf("%s: %v, %d faults", f, err, len(s.Faults))
		}
	}
}

// shortened shortens a scenario to about as many jobs, without the faults that would begin later.
func shortened(s Scenario, most float64) Scenario {
	mean := 0.0
	for _, t := range s.Classes {
		mean += t.Share * time.Duration(t.Work).Seconds()
	}
	if s.Load.Utilization == 0 {
		return s
	}
	perSecond := s.Load.Utilization * float64(s.Fleet.Executors*s.Fleet.Slots) * s.Fleet.Speed / mean // and retries
	s.Length = min(s.Length, Span(most/perSecond*float64(time.Second)))
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= s.Length })
	return s
}

// checkSound fails if an invariant was violated, the policy panicked, or nothing was played.
func checkSound(t *testing.T, r Result) {
	t.Helper()
	for _, b := range r.Violations {
		t.Errorf("%s, seed %d: %v", r.Scenario, r.Seed, b)
	}
	if r.Panics > 0 || r.Works() == 0 || r.Attempts == 0 {
		t.Errorf("%s, seed %d: the module broke %d times; %d wanted, %d allocations", r.Scenario, r.Seed, r.Panics, r.Works(), r.Attempts)
	}
}

// A fixed set of drawn worlds.
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
			t.Errorf("seed %d: the module broke %d times", r.Seed, r.Panics)
		}
		return true
	})
}

// digest is a hash of the traces of some worlds.
func digest() string {
	h := sha256.New()
	lines := 0
	for seed := uint64(1); seed <= 8; seed++ {
		s := Draw(seed, Size{Nodes: 4, Executors: 8, Length: 10 * time.Second})
		New(s, seed, Options{Trace: func(x invariants.Event) {
			line, err := x.Line()
			if err != nil {
				panic(err)
			}
			h.Write(line)
			lines++
		}}).Play()
	}
	return fmt.Sprintf("%d lines, %x", lines, h.Sum(nil))
}

const digestVariable = "BIRCHLAB_DIGEST"

func TestMain(m *testing.M) {
	if os.Getenv(digestVariable) != "" {
		fmt.Print(digest())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// The same seed gives the same trace, byte for byte: again, in other processes, with one thread and with eight.
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

// A scenario that is written and read again plays the same.
func TestScenarioTextRoundTrip(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := Draw(seed, Size{Nodes: 3, Executors: 5, Length: 5 * time.Second})
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Read(s.Name+".toml", text)
		if err != nil {
			t.Fatal(err)
		}
		var a, b bytes.Buffer
		r := New(s, seed, Options{}).Play()
		r.Print(&a)
		r = New(back, seed, Options{}).Play()
		r.Print(&b)
		if a.String() != b.String() {
			t.Errorf("seed %d:\n%s%s", seed, a.String(), b.String())
		}
	}
}

// Every drawn scenario passes the check.
func TestDrawnScenariosAreValid(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3000) {
		s := Draw(seed, Size{Nodes: 6, Executors: 20, Length: 20 * time.Second})
		if at, err := s.check(); err != nil {
			t.Fatalf("seed %d: %s: %v", seed, at, err)
		}
	}
}

// Errors of scenarios name file, line and key.
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

// Shrinking leaves the one fault that violates the invariant.
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
	small := shrink(s, violates, func(Scenario) { steps++ })
	if !violates(small) || steps == 0 {
		t.Fatalf("what is left after %d steps breaks nothing", steps)
	}
	if len(small.Faults) != 1 || small.Faults[0].Kind != emulator.Drain || len(small.Faults[0].Where) != 1 || small.Length > s.Length/2 ||
		small.Fleet.Nodes != 1 || len(small.Classes) != 1 {
		text, _ := small.Text()
		t.Errorf("still large:\n%s", text)
	}
	if whole := shrink(s, func(Scenario) bool { return false }, func(Scenario) { t.Error("a step that helped nothing") }); !sameText(whole, s) {
		t.Error("a world that breaks nothing was changed")
	}
}
