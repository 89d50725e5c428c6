package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"birchstair/internal/scaletest"
)

// scaleCmd measures slopes.
type scaleCmd struct {
	Binary    string        `type:"existingfile" default:"bin/birchstair" help:"The node."`
	Against   string        `type:"existingfile" placeholder:"FILE" help:"Another build of the node: each point is measured with both, in turn."`
	Executors []int         `default:"12,100,400,1600,3200" help:"Hollow executors."`
	Of        []int         `default:"1,9" help:"How many nodes the one among them counts itself among: from six on its slice is three in so many."`
	Nodes     []int         `default:"3,9,30,100,300" help:"Nodes that talk."`
	Real      int           `default:"1" help:"Of them, real ones; the others are members without batch jobs."`
	Rungs     []int         `default:"1,16,64" help:"Figures in a message between nodes: classes of batch jobs that earn differently for their work."`
	Rates     []int         `default:"50,200,800" help:"Starts a second at one node."`
	Running   []int         `default:"100,400,800" help:"Tasks at a time at one node, of 4 s each."`
	Queued    []int         `name:"held" default:"100,400,800" help:"Executors, at one node of nine with more tasks of 4 s than it has tokens for."`
	Tenants   []int         `default:"1,75,750" help:"Tenants, with the module alone: the platform's protocol names none."`
	Rounds    int           `default:"3" help:"How often each point is measured, in turn."`
	Skip      []string      `placeholder:"DIM,..." help:"Dimensions that are left out: executors, nodes, rungs, rates, running, held, tenants."`
	At        int           `default:"400" help:"Executors where another dimension is varied."`
	Among     int           `default:"9" help:"Nodes where rungs are varied."`
	Rate      int           `default:"200" help:"Starts a second where another dimension is varied."`
	Work      time.Duration `default:"20ms" help:"That a task takes."`
	Span      time.Duration `default:"3s" help:"That each point is watched idle, and under load."`
	Settle    time.Duration `default:"1s" help:"Before each stretch that counts; under load it opens connections."`
	Sockets   int           `default:"1024" help:"A node's limits.sockets."`
	JSON      string        `name:"json" type:"path" placeholder:"FILE" help:"Write rows and fits there, a line each."`
	Keep      string        `type:"path" placeholder:"DIR" help:"Keep logs and configurations there."`
}

// sweep returns the points to measure.
func (c *scaleCmd) sweep() (scaletest.Sweep, error) {
	s := scaletest.Sweep{Executors: c.Executors, ClusterSizes: c.Of, Nodes: c.Nodes, MaxRealNodes: c.Real, PriorityLevels: c.Rungs, Rates: c.Rates, Concurrency: c.Running, Queueing: c.Queued, Tenants: c.Tenants, Rounds: c.Rounds,
		BaseExecutors: c.At, BaseNodes: c.Among, BaseRate: c.Rate, TaskDuration: c.Work, Window: c.Span, Sockets: c.Sockets, Baseline: c.Against != ""}
	dims := map[string]*[]int{"executors": &s.Executors, "nodes": &s.Nodes, "rungs": &s.PriorityLevels, "rates": &s.Rates, "running": &s.Concurrency, "held": &s.Queueing, "tenants": &s.Tenants}
	for _, name := range c.Skip {
		if dims[name] == nil {
			return s, fmt.Errorf("--skip: %q is none of %s", name, strings.Join(slices.Sorted(maps.Keys(dims)), ", "))
		}
		*dims[name] = nil
	}
	return s, s.Check()
}

// Run measures all points and prints them, and what follows from them.
func (c *scaleCmd) Run() (err error) {
	s, err := c.sweep()
	if err != nil {
		return err
	}
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.Keep == "" {
		if o.Dir, err = os.MkdirTemp("", "birchstair-sim-scale-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(o.Dir)) }()
		removeOnSignal(o.Dir)
	}
	fmt.Printf("all points take about %v\n", s.EstimatedTime().Round(10*time.Second))
	var rows []scaletest.Row
	wrong := 0
	var failed error
	write := func(v any) {
		if c.JSON != "" && failed == nil {
			failed = appendLine(c.JSON, v)
		}
	}
	if err := s.Run(o, func(r scaletest.Row) {
		fmt.Println(r)
		rows, wrong = append(rows, r), wrong+len(r.Violations)
		write(r)
	}); err != nil {
		return err
	}
	printFits(rows, write)
	if failed == nil && wrong > 0 {
		failed = errViolation
	}
	return failed
}

// options returns the options of a measurement but for its directory, unless it is kept.
func (c *scaleCmd) options() (o scaletest.Options, err error) {
	o = scaletest.Options{Settle: c.Settle, Dir: c.Keep}
	if o.Binary, err = filepath.Abs(c.Binary); err != nil {
		return o, err
	}
	if c.Against != "" {
		if o.BaselineBinary, err = filepath.Abs(c.Against); err != nil {
			return o, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return o, err
	}
	o.StubCommand = []string{self}
	return o, nil
}

// removeOnSignal removes a directory and ends the program when it is interrupted. All processes that it started end with
// it.
func removeOnSignal(dir string) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "birchstair-sim:", err)
		}
		os.Exit(2)
	}()
}

// printFits prints the slopes that differ from none, and writes all.
func printFits(rows []scaletest.Row, write func(any)) {
	flat := 0
	for _, f := range scaletest.Fits(rows) {
		write(f)
		if f.Flat {
			flat++
		} else {
			fmt.Println(f)
		}
	}
	fmt.Printf("%d further slopes are within twice their spread of none\n", flat)
}
