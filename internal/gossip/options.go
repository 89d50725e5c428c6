package gossip

import (
	"fmt"
	"net/netip"

	"birchstair/internal/cluster"
	"birchstair/policy"
)

// Options say where a node listens for its peers, and where it finds the first of them.
type Options struct {
	Name      cluster.NodeName // unique in the cluster
	Node      policy.NodeID    // by which peers address each other's leases
	Listen    netip.AddrPort   // TCP and UDP
	Advertise netip.AddrPort   // where peers reach it
	Seeds     []netip.AddrPort // addresses of some nodes of the cluster; its own may be among them
	Traffic   *Traffic         // counts the traffic; nil for no counting
}

// ParseOptions reads the addresses of an operator's file. An empty advertise address is the one listened on. Its errors name the key.
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
