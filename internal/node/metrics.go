package node

import (
	"slices"

	"birchstair/policy"
)

// Metrics are a node's counters since its start, and its current numbers of jobs and executors.
//
// ExcludedExecutors counts the executors that are excluded, draining, ejected or unresponsive, and the executors in slow start
// that only another node or, in a handoff, only another process of this node may send work to.
type Metrics struct {
	Classes           []ClassMetrics // in the order in which the job classes were first configured
	Attempts          int            // attempts whose last byte was written
	InFlight          int            // jobs without a final answer
	KnownExecutors    int            // executors on the endpoint list
	ExcludedExecutors int            // executors on the endpoint list that get no new attempts; see above
	ReloadsApplied    int            // configuration reloads that took effect
	ReloadsRejected   int            // configuration reloads that were invalid
}

// ClassMetrics counts the final answers to jobs of one class.
type ClassMetrics struct {
	Name                        string
	Succeeded, Rejected, Failed int
}

// counters are the metrics that are updated as events happen. The other fields of Metrics are computed when they are read.
type counters struct {
	totals     Metrics
	classIndex []int // index in totals.Classes of each job class, indexed by the class's ID
}

// addClass adds the counters of the job class with the next ID. If a class of this name was configured before, its counters are
// continued.
func (c *counters) addClass(name string) {
	index := slices.IndexFunc(c.totals.Classes, func(m ClassMetrics) bool { return m.Name == name })
	if index < 0 {
		index = len(c.totals.Classes)
		c.totals.Classes = append(c.totals.Classes, ClassMetrics{Name: name})
	}
	c.classIndex = append(c.classIndex, index)
}

// className returns the name of a job class. The class need not be configured any more.
func (c *counters) className(id policy.JobClassID) string {
	return c.totals.Classes[c.classIndex[id]].Name
}

// countAnswer counts a final answer.
func (c *counters) countAnswer(class policy.JobClassID, final Final) {
	m := &c.totals.Classes[c.classIndex[class]]
	switch final {
	case Succeeded:
		m.Succeeded++
	case Rejected:
		m.Rejected++
	case Failed:
		m.Failed++
	}
}

// countAttempt counts an attempt when it is handed to a connection.
func (c *counters) countAttempt() { c.totals.Attempts++ }

// uncountAttempt subtracts an attempt that was counted although its last byte was never written.
func (c *counters) uncountAttempt() { c.totals.Attempts-- }

// countReload counts a configuration reload.
func (c *counters) countReload(applied bool) {
	if applied {
		c.totals.ReloadsApplied++
	} else {
		c.totals.ReloadsRejected++
	}
}

// snapshot returns a copy of the totals that later counting doesn't change.
func (c *counters) snapshot() Metrics {
	m := c.totals
	m.Classes = slices.Clone(m.Classes)
	return m
}
