package site

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/tomlfile"
)

// Cluster makes this node one of several that gossip. The defaults of the times and of the fan-out are those of package cluster.
type Cluster struct {
	Name           string            `toml:"name"`            // in the cluster; default the configuration's name
	Listen         string            `toml:"listen"`          // address and port, TCP and UDP, for peers; required
	Advertise      string            `toml:"advertise"`       // address and port where peers reach it; default listen
	Seeds          []string          `toml:"seeds"`           // addresses of some nodes of the cluster, its own may be among them; default none
	TrustedNetwork bool              `toml:"trusted-network"` // allows other than loopback addresses: messages are not encrypted; default false
	GossipInterval tomlfile.Duration `toml:"every"`           // between two gossip messages; default 250ms
	Fanout         int               `toml:"tell"`            // peers that each message goes to; default 3
	PeerStateTTL   tomlfile.Duration `toml:"view-for"`        // the age to which a peer's rates count; default 4s
	DrainTTL       tomlfile.Duration `toml:"drain-for"`       // the age to which a drain that a peer sent counts; default 10s
}

func clusterDefaults() *Cluster {
	defaults := cluster.Defaults("", 0, 0)
	return &Cluster{
		GossipInterval: tomlfile.Duration(defaults.GossipInterval),
		Fanout:         defaults.Fanout,
		PeerStateTTL:   tomlfile.Duration(defaults.PeerStateTTL),
		DrainTTL:       tomlfile.Duration(defaults.DrainTTL),
	}
}

// Bounds of the cluster's values.
const (
	minGossipInterval   = 20 * time.Millisecond
	maxFanout           = 16
	maxNameBytes        = 64
	minMessagesForState = 4 // gossip intervals that a peer's state outlives at least
)

func (c *Cluster) validate() error {
	if err := c.validateAddrs(); err != nil {
		return err
	}
	switch {
	case len(c.Name) > maxNameBytes:
		return clusterKey("name", fmt.Errorf("over %d bytes", maxNameBytes))
	case time.Duration(c.GossipInterval) < minGossipInterval:
		return clusterKey("every", fmt.Errorf("under %v", minGossipInterval))
	case c.Fanout < 1 || c.Fanout > maxFanout:
		return clusterKey("tell", fmt.Errorf("not from 1 to %d", maxFanout))
	case c.PeerStateTTL < minMessagesForState*c.GossipInterval:
		return clusterKey("view-for", errors.New("under four times every: a word or two that get lost would leave no figures"))
	case c.DrainTTL < c.PeerStateTTL:
		return clusterKey("drain-for", errors.New("under view-for"))
	}
	return nil
}

// validateAddrs checks the addresses in the order of listen, advertise and seeds.
func (c *Cluster) validateAddrs() error {
	if c.Listen == "" {
		return clusterKey("listen", errors.New("missing: the address and port where neighbours reach this node"))
	}
	if err := c.validateAddr("listen", c.Listen); err != nil {
		return err
	}
	if c.Advertise != "" {
		if err := c.validateAddr("advertise", c.Advertise); err != nil {
			return err
		}
	}
	for _, seed := range c.Seeds {
		if err := c.validateAddr("seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) validateAddr(key, text string) error {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || addr.Port() == 0:
		return clusterKey(key, fmt.Errorf("%q is not an address and port", text))
	case !addr.Addr().IsLoopback() && !c.TrustedNetwork:
		return clusterKey(key, fmt.Errorf("%q is no loopback address: words are neither encrypted nor signed, so others need trusted-network = true", text))
	}
	return nil
}

// clusterKey is an error in the value of a key of the table.
func clusterKey(key string, err error) error {
	return &tomlfile.KeyError{Place: tomlfile.Position{Table: "fleet", Index: tomlfile.NoIndex, Key: key}, Err: err}
}
