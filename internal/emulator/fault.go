package emulator

import (
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds: what a fault does, and what its size means.
const (
	Slow        Kind = "slow"         // executors run Size times slower
	Stalls      Kind = "stalls"       // they stand still for Size seconds, every 2 s
	Neighbour   Kind = "neighbour"    // another program takes the part Size of them, on and off
	Errors      Kind = "errors"       // the part Size of their batch jobs ends in a quick error
	Mute        Kind = "mute"         // they take all and answer none
	Crash       Kind = "crash"        // they end, and start again cold after it
	Vanish      Kind = "vanish"       // they and their machines are gone without a word, and start again cold after it
	Replace     Kind = "replace"      // they end, and others start cold in their places under new ids
	Moved       Kind = "moved"        // they end, and start again cold at another address
	DrainOff    Kind = "drain"        // they drain, end, and start again cold after it
	TakenOut    Kind = "taken-out"    // operators take them out at each node, restart them, and put them back after it
	ZoneLost    Kind = "zone-lost"    // a zone with its executors and nodes is gone, and starts cold after it
	ZoneCut     Kind = "zone-cut"     // nothing goes between a zone and the others
	ZoneDeaf    Kind = "zone-deaf"    // nothing gets into a zone
	ZoneMute    Kind = "zone-mute"    // nothing gets out of a zone
	ResetNew    Kind = "reset-new"    // the part Size of new connections breaks at its first use
	ResetOld    Kind = "reset-old"    // the part Size of all open connections breaks, once a second
	SilentNew   Kind = "silent-new"   // on the part Size of new connections nothing comes back
	SilentOld   Kind = "silent-old"   // at its start, the part Size of open connections falls silent for good
	ClientReset Kind = "client-reset" // the part Size of clients' connections breaks, once a second; nodes learn of it late
	ListLate    Kind = "list-late"    // the list is Size seconds later than usual
	ListLost    Kind = "list-lost"    // discovery tells nobody anything
	NodeKilled  Kind = "node-killed"  // nodes are killed, and start again after it
	SentAway    Kind = "sent-away"    // operators send nodes' clients away, until it is over
	NodeRestart Kind = "node-restart" // nodes are told to stop, and start again after it
	NodeStopped Kind = "node-stopped" // nodes' processes stand still, and then read all that came meanwhile
	NodeLies    Kind = "node-lies"    // nodes tell their neighbours nonsense
	NodesApart  Kind = "nodes-apart"  // no words pass between nodes and those that it is not on
	WordsLost   Kind = "words-lost"   // the part Size of words between nodes gets lost
	ListCut     Kind = "list-cut"     // nodes hear nothing from discovery
	Burst       Kind = "burst"        // Size times the usual traffic
	HeavyTail   Kind = "heavy-tail"   // one batch job in 50 costs Size times the usual
	ClockOff    Kind = "clock-off"    // executors that start meanwhile say that they did Size seconds later than true
)

// Sort says what a fault is put on.
type Sort int

// What faults are put on.
const (
	OnExecutors Sort = iota // executors that the fault names, or some by chance
	OnZone                  // a whole zone
	OnNodes                 // nodes that the fault names, or some by chance
	OnAll                   // connections, discovery or clients
)

// kindSpec says what the size of a kind must be; a kind with no bounds takes none.
type kindSpec struct {
	target      Sort
	least, most float64
	unit        string
}

var kinds = map[Kind]kindSpec{
	Slow: {OnExecutors, 1, 1000, "times slower"}, Stalls: {OnExecutors, 0.001, 1.9, "seconds"},
	Neighbour: {OnExecutors, 0.01, 0.99, "a part"}, Errors: {OnExecutors, 0.01, 1, "a part"},
	Mute: {target: OnExecutors}, Crash: {target: OnExecutors}, Vanish: {target: OnExecutors}, Replace: {target: OnExecutors},
	Moved: {target: OnExecutors}, DrainOff: {target: OnExecutors}, TakenOut: {target: OnExecutors},
	ZoneLost: {target: OnZone}, ZoneCut: {target: OnZone}, ZoneDeaf: {target: OnZone}, ZoneMute: {target: OnZone},
	ResetNew: {OnAll, 0.01, 1, "a part"}, ResetOld: {OnAll, 0.01, 1, "a part"},
	SilentNew: {OnAll, 0.01, 1, "a part"}, SilentOld: {OnAll, 0.01, 1, "a part"},
	ClientReset: {OnAll, 0.01, 1, "a part"},
	ListLate:    {OnAll, 0.01, 3600, "seconds"}, ListLost: {target: OnAll},
	NodeKilled: {target: OnNodes}, NodeRestart: {target: OnNodes}, SentAway: {target: OnNodes},
	NodeStopped: {target: OnNodes}, NodeLies: {target: OnNodes}, NodesApart: {target: OnNodes}, ListCut: {target: OnNodes},
	WordsLost: {OnAll, 0.01, 1, "a part"},
	Burst:     {OnAll, 1, 100, "times the usual"}, HeavyTail: {OnAll, 1, 1000, "times the usual"},
	ClockOff: {OnAll, -3600, 3600, "seconds"},
}

// Kinds are all kinds, in the order of their names.
func Kinds() (all []Kind) {
	for k := range kinds {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// On says what a kind is put on, and whether there is such a kind.
func (k Kind) On() (Sort, bool) {
	s, ok := kinds[k]
	return s.target, ok
}

// Sized says whether a kind has a size, and gives its bounds.
func (k Kind) Sized() (least, most float64, ok bool) {
	s := kinds[k]
	return s.least, s.most, s.unit != ""
}

// CheckSize says what is wrong with a size.
func (k Kind) CheckSize(size float64) error {
	s := kinds[k]
	switch {
	case s.unit == "" && size != 0:
		return fmt.Errorf("%s has no size", k)
	case s.unit != "" && !(size >= s.least && size <= s.most):
		return fmt.Errorf("the size of %s is %s, from %v to %v", k, s.unit, s.least, s.most)
	}
	return nil
}

// Fault is something that goes wrong from At on for the span For, in places that Where names: executors, zones or nodes
// by their names, or nothing for all of them.
type Fault struct {
	Kind  Kind
	At    time.Duration
	For   time.Duration
	Where []string
	Size  float64
}

// Touches says whether a fault is on what bears that name in that zone.
func (f Fault) Touches(name, zone string) bool {
	return len(f.Where) == 0 || slices.Contains(f.Where, name) || slices.Contains(f.Where, zone)
}

// Together puts the troubles of an executor's faults together.
func Together(faults []Fault) (t Trouble) {
	for _, f := range faults {
		switch f.Kind {
		case Slow:
			t.Slow = max(1, t.Slow) * f.Size
		case Stalls:
			t.StallFor, t.StallEvery = time.Duration(f.Size*1e9), 2*time.Second
		case Neighbour:
			t.Neighbour = max(t.Neighbour, f.Size)
		case Errors:
			t.Errors = max(t.Errors, f.Size)
		case Mute:
			t.Mute = true
		}
	}
	return t
}

// Without takes a fault that is over out of an executor's.
func Without(faults []Fault, over Fault) []Fault {
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Kind == over.Kind && f.At == over.At && f.Size == over.Size })
}

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
