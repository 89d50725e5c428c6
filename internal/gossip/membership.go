package gossip

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	// maxQueued is the maximum number of messages that wait to be sent. Further messages are dropped.
	maxQueued = 64
	// maxDeadPeers is the maximum number of dead peers whose addresses are remembered.
	maxDeadPeers = 1024
	// retryInterval is the time between two attempts to listen, to join the seeds or to rejoin resumed peers.
	retryInterval = time.Second
	// leaveTimeout is the longest time that a graceful shutdown waits while this node announces that it leaves.
	leaveTimeout = 200 * time.Millisecond
	// defaultPushPullInterval is the time between two exchanges of memberlist's whole state with a random peer.
	defaultPushPullInterval = 10 * time.Second
)

// Settings in which this package differs from memberlist's defaults for a local network.
const (
	// probeInterval is the time between two probes of memberlist's failure detection.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is the time after which a probe over UDP counts as unanswered.
	probeTimeout = 200 * time.Millisecond
	// The least time that a suspected node has to refute the suspicion is suspicionMult times probeInterval. With more
	// than 10 nodes, memberlist also multiplies that time by log10 of their number.
	suspicionMult = 3
	// The longest time to refute a suspicion is suspicionMaxMult times the least time.
	suspicionMaxMult = 2
	// streamTimeout is the timeout of TCP connections, which memberlist uses to exchange its whole state, among others.
	streamTimeout = 2 * time.Second
	// deadNodeReclaimTimeout is the time from a node's death until memberlist accepts its name from another address. It
	// is short, because the same node can have another address after a restart.
	deadNodeReclaimTimeout = time.Millisecond
)

// Membership is a node's membership in its cluster. It implements the interfaces Delegate, EventDelegate and
// ConflictDelegate of memberlist.
type Membership struct {
	options Options
	post    func(node.Event) // posts an event to the node's event loop
	log     zerolog.Logger
	outbox  chan any // messages to send, each a cluster.Envelope or a node.SendLeaseMessage
	// Interval between exchanges of the whole state (see defaultPushPullInterval); 0 disables them.
	pushPullInterval time.Duration

	mu           sync.Mutex
	peers        map[string]*memberlist.Node // copies of the living nodes; each is entered twice, by its name and by its metadata
	deadAddrs    map[string]string           // addresses of the peers that are considered dead, by name
	resumed      map[string]bool             // names in deadAddrs of peers that have sent a message since
	peersChanged chan struct{}               // signals that peers has changed
	peerResumed  chan struct{}               // signals that a name was added to resumed
}

// New creates a membership that passes its events to post. The membership does nothing until Run is called.
func New(options Options, post func(node.Event), log zerolog.Logger) *Membership {
	return &Membership{
		options:          options,
		post:             post,
		log:              log,
		outbox:           make(chan any, maxQueued),
		pushPullInterval: defaultPushPullInterval,
		peers:            map[string]*memberlist.Node{},
		deadAddrs:        map[string]string{},
		resumed:          map[string]bool{},
		peersChanged:     make(chan struct{}, 1),
		peerResumed:      make(chan struct{}, 1),
	}
}

// SendGossip queues a message to a peer. The message is dropped if the queue is full.
func (m *Membership) SendGossip(to cluster.Envelope) { m.enqueue(to) }

// SendLeaseMessage queues a message about an executor's leases. The message contains the number of the peer to send it
// to. The message is dropped if the queue is full.
func (m *Membership) SendLeaseMessage(to node.SendLeaseMessage) { m.enqueue(to) }

func (m *Membership) enqueue(message any) {
	select {
	case m.outbox <- message:
	default:
	}
}

// Run joins the cluster, and leaves it when the context ends. It keeps trying while the listen address is in use, for
// example by the predecessor in a handoff.
func (m *Membership) Run(ctx context.Context) {
	list := m.listen(ctx)
	if list == nil {
		return
	}
	m.log.Info().Str("listen", m.options.Listen.String()).Msg("in the fleet; what nodes say to each other is neither encrypted nor signed")
	var wait sync.WaitGroup
	wait.Go(func() { m.joinSeeds(ctx, list) })
	wait.Go(func() { m.rejoinResumed(ctx, list) })
	wait.Go(func() { m.reportPeers(ctx) })
	m.sendQueued(ctx, list)
	list.Leave(leaveTimeout) //nolint:errcheck // a timeout: peers detect the failure by themselves
	list.Shutdown()          //nolint:errcheck // the process ends, and a successor retries until the address is free
	wait.Wait()
}

// listen tries to listen on the node's address until it succeeds. It returns nil if the context ends first. A failure
// is logged unless its text is the same as that of the failure before.
func (m *Membership) listen(ctx context.Context) *memberlist.Memberlist {
	logged := ""
	for {
		list, err := m.create()
		if err == nil {
			return list
		}
		if reason := err.Error(); reason != logged {
			logged = reason
			m.log.Warn().Str("because", reason).Msg("not in the fleet yet")
		}
		if !sleep(ctx, retryInterval) {
			return nil
		}
	}
}

// sleep waits for the interval and returns true, or returns false if the context ends first.
func sleep(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}

func (m *Membership) create() (*memberlist.Memberlist, error) {
	transport, err := newTransport(m.options.Listen)
	if err != nil {
		return nil, err
	}
	config := memberlist.DefaultLANConfig()
	config.Name = string(m.options.Name)
	config.Transport = transport
	if m.options.Traffic != nil {
		config.Transport = newCountingTransport(transport, m.options.Traffic)
	}
	config.LogOutput, config.Logger = nil, newLogger(m.log)
	config.BindAddr, config.BindPort = m.options.Listen.Addr().String(), int(m.options.Listen.Port())
	config.AdvertiseAddr, config.AdvertisePort = m.options.Advertise.Addr().String(), int(m.options.Advertise.Port())
	config.ProbeInterval, config.ProbeTimeout = probeInterval, probeTimeout
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	config.TCPTimeout = streamTimeout
	config.PushPullInterval = m.pushPullInterval
	config.DeadNodeReclaimTime = deadNodeReclaimTimeout
	config.EnableCompression = false
	config.Delegate, config.Events, config.Conflict = m, m, m
	list, err := memberlist.Create(config)
	if err != nil {
		config.Transport.Shutdown() //nolint:errcheck // the error of Create is the one that counts
	}
	return list, err
}

// joinSeeds joins the seeds that are not known as alive, and repeats this after every retryInterval. After a long
// network partition, the nodes on each side consider those on the other side dead. Without the repetition, the two
// sides would not find each other again.
func (m *Membership) joinSeeds(ctx context.Context, list *memberlist.Memberlist) {
	for {
		alive := m.aliveAddrs()
		for _, seed := range m.options.Seeds {
			isOwn := seed == m.options.Advertise || seed == m.options.Listen
			if ctx.Err() == nil && !isOwn && !alive[seed.String()] {
				join(list, seed.String())
			}
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// join joins the cluster through the node at an address. memberlist exchanges its whole state with that node over TCP.
func join(list *memberlist.Memberlist, addr string) {
	list.Join([]string{addr}) //nolint:errcheck // the caller tries again
}

// rejoinResumed joins peers that this node considers dead but that have sent a message since. Such a peer is alive and
// doesn't know that it is considered dead. It considers all others alive and therefore joins none of them, and they
// send it nothing. memberlist notifies the peer and accepts its refutation, but does so in only a few datagrams.
// Without rejoinResumed, the loss of these datagrams would leave only the exchanges with a random peer, every
// defaultPushPullInterval, to bring the peer back.
func (m *Membership) rejoinResumed(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.peerResumed:
		}
		for _, addr := range m.takeResumed() {
			if ctx.Err() == nil {
				join(list, addr)
			}
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// takeResumed returns the addresses of the peers in resumed, and empties resumed.
func (m *Membership) takeResumed() (addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.resumed {
		addrs = append(addrs, m.deadAddrs[name])
	}
	clear(m.resumed)
	return addrs
}

// noteMessageFrom records that a message was received from a peer. If the peer is considered dead, rejoinResumed then
// joins it.
func (m *Membership) noteMessageFrom(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, dead := m.deadAddrs[name]; !dead {
		return
	}
	m.resumed[name] = true
	signal(m.peerResumed)
}

// signal sends to a channel of capacity 1. If the channel already holds a signal, it does nothing.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// sendQueued sends the queued messages until the context ends.
func (m *Membership) sendQueued(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-m.outbox:
			m.send(list, message)
		}
	}
}

// send sends a message over UDP, so the message can be lost. A message to a peer that is not alive is dropped.
func (m *Membership) send(list *memberlist.Memberlist, message any) {
	var peer *memberlist.Node
	var b []byte
	var err error
	switch message := message.(type) {
	case cluster.Envelope:
		peer = m.peer(string(message.To))
		b, err = encodeGossip(message.Message)
	case node.SendLeaseMessage:
		peer = m.peer(metadata(message.To))
		b, err = encodeLeaseMessage(m.options.Node, message)
	}
	switch {
	case err != nil:
		m.log.Error().Err(err).Msg("a gossip message can't be encoded")
	case peer != nil:
		list.SendBestEffort(peer, b) //nolint:errcheck // messages may be lost
	}
}

// metadata returns the metadata of the node with the given number. The prefix # distinguishes metadata from names among
// the keys of Membership.peers.
func metadata(number policy.NodeID) string { return fmt.Sprint("#", number) }

// peer returns the living peer whose name or metadata is key, or nil.
func (m *Membership) peer(key string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[key]
}

// reportPeers posts an event with the living nodes after each change. Posting blocks while the event loop's queue is
// full, and memberlist's callbacks must not block. So reportPeers runs in a goroutine of its own.
func (m *Membership) reportPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.peersChanged:
		}
		m.post(node.AliveNodesChanged{Alive: m.aliveNames()})
	}
}

// aliveNames returns the sorted names of the living nodes, including this one.
func (m *Membership) aliveNames() (names []cluster.NodeName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, peer := range m.peers {
		if key == peer.Name { // each node also has an entry by its metadata, which is skipped here
			names = append(names, cluster.NodeName(peer.Name))
		}
	}
	slices.Sort(names)
	return names
}

// aliveAddrs returns the addresses of the living nodes, including this one.
func (m *Membership) aliveAddrs() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	addrs := map[string]bool{}
	for _, peer := range m.peers {
		addrs[peer.Address()] = true
	}
	return addrs
}

// setAlive records whether a node is alive. The node can be this one. It keeps a copy of the node: memberlist calls
// setAlive with its
// lock held, and changes the node later under that lock alone.
func (m *Membership) setAlive(reported *memberlist.Node, alive bool) {
	copied := *reported
	peer := &copied
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range [...]string{peer.Name, string(peer.Meta)} {
		if alive {
			m.peers[key] = peer
		} else if known := m.peers[key]; known != nil && known.Name == peer.Name {
			delete(m.peers, key)
		}
	}
	switch {
	case alive:
		delete(m.deadAddrs, peer.Name)
		delete(m.resumed, peer.Name)
	case peer.Name != string(m.options.Name) && len(m.deadAddrs) < maxDeadPeers:
		m.deadAddrs[peer.Name] = peer.Address()
	}
	signal(m.peersChanged)
}
