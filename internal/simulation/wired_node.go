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

// nodeProcess is a node's process.
type nodeProcess struct {
	watchDials  int // connections to discovery
	world       *wiredWorld
	node        *simNode
	host        string
	addr        string
	adminEvents chan node.Event
	stop        context.CancelFunc
	dead        bool
	gaveUp      []invariants.Seen // by the module, in this step
	attempts    map[node.ConnID]*connAttempt
}

func (v *wiredWorld) startNode(n *simNode, p policy.Settings, limits node.Limits, module node.Policy) {
	f := &v.world.scenario.Fleet
	l := &nodeProcess{world: v, node: n, host: fmt.Sprintf("%s#%d", n.name, n.incarnation), addr: fmt.Sprintf("127.2.%d.%d:%d", n.id/250, n.id%250+1, 8000+n.incarnation),
		adminEvents: make(chan node.Event, maxAdminCalls), attempts: map[node.ConnID]*connAttempt{}}
	n.process = l
	v.setZone(l.host, n.zone)
	v.setZone(l.addr, n.zone)
	listener, err := v.net.Listen(l.host, l.addr)
	if err != nil {
		panic(err) // the address has its start in it
	}
	known := n.endpointsUpdate(policy.CachedUpdate, v.world.discovery.Copy(v.world.now-cachedListAge)).Endpoints
	s := config.Settings{Policy: p, LoadFields: config.LoadFields{0, 1, 2, -1, -1}, Zones: f.Zones, Kinds: []string{"plain"},
		IdleTimeout: time.Duration(f.IdleLimit), DialTimeout: time.Duration(f.DialLimit)}
	if !f.Reports {
		s.LoadFields = config.LoadFields{-1, -1, -1, -1, -1}
	}
	for _, t := range v.world.scenario.Tracks {
		s.Tracks = append(s.Tracks, t.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	setup := service.Setup{Settings: s, Limits: limits, ClientConns: frontend.ConnLimits{Max: maxClientConns, MaxShared: maxClientConns / 2}, Known: discovery.CachedList{Endpoints: known}, Discovery: discoveryAddress,
		Start: v.start.Add(n.startedAt), Module: &policyRecorder{Policy: module, node: n, process: l}, Listener: listener, Executors: l.dial, List: l.dialList,
		Log: zerolog.Nop(), Tap: l.tap}
	go func() {
		service.Run(ctx, setup, l.adminEvents) //nolint:errcheck // a killed node ends by its listener's error; the invariants judge what clients see
		v.update(l.ended)
	}()
}

// maxClientConns is how many connections clients may have to a node.
const maxClientConns = 600

// dial opens a connection to an executor, with the faults that new ones have now.
func (l *nodeProcess) dial(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
	v, w, name := l.world, l.world.world, fmt.Sprint(id)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.scenario.Fleet.DialLimit)+time.Duration(id%997)*time.Nanosecond)
	defer cancel()
	c, err := v.net.Dial(ctx, l.host, name, addr)
	silent, breaks := false, false
	v.update(func() {
		if l.dead {
			return
		}
		w.result.Dials++
		if err != nil {
			w.result.NoConnection++
		}
		silent = v.net.Chance("silent"+l.host+name) < w.newConnSilentRate
		breaks = v.net.Chance("break"+l.host+name) < w.newConnResetRate
	})
	if err != nil {
		return nil, err
	}
	if silent {
		c.SilenceBack()
	}
	if breaks {
		c.BreakAtUse(memnet.Within + memnet.Break(3*v.net.Chance("how"+l.host+name)))
	}
	return c, nil
}

func (l *nodeProcess) dialList(ctx context.Context, _, addr string) (net.Conn, error) {
	name := ""
	l.world.update(func() {
		// Counted by life: a process that is killed may or may not dial once more before it ends, as the scheduler will.
		l.watchDials++
		name = fmt.Sprint("list", l.watchDials)
	})
	c, err := l.world.net.Dial(ctx, l.host, name, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// wiredConn is an open connection of a node's process.
type wiredConn struct {
	*memnet.Conn
	world *World
}

func (c wiredConn) silence() { c.SilenceBack() }

func (c wiredConn) breakAt(after time.Duration) { c.world.after(after, c.Reset) }

func (l *nodeProcess) openConns() (all []faultableConn) {
	for _, c := range l.world.net.Conns(l.host) {
		if l.node.world.byAddr[c.RemoteAddr().String()] != nil {
			all = append(all, wiredConn{c, l.node.world})
		}
	}
	return all
}

// maxAdminCalls is how many operators' calls wait at a process at most; more are lost, as at a door that is full.
const maxAdminCalls = 64

const (
	adminDelaySteps = 997
	adminDelayStep  = 1009 * time.Nanosecond
)

// adminCall has an operator call at the process.
func (l *nodeProcess) adminCall(c node.AdminCalled) {
	l.world.world.adminCalls++
	// Each at an instant of its own, or the order of what follows would hang on the scheduler.
	l.world.world.after(time.Duration(l.world.world.adminCalls%adminDelaySteps+1)*adminDelayStep, func() {
		if l.dead {
			return
		}
		select {
		case l.adminEvents <- c:
		default:
		}
	})
}

// kill ends the process without a word.
func (l *nodeProcess) kill() {
	l.dead = true
	l.world.net.Kill(l.host, false)
	go func() {
		l.adminEvents <- node.FrontendClosed{}
		close(l.adminEvents)
		l.stop()
	}()
}

// ended: the process has ended by itself.
func (l *nodeProcess) ended() {
	if l.dead {
		return
	}
	l.dead = true
	close(l.adminEvents)
	l.stop()
	l.node.exit()
	l.world.net.Kill(l.host, false)
}
