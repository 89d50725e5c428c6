package scaletest

import (
	"time"
)

// cpu returns the CPU time that all real nodes together have used.
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

// sample holds the CPU time of all real nodes and the counts of the stubs and of discovery at one time.
type sample struct {
	at           time.Time
	cpu          time.Duration
	counts       Counts // sum over the processes with stub executors
	gossip       gossipCounts
	discoveryIn  int64 // bytes that discovery has read
	discoveryOut int64 // bytes that discovery has written
}

// sample takes a sample.
func (m *measurement) sample() (s sample, err error) {
	s.at, s.discoveryIn, s.discoveryOut = time.Now(), m.discoveryTraffic.bytesRead.Load(), m.discoveryTraffic.bytesWritten.Load()
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
		s.gossip = c.Gossip
	}
	return s, nil
}

// recordFootprint records the memory and the number of descriptors of the real nodes, each as the largest over all of
// them.
func (m *measurement) recordFootprint(when string) error {
	f := m.row.Figures
	for _, p := range m.nodes {
		now, peak, err := memory(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		files, err := descriptors(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		f["rss_mb_"+when] = max(f["rss_mb_"+when], float64(now)/1e6)
		f["peak_mb"] = max(f["peak_mb"], float64(peak)/1e6)
		f["files_"+when] = max(f["files_"+when], float64(files))
	}
	return nil
}

// recordGossip records the gossip traffic of a real node between two samples. Only its traffic with stub nodes is
// counted. A node treats all its peers in the same way, so the traffic with other real nodes is extrapolated from that.
func (m *measurement) recordGossip(when string, from, to sample) {
	if m.nodeStubs == nil {
		return
	}
	seconds := to.at.Sub(from.at).Seconds() * float64(len(m.nodes))
	if all := m.point.RealNodes + m.point.StubNodes; m.point.RealNodes > 1 {
		seconds *= float64(m.point.StubNodes) / float64(all-1)
	}
	f := m.row.Figures
	f["nodes_out_bps_"+when] = float64(to.gossip.BytesIn-from.gossip.BytesIn) / seconds
	f["nodes_in_bps_"+when] = float64(to.gossip.BytesOut-from.gossip.BytesOut) / seconds
	f["nodes_out_pps_"+when] = float64(to.gossip.PacketsIn-from.gossip.PacketsIn) / seconds
	f["nodes_in_pps_"+when] = float64(to.gossip.PacketsOut-from.gossip.PacketsOut) / seconds
	f["nodes_streams_ps_"+when] = float64(to.gossip.Streams-from.gossip.Streams) / seconds
}
