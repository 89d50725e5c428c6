package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["window"] = window }

const (
	// dedupWindow is how long the executors drop a repeat, counted from when the first attempt arrived.
	dedupWindow   = 1000 * time.Millisecond
	windowWork    = 2 * time.Second        // work of a job that is still running when its connection is reset
	windowQuick   = 100 * time.Millisecond // how long other jobs run
	windowHoldUp  = 145 * time.Millisecond // the pages name 0.15 s
	windowTime    = 90 * time.Second
	windowPerZone = 8 // executors of a zone
	windowJobs    = 16
	windowBody    = 48 << 10 // size of a body; the pages allow 64 KiB
	// windowMargin is how long before the end of the window the connections are reset.
	windowMargin = 114 * time.Millisecond
	// windowSlack allows for the time between the executor's first read and its clock.
	windowSlack = 5 * time.Millisecond
)

// dedupGroup is a group of executors that drop each other's repeats of a key.
type dedupGroup struct {
	env *env

	mu    sync.Mutex
	first map[string]time.Time // when each key was first received
	held  map[net.Conn]heldJob // connections with a job that runs in the first zone
	takes bool                 // jobs that come to the first zone run for long
}

// heldJob is a job that is running.
type heldJob struct {
	key string
	at  time.Time
}

// receive records that an attempt with a key has arrived, and reports whether it is dropped as a repeat.
func (g *dedupGroup) receive(executor, job, key string) (repeat bool) {
	now := time.Now()
	g.mu.Lock()
	first, known := g.first[key]
	if !known {
		g.first[key] = now
	}
	g.mu.Unlock()
	if !known {
		g.env.record.line("%s begins %s, key %s", executor, job, key)
		return false
	}
	since := now.Sub(first)
	g.env.record.line("%s gets %s again, key %s, after %v", executor, job, key, since)
	if since > dedupWindow+windowSlack {
		g.env.breaks("%s, key %s, comes again after %v, when the executors no longer know it: its effect happens twice", job, key, since)
	}
	return since <= dedupWindow
}

// hold notes that a connection carries a job that runs for long. It returns false if jobs run for a short time now.
func (g *dedupGroup) hold(c net.Conn, key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.takes {
		g.held[c] = heldJob{key, time.Now()}
	}
	return g.takes
}

// setTakes says whether jobs that come to the first zone run for long.
func (g *dedupGroup) setTakes(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takes = on
}

// earliest returns when the first of the jobs that are held was received, and the number of these jobs.
func (g *dedupGroup) earliest() (at time.Time, jobs int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, job := range g.held {
		if at.IsZero() || job.at.Before(at) {
			at = job.at
		}
	}
	return at, len(g.held)
}

// resetAll resets the connections of the jobs that are held.
func (g *dedupGroup) resetAll() (jobs int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.held {
		c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close below shows it
		c.Close()
		jobs++
	}
	clear(g.held)
	return jobs
}

// serveWindow serves one connection of an executor.
func (g *dedupGroup) serveWindow(c net.Conn, id string, slow bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		job, key := request.Header.Get("X-Call-Id"), request.Header.Get("Idempotency-Key")
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		repeat := false
		if key != "" {
			repeat = g.receive(id, job, key)
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, job, id))); err != nil {
			return
		}
		switch {
		case repeat:
			time.Sleep(2 * time.Millisecond)
		case key != "" && slow && g.hold(c, key):
			time.Sleep(windowWork)
		default:
			time.Sleep(windowQuick)
		}
		if _, err := io.WriteString(c, chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r-%s"}`, job, id, job))+"0\r\n\r\n"); err != nil {
			return
		}
	}
}

// startWindowExecutor starts an executor and returns its entry in the list.
func (g *dedupGroup) startWindowExecutor(id, zone string, slow bool) (host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return host{}, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serveWindow(c, id, slow)
		}
	}()
	return host{Host: id, Dial: l.Addr().String(), Site: zone, Class: "large", Health: "ready", Share: 1}, nil
}

// window hands in jobs with a key, and resets the connections of those that run in one zone shortly before the executors forget
// their keys. With trouble the node is held up just then.
func window(e *env) error {
	g := &dedupGroup{env: e, first: map[string]time.Time{}, held: map[net.Conn]heldJob{}}
	var hosts []host
	for i := range 2 * windowPerZone {
		zone, slow := "west", true
		if i >= windowPerZone {
			zone, slow = "east", false
		}
		h, err := g.startWindowExecutor(fmt.Sprintf("s-%d", i), zone, slow)
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
	node, err := e.startNode(nodeOptions{name: "n0", config: windowConfig(addr, list.addr)})
	if err != nil {
		return err
	}
	if err := e.waitReady(addr, 10*time.Second); err != nil {
		return err
	}
	w := &windowRun{env: e, group: g, node: node, addr: addr, client: newClient(12 * time.Second)}
	for until := time.Now().Add(windowTime); time.Now().Before(until); {
		w.round()
	}
	e.record.line("connections reset with a job: %d; answers by status: %v", w.resets, w.statuses)
	if w.resets == 0 || w.statuses[http.StatusOK] == 0 {
		return errors.New("no job was held or served")
	}
	return nil
}

// windowRun is the state of a run.
type windowRun struct {
	env    *env
	group  *dedupGroup
	node   *nodeProcess
	addr   string
	client *http.Client
	resets int

	mu       sync.Mutex
	statuses map[int]int
}

// send hands in jobs at once and returns a group that waits for their answers.
func (w *windowRun) send(class string, jobs int) *sync.WaitGroup {
	var wait sync.WaitGroup
	for range jobs {
		j := job{id: fmt.Sprintf("%016x", rand.Uint64()), class: class, budget: 5 * time.Second}
		if strings.HasPrefix(class, "split") {
			j.body = make([]byte, windowBody)
			j.key, j.budget, j.cost = fmt.Sprintf("%032x", rand.Uint64()), 10*time.Second, windowWork
		}
		wait.Go(func() {
			r := post(w.client, w.addr, j)
			w.env.record.line("client gets %d for %s", r.status, j.id)
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.statuses == nil {
				w.statuses = map[int]int{}
			}
			w.statuses[r.status]++
		})
	}
	return &wait
}

// round plays one reset.
func (w *windowRun) round() {
	w.send("board-read", 2*windowPerZone).Wait()
	w.group.setTakes(true)
	answers := w.send("split-record", windowJobs)
	time.Sleep(dedupWindow / 2)
	w.group.setTakes(false)
	at, jobs := w.group.earliest()
	if jobs > 0 {
		time.Sleep(time.Until(at.Add(dedupWindow - windowMargin)))
		w.resets += w.group.resetAll()
		if w.env.trouble {
			w.holdUp()
		}
		w.env.record.line("%d connections were reset", jobs)
	}
	answers.Wait()
}

// holdUp holds the node up while it handles the resets.
func (w *windowRun) holdUp() {
	after := time.Duration((0.1 + rand.Float64()*1.4) * float64(time.Millisecond))
	for until := time.Now().Add(after); time.Now().Before(until); { // a sleep would be too coarse
	}
	w.node.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(windowHoldUp)
	w.node.cmd.Process.Signal(syscall.SIGCONT)
	w.env.record.line("node n0: held up for %v, %v after the resets", windowHoldUp, after)
}

// windowConfig is the configuration of a node of a small deployment with a class whose jobs carry a key.
func windowConfig(addr, discoveryAddr string) map[string]any {
	return map[string]any{
		"name": "n0", "listen": addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"balancers": 1, "my-number": 0, "locality": 0, "areas": []string{"east", "west"}, "flavors": []string{"large", "small"},
			"quantum-s": 0.004, "discovery": "push", "weights": "off", "earnings-per": "request",
			"caps": map[string]any{"cancel": true, "max-allocations": 6, "retry-after": true, "max-retry-after-s": 2.0,
				"conn-idle-s": 60.0, "dial-timeout-s": 0.1},
			"domain":      map[string]any{"tells-start": true},
			"report":      map[string]any{"how": "off", "fields": []string{}},
			"rules":       map[string]any{"cold-share": 0.3, "warm-within-s": 9.0, "fall-multiple": 4.0, "fall-s": 1.5, "drain-grace-s": 1.5},
			"prices":      map[string]any{"cross-zone": 0.0},
			"score-parts": map[string]any{"whole": 1.0},
			"tracks": []map[string]any{
				{"name": "board-read", "quoted-time-s": 0.5, "aim-stretch": 2.0, "outer-limit-s": 5.0, "repeat": "repeatable", "earnings": 2.0},
				{"name": "split-record", "quoted-time-s": 1.0, "aim-stretch": 2.0, "outer-limit-s": 10.0, "repeat": "by_key", "dedup-scope": "all",
					"dedup-window-s": dedupWindow.Seconds(), "late-earnings": 0.5, "earnings": 2.0},
			},
		},
	}
}
