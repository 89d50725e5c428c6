package scaletest

import (
	"time"
)

// cpu returns the CPU time of all real nodes.
func (m *measurement) cpu() (total time.Duration, err error) {
	for _, p := range m.nodes {
		t, err := cpu(p.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		total += t
	}
	return total, nil
}

// sample is the CPU time of all real nodes, and what was counted outside of them, at a time.
type sample struct {
	at           time.Time
	cpu          time.Duration
	counts       Counts // of the executors, summed
	fleet        gossipCounts
	discoveryIn  int64
	discoveryOut int64
}

// sample takes a sample.
func (m *measurement) sample() (s sample, err error) {
	s.at, s.discoveryIn, s.discoveryOut = time.Now(), m.discoveryTraffic.in.Load(), m.discoveryTraffic.out.Load()
	if s.cpu, err = m.cpu(); err != nil {
		return s, err
	}
	for _, h := range m.executorStubs {
		c, err := h.counts("")
		if err != nil {
			return s, err
		}
		s.counts.TasksStarted += c.TasksStarted
		s.counts.ConnsAccepted += c.ConnsAccepted
		s.counts.BytesRead += c.BytesRead
		s.counts.BytesWritten += c.BytesWritten
		s.counts.OverfullExecutors += c.OverfullExecutors
	}
	if m.nodeStubs != nil {
		c, err := m.nodeStubs.counts("")
		if err != nil {
			return s, err
		}
		s.fleet = c.Fleet
	}
	return s, nil
}

// recordFootprint records memory and descriptors of a node: the largest of any real node.
func (m *measurement) recordFootprint(when string) error {
	f := m.row.Figures
	for _, p := range m.nodes {
		now, most, err := memory(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		files, err := descriptors(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		f["rss_mb_"+when] = max(f["rss_mb_"+when], float64(now)/1e6)
		f["peak_mb"] = max(f["peak_mb"], float64(most)/1e6)
		f["files_"+when] = max(f["files_"+when], float64(files))
	}
	return nil
}

// recordGossip records the gossip traffic of a real node between two samples. Only traffic with hollow nodes is counted; since a node gossips
// with all peers alike, the rest is extrapolated.
func (m *measurement) recordGossip(when string, from, to sample) {
	if m.nodeStubs == nil {
		return
	}
	span := to.at.Sub(from.at).Seconds() * float64(len(m.nodes))
	if all := m.point.RealNodes + m.point.StubNodes; m.point.RealNodes > 1 {
		span *= float64(m.point.StubNodes) / float64(all-1)
	}
	f := m.row.Figures
	f["nodes_out_bps_"+when] = float64(to.fleet.BytesIn-from.fleet.BytesIn) / span
	f["nodes_in_bps_"+when] = float64(to.fleet.BytesOut-from.fleet.BytesOut) / span
	f["nodes_out_pps_"+when] = float64(to.fleet.PacketsIn-from.fleet.PacketsIn) / span
	f["nodes_in_pps_"+when] = float64(to.fleet.PacketsOut-from.fleet.PacketsOut) / span
	f["nodes_streams_ps_"+when] = float64(to.fleet.Streams-from.fleet.Streams) / span
}
