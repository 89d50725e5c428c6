package simulation

import (
	"slices"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
)

// watchLossDelay is the time until nodes notice that discovery is unresponsive.
const watchLossDelay = 100 * time.Millisecond

// gossipFaults are the kinds of fault that networked simulations ignore. The nodes of a networked simulation do not
// gossip, and they all run in one operating-system process.
var gossipFaults = []emulator.FaultKind{emulator.GossipPartitioned, emulator.FalseGossip, emulator.NodePaused, emulator.GossipLost, emulator.DiscoveryUnreachable}

// scheduleFault schedules the begin and the end of a fault.
func (sim *Simulation) scheduleFault(fault emulator.Fault) {
	sim.at(fault.At, func() {
		sim.note("fault: %v", fault)
		sim.setFault(fault, true)
		if fault.For > 0 {
			sim.after(fault.For, func() {
				sim.note("over: %v", fault)
				sim.setFault(fault, false)
			})
		}
	})
}

// setFault begins or ends a fault.
func (sim *Simulation) setFault(fault emulator.Fault, on bool) {
	if sim.networked != nil && slices.Contains(gossipFaults, fault.Kind) {
		return
	}
	size := fault.Size
	if !on {
		size = 0
	}
	switch fault.Kind {
	case emulator.ZonePartitioned, emulator.ZoneInboundLost, emulator.ZoneOutboundLost:
		if on { // a partition ends by itself
			sim.partitionZones(fault, fault.Kind != emulator.ZoneOutboundLost, fault.Kind != emulator.ZoneInboundLost)
		}
	case emulator.ResetNew:
		sim.newConnResetRate = size
	case emulator.SecondAnswers:
		sim.secondAnswerRate = size
	case emulator.UnresponsiveNew:
		sim.newConnUnresponsiveRate = size
	case emulator.UnresponsiveOld, emulator.ResetOld, emulator.ClientReset:
		if on {
			sim.beginConnFault(fault)
		}
	case emulator.DiscoveryDelayed:
		sim.setDiscoveryDelay(secondsOf(size), on)
	case emulator.DiscoveryStopped:
		sim.setDiscoveryUnresponsive(on)
	case emulator.GossipLost:
		sim.gossipLoss = size
	case emulator.Burst, emulator.HeavyTail:
		sim.setClientFault(fault, on)
	case emulator.ClockSkew:
		sim.clockOffset = secondsOf(size)
	default:
		sim.setProcessFault(fault, on)
	}
}

func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

// setProcessFault begins or ends a fault on each affected executor and node.
func (sim *Simulation) setProcessFault(fault emulator.Fault, on bool) {
	for _, x := range sim.faultedExecutors(fault) {
		if on {
			x.beginFault(fault)
		} else {
			x.endFault(fault)
		}
	}
	for _, n := range sim.faultedNodes(fault) {
		if on {
			n.beginFault(fault)
		} else {
			n.endFault(fault)
		}
	}
}

// faultedExecutors returns the executors that a fault affects. There are none if faults of this kind do not affect
// executors.
func (sim *Simulation) faultedExecutors(fault emulator.Fault) (all []*executor) {
	if on, _ := fault.Kind.Target(); on != emulator.OnExecutors && fault.Kind != emulator.ZoneLost {
		return nil
	}
	for _, x := range sim.executors {
		if fault.Affects(string(x.ID), sim.scenario.Fleet.Zones[x.Zone]) {
			all = append(all, x)
		}
	}
	return all
}

// faultedNodes returns the nodes that a fault affects. There are none if faults of this kind do not affect nodes.
func (sim *Simulation) faultedNodes(fault emulator.Fault) (all []*simNode) {
	if on, _ := fault.Kind.Target(); on != emulator.OnNodes && fault.Kind != emulator.ZoneLost {
		return nil
	}
	for _, n := range sim.nodes {
		if fault.Affects(n.name, sim.scenario.Fleet.Zones[n.zone]) {
			all = append(all, n)
		}
	}
	return all
}

// setDiscoveryDelay begins or ends a delay of all updates of the endpoint list.
func (sim *Simulation) setDiscoveryDelay(delay time.Duration, on bool) {
	sim.discovery.SetDelay(delay)
	if on {
		sim.checker.UnreachableUntil(invariants.NoNode, sim.now+time.Duration(sim.scenario.Fleet.DiscoveryLag)+delay)
	} else {
		sim.notifyNodes(sim.now)
	}
}

// setDiscoveryUnresponsive makes discovery unresponsive, or lets it answer again.
func (sim *Simulation) setDiscoveryUnresponsive(unresponsive bool) {
	sim.discovery.SetStopped(unresponsive)
	sim.checker.SetUnreachable(sim.now, invariants.NoNode, unresponsive)
	at := sim.now
	if unresponsive {
		at += watchLossDelay
	}
	sim.notifyNodes(at)
}

// setClientFault begins or ends a fault that changes the clients' traffic.
func (sim *Simulation) setClientFault(fault emulator.Fault, on bool) {
	for _, c := range sim.clients {
		switch {
		case fault.Kind == emulator.Burst && on:
			c.Burst = fault.Size
		case fault.Kind == emulator.Burst:
			c.Burst = 0
		case on:
			c.Tail = emulator.TailOf(fault.Size)
		default:
			c.Tail = emulator.Tail{}
		}
	}
}

// beginFault begins a fault on the node.
func (n *simNode) beginFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.ClientsDrained:
		n.adminCall(node.DrainOn, "")
	case emulator.NodeKilled, emulator.ZoneLost:
		n.activeDownFaults++
		n.kill()
	case emulator.NodeRestart:
		n.activeDownFaults++
		n.shutDown()
	case emulator.NodePaused:
		n.suspend(fault)
	default:
		n.setPeerFault(fault.Kind, true)
	}
}

// endFault ends a fault on the node. A suspended node resumes by itself.
func (n *simNode) endFault(fault emulator.Fault) {
	switch fault.Kind {
	case emulator.ClientsDrained:
		n.adminCall(node.DrainOff, "")
	case emulator.NodeKilled, emulator.NodeRestart, emulator.ZoneLost:
		n.endDownFault()
	default:
		n.setPeerFault(fault.Kind, false)
	}
}

// setPeerFault begins or ends a fault of the node's gossip or of its connection to discovery.
func (n *simNode) setPeerFault(kind emulator.FaultKind, on bool) {
	switch kind {
	case emulator.FalseGossip:
		n.corruption = countTrue(on)
	case emulator.GossipPartitioned:
		n.partitioned = on
	case emulator.DiscoveryUnreachable:
		n.sim.checker.SetUnreachable(n.sim.now, n.id, on)
		n.watchLost = on
		if !on && n.up {
			n.deliverEndpoints()
		}
	}
}
