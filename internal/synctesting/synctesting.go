// Package synctesting runs tests on the virtual clock of testing/synctest, also under the race detector.
package synctesting

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test calls synctest.Test. Under the race detector it sets GOMAXPROCS to 1 while the test runs.
//
// This works around a bug in the runtime of Go 1.26. All timers of a bubble share one race context (time.go,
// unlockAndRun). A timer is run not only by the clock, but also by each goroutine of the bubble that waits for it when
// it is due, or that sets it to the present time. Two goroutines that run timers at the same time corrupt the race
// context, and the process dies of SIGSEGV in the race detector. With GOMAXPROCS at 1 no two run at the same time. The
// detector still finds races, since it compares the order of synchronization events.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if UnderRace {
		singleProcessor.enter()
		defer singleProcessor.leave()
	}
	synctest.Test(t, f)
}

// singleProcessor limits the process to one processor while any test runs in a bubble.
var singleProcessor processorLimit

// processorLimit sets GOMAXPROCS to 1 from the first call of enter to the last call of leave.
type processorLimit struct {
	mu       sync.Mutex
	active   int // number of calls of enter that no call of leave has followed
	previous int // GOMAXPROCS before the limit
}

func (p *processorLimit) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active++; p.active == 1 {
		p.previous = runtime.GOMAXPROCS(1)
	}
}

func (p *processorLimit) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active--; p.active == 0 {
		runtime.GOMAXPROCS(p.previous)
	}
}
