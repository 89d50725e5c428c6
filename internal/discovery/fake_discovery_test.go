package discovery

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"time"

	"birchstair/internal/emulator/platform"
	"birchstair/internal/memnet"
	"birchstair/internal/node"
	"birchstair/policy"
)

// fakeDiscovery is a discovery service in memory. Executors are only ever added to its list, and the version is the
// number of executors, so the size of a list that a node was notified of shows its version.
type fakeDiscovery struct {
	net          *memnet.Net
	responseTime time.Duration // delay of each response
	queue        *queue        // queue of a service shared with other fakes; nil if there is none
	agent        *agent        // agent of a shared service that rejects requests; nil if there is none

	mu                sync.Mutex
	size              int           // number of executors in the list
	changed           chan struct{} // closed when the list grows
	listener          *memnet.Listener
	moved             bool      // whether it is reachable at every address except fakeAddr, instead of only there
	partitioned       bool      // whether all packets to it are lost
	unresponsive      bool      // whether new requests are never answered
	versionsRestarted bool      // whether versions have restarted, so that a request for changes gets an error response
	faults            []fault   // faults of the next requests, one for each
	requests          int       // number of requests received
	malformedAt       time.Time // time of the first error response
	completeRequestAt time.Time // time of the first request for the complete list after malformedAt
	open              int       // number of connections that the node has open or is dialing
	maxOpen           int       // maximum of open
	closed            chan struct{}
}

const fakeAddr = "127.0.0.1:8500"

func newFakeDiscovery(responseTime time.Duration) *fakeDiscovery {
	d := &fakeDiscovery{responseTime: responseTime, size: 1, changed: make(chan struct{}), closed: make(chan struct{})}
	d.net = memnet.New(1, func(_, to string) memnet.Path {
		d.mu.Lock()
		defer d.mu.Unlock()
		return memnet.Path{Delay: time.Millisecond, Lost: d.partitioned || to == "nowhere"}
	})
	return d
}

// locked calls do while it holds the lock.
func (d *fakeDiscovery) locked(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

// up starts the service.
func (d *fakeDiscovery) up() {
	l, err := d.net.Listen("d", fakeAddr)
	if err != nil {
		panic(err)
	}
	d.locked(func() { d.listener = l })
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
	d.net.Shutdown()
}

// sleep waits for t, or until the fake is closed.
func (d *fakeDiscovery) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.closed:
	}
}

// down stops the service, so that connections are refused.
func (d *fakeDiscovery) down() { d.net.Kill("d", false) }

// dial returns a dialer that connects to the fake and counts open connections.
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

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	d    *fakeDiscovery
	once sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.d.locked(func() { c.d.open-- }) })
	return c.Conn.Close()
}

// halfOpen drops all further packets of the open connections, without either end noticing.
func (d *fakeDiscovery) halfOpen() {
	for _, c := range append(d.net.Conns("d"), d.net.Conns("n")...) {
		c.DropOutgoing()
	}
}

// addExecutor adds an executor to the list.
func (d *fakeDiscovery) addExecutor() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size++
	close(d.changed)
	d.changed = make(chan struct{})
}

// fault is what discovery does with a request instead of answering it properly.
type fault string

const (
	noFault       fault = ""
	unanswered    fault = "unanswered"
	resetByPeer   fault = "reset"
	malformed     fault = "malformed" // an error response, after the response time
	endlessAnswer fault = "endless"   // a response that never ends
)

// received is a request, and the state of the list when it arrived.
type received struct {
	platform.Watch
	fault   fault
	size    int
	changed <-chan struct{}
}

// serve answers the requests on a connection until a fault or the client ends it.
func (d *fakeDiscovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		watch, err := platform.ReadWatch(in)
		if err != nil {
			return
		}
		r := d.receive(watch)
		switch {
		case d.agent != nil && !d.agent.admit(d.sleep):
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		case r.fault == malformed:
			d.answerMalformed(c)
		case r.fault != noFault:
			d.fail(r.fault, c, in)
			return
		default:
			if err := d.answer(c, r); err != nil {
				return
			}
		}
	}
}

// receive records a request and determines its fault.
func (d *fakeDiscovery) receive(watch platform.Watch) received {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	if watch.Complete && !d.malformedAt.IsZero() && d.completeRequestAt.IsZero() {
		d.completeRequestAt = time.Now()
	}
	r := received{Watch: watch, size: d.size, changed: d.changed}
	if len(d.faults) > 0 {
		r.fault, d.faults = d.faults[0], d.faults[1:]
	}
	if d.unresponsive {
		r.fault = unanswered
	}
	if d.versionsRestarted && !watch.Complete {
		r.fault = malformed
	}
	return r
}

// answer sends the complete list. If the client has the current version, it waits for a change or the end of the long
// poll.
func (d *fakeDiscovery) answer(c net.Conn, r received) error {
	size := r.size
	if !r.Complete && r.From == size {
		select {
		case <-r.changed:
			d.locked(func() { size = d.size })
		case <-time.After(r.Hold):
		}
	}
	if d.queue != nil {
		d.sleep(d.queue.enqueue())
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
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// answerMalformed sends an error response.
func (d *fakeDiscovery) answerMalformed(c net.Conn) {
	d.sleep(d.responseTime)
	d.locked(func() {
		if d.malformedAt.IsZero() {
			d.malformedAt = time.Now()
		}
	})
	fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
}

// fail applies a fault that ends the connection.
func (d *fakeDiscovery) fail(f fault, c net.Conn, in *bufio.Reader) {
	switch f {
	case unanswered:
		if _, err := in.ReadByte(); err == nil { // blocks until the node cancels the request
			panic("the client sent data after a request that was not answered")
		}
	case resetByPeer:
		c.(*memnet.Conn).Reset()
	case endlessAnswer:
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
		for {
			d.sleep(100 * time.Millisecond)
			if _, err := c.Write([]byte(" ")); err != nil {
				return
			}
		}
	}
}

// queue is the first-come, first-served queue of a service. Canceled requests still take their time.
type queue struct {
	mu          sync.Mutex
	serviceTime time.Duration
	busyUntil   time.Time
}

// enqueue adds a request to the queue, and returns the time until it is served.
func (q *queue) enqueue() time.Duration {
	wait, _ := q.tryEnqueue(math.MaxInt64, 0)
	return wait
}

// agent passes a node's requests to a shared service. The service rejects requests that would be queued for longer than
// maxQueueTime; a rejection takes some of the service's time too. The first request is answered from a cache, and a
// request that continues an open watch takes no time. The test bench behaves in this way where lists are polled.
type agent struct {
	queue        *queue
	maxQueueTime time.Duration
	rejectTime   time.Duration // service time of a rejection

	mu       sync.Mutex
	requests int
	last     time.Time // time of the last response that was not a rejection; zero if no watch is open
	rejected int       // number of rejected requests
}

// admit waits until the service serves a request, and returns false if the service rejects it.
func (a *agent) admit(sleep func(time.Duration)) bool {
	a.mu.Lock()
	a.requests++
	free := a.requests == 1 || !a.last.IsZero() && time.Since(a.last) < 200*time.Millisecond
	a.last = time.Time{}
	a.mu.Unlock()
	if free {
		return true
	}
	wait, ok := a.queue.tryEnqueue(a.maxQueueTime, a.rejectTime)
	if !ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.rejected++
		return false
	}
	sleep(wait)
	return true
}

// answered records a response that keeps the watch open: any except the first, which comes from a cache.
func (a *agent) answered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests > 1 {
		a.last = time.Now()
	}
}

// tryEnqueue is like enqueue, but returns false if the request would not be served within maxWait. Such a rejection
// takes rejectTime of the service.
func (q *queue) tryEnqueue(maxWait, rejectTime time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	if q.busyUntil.Add(q.serviceTime).Sub(now) > maxWait {
		q.busyUntil = q.busyUntil.Add(rejectTime)
		return 0, false
	}
	q.busyUntil = q.busyUntil.Add(q.serviceTime)
	return q.busyUntil.Sub(now), true
}

// notifications records when the node was first notified of a list of each size, or of a larger one.
type notifications struct {
	mu        sync.Mutex
	firstSeen map[int]time.Time
}

// notify records an event. It implements the notify function of a Watcher.
func (n *notifications) notify(ev node.Event) {
	if l, ok := ev.(node.EndpointsUpdated); ok && l.Kind == policy.CompleteUpdate {
		n.mu.Lock()
		defer n.mu.Unlock()
		for size := len(l.Endpoints); size > 0 && n.firstSeen[size].IsZero(); size-- {
			n.firstSeen[size] = time.Now()
		}
	}
}
