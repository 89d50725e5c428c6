package scaletest

import (
	"fmt"

	"birchstair/policy"
)

// Point is one set of conditions, which is measured once in each round.
type Point struct {
	Series         string  `json:"Series"` // name of the series; a line is fitted through the points of a series
	X              float64 `json:"X"`      // value of the dimension that the series varies
	Round          int     `json:"Round"`
	Seed           uint64  `json:"Seed"`
	Executors      int     `json:"Executors"`
	ClusterSize    int     `json:"Of"` // number of nodes according to a real node's configuration; determines its subset
	RealNodes      int     `json:"Real"`
	StubNodes      int     `json:"Hollow,omitempty"`
	Gossip         bool    `json:"Talk"`
	PriorityLevels int     `json:"Rungs,omitempty"`
	Rate           float64 `json:"Rate"`              // task starts per second at all real nodes together
	Concurrency    int     `json:"Running,omitempty"` // number of tasks that the rate keeps running at a time
	Sockets        int     `json:"Sockets"`           // connection limit of a real node
	MemoryMB       int     `json:"Memory"`            // memory limit of a real node, in MB
	Tenants        int     `json:"Tenants,omitempty"`
	PolicyOnly     bool    `json:"Module,omitempty"`  // whether the policy alone is measured
	Queueing       bool    `json:"Held,omitempty"`    // whether the load exceeds the nodes' tokens, so that jobs are queued
	Baseline       bool    `json:"Against,omitempty"` // whether the other build is measured instead of the usual one
}

// hasLongTasks reports whether the point's tasks take longTask.
func (pt Point) hasLongTasks() bool { return pt.Concurrency > 0 || pt.Queueing }

// PlannedClusterSize is the number of nodes in a deployment of the planned size.
const PlannedClusterSize = 9

var zones = []string{"a", "b", "c", "d"}

// slots returns the number of tasks that the i-th executor runs at a time. The first referenceExecutors executors share
// referenceSlots evenly.
func slots(i int) int {
	return referenceSlots*(i+1)/referenceExecutors - referenceSlots*i/referenceExecutors
}

func executorID(i int) policy.ExecutorID { return policy.ExecutorID(fmt.Sprintf("e%05d", i)) }

// points returns the points of a round, in the order in which they are measured.
func (s Sweep) points(round int) (points []Point) {
	base := Point{Round: round, Seed: uint64(round + 1), Executors: s.BaseExecutors, ClusterSize: PlannedClusterSize, RealNodes: 1, Rate: float64(s.BaseRate), Sockets: s.Sockets, MemoryMB: nodeMemoryMB}
	add := func(series string, x int, set func(*Point)) {
		pt := base
		pt.Series, pt.X = series, float64(x)
		set(&pt)
		points = append(points, pt)
	}
	for _, n := range s.Executors {
		for _, of := range s.ClusterSizes {
			add(fmt.Sprintf("executors-of-%d", of), n, func(pt *Point) { pt.Executors, pt.ClusterSize = n, of })
			add(fmt.Sprintf("module-executors-of-%d", of), n, func(pt *Point) { pt.PolicyOnly, pt.Executors, pt.ClusterSize = true, n, of })
			add(fmt.Sprintf("module-held-of-%d", of), n, func(pt *Point) { pt.PolicyOnly, pt.Queueing, pt.Executors, pt.ClusterSize = true, true, n, of })
		}
	}
	for _, n := range s.Nodes {
		add("nodes", n, func(pt *Point) {
			pt.ClusterSize, pt.Gossip = n, true
			pt.RealNodes = min(n, s.MaxRealNodes)
			pt.StubNodes = n - pt.RealNodes
		})
	}
	for _, n := range s.PriorityLevels {
		add("rungs", n, func(pt *Point) {
			pt.ClusterSize, pt.Gossip, pt.PriorityLevels, pt.StubNodes = s.BaseNodes, true, n, s.BaseNodes-1
		})
	}
	for _, n := range s.Rates {
		add("rate", n, func(pt *Point) { pt.Rate = float64(n) })
	}
	for _, n := range s.Concurrency {
		add("running", n, func(pt *Point) { pt.Concurrency, pt.Rate, pt.ClusterSize = n, float64(n)/longTask.Seconds(), 1 })
	}
	for _, n := range s.Queueing {
		add("held", n, func(pt *Point) {
			pt.Queueing, pt.Executors, pt.Sockets, pt.MemoryMB = true, n, max(s.Sockets, queueingSockets), queueingMemoryMB
			pt.Rate = queueingRate(n, PlannedClusterSize)
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

// withBaseline adds the same point for the other build next to each point. The two are measured in succession, so that
// a machine that is slow for a while slows both. Their order alternates from round to round. Points with
// PolicyOnly always measure the policy that is built into this program, so they are not repeated.
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

// subsetSize returns the number of executors in a node's subset if cross-zone attempts cost nothing. With fewer than
// six nodes the subset has all executors; otherwise it has three times the node's share of them.
func subsetSize(executors, nodes int) int {
	if nodes < 6 {
		return executors
	}
	return min(executors, (3*executors+nodes-1)/nodes)
}

// queueingRate returns a rate of long tasks for which a node's initial tokens do not suffice, so that batch jobs are
// queued.
func queueingRate(executors, nodes int) float64 {
	return queueingLoadFactor * initialTokens * float64(subsetSize(executors, nodes)) / longTask.Seconds()
}
