package scaletest

import (
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"
)

// Bounds of a run on one machine. A run that exceeds one is refused, with its name, before anything starts.
const (
	MaxExecutors      = 6400
	MaxNodes          = 300
	MaxRealNodes      = 12
	MaxTenants        = 10000
	MaxRate           = 5000
	MaxProcesses      = 300
	MaxMemoryBytes    = 12 << 30
	MaxDuration       = time.Hour
	maxFleetSize      = 1000
	maxPriorityLevels = 64
)

// Estimates for the memory of a hollow executor, a hollow node and a batch job in flight, in bytes, and descriptors that stay unused.
const (
	stubExecutorBytes   = 64 << 10
	stubNodeBytes       = 4 << 20
	jobBytes            = 128 << 10
	reservedDescriptors = 256
)

// Check returns an error that names the bound that the run exceeds.
func (s Sweep) Check() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	return s.check(int(min(files.Cur, math.MaxInt32)))
}

func (s Sweep) check(files int) error {
	for _, b := range []struct {
		name        string
		least, most int
		values      []int
	}{
		{"executors", 1, MaxExecutors, slices.Concat([]int{s.BaseExecutors}, s.Executors, s.Queueing)},
		{"of", 1, maxFleetSize, s.FleetSizes},
		{"nodes", 1, MaxNodes, append([]int{s.BaseNodes}, s.Nodes...)},
		{"real", 1, MaxRealNodes, []int{s.MaxRealNodes}},
		{"rungs", 0, maxPriorityLevels, s.PriorityLevels},
		{"rates, starts a second", 1, MaxRate, append([]int{s.BaseRate}, s.Rates...)},
		{"tenants", 0, MaxTenants, s.Tenants},
		{"rounds", 1, 100, []int{s.Rounds}},
		{"sockets", 64, files - reservedDescriptors, []int{s.Sockets}},
		{"span, in ms", 200, 60000, []int{int(s.Window.Milliseconds())}},
		{"work, in ms", 1, 60000, []int{int(s.TaskDuration.Milliseconds())}},
	} {
		for _, x := range b.values {
			if x < b.least || x > b.most {
				return fmt.Errorf("--%s: %d is not from %d to %d", b.name, x, b.least, b.most)
			}
		}
	}
	for _, pt := range s.points(0) {
		if err := s.checkMachine(pt, files); err != nil {
			return fmt.Errorf("the point %s %g: %w", pt.Series, pt.X, err)
		}
	}
	if long := s.EstimatedTime(); long > MaxDuration {
		return fmt.Errorf("--rounds: all points would take %v, over the %v that a run may take", long.Round(time.Second), MaxDuration)
	}
	return nil
}

// checkMachine returns an error that names the bound of the machine that a point exceeds.
func (s Sweep) checkMachine(pt Point, files int) error {
	if pt.PolicyOnly {
		return nil
	}
	if pt.Concurrency > totalSlots(pt.Executors) {
		return fmt.Errorf("places: %d tasks at a time, and %d executors have %d", pt.Concurrency, pt.Executors, totalSlots(pt.Executors))
	}
	hollow := (pt.Executors+executorsPerProcess-1)/executorsPerProcess + min(1, pt.StubNodes)
	if n := pt.RealNodes + hollow + 1; n > MaxProcesses {
		return fmt.Errorf("processes: %d, over %d", n, MaxProcesses)
	}
	inHand := max(pt.Concurrency, int(pt.Rate*2))
	if pt.Queueing {
		inHand = int(pt.Rate * (2*longTask + s.Window).Seconds())
	}
	conns := pt.RealNodes * pt.Sockets / 4
	for _, need := range []struct {
		what string
		n    int
	}{
		{"a process with hollow executors", min(pt.Executors, executorsPerProcess) + conns},
		{"the process with hollow nodes", pt.StubNodes * 8},
		{"the process with clients", 2*inHand + 4*pt.RealNodes},
	} {
		if need.n+reservedDescriptors > files {
			return fmt.Errorf("descriptors: %s may need %d, and RLIMIT_NOFILE is %d", need.what, need.n+reservedDescriptors, files)
		}
	}
	if memory := pt.Executors*stubExecutorBytes + pt.StubNodes*stubNodeBytes + inHand*jobBytes + pt.RealNodes*pt.MemoryMB<<20; memory > MaxMemoryBytes {
		return fmt.Errorf("memory: %d MB, over %d MB", memory>>20, MaxMemoryBytes>>20)
	}
	return nil
}

// totalSlots returns how many tasks so many executors run at a time.
func totalSlots(executors int) (n int) {
	for i := range executors {
		n += slots(i)
	}
	return n
}
