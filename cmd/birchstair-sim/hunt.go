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
	Against   bool          `help:"Play each world whose nodes talk once more with each alone, and name those where talking did worst."`
	Seeds     seeds         `default:"1..1000" help:"The seeds, as FIRST..LAST."`
	Nodes     int           `default:"4" help:"Nodes in a world, at most."`
	Executors int           `default:"8" help:"Executors in a world, at most."`
	Length    time.Duration `default:"15s" help:"How long batch jobs come in a world."`
	SlowStart bool          `name:"cold" help:"Draw worlds about cold executors, with 20 or 30 nodes."`
	Parallel  int           `help:"Worlds at a time; as many as there are cores if it is left out."`
	Keep      string        `type:"path" placeholder:"DIR" help:"Keep what breaks a rule, and what does worst, as scenarios there."`
	Worst     int           `default:"5" help:"How many of those that do worst are named."`
}

// seeds is a range of seeds, both ends included.
type seeds struct{ first, last uint64 }

// UnmarshalText reads FIRST..LAST, or one seed.
func (s *seeds) UnmarshalText(text []byte) (err error) {
	a, b, ok := strings.Cut(string(text), "..")
	if !ok {
		b = a
	}
	if s.first, err = strconv.ParseUint(a, 10, 64); err != nil {
		return fmt.Errorf("%q is no span of seeds, such as 1..1000", text)
	}
	if s.last, err = strconv.ParseUint(b, 10, 64); err != nil || s.last < s.first {
		return fmt.Errorf("%q is no span of seeds, such as 1..1000", text)
	}
	return nil
}

// count returns how many seeds there are.
func (s seeds) count() int { return int(s.last - s.first + 1) }

// huntProgressInterval is how often progress is reported on standard error.
const huntProgressInterval = time.Second

// world is a scenario that was played, and its result.
type world struct {
	scenario simulation.Scenario
	result   simulation.Result
}

// shortfall is by how much a world earned less than it could have with the nodes and executors that were there.
func (w world) shortfall() float64 { return w.result.Best - w.result.Earned }

// hunt is the state of a running hunt.
type hunt struct {
	*huntCmd
	began, reported time.Time

	done       uint64
	works      int
	steps      int
	panics     int
	lateTwice  int
	violations int
	worst      []world // the largest shortfall first
	comparison comparison
	err        error
}

// Run plays a world for each seed, and prints and keeps those that violate an invariant or do worst.
func (c *huntCmd) Run() error {
	if c.Nodes < 1 || c.Executors < 2 || c.Length < time.Second {
		return fmt.Errorf("a world has at least 1 node, 2 executors and 1s: --nodes %d, --executors %d, --length %v", c.Nodes, c.Executors, c.Length)
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	h := hunt{huntCmd: c, began: time.Now(), reported: time.Now()}
	size := simulation.Size{Nodes: c.Nodes, Executors: c.Executors, Length: c.Length, SlowStart: c.SlowStart}
	simulation.Hunt(c.Seeds.first, c.Seeds.last, size, c.Parallel, func(s simulation.Scenario, r simulation.Result) bool {
		h.add(world{s, r})
		h.reportProgress()
		return h.err == nil
	})
	if h.err != nil {
		return h.err
	}
	return h.printSummary()
}

// add counts a world, and prints and keeps it where it violates an invariant.
func (h *hunt) add(w world) {
	r := w.result
	h.done++
	h.works += r.Works()
	h.steps += r.Steps
	h.panics += r.Panics
	h.lateTwice += r.DuplicateRuns
	if len(r.Violations) > 0 {
		h.violations++
		fmt.Printf("seed %d: %v\n", r.Seed, r.Violations[0])
		if h.Keep != "" {
			h.err = keep(h.Keep, w.scenario, "breaks: "+r.Violations[0].Rule.String())
		}
	}
	if r.Panics > 0 {
		fmt.Printf("seed %d: the module broke %d times\n", r.Seed, r.Panics)
	}
	if h.Against && w.scenario.Fleet.Gossip {
		h.comparison.add(w)
	}
	h.worst = append(h.worst, w)
	slices.SortStableFunc(h.worst, func(a, b world) int { return cmp.Compare(b.shortfall(), a.shortfall()) })
	h.worst = h.worst[:min(len(h.worst), h.Worst)]
}

// reportProgress reports progress on standard error now and then.
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

// printSummary prints sums and the worlds that did worst, and keeps those.
func (h *hunt) printSummary() error {
	fmt.Printf("%d worlds, %d things wanted, %d steps in %v: %d broke a rule, the module broke %d times, %d tagged ran again too late to be dropped\n",
		h.done, h.works, h.steps, time.Since(h.began).Round(time.Millisecond), h.violations, h.panics, h.lateTwice)
	for _, w := range h.worst {
		r := w.result
		fmt.Printf("  seed %d earned %.3f where %.3f could have been; faults: %d\n", r.Seed, r.Earned, r.Best, len(w.scenario.Faults))
		if h.Keep != "" {
			if err := keep(h.Keep, w.scenario, fmt.Sprintf("earned %.3f", r.Earned)); err != nil {
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

// comparison is of worlds that were played with nodes that gossip, and with each node alone.
type comparison struct {
	pairs []worldPair
}

type worldPair struct {
	seed                          uint64
	gossip, alone, best           float64 // earned, and what could have been
	gossipAttempts, aloneAttempts int
}

// notable is the difference from which on one of a pair counts as better.
const notable = 0.02

// add plays a world whose nodes gossip once more with each node alone.
func (c *comparison) add(w world) {
	s, r := w.scenario, w.result
	s.Fleet.Gossip = false
	alone := simulation.New(s, r.Seed, simulation.Options{}).Play()
	c.pairs = append(c.pairs, worldPair{r.Seed, r.Earned, alone.Earned, r.Best, r.Attempts, alone.Attempts})
}

// print prints sums, and the worlds in which gossip did worst.
func (c *comparison) print(worst int) {
	slices.SortStableFunc(c.pairs, func(a, b worldPair) int { return cmp.Compare(a.gossip-a.alone, b.gossip-b.alone) })
	var sum worldPair
	better, worse := 0, 0
	for _, p := range c.pairs {
		sum.gossip += p.gossip
		sum.alone += p.alone
		sum.gossipAttempts += p.gossipAttempts
		sum.aloneAttempts += p.aloneAttempts
		switch {
		case p.gossip > p.alone+notable:
			better++
		case p.gossip < p.alone-notable:
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

// keep writes a scenario to a directory, with the reason in its description.
func keep(dir string, s simulation.Scenario, why string) error {
	s.About = strings.TrimSuffix(s.About, ".") + "; " + why + "."
	text, err := s.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, s.Name+".toml"), text, 0o644)
}

type shrinkCmd struct {
	Scenario string `arg:"" help:"A file, or the name of a kept scenario."`
	Seed     uint64 `help:"What chance is drawn from; the scenario's own seed, or 1, if it is left out."`
	To       string `type:"path" placeholder:"FILE" help:"Where the small scenario goes; else it is printed."`
}

// Run prints the smallest scenario that still violates the same invariant, or writes it to a file.
func (c *shrinkCmd) Run() error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	seed := seedOf(s, c.Seed)
	r := simulation.New(s, seed, simulation.Options{}).Play()
	if len(r.Violations) == 0 {
		return fmt.Errorf("%s breaks no rule with seed %d: there is nothing to shrink", s.Name, seed)
	}
	rule := r.Violations[0].Rule
	fmt.Fprintf(os.Stderr, "%s breaks the rule %q; looking for less that does\n", s.Name, rule)
	small := simulation.Shrink(s, seed, rule, func(s simulation.Scenario) {
		fmt.Fprintf(os.Stderr, "  %d faults, %v, %d nodes, %d executors, %d tracks\n", len(s.Faults), time.Duration(s.Length), s.Fleet.Nodes,
			s.Fleet.Executors, len(s.Classes))
	})
	small.Seed = seed
	r = simulation.New(small, seed, simulation.Options{}).Play()
	for _, b := range r.Violations {
		if b.Rule == rule {
			fmt.Fprintln(os.Stderr, b)
			break
		}
	}
	text, err := small.Text()
	if err != nil {
		return err
	}
	if c.To != "" {
		return os.WriteFile(c.To, text, 0o644)
	}
	_, err = os.Stdout.Write(text)
	return err
}

// seedOf returns the seed of the flag, or the scenario's own, or 1.
func seedOf(s simulation.Scenario, flag uint64) uint64 { return cmp.Or(flag, s.Seed, 1) }
