// Command poison plays a client that submits a durable batch job with a Content-Type in ISO 8859-1, and then a planned
// restart of the node. Jobs that other clients submitted, and that were answered 201, must still be there.
package main

import (
	"errors"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"birchstair/review/testdata/kit"
)

const (
	readyLimit = 30 * time.Second // "takes over 30 s to be ready" fails a node
	endLimit   = 4 * time.Second  // SIGKILL follows SIGTERM after 3 s and 0.7 s
	budget     = 60 * time.Second
	runTime    = 500 * time.Millisecond
)

// tracks are two of the job classes of the site edetabel-main.
var tracks = []kit.Track{
	{Name: "board-read", Quoted: 0.3, Limit: 5, Repeat: "repeatable", Earnings: 2},
	{Name: "run-verify", Quoted: 0.75, Limit: 20, Repeat: "once", Earnings: 8},
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
	if !node.WaitReady(listen, readyLimit) {
		return false, errors.New("the node is not ready")
	}
	usual := []kit.Submission{
		{Path: "verify-1", Class: "run-verify", Budget: budget, Body: "one"},
		{Path: "board-2", Class: "board-read", Budget: budget, Body: "two"},
	}
	for _, s := range usual {
		if status, _, err := c.Put(listen, s); err != nil || status != http.StatusCreated {
			return false, errors.New("a usual client's job was not accepted")
		}
	}
	if c.Trouble {
		named := kit.Submission{Path: "board-3", Class: "board-read", Budget: budget, Type: "text/plain; name=\"Tabelid-J\xf5gi\"", Body: "three"}
		c.Put(listen, named) //nolint:errcheck // it may be refused
	}
	if _, done, err := c.Get(listen, "verify-1", 10*time.Second); err != nil || done.Final == "" {
		return false, errors.New("no final answer before the restart")
	}
	node.Signal(syscall.SIGTERM)
	if !node.WaitEnd(endLimit) {
		node.Kill()
	}
	if !restart(c, config, site, listen) {
		c.Log("check: the node does not start again; the jobs that were answered 201 cannot be fetched")
		return true, nil
	}
	for _, s := range usual {
		if code, status, err := c.Get(listen, s.Path, 10*time.Second); err != nil || code != http.StatusOK || status.Final == "" {
			c.Log("check: job %s is lost or has no final answer", s.Path)
			broken = true
		}
	}
	return broken, nil
}

// restart starts the node again until it is ready, as a platform does with a program that exits.
func restart(c *kit.Case, config, site, listen string) (ready bool) {
	const pause = 5 * time.Second
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(pause) {
		node, err := c.StartNode(config, site)
		if err != nil {
			return false
		}
		if node.WaitReady(listen, time.Until(until)) {
			return true
		}
	}
	return false
}
