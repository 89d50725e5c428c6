package scaletest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"birchstair/internal/admin"
	"birchstair/internal/node"
)

// realNode is a real node.
type realNode struct {
	name          string
	number        int
	dir           string
	clientAddress string
	adminAddress  string
	gossipAddress string // empty: it does not talk
	log           *os.File
	cmd           *exec.Cmd
	ended         chan error
	valueScale    float64 // what each class earns, times this
}

// writeConfig writes the node's configuration, whole or not at all.
func (p *realNode) writeConfig(pt Point, discovery string) error {
	var tracks []map[string]any
	for _, c := range classes(pt.PriorityLevels) {
		tracks = append(tracks, map[string]any{"name": c.name, "quoted-time-s": 10, "outer-limit-s": clientTimeout.Seconds(), "earnings": c.value * p.valueScale, "repeat": "repeatable"})
	}
	settings := map[string]any{"balancers": pt.FleetSize, "my-number": p.number, "locality": 0, "areas": zones, "flavors": []string{"plain"},
		"quantum-s": 0.004, "discovery": "push", "earnings-per": "request",
		"caps":   map[string]any{"cancel": true, "max-allocations": 3, "retry-after": true, "max-retry-after-s": 2, "conn-idle-s": 60, "dial-timeout-s": 0.1},
		"domain": map[string]any{"tells-start": true, "report-x0": "free slots"}, "report": map[string]any{"how": "inline", "fields": []string{"active", "waiting", "x0"}},
		"rules":       map[string]any{"cold-share": 0.3, "warm-within-s": 9, "fall-multiple": 4, "fall-s": 1.5},
		"score-parts": map[string]any{"whole": 1}, "tracks": tracks}
	text, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.clientAddress, "management": p.adminAddress, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", pt.Seed*1000+uint64(p.number)), "limits": map[string]any{"cores": 1, "memory_mb": pt.MemoryMB, "sockets": pt.Sockets}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	next := filepath.Join(p.dir, "config.next")
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, filepath.Join(p.dir, "config.json"))
}

// writeSite writes the operator's file of a node that talks.
func (p *realNode) writeSite(seeds []string) error {
	if p.gossipAddress == "" {
		return nil
	}
	text := fmt.Sprintf("[fleet]\nlisten = %q\nseeds = [\"%s\"]\n", p.gossipAddress, strings.Join(seeds, `", "`))
	return os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(text), 0o600)
}

// reload makes the process read its configuration again.
func (p *realNode) reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *realNode) start(binary string) error {
	args := []string{"serve"}
	if p.gossipAddress != "" {
		args = append(args, "--site", filepath.Join(p.dir, "site.toml"))
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Dir = p.dir
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.dir, "ROUTER_CONFIG=" + filepath.Join(p.dir, "config.json")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the run
	var err error
	if p.log, err = os.Create(filepath.Join(p.dir, "log")); err != nil {
		return err
	}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan error, 1)
	go func() { p.ended <- p.cmd.Wait() }()
	return nil
}

// shutDown ends the process as a planned end does.
func (p *realNode) shutDown() (err error) {
	if p.ended == nil {
		return nil
	}
	defer func() { err = errors.Join(err, p.log.Close()) }()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		return err
	case <-time.After(10 * time.Second):
		p.cmd.Process.Kill()
		return errors.Join(errors.New("it has not ended 10 s after SIGTERM"), <-p.ended)
	}
}

func (p *realNode) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + p.clientAddress + "/-/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// metrics are the figures that the node shows at its door.
func (p *realNode) metrics() (map[string]int, error) {
	lines, err := admin.Call(p.adminAddress, node.ReadMetrics, "", 5*time.Second)
	if err != nil {
		return nil, err
	}
	vars := map[string]int{}
	for _, line := range lines {
		name, text, _ := strings.Cut(line, "=")
		if vars[name], err = strconv.Atoi(text); err != nil {
			return nil, fmt.Errorf("the figure %q: %w", line, err)
		}
	}
	return vars, nil
}

// hasMetric says whether the node shows that figure at its door.
func (p *realNode) hasMetric(name string, x int) bool {
	vars, err := p.metrics()
	return err == nil && vars[name] == x
}

// knowsAll says whether the node knows so many to be alive.
func (p *realNode) knowsAll(nodes int) bool {
	lines, err := admin.Call(p.adminAddress, node.ReadFleet, "", 5*time.Second)
	return err == nil && slices.ContainsFunc(lines, func(line string) bool {
		return strings.HasPrefix(line, "node=") && strings.Contains(line, fmt.Sprintf(" alive=%d ", nodes))
	})
}

// cpu is the CPU time that a process has taken, user and system, by the kernel's clock of it.
func cpu(pid int) (time.Duration, error) {
	const sched = 2 // see clock_getcpuclockid(3): the clock's id is made of the process's
	var at syscall.Timespec
	if _, _, no := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(^pid<<3|sched), uintptr(unsafe.Pointer(&at)), 0); no != 0 {
		return 0, fmt.Errorf("the CPU time of process %d: %w", pid, no)
	}
	return time.Duration(at.Nano()), nil
}

// memory is what a process has in memory now, and had at the most, in bytes.
func memory(pid int) (now, most int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = kb << 10
		case "VmHWM:":
			most = kb << 10
		}
	}
	return now, most, nil
}

// descriptors is how many a process has open.
func descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
