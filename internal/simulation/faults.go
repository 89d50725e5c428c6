package simulation

import (
	"fmt"
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// script puts a fault on the clock: its start, and its end.
func (w *World) script(f emulator.Fault) {
	w.at(f.At, func() {
		w.note("fault: %v", f)
		w.begin(f)
		if f.For > 0 {
			w.after(f.For, func() {
				w.note("over: %v", f)
				w.end(f)
			})
		}
	})
}

// touched are the executors that a fault is on.
func (w *World) touched(f emulator.Fault) (all []*executor) {
	for _, x := range w.executors {
		if f.Touches(string(x.ID), w.s.Fleet.Zones[x.Zone]) {
			all = append(all, x)
		}
	}
	return all
}

// touchedNodes are the nodes that a fault is on.
func (w *World) touchedNodes(f emulator.Fault) (all []*sim) {
	for _, n := range w.nodes {
		if f.Touches(n.name, w.s.Fleet.Zones[n.zone]) {
			all = append(all, n)
		}
	}
	return all
}

func (w *World) cutZones(f emulator.Fault, in, out bool) {
	for i, zone := range w.s.Fleet.Zones {
		if !slices.Contains(f.Where, zone) {
			continue
		}
		until := w.now + f.For
		if in {
			w.cuts[i].in = max(w.cuts[i].in, until)
			for _, n := range w.nodes {
				if n.zone == policy.ZoneID(i) {
					w.checker.Apart(n.id, until)
				}
			}
		}
		if out {
			w.cuts[i].out = max(w.cuts[i].out, until)
		}
	}
	if w.wired != nil {
		w.wired.setCuts(w.cuts)
	}
}

// ofTalk are the kinds that only worlds of reducers alone can play: the network's nodes talk with nobody.
var ofTalk = []emulator.Kind{emulator.NodesApart, emulator.NodeLies, emulator.NodeStopped, emulator.WordsLost, emulator.ListCut}

func (w *World) begin(f emulator.Fault) {
	if w.wired != nil && slices.Contains(ofTalk, f.Kind) {
		return
	}
	switch f.Kind {
	case emulator.Slow, emulator.Stalls, emulator.Neighbour, emulator.Errors, emulator.Mute:
		for _, x := range w.touched(f) {
			x.faults = append(x.faults, f)
			x.suffer()
		}
	case emulator.Crash, emulator.Moved, emulator.Replace:
		for _, x := range w.touched(f) {
			x.stop(false)
		}
	case emulator.Vanish:
		for _, x := range w.touched(f) {
			x.stop(true)
		}
	case emulator.DrainOff:
		for _, x := range w.touched(f) {
			w.drain(x, f)
		}
	case emulator.TakenOut:
		for _, x := range w.touched(f) {
			w.takeOut(x, f)
		}
	case emulator.SentAway:
		for _, n := range w.touchedNodes(f) {
			n.order(node.DrainOn, "")
		}
	case emulator.ZoneLost:
		for _, x := range w.touched(f) {
			x.stop(true)
		}
		for _, n := range w.touchedNodes(f) {
			n.down++
			n.kill()
		}
	case emulator.ZoneCut:
		w.cutZones(f, true, true)
	case emulator.ZoneDeaf:
		w.cutZones(f, true, false)
	case emulator.ZoneMute:
		w.cutZones(f, false, true)
	case emulator.ResetNew:
		w.resetNew = f.Size
	case emulator.SilentNew:
		w.silentNew = f.Size
	case emulator.SilentOld:
		for _, c := range w.openWires() {
			if w.rand.Float64() < f.Size {
				c.silence()
			}
		}
	case emulator.ResetOld:
		w.resetOld(f, w.now+f.For)
	case emulator.ClientReset:
		w.resetClients(f, w.now+f.For)
	case emulator.ListLate:
		w.discovery.Late(time.Duration(f.Size * 1e9))
		w.checker.Apart(invariants.Nobody, w.now+time.Duration(w.s.Fleet.ListLag)+time.Duration(f.Size*1e9))
	case emulator.ListLost:
		w.discovery.Silence(true)
		w.checker.Cut(w.now, invariants.Nobody, true)
		w.tellAll(w.now + 100*time.Millisecond)
	case emulator.NodeKilled:
		for _, n := range w.touchedNodes(f) {
			n.down++
			n.kill()
		}
	case emulator.NodeRestart:
		for _, n := range w.touchedNodes(f) {
			n.down++
			n.stop()
		}
	case emulator.NodeStopped:
		for _, n := range w.touchedNodes(f) {
			n.halt(f)
		}
	case emulator.NodeLies, emulator.NodesApart, emulator.ListCut:
		for _, n := range w.touchedNodes(f) {
			n.amiss(f.Kind, true)
		}
	case emulator.WordsLost:
		w.wordsLost = f.Size
	case emulator.Burst:
		for _, c := range w.clients {
			c.Burst = f.Size
		}
	case emulator.HeavyTail:
		for _, c := range w.clients {
			c.Tail = emulator.TailOf(f.Size)
		}
	case emulator.ClockOff:
		w.clockOff = time.Duration(f.Size * 1e9)
	}
}

func (w *World) end(f emulator.Fault) {
	if w.wired != nil && slices.Contains(ofTalk, f.Kind) {
		return
	}
	switch f.Kind {
	case emulator.Slow, emulator.Stalls, emulator.Neighbour, emulator.Errors, emulator.Mute:
		for _, x := range w.touched(f) {
			x.faults = emulator.Without(x.faults, f)
			x.suffer()
		}
	case emulator.Crash, emulator.Vanish:
		for _, x := range w.touched(f) {
			x.back()
		}
	case emulator.Moved:
		for _, x := range w.touched(f) {
			if x.down == 1 {
				x.move()
			}
			x.back()
		}
	case emulator.Replace:
		for _, x := range w.touched(f) {
			if x.down == 1 { // it never comes back itself: down stays over 0
				w.replace(x)
			}
		}
	case emulator.TakenOut:
		for _, x := range w.touched(f) {
			for _, n := range w.nodes {
				n.order(node.ReadmitExecutor, x.ID)
			}
		}
	case emulator.SentAway:
		for _, n := range w.touchedNodes(f) {
			n.order(node.DrainOff, "")
		}
	case emulator.ZoneLost:
		for _, x := range w.touched(f) {
			x.back()
		}
		for _, n := range w.touchedNodes(f) {
			n.back()
		}
	case emulator.ResetNew:
		w.resetNew = 0
	case emulator.SilentNew:
		w.silentNew = 0
	case emulator.ListLate:
		w.discovery.Late(0)
		w.tellAll(w.now)
	case emulator.ListLost:
		w.discovery.Silence(false)
		w.checker.Cut(w.now, invariants.Nobody, false)
		w.tellAll(w.now)
	case emulator.NodeKilled, emulator.NodeRestart:
		for _, n := range w.touchedNodes(f) {
			n.back()
		}
	case emulator.NodeLies, emulator.NodesApart, emulator.ListCut:
		for _, n := range w.touchedNodes(f) {
			n.amiss(f.Kind, false)
		}
	case emulator.WordsLost:
		w.wordsLost = 0
	case emulator.Burst:
		for _, c := range w.clients {
			c.Burst = 0
		}
	case emulator.HeavyTail:
		for _, c := range w.clients {
			c.Tail = emulator.Tail{}
		}
	case emulator.ClockOff:
		w.clockOff = 0
	}
}

// amiss begins or ends what is wrong with a node that talks.
func (n *sim) amiss(k emulator.Kind, on bool) {
	switch k {
	case emulator.NodeLies:
		n.lies = one(on)
	case emulator.NodesApart:
		n.apart = on
	case emulator.ListCut:
		n.w.checker.Cut(n.w.now, n.id, on)
		if n.noList = on; !on && n.up {
			n.news()
		}
	}
}

// suffer puts all its troubles together.
func (x *executor) suffer() {
	t := emulator.Together(x.faults)
	t.Lies = x.Trouble().Lies
	x.does(x.Suffer(x.w.now, t))
}

// stop ends an executor. Silently: its machine is gone, and nothing says so to those connected to it; the list, which
// asks it, notices later.
func (x *executor) stop(silently bool) {
	x.down++
	if !x.Up {
		x.gone = x.gone || silently
		return
	}
	outs := x.Crash(x.w.now)
	if x.w.wired != nil {
		x.w.wired.endExecutor(x, silently)
	}
	if !silently {
		x.does(outs)
		x.w.change(x.entry(policy.Removed))
		return
	}
	x.gone = true
	x.wake++
	x.w.after(noticed, func() {
		if x.gone {
			x.w.change(x.entry(policy.Removed))
		}
	})
}

// noticed is how long the list service takes to notice that an executor which said nothing is gone.
const noticed = 2 * time.Second

// back ends one fault that keeps an executor down; with the last it starts again.
func (x *executor) back() {
	if x.down--; x.down > 0 {
		return
	}
	x.down = 0
	x.restart()
}

// back ends one fault that keeps a node down.
func (n *sim) back() {
	if n.down--; n.down > 0 {
		return
	}
	n.down = 0
	if n.up { // it is still on its way out
		n.down = 1
		n.later(100*time.Millisecond, n.back)
		n.w.after(100*time.Millisecond, func() {
			if !n.up && n.down == 1 {
				n.back()
			}
		})
		return
	}
	n.start()
}

// drain: the list says so first; later it takes nothing new, ends, and starts again cold when the fault is over.
func (w *World) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.down > 0 {
		return
	}
	x.down++
	born := x.Started
	w.change(x.entry(policy.Draining))
	w.after(time.Duration(w.s.Fleet.ListLag+w.s.Fleet.DrainGrace), func() {
		if x.Up && x.Started == born {
			x.Drains = true
		}
	})
	w.after(f.For*3/4, func() {
		if x.Up && x.Started == born {
			x.does(x.Crash(w.now))
			if w.wired != nil {
				w.wired.endExecutor(x, false)
			}
			w.change(x.entry(policy.Removed))
		}
	})
	w.after(f.For, x.back)
}

// takeOut has operators take an executor out at each node, and restart it meanwhile. The list says nothing of the first.
func (w *World) takeOut(x *executor, f emulator.Fault) {
	for _, n := range w.nodes {
		n.order(node.ExcludeExecutor, x.ID)
	}
	w.after(f.For/2, func() { x.stop(false) })
	w.after(f.For*3/4, x.back)
}

// replace puts another executor, cold, in the place of one that is gone for good.
func (w *World) replace(x *executor) {
	x.moves++
	y := w.addExecutor(fmt.Sprintf("%s-%d", x.ID, x.moves), x.number, x.Speed)
	y.Up = false
	y.restart()
}

// openWire is an open connection between a node and an executor that a fault can be put on.
type openWire interface {
	silence()                    // nothing comes back on it any more
	breakAt(after time.Duration) // it breaks
}

func (w *World) openWires() (all []openWire) {
	for _, n := range w.nodes {
		if n.life != nil && n.up {
			all = append(all, n.life.openWires()...)
		}
		for _, c := range sortedByID(n.wires) {
			if n.up && c.state == up {
				all = append(all, c)
			}
		}
	}
	return all
}

// resetClients breaks some of the connections that clients wait on, each second until the fault is over.
func (w *World) resetClients(f emulator.Fault, until time.Duration) {
	for _, n := range w.nodes {
		for _, t := range n.inHandTries() {
			if n.up && w.rand.Float64() < f.Size {
				n.cutClient(t)
			}
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetClients(f, until) })
	}
}

// resetOld breaks some of what is open, each second until the fault is over.
func (w *World) resetOld(f emulator.Fault, until time.Duration) {
	for _, c := range w.openWires() {
		if w.rand.Float64() < f.Size {
			c.breakAt(time.Duration(w.rand.Int64N(int64(time.Second))))
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetOld(f, until) })
	}
}
