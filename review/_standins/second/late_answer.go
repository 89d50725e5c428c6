package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-answer"] = lateAnswer }

const (
	// oneWay is the time that bytes take from the node to an executor, and back again: the site file piedmont-south.toml names 10 to
	// 20 ms between locations (cross_ms).
	oneWay = 18 * time.Millisecond
	// secondAfter is how much later a second answer comes: "some milliseconds".
	secondAfter   = 8 * time.Millisecond
	fullShare     = 0.25                   // share of first attempts that are turned away, because other nodes' jobs fill the executor
	lateRun       = 60 * time.Millisecond  // how long a job runs
	lateLoadTime  = 95 * time.Second       // how long clients hand in jobs
	lateInterval  = 350 * time.Millisecond // time between two bursts
	lateBurst     = 10                     // jobs of a burst
	lateBurstTime = 200 * time.Millisecond // length of a burst
	lateExecutors = 4
)

// farExecutor is an executor in another location. It runs what it has taken to its end.
type farExecutor struct {
	id      string
	addr    string
	env     *env
	runs    *runTable
	trouble bool
}

// runTable counts how often each job has begun.
type runTable struct {
	mu      sync.Mutex
	arrived map[string]bool     // jobs of which an attempt has arrived
	begun   map[string][]string // executors at which a job has begun, by job
}

// arrive records that an attempt of a job has arrived, and reports whether it is the first.
func (t *runTable) arrive(job string) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.arrived[job]
	t.arrived[job] = true
	return first
}

// hasBegun reports whether a job has begun anywhere.
func (t *runTable) hasBegun(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.begun[job]) > 0
}

// begin records that a job begins, and returns the executors at which it had begun before.
func (t *runTable) begin(job, executor string) (before []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.begun[job]
	t.begun[job] = append(before[:len(before):len(before)], executor)
	return before
}

// startFarExecutor starts an executor and returns its entry in the list.
func startFarExecutor(e *env, id string, runs *runTable) (host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return host{}, err
	}
	x := &farExecutor{id: id, addr: l.Addr().String(), env: e, runs: runs, trouble: e.trouble}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return host{Host: id, Dial: x.addr, Site: "memphis", Class: "blue", Health: "ready", Share: 1}, nil
}

// timedBytes are bytes that reach the node at a time.
type timedBytes struct {
	at   time.Time
	text string
}

// serve serves one connection. What it writes reaches the node oneWay later, in order.
func (x *farExecutor) serve(c net.Conn) {
	defer c.Close()
	out := make(chan timedBytes, 1024)
	defer close(out)
	go func() {
		for b := range out {
			time.Sleep(time.Until(b.at))
			c.Write([]byte(b.text)) //nolint:errcheck // the reader notices
		}
	}()
	write := func(after time.Duration, text string) {
		out <- timedBytes{time.Now().Add(oneWay + after), text}
	}
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := request.Body.Read(make([]byte, 1)); err == nil {
			return // the jobs of this case have no body
		}
		time.Sleep(oneWay)
		job := request.Header.Get("X-Call-Id")
		if x.isFull(job) {
			x.turnAway(job, write)
			continue
		}
		before := x.runs.begin(job, x.id)
		x.env.record.line("%s begins %s", x.id, job)
		if len(before) > 0 {
			x.env.breaks("%s, which must never run twice, begins at %s and had begun at %v", job, x.id, before)
		}
		write(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, job, x.id)))
		time.Sleep(lateRun)
		write(0, chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r-%s"}`, job, x.id, job))+"0\r\n\r\n")
	}
}

// isFull reports whether the executor has no room when an attempt arrives. That concerns first attempts alone, so that a job that is
// turned away is soon served.
func (x *farExecutor) isFull(job string) bool {
	first := x.runs.arrive(job)
	return first && rand.Float64() < fullShare
}

// turnAway turns a request away. With trouble, the answer comes twice.
func (x *farExecutor) turnAway(job string, write func(time.Duration, string)) {
	const answer = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	x.env.record.line("%s turns %s away, twice: %t", x.id, job, x.trouble)
	write(0, answer)
	if x.trouble {
		write(secondAfter, answer)
	}
}

// chunk returns a line as one chunk of a response.
func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// lateAnswer hands in jobs that must never run twice, while executors turn some of them away and some of these answers come a
// second time some milliseconds later.
func lateAnswer(e *env) error {
	runs := &runTable{arrived: map[string]bool{}, begun: map[string][]string{}}
	var hosts []host
	for i := range lateExecutors {
		h, err := startFarExecutor(e, fmt.Sprintf("s-%d", i), runs)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	list, err := startDiscovery(hosts...)
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	config := map[string]any{
		"name": "n0", "listen": addr, "discovery": list.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": lateSettings(),
	}
	if _, err := e.startNode(nodeOptions{name: "n0", config: config}); err != nil {
		return err
	}
	if err := e.waitReady(addr, 10*time.Second); err != nil {
		return err
	}
	return e.offerLoad(addr, runs)
}

// offerLoad hands in jobs in bursts, and waits for all answers.
func (e *env) offerLoad(addr string, runs *runTable) error {
	client := newClient(10 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for until := time.Now().Add(lateLoadTime); time.Now().Before(until); time.Sleep(lateInterval) {
		for range lateBurst {
			j := job{id: fmt.Sprintf("%016x", rand.Uint64()), class: "label-create", budget: 8 * time.Second}
			after := time.Duration(rand.Float64() * float64(lateBurstTime))
			wait.Go(func() {
				time.Sleep(after)
				e.record.line("client sends %s", j.id)
				r := post(client, addr, j)
				e.record.line("client gets %d for %s", r.status, j.id)
				if r.status == http.StatusServiceUnavailable && runs.hasBegun(j.id) {
					e.breaks("%s, which must never run twice, is refused (503) and had begun", j.id)
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
			})
		}
	}
	wait.Wait()
	e.record.line("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return fmt.Errorf("no job was served: %v", statuses)
	}
	return nil
}

// lateSettings are the settings of a small deployment like piedmont-south with one class that must never run twice.
func lateSettings() map[string]any {
	return map[string]any{
		"balancers": 1, "my-number": 0, "locality": 0, "areas": []string{"atlanta", "memphis"}, "flavors": []string{"blue"},
		"quantum-s": 0.002, "discovery": "push", "weights": "off", "earnings-per": "request",
		"caps": map[string]any{"cancel": true, "max-allocations": 6, "retry-after": false, "second-copies": true,
			"conn-idle-s": 10.0, "dial-timeout-s": 0.25},
		"domain":      map[string]any{"tells-start": true},
		"report":      map[string]any{"how": "off", "fields": []string{}},
		"rules":       map[string]any{"cold-share": 0.22, "warm-within-s": 23.0, "fall-multiple": 4.0, "fall-s": 1.0, "drain-grace-s": 2.0},
		"prices":      map[string]any{"cross-zone": 0.03},
		"score-parts": map[string]any{"whole": 1.0},
		"tracks": []map[string]any{{"name": "label-create", "quoted-time-s": 0.6, "outer-limit-s": 8.0, "late-earnings": 0.5,
			"repeat": "once", "earnings": 5.0}},
	}
}
