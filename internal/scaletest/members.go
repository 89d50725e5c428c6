package scaletest

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/gossip"
	"birchstair/internal/node"
	"birchstair/policy"
)

// stubNode describes a member of the fleet without batch jobs.
type stubNode struct {
	Name   string `json:"Name"`
	Number int    `json:"Number"`
	Listen string `json:"Listen"`
}

// stubFleet is what all hollow nodes have in common.
type stubFleet struct {
	Seeds          []string `json:"Seeds"`
	Real           []string `json:"Real"`  // addresses of real nodes: traffic with them counts
	PriorityLevels int      `json:"Rungs"` // in gossip messages
}

// gossipCounts are what the hollow nodes know, and their traffic with real nodes.
type gossipCounts struct {
	LeastAlive int   `json:"Fewest"` // nodes that each of them at least knows to be alive, itself included
	KnowDrain  int   `json:"Drains"` // hollow nodes that know that the executor of interest drains
	PacketsIn  int64 `json:"PacketsIn"`
	PacketsOut int64 `json:"PacketsOut"`
	Streams    int64 `json:"Streams"`
	BytesIn    int64 `json:"BytesIn"`
	BytesOut   int64 `json:"BytesOut"`
}

// stubMember is a hollow node: the real gossip edge and the real fleet logic, with invented load figures.
type stubMember struct {
	mu         sync.Mutex
	state      *cluster.State
	membership *gossip.Membership
	startedAt  time.Time
	alive      int
}

// stubMembers are the hollow nodes of a process.
type stubMembers struct {
	all     []*stubMember
	traffic gossip.Traffic
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// joinInterval is the time between the joins of two hollow nodes.
const joinInterval = 20 * time.Millisecond

// startMembers starts the hollow nodes of a job. The result must be stopped even after an error.
func startMembers(job stubJob) (*stubMembers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &stubMembers{cancel: cancel}
	isReal := map[netip.Addr]bool{}
	for _, text := range job.Fleet.Real {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return h, err
		}
		isReal[a] = true
	}
	h.traffic.Counts = func(a netip.Addr) bool { return isReal[a] }
	for i, n := range job.Nodes {
		o, err := gossip.ParseOptions(cluster.NodeName(n.Name), policy.NodeID(n.Number), n.Listen, "", job.Fleet.Seeds)
		if err != nil {
			return h, err
		}
		o.Traffic = &h.traffic
		m := &stubMember{startedAt: time.Now()}
		s := cluster.Defaults(o.Name, uint64(m.startedAt.UnixMilli()), uint32(n.Number))
		m.state = cluster.New(s)
		m.membership = gossip.New(o, m.handle, zerolog.Nop())
		h.all = append(h.all, m)
		h.wait.Go(func() {
			select { // one after another, as in a rollout: if all join at once, they take each other for dead
			case <-ctx.Done():
			case <-time.After(time.Duration(i) * joinInterval):
				m.membership.Run(ctx)
			}
		})
		h.wait.Go(func() { m.gossip(ctx, s.GossipInterval, job.Fleet.PriorityLevels) })
	}
	return h, nil
}

func (m *stubMember) handle(ev node.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch ev := ev.(type) {
	case node.AliveNodesChanged:
		m.state.SetAlive(ev.Alive)
		m.alive = len(ev.Alive)
	case node.GossipReceived:
		m.state.Receive(time.Since(m.startedAt), ev.Message)
	case node.GossipUnreadable:
		m.state.CountDropped(ev.Why)
	}
}

// gossip sends the gossip messages of the node, until ctx ends.
func (m *stubMember) gossip(ctx context.Context, every time.Duration, levels int) {
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		var t policy.LoadSummary
		for i := range min(levels, policy.PriorityLevels) {
			t.Offered[i] = math.Pi / float64(i+1)
		}
		t.Admitted, t.Completed, t.Capacity = 4, 3, 10
		m.mu.Lock()
		now := time.Since(m.startedAt)
		m.state.ExpireDrains(now, true)
		messages, _ := m.state.Tick(now, t)
		m.mu.Unlock()
		for _, message := range messages {
			m.membership.SendGossip(message)
		}
	}
}

// counts returns the counts. About is the executor whose drain is of interest, with no known start; empty for none.
func (h *stubMembers) counts(about policy.ExecutorID) (c gossipCounts) {
	for i, m := range h.all {
		m.mu.Lock()
		if i == 0 || m.alive < c.LeastAlive {
			c.LeastAlive = m.alive
		}
		if about != "" && m.state.IsDraining(about, 0, true) {
			c.KnowDrain++
		}
		m.mu.Unlock()
	}
	t := &h.traffic
	c.PacketsIn, c.PacketsOut, c.Streams = t.PacketsIn.Load(), t.PacketsOut.Load(), t.StreamsIn.Load()+t.StreamsOut.Load()
	c.BytesIn, c.BytesOut = t.BytesIn.Load(), t.BytesOut.Load()
	return c
}

func (h *stubMembers) stop() {
	h.cancel()
	h.wait.Wait()
}
