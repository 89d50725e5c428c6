package simulation

import (
	"runtime"
	"sync"
)

// Hunt draws and plays a scenario for each seed from first to last. It calls found with each result, in the order of
// the seeds and never concurrently. It plays up to parallel simulations at a time; 0 stands for GOMAXPROCS. After found
// has returned false, Hunt starts no further simulation and does not call found again.
func Hunt(first, last uint64, size Size, parallel int, found func(Scenario, Result) bool) {
	if parallel <= 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	h := &hunt{size: size, found: found, nextSeed: first, lastSeed: last, nextResult: first, waiting: map[uint64]huntResult{}}
	var wait sync.WaitGroup
	for range parallel {
		wait.Go(h.play)
	}
	wait.Wait()
}

// hunt is the state that the goroutines of Hunt share.
type hunt struct {
	size     Size
	found    func(Scenario, Result) bool
	lastSeed uint64

	mu         sync.Mutex            // guards the fields below and calls to found
	nextSeed   uint64                // next seed to play
	nextResult uint64                // seed of the next result to report
	waiting    map[uint64]huntResult // results of later seeds that can't be reported yet
	stopped    bool
}

type huntResult struct {
	scenario Scenario
	result   Result
}

// play plays seeds until none is left or the hunt is stopped.
func (h *hunt) play() {
	for {
		seed, ok := h.takeSeed()
		if !ok {
			return
		}
		s := Draw(seed, h.size)
		h.report(seed, huntResult{s, New(s, seed, Options{}).Play()})
	}
}

func (h *hunt) takeSeed() (seed uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.nextSeed > h.lastSeed {
		return 0, false
	}
	seed = h.nextSeed
	h.nextSeed++
	return seed, true
}

// report stores the result of a seed. It then calls found for the results that are next in the order of the seeds,
// until one is missing.
func (h *hunt) report(seed uint64, played huntResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting[seed] = played
	for next, ok := h.waiting[h.nextResult]; ok; next, ok = h.waiting[h.nextResult] {
		delete(h.waiting, h.nextResult)
		h.nextResult++
		if !h.stopped && !h.found(next.scenario, next.result) {
			h.stopped = true
		}
	}
}
