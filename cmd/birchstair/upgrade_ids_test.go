package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"birchstair/policy"
)

// dialClients opens a connection to the node.
func (p *testPlatform) dialClients() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(15 * time.Second))
	return c
}

// exchange sends a job on a connection and returns the status of the answer.
func (p *testPlatform) exchange(c net.Conn, id, class string) int {
	p.t.Helper()
	send(p.t, c, fmt.Sprintf("POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", id, class))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.t.Errorf("%s: %v", id, err)
		return 0
	}
	return a.StatusCode
}

// checkNotAgain submits the ID of an at-most-once job that may have run. The answer must promise neither a result nor that trying
// again is harmless, and the job must not run again.
func (p *testPlatform) checkNotAgain(where string, c net.Conn, id policy.JobID) {
	p.t.Helper()
	if status := p.exchange(c, string(id), "order"); status == http.StatusOK || status == http.StatusServiceUnavailable {
		p.t.Errorf("%s: %s is answered with status %d when it comes again", where, id, status)
	}
	if n := p.runCount(id); n != 1 {
		p.t.Errorf("%s: %s ran %d times, want once", where, id, n)
	}
}

func (p *testPlatform) runCount(id policy.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// runOnce submits an at-most-once job, which must succeed.
func (p *testPlatform) runOnce(c net.Conn, id string) {
	p.t.Helper()
	if status := p.exchange(c, id, "order"); status != http.StatusOK {
		p.t.Fatalf("%s is answered with status %d", id, status)
	}
}

// TestIDComesAgainAtOtherProcess upgrades a node, and submits the IDs of at-most-once jobs of either process again at the other one,
// and one ID at both at the same time. None may run twice.
func TestIDComesAgainAtOtherProcess(t *testing.T) {
	p := newPlatform(t, program(t))
	old := p.start(p.discovery, false)
	p.awaitReady(old)
	var atOld []net.Conn // connections of the old process
	for i := range 4 {
		c := p.dialClients()
		if status := p.exchange(c, fmt.Sprint("page-", i), "page"); status != http.StatusOK {
			t.Fatalf("a job at the old process is answered with status %d", status)
		}
		atOld = append(atOld, c)
	}
	p.runOnce(p.dialClients(), "order-1")

	next := p.start(p.discovery, false)
	p.awaitReady(next)
	leaves := p.dialClients()
	send(t, leaves, "POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: order-2\r\nX-Call-Class: order\r\nX-Budget-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
	for p.runCount("order-2") == 0 {
		time.Sleep(time.Millisecond)
	}
	leaves.Close()
	p.runOnce(atOld[0], "order-3")
	p.checkNotAgain("at the new process, before the upgrade at the old one", p.dialClients(), "order-1")
	p.checkNotAgain("at the old process, after its client left the new one", atOld[1], "order-2")
	p.checkNotAgain("at the new process, at the same time as the old one", p.dialClients(), "order-3")

	var both sync.WaitGroup
	for _, c := range []net.Conn{atOld[2], p.dialClients()} {
		both.Go(func() { p.exchange(c, "order-4", "order") })
	}
	both.Wait()
	if n := p.runCount("order-4"); n > 1 {
		t.Errorf("submitted to both processes at the same time, order-4 ran %d times", n)
	}
	p.runOnce(atOld[3], "order-5")
	p.stop(old)
	for _, id := range []policy.JobID{"order-1", "order-2", "order-3", "order-5"} {
		p.checkNotAgain("at the new process, after the end of the old one", p.dialClients(), id)
	}
	p.runOnce(p.dialClients(), "order-6")
}
