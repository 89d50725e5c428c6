package simulation

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/invariants"
)

// traceHash hashes a trace twice: completely, and without the texts of its notes. A reworded log message changes only the first hash.
type traceHash struct {
	lines         int
	whole, events bytes.Buffer
}

func (h *traceHash) record(t *testing.T, s invariants.Event) {
	line, err := s.Line()
	if err != nil {
		t.Error(err)
	}
	h.lines++
	h.whole.Write(line)
	if s.Kind == invariants.Note {
		s.Text = ""
		if line, err = s.Line(); err != nil {
			t.Error(err)
		}
	}
	h.events.Write(line)
}

func (h *traceHash) String() string {
	return fmt.Sprintf("%d lines, %x, without texts %x", h.lines, sha256.Sum256(h.whole.Bytes()), sha256.Sum256(h.events.Bytes()))
}

// printedResult returns a result as it is printed, followed by its JSON.
func printedResult(t *testing.T, r Result) string {
	t.Helper()
	var out bytes.Buffer
	r.Print(&out)
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	out.Write(text)
	out.WriteString("\n")
	if r.Account != nil {
		r.Account.Print(&out)
	}
	return out.String()
}

// goldenScenarios returns the scenarios whose traces and results are in golden files.
func goldenScenarios(t *testing.T) []Scenario {
	t.Helper()
	all := []Scenario{}
	for _, name := range []string{"answers-lost", "bad-clients", "calm", "copies-of-silent", "discovery-silent", "errors-and-cut",
		"fleet-one-hears-of-drain", "fleet-overload", "fleet-replaced", "nodes-restarted", "reset-and-repeat", "rolling-drains", "split-zone"} {
		s := loadScenario(t, name)
		s.Length = min(s.Length, Span(20*time.Second))
		all = append(all, shortened(s, 600))
	}
	for seed := uint64(1); seed <= 6; seed++ {
		all = append(all, Draw(seed, Size{Nodes: 4, Executors: 8, Length: 6 * time.Second}))
	}
	return append(all, Draw(7, Size{Nodes: 4, Executors: 8, Length: 4 * time.Second, SlowStart: true}))
}

// TestGoldenTraces compares the traces and results of goldenScenarios, with each policy, to the golden file.
func TestGoldenTraces(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	for _, s := range goldenScenarios(t) {
		for _, p := range Policies {
			var h traceHash
			r := New(s, s.Seed, Options{Policy: p, Account: true, Trace: func(x invariants.Event) { h.record(t, x) }}).Play()
			fmt.Fprintf(&out, "%s, seed %d, %s: %s\n  result %x\n", s.Name, s.Seed, p, &h, sha256.Sum256([]byte(printedResult(t, r))))
		}
	}
	golden.Compare(t, "traces.txt", out.String())
}

// notPinned are scenarios whose trace or result in a networked simulation has differed between runs with the same seed.
var notPinned = []string{"bad-clients", "nodes-restarted", "reset-and-repeat"}

// TestGoldenNetworkedTraces compares the traces and results of networked simulations to the golden file.
func TestGoldenNetworkedTraces(t *testing.T) {
	t.Parallel()
	if runInOwnProcess(t) {
		return
	}
	var out strings.Builder
	for _, s := range goldenScenarios(t) {
		if s.Fleet.Nodes >= 20 || slices.Contains(notPinned, s.Name) {
			continue
		}
		var h traceHash
		r := playNetworked(t, s, s.Seed, Options{Trace: func(x invariants.Event) { h.record(t, x) }})
		fmt.Fprintf(&out, "%s, seed %d: %s\n  result %x\n", s.Name, s.Seed, &h, sha256.Sum256([]byte(printedResult(t, r))))
	}
	golden.Compare(t, "networked-traces.txt", out.String())
}

// TestGoldenResult compares one result, printed and as JSON, to the golden file, which has it in full.
func TestGoldenResult(t *testing.T) {
	t.Parallel()
	s := shortened(loadScenario(t, "fleet-overload"), 600)
	golden.Compare(t, "result.txt", printedResult(t, New(s, s.Seed, Options{Account: true}).Play()))
}

// TestGoldenDrawnScenarios compares drawn scenarios with all their keys to the golden file, which has two in full and hashes of all.
func TestGoldenDrawnScenarios(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	for seed := uint64(1); seed <= 200; seed++ {
		for _, cold := range []bool{false, true} {
			s := Draw(seed, Size{Nodes: 6, Executors: 20, Length: 20 * time.Second, SlowStart: cold})
			text, err := s.Text()
			if err != nil {
				t.Fatal(err)
			}
			if seed == 1 {
				out.Write(text)
			}
			fmt.Fprintf(&out, "# seed %d, cold %v: %x\n", seed, cold, sha256.Sum256(text))
		}
	}
	golden.Compare(t, "drawn-scenarios.txt", out.String())
}

// TestGoldenShrinking compares the steps by which a scenario that violates an invariant is reduced to the golden file.
func TestGoldenShrinking(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	violates := func(s Scenario) bool {
		sim := New(s, 1, Options{MaxViolations: 1})
		sim.defects = defects[0].inject
		r := sim.Play()
		return len(r.Violations) > 0 && r.Violations[0].Rule == defects[0].rule
	}
	step := func(s Scenario) {
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%x\n", sha256.Sum256(text))
	}
	step(shrink(faultyScenario(nil), violates, step))
	golden.Compare(t, "shrinking.txt", out.String())
}
