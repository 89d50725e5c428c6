package gossip

import (
	"fmt"
	"net/netip"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Options are a node's identity in its cluster and the addresses that it needs to join it.
type Options struct {
	Name      cluster.NodeName // name of this node, unique in the cluster
	Node      policy.NodeID    // number by which peers address messages about leases
	Listen    netip.AddrPort   // address to listen on, for TCP and UDP
	Advertise netip.AddrPort   // address at which peers reach this node
	Seeds     []netip.AddrPort // addresses of some nodes of the cluster; this node's own may be among them
	Traffic   *Traffic         // counters of the traffic, or nil
}

// ParseOptions parses the addresses in the table fleet of the site file. An empty advertise address defaults to the listen
// address. Errors name the key.
func ParseOptions(name cluster.NodeName, number policy.NodeID, listen, advertise string, seeds []string) (Options, error) {
	options := Options{Name: name, Node: number}
	var err error
	if options.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return options, fmt.Errorf("fleet.listen: %w", err)
	}
	options.Advertise = options.Listen
	if advertise != "" {
		if options.Advertise, err = netip.ParseAddrPort(advertise); err != nil {
			return options, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	for _, text := range seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return options, fmt.Errorf("fleet.seeds: %w", err)
		}
		options.Seeds = append(options.Seeds, seed)
	}
	return options, nil
}
