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
	Cold      bool          `help:"Draw worlds about cold executors, with 20 or 30 nodes."`
	Parallel  int           `help:"Worlds at a time; as many as there are cores if it is left out."`
	Keep      string        `type:"path" placeholder:"DIR" help:"Keep what breaks a rule, and what does worst, as scenarios there."`
	Worst     int           `default:"5" help:"How many of those that do worst are named."`
}

// seeds is a span of seeds.
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

// outcome is what a hunt keeps of a world.
type outcome struct {
	s simulation.Scenario
	r simulation.Result
}

func (c *huntCmd) Run() error {
	if c.Nodes < 1 || c.Executors < 2 || c.Length < time.Second {
		return fmt.Errorf("a world has at least 1 node, 2 executors and 1s: --nodes %d, --executors %d, --length %v", c.Nodes, c.Executors, c.Length)
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	began, said := time.Now(), time.Now()
	total := c.Seeds.last - c.Seeds.first + 1
	done, works, steps, panics, late := uint64(0), 0, 0, 0, 0
	var broken, worst []outcome
	var against versus
	var failed error
	size := simulation.Size{Nodes: c.Nodes, Executors: c.Executors, Length: c.Length, Cold: c.Cold}
	simulation.Hunt(c.Seeds.first, c.Seeds.last, size, c.Parallel, func(s simulation.Scenario, r simulation.Result) bool {
		done++
		works += r.Works()
		steps += r.Steps
		panics += r.Panics
		late += r.LateTwice
		if len(r.Broken) > 0 {
			broken = append(broken, outcome{s, r})
			fmt.Printf("seed %d: %v\n", r.Seed, r.Broken[0])
			if c.Keep != "" {
				failed = keep(c.Keep, s, "breaks: "+r.Broken[0].Rule.String())
			}
		}
		if r.Panics > 0 {
			fmt.Printf("seed %d: the module broke %d times\n", r.Seed, r.Panics)
		}
		if c.Against && s.Fleet.Talk {
			against.add(s, r)
		}
		worst = append(worst, outcome{s, r})
		slices.SortStableFunc(worst, func(a, b outcome) int { return cmp.Compare(shortfall(b), shortfall(a)) })
		worst = worst[:min(len(worst), c.Worst)]
		if time.Since(said) > time.Second {
			said = time.Now()
			rate := float64(done) / time.Since(began).Seconds()
			fmt.Fprintf(os.Stderr, "%d of %d worlds, %d broken, %.0f a second, %v to go\n", done, total, len(broken), rate,
				time.Duration(float64(total-done)/rate*1e9).Round(time.Second))
		}
		return failed == nil
	})
	if failed != nil {
		return failed
	}
	fmt.Printf("%d worlds, %d things wanted, %d steps in %v: %d broke a rule, the module broke %d times, %d tagged ran again too late to be dropped\n",
		done, works, steps, time.Since(began).Round(time.Millisecond), len(broken), panics, late)
	for _, o := range worst {
		fmt.Printf("  seed %d earned %.3f where %.3f could have been; faults: %d\n", o.r.Seed, o.r.Earned, o.r.Best, len(o.s.Faults))
		if c.Keep != "" {
			if err := keep(c.Keep, o.s, fmt.Sprintf("earned %.3f", o.r.Earned)); err != nil {
				return err
			}
		}
	}
	if c.Against {
		against.print(c.Worst)
	}
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}

// versus are worlds played with nodes that talk and with each alone.
type versus struct {
	pairs []pair
}

type pair struct {
	seed                  uint64
	talking, alone, best  float64
	allocations, allAlone int
}

func (v *versus) add(s simulation.Scenario, r simulation.Result) {
	s.Fleet.Talk = false
	o := simulation.New(s, r.Seed, simulation.Options{}).Play()
	v.pairs = append(v.pairs, pair{r.Seed, r.Earned, o.Earned, r.Best, r.Allocations, o.Allocations})
}

// print prints sums, and the worlds in which talking did worst.
func (v *versus) print(worst int) {
	slices.SortStableFunc(v.pairs, func(a, b pair) int { return cmp.Compare(a.talking-a.alone, b.talking-b.alone) })
	sum, alone, better, worse, allocations, allAlone := 0.0, 0.0, 0, 0, 0, 0
	for _, p := range v.pairs {
		sum += p.talking
		alone += p.alone
		allocations += p.allocations
		allAlone += p.allAlone
		switch {
		case p.talking > p.alone+0.02:
			better++
		case p.talking < p.alone-0.02:
			worse++
		}
	}
	n := float64(max(1, len(v.pairs)))
	fmt.Printf("%d worlds whose nodes talk earned %.4f on average, each node alone %.4f; better by over 0.02 in %d, worse in %d; allocations %d and %d\n",
		len(v.pairs), sum/n, alone/n, better, worse, allocations, allAlone)
	for _, p := range v.pairs[:min(worst, len(v.pairs))] {
		fmt.Printf("  seed %d: talking %.3f, each alone %.3f, at the most %.3f\n", p.seed, p.talking, p.alone, p.best)
	}
}

// shortfall is how far a world stayed under what could have been earned in it, with the nodes and executors that were there.
func shortfall(o outcome) float64 { return o.r.Best - o.r.Earned }

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

func (c *shrinkCmd) Run() error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	seed := seedOf(s, c.Seed)
	r := simulation.New(s, seed, simulation.Options{}).Play()
	if len(r.Broken) == 0 {
		return fmt.Errorf("%s breaks no rule with seed %d: there is nothing to shrink", s.Name, seed)
	}
	rule := r.Broken[0].Rule
	fmt.Fprintf(os.Stderr, "%s breaks the rule %q; looking for less that does\n", s.Name, rule)
	small := simulation.Shrink(s, seed, rule, func(s simulation.Scenario) {
		fmt.Fprintf(os.Stderr, "  %d faults, %v, %d nodes, %d executors, %d tracks\n", len(s.Faults), time.Duration(s.Length), s.Fleet.Nodes,
			s.Fleet.Executors, len(s.Tracks))
	})
	small.Seed = seed
	r = simulation.New(small, seed, simulation.Options{}).Play()
	for _, b := range r.Broken {
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

// seedOf is the seed that was asked for, or the scenario's own, or 1.
func seedOf(s simulation.Scenario, asked uint64) uint64 { return cmp.Or(asked, s.Seed, 1) }
