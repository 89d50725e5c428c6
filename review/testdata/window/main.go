// Command window plays a kill of the node while a durable job runs that is idempotent with a key, and a restart while
// discovery is down. The job must not be sent again after the time for which executors drop its repeats.
package main

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchstair/review/testdata/kit"
)

const (
	dedupWindow = 7500 * time.Millisecond // window_ms of the class at the site
	slack       = 50 * time.Millisecond   // "each time limit is 50 ms longer"
	runTime     = 500 * time.Millisecond  // of an attempt
	budget      = 60 * time.Second        // of the job
	killAfter   = 300 * time.Millisecond  // from the acknowledgement
	downFor     = 1500 * time.Millisecond
	outage      = 8 * time.Second // "discovery is down for 8 s"
)

// tracks are two of the job classes of the site lower-mainland.
var tracks = []kit.Track{
	{Name: "full-render", Quoted: 0.2, Limit: 5, Repeat: "repeatable", Earnings: 1},
	{Name: "order-release", Quoted: 0.2, Limit: 5, Repeat: "by_key", DedupScope: "all", DedupWindow: dedupWindow.Seconds(), Earnings: 8},
}

func main() { kit.Run(play) }

func play(c *kit.Case) (broken bool, err error) {
	var executors []*kit.Executor
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		executor, err := c.StartExecutor(id, runTime, false)
		if err != nil {
			return false, err
		}
		executors = append(executors, executor)
	}
	discovery, err := c.StartDiscovery(executors...)
	if err != nil {
		return false, err
	}
	listen, config, site := kit.FreeAddr(), filepath.Join(c.Temp, "node.json"), filepath.Join(c.Temp, "site.toml")
	if err := errors.Join(c.WriteConfig(config, listen, discovery.Addr, tracks), c.WriteSite(site, filepath.Join(c.Temp, "jobs"))); err != nil {
		return false, err
	}
	node, err := c.StartNode(config, site)
	if err != nil {
		return false, err
	}
	if !node.WaitReady(listen, 10*time.Second) {
		return false, errors.New("the node is not ready")
	}
	job := kit.Submission{Path: "release-1", Class: "order-release", Budget: budget, Key: "5c0f6e1a2b3d4c59", Body: "order"}
	if status, _, err := c.Put(listen, job); err != nil || status != http.StatusCreated {
		return false, errors.New("the job was not accepted")
	}
	if c.Trouble {
		time.Sleep(killAfter)
		if len(runsOf(executors, "durable-release-1")) != 1 {
			return false, errors.New("the job does not run at the time of the kill")
		}
		withOutage := os.Getenv("OUTAGE") != "0" // OUTAGE=0 plays the kill alone
		if withOutage {
			discovery.SetSilent(true)
			time.AfterFunc(outage, func() { discovery.SetSilent(false) })
		}
		node.Kill()
		time.Sleep(downFor)
		if node, err = c.StartNode(config, site); err != nil {
			return false, err
		}
		if !node.WaitReady(listen, 30*time.Second) {
			return false, errors.New("the node is not ready after the kill")
		}
	}
	if _, status, err := c.Get(listen, "release-1", 10*time.Second); err != nil || status.Final == "" {
		c.Log("the job has no final answer: %v", err)
	}
	// The executors are one group: a repeat within the window, which counts from the send of the first attempt, is dropped at
	// each of them and has no effect.
	runs := runsOf(executors, "durable-release-1")
	if len(runs) == 0 {
		return false, errors.New("the job never ran")
	}
	for _, at := range runs[1:] {
		after := at.Sub(runs[0])
		c.Log("check: sent again %.3f s after it was first sent; repeats are dropped for %v", after.Seconds(), dedupWindow)
		if after > dedupWindow+slack {
			c.Log("check: the effect happened twice")
			broken = true
		}
	}
	return broken, nil
}

// runsOf returns when a job was run by any of the executors, in order.
func runsOf(executors []*kit.Executor, job string) (runs []time.Time) {
	for _, executor := range executors {
		runs = append(runs, executor.Runs(job)...)
	}
	slices.SortFunc(runs, time.Time.Compare)
	return runs
}
