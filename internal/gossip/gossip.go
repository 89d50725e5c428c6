// Package gossip is the edge to the other nodes of a fleet: who is in it and alive, and small words between them that may get lost. Membership is
// memberlist's, by gossip with suspicion; it has goroutines and chance of its own, so nothing here decides: events go to the reducer, its effects come
// back. members.go holds the fleet, transport.go the sockets, codec.go the words.
package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Options say where a node listens for its neighbours, and where the first ones are found.
type Options struct {
	Name      cluster.NodeName
	Node      policy.NodeID // by which nodes name each other where they lend places
	Listen    netip.AddrPort
	Advertise netip.AddrPort // where neighbours reach it
	Seeds     []netip.AddrPort
	Traffic   *Traffic // counts its traffic; nil: nobody does
}

// Membership is a node's place in its fleet. Run owns it.
type Membership struct {
	options Options
	post    func(node.Event)
	log     zerolog.Logger
	outbox  chan any // fleet.To and node.TellPlace

	pushPullInterval time.Duration // between two exchanges of all that is known with a neighbour by chance; 0 for none

	mu           sync.Mutex
	peers        map[string]*memberlist.Node // those alive, by their names and by what they say of their numbers
	deadAddrs    map[string]string           // addresses of those that were alive and are not, by their names
	resumed      map[string]bool             // those of them that have sent a message since
	peersChanged chan struct{}               // that alive has changed
	peerResumed  chan struct{}               // that resumed has grown
}

const (
	maxQueued     = 64                     // words that may wait to go out; more are dropped
	retryInterval = time.Second            // between two tries to bind, and to join who is missing
	probeInterval = 500 * time.Millisecond // a neighbour is asked for a sign of life so often
	probeTimeout  = 200 * time.Millisecond
	leaveTimeout  = 200 * time.Millisecond // the longest that a planned end waits for its word to go round
	maxDeadPeers  = 1024                   // nodes that are not alive, in mind
)

// New makes a node's place; tell takes its events.
func New(o Options, tell func(node.Event), log zerolog.Logger) *Membership {
	return &Membership{options: o, post: tell, log: log, outbox: make(chan any, maxQueued), pushPullInterval: 10 * time.Second, peers: map[string]*memberlist.Node{},
		deadAddrs: map[string]string{}, resumed: map[string]bool{}, peersChanged: make(chan struct{}, 1), peerResumed: make(chan struct{}, 1)}
}

// SendGossip says a word to a neighbour, or drops it where too many wait.
func (m *Membership) SendGossip(to cluster.Envelope) { m.queue(to) }

// SendLeaseMessage says a word about an executor's places to the neighbour of that number.
func (m *Membership) SendLeaseMessage(to node.SendLeaseMessage) { m.queue(to) }

func (m *Membership) queue(to any) {
	select {
	case m.outbox <- to:
	default:
	}
}

// Run keeps the node in its fleet until the context ends. A process that takes over from another one of the same node waits for its address.
func (m *Membership) Run(ctx context.Context) {
	var list *memberlist.Memberlist
	for said := ""; list == nil; {
		var err error
		if list, err = m.create(); err == nil {
			break
		}
		if err.Error() != said {
			said = err.Error()
			m.log.Warn().Str("because", said).Msg("not in the fleet yet")
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
	m.log.Info().Str("listen", m.options.Listen.String()).Msg("in the fleet; what nodes say to each other is neither encrypted nor signed")
	var wait sync.WaitGroup
	wait.Go(func() { m.join(ctx, list) })
	wait.Go(func() { m.rejoin(ctx, list) })
	wait.Go(func() { m.reportPeers(ctx) })
	m.sendQueued(ctx, list)
	list.Leave(leaveTimeout)
	list.Shutdown()
	wait.Wait()
}

// sleep waits, and says whether the context goes on.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

func (m *Membership) create() (*memberlist.Memberlist, error) {
	t, err := newTransport(m.options.Listen)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.LogOutput, c.Logger = string(m.options.Name), t, nil, t.logger(m.log)
	if m.options.Traffic != nil {
		c.Transport = newCountingTransport(t, m.options.Traffic)
	}
	c.BindAddr, c.BindPort = m.options.Listen.Addr().String(), int(m.options.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = m.options.Advertise.Addr().String(), int(m.options.Advertise.Port())
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult, c.SuspicionMaxTimeoutMult = probeInterval, probeTimeout, 3, 2
	c.TCPTimeout, c.PushPullInterval, c.DeadNodeReclaimTime = 2*time.Second, m.pushPullInterval, time.Millisecond
	c.EnableCompression = false
	c.Delegate, c.Events, c.Conflict = m, m, m
	list, err := memberlist.Create(c)
	if err != nil {
		c.Transport.Shutdown()
	}
	return list, err
}

// join goes to seeds that are not alive, again and again: after a link was cut for long both sides have given each other up.
func (m *Membership) join(ctx context.Context, list *memberlist.Memberlist) {
	for {
		known := map[string]bool{}
		for _, n := range list.Members() {
			known[n.Address()] = true
		}
		for _, seed := range m.options.Seeds {
			if ctx.Err() == nil && seed != m.options.Advertise && seed != m.options.Listen && !known[seed.String()] {
				list.Join([]string{seed.String()})
			}
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// rejoin exchanges state, over TCP, with nodes that count as dead here and have sent a message since. Guards against a node that was taken for dead wrongly
// and does not know: it holds all others for alive and joins nobody, and those send it nothing; memberlist tells it, and takes its refutation, in a few
// datagrams, and once these are lost nothing brings it back but an exchange by chance, of which there is one in 10 s.
func (m *Membership) rejoin(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.peerResumed:
		}
		m.mu.Lock()
		var addrs []string
		for name := range m.resumed {
			addrs = append(addrs, m.deadAddrs[name])
		}
		clear(m.resumed)
		m.mu.Unlock()
		for _, addr := range addrs {
			if ctx.Err() == nil {
				list.Join([]string{addr})
			}
		}
		if !sleep(ctx, retryInterval) {
			return
		}
	}
}

// messageFrom notes that a message of that name has come.
func (m *Membership) messageFrom(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, down := m.deadAddrs[name]; !down {
		return
	}
	m.resumed[name] = true
	select {
	case m.peerResumed <- struct{}{}:
	default:
	}
}

// sendQueued sends what is to be told.
func (m *Membership) sendQueued(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-m.outbox:
			var n *memberlist.Node
			var b []byte
			var err error
			switch to := to.(type) {
			case cluster.Envelope:
				n = m.peer(string(to.To))
				b, err = encodeGossip(to.Message)
			case node.SendLeaseMessage:
				n = m.peer(metadata(to.To))
				b, err = encodeLeaseMessage(m.options.Node, to)
			}
			if err != nil {
				m.log.Error().Err(err).Msg("a word that can't be written")
			} else if n != nil {
				list.SendBestEffort(n, b)
			}
		}
	}
}

// metadata is a node's number as its neighbours are told it.
func metadata(number policy.NodeID) string { return fmt.Sprint("#", number) }

// peer is the neighbour of a name, or of what it says of its number; nil where none is alive.
func (m *Membership) peer(key string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[key]
}

// reportPeers tells the reducer who is alive. Its queue may be full, and memberlist must not wait for it.
func (m *Membership) reportPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.peersChanged:
		}
		m.mu.Lock()
		var names []cluster.NodeName
		for key, n := range m.peers {
			if key == n.Name {
				names = append(names, cluster.NodeName(n.Name))
			}
		}
		m.mu.Unlock()
		slices.Sort(names)
		m.post(node.FleetChanged{Alive: names})
	}
}

func (m *Membership) setAlive(n *memberlist.Node, alive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range [...]string{n.Name, string(n.Meta)} {
		if alive {
			m.peers[key] = n
		} else if o := m.peers[key]; o != nil && o.Name == n.Name {
			delete(m.peers, key)
		}
	}
	if alive {
		delete(m.deadAddrs, n.Name)
		delete(m.resumed, n.Name)
	} else if n.Name != string(m.options.Name) && len(m.deadAddrs) < maxDeadPeers {
		m.deadAddrs[n.Name] = n.Address()
	}
	select {
	case m.peersChanged <- struct{}{}:
	default:
	}
}

// NotifyJoin is memberlist's call when a node comes.
func (m *Membership) NotifyJoin(n *memberlist.Node) { m.setAlive(n, true) }

// NotifyLeave is its call when one goes.
func (m *Membership) NotifyLeave(n *memberlist.Node) { m.setAlive(n, false) }

// NotifyUpdate is its call when one tells something else of itself, which no node does.
func (m *Membership) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict is its call when two nodes bear one name.
func (m *Membership) NotifyConflict(here, other *memberlist.Node) {
	m.log.Error().Str("name", here.Name).Str("at", here.Address()).Str("and_at", other.Address()).Msg("two nodes of the fleet bear one name: the second is not taken in")
	m.post(node.GossipUnreadable{Why: "of a second node of the same name"})
}

// NotifyMsg is its call when a word has come.
func (m *Membership) NotifyMsg(b []byte) {
	if isLeaseMessage(b) {
		p, err := decodeLeaseMessage(b)
		if err != nil {
			m.post(node.GossipUnreadable{Why: err.Error()})
			return
		}
		m.post(p)
		return
	}
	w, err := decodeGossip(b)
	if err != nil {
		m.post(node.GossipUnreadable{Why: err.Error()})
		return
	}
	m.messageFrom(string(w.From))
	m.post(node.GossipReceived{Message: w})
}

// NodeMeta is its call for what neighbours are told of this node: its number.
func (m *Membership) NodeMeta(int) []byte { return []byte(metadata(m.options.Node)) }

// GetBroadcasts, LocalState and MergeRemoteState are calls for what memberlist could carry besides; nothing is given to it.

func (m *Membership) GetBroadcasts(int, int) [][]byte { return nil }

func (m *Membership) LocalState(bool) []byte { return nil }

func (m *Membership) MergeRemoteState([]byte, bool) {}

// ParseOptions reads the addresses of an operator's file, which has been checked.
func ParseOptions(name cluster.NodeName, number policy.NodeID, listen, advertise string, seeds []string) (o Options, err error) {
	o = Options{Name: name, Node: number}
	if o.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return o, fmt.Errorf("fleet.listen: %w", err)
	}
	o.Advertise = o.Listen
	if advertise != "" {
		if o.Advertise, err = netip.ParseAddrPort(advertise); err != nil {
			return o, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	for _, text := range seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return o, fmt.Errorf("fleet.seeds: %w", err)
		}
		o.Seeds = append(o.Seeds, seed)
	}
	return o, nil
}

// relevantToOperators says whether a line of memberlist's log is one for operators: its warnings and errors, not each packet that got lost or came by another way.
func relevantToOperators(line string) bool {
	usual := []string{"Failed to send", "Push/Pull with", "fallback", "Was able to connect"}
	return (strings.Contains(line, "[WARN]") || strings.Contains(line, "[ERR]")) &&
		!slices.ContainsFunc(usual, func(part string) bool { return strings.Contains(line, part) })
}
