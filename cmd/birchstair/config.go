package main

import (
	"fmt"
	"os"
	"time"

	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/gossip"
	"birchstair/internal/site"
)

type configCmd struct {
	Check checkCmd `cmd:"" help:"Read the configuration and say what is wrong with it."`
}

type checkCmd struct {
	Site string `type:"path" placeholder:"FILE" help:"The operator's own file, checked as well."`
}

// Run reads the configuration and the operator's own file and prints what follows from them.
func (c checkCmd) Run() error {
	node, err := readNodeConfig(os.Getenv, time.Now())
	if err != nil {
		return err
	}
	own, err := readSite(c.Site, node)
	if err != nil {
		return err
	}
	if c.Site != "" {
		fmt.Printf("%s is sound: durable batch jobs are %s, nodes that talk are %s\n", c.Site, onOff(own.Durable != nil), onOff(own.Cluster != nil))
	}
	node.reservePeerDescriptors(own)
	clients, executors := node.ConnLimits()
	fmt.Printf("%s is sound: %d tracks, at most %d connections from clients and %d to executors\n",
		os.Getenv("ROUTER_CONFIG"), len(node.Settings.JobClassNames), clients, executors)
	p := node.Settings.Policy
	probes := "off"
	if p.MayCheckHealth {
		probes = fmt.Sprintf("by GET %s within %v", node.Settings.Probe.Path, node.Settings.Probe.Timeout)
	}
	marks := "passed over"
	if p.ClientsMarkRetries {
		marks = "taken"
	}
	fmt.Printf("probes are %s; second copies of repeatable batch jobs are %s; marks of clients' repeats are %s\n",
		probes, onOff(p.MayHedge && own.Durable == nil), marks)
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// nodeConfig is the node's configuration as the platform writes it.
type nodeConfig struct {
	config.Config
	names  discovery.Names
	cached discovery.CachedList // the endpoint list as this node last had it
}

// readNodeConfig reads the configuration that the environment names. Times in it count from start.
func readNodeConfig(env func(string) string, start time.Time) (c nodeConfig, err error) {
	if c.Config, err = config.Read(env); err != nil {
		return c, err
	}
	c.names = discovery.Names{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds, Start: start}
	c.cached, err = c.names.DecodeCached(c.CachedEndpoints)
	return c, err
}

// readSite reads the operator's own file and checks it against the node's configuration. Without a file name it returns
// the defaults.
func readSite(file string, c nodeConfig) (site.Config, error) {
	own, err := site.Read(file)
	if err == nil {
		err = own.FitsMemory(c.MemoryBytes)
	}
	return own, err
}

// reservePeerDescriptors sets descriptors aside for gossip, where the operator's own file turns it on.
func (c *nodeConfig) reservePeerDescriptors(own site.Config) {
	if own.Cluster != nil {
		c.PeerDescriptors = gossip.MaxDescriptors
	}
}
