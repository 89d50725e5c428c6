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
	maxQueued               = 64                     // messages that wait to be sent; more are dropped
	maxDeadPeers            = 1024                   // peers taken for dead whose addresses are remembered
	retryInterval           = time.Second            // between attempts to listen, and to join seeds and peers that came back
	leaveTimeout            = 200 * time.Millisecond // for the message that this node leaves, at a graceful shutdown
	defaultPushPullInterval = 10 * time.Second
)

// Settings of memberlist that differ from its defaults for a local network.
const (
	probeInterval          = 500 * time.Millisecond // between health checks of a peer
	probeTimeout           = 200 * time.Millisecond
	suspicionMult          = 3
	suspicionMaxMult       = 2
	streamTimeout          = 2 * time.Second  // of connections, for exchanges of the whole state
	deadNodeReclaimTimeout = time.Millisecond // after it a restarted node may come back under its name with another address
)

// Membership is a node's part in its cluster. It implements the memberlist interfaces Delegate, EventDelegate and ConflictDelegate.
type Membership struct {
	options          Options
	post             func(node.Event) // to the reducer
	log              zerolog.Logger
	outbox           chan any      // cluster.Envelope and node.SendLeaseMessage
	pushPullInterval time.Duration // between exchanges of the whole state with a random peer; 0 for none

	mu           sync.Mutex
	peers        map[string]*memberlist.Node // those alive, by name and by metadata
	deadAddrs    map[string]string           // addresses of peers that are taken for dead, by name
	resumed      map[string]bool             // those of them that have sent a message since
	peersChanged chan struct{}               // a signal that peers has changed
	peerResumed  chan struct{}               // a signal that resumed has grown
}

// New makes a membership whose events go to post. It does nothing before Run.
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

// SendGossip queues a message to a peer. It is dropped where the queue is full.
func (m *Membership) SendGossip(to cluster.Envelope) { m.enqueue(to) }

// SendLeaseMessage queues a message about an executor's leases to the peer of that number. It is dropped where the queue is full.
func (m *Membership) SendLeaseMessage(to node.SendLeaseMessage) { m.enqueue(to) }

func (m *Membership) enqueue(message any) {
	select {
	case m.outbox <- message:
	default:
	}
}

// Run keeps the node in its cluster until the context ends, and leaves then. While its address is in use, as by the
// predecessor in a handoff, it retries.
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
	list.Shutdown()          //nolint:errcheck // the process ends, or its successor retries to listen
	wait.Wait()
}

// listen retries until the node listens; nil once the context has ended. A reason is logged once in a row.
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

// sleep waits, and says whether the context goes on.
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

// joinSeeds joins the seeds that are not alive, again and again: after a long network partition both sides have given each other up.
func (m *Membership) joinSeeds(ctx context.Context, list *memberlist.Memberlist) {
	for {
		alive := map[string]bool{}
		for _, peer := range list.Members() {
			alive[peer.Address()] = true
		}
		for _, seed := range m.options.Seeds {
			own := seed == m.options.Advertise || seed == m.options.Listen
			if ctx.Err() == nil && !own && !alive[seed.String()] {
				join(list, seed.String())
			}
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// join exchanges the whole state with the node at an address, over TCP.
func join(list *memberlist.Memberlist, addr string) {
	list.Join([]string{addr}) //nolint:errcheck // the caller tries again
}

// rejoinResumed joins peers that are taken for dead here and have sent a message since. Without it a node that was wrongly taken for dead would not come back
// as long as it does not know: it takes all others for alive, so it joins nobody, and they send it nothing. memberlist notifies such a node and takes its
// refutation in a few datagrams; where these are lost, only an exchange with a random peer, one in 10 s, would bring it back.
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

// takeResumed gives the addresses of the resumed peers, and forgets that they have resumed.
func (m *Membership) takeResumed() (addrs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.resumed {
		addrs = append(addrs, m.deadAddrs[name])
	}
	clear(m.resumed)
	return addrs
}

// messageFrom notes that a peer has sent a message.
func (m *Membership) messageFrom(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, dead := m.deadAddrs[name]; !dead {
		return
	}
	m.resumed[name] = true
	signal(m.peerResumed)
}

// signal wakes whoever receives from a channel of capacity 1, now or next.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// sendQueued sends what is queued until the context ends.
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

// send sends a message by UDP, which may lose it. One to a peer that is not alive is dropped.
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

// metadata is what a node tells its peers of itself: its number.
func metadata(number policy.NodeID) string { return fmt.Sprint("#", number) }

// peer finds a peer by its name or its metadata; nil where none is alive.
func (m *Membership) peer(key string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[key]
}

// reportPeers posts which nodes are alive after each change, from a goroutine of its own: the reducer's queue may be full, and
// memberlist's callbacks must not wait for it.
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

// aliveNames are the names of the nodes that are alive, with this one, sorted.
func (m *Membership) aliveNames() (names []cluster.NodeName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, peer := range m.peers {
		if key == peer.Name { // each stands there by its metadata as well
			names = append(names, cluster.NodeName(peer.Name))
		}
	}
	slices.Sort(names)
	return names
}

// setAlive notes that a node, which may be this one, is alive or not.
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
