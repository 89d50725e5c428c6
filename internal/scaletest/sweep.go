package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// StubEnv is the environment variable that is set for hollow processes. A program that starts them must call Hollow if it is set.
const StubEnv = "BIRCHLAB_HOLLOW"

// Options are the conditions that all points share.
type Options struct {
	Binary          string        // the program birchstair
	BaselineBinary  string        // another build of it, for points of the other build
	StubCommand     []string      // command that starts a hollow process
	Dir             string        // directory for logs and configurations
	Window          time.Duration // of each stretch that counts
	Settle          time.Duration // before each such stretch
	TaskDuration    time.Duration // of a task, unless the point has long tasks
	BurstDuration   time.Duration // time for burstChanges changes; 0 for 1 s
	MaxPolicyStarts int           // starts that count with the policy alone; 0 for 4,000
}

// Row is the result of a point.
type Row struct {
	Point
	Figures    map[string]float64 `json:"Figures,omitempty"`
	Violations []string           `json:"Wrong,omitempty"`
	NotRun     string             `json:"NotRun,omitempty"` // why the point could not be run
}

// EstimatedTime estimates how long a run takes.
func (s Sweep) EstimatedTime() (long time.Duration) {
	for _, pt := range s.points(0) {
		long += 3 * time.Second
		if !pt.PolicyOnly {
			long += 2*s.Window + 8*time.Second
			if pt.hasLongTasks() {
				long += 20 * time.Second
			}
		}
	}
	return time.Duration(s.Rounds) * long
}

// Run measures all points, round after round, and calls each with every row.
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

// String returns the row as people read it: a line, and one for each violation.
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

// Sweep describes a run: the values of each dimension, which is varied alone from a base.
type Sweep struct {
	Executors      []int // each for every fleet size
	FleetSizes     []int // fleet sizes that the real node counts itself among
	Nodes          []int // nodes that gossip, real and hollow
	MaxRealNodes   int   // real nodes among them at most
	PriorityLevels []int // priority levels in a gossip message
	Rates          []int // starts per second
	Concurrency    []int // tasks that run at a time
	Queueing       []int // executors, at loads where batch jobs are queued
	Tenants        []int // with the policy alone
	Rounds         int   // how often each point is measured

	BaseExecutors int           // where executors are not varied
	BaseNodes     int           // where priority levels are varied
	BaseRate      int           // where the rate is not varied
	TaskDuration  time.Duration // of a task
	Window        time.Duration // of the stretch without load, and of that under load
	Sockets       int           // connection limit of a real node
	Baseline      bool          // measures each point with another build as well
}
