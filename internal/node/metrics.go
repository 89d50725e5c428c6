package node

import (
	"slices"

	"birchstair/policy"
)

// Metrics are what a node has done since its start, and what it holds.
type Metrics struct {
	Classes           []ClassMetrics // in the order in which the tracks came
	Attempts          int            // whose last byte was written
	InFlight          int            // batch jobs that are owed an answer
	KnownExecutors    int            // executors on the list
	ExcludedExecutors int            // those of them that get nothing new, by hand, by the list or by choice
	ReloadsApplied    int            // configurations that were read again and taken
	ReloadsRejected   int            // and those that were not
}

// ClassMetrics are the final answers to batch jobs of one track.
type ClassMetrics struct {
	Name                        string
	Succeeded, Rejected, Failed int
}

// count books a final answer.
func (n *Node) count(track policy.JobClassID, how Final) {
	f := &n.metrics.Classes[n.metricsIndex[track]]
	switch how {
	case Succeeded:
		f.Succeeded++
	case Rejected:
		f.Rejected++
	case Failed:
		f.Failed++
	}
}

// metricsIndexOf is where a track's figures stand; those of one that is dropped stay, and go on if it comes back.
func (n *Node) metricsIndexOf(name string) int {
	f := &n.metrics.Classes
	i := slices.IndexFunc(*f, func(t ClassMetrics) bool { return t.Name == name })
	if i < 0 {
		i = len(*f)
		*f = append(*f, ClassMetrics{Name: name})
	}
	return i
}
