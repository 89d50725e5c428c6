package synctesting

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestConcurrentTimers lets many goroutines of a bubble run timers that are due, and checks that GOMAXPROCS is restored
// afterwards. With synctest.Test instead of Test, the process dies of SIGSEGV under the race detector.
func TestConcurrentTimers(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	for range 20 {
		Test(t, func(t *testing.T) {
			if n := runtime.GOMAXPROCS(0); UnderRace && n != 1 {
				t.Errorf("GOMAXPROCS is %d in a bubble under the race detector, want 1", n)
			}
			var all sync.WaitGroup
			for range 100 {
				all.Go(func() {
					timer := time.NewTimer(time.Hour)
					for range 100 {
						<-time.After(0)
						timer.Reset(0)
						<-timer.C
						time.Sleep(time.Millisecond)
					}
				})
			}
			all.Wait()
		})
	}
	if now := runtime.GOMAXPROCS(0); now != before {
		t.Errorf("GOMAXPROCS is %d after the tests, and was %d before", now, before)
	}
}

// TestConcurrentBubbles checks that GOMAXPROCS is restored when the last of two concurrent bubbles ends.
func TestConcurrentBubbles(t *testing.T) {
	p := processorLimit{}
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	p.enter()
	p.enter()
	p.leave()
	if n := runtime.GOMAXPROCS(0); n != 1 {
		t.Errorf("GOMAXPROCS is %d while a bubble runs, want 1", n)
	}
	if p.leave(); runtime.GOMAXPROCS(0) != before {
		t.Errorf("GOMAXPROCS is %d after both bubbles, and was %d before", runtime.GOMAXPROCS(0), before)
	}
}
