package cluster

import (
	"slices"
	"time"

	"birchstair/policy"
)

// suspendedIntervals is the number of gossip intervals without a Tick after which the node concludes that its process
// was suspended. The node's own rates are out of date then, and so are the messages that waited unread.
const suspendedIntervals = 3

// NodeName is the name of a node, unique in its cluster.
type NodeName string

// Settings are the settings of a State.
type Settings struct {
	Self        NodeName
	Incarnation uint64 // when this process started, in Unix milliseconds; greater after each restart
	Seed        uint32 // seed of the random choices
	// Unix time in milliseconds at which this node's time is zero, by the clock of this node's endpoint list. It
	// converts the start times of executors to Unix times, which are the same on every node.
	Epoch          int64
	GossipInterval time.Duration // time between two gossip rounds
	Fanout         int           // number of messages sent per gossip round
	PeerStateTTL   time.Duration // how long a peer's rates are used after their receipt
	// How long a drain is believed to go on after the endpoint list of any node last showed it.
	DrainTTL time.Duration
}

// Defaults returns the default settings for a node.
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

// State holds what a node knows of its cluster. Its methods are not safe for concurrent use.
type State struct {
	settings Settings
	nextTick time.Duration
	lastTick time.Duration
	draws    uint32 // number of random numbers drawn so far; each draw uses the next one

	peers     peerTable
	drains    drainTable
	own       ownLoad
	threshold policy.AdmissionThreshold
	shedding  bool // whether the threshold now rejects jobs
}

// New creates the state of a node that knows no peers yet.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		nextTick: settings.GossipInterval,
		peers:    peerTable{states: map[NodeName]*peerState{}, dropped: map[string]int{}},
		drains:   drainTable{states: map[policy.ExecutorID]*drainState{}, endedAt: map[policy.ExecutorID]time.Duration{}},
		own:      ownLoad{rates: Rates{Offered: map[int]float64{}}},
	}
}

// random returns the next number in [0, 1) of the node's random sequence, which depends only on the seed.
func (s *State) random() float64 {
	s.draws++
	return policy.Random(s.settings.Seed, s.draws)
}

// Next returns the time at which Tick is due.
func (s *State) Next() time.Duration { return s.nextTick }

// SetAlive sets which nodes of the cluster are alive. The names can include this node. It is left out, because it is
// not a peer of itself.
func (s *State) SetAlive(names []NodeName) {
	alive := slices.DeleteFunc(slices.Sorted(slices.Values(names)), func(name NodeName) bool { return name == s.settings.Self })
	s.peers.alive = slices.Compact(alive)
}

// Tick runs one gossip round and is due every gossip interval. load is what the policy measured since the last tick;
// Tick adds it to the node's averages. Tick returns the messages to send and the new admission threshold.
func (s *State) Tick(now time.Duration, load policy.LoadSummary) ([]Envelope, policy.AdmissionThreshold) {
	elapsed := now - s.lastTick
	s.lastTick, s.nextTick = now, now+s.settings.GossipInterval
	if s.suspended(elapsed) {
		s.peers.ignoreUntil = now + s.settings.GossipInterval
		s.shedding = false
		s.own.reset()
	} else {
		s.own.add(load, elapsed)
	}
	s.peers.expire(now, peerRetentionMultiple*s.settings.PeerStateTTL)
	s.updateThreshold(now)
	return s.gossipRound(now), s.threshold
}

// suspended reports whether the time since the last tick is so long that this process must have been suspended.
func (s *State) suspended(elapsed time.Duration) bool {
	return elapsed > suspendedIntervals*s.settings.GossipInterval
}
