package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/node"
	"birchstair/policy"
)

// testPlatform is the environment of one node, on loopback: the listening socket for clients, executors, discovery, the processes
// of the node, and clients that send batch jobs continuously.
type testPlatform struct {
	t            *testing.T
	binary       string
	dir          string
	listenSocket *os.File
	listen       string
	discovery    string // address of discovery
	started      int
	adminAddrs   []string
	observeRun   func(policy.JobID) // called when an attempt begins to run; nil for none
	runTime      atomic.Int64       // how long executors take for an attempt, in nanoseconds

	mu             sync.Mutex
	runs           map[policy.JobID]int
	excluded       policy.ExecutorID     // the executor that an operator has excluded, once the node has acknowledged that
	submittedSince map[policy.JobID]bool // batch jobs submitted since then
	misdirected    []policy.JobID        // of those, the jobs that reached the excluded executor
	answers        map[policy.JobID]int  // status of each answer; 0 if the connection broke
}

// testPlatformMemoryMB is the memory limit of the node's processes.
const testPlatformMemoryMB = 32

// process is one of the processes of the node.
type process struct {
	cmd       *exec.Cmd
	adminAddr string
	log       string
	ended     chan error
}

func newPlatform(t *testing.T, binary string) *testPlatform {
	p := &testPlatform{t: t, binary: binary, dir: t.TempDir(), runs: map[policy.JobID]int{}, submittedSince: map[policy.JobID]bool{},
		answers: map[policy.JobID]int{}}
	p.runTime.Store(int64(5 * time.Millisecond))
	var entries []emulator.Entry
	for i := range 4 {
		id := policy.ExecutorID(fmt.Sprint("e", i))
		l := freeListener(p.t)
		entries = append(entries, emulator.Entry{Addr: l.Addr().String(), Endpoint: policy.Endpoint{Executor: id, Weight: 1, StartedLongAgo: true}})
		x := &platform.Executor{ID: id, RunTime: func() time.Duration { return time.Duration(p.runTime.Load()) }, OnEffect: func(job policy.JobID) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.runs[job]++
			if p.observeRun != nil {
				go p.observeRun(job)
			}
			if id == p.excluded && p.submittedSince[job] {
				p.misdirected = append(p.misdirected, job)
			}
		}}
		go x.Serve(l)
	}
	list := freeListener(p.t)
	go (&platform.Discovery{Entries: entries, Zones: []string{"z"}}).Serve(list)
	clients := freeListener(p.t)
	file, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	p.listenSocket, p.listen, p.discovery = file, clients.Addr().String(), list.Addr().String()
	closeAtEnd(t, file)
	return p
}

// freeListener returns a listener on a free port.
func freeListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// start starts a process. If discovery is an address without a server, the process becomes ready only by the state that it gets
// from its predecessor. broken gives it an invalid configuration.
func (p *testPlatform) start(discovery string, broken bool) *process {
	proc := p.prepare(discovery, broken)
	log, err := os.Create(proc.log)
	if err != nil {
		p.t.Fatal(err)
	}
	defer mustClose(p.t, log)
	p.startPrepared(proc, log)
	return proc
}

// prepare returns a process that is not started yet. Its parameters are those of start.
func (p *testPlatform) prepare(discovery string, broken bool) *process {
	p.started++
	proc := &process{adminAddr: freePort(p.t), log: filepath.Join(p.dir, fmt.Sprint("log", p.started)), ended: make(chan error, 1)}
	tracks := []any{}
	for _, t := range [...][2]string{{"page", "repeatable"}, {"order", "once"}} {
		tracks = append(tracks, map[string]any{"name": t[0], "quoted-time-s": 1, "outer-limit-s": 2, "repeat": t[1], "earnings": 1})
	}
	text, _ := json.Marshal(map[string]any{"name": "n0", "listen": p.listen, "discovery": discovery, "management": proc.adminAddr,
		"limits": map[string]any{"memory_mb": testPlatformMemoryMB, "sockets": 256},
		"settings": map[string]any{"balancers": 1, "areas": []string{"z"}, "flavors": []string{"plain"}, "caps": map[string]any{"max-allocations": 3},
			"domain": map[string]any{"tells-start": true}, "tracks": tracks}})
	if broken {
		text = text[:len(text)/2]
	}
	p.adminAddrs = append(p.adminAddrs, proc.adminAddr)
	config := filepath.Join(p.dir, fmt.Sprint("config", p.started))
	if err := os.WriteFile(config, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	proc.cmd = exec.Command(p.binary, "serve")
	proc.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN_FD=5", "TMPDIR="+p.dir)
	return proc
}

// startPrepared starts a prepared process with its log in this file.
func (p *testPlatform) startPrepared(proc *process, log *os.File) {
	devNull, err := os.Open(os.DevNull)
	if err != nil {
		p.t.Fatal(err)
	}
	defer mustClose(p.t, devNull)
	proc.cmd.ExtraFiles = []*os.File{devNull, devNull, p.listenSocket}
	proc.cmd.Stderr = log
	if err := proc.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { proc.ended <- proc.cmd.Wait() }()
	p.t.Cleanup(func() { proc.cmd.Process.Kill() })
}

// call sends an operator's command to the process.
func (proc *process) call(command node.AdminCommand, id policy.ExecutorID) error {
	_, err := admin.Call(proc.adminAddr, command, id, time.Second)
	return err
}

// awaitReady waits until a process is ready.
func (p *testPlatform) awaitReady(proc *process) {
	for deadline := time.Now().Add(15 * time.Second); proc.call(node.CheckReady, "") != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			text, _ := os.ReadFile(proc.log)
			p.t.Fatalf("the process does not become ready:\n%s", text)
		}
	}
}

// exclude has an operator exclude an executor. No batch job that is submitted after the acknowledgment may reach it. Jobs that were
// in flight then may have been assigned to it before; the golden traces of package node cover that case.
func (p *testPlatform) exclude(proc *process, id policy.ExecutorID) {
	if err := proc.call(node.ExcludeExecutor, id); err != nil {
		p.t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded = id
}

// checkExclusion checks that the excluded executor got no new batch jobs. The check then ends, because the executor is about to be
// readmitted, or the node is about to lose the exclusion.
func (p *testPlatform) checkExclusion() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.misdirected) > 0 {
		p.t.Errorf("%s got %v, which were submitted after it was excluded", p.excluded, p.misdirected)
	}
	if p.excluded != "" && len(p.submittedSince) == 0 {
		p.t.Errorf("no batch job was submitted after %s was excluded", p.excluded)
	}
	p.excluded, p.submittedSince, p.misdirected = "", map[policy.JobID]bool{}, nil
}

// awaitEnd sends a process a signal, unless sig is nil, waits until the process ends and returns its error.
func (p *testPlatform) awaitEnd(proc *process, sig os.Signal) error {
	if sig != nil {
		proc.cmd.Process.Signal(sig)
	}
	select {
	case err := <-proc.ended:
		return err
	case <-time.After(15 * time.Second):
		p.t.Fatal("a process does not end")
		return nil
	}
}

// stop ends a process by SIGTERM. The process must exit with status 0.
func (p *testPlatform) stop(proc *process) {
	p.t.Helper()
	if err := p.awaitEnd(proc, syscall.SIGTERM); err != nil {
		p.t.Errorf("a process ended with %v", err)
	}
}

// kill ends a process by SIGKILL. The process must not have ended before.
func (p *testPlatform) kill(proc *process) {
	p.t.Helper()
	err := p.awaitEnd(proc, syscall.SIGKILL)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
		p.t.Errorf("a process ended with %v, want SIGKILL", err)
	}
}

// submitAll submits batch jobs by several clients until stop is closed. The returned group is done when all clients have ended.
func (p *testPlatform) submitAll(stop chan struct{}) *sync.WaitGroup {
	var wait sync.WaitGroup
	for c := range 6 {
		wait.Go(func() {
			client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
				}
				id := fmt.Sprintf("%s-%d-%d", [...]string{"page", "order"}[c%2], c, i)
				p.submit(&client, id)
			}
		})
	}
	return &wait
}

// submit submits a batch job and records the status of its answer.
func (p *testPlatform) submit(client *http.Client, id string) {
	p.mu.Lock()
	if p.excluded != "" {
		p.submittedSince[policy.JobID(id)] = true
	}
	p.mu.Unlock()
	m, _ := http.NewRequest("POST", "http://"+p.listen+"/x", strings.NewReader("body"))
	m.GetBody = nil // so that net/http does not retry the request
	class, _, _ := strings.Cut(id, "-")
	m.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {class}, "X-Budget-Ms": {"2000"}}
	status, conn := 0, httptrace.GotConnInfo{}
	m = m.WithContext(httptrace.WithClientTrace(m.Context(), &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { conn = got }}))
	a, err := client.Do(m)
	if err != nil {
		p.t.Logf("%s: %v, on a reused connection: %t, idle for %v", id, err, conn.Reused, conn.IdleTime)
	}
	if err == nil {
		if _, err = io.Copy(io.Discard, a.Body); err == nil {
			status = a.StatusCode
		}
		a.Body.Close()
	}
	p.mu.Lock()
	p.answers[policy.JobID(id)] = status
	p.mu.Unlock()
}

// checkAll checks the answers and runs of all batch jobs. lost says that a process was killed while jobs were in flight, so that
// connections may have broken.
func (p *testPlatform) checkAll(lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := map[int]int{}
	for id, status := range p.answers {
		once := strings.HasPrefix(string(id), "order")
		statuses[status]++
		switch n := p.runs[id]; {
		case status == http.StatusOK && n == 0:
			p.t.Errorf("%s succeeded and never ran", id)
		case once && n > 1:
			p.t.Errorf("%s, an at-most-once job, ran %d times", id, n)
		case once && status == http.StatusServiceUnavailable && n > 0:
			p.t.Errorf("%s was rejected and ran", id)
		case status == 0 && !lost, status != 0 && status != http.StatusOK && status != http.StatusServiceUnavailable:
			p.t.Errorf("%s ended with status %d", id, status)
		}
	}
	if statuses[http.StatusOK] < 10 || statuses[0] > 60 {
		p.t.Errorf("number of answers by status: %v, want at least 10 of 200 and at most 60 broken connections (0)", statuses)
	}
}

// checkServes checks that the node completes a new batch job, whichever process serves it.
func (p *testPlatform) checkServes() {
	client := http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for i := range 20 {
		id := fmt.Sprint("page-last-", i)
		p.submit(&client, id)
		p.mu.Lock()
		status := p.answers[policy.JobID(id)]
		p.mu.Unlock()
		if status == http.StatusOK {
			return
		}
	}
	for _, addr := range p.adminAddrs {
		lines, err := admin.Call(addr, node.ReadMetrics, "", time.Second)
		p.t.Log(addr, lines, err)
	}
	for i := range p.started {
		text, _ := os.ReadFile(filepath.Join(p.dir, fmt.Sprint("log", i+1)))
		p.t.Logf("process %d:\n%s", i+1, text)
	}
	p.t.Error("the node completes no batch job at the end")
}

// TestUpgrade upgrades a node under load by starting a second process, and kills either process at various steps. An executor that
// an operator has excluded must get no new batch jobs meanwhile.
func TestUpgrade(t *testing.T) {
	binary := program(t)
	noServer := "127.0.0.1:1"
	for _, c := range []struct {
		name string
		lost bool
		do   func(p *testPlatform, old *process)
	}{
		{"two upgrades", false, func(p *testPlatform, old *process) {
			for range 2 {
				next := p.start(p.discovery, false)
				p.awaitReady(next)
				p.stop(old)
				old = next
			}
			p.checkExclusion()
			if err := old.call(node.ReadmitExecutor, "e3"); err != nil {
				p.t.Errorf("readmitting e3, which was excluded in an earlier process: %v", err)
			}
		}},
		{"successors are killed during their start", true, func(p *testPlatform, old *process) {
			for i := range 8 {
				next := p.start(p.discovery, false)
				time.Sleep(time.Duration(4*i) * time.Millisecond)
				p.kill(next)
			}
		}},
		{"the successor does not reach discovery", false, func(p *testPlatform, old *process) {
			next := p.start(noServer, false)
			p.awaitReady(next)
			p.stop(old)
		}},
		{"the successor's configuration is invalid", false, func(p *testPlatform, old *process) {
			if p.awaitEnd(p.start(p.discovery, true), nil) == nil {
				p.t.Error("the successor exits with status 0")
			}
		}},
		{"the successor is killed after it is ready", true, func(p *testPlatform, old *process) {
			next := p.start(p.discovery, false)
			p.awaitReady(next)
			time.Sleep(100 * time.Millisecond)
			p.kill(next)
			p.checkServes()
			next = p.start(p.discovery, false) // it finds the predecessor again
			p.awaitReady(next)
			p.stop(old)
		}},
		{"the predecessor is killed", true, func(p *testPlatform, old *process) {
			next := p.start(p.discovery, false)
			p.awaitReady(next)
			p.kill(old)
		}},
		{"a client drain and a stale handoff socket", false, func(p *testPlatform, old *process) {
			next := p.start(p.discovery, false)
			p.awaitReady(next)
			if err := old.call(node.DrainOn, ""); err != nil {
				p.t.Error(err)
			}
			if a, err := http.Get("http://" + p.listen + "/-/ready"); err != nil || a.StatusCode != http.StatusServiceUnavailable {
				p.t.Errorf("ready during a client drain; error %v", err)
			}
			if err := next.call(node.DrainOff, ""); err != nil {
				p.t.Error(err)
			}
			p.stop(old)
			p.checkExclusion() // only the next process knows of the exclusion, and it is killed
			p.kill(next)
			p.awaitReady(p.start(p.discovery, false)) // it must start despite files that killed processes left
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, binary)
			old := p.start(p.discovery, false)
			p.awaitReady(old)
			stop := make(chan struct{})
			wait := p.submitAll(stop)
			time.Sleep(200 * time.Millisecond)
			p.exclude(old, "e3")
			c.do(p, old)
			time.Sleep(100 * time.Millisecond)
			p.checkServes()
			close(stop)
			wait.Wait()
			p.checkExclusion() // all jobs are answered, so all that reached an executor are recorded
			p.checkAll(c.lost || c.name == "a client drain and a stale handoff socket")
		})
	}
}
