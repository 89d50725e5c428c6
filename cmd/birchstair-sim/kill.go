package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"birchstair/internal/simulation"
)

type killCmd struct {
	Binary   string `type:"existingfile" default:"bin/birchstair" help:"Path of the birchstair program."`
	Runs     int    `default:"100" help:"Number of runs."`
	Seed     uint64 `default:"1" help:"Random seed of the first run. Each run has the next seed."`
	Jobs     int    `default:"20" help:"Number of durable batch jobs in a run."`
	Kills    int    `default:"3" help:"Number of times that the node is killed in a run."`
	Leases   bool   `default:"true" negatable:"" help:"Executors answer lease queries."`
	Parallel int    `help:"Number of runs at a time. Defaults to the number of cores."`
}

// killProgressInterval is the interval at which progress is reported on standard error.
const killProgressInterval = 2 * time.Second

// killTotals holds the sums over all runs.
type killTotals struct {
	mu         sync.Mutex
	finals     map[string]int // number of final answers of each kind
	done       int
	violations int
	err        error
	reported   time.Time
}

// Run plays the runs and prints the numbers of final answers and violations.
func (c *killCmd) Run() error {
	if c.Runs < 1 || c.Jobs < 1 || c.Kills < 0 {
		return fmt.Errorf("--runs %d, --jobs %d, --kills %d: must be at least 1, 1 and 0", c.Runs, c.Jobs, c.Kills)
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	totals := killTotals{finals: map[string]int{}, reported: time.Now()}
	inParallel(c.Runs, c.Parallel, func(i int) {
		seed := c.Seed + uint64(i)
		result, dir, err := c.play(binary, seed)
		c.add(&totals, seed, result, dir, err)
	})
	if totals.err != nil {
		return totals.err
	}
	fmt.Printf("%d runs with %d kills each: %d handled, %d pushed back, %d broken off; %d things wrong\n", totals.done, c.Kills,
		totals.finals["handled"], totals.finals["pushed back"], totals.finals["broken off"], totals.violations)
	if totals.violations > 0 {
		return errViolation
	}
	return nil
}

// play plays one run in a directory of its own.
func (c *killCmd) play(binary string, seed uint64) (result simulation.KillResult, dir string, err error) {
	dir, err = os.MkdirTemp("", "birchstair-sim-kill-")
	if err != nil {
		return result, dir, err
	}
	result, err = simulation.KillTest{Binary: binary, Seed: seed, Jobs: c.Jobs, Kills: c.Kills, Leases: c.Leases, Dir: dir}.Play()
	return result, dir, err
}

// add adds a run to the totals and prints the run's violations. If there are none, it removes the run's directory.
func (c *killCmd) add(totals *killTotals, seed uint64, result simulation.KillResult, dir string, err error) {
	totals.mu.Lock()
	defer totals.mu.Unlock()
	totals.done++
	if totals.err == nil {
		totals.err = err
	}
	for kind, count := range result.Finals {
		totals.finals[kind] += count
	}
	for _, text := range result.Violations {
		fmt.Printf("seed %d: %s (see %s)\n", seed, text, dir)
	}
	totals.violations += len(result.Violations)
	if len(result.Violations) == 0 {
		totals.err = errors.Join(totals.err, os.RemoveAll(dir))
	}
	if time.Since(totals.reported) > killProgressInterval {
		totals.reported = time.Now()
		fmt.Fprintf(os.Stderr, "%d of %d runs, %d things wrong\n", totals.done, c.Runs, totals.violations)
	}
}
