package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"strconv"
	"time"
)

// Config is the configuration of a node, from its file and the environment. Each field's key in the file is named with it.
type Config struct {
	Name      string // of the node: name, or ROUTER_NAME; required
	Listen    string // address and port for clients: listen, or ROUTER_LISTEN; required
	Discovery string // address and port of the discovery service: discovery, or ROUTER_DISCOVERY; required
	AdminAddr string // address and port for operators: management, or ROUTER_MANAGEMENT; empty for none

	ListenFD  int    // descriptor of a socket that listens already: ROUTER_LISTEN_FD; 0 for none
	SharedDir string // directory that the predecessor and the successor of a handoff share: TMPDIR where ListenFD is set; empty for none

	Cores           float64 // processors: limits.cores; default 1
	MemoryBytes     int64   // over them the node is killed: limits.memory_mb; default 192 MiB
	MaxDescriptors  int     // file descriptors: limits.sockets; default 1024
	PeerDescriptors int     // of them, those reserved for gossip; set by the caller

	CachedEndpoints json.RawMessage // the endpoint list as this node last had it, in discovery's form: known; may be absent
	Settings        Settings

	keys map[string]bool // that are in the file
}

// What holds where neither the file nor the environment says it.
const (
	defaultCores        = 1
	defaultMemoryMiB    = 192
	defaultDescriptors  = 1024
	defaultProbeTimeout = 0.25 // seconds
)

// Read reads the file that ROUTER_CONFIG names; the other variables stand in for what it leaves out.
func Read(env func(string) string) (Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set; it names the node's configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parse(text, env)
}

// parse reads a configuration from a file's text, and checks it.
func parse(text []byte, env func(string) string) (Config, error) {
	var file configJSON
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, decodeError("configuration", err)
	}
	c := Config{
		Name:            cmp.Or(file.Name, env("ROUTER_NAME")),
		Listen:          cmp.Or(file.Listen, env("ROUTER_LISTEN")),
		Discovery:       cmp.Or(file.Discovery, env("ROUTER_DISCOVERY")),
		AdminAddr:       cmp.Or(file.AdminAddr, env("ROUTER_MANAGEMENT")),
		Cores:           valueOr(file.Limits.Cores, defaultCores),
		MemoryBytes:     int64(valueOr(file.Limits.MemoryMiB, defaultMemoryMiB)) << 20,
		MaxDescriptors:  valueOr(file.Limits.MaxDescriptors, defaultDescriptors),
		CachedEndpoints: file.CachedEndpoints,
	}
	if len(file.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	var err error
	if c.keys, err = keysOf(text); err != nil {
		return c, err
	}
	if c.Settings, err = ReadSettings(file.Settings); err != nil {
		return c, err
	}
	if err = c.readListenFD(env); err != nil {
		return c, err
	}
	c.adaptSettings(&file)
	return c, c.validate()
}

// readListenFD takes the socket of a predecessor over.
func (c *Config) readListenFD(env func(string) string) (err error) {
	text := env("ROUTER_LISTEN_FD")
	if text == "" {
		return nil
	}
	if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD <= maxStandardFD {
		return fmt.Errorf("ROUTER_LISTEN_FD: %.40q is not a descriptor over %d", text, maxStandardFD)
	}
	c.SharedDir = env("TMPDIR")
	return nil
}

// maxStandardFD is standard error's.
const maxStandardFD = 2

// adaptSettings fits the settings, as they are sent to the simulator's nodes, to a node on a network.
func (c *Config) adaptSettings(file *configJSON) {
	settings, rules := &c.Settings, &c.Settings.Policy
	rules.Seed = crc32.ChecksumIEEE([]byte(file.Seed))
	for i := range rules.JobClasses {
		// A connection may take so long to come up after the policy has decided on a retry.
		window := &rules.JobClasses[i].DedupWindow
		*window = max(0, *window-settings.DialTimeout)
	}
	settings.Probe = Probe{Path: file.Probe.Path, Timeout: Seconds(valueOr(file.Probe.TimeoutS, defaultProbeTimeout))}
	// The settings only permit probes and messages between nodes. Probes need a path as well, and messages the operator's file.
	rules.MayCheckHealth = rules.MayCheckHealth && settings.Probe.Path != ""
	settings.MayGossip, rules.MayLease = rules.MayLease, false
}

// Seconds converts seconds to a duration, rounded to the microsecond.
func Seconds(x float64) time.Duration {
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}

// valueOr is a value that may be absent, or its default.
func valueOr[T any](p *T, absent T) T {
	if p != nil {
		return *p
	}
	return absent
}
