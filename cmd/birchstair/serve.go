package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"birchstair/internal/cluster"
	"birchstair/internal/config"
	"birchstair/internal/durable"
	"birchstair/internal/frontend"
	"birchstair/internal/gossip"
	"birchstair/internal/hotrestart"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/reload"
	"birchstair/internal/service"
	"birchstair/internal/site"
	"birchstair/internal/store"
	"birchstair/internal/upstream"
	"birchstair/policy"
)

const (
	// logBuffer is how many log lines may wait to be written; lines beyond that are dropped and counted.
	logBuffer = 1000
	// maxSendDelay is how long an attempt may take from its decision to its first byte.
	maxSendDelay = 100 * time.Millisecond
)

type serveCmd struct {
	Site string `type:"path" placeholder:"FILE" help:"The operator's own file: what is beyond the platform's configuration."`
}

// Run runs a node until SIGTERM or SIGINT, and reloads its configuration on SIGHUP.
func (c serveCmd) Run() (err error) {
	start := time.Now()
	read := func() (nodeConfig, error) { return readNodeConfig(os.Getenv, start) }
	conf, err := read()
	if err != nil {
		return err
	}
	// The reducer logs and must not wait for standard error.
	out := diode.NewWriter(unclosable{os.Stderr}, logBuffer, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "%d lines of the log were left out\n", missed)
	})
	defer func() { err = errors.Join(err, out.Close()) }()
	log := zerolog.New(out).With().Timestamp().Str("node", conf.Name).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log) // net/http logs there
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	own, err := readSite(c.Site, conf)
	if err != nil {
		return err
	}
	return serve(ctx, conf, own, reload.Requests(), read, start, log)
}

// unclosable hides the Close of a writer: standard error is still written to after the log is closed.
type unclosable struct{ io.Writer }

// serve runs a node until the context ends and all batch jobs are answered. On each value of reloads it reads its
// configuration again by read.
func serve(ctx context.Context, conf nodeConfig, own site.Config, reloads <-chan os.Signal, read func() (nodeConfig, error),
	start time.Time, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	limitMemory(conf.MemoryBytes, false)
	listener, err := listen(conf)
	if err != nil {
		return err // it names the address
	}
	o := service.Options{
		DiscoveryAddr:   conf.Discovery,
		CachedEndpoints: conf.cached,
		StartTime:       start,
		Listener:        listener,
		DialExecutor:    upstream.TCP(conf.Settings.DialTimeout),
		Log:             log,
		HandoffDir:      conf.SharedDir,
		Predecessor:     dialPredecessor(conf.SharedDir, log),
		LimitMemory:     func(half bool) { limitMemory(conf.MemoryBytes, half) },
	}
	if err := addParts(&o, &conf, own); err != nil {
		listener.Close()
		return err
	}
	o.Settings = conf.Settings
	o.Policy = policy.New(conf.Settings.Policy)
	addLimits(&o, conf)
	events := make(chan node.Event)
	go func() {
		for range reloads {
			events <- reloadConfig(&conf, own, read)
		}
	}()
	log.Info().Str("listen", conf.Listen).Int("known", len(conf.cached.Endpoints)).Int("clients", o.ClientLimits.Max).
		Int("executors", o.Limits.MaxConns).Msg("node started")
	return service.Run(ctx, o, events)
}

// limitMemory sets the soft limit of Go's memory to three quarters of what the node may use, or to half of that while
// another process of the node lives.
func limitMemory(bytes int64, half bool) {
	processes := int64(1)
	if half {
		processes = 2
	}
	debug.SetMemoryLimit(bytes * 3 / 4 / processes)
}

// dialPredecessor connects to the process of this node that runs already. It returns nil where there is none.
func dialPredecessor(dir string, log zerolog.Logger) net.Conn {
	if dir == "" {
		return nil
	}
	predecessor, err := hotrestart.Dial(dir)
	if err != nil {
		log.Info().Str("because", err.Error()).Msg("handoff: no predecessor found")
		return nil
	}
	return predecessor
}

// addParts adds the parts that the configuration and the operator's own file turn on, and changes the policy's settings
// by them.
func addParts(o *service.Options, conf *nodeConfig, own site.Config) (err error) {
	if conf.AdminAddr != "" {
		if o.AdminListener, err = net.Listen("tcp", conf.AdminAddr); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	conf.reservePeerDescriptors(own)
	p := &conf.Settings.Policy
	p.MayLease = conf.Settings.MayGossip && own.Cluster != nil // leases are agreed on by gossip
	if own.Durable != nil {
		if o.Durable, err = openDurable(own.Durable, *conf, o.Log); err != nil {
			return err
		}
		*p = durable.AddClasses(*p, time.Duration(own.Durable.MaxDeadline))
		p.MayHedge = false // an executor's lease on a job is exclusive
	}
	o.Cluster, err = clusterOptions(own.Cluster, *conf, o.StartTime)
	return err
}

// addLimits adds the node's limits.
func addLimits(o *service.Options, conf nodeConfig) {
	clients, executors := conf.ConnLimits()
	clientsShared, executorsShared := conf.HandoffConnLimits()
	s := &conf.Settings
	o.ClientLimits = frontend.ConnLimits{Max: clients, MaxShared: clientsShared}
	o.Limits = node.Limits{
		Quantum:         s.Policy.Quantum,
		MaxIdle:         s.IdleTimeout * 4 / 5,
		DialTimeout:     s.DialTimeout,
		MaxConns:        executors,
		MaxConnsShared:  executorsShared,
		SlowStartWindow: s.Policy.OverloadWindow + maxSendDelay,
		MaxBodyBytes:    int(conf.MemoryBytes / 4),
		RetryAfter:      s.Policy.MaxRetryAfter,
		MaxWork:         conf.MaxWork(),
		LameDuckPeriod:  config.LameDuckPeriod,
		ShutdownTimeout: conf.ShutdownTimeout(),
	}
}

// openDurable opens the store of durable batch jobs.
func openDurable(own *site.Durable, conf nodeConfig, log zerolog.Logger) (*durable.Manager, error) {
	s, err := store.Open(store.Directory(own.Dir), store.Options{SegmentBytes: int64(own.SegmentSize), MaxBytes: int64(own.MaxSize)})
	if err != nil {
		return nil, fmt.Errorf("durable.dir: %w", err)
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return upstream.TCP(conf.Settings.DialTimeout)(ctx, 0, addr)
	}
	o := durable.Options{
		MaxDeadline: time.Duration(own.MaxDeadline),
		Leases: leases.Settings{
			MaxDispatched:  own.MaxConcurrent,
			AnswerTTL:      time.Duration(own.Retention),
			QueryExecutors: own.ExecutorLeases,
			QueryInterval:  time.Duration(own.PollInterval),
		},
	}
	return durable.New(o, s, conf.Settings.JobClassNames, conf.Settings.Policy.JobClasses, dial, log), nil
}

// clusterOptions returns how the node gossips with others; nil where the operator's own file does not turn that on.
func clusterOptions(own *site.Cluster, conf nodeConfig, start time.Time) (*service.Cluster, error) {
	if own == nil {
		return nil, nil
	}
	name := cluster.NodeName(cmp.Or(own.Name, conf.Name))
	s := cluster.Defaults(name, uint64(start.UnixMilli()), conf.Settings.Policy.Seed)
	s.GossipInterval = time.Duration(own.GossipInterval)
	s.Fanout = own.Fanout
	s.PeerStateTTL = time.Duration(own.PeerStateTTL)
	s.DrainTTL = time.Duration(own.DrainTTL)
	o, err := gossip.ParseOptions(name, policy.NodeID(conf.Settings.Policy.Node), own.Listen, own.Advertise, own.Seeds)
	return &service.Cluster{Settings: s, Options: o}, err
}

// reloadConfig reads the configuration again. One that a start would refuse changes nothing; changes that need a restart
// are named in the event.
func reloadConfig(conf *nodeConfig, own site.Config, read func() (nodeConfig, error)) node.ConfigReloaded {
	next, err := read()
	if err == nil {
		err = conf.MissingKey(&next.Config)
	}
	if err != nil {
		return node.ConfigReloaded{Detail: err.Error()}
	}
	needRestart := conf.RestartKeys(next.Config)
	if own.Durable != nil {
		next.Settings.Policy = durable.AddClasses(next.Settings.Policy, time.Duration(own.Durable.MaxDeadline))
	}
	return node.ConfigReloaded{
		Discovery:       next.Discovery,
		NeedRestart:     needRestart,
		Classes:         service.JobClasses(next.Settings),
		MaxWork:         next.MaxWork(),
		ShutdownTimeout: next.ShutdownTimeout(),
	}
}
