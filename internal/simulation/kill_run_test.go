package simulation

import (
	"fmt"
	"sync"
	"testing"

	"birchstair/internal/golden"
)

// TestKilledNodes kills real processes with SIGKILL at random times. No acknowledged job may be lost, each must have one final answer, and no
// at-most-once job may run twice.
func TestKilledNodes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	binary, err := golden.BuildProgram(dir)
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, 8) // more runs at a time than cores, as they mostly wait
	for seed := range uint64(24) {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			k := KillTest{Binary: binary, Seed: seed, Jobs: 20, Kills: 3, Leases: seed%2 == 0, Dir: t.TempDir()}
			r, err := k.Play()
			if err != nil {
				t.Error(err)
			}
			for _, w := range r.Violations {
				t.Errorf("seed %d: %s", seed, w)
			}
			if r.Finals["handled"] == 0 {
				t.Errorf("seed %d: no job succeeded: %s", seed, fmt.Sprint(r.Finals))
			}
		})
	}
	wait.Wait()
}
