package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/policy"
)

// Killing is a run of real processes on loopback: a node with durable batch jobs that is killed by SIGKILL at random points, stand-in executors, and
// clients that hand in until they have an acknowledgement and ask until they have a final answer.
type Killing struct {
	Binary string // birchstair
	Seed   uint64
	Jobs   int
	Kills  int
	Leases bool
	Dir    string // of its own, empty; what a run has left there is kept where it found something wrong
}

// Killed is what came of such a run.
type Killed struct {
	Finals map[string]int
	Wrong  []string
}

// killRun is a run that goes on.
type killRun struct {
	Killing
	listen string
	site   string
	config string

	mu        sync.Mutex
	runsOfJob map[string]int
	finals    map[string]string
	wrong     []string
	rand      *rand.Rand
}

// Play plays a run. An error means that it could not be played.
func (k Killing) Play() (Killed, error) {
	r := &killRun{Killing: k, runsOfJob: map[string]int{}, finals: map[string]string{}, rand: rand.New(rand.NewPCG(k.Seed, 4))}
	closeAll, err := r.setUp()
	defer closeAll()
	if err != nil {
		return Killed{}, err
	}
	node, err := r.start()
	if err != nil {
		return Killed{}, err
	}
	var wait sync.WaitGroup
	for i := range k.Jobs {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			r.client(fmt.Sprint("job", i), killClasses[i%2].name)
		})
	}
	for range k.Kills {
		time.Sleep(time.Duration(20+r.randomN(400)) * time.Millisecond)
		if err := node.Process.Kill(); err != nil {
			return Killed{}, err
		}
		if err := node.Wait(); err != nil && !errors.As(err, new(*exec.ExitError)) {
			return Killed{}, err
		}
		if node, err = r.start(); err != nil {
			return Killed{}, err
		}
	}
	wait.Wait()
	r.awaitReady() // before that it does not listen to signals yet
	node.Process.Signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		log, _ := os.ReadFile(filepath.Join(r.Dir, "log"))
		r.violation("a planned end: %v; its log ends with %s", err, log[max(0, len(log)-500):])
	}
	return r.verdict(), nil
}

// awaitReady waits until the node says that it is ready.
func (r *killRun) awaitReady() {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		answer, err := http.Get("http://" + r.listen + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	r.violation("the node is not ready again")
}

// verdict says what is wrong with what was seen.
func (r *killRun) verdict() Killed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Killed{Finals: map[string]int{}, Wrong: r.wrong}
	for i := range r.Jobs {
		id, once := fmt.Sprint("job", i), killClasses[i%2].repeat == "once"
		final, n := r.finals[id], r.runsOfJob[id]
		out.Finals[final]++
		switch {
		case final == "":
			out.Wrong = append(out.Wrong, id+" has no final answer")
		case once && n > 1:
			out.Wrong = append(out.Wrong, fmt.Sprintf("%s, once-only, ran %d times", id, n))
		case final == "handled" && n == 0:
			out.Wrong = append(out.Wrong, id+" was handled and never ran")
		case final == "pushed back" && once && n > 0:
			out.Wrong = append(out.Wrong, id+" was pushed back and ran")
		}
	}
	return out
}

func (r *killRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}

func (r *killRun) randomN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

var killClasses = [2]struct{ name, repeat string }{{"page", "repeatable"}, {"order", "once"}}

// setUp starts the stand-ins and writes the node's files.
func (r *killRun) setUp() (closeAll func(), err error) {
	var open []net.Listener
	closeAll = func() {
		for _, l := range open {
			l.Close()
		}
	}
	listen := func() string {
		l, e := net.Listen("tcp", "127.0.0.1:0")
		if e != nil {
			err = errors.Join(err, e)
			return ""
		}
		open = append(open, l)
		return l.Addr().String()
	}
	var entries []emulator.Entry
	for i := range 3 {
		id := policy.ExecutorID(fmt.Sprint("e", i))
		entries = append(entries, emulator.Entry{Addr: listen(), Endpoint: policy.Endpoint{Executor: id, Weight: 1, StartedLongAgo: true}})
		if err != nil {
			return closeAll, err
		}
		x := &platform.Executor{ID: id, Leases: r.Leases, Takes: func() time.Duration { return time.Duration(r.randomN(120)) * time.Millisecond },
			Ran: func(job policy.JobID) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.runsOfJob[strings.TrimPrefix(string(job), "durable-")]++
			}}
		go x.Serve(open[i])
	}
	discovery := listen()
	if err != nil {
		return closeAll, err
	}
	own, err := platform.Unused()
	if err != nil {
		return closeAll, err
	}
	go (&platform.Discovery{Entries: entries, Zones: []string{"z"}}).Serve(open[3])
	r.listen, r.config, r.site = own, filepath.Join(r.Dir, "config.json"), filepath.Join(r.Dir, "site.toml")
	var tracks []any
	for _, t := range killClasses {
		tracks = append(tracks, map[string]any{"name": t.name, "quoted-time-s": 0.3, "outer-limit-s": 5, "repeat": t.repeat, "earnings": 1})
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": own, "discovery": discovery, "settings": map[string]any{"balancers": 1,
		"quantum-s": 0.004, "areas": []string{"z"}, "flavors": []string{"plain"}, "caps": map[string]any{"max-allocations": 3, "cancel": true},
		"domain": map[string]any{"tells-start": true}, "tracks": tracks}})
	if err != nil {
		return closeAll, err
	}
	site := fmt.Sprintf("[durable]\ndir = %q\nouter-limit = \"2m\"\nkeep = \"10m\"\nsegment = \"64KiB\"\nmost = \"4MiB\"\nask-every = \"100ms\"\nleases = %v\n",
		filepath.Join(r.Dir, "store"), r.Leases)
	return closeAll, errors.Join(os.WriteFile(r.config, text, 0o600), os.WriteFile(r.site, []byte(site), 0o600))
}

// start starts the node.
func (r *killRun) start() (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(r.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(r.Binary, "serve", "--site", r.site)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.config)
	cmd.Stderr = log
	return cmd, errors.Join(cmd.Start(), log.Close())
}
