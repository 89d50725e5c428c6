package main

import (
	"fmt"
	"os"
	"time"

	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/gossip"
	"birchstair/internal/site"
	"birchstair/policy"
)

// configCmd has the commands for the configuration. They need no running node.
type configCmd struct {
	Check checkCmd `cmd:"" help:"Read the configuration and report errors in it."`
}

// checkCmd checks the configuration.
type checkCmd struct {
	Site string `type:"path" placeholder:"FILE" help:"The operator's site file, which is checked too."`
}

// Run checks the configuration and the site file, and prints the limits and options that result from both.
func (c checkCmd) Run() error {
	node, err := readNodeConfig(os.Getenv, time.Now())
	if err != nil {
		return err
	}
	siteConfig, err := readSite(c.Site, node)
	if err != nil {
		return err
	}
	if c.Site != "" {
		fmt.Printf("%s is valid: durable batch jobs are %s, gossip between nodes is %s\n", c.Site,
			onOff(siteConfig.Durable != nil), onOff(siteConfig.Cluster != nil))
	}
	node.reservePeerDescriptors(siteConfig)
	clients, executors := node.ConnLimits()
	fmt.Printf("%s is valid: %d tracks, at most %d connections from clients and %d to executors\n",
		os.Getenv("ROUTER_CONFIG"), len(node.Settings.JobClassNames), clients, executors)
	p := node.Settings.Policy
	probes := "off"
	if p.MayCheckHealth {
		probes = fmt.Sprintf("by GET %s within %v", node.Settings.Probe.Path, node.Settings.Probe.Timeout)
	}
	retryMarks := "ignored"
	if p.ClientsMarkRetries {
		retryMarks = "used"
	}
	fmt.Printf("probes are %s; second copies of repeatable batch jobs are %s; retry marks of clients are %s\n",
		probes, onOff(p.MayHedge && siteConfig.Durable == nil), retryMarks)
	for i, class := range p.JobClasses {
		if class.Idempotency == policy.IdempotentWithKey && class.DedupWindow == 0 {
			fmt.Printf("track %s: its batch jobs are not sent again once they may have run, as dedup-window-s is too short for it\n",
				node.Settings.JobClassNames[i])
		}
	}
	return nil
}

// onOff returns "on" or "off", the printed form of a boolean.
func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// nodeConfig is the node's configuration. The platform writes the configuration file.
type nodeConfig struct {
	config.Config
	names  discovery.Names      // decodes names and times in endpoint lists
	cached discovery.CachedList // the endpoint list that was last cached for this node
}

// readNodeConfig reads the configuration file that the environment names. Wall-clock times in the file are converted to durations
// since start.
func readNodeConfig(env func(string) string, start time.Time) (c nodeConfig, err error) {
	if c.Config, err = config.Read(env); err != nil {
		return c, err
	}
	c.names = discovery.Names{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds, Start: start}
	c.cached, err = c.names.DecodeCached(c.CachedEndpoints)
	return c, err
}

// readSite reads the operator's site file and checks that the file's settings fit the node's memory. If the file name is empty,
// readSite returns the defaults.
func readSite(file string, c nodeConfig) (site.Config, error) {
	siteConfig, err := site.Read(file)
	if err == nil {
		err = siteConfig.FitsMemory(c.MemoryBytes)
	}
	return siteConfig, err
}

// reservePeerDescriptors reserves file descriptors for gossip if the site file turns gossip on.
func (c *nodeConfig) reservePeerDescriptors(siteConfig site.Config) {
	if siteConfig.Cluster != nil {
		c.PeerDescriptors = gossip.MaxDescriptors
	}
}
