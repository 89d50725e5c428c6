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

// Config is the configuration of a node, read from its file and the environment. The comment of each field names its
// key in the file, and the environment variable that is read if the file lacks the key.
type Config struct {
	Name      string // node name: name, or ROUTER_NAME; required
	Listen    string // address and port that clients connect to: listen, or ROUTER_LISTEN; required
	Discovery string // address and port of the discovery service: discovery, or ROUTER_DISCOVERY; required
	AdminAddr string // address and port of the admin API: management, or ROUTER_MANAGEMENT; empty if there is none

	ListenFD  int    // descriptor of an inherited listening socket: ROUTER_LISTEN_FD; 0 if there is none
	SharedDir string // directory shared by the predecessor and the successor of a handoff: TMPDIR if ListenFD is set, else empty

	Cores           float64 // CPU limit, in cores: limits.cores; default 1
	MemoryBytes     int64   // memory limit, above which the node is killed: limits.memory_mb, in MiB; default 192
	MaxDescriptors  int     // maximum number of file descriptors: limits.sockets; default 1024
	PeerDescriptors int     // file descriptors reserved for gossip, out of MaxDescriptors; set by the caller

	CachedEndpoints json.RawMessage // last endpoint list that this node received, in discovery's wire form: known; optional
	Settings        Settings

	keys map[string]bool // paths of the keys that are present in the file
}

// Values of keys that are absent from the file.
const (
	defaultCores        = 1
	defaultMemoryMiB    = 192
	defaultDescriptors  = 1024
	defaultProbeTimeout = 0.25 // seconds
)

// Read reads the file that ROUTER_CONFIG names. Other environment variables replace keys that the file leaves out.
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

// parse decodes and validates the text of a configuration file.
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

// readListenFD reads what the predecessor passes on in a handoff: the descriptor of the listening socket, and the
// directory that predecessor and successor share.
func (c *Config) readListenFD(env func(string) string) (err error) {
	text := env("ROUTER_LISTEN_FD")
	if text == "" {
		return nil
	}
	if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD <= maxStandardFD {
		return fmt.Errorf("ROUTER_LISTEN_FD: %.40q is not a file descriptor above %d", text, maxStandardFD)
	}
	c.SharedDir = env("TMPDIR")
	return nil
}

// maxSuspension is how long a process can be suspended between reading its clock and writing, as the operators' page on the standing
// test has it.
const maxSuspension = 150 * time.Millisecond

// maxStandardFD is the descriptor of standard error, the highest standard stream.
const maxStandardFD = 2

// adaptSettings adapts the settings, which are written for nodes of the simulator, to a node on a real network.
func (c *Config) adaptSettings(file *configJSON) {
	settings, policySettings := &c.Settings, &c.Settings.Policy
	policySettings.Seed = crc32.ChecksumIEEE([]byte(file.Seed))
	for i := range policySettings.JobClasses {
		// A retry must reach the executor within the executor's deduplication window. After the policy has decided on
		// the retry, opening the connection for it can take up to DialTimeout, and the process can be suspended between
		// its last look at the clock and the write. Both are subtracted from the window that the policy uses.
		window := &policySettings.JobClasses[i].DedupWindow
		*window = max(0, *window-settings.DialTimeout-maxSuspension)
	}
	settings.Probe = Probe{Path: file.Probe.Path, Timeout: Seconds(valueOr(file.Probe.TimeoutS, defaultProbeTimeout))}
	// The settings only permit health checks and gossip, and do not enable them. Health checks also need a path, and
	// gossip also needs the operator's site file.
	policySettings.MayCheckHealth = policySettings.MayCheckHealth && settings.Probe.Path != ""
	settings.MayGossip, policySettings.MayLease = policySettings.MayLease, false
}

// Seconds converts seconds to a duration, rounded to the microsecond.
func Seconds(x float64) time.Duration {
	return time.Duration(math.Round(x*1e6)) * time.Microsecond
}

// valueOr returns the value that p points to, or the default if p is nil.
func valueOr[T any](p *T, defaultValue T) T {
	if p != nil {
		return *p
	}
	return defaultValue
}
