package scaletest

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
)

// Timeouts and sizes of a measurement.
const (
	readyTimeout        = 40 * time.Second
	membershipTimeout   = 90 * time.Second
	changeTimeout       = 20 * time.Second
	executorsPerProcess = 1600            // stub executors in a process
	referenceSlots      = 7700            // total slots of referenceExecutors
	referenceExecutors  = 3200            // number of executors that share referenceSlots, see slots
	longTask            = 4 * time.Second // duration of a task at points with long tasks

	initialTokens      = 2.0 // initial quota of tokens that the policy gives each executor of a node's subset
	queueingLoadFactor = 1.5 // load at points with Queueing, as a multiple of the load that the initial tokens suffice for

	nodeMemoryMB    = 192   // memory limit in MB, the default of the configuration
	queueingSockets = 16384 // connection limit of a node at points with Queueing
	// Memory limit in MB at points with Queueing. A node accepts as many clients as fit into half of it, at 96 KB each.
	queueingMemoryMB = 1024
)

// measurement holds the processes, the emulated services and the results of the point that is being measured.
type measurement struct {
	options          Options
	point            Point
	dir              string
	executorStubs    []*stubProcess // processes with stub executors
	nodeStubs        *stubProcess   // process with the stub nodes; nil if there are none
	nodes            []*realNode
	entries          []emulator.Entry // endpoint list with all stub executors
	discovery        *platform.Discovery
	discoveryTraffic traffic
	discoveryAddress string
	epoch            time.Time
	cleanups         []func() // called in reverse order at the end
	row              Row
}

// Measure measures a point. If the point cannot be run, the row holds the reason and no figures.
func Measure(pt Point, o Options) Row {
	w := &measurement{options: o, point: pt, epoch: time.Now(), row: Row{Point: pt, Figures: map[string]float64{}}}
	var err error
	if pt.PolicyOnly {
		err = w.measurePolicy()
	} else {
		err = w.runSteps()
	}
	for _, c := range slices.Backward(w.cleanups) {
		c()
	}
	if err != nil {
		w.row.NotRun, w.row.Figures = err.Error(), nil
	}
	return w.row
}

// fail records a violation in the row.
func (m *measurement) fail(format string, args ...any) {
	m.row.Violations = append(m.row.Violations, fmt.Sprintf(format, args...))
}

// runSteps sets up the processes of the point and measures them, without load, under load and during changes.
func (m *measurement) runSteps() error {
	for _, step := range []func() error{m.setUp, m.measureIdle, m.measureLoad, m.measureChanges} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// measurePolicy measures the policy alone, in a separate process.
func (m *measurement) measurePolicy() error {
	job := stubJob{Policy: &policyJob{Executors: m.point.Executors, ClusterSize: m.point.ClusterSize, Tenants: m.point.Tenants, Rate: m.point.Rate, Work: m.options.TaskDuration, MaxCPU: 2 * time.Second, Skip: 1000, Starts: cmp.Or(m.options.MaxPolicyStarts, 4000)}}
	if m.point.Queueing {
		job.Policy.Work, job.Policy.Skip = longTask, int(initialTokens)*subsetSize(m.point.Executors, m.point.ClusterSize)
		job.Policy.Rate = queueingRate(m.point.Executors, m.point.ClusterSize)
	}
	var f policyFigures
	stub := &stubProcess{}
	if err := stub.start(m.options.StubCommand, job, &f); err != nil {
		return err
	}
	stopErr := stub.stop()
	if f.Error != "" {
		return errors.New(f.Error)
	}
	if stopErr != nil {
		return fmt.Errorf("stop stub process: %w", stopErr)
	}
	m.row.Figures["out"], m.row.Figures["held"] = float64(f.InFlight), float64(f.Queued)
	m.row.Figures["cpu_us_start"], m.row.Figures["heap_kb"], m.row.Figures["starts"] = f.MicrosPerStart, float64(f.Heap)/1e3, float64(f.Starts)
	return nil
}
