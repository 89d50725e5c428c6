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
	Max       int // while this is the only process of the node
	MaxShared int // while another process of the node lives, for each of the two
}

const (
	newConnShare  = 4 // while others need the room, new connections may be a 1/4 of all
	overflowShare = 8 // up to 1/8 beyond the limit are accepted, so that others can be evicted for them
)

// connTable keeps the open connections within their limits, so that a flood of connections that send nothing, or one
// request each, does not cost other clients theirs.
//
// A connection is in one of the lists or, while a request of it is being answered, in none:
//
//	new      no batch job has been read on it yet
//	idle     its last request is answered
//	closing  it is being closed, as soon as that loses no request
//
// Over the limit the oldest new connection is evicted or, where there are few of those, the one that has been idle the
// longest. Only where there is neither, batch jobs are marked as near the limit, which the reducer rejects. The table is
// also the server's listener: it accepts no more than acceptLimit connections at a time, and none while another process
// of the node accepts them.
//
// Lock order: the table's lock before a connection's.
type connTable struct {
	net.Listener
	limits          ConnLimits
	sharedReadAhead atomic.Int64 // bytes that connections may read ahead beyond what each has of its own

	mu           sync.Mutex
	changed      *sync.Cond // open, acceptLimit, acceptPaused, closed or closingConns has changed
	open         int
	entries      map[net.Conn]*connEntry
	newConns     *list.List // of *connEntry, the oldest first
	idleConns    *list.List // of *connEntry, the one that has been idle the longest first
	closingConns *list.List // of *connEntry

	maxConns    int // of limits, by how many processes there are
	acceptLimit int // open connections from which on none is accepted
	maxNew      int // new connections that are kept while others need the room

	lameDuck         bool // the node shuts down: a connection that becomes idle is closed
	shuttingDown     bool // and the server is closing
	draining         bool // clients are being drained
	drainLoopRunning bool // a goroutine calls closeDrained
	acceptPaused     bool // another process of the node accepts connections
	closed           bool // the listener is closed
}

// connEntry is the table's record of a connection.
type connEntry struct {
	conn       *clientConn
	list       *list.List // the list that it is in, or nil
	element    *list.Element
	hadRequest bool // a batch job has been read on it
	openedAt   time.Time
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

// setShared sets whether another process of the node lives, which halves the limits.
func (t *connTable) setShared(shared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = t.limits.Max
	if shared {
		t.maxConns = t.limits.MaxShared
	}
	t.acceptLimit = t.maxConns + max(1, t.maxConns/overflowShare)
	t.maxNew = max(1, t.maxConns/newConnShare)
	t.changed.Broadcast()
	t.evict()
}

// onStateChange is net/http's ConnState hook: it follows a connection from its start to its end.
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
	case http.StateActive: // the head of a request has come
		if e.hadRequest {
			t.moveTo(e, nil)
		}
	case http.StateIdle:
		e.conn.becameIdle()
		if t.lameDuck || e.list == t.closingConns {
			t.startClosing(e, closeIfIdle) // a request that has been sent by now is still served
		} else if e.hadRequest {
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

// requestReceived notes that a whole batch job has been read on a connection, which stays open until the answer. It
// returns whether more connections are open than the limit allows and none of them could be evicted.
func (t *connTable) requestReceived(c net.Conn) (overLimit bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil {
		e.hadRequest = true
		t.moveTo(e, nil) // where it was just being closed, another is evicted in its place
		t.evict()
	}
	return t.excess() > 0
}

// closesAfterAnswer returns whether connections are to be closed with the next answer.
func (t *connTable) closesAfterAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lameDuck || t.draining || t.acceptPaused || t.excess() > 0
}

// enterLameDuck starts to close idle connections, now and whenever one becomes idle. It returns how many are closing.
func (t *connTable) enterLameDuck() (closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck = true
	t.closeIdle()
	return t.closingConns.Len()
}

// closeIdleAndWait closes idle connections and waits until they are closed, or for a timeout.
func (t *connTable) closeIdleAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck, t.shuttingDown = true, true
	t.closeIdle()
	t.waitWhile(func() bool { return t.closingConns.Len() > 0 }, timeout)
}

// closeNewAndWait closes new connections as well, after enterLameDuck, and waits until all are closed, or for a timeout.
func (t *connTable) closeNewAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.newConns.Len() > 0 {
		t.startClosing(front(t.newConns), closeIfIdle)
	}
	t.waitWhile(func() bool { return t.open > 0 }, timeout)
}

// setDraining starts or ends a drain of clients. It returns whether the caller has to start a goroutine that calls
// closeDrained until that returns false; there is one of it at most.
func (t *connTable) setDraining(drain bool) (startLoop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = drain
	startLoop = drain && !t.drainLoopRunning
	t.drainLoopRunning = t.drainLoopRunning || drain
	return startLoop
}

// isDraining returns whether clients are being drained.
func (t *connTable) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// closeDrained closes idle connections, and new ones without a request after newConnGrace. It returns whether the drain
// goes on.
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
		element = element.Next() // before e leaves the list
		if time.Since(e.openedAt) >= newConnGrace {
			t.startClosing(e, closeIfIdle)
		}
	}
	return true
}

// The methods below are called with the lock held.

// excess returns by how many connections the limit is exceeded, those that are closing left out.
func (t *connTable) excess() int { return t.open - t.closingConns.Len() - t.maxConns }

// evict closes connections while the limit is exceeded and there are new or idle ones to close.
func (t *connTable) evict() {
	for n := t.excess(); n > 0; n-- {
		from, mode := t.idleConns, closeIfIdle
		if t.newConns.Len() > t.maxNew {
			from, mode = t.newConns, closeIfIncomplete
		}
		if from.Len() == 0 {
			break
		}
		t.startClosing(front(from), mode)
	}
}

// closeIdle starts to close all idle connections.
func (t *connTable) closeIdle() {
	for t.idleConns.Len() > 0 {
		t.startClosing(front(t.idleConns), closeIfIdle)
	}
}

// startClosing has a connection closed by the goroutine that owns it, as soon as that loses no request.
func (t *connTable) startClosing(e *connEntry, mode closeMode) {
	t.moveTo(e, t.closingConns)
	e.conn.closeWhenSafe(mode)
}

// moveTo moves a connection to a list, or to none. Unless that is the list of closing ones, a close that was started is
// called off.
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

// waitWhile waits for changes until a condition is false, or for a timeout.
func (t *connTable) waitWhile(condition func() bool, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	defer time.AfterFunc(timeout, t.changed.Broadcast).Stop()
	for condition() && time.Now().Before(deadline) {
		t.changed.Wait()
	}
}

func front(l *list.List) *connEntry { return l.Front().Value.(*connEntry) }
