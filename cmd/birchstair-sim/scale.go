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

// scaleCmd measures the cost of a node at several values of each dimension, such as the number of executors. It fits
// the slope of the cost over each dimension.
type scaleCmd struct {
	Binary    string        `type:"existingfile" default:"bin/birchstair" help:"Path of the birchstair program."`
	Against   string        `type:"existingfile" placeholder:"FILE" help:"Another build of the program. Each point is measured with both builds, in turn."`
	Executors []int         `default:"12,100,400,1600,3200" help:"Numbers of emulated executors."`
	Of        []int         `default:"1,9" help:"Cluster sizes N to measure with a single real node, which is told that it is one of N. From N = 6 on, its subset has 3/N of the executors."`
	Nodes     []int         `default:"3,9,30,100,300" help:"Numbers of nodes that gossip."`
	Real      int           `default:"1" help:"Number of real nodes among them. The others are emulated and have no batch jobs."`
	Rungs     []int         `default:"1,16,64" help:"Numbers of priority levels in a gossip message, which are job classes of different value density."`
	Rates     []int         `default:"50,200,800" help:"Numbers of jobs started per second at one node."`
	Running   []int         `default:"100,400,800" help:"Numbers of simultaneous jobs of 4 s at one node."`
	Queued    []int         `name:"held" default:"100,400,800" help:"Numbers of executors, at one node of nine that has more jobs of 4 s than tokens."`
	Tenants   []int         `default:"1,75,750" help:"Numbers of tenants. Measured with the policy alone, as the platform's protocol has no tenants."`
	Rounds    int           `default:"3" help:"Number of rounds. Each round measures all points in turn."`
	Skip      []string      `placeholder:"DIM,..." help:"Dimensions to skip: executors, nodes, rungs, rates, running, held, tenants."`
	At        int           `default:"400" help:"Number of executors while another dimension is varied."`
	Among     int           `default:"9" help:"Number of nodes while the number of priority levels (--rungs) is varied."`
	Rate      int           `default:"200" help:"Jobs started per second while another dimension is varied."`
	Work      time.Duration `default:"20ms" help:"Run time of a job."`
	Span      time.Duration `default:"3s" help:"Time that each point is measured without load, and again under load."`
	Settle    time.Duration `default:"1s" help:"Time to settle before each measurement. Under load, connections are opened in this time."`
	Sockets   int           `default:"1024" help:"Setting limits.sockets of a real node."`
	JSON      string        `name:"json" type:"path" placeholder:"FILE" help:"Append rows and fits to this file, as a line of JSON each."`
	Keep      string        `type:"path" placeholder:"DIR" help:"Keep logs and configurations in this directory."`
}

// sweep returns the dimensions to measure, and the values of each.
func (c *scaleCmd) sweep() (scaletest.Sweep, error) {
	s := scaletest.Sweep{Executors: c.Executors, ClusterSizes: c.Of, Nodes: c.Nodes, MaxRealNodes: c.Real, PriorityLevels: c.Rungs, Rates: c.Rates, Concurrency: c.Running, Queueing: c.Queued, Tenants: c.Tenants, Rounds: c.Rounds,
		BaseExecutors: c.At, BaseNodes: c.Among, BaseRate: c.Rate, TaskDuration: c.Work, Window: c.Span, Sockets: c.Sockets, Baseline: c.Against != ""}
	dims := map[string]*[]int{"executors": &s.Executors, "nodes": &s.Nodes, "rungs": &s.PriorityLevels, "rates": &s.Rates, "running": &s.Concurrency, "held": &s.Queueing, "tenants": &s.Tenants}
	for _, name := range c.Skip {
		if dims[name] == nil {
			return s, fmt.Errorf("--skip: unknown dimension %q; it must be one of %s", name, strings.Join(slices.Sorted(maps.Keys(dims)), ", "))
		}
		*dims[name] = nil
	}
	return s, s.Check()
}

// Run measures all points, and prints the measurements and the fitted slopes.
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
	violations := 0
	var failure error
	write := func(v any) {
		if c.JSON != "" && failure == nil {
			failure = appendLine(c.JSON, v)
		}
	}
	if err := s.Run(o, func(r scaletest.Row) {
		fmt.Println(r)
		rows, violations = append(rows, r), violations+len(r.Violations)
		write(r)
	}); err != nil {
		return err
	}
	printFits(rows, write)
	if failure == nil && violations > 0 {
		failure = errViolation
	}
	return failure
}

// options returns the options of the measurement. The directory is empty unless --keep is set.
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

// removeOnSignal removes a directory and exits the program when the program receives SIGINT or SIGTERM. All processes
// that the program has started end when it exits.
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

// printFits calls write with every fit. It prints those whose slope differs from zero by more than twice its standard
// error, and the number of the others.
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
