package site

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/tomlfile"
)

// Cluster makes this node a member of a cluster of nodes that gossip. Package cluster defines the defaults of the
// durations and of Fanout.
type Cluster struct {
	Name           string            `toml:"name"`            // name of this node in the cluster; default: the name in the configuration
	Listen         string            `toml:"listen"`          // address and port that peers connect to, TCP and UDP; required
	Advertise      string            `toml:"advertise"`       // address and port that peers are given to reach this node; default: listen
	Seeds          []string          `toml:"seeds"`           // addresses of some nodes of the cluster; this node can be among them; default: none
	TrustedNetwork bool              `toml:"trusted-network"` // allows non-loopback addresses, though gossip is not encrypted; default false
	GossipInterval tomlfile.Duration `toml:"every"`           // time between two gossip rounds; default 250ms
	Fanout         int               `toml:"tell"`            // number of messages per gossip round, each to one peer; default 3
	PeerStateTTL   tomlfile.Duration `toml:"view-for"`        // maximum age at which the rates of a peer are used; default 4s
	DrainTTL       tomlfile.Duration `toml:"drain-for"`       // maximum age at which a drain received from a peer applies; default 10s
}

// clusterDefaults returns the table fleet with the values of keys that are absent from the site file.
func clusterDefaults() *Cluster {
	defaults := cluster.Defaults("", 0, 0)
	return &Cluster{
		GossipInterval: tomlfile.Duration(defaults.GossipInterval),
		Fanout:         defaults.Fanout,
		PeerStateTTL:   tomlfile.Duration(defaults.PeerStateTTL),
		DrainTTL:       tomlfile.Duration(defaults.DrainTTL),
	}
}

// Bounds of the values in the table fleet.
const (
	minGossipInterval   = 20 * time.Millisecond
	maxFanout           = 16
	maxNameBytes        = 64
	minMessagesForState = 4 // PeerStateTTL is at least GossipInterval multiplied by this, so that one or two lost messages do no harm
)

func (c *Cluster) validate() error {
	if err := c.validateAddrs(); err != nil {
		return err
	}
	switch {
	case len(c.Name) > maxNameBytes:
		return clusterKeyError("name", fmt.Errorf("%.40q is over %d bytes long", c.Name, maxNameBytes))
	case time.Duration(c.GossipInterval) < minGossipInterval:
		return clusterKeyError("every", fmt.Errorf("%v is under %v", time.Duration(c.GossipInterval), minGossipInterval))
	case c.Fanout < 1 || c.Fanout > maxFanout:
		return clusterKeyError("tell", fmt.Errorf("%d is not from 1 to %d", c.Fanout, maxFanout))
	case c.PeerStateTTL < minMessagesForState*c.GossipInterval:
		return clusterKeyError("view-for", fmt.Errorf(
			"%v is under four times fleet.every (%v): one or two lost messages would make the rates of a peer unusable",
			time.Duration(c.PeerStateTTL), time.Duration(c.GossipInterval)))
	case c.DrainTTL < c.PeerStateTTL:
		return clusterKeyError("drain-for", fmt.Errorf("%v is under the value of view-for, %v", time.Duration(c.DrainTTL), time.Duration(c.PeerStateTTL)))
	}
	return nil
}

// validateAddrs checks the addresses in the order of listen, advertise and seeds.
func (c *Cluster) validateAddrs() error {
	if c.Listen == "" {
		return clusterKeyError("listen", errors.New("missing: the address and port where peers reach this node"))
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

// validateAddr checks one address: the value of the given key, or an element of the key's list.
func (c *Cluster) validateAddr(key, text string) error {
	addr, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || addr.Port() == 0:
		return clusterKeyError(key, fmt.Errorf("%q is not an address and port", text))
	case !addr.Addr().IsLoopback() && !c.TrustedNetwork:
		return clusterKeyError(key, fmt.Errorf("%q is not a loopback address: gossip is neither encrypted nor signed, so other addresses need trusted-network = true", text))
	}
	return nil
}

// clusterKeyError returns an error in the value of a key in the table fleet.
func clusterKeyError(key string, err error) error {
	return &tomlfile.KeyError{Position: tomlfile.Position{Table: "fleet", Index: tomlfile.NoIndex, Key: key}, Err: err}
}
