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
	maxQueued               = 64                     // maximum number of messages waiting to be sent; further ones are dropped
	maxDeadPeers            = 1024                   // maximum number of dead peers whose addresses are remembered
	retryInterval           = time.Second            // between attempts to listen, to join seeds and to rejoin resumed peers
	leaveTimeout            = 200 * time.Millisecond // for announcing at a graceful shutdown that this node leaves
	defaultPushPullInterval = 10 * time.Second       // between exchanges of the whole state with a random peer
)

// Settings of memberlist that differ from its defaults for a local network.
const (
	probeInterval = 500 * time.Millisecond // between failure detection probes
	probeTimeout  = 200 * time.Millisecond // after which a probe by UDP counts as unanswered
	// suspicionMult is the least time to refute a suspicion, in probe intervals. Over 10 nodes, memberlist multiplies it by
	// log10 of their number.
	suspicionMult    = 3
	suspicionMaxMult = 2               // longest time to refute a suspicion, as a multiple of the least
	streamTimeout    = 2 * time.Second // of TCP connections, as for exchanges of the whole state
	// deadNodeReclaimTimeout is the time from a node's death until its name may be used from another address, as by the same
	// node after a restart.
	deadNodeReclaimTimeout = time.Millisecond
)

// Membership is a node's membership in its cluster. It implements the interfaces Delegate, EventDelegate and
// ConflictDelegate of memberlist.
type Membership struct {
	options          Options
	post             func(node.Event) // posts an event to the node's event loop
	log              zerolog.Logger
	outbox           chan any      // messages to send, each a cluster.Envelope or a node.SendLeaseMessage
	pushPullInterval time.Duration // see defaultPushPullInterval; 0 for no exchanges

	mu           sync.Mutex
	peers        map[string]*memberlist.Node // living nodes, each by its name and by its metadata
	deadAddrs    map[string]string           // addresses of peers that are considered dead, by name
	resumed      map[string]bool             // names in deadAddrs from which a message was received since
	peersChanged chan struct{}               // signals that peers has changed
	peerResumed  chan struct{}               // signals that resumed has grown
}

// New creates a membership that passes its events to post. It does nothing until Run is called.
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

// SendLeaseMessage queues a message about an executor's leases to the peer whose number it contains. The message is
// dropped if the queue is full.
func (m *Membership) SendLeaseMessage(to node.SendLeaseMessage) { m.enqueue(to) }

func (m *Membership) enqueue(message any) {
	select {
	case m.outbox <- message:
	default:
	}
}

// Run joins the cluster, and leaves it when the context ends. While the listen address is in use, as by the predecessor
// in a handoff, it retries.
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

// listen retries until the node listens on its address, and returns nil if the context ends before. A failure is logged
// unless it is the same as the one before.
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

// sleep waits for the interval, and returns false if the context ends first.
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

// joinSeeds joins the seeds that are not known as alive, and repeats this at every retryInterval. Without the
// repetition, two sides of a long network partition would not find each other again, since each considers the other
// dead.
func (m *Membership) joinSeeds(ctx context.Context, list *memberlist.Memberlist) {
	for {
		alive := map[string]bool{}
		for _, peer := range list.Members() {
			alive[peer.Address()] = true
		}
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

// join joins the node at an address, by exchanging the whole state with it over TCP.
func join(list *memberlist.Memberlist, addr string) {
	list.Join([]string{addr}) //nolint:errcheck // the caller tries again
}

// rejoinResumed joins peers that are considered dead here but have sent a message since. A living node that is
// considered dead does not know it: it takes all others for alive, so it joins none of them, and they send it nothing.
// memberlist notifies such a node and accepts its refutation, but in a few datagrams only. If these are lost, only an
// exchange with a random peer, which happens every defaultPushPullInterval, would bring the node back without
// rejoinResumed.
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

// takeResumed returns the addresses of the resumed peers, and clears resumed.
func (m *Membership) takeResumed() (addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.resumed {
		addrs = append(addrs, m.deadAddrs[name])
	}
	clear(m.resumed)
	return addrs
}

// noteMessageFrom records that a message was received from a peer, which matters if the peer is considered dead.
func (m *Membership) noteMessageFrom(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, dead := m.deadAddrs[name]; !dead {
		return
	}
	m.resumed[name] = true
	signal(m.peerResumed)
}

// signal sends to a channel of capacity 1, unless a signal is already pending in it.
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

// send sends a message over UDP, which may lose it. A message to a peer that is not alive is dropped.
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

// metadata returns the metadata of the node with this number. The prefix # distinguishes it from names in
// Membership.peers.
func metadata(number policy.NodeID) string { return fmt.Sprint("#", number) }

// peer returns the living peer with this name or metadata, or nil.
func (m *Membership) peer(key string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[key]
}

// reportPeers posts which nodes are alive after each change. It runs in its own goroutine, because posting waits while
// the event loop's queue is full, and memberlist's callbacks must not wait.
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
		if key == peer.Name { // skips the entries by metadata
			names = append(names, cluster.NodeName(peer.Name))
		}
	}
	slices.Sort(names)
	return names
}

// setAlive records whether a node, possibly this one, is alive.
func (m *Membership) setAlive(peer *memberlist.Node, alive bool) {
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
