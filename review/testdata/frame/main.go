// Command frame plays clients that submit many durable batch jobs, wait for the answers and delete the first ones, and
// then a planned restart of the node. The answers that nobody deleted must still be there.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchstair/review/testdata/kit"
)

const (
	jobs        = 4800
	resultBytes = 60 << 10 // "Bodies hold at most 64 KiB"
	executors   = 24
	runTime     = time.Second // "1,000 to 2,000 ms of running on average"
	budget      = 10 * time.Minute
	deleted     = 100 // answers that clients have fetched and delete, the first that were ready
	memoryMB    = 2048
	endLimit    = 4 * time.Second // SIGKILL follows SIGTERM after 3 s and 0.7 s
)

// tracks are two of the job classes of the site edetabel-main.
var tracks = []kit.Track{
	{Name: "board-read", Quoted: 0.3, Limit: 5, Repeat: "repeatable", Earnings: 2},
	{Name: "run-verify", Quoted: 0.75, Limit: 20, Repeat: "once", Earnings: 8},
}

func main() { kit.Run(play) }

func play(c *kit.Case) (broken bool, err error) {
	var mu sync.Mutex
	var order []string // jobs in the order in which they were run
	ran := func(job string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, job)
	}
	var list []*kit.Executor
	for i := range executors {
		e, err := c.StartBigExecutor(fmt.Sprintf("s-%d", i), runTime, resultBytes, ran)
		if err != nil {
			return false, err
		}
		list = append(list, e)
	}
	discovery, err := c.StartDiscovery(list...)
	if err != nil {
		return false, err
	}
	c.MemoryMB = memoryMB
	listen, config, site := kit.FreeAddr(), filepath.Join(c.Temp, "node.json"), filepath.Join(c.Temp, "site.toml")
	if err := errors.Join(c.WriteConfig(config, listen, discovery.Addr, tracks), c.WriteSite(site, filepath.Join(c.Temp, "jobs"), `segment = "4MiB"`)); err != nil {
		return false, err
	}
	node, err := c.StartNode(config, site)
	if err != nil {
		return false, err
	}
	if !node.WaitReady(listen, 30*time.Second) {
		return false, errors.New("the node is not ready")
	}
	accepted := submitAll(c, listen)
	c.Log("clients: %d jobs answered 201", accepted)
	if accepted != jobs {
		return false, errors.New("not all jobs were accepted")
	}
	if handled := fetchAll(c, listen, nil); handled != jobs {
		return false, fmt.Errorf("%d of %d jobs were handled before the restart", handled, jobs)
	}
	mu.Lock()
	first := append([]string(nil), order[:deleted]...)
	mu.Unlock()
	gone := map[string]bool{}
	for _, job := range first {
		id := job[len("durable-"):]
		if code, err := c.Delete(listen, id); err != nil || code != http.StatusNoContent {
			return false, fmt.Errorf("delete: %d %v", code, err)
		}
		gone[id] = true
	}
	c.Log("clients: %d answers deleted", len(gone))
	time.Sleep(2 * time.Second)
	c.Log("node: uses %d MiB, %d at the most; its limit is %d", node.RSS()>>20, node.PeakRSS()>>20, memoryMB)
	if c.Trouble {
		node.Signal(syscall.SIGTERM)
		if !node.WaitEnd(endLimit) {
			node.Kill()
		}
		if node, err = c.StartNode(config, site); err != nil {
			return false, err
		}
		if !node.WaitReady(listen, 30*time.Second) {
			c.Log("check: the node does not start again; %d answers cannot be fetched", jobs-len(gone))
			return true, nil
		}
	}
	handled := fetchAll(c, listen, gone)
	c.Log("check: of %d answers that nobody deleted, %d can be fetched", jobs-len(gone), handled)
	return handled != jobs-len(gone), nil
}

// clients is the number of clients that send at a time.
const clients = 64

func id(i int) string { return fmt.Sprintf("job-%d", i) }

// forAll calls do for each job, by several clients at a time, and returns how often do returned true.
func forAll(do func(i int) bool) int {
	var wait sync.WaitGroup
	var next, count atomic.Int64
	for range clients {
		wait.Go(func() {
			for i := next.Add(1) - 1; i < jobs; i = next.Add(1) - 1 {
				if do(int(i)) {
					count.Add(1)
				}
			}
		})
	}
	wait.Wait()
	return int(count.Load())
}

// submitAll submits all jobs and returns how many were answered 201.
func submitAll(c *kit.Case, listen string) int {
	return forAll(func(i int) bool {
		s := kit.Submission{Path: id(i), Class: "run-verify", Budget: budget, Body: "run " + id(i)}
		status, _, err := c.Quietly(i%500 != 0).Put(listen, s)
		return err == nil && status == http.StatusCreated
	})
}

// fetchAll waits for the answers of all jobs but those in except, and returns how many were handled.
func fetchAll(c *kit.Case, listen string, except map[string]bool) int {
	return forAll(func(i int) bool {
		if except[id(i)] {
			return false
		}
		code, status, err := c.Quietly(i%500 != 0).Get(listen, id(i), time.Minute)
		return err == nil && code == http.StatusOK && status.Final == "handled" && len(status.Result) == resultBytes
	})
}
