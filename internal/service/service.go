// Package service puts a node together: the reducer with its module, and the edges on the connections that it is given.
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

// Setup is what a node is made of.
type Setup struct {
	Settings    config.Settings
	Limits      node.Limits
	ClientConns frontend.ConnLimits  // from clients, at most
	Known       discovery.CachedList // the list as this node had it last
	Discovery   string               // where the list comes from
	Start       time.Time            // times of the reducer count from then

	Module    node.Policy
	Listener  net.Listener
	Door      net.Listener // for operators; nil where there is none
	Executors upstream.Dialer
	List      discovery.Dialer
	Log       zerolog.Logger
	Tap       node.Observer // told of every step; nil for nobody

	Heirs string          // the directory by which a new process joins; empty where none can
	Elder net.Conn        // the link to the process that this one takes over from, or nil
	Share func(half bool) // told what the process may use of the node's memory

	Fleet   *Fleet           // nil where the node talks with no others
	Durable *durable.Manager // nil where durable batch jobs are off; it ends with the node
}

// Fleet is what a node is told of the nodes that it talks with.
type Fleet struct {
	cluster.Settings
	gossip.Options
}

// Tracks are the settings' tracks with their names; those beyond the names are the twins for durable batch jobs.
func Tracks(s config.Settings) (all []node.JobClass) {
	for i, t := range s.Policy.JobClasses {
		name := ""
		if n := len(s.Tracks); i < n {
			name = s.Tracks[i]
		} else {
			name = durable.ClassPrefix + s.Tracks[i-n]
		}
		all = append(all, node.JobClass{Name: name, JobClass: t})
	}
	return all
}

// Run runs a node until the context ends and all is answered, or until the front breaks. What else happens to it comes
// by more, which its owner closes, if at all, only after the end.
func Run(ctx context.Context, s Setup, more <-chan node.Event) error {
	loop := node.NewLoop(s.Start)
	loop.Observe = s.Tap
	core := node.New(s.Module, s.Limits, Tracks(s.Settings))
	front := frontend.New(core.JobClasses()[:len(s.Settings.Tracks)], s.ClientConns, loop.Post)
	pool := upstream.New(s.Executors, s.Settings.ReportsLoad(), upstream.ProbeConfig{Path: s.Settings.Probe.Path,
		Timeout: s.Settings.Probe.Timeout, Fields: s.Settings.ReportedValues()}, loop.Post)
	patience := discovery.NewTiming(s.Settings.DrainGrace, !s.Settings.Policy.EndpointsPolled)
	patience.Seed = uint64(s.Settings.Policy.Seed)<<32 | uint64(uint32(s.Settings.Policy.Node))
	watcher := discovery.New(discovery.Names{Zones: s.Settings.Zones, Kinds: s.Settings.Kinds, Start: s.Start}, patience, s.List, loop.Post)
	watcher.Cached = s.Known
	door := admin.New(config.MaxAdminCalls, loop.PostUrgent)
	edges := node.Edges{Discovery: watcher, Admin: door}
	if s.Heirs != "" {
		others := hotrestart.New(s.Heirs, loop.PostUrgent)
		defer others.Close()
		front.AcceptConnections(s.Elder == nil)
		edges.Handoff, edges.LimitMemory = others, s.Share
		others.Start(s.Elder)
	}
	if s.Fleet != nil {
		core.JoinFleet(s.Fleet.Settings)
		others := gossip.New(s.Fleet.Options, loop.Post, s.Log)
		edges.Gossip = others
		among, out := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			others.Run(among)
		}()
		defer func() {
			out()
			<-ended
		}()
	}
	var fromClients node.Frontend = front
	var toExecutors node.Upstream = pool
	if s.Durable != nil {
		fromClients, toExecutors = s.Durable.Start(loop.Post, front, pool)
		front.HandlePrefix(durable.Path, s.Durable)
		loop.Observe = func(now time.Duration, ev node.Event, effects []node.Effect) {
			s.Durable.Observe(now, ev, effects)
			if s.Tap != nil {
				s.Tap(now, ev, effects)
			}
		}
	}

	broken := make(chan error, 1)
	go func() {
		if err := front.Serve(s.Listener); err != nil {
			broken <- fmt.Errorf("listen: %w", err)
			loop.Post(node.FrontendClosed{})
		}
	}()
	watching, enough := context.WithCancel(context.Background())
	defer enough()
	go func() {
		loop.Post(node.EndpointsUpdated{Kind: policy.CachedUpdate, Endpoints: s.Known.Endpoints})
		watcher.Run(watching, s.Discovery)
	}()
	go func() {
		<-ctx.Done()
		front.BeginLameDuck()
		loop.Post(node.ShutdownRequested{})
	}()
	go func() {
		for ev := range more {
			loop.Post(ev)
		}
	}()
	if s.Door != nil {
		go door.Serve(s.Door)
		defer door.Close()
	}
	edges.Frontend, edges.Upstream = fromClients, toExecutors
	loop.Run(core, edges, s.Log)
	front.Stop()
	var err error
	if s.Durable != nil {
		err = s.Durable.Close()
	}
	select {
	case err := <-broken:
		return err
	default:
		return err
	}
}
