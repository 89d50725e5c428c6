package harness

import (
	"bufio"
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
	"syscall"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// nodeProcess is a node: a process, or the place of one that is down.
type nodeProcess struct {
	cluster           *cluster
	id                invariants.NodeID
	name              string
	zone              policy.ZoneID
	dir               string
	clientAddress     string // for clients
	adminAddress      string
	address           net.IP       // its loopback address in the fleet
	gossipAddress     string       // where it listens for neighbours
	gossipRelay       *gossipRelay // where neighbours reach it
	discoveryListener net.Listener
	executorListeners map[policy.ExecutorID]net.Listener // where it reaches each executor

	// Guarded by the rig's mutex.
	cmd              *exec.Cmd
	ended            chan error // told of the process's end
	incarnation      int
	up               bool
	terminatedAt     time.Duration // when it was told to end; 0 before
	downFaults       int           // faults that keep it down
	paused           bool
	pausedUntil      time.Duration // until when it counts as just stopped
	cutFromDiscovery bool          // it hears nothing from discovery
	known            map[policy.ExecutorID]invariants.Seen
	partitioned      bool // its words do not pass
	idleConns        []net.Conn
}

// Claim finds a group of loopback addresses that no other run uses, 127.SLOT.x.y, and holds it for as long as the run lasts.
func Claim() (slot byte, held net.Listener, err error) {
	for range 500 {
		slot = byte(2 + rand.IntN(250))
		if held, err = net.Listen("tcp", fmt.Sprintf("127.%d.2.1:%d", slot, relayPort)); err == nil {
			return slot, held, nil
		}
	}
	return 0, nil, err
}

// Ports on a node's own address.
const (
	relayPort  = 7946
	gossipPort = 7947
	clientPort = 8081
	adminPort  = 8082
)

func (r *cluster) newProc(i int, slot byte) (*nodeProcess, error) {
	p := &nodeProcess{cluster: r, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: policy.ZoneID(i % len(r.scenario.Fleet.Zones)), executorListeners: map[policy.ExecutorID]net.Listener{},
		address: net.IPv4(127, slot, 0, byte(i+1)), known: map[policy.ExecutorID]invariants.Seen{}}
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
	if r.scenario.Fleet.Talk {
		p.gossipAddress = fmt.Sprintf("%s:%d", p.address, gossipPort)
		if p.gossipRelay, err = newGossipRelay(r, p, fmt.Sprintf("127.%d.1.%d:%d", slot, i+1, relayPort)); err != nil {
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

// writeFiles writes the node's configuration, and the operator's file where nodes talk.
func (p *nodeProcess) writeFiles() error {
	r, f := p.cluster, &p.cluster.scenario.Fleet
	secs := func(d time.Duration) float64 { return d.Seconds() }
	var tracks []any
	for i, t := range r.scenario.Tracks {
		m := r.policyClasses[i]
		track := map[string]any{"name": t.Name, "quoted-time-s": secs(m.LatencyObjective), "outer-limit-s": secs(m.Deadline), "earnings": m.Value,
			"repeat": map[policy.Idempotency]string{policy.Idempotent: "repeatable", policy.IdempotentWithKey: "by_key", policy.AtMostOnce: "once"}[m.Idempotency], "aim-stretch": m.RunTimeFactor}
		if m.Idempotency == policy.IdempotentWithKey {
			track["dedup-scope"] = map[policy.DedupGroup]string{policy.DedupAllExecutors: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}[m.DedupGroup]
			track["dedup-window-s"] = secs(m.DedupWindow)
		}
		if m.LateValue > 0 {
			track["late-earnings"] = m.LateValue
		}
		tracks = append(tracks, track)
	}
	settings := map[string]any{"balancers": f.Nodes, "my-number": int(p.id), "locality": int(p.zone), "areas": f.Zones, "flavors": []string{"plain"},
		"quantum-s": 0.004, "discovery": "push", "earnings-per": map[bool]string{true: "work", false: "request"}[f.PerWork],
		"caps": map[string]any{"cancel": true, "max-allocations": f.Allocations, "retry-after": f.ComeBack > 0, "max-retry-after-s": secs(time.Duration(f.ComeBack)),
			"conn-idle-s": secs(time.Duration(f.IdleLimit)), "dial-timeout-s": secs(time.Duration(f.DialLimit)), "second-copies": f.Copies, "peers": f.Keepers},
		"domain":      map[string]any{"tells-start": f.TellsStart, "progress-s": secs(time.Duration(f.TellsEvery)), "report-x0": "free slots"},
		"rules":       map[string]any{"cold-share": f.ColdShare, "warm-within-s": secs(time.Duration(f.WarmWithin)), "fall-multiple": f.FallMultiple, "fall-s": secs(time.Duration(f.FallWindow))},
		"score-parts": map[string]any{"whole": 0.8, "class": 0.2}, "prices": map[string]any{"cross-zone": f.CrossPrice}, "tracks": tracks}
	if f.Reports {
		settings["report"] = map[string]any{"how": "inline", "fields": []string{"active", "waiting", "x0"}}
	}
	text, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.clientAddress, "management": p.adminAddress, "discovery": p.discoveryListener.Addr().String(),
		"seed": fmt.Sprintf("%016x", r.options.Seed*1000+uint64(p.id)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
	if p.gossipRelay == nil {
		return err
	}
	var seeds []string
	for _, o := range r.nodes[:min(3, len(r.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.gossipRelay.addr))
	}
	site := fmt.Sprintf("[fleet]\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", p.gossipAddress, p.gossipRelay.addr, strings.Join(seeds, ", "))
	return errors.Join(err, os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(site), 0o600))
}

// start starts the process. It is called with the rig's mutex held.
func (p *nodeProcess) start() error {
	args := []string{"serve"}
	if p.gossipRelay != nil {
		args = append(args, "--site", filepath.Join(p.dir, "site.toml"))
	}
	cmd := exec.Command(p.cluster.options.Binary, args...)
	cmd.Dir = p.dir
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.dir, "ROUTER_CONFIG=" + filepath.Join(p.dir, "config.json")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the rig
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.incarnation++
	p.cmd, p.up, p.terminatedAt, p.ended, p.paused = cmd, true, 0, make(chan error, 1), false
	clear(p.known)
	p.cluster.observe(invariants.Seen{What: invariants.NodeStarted, Node: p.id})
	p.cluster.note("%s: started, process %d", p.name, cmd.Process.Pid)
	ended, run := p.ended, p.incarnation
	p.cluster.goroutines.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.cluster.readLogLine(p, lines.Text())
		}
		err := cmd.Wait()
		p.cluster.mu.Lock()
		if p.incarnation == run && p.up {
			p.up = false
			if !p.cluster.over {
				p.cluster.note("%s: its process ended: %v", p.name, err)
			}
		}
		p.cluster.mu.Unlock()
		ended <- err
	})
	return nil
}

// readLogLine takes in a line of a node's log.
func (r *cluster) readLogLine(p *nodeProcess, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("%s: %s", p.name, line)
	if strings.Contains(line, node.PolicyPanicked) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
		r.fail("node %s: %.200s", p.name, line)
	}
}

func (p *nodeProcess) isReady() bool { return p.readyStatus() == http.StatusOK }

// readyStatus is the status by which the node says whether it is ready; 0 where it answers nothing.
func (p *nodeProcess) readyStatus() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + p.clientAddress + "/-/ready")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// fleetView is what the node says of its fleet.
func (p *nodeProcess) fleetView() []string {
	if p.gossipRelay == nil {
		return nil
	}
	lines, err := admin.Call(p.adminAddress, node.ReadFleet, "", time.Second)
	if err != nil {
		return []string{"no view: " + err.Error()}
	}
	return lines
}

func (p *nodeProcess) knowsAll(nodes int) bool {
	for _, line := range p.fleetView() {
		if strings.HasPrefix(line, "node=") {
			return strings.Contains(line, fmt.Sprintf(" alive=%d ", nodes))
		}
	}
	return false
}

// signal sends a signal to the process, if it is there. It is called with the rig's mutex held.
func (p *nodeProcess) signal(s syscall.Signal) {
	if p.up {
		p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *nodeProcess) kill() {
	p.cluster.mu.Lock()
	up, ended := p.up, p.ended
	if up {
		p.recordEnd()
		p.cmd.Process.Kill()
	}
	p.cluster.mu.Unlock()
	if up {
		err := <-ended
		ended <- err
	}
}

// recordEnd books that the node is gone with all it had in hand.
func (p *nodeProcess) recordEnd() {
	p.up = false
	p.cluster.observe(invariants.Seen{What: invariants.NodeKilled, Node: p.id})
	p.cluster.excuseRequests(p)
	for _, c := range p.idleConns {
		c.Close()
	}
	p.idleConns = nil
}

// shutDown ends the process as a planned end does, and waits for it. One that has just been started is told once it answers: until it
// listens for signals it ends by the signal itself, with nothing taken (docs/design/crossings.md).
func (p *nodeProcess) shutDown() error {
	p.cluster.mu.Lock()
	up, ended := p.up, p.ended
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
