package frontend

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"birchstair/internal/node"
)

const (
	closeSpell = 300 * time.Millisecond // answers on their way out have so long, and again what comes when nobody takes any more
	againSpell = 20 * time.Millisecond
	overSpell  = 400 * time.Millisecond // clients' connections that rest are left to them for so long in an upgrade

	// While clients are sent away: the front stops new connections within 0.3 s, and clients' own next batch jobs end
	// theirs; after 4 s none may rest or hold a batch job of the last 2 s.
	awaySpell = 1600 * time.Millisecond // what rests by then is let go
	newcomer  = 200 * time.Millisecond  // and what comes later without a message
)

// Serve takes connections until the front is closed.
func (f *Front) Serve(l net.Listener) error {
	if err := f.server.Serve(f.gate.keep(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ending tells clients with every answer to go elsewhere from now on, and lets those go that rest. What still
// comes is taken. Where another process has taken over, clients first have time to end theirs with their next batch job.
func (f *Front) Ending() {
	over := f.gate.handedOver()
	if !over && f.gate.end() == 0 {
		return
	}
	go func() {
		if over {
			time.Sleep(overSpell)
		}
		for f.gate.end() > 0 { // one that has just begun to rest may have missed it
			time.Sleep(againSpell)
		}
	}()
}

// DrainClients is not ready and ends clients' connections, until it is over: each with its next answer, and those that rest
// once clients have had time to go elsewhere. Guards against closing under a batch job that is just being sent.
func (f *Front) DrainClients(on bool) {
	if !f.gate.sendAway(on) {
		return
	}
	go func() {
		time.Sleep(awaySpell)
		for f.gate.letAwayGo() {
			time.Sleep(againSpell)
		}
	}()
}

// Close waits for the answers on their way out, then tells that nothing is left. Connections that are let go are waited for first:
// Shutdown closes those that rest outright. Guards against a message that has arrived on one whose owner is late to look.
func (f *Front) Close() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), f.closeIn)
		defer cancel()
		f.gate.endKnown(f.closeIn)
		f.server.Shutdown(ctx) //nolint:errcheck // End closes what is left by the deadline
		f.tell(node.FrontendClosed{})
	}()
}

// End is called when nobody takes batch jobs any more: what still comes is pushed back, since nothing of it was sent, and
// the process must not end under it. Guards against clients that send their first message just then.
func (f *Front) End() {
	f.gate.end() // first: from here on each answer says that its connection closes
	close(f.over)
	f.gate.endAll(closeSpell)
	f.server.Close()
}

// gate keeps the connections from clients within their budget. Strangers, on which no batch job has come whole yet, may
// hold a quarter of it while others want it. Over the budget the stranger goes that came first, or, where they are few,
// the connection that has rested longest; only where none rests batch jobs are pushed back. From an eighth beyond it on,
// connections wait to be taken. Guards against floods of connections that say nothing, or ask once and stay: they must
// not cost usual clients their places.
type gate struct {
	net.Listener
	all               Budget
	budget, most, few int
	spare             atomic.Int64 // bytes that may be read ahead beyond what each connection may

	mu        sync.Mutex
	room      *sync.Cond
	open      int
	places    map[net.Conn]*place
	strangers *list.List // of *place, those that came first at the front
	resting   *list.List // of those that are known and rest, those that have rested longest at the front
	leaving   *list.List // of those that are let go and not closed yet

	ending  bool // the node ends: no connection rests any more
	closing bool // and nothing is in hand any more: the front closes
	away    bool // clients are sent away
	idle    bool // another process takes new connections
	awayer  bool // somebody lets them go, one after another
	shut    bool
}

// place is a connection's place at the gate.
type place struct {
	conn  *watched
	in    *list.List // which of them it is in, or nil while it is owed an answer
	at    *list.Element
	known bool // a batch job has come on it
	since time.Time
}

func newGate(all Budget) *gate {
	g := &gate{all: all, places: map[net.Conn]*place{},
		strangers: list.New(), resting: list.New(), leaving: list.New()}
	g.room = sync.NewCond(&g.mu)
	g.spare.Store(spareRun)
	g.halve(false)
	return g
}

// keep takes a listener over. Whether this process takes new connections may be known already, or change just now.
func (g *gate) keep(l net.Listener) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Listener = l
	g.wakeAccept()
	return g
}

// AcceptConnections says whether this process takes new connections; another process of the node takes them where it does not.
func (f *Front) AcceptConnections(yes bool) { f.gate.take(yes) }

// Budget is how many connections from clients there may be: Half of them while another process of the node lives.
type Budget struct{ Whole, Half int }

// HalveLimits lets this process hold half of its connections, or all again.
func (f *Front) HalveLimits(half bool) { f.gate.halve(half) }

// Accept waits for room, and for this process's turn, first.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for (g.open >= g.most || g.idle) && !g.shut {
			g.room.Wait()
		}
		g.mu.Unlock()
		c, err := g.Listener.Accept()
		if err == nil {
			return &watched{Conn: c, spare: &g.spare}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // else it is to look again
			return nil, err
		}
	}
}

// take begins or ends taking connections. A socket that both processes listen on keeps those that wait for the other.
func (g *gate) take(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = !yes
	g.wakeAccept()
	g.room.Broadcast()
}

// deadliner is a listener whose accept can be given up, as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// wakeAccept has the listener wait as long as it is to.
func (g *gate) wakeAccept() {
	if l, ok := g.Listener.(deadliner); ok {
		at := time.Time{}
		if g.idle {
			at = time.Unix(1, 0)
		}
		l.SetDeadline(at)
	}
}

func (g *gate) halve(half bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = g.all.Whole
	if half {
		g.budget = g.all.Half
	}
	g.most, g.few = g.budget+max(1, g.budget/8), max(1, g.budget/4)
	g.room.Broadcast()
	g.letGo(g.open - g.leaving.Len() - g.budget)
}

func (g *gate) Close() error {
	g.mu.Lock()
	g.shut = true
	g.room.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

// turned follows a connection from its start to its end.
func (g *gate) turned(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.places[c]
	switch state {
	case http.StateNew:
		p = &place{conn: c.(*watched), since: time.Now()}
		g.places[c] = p
		g.open++
		g.put(p, g.strangers)
	case http.StateActive: // a message's head has come
		if p.known {
			g.put(p, nil)
		}
	case http.StateIdle:
		p.conn.rested()
		if g.ending || p.in == g.leaving {
			g.leave(p, resting) // what its client may have sent by now is still taken
		} else if p.known {
			g.put(p, g.resting)
		}
	case http.StateClosed, http.StateHijacked:
		p.conn.closed()
		g.put(p, nil)
		delete(g.places, c)
		g.open--
		g.room.Broadcast()
	}
	g.letGo(g.open - g.leaving.Len() - g.budget)
}

func (g *gate) put(p *place, in *list.List) {
	if p.in != nil {
		p.in.Remove(p.at)
	}
	if p.in = in; in != nil {
		p.at = in.PushBack(p)
	}
	if in != g.leaving {
		p.conn.stay()
	}
}

// leave lets a connection go.
func (g *gate) leave(p *place, how going) {
	g.put(p, g.leaving)
	p.conn.letGo(how)
}

// came says that a batch job has come whole on a connection: it keeps its place until it has its answer. It gives
// whether there are too many of those.
func (g *gate) came(c net.Conn) (crowded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.places[c]; p != nil {
		p.known = true
		g.put(p, nil) // it may have been let go just before: another goes in its place
		g.letGo(g.open - g.leaving.Len() - g.budget)
	}
	return g.over()
}

func (g *gate) over() bool { return g.open-g.leaving.Len() > g.budget }

// elsewhere says whether clients are to go elsewhere with their next batch job.
func (g *gate) elsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ending || g.away || g.idle || g.over()
}

// handedOver says whether another process takes new connections.
func (g *gate) handedOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// letGo lets connections go that are silent, by their owner: a read that is over wakes it up, and it closes them.
func (g *gate) letGo(n int) {
	for ; n > 0; n-- {
		from, how := g.resting, resting
		if g.strangers.Len() > g.few {
			from, how = g.strangers, silent
		}
		if from.Len() == 0 {
			break
		}
		g.leave(from.Front().Value.(*place), how)
	}
}

// sentAway says whether clients are sent away.
func (g *gate) sentAway() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// letRestingGo moves all that are known and rest to those that leave.
func (g *gate) letRestingGo() {
	for g.resting.Len() > 0 {
		g.leave(g.resting.Front().Value.(*place), resting)
	}
}

// endAll lets strangers go as well, after end, and waits until they have or the spell is over.
func (g *gate) endAll(spell time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.strangers.Len() > 0 {
		g.leave(g.strangers.Front().Value.(*place), resting)
	}
	by := time.Now().Add(spell)
	defer time.AfterFunc(spell, g.room.Broadcast).Stop()
	for g.open > 0 && time.Now().Before(by) {
		g.room.Wait()
	}
}

// endKnown lets all go that are known and rest, and waits until they have or the time is over.
func (g *gate) endKnown(within time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending, g.closing = true, true
	g.letRestingGo()
	by := time.Now().Add(within)
	defer time.AfterFunc(within, g.room.Broadcast).Stop()
	for g.leaving.Len() > 0 && time.Now().Before(by) {
		g.room.Wait()
	}
}

// end lets all go that are known and rest, and says how many there are still.
func (g *gate) end() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending = true
	g.letRestingGo()
	return g.leaving.Len()
}

// sendAway begins to send clients away, or ends that. It says whether somebody is to let them go from now on.
func (g *gate) sendAway(on bool) (begin bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = on
	begin = on && !g.awayer
	g.awayer = g.awayer || on
	return begin
}

// letAwayGo lets all go that rest, or have come and said nothing; it says whether that goes on.
func (g *gate) letAwayGo() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.away {
		g.awayer = false
		return false
	}
	g.letRestingGo()
	for e := g.strangers.Front(); e != nil; {
		p := e.Value.(*place)
		if e = e.Next(); time.Since(p.since) >= newcomer {
			g.leave(p, resting)
		}
	}
	return true
}
