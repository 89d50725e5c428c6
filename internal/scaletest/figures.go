package scaletest

import (
	"cmp"
	"fmt"
	"time"

	"birchstair/internal/emulator"
	"birchstair/policy"
)

// cpu is what all real nodes have taken.
func (w *world) cpu() (total time.Duration, err error) {
	for _, p := range w.nodes {
		t, err := cpu(p.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		total += t
	}
	return total, nil
}

// seen is what all real nodes have taken and what was seen of them from outside, at a moment.
type seen struct {
	at       time.Time
	cpu      time.Duration
	counts   Counts // of the executors, summed
	fleet    fleetCounts
	listsIn  int64
	listsOut int64
}

func (w *world) see() (s seen, err error) {
	s.at, s.listsIn, s.listsOut = time.Now(), w.lists.in.Load(), w.lists.out.Load()
	if s.cpu, err = w.cpu(); err != nil {
		return s, err
	}
	for _, h := range w.hollow {
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
	if w.members != nil {
		c, err := w.members.counts("")
		if err != nil {
			return s, err
		}
		s.fleet = c.Fleet
	}
	return s, nil
}

// stand books what a node holds: the most that one of them does.
func (w *world) stand(when string) error {
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

// words books what went between nodes over a stretch, for one real node. Real nodes tell hollow ones and each other alike, and only what goes to and from hollow
// ones is seen.
func (w *world) words(when string, from, to seen) {
	if w.members == nil {
		return
	}
	span := to.at.Sub(from.at).Seconds() * float64(len(w.nodes))
	if all := w.pt.Real + w.pt.Hollow; w.pt.Real > 1 {
		span *= float64(w.pt.Hollow) / float64(all-1)
	}
	f := w.row.Figures
	f["nodes_out_bps_"+when] = float64(to.fleet.BytesIn-from.fleet.BytesIn) / span
	f["nodes_in_bps_"+when] = float64(to.fleet.BytesOut-from.fleet.BytesOut) / span
	f["nodes_out_pps_"+when] = float64(to.fleet.PacketsIn-from.fleet.PacketsIn) / span
	f["nodes_in_pps_"+when] = float64(to.fleet.PacketsOut-from.fleet.PacketsOut) / span
	f["nodes_streams_ps_"+when] = float64(to.fleet.Streams-from.fleet.Streams) / span
}

// idle watches the nodes at rest.
func (w *world) idle() error {
	time.Sleep(w.o.Settle)
	from, err := w.see()
	if err != nil {
		return err
	}
	time.Sleep(w.o.Span)
	to, err := w.see()
	if err != nil {
		return err
	}
	nodes, span := float64(len(w.nodes)), to.at.Sub(from.at).Seconds()
	f := w.row.Figures
	f["idle_core_pct"] = 100 * (to.cpu - from.cpu).Seconds() / span / nodes
	f["list_in_bps_idle"] = float64(to.listsOut-from.listsOut) / span / nodes
	f["list_out_bps_idle"] = float64(to.listsIn-from.listsIn) / span / nodes
	f["executor_bps_idle"] = float64(to.counts.In+to.counts.Out-from.counts.In-from.counts.Out) / span / float64(w.pt.Executors)
	w.words("idle", from, to)
	return w.stand("idle")
}

// load hands batch jobs in. The first stretch opens connections and brings as many tasks to run as are to; it is not counted.
func (w *world) load() error {
	opening := w.o.Settle
	if w.pt.long() {
		opening = max(opening, longWork+time.Second)
	}
	l := newLoad(w.nodes, w.pt)
	l.start("warm", opening)
	from, err := w.see()
	if err != nil {
		return err
	}
	began := l.begin()
	due := l.start("job", w.o.Span)
	to, err := w.see()
	if err != nil {
		return err
	}
	if err := w.stand("load"); err != nil {
		return err
	}
	inHand := 0
	for _, p := range w.nodes {
		if vars, err := p.vars(); err == nil {
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
	f["shortfall_part"] = float64(l.late-began.late) / float64(max(1, due))
	f["handled_part"] = float64(l.handled) / float64(max(1, l.due))
	f["p50_ms"], f["p99_ms"] = l.within(0.5).Seconds()*1e3, l.within(0.99).Seconds()*1e3
	w.words("load", from, to)
	w.row.Wrong = append(w.row.Wrong, l.wrong...)
	if l.answered+len(l.wrong) != l.due {
		w.wrong("%d batch jobs were handed in, %d answered", l.due, l.answered)
	}
	if to.counts.Over > 0 {
		w.wrong("%d executors ran more tasks at once than they have places", to.counts.Over)
	}
	served := 0
	for _, p := range w.nodes {
		vars, err := p.vars()
		if err != nil {
			return err
		}
		for _, class := range classes(w.pt.Rungs) {
			served += vars["requests."+class.name+".served"]
		}
	}
	if served != l.handled {
		w.wrong("%d batch jobs were handled for their clients, and the nodes say %d", l.handled, served)
	}
	return nil
}

// changes puts changes on the nodes and waits for each until it is in force at the last one.
func (w *world) changes() error {
	known := w.pt.Executors
	knows := func(n int) func() bool {
		return func() bool { return w.all(func(p *proc) bool { return p.shows("executors_known", n) }) }
	}
	if err := w.inForce("door", doorCalls, func() error {
		for range doorCalls {
			for _, p := range w.nodes {
				if _, err := p.vars(); err != nil {
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
	if err := w.inForce("list", 1, func() error { w.list.Change(more); return nil }, knows(known)); err != nil {
		return err
	}
	// Other settings.
	if err := w.inForce("settings", 1, func() error {
		for _, p := range w.nodes {
			p.earns = 3
			if err := p.config(w.pt, w.at); err != nil {
				return err
			}
			if err := p.reread(); err != nil {
				return err
			}
		}
		return nil
	}, func() bool { return w.all(func(p *proc) bool { return p.shows("reloads_ok", 1) }) }); err != nil {
		return err
	}
	known++
	if err := w.drain(known); err != nil {
		return err
	}
	// Fifty changes in a second, of other executors' weights, and one that can be seen from outside behind them.
	if err := w.inForce("burst", burst, func() error {
		for i := range burst - 1 {
			e := w.entries[i%len(w.entries)]
			e.Weight += float64(1 + i)
			w.list.Change(e)
			time.Sleep(cmp.Or(w.o.Burst, time.Second) / burst)
		}
		more.State = policy.Removed
		w.list.Change(more)
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
	if err := w.inForce("zone_gone", len(gone), func() error { w.list.Change(gone...); return nil }, knows(known-1-len(gone))); err != nil {
		return err
	}
	return w.inForce("zone_back", len(back), func() error { w.list.Change(back...); return nil }, knows(known-1))
}

// drain lets an executor drain: real nodes hear it from discovery, hollow ones from nodes only. With it comes an executor more, by which the real nodes'
// doors show that they have the change. Guards against the count of executors that get nothing new, which holds those as well that a node has had errors
// of: after a load that stalled these are held back for 10 s and more, and the drain looked as late.
func (w *world) drain(known int) error {
	drains, more := w.entries[len(w.entries)-1], w.entries[0]
	drains.State, more.Executor = policy.Draining, "with the drain"
	return w.inForce("drain", 2, func() error { w.list.Change(drains, more); return nil }, func() bool {
		if !w.all(func(p *proc) bool { return p.shows("executors_known", known) }) {
			return false
		}
		if w.members == nil {
			return true
		}
		c, err := w.members.counts(drains.Executor)
		return err == nil && c.Fleet.Drains == w.pt.Hollow
	})
}

// doorCalls is how often figures are asked for, to learn what that costs.
const doorCalls = 20

// burst is how many changes come in the busiest second.
const burst = 50

func (w *world) all(holds func(*proc) bool) bool {
	for _, p := range w.nodes {
		if !holds(p) {
			return false
		}
	}
	return true
}

// inForce books how long it took until some changes held at the last node, counted from the last of them, and what they cost.
func (w *world) inForce(what string, changes int, change func() error, holds func() bool) error {
	from, err := w.see()
	if err != nil {
		return err
	}
	if err := change(); err != nil {
		return err
	}
	at := time.Now()
	if err := until(inForceIn, holds); err != nil {
		w.wrong("%s: not in force at the last node: %v", what, err)
		return nil
	}
	took := time.Since(at)
	to, err := w.see()
	if err != nil {
		return err
	}
	per := float64(len(w.nodes) * changes)
	f := w.row.Figures
	f[what+"_s"] = took.Seconds()
	f[what+"_us_change"] = float64((to.cpu - from.cpu).Microseconds()) / per
	f[what+"_b_change"] = float64(to.listsOut-from.listsOut) / per
	return nil
}

// class is a kind of batch job: one for each figure that a message between nodes is to hold.
type class struct {
	name  string
	earns float64
}

func classes(rungs int) (all []class) {
	for i := range max(1, rungs) {
		all = append(all, class{fmt.Sprint("batch", i), 1e-6 * float64(int(1)<<(i/2)) * (1 + 0.45*float64(i%2))})
	}
	return all
}
