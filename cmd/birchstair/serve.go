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
func serve(ctx context.Context, c told, own site.Site, again <-chan os.Signal, read func() (told, error), start time.Time,
	log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	share := func(half bool) {
		parts := int64(1)
		if half {
			parts = 2
		}
		debug.SetMemoryLimit(c.Memory * 3 / 4 / parts)
	}
	share(false)
	listener, err := listen(c)
	if err != nil {
		return err // it names the address
	}
	var elder net.Conn
	if c.Shared != "" {
		if elder, err = hotrestart.Join(c.Shared); err != nil {
			log.Info().Str("because", err.Error()).Msg("no older process of this node is joined")
			elder = nil
		}
	}
	var door net.Listener
	if c.Management != "" {
		if door, err = net.Listen("tcp", c.Management); err != nil {
			listener.Close()
			return fmt.Errorf("management: %w", err)
		}
	}

	c.setAside(own)
	fromClients, toExecutors := c.Descriptors()
	fromFewer, toFewer := c.HalfDescriptors()
	p := c.Settings.Policy
	p.MayLease = c.Settings.Peers && own.Fleet != nil // else nobody carries words
	c.Settings.Policy = p
	var lasting *durable.Durable
	if own.Durable != nil {
		if lasting, err = openDurable(own.Durable, c, log); err != nil {
			listener.Close()
			return err
		}
		p = durable.Tracks(p, time.Duration(own.Durable.OuterLimit))
		p.MayHedge = false // a lease is one executor's
		c.Settings.Policy = p
	}
	talks, err := fleetOf(own.Fleet, c, start)
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
	log.Info().Str("listen", c.Listen).Int("known", len(c.known.Executors)).Int("clients", fromClients).
		Int("executors", toExecutors).Msg("the node is up")
	return service.Run(ctx, service.Setup{Settings: c.Settings, ClientConns: frontend.ConnLimits{Max: fromClients, MaxShared: fromFewer}, Known: c.known, Discovery: c.Discovery,
		Start: start, Module: policy.New(p), Listener: listener, Door: door, Heirs: c.Shared, Elder: elder, Share: share, Durable: lasting, Fleet: talks, Executors: upstream.TCP(c.Settings.DialLimit), Log: log,
		Limits: node.Limits{Quantum: p.Quantum, MaxIdle: c.Settings.IdleLimit * 4 / 5, DialTimeout: c.Settings.DialLimit,
			MaxConns: toExecutors, MaxConnsShared: toFewer, SlowStartWindow: p.OverloadWindow + coldSlack, MaxBodyBytes: int(c.Memory / 4), RetryAfter: p.MaxRetryAfter,
			MaxWork: c.LongestWork(), LameDuckPeriod: config.StopSpell, ShutdownTimeout: c.StopLimit()}}, more)
}

// setAside keeps descriptors for what the operator's own file turns on.
func (t *told) setAside(own site.Site) {
	if own.Fleet != nil {
		t.Neighbours = gossip.Descriptors
	}
}

// coldSlack is how long an allocation may be on its way after it was decided on.
const coldSlack = 100 * time.Millisecond

// acceptSpell is how long an accept may block where it should not block at all.
const acceptSpell = 50 * time.Millisecond

// listen takes the socket that the process was given, or makes its own.
func listen(c told) (net.Listener, error) {
	if c.ListenOn == 0 {
		return net.Listen("tcp", c.Listen)
	}
	given := os.NewFile(uintptr(c.ListenOn), "ROUTER_LISTEN_FD")
	defer given.Close() //nolint:errcheck // the listener has a descriptor of its own
	// Who else holds the socket may have made it blocking: whether it is belongs to all. Guards against a thread that
	// waits in accept for good and takes one more connection when this process takes none any more.
	if err := syscall.SetsockoptTimeval(c.ListenOn, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Usec: int64(acceptSpell / time.Microsecond)}); err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket: %w", c.ListenOn, err)
	}
	l, err := net.FileListener(given)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_LISTEN_FD: %d is no socket that listens: %w", c.ListenOn, err)
	}
	return l, nil
}

// openDurable opens the store of durable batch jobs.
func openDurable(own *site.Durable, c told, log zerolog.Logger) (*durable.Durable, error) {
	s, err := store.Open(store.Directory(own.Dir), store.Options{Segment: int64(own.Segment), Most: int64(own.Most)})
	if err != nil {
		return nil, fmt.Errorf("durable.dir: %w", err)
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return upstream.TCP(c.Settings.DialLimit)(ctx, 0, addr)
	}
	return durable.New(durable.Options{OuterLimit: time.Duration(own.OuterLimit), Leases: leases.Settings{Room: own.InHand,
		Keep: time.Duration(own.Keep), Leases: own.Leases, AskEvery: time.Duration(own.AskEvery)}}, s, c.Settings.Tracks, c.Settings.Policy.JobClasses, dial, log), nil
}

// fleetOf is what the node is told of its fleet; nil without the table.
func fleetOf(own *site.Fleet, c told, start time.Time) (*service.Fleet, error) {
	if own == nil {
		return nil, nil
	}
	name := cluster.NodeName(cmp.Or(own.Name, c.Name))
	s := cluster.Defaults(name, uint64(start.UnixMilli()), c.Settings.Policy.Seed)
	s.GossipInterval, s.Fanout, s.PeerStateTTL, s.DrainTTL = time.Duration(own.Every), own.Tell, time.Duration(own.ViewFor), time.Duration(own.DrainFor)
	o, err := gossip.Parse(name, policy.NodeID(c.Settings.Policy.Node), own.Listen, own.Advertise, own.Seeds)
	return &service.Fleet{Settings: s, Options: o}, err
}

// reread reads the configuration anew, whole: what would not do for a start changes nothing.
func reread(c *told, own site.Site, read func() (told, error)) node.ConfigReloaded {
	t, err := read()
	if err == nil {
		err = c.Lacks(&t.Config)
	}
	if err != nil {
		return node.ConfigReloaded{Detail: err.Error()}
	}
	waits := c.Waits(t.Config)
	if own.Durable != nil {
		t.Settings.Policy = durable.Tracks(t.Settings.Policy, time.Duration(own.Durable.OuterLimit))
	}
	return node.ConfigReloaded{Discovery: t.Discovery, NeedRestart: waits, Classes: service.Tracks(t.Settings), MaxWork: t.LongestWork(), ShutdownTimeout: t.StopLimit()}
}
