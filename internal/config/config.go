// Package config is the one place where a node's configuration is read, checked and given defaults. Its
// messages name the key that is at fault.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Config is what a node is told at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	AdminAddr       string // where operators call; empty for no door
	ListenFD        int    // the descriptor of a socket that listens already; 0 for none
	SharedDir       string // a directory that all processes of the node have; empty for none
	Cores           float64
	MemoryBytes     int64           // bytes; over them the node is killed
	MaxDescriptors  int             // descriptors
	PeerDescriptors int             // of them, those set aside for nodes that this one talks with
	CachedEndpoints json.RawMessage // the list as this node last had it, in discovery's form; may be absent
	Settings        Settings

	keys map[string]bool // that stand in the file
}

// ConnLimits says how many connections of each kind the node may hold, within its descriptors and its memory. What is set
// aside is for the process itself, discovery, operators and neighbours: clients that fill theirs take none of it.
func (c *Config) ConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors, c.MemoryBytes, ownDescriptors+MaxDiscoveryConns)
}

// HandoffConnLimits says the same while another process of the node lives. Both may not follow a move of the list at that time to where
// nobody is, which takes most.
func (c *Config) HandoffConnLimits() (clients, executors int) {
	return c.connLimits(c.MaxDescriptors/2, c.MemoryBytes/2, ownDescriptors+MaxDiscoveryConns/2)
}

func (c *Config) connLimits(sockets int, memory int64, least int) (clients, executors int) {
	usable := sockets - max(least, sockets/reserve) - c.PeerDescriptors
	if c.AdminAddr != "" {
		usable -= 1 + MaxAdminCalls
	}
	usable = max(usable, leastUsable)
	executors = usable / 4
	clients = (usable - executors) * 8 / 9 // the front takes an eighth more before it lets connections wait
	return min(clients, int(memory/2/clientMemory)), executors
}

// ShutdownTimeout is how long after being told to stop a node has answered everything. It is killed no sooner than
// the longest outer limit, or 3 s, and 0.7 s more after that.
func (c *Config) ShutdownTimeout() time.Duration {
	return min(c.maxDeadline(), killAfter) + killGrace - LameDuckPeriod
}

// MaxWork is more than any executor could do within an outer limit: a client's guess beyond it tells nothing.
func (c *Config) MaxWork() time.Duration { return quickest * c.maxDeadline() }

func (c *Config) maxDeadline() (longest time.Duration) {
	for _, t := range c.Settings.Policy.JobClasses {
		longest = max(longest, t.Deadline)
	}
	return longest
}

// LameDuckPeriod is how long new connections go on coming after a node is told to stop, and a little more.
const LameDuckPeriod = 500 * time.Millisecond

// MaxDiscoveryConns is how many connections to discovery there are at a time, at most.
const MaxDiscoveryConns = 16

// MaxAdminCalls is how many operators' calls are in hand at a time, at most.
const MaxAdminCalls = 8

// What holds where neither the file nor the environment says it.
const (
	defaultCores   = 1
	defaultMemory  = 192 // MB
	defaultSockets = 1024
	leastMemory    = 32
	minDescriptors = 64
	defaultIdle    = 60 * time.Second
	defaultDial    = 100 * time.Millisecond
	defaultGrace   = time.Second
	defaultProbe   = 0.25 // seconds
	leastQuantum   = time.Millisecond

	reserve        = 16       // part of the descriptors that is held in reserve
	ownDescriptors = 8        // of it: the standard streams, the two by which Go waits, the listener, one just taken, one just closed
	leastUsable    = 7        // for clients and executors, however few there are
	clientMemory   = 96 << 10 // what a client's connection takes at most: a body, buffers, a stack
	quickest       = 4        // times a standard core that an executor's core may be
	longestProbe   = 10 * time.Second
	killAfter      = 3 * time.Second
	killGrace      = 700 * time.Millisecond
)

type fileText struct {
	Name       string
	Listen     string
	Discovery  string
	Management string
	Seed       string
	Limits     struct {
		Cores   *float64
		Memory  *int `json:"memory_mb"`
		Sockets *int
	}
	Known json.RawMessage
	Probe struct {
		Path    string
		Timeout *float64 `json:"timeout_s"`
	}
	Settings json.RawMessage
}

// Read reads the file that ROUTER_CONFIG names; the other variables stand in for what it leaves out.
func Read(env func(string) string) (Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set; it names the node's configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %v", err)
	}
	return parse(text, env)
}

func parse(text []byte, env func(string) string) (c Config, err error) {
	var w fileText
	if err := json.Unmarshal(text, &w); err != nil {
		return c, misread("configuration", err)
	}
	c = Config{Name: cmp.Or(w.Name, env("ROUTER_NAME")), Listen: cmp.Or(w.Listen, env("ROUTER_LISTEN")),
		Discovery: cmp.Or(w.Discovery, env("ROUTER_DISCOVERY")), AdminAddr: cmp.Or(w.Management, env("ROUTER_MANAGEMENT")), CachedEndpoints: w.Known,
		Cores: orElse(w.Limits.Cores, defaultCores), MaxDescriptors: orElse(w.Limits.Sockets, defaultSockets),
		MemoryBytes: int64(orElse(w.Limits.Memory, defaultMemory)) << 20}
	if len(w.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	var raw any
	if err := json.Unmarshal(text, &raw); err != nil {
		return c, misread("configuration", err)
	}
	c.keys = map[string]bool{}
	keysIn("", raw, c.keys)
	if c.Settings, err = ReadSettings(w.Settings); err != nil {
		return c, err
	}
	if text := env("ROUTER_LISTEN_FD"); text != "" {
		if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD < 3 {
			return c, fmt.Errorf("ROUTER_LISTEN_FD: %.40q is not a descriptor over 2", text)
		}
		c.SharedDir = env("TMPDIR")
	}
	c.Settings.Policy.Seed = crc32.ChecksumIEEE([]byte(w.Seed))
	for i := range c.Settings.Policy.JobClasses {
		// A connection may take so long to come up after the module has decided on a further allocation.
		window := &c.Settings.Policy.JobClasses[i].DedupWindow
		*window = max(0, *window-c.Settings.DialTimeout)
	}
	p := &c.Settings.Policy
	c.Settings.Probe = Probe{w.Probe.Path, Seconds(orElse(w.Probe.Timeout, defaultProbe))}
	// The protocol has no call for a probe and no link between nodes: the settings' leave alone makes neither. Words need the operator's file as well.
	p.MayProbe = p.MayProbe && c.Settings.Probe.Path != ""
	c.Settings.MayGossip, p.MayLease = p.MayLease, false
	return c, c.check()
}

// MissingKey says what another configuration lacks that this one has. One that is read again is to be as whole as the one
// before: a key that stood there and does not any more is a fault, even one with a default.
func (c *Config) MissingKey(other *Config) error {
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if !other.keys[key] {
			return fmt.Errorf("%s: missing, and it was there before", key)
		}
	}
	return nil
}

// keysIn gathers the keys of an object and of those in it. What a list's objects have counts where all have it.
func keysIn(at string, v any, into map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for key, in := range v {
			if at+key == "known" || at == "settings.tracks[]." && !trackKeys[key] {
				continue
			}
			into[at+key] = true
			keysIn(at+key+".", in, into)
		}
	case []any:
		var all map[string]bool
		for _, in := range v {
			one := map[string]bool{}
			keysIn(strings.TrimSuffix(at, ".")+"[].", in, one)
			if all == nil {
				all = one
			}
			maps.DeleteFunc(all, func(key string, _ bool) bool { return !one[key] })
		}
		maps.Copy(into, all)
	}
}

// trackKeys are those that every track has; the others come and go with its repeat rule.
var trackKeys = map[string]bool{"name": true, "quoted-time-s": true, "outer-limit-s": true, "repeat": true, "earnings": true}

// RestartKeys names the keys in which another configuration differs that hold from the next start on only. The seed is
// new with each start, and the list at hand newer than a known one.
func (c *Config) RestartKeys(other Config) (keys []string) {
	other.Settings.Policy.Seed = c.Settings.Policy.Seed
	// The tracks are taken up at once.
	other.Settings.Tracks, other.Settings.Policy.JobClasses = c.Settings.Tracks, c.Settings.Policy.JobClasses
	other.Settings.Policy.MaxAttempts = c.Settings.Policy.MaxAttempts
	probe := other.Settings.Probe
	other.Settings.Probe = c.Settings.Probe
	for _, k := range [...]struct {
		same bool
		key  string
	}{
		{c.Name == other.Name, "name"},
		{c.Listen == other.Listen, "listen"},
		{c.AdminAddr == other.AdminAddr, "management"},
		{c.Cores == other.Cores, "limits.cores"},
		{c.MemoryBytes == other.MemoryBytes, "limits.memory_mb"},
		{c.MaxDescriptors == other.MaxDescriptors, "limits.sockets"},
		{c.Settings.Probe == probe, "probe"},
		{reflect.DeepEqual(c.Settings, other.Settings), "settings"},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

func (c *Config) check() error {
	if c.Name == "" {
		return errors.New("name: missing")
	}
	for _, a := range [...]struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"management", c.AdminAddr}} {
		if a.addr == "" && a.key == "management" {
			continue
		}
		if a.addr == "" {
			return fmt.Errorf("%s: missing", a.key)
		}
		if p, err := netip.ParseAddrPort(a.addr); err != nil || p.Port() == 0 {
			return fmt.Errorf("%s: %q is not an address and port", a.key, a.addr)
		}
	}
	switch {
	case c.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not over 0", c.Cores)
	case c.MemoryBytes < leastMemory<<20:
		return fmt.Errorf("limits.memory_mb: %d is under %d", c.MemoryBytes>>20, leastMemory)
	case c.MaxDescriptors < minDescriptors:
		return fmt.Errorf("limits.sockets: %d is under %d", c.MaxDescriptors, minDescriptors)
	}
	switch probe := c.Settings.Probe; {
	case probe.Path != "" && (probe.Path[0] != '/' || strings.ContainsAny(probe.Path, " \t\r\n")):
		return fmt.Errorf("probe.path: %.40q is no path that begins with /", probe.Path)
	case !(probe.Timeout > 0 && probe.Timeout <= longestProbe):
		return fmt.Errorf("probe.timeout_s: not over 0, or over %g", longestProbe.Seconds())
	case probe.Path != "" && !c.Settings.Policy.MayProbe:
		return errors.New("probe.path: set, but settings.caps.probes is not true or settings.report.how is not on_probe")
	}
	names := map[string]bool{}
	for i, name := range c.Settings.Tracks {
		if name == "" || names[name] {
			return fmt.Errorf("settings.tracks[%d].name: %q is empty or there twice", i, name)
		}
		names[name] = true
	}
	return nil
}

// misread says which key could not be read.
func misread(at string, err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		key := strings.TrimPrefix(at+"."+kind.Field, "configuration.")
		return fmt.Errorf("%s: a %s does not belong there", strings.ToLower(key), kind.Value)
	}
	return fmt.Errorf("%s: not a JSON object: %v", at, err)
}

func orElse[T any](p *T, other T) T {
	if p != nil {
		return *p
	}
	return other
}
