package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/policy"
)

// The limits of the operators' deployment.
const (
	operatorsMemoryMB = 192
	operatorsSockets  = 1024
)

// loneNode is a process of a node with one emulated executor. It has the job classes "page", which is idempotent, and "order", which
// is at most once.
type loneNode struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen string
	log    string
	ended  chan error

	runTime atomic.Int64 // how long the executor takes for an attempt, in nanoseconds
	mu      sync.Mutex
	runs    map[policy.JobID]int       // number of runs of each job
	ranAt   map[policy.JobID]time.Time // when the last attempt of each job began
}

// startLoneNode starts a node that may use this much memory, and whose jobs have this latency objective and deadline. It waits until
// the node is ready.
func startLoneNode(t *testing.T, memoryMB int, objective, deadline time.Duration) *loneNode {
	n := &loneNode{t: t, listen: freePort(t), ended: make(chan error, 1), runs: map[policy.JobID]int{}, ranAt: map[policy.JobID]time.Time{}}
	n.runTime.Store(int64(time.Millisecond))
	work, list := freeListener(t), freeListener(t)
	go (&platform.Executor{ID: "e", RunTime: func() time.Duration { return time.Duration(n.runTime.Load()) }, OnEffect: n.recordRun}).Serve(work)
	go (&platform.Discovery{Zones: []string{"z"}, Entries: []emulator.Entry{{Addr: work.Addr().String(),
		Endpoint: policy.Endpoint{Executor: "e", Weight: 1, StartedLongAgo: true}}}}).Serve(list)
	dir := t.TempDir()
	file := filepath.Join(dir, "config")
	if err := os.WriteFile(file, n.config(list.Addr().String(), memoryMB, objective, deadline), 0o600); err != nil {
		t.Fatal(err)
	}
	n.log = filepath.Join(dir, "log")
	log, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, log)
	n.cmd = exec.Command(program(t), "serve")
	n.cmd.Env, n.cmd.Stderr = append(os.Environ(), "ROUTER_CONFIG="+file, "TMPDIR="+dir), log
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { n.ended <- n.cmd.Wait() }()
	t.Cleanup(n.stop)
	n.awaitReady()
	return n
}

// config returns the configuration of the node.
func (n *loneNode) config(discovery string, memoryMB int, objective, deadline time.Duration) []byte {
	tracks := []any{}
	for _, track := range [...][2]string{{"page", "repeatable"}, {"order", "once"}} {
		tracks = append(tracks, map[string]any{"name": track[0], "quoted-time-s": objective.Seconds(), "outer-limit-s": deadline.Seconds(),
			"repeat": track[1], "earnings": 1})
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": n.listen, "discovery": discovery,
		"limits": map[string]any{"memory_mb": memoryMB, "sockets": operatorsSockets},
		"settings": map[string]any{"balancers": 1, "areas": []string{"z"}, "flavors": []string{"plain"}, "caps": map[string]any{"max-allocations": 3},
			"domain": map[string]any{"tells-start": true}, "tracks": tracks}})
	if err != nil {
		n.t.Fatal(err)
	}
	return text
}

func (n *loneNode) recordRun(job policy.JobID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[job]++
	n.ranAt[job] = time.Now()
}

// runCount returns how often a job has run.
func (n *loneNode) runCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[policy.JobID(id)]
}

func (n *loneNode) awaitReady() {
	n.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if status, err := requestStatus(n.listen, "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", time.Second); err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("the node does not become ready:\n%s", n.logText())
		}
	}
}

// stop ends the process by SIGTERM.
func (n *loneNode) stop() {
	n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-n.ended:
		if err != nil {
			n.t.Errorf("the process ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		n.cmd.Process.Kill()
		n.t.Error("the process does not end")
	}
	if n.t.Failed() {
		n.t.Logf("log of the process:\n%.4000s", n.logText())
	}
}

func (n *loneNode) logText() string {
	text, _ := os.ReadFile(n.log)
	return string(text)
}

// peakMemory returns the largest resident size that the process has had, in bytes.
func (n *loneNode) peakMemory() int64 {
	n.t.Helper()
	return peakMemoryOf(n.t, n.cmd.Process.Pid)
}

// peakMemoryOf returns the largest resident size that a process has had, in bytes. The process must be running.
func peakMemoryOf(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || !found {
		t.Fatalf("the process has ended: %v", err)
	}
	kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// jobText returns a request with these further header lines and a body of this size.
func jobText(id, class, headers string, bodyBytes int) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: n\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: 20000\r\n%sContent-Length: %d\r\n\r\n%s",
		id, class, headers, bodyBytes, strings.Repeat("b", bodyBytes))
}
