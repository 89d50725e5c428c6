package simulation

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/config"
	"birchstair/internal/discovery"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/frontend"
	"birchstair/internal/invariants"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/service"
	"birchstair/policy"
)

// wiredWorld plays a world with the nodes' network code, net/http's server and client among it, on connections in memory.
// Models and script are the same as without; what goes between them are bytes. It reads time by package time only: on a
// virtual clock (testing/synctest) it takes as long as its work, elsewhere as long as the world is.
type wiredWorld struct {
	world       *World
	net         *memnet.Net
	start       time.Time
	rescheduled chan struct{} // the script has something new
	done        chan struct{}

	mu               sync.Mutex // guards the world; the network's lock comes after it
	ended            bool       // the world is over: nothing that still goes on counts
	requests         map[policy.JobID]*clientRequest
	endpointsChanged chan struct{}         // closed when discovery may have something new
	buffered         []bufferedObservation // what was seen at this instant, in no order yet
	observations     int

	pathMu      sync.Mutex // guards what lies between hosts; it comes after all others
	zoneOfHost  map[string]policy.ZoneID
	partitions  []partition
	unreachable map[string]bool
}

// bufferedObservation is a thing seen, and by whom: what several see at one instant is put in the order of their names.
type bufferedObservation struct {
	observer string
	order    int
	invariants.Seen
}

// nodeProcess is a node's process.
type nodeProcess struct {
	watchDials  int // connections to discovery
	world       *wiredWorld
	simNode     *simNode
	host        string
	addr        string
	adminEvents chan node.Event
	stop        context.CancelFunc
	dead        bool
	gaveUp      []invariants.Seen // by the module, in this step
	attempts    map[node.ConnID]*connAttempt
}

// executorSocket is a connection at an executor's end.
type executorSocket struct {
	conn     *memnet.Conn
	response platform.Answer
}

const discoveryAddress = "127.0.0.1:8500"

// PlayWired plays the world on connections in memory.
func (w *World) PlayWired() Result {
	v := &wiredWorld{world: w, start: time.Now(), rescheduled: make(chan struct{}, 1), done: make(chan struct{}), requests: map[policy.JobID]*clientRequest{},
		endpointsChanged: make(chan struct{}), zoneOfHost: map[string]policy.ZoneID{}, partitions: make([]partition, len(w.partitions)), unreachable: map[string]bool{}}
	v.net = memnet.New(w.seed, v.path)
	w.wired = v
	v.serveDiscovery()
	v.mu.Lock()
	w.build()
	length, end := time.Duration(w.scenario.Length), w.lastDeadline()
	for len(w.result.Broken) < w.maxViolations {
		next := end + 1
		if len(w.events) > 0 {
			next = w.events[0].at
		}
		if next > end || w.openWorks == 0 && next > length+settleTime {
			break
		}
		if wait := next - time.Since(v.start); wait > 0 {
			v.mu.Unlock()
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-v.rescheduled:
				t.Stop()
			}
			v.mu.Lock()
			continue
		}
		it := w.events.pop()
		w.now = max(it.at, time.Since(v.start))
		w.steps++
		it.run()
	}
	v.flush()
	w.advanceChecker()
	for _, n := range w.nodes {
		if n.up {
			n.kill()
		}
	}
	w.result.finish(w)
	v.ended = true
	v.mu.Unlock()
	close(v.done)
	v.net.Shut()
	time.Sleep(10 * time.Second) // whoever waits for something finds that it is over
	return w.result
}

// update does something to the world at this time.
func (v *wiredWorld) update(what func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return
	}
	v.world.now = max(v.world.now, time.Since(v.start))
	what()
}

// eventScheduled tells the script's player that something is to happen sooner than it waits for.
func (v *wiredWorld) eventScheduled() {
	select {
	case v.rescheduled <- struct{}{}:
	default:
	}
}

// buffer keeps what is seen until its instant is over.
func (v *wiredWorld) buffer(by string, s invariants.Seen) {
	if len(v.buffered) > 0 && v.buffered[0].At != s.At {
		v.flush()
	}
	v.observations++
	v.buffered = append(v.buffered, bufferedObservation{by, v.observations, s})
}

// flush hands on what was seen at one instant, in an order that does not hang on who came first.
func (v *wiredWorld) flush() {
	slices.SortStableFunc(v.buffered, func(a, b bufferedObservation) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.order, b.order))
	})
	now := v.world.now
	for _, s := range v.buffered {
		v.world.now = s.At
		v.world.report(s.Seen)
	}
	v.world.now = now
	v.buffered = v.buffered[:0]
}

// ---- The network between zones ----

func (v *wiredWorld) path(from, to string) memnet.Path {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	f := &v.world.scenario.Fleet
	a, known := v.zoneOfHost[from]
	b, known2 := v.zoneOfHost[to]
	if v.unreachable[from] || v.unreachable[to] {
		return memnet.Path{Lost: true}
	}
	p := memnet.Path{Delay: time.Duration(f.Near), PerByte: timePerByte}
	if !known || !known2 || a == b {
		if known != known2 { // discovery, which a zone that is cut off does not hear
			zone := max(a, b)
			if until := v.partitions[zone].inboundUntil; known2 && until > time.Since(v.start) {
				p.Hold = until - time.Since(v.start)
			}
		}
		return p
	}
	p.Delay = time.Duration(f.Far)
	if until := max(v.partitions[a].outboundUntil, v.partitions[b].inboundUntil); until > time.Since(v.start) {
		p.Hold = until - time.Since(v.start)
	}
	return p
}

// setZone says where a host is.
func (v *wiredWorld) setZone(host string, zone policy.ZoneID) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.zoneOfHost[host] = zone
}

func (v *wiredWorld) setPartitions(cuts []partition) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	copy(v.partitions, cuts)
}

func (v *wiredWorld) setUnreachable(addr string, yes bool) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.unreachable[addr] = yes
}

// ---- Executors ----

func (x *executor) host() string { return fmt.Sprintf("%s#%d", x.ID, x.incarnation) }

// startExecutor lets an executor take connections.
func (v *wiredWorld) startExecutor(x *executor) {
	x.incarnation++
	x.sockets = map[emulator.ConnID]*executorSocket{}
	v.setZone(x.host(), x.Zone)
	v.setZone(x.addr, x.Zone)
	v.setUnreachable(x.addr, false)
	l, err := v.net.Listen(x.host(), x.addr)
	if err != nil {
		panic(err) // the last life's listener went with it
	}
	lives := x.incarnation
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serveExecutor(x, lives, c.(*memnet.Conn))
		}
	}()
}

// endExecutor ends its process, or, silently, its machine.
func (v *wiredWorld) endExecutor(x *executor, silently bool) {
	if silently {
		v.setUnreachable(x.addr, true)
	}
	host := x.host()
	x.sockets = map[emulator.ConnID]*executorSocket{}
	v.net.Kill(host, silently)
}

// serveExecutor reads allocations from a connection until it ends.
func (v *wiredWorld) serveExecutor(x *executor, lives int, c *memnet.Conn) {
	defer c.Close()
	var key emulator.ConnID
	taken := false
	v.update(func() {
		if x.incarnation != lives {
			return
		}
		v.world.lastConnID++
		key = v.world.lastConnID
		ok, outs := x.Open(v.world.now, key)
		if taken = ok; ok {
			x.sockets[key] = &executorSocket{conn: c}
		}
		x.apply(outs)
	})
	if !taken {
		return
	}
	r := bufio.NewReader(c)
	for {
		m, err := platform.ReadAllocation(r)
		v.update(func() {
			if x.incarnation != lives || x.sockets[key] == nil {
				err = net.ErrClosed
				return
			}
			if err != nil {
				delete(x.sockets, key)
				x.apply(x.Hangup(v.world.now, key))
				return
			}
			c.SetReadDeadline(time.Time{})
			if t := v.requests[m.Job]; t != nil {
				x.apply(x.Take(v.world.now, v.world.newAttempt(t, t.simNode.id, key, x)))
			}
		})
		if err != nil {
			return
		}
	}
}

// answerAttempt writes an executor's word.
func (v *wiredWorld) answerAttempt(x *executor, o emulator.Say) {
	s, t := x.sockets[o.Conn], v.requests[o.Job]
	if s == nil || t == nil {
		return
	}
	b, ended := s.response.Append(nil, o, x.ID, platform.Result(string(t.work.ID)))
	s.conn.Write(b) //nolint:errcheck // a broken connection is seen by its reader, which books it
	if o.Word == emulator.Began && v.world.now-t.sentAt > slowStartNotice {
		v.world.result.StartsWaited++
	}
	if ended {
		s.conn.SetReadDeadline(time.Now().Add(time.Duration(v.world.scenario.Fleet.IdleLimit)))
	}
}

// ---- Discovery ----

func (v *wiredWorld) serveDiscovery() {
	l, err := v.net.Listen("discovery", discoveryAddress)
	if err != nil {
		panic(err) // it is the first
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serveWatch(c)
		}
	}()
}

func (v *wiredWorld) serveWatch(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		ask, err := platform.ReadWatch(r)
		if err != nil {
			return
		}
		answer := v.watch(ask)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// watch waits until there is an answer; while discovery is silent there is none.
func (v *wiredWorld) watch(ask platform.Watch) (answer []byte) {
	until := time.Now().Add(ask.Hold)
	for {
		var news chan struct{}
		v.update(func() {
			news = v.endpointsChanged
			d := v.world.discovery
			if d.Silent() {
				return
			}
			version, entries := d.Since(v.world.now, ask.From)
			if ask.Whole {
				entries = d.Whole(v.world.now)
			}
			if ask.Whole || len(entries) > 0 || !time.Now().Before(until) {
				answer = platform.AppendList(nil, version, ask.Whole, entries, v.world.scenario.Fleet.Zones, v.start)
			}
		})
		if answer != nil {
			return answer
		}
		var over <-chan time.Time // of its hold; once that has passed only news counts: discovery is silent
		if left := time.Until(until); left > 0 {
			over = time.After(left)
		}
		select {
		case <-news:
		case <-over:
		case <-v.done:
			return nil
		}
	}
}

// notifyWatches lets all watches look.
func (v *wiredWorld) notifyWatches() {
	close(v.endpointsChanged)
	v.endpointsChanged = make(chan struct{})
}

// ---- Nodes ----

func (v *wiredWorld) startNode(n *simNode, p policy.Settings, limits node.Limits, module node.Policy) {
	f := &v.world.scenario.Fleet
	l := &nodeProcess{world: v, simNode: n, host: fmt.Sprintf("%s#%d", n.name, n.incarnation), addr: fmt.Sprintf("127.2.%d.%d:%d", n.id/250, n.id%250+1, 8000+n.incarnation),
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
		Start: v.start.Add(n.started), Module: &policyRecorder{Policy: module, simNode: n, process: l}, Listener: listener, Executors: l.dial, List: l.dialList,
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

// tap sees a step of the reducer.
func (l *nodeProcess) tap(_ time.Duration, ev node.Event, effects []node.Effect) {
	l.world.update(func() {
		gave := l.gaveUp
		l.gaveUp = nil
		if l.dead {
			return
		}
		l.recordEvent(ev)
		l.simNode.recordAdminCall(ev, effects)
		for _, s := range gave {
			l.simNode.world.observe(s)
		}
		for _, e := range effects {
			l.recordEffect(e)
		}
	})
}

func (l *nodeProcess) recordEvent(ev node.Event) {
	n, w := l.simNode, l.simNode.world
	switch ev := ev.(type) {
	case node.JobArrived:
		if t := l.world.requests[ev.Job.ID]; t != nil {
			n.openJobs++
			w.observe(invariants.Seen{What: invariants.Taken, Node: n.id, Job: t.job, Work: t.work.ID, Track: t.work.Track, Limit: w.now + ev.Job.Budget})
		} else { // what no client handed in: it was hidden in a body
			w.result.Wrong++
		}
	case node.ClientLeft:
		n.openJobs--
		w.observe(invariants.Seen{What: invariants.Left, Node: n.id, Job: ev.Job})
	case node.EndpointsUpdated:
		if ev.Kind == policy.WatchFailed || ev.Kind == policy.CachedUpdate {
			return
		}
		var entries []emulator.Entry
		for _, e := range ev.Endpoints {
			e.StartedAt += n.started
			entries = append(entries, emulator.Entry{Endpoint: e.Endpoint, Addr: e.Addr})
		}
		n.endpointsUpdate(ev.Kind, entries)
	case node.AttemptEnded:
		l.attemptEnded(ev.Conn, ev.Outcome.NeverRan())
	case node.AttemptNotSent: // what was booked as its first byte with the effect never left
		l.attemptEnded(ev.Conn, true)
	case node.ConnClosed:
		l.attemptEnded(ev.Conn, true) // nothing of it had left, or its outcome would have come
	}
}

func (l *nodeProcess) attemptEnded(id node.ConnID, proof bool) {
	if o := l.attempts[id]; o != nil {
		delete(l.attempts, id)
		l.simNode.recordAttemptEnd(o, proof)
	}
}

func (l *nodeProcess) recordEffect(e node.Effect) {
	n, w := l.simNode, l.simNode.world
	switch e := e.(type) {
	case node.Answer:
		n.openJobs--
		w.observe(invariants.Seen{What: invariants.Answered, Node: n.id, Job: e.Job, Final: invariants.Final(e.Final)})
	case node.Dial:
		if x := w.byAddr[e.Addr]; x != nil {
			n.dialed[e.Conn] = x
		}
	case node.WriteAttempt:
		t, x := l.world.requests[e.Attempt.ID], n.dialed[e.Conn]
		if t == nil || x == nil {
			return
		}
		l.attempts[e.Conn] = n.recordAttempt(t, x)
	case node.SetReady:
		n.ready = e.Yes
	case node.Log:
		n.recordLog(e)
	case node.CloseFrontend:
		n.frontendClosed = true
	}
	n.maxQueued = max(n.maxQueued, n.openJobs-n.attemptsOut)
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
		if l.simNode.world.byAddr[c.RemoteAddr().String()] != nil {
			all = append(all, wiredConn{c, l.simNode.world})
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
	l.simNode.exit()
	l.world.net.Kill(l.host, false)
}

// ---- Clients ----

// submit hands a try in at its node and waits for what comes.
func (v *wiredWorld) submit(t *clientRequest) {
	l, work := t.simNode.process, t.work
	from := "clients-" + v.world.scenario.Fleet.Zones[t.clients.zone]
	v.setZone(from, t.clients.zone)
	v.requests[t.job] = t
	m := platform.Message{Job: t.job, Track: v.world.scenario.Tracks[work.Track].Name, Tag: v.world.idempotencyKey(work), Work: time.Duration(work.Hint * 1e9), Body: v.world.body()}
	go func() {
		how, comeBack := v.call(from, l.addr, m, t)
		v.update(func() {
			if how == emulator.EndBrokenOff && work.Leaves <= v.world.now {
				v.world.result.Left++
				v.recordClientGone(t, from, l.host)
			}
			t.finishUnsent(how, comeBack)
		})
	}()
}

// recordClientGone books that a client's connection has ended: when that arrives at its node's machine, which may be cut off from it. Before, no
// look there could find it.
func (v *wiredWorld) recordClientGone(t *clientRequest, from, host string) {
	if p := v.path(from, host); !p.Lost {
		v.world.after(p.Hold+p.Delay, func() { v.world.observe(invariants.Seen{What: invariants.Went, Node: t.simNode.id, Job: t.job}) })
	}
}

// call is a client's call.
func (v *wiredWorld) call(from, addr string, m platform.Message, t *clientRequest) (emulator.End, time.Duration) {
	work := t.work
	until := v.start.Add(min(work.Leaves, work.Limit+slack+time.Millisecond))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	c, err := v.net.Dial(ctx, from, string(m.Job), addr)
	if err != nil {
		return emulator.EndUnreached, 0
	}
	defer c.Close()
	if m.Budget = (work.Limit - time.Since(v.start)).Truncate(time.Millisecond); m.Budget <= 0 {
		return emulator.EndBrokenOff, 0
	}
	v.update(func() { t.conn = c })
	c.SetDeadline(until)
	if _, err := c.Write(m.Append(nil)); err != nil {
		return emulator.EndLost, 0
	}
	f, err := platform.ReadFinal(bufio.NewReader(c))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return emulator.EndBrokenOff, 0
	case err != nil:
		return emulator.EndLost, 0
	case f.How == emulator.EndHandled && !platform.IsHandled(f, string(work.ID)):
		v.update(func() { v.world.result.Wrong++ })
	case f.How == emulator.EndBrokenOff && f.Status < 500:
		v.update(func() { v.world.result.Wrong++ }) // a node that finds fault with a sound message
	}
	return f.How, f.ComeBack
}
