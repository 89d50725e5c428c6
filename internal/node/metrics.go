package node

import (
	"slices"

	"birchstair/policy"
)

// Metrics are a node's counters since its start, and its current numbers of jobs and executors.
//
// ExcludedExecutors counts the executors that are excluded, draining, ejected or unresponsive. It also counts the
// executors in slow start to which this process must not send work. In that case, only another node is allowed to send
// them work or, in a handoff, only another process of this node.
type Metrics struct {
	Classes           []ClassMetrics // counters by job class, in the order in which the classes were first configured
	Attempts          int            // attempts handed to a connection, except those whose last byte was never written
	InFlight          int            // jobs without a final answer
	KnownExecutors    int            // executors on the endpoint list
	ExcludedExecutors int            // executors on the endpoint list that get no new attempts, as described above
	ReloadsApplied    int            // configuration reloads that took effect
	ReloadsRejected   int            // configuration reloads that were invalid
}

// ClassMetrics counts the final answers to jobs of one class.
type ClassMetrics struct {
	Name                        string
	Succeeded, Rejected, Failed int
}

// counters are the metrics that are updated as events occur. The other fields of Metrics are computed when an operator
// reads them.
type counters struct {
	totals     Metrics
	classIndex []int // indexes in totals.Classes, indexed by the ID of the job class
}

// addClass adds the counters of the job class with the next ID. If a class with this name was configured before, its
// counters are continued for the new class.
func (c *counters) addClass(name string) {
	index := slices.IndexFunc(c.totals.Classes, func(m ClassMetrics) bool { return m.Name == name })
	if index < 0 {
		index = len(c.totals.Classes)
		c.totals.Classes = append(c.totals.Classes, ClassMetrics{Name: name})
	}
	c.classIndex = append(c.classIndex, index)
}

// className returns the name of a job class. The class can be one that is no longer configured.
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

// countAttempt counts an attempt. It is called when the attempt is handed to a connection.
func (c *counters) countAttempt() { c.totals.Attempts++ }

// uncountAttempt subtracts an attempt whose last byte was never written. The attempt was counted when it was handed to
// its connection.
func (c *counters) uncountAttempt() { c.totals.Attempts-- }

// countReload counts a configuration reload as applied or rejected.
func (c *counters) countReload(applied bool) {
	if applied {
		c.totals.ReloadsApplied++
	} else {
		c.totals.ReloadsRejected++
	}
}

// snapshot returns a copy of the totals. Later counting doesn't change the copy.
func (c *counters) snapshot() Metrics {
	m := c.totals
	m.Classes = slices.Clone(m.Classes)
	return m
}
