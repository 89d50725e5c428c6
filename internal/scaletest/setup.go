package scaletest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/harness"
	"birchstair/policy"
)

// setUp starts the executors, discovery and nodes of the point.
func (m *measurement) setUp() error {
	m.dir = filepath.Join(m.options.Dir, fmt.Sprintf("%s-%g-%d", m.point.Series, m.point.X, m.point.Round))
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	slot, reservation, err := harness.ReserveAddresses()
	if err != nil {
		return err
	}
	m.cleanups = append(m.cleanups, func() { reservation.Close() })
	if err := m.startExecutors(slot); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.cleanups = append(m.cleanups, func() { listener.Close() })
	m.discoveryAddress, m.discovery = listener.Addr().String(), &platform.Discovery{Entries: m.entries, Zones: zones, Epoch: m.epoch}
	go m.discovery.Serve(countedListener{listener, &m.discoveryTraffic})
	if err := m.startNodes(slot); err != nil {
		return err
	}
	if m.point.Gossip {
		return m.awaitMembership()
	}
	return nil
}

// startExecutors starts the processes with the stub executors, and adds the executors to the endpoint list.
func (m *measurement) startExecutors(slot byte) error {
	work := m.options.TaskDuration
	if m.point.hasLongTasks() {
		work = longTask
	}
	for first := 0; first < m.point.Executors; first += executorsPerProcess {
		job := stubJob{Host: fmt.Sprintf("127.%d.3.%d", slot, first/executorsPerProcess+1), TaskDuration: work}
		for i := first; i < min(first+executorsPerProcess, m.point.Executors); i++ {
			job.Executors = append(job.Executors, stubExecutor{executorID(i), slots(i)})
		}
		stubs, err := startStub(m.options.StubCommand, job)
		if err != nil {
			return err
		}
		m.executorStubs = append(m.executorStubs, stubs)
		m.stopAtEnd(stubs)
		for i, x := range job.Executors {
			m.entries = append(m.entries, emulator.Entry{Addr: stubs.Addrs[i], Endpoint: policy.Endpoint{Executor: x.ID, Zone: policy.ZoneID((first + i) % len(zones)),
				Cell: policy.CellID((first + i) / 40), State: policy.Available, Weight: float64(x.Slots), StartedLongAgo: true}})
		}
	}
	return nil
}

// Ports of a real node. A stub node has only the gossip port.
const (
	clientPort = 8081
	adminPort  = 8082
	gossipPort = 7947
)

// Numbers of nodes that serve as gossip seeds.
const (
	realSeeds = 3
	stubSeeds = 5
)

// startNodes starts the real nodes and the stub nodes, and records the time and CPU time that the real nodes take to
// become ready.
func (m *measurement) startNodes(slot byte) error {
	var hosts []string
	for i := range m.point.RealNodes {
		hosts = append(hosts, fmt.Sprintf("127.%d.0.%d", slot, i+1))
	}
	job := stubJob{Cluster: stubCluster{Real: hosts, PriorityLevels: m.point.PriorityLevels}}
	for i := range m.point.StubNodes {
		job.Nodes = append(job.Nodes, stubNode{fmt.Sprint("h", i), m.point.RealNodes + i, fmt.Sprintf("127.%d.%d.%d:%d", slot, 10+i/200, 1+i%200, gossipPort)})
	}
	job.Cluster.Seeds = gossipSeeds(hosts, job.Nodes)
	began := time.Now()
	for i, host := range hosts {
		if err := m.startRealNode(i, host, job.Cluster.Seeds); err != nil {
			return err
		}
	}
	if err := m.startStubNodes(job); err != nil {
		return err
	}
	return m.awaitReady(began)
}

// gossipSeeds returns the addresses through which nodes join the cluster: those of some real nodes and of some stub
// nodes.
func gossipSeeds(hosts []string, stubs []stubNode) (seeds []string) {
	for _, host := range hosts[:min(realSeeds, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, gossipPort))
	}
	for _, n := range stubs[:min(stubSeeds, len(stubs))] {
		seeds = append(seeds, n.Listen)
	}
	return seeds
}

func (m *measurement) startRealNode(number int, host string, seeds []string) error {
	name := fmt.Sprint("n", number)
	p := &realNode{name: name, number: number, dir: filepath.Join(m.dir, name), clientAddress: fmt.Sprintf("%s:%d", host, clientPort),
		adminAddress: fmt.Sprintf("%s:%d", host, adminPort), valueScale: 2}
	if m.point.Gossip {
		p.gossipAddress = fmt.Sprintf("%s:%d", host, gossipPort)
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	if err := errors.Join(p.writeConfig(m.point, m.discoveryAddress), p.writeSite(seeds), p.start(m.binary())); err != nil {
		return err
	}
	m.nodes = append(m.nodes, p)
	m.cleanups = append(m.cleanups, func() {
		if err := p.shutDown(); err != nil {
			m.fail("node %s: a planned end: %v", p.name, err)
		}
	})
	return nil
}

func (m *measurement) startStubNodes(job stubJob) error {
	if len(job.Nodes) == 0 {
		return nil
	}
	stub, err := startStub(m.options.StubCommand, job)
	if err != nil {
		return err
	}
	m.nodeStubs = stub
	m.stopAtEnd(stub)
	return nil
}

// stopAtEnd registers a stub process to be stopped when the measurement ends.
func (m *measurement) stopAtEnd(h *stubProcess) {
	m.cleanups = append(m.cleanups, func() {
		if err := h.stop(); err != nil {
			m.fail("stop stub process: %v", err)
		}
	})
}

// awaitReady waits until all real nodes are ready and know all executors. It records the time that this took since
// began, and, averaged over the nodes, the CPU time used and the bytes of the endpoint list.
func (m *measurement) awaitReady(began time.Time) error {
	for _, p := range m.nodes {
		if err := waitFor(readyTimeout, func() bool { return p.isReady() && p.hasMetric("executors_known", m.point.Executors) }); err != nil {
			return fmt.Errorf("node %s is not ready, or does not know all %d executors: %w", p.name, m.point.Executors, err)
		}
	}
	m.row.Figures["ready_s"] = time.Since(began).Seconds()
	m.row.Figures["list_whole_kb"] = float64(m.discoveryTraffic.bytesWritten.Load()) / 1e3 / float64(len(m.nodes))
	total, err := m.cpu()
	m.row.Figures["ready_cpu_ms"] = total.Seconds() * 1e3 / float64(len(m.nodes))
	return err
}

// binary returns the path of the build that the point measures.
func (m *measurement) binary() string {
	if m.point.Baseline {
		return m.options.BaselineBinary
	}
	return m.options.Binary
}

// awaitMembership waits until every node counts all nodes as alive, and records how long that takes.
func (m *measurement) awaitMembership() error {
	all, least := m.point.RealNodes+m.point.StubNodes, 0
	began := time.Now()
	err := waitFor(membershipTimeout, func() bool {
		for _, p := range m.nodes {
			if !p.knowsAll(all) {
				return false
			}
		}
		if m.nodeStubs == nil {
			return true
		}
		c, err := m.nodeStubs.counts("")
		least = c.Gossip.LeastAlive
		return err == nil && least == all
	})
	if err != nil {
		return fmt.Errorf("%d nodes have not all discovered each other, one stub node knows %d: %w", all, least, err)
	}
	m.row.Figures["meet_s"] = time.Since(began).Seconds()
	return nil
}

// waitFor waits until a condition holds. It returns an error if that takes longer than the limit.
func waitFor(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v", limit)
		}
	}
	return nil
}
