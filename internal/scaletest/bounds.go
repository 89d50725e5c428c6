package scaletest

import (
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"
)

// Bounds of a run on one machine. A run that exceeds one is refused before anything starts, with an error that names
// the bound.
const (
	MaxExecutors      = 6400
	MaxNodes          = 300
	MaxRealNodes      = 12
	MaxTenants        = 10000
	MaxRate           = 5000
	MaxProcesses      = 300
	MaxMemoryBytes    = 12 << 30
	MaxDuration       = time.Hour
	maxClusterSize    = 1000
	maxPriorityLevels = 64
)

// Estimated bytes of memory for each stub executor, stub node and batch job in flight, and the number of descriptors
// that a process must have left.
const (
	stubExecutorBytes   = 64 << 10
	stubNodeBytes       = 4 << 20
	jobBytes            = 128 << 10
	reservedDescriptors = 256
)

// Check returns an error if the run exceeds a bound. The error names the bound.
func (s Sweep) Check() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	return s.check(int(min(files.Cur, math.MaxInt32)))
}

func (s Sweep) check(files int) error {
	for _, bound := range []struct {
		name        string
		least, most int
		values      []int
	}{
		{"executors", 1, MaxExecutors, slices.Concat([]int{s.BaseExecutors}, s.Executors, s.Queueing)},
		{"of", 1, maxClusterSize, s.ClusterSizes},
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
		for _, x := range bound.values {
			if x < bound.least || x > bound.most {
				return fmt.Errorf("--%s: %d is not from %d to %d", bound.name, x, bound.least, bound.most)
			}
		}
	}
	for _, pt := range s.points(0) {
		if err := s.checkMachine(pt, files); err != nil {
			return fmt.Errorf("the point %s %g: %w", pt.Series, pt.X, err)
		}
	}
	if estimate := s.EstimatedTime(); estimate > MaxDuration {
		return fmt.Errorf("--rounds: all points would take %v, over the %v that a run may take", estimate.Round(time.Second), MaxDuration)
	}
	return nil
}

// checkMachine returns an error if a point exceeds a bound of the machine. The error names the bound.
func (s Sweep) checkMachine(pt Point, files int) error {
	if pt.PolicyOnly {
		return nil
	}
	if pt.Concurrency > totalSlots(pt.Executors) {
		return fmt.Errorf("places: %d tasks at a time, and %d executors have %d", pt.Concurrency, pt.Executors, totalSlots(pt.Executors))
	}
	stubs := (pt.Executors+executorsPerProcess-1)/executorsPerProcess + min(1, pt.StubNodes)
	if n := pt.RealNodes + stubs + 1; n > MaxProcesses {
		return fmt.Errorf("processes: %d, over %d", n, MaxProcesses)
	}
	inFlight := max(pt.Concurrency, int(pt.Rate*2))
	if pt.Queueing {
		inFlight = int(pt.Rate * (2*longTask + s.Window).Seconds())
	}
	conns := pt.RealNodes * pt.Sockets / 4
	for _, need := range []struct {
		what string
		n    int
	}{
		{"a process with stub executors", min(pt.Executors, executorsPerProcess) + conns},
		{"the process with stub nodes", pt.StubNodes * 8},
		{"the process with clients", 2*inFlight + 4*pt.RealNodes},
	} {
		if need.n+reservedDescriptors > files {
			return fmt.Errorf("descriptors: %s may need %d, and RLIMIT_NOFILE is %d", need.what, need.n+reservedDescriptors, files)
		}
	}
	if memory := pt.Executors*stubExecutorBytes + pt.StubNodes*stubNodeBytes + inFlight*jobBytes + pt.RealNodes*pt.MemoryMB<<20; memory > MaxMemoryBytes {
		return fmt.Errorf("memory: %d MB, over %d MB", memory>>20, MaxMemoryBytes>>20)
	}
	return nil
}

// totalSlots returns the number of tasks that the given number of executors can run at a time.
func totalSlots(executors int) (n int) {
	for i := range executors {
		n += slots(i)
	}
	return n
}
