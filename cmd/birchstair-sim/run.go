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
	"sync"
	"text/tabwriter"
	"time"

	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/lab/scenarios"
)

type listCmd struct{}

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

// load reads a scenario by its file, or by the name of a kept one.
func load(name string) (simulation.Scenario, error) {
	if text, err := os.ReadFile(name); err == nil {
		return simulation.Read(name, text)
	} else if strings.ContainsAny(name, "/.") {
		return simulation.Scenario{}, err
	}
	s, err := simulation.LoadFrom(scenarios.Files, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return s, fmt.Errorf("%s: neither a file nor a kept scenario; birchstair-sim list names those", name)
	}
	return s, err
}

type runCmd struct {
	Scenario string `arg:"" help:"A file, or the name of a kept scenario."`
	Seed     uint64 `help:"What chance is drawn from; the scenario's own seed, or 1, if it is left out."`
	Against  bool   `help:"Play it once more with nodes that talk, or do not: whichever the scenario does not say."`
	Runs     int    `help:"Play it with so many seeds, from that one on, talking and each alone, and print means, and how soon service was back after the faults."`
	Trace    string `type:"path" placeholder:"FILE" help:"Write all that is seen there, a line of JSON each."`
	JSON     string `name:"json" type:"path" placeholder:"FILE" help:"Write the result there."`
}

func (c *runCmd) Run() (err error) {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Runs > 0 {
		return c.many(s)
	}
	o := simulation.Options{}
	if c.Trace != "" {
		trace, finish, err := writeTrace(c.Trace)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, finish()) }()
		o.Trace = trace
	}
	began := time.Now()
	r := simulation.New(s, seedOf(s, c.Seed), o).Play()
	r.Print(os.Stdout)
	fmt.Printf("  %d steps in %v\n", r.Steps, time.Since(began).Round(time.Millisecond))
	if c.Against {
		other := s
		other.Fleet.Talk = !s.Fleet.Talk
		o := simulation.New(other, seedOf(s, c.Seed), simulation.Options{}).Play()
		with, without := r, o
		if other.Fleet.Talk {
			with, without = o, r
		}
		fmt.Printf("  talking %.3f, each alone %.3f, at the most %.3f; allocations %d and %d; rules broken %d and %d\n",
			with.Earned, without.Earned, with.Best, with.Allocations, without.Allocations, len(with.Broken), len(without.Broken))
	}
	return report(c.JSON, r, r)
}

// report writes what came of a world to a file, if one is named, and says whether a rule broke.
func report(path string, what any, r simulation.Result) error {
	if path != "" {
		text, err := json.MarshalIndent(what, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(r.Broken) > 0 {
		return errBroken
	}
	return nil
}

// writeTrace gives what writes a trace to a file, and what finishes it.
func writeTrace(path string) (func(invariants.Seen), func() error, error) {
	f, err := os.Create(filepath.Clean(path))
	if err != nil {
		return nil, nil, err
	}
	w := bufio.NewWriterSize(f, 1<<20)
	var failed error
	return func(s invariants.Seen) {
			line, err := s.Line()
			if err == nil {
				_, err = w.Write(append(line, '\n'))
			}
			failed = errors.Join(failed, err)
		}, func() error {
			return errors.Join(failed, w.Flush(), f.Close())
		}, nil
}

// near is how close to before service has to be to count as back.
const near = 0.02

// many plays a scenario with many seeds, with nodes that talk and with each alone.
func (c *runCmd) many(s simulation.Scenario) error {
	broken := 0
	for _, talk := range []bool{true, false} {
		s.Fleet.Talk = talk
		results := make([]simulation.Result, c.Runs)
		var wait sync.WaitGroup
		free := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i := range results {
			free <- struct{}{}
			wait.Go(func() {
				defer func() { <-free }()
				results[i] = simulation.New(s, seedOf(s, c.Seed)+uint64(i), simulation.Options{}).Play()
			})
		}
		wait.Wait()
		earned, best, allocations, back, within := 0.0, 0.0, 0, 0, 0
		longest := time.Duration(0)
		for i := range results {
			r := &results[i]
			earned += r.Earned
			best += r.Best
			allocations += r.Allocations
			broken += len(r.Broken)
			if span, ok := r.Recovery(s.Faults, near); ok {
				back++
				longest = max(longest, span)
				if span <= 5*time.Second {
					within++
				}
			}
		}
		n := float64(c.Runs)
		fmt.Printf("%s, %d seeds, talk %t: earned %.3f of at the most %.3f on average, %.0f allocations; back within %.2f of before: %d, in 5 s %d, the longest %v\n",
			s.Name, c.Runs, talk, earned/n, best/n, float64(allocations)/n, near, back, within, longest)
	}
	if broken > 0 {
		fmt.Printf("%d rules broken\n", broken)
		return errBroken
	}
	return nil
}
