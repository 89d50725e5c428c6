package harness

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// nodeProcess is a node and, while it is up, its process. A node keeps its addresses and files when its process is
// restarted.
type nodeProcess struct {
	cluster           *cluster
	id                invariants.NodeID
	name              string
	zone              policy.ZoneID
	dir               string
	clientAddress     string
	adminAddress      string
	address           net.IP                             // loopback address of the node's own listeners
	gossipAddress     string                             // where the node listens for gossip; empty without gossip
	gossipRelay       *gossipRelay                       // relay that peers send gossip to; nil without gossip
	discoveryListener net.Listener                       // where the node reaches emulated discovery
	executorListeners map[policy.ExecutorID]net.Listener // where the node reaches each emulated executor

	// Guarded by cluster.mu.
	cmd                  *exec.Cmd
	exited               chan error // receives the exit error of the process
	incarnation          int
	up                   bool
	terminatedAt         time.Duration // when the process was asked to shut down; 0 if it was not
	downFaults           int           // number of faults that currently keep the node down
	paused               bool
	pausedUntil          time.Duration                          // time until which the node counts as paused; see resume
	discoveryUnreachable bool                                   // whether discovery leaves this node's watches unanswered
	known                map[policy.ExecutorID]invariants.Event // last state of each endpoint that the node was notified of
	partitioned          bool                                   // separated from all nodes that are not partitioned
	idleConns            []net.Conn                             // clients' idle connections to the node
}

// newNodeProcess prepares a node without starting its process: its directory, its gossip relay and the listeners at
// which it reaches discovery and executors.
func (r *cluster) newNodeProcess(number int, slot byte) (*nodeProcess, error) {
	p := &nodeProcess{cluster: r, id: invariants.NodeID(number), name: fmt.Sprint("n", number), zone: policy.ZoneID(number % len(r.scenario.Fleet.Zones)), executorListeners: map[policy.ExecutorID]net.Listener{},
		address: net.IPv4(127, slot, 0, byte(number+1)), known: map[policy.ExecutorID]invariants.Event{}}
	p.dir = filepath.Join(r.options.Dir, p.name)
	if err := os.Mkdir(p.dir, 0o700); err != nil {
		return nil, err
	}
	p.clientAddress, p.adminAddress = fmt.Sprintf("%s:%d", p.address, clientPort), fmt.Sprintf("%s:%d", p.address, adminPort)
	var err error
	if p.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.goroutines.Go(func() { p.serveDiscovery() })
	if r.scenario.Fleet.Gossip {
		p.gossipAddress = fmt.Sprintf("%s:%d", p.address, gossipPort)
		if p.gossipRelay, err = newGossipRelay(r, p, fmt.Sprintf("127.%d.1.%d:%d", slot, number+1, relayPort)); err != nil {
			return nil, err
		}
	}
	for _, x := range r.executors {
		if err := p.listenForExecutor(x); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// start starts the node's process. It is called with cluster.mu held.
func (p *nodeProcess) start() error {
	args := []string{"serve"}
	if p.gossipRelay != nil {
		args = append(args, "--site", filepath.Join(p.dir, "site.toml"))
	}
	cmd := exec.Command(p.cluster.options.Binary, args...)
	cmd.Dir = p.dir
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.dir, "ROUTER_CONFIG=" + filepath.Join(p.dir, "config.json")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills the node when this process dies
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.incarnation++
	p.cmd, p.up, p.terminatedAt, p.exited, p.paused = cmd, true, 0, make(chan error, 1), false
	clear(p.known)
	p.cluster.observe(invariants.Event{Kind: invariants.NodeStarted, Node: p.id})
	p.cluster.note("node %s: started, process %d", p.name, cmd.Process.Pid)
	ended, incarnation := p.exited, p.incarnation
	p.cluster.goroutines.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.cluster.readLogLine(p, lines.Text())
		}
		err := cmd.Wait()
		p.cluster.mu.Lock()
		if p.incarnation == incarnation && p.up {
			p.up = false
			if !p.cluster.stopped {
				p.cluster.note("node %s: its process ended: %v", p.name, err)
			}
		}
		p.cluster.mu.Unlock()
		ended <- err
	})
	return nil
}

// readLogLine copies a line of a node's log to the timeline. A line that reports a panic or a data race is a violation.
func (r *cluster) readLogLine(p *nodeProcess, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("node %s: %s", p.name, line)
	if strings.Contains(line, node.PolicyPanicked) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
		r.fail("node %s: %.200s", p.name, line)
	}
}

func (p *nodeProcess) isReady() bool { return p.readyStatus() == http.StatusOK }

// readyStatus returns the HTTP status of the node's readiness endpoint, or 0 if it does not answer.
func (p *nodeProcess) readyStatus() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + p.clientAddress + "/-/ready")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// clusterView returns the lines in which the node describes the cluster, or the error as a line. It returns nil if
// nodes do not gossip.
func (p *nodeProcess) clusterView() []string {
	if p.gossipRelay == nil {
		return nil
	}
	lines, err := admin.Call(p.adminAddress, node.ReadCluster, "", time.Second)
	if err != nil {
		return []string{"no view: " + err.Error()}
	}
	return lines
}

// knowsAll reports whether the node counts exactly this many nodes as alive, itself included.
func (p *nodeProcess) knowsAll(nodes int) bool {
	for _, line := range p.clusterView() {
		if strings.HasPrefix(line, "node=") {
			return strings.Contains(line, fmt.Sprintf(" alive=%d ", nodes))
		}
	}
	return false
}

// signal sends a signal to the process if it is up. It is called with cluster.mu held.
func (p *nodeProcess) signal(s syscall.Signal) {
	if p.up {
		p.cmd.Process.Signal(s)
	}
}

// kill kills the process if it is up, and waits until it has exited.
func (p *nodeProcess) kill() {
	p.cluster.mu.Lock()
	up, ended := p.up, p.exited
	if up {
		p.recordKill()
		p.cmd.Process.Kill()
	}
	p.cluster.mu.Unlock()
	if up {
		err := <-ended
		ended <- err
	}
}

// recordKill records that the node was killed and has lost its jobs in flight. It is called with cluster.mu held.
func (p *nodeProcess) recordKill() {
	p.up = false
	p.cluster.observe(invariants.Event{Kind: invariants.NodeKilled, Node: p.id})
	p.cluster.excuseRequests(p)
	for _, c := range p.idleConns {
		c.Close()
	}
	p.idleConns = nil
}

// shutDown shuts the process down gracefully and waits until it has exited. If the process has just started, shutDown
// first waits until it answers requests: SIGTERM kills a process that does not handle signals yet
// (docs/design/crossings.md).
func (p *nodeProcess) shutDown() error {
	p.cluster.mu.Lock()
	up, ended := p.up, p.exited
	p.signal(syscall.SIGCONT)
	p.cluster.mu.Unlock()
	if !up {
		return nil
	}
	for until := time.Now().Add(readyTimeout); p.readyStatus() == 0 && len(ended) == 0 && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	p.cluster.mu.Lock()
	p.signal(syscall.SIGTERM)
	p.cluster.mu.Unlock()
	select {
	case err := <-ended:
		ended <- err
		return err
	case <-time.After(10 * time.Second):
		return errors.New("it has not ended 10 s after SIGTERM")
	}
}

// close closes the node's relay, its listeners and the clients' idle connections to it.
func (p *nodeProcess) close() {
	p.discoveryListener.Close()
	for _, l := range p.executorListeners {
		l.Close()
	}
	if p.gossipRelay != nil {
		p.gossipRelay.close()
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, c := range p.idleConns {
		c.Close()
	}
	p.idleConns = nil
}
