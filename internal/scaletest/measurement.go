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
	executorsPerProcess = 1600            // executors in a hollow process
	referenceSlots      = 7700            // slots of referenceExecutors together
	referenceExecutors  = 3200            // see slots
	longTask            = 4 * time.Second // of a task, at points with long tasks

	initialTokens      = 2.0 // tokens that the policy has for each executor at first
	queueingLoadFactor = 1.5 // load where batch jobs are to be queued, as a multiple of what these tokens are enough for

	nodeMemoryMB     = 192 // in MB, the default of the configuration
	queueingSockets  = 16384
	queueingMemoryMB = 1024 // in MB; a node accepts as many clients as fit into half of it, at 96 KB each
)

// measurement is a point that is being measured.
type measurement struct {
	options          Options
	point            Point
	dir              string
	executorStubs    []*stubProcess // with executors
	nodeStubs        *stubProcess   // with hollow nodes; nil if there are none
	nodes            []*realNode
	entries          []emulator.Entry
	discovery        *platform.Discovery
	discoveryTraffic traffic
	discoveryAddress string
	epoch            time.Time
	cleanups         []func()
	row              Row
}

// Measure measures a point. If it cannot be run, the row says why.
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

func (m *measurement) runSteps() error {
	for _, step := range []func() error{m.setUp, m.measureIdle, m.measureLoad, m.measureChanges} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// measurePolicy measures the policy alone, in a process of its own.
func (m *measurement) measurePolicy() error {
	job := stubJob{Policy: &policyJob{Executors: m.point.Executors, FleetSize: m.point.FleetSize, Tenants: m.point.Tenants, Rate: m.point.Rate, Work: m.options.TaskDuration, MaxCPU: 2 * time.Second, Skip: 1000, Starts: cmp.Or(m.options.MaxPolicyStarts, 4000)}}
	if m.point.Queueing {
		job.Policy.Work, job.Policy.Skip = longTask, int(initialTokens)*subsetSize(m.point.Executors, m.point.FleetSize)
		job.Policy.Rate = queueingRate(m.point.Executors, m.point.FleetSize)
	}
	var f policyFigures
	h := &stubProcess{}
	if err := h.start(m.options.StubCommand, job, &f); err != nil {
		return err
	}
	ended := h.stop()
	if f.Error != "" {
		return errors.New(f.Error)
	}
	if ended != nil {
		return fmt.Errorf("a hollow process: %w", ended)
	}
	m.row.Figures["out"], m.row.Figures["held"] = float64(f.InFlight), float64(f.Queued)
	m.row.Figures["cpu_us_start"], m.row.Figures["heap_kb"], m.row.Figures["starts"] = f.MicrosPerStart, float64(f.Heap)/1e3, float64(f.Starts)
	return nil
}
