package emulator

import (
	"fmt"
	"slices"
	"time"
)

// FaultKind is a kind of fault, by its name in scenarios.
type FaultKind string

// The kinds of faults: what a fault does, and what its size means.
const (
	SlowExecutors        FaultKind = "slow"         // executors run Size times slower
	Stalls               FaultKind = "stalls"       // they stop for Size seconds, every 2 s
	NoisyNeighbor        FaultKind = "neighbour"    // another program takes the share Size of them, on and off
	Errors               FaultKind = "errors"       // the share Size of their batch jobs ends in a quick error
	Unresponsive         FaultKind = "mute"         // they accept everything and answer nothing
	Crash                FaultKind = "crash"        // they end, and restart in slow start after it
	HostLost             FaultKind = "vanish"       // they and their machines disappear without a reset, and restart in slow start after it
	Replace              FaultKind = "replace"      // they end, and others start in their places under new ids
	AddressChanged       FaultKind = "moved"        // they end, and restart at another address
	Drain                FaultKind = "drain"        // they drain, end, and restart in slow start after it
	Excluded             FaultKind = "taken-out"    // operators exclude them at each node, restart them, and readmit them after it
	ZoneLost             FaultKind = "zone-lost"    // a zone with its executors and nodes is down, and restarts after it
	ZonePartitioned      FaultKind = "zone-cut"     // a partition between a zone and the others
	ZoneInboundLost      FaultKind = "zone-deaf"    // packets into a zone are lost
	ZoneOutboundLost     FaultKind = "zone-mute"    // packets out of a zone are lost
	ResetNew             FaultKind = "reset-new"    // the share Size of new connections is reset at the first use
	ResetOld             FaultKind = "reset-old"    // the share Size of open connections is reset, every second
	UnresponsiveNew      FaultKind = "silent-new"   // the share Size of new connections returns nothing
	UnresponsiveOld      FaultKind = "silent-old"   // at its start, the share Size of open connections stops returning anything
	ClientReset          FaultKind = "client-reset" // the share Size of clients' connections is reset, every second; nodes learn of it late
	DiscoveryDelayed     FaultKind = "list-late"    // discovery publishes Size seconds later than usual
	DiscoveryStopped     FaultKind = "list-lost"    // discovery publishes nothing
	NodeKilled           FaultKind = "node-killed"  // nodes are killed, and restart after it
	ClientsDrained       FaultKind = "sent-away"    // operators drain nodes' clients
	NodeRestart          FaultKind = "node-restart" // nodes shut down gracefully, and restart after it
	NodePaused           FaultKind = "node-stopped" // nodes' processes are paused, and then read what arrived meanwhile
	FalseGossip          FaultKind = "node-lies"    // nodes send false gossip
	GossipPartitioned    FaultKind = "nodes-apart"  // no gossip passes between these nodes and the others
	GossipLost           FaultKind = "words-lost"   // the share Size of gossip messages is lost
	DiscoveryUnreachable FaultKind = "list-cut"     // nodes cannot reach discovery
	Burst                FaultKind = "burst"        // Size times the usual load
	HeavyTail            FaultKind = "heavy-tail"   // one batch job in 50 costs Size times the usual
	ClockSkew            FaultKind = "clock-off"    // executors that start meanwhile state a start Size seconds after the true one
)

// Target is the kind of target of a fault.
type Target int

// The kinds of targets.
const (
	OnExecutors Target = iota // executors that the fault names, or random ones
	OnZone                    // a whole zone
	OnNodes                   // nodes that the fault names, or random ones
	OnAll                     // connections, discovery or clients
)

// kindSpec describes a kind of fault: its target and the bounds of its size. A kind without a unit has no size.
type kindSpec struct {
	target      Target
	least, most float64
	unit        string
}

var kinds = map[FaultKind]kindSpec{
	SlowExecutors: {OnExecutors, 1, 1000, "times slower"}, Stalls: {OnExecutors, 0.001, 1.9, "seconds"},
	NoisyNeighbor: {OnExecutors, 0.01, 0.99, "a part"}, Errors: {OnExecutors, 0.01, 1, "a part"},
	Unresponsive: {target: OnExecutors}, Crash: {target: OnExecutors}, HostLost: {target: OnExecutors}, Replace: {target: OnExecutors},
	AddressChanged: {target: OnExecutors}, Drain: {target: OnExecutors}, Excluded: {target: OnExecutors},
	ZoneLost: {target: OnZone}, ZonePartitioned: {target: OnZone}, ZoneInboundLost: {target: OnZone}, ZoneOutboundLost: {target: OnZone},
	ResetNew: {OnAll, 0.01, 1, "a part"}, ResetOld: {OnAll, 0.01, 1, "a part"},
	UnresponsiveNew: {OnAll, 0.01, 1, "a part"}, UnresponsiveOld: {OnAll, 0.01, 1, "a part"},
	ClientReset:      {OnAll, 0.01, 1, "a part"},
	DiscoveryDelayed: {OnAll, 0.01, 3600, "seconds"}, DiscoveryStopped: {target: OnAll},
	NodeKilled: {target: OnNodes}, NodeRestart: {target: OnNodes}, ClientsDrained: {target: OnNodes},
	NodePaused: {target: OnNodes}, FalseGossip: {target: OnNodes}, GossipPartitioned: {target: OnNodes}, DiscoveryUnreachable: {target: OnNodes},
	GossipLost: {OnAll, 0.01, 1, "a part"},
	Burst:      {OnAll, 1, 100, "times the usual"}, HeavyTail: {OnAll, 1, 1000, "times the usual"},
	ClockSkew: {OnAll, -3600, 3600, "seconds"},
}

// FaultKinds returns all kinds, in the order of their names.
func FaultKinds() (all []FaultKind) {
	for k := range kinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Target returns the target of a kind, and whether the kind exists.
func (k FaultKind) Target() (Target, bool) {
	s, ok := kinds[k]
	return s.target, ok
}

// SizeBounds returns the bounds of the size of a kind, and whether it has one.
func (k FaultKind) SizeBounds() (least, most float64, ok bool) {
	s := kinds[k]
	return s.least, s.most, s.unit != ""
}

// CheckSize returns an error if a size is out of the bounds of a kind.
func (k FaultKind) CheckSize(size float64) error {
	s := kinds[k]
	switch {
	case s.unit == "" && size != 0:
		return fmt.Errorf("%s has no size", k)
	case s.unit != "" && !(size >= s.least && size <= s.most):
		return fmt.Errorf("the size of %s is %s, from %v to %v", k, s.unit, s.least, s.most)
	}
	return nil
}

// Fault is a fault from At on for the time For. Where names its targets, executors, zones or nodes; if empty, it is on all of them.
type Fault struct {
	Kind  FaultKind
	At    time.Duration
	For   time.Duration
	Where []string
	Size  float64
}

// Affects reports whether a fault is on the target with a name in a zone.
func (f Fault) Affects(name, zone string) bool {
	return len(f.Where) == 0 || slices.Contains(f.Where, name) || slices.Contains(f.Where, zone)
}

// CombineFaults returns the sum of an executor's faults.
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

// RemoveFault returns an executor's faults without one that is over. It reuses the slice.
func RemoveFault(faults []Fault, removed Fault) []Fault {
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Kind == removed.Kind && f.At == removed.At && f.Size == removed.Size })
}

// String returns the fault as people read it.
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
