package gossip

import (
	"fmt"
	"net/netip"

	"birchstair/internal/cluster"
	"birchstair/internal/oneline"
	"birchstair/policy"
)

// Options are a node's identity in its cluster, and the addresses that the node needs to join the cluster.
type Options struct {
	Name      cluster.NodeName // name of this node, unique in the cluster
	Node      policy.NodeID    // number of this node, by which peers address messages about leases
	Listen    netip.AddrPort   // address to listen on, for TCP and UDP
	Advertise netip.AddrPort   // address at which peers reach this node
	Seeds     []netip.AddrPort // nodes through which to join the cluster; this one can be among them
	Traffic   *Traffic         // counters of the gossip traffic; nil to count nothing
}

// ParseOptions checks the node's name and parses the addresses in the table fleet of the site file. If advertise is empty,
// the listen address is advertised. An error names the key of the invalid value.
func ParseOptions(name cluster.NodeName, number policy.NodeID, listen, advertise string, seeds []string) (Options, error) {
	options := Options{Name: name, Node: number}
	if !oneline.Valid(string(name)) {
		return options, fmt.Errorf("fleet.name: %.40q is not UTF-8, or has a control character in it", name)
	}
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
