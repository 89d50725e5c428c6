// Birchstair is a node: it takes batch jobs from clients and pushes them to executors.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/reload"
	"birchstair/internal/site"
)

const version = "0.1.0"

var commands struct {
	Serve   serveCmd   `cmd:"" help:"Take batch jobs until told to stop by SIGTERM."`
	Config  configCmd  `cmd:"" help:"Work with the configuration."`
	Ops     opsCmd     `cmd:"" help:"Call at a running node's door for operators."`
	Store   storeCmd   `cmd:"" help:"Look after the records of durable batch jobs, while no node uses them."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type configCmd struct {
	Check checkCmd `cmd:"" help:"Read the configuration and say what is wrong with it."`
}

type (
	serveCmd struct {
		Site string `type:"path" placeholder:"FILE" help:"The operator's own file: what is beyond the platform's configuration."`
	}
	checkCmd struct {
		Site string `type:"path" placeholder:"FILE" help:"The operator's own file, checked as well."`
	}
	versionCmd struct{}
)

func main() {
	c := kong.Parse(&commands, kong.Name("birchstair"), kong.Description(
		"A dispatcher that pushes batch jobs to executors. ROUTER_CONFIG names its configuration file."))
	if c.Command() != "serve" {
		reload.RestoreDefault()
	}
	if err := c.Run(&commands.Ops, commandName(c.Selected().Name)); err != nil {
		fmt.Fprintln(os.Stderr, "birchstair:", err)
		os.Exit(1)
	}
}

func (c serveCmd) Run() (err error) {
	start := time.Now()
	read := func() (told, error) { return readTold(os.Getenv, start) }
	t, err := read()
	if err != nil {
		return err
	}
	// The reducer writes to the log and must not wait for it: lines that find no room are counted instead.
	out := diode.NewWriter(onlyWriter{os.Stderr}, 1000, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "%d lines of the log were left out\n", missed)
	})
	defer func() { err = errors.Join(err, out.Close()) }()
	log := zerolog.New(out).With().Timestamp().Str("node", t.Name).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log) // what the standard library has to say of connections
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	own, err := readSite(c.Site, t)
	if err != nil {
		return err
	}
	return serve(ctx, t, own, reload.Requests(), read, start, log)
}

// onlyWriter keeps the log's end from closing what it writes to: a last word may follow.
type onlyWriter struct{ io.Writer }

func (own checkCmd) Run() error {
	c, err := readTold(os.Getenv, time.Now())
	if err != nil {
		return err
	}
	s, err := readSite(own.Site, c)
	if err != nil {
		return err
	}
	onOff := map[bool]string{true: "on", false: "off"}
	if own.Site != "" {
		fmt.Printf("%s is sound: durable batch jobs are %s, nodes that talk are %s\n", own.Site, onOff[s.Durable != nil], onOff[s.Cluster != nil])
	}
	c.setAside(s)
	clients, executors := c.ConnLimits()
	fmt.Printf("%s is sound: %d tracks, at most %d connections from clients and %d to executors\n",
		os.Getenv("ROUTER_CONFIG"), len(c.Settings.Tracks), clients, executors)
	probes := "off"
	if c.Settings.Policy.MayProbe {
		probes = fmt.Sprintf("by GET %s within %v", c.Settings.Probe.Path, c.Settings.Probe.Timeout)
	}
	fmt.Printf("probes are %s; second copies of repeatable batch jobs are %s; marks of clients' repeats are %s\n", probes,
		onOff[c.Settings.Policy.MayHedge && s.Durable == nil], map[bool]string{true: "taken", false: "passed over"}[c.Settings.Policy.ClientsMarkRetries])
	return nil
}

func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("built without its version")
	}
	built := version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			built += " of " + s.Value
		}
	}
	fmt.Println("birchstair", built, "built with", info.GoVersion)
	return nil
}

// told is all that a node is told: its configuration, and the list as it had it last.
type told struct {
	config.Config
	names discovery.Names
	known discovery.CachedList
}

// readSite reads the operator's own file, for that configuration.
func readSite(name string, t told) (site.Config, error) {
	s, err := site.Read(name)
	if err == nil {
		err = s.FitsMemory(t.MemoryBytes)
	}
	return s, err
}

func readTold(env func(string) string, start time.Time) (t told, err error) {
	if t.Config, err = config.Read(env); err != nil {
		return t, err
	}
	t.names = discovery.Names{Zones: t.Settings.Zones, Kinds: t.Settings.Kinds, Start: start}
	t.known, err = t.names.DecodeCached(t.CachedEndpoints)
	return t, err
}
