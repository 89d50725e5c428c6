package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ConnLimits bounds the number of open connections from clients.
type ConnLimits struct {
	Max       int // limit while this is the node's only process
	MaxShared int // limit for each of two processes of the node during a hot restart
}

const (
	newConnDivisor  = 4 // new connections are evicted before idle ones while they exceed 1/4 of the limit
	overflowDivisor = 8 // up to 1/8 over the limit is accepted, so that older connections can be evicted
)

// connTable keeps the number of open connections within its limit. Clients that use their connections keep them during a
// flood of connections that send nothing, or one request each.
//
// A connection is in one of three lists. It is in none while a request on it is being answered, unless it is new:
//
//	new      no batch job has been read on it yet
//	idle     its last request is answered
//	closing  it will be closed as soon as that loses no request
//
// Over the limit, the oldest new connection is evicted; if there are few new ones, the longest idle connection is. If there
// is nothing to evict, batch jobs are marked as near the connection limit, and the state machine rejects them. The table is
// also the server's listener: it accepts no connection while acceptLimit are open, or while another process of the node
// accepts them.
//
// Lock order: a connection's lock may be taken while the table's lock is held, but not the other way round.
type connTable struct {
	net.Listener
	limits          ConnLimits
	sharedReadAhead atomic.Int64 // bytes of maxSharedReadAhead that are not reserved

	mu           sync.Mutex
	changed      *sync.Cond // signaled when open, acceptLimit, acceptPaused, closed or closingConns may have changed
	open         int        // number of open connections, those that are closing included
	entries      map[net.Conn]*connEntry
	newConns     *list.List // of *connEntry, oldest first
	idleConns    *list.List // of *connEntry, longest idle first
	closingConns *list.List // of *connEntry

	maxConns    int // the limit in effect: limits.Max or limits.MaxShared
	acceptLimit int // number of open connections at which accepting stops
	maxNew      int // over the limit, new connections are evicted before idle ones if there are more than this

	lameDuck         bool // the node is shutting down: connections are closed when they become idle
	shuttingDown     bool // closeIdleAndWait has been called: the server is closing
	draining         bool // a client drain is in progress
	drainLoopRunning bool // a goroutine calls closeDrained periodically
	acceptPaused     bool // another process of the node accepts connections
	closed           bool // the listener is closed
}

// connEntry is the table's record of a connection.
type connEntry struct {
	conn     *clientConn
	list     *list.List // the list that holds the connection, or nil
	element  *list.Element
	hadJob   bool // a batch job has been read on the connection
	openedAt time.Time
}

func newConnTable(limits ConnLimits) *connTable {
	t := &connTable{
		limits:       limits,
		entries:      map[net.Conn]*connEntry{},
		newConns:     list.New(),
		idleConns:    list.New(),
		closingConns: list.New(),
	}
	t.changed = sync.NewCond(&t.mu)
	t.sharedReadAhead.Store(maxSharedReadAhead)
	t.setShared(false)
	return t
}

// setShared sets whether another process of the node is running, which decides which limit applies.
func (t *connTable) setShared(shared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = t.limits.Max
	if shared {
		t.maxConns = t.limits.MaxShared
	}
	t.acceptLimit = t.maxConns + max(1, t.maxConns/overflowDivisor)
	t.maxNew = max(1, t.maxConns/newConnDivisor)
	t.changed.Broadcast()
	t.evict()
}

// onStateChange is the http.Server.ConnState hook, which net/http calls when a connection changes its state.
func (t *connTable) onStateChange(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[c]
	switch state {
	case http.StateNew:
		e = &connEntry{conn: c.(*clientConn), openedAt: time.Now()}
		t.entries[c] = e
		t.open++
		t.moveTo(e, t.newConns)
	case http.StateActive: // the header of a request has been read
		if e.hadJob {
			t.moveTo(e, nil)
		}
	case http.StateIdle:
		e.conn.markIdle()
		if t.lameDuck || e.list == t.closingConns {
			t.startClosing(e, closeIfIdle) // a request that has arrived by now is still served
		} else if e.hadJob {
			t.moveTo(e, t.idleConns)
		}
	case http.StateClosed, http.StateHijacked:
		e.conn.markClosed()
		t.moveTo(e, nil)
		delete(t.entries, c)
		t.open--
		t.changed.Broadcast()
	}
	t.evict()
}

// jobReceived records that a complete batch job has been read on a connection, which then stays open until the answer is
// written. overLimit reports that more connections are open than the limit allows and none of them can be evicted.
func (t *connTable) jobReceived(c net.Conn) (overLimit bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil {
		e.hadJob = true
		t.moveTo(e, nil) // if it was being closed, evict chooses another connection instead
		t.evict()
	}
	return t.excess() > 0
}

// mustCloseAfterAnswer reports whether an answer that is written now must close its connection.
func (t *connTable) mustCloseAfterAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lameDuck || t.draining || t.acceptPaused || t.excess() > 0
}

// enterLameDuck starts to close idle connections: those that are idle now, and each that becomes idle later. It returns the
// number of connections that are still being closed.
func (t *connTable) enterLameDuck() (closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck = true
	t.closeIdle()
	return t.closingConns.Len()
}

// closeIdleAndWait closes idle connections and waits until they are closed, or until a timeout.
func (t *connTable) closeIdleAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck, t.shuttingDown = true, true
	t.closeIdle()
	t.waitWhile(func() bool { return t.closingConns.Len() > 0 }, timeout)
}

// closeNewAndWait closes the new connections and waits until no connection is open, or until a timeout. It is called after
// enterLameDuck, which closes the idle ones.
func (t *connTable) closeNewAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.newConns.Len() > 0 {
		t.startClosing(firstEntry(t.newConns), closeIfIdle)
	}
	t.waitWhile(func() bool { return t.open > 0 }, timeout)
}

// setDraining starts or ends a client drain. startLoop reports that the caller must start a goroutine that calls
// closeDrained until that returns false. At most one such goroutine runs at a time.
func (t *connTable) setDraining(drain bool) (startLoop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = drain
	startLoop = drain && !t.drainLoopRunning
	t.drainLoopRunning = t.drainLoopRunning || drain
	return startLoop
}

// isDraining reports whether a client drain is in progress.
func (t *connTable) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// closeDrained closes the idle connections, and the new ones that have been open for newConnGrace. It reports whether the
// client drain is still in progress.
func (t *connTable) closeDrained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		t.drainLoopRunning = false
		return false
	}
	t.closeIdle()
	for element := t.newConns.Front(); element != nil; {
		e := element.Value.(*connEntry)
		element = element.Next() // read before startClosing removes e from the list
		if time.Since(e.openedAt) >= newConnGrace {
			t.startClosing(e, closeIfIdle)
		}
	}
	return true
}

// The methods below are called with the lock held.

// excess returns by how many connections the limit is exceeded, not counting those that are being closed.
func (t *connTable) excess() int { return t.open - t.closingConns.Len() - t.maxConns }

// evict starts to close new or idle connections until the limit is no longer exceeded, or none of them is left.
func (t *connTable) evict() {
	for n := t.excess(); n > 0; n-- {
		from, mode := t.idleConns, closeIfIdle
		if t.newConns.Len() > t.maxNew {
			from, mode = t.newConns, closeIfIncomplete
		}
		if from.Len() == 0 {
			break
		}
		t.startClosing(firstEntry(from), mode)
	}
}

// closeIdle starts to close all idle connections.
func (t *connTable) closeIdle() {
	for t.idleConns.Len() > 0 {
		t.startClosing(firstEntry(t.idleConns), closeIfIdle)
	}
}

// startClosing has a connection closed as soon as that loses no request. net/http's goroutine of the connection closes it.
func (t *connTable) startClosing(e *connEntry, mode closeMode) {
	t.moveTo(e, t.closingConns)
	e.conn.closeWhenSafe(mode)
}

// moveTo moves a connection to a list, or to none if the list is nil. Moving it to any list but closingConns cancels a close
// that has not taken effect.
func (t *connTable) moveTo(e *connEntry, to *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	if e.list = to; to != nil {
		e.element = to.PushBack(e)
	}
	if to != t.closingConns {
		e.conn.keepOpen()
	}
}

// waitWhile blocks until a condition is false, or until a timeout.
func (t *connTable) waitWhile(condition func() bool, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	defer time.AfterFunc(timeout, t.changed.Broadcast).Stop()
	for condition() && time.Now().Before(deadline) {
		t.changed.Wait()
	}
}

// firstEntry returns the first entry of a list, which must not be empty.
func firstEntry(l *list.List) *connEntry { return l.Front().Value.(*connEntry) }
