// Command smuggle plays one bad client, whose job ID holds encoded line breaks. No executor may get a request that no
// client sent, and another client's job that must not run twice must not run again.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"birchstair/review/testdata/kit"
)

const (
	budget   = 60 * time.Second
	hiddenID = "hidden-1"
)

// tracks are two of the job classes of the site edetabel-main.
var tracks = []kit.Track{
	{Name: "board-read", Quoted: 0.3, Limit: 5, Repeat: "repeatable", Earnings: 2},
	{Name: "run-verify", Quoted: 0.75, Limit: 20, Repeat: "once", Earnings: 8},
}

func main() { kit.Run(play) }

func play(c *kit.Case) (broken bool, err error) {
	executor, err := c.StartExecutor("s-1", 100*time.Millisecond, false)
	if err != nil {
		return false, err
	}
	discovery, err := c.StartDiscovery(executor)
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
	sent := map[string]bool{"durable-verify-1": true, "durable-board-2": true, "call-3": true}
	for _, s := range []kit.Submission{
		{Path: "verify-1", Class: "run-verify", Budget: budget, Body: "one"},
		{Path: "board-2", Class: "board-read", Budget: budget, Body: "two"},
	} {
		if status, _, err := c.Put(listen, s); err != nil || status != http.StatusCreated {
			return false, errors.New("a usual client's job was not accepted")
		}
	}
	if status, _, err := c.Post(listen, "call-3", "board-read", 5*time.Second, "three"); err != nil || status != http.StatusOK {
		return false, errors.New("a usual client's request was not served")
	}
	if _, done, err := c.Get(listen, "verify-1", 10*time.Second); err != nil || done.Final != "handled" {
		return false, errors.New("a usual client's job was not served")
	}
	if c.Trouble {
		c.Put(listen, badSubmission()) //nolint:errcheck // it may be refused
		time.Sleep(3 * time.Second)
	}
	for id, runs := range executor.AllRuns() {
		if !sent[id] {
			c.Log("check: an executor ran a request with the id %q, which no client sent", id)
			broken = true
		}
		if id == "durable-verify-1" && runs > 1 {
			c.Log("check: the job verify-1 of a usual client, which must never run twice, ran %d times", runs)
			broken = true
		}
	}
	return broken, nil
}

// badSubmission returns a durable job whose ID begins with that of another client's job. The header of the request to the
// executor ends in the ID. The body begins with what fills the length that the ID states, and goes on with a request of
// its own.
func badSubmission() kit.Submission {
	const stated = 200 // Content-Length in the ID; more than the headers that the node writes after the ID
	hidden := "POST /api/hidden HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + hiddenID + "\r\nX-Budget-Ms: 1000\r\nContent-Length: 6\r\n\r\nhidden"
	// The lines that the node writes after the ID. The digits of the budget and of the body's length are what counts.
	rest := "\r\nX-Lease-Epoch: 1\r\nX-Budget-Ms: 59999\r\nContent-Length: 999\r\n\r\n"
	body := strings.Repeat("-", stated-len(rest)) + hidden
	return kit.Submission{
		Path:   fmt.Sprintf("verify-1%%0d%%0aX-Budget-Ms:1000%%0d%%0aContent-Length:%d%%0d%%0a%%0d%%0a", stated),
		Class:  "board-read",
		Budget: budget,
		Body:   body,
	}
}
