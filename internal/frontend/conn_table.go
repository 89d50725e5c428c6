package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// If there are many new connections, they are evicted before idle ones. Many means more than the connection limit divided by
	// newConnDivisor.
	newConnDivisor = 4

	// Some connections are accepted beyond the limit, so that older connections can be evicted for them. Their number is the
	// connection limit divided by overflowDivisor.
	overflowDivisor = 8
)

// connTable keeps the number of open connections within its limit. During a flood of connections that send nothing, or one
// request each, clients that use their connections keep them.
//
// A connection is in one of three lists, except while a request is being answered on it. A connection on which no batch job has
// been read yet stays in its list even then. The lists are:
//
//	new      no batch job has been read on it yet
//	idle     its last request is answered
//	closing  it is closed as soon as that loses no request
//
// While the limit is exceeded, connections are evicted. If there are more than maxNew new connections, the oldest of them is
// evicted. Otherwise the connection that has been idle longest is evicted. If there is no idle connection either, batch jobs are
// marked as near the connection limit, and the state machine rejects them.
//
// The table is also the server's listener. It accepts no connection while acceptLimit connections are open, or while another
// process of the node accepts connections.
//
// Lock order: the table's lock is taken before a connection's lock, never after it.
type connTable struct {
	net.Listener
	limits    ConnLimits
	reporter  Reporter
	readAhead byteBudget // memory for what all connections read ahead beyond minReadAhead
	bodies    byteBudget // memory for the request bodies of all connections

	mu           sync.Mutex
	changed      *sync.Cond // signaled when open, acceptLimit, acceptPaused, closed or closingConns may have changed
	open         int        // number of open connections, including those in closingConns
	entries      map[net.Conn]*connEntry
	newConns     *list.List // new connections (*connEntry), oldest first
	idleConns    *list.List // idle connections (*connEntry), longest idle first
	closingConns *list.List // connections that are being closed (*connEntry)

	maxConns    int // the limit in effect: limits.Max or limits.MaxShared
	acceptLimit int // number of open connections at which accepting stops
	maxNew      int // new connections are evicted before idle ones if there are more new connections than this

	lameDuck         bool // the node is shutting down, and connections are closed when they become idle
	shuttingDown     bool // closeIdleAndWait has been called, because the server is closing
	draining         bool // a client drain is in progress
	drainLoopRunning bool // a goroutine calls closeDrained periodically
	acceptPaused     bool // another process of the node accepts connections
	closed           bool // the listener is closed
}

// connEntry is the table's record of a connection.
type connEntry struct {
	conn     *clientConn
	list     *list.List // the list that holds the connection; nil if none does
	element  *list.Element
	hadJob   bool // a batch job has been read on the connection
	openedAt time.Time
	closing  closeReason // why the table has started to close the connection last
}

// closeReason says why the server closes a connection.
type closeReason string

const (
	closedForLimit    closeReason = "over the connection limit"
	closedForShutdown closeReason = "shutdown"
	closedForDrain    closeReason = "client drain"
	closedForTimeout  closeReason = "the request or the next one did not come in time"
)

func newConnTable(limits ConnLimits) *connTable {
	t := &connTable{
		limits:       limits,
		reporter:     noReporter{},
		entries:      map[net.Conn]*connEntry{},
		newConns:     list.New(),
		idleConns:    list.New(),
		closingConns: list.New(),
	}
	t.changed = sync.NewCond(&t.mu)
	t.setShared(false)
	return t
}

// onStateChange is the ConnState hook of http.Server. net/http calls it when a connection changes its state.
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
			t.startClosing(e, closeIfIdle, closedForShutdown) // if a request has arrived by now, it is still served
		} else if e.hadJob {
			t.moveTo(e, t.idleConns)
		}
	case http.StateClosed, http.StateHijacked:
		t.reportClosed(e)
		e.conn.markClosed()
		t.moveTo(e, nil)
		delete(t.entries, c)
		t.open--
		t.changed.Broadcast()
	}
	t.evict()
}

// jobReceived records that a complete batch job has been read on a connection. The connection then stays open until the answer
// is written. overLimit reports that more connections are open than the limit allows and that none of them can be evicted.
func (t *connTable) jobReceived(c net.Conn) (overLimit bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil {
		e.hadJob = true
		t.moveTo(e, nil) // moveTo also cancels a started close of this connection; evict then closes another one
		t.evict()
	}
	return t.excess() > 0
}

// mustCloseAfterAnswer reports whether a connection must be closed after an answer that is written now.
func (t *connTable) mustCloseAfterAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lameDuck || t.draining || t.acceptPaused || t.excess() > 0
}

// enterLameDuck starts to close the connections that are idle now, and has each other connection closed once it becomes idle.
// It returns the number of connections in closingConns.
func (t *connTable) enterLameDuck() (closing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck = true
	t.closeIdle(closedForShutdown)
	return t.closingConns.Len()
}

// closeIdleAndWait closes the idle connections, and those that become idle later. It returns when no connection is being
// closed any more, or after the timeout.
func (t *connTable) closeIdleAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lameDuck, t.shuttingDown = true, true
	t.closeIdle(closedForShutdown)
	t.waitWhile(func() bool { return t.closingConns.Len() > 0 }, timeout)
}

// waitUntilAnswered returns when no connection but new ones is open any more, or after the timeout. It is called after
// closeIdleAndWait, so that each connection is closed after its next answer.
func (t *connTable) waitUntilAnswered(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitWhile(func() bool { return t.open > t.newConns.Len() }, timeout)
}

// closeNewAndWait closes the new connections. It returns when no connection is open any more, or after the timeout. It is
// called after enterLameDuck, which closes the idle connections.
func (t *connTable) closeNewAndWait(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.newConns.Len() > 0 {
		t.startClosing(firstEntry(t.newConns), closeIfIdle, closedForShutdown)
	}
	t.waitWhile(func() bool { return t.open > 0 }, timeout)
}

// setDraining starts or ends a client drain. If startLoop is true, the caller must start a goroutine that calls closeDrained
// until closeDrained returns false. At most one such goroutine runs at a time.
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

// closeDrained starts to close the idle connections, and those new connections (see connTable) that were opened at least
// newConnGrace ago. If the client drain has ended, it closes none, marks the drain loop as ended and returns false.
func (t *connTable) closeDrained() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		t.drainLoopRunning = false
		return false
	}
	t.closeIdle(closedForDrain)
	for element := t.newConns.Front(); element != nil; {
		e := element.Value.(*connEntry)
		element = element.Next() // read before startClosing removes e from the list
		if time.Since(e.openedAt) >= newConnGrace {
			t.startClosing(e, closeIfIdle, closedForDrain)
		}
	}
	return true
}

// The methods below are called with the lock held.

// excess returns the number of open connections above the limit. Connections that are being closed do not count as open.
func (t *connTable) excess() int { return t.open - t.closingConns.Len() - t.maxConns }

// evict starts to close connections until the limit is no longer exceeded. As long as there are more than maxNew new connections,
// it closes the oldest new connection. Otherwise it closes the connection that has been idle longest. It stops early if there are
// at most maxNew new connections and no idle connections.
func (t *connTable) evict() {
	for n := t.excess(); n > 0; n-- {
		from, mode := t.idleConns, closeIfIdle
		if t.newConns.Len() > t.maxNew {
			from, mode = t.newConns, closeIfIncomplete
		}
		if from.Len() == 0 {
			break
		}
		t.startClosing(firstEntry(from), mode, closedForLimit)
	}
}

// closeIdle starts to close all idle connections.
func (t *connTable) closeIdle(reason closeReason) {
	for t.idleConns.Len() > 0 {
		t.startClosing(firstEntry(t.idleConns), closeIfIdle, reason)
	}
}

// startClosing starts to close a connection. net/http's goroutine for the connection closes it as soon as that loses no
// request.
func (t *connTable) startClosing(e *connEntry, mode closeMode, reason closeReason) {
	if e.list != t.closingConns {
		e.closing = reason
	}
	t.moveTo(e, t.closingConns)
	e.conn.closeWhenSafe(mode)
}

// reportClosed reports a connection that the server has closed. It reports nothing if the client has closed it, or if it was closed
// after an answer that said so.
func (t *connTable) reportClosed(e *connEntry) {
	client := e.conn.RemoteAddr().String()
	switch {
	case e.list == t.closingConns:
		t.reporter.ConnectionClosed(client, string(e.closing))
	case e.conn.timedOut():
		t.reporter.ConnectionClosed(client, string(closedForTimeout))
	}
}

// moveTo removes a connection from its list and adds it to another list. If the other list is nil, the connection is then in no
// list. Unless the other list is closingConns, moveTo also cancels a started close of the connection.
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

// waitWhile blocks until the condition is false, or until the timeout has passed.
func (t *connTable) waitWhile(condition func() bool, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	defer time.AfterFunc(timeout, t.changed.Broadcast).Stop()
	for condition() && time.Now().Before(deadline) {
		t.changed.Wait()
	}
}

// firstEntry returns the first entry of a list, which must not be empty.
func firstEntry(l *list.List) *connEntry { return l.Front().Value.(*connEntry) }
