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
	Number    policy.NodeID // by which nodes name each other where they lend places
	Listen    netip.AddrPort
	Advertise netip.AddrPort // where neighbours reach it
	Seeds     []netip.AddrPort
	Traffic   *Traffic // counts its traffic; nil: nobody does
}

// Members is a node's place in its fleet. Run owns it.
type Members struct {
	o    Options
	tell func(node.Event)
	log  zerolog.Logger
	out  chan any // fleet.To and node.TellPlace

	exchanges time.Duration // between two exchanges of all that is known with a neighbour by chance; 0 for none

	mu      sync.Mutex
	nodes   map[string]*memberlist.Node // those alive, by their names and by what they say of their numbers
	down    map[string]string           // addresses of those that were alive and are not, by their names
	resumed map[string]bool             // those of them that have sent a message since
	told    chan struct{}               // that alive has changed
	resumes chan struct{}               // that resumed has grown
}

const (
	waiting    = 64                     // words that may wait to go out; more are dropped
	againSpell = time.Second            // between two tries to bind, and to join who is missing
	probeSpell = 500 * time.Millisecond // a neighbour is asked for a sign of life so often
	probeLimit = 200 * time.Millisecond
	goodBye    = 200 * time.Millisecond // the longest that a planned end waits for its word to go round
	mostDown   = 1024                   // nodes that are not alive, in mind
)

// New makes a node's place; tell takes its events.
func New(o Options, tell func(node.Event), log zerolog.Logger) *Members {
	return &Members{o: o, tell: tell, log: log, out: make(chan any, waiting), exchanges: 10 * time.Second, nodes: map[string]*memberlist.Node{},
		down: map[string]string{}, resumed: map[string]bool{}, told: make(chan struct{}, 1), resumes: make(chan struct{}, 1)}
}

// SendGossip says a word to a neighbour, or drops it where too many wait.
func (m *Members) SendGossip(to cluster.Envelope) { m.queue(to) }

// SendLeaseMessage says a word about an executor's places to the neighbour of that number.
func (m *Members) SendLeaseMessage(to node.SendLeaseMessage) { m.queue(to) }

func (m *Members) queue(to any) {
	select {
	case m.out <- to:
	default:
	}
}

// Run keeps the node in its fleet until the context ends. A process that takes over from another one of the same node waits for its address.
func (m *Members) Run(ctx context.Context) {
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
		if !rest(ctx, againSpell) {
			return
		}
	}
	m.log.Info().Str("listen", m.o.Listen.String()).Msg("in the fleet; what nodes say to each other is neither encrypted nor signed")
	var wait sync.WaitGroup
	wait.Go(func() { m.join(ctx, list) })
	wait.Go(func() { m.rejoin(ctx, list) })
	wait.Go(func() { m.changes(ctx) })
	m.say(ctx, list)
	list.Leave(goodBye)
	list.Shutdown()
	wait.Wait()
}

// rest waits, and says whether the context goes on.
func rest(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

func (m *Members) create() (*memberlist.Memberlist, error) {
	t, err := newTransport(m.o.Listen)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.LogOutput, c.Logger = string(m.o.Name), t, nil, t.logger(m.log)
	if m.o.Traffic != nil {
		c.Transport = count(t, m.o.Traffic)
	}
	c.BindAddr, c.BindPort = m.o.Listen.Addr().String(), int(m.o.Listen.Port())
	c.AdvertiseAddr, c.AdvertisePort = m.o.Advertise.Addr().String(), int(m.o.Advertise.Port())
	c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult, c.SuspicionMaxTimeoutMult = probeSpell, probeLimit, 3, 2
	c.TCPTimeout, c.PushPullInterval, c.DeadNodeReclaimTime = 2*time.Second, m.exchanges, time.Millisecond
	c.EnableCompression = false
	c.Delegate, c.Events, c.Conflict = m, m, m
	list, err := memberlist.Create(c)
	if err != nil {
		c.Transport.Shutdown()
	}
	return list, err
}

// join goes to seeds that are not alive, again and again: after a link was cut for long both sides have given each other up.
func (m *Members) join(ctx context.Context, list *memberlist.Memberlist) {
	for {
		known := map[string]bool{}
		for _, n := range list.Members() {
			known[n.Address()] = true
		}
		for _, seed := range m.o.Seeds {
			if ctx.Err() == nil && seed != m.o.Advertise && seed != m.o.Listen && !known[seed.String()] {
				list.Join([]string{seed.String()})
			}
		}
		if !rest(ctx, againSpell) {
			return
		}
	}
}

// rejoin exchanges state, over TCP, with nodes that count as dead here and have sent a message since. Guards against a node that was taken for dead wrongly
// and does not know: it holds all others for alive and joins nobody, and those send it nothing; memberlist tells it, and takes its refutation, in a few
// datagrams, and once these are lost nothing brings it back but an exchange by chance, of which there is one in 10 s.
func (m *Members) rejoin(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.resumes:
		}
		m.mu.Lock()
		var addrs []string
		for name := range m.resumed {
			addrs = append(addrs, m.down[name])
		}
		clear(m.resumed)
		m.mu.Unlock()
		for _, addr := range addrs {
			if ctx.Err() == nil {
				list.Join([]string{addr})
			}
		}
		if !rest(ctx, againSpell) {
			return
		}
	}
}

// heardOf notes that a message of that name has come.
func (m *Members) heardOf(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, down := m.down[name]; !down {
		return
	}
	m.resumed[name] = true
	select {
	case m.resumes <- struct{}{}:
	default:
	}
}

// say sends what is to be told.
func (m *Members) say(ctx context.Context, list *memberlist.Memberlist) {
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-m.out:
			var n *memberlist.Node
			var b []byte
			var err error
			switch to := to.(type) {
			case cluster.Envelope:
				n = m.at(string(to.To))
				b, err = encode(to.Message)
			case node.SendLeaseMessage:
				n = m.at(meta(to.To))
				b, err = encodePlace(m.o.Number, to)
			}
			if err != nil {
				m.log.Error().Err(err).Msg("a word that can't be written")
			} else if n != nil {
				list.SendBestEffort(n, b)
			}
		}
	}
}

// meta is a node's number as its neighbours are told it.
func meta(number policy.NodeID) string { return fmt.Sprint("#", number) }

// at is the neighbour of a name, or of what it says of its number; nil where none is alive.
func (m *Members) at(key string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[key]
}

// changes tells the reducer who is alive. Its queue may be full, and memberlist must not wait for it.
func (m *Members) changes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.told:
		}
		m.mu.Lock()
		var names []cluster.NodeName
		for key, n := range m.nodes {
			if key == n.Name {
				names = append(names, cluster.NodeName(n.Name))
			}
		}
		m.mu.Unlock()
		slices.Sort(names)
		m.tell(node.FleetChanged{Alive: names})
	}
}

func (m *Members) set(n *memberlist.Node, alive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range [...]string{n.Name, string(n.Meta)} {
		if alive {
			m.nodes[key] = n
		} else if o := m.nodes[key]; o != nil && o.Name == n.Name {
			delete(m.nodes, key)
		}
	}
	if alive {
		delete(m.down, n.Name)
		delete(m.resumed, n.Name)
	} else if n.Name != string(m.o.Name) && len(m.down) < mostDown {
		m.down[n.Name] = n.Address()
	}
	select {
	case m.told <- struct{}{}:
	default:
	}
}

// NotifyJoin is memberlist's call when a node comes.
func (m *Members) NotifyJoin(n *memberlist.Node) { m.set(n, true) }

// NotifyLeave is its call when one goes.
func (m *Members) NotifyLeave(n *memberlist.Node) { m.set(n, false) }

// NotifyUpdate is its call when one tells something else of itself, which no node does.
func (m *Members) NotifyUpdate(*memberlist.Node) {}

// NotifyConflict is its call when two nodes bear one name.
func (m *Members) NotifyConflict(here, other *memberlist.Node) {
	m.log.Error().Str("name", here.Name).Str("at", here.Address()).Str("and_at", other.Address()).Msg("two nodes of the fleet bear one name: the second is not taken in")
	m.tell(node.GossipUnreadable{Why: "of a second node of the same name"})
}

// NotifyMsg is its call when a word has come.
func (m *Members) NotifyMsg(b []byte) {
	if isPlace(b) {
		p, err := decodePlace(b)
		if err != nil {
			m.tell(node.GossipUnreadable{Why: err.Error()})
			return
		}
		m.tell(p)
		return
	}
	w, err := decode(b)
	if err != nil {
		m.tell(node.GossipUnreadable{Why: err.Error()})
		return
	}
	m.heardOf(string(w.From))
	m.tell(node.GossipReceived{Message: w})
}

// NodeMeta is its call for what neighbours are told of this node: its number.
func (m *Members) NodeMeta(int) []byte { return []byte(meta(m.o.Number)) }

// GetBroadcasts, LocalState and MergeRemoteState are calls for what memberlist could carry besides; nothing is given to it.

func (m *Members) GetBroadcasts(int, int) [][]byte { return nil }

func (m *Members) LocalState(bool) []byte { return nil }

func (m *Members) MergeRemoteState([]byte, bool) {}

// Parse reads the addresses of an operator's file, which has been checked.
func Parse(name cluster.NodeName, number policy.NodeID, listen, advertise string, seeds []string) (o Options, err error) {
	o = Options{Name: name, Number: number}
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

// worthALine says whether a line of memberlist's log is one for operators: its warnings and errors, not each packet that got lost or came by another way.
func worthALine(line string) bool {
	usual := []string{"Failed to send", "Push/Pull with", "fallback", "Was able to connect"}
	return (strings.Contains(line, "[WARN]") || strings.Contains(line, "[ERR]")) &&
		!slices.ContainsFunc(usual, func(part string) bool { return strings.Contains(line, part) })
}
