package simulation

import (
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
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
