package cluster

import (
	"slices"
	"time"

	"birchstair/policy"
)

// suspendedIntervals is how many gossip intervals may pass without a Tick before the node counts as having been suspended:
// messages that waited unread meanwhile are old, and so are its own rates.
const suspendedIntervals = 3

// NodeName is a node's name in the fleet.
type NodeName string

// Settings are the settings of a node of a fleet.
type Settings struct {
	Self           NodeName
	Incarnation    uint64        // of this process, increasing with each start: Unix milliseconds at its start
	Seed           uint32        // for random choices
	Epoch          int64         // Unix milliseconds at which this node's time starts, by the clock that dates its endpoint list
	GossipInterval time.Duration // between two rounds of messages
	Fanout         int           // messages per round
	PeerStateTTL   time.Duration // how long the rates of a peer count after they were received
	DrainTTL       time.Duration // how long a drain counts after a node's own list last reported it
}

// Defaults returns the settings of a node with the defaults of a fleet.
func Defaults(self NodeName, incarnation uint64, seed uint32) Settings {
	return Settings{
		Self:           self,
		Incarnation:    incarnation,
		Seed:           seed,
		Epoch:          int64(incarnation),
		GossipInterval: 250 * time.Millisecond,
		Fanout:         3,
		PeerStateTTL:   4 * time.Second,
		DrainTTL:       10 * time.Second,
	}
}

// State is what a node knows of its fleet. Its methods are not safe for concurrent use.
type State struct {
	settings Settings
	nextTick time.Duration
	lastTick time.Duration
	draws    uint32 // random numbers drawn so far

	peers     peerTable
	drains    drainTable
	own       ownLoad
	threshold policy.AdmissionThreshold
	shedding  bool // the threshold rejects jobs
}

// New creates the state of a node that has heard of no other node yet.
func New(s Settings) *State {
	return &State{
		settings: s,
		nextTick: s.GossipInterval,
		peers:    peerTable{states: map[NodeName]*peerState{}, dropped: map[string]int{}},
		drains:   drainTable{states: map[policy.ExecutorID]*drainState{}, endedAt: map[policy.ExecutorID]time.Duration{}},
		own:      ownLoad{rates: Rates{Offered: map[int]float64{}}},
	}
}

// random returns the next number of the node's random sequence, in [0, 1).
func (f *State) random() float64 {
	f.draws++
	return policy.Random(f.settings.Seed, f.draws)
}

// Next returns when Tick is due.
func (f *State) Next() time.Duration { return f.nextTick }

// SetAlive sets which nodes of the fleet are alive. Self may be among them.
func (f *State) SetAlive(names []NodeName) {
	alive := slices.DeleteFunc(slices.Sorted(slices.Values(names)), func(name NodeName) bool { return name == f.settings.Self })
	f.peers.alive = slices.Compact(alive)
}

// Tick is due every gossip interval. It takes in the load that the policy saw since the last tick, and returns the messages to
// send and the admission threshold from now on.
func (f *State) Tick(now time.Duration, load policy.LoadSummary) ([]Envelope, policy.AdmissionThreshold) {
	elapsed := now - f.lastTick
	f.lastTick, f.nextTick = now, now+f.settings.GossipInterval
	if f.suspended(elapsed) {
		f.peers.ignoreUntil = now + f.settings.GossipInterval
		f.shedding = false
		f.own.reset()
	} else {
		f.own.add(load, elapsed)
	}
	f.peers.expire(now, peerRetention*f.settings.PeerStateTTL)
	f.updateThreshold(now)
	return f.round(now), f.threshold
}

// suspended reports whether so much time between ticks means that this process did not run.
func (f *State) suspended(elapsed time.Duration) bool {
	return elapsed > suspendedIntervals*f.settings.GossipInterval
}
