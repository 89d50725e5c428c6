package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"birchstair/internal/simulation"
)

type killCmd struct {
	Binary   string `type:"existingfile" default:"bin/birchstair" help:"The node."`
	Runs     int    `default:"100" help:"How many runs."`
	Seed     uint64 `default:"1" help:"The first run's seed; each further one has the next."`
	Jobs     int    `default:"20" help:"Durable batch jobs in a run."`
	Kills    int    `default:"3" help:"How often its node is killed."`
	Leases   bool   `default:"true" negatable:"" help:"Executors can be asked what they hold."`
	Parallel int    `help:"Runs at a time; as many as there are cores if it is left out."`
}

func (c *killCmd) Run() error {
	if c.Runs < 1 || c.Jobs < 1 || c.Kills < 0 {
		return fmt.Errorf("at least one run and one batch job: --runs %d, --jobs %d, --kills %d", c.Runs, c.Jobs, c.Kills)
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	parallel := c.Parallel
	if parallel < 1 {
		parallel = runtime.NumCPU()
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	free := make(chan struct{}, parallel)
	finals, done, wrong, said := map[string]int{}, 0, 0, time.Now()
	var failed error
	for i := range c.Runs {
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			dir, err := os.MkdirTemp("", "birchstair-sim-kill-")
			var r simulation.Killed
			if err == nil {
				r, err = simulation.Killing{Binary: binary, Seed: c.Seed + uint64(i), Jobs: c.Jobs, Kills: c.Kills, Leases: c.Leases, Dir: dir}.Play()
			}
			mu.Lock()
			defer mu.Unlock()
			done++
			if err != nil && failed == nil {
				failed = err
			}
			for f, n := range r.Finals {
				finals[f] += n
			}
			for _, text := range r.Wrong {
				fmt.Printf("seed %d: %s (see %s)\n", c.Seed+uint64(i), text, dir)
			}
			if wrong += len(r.Wrong); len(r.Wrong) == 0 {
				failed = errors.Join(failed, os.RemoveAll(dir))
			}
			if time.Since(said) > 2*time.Second {
				said = time.Now()
				fmt.Fprintf(os.Stderr, "%d of %d runs, %d things wrong\n", done, c.Runs, wrong)
			}
		})
	}
	wait.Wait()
	if failed != nil {
		return failed
	}
	fmt.Printf("%d runs with %d kills each: %d handled, %d pushed back, %d broken off; %d things wrong\n", done, c.Kills, finals["handled"],
		finals["pushed back"], finals["broken off"], wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}
