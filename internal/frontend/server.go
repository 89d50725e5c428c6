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
	defaultCloseTimeout = 300 * time.Millisecond // answers on their way out have so long, and again what comes when nobody takes any more
	closeIdleInterval   = 20 * time.Millisecond
	handoffGrace        = 400 * time.Millisecond // clients' connections that rest are left to them for so long in an upgrade

	// While clients are sent away: the front stops new connections within 0.3 s, and clients' own next batch jobs end
	// theirs; after 4 s none may rest or hold a batch job of the last 2 s.
	drainGrace   = 1600 * time.Millisecond // what rests by then is let go
	newConnGrace = 200 * time.Millisecond  // and what comes later without a message
)

// Serve takes connections until the front is closed.
func (f *Server) Serve(l net.Listener) error {
	if err := f.http.Serve(f.conns.wrapListener(l)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// BeginLameDuck tells clients with every answer to go elsewhere from now on, and lets those go that rest. What still
// comes is taken. Where another process has taken over, clients first have time to end theirs with their next batch job.
func (f *Server) BeginLameDuck() {
	over := f.conns.isAcceptPaused()
	if !over && f.conns.enterLameDuck() == 0 {
		return
	}
	go func() {
		if over {
			time.Sleep(handoffGrace)
		}
		for f.conns.enterLameDuck() > 0 { // one that has just begun to rest may have missed it
			time.Sleep(closeIdleInterval)
		}
	}()
}

// DrainClients is not ready and ends clients' connections, until it is over: each with its next answer, and those that rest
// once clients have had time to go elsewhere. Guards against closing under a batch job that is just being sent.
func (f *Server) DrainClients(on bool) {
	if !f.conns.setDraining(on) {
		return
	}
	go func() {
		time.Sleep(drainGrace)
		for f.conns.closeDrained() {
			time.Sleep(closeIdleInterval)
		}
	}()
}

// Close waits for the answers on their way out, then tells that nothing is left. Connections that are let go are waited for first:
// Shutdown closes those that rest outright. Guards against a message that has arrived on one whose owner is late to look.
func (f *Server) Close() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), f.closeTimeout)
		defer cancel()
		f.conns.closeIdleAndWait(f.closeTimeout)
		f.http.Shutdown(ctx) //nolint:errcheck // End closes what is left by the deadline
		f.post(node.FrontendClosed{})
	}()
}

// Stop is called when nobody takes batch jobs any more: what still comes is pushed back, since nothing of it was sent, and
// the process must not end under it. Guards against clients that send their first message just then.
func (f *Server) Stop() {
	f.conns.enterLameDuck() // first: from here on each answer says that its connection closes
	close(f.stopped)
	f.conns.closeNewAndWait(defaultCloseTimeout)
	f.http.Close()
}

// connTable keeps the connections from clients within their budget. Strangers, on which no batch job has come whole yet, may
// hold a quarter of it while others want it. Over the budget the stranger goes that came first, or, where they are few,
// the connection that has rested longest; only where none rests batch jobs are pushed back. From an eighth beyond it on,
// connections wait to be taken. Guards against floods of connections that say nothing, or ask once and stay: they must
// not cost usual clients their places.
type connTable struct {
	net.Listener
	limits                        ConnLimits
	maxConns, acceptLimit, maxNew int
	spareReadAhead                atomic.Int64 // bytes that may be read ahead beyond what each connection may

	mu           sync.Mutex
	changed      *sync.Cond
	open         int
	entries      map[net.Conn]*connEntry
	newConns     *list.List // of *place, those that came first at the front
	idleConns    *list.List // of those that are known and rest, those that have rested longest at the front
	closingConns *list.List // of those that are let go and not closed yet

	lameDuck         bool // the node ends: no connection rests any more
	shuttingDown     bool // and nothing is in hand any more: the front closes
	draining         bool // clients are sent away
	acceptPaused     bool // another process takes new connections
	drainLoopRunning bool // somebody lets them go, one after another
	closed           bool
}

// connEntry is a connection's place at the gate.
type connEntry struct {
	conn       *clientConn
	list       *list.List // which of them it is in, or nil while it is owed an answer
	element    *list.Element
	hadRequest bool // a batch job has come on it
	openedAt   time.Time
}

func newConnTable(all ConnLimits) *connTable {
	g := &connTable{limits: all, entries: map[net.Conn]*connEntry{},
		newConns: list.New(), idleConns: list.New(), closingConns: list.New()}
	g.changed = sync.NewCond(&g.mu)
	g.spareReadAhead.Store(totalSpareReadAhead)
	g.setShared(false)
	return g
}

// wrapListener takes a listener over. Whether this process takes new connections may be known already, or change just now.
func (g *connTable) wrapListener(l net.Listener) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Listener = l
	g.updateAcceptDeadline()
	return g
}

// AcceptConnections says whether this process takes new connections; another process of the node takes them where it does not.
func (f *Server) AcceptConnections(yes bool) { f.conns.setAccepting(yes) }

// ConnLimits is how many connections from clients there may be: Half of them while another process of the node lives.
type ConnLimits struct{ Max, MaxShared int }

// HalveLimits lets this process hold half of its connections, or all again.
func (f *Server) HalveLimits(half bool) { f.conns.setShared(half) }

// Accept waits for room, and for this process's turn, first.
func (g *connTable) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for (g.open >= g.acceptLimit || g.acceptPaused) && !g.closed {
			g.changed.Wait()
		}
		g.mu.Unlock()
		c, err := g.Listener.Accept()
		if err == nil {
			return &clientConn{Conn: c, spareReadAhead: &g.spareReadAhead}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // else it is to look again
			return nil, err
		}
	}
}

// setAccepting begins or ends taking connections. A socket that both processes listen on keeps those that wait for the other.
func (g *connTable) setAccepting(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acceptPaused = !yes
	g.updateAcceptDeadline()
	g.changed.Broadcast()
}

// deadliner is a listener whose accept can be given up, as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// updateAcceptDeadline has the listener wait as long as it is to.
func (g *connTable) updateAcceptDeadline() {
	if l, ok := g.Listener.(deadliner); ok {
		at := time.Time{}
		if g.acceptPaused {
			at = time.Unix(1, 0)
		}
		l.SetDeadline(at)
	}
}

func (g *connTable) setShared(half bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConns = g.limits.Max
	if half {
		g.maxConns = g.limits.MaxShared
	}
	g.acceptLimit, g.maxNew = g.maxConns+max(1, g.maxConns/8), max(1, g.maxConns/4)
	g.changed.Broadcast()
	g.evict(g.open - g.closingConns.Len() - g.maxConns)
}

func (g *connTable) Close() error {
	g.mu.Lock()
	g.closed = true
	g.changed.Broadcast()
	g.mu.Unlock()
	return g.Listener.Close()
}

// onStateChange follows a connection from its start to its end.
func (g *connTable) onStateChange(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.entries[c]
	switch state {
	case http.StateNew:
		p = &connEntry{conn: c.(*clientConn), openedAt: time.Now()}
		g.entries[c] = p
		g.open++
		g.moveTo(p, g.newConns)
	case http.StateActive: // a message's head has come
		if p.hadRequest {
			g.moveTo(p, nil)
		}
	case http.StateIdle:
		p.conn.becameIdle()
		if g.lameDuck || p.list == g.closingConns {
			g.startClosing(p, closeIfIdle) // what its client may have sent by now is still taken
		} else if p.hadRequest {
			g.moveTo(p, g.idleConns)
		}
	case http.StateClosed, http.StateHijacked:
		p.conn.markClosed()
		g.moveTo(p, nil)
		delete(g.entries, c)
		g.open--
		g.changed.Broadcast()
	}
	g.evict(g.open - g.closingConns.Len() - g.maxConns)
}

func (g *connTable) moveTo(p *connEntry, in *list.List) {
	if p.list != nil {
		p.list.Remove(p.element)
	}
	if p.list = in; in != nil {
		p.element = in.PushBack(p)
	}
	if in != g.closingConns {
		p.conn.keepOpen()
	}
}

// startClosing lets a connection go.
func (g *connTable) startClosing(p *connEntry, how closeMode) {
	g.moveTo(p, g.closingConns)
	p.conn.closeWhenSafe(how)
}

// requestReceived says that a batch job has come whole on a connection: it keeps its place until it has its answer. It gives
// whether there are too many of those.
func (g *connTable) requestReceived(c net.Conn) (crowded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.entries[c]; p != nil {
		p.hadRequest = true
		g.moveTo(p, nil) // it may have been let go just before: another goes in its place
		g.evict(g.open - g.closingConns.Len() - g.maxConns)
	}
	return g.overLimit()
}

func (g *connTable) overLimit() bool { return g.open-g.closingConns.Len() > g.maxConns }

// closesAfterAnswer says whether clients are to go elsewhere with their next batch job.
func (g *connTable) closesAfterAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lameDuck || g.draining || g.acceptPaused || g.overLimit()
}

// isAcceptPaused says whether another process takes new connections.
func (g *connTable) isAcceptPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acceptPaused
}

// evict lets connections go that are silent, by their owner: a read that is over wakes it up, and it closes them.
func (g *connTable) evict(n int) {
	for ; n > 0; n-- {
		from, how := g.idleConns, closeIfIdle
		if g.newConns.Len() > g.maxNew {
			from, how = g.newConns, closeIfIncomplete
		}
		if from.Len() == 0 {
			break
		}
		g.startClosing(from.Front().Value.(*connEntry), how)
	}
}

// isDraining says whether clients are sent away.
func (g *connTable) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// closeIdleLocked moves all that are known and rest to those that leave.
func (g *connTable) closeIdleLocked() {
	for g.idleConns.Len() > 0 {
		g.startClosing(g.idleConns.Front().Value.(*connEntry), closeIfIdle)
	}
}

// closeNewAndWait lets strangers go as well, after end, and waits until they have or the spell is over.
func (g *connTable) closeNewAndWait(spell time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.newConns.Len() > 0 {
		g.startClosing(g.newConns.Front().Value.(*connEntry), closeIfIdle)
	}
	by := time.Now().Add(spell)
	defer time.AfterFunc(spell, g.changed.Broadcast).Stop()
	for g.open > 0 && time.Now().Before(by) {
		g.changed.Wait()
	}
}

// closeIdleAndWait lets all go that are known and rest, and waits until they have or the time is over.
func (g *connTable) closeIdleAndWait(within time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lameDuck, g.shuttingDown = true, true
	g.closeIdleLocked()
	by := time.Now().Add(within)
	defer time.AfterFunc(within, g.changed.Broadcast).Stop()
	for g.closingConns.Len() > 0 && time.Now().Before(by) {
		g.changed.Wait()
	}
}

// enterLameDuck lets all go that are known and rest, and says how many there are still.
func (g *connTable) enterLameDuck() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lameDuck = true
	g.closeIdleLocked()
	return g.closingConns.Len()
}

// setDraining begins to send clients away, or ends that. It says whether somebody is to let them go from now on.
func (g *connTable) setDraining(on bool) (begin bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
	begin = on && !g.drainLoopRunning
	g.drainLoopRunning = g.drainLoopRunning || on
	return begin
}

// closeDrained lets all go that rest, or have come and said nothing; it says whether that goes on.
func (g *connTable) closeDrained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.drainLoopRunning = false
		return false
	}
	g.closeIdleLocked()
	for e := g.newConns.Front(); e != nil; {
		p := e.Value.(*connEntry)
		if e = e.Next(); time.Since(p.openedAt) >= newConnGrace {
			g.startClosing(p, closeIfIdle)
		}
	}
	return true
}
