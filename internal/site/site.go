// Package site reads the operator's own file: all that is beyond what the platform tells a node. Each table is a subsystem, off unless its table is
// there. Without the file a node is what it is without any of them.
package site

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/tomlfile"
)

// Config is the operator's file.
type Config struct {
	Durable *Durable `toml:"durable"`
	Cluster *Cluster `toml:"fleet"`
}

// Cluster makes this node one of several that talk.
type Cluster struct {
	Name           string            `toml:"name"`            // in the fleet; the configuration's name where it is left out
	Listen         string            `toml:"listen"`          // address and port, TCP and UDP, for neighbours
	Advertise      string            `toml:"advertise"`       // where neighbours reach it; the same where it is left out
	Seeds          []string          `toml:"seeds"`           // addresses of some nodes of the fleet, its own may be among them
	TrustedNetwork bool              `toml:"trusted-network"` // words are neither encrypted nor signed: others than loopback addresses need this
	GossipInterval tomlfile.Duration `toml:"every"`           // between two words to neighbours
	Fanout         int               `toml:"tell"`            // neighbours that are told each time
	PeerStateTTL   tomlfile.Duration `toml:"view-for"`        // a neighbour's figures count until they are so old
	DrainTTL       tomlfile.Duration `toml:"drain-for"`       // and a drain that it told of
}

func clusterDefaults() Cluster {
	d := cluster.Defaults("", 0, 0)
	return Cluster{GossipInterval: tomlfile.Duration(d.GossipInterval), Fanout: d.Fanout, PeerStateTTL: tomlfile.Duration(d.PeerStateTTL), DrainTTL: tomlfile.Duration(d.DrainTTL)}
}

// Durable turns durable batch jobs on.
type Durable struct {
	Dir            string            `toml:"dir"`         // where their records stand; one node's alone
	MaxDeadline    tomlfile.Duration `toml:"outer-limit"` // the longest that a client may ask for
	Retention      tomlfile.Duration `toml:"keep"`        // how long a final answer can be asked for
	SegmentSize    tomlfile.ByteSize `toml:"segment"`     // of the log
	MaxSize        tomlfile.ByteSize `toml:"most"`        // of the whole log, which stands in memory as well; over it new ones are pushed back
	MaxConcurrent  int               `toml:"in-hand"`     // handed to the decision module at a time; the others wait on the disk
	ExecutorLeases bool              `toml:"leases"`      // executors can be asked what they hold and have done
	PollInterval   tomlfile.Duration `toml:"ask-every"`   // so often they are asked while they can't be reached, or still hold it
}

func durableDefaults() Durable {
	return Durable{MaxDeadline: tomlfile.Duration(24 * time.Hour), Retention: tomlfile.Duration(24 * time.Hour), SegmentSize: 1 << 20, MaxSize: 16 << 20,
		MaxConcurrent: 256, PollInterval: tomlfile.Duration(2 * time.Second)}
}

// Read reads the file of that name; no name is no file.
func Read(name string) (Config, error) {
	if name == "" {
		return Config{}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return Config{}, err
	}
	return Parse(name, text)
}

// FitsMemory says what of the file does not fit the limits that the node keeps within.
func (s Config) FitsMemory(memory int64) error {
	if d := s.Durable; d != nil && int64(d.MaxSize) > memory/memoryDivisor {
		return fmt.Errorf("durable.most: %d MiB is over an eighth of limits.memory_mb, %d: what the log holds stands in memory as well, up to four times as large",
			d.MaxSize>>20, memory>>20)
	}
	return nil
}

// Parse reads a file's text.
func Parse(name string, text []byte) (Config, error) {
	// First which tables there are, then each over its defaults.
	var s Config
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return Config{}, err
	}
	if s.Durable != nil {
		d := durableDefaults()
		s.Durable = &d
	}
	if s.Cluster != nil {
		f := clusterDefaults()
		s.Cluster = &f
	}
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return Config{}, err
	}
	if at, err := s.validate(); err != nil {
		return Config{}, at.Wrap(name, text, err)
	}
	return s, nil
}

const (
	memoryDivisor   = 8 // part of the memory that the log may be: a small batch job takes 1 KB there, and 0.3 KB on the disk
	minSegmentSize  = 64 << 10
	minPollInterval = 50 * time.Millisecond
	maxRetention    = 400 * 24 * time.Hour
)

func (s *Config) validate() (tomlfile.Place, error) {
	if at, err := s.validateCluster(); err != nil {
		return at, err
	}
	d := s.Durable
	if d == nil {
		return tomlfile.Place{}, nil
	}
	at := func(key string) tomlfile.Place { return tomlfile.Place{Table: "durable", Index: -1, Key: key} }
	switch {
	case d.Dir == "":
		return at("dir"), errors.New("missing: where the records are to stand, on a disk that lasts")
	case d.MaxDeadline < tomlfile.Duration(time.Second) || time.Duration(d.MaxDeadline) > maxRetention:
		return at("outer-limit"), fmt.Errorf("%v is not from 1s to %v", time.Duration(d.MaxDeadline), maxRetention)
	case d.Retention < tomlfile.Duration(time.Second) || time.Duration(d.Retention) > maxRetention:
		return at("keep"), fmt.Errorf("%v is not from 1s to %v", time.Duration(d.Retention), maxRetention)
	case d.SegmentSize < minSegmentSize:
		return at("segment"), fmt.Errorf("under %d KiB", minSegmentSize>>10)
	case d.MaxSize < 4*d.SegmentSize:
		return at("most"), errors.New("under four segments: cleaning would find no room")
	case d.MaxConcurrent < 1:
		return at("in-hand"), errors.New("under 1")
	case time.Duration(d.PollInterval) < minPollInterval:
		return at("ask-every"), fmt.Errorf("under %v", minPollInterval)
	}
	return tomlfile.Place{}, nil
}

const (
	minGossipInterval = 20 * time.Millisecond
	maxFanout         = 16
	maxNameBytes      = 64 // bytes
)

func (s *Config) validateCluster() (tomlfile.Place, error) {
	f := s.Cluster
	if f == nil {
		return tomlfile.Place{}, nil
	}
	at := func(key string) tomlfile.Place { return tomlfile.Place{Table: "fleet", Index: -1, Key: key} }
	if f.Listen == "" {
		return at("listen"), errors.New("missing: the address and port where neighbours reach this node")
	}
	for _, a := range append([]struct{ key, addr string }{{"listen", f.Listen}, {"advertise", f.Advertise}}, keyed("seeds", f.Seeds)...) {
		if a.addr == "" && a.key == "advertise" {
			continue
		}
		p, err := netip.ParseAddrPort(a.addr)
		switch {
		case err != nil || p.Port() == 0:
			return at(a.key), fmt.Errorf("%q is not an address and port", a.addr)
		case !p.Addr().IsLoopback() && !f.TrustedNetwork:
			return at(a.key), fmt.Errorf("%q is no loopback address: words are neither encrypted nor signed, so others need trusted-network = true", a.addr)
		}
	}
	switch {
	case len(f.Name) > maxNameBytes:
		return at("name"), fmt.Errorf("over %d bytes", maxNameBytes)
	case time.Duration(f.GossipInterval) < minGossipInterval:
		return at("every"), fmt.Errorf("under %v", minGossipInterval)
	case f.Fanout < 1 || f.Fanout > maxFanout:
		return at("tell"), fmt.Errorf("not from 1 to %d", maxFanout)
	case f.PeerStateTTL < 4*f.GossipInterval:
		return at("view-for"), errors.New("under four times every: a word or two that get lost would leave no figures")
	case f.DrainTTL < f.PeerStateTTL:
		return at("drain-for"), errors.New("under view-for")
	}
	return tomlfile.Place{}, nil
}

// keyed gives each of a list's values the list's key.
func keyed(key string, values []string) (all []struct{ key, addr string }) {
	for _, v := range values {
		all = append(all, struct{ key, addr string }{key, v})
	}
	return all
}
