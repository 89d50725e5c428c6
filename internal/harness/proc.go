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

// proc is a node: a process, or the place of one that is down.
type proc struct {
	r      *Rig
	id     invariants.NodeID
	name   string
	zone   policy.ZoneID
	dir    string
	listen string // for clients
	door   string
	own    net.IP // its loopback address in the fleet
	fleet  string // where it listens for neighbours
	there  *hub   // where neighbours reach it
	lists  net.Listener
	reach  map[policy.ExecutorID]net.Listener // where it reaches each executor

	// Guarded by the rig's mutex.
	cmd      *exec.Cmd
	ended    chan error // told of the process's end
	run      int
	up       bool
	leaving  time.Duration // when it was told to end; 0 before
	downs    int           // faults that keep it down
	stopped  bool
	stoppedA time.Duration // until when it counts as just stopped
	deaf     bool          // it hears nothing from discovery
	known    map[policy.ExecutorID]invariants.Seen
	apart    bool // its words do not pass
	pool     []net.Conn
}

// Claim finds a group of loopback addresses that no other run uses, 127.SLOT.x.y, and holds it for as long as the run lasts.
func Claim() (slot byte, held net.Listener, err error) {
	for range 500 {
		slot = byte(2 + rand.IntN(250))
		if held, err = net.Listen("tcp", fmt.Sprintf("127.%d.2.1:%d", slot, hubPort)); err == nil {
			return slot, held, nil
		}
	}
	return 0, nil, err
}

// Ports on a node's own address.
const (
	hubPort    = 7946
	fleetPort  = 7947
	clientPort = 8081
	doorPort   = 8082
)

func (r *Rig) newProc(i int, slot byte) (*proc, error) {
	p := &proc{r: r, id: invariants.NodeID(i), name: fmt.Sprint("n", i), zone: policy.ZoneID(i % len(r.s.Fleet.Zones)), reach: map[policy.ExecutorID]net.Listener{},
		own: net.IPv4(127, slot, 0, byte(i+1)), known: map[policy.ExecutorID]invariants.Seen{}}
	p.dir = filepath.Join(r.o.Dir, p.name)
	if err := os.Mkdir(p.dir, 0o700); err != nil {
		return nil, err
	}
	p.listen, p.door = fmt.Sprintf("%s:%d", p.own, clientPort), fmt.Sprintf("%s:%d", p.own, doorPort)
	var err error
	if p.lists, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.waits.Go(func() { p.serveLists() })
	if r.s.Fleet.Talk {
		p.fleet = fmt.Sprintf("%s:%d", p.own, fleetPort)
		if p.there, err = newHub(r, p, fmt.Sprintf("127.%d.1.%d:%d", slot, i+1, hubPort)); err != nil {
			return nil, err
		}
	}
	for _, x := range r.executors {
		if err := p.meet(x); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// writeFiles writes the node's configuration, and the operator's file where nodes talk.
func (p *proc) writeFiles() error {
	r, f := p.r, &p.r.s.Fleet
	secs := func(d time.Duration) float64 { return d.Seconds() }
	var tracks []any
	for i, t := range r.s.Tracks {
		m := r.module[i]
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
	text, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.listen, "management": p.door, "discovery": p.lists.Addr().String(),
		"seed": fmt.Sprintf("%016x", r.o.Seed*1000+uint64(p.id)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(p.dir, "config.json"), text, 0o600)
	if p.there == nil {
		return err
	}
	var seeds []string
	for _, o := range r.nodes[:min(3, len(r.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.there.addr))
	}
	site := fmt.Sprintf("[fleet]\nlisten = %q\nadvertise = %q\nseeds = [%s]\n", p.fleet, p.there.addr, strings.Join(seeds, ", "))
	return errors.Join(err, os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(site), 0o600))
}

// begin starts the process. It is called with the rig's mutex held.
func (p *proc) begin() error {
	args := []string{"serve"}
	if p.there != nil {
		args = append(args, "--site", filepath.Join(p.dir, "site.toml"))
	}
	cmd := exec.Command(p.r.o.Binary, args...)
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
	p.run++
	p.cmd, p.up, p.leaving, p.ended, p.stopped = cmd, true, 0, make(chan error, 1), false
	clear(p.known)
	p.r.see(invariants.Seen{What: invariants.NodeStarted, Node: p.id})
	p.r.note("%s: started, process %d", p.name, cmd.Process.Pid)
	ended, run := p.ended, p.run
	p.r.waits.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.r.logged(p, lines.Text())
		}
		err := cmd.Wait()
		p.r.mu.Lock()
		if p.run == run && p.up {
			p.up = false
			if !p.r.over {
				p.r.note("%s: its process ended: %v", p.name, err)
			}
		}
		p.r.mu.Unlock()
		ended <- err
	})
	return nil
}

// logged takes in a line of a node's log.
func (r *Rig) logged(p *proc, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("%s: %s", p.name, line)
	if strings.Contains(line, node.PolicyPanicked) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
		r.wrong("node %s: %.200s", p.name, line)
	}
}

func (p *proc) isReady() bool { return p.says() == http.StatusOK }

// says is the status by which the node says whether it is ready; 0 where it answers nothing.
func (p *proc) says() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + p.listen + "/-/ready")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// view is what the node says of its fleet.
func (p *proc) view() []string {
	if p.there == nil {
		return nil
	}
	lines, err := admin.Call(p.door, node.ReadFleet, "", time.Second)
	if err != nil {
		return []string{"no view: " + err.Error()}
	}
	return lines
}

func (p *proc) knowsAll(nodes int) bool {
	for _, line := range p.view() {
		if strings.HasPrefix(line, "node=") {
			return strings.Contains(line, fmt.Sprintf(" alive=%d ", nodes))
		}
	}
	return false
}

// signal sends a signal to the process, if it is there. It is called with the rig's mutex held.
func (p *proc) signal(s syscall.Signal) {
	if p.up {
		p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *proc) kill() {
	p.r.mu.Lock()
	up, ended := p.up, p.ended
	if up {
		p.lose()
		p.cmd.Process.Kill()
	}
	p.r.mu.Unlock()
	if up {
		err := <-ended
		ended <- err
	}
}

// lose books that the node is gone with all it had in hand.
func (p *proc) lose() {
	p.up = false
	p.r.see(invariants.Seen{What: invariants.NodeKilled, Node: p.id})
	p.r.voidAt(p)
	for _, c := range p.pool {
		c.Close()
	}
	p.pool = nil
}

// stopWell ends the process as a planned end does, and waits for it. One that has just been started is told once it answers: until it
// listens for signals it ends by the signal itself, with nothing taken (docs/design/crossings.md).
func (p *proc) stopWell() error {
	p.r.mu.Lock()
	up, ended := p.up, p.ended
	p.signal(syscall.SIGCONT)
	p.r.mu.Unlock()
	if !up {
		return nil
	}
	for until := time.Now().Add(readyIn); p.says() == 0 && len(ended) == 0 && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	p.r.mu.Lock()
	p.signal(syscall.SIGTERM)
	p.r.mu.Unlock()
	select {
	case err := <-ended:
		ended <- err
		return err
	case <-time.After(10 * time.Second):
		return errors.New("it has not ended 10 s after SIGTERM")
	}
}

func (p *proc) close() {
	p.lists.Close()
	for _, l := range p.reach {
		l.Close()
	}
	if p.there != nil {
		p.there.close()
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	for _, c := range p.pool {
		c.Close()
	}
	p.pool = nil
}
