// Package kit is what the review's cases share: a record of what was seen, nodes started by the deploy file's command,
// stand-ins of executors and discovery on loopback, and a client of durable batch jobs.
package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case couldn't run
)

// longestRun ends a case that hangs, below the 120 s that a case may take.
const longestRun = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // whether the disruption is played; false with TROUBLE=0
	Root    string // the repository's root
	Temp    string // temporary folder, removed at the end
	// MemoryMB replaces limits.memory_mb of the example configuration, if it is not 0.
	MemoryMB int

	quiet bool // Log writes nothing
	*shared
}

// shared is what the copies of a Case have in common.
type shared struct {
	mu     sync.Mutex
	record *os.File
	start  time.Time
	nodes  []*Node
}

// Quietly returns a copy of the case whose log lines are dropped if quiet is set.
func (c *Case) Quietly(quiet bool) *Case {
	other := *c
	other.quiet = quiet
	return &other
}

// Run runs a case in the folder that the program's argument names, and ends the process with the case's exit code.
func Run(play func(*Case) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER, from the repository's root")
		os.Exit(NotRun)
	}
	root, _ := os.Getwd()
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: root, Temp: temp, shared: &shared{record: record, start: time.Now()}}
	time.AfterFunc(longestRun, func() { c.finish(NotRun, "the case took too long") })
	c.Log("trouble: %t", c.Trouble)
	broken, err := play(c)
	switch {
	case err != nil:
		c.finish(NotRun, "the case couldn't run: "+err.Error())
	case broken:
		c.finish(Broken, "the rule was BROKEN")
	default:
		c.finish(Held, "the rule held")
	}
}

// finish ends all nodes and the process.
func (c *Case) finish(code int, text string) {
	c.Log("%s (exit code %d)", text, code)
	fmt.Println(text)
	c.mu.Lock()
	for _, n := range c.nodes {
		n.command.Process.Kill() //nolint:errcheck // it may have ended
	}
	os.RemoveAll(c.Temp)
	os.Exit(code)
}

// Log writes a line to the record, with the seconds since the start.
func (c *Case) Log(format string, args ...any) {
	if c.quiet {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), c.Temp, "TEMP")
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), text)
}

// FreeAddr returns a free address on loopback.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

// Track is a job class of the configuration.
type Track struct {
	Name        string  `json:"name"`
	Quoted      float64 `json:"quoted-time-s"`
	Limit       float64 `json:"outer-limit-s"`
	Repeat      string  `json:"repeat"`
	Earnings    float64 `json:"earnings"`
	DedupScope  string  `json:"dedup-scope,omitempty"`
	DedupWindow float64 `json:"dedup-window-s,omitempty"`
}

// WriteConfig writes a node's configuration: that of deploy/node.example.json with other addresses and job classes.
func (c *Case) WriteConfig(path, listen, discovery string, tracks []Track) error {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "node.example.json"))
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config["listen"], config["discovery"] = listen, discovery
	config["settings"].(map[string]any)["tracks"] = tracks
	if c.MemoryMB > 0 {
		config["limits"].(map[string]any)["memory_mb"] = c.MemoryMB
	}
	if text, err = json.MarshalIndent(config, "", " "); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// WriteSite writes a site file with durable batch jobs, with the defaults but for the given lines.
func (c *Case) WriteSite(path, dir string, lines ...string) error {
	text := "[durable]\ndir = \"" + dir + "\"\n" + strings.Join(lines, "\n") + "\n"
	return os.WriteFile(path, []byte(text), 0o600)
}

// Node is a process of the node.
type Node struct {
	c       *Case
	command *exec.Cmd
	ended   chan struct{}
	err     error // valid once ended is closed
}

// StartNode starts a node by the deploy file's command, with a site file (docs: "birchstair serve --site FILE").
func (c *Case) StartNode(config, site string) (*Node, error) {
	deploy, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	_, after, _ := strings.Cut("\n"+string(deploy), "\nrun = \"")
	run, _, ok := strings.Cut(after, "\"")
	if !ok {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	if site != "" {
		run += " --site " + site
	}
	temp, err := os.MkdirTemp(c.Temp, "node-")
	if err != nil {
		return nil, err
	}
	n := &Node{c: c, command: exec.Command("/bin/sh", "-c", run), ended: make(chan struct{})}
	n.command.Dir = c.Root
	n.command.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+temp)
	stderr, err := n.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	c.Log("node: started by %q", run)
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			c.Log("node's log: %s", lines.Text())
		}
		n.err = n.command.Wait()
		c.Log("node: ended: %v", n.err)
		close(n.ended)
	}()
	return n, nil
}

// Signal sends a signal to the node.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Log("node: sent %v", s)
	n.command.Process.Signal(s) //nolint:errcheck // it may have ended
}

// WaitEnd waits until the node has ended. It returns false after the time.
func (n *Node) WaitEnd(limit time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the node with SIGKILL and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// WaitReady waits until the node is ready. It returns false if the node ends, or after the time.
func (n *Node) WaitReady(addr string, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-n.ended:
			return false
		default:
		}
		if response, err := client.Get("http://" + addr + "/-/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.c.Log("node: ready")
				return true
			}
		}
	}
	return false
}

// Submission is a durable batch job that a client submits.
type Submission struct {
	Path   string // the job's ID as it stands in the request line
	Class  string
	Budget time.Duration
	Key    string
	Type   string // Content-Type
	Body   string
}

// Put submits a durable batch job and returns the status. It retries while the node says 503.
func (c *Case) Put(addr string, s Submission) (status int, text string, err error) {
	for range 50 {
		status, text, err = c.put(addr, s)
		if err != nil || status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, text, err
}

func (c *Case) put(addr string, s Submission) (status int, text string, err error) {
	head := fmt.Sprintf("PUT /-/jobs/%s HTTP/1.1\r\nHost: backend.local\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n", s.Path, s.Class, s.Budget.Milliseconds())
	if s.Key != "" {
		head += "Idempotency-Key: " + s.Key + "\r\n"
	}
	if s.Type != "" {
		head += "Content-Type: " + s.Type + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", len(s.Body))
	status, text, err = exchange(addr, head+s.Body, 10*time.Second)
	c.Log("client: PUT /-/jobs/%s, class %s, key %q, type %q, body %q: %d %q %v", s.Path, s.Class, s.Key, s.Type, s.Body, status, text, err)
	return status, text, err
}

// Status is the state of a durable batch job.
type Status struct {
	State  string `json:"state"`
	Final  string `json:"final"`
	Result []byte `json:"result"`
}

// Get waits for the final answer of a durable batch job.
func (c *Case) Get(addr, path string, wait time.Duration) (code int, s Status, err error) {
	head := fmt.Sprintf("GET /-/jobs/%s?wait_ms=%d HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n", path, wait.Milliseconds())
	code, text, err := exchange(addr, head, wait+5*time.Second)
	if err == nil && code == http.StatusOK {
		err = json.Unmarshal([]byte(text), &s)
	}
	c.Log("client: GET /-/jobs/%s: %d %.200q %v", path, code, text, err)
	return code, s, err
}

// exchange sends a request and reads its response.
func exchange(addr, request string, limit time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit)) //nolint:errcheck // the reads and writes report it
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Executor is a stand-in of an executor: the project's own, platform.Executor, which records what it runs.
type Executor struct {
	platform.Executor
	Addr string

	c  *Case
	mu sync.Mutex
	at map[policy.JobID][]time.Time // when each job was run
}

// StartExecutor starts an executor whose attempts take the given time. leases: it answers lease queries.
func (c *Case) StartExecutor(id string, runTime time.Duration, leases bool) (*Executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{Addr: l.Addr().String(), c: c, at: map[policy.JobID][]time.Time{}}
	e.ID, e.Leases = policy.ExecutorID(id), leases
	e.RunTime = func() time.Duration { return runTime }
	e.OnEffect = func(job policy.JobID) {
		e.mu.Lock()
		e.at[job] = append(e.at[job], time.Now())
		e.mu.Unlock()
		c.Log("executor %s: runs %q", id, job)
	}
	go e.Serve(recordingListener{l, c, id})
	return e, nil
}

// Runs returns when a job was run.
func (e *Executor) Runs(job string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.at[policy.JobID(job)]...)
}

// AllRuns returns how often each job was run.
func (e *Executor) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string]int{}
	for job, at := range e.at {
		all[string(job)] = len(at)
	}
	return all
}

// Entry returns the executor's entry in the endpoint list.
func (e *Executor) Entry() emulator.Entry {
	entry := emulator.Entry{Addr: e.Addr}
	entry.Executor, entry.State, entry.Weight, entry.StartedLongAgo = e.ID, policy.Available, 1, true
	return entry
}

// recordingListener writes to the record what an executor receives.
type recordingListener struct {
	net.Listener
	c  *Case
	id string
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordingConn{conn, l.c, l.id}, nil
}

type recordingConn struct {
	net.Conn
	c  *Case
	id string
}

func (r recordingConn) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.c.Log("executor %s: received %q", r.id, b[:n])
	}
	return n, err
}

func (r recordingConn) Write(b []byte) (int, error) {
	r.c.Log("executor %s: answers %q", r.id, b)
	return r.Conn.Write(b)
}

// Discovery is a stand-in of the discovery service: the project's own, behind a switch that makes it silent.
type Discovery struct {
	platform.Discovery
	Addr string

	mu     sync.Mutex
	silent chan struct{} // closed when discovery speaks again; nil while it is up
	conns  []net.Conn
	c      *Case
}

// StartDiscovery starts discovery with a list of executors.
func (c *Case) StartDiscovery(executors ...*Executor) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), c: c}
	d.Zones = []string{"east", "west"}
	for _, e := range executors {
		d.Entries = append(d.Entries, e.Entry())
	}
	go d.Serve(switchedListener{l, d})
	return d, nil
}

// SetSilent makes discovery silent, or lets it speak again. While it is silent it accepts connections and answers nothing.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.Log("discovery: silent %t", silent)
	if silent {
		d.silent = make(chan struct{})
		return
	}
	if d.silent != nil {
		close(d.silent)
		d.silent = nil
	}
}

type switchedListener struct {
	net.Listener
	d *Discovery
}

func (l switchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return switchedConn{conn, l.d}, nil
}

type switchedConn struct {
	net.Conn
	d *Discovery
}

func (s switchedConn) Write(b []byte) (int, error) {
	s.d.mu.Lock()
	silent := s.d.silent
	s.d.mu.Unlock()
	if silent != nil {
		<-silent
	}
	return s.Conn.Write(b)
}

// Delete deletes the final answer of a durable batch job.
func (c *Case) Delete(addr, path string) (code int, err error) {
	code, _, err = exchange(addr, "DELETE /-/jobs/"+path+" HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n", 10*time.Second)
	c.Log("client: DELETE /-/jobs/%s: %d %v", path, code, err)
	return code, err
}

// RSS returns the node's resident memory in bytes.
func (n *Node) RSS() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// PeakRSS returns the largest resident memory that the node has had, in bytes.
func (n *Node) PeakRSS() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// StartBigExecutor starts an executor of the review's own, by the protocol page, whose results have the given size. ran is
// called for each attempt.
func (c *Case) StartBigExecutor(id string, runTime time.Duration, resultBytes int, ran func(job string)) (*Executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{Addr: l.Addr().String(), c: c}
	e.ID = policy.ExecutorID(id)
	result := strings.Repeat("r", resultBytes)
	handler := func(w http.ResponseWriter, r *http.Request) {
		job := r.Header.Get("X-Call-Id")
		io.Copy(io.Discard, r.Body) //nolint:errcheck // a broken connection shows in the next write
		ran(job)
		line := func(state, result string) {
			text, _ := json.Marshal(map[string]string{"id": job, "from": id, "state": state, "result": result})
			w.Write(append(text, '\n')) //nolint:errcheck // the node sees that the answer is incomplete
			w.(http.Flusher).Flush()
		}
		line("started", "")
		time.Sleep(runTime)
		line("done", result)
	}
	go http.Serve(l, http.HandlerFunc(handler)) //nolint:errcheck // ends with the process
	return e, nil
}
