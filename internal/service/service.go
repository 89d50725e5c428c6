// Package service assembles and runs a node. A node consists of the state machine with its policy, and the packages that carry
// out the state machine's effects over the network.
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
	"birchstair/internal/eventlog"
	"birchstair/internal/frontend"
	"birchstair/internal/gossip"
	"birchstair/internal/hotrestart"
	"birchstair/internal/node"
	"birchstair/internal/upstream"
	"birchstair/policy"
)

// Options holds the settings of a node, and the parts that differ between a real and a simulated node.
type Options struct {
	Settings        config.Settings
	Limits          node.Limits
	ClientLimits    frontend.ConnLimits
	CachedEndpoints discovery.CachedList // the endpoint list that was last cached for this node
	DiscoveryAddr   string
	StartTime       time.Time // time at which the event loop's clock reads zero

	Policy        node.Policy
	Listener      net.Listener // accepts clients' connections
	AdminListener net.Listener // accepts operators' connections; nil if the node serves no operators
	DialExecutor  upstream.Dialer
	DialDiscovery discovery.Dialer
	Log           zerolog.Logger
	Observer      node.Observer // is called after each step of the state machine; nil for no observer

	HandoffDir  string          // directory in which a successor process finds this process; empty to turn hot restarts off
	Predecessor net.Conn        // connection to the process that this process takes over from; nil if there is none
	LimitMemory func(half bool) // halves the memory limit of this process, or restores it

	Cluster *Cluster         // settings for gossip; nil for a node without gossip
	Durable *durable.Manager // manager of durable batch jobs, which Run closes; nil for a node without durable batch jobs
}

// Cluster holds the settings of a node that gossips with other nodes.
type Cluster struct {
	cluster.Settings
	gossip.Options
}

// JobClasses returns the policy's job classes with their names. If durable batch jobs are on, the policy has two classes for
// each job class of the settings: one for ordinary batch jobs and one for durable batch jobs.
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

// Run runs a node. It returns when the context has ended and all batch jobs are answered, or when the client listener fails.
// Run also processes the events from the given channel. The channel can be nil. It need not be closed, and must not be closed
// before Run has returned.
func Run(ctx context.Context, o Options, events <-chan node.Event) error {
	n := newInstance(o)
	defer n.stop()
	n.startHandoff()
	n.startGossip()
	n.startDurable()
	failed := n.serveClients()
	n.watchEndpoints()
	n.shutDownAfter(ctx)
	n.forwardEvents(events)
	n.serveOperators()
	n.loop.Run(n.stateMachine, n.edges, n.Log)
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

// instance is a running node.
type instance struct {
	Options
	loop         *node.Loop
	stateMachine *node.Node
	frontend     *frontend.Server
	upstream     *upstream.Pool
	discovery    *discovery.Watcher
	admin        *admin.Server
	edges        node.Edges
	stops        []func() // functions that stop the node's parts; called in reverse order when the node ends
}

// newInstance creates a node with only the parts that every node has.
func newInstance(o Options) *instance {
	n := &instance{Options: o, loop: node.NewLoop(o.StartTime)}
	events := eventlog.New(o.Log)
	n.loop.Observe = observers(events.Observe, o.Observer)
	n.stateMachine = node.New(o.Policy, o.Limits, JobClasses(o.Settings))
	ownClasses := n.stateMachine.JobClasses()[:len(o.Settings.JobClassNames)] // the job classes without those of durable batch jobs
	n.frontend = frontend.New(ownClasses, o.ClientLimits, n.loop.Post)
	n.frontend.SetReporter(events)
	n.upstream = upstream.New(o.DialExecutor, o.Settings.ReportsLoad(), upstream.HealthCheckConfig{
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

// observers returns an observer that calls first and then second, which can be nil.
func observers(first, second node.Observer) node.Observer {
	if second == nil {
		return first
	}
	return func(now time.Duration, ev node.Event, effects []node.Effect) {
		first(now, ev, effects)
		second(now, ev, effects)
	}
}

// newWatcher returns the watcher of the endpoint list.
func newWatcher(o Options, post func(node.Event)) *discovery.Watcher {
	timing := discovery.NewTiming(o.Settings.DrainGrace, !o.Settings.Policy.EndpointsPolled)
	timing.Seed = uint64(o.Settings.Policy.Seed)<<32 | uint64(uint32(o.Settings.Policy.Node))
	names := discovery.Names{Zones: o.Settings.Zones, Kinds: o.Settings.Kinds, Start: o.StartTime}
	watcher := discovery.New(names, timing, o.DialDiscovery, post)
	watcher.Cached = o.CachedEndpoints
	return watcher
}

// stop stops the parts of the node, in reverse order of their start.
func (n *instance) stop() {
	for i := len(n.stops) - 1; i >= 0; i-- {
		n.stops[i]()
	}
}

// startHandoff starts the handoff from the predecessor, if there is one, and lets a successor process connect later. Until the
// predecessor has handed over, the predecessor accepts the clients' connections and this process accepts none.
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
	n.stateMachine.JoinCluster(n.Cluster.Settings)
	gossiper := gossip.New(n.Cluster.Options, n.loop.Post, n.Log)
	n.edges.Gossip = gossiper
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		gossiper.Run(ctx)
	}()
	n.stops = append(n.stops, func() {
		cancel()
		<-ended
	})
}

// startDurable inserts the manager of durable batch jobs between the state machine on one side and the frontend and the upstream
// on the other. It also lets the manager observe the state machine.
func (n *instance) startDurable() {
	if n.Durable == nil {
		return
	}
	n.edges.Frontend, n.edges.Upstream = n.Durable.Start(n.loop.Post, n.frontend, n.upstream)
	n.frontend.HandlePrefix(durable.Path, n.Durable)
	n.loop.Observe = observers(n.Durable.Observe, n.loop.Observe)
}

// serveClients serves clients in the background. If the listener fails, the error is sent to the returned channel and the node
// ends.
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

// watchEndpoints posts the cached endpoint list to the state machine and then watches discovery, in the background.
func (n *instance) watchEndpoints() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stops = append(n.stops, cancel)
	go func() {
		n.loop.Post(node.EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: n.CachedEndpoints.Endpoints})
		n.discovery.Run(ctx, n.DiscoveryAddr)
	}()
}

// shutDownAfter starts a graceful shutdown of the node when the context ends.
func (n *instance) shutDownAfter(ctx context.Context) {
	go func() {
		<-ctx.Done()
		n.frontend.BeginLameDuck()
		n.loop.Post(node.ShutdownRequested{})
	}()
}

// forwardEvents posts the events that arrive on the channel that Run was given.
func (n *instance) forwardEvents(events <-chan node.Event) {
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
