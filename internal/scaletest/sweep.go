package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// StubEnv is the environment variable that is set for stub processes. The main function of the program that StubCommand
// starts must call RunStub if the variable is set.
const StubEnv = "BIRCHLAB_HOLLOW"

// Options are the conditions that are the same for all points.
type Options struct {
	Binary          string        // path of the birchstair executable
	BaselineBinary  string        // path of another build, for points with Baseline
	StubCommand     []string      // command that starts a stub process
	Dir             string        // directory for the nodes' logs and configurations
	Window          time.Duration // length of each phase that is measured
	Settle          time.Duration // time without measuring before each such phase
	TaskDuration    time.Duration // duration of a task, unless the point has long tasks
	BurstDuration   time.Duration // time in which measureUpdateBurst makes its updates; 0 for 1 s
	MaxPolicyStarts int           // largest number of starts measured with the policy alone; 0 for 4,000
}

// Row is the result of a point.
type Row struct {
	Point
	Figures    map[string]float64 `json:"Figures,omitempty"`
	Violations []string           `json:"Wrong,omitempty"`
	NotRun     string             `json:"NotRun,omitempty"` // why the point could not be run; empty if it was
}

// EstimatedTime estimates how long a run takes.
func (s Sweep) EstimatedTime() (total time.Duration) {
	for _, pt := range s.points(0) {
		total += 3 * time.Second
		if !pt.PolicyOnly {
			total += 2*s.Window + 8*time.Second
			if pt.hasLongTasks() {
				total += 20 * time.Second
			}
		}
	}
	return time.Duration(s.Rounds) * total
}

// Run measures all points in each round. It calls each with the row of a point as soon as the point has been measured.
func (s Sweep) Run(o Options, each func(Row)) error {
	if err := s.Check(); err != nil {
		return err
	}
	o.Window, o.TaskDuration = s.Window, s.TaskDuration
	for round := range s.Rounds {
		for _, pt := range s.points(round) {
			each(Measure(pt, o))
		}
	}
	return nil
}

// String formats the row for people: a line with the figures, and a line for each violation.
func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %g, round %d:", r.Series, r.X, r.Round+1)
	if r.NotRun != "" {
		fmt.Fprintf(&b, " NOT RUN: %s", r.NotRun)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(&b, " %s=%.4g", name, r.Figures[name])
	}
	for _, text := range r.Violations {
		fmt.Fprintf(&b, "\n  WRONG: %s", text)
	}
	return b.String()
}

// Sweep describes a run. Each dimension is varied alone, over the given values, while the others keep their base
// values.
type Sweep struct {
	Executors      []int // numbers of executors, each measured with every cluster size
	ClusterSizes   []int // numbers of nodes according to the configuration of the real node
	Nodes          []int // numbers of nodes that gossip, real nodes and stub nodes together
	MaxRealNodes   int   // most real nodes at a point; the other nodes that gossip are stub nodes
	PriorityLevels []int // numbers of priority levels in a gossip message
	Rates          []int // task starts per second
	Concurrency    []int // numbers of tasks that run at a time
	Queueing       []int // numbers of executors, measured at loads where batch jobs are queued
	Tenants        []int // numbers of tenants, measured with the policy alone
	Rounds         int   // number of times that each point is measured

	BaseExecutors int           // number of executors where they are not varied
	BaseNodes     int           // number of nodes where priority levels are varied
	BaseRate      int           // task starts per second where the rate is not varied
	TaskDuration  time.Duration // duration of a task, except at points with long tasks
	Window        time.Duration // length of the measured phase without load, and of that under load
	Sockets       int           // connection limit of a real node
	Baseline      bool          // whether each point is also measured with another build
}
