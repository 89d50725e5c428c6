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

// stubNode describes a cluster member that gossips but has no batch jobs.
type stubNode struct {
	Name   string `json:"Name"`
	Number int    `json:"Number"`
	Listen string `json:"Listen"`
}

// stubCluster holds what is the same for all stub nodes.
type stubCluster struct {
	Seeds          []string `json:"Seeds"` // addresses through which nodes join the cluster
	Real           []string `json:"Real"`  // IP addresses of the real nodes; only traffic with these is counted
	PriorityLevels int      `json:"Rungs"` // number of priority levels in a gossip message
}

// gossipCounts describe what the stub nodes of a process know, and their traffic with real nodes.
type gossipCounts struct {
	LeastAlive int   `json:"Fewest"` // smallest number of nodes that a stub node knows to be alive, itself included
	KnowDrain  int   `json:"Drains"` // number of stub nodes that know of the drain of the executor in question
	PacketsIn  int64 `json:"PacketsIn"`
	PacketsOut int64 `json:"PacketsOut"`
	Streams    int64 `json:"Streams"`
	BytesIn    int64 `json:"BytesIn"`
	BytesOut   int64 `json:"BytesOut"`
}

// stubMember is a stub node. It runs the real gossip and cluster code, but gossips made-up load figures.
type stubMember struct {
	mu         sync.Mutex
	state      *cluster.State
	membership *gossip.Membership
	startedAt  time.Time
	alive      int // number of nodes that the stub node knows to be alive, itself included
}

// stubMembers are the stub nodes of a process.
type stubMembers struct {
	all     []*stubMember
	traffic gossip.Traffic
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// joinInterval is the time between the joins of two stub nodes.
const joinInterval = 20 * time.Millisecond

// startMembers starts the stub nodes of a job. The result must be stopped even after an error.
func startMembers(job stubJob) (*stubMembers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	members := &stubMembers{cancel: cancel}
	isReal := map[netip.Addr]bool{}
	for _, text := range job.Cluster.Real {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return members, err
		}
		isReal[a] = true
	}
	members.traffic.Counts = func(a netip.Addr) bool { return isReal[a] }
	for i, n := range job.Nodes {
		o, err := gossip.ParseOptions(cluster.NodeName(n.Name), policy.NodeID(n.Number), n.Listen, "", job.Cluster.Seeds)
		if err != nil {
			return members, err
		}
		o.Traffic = &members.traffic
		m := &stubMember{startedAt: time.Now()}
		s := cluster.Defaults(o.Name, uint64(m.startedAt.UnixMilli()), uint32(n.Number))
		m.state = cluster.New(s)
		m.membership = gossip.New(o, m.handle, zerolog.Nop())
		members.all = append(members.all, m)
		members.wait.Go(func() {
			select { // join one after another, as in a rollout: if all join at once, they declare each other dead
			case <-ctx.Done():
			case <-time.After(time.Duration(i) * joinInterval):
				m.membership.Run(ctx)
			}
		})
		members.wait.Go(func() { m.gossip(ctx, s.GossipInterval, job.Cluster.PriorityLevels) })
	}
	return members, nil
}

// handle applies an event of the gossip code to the node's cluster state.
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

// gossip sends the node's gossip messages until ctx is done.
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

// counts returns the counts of all stub nodes. KnowDrain counts the drain of the executor with the id about, whenever
// that executor started; it is 0 if the id is empty.
func (s *stubMembers) counts(about policy.ExecutorID) (c gossipCounts) {
	for i, m := range s.all {
		m.mu.Lock()
		if i == 0 || m.alive < c.LeastAlive {
			c.LeastAlive = m.alive
		}
		if about != "" && m.state.IsDraining(about, 0, true) {
			c.KnowDrain++
		}
		m.mu.Unlock()
	}
	t := &s.traffic
	c.PacketsIn, c.PacketsOut, c.Streams = t.PacketsIn.Load(), t.PacketsOut.Load(), t.StreamsIn.Load()+t.StreamsOut.Load()
	c.BytesIn, c.BytesOut = t.BytesIn.Load(), t.BytesOut.Load()
	return c
}

func (s *stubMembers) stop() {
	s.cancel()
	s.wait.Wait()
}
