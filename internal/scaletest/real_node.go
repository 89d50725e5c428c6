package scaletest

import (
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

	"birchstair/internal/admin"
	"birchstair/internal/harness"
	"birchstair/internal/node"
)

// realNode is a node that runs as a process of the program.
type realNode struct {
	name          string
	number        int
	dir           string
	clientAddress string
	adminAddress  string
	gossipAddress string // empty if the node does not gossip
	log           *os.File
	cmd           *exec.Cmd
	ended         chan error
	valueScale    float64 // factor for the values of all job classes; measureReload changes it
}

// writeConfig replaces the node's configuration file atomically.
func (p *realNode) writeConfig(pt Point, discovery string) error {
	next := filepath.Join(p.dir, "config.next")
	if err := p.config(pt, discovery).WriteFile(next); err != nil {
		return err
	}
	return os.Rename(next, filepath.Join(p.dir, "config.json"))
}

// config returns the node's configuration.
func (p *realNode) config(pt Point, discovery string) harness.NodeConfig {
	settings := harness.NodeSettings{
		Zones:      zones,
		Nodes:      pt.ClusterSize,
		Caps:       harness.NodeCaps{Cancel: true, IdleTimeout: 60, DialTimeout: 0.1, MaxAttempts: 3, MaxRetryAfter: 2, RetryAfter: true},
		Discovery:  "push",
		Domain:     harness.NodeDomain{MeaningX0: "free slots", StartNotices: true},
		ValuePer:   "request",
		Kinds:      []string{"plain"},
		Node:       p.number,
		Quantum:    0.004,
		Report:     harness.InlineReport(),
		Rules:      harness.NodeRules{SlowStartCapacity: 0.3, OverloadMultiple: 4, OverloadWindow: 1.5, SlowStartDuration: 9},
		ScoreParts: harness.NodeScoreParts{Whole: 1},
	}
	for _, c := range classes(pt.PriorityLevels) {
		settings.JobClasses = append(settings.JobClasses, harness.NodeJobClass{Value: c.value * p.valueScale, Name: c.name,
			Deadline: clientTimeout.Seconds(), LatencyObjective: 10, Idempotency: "repeatable"})
	}
	return harness.NodeConfig{
		Discovery: discovery,
		Limits:    harness.NodeLimits{Cores: 1, MemoryMiB: pt.MemoryMB, Sockets: pt.Sockets},
		Listen:    p.clientAddress,
		AdminAddr: p.adminAddress,
		Name:      p.name,
		Seed:      fmt.Sprintf("%016x", pt.Seed*1000+uint64(p.number)),
		Settings:  settings,
	}
}

// writeSite writes the operator's file site.toml if the node gossips.
func (p *realNode) writeSite(seeds []string) error {
	if p.gossipAddress == "" {
		return nil
	}
	text := fmt.Sprintf("[fleet]\nlisten = %q\nseeds = [\"%s\"]\n", p.gossipAddress, strings.Join(seeds, `", "`))
	return os.WriteFile(filepath.Join(p.dir, "site.toml"), []byte(text), 0o600)
}

// reload makes the process reload its configuration.
func (p *realNode) reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// start starts the node as a process of the given build.
func (p *realNode) start(binary string) error {
	args := []string{"serve"}
	if p.gossipAddress != "" {
		args = append(args, "--site", filepath.Join(p.dir, "site.toml"))
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Dir = p.dir
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.dir, "ROUTER_CONFIG=" + filepath.Join(p.dir, "config.json")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills the node when this process dies
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

// shutDown shuts the process down gracefully, or kills it after 10 s.
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
		return errors.Join(errors.New("not exited 10 s after SIGTERM"), <-p.ended)
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

// metrics reads the node's metrics over its admin socket.
func (p *realNode) metrics() (map[string]int, error) {
	lines, err := admin.Call(p.adminAddress, node.ReadMetrics, "", 5*time.Second)
	if err != nil {
		return nil, err
	}
	metrics := map[string]int{}
	for _, line := range lines {
		name, text, _ := strings.Cut(line, "=")
		if metrics[name], err = strconv.Atoi(text); err != nil {
			return nil, fmt.Errorf("parse metric %q: %w", line, err)
		}
	}
	return metrics, nil
}

// hasMetric reports whether a metric of the node can be read and equals x.
func (p *realNode) hasMetric(name string, x int) bool {
	metrics, err := p.metrics()
	return err == nil && metrics[name] == x
}

// knowsAll reports whether the node counts exactly this many nodes as alive, itself included.
func (p *realNode) knowsAll(nodes int) bool {
	lines, err := admin.Call(p.adminAddress, node.ReadCluster, "", 5*time.Second)
	return err == nil && slices.ContainsFunc(lines, func(line string) bool {
		return strings.HasPrefix(line, "node=") && strings.Contains(line, fmt.Sprintf(" alive=%d ", nodes))
	})
}
