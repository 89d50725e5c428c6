// Package service assembles a node: the reducer with its policy, and the packages that carry its effects out on the
// listeners and dialers that it is given.
package service

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/admin"
	"birchstair/internal/cluster"
	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/durable"
	"birchstair/internal/frontend"
	"birchstair/internal/gossip"
	"birchstair/internal/hotrestart"
	"birchstair/internal/node"
	"birchstair/internal/upstream"
	"birchstair/policy"
)

// Options are the parts and settings that a node is made of.
type Options struct {
	Settings        config.Settings
	Limits          node.Limits
	ClientLimits    frontend.ConnLimits
	CachedEndpoints discovery.CachedList // the endpoint list as this node last had it
	DiscoveryAddr   string
	StartTime       time.Time // from which the reducer's clock counts

	Policy        node.Policy
	Listener      net.Listener // for clients
	AdminListener net.Listener // for operators; nil for none
	DialExecutor  upstream.Dialer
	DialDiscovery discovery.Dialer
	Log           zerolog.Logger
	Observer      node.Observer // sees each step of the reducer; nil for none

	HandoffDir  string          // where a successor process finds this one; empty for no hot restarts
	Predecessor net.Conn        // the link to the process that this one takes over from; nil for none
	LimitMemory func(half bool) // halves what this process may use of the node's memory, or restores it

	Cluster *Cluster         // nil for a node that gossips with no others
	Durable *durable.Manager // nil without durable batch jobs; Run closes it
}

// Cluster is what a node needs to gossip with others.
type Cluster struct {
	cluster.Settings
	gossip.Options
}

// JobClasses returns the policy's job classes with their names. The policy has a second class for each job class of the
// settings where durable batch jobs are on.
func JobClasses(s config.Settings) (classes []node.JobClass) {
	for i, class := range s.Policy.JobClasses {
		name := ""
		if n := len(s.JobClassNames); i < n {
			name = s.JobClassNames[i]
		} else {
			name = durable.ClassPrefix + s.JobClassNames[i-n]
		}
		classes = append(classes, node.JobClass{Name: name, JobClass: class})
	}
	return classes
}

// Run runs a node. It returns when the context has ended and all batch jobs are answered, or when the client listener
// fails. events are further events for the reducer; their channel may be closed only after Run has returned, if at all.
func Run(ctx context.Context, o Options, events <-chan node.Event) error {
	n := newInstance(o)
	defer n.stop()
	n.startHandoff()
	n.startGossip()
	n.startDurable()
	failed := n.serveClients()
	n.watchEndpoints()
	n.shutDownAfter(ctx)
	n.forward(events)
	n.serveOperators()
	n.loop.Run(n.core, n.edges, n.Log)
	n.frontend.Stop()
	var err error
	if n.Durable != nil {
		err = n.Durable.Close()
	}
	select {
	case err := <-failed:
		return err
	default:
		return err
	}
}

// instance is a node that runs.
type instance struct {
	Options
	loop      *node.Loop
	core      *node.Node
	frontend  *frontend.Server
	upstream  *upstream.Pool
	discovery *discovery.Watcher
	admin     *admin.Server
	edges     node.Edges
	stops     []func() // called in reverse order at the end
}

// newInstance creates the parts that every node has.
func newInstance(o Options) *instance {
	n := &instance{Options: o, loop: node.NewLoop(o.StartTime)}
	n.loop.Observe = o.Observer
	n.core = node.New(o.Policy, o.Limits, JobClasses(o.Settings))
	ownClasses := n.core.JobClasses()[:len(o.Settings.JobClassNames)] // without those of durable batch jobs
	n.frontend = frontend.New(ownClasses, o.ClientLimits, n.loop.Post)
	n.upstream = upstream.New(o.DialExecutor, o.Settings.ReportsLoad(), upstream.ProbeConfig{
		Path:    o.Settings.Probe.Path,
		Timeout: o.Settings.Probe.Timeout,
		Fields:  o.Settings.ReportedValues(),
	}, n.loop.Post)
	n.discovery = newWatcher(o, n.loop.Post)
	n.admin = admin.New(config.MaxAdminCalls, n.loop.PostUrgent)
	n.edges = node.Edges{
		Frontend:  n.frontend,
		Upstream:  n.upstream,
		Discovery: n.discovery,
		Admin:     n.admin,
	}
	return n
}

func newWatcher(o Options, post func(node.Event)) *discovery.Watcher {
	timing := discovery.NewTiming(o.Settings.DrainGrace, !o.Settings.Policy.EndpointsPolled)
	timing.Seed = uint64(o.Settings.Policy.Seed)<<32 | uint64(uint32(o.Settings.Policy.Node))
	names := discovery.Names{Zones: o.Settings.Zones, Kinds: o.Settings.Kinds, Start: o.StartTime}
	watcher := discovery.New(names, timing, o.DialDiscovery, post)
	watcher.Cached = o.CachedEndpoints
	return watcher
}

func (n *instance) stop() {
	for i := len(n.stops) - 1; i >= 0; i-- {
		n.stops[i]()
	}
}

// startHandoff lets a successor process take over from this one, and this one from its predecessor. Until then the
// predecessor accepts the clients' connections.
func (n *instance) startHandoff() {
	if n.HandoffDir == "" {
		return
	}
	handoff := hotrestart.New(n.HandoffDir, n.loop.PostUrgent)
	n.stops = append(n.stops, handoff.Close)
	n.frontend.AcceptConnections(n.Predecessor == nil)
	n.edges.Handoff, n.edges.LimitMemory = handoff, n.LimitMemory
	handoff.Start(n.Predecessor)
}

// startGossip joins the cluster.
func (n *instance) startGossip() {
	if n.Cluster == nil {
		return
	}
	n.core.JoinCluster(n.Cluster.Settings)
	members := gossip.New(n.Cluster.Options, n.loop.Post, n.Log)
	n.edges.Gossip = members
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		members.Run(ctx)
	}()
	n.stops = append(n.stops, func() {
		cancel()
		<-ended
	})
}

// startDurable puts durable batch jobs between the reducer and its clients and executors.
func (n *instance) startDurable() {
	if n.Durable == nil {
		return
	}
	n.edges.Frontend, n.edges.Upstream = n.Durable.Start(n.loop.Post, n.frontend, n.upstream)
	n.frontend.HandlePrefix(durable.Path, n.Durable)
	n.loop.Observe = func(now time.Duration, ev node.Event, effects []node.Effect) {
		n.Durable.Observe(now, ev, effects)
		if n.Observer != nil {
			n.Observer(now, ev, effects)
		}
	}
}

// serveClients serves clients in the background. The channel gets the error by which that fails, if it does; the node
// ends then.
func (n *instance) serveClients() <-chan error {
	failed := make(chan error, 1)
	go func() {
		if err := n.frontend.Serve(n.Listener); err != nil {
			failed <- fmt.Errorf("listen: %w", err)
			n.loop.Post(node.FrontendClosed{})
		}
	}()
	return failed
}

// watchEndpoints gives the reducer the cached endpoint list and then follows discovery.
func (n *instance) watchEndpoints() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stops = append(n.stops, cancel)
	go func() {
		n.loop.Post(node.EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: n.CachedEndpoints.Endpoints})
		n.discovery.Run(ctx, n.DiscoveryAddr)
	}()
}

// shutDownAfter shuts the node down gracefully when the context ends.
func (n *instance) shutDownAfter(ctx context.Context) {
	go func() {
		<-ctx.Done()
		n.frontend.BeginLameDuck()
		n.loop.Post(node.ShutdownRequested{})
	}()
}

// forward posts events from outside the node.
func (n *instance) forward(events <-chan node.Event) {
	go func() {
		for ev := range events {
			n.loop.Post(ev)
		}
	}()
}

// serveOperators serves operators in the background.
func (n *instance) serveOperators() {
	if n.AdminListener == nil {
		return
	}
	go n.admin.Serve(n.AdminListener)
	n.stops = append(n.stops, n.admin.Close)
}
