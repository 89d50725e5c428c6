package node

import (
	"slices"

	"birchstair/policy"
)

// Metrics are a node's counters since its start, and what it holds now.
type Metrics struct {
	Classes           []ClassMetrics // in the order in which the job classes were first configured
	Attempts          int            // attempts whose last byte was written
	InFlight          int            // jobs without a final answer
	KnownExecutors    int            // executors on the endpoint list
	ExcludedExecutors int            // of these, executors that get no new attempts: excluded, draining, ejected, unresponsive, or in slow start and another node's
	ReloadsApplied    int            // configuration reloads that took effect
	ReloadsRejected   int            // configuration reloads that were invalid
}

// ClassMetrics counts the final answers to jobs of one class.
type ClassMetrics struct {
	Name                        string
	Succeeded, Rejected, Failed int
}

// counters are the metrics that are counted as things happen. The other fields of Metrics are filled in when they are read.
type counters struct {
	totals     Metrics
	classIndex []int // by job class ID: its index in totals.Classes
}

// addClass adds the counters of the next job class ID. A class of a name that was configured before continues its counters.
func (c *counters) addClass(name string) {
	index := slices.IndexFunc(c.totals.Classes, func(m ClassMetrics) bool { return m.Name == name })
	if index < 0 {
		index = len(c.totals.Classes)
		c.totals.Classes = append(c.totals.Classes, ClassMetrics{Name: name})
	}
	c.classIndex = append(c.classIndex, index)
}

// className is the name of a job class, which may no longer be configured.
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

// uncountAttempt takes an attempt back whose last byte was never written.
func (c *counters) uncountAttempt() { c.totals.Attempts-- }

// countReload counts a configuration reload.
func (c *counters) countReload(applied bool) {
	if applied {
		c.totals.ReloadsApplied++
	} else {
		c.totals.ReloadsRejected++
	}
}

// snapshot is a copy of the totals that its reader may keep while counting goes on.
func (c *counters) snapshot() Metrics {
	m := c.totals
	m.Classes = slices.Clone(m.Classes)
	return m
}
