package main

import (
	"runtime"
	"sync"
)

// inParallel calls do for each i from 0 to n-1, and returns when all calls have returned. At most limit calls run at a
// time. A limit below 1 stands for the number of cores.
func inParallel(n, limit int, do func(i int)) {
	if limit < 1 {
		limit = runtime.NumCPU()
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, limit)
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wait.Wait()
}
