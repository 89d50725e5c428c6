package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"birchstair/internal/simulation"
)

type huntCmd struct {
	Against   bool          `help:"Play each scenario with gossip once more without, and list those in which gossip did worst."`
	Seeds     seeds         `default:"1..1000" help:"Range of seeds, as FIRST..LAST."`
	Nodes     int           `default:"4" help:"Largest number of nodes in a scenario."`
	Executors int           `default:"8" help:"Largest number of executors in a scenario."`
	Length    time.Duration `default:"15s" help:"Length of a scenario, during which clients submit batch jobs."`
	SlowStart bool          `name:"cold" help:"Draw scenarios with 20 or 30 nodes that stress the slow start of executors."`
	Parallel  int           `help:"Number of scenarios at a time. Defaults to the number of cores."`
	Keep      string        `type:"path" placeholder:"DIR" help:"Write the scenarios that violate an invariant or do worst to this directory."`
	Worst     int           `default:"5" help:"Number of worst scenarios to list."`
}

// seeds is a range of seeds, including both ends.
type seeds struct{ first, last uint64 }

// UnmarshalText parses FIRST..LAST, or a single seed.
func (s *seeds) UnmarshalText(text []byte) (err error) {
	a, b, ok := strings.Cut(string(text), "..")
	if !ok {
		b = a
	}
	if s.first, err = strconv.ParseUint(a, 10, 64); err != nil {
		return fmt.Errorf("invalid range of seeds %q; it must be FIRST..LAST, such as 1..1000", text)
	}
	if s.last, err = strconv.ParseUint(b, 10, 64); err != nil || s.last < s.first {
		return fmt.Errorf("invalid range of seeds %q; it must be FIRST..LAST, such as 1..1000", text)
	}
	return nil
}

// count returns the number of seeds in the range.
func (s seeds) count() int { return int(s.last - s.first + 1) }

// huntProgressInterval is the interval at which progress is reported on standard error.
const huntProgressInterval = time.Second

// playedScenario is a scenario with its result.
type playedScenario struct {
	scenario simulation.Scenario
	result   simulation.Result
}

// shortfall returns the upper bound of the earned fraction minus the earned fraction. The upper bound is that of the
// nodes and executors that were up.
func (w playedScenario) shortfall() float64 { return w.result.Best - w.result.Earned }

// hunt is the state of a running hunt.
type hunt struct {
	*huntCmd
	began, reported time.Time

	done          uint64
	works         int
	steps         int
	panics        int
	duplicateRuns int
	violations    int
	worst         []playedScenario // scenarios that did worst so far, by shortfall, largest first
	comparison    comparison
	err           error
}

// Run plays a drawn scenario for each seed. It prints the scenarios that violate an invariant or do worst, and keeps
// them if --keep is set.
func (c *huntCmd) Run() error {
	if c.Nodes < 1 || c.Executors < 2 || c.Length < time.Second {
		return fmt.Errorf("--nodes %d, --executors %d, --length %v: must be at least 1, 2 and 1s", c.Nodes, c.Executors, c.Length)
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	h := hunt{huntCmd: c, began: time.Now(), reported: time.Now()}
	size := simulation.Size{Nodes: c.Nodes, Executors: c.Executors, Length: c.Length, SlowStart: c.SlowStart}
	simulation.Hunt(c.Seeds.first, c.Seeds.last, size, c.Parallel, func(s simulation.Scenario, r simulation.Result) bool {
		h.add(playedScenario{s, r})
		h.reportProgress()
		return h.err == nil
	})
	if h.err != nil {
		return h.err
	}
	return h.printSummary()
}

// add adds a result to the sums. If the scenario violated an invariant, add prints the first violation, and keeps the
// scenario if --keep is set.
func (h *hunt) add(played playedScenario) {
	r := played.result
	h.done++
	h.works += r.Works()
	h.steps += r.Steps
	h.panics += r.Panics
	h.duplicateRuns += r.DuplicateRuns
	if len(r.Violations) > 0 {
		h.violations++
		fmt.Printf("seed %d: %v\n", r.Seed, r.Violations[0])
		if h.Keep != "" {
			h.err = keep(h.Keep, played.scenario, "breaks: "+r.Violations[0].Rule.String())
		}
	}
	if r.Panics > 0 {
		fmt.Printf("seed %d: the module broke %d times\n", r.Seed, r.Panics)
	}
	if h.Against && played.scenario.Fleet.Gossip {
		h.comparison.add(played)
	}
	h.worst = append(h.worst, played)
	slices.SortStableFunc(h.worst, func(a, b playedScenario) int { return cmp.Compare(b.shortfall(), a.shortfall()) })
	h.worst = h.worst[:min(len(h.worst), h.Worst)]
}

// reportProgress reports progress on standard error at intervals of huntProgressInterval.
func (h *hunt) reportProgress() {
	if time.Since(h.reported) <= huntProgressInterval {
		return
	}
	h.reported = time.Now()
	total := uint64(h.Seeds.count())
	rate := float64(h.done) / time.Since(h.began).Seconds()
	remaining := time.Duration(float64(total-h.done) / rate * 1e9)
	fmt.Fprintf(os.Stderr, "%d of %d worlds, %d broken, %.0f a second, %v to go\n", h.done, total, h.violations, rate, remaining.Round(time.Second))
}

// printSummary prints the sums and the scenarios that did worst. It keeps these scenarios if --keep is set.
func (h *hunt) printSummary() error {
	fmt.Printf("%d worlds, %d things wanted, %d steps in %v: %d broke a rule, the module broke %d times, %d tagged ran again too late to be dropped\n",
		h.done, h.works, h.steps, time.Since(h.began).Round(time.Millisecond), h.violations, h.panics, h.duplicateRuns)
	for _, played := range h.worst {
		r := played.result
		fmt.Printf("  seed %d earned %.3f where %.3f could have been; faults: %d\n", r.Seed, r.Earned, r.Best, len(played.scenario.Faults))
		if h.Keep != "" {
			if err := keep(h.Keep, played.scenario, fmt.Sprintf("earned %.3f", r.Earned)); err != nil {
				return err
			}
		}
	}
	if h.Against {
		h.comparison.print(h.Worst)
	}
	if h.violations > 0 {
		return errViolation
	}
	return nil
}

// comparison compares the results of the same scenarios with gossip and without.
type comparison struct {
	pairs []comparedPair
}

type comparedPair struct {
	seed                          uint64
	gossip, alone, best           float64 // earned fraction with gossip and without it, and the upper bound of the earned fraction
	gossipAttempts, aloneAttempts int
}

// notableDifference is the smallest difference of the earned fractions that counts as better or worse.
const notableDifference = 0.02

// add plays a scenario, which was played with gossip, again without gossip. It adds both results to the comparison.
func (c *comparison) add(played playedScenario) {
	s, r := played.scenario, played.result
	s.Fleet.Gossip = false
	alone := simulation.New(s, r.Seed, simulation.Options{}).Play()
	c.pairs = append(c.pairs, comparedPair{r.Seed, r.Earned, alone.Earned, r.Best, r.Attempts, alone.Attempts})
}

// print prints the means, and the scenarios in which gossip did worst.
func (c *comparison) print(worst int) {
	slices.SortStableFunc(c.pairs, func(a, b comparedPair) int { return cmp.Compare(a.gossip-a.alone, b.gossip-b.alone) })
	var sum comparedPair
	better, worse := 0, 0
	for _, p := range c.pairs {
		sum.gossip += p.gossip
		sum.alone += p.alone
		sum.gossipAttempts += p.gossipAttempts
		sum.aloneAttempts += p.aloneAttempts
		switch {
		case p.gossip > p.alone+notableDifference:
			better++
		case p.gossip < p.alone-notableDifference:
			worse++
		}
	}
	n := float64(max(1, len(c.pairs)))
	fmt.Printf("%d worlds whose nodes talk earned %.4f on average, each node alone %.4f; better by over 0.02 in %d, worse in %d; allocations %d and %d\n",
		len(c.pairs), sum.gossip/n, sum.alone/n, better, worse, sum.gossipAttempts, sum.aloneAttempts)
	for _, p := range c.pairs[:min(worst, len(c.pairs))] {
		fmt.Printf("  seed %d: talking %.3f, each alone %.3f, at the most %.3f\n", p.seed, p.gossip, p.alone, p.best)
	}
}

// keep writes a scenario to a directory. It adds the reason for keeping the scenario to the scenario's description.
func keep(dir string, s simulation.Scenario, reason string) error {
	s.About = strings.TrimSuffix(s.About, ".") + "; " + reason + "."
	text, err := s.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, s.Name+".toml"), text, 0o644)
}

type shrinkCmd struct {
	Scenario string `arg:"" help:"A file, or the name of a built-in scenario."`
	Seed     uint64 `help:"Random seed. Defaults to the scenario's own seed, or else to 1."`
	To       string `type:"path" placeholder:"FILE" help:"Write the reduced scenario to this file. By default it is printed."`
}

// Run reduces the scenario as long as it violates the same invariant. It prints the reduced scenario, or writes it to
// the file of --to.
func (c *shrinkCmd) Run() error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	seed := seedOf(s, c.Seed)
	r := simulation.New(s, seed, simulation.Options{}).Play()
	if len(r.Violations) == 0 {
		return fmt.Errorf("%s violates no invariant with seed %d, so there is nothing to shrink", s.Name, seed)
	}
	rule := r.Violations[0].Rule
	fmt.Fprintf(os.Stderr, "%s breaks the rule %q; looking for less that does\n", s.Name, rule)
	reduced := simulation.Shrink(s, seed, rule, func(s simulation.Scenario) {
		fmt.Fprintf(os.Stderr, "  %d faults, %v, %d nodes, %d executors, %d tracks\n", len(s.Faults), time.Duration(s.Length), s.Fleet.Nodes,
			s.Fleet.Executors, len(s.Classes))
	})
	reduced.Seed = seed
	r = simulation.New(reduced, seed, simulation.Options{}).Play()
	for _, b := range r.Violations {
		if b.Rule == rule {
			fmt.Fprintln(os.Stderr, b)
			break
		}
	}
	text, err := reduced.Text()
	if err != nil {
		return err
	}
	if c.To != "" {
		return os.WriteFile(c.To, text, 0o644)
	}
	_, err = os.Stdout.Write(text)
	return err
}

// seedOf returns the value of the flag --seed. If the flag is 0, it returns the scenario's own seed; if that is 0 too,
// it returns 1.
func seedOf(s simulation.Scenario, flag uint64) uint64 { return cmp.Or(flag, s.Seed, 1) }
