package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Hunt plays the worlds of all seeds from first to last, several at a time, and hands each result on in the order of the
// seeds. It stops where found says so.
func Hunt(first, last uint64, size Size, parallel int, found func(Scenario, Result) bool) {
	if parallel <= 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	type played struct {
		s Scenario
		r Result
	}
	var next atomic.Uint64
	next.Store(first)
	var stopped atomic.Bool
	var mu sync.Mutex
	turn, waits := first, map[uint64]played{}
	var wait sync.WaitGroup
	for range parallel {
		wait.Go(func() {
			for !stopped.Load() {
				seed := next.Add(1) - 1
				if seed > last {
					return
				}
				s := Draw(seed, size)
				r := New(s, seed, Options{}).Play()
				mu.Lock()
				waits[seed] = played{s, r}
				for p, ok := waits[turn]; ok; p, ok = waits[turn] {
					delete(waits, turn)
					turn++
					if !stopped.Load() && !found(p.s, p.r) {
						stopped.Store(true)
					}
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
}
