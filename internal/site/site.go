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

// Site is the operator's file.
type Site struct {
	Durable *Durable `toml:"durable"`
	Fleet   *Fleet   `toml:"fleet"`
}

// Fleet makes this node one of several that talk.
type Fleet struct {
	Name           string        `toml:"name"`            // in the fleet; the configuration's name where it is left out
	Listen         string        `toml:"listen"`          // address and port, TCP and UDP, for neighbours
	Advertise      string        `toml:"advertise"`       // where neighbours reach it; the same where it is left out
	Seeds          []string      `toml:"seeds"`           // addresses of some nodes of the fleet, its own may be among them
	TrustedNetwork bool          `toml:"trusted-network"` // words are neither encrypted nor signed: others than loopback addresses need this
	Every          tomlfile.Span `toml:"every"`           // between two words to neighbours
	Tell           int           `toml:"tell"`            // neighbours that are told each time
	ViewFor        tomlfile.Span `toml:"view-for"`        // a neighbour's figures count until they are so old
	DrainFor       tomlfile.Span `toml:"drain-for"`       // and a drain that it told of
}

func fleetDefaults() Fleet {
	d := cluster.Defaults("", 0, 0)
	return Fleet{Every: tomlfile.Span(d.GossipInterval), Tell: d.Fanout, ViewFor: tomlfile.Span(d.PeerStateTTL), DrainFor: tomlfile.Span(d.DrainTTL)}
}

// Durable turns durable batch jobs on.
type Durable struct {
	Dir        string        `toml:"dir"`         // where their records stand; one node's alone
	OuterLimit tomlfile.Span `toml:"outer-limit"` // the longest that a client may ask for
	Keep       tomlfile.Span `toml:"keep"`        // how long a final answer can be asked for
	Segment    tomlfile.Size `toml:"segment"`     // of the log
	Most       tomlfile.Size `toml:"most"`        // of the whole log, which stands in memory as well; over it new ones are pushed back
	InHand     int           `toml:"in-hand"`     // handed to the decision module at a time; the others wait on the disk
	Leases     bool          `toml:"leases"`      // executors can be asked what they hold and have done
	AskEvery   tomlfile.Span `toml:"ask-every"`   // so often they are asked while they can't be reached, or still hold it
}

func durableDefaults() Durable {
	return Durable{OuterLimit: tomlfile.Span(24 * time.Hour), Keep: tomlfile.Span(24 * time.Hour), Segment: 1 << 20, Most: 16 << 20,
		InHand: 256, AskEvery: tomlfile.Span(2 * time.Second)}
}

// Read reads the file of that name; no name is no file.
func Read(name string) (Site, error) {
	if name == "" {
		return Site{}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return Site{}, err
	}
	return Parse(name, text)
}

// Fits says what of the file does not fit the limits that the node keeps within.
func (s Site) Fits(memory int64) error {
	if d := s.Durable; d != nil && int64(d.Most) > memory/logPart {
		return fmt.Errorf("durable.most: %d MiB is over an eighth of limits.memory_mb, %d: what the log holds stands in memory as well, up to four times as large",
			d.Most>>20, memory>>20)
	}
	return nil
}

// Parse reads a file's text.
func Parse(name string, text []byte) (Site, error) {
	// First which tables there are, then each over its defaults.
	var s Site
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return Site{}, err
	}
	if s.Durable != nil {
		d := durableDefaults()
		s.Durable = &d
	}
	if s.Fleet != nil {
		f := fleetDefaults()
		s.Fleet = &f
	}
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return Site{}, err
	}
	if at, err := s.check(); err != nil {
		return Site{}, at.Wrap(name, text, err)
	}
	return s, nil
}

const (
	logPart      = 8 // part of the memory that the log may be: a small batch job takes 1 KB there, and 0.3 KB on the disk
	leastSegment = 64 << 10
	leastAsk     = 50 * time.Millisecond
	longestKeep  = 400 * 24 * time.Hour
)

func (s *Site) check() (tomlfile.Place, error) {
	if at, err := s.checkFleet(); err != nil {
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
	case d.OuterLimit < tomlfile.Span(time.Second) || time.Duration(d.OuterLimit) > longestKeep:
		return at("outer-limit"), fmt.Errorf("%v is not from 1s to %v", time.Duration(d.OuterLimit), longestKeep)
	case d.Keep < tomlfile.Span(time.Second) || time.Duration(d.Keep) > longestKeep:
		return at("keep"), fmt.Errorf("%v is not from 1s to %v", time.Duration(d.Keep), longestKeep)
	case d.Segment < leastSegment:
		return at("segment"), fmt.Errorf("under %d KiB", leastSegment>>10)
	case d.Most < 4*d.Segment:
		return at("most"), errors.New("under four segments: cleaning would find no room")
	case d.InHand < 1:
		return at("in-hand"), errors.New("under 1")
	case time.Duration(d.AskEvery) < leastAsk:
		return at("ask-every"), fmt.Errorf("under %v", leastAsk)
	}
	return tomlfile.Place{}, nil
}

const (
	leastEvery  = 20 * time.Millisecond
	mostTell    = 16
	longestName = 64 // bytes
)

func (s *Site) checkFleet() (tomlfile.Place, error) {
	f := s.Fleet
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
	case len(f.Name) > longestName:
		return at("name"), fmt.Errorf("over %d bytes", longestName)
	case time.Duration(f.Every) < leastEvery:
		return at("every"), fmt.Errorf("under %v", leastEvery)
	case f.Tell < 1 || f.Tell > mostTell:
		return at("tell"), fmt.Errorf("not from 1 to %d", mostTell)
	case f.ViewFor < 4*f.Every:
		return at("view-for"), errors.New("under four times every: a word or two that get lost would leave no figures")
	case f.DrainFor < f.ViewFor:
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
