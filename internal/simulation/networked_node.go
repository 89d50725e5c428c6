package simulation

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/frontend"
	"birchstair/internal/invariants"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/policy"
)

const (
	maxClientConns = 600 // largest number of client connections to a node
	maxAdminCalls  = 64  // largest number of admin calls that wait at a process; further calls are dropped

	// Each admin call and each dial timeout gets a small additional delay of its own. Without it, two of them could be
	// simultaneous, and their order would depend on the scheduler.
	adminDelaySteps  = 997
	adminDelayStep   = 1009 * time.Nanosecond
	dialTimeoutSteps = 997
)

// nodeProcess is a node's process in a networked simulation.
type nodeProcess struct {
	networked   *networkedSimulation
	node        *simNode
	host        string // name of the process in the network
	addr        string
	adminEvents chan node.Event
	stop        context.CancelFunc
	ended       bool
	watchDials  int                          // number of connections to discovery that the process has dialed
	gaveUp      []invariants.Event           // jobs that the policy gave up in the current step
	attempts    map[node.ConnID]*connAttempt // attempts in flight, by their connection
}

// startNode starts a node's process.
func (ns *networkedSimulation) startNode(n *simNode, settings policy.Settings, limits node.Limits, decider node.Policy) {
	ctx, stop := context.WithCancel(context.Background())
	p := &nodeProcess{
		networked:   ns,
		node:        n,
		host:        fmt.Sprintf("%s#%d", n.name, n.incarnation),
		addr:        fmt.Sprintf("127.2.%d.%d:%d", n.id/250, n.id%250+1, 8000+n.incarnation),
		adminEvents: make(chan node.Event, maxAdminCalls),
		stop:        stop,
		attempts:    map[node.ConnID]*connAttempt{},
	}
	n.process = p
	ns.setZone(p.host, n.zone)
	ns.setZone(p.addr, n.zone)
	listener, err := ns.net.Listen(p.host, p.addr)
	if err != nil {
		panic(err) // each incarnation has a different address
	}
	cached := n.endpointsUpdate(policy.CachedUpdate, ns.sim.discovery.ListAt(ns.sim.now-cachedListAge)).Endpoints
	setup := service.Options{
		Settings:        ns.nodeConfig(settings),
		Limits:          limits,
		ClientLimits:    frontend.ConnLimits{Max: maxClientConns, MaxShared: maxClientConns / 2},
		CachedEndpoints: discovery.CachedList{Endpoints: cached},
		DiscoveryAddr:   discoveryAddress,
		StartTime:       ns.start.Add(n.startedAt),
		Policy:          &policyRecorder{Policy: decider, node: n, process: p},
		Listener:        listener,
		DialExecutor:    p.dial,
		DialDiscovery:   p.dialDiscovery,
		Log:             zerolog.Nop(),
		Observer:        p.recordStep,
	}
	go func() {
		// The error is not checked, because a killed node ends with an error of its listener. The invariants check the
		// answers to clients.
		service.Run(ctx, setup, p.adminEvents) //nolint:errcheck // a killed node ends with an error of its listener
		ns.locked(p.exited)
	}()
}

// nodeConfig returns a node's configuration.
func (ns *networkedSimulation) nodeConfig(settings policy.Settings) config.Settings {
	fleet := &ns.sim.scenario.Fleet
	s := config.Settings{
		Policy:      settings,
		LoadFields:  config.LoadFields{0, 1, 2, -1, -1},
		Zones:       fleet.Zones,
		Kinds:       []string{"plain"},
		IdleTimeout: time.Duration(fleet.IdleTimeout),
		DialTimeout: time.Duration(fleet.DialTimeout),
	}
	if !fleet.ReportsLoad {
		s.LoadFields = config.LoadFields{-1, -1, -1, -1, -1}
	}
	for _, class := range ns.sim.scenario.Classes {
		s.JobClassNames = append(s.JobClassNames, class.Name)
	}
	return s
}

// dial opens a connection to an executor. The current faults of new connections apply to this connection.
func (p *nodeProcess) dial(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
	ns, sim, name := p.networked, p.networked.sim, fmt.Sprint(id)
	timeout := time.Duration(sim.scenario.Fleet.DialTimeout) + time.Duration(id%dialTimeoutSteps)*time.Nanosecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := ns.net.Dial(ctx, p.host, name, addr)
	unresponsive, breaks := false, false
	ns.locked(func() {
		if p.ended {
			return
		}
		sim.result.Dials++
		if err != nil {
			sim.result.FailedDials++
		}
		unresponsive = ns.net.Chance("silent"+p.host+name) < sim.newConnUnresponsiveRate
		breaks = ns.net.Chance("break"+p.host+name) < sim.newConnResetRate
	})
	if err != nil {
		return nil, err
	}
	if unresponsive {
		conn.DropIncoming()
	}
	if breaks {
		conn.BreakAtWrite(memnet.BreakPartial + memnet.Break(3*ns.net.Chance("how"+p.host+name)))
	}
	return conn, nil
}

// dialDiscovery opens a connection to discovery. The connection's name has a number that is counted for each process
// separately. It is not certain whether a killed process dials once more before it ends, and this must not change the
// names of other processes' connections.
func (p *nodeProcess) dialDiscovery(ctx context.Context, _, addr string) (net.Conn, error) {
	name := ""
	p.networked.locked(func() {
		p.watchDials++
		name = fmt.Sprint("list", p.watchDials)
	})
	conn, err := p.networked.net.Dial(ctx, p.host, name, addr)
	if err != nil {
		return nil, err // conn would be a nil *memnet.Conn in a non-nil interface
	}
	return conn, nil
}

// networkedConn is an open connection of a node's process.
type networkedConn struct {
	*memnet.Conn
	sim *Simulation
}

// makeUnresponsive implements faultableConn.
func (c networkedConn) makeUnresponsive() { c.DropIncoming() }

// breakAt implements faultableConn.
func (c networkedConn) breakAt(delay time.Duration) { c.sim.after(delay, c.Reset) }

// openConns returns the process's open connections to executors.
func (p *nodeProcess) openConns() (all []faultableConn) {
	sim := p.networked.sim
	for _, conn := range p.networked.net.Conns(p.host) {
		if sim.byAddr[conn.RemoteAddr().String()] != nil {
			all = append(all, networkedConn{conn, sim})
		}
	}
	return all
}

// adminCall sends an operator's command to the process.
func (p *nodeProcess) adminCall(call node.AdminCalled) {
	sim := p.networked.sim
	sim.adminCalls++
	sim.after(time.Duration(sim.adminCalls%adminDelaySteps+1)*adminDelayStep, func() {
		if p.ended {
			return
		}
		select {
		case p.adminEvents <- call:
		default:
		}
	})
}

// kill ends the process at once, as SIGKILL does.
func (p *nodeProcess) kill() {
	p.ended = true
	p.networked.net.Kill(p.host, false)
	go func() {
		p.adminEvents <- node.FrontendClosed{}
		close(p.adminEvents)
		p.stop()
	}()
}

// exited records that the process has ended by itself, unless it was killed before.
func (p *nodeProcess) exited() {
	if p.ended {
		return
	}
	p.ended = true
	close(p.adminEvents)
	p.stop()
	p.node.exit()
	p.networked.net.Kill(p.host, false)
}
