package scaletest

import (
	"fmt"
	"time"
)

// measureIdle measures CPU time, traffic, memory and descriptors of the nodes without load.
func (m *measurement) measureIdle() error {
	time.Sleep(m.options.Settle)
	from, err := m.sample()
	if err != nil {
		return err
	}
	time.Sleep(m.options.Window)
	to, err := m.sample()
	if err != nil {
		return err
	}
	nodes, span := float64(len(m.nodes)), to.at.Sub(from.at).Seconds()
	f := m.row.Figures
	f["idle_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / span / nodes
	f["list_in_bps_idle"] = float64(to.discoveryOut-from.discoveryOut) / span / nodes
	f["list_out_bps_idle"] = float64(to.discoveryIn-from.discoveryIn) / span / nodes
	f["executor_bps_idle"] = float64(to.counts.BytesRead+to.counts.BytesWritten-from.counts.BytesRead-from.counts.BytesWritten) / span / float64(m.point.Executors)
	m.recordGossip("idle", from, to)
	return m.recordFootprint("idle")
}

// measureLoad measures the nodes under load. A warm-up phase, which is not measured, opens connections and fills the
// executors.
func (m *measurement) measureLoad() error {
	warmUp := m.options.Settle
	if m.point.hasLongTasks() {
		warmUp = max(warmUp, longTask+time.Second)
	}
	load := newLoadGenerator(m.nodes, m.point)
	load.run("warm", warmUp)
	from, err := m.sample()
	if err != nil {
		return err
	}
	before := load.snapshot()
	due := load.run("job", m.options.Window)
	to, err := m.sample()
	if err != nil {
		return err
	}
	if err := m.recordFootprint("load"); err != nil {
		return err
	}
	inFlight := m.inFlight()
	load.wait()
	m.recordStarts(from, to)
	f := m.row.Figures
	f["in_hand"] = float64(inFlight) / float64(len(m.nodes))
	f["shortfall_part"] = float64(load.submittedLate-before.submittedLate) / float64(max(1, due))
	f["handled_part"] = float64(load.succeeded) / float64(max(1, load.submitted))
	f["p50_ms"], f["p99_ms"] = load.percentile(0.5).Seconds()*1e3, load.percentile(0.99).Seconds()*1e3
	m.recordGossip("load", from, to)
	return m.checkLoad(load, to)
}

// inFlight returns the number of batch jobs in flight, summed over the nodes that report it.
func (m *measurement) inFlight() (total int) {
	for _, p := range m.nodes {
		if metrics, err := p.metrics(); err == nil {
			total += metrics["in_flight"]
		}
	}
	return total
}

// recordStarts records the rate of task starts between two samples, and their cost in CPU time, bytes and dialed
// connections.
func (m *measurement) recordStarts(from, to sample) {
	f := m.row.Figures
	starts, seconds, nodes := float64(to.counts.TasksStarted-from.counts.TasksStarted), to.at.Sub(from.at).Seconds(), float64(len(m.nodes))
	f["starts_ps"] = starts / seconds
	f["load_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / seconds / nodes
	if starts > 0 {
		f["cpu_us_start"] = float64((to.cpu - from.cpu).Microseconds()) / starts
		f["dials_start"] = float64(to.counts.ConnsAccepted-from.counts.ConnsAccepted) / starts
		f["out_b_start"] = float64(to.counts.BytesRead-from.counts.BytesRead) / starts
		f["in_b_start"] = float64(to.counts.BytesWritten-from.counts.BytesWritten) / starts
	}
}

// checkLoad checks that the counts of clients, executors and nodes agree after a load has ended.
func (m *measurement) checkLoad(l *loadGenerator, to sample) error {
	m.row.Violations = append(m.row.Violations, l.violations...)
	if l.answered+len(l.violations) != l.submitted {
		m.fail("%d batch jobs were handed in, %d answered", l.submitted, l.answered)
	}
	if to.counts.OverfullExecutors > 0 {
		m.fail("%d executors ran more tasks at once than they have places", to.counts.OverfullExecutors)
	}
	served := 0
	for _, p := range m.nodes {
		metrics, err := p.metrics()
		if err != nil {
			return err
		}
		for _, class := range classes(m.point.PriorityLevels) {
			served += metrics["requests."+class.name+".served"]
		}
	}
	if served != l.succeeded {
		m.fail("%d batch jobs were handled for their clients, and the nodes say %d", l.succeeded, served)
	}
	return nil
}

// class is a job class. The job classes of a point have values in different priority levels, so that gossip messages
// have as many levels as the point asks for.
type class struct {
	name  string
	value float64
}

// classes returns a job class for each of the given number of priority levels, and at least one.
func classes(levels int) (all []class) {
	for i := range max(1, levels) {
		all = append(all, class{fmt.Sprint("batch", i), 1e-6 * float64(int(1)<<(i/2)) * (1 + 0.45*float64(i%2))})
	}
	return all
}
