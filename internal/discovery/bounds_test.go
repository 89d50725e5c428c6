package discovery

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchstair/internal/config"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/golden"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// fakeDiscovery is a stand-in of discovery in memory: its list is a number of executors that only grows, so that what a node was told
// says which version it has.
type fakeDiscovery struct {
	net          *memnet.Net
	responseTime time.Duration // from when it knows what it answers until it says so
	queue        *queue        // what it shares with others; nil for none
	agent        *agent        // its way to a service that turns calls away; nil for none

	mu                sync.Mutex
	size              int
	changed           chan struct{} // closed when it grows
	at                *memnet.Listener
	moved             bool      // it is reached where nobody was before, and where it was nobody is
	lost              bool      // nothing gets through to it
	silent            bool      // calls that come now are never answered
	versionsRestarted bool      // its versions begin anew: it makes nothing of those that it is asked for
	faults            []string  // of the next calls, one each
	requests          int       // calls
	malformedAt       time.Time // its first odd answer left
	completeRequestAt time.Time // the first call after that for the whole list came
	open              int       // connections to it, as the node sees them
	maxOpen           int
	closed            chan struct{}
}

const fakeAddr = "127.0.0.1:8500"

var defaults = defaultTiming()

func newFakeDiscovery(slow time.Duration) *fakeDiscovery {
	d := &fakeDiscovery{responseTime: slow, size: 1, changed: make(chan struct{}), closed: make(chan struct{})}
	d.net = memnet.New(1, func(_, to string) memnet.Path {
		d.mu.Lock()
		defer d.mu.Unlock()
		return memnet.Path{Delay: time.Millisecond, Lost: d.lost || to == "nowhere"}
	})
	return d
}

func (d *fakeDiscovery) locked(what func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	what()
}

func (d *fakeDiscovery) up() {
	l, err := d.net.Listen("d", fakeAddr)
	if err != nil {
		panic(err)
	}
	d.locked(func() { d.at = l })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
}

func (d *fakeDiscovery) close() {
	close(d.closed)
	d.net.Shut()
}

// sleep lets time pass, unless all is over.
func (d *fakeDiscovery) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.closed:
	}
}

func (d *fakeDiscovery) down() { d.net.Kill("d", false) }

// dial opens a connection to it, and counts it until it is closed.
func (d *fakeDiscovery) dial() Dialer {
	n := 0
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		var id string
		d.locked(func() {
			n++
			id = fmt.Sprint(n)
			d.open++
			d.maxOpen = max(d.maxOpen, d.open)
			if (addr == fakeAddr) == d.moved {
				addr = "nowhere"
			} else {
				addr = fakeAddr
			}
		})
		c, err := d.net.Dial(ctx, "n", id, addr)
		if err != nil {
			d.locked(func() { d.open-- })
			return nil, err
		}
		return &countedConn{Conn: c, d: d}, nil
	}
}

type countedConn struct {
	net.Conn
	d    *fakeDiscovery
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.d.locked(func() { c.d.open-- }) })
	return c.Conn.Close()
}

// halfOpen makes all connections silent that are open: neither end notices.
func (d *fakeDiscovery) halfOpen() {
	for _, c := range append(d.net.Conns("d"), d.net.Conns("n")...) {
		c.Silence()
	}
}

func (d *fakeDiscovery) addExecutor() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		ask, err := platform.ReadWatch(in)
		if err != nil {
			return
		}
		var fault string
		var size int
		var changed chan struct{}
		d.locked(func() {
			d.requests++
			if ask.Whole && !d.malformedAt.IsZero() && d.completeRequestAt.IsZero() {
				d.completeRequestAt = time.Now()
			}
			if len(d.faults) > 0 {
				fault, d.faults = d.faults[0], d.faults[1:]
			}
			if d.silent {
				fault = "silent"
			}
			if d.versionsRestarted && !ask.Whole {
				fault = "odd"
			}
			size, changed = d.size, d.changed
		})
		if d.agent != nil && !d.agent.admit(d.sleep) {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		switch fault {
		case "silent":
			if _, err := in.ReadByte(); err == nil { // it blocks until the node cancels the request
				panic("data behind a request that was not answered")
			}
			return
		case "reset":
			c.(*memnet.Conn).Reset()
			return
		case "odd":
			d.sleep(d.responseTime)
			d.locked(func() {
				if d.malformedAt.IsZero() {
					d.malformedAt = time.Now()
				}
			})
			fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			continue
		case "trickle":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
			for {
				d.sleep(100 * time.Millisecond)
				if _, err := c.Write([]byte(" ")); err != nil {
					return
				}
			}
		}
		if !ask.Whole && ask.From == size {
			select {
			case <-changed:
				d.locked(func() { size = d.size })
			case <-time.After(ask.Hold):
			}
		}
		if d.queue != nil {
			d.sleep(d.queue.turn())
		}
		d.sleep(d.responseTime)
		if d.agent != nil {
			d.agent.answered()
		}
		hosts := make([]string, 0, size)
		for i := range size {
			hosts = append(hosts, host(fmt.Sprint("e", i), `"health":"ready"`))
		}
		body := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, size, strings.Join(hosts, ","))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// queue has calls wait for their turn, first come, first served, also those that nobody waits for any more.
type queue struct {
	mu          sync.Mutex
	serviceTime time.Duration
	until       time.Time
}

func (q *queue) turn() time.Duration {
	span, _ := q.turnWithin(math.MaxInt64, 0)
	return span
}

// agent is a node's way to a service that all share and that turns calls away: what would wait for longer than room is refused, and a
// refusal takes of the service's work too. The first call is answered with a copy that is at hand; a watch that goes on costs
// nothing. So it was seen on the bench, where lists are asked for.
type agent struct {
	queue        *queue
	maxQueueTime time.Duration
	refusal      time.Duration // of the service's work

	mu       sync.Mutex
	calls    int
	last     time.Time // the last answer that was no refusal; zero where the watch has ended
	rejected int       // refused
}

func (a *agent) admit(wait func(time.Duration)) bool {
	a.mu.Lock()
	a.calls++
	free := a.calls == 1 || !a.last.IsZero() && time.Since(a.last) < 200*time.Millisecond
	a.last = time.Time{}
	a.mu.Unlock()
	if free {
		return true
	}
	span, ok := a.queue.turnWithin(a.maxQueueTime, a.refusal)
	if !ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.rejected++
		return false
	}
	wait(span)
	return true
}

// answered notes an answer that opens a watch, or goes on with it: any but the first, which is only a copy.
func (a *agent) answered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls > 1 {
		a.last = time.Now()
	}
}

// turnWithin is turn for a service that turns away what would wait for longer than room.
func (q *queue) turnWithin(room, refusal time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.until.Before(now) {
		q.until = now
	}
	if q.until.Add(q.serviceTime).Sub(now) > room {
		q.until = q.until.Add(refusal)
		return 0, false
	}
	q.until = q.until.Add(q.serviceTime)
	return q.until.Sub(now), true
}

// notifications notes when a list of a size was first told.
type notifications struct {
	mu        sync.Mutex
	firstSeen map[int]time.Time
}

func (h *notifications) notify(ev node.Event) {
	if l, ok := ev.(node.EndpointsUpdated); ok && l.Kind == policy.CompleteUpdate {
		h.mu.Lock()
		defer h.mu.Unlock()
		for size := len(l.Endpoints); size > 0 && h.firstSeen[size].IsZero(); size-- {
			h.firstSeen[size] = time.Now()
		}
	}
}

// faultOrders are orders of events before discovery can be reached; each ends with a change that discovery has, and gives when
// both were so.
var faultOrders = []struct {
	name string
	do   func(d *fakeDiscovery, w *Watcher) (reached time.Time)
}{
	{"half-open", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		return time.Now()
	}},
	{"half-open, the next call is reset", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []string{"reset"} })
		return time.Now()
	}},
	{"half-open, the next call gets no answer", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []string{"silent"} })
		return time.Now()
	}},
	{"half-open, the next answer trickles", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []string{"trickle"} })
		return time.Now()
	}},
	{"half-open, the next answer is odd", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.faults = []string{"odd"} })
		return time.Now()
	}},
	{"cut off for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.lost = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.lost = false })
		return time.Now()
	}},
	{"silent for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.silent = true })
		time.Sleep(7 * time.Second)
		d.locked(func() { d.silent = false })
		return time.Now()
	}},
	{"down for 7 s", func(d *fakeDiscovery, _ *Watcher) time.Time {
		d.down()
		time.Sleep(7 * time.Second)
		d.up()
		return time.Now()
	}},
	{"half-open, moved to where nobody is", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		return time.Now()
	}},
	{"half-open, moved there and back", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		w.SwitchDiscovery("nowhere:1")
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		return time.Now().Add(-time.Second)
	}},
	{"half-open, moved to where it comes up 15 s later", func(d *fakeDiscovery, w *Watcher) time.Time {
		d.halfOpen()
		d.locked(func() { d.lost = true })
		w.SwitchDiscovery("127.0.0.1:8501")
		time.Sleep(15 * time.Second)
		d.locked(func() { d.lost, d.moved = false, true })
		return time.Now()
	}},
	{"moved there, back while it is cut off", func(d *fakeDiscovery, w *Watcher) time.Time {
		w.SwitchDiscovery("nowhere:1")
		d.halfOpen()
		d.locked(func() { d.lost = true })
		time.Sleep(time.Second)
		w.SwitchDiscovery(fakeAddr)
		time.Sleep(time.Second)
		d.locked(func() { d.lost = false })
		return time.Now()
	}},
}

// maxUpdateDelay is the longest from when discovery has a change and can be reached until the node is told, over moments at which
// an order of events begins, and the most connections that were open or dialled.
func maxUpdateDelay(p Timing, slow time.Duration, do func(*fakeDiscovery, *Watcher) time.Time) (span time.Duration, most int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 5 {
		all.Go(func() {
			d, h := newFakeDiscovery(slow), &notifications{firstSeen: map[int]time.Time{}}
			d.up()
			p := p
			p.Seed = uint64(i)
			w := New(Names{}, p, d.dial(), h.notify)
			go w.Run(ctx, fakeAddr)
			time.Sleep(5*time.Second + time.Duration(i)*537*time.Millisecond)
			var reached time.Time
			grown := make(chan struct{})
			go func() { // discovery has the change just as the trouble begins, or while it is away
				time.Sleep(time.Nanosecond)
				d.addExecutor()
				close(grown)
			}()
			reached = do(d, w)
			<-grown
			time.Sleep(20 * time.Second)
			d.close()
			h.mu.Lock()
			defer h.mu.Unlock()
			took := h.firstSeen[2].Sub(reached)
			if h.firstSeen[2].IsZero() {
				took = time.Hour
			}
			mu.Lock()
			defer mu.Unlock()
			span = max(span, took)
			d.locked(func() { most = max(most, d.maxOpen) })
		})
	}
	all.Wait()
	cancel()
	time.Sleep(time.Minute)
	return span, most
}

// Whatever went wrong before: a change is told 6 s less the drain grace after discovery had it and could be reached, also where
// discovery takes 1.5 s to answer. Of a grace over 2 s no more than 2 s is left.
func TestNewsInTime(t *testing.T) {
	var out strings.Builder
	for _, grace := range []time.Duration{50, 150, 400, 1000, 1500, 2000, 10000} {
		grace *= time.Millisecond
		for _, pushed := range []bool{true, false} {
			p := NewTiming(grace, pushed)
			by := defaults.UpdateDeadline - min(grace, defaults.MaxDrainGrace)
			fmt.Fprintf(&out, "grace %v pushed %v: hold %v, answer %v, backoffs up to %v, sum %v of %v\n", grace, pushed, p.LongPoll, p.HedgeDelay, p.MaxBackoff, p.MaxUpdateDelay(), by)
			if p.MaxUpdateDelay() > by {
				t.Errorf("grace %v, pushed %v: the sum is %v", grace, pushed, p.MaxUpdateDelay())
			}
			if grace != time.Second && grace != 150*time.Millisecond && grace != 2*time.Second {
				continue // the sum says it all
			}
			for _, order := range faultOrders {
				for _, slow := range []time.Duration{0, defaults.SlowResponse} {
					synctesting.Test(t, func(t *testing.T) {
						span, most := maxUpdateDelay(p, slow, order.do)
						if span > min(by, p.MaxUpdateDelay()+50*time.Millisecond) || most > config.MaxDiscoveryConns {
							t.Errorf("grace %v, pushed %v, answers in %v, %s: told after %v, %d connections", grace, pushed, slow, order.name, span, most)
						}
						t.Logf("grace %v, pushed %v, answers in %v, %s: told after %v, %d connections", grace, pushed, slow, order.name, span, most)
					})
				}
			}
		}
	}
	golden.Compare(t, "sums.txt", out.String())
}

// Discovery answers each call in 1.5 s, for good: once that was seen, no call is late any more.
func TestSlowForGood(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				d := newFakeDiscovery(defaults.SlowResponse)
				d.up()
				var mu sync.Mutex
				late, whole := 0, false
				w := New(Names{}, NewTiming(grace, pushed), d.dial(), func(ev node.Event) {
					mu.Lock()
					defer mu.Unlock()
					if l := ev.(node.EndpointsUpdated); l.Kind != policy.WatchFailed {
						whole = true
					} else if whole {
						late++
					}
				})
				ctx, cancel := context.WithCancel(context.Background())
				go w.Run(ctx, fakeAddr)
				time.Sleep(time.Minute)
				cancel()
				d.close()
				time.Sleep(time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if !whole || late > 0 {
					t.Errorf("grace %v, pushed %v: the list came: %v; then %d calls were late", grace, pushed, whole, late)
				}
				d.locked(func() { t.Logf("grace %v, pushed %v: %d calls in a minute", grace, pushed, d.requests) })
			})
		}
	}
}

// Discovery takes 1.5 s to say that it makes nothing of a version, so that call is late by then: the whole list is asked for at
// once, and told within 6 s all the same.
func TestVersionsAnew(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		synctesting.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var all []*fakeDiscovery
			span, _ := maxUpdateDelay(NewTiming(time.Second, pushed), defaults.SlowResponse, func(d *fakeDiscovery, _ *Watcher) time.Time {
				d.halfOpen()
				d.locked(func() { d.versionsRestarted = true })
				mu.Lock()
				defer mu.Unlock()
				all = append(all, d)
				return time.Now()
			})
			if t.Logf("pushed %v: told after %v", pushed, span); span > defaults.UpdateDeadline {
				t.Errorf("pushed %v: told after %v", pushed, span)
			}
			for _, d := range all {
				// A new connection, there and back, and nothing else in between.
				d.locked(func() {
					if gap := d.completeRequestAt.Sub(d.malformedAt); gap > 10*time.Millisecond {
						t.Errorf("pushed %v: the whole list is asked for %v after the odd answer", pushed, gap)
					}
				})
			}
		})
	}
}

// Nodes that start at one moment while discovery is down for 8 s, or is slow, or both: nine in ten have the list within 10 s.
// Where they ask, they share a service that takes three calls a second for each node, and goes on with those that were given up.
func TestReadyInTime(t *testing.T) {
	for _, down := range []string{"is up", "refuses", "is cut off", "is silent"} {
		for _, pushed := range []bool{true, false} {
			synctesting.Test(t, func(t *testing.T) {
				nodes, each := 50, time.Duration(0) // each has an agent of its own
				if !pushed {
					nodes = 300
					each = time.Second / time.Duration(3*nodes)
				}
				span, calls := readyAfter(nodes, down, NewTiming(time.Second, pushed), each, 12*time.Second)
				text := fmt.Sprintf("discovery %s, pushed %v: nine in ten of %d have the list after %v, %.1f calls each in 12 s", down, pushed, nodes, span, calls)
				if t.Log(text); span > 10*time.Second {
					t.Error(text)
				}
			})
		}
	}
}

// A service that all share takes one call a second for each node, too few for all that ask anew at once: it is not kept slow by
// the calls that were given up.
func TestReadyFromSlowService(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		const nodes = 100
		span, calls := readyAfter(nodes, "is silent", NewTiming(time.Second, false), time.Second/nodes, 40*time.Second)
		text := fmt.Sprintf("nine in ten have the list after %v, %.1f calls each in 40 s", span, calls)
		if t.Log(text); span > 30*time.Second {
			t.Error(text)
		}
	})
}

// 32 nodes that start at one moment ask a service which takes 8 s for a call from each, and turns away what would wait for over 2 s.
// Each has a watch soon after those 8 s, and hears of a change 6 s after discovery has it; no node is turned away for good.
// The figures are those of the bench's day on which the rule on drains broke (docs/incidents/one-quay.md).
func TestServiceThatTurnsAway(t *testing.T) {
	for _, grace := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		synctesting.Test(t, func(t *testing.T) {
			const nodes = 32
			shared := &queue{serviceTime: 8 * time.Second / nodes}
			ctx, cancel := context.WithCancel(context.Background())
			began := time.Now()
			var services []*fakeDiscovery
			var hearers []*notifications
			for i := range nodes {
				d, h := newFakeDiscovery(0), &notifications{firstSeen: map[int]time.Time{}}
				d.agent = &agent{queue: shared, maxQueueTime: 2 * time.Second, refusal: shared.serviceTime / 20}
				d.up()
				p := NewTiming(grace, false)
				p.Seed = uint64(i)
				go New(Names{}, p, d.dial(), h.notify).Run(ctx, fakeAddr)
				services, hearers = append(services, d), append(hearers, h)
			}
			time.Sleep(10 * time.Second)
			for _, d := range services {
				d.addExecutor()
			}
			time.Sleep(20 * time.Second)
			var last time.Duration
			away, heardIn := 0, 0
			for i, d := range services {
				d.agent.mu.Lock()
				away += d.agent.rejected
				d.agent.mu.Unlock()
				hearers[i].mu.Lock()
				if news := hearers[i].firstSeen[2]; !news.IsZero() {
					heardIn++
					last = max(last, news.Sub(began)-10*time.Second)
				}
				hearers[i].mu.Unlock()
			}
			text := fmt.Sprintf("grace %v: %d of %d nodes heard of the change, the last after %v; %d calls were turned away in 30 s",
				grace, heardIn, nodes, last, away)
			if t.Log(text); heardIn < nodes || last > 6*time.Second || away > 10*nodes {
				t.Error(text)
			}
			cancel()
			for _, d := range services {
				d.close()
			}
			time.Sleep(time.Minute)
		})
	}
}

// readyAfter is when nine in ten nodes have the list, and how many calls each made in 12 s. Each takes so long of a service that all
// share; 0 if none is.
func readyAfter(nodes int, down string, p Timing, each, length time.Duration) (span time.Duration, calls float64) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var spans []time.Duration
	shared := &queue{serviceTime: each}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range nodes {
		all.Go(func() {
			d, h := newFakeDiscovery(defaults.SlowResponse), &notifications{firstSeen: map[int]time.Time{}}
			d.queue = shared
			d.lost, d.silent = down == "is cut off", down == "is silent"
			if down != "refuses" {
				d.up()
			}
			p := p
			p.Seed = uint64(i)
			w := New(Names{}, p, d.dial(), h.notify)
			began := time.Now()
			go w.Run(ctx, fakeAddr)
			time.Sleep(8 * time.Second)
			d.locked(func() { d.lost, d.silent = false, false })
			if down == "refuses" {
				d.up()
			}
			time.Sleep(length - 8*time.Second)
			d.close()
			h.mu.Lock()
			defer h.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			took := h.firstSeen[1].Sub(began)
			if h.firstSeen[1].IsZero() {
				took = time.Hour
			}
			spans = append(spans, took)
			d.locked(func() { calls += float64(d.requests) / float64(nodes) })
		})
	}
	all.Wait()
	cancel()
	time.Sleep(time.Minute)
	slices.Sort(spans)
	return spans[nodes*9/10-1], calls
}
