package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"birchstair/internal/harness"
	"birchstair/internal/simulation"
)

// fleetCmd plays scenarios with clusters of real processes.
type fleetCmd struct {
	Run  fleetRunCmd  `cmd:"" help:"Play a scenario with real processes on loopback. The exit status is 1 if an invariant was violated."`
	Hunt fleetHuntCmd `cmd:"" help:"Play scenarios drawn from seeds with real processes, and keep the files of runs with violations."`
}

type fleetOptions struct {
	Binary string `type:"existingfile" default:"bin/birchstair" help:"Path of the birchstair program."`
	Keep   string `type:"path" placeholder:"DIR" help:"Keep the logs, configurations and timeline of each run in this directory. By default only those of runs with violations are kept, in a temporary directory."`
}

type fleetRunCmd struct {
	fleetOptions
	Scenario string `arg:"" help:"A file, or the name of a built-in scenario."`
	Seed     uint64 `default:"1" help:"Random seed of the first run."`
	Runs     int    `default:"1" help:"Number of runs, one after another. Each has the next seed."`
	Against  bool   `help:"Play each seed both with and without the [fleet] table, and print both results."`
	JSON     string `name:"json" type:"path" placeholder:"FILE" help:"Append the results to this file, as a line of JSON each."`
}

type fleetHuntCmd struct {
	fleetOptions
	Seeds    seeds `default:"1..20" help:"Range of seeds, as FIRST..LAST."`
	Nodes    int   `default:"6" help:"Number of nodes in each scenario, from 3 to 60."`
	Parallel int   `default:"2" help:"Number of runs at a time."`
}

// Run plays the runs and prints the result of each.
func (c *fleetRunCmd) Run() error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	if err := harness.CheckScenario(s); err != nil {
		return fmt.Errorf("%s: %w", c.Scenario, err)
	}
	violations := 0
	for i := range c.Runs {
		variants := []bool{s.Fleet.Gossip}
		if c.Against {
			variants = []bool{true, false}
		}
		for _, gossip := range variants {
			variant := s
			variant.Fleet.Gossip = gossip
			r, dir, err := c.play(variant, c.Seed+uint64(i))
			if err != nil {
				return err
			}
			printFleet(variant, r, dir)
			violations += len(r.Violations)
			if c.JSON != "" {
				if err := appendLine(c.JSON, struct {
					Gossip bool `json:"Talk"`
					harness.Result
				}{gossip, r}); err != nil {
					return err
				}
			}
		}
	}
	if violations > 0 {
		return errViolation
	}
	return nil
}

// appendLine appends a value to a file, as a line of JSON.
func appendLine(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(append(text, '\n'))
	return errors.Join(err, f.Close())
}

// play plays one run, and returns its result and its directory. It removes the directory unless there were violations
// or --keep is set.
func (c *fleetOptions) play(s simulation.Scenario, seed uint64) (harness.Result, string, error) {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return harness.Result{}, "", err
	}
	dir := filepath.Join(c.Keep, fmt.Sprintf("%s-%d-talk-%t", s.Name, seed, s.Fleet.Gossip))
	if c.Keep == "" {
		dir, err = os.MkdirTemp("", "birchstair-sim-fleet-")
	} else {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		return harness.Result{}, "", err
	}
	r, err := harness.Play(s, harness.Options{Binary: binary, Dir: dir, Seed: seed})
	if err == nil && len(r.Violations) == 0 && c.Keep == "" {
		err = os.RemoveAll(dir)
	}
	return r, dir, err
}

// printFleet prints the result of a run.
func printFleet(s simulation.Scenario, r harness.Result, dir string) {
	fmt.Printf("%s, seed %d, %d nodes, talk %t: earned %.3f, of the best that could be had %.3f; work sent over work finished %.2f; %d works, tries %v, allocations %d\n",
		s.Name, r.Seed, s.Fleet.Nodes, s.Fleet.Gossip, r.Earned/max(r.Requested, 1e-9), r.Earned/max(r.Best, 1e-9), r.Work/max(r.Finished, 1e-9), r.Works, r.Requests, r.Attempts)
	if r.LateAttempts > 0 {
		fmt.Printf("  %d allocations to executors that drain, from nodes that nobody told\n", r.LateAttempts)
	}
	if r.SlowStartPeak > 0 {
		fmt.Printf("  a cold executor was sent %.2f of its budget at the most; %d fell over\n", r.SlowStartPeak, r.Overloaded)
	}
	if r.LeftWhileQueued > 0 {
		fmt.Printf("  %d clients left while their batch jobs waited, %d attempts too late after that\n", r.LeftWhileQueued, r.SentAfterClientLeft)
	}
	for _, w := range r.Violations {
		fmt.Printf("  WRONG: %s (see %s)\n", w, dir)
	}
}

// Run plays a run for each seed and prints its result.
func (c *fleetHuntCmd) Run() error {
	if c.Nodes < 3 || c.Nodes > 60 {
		return fmt.Errorf("--nodes %d: must be from 3 to 60", c.Nodes)
	}
	var mu sync.Mutex
	runs, violations := 0, 0
	var failure error
	inParallel(c.Seeds.count(), max(1, c.Parallel), func(i int) {
		seed := c.Seeds.first + uint64(i)
		s := harness.Draw(seed, c.Nodes)
		r, dir, err := c.play(s, seed)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failure = err
			return
		}
		runs++
		violations += len(r.Violations)
		printFleet(s, r, dir)
		if len(r.Violations) > 0 {
			failure = errors.Join(failure, keepScenario(dir, s))
		}
	})
	fmt.Printf("%d runs, %d things wrong\n", runs, violations)
	if failure != nil {
		return failure
	}
	if violations > 0 {
		return errViolation
	}
	return nil
}

// keepScenario writes the scenario of a run to the run's directory.
func keepScenario(dir string, s simulation.Scenario) error {
	text, err := s.Text()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "scenario.toml"), text, 0o644)
}
