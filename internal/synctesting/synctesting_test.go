package synctesting

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Goroutines of one bubble that all run timers which are due: the process lives, and has its processors back. With synctest.Test in its
// place this dies of SIGSEGV under the race detector.
func TestTimersAtOnce(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	for range 20 {
		Test(t, func(t *testing.T) {
			if n := runtime.GOMAXPROCS(0); UnderRace && n != 1 {
				t.Errorf("%d processors", n)
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
		t.Errorf("%d processors after it, %d before", now, before)
	}
}

// Bubbles beside each other: the last one out gives the processors back.
func TestBeside(t *testing.T) {
	p := processors{}
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	p.enter()
	p.enter()
	p.leave()
	if n := runtime.GOMAXPROCS(0); n != 1 {
		t.Errorf("%d processors while one is inside", n)
	}
	if p.leave(); runtime.GOMAXPROCS(0) != before {
		t.Errorf("%d processors after both, %d before", runtime.GOMAXPROCS(0), before)
	}
}
