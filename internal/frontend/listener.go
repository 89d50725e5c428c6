package frontend

import (
	"errors"
	"net"
	"os"
	"time"
)

// pastDeadline is a deadline that makes a blocked call return at once.
var pastDeadline = time.Unix(1, 0)

// deadliner is implemented by listeners whose Accept can be interrupted, such as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

// wrapListener returns a listener that accepts from l within the table's limits. Accepting may have been paused before.
func (t *connTable) wrapListener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Listener = l
	t.updateAcceptDeadline()
	return t
}

// Accept implements net.Listener. It waits while the table is full or accepting is paused.
func (t *connTable) Accept() (net.Conn, error) {
	for {
		t.mu.Lock()
		for (t.open >= t.acceptLimit || t.acceptPaused) && !t.closed {
			t.changed.Wait()
		}
		t.mu.Unlock()
		c, err := t.Listener.Accept()
		if err == nil {
			return &clientConn{Conn: c, sharedReadAhead: &t.sharedReadAhead}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // otherwise updateAcceptDeadline has interrupted it
			return nil, err
		}
	}
}

// Close implements net.Listener.
func (t *connTable) Close() error {
	t.mu.Lock()
	t.closed = true
	t.changed.Broadcast()
	t.mu.Unlock()
	return t.Listener.Close()
}

// setAccepting starts or stops accepting connections. When it stops, connections that wait in the backlog of a socket that
// two processes listen on are left for the other process.
func (t *connTable) setAccepting(accept bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptPaused = !accept
	t.updateAcceptDeadline()
	t.changed.Broadcast()
}

// isAcceptPaused reports whether accepting is paused because another process of the node accepts connections.
func (t *connTable) isAcceptPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acceptPaused
}

// updateAcceptDeadline interrupts a blocked Accept if accepting is paused, and lets Accept block again if it is not. It is
// called with the lock held.
func (t *connTable) updateAcceptDeadline() {
	l, ok := t.Listener.(deadliner)
	if !ok {
		return
	}
	deadline := time.Time{}
	if t.acceptPaused {
		deadline = pastDeadline
	}
	l.SetDeadline(deadline)
}
