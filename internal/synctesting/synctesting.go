// Package synctesting plays tests on testing/synctest's virtual clock.
package synctesting

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test, with one processor while the race detector watches.
//
// The reason is a fault of Go 1.26's runtime: a bubble has one race context for all its timers (time.go, unlockAndRun), and besides
// the clock each goroutine of the bubble that waits for a timer which is due, or sets one to now, runs that timer itself. Two at once
// corrupt the context, and the process dies of SIGSEGV in the race detector. With one processor no two run at once, and what the
// detector finds by order of events it finds all the same.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if UnderRace {
		alone.enter()
		defer alone.leave()
	}
	synctest.Test(t, f)
}

// alone holds the process to one processor while a bubble is in it.
var alone processors

type processors struct {
	mu      sync.Mutex
	inside  int
	outside int // as many there are when none is
}

func (p *processors) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inside++; p.inside == 1 {
		p.outside = runtime.GOMAXPROCS(1)
	}
}

func (p *processors) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inside--; p.inside == 0 {
		runtime.GOMAXPROCS(p.outside)
	}
}
