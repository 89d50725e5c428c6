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

// scheduleFault puts a fault on the clock: its start, and its end.
func (w *World) scheduleFault(f emulator.Fault) {
	w.at(f.At, func() {
		w.note("fault: %v", f)
		w.beginFault(f)
		if f.For > 0 {
			w.after(f.For, func() {
				w.note("over: %v", f)
				w.endFault(f)
			})
		}
	})
}

// faultedExecutors are the executors that a fault is on.
func (w *World) faultedExecutors(f emulator.Fault) (all []*executor) {
	for _, x := range w.executors {
		if f.Touches(string(x.ID), w.scenario.Fleet.Zones[x.Zone]) {
			all = append(all, x)
		}
	}
	return all
}

// faultedNodes are the nodes that a fault is on.
func (w *World) faultedNodes(f emulator.Fault) (all []*simNode) {
	for _, n := range w.nodes {
		if f.Touches(n.name, w.scenario.Fleet.Zones[n.zone]) {
			all = append(all, n)
		}
	}
	return all
}

func (w *World) partitionZones(f emulator.Fault, in, out bool) {
	for i, zone := range w.scenario.Fleet.Zones {
		if !slices.Contains(f.Where, zone) {
			continue
		}
		until := w.now + f.For
		if in {
			w.partitions[i].inboundUntil = max(w.partitions[i].inboundUntil, until)
			for _, n := range w.nodes {
				if n.zone == policy.ZoneID(i) {
					w.checker.Apart(n.id, until)
				}
			}
		}
		if out {
			w.partitions[i].outboundUntil = max(w.partitions[i].outboundUntil, until)
		}
	}
	if w.wired != nil {
		w.wired.setPartitions(w.partitions)
	}
}

// gossipFaults are the kinds that only worlds of reducers alone can play: the network's nodes talk with nobody.
var gossipFaults = []emulator.Kind{emulator.NodesApart, emulator.NodeLies, emulator.NodeStopped, emulator.WordsLost, emulator.ListCut}

func (w *World) beginFault(f emulator.Fault) {
	if w.wired != nil && slices.Contains(gossipFaults, f.Kind) {
		return
	}
	switch f.Kind {
	case emulator.Slow, emulator.Stalls, emulator.Neighbour, emulator.Errors, emulator.Mute:
		for _, x := range w.faultedExecutors(f) {
			x.faults = append(x.faults, f)
			x.updateFault()
		}
	case emulator.Crash, emulator.Moved, emulator.Replace:
		for _, x := range w.faultedExecutors(f) {
			x.stop(false)
		}
	case emulator.Vanish:
		for _, x := range w.faultedExecutors(f) {
			x.stop(true)
		}
	case emulator.DrainOff:
		for _, x := range w.faultedExecutors(f) {
			w.drain(x, f)
		}
	case emulator.TakenOut:
		for _, x := range w.faultedExecutors(f) {
			w.excludeAndRestart(x, f)
		}
	case emulator.SentAway:
		for _, n := range w.faultedNodes(f) {
			n.adminCall(node.DrainOn, "")
		}
	case emulator.ZoneLost:
		for _, x := range w.faultedExecutors(f) {
			x.stop(true)
		}
		for _, n := range w.faultedNodes(f) {
			n.activeDownFaults++
			n.kill()
		}
	case emulator.ZoneCut:
		w.partitionZones(f, true, true)
	case emulator.ZoneDeaf:
		w.partitionZones(f, true, false)
	case emulator.ZoneMute:
		w.partitionZones(f, false, true)
	case emulator.ResetNew:
		w.newConnResetRate = f.Size
	case emulator.SilentNew:
		w.newConnSilentRate = f.Size
	case emulator.SilentOld:
		for _, c := range w.openConns() {
			if w.networkRand.Float64() < f.Size {
				c.silence()
			}
		}
	case emulator.ResetOld:
		w.resetOpenConns(f, w.now+f.For)
	case emulator.ClientReset:
		w.resetClientConns(f, w.now+f.For)
	case emulator.ListLate:
		w.discovery.Late(time.Duration(f.Size * 1e9))
		w.checker.Apart(invariants.Nobody, w.now+time.Duration(w.scenario.Fleet.ListLag)+time.Duration(f.Size*1e9))
	case emulator.ListLost:
		w.discovery.Silence(true)
		w.checker.Cut(w.now, invariants.Nobody, true)
		w.notifyNodes(w.now + 100*time.Millisecond)
	case emulator.NodeKilled:
		for _, n := range w.faultedNodes(f) {
			n.activeDownFaults++
			n.kill()
		}
	case emulator.NodeRestart:
		for _, n := range w.faultedNodes(f) {
			n.activeDownFaults++
			n.shutDown()
		}
	case emulator.NodeStopped:
		for _, n := range w.faultedNodes(f) {
			n.suspend(f)
		}
	case emulator.NodeLies, emulator.NodesApart, emulator.ListCut:
		for _, n := range w.faultedNodes(f) {
			n.setFault(f.Kind, true)
		}
	case emulator.WordsLost:
		w.gossipLoss = f.Size
	case emulator.Burst:
		for _, c := range w.clients {
			c.Burst = f.Size
		}
	case emulator.HeavyTail:
		for _, c := range w.clients {
			c.Tail = emulator.TailOf(f.Size)
		}
	case emulator.ClockOff:
		w.clockOffset = time.Duration(f.Size * 1e9)
	}
}

func (w *World) endFault(f emulator.Fault) {
	if w.wired != nil && slices.Contains(gossipFaults, f.Kind) {
		return
	}
	switch f.Kind {
	case emulator.Slow, emulator.Stalls, emulator.Neighbour, emulator.Errors, emulator.Mute:
		for _, x := range w.faultedExecutors(f) {
			x.faults = emulator.Without(x.faults, f)
			x.updateFault()
		}
	case emulator.Crash, emulator.Vanish:
		for _, x := range w.faultedExecutors(f) {
			x.endDownFault()
		}
	case emulator.Moved:
		for _, x := range w.faultedExecutors(f) {
			if x.activeDownFaults == 1 {
				x.changeAddress()
			}
			x.endDownFault()
		}
	case emulator.Replace:
		for _, x := range w.faultedExecutors(f) {
			if x.activeDownFaults == 1 { // it never comes back itself: down stays over 0
				w.replace(x)
			}
		}
	case emulator.TakenOut:
		for _, x := range w.faultedExecutors(f) {
			for _, n := range w.nodes {
				n.adminCall(node.ReadmitExecutor, x.ID)
			}
		}
	case emulator.SentAway:
		for _, n := range w.faultedNodes(f) {
			n.adminCall(node.DrainOff, "")
		}
	case emulator.ZoneLost:
		for _, x := range w.faultedExecutors(f) {
			x.endDownFault()
		}
		for _, n := range w.faultedNodes(f) {
			n.endDownFault()
		}
	case emulator.ResetNew:
		w.newConnResetRate = 0
	case emulator.SilentNew:
		w.newConnSilentRate = 0
	case emulator.ListLate:
		w.discovery.Late(0)
		w.notifyNodes(w.now)
	case emulator.ListLost:
		w.discovery.Silence(false)
		w.checker.Cut(w.now, invariants.Nobody, false)
		w.notifyNodes(w.now)
	case emulator.NodeKilled, emulator.NodeRestart:
		for _, n := range w.faultedNodes(f) {
			n.endDownFault()
		}
	case emulator.NodeLies, emulator.NodesApart, emulator.ListCut:
		for _, n := range w.faultedNodes(f) {
			n.setFault(f.Kind, false)
		}
	case emulator.WordsLost:
		w.gossipLoss = 0
	case emulator.Burst:
		for _, c := range w.clients {
			c.Burst = 0
		}
	case emulator.HeavyTail:
		for _, c := range w.clients {
			c.Tail = emulator.Tail{}
		}
	case emulator.ClockOff:
		w.clockOffset = 0
	}
}

// setFault begins or ends what is wrong with a node that talks.
func (n *simNode) setFault(k emulator.Kind, on bool) {
	switch k {
	case emulator.NodeLies:
		n.corruption = indicator(on)
	case emulator.NodesApart:
		n.partitioned = on
	case emulator.ListCut:
		n.world.checker.Cut(n.world.now, n.id, on)
		if n.watchCut = on; !on && n.up {
			n.deliverEndpoints()
		}
	}
}

// updateFault puts all its troubles together.
func (x *executor) updateFault() {
	t := emulator.Together(x.faults)
	t.Lies = x.Trouble().Lies
	x.apply(x.Suffer(x.world.now, t))
}

// stop ends an executor. Silently: its machine is gone, and nothing says so to those connected to it; the list, which
// asks it, notices later.
func (x *executor) stop(silently bool) {
	x.activeDownFaults++
	if !x.Up {
		x.unreachable = x.unreachable || silently
		return
	}
	outs := x.Crash(x.world.now)
	if x.world.wired != nil {
		x.world.wired.endExecutor(x, silently)
	}
	if !silently {
		x.apply(outs)
		x.world.updateEndpoint(x.entry(policy.Removed))
		return
	}
	x.unreachable = true
	x.timerSeq++
	x.world.after(vanishDetection, func() {
		if x.unreachable {
			x.world.updateEndpoint(x.entry(policy.Removed))
		}
	})
}

// vanishDetection is how long the list service takes to notice that an executor which said nothing is gone.
const vanishDetection = 2 * time.Second

// endDownFault ends one fault that keeps an executor down; with the last it starts again.
func (x *executor) endDownFault() {
	if x.activeDownFaults--; x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults = 0
	x.restart()
}

// endDownFault ends one fault that keeps a node down.
func (n *simNode) endDownFault() {
	if n.activeDownFaults--; n.activeDownFaults > 0 {
		return
	}
	n.activeDownFaults = 0
	if n.up { // it is still on its way out
		n.activeDownFaults = 1
		n.later(100*time.Millisecond, n.endDownFault)
		n.world.after(100*time.Millisecond, func() {
			if !n.up && n.activeDownFaults == 1 {
				n.endDownFault()
			}
		})
		return
	}
	n.start()
}

// drain: the list says so first; later it takes nothing new, ends, and starts again cold when the fault is over.
func (w *World) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.activeDownFaults > 0 {
		return
	}
	x.activeDownFaults++
	born := x.Started
	w.updateEndpoint(x.entry(policy.Draining))
	w.after(time.Duration(w.scenario.Fleet.ListLag+w.scenario.Fleet.DrainGrace), func() {
		if x.Up && x.Started == born {
			x.Drains = true
		}
	})
	w.after(f.For*3/4, func() {
		if x.Up && x.Started == born {
			x.apply(x.Crash(w.now))
			if w.wired != nil {
				w.wired.endExecutor(x, false)
			}
			w.updateEndpoint(x.entry(policy.Removed))
		}
	})
	w.after(f.For, x.endDownFault)
}

// excludeAndRestart has operators take an executor out at each node, and restart it meanwhile. The list says nothing of the first.
func (w *World) excludeAndRestart(x *executor, f emulator.Fault) {
	for _, n := range w.nodes {
		n.adminCall(node.ExcludeExecutor, x.ID)
	}
	w.after(f.For/2, func() { x.stop(false) })
	w.after(f.For*3/4, x.endDownFault)
}

// replace puts another executor, cold, in the place of one that is gone for good.
func (w *World) replace(x *executor) {
	x.replacements++
	y := w.addExecutor(fmt.Sprintf("%s-%d", x.ID, x.replacements), x.number, x.Speed)
	y.Up = false
	y.restart()
}

// faultableConn is an open connection between a node and an executor that a fault can be put on.
type faultableConn interface {
	silence()                    // nothing comes back on it any more
	breakAt(after time.Duration) // it breaks
}

func (w *World) openConns() (all []faultableConn) {
	for _, n := range w.nodes {
		if n.process != nil && n.up {
			all = append(all, n.process.openConns()...)
		}
		for _, c := range sortedByID(n.conns) {
			if n.up && c.state == connUp {
				all = append(all, c)
			}
		}
	}
	return all
}

// resetClientConns breaks some of the connections that clients wait on, each second until the fault is over.
func (w *World) resetClientConns(f emulator.Fault, until time.Duration) {
	for _, n := range w.nodes {
		for _, t := range n.openRequests() {
			if n.up && w.networkRand.Float64() < f.Size {
				n.resetClient(t)
			}
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetClientConns(f, until) })
	}
}

// resetOpenConns breaks some of what is open, each second until the fault is over.
func (w *World) resetOpenConns(f emulator.Fault, until time.Duration) {
	for _, c := range w.openConns() {
		if w.networkRand.Float64() < f.Size {
			c.breakAt(time.Duration(w.networkRand.Int64N(int64(time.Second))))
		}
	}
	if w.now+time.Second < until {
		w.after(time.Second, func() { w.resetOpenConns(f, until) })
	}
}
