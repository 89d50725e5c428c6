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

func init() { cases["two-out"] = twoOut }

const (
	// twoOneWay is the time that bytes take from the node to an executor, and back again: the pages name 2.8 to 5.2 ms between the
	// data centres of edetabel-main.
	twoOneWay      = 5 * time.Millisecond
	twoSecondAfter = 5 * time.Millisecond   // how much later a second answer comes: "some milliseconds"
	twoFullShare   = 0.25                   // share of first attempts that are turned away, because other nodes' jobs fill the executor
	twoRun         = 60 * time.Millisecond  // how long a job runs
	twoLoadTime    = 80 * time.Second       // how long clients hand in jobs
	twoInterval    = 350 * time.Millisecond // time between two bursts
	twoBurst       = 10                     // jobs of a burst
	twoBurstTime   = 200 * time.Millisecond // length of a burst
	twoExecutors   = 4
)

// outTable knows which attempts run on open connections.
type outTable struct {
	env *env

	mu      sync.Mutex
	arrived map[string]bool             // jobs of which an attempt has arrived
	out     map[string][]*runningFromTo // attempts that run, by job
}

// runningFromTo is an attempt that runs on an open connection.
type runningFromTo struct {
	executor string
	since    time.Time
}

// arrive records that an attempt of a job has arrived, and reports whether it is the first.
func (t *outTable) arrive(job string) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.arrived[job]
	t.arrived[job] = true
	return first
}

// begin records that an attempt begins to run. The rule is broken if another attempt of the job runs on an open connection.
func (t *outTable) begin(job, executor string) *runningFromTo {
	t.mu.Lock()
	before := t.out[job]
	attempt := &runningFromTo{executor, time.Now()}
	t.out[job] = append(before[:len(before):len(before)], attempt)
	t.mu.Unlock()
	t.env.record.line("%s begins %s", executor, job)
	if len(before) > 0 {
		t.env.breaks("%s begins at %s while an attempt of it runs on an open connection at %s, for %v by now", job, executor,
			before[0].executor, time.Since(before[0].since).Round(100*time.Microsecond))
	}
	return attempt
}

// end records that an attempt has ended, or that the node's close of its connection has arrived.
func (t *outTable) end(job string, attempt *runningFromTo, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, other := range t.out[job] {
		if other == attempt {
			t.out[job] = append(t.out[job][:i:i], t.out[job][i+1:]...)
			t.env.record.line("%s: attempt of %s is over: %s", attempt.executor, job, why)
			return
		}
	}
}

// twoExecutor is an executor in another data centre. It stops a job when the node's close of the connection arrives.
type twoExecutor struct {
	id   string
	out  *outTable
	full bool // second answers come
}

// startTwoExecutor starts an executor and returns its entry in the list.
func startTwoExecutor(e *env, id string, out *outTable) (host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return host{}, err
	}
	x := &twoExecutor{id: id, out: out, full: e.trouble}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return host{Host: id, Dial: l.Addr().String(), Site: "tartu", Class: "medium", Health: "ready", Share: 1}, nil
}

// serve serves one connection. What it writes reaches the node twoOneWay later, in order, and what the node does reaches it
// twoOneWay later.
func (x *twoExecutor) serve(c net.Conn) {
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
		out <- timedBytes{time.Now().Add(twoOneWay + after), text}
	}
	requests := make(chan *http.Request, 16)
	closed := make(chan struct{})
	go func() {
		defer close(requests)
		in := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				time.Sleep(twoOneWay)
				close(closed)
				return
			}
			requests <- request
		}
	}()
	for request := range requests {
		time.Sleep(twoOneWay)
		job := request.Header.Get("X-Call-Id")
		if x.out.arrive(job) && rand.Float64() < twoFullShare {
			x.turnAway(job, write)
			continue
		}
		attempt := x.out.begin(job, x.id)
		write(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, job, x.id)))
		select {
		case <-closed:
			x.out.end(job, attempt, "the node has closed its connection")
			return
		case <-time.After(twoRun):
		}
		x.out.end(job, attempt, "done")
		write(0, chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r-%s"}`, job, x.id, job))+"0\r\n\r\n")
	}
}

// turnAway turns a request away. With trouble, the answer comes twice.
func (x *twoExecutor) turnAway(job string, write func(time.Duration, string)) {
	const answer = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	x.out.env.record.line("%s turns %s away, twice: %t", x.id, job, x.full)
	write(0, answer)
	if x.full {
		write(twoSecondAfter, answer)
	}
}

// twoOut hands in repeatable jobs where a job may never have two attempts out together, while executors turn some of them away and
// these answers come a second time some milliseconds later.
func twoOut(e *env) error {
	out := &outTable{env: e, arrived: map[string]bool{}, out: map[string][]*runningFromTo{}}
	var hosts []host
	for i := range twoExecutors {
		h, err := startTwoExecutor(e, fmt.Sprintf("s-%d", i), out)
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
	if _, err := e.startNode(nodeOptions{name: "n0", config: twoConfig(addr, list.addr)}); err != nil {
		return err
	}
	if err := e.waitReady(addr, 10*time.Second); err != nil {
		return err
	}
	client := newClient(8 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for until := time.Now().Add(twoLoadTime); time.Now().Before(until); time.Sleep(twoInterval) {
		for range twoBurst {
			j := job{id: fmt.Sprintf("%016x", rand.Uint64()), class: "board-read", budget: 5 * time.Second}
			after := time.Duration(rand.Float64() * float64(twoBurstTime))
			wait.Go(func() {
				time.Sleep(after)
				e.record.line("client sends %s", j.id)
				r := post(client, addr, j)
				e.record.line("client gets %d for %s", r.status, j.id)
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

// twoConfig is the configuration of a node of a small deployment like edetabel-main with one class that may run again. Its settings
// don't allow second copies.
func twoConfig(addr, discoveryAddr string) map[string]any {
	return map[string]any{
		"name": "n0", "listen": addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"balancers": 1, "my-number": 0, "locality": 0, "areas": []string{"tallinn", "tartu", "parnu"},
			"flavors":   []string{"large", "medium", "small"},
			"quantum-s": 0.004, "discovery": "push", "weights": "off", "earnings-per": "work",
			"caps": map[string]any{"cancel": true, "max-allocations": 6, "retry-after": true, "max-retry-after-s": 2.0, "second-copies": false,
				"conn-idle-s": 60.0, "dial-timeout-s": 0.1},
			"domain":      map[string]any{"tells-start": true},
			"report":      map[string]any{"how": "off", "fields": []string{}},
			"rules":       map[string]any{"cold-share": 0.3, "warm-within-s": 9.0, "fall-multiple": 4.0, "fall-s": 1.5, "drain-grace-s": 1.5},
			"prices":      map[string]any{"cross-zone": 0.2},
			"score-parts": map[string]any{"whole": 1.0},
			"tracks": []map[string]any{{"name": "board-read", "quoted-time-s": 0.3, "aim-stretch": 2.0, "outer-limit-s": 5.0,
				"repeat": "repeatable", "earnings": 2.0}},
		},
	}
}
