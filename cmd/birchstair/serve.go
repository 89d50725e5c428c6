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
	// logBuffer is the largest number of log lines that wait to be written. Lines beyond that are dropped and counted.
	logBuffer = 1000
	// maxSendDelay is the longest time from the decision to send an attempt until the attempt's first byte is written.
	maxSendDelay = 100 * time.Millisecond
	// The node's memory is divided by usedIDsMemoryDivisor to get the memory for the IDs of jobs that may have run.
	usedIDsMemoryDivisor = 64
	// usedIDBytes is the memory that a remembered ID takes, in bytes: an entry of a map and one of a list.
	usedIDBytes = 128
)

// serveCmd runs a node.
type serveCmd struct {
	Site string `type:"path" placeholder:"FILE" help:"The operator's site file (TOML). It enables gossip and durable batch jobs, which the configuration file written by the platform does not cover."`
}

// Run runs a node until SIGTERM or SIGINT, and reloads its configuration on SIGHUP.
func (c serveCmd) Run() (err error) {
	start := time.Now()
	read := func() (nodeConfig, error) { return readNodeConfig(os.Getenv, start) }
	conf, err := read()
	if err != nil {
		return err
	}
	// The event loop writes log lines and must not block on standard error, so the lines are buffered.
	out := diode.NewWriter(unclosable{os.Stderr}, logBuffer, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "%d lines of the log were left out\n", missed)
	})
	defer func() { err = errors.Join(err, out.Close()) }()
	log := zerolog.New(out).With().Timestamp().Str("node", conf.Name).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log) // net/http logs to the standard logger
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	siteConfig, err := readSite(c.Site, conf)
	if err != nil {
		return err
	}
	return serve(ctx, conf, siteConfig, reload.Requests(), read, start, log)
}

// unclosable hides the Close method of a writer, so that standard error stays open after the log is closed.
type unclosable struct{ io.Writer }

// serve runs a node until the context has ended and all batch jobs are answered. For each value from reloads, it calls read and
// applies the configuration that read returns.
func serve(ctx context.Context, conf nodeConfig, siteConfig site.Config, reloads <-chan os.Signal, read func() (nodeConfig, error),
	start time.Time, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	limitMemory(conf.MemoryBytes, false)
	listener, err := listen(conf)
	if err != nil {
		return err // returned unwrapped, because the error already names the address
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
	if err := addParts(&o, &conf, siteConfig); err != nil {
		listener.Close()
		return err
	}
	o.Settings = conf.Settings
	o.Policy = policy.New(conf.Settings.Policy)
	addLimits(&o, conf)
	events := make(chan node.Event)
	go func() {
		for range reloads {
			events <- reloadConfig(&conf, siteConfig, read)
		}
	}()
	log.Info().Str("listen", conf.Listen).Int("known", len(conf.cached.Endpoints)).Int("clients", o.ClientLimits.Max).
		Int("executors", o.Limits.MaxConns).Msg("node started")
	return service.Run(ctx, o, events)
}

// limitMemory sets the Go runtime's soft memory limit to three quarters of the memory that the node is allowed to use. If half is
// set, the limit is half as high, because another process of the node is running.
func limitMemory(bytes int64, half bool) {
	processes := int64(1)
	if half {
		processes = 2
	}
	debug.SetMemoryLimit(bytes * 3 / 4 / processes)
}

// dialPredecessor connects to a process of this node that is already running. It returns nil if there is no such process, or if
// dir is empty.
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

// addParts adds the parts of the node that the configuration and the site file turn on, and adapts the policy's settings to these
// parts.
func addParts(o *service.Options, conf *nodeConfig, siteConfig site.Config) (err error) {
	if conf.AdminAddr != "" {
		if o.AdminListener, err = net.Listen("tcp", conf.AdminAddr); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	conf.reservePeerDescriptors(siteConfig)
	p := &conf.Settings.Policy
	p.MayLease = conf.Settings.MayGossip && siteConfig.Cluster != nil // nodes agree on leases by gossip
	if siteConfig.Durable != nil {
		if o.Durable, err = openDurable(siteConfig.Durable, *conf, o.Log); err != nil {
			return err
		}
		*p = durable.AddClasses(*p, time.Duration(siteConfig.Durable.MaxDeadline))
		p.MayHedge = false // hedging is off, because an executor's lease on a job is exclusive
	}
	o.Cluster, err = clusterOptions(siteConfig.Cluster, *conf, o.StartTime)
	return err
}

// addLimits sets the limits in o from the configuration.
func addLimits(o *service.Options, conf nodeConfig) {
	clients, executors := conf.ConnLimits()
	clientsShared, executorsShared := conf.HandoffConnLimits()
	s := &conf.Settings
	o.ClientLimits = frontend.ConnLimits{Max: clients, MaxShared: clientsShared, MemoryBytes: conf.MemoryBytes}
	o.Limits = node.Limits{
		Quantum:         s.Policy.Quantum,
		MaxIdle:         s.IdleTimeout * 4 / 5,
		DialTimeout:     s.DialTimeout,
		MaxConns:        executors,
		MaxConnsShared:  executorsShared,
		SlowStartWindow: s.Policy.OverloadWindow + maxSendDelay,
		MaxBodyBytes:    int(conf.MemoryBytes / 4),
		MaxUsedIDs:      int(conf.MemoryBytes / usedIDsMemoryDivisor / usedIDBytes),
		RetryAfter:      s.Policy.MaxRetryAfter,
		MaxWork:         conf.MaxWork(),
		LameDuckPeriod:  config.LameDuckPeriod,
		ShutdownTimeout: conf.ShutdownTimeout(),
	}
}

// openDurable opens the store of durable batch jobs and returns the manager of these jobs.
func openDurable(settings *site.Durable, conf nodeConfig, log zerolog.Logger) (*durable.Manager, error) {
	s, err := store.Open(store.Directory(settings.Dir),
		store.Options{SegmentBytes: int64(settings.SegmentSize), MaxBytes: int64(settings.MaxSize)})
	if err != nil {
		return nil, fmt.Errorf("durable.dir: %w", err)
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return upstream.TCP(conf.Settings.DialTimeout)(ctx, 0, addr)
	}
	o := durable.Options{
		MaxDeadline: time.Duration(settings.MaxDeadline),
		Leases: leases.Settings{
			MaxDispatched:  settings.MaxConcurrent,
			AnswerTTL:      time.Duration(settings.Retention),
			QueryExecutors: settings.ExecutorLeases,
			QueryInterval:  time.Duration(settings.PollInterval),
		},
	}
	return durable.New(o, s, conf.Settings.JobClassNames, conf.Settings.Policy.JobClasses, dial, log), nil
}

// clusterOptions returns the settings for gossip with other nodes, or nil if the site file does not turn gossip on.
func clusterOptions(settings *site.Cluster, conf nodeConfig, start time.Time) (*service.Cluster, error) {
	if settings == nil {
		return nil, nil
	}
	name := cluster.NodeName(cmp.Or(settings.Name, conf.Name))
	s := cluster.Defaults(name, uint64(start.UnixMilli()), conf.Settings.Policy.Seed)
	s.GossipInterval = time.Duration(settings.GossipInterval)
	s.Fanout = settings.Fanout
	s.PeerStateTTL = time.Duration(settings.PeerStateTTL)
	s.DrainTTL = time.Duration(settings.DrainTTL)
	o, err := gossip.ParseOptions(name, policy.NodeID(conf.Settings.Policy.Node), settings.Listen, settings.Advertise, settings.Seeds)
	return &service.Cluster{Settings: s, Options: o}, err
}

// reloadConfig reads the configuration again and returns the event that applies it. If the configuration can't be read or lacks a
// key that conf has, the event only reports the error. Otherwise it also names the changed settings that need a restart.
func reloadConfig(conf *nodeConfig, siteConfig site.Config, read func() (nodeConfig, error)) node.ConfigReloaded {
	next, err := read()
	if err == nil {
		err = conf.MissingKey(&next.Config)
	}
	if err != nil {
		return node.ConfigReloaded{Detail: err.Error()}
	}
	needRestart := conf.RestartKeys(next.Config)
	if siteConfig.Durable != nil {
		next.Settings.Policy = durable.AddClasses(next.Settings.Policy, time.Duration(siteConfig.Durable.MaxDeadline))
	}
	return node.ConfigReloaded{
		Discovery:       next.Discovery,
		NeedRestart:     needRestart,
		Classes:         service.JobClasses(next.Settings),
		MaxWork:         next.MaxWork(),
		ShutdownTimeout: next.ShutdownTimeout(),
	}
}
