package scaletest

import (
	"cmp"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// adminCalls is the number of times that metrics are read from each node to measure the cost of a read.
const adminCalls = 20

// burstUpdates is the number of endpoint updates in the busiest second.
const burstUpdates = 50

// extraExecutor is the id of an executor that measureListChange adds to the endpoint list and measureUpdateBurst removes
// after its other updates. The count of executors of a node then shows whether the node has received these changes.
const extraExecutor = policy.ExecutorID("more")

// measureChanges makes changes one after another, and waits for each until it is in effect at every node.
func (m *measurement) measureChanges() error {
	executors := m.point.Executors
	for _, step := range []func() error{
		m.measureAdminCalls,
		func() error { return m.measureListChange(executors + 1) },
		m.measureReload,
		func() error { return m.measureDrain(executors + 2) },
		func() error { return m.measureUpdateBurst(executors + 1) },
		func() error { return m.measureZone(executors + 1) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// knowExecutors returns a condition that holds if every real node knows the given number of executors.
func (m *measurement) knowExecutors(count int) func() bool {
	return func() bool {
		return m.allNodes(func(p *realNode) bool { return p.hasMetric("executors_known", count) })
	}
}

// extraEntry returns an entry that lists the first executor a second time, under the given id.
func (m *measurement) extraEntry(id policy.ExecutorID) emulator.Entry {
	extra := m.entries[0]
	extra.Executor = id
	return extra
}

// measureAdminCalls reads the metrics of all nodes adminCalls times.
func (m *measurement) measureAdminCalls() error {
	return m.measureChange("door", adminCalls, func() error {
		for range adminCalls {
			for _, p := range m.nodes {
				if _, err := p.metrics(); err != nil {
					return err
				}
			}
		}
		return nil
	}, func() bool { return true })
}

// measureListChange adds an executor to the endpoint list.
func (m *measurement) measureListChange(executors int) error {
	extra := m.extraEntry(extraExecutor)
	return m.measureChange("list", 1, func() error { m.discovery.Change(extra); return nil }, m.knowExecutors(executors))
}

// measureReload changes the configuration of all real nodes and makes them reload it.
func (m *measurement) measureReload() error {
	return m.measureChange("settings", 1, func() error {
		for _, p := range m.nodes {
			p.valueScale = 3
			if err := p.writeConfig(m.point, m.discoveryAddress); err != nil {
				return err
			}
			if err := p.reload(); err != nil {
				return err
			}
		}
		return nil
	}, func() bool { return m.allNodes(func(p *realNode) bool { return p.hasMetric("reloads_ok", 1) }) })
}

// measureUpdateBurst changes the weights of many executors within a second. Its last update removes an executor, so
// that the nodes' counts of executors show when they have received all updates.
func (m *measurement) measureUpdateBurst(executors int) error {
	return m.measureChange("burst", burstUpdates, func() error {
		for i := range burstUpdates - 1 {
			e := m.entries[i%len(m.entries)]
			e.Weight += float64(1 + i)
			m.discovery.Change(e)
			time.Sleep(cmp.Or(m.options.BurstDuration, time.Second) / burstUpdates)
		}
		extra := m.extraEntry(extraExecutor)
		extra.State = policy.Removed
		m.discovery.Change(extra)
		return nil
	}, m.knowExecutors(executors))
}

// measureZone removes all executors of a zone at once, and adds them again in slow start. It leaves out the last
// executor, which measureDrain has drained.
func (m *measurement) measureZone(executors int) error {
	var removed, restarted []emulator.Entry
	for i, e := range m.entries[:len(m.entries)-1] {
		if i%len(zones) == 1 {
			e.State = policy.Removed
			removed = append(removed, e)
			e.State, e.StartedLongAgo, e.StartedAt = policy.Available, false, time.Since(m.epoch)
			restarted = append(restarted, e)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	if err := m.measureChange("zone_gone", len(removed), func() error { m.discovery.Change(removed...); return nil }, m.knowExecutors(executors-len(removed))); err != nil {
		return err
	}
	return m.measureChange("zone_back", len(restarted), func() error { m.discovery.Change(restarted...); return nil }, m.knowExecutors(executors))
}

// measureDrain drains an executor. Real nodes are notified by discovery, stub nodes by gossip alone. Another executor
// is added with the drain, so that the real nodes' counts of executors show that they have received the change. Their
// counts of excluded executors cannot show it: these include ejected executors, of which there may be some for 10 s and
// more after a load that stalled.
func (m *measurement) measureDrain(executors int) error {
	drains, extra := m.entries[len(m.entries)-1], m.extraEntry("with the drain")
	drains.State = policy.Draining
	inForce := m.knowExecutors(executors)
	return m.measureChange("drain", 2, func() error { m.discovery.Change(drains, extra); return nil }, func() bool {
		if !inForce() {
			return false
		}
		if m.nodeStubs == nil {
			return true
		}
		c, err := m.nodeStubs.counts(drains.Executor)
		return err == nil && c.Gossip.KnowDrain == m.point.StubNodes
	})
}

// allNodes reports whether a condition holds for every real node.
func (m *measurement) allNodes(holds func(*realNode) bool) bool {
	for _, p := range m.nodes {
		if !holds(p) {
			return false
		}
	}
	return true
}

// measureChange makes changes and waits until a condition holds. It records the time from the last change until then,
// and the CPU time and bytes of discovery traffic that each change costs a node.
func (m *measurement) measureChange(what string, changes int, change func() error, holds func() bool) error {
	from, err := m.sample()
	if err != nil {
		return err
	}
	if err := change(); err != nil {
		return err
	}
	at := time.Now()
	if err := waitFor(changeTimeout, holds); err != nil {
		m.fail("%s: not in force at the last node: %v", what, err)
		return nil
	}
	took := time.Since(at)
	to, err := m.sample()
	if err != nil {
		return err
	}
	per := float64(len(m.nodes) * changes)
	f := m.row.Figures
	f[what+"_s"] = took.Seconds()
	f[what+"_us_change"] = float64((to.cpu - from.cpu).Microseconds()) / per
	f[what+"_b_change"] = float64(to.discoveryOut-from.discoveryOut) / per
	return nil
}
