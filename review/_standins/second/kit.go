// Command second has the stand-ins of the cases of the second review: clients, executors, discovery and the platform that starts
// the node's processes. Its first argument names the case, its second the case's folder, to which record.txt is written.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the case runs without
// its disruption.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*env) error{}

// env is what a case runs in.
type env struct {
	record  *record
	dir     string // temporary folder, removed at the end
	trouble bool   // whether the disruption happens
	broken  []string

	mu    sync.Mutex
	nodes []*nodeProcess
}

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

// line writes a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// breaks records that the rule was broken.
func (e *env) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.mu.Lock()
	e.broken = append(e.broken, text)
	e.mu.Unlock()
	e.record.line("BROKEN: %s", text)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit status.
func runCase(run func(*env) error, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer os.RemoveAll(dir)
	e := &env{record: &record{start: time.Now(), out: file}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	e.record.line("trouble: %t", e.trouble)
	done := make(chan error, 1)
	go func() { done <- run(e) }()
	select {
	case err = <-done:
	case <-time.After(115 * time.Second):
		err = errors.New("the case took too long")
	}
	e.killAll()
	switch {
	case len(e.broken) > 0:
		e.record.line("result: the rule was broken %d times", len(e.broken))
		fmt.Printf("broken: %s\n", e.broken[0])
		return statusBroken
	case err != nil:
		e.record.line("result: the case could not run: %v", err)
		fmt.Printf("not run: %v\n", err)
		return statusNotRun
	}
	e.record.line("result: the rule held")
	fmt.Println("held")
	return statusHeld
}

// nodeProcess is a process of the project's node.
type nodeProcess struct {
	name  string
	cmd   *exec.Cmd
	ended chan error
	log   *os.File
}

// nodeOptions says how a node is started.
type nodeOptions struct {
	name   string
	config map[string]any
	site   string // text of the site file; empty for none
	tmp    string // its TMPDIR; empty for one of its own
	env    []string
	files  []*os.File // files that the process inherits from descriptor 3 on
}

// runCommand returns the command of the deploy file that starts a node.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no line run")
	}
	return string(found[1]), nil
}

// startNode starts a process of a node by the deploy file's command.
func (e *env) startNode(o nodeOptions) (*nodeProcess, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	number := len(e.nodes)
	e.mu.Unlock()
	home := filepath.Join(e.dir, fmt.Sprintf("%s-%d", o.name, number))
	if err := os.MkdirAll(home, 0o700); err != nil {
		return nil, err
	}
	text, err := json.Marshal(o.config)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(home, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	if o.site != "" {
		site := filepath.Join(home, "site.toml")
		if err := os.WriteFile(site, []byte(o.site), 0o600); err != nil {
			return nil, err
		}
		command += " --site " + site
	}
	tmp := o.tmp
	if tmp == "" {
		tmp = filepath.Join(home, "tmp")
		if err := os.MkdirAll(tmp, 0o700); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(home, "log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_CONFIG=" + config}, o.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = o.files
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &nodeProcess{name: o.name, cmd: cmd, ended: make(chan error, 1), log: log}
	go func() { p.ended <- cmd.Wait() }()
	e.mu.Lock()
	e.nodes = append(e.nodes, p)
	e.mu.Unlock()
	e.record.line("node %s: started, process %d", o.name, cmd.Process.Pid)
	return p, nil
}

// wait waits until the process has ended.
func (p *nodeProcess) wait(limit time.Duration) error {
	select {
	case err := <-p.ended:
		p.ended <- err
		return nil
	case <-time.After(limit):
		return fmt.Errorf("node %s has not ended within %v", p.name, limit)
	}
}

// signal sends a signal to a node and records it.
func (e *env) signal(p *nodeProcess, s syscall.Signal) {
	e.record.line("node %s: signal %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// killAll ends all processes that the case started, and adds their logs to the record.
func (e *env) killAll() {
	e.mu.Lock()
	nodes := e.nodes
	e.mu.Unlock()
	for _, p := range nodes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		if err := p.wait(5 * time.Second); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	for _, p := range nodes {
		text, _ := os.ReadFile(p.log.Name())
		const longest = 20 << 10
		e.record.line("log of node %s, process %d, at most its first %d bytes:", p.name, p.cmd.Process.Pid, longest)
		e.record.out.Write(text[:min(len(text), longest)])
		p.log.Close()
	}
}

// freeAddr returns a free address of this machine's loopback interface.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until a node says that it is ready.
func (e *env) waitReady(addr string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			e.record.line("%s is ready", addr)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", addr, limit)
}

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// discovery is the agent that tells a node the list of executors.
type discovery struct {
	addr string

	mu      sync.Mutex
	seq     int64
	hosts   map[string]host
	changes map[string]int64 // version of each host's last change
	changed chan struct{}    // closed by the next change
}

// startDiscovery starts a discovery service with this list.
func startDiscovery(hosts ...host) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), hosts: map[string]host{}, changes: map[string]int64{}, changed: make(chan struct{})}
	d.change(hosts...)
	go http.Serve(l, d) //nolint:errcheck // it ends with the case
	return d, nil
}

// change publishes changed entries as one version.
func (d *discovery) change(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		d.hosts[h.Host], d.changes[h.Host] = h, d.seq
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list is the form of an answer.
type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// since returns what has changed since a version, and a channel that the next change closes.
func (d *discovery) since(from int64, whole bool) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer := list{Seq: d.seq, Whole: whole, Hosts: []host{}}
	for id, h := range d.hosts {
		if whole && h.Health != "gone" || !whole && d.changes[id] > from {
			answer.Hosts = append(answer.Hosts, h)
		}
	}
	return answer, d.changed
}

// ServeHTTP answers a call for the whole list, or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	text := r.URL.Query().Get("from")
	from, err := strconv.ParseInt(text, 10, 64)
	whole := err != nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	answer, changed := d.since(from, whole)
	if !whole && len(answer.Hosts) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer, _ = d.since(from, false)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer) //nolint:errcheck // the node is gone
}

// job is a request of a client.
type job struct {
	id, class, key string
	budget         time.Duration
	cost           time.Duration // the client's guess at the work; 0 for none
	body           []byte
}

// reply is what a client got: the status, or 0 and an error.
type reply struct {
	status int
	body   []byte
	err    error
}

// newClient returns an HTTP client that opens as many connections as its requests need and keeps them.
func newClient(limit time.Duration) *http.Client {
	return &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// post hands in a job and waits for its answer.
func post(client *http.Client, addr string, j job) reply {
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api/"+j.id, bytes.NewReader(j.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("X-Call-Id", j.id)
	request.Header.Set("X-Call-Class", j.class)
	request.Header.Set("X-Budget-Ms", strconv.FormatInt(j.budget.Milliseconds(), 10))
	if j.cost > 0 {
		request.Header.Set("X-Call-Cost", strconv.FormatInt(j.cost.Microseconds(), 10))
	}
	if j.key != "" {
		request.Header.Set("Idempotency-Key", j.key)
	}
	return do(client, request)
}

// do sends a request and reads the answer.
func do(client *http.Client, request *http.Request) reply {
	answer, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: answer.StatusCode, body: body}
}
