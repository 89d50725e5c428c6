package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/config"
	"birchstair/internal/durable"
	"birchstair/internal/frontend"
	"birchstair/internal/gossip"
	"birchstair/internal/hotrestart"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/internal/site"
	"birchstair/internal/store"
	"birchstair/internal/upstream"
	"birchstair/policy"
)

// serve puts a node together and runs it until the context ends and all is answered. Each time again brings
// something, the configuration is read anew.
func serve(ctx context.Context, c told, own site.Config, again <-chan os.Signal, read func() (told, error), start time.Time,
	log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	share := func(half bool) {
		parts := int64(1)
		if half {
			parts = 2
		}
		debug.SetMemoryLimit(c.MemoryBytes * 3 / 4 / parts)
	}
	share(false)
	listener, err := listen(c)
	if err != nil {
		return err // it names the address
	}
	var elder net.Conn
	if c.SharedDir != "" {
		if elder, err = hotrestart.Dial(c.SharedDir); err != nil {
			log.Info().Str("because", err.Error()).Msg("no older process of this node is joined")
			elder = nil
		}
	}
	var door net.Listener
	if c.AdminAddr != "" {
		if door, err = net.Listen("tcp", c.AdminAddr); err != nil {
			listener.Close()
			return fmt.Errorf("management: %w", err)
		}
	}

	c.setAside(own)
	fromClients, toExecutors := c.ConnLimits()
	fromFewer, toFewer := c.HandoffConnLimits()
	p := c.Settings.Policy
	p.MayLease = c.Settings.MayGossip && own.Cluster != nil // else nobody carries words
	c.Settings.Policy = p
	var lasting *durable.Manager
	if own.Durable != nil {
		if lasting, err = openDurable(own.Durable, c, log); err != nil {
			listener.Close()
			return err
		}
		p = durable.AddClasses(p, time.Duration(own.Durable.MaxDeadline))
		p.MayHedge = false // a lease is one executor's
		c.Settings.Policy = p
	}
	talks, err := fleetOf(own.Cluster, c, start)
	if err != nil {
		listener.Close()
		return err
	}
	more := make(chan node.Event)
	go func() {
		for range again {
			more <- reread(&c, own, read)
		}
	}()
	log.Info().Str("listen", c.Listen).Int("known", len(c.known.Endpoints)).Int("clients", fromClients).
		Int("executors", toExecutors).Msg("the node is up")
	return service.Run(ctx, service.Options{Settings: c.Settings, ClientLimits: frontend.ConnLimits{Max: fromClients, MaxShared: fromFewer}, CachedEndpoints: c.known, DiscoveryAddr: c.Discovery,
		StartTime: start, Policy: policy.New(p), Listener: listener, AdminListener: door, HandoffDir: c.SharedDir, Predecessor: elder, LimitMemory: share, Durable: lasting, Cluster: talks, DialExecutor: upstream.TCP(c.Settings.DialTimeout), Log: log,
		Limits: node.Limits{Quantum: p.Quantum, MaxIdle: c.Settings.IdleTimeout * 4 / 5, DialTimeout: c.Settings.DialTimeout,
			MaxConns: toExecutors, MaxConnsShared: toFewer, SlowStartWindow: p.OverloadWindow + coldSlack, MaxBodyBytes: int(c.MemoryBytes / 4), RetryAfter: p.MaxRetryAfter,
			MaxWork: c.MaxWork(), LameDuckPeriod: config.LameDuckPeriod, ShutdownTimeout: c.ShutdownTimeout()}}, more)
}

// setAside keeps descriptors for what the operator's own file turns on.
func (t *told) setAside(own site.Config) {
	if own.Cluster != nil {
		t.PeerDescriptors = gossip.MaxDescriptors
	}
}

// coldSlack is how long an allocation may be on its way after it was decided on.
const coldSlack = 100 * time.Millisecond

// acceptSpell is how long an accept may block where it should not block at all.
const acceptSpell = 50 * time.Millisecond

// listen takes the socket that the process was given, or makes its own.
func listen(c told) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	given := os.NewFile(uintptr(c.ListenFD), "ROUTER_LISTEN_FD")
	defer given.Close() //nolint:errcheck // the listener has a descriptor of its own
	// Who else holds the socket may have made it blocking: whether it is belongs to all. Guards against a thread that
	// waits in accept for good and takes one more connection when this process takes none any more.
	if err := syscall.SetsockoptTimeval(c.ListenFD, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Usec: int64(acceptSpell / time.Microsecond)}); err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket: %w", c.ListenFD, err)
	}
	l, err := net.FileListener(given)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket that listens: %w", c.ListenFD, err)
	}
	return l, nil
}

// openDurable opens the store of durable batch jobs.
func openDurable(own *site.Durable, c told, log zerolog.Logger) (*durable.Manager, error) {
	s, err := store.Open(store.Directory(own.Dir), store.Options{Segment: int64(own.SegmentSize), Most: int64(own.MaxSize)})
	if err != nil {
		return nil, fmt.Errorf("durable.dir: %w", err)
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return upstream.TCP(c.Settings.DialTimeout)(ctx, 0, addr)
	}
	return durable.New(durable.Options{MaxDeadline: time.Duration(own.MaxDeadline), Leases: leases.Settings{Room: own.MaxConcurrent,
		Keep: time.Duration(own.Retention), Leases: own.ExecutorLeases, AskEvery: time.Duration(own.PollInterval)}}, s, c.Settings.Tracks, c.Settings.Policy.JobClasses, dial, log), nil
}

// fleetOf is what the node is told of its fleet; nil without the table.
func fleetOf(own *site.Cluster, c told, start time.Time) (*service.Cluster, error) {
	if own == nil {
		return nil, nil
	}
	name := cluster.NodeName(cmp.Or(own.Name, c.Name))
	s := cluster.Defaults(name, uint64(start.UnixMilli()), c.Settings.Policy.Seed)
	s.GossipInterval, s.Fanout, s.PeerStateTTL, s.DrainTTL = time.Duration(own.GossipInterval), own.Fanout, time.Duration(own.PeerStateTTL), time.Duration(own.DrainTTL)
	o, err := gossip.ParseOptions(name, policy.NodeID(c.Settings.Policy.Node), own.Listen, own.Advertise, own.Seeds)
	return &service.Cluster{Settings: s, Options: o}, err
}

// reread reads the configuration anew, whole: what would not do for a start changes nothing.
func reread(c *told, own site.Config, read func() (told, error)) node.ConfigReloaded {
	t, err := read()
	if err == nil {
		err = c.MissingKey(&t.Config)
	}
	if err != nil {
		return node.ConfigReloaded{Detail: err.Error()}
	}
	waits := c.RestartKeys(t.Config)
	if own.Durable != nil {
		t.Settings.Policy = durable.AddClasses(t.Settings.Policy, time.Duration(own.Durable.MaxDeadline))
	}
	return node.ConfigReloaded{Discovery: t.Discovery, NeedRestart: waits, Classes: service.JobClasses(t.Settings), MaxWork: t.MaxWork(), ShutdownTimeout: t.ShutdownTimeout()}
}
