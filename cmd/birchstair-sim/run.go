package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/lab/scenarios"
)

type listCmd struct{}

// Run prints a line for each built-in scenario.
func (listCmd) Run() error {
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range files {
		s, err := simulation.LoadFrom(scenarios.Files, f)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%v\t%s\n", s.Name, time.Duration(s.Length), s.About)
	}
	return w.Flush()
}

// load reads a scenario from the file with the given name. If the file can't be read, and the name has neither a slash
// nor a dot, load returns the built-in scenario with this name.
func load(name string) (simulation.Scenario, error) {
	if text, err := os.ReadFile(name); err == nil {
		return simulation.Read(name, text)
	} else if strings.ContainsAny(name, "/.") {
		return simulation.Scenario{}, err
	}
	s, err := simulation.LoadFrom(scenarios.Files, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return s, fmt.Errorf("%s: neither a file nor a built-in scenario; birchstair-sim list prints those", name)
	}
	return s, err
}

type runCmd struct {
	Scenario string `arg:"" help:"A file, or the name of a built-in scenario."`
	Seed     uint64 `help:"Random seed. Defaults to the scenario's own seed, or else to 1."`
	Against  bool   `help:"Play the scenario both with and without gossip between nodes, and compare the results."`
	Runs     int    `help:"Play the scenario with this number of consecutive seeds, both with and without gossip, and print means and recovery times after the faults."`
	Trace    string `type:"path" placeholder:"FILE" help:"Write the trace to this file, as a line of JSON for each event."`
	JSON     string `name:"json" type:"path" placeholder:"FILE" help:"Write the result to this file, as JSON."`
}

// Run plays the scenario and prints the result.
func (c *runCmd) Run() (err error) {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Runs > 0 {
		return c.runSeeds(s)
	}
	o := simulation.Options{}
	if c.Trace != "" {
		trace, finish, createErr := writeTrace(c.Trace)
		if createErr != nil {
			return createErr
		}
		defer func() { err = errors.Join(err, finish()) }()
		o.Trace = trace
	}
	began := time.Now()
	r := simulation.New(s, seedOf(s, c.Seed), o).Play()
	r.Print(os.Stdout)
	fmt.Printf("  %d steps in %v\n", r.Steps, time.Since(began).Round(time.Millisecond))
	if c.Against {
		c.compare(s, r)
	}
	return report(c.JSON, r, r)
}

// compare prints the results of the scenario with and without gossip. r is the result of the scenario as it is. compare
// plays the scenario again with gossip switched on if it was off, and off if it was on.
func (c *runCmd) compare(s simulation.Scenario, r simulation.Result) {
	other := s
	other.Fleet.Gossip = !s.Fleet.Gossip
	gossip, alone := r, simulation.New(other, seedOf(s, c.Seed), simulation.Options{}).Play()
	if other.Fleet.Gossip {
		gossip, alone = alone, gossip
	}
	fmt.Printf("  talking %.3f, each alone %.3f, at the most %.3f; allocations %d and %d; rules broken %d and %d\n",
		gossip.Earned, alone.Earned, gossip.Best, gossip.Attempts, alone.Attempts, len(gossip.Violations), len(alone.Violations))
}

// report writes value as JSON to the file at path, unless path is empty. It returns errViolation if r has a violation.
func report(path string, value any, r simulation.Result) error {
	if path != "" {
		text, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(r.Violations) > 0 {
		return errViolation
	}
	return nil
}

// writeTrace creates a file for a trace. write appends an event to the file as a line. finish closes the file, and
// returns all errors of writing and closing.
func writeTrace(path string) (write func(invariants.Event), finish func() error, err error) {
	f, err := os.Create(filepath.Clean(path))
	if err != nil {
		return nil, nil, err
	}
	w := bufio.NewWriterSize(f, 1<<20)
	var errs error
	return func(s invariants.Event) {
			line, err := s.Line()
			if err == nil {
				_, err = w.Write(append(line, '\n'))
			}
			errs = errors.Join(errs, err)
		}, func() error {
			return errors.Join(errs, w.Flush(), f.Close())
		}, nil
}

const (
	// A simulation has recovered once the earned fraction is at most this much below the fraction before the faults.
	recoveryTolerance = 0.02
	quickRecovery     = 5 * time.Second // recoveries that take at most this long are also counted separately
)

// runSeeds plays a scenario with several seeds, both with and without gossip. It prints the means for each of the two.
func (c *runCmd) runSeeds(s simulation.Scenario) error {
	violations := 0
	for _, gossip := range []bool{true, false} {
		s.Fleet.Gossip = gossip
		results := make([]simulation.Result, c.Runs)
		inParallel(c.Runs, runtime.GOMAXPROCS(0), func(i int) {
			results[i] = simulation.New(s, seedOf(s, c.Seed)+uint64(i), simulation.Options{}).Play()
		})
		violations += printMeans(s, results)
	}
	if violations > 0 {
		fmt.Printf("%d rules broken\n", violations)
		return errViolation
	}
	return nil
}

// printMeans prints the means of a scenario's results, and the number of results that recovered after the faults. It
// returns the number of violations.
func printMeans(s simulation.Scenario, results []simulation.Result) (violations int) {
	earned, best, attempts, recovered, recoveredQuickly := 0.0, 0.0, 0, 0, 0
	longest := time.Duration(0)
	for i := range results {
		r := &results[i]
		earned += r.Earned
		best += r.Best
		attempts += r.Attempts
		violations += len(r.Violations)
		if recovery, ok := r.Recovery(s.Faults, recoveryTolerance); ok {
			recovered++
			longest = max(longest, recovery)
			if recovery <= quickRecovery {
				recoveredQuickly++
			}
		}
	}
	n := float64(len(results))
	fmt.Printf("%s, %d seeds, talk %t: earned %.3f of at the most %.3f on average, %.0f allocations; back within %.2f of before: %d, in 5 s %d, the longest %v\n",
		s.Name, len(results), s.Fleet.Gossip, earned/n, best/n, float64(attempts)/n, recoveryTolerance, recovered, recoveredQuickly, longest)
	return violations
}
