package scaletest

import (
	"cmp"
	"fmt"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// cpu is what all real nodes have taken.
func (w *measurement) cpu() (total time.Duration, err error) {
	for _, p := range w.nodes {
		t, err := cpu(p.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		total += t
	}
	return total, nil
}

// sample is what all real nodes have taken and what was seen of them from outside, at a moment.
type sample struct {
	at           time.Time
	cpu          time.Duration
	counts       Counts // of the executors, summed
	fleet        fleetCounts
	discoveryIn  int64
	discoveryOut int64
}

func (w *measurement) sample() (s sample, err error) {
	s.at, s.discoveryIn, s.discoveryOut = time.Now(), w.discoveryTraffic.in.Load(), w.discoveryTraffic.out.Load()
	if s.cpu, err = w.cpu(); err != nil {
		return s, err
	}
	for _, h := range w.executorProcesses {
		c, err := h.counts("")
		if err != nil {
			return s, err
		}
		s.counts.Ran += c.Ran
		s.counts.Opened += c.Opened
		s.counts.In += c.In
		s.counts.Out += c.Out
		s.counts.Over += c.Over
	}
	if w.memberProcess != nil {
		c, err := w.memberProcess.counts("")
		if err != nil {
			return s, err
		}
		s.fleet = c.Fleet
	}
	return s, nil
}

// recordFootprint books what a node holds: the most that one of them does.
func (w *measurement) recordFootprint(when string) error {
	f := w.row.Figures
	for _, p := range w.nodes {
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

// recordGossip books what went between nodes over a stretch, for one real node. Real nodes tell hollow ones and each other alike, and only what goes to and from hollow
// ones is seen.
func (w *measurement) recordGossip(when string, from, to sample) {
	if w.memberProcess == nil {
		return
	}
	span := to.at.Sub(from.at).Seconds() * float64(len(w.nodes))
	if all := w.point.RealNodes + w.point.HollowNodes; w.point.RealNodes > 1 {
		span *= float64(w.point.HollowNodes) / float64(all-1)
	}
	f := w.row.Figures
	f["nodes_out_bps_"+when] = float64(to.fleet.BytesIn-from.fleet.BytesIn) / span
	f["nodes_in_bps_"+when] = float64(to.fleet.BytesOut-from.fleet.BytesOut) / span
	f["nodes_out_pps_"+when] = float64(to.fleet.PacketsIn-from.fleet.PacketsIn) / span
	f["nodes_in_pps_"+when] = float64(to.fleet.PacketsOut-from.fleet.PacketsOut) / span
	f["nodes_streams_ps_"+when] = float64(to.fleet.Streams-from.fleet.Streams) / span
}

// measureIdle watches the nodes at rest.
func (w *measurement) measureIdle() error {
	time.Sleep(w.options.Settle)
	from, err := w.sample()
	if err != nil {
		return err
	}
	time.Sleep(w.options.Span)
	to, err := w.sample()
	if err != nil {
		return err
	}
	nodes, span := float64(len(w.nodes)), to.at.Sub(from.at).Seconds()
	f := w.row.Figures
	f["idle_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / span / nodes
	f["list_in_bps_idle"] = float64(to.discoveryOut-from.discoveryOut) / span / nodes
	f["list_out_bps_idle"] = float64(to.discoveryIn-from.discoveryIn) / span / nodes
	f["executor_bps_idle"] = float64(to.counts.In+to.counts.Out-from.counts.In-from.counts.Out) / span / float64(w.point.Executors)
	w.recordGossip("idle", from, to)
	return w.recordFootprint("idle")
}

// measureLoad hands batch jobs in. The first stretch opens connections and brings as many tasks to run as are to; it is not counted.
func (w *measurement) measureLoad() error {
	opening := w.options.Settle
	if w.point.long() {
		opening = max(opening, longWork+time.Second)
	}
	l := newLoad(w.nodes, w.point)
	l.run("warm", opening)
	from, err := w.sample()
	if err != nil {
		return err
	}
	began := l.snapshot()
	due := l.run("job", w.options.Span)
	to, err := w.sample()
	if err != nil {
		return err
	}
	if err := w.recordFootprint("load"); err != nil {
		return err
	}
	inHand := 0
	for _, p := range w.nodes {
		if vars, err := p.metrics(); err == nil {
			inHand += vars["in_flight"]
		}
	}
	l.wait()
	f := w.row.Figures
	starts, span, nodes := float64(to.counts.Ran-from.counts.Ran), to.at.Sub(from.at).Seconds(), float64(len(w.nodes))
	f["starts_ps"] = starts / span
	f["load_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / span / nodes
	f["in_hand"] = float64(inHand) / nodes
	if starts > 0 {
		f["cpu_us_start"] = float64((to.cpu - from.cpu).Microseconds()) / starts
		f["dials_start"] = float64(to.counts.Opened-from.counts.Opened) / starts
		f["out_b_start"] = float64(to.counts.In-from.counts.In) / starts
		f["in_b_start"] = float64(to.counts.Out-from.counts.Out) / starts
	}
	f["shortfall_part"] = float64(l.delayed-began.delayed) / float64(max(1, due))
	f["handled_part"] = float64(l.succeeded) / float64(max(1, l.submitted))
	f["p50_ms"], f["p99_ms"] = l.percentile(0.5).Seconds()*1e3, l.percentile(0.99).Seconds()*1e3
	w.recordGossip("load", from, to)
	w.row.Wrong = append(w.row.Wrong, l.violations...)
	if l.answered+len(l.violations) != l.submitted {
		w.fail("%d batch jobs were handed in, %d answered", l.submitted, l.answered)
	}
	if to.counts.Over > 0 {
		w.fail("%d executors ran more tasks at once than they have places", to.counts.Over)
	}
	served := 0
	for _, p := range w.nodes {
		vars, err := p.metrics()
		if err != nil {
			return err
		}
		for _, class := range classes(w.point.PriorityLevels) {
			served += vars["requests."+class.name+".served"]
		}
	}
	if served != l.succeeded {
		w.fail("%d batch jobs were handled for their clients, and the nodes say %d", l.succeeded, served)
	}
	return nil
}

// measureChanges puts changes on the nodes and waits for each until it is in force at the last one.
func (w *measurement) measureChanges() error {
	known := w.point.Executors
	knows := func(n int) func() bool {
		return func() bool { return w.allNodes(func(p *realNode) bool { return p.hasMetric("executors_known", n) }) }
	}
	if err := w.measureChange("door", adminCalls, func() error {
		for range adminCalls {
			for _, p := range w.nodes {
				if _, err := p.metrics(); err != nil {
					return err
				}
			}
		}
		return nil
	}, func() bool { return true }); err != nil {
		return err
	}
	// One executor more on the list.
	more := w.entries[0]
	more.Executor = "more"
	known++
	if err := w.measureChange("list", 1, func() error { w.discovery.Change(more); return nil }, knows(known)); err != nil {
		return err
	}
	// Other settings.
	if err := w.measureChange("settings", 1, func() error {
		for _, p := range w.nodes {
			p.valueScale = 3
			if err := p.writeConfig(w.point, w.discoveryAddress); err != nil {
				return err
			}
			if err := p.reload(); err != nil {
				return err
			}
		}
		return nil
	}, func() bool { return w.allNodes(func(p *realNode) bool { return p.hasMetric("reloads_ok", 1) }) }); err != nil {
		return err
	}
	known++
	if err := w.measureDrain(known); err != nil {
		return err
	}
	// Fifty changes in a second, of other executors' weights, and one that can be seen from outside behind them.
	if err := w.measureChange("burst", burstChanges, func() error {
		for i := range burstChanges - 1 {
			e := w.entries[i%len(w.entries)]
			e.Weight += float64(1 + i)
			w.discovery.Change(e)
			time.Sleep(cmp.Or(w.options.Burst, time.Second) / burstChanges)
		}
		more.State = policy.Removed
		w.discovery.Change(more)
		return nil
	}, knows(known-1)); err != nil {
		return err
	}
	// A zone goes, all at once, and comes back cold.
	var gone, back []emulator.Entry
	for i, e := range w.entries[:len(w.entries)-1] {
		if i%len(zones) == 1 {
			e.State = policy.Removed
			gone = append(gone, e)
			e.State, e.StartedLongAgo, e.StartedAt = policy.Available, false, time.Since(w.epoch)
			back = append(back, e)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	if err := w.measureChange("zone_gone", len(gone), func() error { w.discovery.Change(gone...); return nil }, knows(known-1-len(gone))); err != nil {
		return err
	}
	return w.measureChange("zone_back", len(back), func() error { w.discovery.Change(back...); return nil }, knows(known-1))
}

// measureDrain lets an executor drain: real nodes hear it from discovery, hollow ones from nodes only. With it comes an executor more, by which the real nodes'
// doors show that they have the change. Guards against the count of executors that get nothing new, which holds those as well that a node has had errors
// of: after a load that stalled these are held back for 10 s and more, and the drain looked as late.
func (w *measurement) measureDrain(known int) error {
	drains, more := w.entries[len(w.entries)-1], w.entries[0]
	drains.State, more.Executor = policy.Draining, "with the drain"
	return w.measureChange("drain", 2, func() error { w.discovery.Change(drains, more); return nil }, func() bool {
		if !w.allNodes(func(p *realNode) bool { return p.hasMetric("executors_known", known) }) {
			return false
		}
		if w.memberProcess == nil {
			return true
		}
		c, err := w.memberProcess.counts(drains.Executor)
		return err == nil && c.Fleet.Drains == w.point.HollowNodes
	})
}

// adminCalls is how often figures are asked for, to learn what that costs.
const adminCalls = 20

// burstChanges is how many changes come in the busiest second.
const burstChanges = 50

func (w *measurement) allNodes(holds func(*realNode) bool) bool {
	for _, p := range w.nodes {
		if !holds(p) {
			return false
		}
	}
	return true
}

// measureChange books how long it took until some changes held at the last node, counted from the last of them, and what they cost.
func (w *measurement) measureChange(what string, changes int, change func() error, holds func() bool) error {
	from, err := w.sample()
	if err != nil {
		return err
	}
	if err := change(); err != nil {
		return err
	}
	at := time.Now()
	if err := waitFor(changeTimeout, holds); err != nil {
		w.fail("%s: not in force at the last node: %v", what, err)
		return nil
	}
	took := time.Since(at)
	to, err := w.sample()
	if err != nil {
		return err
	}
	per := float64(len(w.nodes) * changes)
	f := w.row.Figures
	f[what+"_s"] = took.Seconds()
	f[what+"_us_change"] = float64((to.cpu - from.cpu).Microseconds()) / per
	f[what+"_b_change"] = float64(to.discoveryOut-from.discoveryOut) / per
	return nil
}

// class is a kind of batch job: one for each figure that a message between nodes is to hold.
type class struct {
	name  string
	value float64
}

func classes(rungs int) (all []class) {
	for i := range max(1, rungs) {
		all = append(all, class{fmt.Sprint("batch", i), 1e-6 * float64(int(1)<<(i/2)) * (1 + 0.45*float64(i%2))})
	}
	return all
}
