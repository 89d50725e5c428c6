package emulator

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind is a kind of fault, by its name in scenarios.
type FaultKind string

// The kinds of faults, with their targets and the meaning of Size.
const (
	SlowExecutors        FaultKind = "slow"         // executors run Size times slower
	Stalls               FaultKind = "stalls"       // executors stop for Size seconds, every 2 s
	NoisyNeighbor        FaultKind = "neighbour"    // another program takes the share Size of the machines of executors, on and off
	Errors               FaultKind = "errors"       // the fraction Size of the batch jobs of executors ends in a quick error
	Unresponsive         FaultKind = "mute"         // executors accept every attempt and send nothing
	Crash                FaultKind = "crash"        // executors crash, and restart in slow start when the fault ends
	HostLost             FaultKind = "vanish"       // executors and their machines disappear without a reset, and restart in slow start when the fault ends
	Replace              FaultKind = "replace"      // executors end, and others start in their places under new ids
	AddressChanged       FaultKind = "moved"        // executors end, and restart at another address
	Drain                FaultKind = "drain"        // executors drain and then end during the fault; they restart in slow start when it ends
	Excluded             FaultKind = "taken-out"    // operators exclude executors at each node, restart them, and readmit them when the fault ends
	ZoneLost             FaultKind = "zone-lost"    // a zone with its executors and nodes is down, and restarts when the fault ends
	ZonePartitioned      FaultKind = "zone-cut"     // a partition between a zone and the others
	ZoneInboundLost      FaultKind = "zone-deaf"    // packets into a zone are lost
	ZoneOutboundLost     FaultKind = "zone-mute"    // packets out of a zone are lost
	ResetNew             FaultKind = "reset-new"    // the fraction Size of new connections is reset at the first use
	ResetOld             FaultKind = "reset-old"    // the fraction Size of open connections is reset, every second
	UnresponsiveNew      FaultKind = "silent-new"   // the fraction Size of new connections returns nothing
	UnresponsiveOld      FaultKind = "silent-old"   // at the start of the fault, the fraction Size of open connections stops returning anything
	ClientReset          FaultKind = "client-reset" // the fraction Size of clients' connections is reset, every second; nodes learn of it late
	DiscoveryDelayed     FaultKind = "list-late"    // discovery publishes changes Size seconds later than usual
	DiscoveryStopped     FaultKind = "list-lost"    // discovery publishes nothing
	NodeKilled           FaultKind = "node-killed"  // nodes are killed, and restart when the fault ends
	ClientsDrained       FaultKind = "sent-away"    // operators drain the clients of nodes
	NodeRestart          FaultKind = "node-restart" // nodes shut down gracefully, and restart when the fault ends
	NodePaused           FaultKind = "node-stopped" // the processes of nodes are paused, and then read what arrived meanwhile
	FalseGossip          FaultKind = "node-lies"    // nodes send false gossip
	GossipPartitioned    FaultKind = "nodes-apart"  // no gossip passes between the nodes of the fault and the others
	GossipLost           FaultKind = "words-lost"   // the fraction Size of gossip messages is lost
	DiscoveryUnreachable FaultKind = "list-cut"     // nodes cannot reach discovery
	Burst                FaultKind = "burst"        // clients make Size times the usual load
	HeavyTail            FaultKind = "heavy-tail"   // one batch job in 50 costs Size times the usual
	SecondAnswers        FaultKind = "answer-twice" // executors send a second, late answer after the fraction Size of their answers; networked only
	ClockSkew            FaultKind = "clock-off"    // executors that start during the fault state a start Size seconds after the true one
)

// Target is the kind of target of a fault.
type Target int

// The kinds of targets.
const (
	OnExecutors Target = iota // executors; Fault.Where names them or their zones
	OnZone                    // whole zones; Fault.Where names at least one
	OnNodes                   // nodes; Fault.Where names them or their zones
	OnAll                     // all connections, all clients, or discovery
)

// kindSpec describes a kind of fault: its target and the bounds of its size. A kind without a unit has no size.
type kindSpec struct {
	target      Target
	least, most float64
	unit        string
}

var kinds = map[FaultKind]kindSpec{
	SlowExecutors: {OnExecutors, 1, 1000, "times slower"}, Stalls: {OnExecutors, 0.001, 1.9, "seconds"},
	NoisyNeighbor: {OnExecutors, 0.01, 0.99, "a fraction"}, Errors: {OnExecutors, 0.01, 1, "a fraction"},
	Unresponsive: {target: OnExecutors}, Crash: {target: OnExecutors}, HostLost: {target: OnExecutors}, Replace: {target: OnExecutors},
	AddressChanged: {target: OnExecutors}, Drain: {target: OnExecutors}, Excluded: {target: OnExecutors},
	ZoneLost: {target: OnZone}, ZonePartitioned: {target: OnZone}, ZoneInboundLost: {target: OnZone}, ZoneOutboundLost: {target: OnZone},
	ResetNew: {OnAll, 0.01, 1, "a fraction"}, ResetOld: {OnAll, 0.01, 1, "a fraction"},
	UnresponsiveNew: {OnAll, 0.01, 1, "a fraction"}, UnresponsiveOld: {OnAll, 0.01, 1, "a fraction"},
	ClientReset:      {OnAll, 0.01, 1, "a fraction"},
	DiscoveryDelayed: {OnAll, 0.01, 3600, "seconds"}, DiscoveryStopped: {target: OnAll},
	NodeKilled: {target: OnNodes}, NodeRestart: {target: OnNodes}, ClientsDrained: {target: OnNodes},
	NodePaused: {target: OnNodes}, FalseGossip: {target: OnNodes}, GossipPartitioned: {target: OnNodes}, DiscoveryUnreachable: {target: OnNodes},
	GossipLost: {OnAll, 0.01, 1, "a fraction"},
	Burst:      {OnAll, 1, 100, "times the usual"}, HeavyTail: {OnAll, 1, 1000, "times the usual"},
	SecondAnswers: {OnAll, 0.01, 1, "a fraction"},
	ClockSkew:     {OnAll, -3600, 3600, "seconds"},
}

// FaultKinds returns all kinds, in the order of their names.
func FaultKinds() (all []FaultKind) {
	for k := range kinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Target returns what a fault of the kind is on, and whether the kind exists.
func (k FaultKind) Target() (Target, bool) {
	s, ok := kinds[k]
	return s.target, ok
}

// SizeBounds returns the smallest and the largest size of the faults of a kind, and whether they have a size.
func (k FaultKind) SizeBounds() (least, most float64, ok bool) {
	s := kinds[k]
	return s.least, s.most, s.unit != ""
}

// CheckSize returns an error if a size is out of the bounds of a kind of fault, or is not 0 for a kind without a size.
func (k FaultKind) CheckSize(size float64) error {
	s := kinds[k]
	switch {
	case s.unit == "" && size != 0:
		return fmt.Errorf("%s has no size", k)
	case s.unit != "" && !(size >= s.least && size <= s.most):
		return fmt.Errorf("the size of %s must be from %v to %v (%s)", k, s.least, s.most, s.unit)
	}
	return nil
}

// Fault is a fault of a simulated or real cluster, for a limited time.
type Fault struct {
	Kind  FaultKind
	At    time.Duration // when it starts
	For   time.Duration // how long it lasts
	Where []string      // names of its targets: executors, zones or nodes; empty for all
	Size  float64       // its meaning depends on the kind; 0 if the kind has no size
}

// Affects reports whether a fault is on the executor or node of the given name, which is in the given zone.
func (f Fault) Affects(name, zone string) bool {
	return len(f.Where) == 0 || slices.Contains(f.Where, name) || slices.Contains(f.Where, zone)
}

// CombineFaults combines the faults of an executor.
func CombineFaults(faults []Fault) (sum ExecutorFaults) {
	for _, f := range faults {
		switch f.Kind {
		case SlowExecutors:
			sum.Slow = max(1, sum.Slow) * f.Size
		case Stalls:
			sum.StallFor, sum.StallEvery = time.Duration(f.Size*1e9), 2*time.Second
		case NoisyNeighbor:
			sum.NeighborShare = max(sum.NeighborShare, f.Size)
		case Errors:
			sum.ErrorRate = max(sum.ErrorRate, f.Size)
		case Unresponsive:
			sum.Unresponsive = true
		}
	}
	return sum
}

// RemoveFault returns the faults of an executor without one that has ended. It reuses the slice.
func RemoveFault(faults []Fault, removed Fault) []Fault {
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Kind == removed.Kind && f.At == removed.At && f.Size == removed.Size })
}

// String returns the fault in a form for people to read.
func (f Fault) String() string {
	s := fmt.Sprintf("%s from %v for %v", f.Kind, f.At, f.For)
	if f.Size != 0 {
		s += fmt.Sprintf(", %.3g", f.Size)
	}
	if len(f.Where) > 0 {
		s += fmt.Sprintf(" at %v", f.Where)
	}
	return s
}
