package simulation

import (
	"fmt"
	"sync"
	"testing"

	"birchstair/internal/golden"
)

// Real processes that are killed by SIGKILL at random times: no acknowledged job is lost, each has one final answer, and no at-most-once job
// runs twice.
func TestKilledNodes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	binary, err := golden.Program(dir)
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	free := make(chan struct{}, 8) // they mostly wait
	for seed := range uint64(24) {
		wait.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			k := KillTest{Binary: binary, Seed: seed, Jobs: 20, Kills: 3, Leases: seed%2 == 0, Dir: t.TempDir()}
			r, err := k.Play()
			if err != nil {
				t.Error(err)
			}
			for _, w := range r.Violations {
				t.Errorf("seed %d: %s", seed, w)
			}
			if r.Finals["handled"] == 0 {
				t.Errorf("seed %d: nothing was handled: %s", seed, fmt.Sprint(r.Finals))
			}
		})
	}
	wait.Wait()
}
