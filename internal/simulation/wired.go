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

// wired plays a world with the nodes' network code, net/http's server and client among it, on connections in memory.
// Models and script are the same as without; what goes between them are bytes. It reads time by package time only: on a
// virtual clock (testing/synctest) it takes as long as its work, elsewhere as long as the world is.
type wired struct {
	w     *World
	net   *memnet.Net
	start time.Time
	kick  chan struct{} // the script has something new
	done  chan struct{}

	mu      sync.Mutex // guards the world; the network's lock comes after it
	over    bool       // the world is over: nothing that still goes on counts
	tries   map[policy.JobID]*try
	signal  chan struct{} // closed when discovery may have something new
	instant []seenBy      // what was seen at this instant, in no order yet
	said    int

	pathMu sync.Mutex // guards what lies between hosts; it comes after all others
	zones  map[string]policy.ZoneID
	cuts   []cut
	lost   map[string]bool
}

// seenBy is a thing seen, and by whom: what several see at one instant is put in the order of their names.
type seenBy struct {
	by    string
	order int
	invariants.Seen
}

// life is a node's process.
type life struct {
	lists  int // connections to discovery
	v      *wired
	n      *sim
	host   string
	addr   string
	more   chan node.Event
	stop   context.CancelFunc
	dead   bool
	gave   []invariants.Seen // by the module, in this step
	allocs map[node.ConnID]*load
}

// sock is a connection at an executor's end.
type sock struct {
	conn   *memnet.Conn
	answer platform.Answer
}

const discoveryAddr = "127.0.0.1:8500"

// PlayWired plays the world on connections in memory.
func (w *World) PlayWired() Result {
	v := &wired{w: w, start: time.Now(), kick: make(chan struct{}, 1), done: make(chan struct{}), tries: map[policy.JobID]*try{},
		signal: make(chan struct{}), zones: map[string]policy.ZoneID{}, cuts: make([]cut, len(w.cuts)), lost: map[string]bool{}}
	v.net = memnet.New(w.seed, v.path)
	w.wired = v
	v.serveDiscovery()
	v.mu.Lock()
	w.build()
	length, end := time.Duration(w.s.Length), w.longestEnd()
	for len(w.result.Broken) < w.most {
		next := end + 1
		if len(w.queue) > 0 {
			next = w.queue[0].at
		}
		if next > end || w.open == 0 && next > length+afterEnd {
			break
		}
		if wait := next - time.Since(v.start); wait > 0 {
			v.mu.Unlock()
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-v.kick:
				t.Stop()
			}
			v.mu.Lock()
			continue
		}
		it := w.queue.pop()
		w.now = max(it.at, time.Since(v.start))
		w.steps++
		it.what()
	}
	v.flush()
	w.passTime()
	for _, n := range w.nodes {
		if n.up {
			n.kill()
		}
	}
	w.result.finish(w)
	v.over = true
	v.mu.Unlock()
	close(v.done)
	v.net.Shut()
	time.Sleep(10 * time.Second) // whoever waits for something finds that it is over
	return w.result
}

// enter does something to the world at this time.
func (v *wired) enter(what func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.over {
		return
	}
	v.w.now = max(v.w.now, time.Since(v.start))
	what()
}

// pushed tells the script's player that something is to happen sooner than it waits for.
func (v *wired) pushed() {
	select {
	case v.kick <- struct{}{}:
	default:
	}
}

// see keeps what is seen until its instant is over.
func (v *wired) see(by string, s invariants.Seen) {
	if len(v.instant) > 0 && v.instant[0].At != s.At {
		v.flush()
	}
	v.said++
	v.instant = append(v.instant, seenBy{by, v.said, s})
}

// flush hands on what was seen at one instant, in an order that does not hang on who came first.
func (v *wired) flush() {
	slices.SortStableFunc(v.instant, func(a, b seenBy) int { return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.order, b.order)) })
	now := v.w.now
	for _, s := range v.instant {
		v.w.now = s.At
		v.w.check(s.Seen)
	}
	v.w.now = now
	v.instant = v.instant[:0]
}

// ---- The network between zones ----

func (v *wired) path(from, to string) memnet.Path {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	f := &v.w.s.Fleet
	a, known := v.zones[from]
	b, known2 := v.zones[to]
	if v.lost[from] || v.lost[to] {
		return memnet.Path{Lost: true}
	}
	p := memnet.Path{Delay: time.Duration(f.Near), PerByte: bytesPerSecond}
	if !known || !known2 || a == b {
		if known != known2 { // discovery, which a zone that is cut off does not hear
			zone := max(a, b)
			if until := v.cuts[zone].in; known2 && until > time.Since(v.start) {
				p.Hold = until - time.Since(v.start)
			}
		}
		return p
	}
	p.Delay = time.Duration(f.Far)
	if until := max(v.cuts[a].out, v.cuts[b].in); until > time.Since(v.start) {
		p.Hold = until - time.Since(v.start)
	}
	return p
}

// place says where a host is.
func (v *wired) place(host string, zone policy.ZoneID) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.zones[host] = zone
}

func (v *wired) setCuts(cuts []cut) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	copy(v.cuts, cuts)
}

func (v *wired) setLost(addr string, yes bool) {
	v.pathMu.Lock()
	defer v.pathMu.Unlock()
	v.lost[addr] = yes
}

// ---- Executors ----

func (x *executor) host() string { return fmt.Sprintf("%s#%d", x.ID, x.lives) }

// startExecutor lets an executor take connections.
func (v *wired) startExecutor(x *executor) {
	x.lives++
	x.socks = map[emulator.ConnID]*sock{}
	v.place(x.host(), x.Zone)
	v.place(x.addr, x.Zone)
	v.setLost(x.addr, false)
	l, err := v.net.Listen(x.host(), x.addr)
	if err != nil {
		panic(err) // the last life's listener went with it
	}
	lives := x.lives
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
func (v *wired) endExecutor(x *executor, silently bool) {
	if silently {
		v.setLost(x.addr, true)
	}
	host := x.host()
	x.socks = map[emulator.ConnID]*sock{}
	v.net.Kill(host, silently)
}

// serveExecutor reads allocations from a connection until it ends.
func (v *wired) serveExecutor(x *executor, lives int, c *memnet.Conn) {
	defer c.Close()
	var key emulator.ConnID
	taken := false
	v.enter(func() {
		if x.lives != lives {
			return
		}
		v.w.wires++
		key = v.w.wires
		ok, outs := x.Open(v.w.now, key)
		if taken = ok; ok {
			x.socks[key] = &sock{conn: c}
		}
		x.does(outs)
	})
	if !taken {
		return
	}
	r := bufio.NewReader(c)
	for {
		m, err := platform.ReadAllocation(r)
		v.enter(func() {
			if x.lives != lives || x.socks[key] == nil {
				err = net.ErrClosed
				return
			}
			if err != nil {
				delete(x.socks, key)
				x.does(x.Hangup(v.w.now, key))
				return
			}
			c.SetReadDeadline(time.Time{})
			if t := v.tries[m.Job]; t != nil {
				x.does(x.Take(v.w.now, v.w.allocation(t, t.n.id, key, x)))
			}
		})
		if err != nil {
			return
		}
	}
}

// say writes an executor's word.
func (v *wired) say(x *executor, o emulator.Say) {
	s, t := x.socks[o.Conn], v.tries[o.Job]
	if s == nil || t == nil {
		return
	}
	b, ended := s.answer.Append(nil, o, x.ID, platform.Result(string(t.work.ID)))
	s.conn.Write(b) //nolint:errcheck // a broken connection is seen by its reader, which books it
	if o.Word == emulator.Began && v.w.now-t.sentAt > startWaits {
		v.w.result.StartsWaited++
	}
	if ended {
		s.conn.SetReadDeadline(time.Now().Add(time.Duration(v.w.s.Fleet.IdleLimit)))
	}
}

// ---- Discovery ----

func (v *wired) serveDiscovery() {
	l, err := v.net.Listen("discovery", discoveryAddr)
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

func (v *wired) serveWatch(c net.Conn) {
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
func (v *wired) watch(ask platform.Watch) (answer []byte) {
	until := time.Now().Add(ask.Hold)
	for {
		var news chan struct{}
		v.enter(func() {
			news = v.signal
			d := v.w.discovery
			if d.Silent() {
				return
			}
			version, entries := d.Since(v.w.now, ask.From)
			if ask.Whole {
				entries = d.Whole(v.w.now)
			}
			if ask.Whole || len(entries) > 0 || !time.Now().Before(until) {
				answer = platform.AppendList(nil, version, ask.Whole, entries, v.w.s.Fleet.Zones, v.start)
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

// changed lets all watches look.
func (v *wired) changed() {
	close(v.signal)
	v.signal = make(chan struct{})
}

// ---- Nodes ----

func (v *wired) startNode(n *sim, p policy.Settings, limits node.Limits, module node.Policy) {
	f := &v.w.s.Fleet
	l := &life{v: v, n: n, host: fmt.Sprintf("%s#%d", n.name, n.run), addr: fmt.Sprintf("127.2.%d.%d:%d", n.id/250, n.id%250+1, 8000+n.run),
		more: make(chan node.Event, orders), allocs: map[node.ConnID]*load{}}
	n.life = l
	v.place(l.host, n.zone)
	v.place(l.addr, n.zone)
	listener, err := v.net.Listen(l.host, l.addr)
	if err != nil {
		panic(err) // the address has its start in it
	}
	known := n.listed(policy.CachedUpdate, v.w.discovery.Copy(v.w.now-copyAge)).Endpoints
	s := config.Settings{Policy: p, LoadFields: config.LoadFields{0, 1, 2, -1, -1}, Zones: f.Zones, Kinds: []string{"plain"},
		IdleTimeout: time.Duration(f.IdleLimit), DialTimeout: time.Duration(f.DialLimit)}
	if !f.Reports {
		s.LoadFields = config.LoadFields{-1, -1, -1, -1, -1}
	}
	for _, t := range v.w.s.Tracks {
		s.JobClassNames = append(s.JobClassNames, t.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	setup := service.Options{Settings: s, Limits: limits, ClientLimits: frontend.ConnLimits{Max: mostClients, MaxShared: mostClients / 2}, CachedEndpoints: discovery.CachedList{Endpoints: known}, DiscoveryAddr: discoveryAddr,
		StartTime: v.start.Add(n.started), Policy: &witness{Policy: module, n: n, life: l}, Listener: listener, DialExecutor: l.dial, DialDiscovery: l.dialList,
		Log: zerolog.Nop(), Observer: l.tap}
	go func() {
		service.Run(ctx, setup, l.more) //nolint:errcheck // a killed node ends by its listener's error; the invariants judge what clients see
		v.enter(l.ended)
	}()
}

// mostClients is how many connections clients may have to a node.
const mostClients = 600

// dial opens a connection to an executor, with the faults that new ones have now.
func (l *life) dial(ctx context.Context, id node.ConnID, addr string) (net.Conn, error) {
	v, w, name := l.v, l.v.w, fmt.Sprint(id)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.s.Fleet.DialLimit)+time.Duration(id%997)*time.Nanosecond)
	defer cancel()
	c, err := v.net.Dial(ctx, l.host, name, addr)
	silent, breaks := false, false
	v.enter(func() {
		if l.dead {
			return
		}
		w.result.Dials++
		if err != nil {
			w.result.NoConnection++
		}
		silent = v.net.Chance("silent"+l.host+name) < w.silentNew
		breaks = v.net.Chance("break"+l.host+name) < w.resetNew
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

func (l *life) dialList(ctx context.Context, _, addr string) (net.Conn, error) {
	name := ""
	l.v.enter(func() {
		// Counted by life: a process that is killed may or may not dial once more before it ends, as the scheduler will.
		l.lists++
		name = fmt.Sprint("list", l.lists)
	})
	c, err := l.v.net.Dial(ctx, l.host, name, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// tap sees a step of the reducer.
func (l *life) tap(_ time.Duration, ev node.Event, effects []node.Effect) {
	l.v.enter(func() {
		gave := l.gave
		l.gave = nil
		if l.dead {
			return
		}
		l.event(ev)
		l.n.ordered(ev, effects)
		for _, s := range gave {
			l.n.w.see(s)
		}
		for _, e := range effects {
			l.effect(e)
		}
	})
}

func (l *life) event(ev node.Event) {
	n, w := l.n, l.n.w
	switch ev := ev.(type) {
	case node.JobArrived:
		if t := l.v.tries[ev.Job.ID]; t != nil {
			n.inHand++
			w.see(invariants.Seen{What: invariants.Taken, Node: n.id, Job: t.job, Work: t.work.ID, Track: t.work.Track, Limit: w.now + ev.Job.Budget})
		} else { // what no client handed in: it was hidden in a body
			w.result.Wrong++
		}
	case node.ClientLeft:
		n.inHand--
		w.see(invariants.Seen{What: invariants.Left, Node: n.id, Job: ev.Job})
	case node.EndpointsUpdated:
		if ev.Kind == policy.WatchFailed || ev.Kind == policy.CachedUpdate {
			return
		}
		var entries []emulator.Entry
		for _, e := range ev.Endpoints {
			e.StartedAt += n.started
			entries = append(entries, emulator.Entry{Endpoint: e.Endpoint, Addr: e.Addr})
		}
		n.listed(ev.Kind, entries)
	case node.AttemptEnded:
		l.over(ev.Conn, ev.Outcome.NeverRan())
	case node.AttemptNotSent: // what was booked as its first byte with the effect never left
		l.over(ev.Conn, true)
	case node.ConnClosed:
		l.over(ev.Conn, true) // nothing of it had left, or its outcome would have come
	}
}

func (l *life) over(id node.ConnID, proof bool) {
	if o := l.allocs[id]; o != nil {
		delete(l.allocs, id)
		l.n.over(o, proof)
	}
}

func (l *life) effect(e node.Effect) {
	n, w := l.n, l.n.w
	switch e := e.(type) {
	case node.Answer:
		n.inHand--
		w.see(invariants.Seen{What: invariants.Answered, Node: n.id, Job: e.Job, Final: invariants.Final(e.Final)})
	case node.Dial:
		if x := w.byAddr[e.Addr]; x != nil {
			n.dials[e.Conn] = x
		}
	case node.WriteAttempt:
		t, x := l.v.tries[e.Attempt.ID], n.dials[e.Conn]
		if t == nil || x == nil {
			return
		}
		l.allocs[e.Conn] = n.sends(t, x)
	case node.SetReady:
		n.ready = e.Yes
	case node.Log:
		n.logged(e)
	case node.CloseFrontend:
		n.closed = true
	}
	n.mostHeld = max(n.mostHeld, n.inHand-n.out)
}

// wiredWire is an open connection of a node's process.
type wiredWire struct {
	*memnet.Conn
	w *World
}

func (c wiredWire) silence() { c.SilenceBack() }

func (c wiredWire) breakAt(after time.Duration) { c.w.after(after, c.Reset) }

func (l *life) openWires() (all []openWire) {
	for _, c := range l.v.net.Conns(l.host) {
		if l.n.w.byAddr[c.RemoteAddr().String()] != nil {
			all = append(all, wiredWire{c, l.n.w})
		}
	}
	return all
}

// orders is how many operators' calls wait at a process at most; more are lost, as at a door that is full.
const orders = 64

const (
	orderSalt = 997
	orderStep = 1009 * time.Nanosecond
)

// order has an operator call at the process.
func (l *life) order(c node.AdminCalled) {
	l.v.w.orders++
	// Each at an instant of its own, or the order of what follows would hang on the scheduler.
	l.v.w.after(time.Duration(l.v.w.orders%orderSalt+1)*orderStep, func() {
		if l.dead {
			return
		}
		select {
		case l.more <- c:
		default:
		}
	})
}

// kill ends the process without a word.
func (l *life) kill() {
	l.dead = true
	l.v.net.Kill(l.host, false)
	go func() {
		l.more <- node.FrontendClosed{}
		close(l.more)
		l.stop()
	}()
}

// ended: the process has ended by itself.
func (l *life) ended() {
	if l.dead {
		return
	}
	l.dead = true
	close(l.more)
	l.stop()
	l.n.end()
	l.v.net.Kill(l.host, false)
}

// ---- Clients ----

// handIn hands a try in at its node and waits for what comes.
func (v *wired) handIn(t *try) {
	l, work := t.n.life, t.work
	from := "clients-" + v.w.s.Fleet.Zones[t.from.zone]
	v.place(from, t.from.zone)
	v.tries[t.job] = t
	m := platform.Message{Job: t.job, Track: v.w.s.Tracks[work.Track].Name, Tag: v.w.tag(work), Work: time.Duration(work.Hint * 1e9), Body: v.w.body()}
	go func() {
		how, comeBack := v.call(from, l.addr, m, t)
		v.enter(func() {
			if how == emulator.EndBrokenOff && work.Leaves <= v.w.now {
				v.w.result.Left++
				v.went(t, from, l.host)
			}
			t.end(how, comeBack)
		})
	}()
}

// went books that a client's connection has ended: when that arrives at its node's machine, which may be cut off from it. Before, no
// look there could find it.
func (v *wired) went(t *try, from, host string) {
	if p := v.path(from, host); !p.Lost {
		v.w.after(p.Hold+p.Delay, func() { v.w.see(invariants.Seen{What: invariants.Went, Node: t.n.id, Job: t.job}) })
	}
}

// call is a client's call.
func (v *wired) call(from, addr string, m platform.Message, t *try) (emulator.End, time.Duration) {
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
	v.enter(func() { t.conn = c })
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
		v.enter(func() { v.w.result.Wrong++ })
	case f.How == emulator.EndBrokenOff && f.Status < 500:
		v.enter(func() { v.w.result.Wrong++ }) // a node that finds fault with a sound message
	}
	return f.How, f.ComeBack
}
