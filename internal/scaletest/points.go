package scaletest

import (
	"fmt"

	"birchstair/policy"
)

// Point is one set of conditions, measured once in a round.
type Point struct {
	Series         string  `json:"Series"` // the slope that it belongs to
	X              float64 `json:"X"`
	Round          int     `json:"Round"`
	Seed           uint64  `json:"Seed"`
	Executors      int     `json:"Executors"`
	FleetSize      int     `json:"Of"` // nodes that a real one counts itself among; see subsetSize
	RealNodes      int     `json:"Real"`
	StubNodes      int     `json:"Hollow,omitempty"`
	Gossip         bool    `json:"Talk"`
	PriorityLevels int     `json:"Rungs,omitempty"`
	Rate           float64 `json:"Rate"`              // starts per second, of all real nodes together
	Concurrency    int     `json:"Running,omitempty"` // tasks that the rate keeps running at a time
	Sockets        int     `json:"Sockets"`
	MemoryMB       int     `json:"Memory"` // memory limit of a real node
	Tenants        int     `json:"Tenants,omitempty"`
	PolicyOnly     bool    `json:"Module,omitempty"`  // measures the policy alone
	Queueing       bool    `json:"Held,omitempty"`    // the load exceeds the tokens, so that batch jobs are queued
	Baseline       bool    `json:"Against,omitempty"` // measures the other build
}

// hasLongTasks reports whether its tasks take longWork.
func (pt Point) hasLongTasks() bool { return pt.Concurrency > 0 || pt.Queueing }

// PlannedFleetSize is how many nodes the planned size has for control.
const PlannedFleetSize = 9

var zones = []string{"a", "b", "c", "d"}

// slots returns how many tasks the i-th executor runs at a time: referenceSlots over the first referenceExecutors.
func slots(i int) int {
	return referenceSlots*(i+1)/referenceExecutors - referenceSlots*i/referenceExecutors
}

func executorID(i int) policy.ExecutorID { return policy.ExecutorID(fmt.Sprintf("e%05d", i)) }

// points returns the points of a round, in the order in which they are measured.
func (s Sweep) points(round int) (points []Point) {
	base := Point{Round: round, Seed: uint64(round + 1), Executors: s.BaseExecutors, FleetSize: PlannedFleetSize, RealNodes: 1, Rate: float64(s.BaseRate), Sockets: s.Sockets, MemoryMB: nodeMemoryMB}
	add := func(series string, x int, as func(*Point)) {
		pt := base
		pt.Series, pt.X = series, float64(x)
		as(&pt)
		points = append(points, pt)
	}
	for _, n := range s.Executors {
		for _, of := range s.FleetSizes {
			add(fmt.Sprintf("executors-of-%d", of), n, func(pt *Point) { pt.Executors, pt.FleetSize = n, of })
			add(fmt.Sprintf("module-executors-of-%d", of), n, func(pt *Point) { pt.PolicyOnly, pt.Executors, pt.FleetSize = true, n, of })
			add(fmt.Sprintf("module-held-of-%d", of), n, func(pt *Point) { pt.PolicyOnly, pt.Queueing, pt.Executors, pt.FleetSize = true, true, n, of })
		}
	}
	for _, n := range s.Nodes {
		add("nodes", n, func(pt *Point) {
			pt.FleetSize, pt.Gossip = n, true
			pt.RealNodes = min(n, s.MaxRealNodes)
			pt.StubNodes = n - pt.RealNodes
		})
	}
	for _, n := range s.PriorityLevels {
		add("rungs", n, func(pt *Point) {
			pt.FleetSize, pt.Gossip, pt.PriorityLevels, pt.StubNodes = s.BaseNodes, true, n, s.BaseNodes-1
		})
	}
	for _, n := range s.Rates {
		add("rate", n, func(pt *Point) { pt.Rate = float64(n) })
	}
	for _, n := range s.Concurrency {
		add("running", n, func(pt *Point) { pt.Concurrency, pt.Rate, pt.FleetSize = n, float64(n)/longTask.Seconds(), 1 })
	}
	for _, n := range s.Queueing {
		add("held", n, func(pt *Point) {
			pt.Queueing, pt.Executors, pt.Sockets, pt.MemoryMB = true, n, max(s.Sockets, queueingSockets), queueingMemoryMB
			pt.Rate = queueingRate(n, PlannedFleetSize)
		})
	}
	for _, n := range s.Tenants {
		add("module-tenants", n, func(pt *Point) { pt.PolicyOnly, pt.Tenants = true, n })
	}
	if s.Baseline {
		points = withBaseline(points, round)
	}
	return points
}

// withBaseline puts the same point of the other build beside each point, so that what slows the machine for a while slows both. Which of them is
// first alternates by the round. Points of the policy alone are of this program's build, and stay single.
func withBaseline(points []Point, round int) (pairs []Point) {
	for _, pt := range points {
		if pt.PolicyOnly {
			pairs = append(pairs, pt)
			continue
		}
		other := pt
		other.Series, other.Baseline = pt.Series+"-against", true
		if round%2 == 0 {
			pairs = append(pairs, pt, other)
		} else {
			pairs = append(pairs, other, pt)
		}
	}
	return pairs
}

// subsetSize returns the size of a node's subset of executors in a fleet, where crossing zones costs nothing: from six nodes on, three
// times its share.
func subsetSize(executors, of int) int {
	if of < 6 {
		return executors
	}
	return min(executors, (3*executors+of-1)/of)
}

// queueingRate returns a rate of long tasks that a node's first tokens are not enough for, so that batch jobs are queued.
func queueingRate(executors, of int) float64 {
	return queueingLoadFactor * initialTokens * float64(subsetSize(executors, of)) / longTask.Seconds()
}
